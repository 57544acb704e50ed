//! What is kept between one event and the next.

pub mod counters;
pub mod pool;
pub mod registry;
pub mod timers;
