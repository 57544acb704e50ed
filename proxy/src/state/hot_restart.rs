//! State that outlives a process, and how the processes of one proxy find each other during a hot restart.
//!
//! Both use small files in one directory. Their names contain the proxy's name, its address and its deployment, so that
//! proxies of several deployments can share a machine. The state file is replaced by rename, so that a crash leaves the
//! old one. Each process holds a lock on a slot file, which the system releases when the process ends.

use super::endpoints::MAX_WALL_CLOCK_STEP;
use super::time::UnixMicros;
use notchdoor::Micros;
use notchdoor_settings::bounded_file;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error of joining a hot restart, or of reading or writing its state.
#[derive(Debug, Error)]
pub enum HotRestartError {
    /// A file cannot be opened, read, written or locked.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The state file has invalid contents.
    #[error("{path}: {source}")]
    Unusable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: UnusableState,
    },
    /// All slots are locked by other processes of this proxy.
    #[error("{base}: {SLOTS} processes of this proxy are already running")]
    TooManyProcesses {
        /// The common prefix of the file names.
        base: PathBuf,
    },
    /// This process did not join a hot restart.
    #[error("hot restart is not available")]
    Absent,
}

impl HotRestartError {
    fn file(path: &Path) -> impl FnOnce(std::io::Error) -> Self + '_ {
        |source| HotRestartError::File { path: path.to_owned(), source }
    }
}

/// Why the contents of a state file are rejected.
#[derive(Debug, Error)]
pub enum UnusableState {
    /// Not a JSON object of the expected fields.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// Another format, or another version of the format.
    #[error("unsupported format {format:.40} version {version}")]
    OtherFormat {
        /// The name of the format.
        format: String,
        /// The version of the format.
        version: u32,
    },
    /// The state of another proxy.
    #[error("state belongs to a proxy named {0:.80}")]
    OtherProxy(String),
    /// More backends than can be drained.
    #[error("too many backends, at most {MAX_DRAINED} are allowed")]
    TooManyBackends,
}

/// The format of the state file. Files of another format or version are rejected.
const FORMAT: &str = "notchdoor-handover";
const VERSION: u32 = 1;
/// Processes of one proxy that can run at a time: two during a hot restart, and earlier ones that are still draining.
const SLOTS: usize = 4;
/// Largest state file that is read.
const MAX_STATE_BYTES: u64 = 256 * 1024;
/// Directory entries that are searched for states of other deployments.
const MAX_SCANNED_FILES: usize = 4096;
/// Backends that can be under an administrative drain at a time.
pub const MAX_DRAINED: usize = 256;

/// A backend whose administrative drain was lifted recently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutBack {
    /// The backend's name.
    #[serde(rename = "worker")]
    pub backend: String,
    /// The time by the wall clock of the process that lifted the drain. Clocks may differ or be set, so other processes
    /// cannot derive a precise age from it.
    pub at: UnixMicros,
}

/// The contents of the state file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HotRestartState {
    format: String,
    version: u32,
    name: String,
    /// Incremented by every change.
    pub serial: u64,
    /// Names of backends under an administrative drain.
    #[serde(rename = "out")]
    pub drained: Vec<String>,
    /// Backends whose drain was lifted so recently that they may not be warm yet.
    #[serde(rename = "back")]
    pub put_back: Vec<PutBack>,
}

impl HotRestartState {
    /// A state without drains.
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

    /// Parses the state file of the proxy named `name`.
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

    /// Whether the backend is under an administrative drain.
    pub fn is_drained(&self, backend: &str) -> bool {
        self.drained.iter().any(|w| w == backend)
    }

    /// Drains a backend. Returns false if `MAX_DRAINED` others are drained already.
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

    /// Lifts the drain of a backend, and forgets records of backends that are warm by now. `cold` is the duration of slow
    /// start. Records are kept for `MAX_WALL_CLOCK_STEP` longer, since the clock may have been set forward.
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

/// The published status of another process of this proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherProcess {
    /// Whether it accepts clients.
    pub open: bool,
    /// The serial number of the state that it has applied.
    pub state_serial: u64,
    /// Bytes that it holds for clients.
    pub held_bytes: usize,
}

/// This process's access to the shared state and to the status of the other processes.
pub struct HotRestart {
    name: String,
    base: PathBuf,
    slot: usize,
    lock: File,
    open: bool,
    held_bytes: usize,
    /// The state that this process has applied.
    pub state: HotRestartState,
}

/// The result of beginning a change of the state.
pub enum Change {
    /// The state already is as requested.
    Unchanged,
    /// The change has to be written. Other processes cannot begin one until then.
    Pending(PendingChange),
    /// Another process is writing a change; try again shortly.
    Busy,
}

/// A change that has yet to be written. Dropping it abandons the change.
pub struct PendingChange {
    next: HotRestartState,
    path: PathBuf,
    new: PathBuf,
    /// Prevents changes by other processes.
    _lock: File,
}

impl PendingChange {
    /// Writes the change to the disk and returns the new state. On an error the old state file is unchanged.
    ///
    /// Blocks on the disk, so it must not run on the thread that serves requests.
    pub fn write(self) -> Result<HotRestartState, HotRestartError> {
        let text = serde_json::to_vec(&self.next).map_err(std::io::Error::from);
        let result = text
            .and_then(|text| write_and_sync(&self.new, &text))
            .and_then(|()| std::fs::rename(&self.new, &self.path));
        if let Err(source) = result {
            // An incomplete file would take space on a full disk. If it cannot be removed, the next change overwrites it.
            let _ = std::fs::remove_file(&self.new);
            return Err(HotRestartError::File { path: self.new, source });
        }
        Ok(self.next)
    }
}

/// Writes and syncs a file, so that delayed write errors are reported.
fn write_and_sync(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn open_lock_file(path: &Path) -> std::io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}

impl HotRestart {
    /// Locks a free slot in this directory and reads the state file. States of other deployments are ignored.
    ///
    /// The error says why there is no hot restart. A problem with the state file alone is returned beside the result, which
    /// then has no drains.
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
            log::warn!("hot restart: ignoring {ignored}, which belongs to another deployment");
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
            let mut joined =
                HotRestart { name: name.to_owned(), base, slot, lock, open: false, held_bytes: 0, state };
            let state_error = joined.refresh().err();
            joined.publish();
            return Ok((joined, state_error));
        }
        Err(HotRestartError::TooManyProcesses { base })
    }

    /// The file of this process's request ids, and those of all other processes, existing or not.
    pub fn request_id_paths(&self) -> (PathBuf, Vec<PathBuf>) {
        let path = |slot: usize| self.base.with_extension(format!("{slot}.ids"));
        (path(self.slot), (0..SLOTS).filter(|&slot| slot != self.slot).map(path).collect())
    }

    fn state_path(&self) -> PathBuf {
        self.base.with_extension("state")
    }

    /// Reads the state file again. Returns whether the state has changed. On an error the current state is kept.
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

    /// Begins a change of the state, unless another process is writing one. Nothing is changed until the returned
    /// [`PendingChange`] is written.
    pub fn change(&mut self, make: impl FnOnce(&mut HotRestartState)) -> Result<Change, HotRestartError> {
        let path = self.base.with_extension("change");
        let lock = open_lock_file(&path).map_err(HotRestartError::file(&path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Ok(Change::Busy),
            Err(TryLockError::Error(source)) => return Err(HotRestartError::File { path, source }),
        }
        // Includes changes by other processes. An invalid file is replaced, so its error is ignored.
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

    /// Publishes whether this process accepts clients.
    pub fn set_open(&mut self, open: bool) {
        self.open = open;
        self.publish();
    }

    /// Publishes how many bytes this process holds for clients, if that has changed.
    pub fn set_held_bytes(&mut self, held_bytes: usize) {
        if self.held_bytes != held_bytes {
            self.held_bytes = held_bytes;
            self.publish();
        }
    }

    /// Publishes this process's status and the serial number of its state to the other processes.
    pub fn publish(&mut self) {
        let open = if self.open { "open" } else { "closed" };
        let text = format!("{open} {} {}\n", self.state.serial, self.held_bytes);
        // A single write of a fixed length, so that readers never see a partial status.
        let written = self
            .lock
            .seek(SeekFrom::Start(0))
            .and_then(|_| self.lock.write_all(format!("{text:<40}").as_bytes()));
        if let Err(error) = written {
            log::warn!("hot restart: cannot publish the status of this process: {error}");
        }
    }

    /// The status of the other running processes of this proxy.
    pub fn others(&self) -> Vec<OtherProcess> {
        (0..SLOTS)
            .filter(|&slot| slot != self.slot)
            .filter_map(|slot| read_slot(&slot_path(&self.base, slot)))
            .collect()
    }
}

/// The state files in this directory that belong to a proxy of the same name and address in another deployment.
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

/// The status of the process that holds the lock of this slot, if any.
fn read_slot(path: &Path) -> Option<OtherProcess> {
    let mut file = File::open(path).ok()?;
    // A shared lock, so that two concurrent readers do not mistake each other for the owner.
    match file.try_lock_shared() {
        Err(TryLockError::WouldBlock) => {}
        _ => return None,
    }
    let mut text = String::new();
    Read::by_ref(&mut file).take(64).read_to_string(&mut text).ok()?;
    let mut words = text.split_whitespace();
    let open = words.next() == Some("open");
    let state_serial = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
    // Earlier versions do not tell.
    let held_bytes = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
    Some(OtherProcess { open, state_serial, held_bytes })
}

#[cfg(test)]
mod tests;
