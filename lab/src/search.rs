//! Searching random days for a broken rule, and shrinking what is found to its smallest day.

use crate::experiment;
use crate::play;
use crate::policy::Kind;
use crate::record::Day;
use crate::rules::{Breach, Rule};
use notchdoor_model::faults::random_schedule;
use notchdoor_model::spec::{Shape, Spec};
use notchdoor_model::time::{rng, Purpose};
use rand::RngExt;
use rayon::prelude::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A random day: sizes, load, chances and faults, all from the seed. Small, so that thousands can be played.
pub fn random_day(base: &Spec, seed: u64) -> Spec {
    let mut rng = rng(seed, Purpose::Faults);
    let mut spec = base.clone();
    spec.seed = seed;
    spec.about = format!("A random day, from seed {seed}.");
    spec.length_s = 20.0;
    spec.warm_up_s = 8.0;
    let round = |x: f64| (x * 100.0).round() / 100.0;
    spec.proxies = rng.random_range(2..=6);
    spec.backends.count = rng.random_range(4..=16);
    spec.load.share = round(rng.random_range(0.15..1.2));
    spec.load.shape = [Shape::Constant, Shape::Wave, Shape::Bursty][rng.random_range(0..3)];
    spec.load.swing = round(rng.random_range(0.0..0.5));
    spec.keys.zipf = round(rng.random_range(0.7..1.2));
    spec.keys.hit_rate = round(rng.random_range(0.8..0.97));
    spec.origin.headroom = round(rng.random_range(1.2..3.0));
    spec.origin.queue_s = round(rng.random_range(0.3..4.0));
    spec.origin.drops_cancelled = rng.random();
    spec.backends.slots = rng.random_range(4..=24);
    spec.backends.queue_capacity = rng.random_range(1..=4);
    spec.backends.initial_capacity_share = round(rng.random_range(spec.rules.initial_capacity_share..0.6))
        .max(spec.rules.initial_capacity_share);
    spec.backends.warmup_s = round(rng.random_range(3.0..spec.rules.warmup_s));
    spec.backends.error_rate = if rng.random() { 0.0 } else { round(rng.random_range(0.0..0.05)) };
    spec.clients.early_leave_share = round(rng.random_range(0.0..0.2));
    spec.clients.retries = rng.random_range(0..=3);
    let sizes = (spec.backends.count, spec.proxies, spec.zones.len() as u32);
    spec.faults = random_schedule(spec.length_s, sizes, &mut rng);
    spec
}

/// A day on which a rule was broken.
pub struct Found {
    /// The day.
    pub spec: Spec,
    /// What was broken first.
    pub breach: Breach,
}

/// What a search came to.
pub struct Search {
    /// Days played.
    pub days: u64,
    /// Requests in them.
    pub requests: u64,
    /// Faults of all kinds in them.
    pub faults: u64,
    /// Days with a broken rule, in order of their seeds.
    pub found: Vec<Found>,
    /// How long it took.
    pub took: Duration,
}

/// How far a search goes.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Days at most.
    pub days: u64,
    /// The time after which no further day is begun.
    pub time: Option<Duration>,
    /// Whether it ends with the first broken rule.
    pub first: bool,
}

/// Plays random days, from the given seed on, until the budget ends.
pub fn search(
    base: &Spec,
    policy: Kind,
    from: u64,
    budget: Budget,
    threads: usize,
    quiet: bool,
) -> Result<Search, String> {
    let (began, stop) = (Instant::now(), AtomicBool::new(false));
    let (played, requests, faults) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let bar = experiment::bar(budget.days, quiet);
    let found: Vec<Found> = experiment::pool(threads)?.install(|| {
        (from..from.saturating_add(budget.days))
            .into_par_iter()
            .filter_map(|seed| {
                let late = budget.time.is_some_and(|most| began.elapsed() > most);
                if late || stop.load(Ordering::Relaxed) {
                    return None;
                }
                let spec = random_day(base, seed);
                let day = play(&spec, "random", seed, policy, false);
                played.fetch_add(1, Ordering::Relaxed);
                requests.fetch_add(day.seconds.iter().map(|s| s.counts.tries).sum(), Ordering::Relaxed);
                faults.fetch_add(spec.faults.len() as u64, Ordering::Relaxed);
                bar.inc(1);
                let breach = day.breaches.into_iter().next()?;
                stop.fetch_or(budget.first, Ordering::Relaxed);
                Some(Found { spec, breach })
            })
            .collect()
    });
    bar.finish_and_clear();
    Ok(Search {
        days: played.into_inner(),
        requests: requests.into_inner(),
        faults: faults.into_inner(),
        found,
        took: began.elapsed(),
    })
}

/// What shrinking came to.
pub struct Shrunk {
    /// The smallest day found.
    pub spec: Spec,
    /// Its day, with what led to the breach.
    pub day: Day,
    /// Days played.
    pub tries: u32,
}

/// Days that shrinking plays at most.
const MOST_TRIES: u32 = 800;

/// Whether a day still breaks this rule.
fn breaks(spec: &Spec, policy: Kind, rule: Rule) -> Option<Breach> {
    if !spec.validate().is_empty() {
        return None;
    }
    let day = play(spec, "shrinking", spec.seed, policy, false);
    day.breaches.into_iter().find(|b| b.rule == rule)
}

/// Makes a day smaller while it breaks the same rule: fewer faults, milder ones, a shorter day, a smaller fleet,
/// fewer requests. `None` if it breaks none.
pub fn shrink(spec: &Spec, policy: Kind) -> Option<Shrunk> {
    let day = play(spec, "shrinking", spec.seed, policy, false);
    let breach = day.breaches.into_iter().next()?;
    let rule = breach.rule;
    let (mut best, mut tries) = (spec.clone(), 1);
    // Nothing after the breach has any part in it.
    let mut last = breach.at;
    let mut again = true;
    while again && tries < MOST_TRIES {
        again = false;
        for smaller in candidates(&best, last).into_iter().flat_map(|s| chances(s, best.seed)) {
            tries += 1;
            if let Some(breach) = breaks(&smaller, policy, rule) {
                best = smaller;
                last = breach.at;
                again = true;
                break;
            }
            if tries >= MOST_TRIES {
                break;
            }
        }
    }
    let day = play(&best, "shrunk", best.seed, policy, true);
    Some(Shrunk { spec: best, day, tries })
}

/// A smaller day on its own seed and two others: what is taken away moves chance for the rest, and one unlucky
/// draw must not keep in what has no part in the breach.
fn chances(smaller: Spec, seed: u64) -> impl Iterator<Item = Spec> {
    (0..3).map(move |n| Spec { seed: seed + n, ..smaller.clone() })
}

/// Smaller days, the boldest steps first.
fn candidates(spec: &Spec, breach_at: u64) -> Vec<Spec> {
    let mut all: Vec<Spec> = Vec::new();
    let mut put = |change: &dyn Fn(&mut Spec)| {
        let mut smaller = spec.clone();
        change(&mut smaller);
        all.push(smaller);
    };
    let faults = spec.faults.len();
    if faults > 1 {
        put(&|s| s.faults.truncate(faults / 2));
        put(&|s| s.faults = s.faults.split_off(faults / 2));
    }
    for i in 0..faults {
        put(&|s| {
            s.faults.remove(i);
        });
    }
    let needed = ((breach_at as f64 / 1e6 - spec.warm_up_s).ceil() + 1.0).max(1.0);
    if needed < spec.length_s {
        put(&|s| {
            s.length_s = needed;
            s.faults.retain(|f| f.at_s < needed);
        });
    }
    if spec.backends.count > 2 {
        put(&|s| s.backends.count = (s.backends.count / 2).max(2));
        put(&|s| s.backends.count -= 1);
    }
    if spec.proxies > 1 {
        put(&|s| s.proxies = (s.proxies / 2).max(1));
        put(&|s| s.proxies -= 1);
    }
    if spec.load.share > 0.1 && spec.load.rate == 0.0 {
        put(&|s| s.load.share = (s.load.share * 50.0).round() / 100.0);
    }
    if spec.warm_up_s > 1.0 {
        put(&|s| s.warm_up_s = (s.warm_up_s / 2.0).floor());
    }
    for i in 0..faults {
        let milder = spec.faults[i].reduced();
        if milder != spec.faults[i] {
            put(&|s| s.faults[i] = milder.clone());
        }
    }
    let usual = Spec::default();
    put(&|s| {
        (s.clients.early_leave_share, s.clients.retries) = (0.0, 0);
    });
    put(&|s| s.load.swing = 0.0);
    put(&|s| s.backends.error_rate = 0.0);
    put(&|s| {
        s.keys.clone_from(&usual.keys);
        s.origin.clone_from(&usual.origin);
    });
    all.retain(|s| crate::scenario::write(s) != crate::scenario::write(spec));
    all
}
