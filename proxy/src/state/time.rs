//! Types for the times of the monotonic clock and of wall clocks, so that they cannot be confused.
//!
//! Durations are measured on the monotonic clock, whose times are [`Micros`]. A wall clock may be wrong or be set at any
//! moment; its times are [`UnixMicros`]. A [`ClockReading`] or [`ClockOffset`] converts between the two.

use notchdoor::Micros;
use serde::{Deserialize, Serialize};

/// A time by the wall clock of this or another machine, in microseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnixMicros(pub u64);

impl UnixMicros {
    /// The time in milliseconds, rounded down.
    pub fn millis(self) -> u64 {
        self.0 / 1000
    }
}

/// Both clocks, read at the same moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The time by the monotonic clock.
    pub monotonic: Micros,
    /// The time by the wall clock.
    pub wall: UnixMicros,
}

/// How far the monotonic clock is ahead of a clock that shows Unix time, in microseconds; negative if it is behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClockOffset(i128);

impl ClockOffset {
    /// The offset from a clock that showed `stamp` when the monotonic clock showed `at`.
    pub fn between(stamp: UnixMicros, at: Micros) -> Self {
        ClockOffset(i128::from(at) - i128::from(stamp.0))
    }

    /// Converts a time to the monotonic clock. The result is at least 1, since 0 stands for long ago.
    pub fn monotonic(self, stamp: UnixMicros) -> Micros {
        Micros::try_from((i128::from(stamp.0) + self.0).max(1)).unwrap_or(Micros::MAX)
    }

    /// By how much this offset is greater than `other`; 0 if it is less.
    pub fn exceeds_by(self, other: Self) -> Micros {
        Micros::try_from((self.0 - other.0).max(0)).unwrap_or(Micros::MAX)
    }
}

impl ClockReading {
    /// The offset of the monotonic clock from the wall clock.
    pub fn offset(&self) -> ClockOffset {
        ClockOffset::between(self.wall, self.monotonic)
    }

    /// The wall clock time at `at`, provided that the clock was not set since the reading.
    pub fn wall_at(&self, at: Micros) -> UnixMicros {
        let wall = i128::from(at) - self.offset().0;
        UnixMicros(u64::try_from(wall.max(0)).unwrap_or(u64::MAX))
    }
}
