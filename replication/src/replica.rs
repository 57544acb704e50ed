//! One node's replica of one shard, and what its primary knows of the backups.

use crate::node::Requester;
use crate::ReplicatedState;
use notchdoor_coordination::lease::Millis;
use notchdoor_coordination::shard_map::NodeId;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// A shard's state as a store holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardState<C: ReplicatedState> {
    /// The shard.
    pub shard: u32,
    /// The last operation in the state.
    pub seq: u64,
    /// The state.
    pub content: C,
}

/// What a node has of a shard, for operators and tests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ShardStatus {
    /// The epoch that the replica follows.
    pub epoch: u64,
    /// The last operation that it has applied.
    pub seq: u64,
    /// The last operation that is durable here.
    pub durable: u64,
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Whether, as the primary, it has brought its backups to its state and serves.
    pub serving: bool,
    /// Operations that wait for backups.
    pub pending: usize,
    /// What each backup has acknowledged in this epoch.
    pub acked: BTreeMap<NodeId, Option<u64>>,
}

/// The synchronization of a backup with its primary. Rounds are counted within an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SyncRound {
    pub(crate) epoch: u64,
    pub(crate) round: u64,
}

/// A replica of a shard.
#[derive(Default)]
pub(crate) struct Replica<C: ReplicatedState> {
    pub(crate) epoch: u64,
    /// The state with every operation so far, durable or not.
    pub(crate) content: C,
    /// When this node applied it.
    pub(crate) times: C::LocalTimes,
    /// The last operation in the state.
    pub(crate) seq: u64,
    /// The last operation that is durable here.
    pub(crate) durable: u64,
    /// The write that last replaced the state whole: earlier writes say nothing of what is durable of this one.
    pub(crate) snapshot_write: u64,
    /// The round in which the replica was brought to its primary's state. Messages of an earlier one may still come, by
    /// an older connection, and are out of date.
    pub(crate) last_sync: Option<SyncRound>,
    pub(crate) primary: Option<PrimaryState<C>>,
}

impl<C: ReplicatedState> Replica<C> {
    /// A replica as the store holds it, read by `now`.
    pub(crate) fn from_store(seq: u64, content: C, now: Millis) -> Self {
        let times = content.restored_times(now);
        Replica { content, times, seq, durable: seq, ..Replica::default() }
    }

    /// Applies the next operation.
    pub(crate) fn apply(&mut self, operation: &C::Operation, now: Millis) {
        self.seq += 1;
        let outcome = self.content.apply(operation);
        self.content.record_applied(&mut self.times, operation, &outcome, now);
    }

    pub(crate) fn status(&self) -> ShardStatus {
        let primary = self.primary.as_ref();
        let acked = |p: &PrimaryState<C>| p.backups.iter().map(|(id, b)| (*id, b.acked)).collect();
        ShardStatus {
            epoch: self.epoch,
            seq: self.seq,
            durable: self.durable,
            is_primary: primary.is_some(),
            serving: primary.is_some_and(|p| p.serving),
            pending: primary.map_or(0, |p| p.pending.len()),
            acked: primary.map(acked).unwrap_or_default(),
        }
    }
}

/// What a replica has beside its state while it is the primary.
pub(crate) struct PrimaryState<C: ReplicatedState> {
    pub(crate) backups: BTreeMap<NodeId, BackupProgress>,
    /// The state with the committed operations alone: queries are answered from it, and nothing in it is taken back.
    pub(crate) committed: C,
    pub(crate) committed_seq: u64,
    /// Operations that are not committed yet, in order.
    pub(crate) pending: VecDeque<PendingOperation<C>>,
    /// The last round that a backup was synchronized in.
    pub(crate) round: u64,
    /// Whether all in-sync backups were brought to what this primary took over.
    pub(crate) serving: bool,
}

impl<C: ReplicatedState> PrimaryState<C> {
    /// Begins with the state that the replica has: all that was ever committed is in it.
    pub(crate) fn new(backups: BTreeMap<NodeId, BackupProgress>, committed: C, committed_seq: u64) -> Self {
        PrimaryState { backups, committed, committed_seq, pending: VecDeque::new(), round: 1, serving: false }
    }

    /// The last operation that every in-sync replica has on its disk, where the primary has `durable`. None while one
    /// of them has acknowledged nothing in this epoch.
    pub(crate) fn durable_everywhere(&self, durable: u64) -> Option<u64> {
        let mut in_sync = self.backups.values().filter(|b| b.in_sync);
        in_sync.try_fold(durable, |lowest, backup| Some(lowest.min(backup.acked?)))
    }
}

/// An operation that waits for its backups.
pub(crate) struct PendingOperation<C: ReplicatedState> {
    pub(crate) seq: u64,
    pub(crate) operation: C::Operation,
    pub(crate) requester: Requester,
}

/// A backup as its primary knows it.
pub(crate) struct BackupProgress {
    /// The round that it is synchronized in; acknowledgements of another one are out of date.
    pub(crate) round: u64,
    /// The last operation that it has acknowledged in this epoch.
    pub(crate) acked: Option<u64>,
    /// Operations wait for it: it is in sync, or the group was asked to take it in.
    pub(crate) in_sync: bool,
    /// Since when an acknowledgement has been due.
    pub(crate) unacked_since: Option<Millis>,
}

impl BackupProgress {
    pub(crate) fn new(round: u64, in_sync: bool, now: Millis) -> Self {
        BackupProgress { round, acked: None, in_sync, unacked_since: Some(now) }
    }
}
