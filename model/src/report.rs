//! Load reports of a machine: periodic, delayed and noisy.

use crate::time::Time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Creation time on the machine's clock.
    pub created_at: Time,
    /// Requests per second.
    pub qps: f64,
    /// Errors per second.
    pub eps: f64,
    /// CPU utilization, 0 to 1.
    pub util: f64,
    /// Fetches in flight.
    pub fetches: f64,
}

/// Creates the load reports of one machine and returns the latest visible one.
pub struct Reporter {
    period: Time,
    delay: Time,
    noise: f64,
    extra_delay: Time,
    clock_skew: i64,
    reports: VecDeque<Report>,
    requests: u64,
    errors: u64,
    utilization: f64,
    period_start: Time,
}

/// Older reports are dropped, even if they are not visible yet.
const MAX_STORED_REPORTS: usize = 64;

impl Reporter {
    /// Creates a reporter with one report per `period`, visible after `delay`; `noise` is the largest
    /// relative error of each value.
    pub fn new(period: Time, delay: Time, noise: f64, now: Time) -> Self {
        Reporter {
            period: period.max(1),
            delay,
            noise,
            extra_delay: 0,
            clock_skew: 0,
            reports: VecDeque::new(),
            requests: 0,
            errors: 0,
            utilization: 0.0,
            period_start: now,
        }
    }

    /// Delays reports by `extra_delay` and shifts their timestamps by `clock_skew` microseconds from now on.
    pub fn set_delay_fault(&mut self, extra_delay: Time, clock_skew: i64) {
        self.extra_delay = extra_delay;
        self.clock_skew = clock_skew;
    }

    /// Records a finished request and the CPU utilization at its end.
    pub fn record_request(&mut self, now: Time, error: bool, utilization: f64, rng: &mut ChaCha8Rng) {
        self.requests += 1;
        self.errors += u64::from(error);
        self.utilization += 0.2 * (utilization - self.utilization);
        let passed = now - self.period_start;
        if passed >= self.period {
            let seconds = passed as f64 / 1e6;
            let mut noisy = |x: f64| x * (1.0 + self.noise * (2.0 * rng.random::<f64>() - 1.0));
            let report = Report {
                created_at: now.saturating_add_signed(self.clock_skew),
                qps: noisy(self.requests as f64 / seconds),
                eps: noisy(self.errors as f64 / seconds),
                util: noisy(self.utilization).min(1.0),
                fetches: 0.0,
            };
            if self.reports.len() == MAX_STORED_REPORTS {
                self.reports.pop_front();
            }
            self.reports.push_back(report);
            (self.requests, self.errors, self.period_start) = (0, 0, now);
        }
    }

    /// Latest report that is visible at `now`.
    pub fn latest_visible(&self, now: Time) -> Option<Report> {
        let is_visible = |r: &&Report| {
            r.created_at.saturating_add_signed(-self.clock_skew) + self.delay + self.extra_delay <= now
        };
        self.reports.iter().rev().find(is_visible).copied()
    }
}
