//! What follows from the figures of a spec: rates, capacities and sizes.

use super::{ClassSpec, Spec};
use crate::cache::{che_capacity, zipf_shares};
use crate::time::{secs, Time};

impl Spec {
    /// The mean work of a request at a backend, in microseconds of a standard core. Writes take none there.
    pub fn mean_work(&self) -> f64 {
        let all: f64 = self.classes.iter().map(|c| c.share).sum();
        let work = |c: &ClassSpec| c.share * c.work_ms * 1e3;
        self.classes.iter().map(work).sum::<f64>() / all
    }

    /// The share of requests that write.
    pub fn write_share(&self) -> f64 {
        let all: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().filter(|c| c.write).map(|c| c.share).sum::<f64>() / all
    }

    /// Work that all backends do in a microsecond when warm, as the spec's mean speeds have it.
    pub fn fleet_capacity(&self) -> f64 {
        let backends = &self.backends;
        let speed = backends.speeds.0 * (1.0 - backends.slow_share) + backends.speeds.1 * backends.slow_share;
        f64::from(backends.count) * backends.cores * speed
    }

    /// First tries a second, on average.
    pub fn rate(&self) -> f64 {
        if self.load.rate > 0.0 {
            return self.load.rate;
        }
        self.rate_at(self.load.share)
    }

    /// First tries a second at this load.
    pub fn rate_at(&self, load: f64) -> f64 {
        load * self.fleet_capacity() / self.mean_work() * 1e6
    }

    /// Fetches and writes a second that the origin can do.
    pub fn origin_capacity(&self) -> f64 {
        let defaults =
            if self.load.rate > 0.0 { self.load.rate } else { self.rate_at(self.origin.reference_load) };
        let writes = self.write_share();
        self.origin.headroom * defaults * ((1.0 - writes) * (1.0 - self.keys.hit_rate) + writes)
    }

    /// Units of room of one backend's memory: the fleet's by Che's approximation at the hit rate that is
    /// stated, shared out evenly. An object takes 8 units on average.
    pub fn backend_memory(&self) -> u64 {
        let shares = zipf_shares(self.keys.count, self.keys.zipf, self.keys.offset);
        let objects = che_capacity(&shares, self.keys.hit_rate);
        (objects * 8.0 / f64::from(self.backends.count)).ceil().max(16.0) as u64
    }

    /// When the scored part of the day begins and ends.
    pub fn scored(&self) -> (Time, Time) {
        (secs(self.warm_up_s), secs(self.warm_up_s + self.length_s))
    }
}
