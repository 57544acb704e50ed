//! Writes to the store, and the actions that follow once they are durable.

use super::{ReplicaNode, ShardRound, Variant};
use crate::{Message, ReplicatedState, StoreWrite};
use notchdoor_coordination::shard_map::NodeId;

/// An action to take once a write is durable.
pub(super) enum OnDurable {
    /// Records that the shard's operations up to `seq` are durable on this node.
    AdvanceDurable { shard: u32, seq: u64 },
    /// Acknowledges the operations up to `seq` to the primary.
    SendAck { to: NodeId, shard_round: ShardRound, seq: u64 },
}

impl<C: ReplicatedState> ReplicaNode<C> {
    pub(super) fn push_write(&mut self, write: StoreWrite<C>) {
        self.last_write += 1;
        self.output.writes.push(write);
    }

    /// Issues a write after which the stored state of the shard includes all operations up to `seq`.
    pub(super) fn push_state_write(&mut self, shard: u32, seq: u64, write: StoreWrite<C>) {
        self.push_write(write);
        self.on_durable.push_back((self.last_write, OnDurable::AdvanceDurable { shard, seq }));
    }

    /// Acknowledges all operations up to `seq` as soon as they are durable.
    pub(super) fn ack_when_durable(&mut self, to: NodeId, shard_round: ShardRound, seq: u64) {
        let durable = self.replicas.get(&shard_round.shard).map_or(0, |r| r.durable);
        if durable >= seq || self.variant == Variant::AckBeforeDurable {
            self.send_ack(to, shard_round, seq);
        } else {
            self.on_durable.push_back((self.last_write, OnDurable::SendAck { to, shard_round, seq }));
        }
    }

    fn send_ack(&mut self, to: NodeId, shard_round: ShardRound, seq: u64) {
        let ShardRound { shard, epoch, round } = shard_round;
        self.output.messages.push((to, Message::Ack { shard, epoch, round, seq }));
    }

    /// Reports that all writes up to the number `last_write` are durable.
    pub fn writes_durable(&mut self, last_write: u64) {
        if self.failed {
            return;
        }
        while self.on_durable.front().is_some_and(|(number, _)| *number <= last_write) {
            match self.on_durable.pop_front() {
                Some((number, OnDurable::AdvanceDurable { shard, seq })) => {
                    self.record_durable(number, shard, seq);
                }
                Some((_, OnDurable::SendAck { to, shard_round, seq })) => {
                    let replica = self.replicas.get(&shard_round.shard);
                    if replica.is_some_and(|r| r.epoch == shard_round.epoch && r.seq >= seq) {
                        self.send_ack(to, shard_round, seq);
                    }
                }
                None => return,
            }
        }
    }

    fn record_durable(&mut self, number: u64, shard: u32, seq: u64) {
        // A write from an earlier epoch counts as well, unless a later snapshot replaced the state.
        if let Some(replica) = self.replicas.get_mut(&shard).filter(|r| number >= r.snapshot_write) {
            replica.durable = replica.durable.max(seq);
        }
        self.advance_commit(shard);
    }
}
