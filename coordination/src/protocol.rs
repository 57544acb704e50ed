//! Requests to and answers from the members of the group.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::lease::{Command, Grant, Millis, Outcome};
use crate::membership::{Handshake, MemberAddr, Membership};
use crate::shard_map::{NodeId, ShardMapChange, ShardMapConfirmation, ShardMapOutcome};
use crate::versioned_config::{BlockRules, Confirmation, ProposalOutcome, VersionedConfig};

/// A request to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Changes a lease.
    Lease(Command),
    /// Registers the store of a new member.
    Enlist {
        /// Member id.
        id: u64,
        /// Store number.
        number: u64,
    },
    /// Lists the grants in force. Linearizable.
    List {
        /// Lists only the grant of this task, if set.
        task: Option<String>,
    },
    /// Proposes a new configuration version.
    Propose {
        /// Number of the version that the proposal is based on.
        base: u64,
        /// Complete rules of the new version.
        rules: BlockRules,
    },
    /// Returns the versions in force and pending. Linearizable.
    Versions,
    /// Confirms the versions in force and pending to a proxy, for a limited time.
    Confirm {
        /// Newest version that the proxy knows. Rules of known versions are omitted from the answer.
        have: u64,
    },
    /// Changes the shard map.
    Copies(ShardMapChange),
    /// Returns the shard map. Linearizable. A node applies the answer for a limited time; operators send no
    /// node.
    Table {
        /// Id and start number of the requesting node.
        node: Option<(NodeId, u64)>,
        /// Version of the shard map that the requester has.
        have: u64,
    },
    /// Adds a member as a learner. It becomes a voter once it has caught up.
    Add(MemberAddr),
    /// Removes a member. Its id cannot be reused.
    Remove {
        /// Member id.
        id: u64,
    },
    /// Returns the client addresses of the members, as known to the receiver.
    Members,
    /// Returns the local status of the receiver, without confirmation by a majority.
    Status,
    /// Asks how to start, from a member with a new store.
    Hello,
}

/// A grant in the answer to `List`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseInfo {
    /// Name of the task.
    pub task: String,
    /// The grant.
    #[serde(flatten)]
    pub grant: Grant,
    /// Milliseconds until the grant expires, as measured by the leader.
    pub left_ms: Option<Millis>,
}

/// Status of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Member id.
    pub id: u64,
    /// Raft role: `leader`, `follower`, `candidate` or `learner`.
    pub role: String,
    /// Id of the known leader; 0 if none.
    pub leader: u64,
    /// Raft term.
    pub term: u64,
    /// Commit index.
    pub commit: u64,
    /// Index of the last applied entry.
    pub applied: u64,
    /// Index of the first entry in the log.
    pub first: u64,
    /// Number of grants in force.
    pub grants: usize,
    /// Members of the group.
    pub book: Membership,
    /// Counters of the hosting process: messages, bytes, fsyncs.
    pub figures: BTreeMap<String, u64>,
}

/// An answer from a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The lease command was applied.
    Done {
        /// Result of the command.
        outcome: Outcome,
        /// Milliseconds until the grant of the task expires, if there is one.
        left_ms: Option<Millis>,
    },
    /// Another holder has the task. Answered by the leader without a log entry.
    Held {
        /// Name of the lease holder.
        holder: String,
        /// Milliseconds until the grant expires, unless it is renewed.
        left_ms: Option<Millis>,
        /// Milliseconds after which to retry. Increases with the number of clients that wait for the task.
        again_ms: Millis,
    },
    /// The receiver is not the leader.
    NotLeader {
        /// Id of the known leader.
        leader: Option<u64>,
        /// Client address of the known leader.
        at: Option<SocketAddr>,
    },
    /// Answer to `List`.
    Listing(Vec<LeaseInfo>),
    /// Ids and client addresses of the members.
    Members(Vec<(u64, SocketAddr)>),
    /// Answer to `Status`.
    Status(Box<Status>),
    /// Answer to `Hello`.
    Hello(Handshake),
    /// Result of a `Propose` request.
    Proposed(ProposalOutcome),
    /// Answer to `Versions`.
    Versions(VersionedConfig),
    /// Answer to `Confirm`.
    Confirmed(Confirmation),
    /// Result of a shard map change.
    Copies(ShardMapOutcome),
    /// Answer to `Table`.
    Table(ShardMapConfirmation),
    /// The membership change was applied.
    Changed,
    /// Whether the store belongs to the member.
    Enlisted(bool),
    /// The request is not allowed. Contains the reason.
    Refused(String),
    /// Too many requests are waiting, or leadership was lost before the entry committed. The request may be
    /// retried.
    Later {
        /// Milliseconds after which to retry.
        retry_after_ms: Millis,
    },
}
