//! The proxy's counters, and the snapshot of metrics that operators fetch.

pub mod counters;
pub mod snapshot;
