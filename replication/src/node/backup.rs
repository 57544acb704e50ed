//! A backup of a shard: stores what its primary sends and acknowledges what is durable.

use super::{ReplicaNode, ShardRound};
use crate::replica::{Replica, SyncRound};
use crate::{digest, Message, ReplicatedState, StoreWrite};
use notchdoor_coordination::lease::Millis;
use notchdoor_coordination::shard_map::NodeId;

impl<C: ReplicatedState> ReplicaNode<C> {
    /// The replica that a primary of this epoch speaks to.
    fn backup_replica(&mut self, shard_round: ShardRound) -> Option<&mut Replica<C>> {
        let replica = self.replicas.get_mut(&shard_round.shard)?;
        // Of a later epoch than its map's this node does not know its role yet.
        (replica.primary.is_none() && replica.epoch == shard_round.epoch).then_some(replica)
    }

    /// The primary's digest: the state here is the same, or a snapshot is needed.
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

    /// The primary's whole state, in place of what is here.
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
        // Each round has one snapshot; a second copy of it is out of date.
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

    /// The primary's next operation.
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
