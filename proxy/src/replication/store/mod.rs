//! The on-disk store of a replica node, a `redb` database. It contains the node's number, its start counter, and for each
//! shard a snapshot and the operations after it.

use crate::group::random_id;
use notchdoor_coordination::shard_map::NodeId;
use notchdoor_replication::ReplicatedState;
use notchdoor_replication::{ShardState, StoreWrite};
use redb::{Database, ReadableDatabase, ReadableTable, Table, TableDefinition, TableError, WriteTransaction};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io;
use std::marker::PhantomData;
use std::panic;
use std::path::{Path, PathBuf};

const FILE: &str = "copies.redb";
/// A new store is created under this name and renamed once it is complete, so that an interrupted start does not leave a
/// file that looks damaged.
const UNFINISHED_FILE: &str = "copies.redb.new";
/// A damaged store is renamed to this.
const DAMAGED_FILE: &str = "copies.damaged";

/// Numbers about the store, by the three keys below.
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const FORMAT_KEY: &str = "format";
const NODE_KEY: &str = "number";
const START_KEY: &str = "start";
/// For each shard, the sequence number of the last operation in the snapshot, and the state.
const SNAPSHOTS: TableDefinition<u32, &[u8]> = TableDefinition::new("whole");
/// The operations after the snapshot, by shard and sequence number.
const OPERATIONS: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("ops");

/// Version of the format; stores of another version are refused.
const FORMAT: u64 = 1;
/// A shard is compacted into a snapshot whenever its sequence number is a multiple of this.
const MAX_OPERATIONS_AFTER_SNAPSHOT: u64 = 512;

/// Why a store cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum StoreError {
    /// The database found its contents to be damaged.
    #[error("{0}")]
    Damaged(String),
    /// A row cannot be decoded.
    #[error("shard {shard}: cannot decode a row: {source}")]
    Row { shard: u32, source: postcard::Error },
    /// Operations are missing between `last` and `seq`.
    #[error("shard {shard}: operation {seq} follows operation {last}, those in between are missing")]
    Gap { shard: u32, seq: u64, last: u64 },
    /// The store has another version of the format.
    #[error("unsupported store format {0}, expected {FORMAT}")]
    Format(u64),
    /// A state or an operation cannot be encoded.
    #[error("shard {shard}: cannot encode a row: {source}")]
    Encode { shard: u32, source: postcard::Error },
    /// An operation of the database failed, or another process has it open.
    #[error("{0}")]
    Database(redb::Error),
    /// The store failed earlier and has not been reopened.
    #[error("the store failed earlier and has not been reopened yet")]
    Failed,
    /// The store belongs to the node with this number.
    #[error("the store now belongs to node {0:016x}")]
    OtherNode(NodeId),
    /// The store's directory or one of its files cannot be created, renamed or synced.
    #[error("{0}")]
    Folder(#[from] io::Error),
}

impl StoreError {
    /// Whether the stored contents are damaged, as opposed to an operation that failed.
    fn is_damage(&self) -> bool {
        matches!(self, StoreError::Damaged(_) | StoreError::Row { .. } | StoreError::Gap { .. })
    }
}

impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> StoreError {
        match error {
            redb::Error::Corrupted(why) => StoreError::Damaged(why),
            redb::Error::Io(e) if e.kind() == io::ErrorKind::InvalidData => {
                StoreError::Damaged(e.to_string())
            }
            other => StoreError::Database(other),
        }
    }
}

macro_rules! from_redb {
    ($($error:ty),*) => {$(
        impl From<$error> for StoreError {
            fn from(error: $error) -> StoreError {
                redb::Error::from(error).into()
            }
        }
    )*};
}

from_redb!(
    redb::DatabaseError,
    redb::TransactionError,
    redb::TableError,
    redb::StorageError,
    redb::CommitError
);

/// An open store. Only one process can open it at a time.
pub(super) struct Store<C> {
    database: Database,
    state: PhantomData<fn() -> C>,
    /// Blocks commits while set, to simulate a stalled disk.
    #[cfg(test)]
    pub(super) stalled: std::sync::Arc<std::sync::atomic::AtomicBool>,
}

/// The result of opening a store: the node's number, the number of this start, and the stored shards.
pub(super) struct OpenedStore<C: ReplicatedState> {
    pub(super) store: Store<C>,
    pub(super) node: NodeId,
    pub(super) start: u64,
    pub(super) shards: Vec<ShardState<C>>,
}

/// Opens the store in a directory, or creates it. The error is a single line that names the setting.
///
/// A damaged store is set aside and replaced by an empty one with a new node number. What the old node acknowledged is
/// stored by the other replicas; damaged data must neither be served nor be copied to them.
pub(super) fn open<C: ReplicatedState>(folder: &Path) -> Result<OpenedStore<C>, String> {
    create_folder(folder)
        .map_err(|e| format!("copies.data: cannot create directory {}: {e}", folder.display()))?;
    let file = folder.join(FILE);
    let described = |error: StoreError| format!("copies.data: {}: {error}", file.display());
    match open_file(&file) {
        Err(error) if error.is_damage() => {
            set_damaged_file_aside(&file, &error).map_err(described)?;
            open_file(&file).map_err(described)
        }
        opened => opened.map_err(described),
    }
}

fn create_folder(folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)
}

fn set_damaged_file_aside(file: &Path, error: &StoreError) -> Result<(), StoreError> {
    let aside: PathBuf = file.with_file_name(DAMAGED_FILE);
    log::error!(event = "damaged"; "copies: the store is damaged, setting it aside as {}: {error}", aside.display());
    Ok(fs::rename(file, &aside)?)
}

fn open_file<C: ReplicatedState>(file: &Path) -> Result<OpenedStore<C>, StoreError> {
    if !file.try_exists()? {
        create_file(file)?;
    }
    // A new file survives a power loss only once its directory is synced. Otherwise all replicas that started together
    // could lose their stores at once.
    if let Some(folder) = file.parent() {
        File::open(folder)?.sync_all()?;
    }
    open_untrusted(file)
}

/// Opens a file that may be corrupted, and reports a panic of `redb` as damage. `redb` trusts a file that was closed
/// cleanly, and may panic if it was changed since.
fn open_untrusted<C: ReplicatedState>(file: &Path) -> Result<OpenedStore<C>, StoreError> {
    let opened = panic::catch_unwind(|| open_database(Database::open(file)?));
    opened.unwrap_or_else(|_| Err(panicked()))
}

fn panicked() -> StoreError {
    StoreError::Damaged("the database panicked on its contents".to_owned())
}

fn create_file(file: &Path) -> Result<(), StoreError> {
    let unfinished = unfinished_file(file)?;
    initialize(Database::create(&unfinished)?)?;
    Ok(fs::rename(&unfinished, file)?)
}

/// The path for a new store, after removing what an earlier attempt left there.
fn unfinished_file(file: &Path) -> io::Result<PathBuf> {
    let unfinished = file.with_file_name(UNFINISHED_FILE);
    if unfinished.try_exists()? {
        fs::remove_file(&unfinished)?;
    }
    Ok(unfinished)
}

/// Writes the format version, a new node number and the tables to an empty database.
fn initialize(database: Database) -> Result<(), StoreError> {
    let transaction = database.begin_write()?;
    {
        let (_, _) = (transaction.open_table(SNAPSHOTS)?, transaction.open_table(OPERATIONS)?);
        let mut meta = transaction.open_table(META)?;
        meta.insert(FORMAT_KEY, FORMAT)?;
        meta.insert(NODE_KEY, random_id())?;
    }
    Ok(transaction.commit()?)
}

/// Reopens a failed store as another start of the same node.
///
/// After a failed sync the kernel may mark pages as clean that are not on the disk, so that a later sync of the same file
/// proves nothing. The contents are therefore copied to a new file, which replaces the old one once it is durable.
pub(super) fn recover<C: ReplicatedState>(folder: &Path, node: NodeId) -> Result<OpenedStore<C>, StoreError> {
    let file = folder.join(FILE);
    let unfinished = unfinished_file(&file)?;
    let failed = panic::catch_unwind(|| check_database(Database::open(&file)?));
    let (failed, number) = failed.unwrap_or_else(|_| Err(panicked()))?;
    if number != node {
        return Err(StoreError::OtherNode(number));
    }
    let shards = failed.load()?;
    let start = read_meta(&failed.database, START_KEY)?.unwrap_or(0) + 1;
    drop(failed);
    let store = Store::new(Database::create(&unfinished)?);
    store.write_full_state(node, start, &shards)?;
    fs::rename(&unfinished, &file)?;
    File::open(folder)?.sync_all()?;
    Ok(OpenedStore { store, node, start, shards })
}

/// Checks a database, records this start in it and loads the shards.
fn open_database<C: ReplicatedState>(database: Database) -> Result<OpenedStore<C>, StoreError> {
    let (store, node) = check_database(database)?;
    // The start number is durable before it is used.
    let start = store.begin_start()?;
    let shards = store.load()?;
    Ok(OpenedStore { store, node, start, shards })
}

/// Checks the integrity and the format of a database, and reads its node's number.
fn check_database<C: ReplicatedState>(mut database: Database) -> Result<(Store<C>, NodeId), StoreError> {
    // Reads do not verify checksums. A database that had to be repaired has lost acknowledged commits.
    if !database.check_integrity()? {
        return Err(StoreError::Damaged(
            "the last commit is damaged and could only be rolled back".to_owned(),
        ));
    }
    match read_meta(&database, FORMAT_KEY)? {
        // Older versions could stop between creating the file and the first commit.
        None => return Err(StoreError::Damaged("the store was never initialized".to_owned())),
        Some(FORMAT) => {}
        Some(other) => return Err(StoreError::Format(other)),
    }
    let node = read_meta(&database, NODE_KEY)?;
    let node = node.ok_or_else(|| StoreError::Damaged("the node number is missing".to_owned()))?;
    Ok((Store::new(database), node))
}

fn read_meta(database: &Database, key: &str) -> Result<Option<u64>, StoreError> {
    match database.begin_read()?.open_table(META) {
        Ok(meta) => Ok(meta.get(key)?.map(|value| value.value())),
        Err(TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

impl<C: ReplicatedState> Store<C> {
    fn new(database: Database) -> Store<C> {
        Store {
            database,
            state: PhantomData,
            #[cfg(test)]
            stalled: Default::default(),
        }
    }

    /// Increments the start counter and returns the new start's number.
    pub(super) fn begin_start(&self) -> Result<u64, StoreError> {
        let transaction = self.database.begin_write()?;
        let start = {
            let mut meta = transaction.open_table(META)?;
            let start = meta.get(START_KEY)?.map_or(0, |value| value.value()) + 1;
            meta.insert(START_KEY, start)?;
            start
        };
        transaction.commit()?;
        Ok(start)
    }

    /// Loads all shards.
    pub(super) fn load(&self) -> Result<Vec<ShardState<C>>, StoreError> {
        let transaction = self.database.begin_read()?;
        let mut shards: BTreeMap<u32, (u64, C)> = BTreeMap::new();
        for row in transaction.open_table(SNAPSHOTS)?.iter()? {
            let (shard, bytes) = row?;
            let shard = shard.value();
            shards.insert(shard, decode(shard, bytes.value())?);
        }
        for row in transaction.open_table(OPERATIONS)?.iter()? {
            let (key, bytes) = row?;
            let (shard, seq) = key.value();
            let operation: C::Operation = decode(shard, bytes.value())?;
            let (last, content) = shards.entry(shard).or_default();
            if seq != *last + 1 {
                return Err(StoreError::Gap { shard, seq, last: *last });
            }
            *last = seq;
            content.apply(&operation);
        }
        Ok(shards.into_iter().map(|(shard, (seq, content))| ShardState { shard, seq, content }).collect())
    }

    /// Writes the node's number, start counter and shards to an empty store.
    fn write_full_state(&self, node: NodeId, start: u64, shards: &[ShardState<C>]) -> Result<(), StoreError> {
        let transaction = self.database.begin_write()?;
        {
            let mut meta = transaction.open_table(META)?;
            for (key, value) in [(FORMAT_KEY, FORMAT), (NODE_KEY, node), (START_KEY, start)] {
                meta.insert(key, value)?;
            }
            let mut tables = ShardTables::open(&transaction)?;
            for ShardState { shard, seq, content } in shards {
                tables.replace_with_snapshot(*shard, *seq, content)?;
            }
        }
        Ok(transaction.commit()?)
    }

    /// Commits a batch of writes in one transaction, which is durable when this returns.
    pub(super) fn commit(&self, writes: &[StoreWrite<C>]) -> Result<(), StoreError> {
        #[cfg(test)]
        while self.stalled.load(std::sync::atomic::Ordering::SeqCst) {
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
        let transaction = self.database.begin_write()?;
        ShardTables::open(&transaction)?.write(writes)?;
        transaction.commit()?;
        Ok(())
    }
}

/// The tables of shards, opened in a transaction.
struct ShardTables<'t> {
    snapshots: Table<'t, u32, &'static [u8]>,
    operations: Table<'t, (u32, u64), &'static [u8]>,
}

impl<'t> ShardTables<'t> {
    fn open(transaction: &'t WriteTransaction) -> Result<Self, StoreError> {
        let (snapshots, operations) =
            (transaction.open_table(SNAPSHOTS)?, transaction.open_table(OPERATIONS)?);
        Ok(ShardTables { snapshots, operations })
    }

    fn write<C: ReplicatedState>(&mut self, writes: &[StoreWrite<C>]) -> Result<(), StoreError> {
        let mut due_for_compaction = BTreeSet::new();
        for write in writes {
            match write {
                StoreWrite::Append { shard, seq, operation } => {
                    self.operations.insert((*shard, *seq), encode(*shard, operation)?.as_slice())?;
                    if seq % MAX_OPERATIONS_AFTER_SNAPSHOT == 0 {
                        due_for_compaction.insert(*shard);
                    }
                }
                StoreWrite::Snapshot { shard, seq, content } => {
                    self.replace_with_snapshot(*shard, *seq, content)?;
                }
                StoreWrite::Remove { shard } => {
                    self.remove_operations(*shard)?;
                    self.snapshots.remove(*shard)?;
                }
            }
        }
        for shard in due_for_compaction {
            self.compact::<C>(shard)?;
        }
        Ok(())
    }

    /// Replaces the stored operations of a shard with a snapshot.
    fn compact<C: ReplicatedState>(&mut self, shard: u32) -> Result<(), StoreError> {
        let (mut seq, mut content): (u64, C) = match self.snapshots.get(shard)? {
            Some(bytes) => decode(shard, bytes.value())?,
            None => Default::default(),
        };
        for row in self.operations.range((shard, 0)..=(shard, u64::MAX))? {
            let (key, bytes) = row?;
            content.apply(&decode::<C::Operation>(shard, bytes.value())?);
            seq = key.value().1;
        }
        self.replace_with_snapshot(shard, seq, &content)
    }

    fn replace_with_snapshot<C: ReplicatedState>(
        &mut self,
        shard: u32,
        seq: u64,
        content: &C,
    ) -> Result<(), StoreError> {
        self.remove_operations(shard)?;
        self.snapshots.insert(shard, encode(shard, &(seq, content))?.as_slice())?;
        Ok(())
    }

    fn remove_operations(&mut self, shard: u32) -> Result<(), StoreError> {
        Ok(self.operations.retain_in((shard, 0)..=(shard, u64::MAX), |_, _| false)?)
    }
}

fn encode<T: serde::Serialize>(shard: u32, value: &T) -> Result<Vec<u8>, StoreError> {
    postcard::to_stdvec(value).map_err(|source| StoreError::Encode { shard, source })
}

fn decode<T: serde::de::DeserializeOwned>(shard: u32, bytes: &[u8]) -> Result<T, StoreError> {
    postcard::from_bytes(bytes).map_err(|source| StoreError::Row { shard, source })
}

#[cfg(test)]
mod fault_tests;
#[cfg(test)]
mod tests;
