//! Load reports: what a machine says of itself, refreshed now and then, late and a little noisy.

use crate::time::Time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// One report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// When it was made.
    pub made: Time,
    /// Requests a second.
    pub qps: f64,
    /// Errors a second.
    pub eps: f64,
    /// How busy the cores are, 0 to 1.
    pub util: f64,
    /// Fetches out.
    pub fetches: f64,
}

/// Makes reports of one machine and tells the one that is out.
pub struct Reporter {
    period: Time,
    delay: Time,
    noise: f64,
    late: Time,
    skew: i64,
    made: VecDeque<Report>,
    requests: u64,
    errors: u64,
    busy: f64,
    since: Time,
}

/// Reports that are still on their way, at most.
const MOST: usize = 64;

impl Reporter {
    /// Reports every `period`, told `delay` later, each figure off by a share of up to `noise`.
    pub fn new(period: Time, delay: Time, noise: f64, now: Time) -> Self {
        Reporter {
            period: period.max(1),
            delay,
            noise,
            late: 0,
            skew: 0,
            made: VecDeque::new(),
            requests: 0,
            errors: 0,
            busy: 0.0,
            since: now,
        }
    }

    /// From now on reports come this much later, and their clock is off by `skew` microseconds.
    pub fn trouble(&mut self, late: Time, skew: i64) {
        self.late = late;
        self.skew = skew;
    }

    /// One more request has ended, while the cores were this busy.
    pub fn count(&mut self, now: Time, error: bool, busy: f64, rng: &mut ChaCha8Rng) {
        self.requests += 1;
        self.errors += u64::from(error);
        self.busy += 0.2 * (busy - self.busy);
        let passed = now - self.since;
        if passed >= self.period {
            let seconds = passed as f64 / 1e6;
            let mut noisy = |x: f64| x * (1.0 + self.noise * (2.0 * rng.random::<f64>() - 1.0));
            let report = Report {
                made: now.saturating_add_signed(self.skew),
                qps: noisy(self.requests as f64 / seconds),
                eps: noisy(self.errors as f64 / seconds),
                util: noisy(self.busy).min(1.0),
                fetches: 0.0,
            };
            if self.made.len() == MOST {
                self.made.pop_front();
            }
            self.made.push_back(report);
            (self.requests, self.errors, self.since) = (0, 0, now);
        }
    }

    /// The latest report that is out at `now`.
    pub fn seen(&self, now: Time) -> Option<Report> {
        let ripe = |r: &&Report| r.made.saturating_add_signed(-self.skew) + self.delay + self.late <= now;
        self.made.iter().rev().find(ripe).copied()
    }
}
