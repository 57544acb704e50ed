//! The notchdoor proxy: connects the router to real sockets.
//!
//! - [`wire`]: protocol state machines without I/O, and the driver that connects them to sockets.
//! - [`state`]: the endpoint list, connection pools, timers, counters and the hot-restart state.
//! - [`lifecycle`]: configuration, logging, clock, signals, and startup and shutdown.
//! - [`group`]: lease group members on sockets, their clients, and the fleet tasks of a proxy.
//! - [`replication`]: the replica node of this process, with its store, links and lease group client.
//! - [`negative_cache`]: queries and updates to the shards of known-missing keys around origin fetches.
//! - [`net`]: creates sockets and classifies the errors of doing so.
//! - [`outcome`]: how attempts, client connections and discovery watches end.
//! - [`proxy`]: passes events to the router and its actions to the driver, without protocols or sockets.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod group;
pub mod lifecycle;
pub mod negative_cache;
pub mod net;
pub mod outcome;
pub mod proxy;
pub mod replication;
pub mod state;
pub mod wire;
