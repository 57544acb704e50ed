//! Primary-backup replication of sharded state machines, without I/O.
//!
//! The lease group decides which node is the primary of a shard in which epoch. A [`ReplicaNode`] runs the
//! replicas of one node. Its host passes in the time, messages and completed disk writes, and carries out the
//! resulting [`Output`].
//!
//! See `docs/copies-design.md` for the design.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod message;
mod node;
mod output;
mod replica;
pub mod wire;

pub use message::{Message, Response};
pub use node::{
    ReplicaNode, Variant, DIGEST_INTERVAL_MS, IN_SYNC_TIMEOUT_MS, MAX_OUTSTANDING_REQUESTS,
    MAX_PENDING_OPERATIONS, RESEND_INTERVAL_MS,
};
pub use output::{NodeEvent, Output, Role, StoreWrite};
pub use replica::{ShardState, ShardStatus};

use notchdoor_coordination::lease::Millis;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;

/// A deterministic state machine: replicas that apply the same operations in the same order reach the same
/// state.
pub trait ReplicatedState:
    Clone + Debug + Default + PartialEq + Send + Serialize + DeserializeOwned + 'static
{
    /// An operation that changes the state. Applying it twice must be safe, because clients retry operations
    /// with an unknown outcome.
    type Operation: Clone + Debug + PartialEq + Send + Serialize + DeserializeOwned;
    /// The result of applying an operation.
    type Outcome: Clone + Debug + PartialEq + Serialize + DeserializeOwned;
    /// A read-only query.
    type Query: Clone + Debug + PartialEq + Serialize + DeserializeOwned;
    /// The result of a query.
    type QueryResult: Clone + Debug + PartialEq + Serialize + DeserializeOwned;
    /// Times recorded by this replica, on its own monotonic clock. They are neither sent nor stored, because
    /// clocks of different machines are not comparable.
    type LocalTimes: Clone + Debug + Default + Send + 'static;

    /// Applies an operation. The result depends only on the state and the operation.
    fn apply(&mut self, operation: &Self::Operation) -> Self::Outcome;
    /// Records that `operation` was applied to this state at `now` with `outcome`.
    fn record_applied(
        &self,
        times: &mut Self::LocalTimes,
        operation: &Self::Operation,
        outcome: &Self::Outcome,
        now: Millis,
    );
    /// Returns the times of a state that was read from the store or received as a snapshot at `now`. All
    /// durations restart at `now`.
    fn restored_times(&self, now: Millis) -> Self::LocalTimes;
    /// Answers a query from committed state. `now` is on the same monotonic clock as `times`.
    fn query(&self, times: &Self::LocalTimes, query: &Self::Query, now: Millis) -> Self::QueryResult;
}

/// Returns a checksum of the state and its sequence number, used to compare replicas.
pub fn digest<C: ReplicatedState>(seq: u64, content: &C) -> u32 {
    // A state that cannot be encoded is never stored or sent, so its digest does not matter.
    let bytes = postcard::to_stdvec(&(seq, content)).unwrap_or_default();
    crc32fast::hash(&bytes)
}

/// Returns the shard of a key.
pub fn shard_of(key: &[u8], shards: u32) -> u32 {
    crc32fast::hash(key) % shards.max(1)
}
