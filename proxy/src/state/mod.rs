//! The proxy's state: endpoints, connection pools, timers, request ids, metrics, and what outlives a restart.

pub mod boot_times;
pub mod endpoints;
pub mod hot_restart;
pub mod metrics;
pub mod pool;
pub mod request_ids;
pub mod shared_request_ids;
pub mod time;
pub mod timers;
pub mod versions;
