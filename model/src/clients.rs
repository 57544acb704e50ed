//! Clients: the requests they send, their timeouts and their retries.
//!
//! Arrivals are open-loop: they do not wait for responses. They are drawn by thinning from a Poisson
//! process with the day's highest rate (Lewis and Shedler, 1979).

use crate::cache::{zipf_shares, Key};
use crate::spec::{self, Effect, Shape, Spec};
use crate::time::{ms, rng, secs, to_secs, Purpose, Time, S};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Exp1, LogNormal};

/// One request of a client. All its attempts share these values.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Index of the class.
    pub class: u32,
    /// Index of the tenant.
    pub tenant: u32,
    /// Zone of the client.
    pub zone: u32,
    /// Requested key.
    pub key: Key,
    /// Whether it is a write.
    pub write: bool,
    /// Work at a backend, in microseconds of a standard core.
    pub work: f64,
    /// Work at the origin, in microseconds of a standard core.
    pub fetch_work: f64,
    /// Object size, in cache units.
    pub size: u32,
    /// Time of the first attempt.
    pub requested_at: Time,
    /// Deadline, after which the client makes no further attempt.
    pub deadline: Time,
}

/// Keys that receive an extra share of the requests for a limited time.
#[derive(Clone, Debug)]
struct HotKeys {
    until: Time,
    count: u64,
    share: f64,
    rotation_period: Time,
    since: Time,
    salt: u64,
}

/// Generates the requests of a day.
pub struct Workload {
    rng: ChaCha8Rng,
    shape: Shape,
    swing: f64,
    rate: f64,
    rate_factors: Vec<(Time, Time, f64)>,
    keys: WeightedAliasIndex<f64>,
    key_count: usize,
    drift: f64,
    key_of_rank: Vec<u64>,
    next_drift_at: Time,
    classes: Vec<ClassDraw>,
    class_pick: WeightedAliasIndex<f64>,
    tenant_pick: WeightedAliasIndex<f64>,
    zone_pick: WeightedAliasIndex<f64>,
    fetch: LogNormal<f64>,
    size: LogNormal<f64>,
    write_work: f64,
    hot: Vec<HotKeys>,
    scans: Vec<(Time, Time, f64)>,
    single_use_keys: u64,
    next_fresh_key: u64,
}

struct ClassDraw {
    write: bool,
    mean: f64,
    work_variation: LogNormal<f64>,
    deadline: Time,
}

/// First key of the ranges for keys that are requested once and for hot keys; all other keys are smaller.
const SINGLE_USE_KEY_BASE: u64 = 1 << 60;
const HOT_KEY_BASE: u64 = 1 << 59;

/// Lognormal distribution with mean 1 and coefficient of variation `cv`.
pub fn unit_mean_lognormal(cv: f64) -> LogNormal<f64> {
    let sigma2 = (1.0 + cv * cv).ln();
    LogNormal::new(-sigma2 / 2.0, sigma2.sqrt()).expect("the deviation is finite")
}

fn alias_index(weights: Vec<f64>) -> WeightedAliasIndex<f64> {
    WeightedAliasIndex::new(weights)
        .expect("a validated spec has weights that are not negative and not all 0")
}

impl Workload {
    /// Creates the workload of a validated spec, with `rate` first attempts per second on average.
    pub fn new(spec: &Spec, rate: f64, seed: u64) -> Self {
        let classes: Vec<ClassDraw> = spec
            .classes
            .iter()
            .map(|c| ClassDraw {
                write: c.write,
                mean: c.work_ms * 1e3,
                work_variation: unit_mean_lognormal(c.work_cv),
                deadline: secs(c.deadline_ms / 1e3),
            })
            .collect();
        let zones = spec.zones.len();
        let skew = |z: usize| 1.0 + spec.load.zone_skew * ((z % 2) as f64 * 2.0 - 1.0);
        Workload {
            rng: rng(seed, Purpose::Demand),
            shape: spec.load.shape,
            swing: spec.load.swing,
            rate,
            rate_factors: Vec::new(),
            keys: alias_index(zipf_shares(spec.keys.count, spec.keys.zipf, spec.keys.offset)),
            key_count: spec.keys.count,
            drift: spec.keys.drift,
            key_of_rank: (0..spec.keys.count as u64).collect(),
            next_drift_at: S,
            class_pick: alias_index(spec.classes.iter().map(|c| c.share).collect()),
            tenant_pick: alias_index(spec.tenants.iter().map(|t| t.share * t.usage).collect()),
            zone_pick: alias_index((0..zones).map(skew).collect()),
            classes,
            fetch: unit_mean_lognormal(spec.origin.work_cv),
            size: unit_mean_lognormal(spec.keys.size_cv),
            write_work: spec.origin.write_work,
            hot: Vec::new(),
            scans: Vec::new(),
            single_use_keys: 0,
            next_fresh_key: spec.keys.count as u64,
        }
    }

    /// Multiplies the arrival rate by `factor` between `from` and `until`.
    pub fn scale_rate(&mut self, from: Time, until: Time, factor: f64) {
        self.rate_factors.push((from, until, factor));
    }

    /// Between `now` and `until`, directs `share` of the requests to `count` hot keys, which are replaced by
    /// others every `rotation_period`; 0 keeps them.
    pub fn add_hot_keys(&mut self, now: Time, until: Time, count: u64, share: f64, rotation_period: Time) {
        let salt = HOT_KEY_BASE + ((self.hot.len() as u64) << 32);
        self.hot.push(HotKeys { until, count: count.max(1), share, rotation_period, since: now, salt });
    }

    /// Between `now` and `until`, directs `share` of the reads to keys that are requested only once.
    pub fn add_scan(&mut self, now: Time, until: Time, share: f64) {
        self.scans.push((now, until, share));
    }

    /// Arrival rate at `now`, relative to the mean rate.
    fn rate_factor(&self, now: Time) -> f64 {
        let t = to_secs(now);
        let shape = match self.shape {
            Shape::Constant => 1.0,
            Shape::Wave => 1.0 + self.swing * (t * std::f64::consts::TAU / 20.0).sin(),
            // Three seconds high and five low average to 1.
            Shape::Bursty if t % 8.0 < 3.0 => 1.0 + self.swing,
            Shape::Bursty => 1.0 - self.swing * 3.0 / 5.0,
        };
        let on = |f: &&(Time, Time, f64)| f.0 <= now && now < f.1;
        shape * self.rate_factors.iter().filter(on).map(|f| f.2).product::<f64>()
    }

    /// Time of the first arrival after `now`.
    pub fn next_arrival(&mut self, now: Time) -> Time {
        let max_factor = (1.0 + self.swing) * self.rate_factors.iter().map(|f| f.2.max(1.0)).product::<f64>();
        let mut at = now as f64;
        loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            at += gap / (self.rate * max_factor) * 1e6;
            if self.rng.random::<f64>() * max_factor <= self.rate_factor(at as Time) {
                return at as Time;
            }
        }
    }

    fn replace_drifted_keys(&mut self, now: Time) {
        while self.drift > 0.0 && now >= self.next_drift_at {
            self.next_drift_at += S;
            let replaced = self.drift * self.key_count as f64;
            let replaced = replaced as usize + usize::from(self.rng.random::<f64>() < replaced.fract());
            for _ in 0..replaced {
                let rank = self.rng.random_range(0..self.key_count);
                self.key_of_rank[rank] = self.next_fresh_key;
                self.next_fresh_key += 1;
            }
        }
    }

    fn key(&mut self, now: Time, write: bool) -> Key {
        self.hot.retain(|h| now < h.until);
        self.scans.retain(|s| now < s.1);
        let draw: f64 = self.rng.random();
        let mut sum = 0.0;
        for hot in &self.hot {
            sum += hot.share;
            if draw < sum {
                let rotation = (now - hot.since).checked_div(hot.rotation_period).unwrap_or(0);
                return hot.salt + rotation * hot.count + self.rng.random_range(0..hot.count);
            }
        }
        let scanned: f64 = self.scans.iter().map(|s| s.2).sum();
        if !write && draw >= 1.0 - scanned {
            self.single_use_keys += 1;
            return SINGLE_USE_KEY_BASE + self.single_use_keys;
        }
        self.key_of_rank[self.keys.sample(&mut self.rng)]
    }

    /// Generates the request that arrives at `now`.
    pub fn generate(&mut self, now: Time) -> ClientRequest {
        self.replace_drifted_keys(now);
        let class = self.class_pick.sample(&mut self.rng);
        let (write, mean) = (self.classes[class].write, self.classes[class].mean);
        let variation = self.classes[class].work_variation;
        let deadline = self.classes[class].deadline;
        let work = mean * variation.sample(&mut self.rng);
        let fetch = self.fetch.sample(&mut self.rng) * if write { self.write_work } else { 1.0 };
        ClientRequest {
            class: class as u32,
            tenant: self.tenant_pick.sample(&mut self.rng) as u32,
            zone: self.zone_pick.sample(&mut self.rng) as u32,
            key: self.key(now, write),
            write,
            work,
            fetch_work: fetch,
            size: (8.0 * self.size.sample(&mut self.rng)).clamp(1.0, 512.0) as u32,
            requested_at: now,
            deadline: now + deadline,
        }
    }
}

/// Outcome of an attempt, as seen by the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Answered with a value or a receipt.
    Answered,
    /// Rejected, with a Retry-After of this length (0 for none).
    Rejected(Time),
    /// Failed; it may have been executed.
    Failed,
    /// No response before the client's timeout.
    TimedOut,
    /// The proxy could not be reached; the attempt was never executed.
    Unreachable,
}

/// Timeouts and retries of clients.
#[derive(Clone, Copy, Debug)]
pub struct ClientBehaviour {
    /// Retries after the first attempt.
    pub retries: u32,
    /// Range of an attempt's timeout, as a share of the class's deadline.
    pub attempt_timeout_share: (f64, f64),
    /// Range of the first backoff; it doubles with each attempt.
    pub backoff: (Time, Time),
    /// Share of clients that honor a Retry-After.
    pub honors_retry_after_share: f64,
    /// Longest Retry-After that is honored in full.
    pub max_retry_after: Time,
    /// Share of attempts that the client abandons before their timeout.
    pub early_leave_share: f64,
}

impl ClientBehaviour {
    /// Reads the behaviour from a scenario's clients section.
    pub fn new(clients: &spec::Clients) -> Self {
        ClientBehaviour {
            retries: clients.retries,
            attempt_timeout_share: clients.attempt_timeout_share,
            backoff: (ms(clients.backoff_ms.0), ms(clients.backoff_ms.1)),
            honors_retry_after_share: clients.honors_retry_after_share,
            max_retry_after: ms(clients.max_retry_after_ms),
            early_leave_share: clients.early_leave_share,
        }
    }

    /// Draws the timeout of an attempt sent at `now`, and the time at which the client abandons it earlier,
    /// if it does.
    pub fn attempt_timeout(
        &self,
        request: &ClientRequest,
        now: Time,
        rng: &mut ChaCha8Rng,
    ) -> (Time, Option<Time>) {
        let share = rng.random_range(self.attempt_timeout_share.0..=self.attempt_timeout_share.1);
        let length = (request.deadline - request.requested_at) as f64;
        let timeout_at = (now + (length * share) as Time).min(request.deadline);
        let leaves = rng.random::<f64>() < self.early_leave_share;
        let leaves_at = leaves.then(|| now + ((timeout_at - now) as f64 * rng.random::<f64>()) as Time);
        (timeout_at, leaves_at)
    }

    /// Time of the next attempt after `result` was received at `now`, or `None` for no retry. `attempts` have
    /// been made; `first_risk` is the time of the first one that may have been executed.
    pub fn retry_at(
        &self,
        request: &ClientRequest,
        effect: Effect,
        (result, attempts): (AttemptResult, u32),
        first_risk: Option<Time>,
        now: Time,
        rng: &mut ChaCha8Rng,
    ) -> Option<Time> {
        if result == AttemptResult::Answered || attempts > self.retries {
            return None;
        }
        let never_ran =
            matches!(result, AttemptResult::Rejected(_) | AttemptResult::Unreachable) && first_risk.is_none();
        let allowed = match effect {
            Effect::Idempotent => true,
            Effect::Deduplicated { window } => never_ran || first_risk.is_some_and(|at| now < at + window),
            Effect::AtMostOnce => never_ran,
        };
        let base = rng.random_range(self.backoff.0..=self.backoff.1.max(self.backoff.0));
        let mut at = now + (base << (attempts - 1).min(16));
        let honors = rng.random::<f64>() < self.honors_retry_after_share;
        if let AttemptResult::Rejected(after) = result {
            if honors {
                at = at.max(now + after.min(self.max_retry_after));
            }
        }
        let in_window = match (effect, first_risk) {
            (Effect::Deduplicated { window }, Some(first_risk)) => at < first_risk + window,
            _ => true,
        };
        (allowed && in_window && at < request.deadline).then_some(at)
    }
}
