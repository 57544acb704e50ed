//! Messages between nodes. The order of variants and fields determines the wire format.

use crate::ReplicatedState;
use notchdoor_coordination::lease::Millis;
use serde::{Deserialize, Serialize};

/// A message from one node to another.
///
/// Messages between a primary and a backup carry the shard, the primary's epoch and the round in which the
/// backup was last synchronized. Receivers ignore messages of another epoch or of an earlier round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound = "")]
pub enum Message<C: ReplicatedState> {
    /// From a primary to a backup: a digest of its state for comparison.
    Digest {
        /// The index of the shard in the shard map.
        shard: u32,
        /// The primary's epoch.
        epoch: u64,
        /// The synchronization round of the backup.
        round: u64,
        /// The sequence number of the last operation in the state.
        seq: u64,
        /// The digest of the primary's state at `seq`.
        digest: u32,
    },
    /// From a backup to its primary: the backup's state differs and it needs a snapshot.
    SnapshotRequest {
        /// The index of the shard in the shard map.
        shard: u32,
        /// The primary's epoch.
        epoch: u64,
        /// The synchronization round of the backup.
        round: u64,
    },
    /// From a primary to a backup: the whole state, which starts a new round.
    Snapshot {
        /// The index of the shard in the shard map.
        shard: u32,
        /// The primary's epoch.
        epoch: u64,
        /// The new synchronization round of the backup.
        round: u64,
        /// The sequence number of the last operation in the state.
        seq: u64,
        /// The state after all operations up to `seq`.
        content: C,
    },
    /// From a primary to a backup: the next operation.
    Append {
        /// The index of the shard in the shard map.
        shard: u32,
        /// The primary's epoch.
        epoch: u64,
        /// The synchronization round of the backup.
        round: u64,
        /// The operation's sequence number.
        seq: u64,
        /// The operation to apply.
        operation: C::Operation,
    },
    /// From a backup to its primary: all operations up to `seq` are durable on the backup.
    Ack {
        /// The index of the shard in the shard map.
        shard: u32,
        /// The primary's epoch.
        epoch: u64,
        /// The synchronization round of the backup.
        round: u64,
        /// The sequence number of the last durable operation.
        seq: u64,
    },
    /// From any node to a primary: execute an operation for a client of the sender.
    Execute {
        /// The sender's number for the request.
        request: u64,
        /// The index of the shard in the shard map.
        shard: u32,
        /// The operation to apply.
        operation: C::Operation,
    },
    /// From any node to a primary: answer a query for a client of the sender.
    Query {
        /// The sender's number for the request.
        request: u64,
        /// The index of the shard in the shard map.
        shard: u32,
        /// The query to answer.
        query: C::Query,
    },
    /// From a primary to the node that sent the request.
    Response {
        /// The number that the requesting node gave the request.
        request: u64,
        /// The outcome of the request.
        response: Response<C>,
    },
}

/// The outcome of an operation or a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound = "")]
pub enum Response<C: ReplicatedState> {
    /// The operation is durable on every in-sync replica and had this outcome.
    Committed(C::Outcome),
    /// The query's result.
    QueryResult(C::QueryResult),
    /// The operation was not executed, or the query was not answered.
    Rejected {
        /// How long the client should wait before it retries, in milliseconds.
        retry_after_ms: Millis,
    },
    /// The operation may have been executed, or may still be.
    Unknown,
}
