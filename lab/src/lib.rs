//! The lab: days of a whole fleet in virtual time, and experiments on them.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod baselines;
pub mod broken;
mod day;
pub mod interface;
pub mod policy;
pub mod record;
pub mod rules;

pub use day::world::{facts, quotas};
pub use day::{play, play_with, world};
pub mod charts;
pub mod compare;
pub mod experiment;
pub mod grid;
pub mod leases;
pub mod report;
pub mod scenario;
pub mod search;
pub mod slow_start;
pub mod stats;
