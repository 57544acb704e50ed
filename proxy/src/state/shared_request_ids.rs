//! Request ids that the processes of one proxy tell each other, so that none runs at two of them.
//!
//! Each process appends the ids that it takes, and those that it releases because their requests never ran, to a ring in a
//! file of its own, and reads the rings of the others. A process writes an id before it reads: of two that take the same id at
//! once, at least one sees the other. The files outlast their processes. A process that takes the place of an earlier one
//! continues its ring.

use super::request_ids::{IdDigest, RequestIds, MAX_REQUEST_IDS};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

/// The first bytes of a ring: its format and version.
const FORMAT: u64 = u64::from_le_bytes(*b"ndids\0\0\x01");
/// Format and number of records ever written.
const HEADER_BYTES: usize = 16;
const COUNT_OFFSET: u64 = 8;
/// Digest and kind.
const RECORD_BYTES: usize = 16;
/// Records of a ring.
const RECORDS: u64 = MAX_REQUEST_IDS as u64;

/// What a record says of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordKind {
    /// The process may run it.
    Taken,
    /// It never ran.
    Released,
}

impl RecordKind {
    fn code(self) -> u64 {
        match self {
            RecordKind::Taken => 1,
            RecordKind::Released => 2,
        }
    }

    fn from_code(code: u64) -> Option<Self> {
        [RecordKind::Taken, RecordKind::Released].into_iter().find(|kind| kind.code() == code)
    }
}

fn pair(first: u64, second: u64) -> [u8; RECORD_BYTES] {
    let mut bytes = [0; RECORD_BYTES];
    for (target, byte) in bytes.iter_mut().zip(first.to_le_bytes().into_iter().chain(second.to_le_bytes())) {
        *target = byte;
    }
    bytes
}

fn split_pair(bytes: [u8; RECORD_BYTES]) -> (u64, u64) {
    let number = u128::from_le_bytes(bytes);
    (number as u64, (number >> 64) as u64)
}

fn record_offset(number: u64) -> u64 {
    HEADER_BYTES as u64 + number % RECORDS * RECORD_BYTES as u64
}

/// The number of records ever written to a ring; 0 if it has none or is of another format.
fn read_count(file: &File) -> io::Result<u64> {
    let mut header = [0; HEADER_BYTES];
    match file.read_exact_at(&mut header, 0) {
        Ok(()) => {}
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(0),
        Err(error) => return Err(error),
    }
    let (format, count) = split_pair(header);
    Ok(if format == FORMAT { count } else { 0 })
}

/// The ring of a process, as this one has read it.
struct Ring {
    path: PathBuf,
    file: Option<File>,
    /// Number of records read.
    read: u64,
    ids: RequestIds,
}

impl Ring {
    fn new(path: PathBuf) -> Self {
        Ring { path, file: None, read: 0, ids: RequestIds::default() }
    }

    /// Reads the records that were written since.
    fn refresh(&mut self) -> io::Result<()> {
        if self.file.is_none() {
            match File::open(&self.path) {
                Ok(file) => self.file = Some(file),
                Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        let Some(file) = &self.file else { return Ok(()) };
        let count = read_count(file)?;
        for number in self.read.max(count.saturating_sub(RECORDS))..count {
            let mut record = [0; RECORD_BYTES];
            file.read_exact_at(&mut record, record_offset(number))?;
            let (digest, code) = split_pair(record);
            match RecordKind::from_code(code) {
                Some(RecordKind::Taken) => self.ids.remember(IdDigest(digest), 0),
                Some(RecordKind::Released) => self.ids.forget(IdDigest(digest)),
                None => {}
            }
        }
        self.read = count;
        Ok(())
    }
}

/// The ids that the processes of one proxy have taken.
pub struct SharedRequestIds {
    file: File,
    /// Number of records in this process's ring.
    written: u64,
    /// What an earlier process left in it.
    inherited: RequestIds,
    others: Vec<Ring>,
}

impl SharedRequestIds {
    /// Continues the ring at `own`. `others` are the paths of the rings of all other processes, existing or not.
    pub fn open(own: PathBuf, others: Vec<PathBuf>) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&own)?;
        let mut inherited = Ring::new(own);
        inherited.refresh()?;
        let written = inherited.read;
        file.write_all_at(&pair(FORMAT, written), 0)?;
        let mut others: Vec<Ring> = others.into_iter().map(Ring::new).collect();
        for ring in &mut others {
            ring.refresh()?;
        }
        Ok(SharedRequestIds { file, written, inherited: inherited.ids, others })
    }

    fn append(&mut self, id: IdDigest, kind: RecordKind) -> io::Result<()> {
        self.file.write_all_at(&pair(id.0, kind.code()), record_offset(self.written))?;
        self.written += 1;
        self.file.write_all_at(&self.written.to_le_bytes(), COUNT_OFFSET)
    }

    /// Takes an id for this process. Returns false if another process has it, or an earlier one had it.
    pub fn take(&mut self, id: IdDigest) -> io::Result<bool> {
        if self.inherited.contains(id) {
            return Ok(false);
        }
        self.append(id, RecordKind::Taken)?;
        for ring in &mut self.others {
            ring.refresh()?;
        }
        let is_free = !self.others.iter().any(|ring| ring.ids.contains(id));
        if !is_free {
            self.release(id)?;
        }
        Ok(is_free)
    }

    /// Releases an id whose request never ran.
    pub fn release(&mut self, id: IdDigest) -> io::Result<()> {
        self.append(id, RecordKind::Released)
    }
}

#[cfg(test)]
mod tests;
