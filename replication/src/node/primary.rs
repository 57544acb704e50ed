//! The primary role: orders operations, sends them to the backups, commits operations that are durable on all
//! in-sync replicas, and answers queries from the committed state.

use super::{ReplicaNode, Requester, ShardRound, Variant};
use crate::replica::PendingOperation;
use crate::{digest, Message, NodeEvent, ReplicatedState, Response, StoreWrite};
use notchdoor_coordination::lease::Millis;
use notchdoor_coordination::shard_map::{NodeId, ShardMapChange};

/// Maximum number of uncommitted operations of one shard. Further operations are rejected.
pub const MAX_PENDING_OPERATIONS: usize = 1024;
/// Interval at which unacknowledged messages are sent again.
pub const RESEND_INTERVAL_MS: Millis = 100;
/// The primary proposes to drop an in-sync backup that leaves messages unacknowledged for this long.
pub const IN_SYNC_TIMEOUT_MS: Millis = 1_000;
/// Interval at which a primary without pending operations compares digests with its backups.
pub const DIGEST_INTERVAL_MS: Millis = 5_000;
/// Maximum number of operations that are resent to a backup at once.
const MAX_OPERATIONS_PER_RESEND: usize = 64;

impl<C: ReplicatedState> ReplicaNode<C> {
    /// Applies an operation and sends it to the backups, or rejects it.
    pub(super) fn propose(&mut self, now: Millis, shard: u32, operation: C::Operation, requester: Requester) {
        if !self.accepts_operations(now, shard) {
            return self.reject(requester);
        }
        let Some(replica) = self.replicas.get_mut(&shard) else { return };
        replica.apply(&operation, now);
        let (seq, epoch) = (replica.seq, replica.epoch);
        let Some(primary) = &mut replica.primary else { return };
        primary.pending.push_back(PendingOperation { seq, operation: operation.clone(), requester });
        for (id, backup) in primary.backups.iter_mut().filter(|(_, b)| b.acked.is_some()) {
            backup.unacked_since.get_or_insert(now);
            let round = backup.round;
            let message = Message::Append { shard, epoch, round, seq, operation: operation.clone() };
            self.output.messages.push((*id, message));
        }
        self.push_state_write(shard, seq, StoreWrite::Append { shard, seq, operation });
    }

    fn accepts_operations(&self, now: Millis, shard: u32) -> bool {
        let min_in_sync = self.shard_map.shape().map_or(1, |shape| shape.least);
        let in_sync = self.shard_map.shards().get(shard as usize).map_or(0, |s| s.in_sync.len());
        let primary = self.replicas.get(&shard).and_then(|r| r.primary.as_ref());
        let has_capacity = primary.is_some_and(|p| p.serving && p.pending.len() < MAX_PENDING_OPERATIONS);
        self.may_serve(now) && in_sync >= min_in_sync && has_capacity
    }

    /// Answers a query from the committed state, or rejects it if this node may not serve.
    pub(super) fn answer_query(&mut self, now: Millis, shard: u32, query: &C::Query, requester: Requester) {
        let confirmed = self.may_serve(now) || self.variant == Variant::UnconfirmedQueries;
        let replica = self.replicas.get(&shard).filter(|_| confirmed);
        let result = replica.and_then(|replica| {
            let primary = replica.primary.as_ref().filter(|primary| primary.serving)?;
            Some(primary.committed.query(&replica.times, query, now))
        });
        match result {
            Some(result) => self.respond(requester, Response::QueryResult(result)),
            None => self.reject(requester),
        }
    }

    /// Sends the digest of the state to all backups that have not acknowledged anything in this epoch.
    pub(super) fn send_initial_digests(&mut self, shard: u32) {
        let Some(replica) = self.replicas.get(&shard) else { return };
        let Some(primary) = &replica.primary else { return };
        let unsynchronized = primary.backups.iter().filter(|(_, b)| b.acked.is_none());
        let unsynchronized: Vec<_> = unsynchronized.map(|(id, b)| (*id, b.round)).collect();
        // Computing a digest reads the whole state, so skip it if no backup needs one.
        if unsynchronized.is_empty() {
            return;
        }
        let (epoch, seq) = (replica.epoch, replica.seq);
        let digest = digest(seq, &replica.content);
        let digest_message = |(id, round)| (id, Message::Digest { shard, epoch, round, seq, digest });
        self.output.messages.extend(unsynchronized.into_iter().map(digest_message));
    }

    /// Commits the operations that are durable on every in-sync replica, and proposes to add
    /// caught-up backups to the in-sync set.
    pub(super) fn advance_commit(&mut self, shard: u32) {
        let Some(replica) = self.replicas.get_mut(&shard) else { return };
        let (durable, epoch) = (replica.durable, replica.epoch);
        let Some(primary) = &mut replica.primary else { return };
        let durable_everywhere = match self.variant {
            Variant::PrimaryDiskOnly => Some(durable),
            _ => primary.durable_everywhere(durable),
        };
        primary.serving |= durable_everywhere >= Some(primary.committed_seq);
        let mut committed = Vec::new();
        while primary.pending.front().is_some_and(|pending| Some(pending.seq) <= durable_everywhere) {
            let Some(pending) = primary.pending.pop_front() else { break };
            primary.committed_seq = pending.seq;
            committed.push((pending.requester, primary.committed.apply(&pending.operation)));
        }
        // The committed state includes everything that clients were promised. A backup that has all of it may
        // join the in-sync set even if this primary does not serve yet or waits for a lost backup.
        let committed_seq = primary.committed_seq;
        if durable >= committed_seq {
            let caught_up =
                primary.backups.iter_mut().filter(|(_, b)| !b.in_sync && b.acked >= Some(committed_seq));
            for (node, backup) in caught_up {
                // Commits must wait for the backup from now on: as soon as the group has accepted the
                // proposal, the backup may become primary.
                backup.in_sync = true;
                self.output.map_changes.push(ShardMapChange::Caught {
                    shard,
                    epoch,
                    by: self.id,
                    node: *node,
                });
            }
        }
        for (requester, outcome) in committed {
            self.respond(requester, Response::Committed(outcome));
        }
    }

    /// Handles a backup's request for a snapshot: sends the whole state, which starts a new round.
    pub(super) fn handle_snapshot_request(&mut self, now: Millis, from: NodeId, shard_round: ShardRound) {
        let ShardRound { shard, epoch, round } = shard_round;
        let Some(replica) = self.replicas.get_mut(&shard).filter(|r| r.epoch == epoch) else { return };
        let (seq, content) = (replica.seq, &replica.content);
        let Some(primary) = &mut replica.primary else { return };
        let Some(backup) = primary.backups.get_mut(&from).filter(|b| b.round == round) else { return };
        primary.round += 1;
        backup.round = primary.round;
        backup.unacked_since.get_or_insert(now);
        // The backup had acknowledged this state but now reports a different one.
        if backup.acked.take().is_some() {
            self.output.events.push(NodeEvent::Diverged { shard, node: from });
        }
        let snapshot =
            Message::Snapshot { shard, epoch, round: primary.round, seq, content: content.clone() };
        self.output.messages.push((from, snapshot));
    }

    /// Records that all operations up to `seq` are durable on a backup.
    pub(super) fn handle_ack(&mut self, now: Millis, from: NodeId, shard_round: ShardRound, seq: u64) {
        let ShardRound { shard, epoch, round } = shard_round;
        let Some(replica) = self.replicas.get_mut(&shard).filter(|r| r.epoch == epoch) else { return };
        let last_seq = replica.seq;
        let backup = replica.primary.as_mut().and_then(|p| p.backups.get_mut(&from));
        let Some(backup) = backup.filter(|b| b.round == round) else { return };
        backup.acked = backup.acked.max(Some(seq.min(last_seq)));
        backup.unacked_since = (backup.acked < Some(last_seq)).then_some(now);
        self.advance_commit(shard);
    }

    /// Resends unacknowledged operations to the backups and repeats proposals that the group has not carried
    /// out yet.
    pub(super) fn update_backups(&mut self, now: Millis, shard: u32, compare_digests: bool) {
        let Some(replica) = self.replicas.get(&shard) else { return };
        let Some(primary) = &replica.primary else { return };
        let (epoch, seq, by) = (replica.epoch, replica.seq, self.id);
        let joining = self.shard_map.shards().get(shard as usize).map(|s| &s.joining);
        // While a replica is silent, it is the one to drop.
        let all_answer = primary.durable_everywhere(replica.durable).is_some();
        let surplus = self.shard_map.surplus_replica(shard).filter(|_| all_answer);
        // Replicas compare digests while idle, so that a divergence is found before the backup becomes
        // primary.
        let compare = compare_digests && primary.pending.is_empty();
        let digest = compare.then(|| digest(seq, &replica.content));
        for (id, backup) in &primary.backups {
            let node = *id;
            let slow = backup.unacked_since.is_some_and(|since| now >= since + IN_SYNC_TIMEOUT_MS);
            if backup.in_sync && (slow || surplus == Some(node)) {
                self.output.map_changes.push(ShardMapChange::Drop { shard, epoch, by, node });
            }
            let Some(acked) = backup.acked else { continue };
            if backup.in_sync && joining.is_some_and(|joining| joining.contains(id)) {
                self.output.map_changes.push(ShardMapChange::Caught { shard, epoch, by, node });
            }
            let round = backup.round;
            let unacked = primary.pending.iter().filter(|pending| pending.seq > acked);
            let resent = unacked.take(MAX_OPERATIONS_PER_RESEND).map(|pending| {
                let (seq, operation) = (pending.seq, pending.operation.clone());
                (node, Message::Append { shard, epoch, round, seq, operation })
            });
            self.output.messages.extend(resent);
            if let Some(digest) = digest {
                self.output.messages.push((node, Message::Digest { shard, epoch, round, seq, digest }));
            }
        }
        self.send_initial_digests(shard);
        self.advance_commit(shard);
    }
}
