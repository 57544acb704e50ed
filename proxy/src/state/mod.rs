//! The proxy's state: endpoints, connection pools, timers, metrics, and what outlives a restart.

pub mod boot_times;
pub mod endpoints;
pub mod hot_restart;
pub mod metrics;
pub mod pool;
pub mod time;
pub mod timers;
pub mod versions;
