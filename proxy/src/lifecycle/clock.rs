//! The process's clock: monotonic time from an origin of its own.
//!
//! The wall clock is read once, at the start, and for three things only: to read what others stamped with Unix time
//! (`boot_ms`, the hot-restart file), to stamp that file, and to show times to operators. Nothing here or elsewhere
//! measures a span with it: it may be off when the process begins, and may be set by an hour at any moment.

use crate::state::time::{ClockReading, UnixMicros};
use notchdoor::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What the monotonic clock shows at the start: longer than any span that settings can name (some thirty years), so
/// that a moment so long before the start is still one, and so far from Unix time that mixing the two shows at once.
const START_READING: Micros = 1 << 50;

/// A clock that never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall_at_start: UnixMicros,
    start: Instant,
}

impl Clock {
    /// Starts the clock beside the system's wall clock.
    pub fn start() -> Self {
        // The one place that reads the wall clock for anything but the log's own times.
        #[allow(clippy::disallowed_methods)]
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::start_at(UnixMicros(unix.as_micros() as u64))
    }

    /// Starts the clock while the wall clock shows this.
    pub fn start_at(wall: UnixMicros) -> Self {
        Clock { wall_at_start: wall, start: Instant::now() }
    }

    /// Both clocks as they were at the start.
    pub fn reading(&self) -> ClockReading {
        ClockReading { monotonic: START_READING, wall: self.wall_at_start }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        START_READING + self.start.elapsed().as_micros() as Micros
    }

    /// Unix time now, as the wall clock of the start would show it.
    pub fn unix(&self) -> UnixMicros {
        self.reading().wall_at(self.now())
    }

    /// A time of this clock as the system's timers have it. What is too far off counts as an hour from now.
    pub fn instant(&self, at: Micros) -> Instant {
        let elapsed = Duration::from_micros(at.saturating_sub(START_READING));
        self.start.checked_add(elapsed).unwrap_or_else(|| Instant::now() + Duration::from_secs(3600))
    }
}
