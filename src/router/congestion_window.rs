//! The adaptive window that bounds what this proxy has in flight at the origin, at one cache, or at all
//! caches.
//!
//! The window follows "Supply Quality Service VoIP through Call Signaling Overload Control" (Alabbas and
//! Hosseini Seno), whose Equation 2 adapts the window `W` at each completion:
//!
//! ```text
//! if mean(last k delays) >= CCT_estimation + alpha:   threshold = W / 2,  W = 1
//! otherwise, if W < threshold (slow start):           W = W + 1
//! otherwise (congestion avoidance):                   W = W + 1 / W
//! ```
//!
//! `CCT_estimation` is the normal delay ([`NormalDelay`]), and `alpha` an allowance for its variance.
//! Departures from the paper: `W` may fall below one, and then spaces sends in time; the window of a single
//! cache is halved instead of cut to one; and the window over all caches goes by the median delay.
//! `docs/design.md` says when each acts.

use super::normal_delay::NormalDelay;
use crate::interface::{Micros, Settings};
use std::collections::VecDeque;

/// k of Equation 2, in samples: enough to average out single slow attempts, few enough to see congestion
/// early.
pub(super) const MEAN_SAMPLES: usize = 8;
/// A mean of fewer samples than this decides nothing: right after a cut there is only noise.
pub(super) const MIN_SAMPLES: usize = 4;
/// alpha as a share of `CCT_estimation`: our reading of the paper's 1/2.
const ALPHA_DELAY_SHARE: f64 = 0.5;
/// alpha is at least so many deviations of the mean of k normal delays: chance alone seldom goes that far.
const ALPHA_DEVIATIONS: f64 = 3.0;
/// alpha is at least this share of what the latency objective leaves beyond `CCT_estimation`, for all but a
/// single cache: a fetch is the last step, and a delay within the objective does no harm. A cache's read may
/// still have to go on to the origin.
const ALPHA_SLACK_SHARE: f64 = 0.5;
/// The first window, in attempts: doubling from one would take the first three round trips of a start.
const INITIAL_WINDOW: f64 = 8.0;
/// The first threshold, in attempts: slow start may double the first window once before it turns careful.
const INITIAL_THRESHOLD: f64 = 16.0;
/// The least window, in attempts: one in so many normal delays.
pub(super) const MIN_WINDOW: f64 = 1.0 / 64.0;
/// The least window after a breach by refused or reset connections, in attempts: an attempt at a server that
/// is down congests nothing.
pub(super) const MIN_WINDOW_WHILE_DOWN: f64 = 1.0 / 4.0;
/// Weight of the newest gap between two demands for capacity.
const DEMAND_GAP_GAIN: f64 = 0.125;
/// Age in microseconds at which a delay says nothing any more: the state of a server changes within seconds.
const MAX_SAMPLE_AGE: Micros = 4_000_000;
/// The least Retry-After in microseconds: none at all would tell the client nothing.
const MIN_RETRY_AFTER_US: f64 = 1_000.0;
/// The latency objective in microseconds where there are no classes to state one.
const DEFAULT_LATENCY_OBJECTIVE: Micros = 1_000_000;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// What a window bounds the attempts at.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Target {
    /// The origin.
    Origin,
    /// One cache.
    Cache,
    /// All caches together.
    AllCaches,
}

/// A delay and when it was reported.
struct DelaySample {
    at: Micros,
    delay: f64,
}

/// What the end of an attempt tells its window.
#[derive(Clone, Copy)]
pub(super) struct Completion {
    /// When the attempt was sent.
    pub(super) sent_at: Micros,
    /// How long the server took.
    pub(super) delay: Micros,
    /// Set if the outcome alone is a breach: the least window that the cut may leave.
    pub(super) forced_cut_floor: Option<f64>,
    /// Whether the delay and the breach say anything about the server.
    pub(super) conclusive: bool,
}

/// A window on attempts in flight.
pub(super) struct CongestionWindow {
    target: Target,
    /// W, in attempts.
    size: f64,
    /// Where slow start ends, in attempts.
    threshold: f64,
    in_flight: u32,
    max_size: f64,
    /// The strictest latency objective of all classes, in microseconds.
    latency_objective: f64,
    /// The latest delays since the last cut.
    samples: VecDeque<DelaySample>,
    /// When the latest [`MIN_SAMPLES`] delays were reported, cut or not.
    reported_at: VecDeque<Micros>,
    normal_delay: NormalDelay,
    last_cut_at: Micros,
    last_sent_at: Micros,
    /// When capacity was last asked for, and the mean time between two such demands.
    last_demand_at: Micros,
    mean_demand_gap: f64,
    /// The share of the latest attempts, about [`MEAN_SAMPLES`] of them, that failed.
    failure_share: f64,
}

impl CongestionWindow {
    pub(super) fn new(target: Target, settings: &Settings) -> Self {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let latency_objective = objectives.min().unwrap_or(DEFAULT_LATENCY_OBJECTIVE) as f64;
        CongestionWindow {
            target,
            size: INITIAL_WINDOW,
            threshold: if target == Target::AllCaches { f64::INFINITY } else { INITIAL_THRESHOLD },
            in_flight: 0,
            max_size: f64::from(settings.max_in_flight.max(1)),
            latency_objective,
            samples: VecDeque::new(),
            reported_at: VecDeque::new(),
            normal_delay: NormalDelay::new(latency_objective),
            last_cut_at: 0,
            last_sent_at: 0,
            last_demand_at: 0,
            mean_demand_gap: 0.0,
            failure_share: 1.0,
        }
    }

    /// Forgets what was learnt of the process that has been replaced; what is in flight stays counted.
    pub(super) fn reset_for_new_process(&mut self, settings: &Settings) {
        let in_flight = self.in_flight;
        *self = CongestionWindow { in_flight, ..CongestionWindow::new(self.target, settings) };
    }

    /// W, in attempts.
    pub(super) fn size(&self) -> f64 {
        self.size
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn latency_objective(&self) -> f64 {
        self.latency_objective
    }

    pub(super) fn last_cut_at(&self) -> Micros {
        self.last_cut_at
    }

    /// `CCT_estimation`, once known.
    pub(super) fn normal_delay(&self) -> Option<f64> {
        self.normal_delay.estimate()
    }

    /// Whether one more attempt fits into this share of the window. A window below one spaces sends in time:
    /// one in each `CCT_estimation / W`.
    pub(super) fn has_capacity(&self, now: Micros, share: f64) -> bool {
        if self.size < 1.0 {
            let delay = self.normal_delay().unwrap_or(self.latency_objective).min(self.latency_objective);
            let pause = (delay / self.size) as Micros;
            return self.in_flight == 0 && now >= self.last_sent_at + pause;
        }
        f64::from(self.in_flight) + 1.0 <= (self.size * share).max(1.0)
    }

    /// Whether one more attempt would leave half of the window unused.
    pub(super) fn is_half_free(&self) -> bool {
        f64::from(self.in_flight) + 1.0 <= self.size / 2.0
    }

    /// Notes that capacity is asked for, whether there is any or not.
    pub(super) fn record_demand(&mut self, now: Micros) {
        if self.last_demand_at > 0 {
            self.mean_demand_gap +=
                DEMAND_GAP_GAIN * ((now - self.last_demand_at) as f64 - self.mean_demand_gap);
        }
        self.last_demand_at = now;
    }

    /// Notes that an attempt has been sent.
    pub(super) fn record_sent(&mut self, now: Micros) {
        self.in_flight += 1;
        self.last_sent_at = now;
    }

    /// Demands for capacity a second; 0 before two of them have come.
    pub(super) fn demand_rate(&self) -> f64 {
        if self.mean_demand_gap > 0.0 {
            MICROS_PER_SECOND / self.mean_demand_gap
        } else {
            0.0
        }
    }

    /// Whether demand, spread over so many servers, is too rare for [`MIN_SAMPLES`] delays of one within
    /// `span`.
    pub(super) fn demand_is_sparse(&self, servers: usize, span: Micros) -> bool {
        self.mean_demand_gap * (servers * MIN_SAMPLES) as f64 > span as f64
    }

    /// Whether enough delays are so rare that they never come together while they still say something.
    fn is_sparse(&self) -> bool {
        self.demand_is_sparse(1, MAX_SAMPLE_AGE)
    }

    /// Whether its own delays are many and recent enough to go by.
    pub(super) fn has_recent_samples(&self, now: Micros) -> bool {
        self.reported_at.len() >= MIN_SAMPLES && now <= self.reported_at[0] + MAX_SAMPLE_AGE
    }

    /// `CCT_estimation + alpha`: the delay at which a mean of so many samples is a breach. `alpha` is half of
    /// `CCT_estimation`, or more where the measured deviation or the latency objective asks for it: where
    /// delays vary widely, half of the normal delay would be reached by chance.
    pub(super) fn delay_limit(&self, samples: usize) -> Option<f64> {
        let normal = self.normal_delay()?;
        let slack_share = if self.is_shared() { ALPHA_SLACK_SHARE } else { 0.0 };
        let alpha = (ALPHA_DELAY_SHARE * normal)
            .max(slack_share * (self.latency_objective - normal))
            .max(ALPHA_DEVIATIONS * self.normal_delay.deviation() / (samples as f64).sqrt());
        Some(normal + alpha)
    }

    /// Notes whether one more attempt failed, and says whether that failure is a breach, which it is where
    /// most of the latest attempts failed: single failures only tell of connections that were closed as a
    /// request went out.
    pub(super) fn record_failure(&mut self, failed: bool) -> bool {
        self.failure_share += (f64::from(u8::from(failed)) - self.failure_share) / MEAN_SAMPLES as f64;
        failed && (self.failure_share > 0.5 || self.is_sparse())
    }

    /// An attempt has ended: Equation 2, in its one place.
    pub(super) fn record_completion(&mut self, now: Micros, completion: Completion) {
        let in_use = f64::from(self.in_flight) >= self.size / 2.0;
        self.in_flight = self.in_flight.saturating_sub(1);
        // What was sent before a cut tells of the time before it: it must neither cut for the same congestion
        // again nor regrow the window.
        if completion.sent_at < self.last_cut_at || !completion.conclusive {
            return;
        }
        if let Some(floor) = completion.forced_cut_floor {
            return self.cut(now, floor);
        }
        if in_use {
            self.normal_delay.mark_in_use();
        }
        let delay = completion.delay as f64;
        self.add_sample(now, delay);
        let typical = self.typical_delay();
        self.normal_delay.record(delay);
        let samples = self.samples.len();
        let needed = if self.is_sparse() { 1 } else { MIN_SAMPLES };
        if samples >= needed && self.delay_limit(samples).is_some_and(|limit| typical >= limit) {
            return self.cut(now, MIN_WINDOW);
        }
        self.grow(in_use);
    }

    /// When a slot is likely to be free, as advice to a rejected client: what is over the window drains at W
    /// attempts in a normal delay.
    pub(super) fn retry_after(&self) -> Micros {
        let excess = f64::from(self.in_flight) + 1.0 - self.size;
        let delay = self.normal_delay().unwrap_or(self.latency_objective);
        (delay * excess.max(1.0) / self.size).max(MIN_RETRY_AFTER_US) as Micros
    }

    /// Whether all proxies together congest the target, so that W may have to fall below one.
    fn is_shared(&self) -> bool {
        self.target != Target::Cache
    }

    fn add_sample(&mut self, now: Micros, delay: f64) {
        self.reported_at.push_back(now);
        if self.reported_at.len() > MIN_SAMPLES {
            self.reported_at.pop_front();
        }
        self.samples.push_back(DelaySample { at: now, delay });
        // Over all caches a window's worth of samples counts: k reads of a busy proxy are over in a moment,
        // and it would cut on chance. Old samples go, or a proxy with little traffic would go by congestion
        // long over.
        let all_caches = self.target == Target::AllCaches;
        let max_samples = if all_caches { MEAN_SAMPLES.max(self.size as usize) } else { MEAN_SAMPLES };
        while self.samples.len() > max_samples || self.samples[0].at + MAX_SAMPLE_AGE < now {
            self.samples.pop_front();
        }
    }

    /// The mean of the samples; over all caches their median, since a few slow caches must not close that
    /// window.
    fn typical_delay(&self) -> f64 {
        let count = self.samples.len();
        if self.target != Target::AllCaches {
            return self.samples.iter().map(|sample| sample.delay).sum::<f64>() / count as f64;
        }
        let mut delays: Vec<f64> = self.samples.iter().map(|sample| sample.delay).collect();
        *delays.select_nth_unstable_by(count / 2, f64::total_cmp).1
    }

    fn cut(&mut self, now: Micros, floor: f64) {
        self.threshold = (self.size / 2.0).max(1.0);
        // Hundreds of proxies may congest a server with one attempt each: where one is more than was used, or
        // where the cut before this one did not help, half of what was used remains.
        let used = if self.is_sparse() {
            self.normal_delay().unwrap_or(self.latency_objective) / self.mean_demand_gap
        } else {
            1.0
        };
        let half = self.size.min(used) / 2.0;
        let floor = half.max(floor * used).max(MIN_WINDOW);
        self.size = if !self.is_shared() {
            self.threshold
        } else if half >= 0.5 && self.size > 1.0 {
            1.0
        } else {
            floor
        };
        self.last_cut_at = now;
        self.samples.clear();
        self.normal_delay.mark_in_use();
    }

    /// Above one the window grows only while it is at least half used, or quiet times would grow it without
    /// bound.
    fn grow(&mut self, in_use: bool) {
        if self.size < 1.0 {
            self.size = (self.size * 2.0).min(1.0);
        } else if in_use {
            self.size += if self.size < self.threshold { 1.0 } else { 1.0 / self.size };
            self.size = self.size.min(self.max_size);
        }
    }
}
