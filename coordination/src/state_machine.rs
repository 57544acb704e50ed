//! Commands of the replicated log and the state that they produce, as stored in snapshots.

use serde::{Deserialize, Serialize};

use crate::lease::{Command, LeaseTable};
use crate::membership::Membership;
use crate::shard_map::{ShardMap, ShardMapChange};
use crate::versioned_config::{BlockRules, VersionedConfig};

/// A command in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogCommand {
    /// A lease command.
    Lease(Command),
    /// Proposes a new configuration version.
    Propose {
        /// Number of the version that the proposal is based on.
        base: u64,
        /// Complete rules of the new version.
        rules: BlockRules,
    },
    /// Brings the pending configuration version into force. Proposed only by the leader.
    Force {
        /// Number of the version.
        number: u64,
    },
    /// Registers the store of a new member.
    Enlist {
        /// Member id.
        id: u64,
        /// Store number.
        number: u64,
    },
    /// A shard map change.
    Copies(ShardMapChange),
}

/// The complete replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Leases.
    pub leases: LeaseTable,
    /// Members of the group.
    pub book: Membership,
    /// Configuration versions.
    #[serde(default)]
    pub versions: VersionedConfig,
    /// Shard map.
    #[serde(default)]
    pub shards: ShardMap,
}
