//! The replicated lease group: Raft node, lease table, fencing, versioned configuration and shard map.
//!
//! The crate performs no socket I/O and reads no clock; the caller passes in the time, received bytes and
//! messages. [`store`] is the only module that writes to disk. See `docs/leases-design.md` for the design.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
pub mod client;
pub mod config;
pub mod confirm;
pub mod fence;
pub mod holder;
pub mod lease;
pub mod log_storage;
pub mod membership;
pub mod protocol;
pub mod raft_node;
pub mod retry_pacing;
pub mod session;
pub mod shard_map;
pub mod state_machine;
pub mod store;
pub mod versioned_config;
pub mod wire;
