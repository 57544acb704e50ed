//! An open-loop load generator. Requests are due at the times of an arrival process, independently of earlier responses, and
//! latency counts from the due time, which avoids coordinated omission: a target that stalls gets the requests of the stall.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod arrivals;
mod client;
pub mod codec;
pub mod live;
pub mod run;
