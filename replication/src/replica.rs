//! The state of one node's replica of one shard, and the primary's view of its backups.

use crate::node::Requester;
use crate::ReplicatedState;
use notchdoor_coordination::lease::Millis;
use notchdoor_coordination::shard_map::NodeId;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// A shard's state as loaded from a store.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardState<C: ReplicatedState> {
    /// The index of the shard in the shard map.
    pub shard: u32,
    /// The sequence number of the last operation in the state.
    pub seq: u64,
    /// The state after all operations up to `seq`.
    pub content: C,
}

/// The status of a node's replica of a shard, for operators and tests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ShardStatus {
    /// The epoch in which the replica has its current role.
    pub epoch: u64,
    /// The sequence number of the last applied operation.
    pub seq: u64,
    /// The sequence number of the last operation that is durable on this node.
    pub durable: u64,
    /// Whether this node is the primary.
    pub is_primary: bool,
    /// Whether this node is the primary and has synchronized its in-sync backups, so that it serves requests.
    pub serving: bool,
    /// Number of operations that are not yet committed.
    pub pending: usize,
    /// The last operation that each backup has acknowledged in this epoch; none if it has acknowledged
    /// nothing.
    pub acked: BTreeMap<NodeId, Option<u64>>,
}

/// Identifies one synchronization of a backup with its primary. `round` is counted within an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SyncRound {
    pub(crate) epoch: u64,
    pub(crate) round: u64,
}

/// A node's replica of a shard.
#[derive(Default)]
pub(crate) struct Replica<C: ReplicatedState> {
    pub(crate) epoch: u64,
    /// The state with all applied operations, durable or not.
    pub(crate) content: C,
    /// When this node applied the operations in `content`.
    pub(crate) times: C::LocalTimes,
    /// The sequence number of the last applied operation.
    pub(crate) seq: u64,
    /// The sequence number of the last operation that is durable on this node.
    pub(crate) durable: u64,
    /// The number of the write that last replaced the whole state. Completed writes with a lower number say
    /// nothing about how much of the current state is durable.
    pub(crate) snapshot_write: u64,
    /// The round in which this replica was last synchronized with its primary. Messages of an earlier round,
    /// which may still arrive over an older connection, are ignored.
    pub(crate) last_sync: Option<SyncRound>,
    pub(crate) primary: Option<PrimaryState<C>>,
}

impl<C: ReplicatedState> Replica<C> {
    /// Creates a replica from the stored state, read at `now`.
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

/// Additional state of a replica that is the primary.
pub(crate) struct PrimaryState<C: ReplicatedState> {
    pub(crate) backups: BTreeMap<NodeId, BackupProgress>,
    /// The state with only the committed operations. Queries are answered from it.
    pub(crate) committed: C,
    pub(crate) committed_seq: u64,
    /// Operations that are not yet committed, in order.
    pub(crate) pending: VecDeque<PendingOperation<C>>,
    /// The last round that was assigned to a backup.
    pub(crate) round: u64,
    /// Whether all in-sync backups have the state with which this primary started.
    pub(crate) serving: bool,
}

impl<C: ReplicatedState> PrimaryState<C> {
    /// Starts with the whole state of the replica as committed, since it includes every committed operation.
    pub(crate) fn new(backups: BTreeMap<NodeId, BackupProgress>, committed: C, committed_seq: u64) -> Self {
        PrimaryState { backups, committed, committed_seq, pending: VecDeque::new(), round: 1, serving: false }
    }

    /// Returns the last operation that is durable on every in-sync replica, given the last one that is
    /// durable on the primary. None if an in-sync backup has not acknowledged anything in this epoch.
    pub(crate) fn durable_everywhere(&self, durable: u64) -> Option<u64> {
        let mut in_sync = self.backups.values().filter(|b| b.in_sync);
        in_sync.try_fold(durable, |lowest, backup| Some(lowest.min(backup.acked?)))
    }
}

/// An operation that is not yet durable on every in-sync replica.
pub(crate) struct PendingOperation<C: ReplicatedState> {
    pub(crate) seq: u64,
    pub(crate) operation: C::Operation,
    pub(crate) requester: Requester,
}

/// The primary's view of a backup.
pub(crate) struct BackupProgress {
    /// The backup's synchronization round. Acknowledgements of another round are ignored.
    pub(crate) round: u64,
    /// The last operation that the backup has acknowledged in this epoch.
    pub(crate) acked: Option<u64>,
    /// Whether a commit requires this backup's acknowledgement: it is in sync, or the primary has proposed to
    /// add it to the in-sync set.
    pub(crate) in_sync: bool,
    /// When the wait for an acknowledgement began; each acknowledgement restarts it. None if the backup has
    /// acknowledged everything.
    pub(crate) unacked_since: Option<Millis>,
}

impl BackupProgress {
    pub(crate) fn new(round: u64, in_sync: bool, now: Millis) -> Self {
        BackupProgress { round, acked: None, in_sync, unacked_since: Some(now) }
    }
}
