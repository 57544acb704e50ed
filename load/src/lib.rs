//! An open-loop load generator. Requests are due when the arrivals say, whatever became of those before, and their
//! latency counts from then: a target that stalls is not spared the requests of the stall (coordinated omission).

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod arrivals;
mod client;
pub mod codec;
pub mod live;
pub mod run;
