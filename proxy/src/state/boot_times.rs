//! When each backend last started, on this process's monotonic clock: what its slow start is counted from.
//!
//! Discovery stamps a start with Unix time (`boot_ms`). Ours may differ from the clock that made the stamp: it was off
//! when the process began, or was set between two starts. Both errors hurt: a backend that has just started passes for
//! warm and is pushed over, or it lies in the future and is held back for an hour. So:
//!
//! - A start lies no later than the moment at which this process was first notified of it.
//! - The starts told by changes while the list is watched give the offset between discovery's clock and ours: each was
//!   told at once or later, so the least of (notified - stamp) is never too small, and an age that is reckoned with it
//!   never too great. From the first such change on, a wall clock that is ahead makes no backend look older.
//! - The wall clock may only make a backend younger than that, and by no more than one slow start: up to the moment of
//!   its notification.
//! - A fresh process that has seen nothing trusts its wall clock for the list that it starts with, and for what the
//!   first watch has to catch up on: else each restart would put the whole fleet through slow start. Once a change
//!   contradicts that clock, the ages of that first list are reckoned anew.

use super::time::{ClockOffset, ClockReading, UnixMicros};
use notchdoor::{Micros, ServerId};
use std::collections::HashMap;

/// A start is told within so long when nothing is wrong; only a wall clock that is further ahead counts as wrong for
/// the backends of the first list, for a corrected start voids what is known of a backend.
const MAX_NOTIFICATION_DELAY: Micros = 1_000_000;

/// What is known of a backend's last start.
struct Boot {
    stamp: UnixMicros,
    notified_at: Micros,
    started_at: Micros,
    /// Told by a change, not by the list that the process began with.
    from_update: bool,
}

/// See the module.
pub struct BootTimes {
    wall: ClockOffset,
    /// The least offset that a change has shown.
    min_offset: Option<ClockOffset>,
    slow_start: Micros,
    /// Whether discovery has brought the list up to date since the process began.
    current: bool,
    boots: HashMap<ServerId, Boot>,
}

impl BootTimes {
    /// Nothing is known yet but what the clocks showed at the start.
    pub fn new(start: ClockReading, slow_start: Micros) -> Self {
        let wall = start.offset();
        BootTimes { wall, min_offset: None, slow_start, current: false, boots: HashMap::new() }
    }

    /// Discovery has been heard: a start that it tells from here on is new.
    pub fn set_current(&mut self) {
        self.current = true;
    }

    /// Takes note of the starts that one update tells, before any of them is asked for. Backends of the first list
    /// whose slow start this changes, with their starts.
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

    /// A backend's last start; 0 for long ago, or where none was told.
    pub fn started_at(&self, server: ServerId) -> Micros {
        self.boots.get(&server).map_or(0, |b| b.started_at)
    }

    /// For how many backends a start is remembered: those that left, too, for one that returns is no newer.
    pub fn len(&self) -> usize {
        self.boots.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.boots.is_empty()
    }

    /// Forgets the backends that are not to be kept.
    pub fn retain(&mut self, keep: impl Fn(&ServerId) -> bool) {
        self.boots.retain(|server, _| keep(server));
    }

    fn estimate_start(&self, stamp: UnixMicros, notified: Micros) -> Micros {
        let offset = self.min_offset.map_or(self.wall, |offset| offset.max(self.wall));
        offset.monotonic(stamp).min(notified)
    }

    /// Where the wall clock has turned out to be ahead: the backends of the first list that are still in slow start.
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
