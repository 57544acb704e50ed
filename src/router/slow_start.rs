//! Slow start: the capacity of a warming cache, and how many reads it may be sent.
//!
//! A cache that has just started is empty and slow, and fails if it gets much more load than it can handle.
//! Its budget is a share of the rate of cache hits that this proxy sees; demand is unsuitable as a measure,
//! since in an overload it exceeds what any cache can handle. Reads beyond the budget are denied at random in
//! proportion. A token bucket is not used, because all proxies would send their saved tokens at once, and
//! a bucket of one token would admit half of the reads that come one at a time, which crowds the warm caches.

use crate::interface::{Micros, Settings};

/// The rate that overloads a warming cache is divided by this factor, as a margin for random variation.
const OVERLOAD_SAFETY_DIVISOR: f64 = 2.5;
/// The minimum time over which the hit rate is measured.
const HIT_RATE_INTERVAL: Micros = 1_000_000;
const MICROS_PER_SECOND: f64 = 1e6;

/// Returns a server's share of its full capacity, which grows from `initial_capacity_share` to 1 over
/// `warmup`.
pub(super) fn capacity_share(settings: &Settings, started_at: Micros, now: Micros) -> f64 {
    let age = now.saturating_sub(started_at);
    if started_at == 0 || age >= settings.warmup {
        return 1.0;
    }
    let initial = settings.initial_capacity_share;
    initial + (1.0 - initial) * age as f64 / settings.warmup as f64
}

/// The rate of cache hits that this proxy sees. Misses are not counted: a cold cache causes many of them, and
/// they do not show what warm caches can handle.
pub(super) struct HitRate {
    hits: u32,
    measured_at: Micros,
    per_second: f64,
}

impl HitRate {
    pub(super) fn new(now: Micros) -> Self {
        HitRate { hits: 0, measured_at: now, per_second: 0.0 }
    }

    pub(super) fn record_hit(&mut self) {
        self.hits += 1;
    }

    /// Updates the rate if the current interval is long enough.
    pub(super) fn update(&mut self, now: Micros) {
        if now.saturating_sub(self.measured_at) < HIT_RATE_INTERVAL {
            return;
        }
        let seconds = (now - self.measured_at) as f64 / MICROS_PER_SECOND;
        let rate = f64::from(self.hits) / seconds;
        self.hits = 0;
        self.per_second = if self.per_second == 0.0 { rate } else { 0.5 * (self.per_second + rate) };
        self.measured_at = now;
    }

    pub(super) fn per_second(&self) -> f64 {
        self.per_second
    }
}

/// The inputs of a slow-start decision about one cache.
pub(super) struct WarmingCache {
    /// The cache's share of the total weight.
    pub(super) weight_share: f64,
    /// Hits per second over all caches.
    pub(super) hit_rate: f64,
    /// The cache's average latency, in microseconds; 0 if unknown.
    pub(super) answer_time: f64,
    /// When the cache's congestion window was last cut.
    pub(super) window_cut_at: Micros,
    /// Reads per second that arrive at this proxy for any cache; 0 if unknown.
    pub(super) read_rate: f64,
}

/// Counts the reads that were considered for a cache while it was warming up.
pub(super) struct SlowStartBudget {
    /// The number of such reads, decaying exponentially over `overload_window`.
    demand: f64,
    demand_at: Micros,
    counting_since: Micros,
}

impl SlowStartBudget {
    pub(super) fn new(now: Micros) -> Self {
        SlowStartBudget { demand: 0.0, demand_at: now, counting_since: now }
    }

    /// Returns whether one more read may go to the cache. `random` is uniform in [0, 1).
    pub(super) fn admit(
        &mut self,
        now: Micros,
        cache: &WarmingCache,
        settings: &Settings,
        random: f64,
    ) -> bool {
        let window = settings.overload_window.max(1) as f64 / MICROS_PER_SECOND;
        let allowed = allowed_rate(now, cache, settings) * window;
        // The current read is not counted, to avoid bias. While less than one window has been counted, the
        // budget is reduced to the counted share, or a fleet without history would admit all reads.
        let demand = self.demand * (-((now - self.demand_at) as f64 / MICROS_PER_SECOND) / window).exp();
        let window_elapsed_share =
            1.0 - (-((now - self.counting_since) as f64 / MICROS_PER_SECOND) / window).exp();
        self.demand = demand + 1.0;
        self.demand_at = now;
        // Demand counts are near zero at a proxy that rarely reads from this cache, and many such proxies
        // would each admit every read. The cache's expected share of this proxy's reads is a lower bound on
        // its demand.
        let expected = cache.weight_share * cache.read_rate * window;
        random * demand.max(expected) < allowed * window_elapsed_share
    }
}

/// Returns the reads per second that a warming cache may be sent. A cache whose window was not cut recently
/// is assumed to handle one read at a time from all proxies together, so that a fleet with few warm caches
/// can still warm up.
fn allowed_rate(now: Micros, cache: &WarmingCache, settings: &Settings) -> f64 {
    let headroom = settings.overload_multiple / OVERLOAD_SAFETY_DIVISOR;
    let fleet_answer_time = cache.answer_time * f64::from(settings.proxies);
    let bears_load = fleet_answer_time > 0.0 && now >= cache.window_cut_at + settings.overload_window;
    let one_at_a_time = if bears_load { MICROS_PER_SECOND / fleet_answer_time } else { 0.0 };
    (headroom * cache.hit_rate * cache.weight_share).max(one_at_a_time)
}
