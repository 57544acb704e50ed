//! The monotonic clock of the process.
//!
//! The wall clock is read once, at startup, to convert to and from Unix time: for timestamps written by others
//! (`boot_ms`, the hot-restart file), for timestamps in that file, and for times shown to operators. Durations are never
//! measured with the wall clock, because it may be wrong at startup and may be set at any time.

use crate::state::time::{ClockReading, UnixMicros};
use notchdoor::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The reading of the monotonic clock at startup, in microseconds. It exceeds every configurable duration, so that
/// subtracting one cannot underflow, and differs from Unix time enough to expose code that mixes the two clocks.
const START_READING: Micros = 1 << 50;

/// A clock that never runs backwards, with the wall clock's reading at startup.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall_at_start: UnixMicros,
    start: Instant,
}

impl Clock {
    /// Starts the clock and reads the system's wall clock.
    pub fn start() -> Self {
        // The only read of the wall clock other than for log timestamps.
        #[allow(clippy::disallowed_methods)]
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::start_at(UnixMicros(unix.as_micros() as u64))
    }

    /// Starts the clock with the given reading of the wall clock.
    pub fn start_at(wall: UnixMicros) -> Self {
        Clock { wall_at_start: wall, start: Instant::now() }
    }

    /// The readings of both clocks at startup.
    pub fn reading(&self) -> ClockReading {
        ClockReading { monotonic: START_READING, wall: self.wall_at_start }
    }

    /// The current monotonic time; the value at startup is well above zero.
    pub fn now(&self) -> Micros {
        START_READING + self.start.elapsed().as_micros() as Micros
    }

    /// The current Unix time: the wall clock at startup plus the monotonic time elapsed since.
    pub fn unix(&self) -> UnixMicros {
        self.reading().wall_at(self.now())
    }

    /// Converts a time of this clock to an [`Instant`]. A time too far in the future for one becomes an hour from now.
    pub fn instant(&self, at: Micros) -> Instant {
        let elapsed = Duration::from_micros(at.saturating_sub(START_READING));
        self.start.checked_add(elapsed).unwrap_or_else(|| Instant::now() + Duration::from_secs(3600))
    }
}
