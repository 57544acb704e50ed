//! A replication node: the replicas of one process, in whatever role each has. The host reports shard map
//! confirmations, messages, completed writes and the time, and carries out the node's [`Output`].

mod backup;
mod durability;
mod primary;
mod requests;
mod roles;

use crate::replica::Replica;
use crate::{Message, Output, ReplicatedState, ShardState, ShardStatus};
use durability::OnDurable;
use notchdoor_coordination::holder::Drift;
use notchdoor_coordination::lease::Millis;
use notchdoor_coordination::shard_map::{NodeId, ShardMap, ShardMapConfirmation};
pub(crate) use requests::Requester;
use requests::{OutstandingRequest, RecentRequests};
use std::collections::{BTreeMap, VecDeque};

pub use primary::{DIGEST_INTERVAL_MS, IN_SYNC_TIMEOUT_MS, MAX_PENDING_OPERATIONS, RESEND_INTERVAL_MS};
pub use requests::MAX_OUTSTANDING_REQUESTS;

/// Whether a node behaves correctly or has a deliberate fault, which tests use to verify that their checks
/// detect it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Variant {
    /// No fault.
    #[default]
    Correct,
    /// A primary commits an operation once it is durable on the primary alone.
    PrimaryDiskOnly,
    /// A primary answers queries without a valid confirmation from the lease group.
    UnconfirmedQueries,
    /// A backup acknowledges operations before they are durable.
    AckBeforeDurable,
}

/// One node and its replicas. All times are in milliseconds of the node's monotonic clock.
pub struct ReplicaNode<C: ReplicatedState> {
    id: NodeId,
    start: u64,
    drift: Drift,
    variant: Variant,
    shard_map: ShardMap,
    /// Whether the lease group has sent a shard map since this start.
    has_map: bool,
    /// The end of the period in which this node may serve as a primary.
    serves_until: Millis,
    replicas: BTreeMap<u32, Replica<C>>,
    outstanding: BTreeMap<u64, OutstandingRequest>,
    recent_requests: RecentRequests,
    last_write: u64,
    /// Actions to take once a write is durable, each with the write's number.
    on_durable: VecDeque<(u64, OnDurable)>,
    resend_at: Millis,
    digest_at: Millis,
    /// Set by [`ReplicaNode::store_failed`]. The node then acts neither as a primary nor as a backup.
    failed: bool,
    output: Output<C>,
}

impl<C: ReplicatedState> ReplicaNode<C> {
    /// Creates a node from the stored shards, read at `now`. `start` is the number of this start of the node
    /// and increases with every start.
    pub fn new(
        id: NodeId,
        start: u64,
        drift: Drift,
        stored: impl IntoIterator<Item = ShardState<C>>,
        now: Millis,
        variant: Variant,
    ) -> Self {
        let replica = |ShardState { shard, seq, content }| (shard, Replica::from_store(seq, content, now));
        ReplicaNode {
            id,
            start,
            drift,
            variant,
            shard_map: ShardMap::default(),
            has_map: false,
            serves_until: 0,
            replicas: stored.into_iter().map(replica).collect(),
            outstanding: BTreeMap::new(),
            recent_requests: RecentRequests::default(),
            last_write: 0,
            on_durable: VecDeque::new(),
            resend_at: 0,
            digest_at: 0,
            failed: false,
            output: Output::default(),
        }
    }

    /// Returns the shard map that the lease group last sent.
    pub fn shard_map(&self) -> &ShardMap {
        &self.shard_map
    }

    /// Returns the node's ID and the number of its start.
    pub fn incarnation(&self) -> (NodeId, u64) {
        (self.id, self.start)
    }

    /// Returns whether this node may serve as the primary of the shards that the map assigns to it.
    pub fn may_serve(&self, now: Millis) -> bool {
        !self.failed && now < self.serves_until
    }

    /// Returns the number of replicas on this node and how many of them are primaries.
    pub fn shard_counts(&self) -> (usize, usize) {
        (self.replicas.len(), self.replicas.values().filter(|r| r.primary.is_some()).count())
    }

    /// Returns a shard's state with all operations that this node has applied, or `None` without a replica.
    pub fn shard_state(&self, shard: u32) -> Option<ShardState<C>> {
        let replica = self.replicas.get(&shard)?;
        Some(ShardState { shard, seq: replica.seq, content: replica.content.clone() })
    }

    /// Returns the status of this node's replica of a shard, or `None` without a replica.
    pub fn shard_status(&self, shard: u32) -> Option<ShardStatus> {
        self.replicas.get(&shard).map(Replica::status)
    }

    /// Returns the actions that the host must carry out, and clears them.
    pub fn take_output(&mut self) -> Output<C> {
        self.output.last_write = self.last_write;
        std::mem::take(&mut self.output)
    }

    /// Reports that a write failed. From now on this node acknowledges and commits nothing, even if later
    /// writes succeed. It still forwards requests of its own clients to other nodes.
    pub fn store_failed(&mut self) {
        self.failed = true;
        self.on_durable.clear();
    }

    /// Handles the lease group's reply to a confirmation request that was sent at `sent`. Returns false if
    /// the group considers this start of the node down: the node must then join again with a new start
    /// number.
    pub fn map_confirmed(&mut self, sent: Millis, confirmation: ShardMapConfirmation, now: Millis) -> bool {
        let newer = confirmation.table.filter(|t| t.version() >= self.shard_map.version());
        if let Some(table) = newer {
            self.shard_map = *table;
            self.has_map = true;
            self.apply_map(now);
        }
        // A confirmation of a map version that this node does not have does not confirm the one that it has.
        if confirmation.up && self.has_map && confirmation.version == self.shard_map.version() {
            let until = self.drift.act_until(sent, confirmation.good_ms);
            self.serves_until = self.serves_until.max(until);
        }
        confirmation.up
    }

    /// Handles a message from another node.
    pub fn receive(&mut self, now: Millis, from: NodeId, message: Message<C>) {
        // Without a map from the group, the latest epoch of a shard is unknown. Nodes outside the map are
        // ignored.
        if !self.has_map || !self.shard_map.nodes().contains_key(&from) {
            return;
        }
        if let Message::Response { request, response } = message {
            return self.respond(Requester::Local(request), response);
        }
        if self.failed {
            return;
        }
        match message {
            Message::Execute { request, shard, operation } => {
                // A duplicate could be executed after the first copy was rejected, although a rejection
                // promises that the operation was not executed.
                if self.recent_requests.insert(from, request) {
                    self.propose(now, shard, operation, Requester::Remote(from, request));
                }
            }
            Message::Query { request, shard, query } => {
                self.answer_query(now, shard, &query, Requester::Remote(from, request));
            }
            Message::Digest { shard, epoch, round, seq, digest } => {
                self.handle_digest(from, ShardRound { shard, epoch, round }, seq, digest);
            }
            Message::Snapshot { shard, epoch, round, seq, content } => {
                self.handle_snapshot(now, from, ShardRound { shard, epoch, round }, seq, content);
            }
            Message::Append { shard, epoch, round, seq, operation } => {
                self.handle_append(now, from, ShardRound { shard, epoch, round }, seq, operation);
            }
            Message::SnapshotRequest { shard, epoch, round } => {
                self.handle_snapshot_request(now, from, ShardRound { shard, epoch, round });
            }
            Message::Ack { shard, epoch, round, seq } => {
                self.handle_ack(now, from, ShardRound { shard, epoch, round }, seq);
            }
            // Handled above, since responses are also accepted after a store failure.
            Message::Response { .. } => {}
        }
    }

    /// Expires requests that have reached their deadline, resends unacknowledged operations, and proposes to
    /// drop backups that exceed [`IN_SYNC_TIMEOUT_MS`] or the number of copies.
    pub fn tick(&mut self, now: Millis) {
        self.expire_requests(now);
        if self.failed || now < self.resend_at {
            return;
        }
        self.resend_at = now + RESEND_INTERVAL_MS;
        let compare_digests = now >= self.digest_at;
        if compare_digests {
            self.digest_at = now + DIGEST_INTERVAL_MS;
        }
        for shard in self.replicas.keys().copied().collect::<Vec<_>>() {
            self.update_backups(now, shard, compare_digests);
        }
    }
}

/// The shard, epoch and synchronization round of a message between a primary and a backup.
#[derive(Clone, Copy)]
struct ShardRound {
    shard: u32,
    epoch: u64,
    round: u64,
}
