//! Times, and the random sources that a world draws from.

use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A time on the world's clock, or a duration, in whole microseconds.
pub type Time = u64;

/// A millisecond.
pub const MS: Time = 1_000;
/// A second.
pub const S: Time = 1_000_000;
/// Never: later than any time of a day.
pub const NEVER: Time = Time::MAX;

/// Milliseconds as a [`Time`]. What is negative or no number becomes 0.
pub fn ms(t: f64) -> Time {
    (t * 1e3).round().max(0.0) as Time
}

/// Seconds as a [`Time`]. What is negative or no number becomes 0.
pub fn secs(t: f64) -> Time {
    (t * 1e6).round().max(0.0) as Time
}

/// A [`Time`] in seconds.
pub fn to_secs(t: Time) -> f64 {
    t as f64 / 1e6
}

/// What a random source is for. Each has a stream of its own, so that a change to one part of a day moves no
/// draw of another: two policies on one seed see the same arrivals.
#[derive(Clone, Copy, Debug)]
#[repr(u64)]
pub enum Purpose {
    /// Speeds, sizes and zones of the machines.
    Machines = 1,
    /// Arrivals, keys and work.
    Demand = 2,
    /// Delays and noise on the way.
    Network = 3,
    /// What clients do after a failure.
    Clients = 4,
    /// Errors and noise in the machines.
    Service = 5,
    /// Random days of faults.
    Faults = 6,
    /// Seeds handed to the decision modules.
    Modules = 7,
    /// The discovery service's delays.
    Discovery = 8,
}

/// The random source for one purpose of one seed.
pub fn rng(seed: u64, purpose: Purpose) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(purpose as u64);
    rng
}
