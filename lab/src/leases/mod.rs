//! The lease group in virtual time: members are raft-rs itself round the lease table, clients the very
//! sessions that proxies have, between them a network that loses, copies, reorders, delays and cuts.
//! A schedule of faults and a seed are the whole of a play.

pub mod schedule;
pub mod search;
pub mod store;
pub mod world;
