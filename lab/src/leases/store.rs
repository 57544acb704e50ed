//! A member's store in memory that outlives its member, and counts what a disk would have to sync.

use notchdoor_coordination::log_storage::{needs_sync, LogStorage};
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Result, Storage};
use std::cell::Cell;
use std::rc::Rc;

/// See the module; clones share one store.
#[derive(Clone)]
pub struct Store {
    memory: MemStorage,
    syncs: Rc<Cell<u64>>,
}

impl Store {
    /// The store of a member of a group with this configuration at its founding.
    pub fn new(conf: ConfState) -> Store {
        Store { memory: MemStorage::new_with_conf_state(conf), syncs: Rc::default() }
    }

    /// Writes so far that a disk would have to sync.
    pub fn syncs(&self) -> u64 {
        self.syncs.get()
    }
}

impl Storage for Store {
    fn initial_state(&self) -> Result<RaftState> {
        self.memory.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max: impl Into<Option<u64>>,
        c: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        self.memory.entries(low, high, max, c)
    }

    fn term(&self, index: u64) -> Result<u64> {
        self.memory.term(index)
    }

    fn first_index(&self) -> Result<u64> {
        self.memory.first_index()
    }

    fn last_index(&self) -> Result<u64> {
        self.memory.last_index()
    }

    fn snapshot(&self, request_index: u64, to: u64) -> Result<Snapshot> {
        self.memory.snapshot(request_index, to)
    }
}

impl LogStorage for Store {
    fn keep(&self, snapshot: Option<&Snapshot>, entries: &[Entry], hard: Option<&HardState>) -> Result<()> {
        if needs_sync(snapshot, entries, hard, self.memory.rl().hard_state()) {
            self.syncs.set(self.syncs.get() + 1);
        }
        self.memory.keep(snapshot, entries, hard)
    }

    fn set_commit(&self, commit: u64) -> Result<()> {
        self.memory.set_commit(commit)
    }

    fn set_conf_state_at(&self, conf: ConfState, index: u64) -> Result<()> {
        self.syncs.set(self.syncs.get() + 1);
        self.memory.set_conf_state_at(conf, index)
    }

    fn compact(&self, index: u64, data: Vec<u8>) -> Result<()> {
        self.memory.compact(index, data)
    }
}
