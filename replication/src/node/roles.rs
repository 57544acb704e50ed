//! The node's roles: applies the roles that the shard map assigns to it.

use super::ReplicaNode;
use crate::replica::{BackupProgress, PrimaryState, Replica};
use crate::{NodeEvent, ReplicatedState, Response, Role, StoreWrite};
use notchdoor_coordination::lease::Millis;
use notchdoor_coordination::shard_map::{NodeId, Shard};
use std::collections::BTreeMap;

impl<C: ReplicatedState> ReplicaNode<C> {
    /// Updates the role in every shard after a new shard map.
    pub(super) fn apply_map(&mut self, now: Millis) {
        if self.failed {
            return;
        }
        self.recent_requests.retain_nodes(self.shard_map.nodes());
        for (number, shard) in self.shard_map.shards().to_vec().into_iter().enumerate() {
            self.apply_shard(number as u32, &shard, now);
        }
    }

    fn apply_shard(&mut self, number: u32, shard: &Shard, now: Millis) {
        let role = self.role_in(shard);
        if role == Role::None {
            return self.remove_replica(number, shard.epoch);
        }
        let id = self.id;
        let replica = self.replicas.entry(number).or_default();
        if replica.epoch == shard.epoch {
            // The set of joining nodes can change within an epoch.
            if let Some(primary) = replica.primary.as_mut().filter(|_| role == Role::Primary) {
                primary.update_joining(shard, id, now);
            }
            return;
        }
        replica.epoch = shard.epoch;
        self.output.events.push(NodeEvent::RoleChanged { shard: number, epoch: shard.epoch, role });
        if role == Role::Primary {
            replica.become_primary(initial_backups(shard, id, now));
            self.send_initial_digests(number);
            self.advance_commit(number);
        } else {
            let former_primary = replica.primary.take();
            self.abandon_pending(former_primary);
        }
    }

    fn role_in(&self, shard: &Shard) -> Role {
        if shard.primary == Some(self.id) {
            Role::Primary
        } else if shard.in_sync.contains(&self.id) {
            Role::Backup
        } else if shard.joining.contains(&self.id) {
            Role::Joining
        } else {
            Role::None
        }
    }

    fn remove_replica(&mut self, shard: u32, epoch: u64) {
        if self.replicas.remove(&shard).is_some() {
            self.push_write(StoreWrite::Remove { shard });
            self.output.events.push(NodeEvent::RoleChanged { shard, epoch, role: Role::None });
        }
    }

    /// Answers the pending operations of a former primary with an unknown outcome, since the next primary may
    /// have received them.
    fn abandon_pending(&mut self, former_primary: Option<PrimaryState<C>>) {
        for pending in former_primary.into_iter().flat_map(|primary| primary.pending) {
            self.respond(pending.requester, Response::Unknown);
        }
    }
}

/// Returns the initial progress of the in-sync and joining nodes other than this one. Progress from earlier
/// epochs does not carry over.
fn initial_backups(shard: &Shard, id: NodeId, now: Millis) -> BTreeMap<NodeId, BackupProgress> {
    let others = shard.in_sync.iter().chain(&shard.joining).filter(|node| **node != id);
    others.map(|node| (*node, BackupProgress::new(1, shard.in_sync.contains(node), now))).collect()
}

impl<C: ReplicatedState> Replica<C> {
    /// Takes the primary role in a new epoch.
    fn become_primary(&mut self, backups: BTreeMap<NodeId, BackupProgress>) {
        match &mut self.primary {
            // Already the primary in the previous epoch: committed operations stay committed, and pending
            // ones wait for the new set of backups.
            Some(primary) => (primary.backups, primary.round) = (backups, 1),
            None => self.primary = Some(PrimaryState::new(backups, self.content.clone(), self.seq)),
        }
    }
}

impl<C: ReplicatedState> PrimaryState<C> {
    fn update_joining(&mut self, shard: &Shard, id: NodeId, now: Millis) {
        self.backups.retain(|node, _| shard.in_sync.contains(node) || shard.joining.contains(node));
        for node in shard.joining.iter().filter(|node| **node != id) {
            self.round += 1;
            let round = self.round;
            self.backups.entry(*node).or_insert_with(|| BackupProgress::new(round, false, now));
        }
    }
}
