//! Durable storage of a member. Reads come from raft-rs's `MemStorage`; writes go to a `redb` database
//! first.
//!
//! The snapshot, entries and hard state of a round are written in one transaction, which is committed with
//! an fsync before [`LogStorage::keep`] returns.

use std::cell::Cell;
use std::path::Path;

use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use redb::{
    Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, StorageBackend, TableDefinition,
    WriteTransaction,
};

use crate::log_storage::{needs_sync, LogStorage};
use crate::membership::Membership;

const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");

/// Error of opening, reading or writing a store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file cannot be opened, or is not a store.
    #[error("{file}: {source}")]
    Open {
        /// Path of the file.
        file: String,
        /// Underlying error.
        source: redb::Error,
    },
    /// The file cannot be created.
    #[error("{file}: cannot create store: {source}")]
    Create {
        /// Path of the file.
        file: String,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The store belongs to another member.
    #[error("{file}: store belongs to member {owner}, not to member {id}")]
    OtherMember {
        /// Path of the file.
        file: String,
        /// Id of the member that the store belongs to.
        owner: u64,
        /// Id of the member that opened the store.
        id: u64,
    },
    /// The database failed. All later writes fail until the store is reopened.
    #[error("store: database error: {0}")]
    Database(#[from] redb::Error),
    /// The stored founding members cannot be decoded or encoded.
    #[error("store: invalid founding members: {0}")]
    Founders(#[from] serde_json::Error),
    /// A stored message cannot be decoded or encoded.
    #[error("store: invalid {what}: {source}")]
    Message {
        /// Name of the value.
        what: &'static str,
        /// Underlying error.
        source: protobuf::ProtobufError,
    },
    /// The stored parts do not form a valid log.
    #[error("store: inconsistent {what}: {source}")]
    Log {
        /// Name of the part.
        what: &'static str,
        /// Underlying error.
        source: raft::Error,
    },
}

macro_rules! database_error {
    ($($error:ty),*) => {
        $(impl From<$error> for StoreError {
            fn from(error: $error) -> StoreError {
                StoreError::Database(error.into())
            }
        })*
    };
}

database_error!(redb::CommitError, redb::StorageError, redb::TableError, redb::TransactionError);

impl From<StoreError> for raft::Error {
    fn from(error: StoreError) -> raft::Error {
        raft::Error::Store(StorageError::Other(Box::new(error)))
    }
}

/// Decodes a stored message. `what` names it in errors.
fn decode<M: protobuf::Message>(bytes: &[u8], what: &'static str) -> Result<M, StoreError> {
    M::parse_from_bytes(bytes).map_err(|source| StoreError::Message { what, source })
}

fn encode(message: &impl protobuf::Message, what: &'static str) -> Result<Vec<u8>, StoreError> {
    message.write_to_bytes().map_err(|source| StoreError::Message { what, source })
}

/// State of a store when it is opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// A new store: nothing was voted with it. The member has to find out how to start.
    New,
    /// The store of a member of the group with these founding members.
    Member(Membership),
}

/// Keys of the `meta` table.
mod key {
    /// Member id: 8 bytes, big-endian.
    pub const ID: &str = "id";
    /// Store number: 8 bytes, big-endian.
    pub const NUMBER: &str = "number";
    /// Founding members: JSON.
    pub const FOUNDERS: &str = "book";
    /// raft-rs's hard state: protobuf.
    pub const HARD_STATE: &str = "hard";
    /// raft-rs's configuration: protobuf.
    pub const CONF_STATE: &str = "conf";
    /// raft-rs's snapshot, including the replicated state: protobuf.
    pub const SNAPSHOT: &str = "snap";
}

/// Contents of the `meta` table.
struct Values {
    id: Option<Vec<u8>>,
    number: Option<Vec<u8>>,
    founders: Option<Vec<u8>>,
    hard_state: Option<Vec<u8>>,
    conf_state: Option<Vec<u8>>,
    snapshot: Option<Vec<u8>>,
}

impl Values {
    /// Reads the values, and creates the tables if they do not exist.
    fn read(db: &Database) -> Result<Values, StoreError> {
        let txn = db.begin_write()?;
        let values = {
            let meta = txn.open_table(META)?;
            txn.open_table(ENTRIES)?;
            let get = |key: &str| -> Result<Option<Vec<u8>>, StoreError> {
                Ok(meta.get(key)?.map(|value| value.value().to_vec()))
            };
            Values {
                id: get(key::ID)?,
                number: get(key::NUMBER)?,
                founders: get(key::FOUNDERS)?,
                hard_state: get(key::HARD_STATE)?,
                conf_state: get(key::CONF_STATE)?,
                snapshot: get(key::SNAPSHOT)?,
            }
        };
        txn.commit()?;
        Ok(values)
    }
}

fn figure(bytes: Vec<u8>) -> u64 {
    bytes.try_into().map(u64::from_be_bytes).unwrap_or(0)
}

/// Store of a member in one `redb` file.
///
/// After a failed write or sync, all later writes fail until the store is reopened: the pages of a failed
/// fsync may be lost even if a later fsync succeeds. Reads still work.
pub struct DiskStore {
    mem: MemStorage,
    db: Database,
    number: u64,
    syncs: Cell<u64>,
    /// Index up to which the stored configuration includes all membership changes.
    conf_index: Cell<u64>,
}

impl DiskStore {
    /// Opens the store of member `id` at `file`, or creates it with store number `fresh`. A store of another
    /// member is refused, so that a data directory never votes under two ids.
    pub fn open(file: &Path, id: u64, fresh: u64) -> Result<(DiskStore, Stage), StoreError> {
        let name = file.display().to_string();
        if !file.exists() {
            create(file, id, fresh)?;
        }
        match Database::create(file) {
            Ok(db) => DiskStore::load_database(db, name, id, fresh),
            Err(error) => Err(StoreError::Open { file: name, source: error.into() }),
        }
    }

    /// Like [`DiskStore::open`], on any storage backend. `name` is used in errors.
    pub fn open_backend(
        backend: impl StorageBackend,
        name: &str,
        id: u64,
        fresh: u64,
    ) -> Result<(DiskStore, Stage), StoreError> {
        let name = name.to_owned();
        match Database::builder().create_with_backend(backend) {
            Ok(db) => DiskStore::load_database(db, name, id, fresh),
            Err(error) => Err(StoreError::Open { file: name, source: error.into() }),
        }
    }

    fn load_database(
        db: Database,
        file: String,
        id: u64,
        fresh: u64,
    ) -> Result<(DiskStore, Stage), StoreError> {
        let values = Values::read(&db)?;
        let owner = values.id.clone().map(figure);
        if let Some(owner) = owner.filter(|&owner| owner != id) {
            return Err(StoreError::OtherMember { file, owner, id });
        }
        let number = values.number.clone().map(figure);
        let store = DiskStore {
            mem: MemStorage::new(),
            db,
            number: number.unwrap_or(fresh),
            syncs: Cell::new(0),
            conf_index: Cell::new(0),
        };
        if number.is_none() || owner.is_none() {
            store.put_identity(id)?;
        }
        let Some(founders) = &values.founders else { return Ok((store, Stage::New)) };
        let founders = serde_json::from_slice(founders)?;
        store.load(&values)?;
        Ok((store, Stage::Member(founders)))
    }

    /// Returns the store number, which distinguishes the store from other stores of the same member.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Initializes a new store for the group with these founding members, which every log of the group
    /// starts with.
    pub fn begin(&self, founders: &Membership) -> Result<(), StoreError> {
        let conf = founding_conf(founders);
        let book = serde_json::to_vec(founders)?;
        self.put_values(&[(key::CONF_STATE, encode(&conf, "configuration")?), (key::FOUNDERS, book)])?;
        self.mem.wl().set_conf_state(conf);
        Ok(())
    }

    /// Returns the number of transactions committed with an fsync since the store was opened.
    pub fn syncs(&self) -> u64 {
        self.syncs.get()
    }

    /// Returns the number of entries on disk.
    pub fn entries_kept(&self) -> Result<u64, StoreError> {
        Ok(self.db.begin_read()?.open_table(ENTRIES)?.len()?)
    }

    /// Loads the stored state into memory.
    fn load(&self, values: &Values) -> Result<(), StoreError> {
        let mut core = self.mem.wl();
        let log = |what| move |source| StoreError::Log { what, source };
        let mut first = 1;
        if let Some(snapshot) = &values.snapshot {
            let snapshot: Snapshot = decode(snapshot, "snapshot")?;
            first = snapshot.get_metadata().index + 1;
            core.apply_snapshot(snapshot).map_err(log("snapshot"))?;
        }
        let mut entries = self.read_entries()?;
        entries.retain(|e| e.index >= first);
        core.append(&entries).map_err(log("entries"))?;
        if let Some(conf) = &values.conf_state {
            core.set_conf_state(decode(conf, "configuration")?);
        }
        if let Some(hard) = &values.hard_state {
            core.set_hardstate(decode(hard, "hard state")?);
        }
        // The durable commit index never covers a change that is missing from the stored configuration.
        self.conf_index.set(core.hard_state().commit);
        Ok(())
    }

    fn read_entries(&self) -> Result<Vec<Entry>, StoreError> {
        let txn = self.db.begin_read()?;
        let table = txn.open_table(ENTRIES)?;
        let mut entries = Vec::new();
        for item in table.range(0u64..)? {
            let (_, value) = item?;
            entries.push(decode(value.value(), "log entry")?);
        }
        Ok(entries)
    }

    fn read_snapshot(&self) -> Result<Option<Snapshot>, StoreError> {
        let txn = self.db.begin_read()?;
        let meta = txn.open_table(META)?;
        match meta.get(key::SNAPSHOT)? {
            Some(bytes) => decode(bytes.value(), "snapshot").map(Some),
            None => Ok(None),
        }
    }

    fn put_identity(&self, id: u64) -> Result<(), StoreError> {
        let (id, number) = (id.to_be_bytes().to_vec(), self.number.to_be_bytes().to_vec());
        self.put_values(&[(key::ID, id), (key::NUMBER, number)])
    }

    /// Durably writes values to the `meta` table.
    fn put_values(&self, pairs: &[(&str, Vec<u8>)]) -> Result<(), StoreError> {
        let txn = self.db.begin_write()?;
        {
            let mut meta = txn.open_table(META)?;
            for (key, value) in pairs {
                meta.insert(*key, value.as_slice())?;
            }
        }
        self.commit(txn)
    }

    fn commit(&self, txn: WriteTransaction) -> Result<(), StoreError> {
        self.syncs.set(self.syncs.get() + 1);
        Ok(txn.commit()?)
    }

    /// Returns a copy, so that the lock on the in-memory storage is released.
    fn hard_state(&self) -> HardState {
        self.mem.rl().hard_state().clone()
    }

    /// Returns the hard state that may be written now. Its commit index stays below the first membership
    /// change that the stored configuration does not include. `entries` are written in the same transaction.
    fn durable_hard_state(&self, hard: &HardState, entries: &[Entry]) -> raft::Result<HardState> {
        let (from, commit) = (self.conf_index.get(), hard.commit);
        if commit <= from {
            return Ok(hard.clone());
        }
        let new_from = entries.first().map_or(u64::MAX, |e| e.index);
        let old_until = commit.min(self.mem.last_index()?).min(new_from - 1);
        let old = match old_until > from {
            true => self.mem.entries(from + 1, old_until + 1, None, GetEntriesContext::empty(false))?,
            false => Vec::new(),
        };
        let mut committed = old.iter().chain(entries).filter(|e| from < e.index && e.index <= commit);
        match committed.find(|e| e.get_entry_type() != EntryType::EntryNormal) {
            Some(change) => Ok(HardState { commit: change.index - 1, ..hard.clone() }),
            None => {
                self.conf_index.set(commit);
                Ok(hard.clone())
            }
        }
    }

    /// Writes the parts of a round in one transaction.
    fn write_round(
        &self,
        snapshot: Option<&Snapshot>,
        entries: &[Entry],
        hard: &HardState,
    ) -> Result<(), StoreError> {
        let txn = self.db.begin_write()?;
        {
            let mut table = txn.open_table(ENTRIES)?;
            let mut meta = txn.open_table(META)?;
            if let Some(snapshot) = snapshot {
                table.retain_in(..=snapshot.get_metadata().index, |_, _| false)?;
                meta.insert(key::SNAPSHOT, encode(snapshot, "snapshot")?.as_slice())?;
                let conf = encode(snapshot.get_metadata().get_conf_state(), "configuration")?;
                meta.insert(key::CONF_STATE, conf.as_slice())?;
            }
            if let Some(first) = entries.first() {
                // Entries of the leader replace all local entries from their first index on.
                table.retain_in(first.index.., |_, _| false)?;
            }
            for entry in entries {
                table.insert(entry.index, encode(entry, "log entry")?.as_slice())?;
            }
            meta.insert(key::HARD_STATE, encode(hard, "hard state")?.as_slice())?;
        }
        self.commit(txn)
    }

    /// Replaces the log up to the index of a snapshot with the snapshot.
    fn write_compaction(&self, snapshot: &Snapshot, hard: &HardState) -> Result<(), StoreError> {
        let txn = self.db.begin_write()?;
        {
            let mut table = txn.open_table(ENTRIES)?;
            table.retain_in(..=snapshot.get_metadata().index, |_, _| false)?;
            let mut meta = txn.open_table(META)?;
            meta.insert(key::SNAPSHOT, encode(snapshot, "snapshot")?.as_slice())?;
            meta.insert(key::HARD_STATE, encode(hard, "hard state")?.as_slice())?;
        }
        self.commit(txn)
    }
}

/// Creates a store under a temporary name and renames it, so that a crash leaves no partial store at `file`.
fn create(file: &Path, id: u64, number: u64) -> Result<(), StoreError> {
    let name = || file.display().to_string();
    let failed = |source| StoreError::Create { file: name(), source };
    let half = file.with_extension("redb.new");
    match std::fs::remove_file(&half) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => return Err(failed(error)),
        _ => {}
    }
    let made = Database::create(&half);
    let db = made.map_err(|error| StoreError::Open { file: name(), source: error.into() })?;
    drop(DiskStore::load_database(db, name(), id, number)?);
    std::fs::rename(&half, file).map_err(failed)?;
    // Sync the directory: a power failure could otherwise lose the file name, and with it the votes in the
    // file.
    let folder = file.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    std::fs::File::open(folder).and_then(|folder| folder.sync_all()).map_err(failed)
}

/// Returns the configuration that the log of a group starts with.
pub fn founding_conf(founders: &Membership) -> ConfState {
    let voters: Vec<u64> = founders.members().keys().copied().collect();
    ConfState::from((voters, vec![]))
}

impl Storage for DiskStore {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.mem.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.mem.entries(low, high, max_size, context)
    }

    fn term(&self, idx: u64) -> raft::Result<u64> {
        self.mem.term(idx)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.mem.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.mem.last_index()
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        // Only the stored snapshot contains data; raft-rs's in-memory one is empty.
        match self.read_snapshot() {
            Ok(Some(snapshot)) => Ok(snapshot),
            Ok(None) => self.mem.snapshot(request_index, to),
            // raft-rs panics on any other error; on this one it retries later.
            Err(_) => Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable)),
        }
    }
}

impl LogStorage for DiskStore {
    fn keep(
        &self,
        snapshot: Option<&Snapshot>,
        entries: &[Entry],
        hard: Option<&HardState>,
    ) -> raft::Result<()> {
        if !needs_sync(snapshot, entries, hard, self.mem.rl().hard_state()) {
            return self.mem.keep(None, &[], hard);
        }
        if let Some(snapshot) = snapshot {
            let index = snapshot.get_metadata().index;
            self.conf_index.set(self.conf_index.get().max(index));
        }
        // The commit index updated since the last round is written here.
        let hard_state = hard.cloned().unwrap_or_else(|| self.hard_state());
        let durable = self.durable_hard_state(&hard_state, entries)?;
        self.write_round(snapshot, entries, &durable)?;
        self.mem.keep(snapshot, entries, hard)
    }

    fn set_commit(&self, commit: u64) -> raft::Result<()> {
        self.mem.set_commit(commit)
    }

    fn set_conf_state_at(&self, conf: ConfState, index: u64) -> raft::Result<()> {
        self.conf_index.set(self.conf_index.get().max(index));
        // The commit index is written together with the configuration, so that a restart never finds a
        // configuration ahead of its log.
        let hard = self.durable_hard_state(&self.hard_state(), &[])?;
        self.put_values(&[
            (key::CONF_STATE, encode(&conf, "configuration")?),
            (key::HARD_STATE, encode(&hard, "hard state")?),
        ])?;
        self.mem.set_conf_state_at(conf, index)
    }

    fn compact(&self, index: u64, data: Vec<u8>) -> raft::Result<()> {
        let mut snapshot = Snapshot { data: data.into(), ..Default::default() };
        let meta = snapshot.mut_metadata();
        meta.index = index;
        meta.term = self.mem.term(index)?;
        meta.set_conf_state(self.mem.initial_state()?.conf_state);
        // raft-rs does not start with a commit index below the snapshot. Compacted entries are always
        // applied.
        self.conf_index.set(self.conf_index.get().max(index));
        let hard = self.durable_hard_state(&self.hard_state(), &[])?;
        self.write_compaction(&snapshot, &hard)?;
        // The entry at `index` stays in memory, because raft-rs still asks for its term.
        self.mem.wl().compact(index)
    }
}

#[cfg(test)]
mod tests;
