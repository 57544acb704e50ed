//! Outlier detection: ejects caches that fail or are much slower than the median, and reinstates them after
//! successful trial requests.
//!
//! Uses only the outcomes of this proxy's own attempts. Reads skip an ejected cache, except for occasional
//! trial requests.

use super::backends::{Backend, BackendIndex, Backends};
use crate::interface::{Micros, Outcome};

/// Weight of the newest sample in a cache's average latency and failure share: a few answers decide.
const SAMPLE_GAIN: f64 = 0.25;
/// A cache is failing if more than this share of its recent attempts failed.
const MAX_FAILURE_SHARE: f64 = 0.5;
/// The weight of a broken connection relative to other failures: six in a row mark a cache as failing. A few
/// broken connections must not eject a cache, and a cache that is down refuses the next connections.
const RESET_FAILURE_WEIGHT: f64 = 0.65;
/// A cache is slow if its latency exceeds this multiple of the median; differences in hardware stay below it.
const SLOW_LATENCY_RATIO: f64 = 3.0;
/// The minimum number of samples before a cache can count as slow.
const MIN_LATENCY_SAMPLES: u32 = 3;
/// The maximum share of the total weight that may be ejected, so that the remaining caches can carry the
/// load.
const MAX_EJECTED_SHARE: f64 = 0.4;
/// The delay from an ejection to the first trial request.
const INITIAL_TRIAL_INTERVAL: Micros = 1_000_000;
/// The maximum delay between trial requests.
const MAX_TRIAL_INTERVAL: Micros = 4_000_000;
/// The number of consecutive successful trials that reinstate a cache.
const TRIALS_TO_REINSTATE: u32 = 2;
/// A read is late after this share of the latency objective; the rest is left for a fetch from the origin.
const LATE_OBJECTIVE_SHARE: f64 = 0.5;
/// Weight of the newest sample in the averages of the read latency over all caches.
const READ_LATENCY_GAIN: f64 = 0.05;
/// A read is unusually slow if its latency exceeds the mean by this many mean deviations.
const HIGH_LATENCY_DEVIATIONS: f64 = 4.0;

/// The health of one cache, by its recent answers.
#[derive(Default)]
pub(super) struct Health {
    /// Average latency of its answers, in microseconds.
    latency: f64,
    latency_samples: u32,
    /// Moving average of the share of failed attempts.
    failure_share: f64,
    /// The latest sending time of any attempt that it answered.
    newest_answered_sent_at: Micros,
    ejected: bool,
    good_trials: u32,
    trial_interval: Micros,
    next_trial_at: Micros,
}

impl Health {
    pub(super) fn is_ejected(&self) -> bool {
        self.ejected
    }

    /// Returns the average latency in microseconds; 0 without samples.
    pub(super) fn latency(&self) -> f64 {
        self.latency
    }

    /// Adds the latency of an answer, or the time waited for one that is outstanding.
    pub(super) fn record_latency(&mut self, took: f64) {
        self.latency_samples += 1;
        let gain = SAMPLE_GAIN.max(1.0 / f64::from(self.latency_samples));
        self.latency += gain * (took - self.latency);
    }

    /// Records an answer to an attempt sent at `sent_at`.
    pub(super) fn record_answered(&mut self, sent_at: Micros) {
        self.newest_answered_sent_at = self.newest_answered_sent_at.max(sent_at);
    }

    /// Returns whether the cache answered an attempt sent after `sent_at`. If so, an older unanswered attempt
    /// points to its connection rather than to the server.
    pub(super) fn has_answered_since(&self, sent_at: Micros) -> bool {
        self.newest_answered_sent_at > sent_at
    }

    /// Returns whether a trial request may be sent.
    pub(super) fn is_trial_due(&self, now: Micros) -> bool {
        now >= self.next_trial_at
    }

    pub(super) fn record_trial_sent(&mut self, now: Micros) {
        self.next_trial_at = now + self.trial_interval;
    }

    fn record_outcome(&mut self, failure: f64) {
        self.failure_share += SAMPLE_GAIN * (failure - self.failure_share);
    }

    /// Records the result of a trial request to an ejected cache.
    fn record_trial(&mut self, good: bool) {
        if !good {
            self.good_trials = 0;
            self.trial_interval = (self.trial_interval * 2).min(MAX_TRIAL_INTERVAL);
            return;
        }
        self.good_trials += 1;
        if self.good_trials >= TRIALS_TO_REINSTATE {
            *self = Health::default();
        }
    }

    fn eject(&mut self, now: Micros) {
        self.ejected = true;
        self.good_trials = 0;
        self.trial_interval = INITIAL_TRIAL_INTERVAL;
        self.next_trial_at = now + INITIAL_TRIAL_INTERVAL;
    }

    fn is_failing(&self) -> bool {
        self.failure_share > MAX_FAILURE_SHARE
    }
}

/// What an outcome says about a cache's health.
enum HealthSignal {
    Answered,
    Failed,
    TimedOut,
    Inconclusive,
}

impl HealthSignal {
    fn of(outcome: Outcome) -> Self {
        match outcome {
            // A malformed reply shows that the server answers. Ejecting it would only move its keys.
            Outcome::Ok | Outcome::Miss | Outcome::MalformedReply | Outcome::NoCapacity => {
                HealthSignal::Answered
            }
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => HealthSignal::Failed,
            Outcome::Timeout => HealthSignal::TimedOut,
            // A server that rejects is working. Ejecting it would only move its load to the next one.
            Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent => HealthSignal::Inconclusive,
        }
    }
}

/// A mean latency and its mean deviation, in microseconds.
#[derive(Default)]
struct ReadLatency {
    mean: f64,
    deviation: f64,
}

impl ReadLatency {
    fn record(&mut self, took: f64) {
        self.deviation += READ_LATENCY_GAIN * ((took - self.mean).abs() - self.deviation);
        self.mean += READ_LATENCY_GAIN * (took - self.mean);
    }
}

/// Decides which caches are ejected.
pub(super) struct OutlierDetector {
    /// The time after which a read is late, in microseconds.
    late_threshold: f64,
    /// The read latency of caches that are not ejected.
    read_latency: ReadLatency,
    /// The ejected weight as of the latest evaluation.
    ejected_weight: f64,
    /// The number of evaluations so far.
    evaluations: u64,
}

impl OutlierDetector {
    pub(super) fn new(latency_objective: f64) -> Self {
        OutlierDetector {
            late_threshold: latency_objective * LATE_OBJECTIVE_SHARE,
            read_latency: ReadLatency::default(),
            ejected_weight: 0.0,
            evaluations: 0,
        }
    }

    /// Returns the time after which a read is late, in microseconds.
    pub(super) fn late_threshold(&self) -> f64 {
        self.late_threshold
    }

    /// Returns the time within which nearly all reads are answered, in microseconds.
    pub(super) fn high_read_latency(&self) -> f64 {
        self.read_latency.mean + HIGH_LATENCY_DEVIATIONS * self.read_latency.deviation
    }

    pub(super) fn evaluations(&self) -> u64 {
        self.evaluations
    }

    /// Ejects failing and slow caches, as long as the ejected weight stays within [`MAX_EJECTED_SHARE`].
    pub(super) fn evaluate(&mut self, now: Micros, backends: &mut Backends) {
        self.evaluations += 1;
        let mut latencies: Vec<f64> = Vec::new();
        let mut ejected_weight = 0.0;
        for backend in backends.iter().filter(|backend| backend.weight > 0.0) {
            if backend.health.latency_samples > 0 {
                latencies.push(backend.health.latency);
            }
            if backend.health.ejected {
                ejected_weight += backend.weight;
            }
        }
        latencies.sort_by(f64::total_cmp);
        let median = latencies.get(latencies.len() / 2).copied().unwrap_or(0.0);
        let max_ejected_weight = MAX_EJECTED_SHARE * backends.total_weight();
        for Backend { health, weight, .. } in backends.iter_mut() {
            if *weight <= 0.0 || health.ejected {
                continue;
            }
            let outlier = health.is_failing() || self.is_slow(health, median);
            if outlier && ejected_weight + *weight <= max_ejected_weight {
                ejected_weight += *weight;
                health.eject(now);
            }
        }
        self.ejected_weight = ejected_weight;
    }

    /// Evaluates the fleet if this cache looks like an outlier and may be ejected. Evaluating after every
    /// outcome would be too expensive; all caches are evaluated with each weight update anyway.
    pub(super) fn evaluate_if_suspect(&mut self, now: Micros, index: BackendIndex, backends: &mut Backends) {
        let Backend { health, weight, .. } = &backends[index];
        let suspect = health.is_failing() || health.latency > self.late_threshold;
        let max_ejected_weight = MAX_EJECTED_SHARE * backends.total_weight();
        if suspect && !health.ejected && self.ejected_weight + weight <= max_ejected_weight {
            self.evaluate(now, backends);
        }
    }

    /// Records how an attempt at a cache ended. `took` is `None` if the server's own time is unknown.
    pub(super) fn record(
        &mut self,
        now: Micros,
        index: BackendIndex,
        outcome: Outcome,
        took: Option<f64>,
        backends: &mut Backends,
    ) {
        let (failed, has_latency) = match HealthSignal::of(outcome) {
            HealthSignal::Answered => (false, true),
            HealthSignal::Failed => (true, false),
            HealthSignal::TimedOut => (true, true),
            HealthSignal::Inconclusive => return,
        };
        let health = &mut backends[index].health;
        let severity = if outcome == Outcome::Reset { RESET_FAILURE_WEIGHT } else { 1.0 };
        health.record_outcome(if failed { severity } else { 0.0 });
        // A miss is cheap for a cache, so its latency is not counted.
        if let Some(took) = took.filter(|_| has_latency && outcome != Outcome::Miss) {
            health.record_latency(took);
        }
        if health.ejected {
            health.record_trial(!failed && took.is_none_or(|took| took < self.late_threshold));
        } else if let Some(took) = took.filter(|_| outcome == Outcome::Ok) {
            self.read_latency.record(took);
        }
        self.evaluate_if_suspect(now, index, backends);
    }

    fn is_slow(&self, health: &Health, median: f64) -> bool {
        health.latency_samples >= MIN_LATENCY_SAMPLES
            && health.latency > self.late_threshold
            && health.latency > SLOW_LATENCY_RATIO * median
    }
}
