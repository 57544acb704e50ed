//! Start and stop.

pub mod clock;
pub mod config;
pub mod log;
pub mod serve;
pub mod signals;
