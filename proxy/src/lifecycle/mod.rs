//! Start and stop.

pub mod clock;
pub mod config;
pub mod logger;
pub mod signals;
