//! Actions that a node requests from its host.

use crate::{Message, ReplicatedState, Response};
use notchdoor_coordination::shard_map::{NodeId, ShardMapChange};
use std::fmt;

/// A write to the store. Writes must be applied in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreWrite<C: ReplicatedState> {
    /// Appends an operation to a shard.
    Append {
        /// The index of the shard in the shard map.
        shard: u32,
        /// The operation's sequence number.
        seq: u64,
        /// The operation to apply.
        operation: C::Operation,
    },
    /// Replaces the stored state of a shard.
    Snapshot {
        /// The index of the shard in the shard map.
        shard: u32,
        /// The sequence number of the last operation in the state.
        seq: u64,
        /// The state after all operations up to `seq`.
        content: C,
    },
    /// Deletes a shard that this node no longer replicates.
    Remove {
        /// The index of the shard in the shard map.
        shard: u32,
    },
}

/// A node's role in a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Orders the operations and answers queries.
    Primary,
    /// In sync: stores the operations that the primary sends.
    Backup,
    /// Being synchronized in order to join the in-sync set.
    Joining,
    /// Has no replica of the shard.
    None,
}

impl Role {
    /// Returns the role's name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Role::Primary => "primary",
            Role::Backup => "backup",
            Role::Joining => "joining",
            Role::None => "none",
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// An event for the operator's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// The node took on a role in a new epoch of a shard.
    RoleChanged {
        /// The index of the shard in the shard map.
        shard: u32,
        /// The new epoch.
        epoch: u64,
        /// The node's role in the new epoch.
        role: Role,
    },
    /// A backup that had acknowledged the primary's state turned out to have a different one. The primary
    /// sends it a snapshot.
    Diverged {
        /// The index of the shard in the shard map.
        shard: u32,
        /// The backup's node.
        node: NodeId,
    },
}

/// Actions for the host, collected since the previous [`crate::ReplicaNode::take_output`].
#[derive(Debug)]
pub struct Output<C: ReplicatedState> {
    /// Messages to send, each with its receiver.
    pub messages: Vec<(NodeId, Message<C>)>,
    /// Writes to the store, in order. Once they are durable, the host calls
    /// [`crate::ReplicaNode::writes_durable`].
    pub writes: Vec<StoreWrite<C>>,
    /// The number of the last write, counted since the node was created.
    pub last_write: u64,
    /// Responses to requests of this node's own clients, each with the request's number.
    pub responses: Vec<(u64, Response<C>)>,
    /// Shard map changes to propose to the lease group.
    pub map_changes: Vec<ShardMapChange>,
    /// Events to log.
    pub events: Vec<NodeEvent>,
}

impl<C: ReplicatedState> Default for Output<C> {
    fn default() -> Self {
        Output {
            messages: Vec::new(),
            writes: Vec::new(),
            last_write: 0,
            responses: Vec::new(),
            map_changes: Vec::new(),
            events: Vec::new(),
        }
    }
}
