//! Clients: who asks for what, when, for how long, and how often again.
//!
//! Arrivals are open: they do not wait for answers. They are drawn by thinning from a Poisson process of the
//! day's highest rate (Lewis and Shedler, 1979).

use crate::cache::{zipf_shares, Key};
use crate::spec::{self, Effect, Shape, Spec};
use crate::time::{ms, rng, secs, to_secs, Purpose, Time, S};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Exp1, LogNormal};

/// One request, as a client means it. Its tries share all of this.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its class.
    pub class: u32,
    /// Its tenant.
    pub tenant: u32,
    /// The client's zone.
    pub zone: u32,
    /// Its key.
    pub key: Key,
    /// Whether it writes.
    pub write: bool,
    /// Its work at a backend, in microseconds of a standard core.
    pub work: f64,
    /// Its work at the origin.
    pub fetch_work: f64,
    /// Units of room that the object takes.
    pub size: u32,
    /// When it was wanted.
    pub since: Time,
    /// When the client gives it up for good.
    pub until: Time,
}

/// Keys that draw more than their share for a while.
#[derive(Clone, Debug)]
struct HotKeys {
    until: Time,
    count: u64,
    share: f64,
    rotation_period: Time,
    since: Time,
    salt: u64,
}

/// Draws the requests of a day.
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

/// Keys wanted only once have numbers from here on, and drifted ones from there.
const SINGLE_USE_KEY_BASE: u64 = 1 << 60;
const HOT_KEY_BASE: u64 = 1 << 59;

/// A lognormal factor with mean 1 and this coefficient of variation.
pub fn unit_mean_lognormal(cv: f64) -> LogNormal<f64> {
    let sigma2 = (1.0 + cv * cv).ln();
    LogNormal::new(-sigma2 / 2.0, sigma2.sqrt()).expect("a finite deviation")
}

fn alias_index(weights: Vec<f64>) -> WeightedAliasIndex<f64> {
    WeightedAliasIndex::new(weights).expect("checked: at least one weight, none negative, not all 0")
}

impl Workload {
    /// The demand of a checked spec, at `rate` first tries a second.
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

    /// From now until then so many times the requests arrive.
    pub fn scale_rate(&mut self, from: Time, until: Time, factor: f64) {
        self.rate_factors.push((from, until, factor));
    }

    /// From now until then `count` keys draw `share` of all, others every `every` if that is not 0.
    pub fn add_hot_keys(&mut self, now: Time, until: Time, count: u64, share: f64, rotation_period: Time) {
        let salt = HOT_KEY_BASE + ((self.hot.len() as u64) << 32);
        self.hot.push(HotKeys { until, count: count.max(1), share, rotation_period, since: now, salt });
    }

    /// From now until then this share of the reads asks for keys that are wanted once.
    pub fn add_scan(&mut self, now: Time, until: Time, share: f64) {
        self.scans.push((now, until, share));
    }

    /// The rate at a time, beside the mean rate.
    fn rate_factor(&self, now: Time) -> f64 {
        let t = to_secs(now);
        let shape = match self.shape {
            Shape::Constant => 1.0,
            Shape::Wave => 1.0 + self.swing * (t * std::f64::consts::TAU / 20.0).sin(),
            // Three seconds high, five low, with the same mean.
            Shape::Bursty if t % 8.0 < 3.0 => 1.0 + self.swing,
            Shape::Bursty => 1.0 - self.swing * 3.0 / 5.0,
        };
        let on = |f: &&(Time, Time, f64)| f.0 <= now && now < f.1;
        shape * self.rate_factors.iter().filter(on).map(|f| f.2).product::<f64>()
    }

    /// When the next request arrives after `now`.
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

    /// The request that arrives at `now`.
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
            since: now,
            until: now + deadline,
        }
    }
}

/// How a try ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A value or a receipt.
    Answered,
    /// Refused, with advice to stay away for so long (0: none).
    Rejected(Time),
    /// Failed; it may have run.
    Failed,
    /// Nothing, until the client gave this try up.
    TimedOut,
    /// The proxy could not be reached: it never ran.
    Unreachable,
}

/// What clients do after a failure.
#[derive(Clone, Copy, Debug)]
pub struct ClientBehaviour {
    /// Tries beyond the first.
    pub retries: u32,
    /// A try is given up after this share of the class's time.
    pub attempt_timeout_share: (f64, f64),
    /// The first wait; it doubles with each try.
    pub backoff: (Time, Time),
    /// The share of clients that heed a retry-after.
    pub honors_retry_after_share: f64,
    /// The longest that one is heeded.
    pub max_retry_after: Time,
    /// The share of tries whose client leaves early.
    pub early_leave_share: f64,
}

impl ClientBehaviour {
    /// What a scenario file says of its clients.
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

    /// When the client gives up a try that it sends at `now`, and when it leaves before that, if it does.
    pub fn attempt_timeout(
        &self,
        request: &ClientRequest,
        now: Time,
        rng: &mut ChaCha8Rng,
    ) -> (Time, Option<Time>) {
        let share = rng.random_range(self.attempt_timeout_share.0..=self.attempt_timeout_share.1);
        let length = (request.until - request.since) as f64;
        let due = (now + (length * share) as Time).min(request.until);
        let leaves = rng.random::<f64>() < self.early_leave_share;
        let left = leaves.then(|| now + ((due - now) as f64 * rng.random::<f64>()) as Time);
        (due, left)
    }

    /// When the client tries again after hearing `heard` at `now`, if it does. `tries` were made, the first
    /// that may have run at `risked`.
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
        (allowed && in_window && at < request.until).then_some(at)
    }
}
