//! The origin: a slow store with a bounded queue that stops for a while when it is overloaded.

use crate::overload::{Overload, OverloadDetector};
use crate::station::{self, Finished, Job, Station};
use crate::time::Time;

/// Configuration of the origin.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Cores, running and queued requests, contention.
    pub station: station::Config,
    /// The origin stops when it is sent more than this multiple of its capacity within `overload_window`.
    pub overload_multiple: f64,
    /// Window over which the sent work is counted.
    pub overload_window: Time,
    /// Duration of a stop caused by overload.
    pub outage: Time,
    /// Largest number of stops caused by overload in a day.
    pub max_stops: u32,
    /// Whether cancelled requests are removed from the queue.
    pub drops_cancelled: bool,
}

/// Result of offering a fetch or a write to the origin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Running or queued.
    Accepted,
    /// Rejected without being executed: the queue is full.
    Full,
    /// The origin was sent too much. The caller has to stop it.
    Overloaded(Overload),
}

/// The origin.
pub struct Origin {
    config: Config,
    station: Station,
    overload: OverloadDetector,
    stops: u32,
    down_until: Time,
    /// Whether the capacity is scaled up to fill caches; the origin then never stops by itself.
    scaled_up: bool,
}

impl Origin {
    /// Creates an idle origin. `mean_work` sets the slack of the overload detector.
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

    /// Multiplies cores and slots by `factor`, without making single requests faster. Factors above 1 are for
    /// the warm-up before a day, and disable stops by overload; 1 restores the configuration.
    /// The caller first advances the origin to `now`.
    pub fn scale_capacity(&mut self, factor: f64) {
        let config = self.config.station;
        self.scaled_up = factor > 1.0;
        self.station.resize(config.cores * factor, (config.slots as f64 * factor) as usize);
        self.overload.clear();
    }

    /// The station that processes requests.
    pub fn station(&self) -> &Station {
        &self.station
    }

    /// Whether the origin is stopped.
    pub fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }

    /// Time of the next call to [`Origin::advance`], if one is due.
    pub fn wake_at(&mut self) -> Option<Time> {
        self.station.wake_at()
    }

    /// Advances the clock to `now` and appends the finished requests to `done`.
    pub fn advance(&mut self, now: Time, done: &mut Vec<Finished>) {
        self.station.advance(now, done);
    }

    /// Records the work that a read is expected to cause here because a share of the backends is cold.
    pub fn record_expected(&mut self, now: Time, expected: f64) {
        self.overload.record(now, self.config.station.cores, 0.0, 0.0, expected);
    }

    /// Offers a completely received fetch or write. `attributed` is the part of its work caused by a miss on
    /// a cold backend.
    /// The caller first advances the origin to `now`.
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

    /// Cancels a request; a running one is still processed. Returns whether it was dropped.
    pub fn cancel(&mut self, now: Time, job: Job) -> bool {
        self.config.drops_cancelled && self.station.cancel(now, job, false)
    }

    /// Stops the origin until `until`, or for the configured outage, and returns the requests that were in
    /// flight.
    pub fn stop(&mut self, now: Time, until: Option<Time>) -> Vec<Job> {
        self.stops += u32::from(until.is_none());
        self.down_until = until.unwrap_or(now + self.config.outage).max(self.down_until);
        self.overload.clear();
        self.station.clear(now)
    }
}
