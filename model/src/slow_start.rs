//! Slow-start limit: the load that a warming backend may receive from all proxies together.
//!
//! The settings allow a multiple of the backend's capacity in any window. A backend bears a few standard
//! deviations more than that before it crashes; [`max_requests`] defines that limit.

use crate::time::Time;
use std::collections::VecDeque;

/// Below this many allowed requests, the limit adds more standard deviations.
const SMALL_ALLOWANCE_REQUESTS: f64 = 30.0;

/// Largest number of requests of mean work that a warming backend bears in a window for which the settings
/// allow `allowed`.
pub fn max_requests(allowed: f64) -> f64 {
    let deviations = if allowed < SMALL_ALLOWANCE_REQUESTS { 3.0 } else { 2.0 };
    allowed + deviations * allowed.sqrt() + deviations
}

/// Slow-start settings and the mean work of a request.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Allowed multiple of the capacity.
    pub overload_multiple: f64,
    /// Window over which requests are counted.
    pub overload_window: Time,
    /// Share of the full capacity right after a start.
    pub initial_capacity_share: f64,
    /// Time over which the capacity rises linearly to the full.
    pub warmup: Time,
    /// Mean work of a request, in microseconds of a standard core.
    pub mean_work: f64,
}

impl Allowance {
    /// Mean capacity share over the window that ends at `age`. Time before the start counts like the first
    /// moment.
    fn mean_capacity_share(&self, age: Time) -> f64 {
        let window = self.overload_window.max(1) as f64;
        let (to, from) = (age as f64, age.saturating_sub(self.overload_window) as f64);
        let rise = (1.0 - self.initial_capacity_share) / self.warmup.max(1) as f64;
        self.initial_capacity_share + rise * (to * to - from * from) / (2.0 * window)
    }

    /// Requests of mean work allowed in the window that ends at `age`. `capacity` is the backend's work per
    /// microsecond when warm.
    pub fn requests(&self, capacity: f64, age: Time) -> f64 {
        self.overload_multiple * capacity * self.mean_capacity_share(age) * self.overload_window as f64
            / self.mean_work
    }
}

/// Load on a warming backend in one window, in requests of mean work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLoad {
    /// From all proxies.
    pub total: f64,
    /// From proxies that had been notified of its start.
    pub notified: f64,
    /// Allowed by the settings.
    pub allowed: f64,
}

impl WindowLoad {
    /// Load from notified proxies as a share of the limit.
    pub fn limit_share(&self) -> f64 {
        self.notified / max_requests(self.allowed)
    }

    /// Whether the load from all proxies exceeds the limit.
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

/// Measures the load on one warming backend in every window.
pub struct SlowStartMeter {
    allowance: Allowance,
    capacity: f64,
    started: Time,
    window: VecDeque<Arrival>,
}

impl SlowStartMeter {
    /// Creates a meter for a backend that starts at `started` and does `capacity` work per microsecond when
    /// warm.
    pub fn new(allowance: Allowance, capacity: f64, started: Time) -> Self {
        SlowStartMeter { allowance, capacity, started, window: VecDeque::new() }
    }

    /// Records work that arrives at `now` and returns the load of the window that ends then. `None` once the
    /// backend is warm.
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
        // Summed on each call, because a running sum accumulates rounding errors; a window has few requests.
        let sum = |of: fn(&Arrival) -> bool| self.window.iter().filter(|a| of(a)).map(|a| a.requests).sum();
        Some(WindowLoad {
            total: sum(|_| true),
            notified: sum(|a| a.notified),
            allowed: self.allowance.requests(self.capacity, age),
        })
    }
}
