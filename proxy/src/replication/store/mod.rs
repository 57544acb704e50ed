//! A replica's store on disk (`redb`): the node's number, the count of its starts, and of each shard a snapshot and the
//! operations after it.

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
/// A file that is being made. It gets its name once it is whole: a start that fails half-way leaves no store that later
/// ones would take to be damaged.
const UNFINISHED_FILE: &str = "copies.redb.new";
/// Where a damaged file is put aside.
const DAMAGED_FILE: &str = "copies.damaged";

/// The store's own numbers by name: see the three keys below.
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const FORMAT_KEY: &str = "format";
const NODE_KEY: &str = "number";
const START_KEY: &str = "start";
/// By shard, the sequence number of a snapshot's last operation, and the state.
const SNAPSHOTS: TableDefinition<u32, &[u8]> = TableDefinition::new("whole");
/// By shard and sequence number, an operation after the snapshot.
const OPERATIONS: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("ops");

/// The format of the store; another one is refused by its number.
const FORMAT: u64 = 1;
/// Operations of a shard that are stored before a snapshot takes their place.
const MAX_OPERATIONS_AFTER_SNAPSHOT: u64 = 512;

/// Why a store cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum StoreError {
    /// Its bytes are not those that were written.
    #[error("{0}")]
    Damaged(String),
    /// A row is not what was written there.
    #[error("shard {shard}: {source}")]
    Row { shard: u32, source: postcard::Error },
    /// An operation is missing before this one.
    #[error("shard {shard}: operation {seq} comes after {last}")]
    Gap { shard: u32, seq: u64, last: u64 },
    /// It was written by another version of the program.
    #[error("format {0}, where {FORMAT} is read")]
    Format(u64),
    /// A state or an operation cannot be written down.
    #[error("shard {shard}: cannot be encoded: {source}")]
    Encode { shard: u32, source: postcard::Error },
    /// The database failed here and now, or is another process's.
    #[error("{0}")]
    Database(redb::Error),
    /// It has failed before, and was not opened again since.
    #[error("it has failed and was not opened again yet")]
    Failed,
    /// It is another node's.
    #[error("it is of node {0:016x} now")]
    OtherNode(NodeId),
    /// Its folder cannot be made, written or synchronized.
    #[error("{0}")]
    Folder(#[from] io::Error),
}

impl StoreError {
    /// Whether the contents are wrong, other than an operation on them having failed.
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

/// An open store. One process has it open at a time.
pub(super) struct Store<C> {
    database: Database,
    state: PhantomData<fn() -> C>,
    /// Commits wait for as long as this is set: a disk that stands still.
    #[cfg(test)]
    pub(super) stalled: std::sync::Arc<std::sync::atomic::AtomicBool>,
}

/// A store as it was opened: which start of which node this is, and what it holds.
pub(super) struct OpenedStore<C: ReplicatedState> {
    pub(super) store: Store<C>,
    pub(super) node: NodeId,
    pub(super) start: u64,
    pub(super) shards: Vec<ShardState<C>>,
}

/// Opens or makes the store in a folder; the error is one line that names the setting.
///
/// A damaged store is put aside and another one made, with another node number: what it promised is on the other
/// replicas' disks, while bytes that have changed must neither be answered from nor be copied.
pub(super) fn open<C: ReplicatedState>(folder: &Path) -> Result<OpenedStore<C>, String> {
    create_folder(folder).map_err(|e| format!("copies.data: cannot make {}: {e}", folder.display()))?;
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
    log::error!(event = "damaged"; "copies: the store is damaged, it is put aside as {}: {error}", aside.display());
    Ok(fs::rename(file, &aside)?)
}

fn open_file<C: ReplicatedState>(file: &Path) -> Result<OpenedStore<C>, StoreError> {
    if !file.try_exists()? {
        create_file(file)?;
    }
    // A name is found after a loss of power only once its folder is on the disk, too: without, all replicas that began
    // together could come back empty.
    if let Some(folder) = file.parent() {
        File::open(folder)?.sync_all()?;
    }
    open_untrusted(file)
}

/// Opens a file whose bytes may be other ones than were written. `redb` trusts a file that was closed in order and may
/// panic on one that was changed since; its check at the opening would not, but goes back to the commit before where
/// the last one is damaged, without reporting it.
fn open_untrusted<C: ReplicatedState>(file: &Path) -> Result<OpenedStore<C>, StoreError> {
    let opened = panic::catch_unwind(|| open_database(Database::open(file)?));
    opened.unwrap_or_else(|_| Err(panicked()))
}

fn panicked() -> StoreError {
    StoreError::Damaged("its bytes make the database panic".to_owned())
}

fn create_file(file: &Path) -> Result<(), StoreError> {
    let unfinished = unfinished_file(file)?;
    initialize(Database::create(&unfinished)?)?;
    Ok(fs::rename(&unfinished, file)?)
}

/// The name of a file that is being made, of which an earlier attempt left nothing.
fn unfinished_file(file: &Path) -> io::Result<PathBuf> {
    let unfinished = file.with_file_name(UNFINISHED_FILE);
    if unfinished.try_exists()? {
        fs::remove_file(&unfinished)?;
    }
    Ok(unfinished)
}

/// Writes the format, a new node's number and the tables into an empty database.
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

/// Opens a store again after it has failed, as another start of the same node.
///
/// After a failed sync the system may take pages to be clean that are not on the disk, so that a later sync of the same
/// file promises nothing: what is read of it is written whole into a new file, which takes its name once it is durable.
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

/// Checks a database, counts this start in it and reads what it holds.
fn open_database<C: ReplicatedState>(database: Database) -> Result<OpenedStore<C>, StoreError> {
    let (store, node) = check_database(database)?;
    // The count of starts is on the disk before this start number is used.
    let start = store.begin_start()?;
    let shards = store.load()?;
    Ok(OpenedStore { store, node, start, shards })
}

/// Checks a database whole, and reads which node's it is.
fn check_database<C: ReplicatedState>(mut database: Database) -> Result<(Store<C>, NodeId), StoreError> {
    // Reads alone check nothing. One that had to be repaired went back behind what it promised.
    if !database.check_integrity()? {
        return Err(StoreError::Damaged("it could only be mended by going back".to_owned()));
    }
    match read_meta(&database, FORMAT_KEY)? {
        // A build before this one could stop between the making of its file and its first commit.
        None => return Err(StoreError::Damaged("it was never finished".to_owned())),
        Some(FORMAT) => {}
        Some(other) => return Err(StoreError::Format(other)),
    }
    let node = read_meta(&database, NODE_KEY)?;
    let node = node.ok_or_else(|| StoreError::Damaged("it has no number of its node".to_owned()))?;
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

    /// Counts another start, and gives its number.
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

    /// Reads the shards that the store holds.
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

    /// Writes all of a node's state into an empty store.
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

    /// Carries out a batch of writes; all of it is durable once this returns.
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

/// The two tables of shards within a transaction.
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

    /// Stores a shard's state in place of the operations that led to it.
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
