//! Outlier detection: ejects caches that fail or are far slower than the median, and lets them return after
//! trials.
//!
//! It goes by the outcomes of this proxy's own attempts alone. An ejected cache is passed over in the choice
//! of a cache for a read, but for a trial request from time to time.

use super::backends::{Backend, BackendIndex, Backends};
use crate::interface::{Micros, Outcome};

/// Weight of the newest sample in a cache's averages of latency and failures: a few answers decide.
const SAMPLE_GAIN: f64 = 0.25;
/// A cache fails when more than this share of its latest attempts did.
const MAX_FAILURE_SHARE: f64 = 0.5;
/// What a broken connection counts beside a failure: it takes six in a row for a cache to be failing.
/// Connections that broke must not eject a cache, since those of one that is gone are refused next.
const RESET_FAILURE_WEIGHT: f64 = 0.65;
/// A cache is slow when it takes so many times the median cache's time: beyond any mix of hardware.
const SLOW_LATENCY_RATIO: f64 = 3.0;
/// Answers before a cache may be found slow.
const MIN_LATENCY_SAMPLES: u32 = 3;
/// At most this share of all weight is ejected, or the rest could not carry the load.
const MAX_EJECTED_SHARE: f64 = 0.4;
/// The first pause before a trial request to an ejected cache, in microseconds.
const INITIAL_TRIAL_INTERVAL: Micros = 1_000_000;
/// The longest pause between trial requests, in microseconds.
const MAX_TRIAL_INTERVAL: Micros = 4_000_000;
/// Good trials in a row that end an ejection.
const TRIALS_TO_REINSTATE: u32 = 2;
/// A read that is not answered after this share of the latency objective is late: a fetch that may still
/// follow takes the rest.
const LATE_OBJECTIVE_SHARE: f64 = 0.5;
/// Weight of the newest sample in the averages of all caches' read latency.
const READ_LATENCY_GAIN: f64 = 0.05;
/// A read is unusually slow beyond the mean latency and so many mean deviations.
const HIGH_LATENCY_DEVIATIONS: f64 = 4.0;

/// What a cache's answers tell of it.
#[derive(Default)]
pub(super) struct Health {
    /// The mean time of its answers, in microseconds.
    latency: f64,
    latency_samples: u32,
    /// The share of its latest attempts that failed.
    failure_share: f64,
    /// When the newest attempt was sent that it has answered.
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

    /// The mean time of its answers, in microseconds; 0 while there are none.
    pub(super) fn latency(&self) -> f64 {
        self.latency
    }

    /// Takes in how long an answer took, or how long one has not come.
    pub(super) fn record_latency(&mut self, took: f64) {
        self.latency_samples += 1;
        let gain = SAMPLE_GAIN.max(1.0 / f64::from(self.latency_samples));
        self.latency += gain * (took - self.latency);
    }

    /// Notes that it answered what was sent at this time.
    pub(super) fn record_answered(&mut self, sent_at: Micros) {
        self.newest_answered_sent_at = self.newest_answered_sent_at.max(sent_at);
    }

    /// Whether it has answered what was sent later than this: then the connection fell silent, not the
    /// server.
    pub(super) fn has_answered_since(&self, sent_at: Micros) -> bool {
        self.newest_answered_sent_at > sent_at
    }

    /// Whether a trial request may be sent.
    pub(super) fn is_trial_due(&self, now: Micros) -> bool {
        now >= self.next_trial_at
    }

    pub(super) fn record_trial_sent(&mut self, now: Micros) {
        self.next_trial_at = now + self.trial_interval;
    }

    fn record_outcome(&mut self, failure: f64) {
        self.failure_share += SAMPLE_GAIN * (failure - self.failure_share);
    }

    /// Takes in what a trial at an ejected cache gave.
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

/// How an outcome counts in a cache's health.
enum HealthSignal {
    Answered,
    Failed,
    TimedOut,
    Inconclusive,
}

impl HealthSignal {
    fn of(outcome: Outcome) -> Self {
        match outcome {
            // A malformed reply is as good a sign of life as any: ejecting its server would only move its
            // keys.
            Outcome::Ok | Outcome::Miss | Outcome::MalformedReply => HealthSignal::Answered,
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => HealthSignal::Failed,
            Outcome::Timeout => HealthSignal::TimedOut,
            // A full server works: ejecting it would only move its whole load to the next one.
            Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent => HealthSignal::Inconclusive,
        }
    }
}

/// A mean of latencies and their mean deviation, in microseconds.
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
    /// A read is late after this time, in microseconds.
    late_threshold: f64,
    /// The read latency of caches that are not ejected.
    read_latency: ReadLatency,
    /// The weight that is ejected, as the latest evaluation left it.
    ejected_weight: f64,
    /// Evaluations of the whole fleet so far.
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

    /// The time after which a read is late, in microseconds.
    pub(super) fn late_threshold(&self) -> f64 {
        self.late_threshold
    }

    /// The time within which nearly all reads are answered, in microseconds.
    pub(super) fn high_read_latency(&self) -> f64 {
        self.read_latency.mean + HIGH_LATENCY_DEVIATIONS * self.read_latency.deviation
    }

    pub(super) fn evaluations(&self) -> u64 {
        self.evaluations
    }

    /// Ejects caches that fail or are slow, while enough weight is left.
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

    /// Evaluates the fleet after an outcome only if this cache gives cause, and may be ejected: an evaluation
    /// for each outcome would cost too much, and one comes with the weights ten times a second anyway.
    pub(super) fn evaluate_if_suspect(&mut self, now: Micros, index: BackendIndex, backends: &mut Backends) {
        let Backend { health, weight, .. } = &backends[index];
        let suspect = health.is_failing() || health.latency > self.late_threshold;
        let max_ejected_weight = MAX_EJECTED_SHARE * backends.total_weight();
        if suspect && !health.ejected && self.ejected_weight + weight <= max_ejected_weight {
            self.evaluate(now, backends);
        }
    }

    /// Takes in how an attempt at a cache ended; `took` is `None` where nothing tells the server's own time.
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
        // A miss costs a cache little and says nothing of how long an answer takes.
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
