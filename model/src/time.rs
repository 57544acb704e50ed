//! Simulated time and random number streams.

use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Time since the start of the simulation, or a duration, in microseconds.
pub type Time = u64;

/// One millisecond.
pub const MS: Time = 1_000;
/// One second.
pub const S: Time = 1_000_000;
/// Later than any time of a day.
pub const NEVER: Time = Time::MAX;

/// Converts milliseconds to a [`Time`]; negative values and NaN become 0.
pub fn ms(t: f64) -> Time {
    (t * 1e3).round().max(0.0) as Time
}

/// Converts seconds to a [`Time`]; negative values and NaN become 0.
pub fn secs(t: f64) -> Time {
    (t * 1e6).round().max(0.0) as Time
}

/// Converts a [`Time`] to seconds.
pub fn to_secs(t: Time) -> f64 {
    t as f64 / 1e6
}

/// Purpose of a random number stream. Streams are independent, so a change to one part of a day does not
/// alter the draws of another: two policies with one seed see the same arrivals.
#[derive(Clone, Copy, Debug)]
#[repr(u64)]
pub enum Purpose {
    /// Speeds, sizes and zones of machines.
    Machines = 1,
    /// Arrivals, keys and work.
    Demand = 2,
    /// Network delays and jitter.
    Network = 3,
    /// Timeouts and retries of clients.
    Clients = 4,
    /// Errors and report noise of machines.
    Service = 5,
    /// Random fault schedules.
    Faults = 6,
    /// Seeds of the routers.
    Modules = 7,
    /// Delays of the discovery service.
    Discovery = 8,
}

/// Random number stream for one purpose, derived from `seed`.
pub fn rng(seed: u64, purpose: Purpose) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(purpose as u64);
    rng
}
