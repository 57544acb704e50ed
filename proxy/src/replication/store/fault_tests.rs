//! Fault injection for the store: each disk call in turn fails or stops the machine. Acknowledged writes must survive, and
//! failed ones must be reported.

use super::*;
use notchdoor_negative_cache::{NegativeCacheShard, Operation};
use redb::{Builder, StorageBackend};
use std::sync::{Arc, Mutex};

/// The fault that a disk shows from a given write, sync or change of length on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// `calls` calls fail with this error; later ones succeed.
    FailCalls {
        errno: i32,
        calls: usize,
    },
    /// The machine stops, and unsynced writes may be lost or torn.
    StopMachine {
        unsynced: UnsyncedWrites,
    },
}

/// What remains of the writes since the last sync after the machine has stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
enum UnsyncedWrites {
    Lost,
    Kept,
    /// Every second write is kept, and the first half of the last one.
    EverySecondKept,
}

#[derive(Clone, Debug)]
enum FileChange {
    Write(u64, Vec<u8>),
    Length(u64),
}

impl FileChange {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            FileChange::Length(length) => bytes.resize(*length as usize, 0),
            FileChange::Write(offset, data) => {
                let end = *offset as usize + data.len();
                if bytes.len() < end {
                    bytes.resize(end, 0);
                }
                bytes[*offset as usize..end].copy_from_slice(data);
            }
        }
    }
}

#[derive(Debug, Default)]
struct Contents {
    /// The contents that the process reads.
    current: Vec<u8>,
    durable: Vec<u8>,
    unsynced: Vec<FileChange>,
    calls: usize,
    failed_calls: usize,
    /// Whether the file was completed and renamed. The next start removes an unfinished one.
    named: bool,
}

/// An in-memory disk with one file, which simulated processes open one after another.
#[derive(Clone, Debug)]
struct Disk {
    contents: Arc<Mutex<Contents>>,
    fault: Fault,
    first_call: usize,
}

impl Disk {
    fn new(fault: Fault, first_call: usize) -> Disk {
        Disk { contents: Arc::default(), fault, first_call }
    }

    fn calls(&self) -> usize {
        self.contents.lock().unwrap().calls
    }

    /// The disk after the machine has stopped and restarted, without further faults.
    fn after_stop(&self, kept: UnsyncedWrites) -> Disk {
        let contents = self.contents.lock().unwrap();
        if !contents.named {
            return Disk::new(Fault::None, 0);
        }
        let mut bytes = contents.durable.clone();
        let last = contents.unsynced.len().saturating_sub(1);
        for (n, change) in contents.unsynced.iter().enumerate() {
            match (kept, change) {
                (UnsyncedWrites::Lost, _) => {}
                (UnsyncedWrites::EverySecondKept, FileChange::Write(offset, data)) if n == last => {
                    FileChange::Write(*offset, data[..data.len() / 2].to_vec()).apply(&mut bytes);
                }
                (UnsyncedWrites::EverySecondKept, _) if n % 2 == 1 => {}
                _ => change.apply(&mut bytes),
            }
        }
        let contents =
            Contents { current: bytes.clone(), durable: bytes, named: true, ..Contents::default() };
        Disk { contents: Arc::new(Mutex::new(contents)), fault: Fault::None, first_call: 0 }
    }

    /// The disk after the process has restarted, without further faults. The system keeps unsynced writes.
    fn after_process_restart(&self) -> Disk {
        self.after_stop(UnsyncedWrites::Kept)
    }

    fn call(&self, contents: &mut Contents) -> io::Result<()> {
        contents.calls += 1;
        if contents.calls < self.first_call {
            return Ok(());
        }
        match self.fault {
            Fault::FailCalls { errno, calls } if contents.failed_calls < calls => {
                contents.failed_calls += 1;
                Err(io::Error::from_raw_os_error(errno))
            }
            Fault::StopMachine { .. } => Err(io::Error::other("the simulated machine has stopped")),
            _ => Ok(()),
        }
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.contents.lock().unwrap().current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let contents = self.contents.lock().unwrap();
        let range = offset as usize..offset as usize + out.len();
        let bytes = contents.current.get(range).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.change(FileChange::Length(length))
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut contents = self.contents.lock().unwrap();
        self.call(&mut contents)?;
        contents.durable = contents.current.clone();
        contents.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.change(FileChange::Write(offset, data.to_vec()))
    }
}

impl Disk {
    fn change(&self, change: FileChange) -> io::Result<()> {
        let mut contents = self.contents.lock().unwrap();
        if let Err(error) = self.call(&mut contents) {
            // The write during which the machine stops may be torn.
            if matches!(self.fault, Fault::StopMachine { .. }) && contents.failed_calls == 0 {
                contents.failed_calls = 1;
                contents.unsynced.push(change);
            }
            return Err(error);
        }
        change.apply(&mut contents.current);
        contents.unsynced.push(change);
        Ok(())
    }
}

type TestStore = OpenedStore<NegativeCacheShard>;

fn open_on(disk: &Disk) -> Result<TestStore, StoreError> {
    if !disk.contents.lock().unwrap().named {
        initialize(Builder::new().create_with_backend(disk.clone())?)?;
        disk.contents.lock().unwrap().named = true;
    }
    open_database(Builder::new().create_with_backend(disk.clone())?)
}

fn operation(seq: u64) -> Operation {
    match seq % 3 {
        0 => Operation::Invalidate { key: format!("key-{seq}").into_bytes() },
        _ => Operation::Insert { key: format!("key-{seq}").into_bytes(), token: seq / 3, at: seq },
    }
}

/// The state of the shard after the operations up to `seq`.
fn state_at(seq: u64) -> NegativeCacheShard {
    let mut content = NegativeCacheShard::default();
    for seq in 1..=seq {
        content.apply(&operation(seq));
    }
    content
}

const SHARD: u32 = 3;
/// The last sequence number of each batch. They go beyond the first compaction.
const BATCHES: [u64; 6] = [1, 2, 5, 500, 513, 514];

/// What the store acknowledged to one process.
#[derive(Debug, Default)]
struct Acknowledged {
    node: Option<NodeId>,
    start: u64,
    seq: u64,
    /// The last operation of the last batch that was passed to `commit`.
    attempted: u64,
    failures: usize,
}

/// Opens a store and commits the batches until one fails.
fn run_node(disk: &Disk) -> Acknowledged {
    let mut acknowledged = Acknowledged::default();
    let opened = match open_on(disk) {
        Ok(opened) => opened,
        Err(error) => {
            assert!(!error.is_damage(), "a failed call was reported as damage: {error}");
            acknowledged.failures += 1;
            return acknowledged;
        }
    };
    (acknowledged.node, acknowledged.start) = (Some(opened.node), opened.start);
    for end in BATCHES {
        let writes: Vec<_> = (acknowledged.seq + 1..=end)
            .map(|seq| StoreWrite::Append { shard: SHARD, seq, operation: operation(seq) })
            .collect();
        acknowledged.attempted = end;
        if opened.store.commit(&writes).is_err() {
            acknowledged.failures += 1;
            return acknowledged;
        }
        acknowledged.seq = end;
    }
    acknowledged
}

/// Asserts that a new process finds all acknowledged operations, and none that were never passed to `commit`.
fn assert_acknowledged_data_restored(disk: &Disk, acknowledged: &Acknowledged, case: &str) {
    let opened = open_on(disk).unwrap_or_else(|error| panic!("{case}: {acknowledged:?}: {error}"));
    assert!(acknowledged.node.is_none_or(|node| node == opened.node), "{case}: the node number changed");
    assert!(
        opened.start > acknowledged.start,
        "{case}: start number {} after {}",
        opened.start,
        acknowledged.start
    );
    let restored = opened.shards.iter().find(|restored| restored.shard == SHARD);
    let seq = restored.map_or(0, |restored| restored.seq);
    assert!(
        (acknowledged.seq..=acknowledged.attempted).contains(&seq),
        "{case}: restored up to {seq}, {acknowledged:?}"
    );
    if let Some(restored) = restored {
        assert_eq!(restored.content, state_at(seq), "{case}: state after operation {seq}");
    }
}

fn calls_in_run_without_fault() -> usize {
    let disk = Disk::new(Fault::None, 0);
    let acknowledged = run_node(&disk);
    assert_eq!((acknowledged.seq, acknowledged.failures), (514, 0));
    disk.calls()
}

#[test]
fn acknowledged_writes_survive_failing_disk_calls() {
    const ENOSPC: i32 = 28;
    const EIO: i32 = 5;
    let calls = calls_in_run_without_fault();
    assert!(calls > 30, "{calls} calls");
    for errno in [ENOSPC, EIO] {
        for failing in [1, 3, usize::MAX] {
            for first_call in 1..=calls {
                let fault = Fault::FailCalls { errno, calls: failing };
                let disk = Disk::new(fault, first_call);
                let acknowledged = run_node(&disk);
                let case = format!("{fault:?} from call {first_call} on");
                // Only calls that close the file come after the last commit.
                assert!(acknowledged.failures == 1 || acknowledged.seq == 514, "{case}: {acknowledged:?}");
                assert_acknowledged_data_restored(&disk.after_process_restart(), &acknowledged, &case);
            }
        }
    }
}

#[test]
fn acknowledged_writes_survive_a_machine_stop_at_any_disk_call() {
    let calls = calls_in_run_without_fault();
    for unsynced in [UnsyncedWrites::Lost, UnsyncedWrites::Kept, UnsyncedWrites::EverySecondKept] {
        for first_call in 1..=calls {
            let fault = Fault::StopMachine { unsynced };
            let disk = Disk::new(fault, first_call);
            let acknowledged = run_node(&disk);
            assert_acknowledged_data_restored(
                &disk.after_stop(unsynced),
                &acknowledged,
                &format!("{fault:?} at call {first_call}"),
            );
        }
    }
}

#[test]
fn acknowledging_before_sync_is_detected_as_data_loss() {
    let calls = calls_in_run_without_fault();
    let lost = (1..=calls).filter(|first_call| {
        let disk = Disk::new(Fault::StopMachine { unsynced: UnsyncedWrites::Lost }, *first_call);
        let acknowledged = run_node(&disk);
        // Simulates a store that acknowledges a batch before its commit returns.
        let early = Acknowledged { seq: acknowledged.attempted, ..acknowledged };
        let result = std::panic::catch_unwind(|| {
            assert_acknowledged_data_restored(&disk.after_stop(UnsyncedWrites::Lost), &early, "early");
        });
        result.is_err()
    });
    assert!(lost.count() > 3);
}
