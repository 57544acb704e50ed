//! The replicated shard map: epoch, primary, in-sync set and joining replicas of each shard. The group's log
//! decides only membership of shards, not their data. See `docs/copies-design.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::lease::{is_name, Millis};

/// Id of a replication node: the number its store was created with. A node with an emptied disk gets a new
/// id.
pub type NodeId = u64;

/// Maximum number of shards.
pub const MAX_SHARDS: u32 = 1024;
/// Maximum number of replicas per shard.
pub const MAX_REPLICAS: usize = 5;
/// Maximum number of nodes.
pub const MAX_NODES: usize = 1024;
/// Maximum length of a node's name, machine or zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Identity, location and address of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Id of the node.
    pub id: NodeId,
    /// Name of the proxy.
    pub name: String,
    /// Name of the machine. Replicas of a shard are placed on different machines.
    pub machine: String,
    /// Name of the zone. Replicas are spread over zones where possible.
    pub zone: String,
    /// Address for other nodes.
    pub peer: SocketAddr,
}

/// A node as recorded in the shard map.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Identity, location and address.
    pub at: NodeInfo,
    /// Number of the node's last start, incremented each time its store is opened.
    pub start: u64,
    /// Whether the node is up, that is requests confirmations.
    pub up: bool,
}

/// Replication parameters of the fleet. Set by the first node that joins; later nodes must have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardMapParameters {
    /// Number of shards.
    pub shards: u32,
    /// Target number of replicas per shard.
    pub copies: usize,
    /// Minimum number of in-sync replicas for a shard to accept writes.
    pub least: usize,
}

impl std::fmt::Display for ShardMapParameters {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "shards = {}, copies = {}, least = {}", self.shards, self.copies, self.least)
    }
}

impl ShardMapParameters {
    /// Validates the parameters. The error contains the invalid field and its allowed range.
    pub fn check(&self) -> Result<(), (&'static str, String)> {
        if !(1..=MAX_SHARDS).contains(&self.shards) {
            return Err(("shards", format!("must be from 1 to {MAX_SHARDS}")));
        }
        if !(1..=MAX_REPLICAS).contains(&self.copies) {
            return Err(("copies", format!("must be from 1 to {MAX_REPLICAS}")));
        }
        if !(1..=self.copies).contains(&self.least) {
            return Err(("least", "must be from 1 to copies".to_owned()));
        }
        Ok(())
    }
}

/// Replicas of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Shard {
    /// Increases with every change of the primary or the in-sync set.
    pub epoch: u64,
    /// Node that orders the writes, if one is available.
    pub primary: Option<NodeId>,
    /// Nodes that have every acknowledged write.
    pub in_sync: BTreeSet<NodeId>,
    /// Nodes that are being brought in sync.
    pub joining: BTreeSet<NodeId>,
}

/// A change of the shard map. Each is one log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ShardMapChange {
    /// A node joins, or rejoins after a restart.
    Join {
        /// Identity, location and address of the node.
        at: NodeInfo,
        /// Start number of the node.
        start: u64,
        /// Replication parameters in the node's settings.
        shape: ShardMapParameters,
    },
    /// Marks a node as down that stopped requesting confirmations. Proposed only by the leader.
    Down {
        /// Id of the node.
        id: NodeId,
        /// Start number of the node.
        start: u64,
    },
    /// The primary removes a replica from the shard.
    Drop {
        /// Index of the shard.
        shard: u32,
        /// Epoch of the shard as known to the primary.
        epoch: u64,
        /// Id of the primary.
        by: NodeId,
        /// Id of the replica.
        node: NodeId,
    },
    /// The primary reports that a joining replica is in sync.
    Caught {
        /// Index of the shard.
        shard: u32,
        /// Epoch of the shard as known to the primary.
        epoch: u64,
        /// Id of the primary.
        by: NodeId,
        /// Id of the replica.
        node: NodeId,
    },
    /// An operator resets a shard that has no available replica. The shard starts empty.
    GiveUp {
        /// Index of the shard.
        shard: u32,
        /// Epoch of the shard as shown to the operator.
        epoch: u64,
    },
}

/// Result of a shard map change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ShardMapOutcome {
    /// The change was applied, now or before.
    Done,
    /// The change refers to an outdated epoch or start number.
    Stale,
    /// The change is not allowed. Contains the reason.
    Refused(String),
}

/// The replicated shard map. A deterministic function of the applied changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardMap {
    version: u64,
    shape: Option<ShardMapParameters>,
    nodes: BTreeMap<NodeId, NodeRecord>,
    shards: Vec<Shard>,
}

impl ShardMap {
    /// Returns the version, which increases with every effective change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the replication parameters, or `None` before the first node has joined.
    pub fn shape(&self) -> Option<ShardMapParameters> {
        self.shape
    }

    /// Returns the nodes by id.
    pub fn nodes(&self) -> &BTreeMap<NodeId, NodeRecord> {
        &self.nodes
    }

    /// Returns the shards, by index.
    pub fn shards(&self) -> &[Shard] {
        &self.shards
    }

    /// Returns an in-sync replica that a shard has beyond the number of copies, preferably one that shares its machine or
    /// zone with another. A shard gets such replicas when a node returns after others were chosen in its place.
    pub fn surplus_replica(&self, shard: u32) -> Option<NodeId> {
        let shard = self.shards.get(shard as usize)?;
        let in_sync = shard.in_sync.iter().filter_map(|id| self.nodes.get(id));
        let in_sync: Vec<&NodeRecord> = in_sync.filter(|node| node.up).collect();
        if in_sync.len() <= self.shape?.copies {
            return None;
        }
        let sharing = |location: fn(&NodeInfo) -> &str, node: &NodeRecord| {
            in_sync.iter().filter(|other| location(&other.at) == location(&node.at)).count()
        };
        let backups = in_sync.iter().filter(|node| shard.primary != Some(node.at.id));
        let surplus = backups
            .max_by_key(|node| (sharing(|at| &at.machine, node), sharing(|at| &at.zone, node), node.at.id));
        surplus.map(|node| node.at.id)
    }

    /// Returns the id and start number of each node that is up.
    pub fn up(&self) -> impl Iterator<Item = (NodeId, u64)> + '_ {
        self.nodes.values().filter(|n| n.up).map(|n| (n.at.id, n.start))
    }

    fn is_up(&self, id: NodeId) -> bool {
        self.nodes.get(&id).is_some_and(|n| n.up)
    }

    /// Applies a change and assigns new replicas where shards need them.
    pub fn apply(&mut self, change: &ShardMapChange) -> ShardMapOutcome {
        let before = self.clone();
        let changed = match change {
            ShardMapChange::Join { at, start, shape } => self.join(at, *start, *shape),
            ShardMapChange::Down { id, start } => self.down(*id, *start),
            ShardMapChange::Drop { shard, epoch, by, node } => self.drop_one(*shard, (*epoch, *by), *node),
            ShardMapChange::Caught { shard, epoch, by, node } => self.caught(*shard, (*epoch, *by), *node),
            ShardMapChange::GiveUp { shard, epoch } => self.give_up(*shard, *epoch),
        };
        if changed == ShardMapOutcome::Done {
            self.place();
        }
        if *self != before {
            self.version += 1;
        }
        changed
    }

    fn join(&mut self, at: &NodeInfo, start: u64, shape: ShardMapParameters) -> ShardMapOutcome {
        for (what, name) in [("name", &at.name), ("machine", &at.machine), ("zone", &at.zone)] {
            if !is_name(name, MAX_NAME_BYTES) {
                return ShardMapOutcome::Refused(format!(
                    "copies.{what}: must be 1 to {MAX_NAME_BYTES} bytes of A-Z a-z 0-9 . _ : / @ -"
                ));
            }
        }
        if let Err((field, why)) = shape.check() {
            return ShardMapOutcome::Refused(format!("copies.{field}: {why}"));
        }
        match self.shape {
            Some(of) if of != shape => {
                return ShardMapOutcome::Refused(format!(
                    "copies: settings of this node ({shape}) differ from those of the fleet ({of})"
                ))
            }
            Some(_) => {}
            None => {
                self.shape = Some(shape);
                self.shards = vec![Shard::default(); shape.shards as usize];
            }
        }
        match self.nodes.get(&at.id) {
            Some(known) if start == known.start && known.up && known.at == *at => return ShardMapOutcome::Done,
            // The node was marked down before this join arrived. It has to join with a new start number.
            Some(known) if start == known.start && !known.up => return ShardMapOutcome::Stale,
            Some(known) if start <= known.start => {
                return ShardMapOutcome::Refused(format!(
                    "start number {start} of this store is not above its last one, {}: the disk was restored from a \
                     backup or is used by two nodes; delete the store",
                    known.start
                ))
            }
            Some(_) => {}
            None if self.nodes.len() >= MAX_NODES => {
                // Remove a node that is down and stores no in-sync replica.
                let of_use = |id: &NodeId| self.shards.iter().any(|s| s.in_sync.contains(id));
                let gone = self.nodes.iter().find(|(id, n)| !n.up && !of_use(id)).map(|(id, _)| *id);
                match gone {
                    Some(id) => drop(self.nodes.remove(&id)),
                    None => return ShardMapOutcome::Refused(format!("the fleet already has the maximum of {MAX_NODES} nodes")),
                }
            }
            None => {}
        }
        self.nodes.insert(at.id, NodeRecord { at: at.clone(), start, up: true });
        // After a restart, the node's memory is lost but its disk has every acknowledged write. A new epoch
        // invalidates messages of the earlier run.
        for shard in &mut self.shards {
            let alone = shard.primary.is_none() && shard.in_sync.contains(&at.id);
            if shard.primary == Some(at.id) || alone {
                shard.primary = Some(at.id);
                shard.epoch += 1;
            }
        }
        ShardMapOutcome::Done
    }

    fn down(&mut self, id: NodeId, start: u64) -> ShardMapOutcome {
        match self.nodes.get_mut(&id) {
            Some(node) if node.start == start && node.up => node.up = false,
            _ => return ShardMapOutcome::Stale,
        }
        let least = self.shape.map_or(1, |s| s.least);
        let up: BTreeSet<NodeId> = self.up().map(|(id, _)| id).collect();
        for shard in &mut self.shards {
            // A new epoch invalidates a pending `Caught` for this node: it would add a replica that missed
            // the writes made while it was down.
            if shard.joining.remove(&id) {
                shard.epoch += 1;
            }
            if !shard.in_sync.contains(&id) {
                continue;
            }
            // Keep the node in sync if too few would remain: its disk may be the first one to return.
            let dropped = shard.in_sync.len() > least && shard.in_sync.remove(&id);
            if shard.primary == Some(id) {
                shard.primary = shard.in_sync.iter().copied().find(|n| up.contains(n));
                shard.epoch += 1;
            } else if dropped {
                shard.epoch += 1;
            }
        }
        ShardMapOutcome::Done
    }

    fn of_primary(&mut self, shard: u32, (epoch, by): (u64, NodeId)) -> Option<&mut Shard> {
        let shard = self.shards.get_mut(shard as usize)?;
        (shard.epoch == epoch && shard.primary == Some(by)).then_some(shard)
    }

    fn drop_one(&mut self, shard: u32, of: (u64, NodeId), node: NodeId) -> ShardMapOutcome {
        let least = self.shape.map_or(1, |s| s.least);
        let Some(shard) = self.of_primary(shard, of) else { return ShardMapOutcome::Stale };
        // A joining replica can be removed at any time. The new epoch invalidates a pending `Caught`.
        if shard.joining.remove(&node) {
            shard.epoch += 1;
            return ShardMapOutcome::Done;
        }
        if node == of.1 || !shard.in_sync.contains(&node) {
            return ShardMapOutcome::Stale;
        }
        if shard.in_sync.len() <= least {
            return ShardMapOutcome::Refused(format!(
                "cannot drop the replica: {} are in sync, and at least {least} are required",
                shard.in_sync.len()
            ));
        }
        shard.in_sync.remove(&node);
        shard.epoch += 1;
        ShardMapOutcome::Done
    }

    fn caught(&mut self, shard: u32, of: (u64, NodeId), node: NodeId) -> ShardMapOutcome {
        let least = self.shape.map_or(1, |s| s.least);
        let up: BTreeSet<NodeId> = self.up().map(|(id, _)| id).collect();
        let Some(shard) = self.of_primary(shard, of) else { return ShardMapOutcome::Stale };
        if !shard.joining.remove(&node) {
            return ShardMapOutcome::Stale;
        }
        shard.in_sync.insert(node);
        // Remove nodes that are down and were kept only to preserve the minimum.
        let gone: Vec<NodeId> = shard.in_sync.iter().copied().filter(|n| !up.contains(n)).collect();
        for id in gone {
            if shard.in_sync.len() > least {
                shard.in_sync.remove(&id);
            }
        }
        shard.epoch += 1;
        ShardMapOutcome::Done
    }

    fn give_up(&mut self, shard: u32, epoch: u64) -> ShardMapOutcome {
        let Some(at) = self.shards.get(shard as usize).filter(|s| s.epoch == epoch) else {
            return ShardMapOutcome::Stale;
        };
        if at.in_sync.iter().any(|id| self.is_up(*id)) {
            return ShardMapOutcome::Refused(format!("shard {shard} has an in-sync replica that is up"));
        }
        let shard = &mut self.shards[shard as usize];
        *shard = Shard { epoch: shard.epoch + 1, ..Shard::default() };
        ShardMapOutcome::Done
    }

    /// Assigns nodes to shards that lack replicas. Each replica of a shard is on another machine; other
    /// zones and nodes with fewer replicas are preferred.
    fn place(&mut self) {
        let Some(shape) = self.shape else { return };
        let mut held: BTreeMap<NodeId, usize> = self.up().map(|(id, _)| (id, 0)).collect();
        for id in self.shards.iter().flat_map(|s| s.in_sync.iter().chain(&s.joining)) {
            if let Some(n) = held.get_mut(id) {
                *n += 1;
            }
        }
        for at in 0..self.shards.len() {
            loop {
                let shard = &self.shards[at];
                // Without a primary there is no source to copy from, unless the shard is empty.
                let fresh = shard.in_sync.is_empty();
                if shard.primary.is_none() && !fresh {
                    break;
                }
                let members: Vec<NodeId> = shard
                    .in_sync
                    .iter()
                    .filter(|id| self.is_up(**id))
                    .chain(&shard.joining)
                    .copied()
                    .collect();
                if members.len() >= shape.copies {
                    break;
                }
                let of = |f: fn(&NodeInfo) -> &str| -> BTreeSet<&str> {
                    members.iter().filter_map(|id| self.nodes.get(id)).map(|n| f(&n.at)).collect()
                };
                let (machines, zones) = (of(|n| &n.machine), of(|n| &n.zone));
                let free = self.nodes.values().filter(|n| {
                    n.up && !machines.contains(n.at.machine.as_str()) && !shard.in_sync.contains(&n.at.id)
                });
                let best = free.min_by_key(|n| {
                    (zones.contains(n.at.zone.as_str()), held.get(&n.at.id).copied().unwrap_or(0), n.at.id)
                });
                let Some(id) = best.map(|n| n.at.id) else { break };
                *held.entry(id).or_default() += 1;
                let shard = &mut self.shards[at];
                if fresh {
                    // The first replica of an empty shard is in sync at once.
                    shard.in_sync.insert(id);
                    shard.primary = Some(id);
                    shard.epoch += 1;
                } else {
                    shard.joining.insert(id);
                }
            }
        }
    }
}

/// Confirmation of the shard map, valid for a limited time from when it was requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardMapConfirmation {
    /// Validity in milliseconds.
    pub good_ms: Millis,
    /// Version of the current shard map.
    pub version: u64,
    /// The shard map, unless the requester already has this version.
    pub table: Option<Box<ShardMap>>,
    /// Whether the requesting node is up. If not, it has to join again.
    pub up: bool,
}

#[cfg(test)]
mod tests;
