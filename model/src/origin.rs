//! The origin: slow, with a bounded queue, and stopped for seconds when it is sent far more than it can do.

use crate::overload::{Overload, OverloadDetector};
use crate::station::{self, Finished, Job, Station};
use crate::time::Time;

/// The figures of the origin.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Cores, slots, queue, crowding.
    pub station: station::Config,
    /// Sent more than this many times its capacity over `fall_time`, it stops.
    pub overload_multiple: f64,
    /// The time over which that is counted.
    pub overload_window: Time,
    /// How long it stays down.
    pub outage: Time,
    /// How often in a day it stops at most.
    pub max_stops: u32,
    /// Whether waiting work that nobody waits for is dropped.
    pub drops_cancelled: bool,
}

/// What became of a fetch or a write that reached the origin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is being worked on or waits.
    Accepted,
    /// Turned away; it never ran.
    Full,
    /// The origin stops under it. The host has to stop it.
    Overloaded(Overload),
}

/// The origin.
pub struct Origin {
    config: Config,
    station: Station,
    overload: OverloadDetector,
    stops: u32,
    down_until: Time,
    /// It is as wide as it has to be, and does not stop: memories are being filled.
    scaled_up: bool,
}

impl Origin {
    /// An origin at rest.
    pub fn new(config: Config, mean_work: f64) -> Self {
        Origin {
            station: Station::new(config.station, 1.0, 0),
            overload: OverloadDetector::new(
                config.overload_window,
                config.overload_multiple,
                4.0 * mean_work,
            ),
            config,
            stops: 0,
            down_until: 0,
            scaled_up: false,
        }
    }

    /// So many times as wide from now on, at the same time for each request, and never stopping by itself: for
    /// the time before a day in which memories fill. 1 makes it what its figures say. Advance to `now` first.
    pub fn scale_capacity(&mut self, factor: f64) {
        let config = self.config.station;
        self.scaled_up = factor > 1.0;
        self.station.resize(config.cores * factor, (config.slots as f64 * factor) as usize);
        self.overload.clear();
    }

    /// Its station, to look at.
    pub fn station(&self) -> &Station {
        &self.station
    }

    /// Whether it is stopped.
    pub fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }

    /// When it wants to be advanced next.
    pub fn wake_at(&mut self) -> Option<Time> {
        self.station.wake_at()
    }

    /// Passes time up to `now` and appends what was done.
    pub fn advance(&mut self, now: Time, done: &mut Vec<Finished>) {
        self.station.advance(now, done);
    }

    /// Notes work that is due here for a read that a cold backend should have been sent.
    pub fn record_expected(&mut self, now: Time, expected: f64) {
        self.overload.record(now, self.config.station.cores, 0.0, 0.0, expected);
    }

    /// A fetch or a write has come whole: its work, and the part that a cold backend's miss is to blame for.
    /// Advance to `now` first.
    pub fn offer(&mut self, now: Time, job: Job, work: f64, attributed: f64) -> Admission {
        let capacity = self.config.station.cores;
        let overload = self.overload.record(now, capacity, work, attributed, 0.0);
        if let Some(overload) = overload.filter(|_| self.stops < self.config.max_stops && !self.scaled_up) {
            return Admission::Overloaded(overload);
        }
        match self.station.offer(now, job, work) {
            station::Admission::Accepted => Admission::Accepted,
            station::Admission::Full => Admission::Full,
        }
    }

    /// Nobody waits for this any more. Work that has begun goes on.
    pub fn cancel(&mut self, now: Time, job: Job) -> bool {
        self.config.drops_cancelled && self.station.cancel(now, job, false)
    }

    /// Stops it until `until`, or for as long as its figures say; gives back what it had.
    pub fn stop(&mut self, now: Time, until: Option<Time>) -> Vec<Job> {
        self.stops += u32::from(until.is_none());
        self.down_until = until.unwrap_or(now + self.config.outage).max(self.down_until);
        self.overload.clear();
        self.station.clear(now)
    }
}
