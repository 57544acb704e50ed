//! Startup and shutdown of the proxy process: configuration, logging, clock and signals.

pub mod clock;
pub mod config;
pub mod log;
pub mod serve;
pub mod signals;
