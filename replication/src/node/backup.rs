//! The backup role: stores the operations and snapshots of the primary, and acknowledges them once they are
//! durable.

use super::{ReplicaNode, ShardRound};
use crate::replica::{Replica, SyncRound};
use crate::{digest, Message, ReplicatedState, StoreWrite};
use notchdoor_coordination::lease::Millis;
use notchdoor_coordination::shard_map::NodeId;

impl<C: ReplicatedState> ReplicaNode<C> {
    /// Returns the replica that a message from a primary applies to, if this node is a backup in the same
    /// epoch.
    fn backup_replica(&mut self, shard_round: ShardRound) -> Option<&mut Replica<C>> {
        let replica = self.replicas.get_mut(&shard_round.shard)?;
        // In an epoch later than that of its shard map, this node does not know its role yet.
        (replica.primary.is_none() && replica.epoch == shard_round.epoch).then_some(replica)
    }

    /// Handles the primary's digest: acknowledges if the local state is the same, otherwise requests a
    /// snapshot.
    pub(super) fn handle_digest(
        &mut self,
        from: NodeId,
        shard_round: ShardRound,
        seq: u64,
        primary_digest: u32,
    ) {
        let Some(replica) = self.backup_replica(shard_round) else { return };
        let round = Some(shard_round.round());
        let outdated = replica.last_sync > round || replica.last_sync == round && seq < replica.seq;
        if outdated {
            return;
        }
        if replica.seq == seq && digest(seq, &replica.content) == primary_digest {
            replica.last_sync = round;
            self.ack_when_durable(from, shard_round, seq);
        } else {
            self.request_snapshot(from, shard_round);
        }
    }

    fn request_snapshot(&mut self, from: NodeId, shard_round: ShardRound) {
        let ShardRound { shard, epoch, round } = shard_round;
        self.output.messages.push((from, Message::SnapshotRequest { shard, epoch, round }));
    }

    /// Handles a snapshot from the primary, which replaces the local state.
    pub(super) fn handle_snapshot(
        &mut self,
        now: Millis,
        from: NodeId,
        shard_round: ShardRound,
        seq: u64,
        content: C,
    ) {
        let snapshot_write = self.last_write + 1;
        let Some(replica) = self.backup_replica(shard_round) else { return };
        // Each round has one snapshot, so another copy is a duplicate.
        if replica.last_sync >= Some(shard_round.round()) {
            return;
        }
        replica.times = content.restored_times(now);
        (replica.content, replica.seq, replica.durable) = (content.clone(), seq, 0);
        replica.last_sync = Some(shard_round.round());
        replica.snapshot_write = snapshot_write;
        let shard = shard_round.shard;
        self.push_state_write(shard, seq, StoreWrite::Snapshot { shard, seq, content });
        self.ack_when_durable(from, shard_round, seq);
    }

    /// Handles the next operation from the primary.
    pub(super) fn handle_append(
        &mut self,
        now: Millis,
        from: NodeId,
        shard_round: ShardRound,
        seq: u64,
        operation: C::Operation,
    ) {
        let Some(replica) = self.backup_replica(shard_round) else { return };
        let round = Some(shard_round.round());
        if replica.last_sync > round {
            return;
        }
        if replica.last_sync < round || seq > replica.seq + 1 {
            return self.request_snapshot(from, shard_round);
        }
        if seq > replica.seq {
            replica.apply(&operation, now);
            let shard = shard_round.shard;
            self.push_state_write(shard, seq, StoreWrite::Append { shard, seq, operation });
        }
        self.ack_when_durable(from, shard_round, seq);
    }
}

impl ShardRound {
    fn round(self) -> SyncRound {
        SyncRound { epoch: self.epoch, round: self.round }
    }
}
