//! A node: its replicas of shards, whatever its role in each. Its host feeds it the group's confirmations, messages of
//! other nodes, what has become durable and the time, and carries out its [`Output`].

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

/// The code as it is meant, or broken on purpose to see that the checkers find it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Variant {
    /// As it is meant.
    #[default]
    Correct,
    /// A primary commits once its own disk has an operation.
    PrimaryDiskOnly,
    /// A primary answers queries without the group's confirmation.
    UnconfirmedQueries,
    /// A backup acknowledges what its disk does not have yet.
    AckBeforeDurable,
}

/// A node that holds replicas.
pub struct ReplicaNode<C: ReplicatedState> {
    id: NodeId,
    start: u64,
    drift: Drift,
    variant: Variant,
    shard_map: ShardMap,
    /// Whether the group has sent a shard map since this start.
    has_map: bool,
    /// Until when this node may serve as a primary.
    serves_until: Millis,
    replicas: BTreeMap<u32, Replica<C>>,
    outstanding: BTreeMap<u64, OutstandingRequest>,
    recent_requests: RecentRequests,
    last_write: u64,
    /// What is due once a write is durable, each with the write's number.
    on_durable: VecDeque<(u64, OnDurable)>,
    resend_at: Millis,
    digest_at: Millis,
    /// A write has failed: nothing is promised any more.
    failed: bool,
    output: Output<C>,
}

impl<C: ReplicatedState> ReplicaNode<C> {
    /// A node with what its store holds, read by `now`.
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

    /// The shard map as the group last sent it.
    pub fn shard_map(&self) -> &ShardMap {
        &self.shard_map
    }

    /// The node's number, and that of its start.
    pub fn incarnation(&self) -> (NodeId, u64) {
        (self.id, self.start)
    }

    /// Whether it may serve as the primary of the shards that the map gives it.
    pub fn may_serve(&self, now: Millis) -> bool {
        !self.failed && now < self.serves_until
    }

    /// Replicas held, and how many of them are primaries.
    pub fn shard_counts(&self) -> (usize, usize) {
        (self.replicas.len(), self.replicas.values().filter(|r| r.primary.is_some()).count())
    }

    /// A shard's state with every operation that this node has applied.
    pub fn shard_state(&self, shard: u32) -> Option<ShardState<C>> {
        let replica = self.replicas.get(&shard)?;
        Some(ShardState { shard, seq: replica.seq, content: replica.content.clone() })
    }

    /// What this node has of a shard.
    pub fn shard_status(&self, shard: u32) -> Option<ShardStatus> {
        self.replicas.get(&shard).map(Replica::status)
    }

    /// What is to be done now.
    pub fn take_output(&mut self) -> Output<C> {
        self.output.last_write = self.last_write;
        std::mem::take(&mut self.output)
    }

    /// A write failed: this node promises nothing any more, not even what is written next. It still forwards its own
    /// clients' requests to other nodes.
    pub fn store_failed(&mut self) {
        self.failed = true;
        self.on_durable.clear();
    }

    /// Takes the group's answer to a request that was sent at `sent`. False where the group takes this start to be gone:
    /// the node has to join again, as another start.
    pub fn map_confirmed(&mut self, sent: Millis, confirmation: ShardMapConfirmation, now: Millis) -> bool {
        let newer = confirmation.table.filter(|t| t.version() >= self.shard_map.version());
        if let Some(table) = newer {
            self.shard_map = *table;
            self.has_map = true;
            self.apply_map(now);
        }
        // The confirmation of a version that this node does not have says nothing of the one that it has.
        if confirmation.up && self.has_map && confirmation.version == self.shard_map.version() {
            let until = self.drift.act_until(sent, confirmation.good_ms);
            self.serves_until = self.serves_until.max(until);
        }
        confirmation.up
    }

    /// Takes a message of another node.
    pub fn receive(&mut self, now: Millis, from: NodeId, message: Message<C>) {
        // Before the group has sent a map, no epoch is known to be the latest; a node outside the map is no node.
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
                // One that comes twice, rejected the first time and carried out the second, would make "certainly not
                // carried out" untrue.
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
            // Taken above, also where the store has failed.
            Message::Response { .. } => {}
        }
    }

    /// Time has passed: ends requests whose time is up, sends again what was not acknowledged, and asks the group to
    /// drop backups that are too slow.
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

/// What a message between primary and backup is of.
#[derive(Clone, Copy)]
struct ShardRound {
    shard: u32,
    epoch: u64,
    round: u64,
}
