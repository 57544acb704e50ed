//! Estimates when each backend last started, on this process's monotonic clock. Slow start is counted from that time.
//!
//! Discovery reports a start as Unix time (`boot_ms`), by a clock that may differ from this machine's wall clock. An
//! estimate that is too early skips the slow start of a cold backend; one that is too late holds a warm backend back.
//! Therefore:
//!
//! - A start is never later than the moment at which this process was first notified of it.
//! - Starts that are reported by updates give the offset between discovery's clock and the monotonic clock. Notifications
//!   are never early, so the minimum of (notified - stamp) is never too small, and ages computed with it are never too
//!   great. After the first such update, a wall clock that is ahead no longer makes backends look older.
//! - The wall clock may still make a backend younger, but not younger than its notification.
//! - A new process trusts its wall clock for the first list and for what the first watch catches up on. Otherwise each
//!   restart would put the whole fleet through slow start. If an update later contradicts the wall clock, the starts of
//!   the first list are corrected.

use super::time::{ClockOffset, ClockReading, UnixMicros};
use notchdoor::{Micros, ServerId};
use std::collections::HashMap;

/// Usual upper bound of the delay between a start and its notification. The starts of the first list are corrected only
/// if the wall clock is ahead by more, since a correction discards what is known of a backend.
const MAX_NOTIFICATION_DELAY: Micros = 1_000_000;

/// The last start of a backend.
struct Boot {
    /// The start by discovery's clock.
    stamp: UnixMicros,
    notified_at: Micros,
    started_at: Micros,
    /// Whether an update reported it, rather than the first list.
    from_update: bool,
}

/// The estimated last start of each backend.
pub struct BootTimes {
    /// Offset of the monotonic clock from the wall clock when the process started.
    wall: ClockOffset,
    /// The minimum offset of the monotonic clock from discovery's clock that updates have shown.
    min_offset: Option<ClockOffset>,
    slow_start: Micros,
    /// Whether discovery has brought the list up to date since the process started.
    current: bool,
    boots: HashMap<ServerId, Boot>,
}

impl BootTimes {
    /// Creates an empty record. `start` is the reading of both clocks at the start of the process.
    pub fn new(start: ClockReading, slow_start: Micros) -> Self {
        let wall = start.offset();
        BootTimes { wall, min_offset: None, slow_start, current: false, boots: HashMap::new() }
    }

    /// Marks the list as up to date. Starts that are reported from here on happened recently.
    pub fn set_current(&mut self) {
        self.current = true;
    }

    /// Records the starts that an endpoint update reports; a stamp of 0 removes the record. Must be called before
    /// [`BootTimes::started_at`] for these servers. Returns the backends of the first list whose start was corrected, with
    /// the corrected start.
    pub fn record_starts(
        &mut self,
        now: Micros,
        starts: impl Iterator<Item = (ServerId, UnixMicros)>,
    ) -> Vec<(ServerId, Micros)> {
        let mut new_starts = Vec::new();
        for (server, stamp) in starts {
            if stamp == UnixMicros::default() {
                self.boots.remove(&server);
            } else if self.boots.get(&server).is_none_or(|b| b.stamp != stamp) {
                new_starts.push((server, stamp));
            }
        }
        if self.current {
            let samples = new_starts.iter().map(|(_, stamp)| ClockOffset::between(*stamp, now));
            self.min_offset = self.min_offset.into_iter().chain(samples).min();
        }
        for (server, stamp) in new_starts {
            let started_at = self.estimate_start(stamp, now);
            self.boots
                .insert(server, Boot { stamp, notified_at: now, started_at, from_update: self.current });
        }
        self.correct_first_list(now)
    }

    /// The last start of a backend; 0 if it was long ago or is unknown.
    pub fn started_at(&self, server: ServerId) -> Micros {
        self.boots.get(&server).map_or(0, |b| b.started_at)
    }

    /// The number of recorded starts. Backends that have left the list are included, since they may return without a
    /// restart.
    pub fn len(&self) -> usize {
        self.boots.len()
    }

    /// Whether no start is recorded.
    pub fn is_empty(&self) -> bool {
        self.boots.is_empty()
    }

    /// Removes the records for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ServerId) -> bool) {
        self.boots.retain(|server, _| keep(server));
    }

    fn estimate_start(&self, stamp: UnixMicros, notified: Micros) -> Micros {
        let offset = self.min_offset.map_or(self.wall, |offset| offset.max(self.wall));
        offset.monotonic(stamp).min(notified)
    }

    /// Corrects the starts of the first list if the wall clock has turned out to be ahead. Returns the backends that are
    /// therefore still in slow start.
    fn correct_first_list(&mut self, now: Micros) -> Vec<(ServerId, Micros)> {
        if self.min_offset.is_none_or(|offset| offset.exceeds_by(self.wall) <= MAX_NOTIFICATION_DELAY) {
            return Vec::new();
        }
        let mut corrected = Vec::new();
        let offset = self.min_offset.unwrap_or(self.wall);
        for (&server, boot) in self.boots.iter_mut().filter(|(_, boot)| !boot.from_update) {
            let started_at = offset.monotonic(boot.stamp).min(boot.notified_at);
            if started_at > boot.started_at && started_at.saturating_add(self.slow_start) > now {
                boot.started_at = started_at;
                corrected.push((server, started_at));
            }
        }
        corrected
    }
}
