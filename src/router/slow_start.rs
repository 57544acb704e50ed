//! Slow start: what share of its capacity a warming cache has, and how many reads it may be sent.
//!
//! A cache that has just started is empty and slow, and falls over when it is sent much more than it can
//! bear. Its budget is a share of the hits that caches answer this proxy. Demand is no measure: in an
//! overload it is more than any cache can bear. Past the budget a read is admitted by chance, in proportion.
//! Sends that were saved up would come in bursts from all proxies at once, and a saving of one would let
//! through half of the reads that come one at a time, crowding the warm caches instead.

use crate::interface::{Micros, Settings};

/// A warming cache gets this part of what would push it over, beside its weight's share of all hits: chance
/// may use up the rest.
const OVERLOAD_SAFETY_DIVISOR: f64 = 2.5;
/// The least time in microseconds over which the rate of hits is measured.
const HIT_RATE_INTERVAL: Micros = 1_000_000;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// The share of its full capacity that a server has: from `initial_capacity_share` up to 1 over `warmup`.
pub(super) fn capacity_share(settings: &Settings, started_at: Micros, now: Micros) -> f64 {
    let age = now.saturating_sub(started_at);
    if started_at == 0 || age >= settings.warmup {
        return 1.0;
    }
    let initial = settings.initial_capacity_share;
    initial + (1.0 - initial) * age as f64 / settings.warmup as f64
}

/// The rate at which caches answer this proxy with hits. Misses tell nothing of what warm caches bear: an
/// empty one would draw more of them, the more it lacks.
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

    /// Takes a new measurement if the last one is old enough.
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

/// What is known of a warming cache and of the fleet when a read asks for a place.
pub(super) struct WarmingCache {
    /// The cache's share of all weight.
    pub(super) weight_share: f64,
    /// Hits a second at all caches.
    pub(super) hit_rate: f64,
    /// The mean time that the cache takes over an answer, in microseconds; 0 if it has answered nothing.
    pub(super) answer_time: f64,
    /// When the cache last slowed down.
    pub(super) window_cut_at: Micros,
    /// Reads a second that this proxy is asked for, over all caches; 0 until that is known.
    pub(super) read_rate: f64,
}

/// The reads that asked for a place at one cache while it was warming up.
pub(super) struct SlowStartBudget {
    /// Their number, decaying over the time by which an overload is judged.
    demand: f64,
    demand_at: Micros,
    counting_since: Micros,
}

impl SlowStartBudget {
    pub(super) fn new(now: Micros) -> Self {
        SlowStartBudget { demand: 0.0, demand_at: now, counting_since: now }
    }

    /// Whether one more read may go to the cache; `random` is uniform in [0, 1).
    pub(super) fn admit(
        &mut self,
        now: Micros,
        cache: &WarmingCache,
        settings: &Settings,
        random: f64,
    ) -> bool {
        let window = settings.overload_window.max(1) as f64 / MICROS_PER_SECOND;
        let allowed = allowed_rate(now, cache, settings) * window;
        // This read is not counted, so as not to bias it. In the first window the budget is the part of it
        // gone by: else a fleet that starts without any history would let all reads in.
        let demand = self.demand * (-((now - self.demand_at) as f64 / MICROS_PER_SECOND) / window).exp();
        let window_elapsed_share =
            1.0 - (-((now - self.counting_since) as f64 / MICROS_PER_SECOND) / window).exp();
        self.demand = demand + 1.0;
        self.demand_at = now;
        // A proxy that reads from one cache once in many windows counts no demand there, and hundreds of them would
        // each admit every read: the cache's share of all reads of this proxy bounds its demand from below.
        let expected = cache.weight_share * cache.read_rate * window;
        random * demand.max(expected) < allowed * window_elapsed_share
    }
}

/// Reads a second that a warming cache may be sent. A cache that has not slowed down bears at least one read
/// from all proxies together in the time that it takes over one: without that, caches would stay cold and
/// empty where few are left whose hits tell what a cache bears.
fn allowed_rate(now: Micros, cache: &WarmingCache, settings: &Settings) -> f64 {
    let headroom = settings.overload_multiple / OVERLOAD_SAFETY_DIVISOR;
    let fleet_answer_time = cache.answer_time * f64::from(settings.proxies);
    let bears_load = fleet_answer_time > 0.0 && now >= cache.window_cut_at + settings.overload_window;
    let one_at_a_time = if bears_load { MICROS_PER_SECOND / fleet_answer_time } else { 0.0 };
    (headroom * cache.hit_rate * cache.weight_share).max(one_at_a_time)
}
