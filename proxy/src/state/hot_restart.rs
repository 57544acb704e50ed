//! What outlives a process, and how two processes of one proxy know of each other: a few small files in one folder,
//! under the proxy's name, its address and its deployment: on a machine of two customers, each may have a proxy of the
//! same name and address.
//!
//! The state file is replaced by rename, so that a process that dies on the way leaves the old one. A lock on one of
//! the slots tells that its holder lives: it goes with the process, however that ends.

use super::endpoints::MAX_WALL_CLOCK_STEP;
use super::time::UnixMicros;
use notchdoor::Micros;
use notchdoor_settings::bounded_file;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why there is no hot restart, or why a state cannot be read or kept.
#[derive(Debug, Error)]
pub enum HotRestartError {
    /// One of its files cannot be opened, read, written or locked.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The state file is of no use.
    #[error("{path}: {source}")]
    Unusable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: UnusableState,
    },
    /// More processes of one proxy live than there are slots.
    #[error("{base}: more than {SLOTS} processes")]
    TooManyProcesses {
        /// What their files' names begin with.
        base: PathBuf,
    },
    /// This process has no part in the hot restart.
    #[error("there is no hot restart")]
    Absent,
}

impl HotRestartError {
    fn file(path: &Path) -> impl FnOnce(std::io::Error) -> Self + '_ {
        |source| HotRestartError::File { path: path.to_owned(), source }
    }
}

/// Why the bytes of a state file are of no use.
#[derive(Debug, Error)]
pub enum UnusableState {
    /// They are no JSON, or another object.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// Another format, or another version of it.
    #[error("format {format:.40} version {version} is not ours")]
    OtherFormat {
        /// Its name.
        format: String,
        /// Its version.
        version: u32,
    },
    /// Another proxy's.
    #[error("it is of a proxy named {0:.80}")]
    OtherProxy(String),
    /// More backends than operators can drain.
    #[error("too many workers")]
    TooManyBackends,
}

/// The format and its version; a file of another one is not ours.
const FORMAT: &str = "notchdoor-handover";
const VERSION: u32 = 1;
/// Processes of one proxy that can know of each other: two of an upgrade, and one more that is still leaving.
const SLOTS: usize = 4;
/// The largest file that is read.
const MAX_STATE_BYTES: u64 = 256 * 1024;
/// So many files of the folder are looked at.
const MAX_SCANNED_FILES: usize = 4096;
/// The most backends that operators can drain.
pub const MAX_DRAINED: usize = 256;

/// A backend that was put back lately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutBack {
    /// Its name. The key is that of files which earlier versions wrote.
    #[serde(rename = "worker")]
    pub backend: String,
    /// When, by the wall clock of the process that put it back. Another process, or this machine after its clock was
    /// set, cannot tell an age from it: it only tells one time that a backend was put back from another.
    pub at: UnixMicros,
}

/// What outlives a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HotRestartState {
    format: String,
    version: u32,
    name: String,
    /// Goes up with every change.
    pub serial: u64,
    /// Backends that operators have drained.
    #[serde(rename = "out")]
    pub drained: Vec<String>,
    /// Those put back so lately that they may not be warm yet.
    #[serde(rename = "back")]
    pub put_back: Vec<PutBack>,
}

impl HotRestartState {
    /// Nothing is out.
    pub fn empty(name: &str) -> Self {
        HotRestartState {
            format: FORMAT.to_owned(),
            version: VERSION,
            name: name.to_owned(),
            serial: 0,
            drained: Vec::new(),
            put_back: Vec::new(),
        }
    }

    /// Takes a file's bytes; the error says why they are of no use.
    fn parse(bytes: &[u8], name: &str) -> Result<Self, UnusableState> {
        let state: HotRestartState = serde_json::from_slice(bytes)?;
        if state.format != FORMAT || state.version != VERSION {
            return Err(UnusableState::OtherFormat { format: state.format, version: state.version });
        }
        if state.name != name {
            return Err(UnusableState::OtherProxy(state.name));
        }
        if state.drained.len() > MAX_DRAINED || state.put_back.len() > MAX_DRAINED {
            return Err(UnusableState::TooManyBackends);
        }
        Ok(state)
    }

    /// Whether operators have drained this backend.
    pub fn is_drained(&self, backend: &str) -> bool {
        self.drained.iter().any(|w| w == backend)
    }

    /// Drains a backend. False if there is no room for another.
    pub fn drain(&mut self, backend: &str) -> bool {
        if self.is_drained(backend) {
            return true;
        }
        if self.drained.len() >= MAX_DRAINED {
            return false;
        }
        self.drained.push(backend.to_owned());
        self.put_back.retain(|b| b.backend != backend);
        true
    }

    /// Puts a backend back; those that are warm by now are forgotten. A clock that was set forward a moment ago makes one
    /// look so that is not: it is kept for as long as a step can be.
    pub fn put_back(&mut self, backend: &str, now: UnixMicros, cold: Micros) {
        let warm_after = cold.saturating_add(MAX_WALL_CLOCK_STEP);
        self.put_back.retain(|b| b.at.0.saturating_add(warm_after) > now.0);
        if self.is_drained(backend) {
            self.drained.retain(|w| w != backend);
            if self.put_back.len() >= MAX_DRAINED {
                self.put_back.remove(0);
            }
            self.put_back.push(PutBack { backend: backend.to_owned(), at: now });
        }
    }
}

/// What another process of this proxy says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherProcess {
    /// It takes clients.
    pub open: bool,
    /// The latest change of the state that it heeds.
    pub state_serial: u64,
}

/// This process's part in the hot restart.
pub struct HotRestart {
    name: String,
    base: PathBuf,
    slot: usize,
    lock: File,
    open: bool,
    /// The state that this process heeds.
    pub state: HotRestartState,
}

/// Whether a change of the state may be made now.
pub enum Change {
    /// All that it asks for is so already.
    Unchanged,
    /// It has to be written first; nobody else makes one until then.
    Pending(PendingChange),
    /// Another process is making one: try again in a moment.
    Busy,
}

/// A change on its way to the disk.
pub struct PendingChange {
    next: HotRestartState,
    path: PathBuf,
    new: PathBuf,
    /// Keeps others from making one.
    _lock: File,
}

impl PendingChange {
    /// Writes it; the state to be heeded from then on. The error says why it could not be kept, and then nothing has
    /// changed: the file that is there is replaced only by one that is whole on the disk. It may block for as long as the
    /// disk does, so it needs nothing of the process, and no request waits for it meanwhile: a rename over a file takes a
    /// tenth of a second where the disk is busy.
    pub fn write(self) -> Result<HotRestartState, HotRestartError> {
        let text = serde_json::to_vec(&self.next).map_err(std::io::Error::from);
        let result = text
            .and_then(|text| write_and_sync(&self.new, &text))
            .and_then(|()| std::fs::rename(&self.new, &self.path));
        if let Err(source) = result {
            // Half a file is of no use, and takes room on a full disk. Left where it cannot be removed, it is written
            // over by the next change.
            let _ = std::fs::remove_file(&self.new);
            return Err(HotRestartError::File { path: self.new, source });
        }
        Ok(self.next)
    }
}

/// Writes a file and has the disk take it: an error that the system notices only then is no success.
fn write_and_sync(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn open_lock_file(path: &Path) -> std::io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}

impl HotRestart {
    /// Takes a slot in this folder and the state that is there. What another deployment has left there is left alone. The
    /// error says why there is no hot restart; what is
    /// A problem of the state alone is returned in the second place, and then nothing is out.
    pub fn join(
        folder: &Path,
        name: &str,
        address: &str,
        deployment: u64,
    ) -> Result<(Self, Option<HotRestartError>), HotRestartError> {
        let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
        let file: String = format!("{name:.64}-{address}").chars().map(plain).collect();
        let (any, own) = (format!("notchdoor-{file}"), format!("notchdoor-{file}-{deployment:016x}"));
        for ignored in states_of_other_deployments(folder, &any, &own) {
            log::warn!("hot restart: {ignored} is of another deployment and left alone");
        }
        let base = folder.join(own);
        for slot in 0..SLOTS {
            let path = slot_path(&base, slot);
            let lock = open_lock_file(&path).map_err(HotRestartError::file(&path))?;
            match lock.try_lock() {
                Ok(()) => {}
                Err(TryLockError::WouldBlock) => continue,
                Err(TryLockError::Error(source)) => return Err(HotRestartError::File { path, source }),
            }
            let state = HotRestartState::empty(name);
            let mut joined = HotRestart { name: name.to_owned(), base, slot, lock, open: false, state };
            let state_error = joined.refresh().err();
            joined.publish();
            return Ok((joined, state_error));
        }
        Err(HotRestartError::TooManyProcesses { base })
    }

    fn state_path(&self) -> PathBuf {
        self.base.with_extension("state")
    }

    /// Reads the state again. True if it has changed; the error says why the file is of no use, and then what was
    /// held stays.
    pub fn refresh(&mut self) -> Result<bool, HotRestartError> {
        let path = self.state_path();
        let bytes = match bounded_file::read_bytes(&path, MAX_STATE_BYTES) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(false),
            Err(source) => return Err(HotRestartError::File { path, source }),
        };
        let state = HotRestartState::parse(&bytes, &self.name)
            .map_err(|source| HotRestartError::Unusable { path, source })?;
        let changed = state != self.state;
        self.state = state;
        Ok(changed)
    }

    /// Begins a change of the state, unless another process is making one. The error says why it cannot be kept,
    /// and then nothing has changed.
    pub fn change(&mut self, make: impl FnOnce(&mut HotRestartState)) -> Result<Change, HotRestartError> {
        let path = self.base.with_extension("change");
        let lock = open_lock_file(&path).map_err(HotRestartError::file(&path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Ok(Change::Busy),
            Err(TryLockError::Error(source)) => return Err(HotRestartError::File { path, source }),
        }
        // What the other process has changed counts; a file of no use is written anew.
        let _ = self.refresh();
        let mut next = self.state.clone();
        make(&mut next);
        if next == self.state {
            return Ok(Change::Unchanged);
        }
        next.serial += 1;
        let new = self.base.with_extension("new");
        Ok(Change::Pending(PendingChange { next, path: self.state_path(), new, _lock: lock }))
    }

    /// This process takes clients, or does so no more.
    pub fn set_open(&mut self, open: bool) {
        self.open = open;
        self.publish();
    }

    /// Tells the others which state this process heeds now.
    pub fn publish(&mut self) {
        let text = format!("{} {}\n", if self.open { "open" } else { "closed" }, self.state.serial);
        // In one write over the old text, padded to a fixed length: a reader never finds half of one.
        let written = self
            .lock
            .seek(SeekFrom::Start(0))
            .and_then(|_| self.lock.write_all(format!("{text:<40}").as_bytes()));
        if let Err(error) = written {
            log::warn!("hot restart: cannot tell the other process: {error}");
        }
    }

    /// The other processes of this proxy that live.
    pub fn others(&self) -> Vec<OtherProcess> {
        (0..SLOTS)
            .filter(|&slot| slot != self.slot)
            .filter_map(|slot| read_slot(&slot_path(&self.base, slot)))
            .collect()
    }
}

/// The states in this folder that a proxy of this name and address has left which is not our own.
fn states_of_other_deployments(folder: &Path, any: &str, own: &str) -> Vec<String> {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten().take(MAX_SCANNED_FILES);
    let names = files.filter_map(|f| f.file_name().into_string().ok());
    let state = |name: &String| {
        name.strip_suffix(".state").is_some_and(|base| {
            let rest = base.strip_prefix(any).is_some_and(|r| r.is_empty() || r.starts_with('-'));
            rest && base != own
        })
    };
    names.filter(state).take(SLOTS).collect()
}

fn slot_path(base: &Path, slot: usize) -> PathBuf {
    base.with_extension(format!("{slot}.slot"))
}

/// Who holds this slot, if anybody does.
fn read_slot(path: &Path) -> Option<OtherProcess> {
    let mut file = File::open(path).ok()?;
    // Shared, so that two who look at once do not take each other for the holder.
    match file.try_lock_shared() {
        Err(TryLockError::WouldBlock) => {}
        _ => return None,
    }
    let mut text = String::new();
    Read::by_ref(&mut file).take(64).read_to_string(&mut text).ok()?;
    let mut words = text.split_whitespace();
    let open = words.next() == Some("open");
    Some(OtherProcess { open, state_serial: words.next().and_then(|w| w.parse().ok()).unwrap_or(0) })
}

#[cfg(test)]
mod tests;
