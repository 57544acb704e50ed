//! The slow-start budget: how much a warming backend may be sent over the whole fleet of proxies.
//!
//! The settings allow a backend that has just started so many requests of mean work in any span of the fall time:
//! a multiple of what it can do while it warms up. Chance adds a few standard deviations, and beyond that the
//! backend falls over. [`limit`] is the one definition of where that is.

use crate::time::Time;
use std::collections::VecDeque;

/// Where fewer requests than this are allowed, chance counts for more.
const SMALL_ALLOWANCE_REQUESTS: f64 = 30.0;

/// The most requests of mean work that a warming backend bears in a span in which the settings allow it `allowed`.
pub fn max_requests(allowed: f64) -> f64 {
    let deviations = if allowed < SMALL_ALLOWANCE_REQUESTS { 3.0 } else { 2.0 };
    allowed + deviations * allowed.sqrt() + deviations
}

/// What the settings say of slow start, and the mean work of a request.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// So many times what a backend can do is allowed.
    pub overload_multiple: f64,
    /// The span over which requests are counted.
    pub overload_window: Time,
    /// The share of its capacity at which a backend starts.
    pub initial_capacity_share: f64,
    /// The time over which its capacity rises to the full.
    pub warmup: Time,
    /// The mean work of a request, in microseconds of a standard core.
    pub mean_work: f64,
}

impl Allowance {
    /// The mean share of its capacity over the span that ends when a backend is of this age. What of the span lies
    /// before its start counts as its first moment.
    fn mean_capacity_share(&self, age: Time) -> f64 {
        let window = self.overload_window.max(1) as f64;
        let (to, from) = (age as f64, age.saturating_sub(self.overload_window) as f64);
        let rise = (1.0 - self.initial_capacity_share) / self.warmup.max(1) as f64;
        self.initial_capacity_share + rise * (to * to - from * from) / (2.0 * window)
    }

    /// Requests of mean work that are allowed in the span that ends when a backend is of this age, if it does
    /// `capacity` microseconds of work in one when warm.
    pub fn requests(&self, capacity: f64, age: Time) -> f64 {
        self.overload_multiple * capacity * self.mean_capacity_share(age) * self.overload_window as f64
            / self.mean_work
    }
}

/// What a warming backend was sent in one span, in requests of mean work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLoad {
    /// By all proxies.
    pub total: f64,
    /// By the proxies that had been notified of its start.
    pub notified: f64,
    /// What the settings allowed.
    pub allowed: f64,
}

impl WindowLoad {
    /// What notified proxies sent, as a share of the limit.
    pub fn limit_share(&self) -> f64 {
        self.notified / max_requests(self.allowed)
    }

    /// Whether all proxies together sent more than the limit.
    pub fn exceeds_limit(&self) -> bool {
        self.total > max_requests(self.allowed)
    }
}

#[derive(Clone, Copy)]
struct Arrival {
    at: Time,
    requests: f64,
    notified: bool,
}

/// Counts what one backend is sent while it warms up, over every span of the fall time.
pub struct SlowStartMeter {
    allowance: Allowance,
    capacity: f64,
    started: Time,
    window: VecDeque<Arrival>,
}

impl SlowStartMeter {
    /// A meter for a backend that starts now and does `capacity` microseconds of work in one when warm.
    pub fn new(allowance: Allowance, capacity: f64, started: Time) -> Self {
        SlowStartMeter { allowance, capacity, started, window: VecDeque::new() }
    }

    /// Work reaches the backend: what the span that ends now came to. `None` once the backend counts as warm.
    pub fn record(&mut self, now: Time, work: f64, notified: bool) -> Option<WindowLoad> {
        let age = now.saturating_sub(self.started);
        if age >= self.allowance.warmup {
            self.window.clear();
            return None;
        }
        let window_start = now.saturating_sub(self.allowance.overload_window);
        while self.window.front().is_some_and(|first| first.at < window_start) {
            self.window.pop_front();
        }
        self.window.push_back(Arrival { at: now, requests: work / self.allowance.mean_work, notified });
        // Summed anew each time: a running sum would gather rounding errors, and a span holds few requests.
        let sum = |of: fn(&Arrival) -> bool| self.window.iter().filter(|a| of(a)).map(|a| a.requests).sum();
        Some(WindowLoad {
            total: sum(|_| true),
            notified: sum(|a| a.notified),
            allowed: self.allowance.requests(self.capacity, age),
        })
    }
}
