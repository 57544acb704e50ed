//! What a day came to: worth asked for and earned, latencies, load, by second, class and tenant.

use crate::rules::Breach;
use hdrhistogram::Histogram;
use notchdoor_limits::layer::LimitsMetrics;
use notchdoor_model::faults::Fault;
use notchdoor_model::slow_start::WindowLoad;
use notchdoor_model::spec::Spec;
use notchdoor_model::time::{Time, S};
use serde::{Deserialize, Serialize};

/// Counts of a day or of one second of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// First tries.
    pub wanted: u64,
    /// Tries, first ones and retries.
    pub tries: u64,
    /// Orders served within their time.
    pub served: u64,
    /// Final answers that refused.
    pub refused: u64,
    /// Final answers that failed.
    pub failed: u64,
    /// Tries whose client left.
    pub left: u64,
    /// Tries that found no proxy.
    pub unreachable: u64,
    /// Attempts sent to workers.
    pub reads: u64,
    /// Of these, those answered with a miss.
    pub misses: u64,
    /// Fetches and writes sent to the origin.
    pub fetches: u64,
    /// Attempts beyond the first of their kind for a try: repeats and second copies.
    pub repeats: u64,
    /// Attempts that were turned away as full.
    pub full: u64,
    /// Attempts that timed out, broke or found no connection.
    pub broken: u64,
    /// Attempts whose server was in another zone.
    pub crossings: u64,
    /// Connections opened to servers.
    pub opened: u64,
}

/// What one second looked like.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    /// Worth asked for, by class.
    pub asked: Vec<f64>,
    /// Worth earned by requests that were wanted in this second, by class.
    pub earned: Vec<f64>,
    /// The same by tenant, within its share.
    pub tenant_asked: Vec<f64>,
    /// The same by tenant, within its share.
    pub tenant_earned: Vec<f64>,
    /// Requests served: how many, and the sum of their latencies in milliseconds.
    pub served: (u64, f64),
    /// Counts of this second.
    pub counts: Counts,
    /// Requests that the origin holds.
    pub origin_held: usize,
    /// How busy its cores are, 0 to 1.
    pub origin_busy: f64,
    /// The sum of the origin windows of all proxies.
    pub window: f64,
    /// How busy workers' cores were: the mean, and the busiest beside it, from work done in this second.
    pub busy: (f64, f64),
    /// Workers that run.
    pub workers: u32,
}

/// Percentiles of a class's latency from the first try to the answer, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// The class.
    pub class: String,
    /// Requests served.
    pub served: u64,
    /// Share of the worth asked for that was earned.
    pub service: f64,
    /// The median.
    pub p50_ms: f64,
    /// The 90th percentile.
    pub p90_ms: f64,
    /// The 99th.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

/// What a day is judged by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Score {
    /// The figure that the rest makes up, less prices; 0 if a rule was broken that had to be kept.
    pub goal: f64,
    /// Worth earned of the worth asked for, over the whole day.
    pub whole: f64,
    /// In the worst ten seconds.
    pub worst_window: f64,
    /// In the worst-served class.
    pub worst_class: f64,
    /// For the worst-served tenant, within its share.
    pub worst_tenant: f64,
    /// What the prices took.
    pub prices: f64,
    /// Worth earned of the worth asked for in the last ten seconds: whether the day ends well.
    #[serde(default)]
    pub last: f64,
    /// Whether, and how soon, service came back after the last fault.
    #[serde(default)]
    pub back: Back,
}

/// How a day came back from what went wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Back {
    /// No fault, faults that come again and again, or no time left after them: there is nothing to tell.
    #[default]
    Untold,
    /// So many seconds after the last fault was over, two seconds were served like the time before the first one.
    After(f64),
    /// Not within the day.
    Never,
}

/// What limits round the module did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Limited {
    /// Requests turned away before anything was sent.
    pub shed: u64,
    /// Attempts withheld: the route's attempts or the retry budget were used up, a breaker was open, or there was
    /// no time for them.
    pub withheld: u64,
    /// Attempts held back for a wait.
    pub held_back: u64,
    /// Second copies granted.
    pub copies: u64,
    /// Times that breakers opened.
    pub opened: u64,
}

impl Limited {
    /// What one proxy's limits did.
    pub fn add(&mut self, done: &LimitsMetrics, opened: u64) {
        self.shed += done.requests_shed;
        self.withheld +=
            done.attempts_exhausted + done.budget_exhausted + done.circuit_open + done.futile_retries;
        self.held_back += done.delayed_retries;
        self.copies += done.hedges;
        self.opened += opened;
    }
}

/// The most that one warming backend was sent by notified proxies in a span of the fall time, beside the limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStartPeak {
    /// The backend.
    pub server: u32,
    /// When it started, in microseconds from the start of the day.
    pub started: Time,
    /// When the span ended.
    pub at: Time,
    /// What notified proxies sent in it, as a share of the limit.
    pub share: f64,
    /// The same in requests of mean work.
    pub notified: f64,
    /// What all proxies sent.
    pub total: f64,
    /// What the settings allowed, in requests of mean work; the limit lies above it.
    pub allowed: f64,
    /// Whether all proxies together ever sent more than the limit after this start.
    pub over: bool,
}

/// The result of a day.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Day {
    /// The scenario.
    pub scenario: String,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Fields that were set beside the scenario's own.
    pub set: Vec<String>,
    /// Seconds before the scored part.
    pub warm_up_s: f64,
    /// What went wrong, by schedule.
    pub faults: Vec<Fault>,
    /// A hash over every event and action of the day, in order.
    pub digest: String,
    /// What it is judged by.
    pub score: Score,
    /// Counts of the scored part.
    pub counts: Counts,
    /// Latencies by class.
    pub classes: Vec<Latency>,
    /// Service by tenant, within its share.
    pub tenants: Vec<(String, f64)>,
    /// Work done at workers that nobody waited for, beside the work asked for.
    pub waste: f64,
    /// The mean over seconds of how much busier the busiest worker was than the mean one.
    pub imbalance: f64,
    /// What limits round the module did, over all proxies.
    #[serde(default)]
    pub limited: Limited,
    /// Times that the origin stopped by itself, and workers fell over.
    pub stops: u32,
    /// Cold workers that fell over.
    pub falls: u32,
    /// What warming backends were sent, one entry a start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub slow_starts: Vec<SlowStartPeak>,
    /// Rules broken, the first of each kind.
    pub breaches: Vec<Breach>,
    /// Rules broken in all.
    pub breach_count: u64,
    /// The last events before the first breach of a rule that had to be kept.
    pub trace: Vec<String>,
    /// Every second.
    pub seconds: Vec<Second>,
    /// How long it took to play, in seconds. No part of the digest.
    pub took_s: f64,
}

/// Service counts as back at this share of what it was before the first fault, in two seconds running.
const AS_BEFORE: f64 = 0.95;
/// Seconds before the first fault and after the last that [`Back`] needs to tell anything.
const QUIET_S: f64 = 3.0;

/// Takes a day's figures.
pub struct Recorder {
    from: Time,
    until: Time,
    classes: usize,
    seconds: Vec<Second>,
    latencies: Vec<Histogram<u64>>,
    work_asked: f64,
    work_wasted: f64,
    quota: Vec<f64>,
    used: Vec<(Time, f64)>,
    tenants: usize,
    late_failures: u64,
    slow_starts: Vec<SlowStartPeak>,
}

/// What a request earns, once it is known: when it was wanted, and by whom.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// When it was wanted.
    pub since: Time,
    /// Its class.
    pub class: u32,
    /// Its tenant.
    pub tenant: u32,
    /// What it is worth, its tenant's share minded.
    pub worth: f64,
    /// Whether it is within its tenant's share.
    pub within: bool,
}

impl Recorder {
    /// Takes figures of the scored part of a day.
    pub fn new(spec: &Spec, quota: Vec<f64>) -> Self {
        let (from, until) = spec.scored_interval();
        let (classes, tenants) = (spec.classes.len(), spec.tenants.len());
        let second = Second {
            asked: vec![0.0; classes],
            earned: vec![0.0; classes],
            tenant_asked: vec![0.0; tenants],
            tenant_earned: vec![0.0; tenants],
            ..Second::default()
        };
        let seconds = until.div_ceil(S) as usize + 1;
        let histogram = || Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds are in order");
        Recorder {
            from,
            until,
            classes,
            seconds: vec![second; seconds],
            latencies: (0..classes).map(|_| histogram()).collect(),
            work_asked: 0.0,
            work_wasted: 0.0,
            used: vec![(0, 0.0); quota.len()],
            quota,
            tenants,
            late_failures: 0,
            slow_starts: Vec::new(),
        }
    }

    /// The second that a time belongs to; the last one for what comes after the end.
    pub fn at(&mut self, now: Time) -> &mut Second {
        let last = self.seconds.len() - 1;
        &mut self.seconds[((now / S) as usize).min(last)]
    }

    fn scored(&self, at: Time) -> bool {
        (self.from..self.until).contains(&at)
    }

    /// A request is wanted: what it may earn.
    pub fn wanted(&mut self, spec: &Spec, want: &notchdoor_model::clients::ClientRequest) -> Claim {
        let tenant = want.tenant as usize;
        let second = want.requested_at / S;
        if self.used[tenant].0 != second {
            self.used[tenant] = (second, 0.0);
        }
        self.used[tenant].1 += 1.0;
        let within = self.used[tenant].1 <= self.quota[tenant];
        let class = &spec.classes[want.class as usize];
        let worth = class.priority_weight * if within { 1.0 } else { spec.rules.over_quota_weight };
        let claim = Claim { since: want.requested_at, class: want.class, tenant: want.tenant, worth, within };
        let at = self.at(want.requested_at);
        at.counts.wanted += 1;
        at.asked[claim.class as usize] += worth;
        if within {
            at.tenant_asked[claim.tenant as usize] += worth;
        }
        if self.scored(want.requested_at) {
            self.work_asked += want.work;
        }
        claim
    }

    /// A request is served, `latency` after it was wanted.
    pub fn served(&mut self, spec: &Spec, claim: Claim, latency: Time) {
        let class = &spec.classes[claim.class as usize];
        let in_time = latency as f64 <= class.latency_objective_ms * 1e3;
        let earned = claim.worth * if in_time { 1.0 } else { class.late_value_share };
        let scored = self.scored(claim.since);
        let at = self.at(claim.since);
        at.counts.served += 1;
        at.served.0 += 1;
        at.served.1 += latency as f64 / 1e3;
        at.earned[claim.class as usize] += earned;
        if claim.within {
            at.tenant_earned[claim.tenant as usize] += earned;
        }
        if scored {
            self.latencies[claim.class as usize].saturating_record(latency.max(1));
        }
    }

    /// A request has failed for good; `late` if that was known only after its aim.
    pub fn lost(&mut self, claim: Claim, late: bool) {
        self.late_failures += u64::from(late && self.scored(claim.since));
    }

    /// A worker did work that nobody waited for.
    pub fn wasted(&mut self, now: Time, work: f64) {
        if self.scored(now) {
            self.work_wasted += work;
        }
    }

    /// What a warming backend was sent in the span that ends now. Says whether that is over the limit, and for the
    /// first time since the backend's start.
    pub fn slow_start(&mut self, server: u32, started: Time, now: Time, reading: &WindowLoad) -> bool {
        let known = self.slow_starts.iter().rposition(|p| p.server == server && p.started == started);
        let peak = SlowStartPeak {
            server,
            started,
            at: now,
            share: reading.limit_share(),
            notified: reading.notified,
            total: reading.total,
            allowed: reading.allowed,
            over: reading.exceeds_limit(),
        };
        let Some(known) = known else {
            self.slow_starts.push(peak);
            return peak.over;
        };
        let before = &mut self.slow_starts[known];
        let newly_over = peak.over && !before.over;
        let over = peak.over || before.over;
        if peak.share > before.share {
            *before = peak;
        }
        before.over = over;
        newly_over
    }

    /// Takes in what another recorder of the same spec has: parts of one run that were taken down apart.
    pub fn absorb(&mut self, other: Recorder) {
        for (mine, theirs) in self.seconds.iter_mut().zip(&other.seconds) {
            let vectors = [
                (&mut mine.asked, &theirs.asked),
                (&mut mine.earned, &theirs.earned),
                (&mut mine.tenant_asked, &theirs.tenant_asked),
                (&mut mine.tenant_earned, &theirs.tenant_earned),
            ];
            for (mine, theirs) in vectors {
                mine.iter_mut().zip(theirs).for_each(|(a, b)| *a += b);
            }
            mine.served = (mine.served.0 + theirs.served.0, mine.served.1 + theirs.served.1);
            mine.counts = mine.counts.plus(&theirs.counts);
        }
        for (mine, theirs) in self.latencies.iter_mut().zip(&other.latencies) {
            mine.add(theirs).expect("histograms of one spec have the same bounds");
        }
        self.work_asked += other.work_asked;
        self.work_wasted += other.work_wasted;
        self.late_failures += other.late_failures;
    }

    /// The scored seconds.
    fn range(&self) -> &[Second] {
        let (from, until) = ((self.from / S) as usize, (self.until / S) as usize);
        &self.seconds[from..until.max(from + 1).min(self.seconds.len())]
    }

    /// Worth earned of the worth asked for in these seconds.
    fn service(seconds: &[Second]) -> f64 {
        let sum = |of: fn(&Second) -> &Vec<f64>| seconds.iter().flat_map(of).sum::<f64>();
        Self::share(sum(|s| &s.earned), sum(|s| &s.asked))
    }

    /// See [`Back`]. `range` are the scored seconds.
    fn back(range: &[Second], spec: &Spec) -> Back {
        let faults = &spec.faults;
        let first = faults.iter().map(|f| f.at_s).fold(f64::INFINITY, f64::min);
        let over = faults.iter().map(|f| f.at_s + f.length_s).fold(0.0, f64::max);
        let again = faults.iter().any(|f| f.every_s.is_some());
        if again || first < QUIET_S || over + QUIET_S > range.len() as f64 || faults.is_empty() {
            return Back::Untold;
        }
        let usual = Self::service(&range[..first as usize]);
        let served = |w: &[Second]| Self::service(w) >= AS_BEFORE * usual;
        match range[over.ceil() as usize..].windows(2).position(served) {
            Some(seconds) => Back::After(over.ceil() - over + seconds as f64),
            None => Back::Never,
        }
    }

    fn share(earned: f64, asked: f64) -> f64 {
        if asked > 0.0 {
            earned / asked
        } else {
            1.0
        }
    }

    /// Sums the day up: the figures that are a recorder's to know. `broken` if a rule was broken.
    pub fn sum_up(self, spec: &Spec, broken: bool) -> Day {
        let range = self.range();
        let totals = |of: fn(&Second) -> &Vec<f64>, n: usize| -> Vec<f64> {
            (0..n).map(|i| range.iter().map(|s| of(s)[i]).sum()).collect()
        };
        let asked = totals(|s| &s.asked, self.classes);
        let earned = totals(|s| &s.earned, self.classes);
        let tenant_asked = totals(|s| &s.tenant_asked, self.tenants);
        let tenant_earned = totals(|s| &s.tenant_earned, self.tenants);
        let by_class: Vec<f64> = asked.iter().zip(&earned).map(|(a, e)| Self::share(*e, *a)).collect();
        let by_tenant: Vec<f64> =
            tenant_asked.iter().zip(&tenant_earned).map(|(a, e)| Self::share(*e, *a)).collect();
        let window = range.len().min(10);
        let worst_window = range.windows(window).map(Self::service).fold(1.0, f64::min);
        let (last, back) = (Self::service(&range[range.len() - window..]), Self::back(range, spec));
        let mut counts = Counts::default();
        for s in range {
            counts = counts.plus(&s.counts);
        }
        let whole = Self::share(earned.iter().sum(), asked.iter().sum());
        let least = |shares: &[f64]| shares.iter().copied().fold(1.0, f64::min);
        let wanted = counts.wanted.max(1) as f64;
        let waste = self.work_wasted / self.work_asked.max(1e-9);
        let prices = 0.25 * waste
            + 0.15 * counts.fetches as f64 / wanted
            + 0.03 * self.late_failures as f64 / wanted
            + 0.014 * counts.crossings as f64 / wanted;
        let (worst_class, worst_tenant) = (least(&by_class), least(&by_tenant));
        let goal = 0.35 * whole + 0.25 * worst_window + 0.3 * worst_class + 0.1 * worst_tenant - prices;
        let goal = if broken { 0.0 } else { goal.max(0.0) };
        let busy: Vec<f64> = range.iter().filter(|s| s.busy.0 > 0.0).map(|s| s.busy.1 / s.busy.0).collect();
        let latency = |(i, h): (usize, &Histogram<u64>)| {
            let at = |q: f64| if h.is_empty() { 0.0 } else { h.value_at_quantile(q) as f64 / 1e3 };
            Latency {
                class: spec.classes[i].name.clone(),
                served: h.len(),
                service: by_class[i],
                p50_ms: at(0.5),
                p90_ms: at(0.9),
                p99_ms: at(0.99),
                max_ms: at(1.0),
            }
        };
        Day {
            score: Score { goal, whole, worst_window, worst_class, worst_tenant, prices, last, back },
            counts,
            classes: self.latencies.iter().enumerate().map(latency).collect(),
            tenants: spec.tenants.iter().map(|t| t.name.clone()).zip(by_tenant).collect(),
            waste,
            imbalance: busy.iter().sum::<f64>() / busy.len().max(1) as f64,
            seconds: self.seconds,
            slow_starts: self.slow_starts,
            ..Day::default()
        }
    }
}

impl Counts {
    fn plus(&self, other: &Counts) -> Counts {
        Counts {
            wanted: self.wanted + other.wanted,
            tries: self.tries + other.tries,
            served: self.served + other.served,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
            left: self.left + other.left,
            unreachable: self.unreachable + other.unreachable,
            reads: self.reads + other.reads,
            misses: self.misses + other.misses,
            fetches: self.fetches + other.fetches,
            repeats: self.repeats + other.repeats,
            full: self.full + other.full,
            broken: self.broken + other.broken,
            crossings: self.crossings + other.crossings,
            opened: self.opened + other.opened,
        }
    }
}
