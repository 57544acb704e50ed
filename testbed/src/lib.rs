//! The lab on real sockets. So far: faults in the byte stream between two parties, the
//! relays that cause them, and the stand-ins' side of the protocols.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod group;
pub mod hosted;
pub mod play;
pub mod relay;
pub mod stand;
pub mod wire;
