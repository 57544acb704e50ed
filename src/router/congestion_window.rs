//! An adaptive window that bounds the attempts in flight at the origin, at one cache, or at all caches.
//!
//! Implements Equation 2 of "Supply Quality Service VoIP through Call Signaling Overload Control" (Alabbas
//! and Hosseini Seno), which adapts the window `W` at each completion:
//!
//! ```text
//! if mean(last k delays) >= CCT_estimation + alpha:   threshold = W / 2,  W = 1
//! otherwise, if W < threshold (slow start):           W = W + 1
//! otherwise (congestion avoidance):                   W = W + 1 / W
//! ```
//!
//! `CCT_estimation` is the normal delay ([`NormalDelay`]), and `alpha` an allowance for its variance.
//! Differences from the paper: `W` may fall below one, which spaces out attempts in time; the window of a
//! single cache is halved instead of cut to one; the window over all caches uses the median delay instead of
//! the mean.

use super::normal_delay::NormalDelay;
use crate::interface::{Micros, Settings};
use std::collections::VecDeque;

/// The number `k` of delays that Equation 2 averages: enough to average out single slow attempts, few enough
/// to detect congestion early.
pub(super) const MEAN_SAMPLES: usize = 8;
/// The minimum number of delays for a decision; fewer are dominated by noise.
pub(super) const MIN_SAMPLES: usize = 4;
/// Lower bound on `alpha`, as a share of `CCT_estimation`: our reading of the paper's 1/2.
const ALPHA_DELAY_SHARE: f64 = 0.5;
/// Lower bound on `alpha`, in standard deviations of the mean of `k` normal delays. Chance alone seldom goes
/// that far.
const ALPHA_DEVIATIONS: f64 = 3.0;
/// Lower bound on `alpha`, as a share of the difference between latency objective and `CCT_estimation`. Does
/// not apply to a single cache, whose read may still have to go to the origin within the objective. A fetch is
/// the last step, and a delay within the objective does no harm.
const ALPHA_SLACK_SHARE: f64 = 0.5;
/// The initial window, in attempts. Doubling from one would take the first three round trips after a start.
const INITIAL_WINDOW: f64 = 8.0;
/// The initial slow start threshold, in attempts: slow start may double the initial window once.
const INITIAL_THRESHOLD: f64 = 16.0;
/// The minimum window, in attempts: one attempt per 64 normal delays.
pub(super) const MIN_WINDOW: f64 = 1.0 / 64.0;
/// The minimum window after a cut by refused or reset connections, in attempts. Attempts at a server that is
/// down do not congest it.
pub(super) const MIN_WINDOW_WHILE_DOWN: f64 = 1.0 / 4.0;
/// Weight of the newest sample in the mean interval between demands.
const DEMAND_GAP_GAIN: f64 = 0.125;
/// Older delays are ignored, since the state of a server changes within seconds.
const MAX_SAMPLE_AGE: Micros = 4_000_000;
/// The minimum Retry-After, so that a rejected client always gets a delay.
const MIN_RETRY_AFTER_US: f64 = 1_000.0;
/// The latency objective if the settings contain no classes.
const DEFAULT_LATENCY_OBJECTIVE: Micros = 1_000_000;
const MICROS_PER_SECOND: f64 = 1e6;

/// The servers whose attempts a window bounds.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Target {
    /// The origin.
    Origin,
    /// A single cache.
    Cache,
    /// All caches together.
    AllCaches,
}

/// A delay and the time at which it was recorded.
struct DelaySample {
    at: Micros,
    delay: f64,
}

/// The end of an attempt as seen by its window.
#[derive(Clone, Copy)]
pub(super) struct Completion {
    /// When the attempt was sent.
    pub(super) sent_at: Micros,
    /// How long the server took.
    pub(super) delay: Micros,
    /// If the outcome alone signals congestion, the minimum window that the cut may leave.
    pub(super) forced_cut_floor: Option<f64>,
    /// Whether the delay and the outcome say anything about the server.
    pub(super) conclusive: bool,
}

/// A window on attempts in flight.
pub(super) struct CongestionWindow {
    target: Target,
    /// `W`, in attempts.
    size: f64,
    /// The window at which slow start ends, in attempts.
    threshold: f64,
    in_flight: u32,
    max_size: f64,
    /// The lowest latency objective of all classes, in microseconds.
    latency_objective: f64,
    /// The latest delays since the last cut.
    samples: VecDeque<DelaySample>,
    /// When the latest [`MIN_SAMPLES`] delays were recorded, including delays before a cut.
    reported_at: VecDeque<Micros>,
    normal_delay: NormalDelay,
    last_cut_at: Micros,
    last_sent_at: Micros,
    last_demand_at: Micros,
    /// The mean interval between demands for capacity, in microseconds; 0 before the second one.
    mean_demand_gap: f64,
    /// Moving average of the share of failed attempts, over about [`MEAN_SAMPLES`] attempts.
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

    /// Resets all statistics for a restarted process, except for the number of attempts in flight.
    pub(super) fn reset_for_new_process(&mut self, settings: &Settings) {
        let in_flight = self.in_flight;
        *self = CongestionWindow { in_flight, ..CongestionWindow::new(self.target, settings) };
    }

    /// Returns `W`, in attempts.
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

    /// Returns `CCT_estimation` in microseconds, once there are enough samples.
    pub(super) fn normal_delay(&self) -> Option<f64> {
        self.normal_delay.estimate()
    }

    /// Returns whether one more attempt fits into `share` of the window. A window below one admits one
    /// attempt per `CCT_estimation / W`.
    pub(super) fn has_capacity(&self, now: Micros, share: f64) -> bool {
        if self.size < 1.0 {
            let delay = self.normal_delay().unwrap_or(self.latency_objective).min(self.latency_objective);
            let pause = (delay / self.size) as Micros;
            return self.in_flight == 0 && now >= self.last_sent_at + pause;
        }
        f64::from(self.in_flight) + 1.0 <= (self.size * share).max(1.0)
    }

    /// Returns whether at most half of the window would be in use after one more attempt.
    pub(super) fn is_half_free(&self) -> bool {
        f64::from(self.in_flight) + 1.0 <= self.size / 2.0
    }

    /// Records a demand for capacity, whether or not it is admitted.
    pub(super) fn record_demand(&mut self, now: Micros) {
        if self.last_demand_at > 0 {
            self.mean_demand_gap +=
                DEMAND_GAP_GAIN * ((now - self.last_demand_at) as f64 - self.mean_demand_gap);
        }
        self.last_demand_at = now;
    }

    pub(super) fn record_sent(&mut self, now: Micros) {
        self.in_flight += 1;
        self.last_sent_at = now;
    }

    /// Returns the demands per second; 0 before the second demand.
    pub(super) fn demand_rate(&self) -> f64 {
        if self.mean_demand_gap > 0.0 {
            MICROS_PER_SECOND / self.mean_demand_gap
        } else {
            0.0
        }
    }

    /// Returns whether the demand, divided among `servers`, is too low to get [`MIN_SAMPLES`] delays of one
    /// server within `span`.
    pub(super) fn demand_is_sparse(&self, servers: usize, span: Micros) -> bool {
        self.mean_demand_gap * (servers * MIN_SAMPLES) as f64 > span as f64
    }

    /// Returns whether samples expire before there are [`MIN_SAMPLES`] of them.
    fn is_sparse(&self) -> bool {
        self.demand_is_sparse(1, MAX_SAMPLE_AGE)
    }

    /// Returns whether there are enough recent delays to rely on.
    pub(super) fn has_recent_samples(&self, now: Micros) -> bool {
        self.reported_at.len() >= MIN_SAMPLES && now <= self.reported_at[0] + MAX_SAMPLE_AGE
    }

    /// Returns `CCT_estimation + alpha`: a mean of `samples` delays that reaches it is a sign of congestion.
    /// `alpha` grows with the measured deviation, so that delays that vary widely do not cause cuts by
    /// chance.
    pub(super) fn delay_limit(&self, samples: usize) -> Option<f64> {
        let normal = self.normal_delay()?;
        let slack_share = if self.is_shared() { ALPHA_SLACK_SHARE } else { 0.0 };
        let alpha = (ALPHA_DELAY_SHARE * normal)
            .max(slack_share * (self.latency_objective - normal))
            .max(ALPHA_DEVIATIONS * self.normal_delay.deviation() / (samples as f64).sqrt());
        Some(normal + alpha)
    }

    /// Records whether an attempt failed, and returns whether that failure signals congestion: it does if
    /// most recent attempts failed. Single failures are usually connections that closed as the request was
    /// sent.
    pub(super) fn record_failure(&mut self, failed: bool) -> bool {
        self.failure_share += (f64::from(u8::from(failed)) - self.failure_share) / MEAN_SAMPLES as f64;
        failed && (self.failure_share > 0.5 || self.is_sparse())
    }

    /// Handles the end of an attempt: applies Equation 2.
    pub(super) fn record_completion(&mut self, now: Micros, completion: Completion) {
        let in_use = f64::from(self.in_flight) >= self.size / 2.0;
        self.in_flight = self.in_flight.saturating_sub(1);
        // An attempt sent before the last cut must neither cut again for the same congestion nor regrow the
        // window.
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

    /// Returns the time until a slot is likely to be free, for a rejected client: the excess over the window
    /// drains at `W` attempts per normal delay.
    pub(super) fn retry_after(&self) -> Micros {
        let excess = f64::from(self.in_flight) + 1.0 - self.size;
        let delay = self.normal_delay().unwrap_or(self.latency_objective);
        (delay * excess.max(1.0) / self.size).max(MIN_RETRY_AFTER_US) as Micros
    }

    /// Returns whether the target is loaded by all proxies together, so that `W` may have to fall below one.
    fn is_shared(&self) -> bool {
        self.target != Target::Cache
    }

    fn add_sample(&mut self, now: Micros, delay: f64) {
        self.reported_at.push_back(now);
        if self.reported_at.len() > MIN_SAMPLES {
            self.reported_at.pop_front();
        }
        self.samples.push_back(DelaySample { at: now, delay });
        // The window over all caches keeps a window's worth of samples, since `k` reads of a busy proxy cover
        // too short a time. Expired samples are dropped, so that past congestion does not affect a proxy with
        // little traffic.
        let all_caches = self.target == Target::AllCaches;
        let max_samples = if all_caches { MEAN_SAMPLES.max(self.size as usize) } else { MEAN_SAMPLES };
        while self.samples.len() > max_samples || self.samples[0].at + MAX_SAMPLE_AGE < now {
            self.samples.pop_front();
        }
    }

    /// Returns the mean of the samples, or their median for the window over all caches, so that a few slow
    /// caches do not close it.
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
        // Many proxies can congest a server with less than one attempt in flight each. If this proxy used
        // less than one, or the previous cut did not help, halve what was used instead of cutting to one.
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

    /// Regrows the window. Above one it grows only while at least half used, or it would grow without bound
    /// at low load.
    fn grow(&mut self, in_use: bool) {
        if self.size < 1.0 {
            self.size = (self.size * 2.0).min(1.0);
        } else if in_use {
            self.size += if self.size < self.threshold { 1.0 } else { 1.0 / self.size };
            self.size = self.size.min(self.max_size);
        }
    }
}
