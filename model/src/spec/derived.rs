//! Rates, capacities and sizes derived from a spec.

use super::{ClassSpec, Spec};
use crate::cache::{che_capacity, zipf_shares};
use crate::time::{secs, Time};

impl Spec {
    /// Mean work of a request at a backend, in microseconds of a standard core.
    pub fn mean_work(&self) -> f64 {
        let all: f64 = self.classes.iter().map(|c| c.share).sum();
        let work = |c: &ClassSpec| c.share * c.work_ms * 1e3;
        self.classes.iter().map(work).sum::<f64>() / all
    }

    /// Share of requests that are writes.
    pub fn write_share(&self) -> f64 {
        let all: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().filter(|c| c.write).map(|c| c.share).sum::<f64>() / all
    }

    /// Work per microsecond of all warm backends, by the mean speeds of the spec.
    pub fn fleet_capacity(&self) -> f64 {
        let backends = &self.backends;
        let speed = backends.speeds.0 * (1.0 - backends.slow_share) + backends.speeds.1 * backends.slow_share;
        f64::from(backends.count) * backends.cores * speed
    }

    /// Mean rate of first attempts, per second.
    pub fn rate(&self) -> f64 {
        if self.load.rate > 0.0 {
            return self.load.rate;
        }
        self.rate_at(self.load.share)
    }

    /// Rate of first attempts per second at this load.
    pub fn rate_at(&self, load: f64) -> f64 {
        load * self.fleet_capacity() / self.mean_work() * 1e6
    }

    /// Fetches and writes per second that the origin can process.
    pub fn origin_capacity(&self) -> f64 {
        let defaults =
            if self.load.rate > 0.0 { self.load.rate } else { self.rate_at(self.origin.reference_load) };
        let writes = self.write_share();
        self.origin.headroom * defaults * ((1.0 - writes) * (1.0 - self.keys.hit_rate) + writes)
    }

    /// Cache capacity of one backend, in units of object size (8 per mean object): an even part of the
    /// capacity at which one pooled cache has the stated hit rate, by Che's approximation.
    pub fn backend_cache_capacity(&self) -> u64 {
        let shares = zipf_shares(self.keys.count, self.keys.zipf, self.keys.offset);
        let objects = che_capacity(&shares, self.keys.hit_rate);
        (objects * 8.0 / f64::from(self.backends.count)).ceil().max(16.0) as u64
    }

    /// Start and end of the scored part of the day.
    pub fn scored_interval(&self) -> (Time, Time) {
        (secs(self.warm_up_s), secs(self.warm_up_s + self.length_s))
    }
}
