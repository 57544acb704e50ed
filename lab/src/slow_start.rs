//! Measures the slow-start budget: what warming backends are sent by all proxies together, over random days.
//!
//! Each day starts many backends, alone or en masse, and draws its own settings of slow start. For each start and
//! each span of the fall time the requests from proxies that had been notified of the start are counted, and the
//! largest count is held against [`notchdoor_model::slow_start::max_requests`].

use crate::policy::Kind;
use crate::record::SlowStartPeak;
use crate::search::random_day;
use crate::{experiment, play};
use comfy_table::{presets, CellAlignment, Table};
use notchdoor_model::faults::{Fault, FaultKind};
use notchdoor_model::spec::Spec;
use notchdoor_model::time::{rng, Purpose};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rayon::prelude::*;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Days of a batch for each thread.
const BATCH_PER_THREAD: u64 = 8;
/// Seeds that are named in a row, at the most.
const SEEDS_NAMED: usize = 10;

fn hundredths(x: f64) -> f64 {
    (x * 100.0).round() / 100.0
}

/// A random day of a fleet with so many proxies on which backends start, cold.
pub fn random_starts(base: &Spec, proxies: u32, seed: u64) -> Spec {
    let mut spec = random_day(base, seed);
    // Not the stream that the day itself was drawn from.
    let mut rng = rng(seed, Purpose::Modules);
    spec.about = format!("A random day of {proxies} proxies with starts of backends, from seed {seed}.");
    spec.proxies = proxies;
    // From fewer backends than proxies, so that one is read by many, to as many.
    let (least, most) = ((proxies / 8).max(4), proxies.clamp(16, 160));
    spec.backends.count = rng.random_range(least..=most);
    if rng.random() {
        draw_settings(&mut spec, &mut rng);
    }
    spec.discovery.add_delay_s = hundredths(rng.random_range(0.0..1.2));
    let starts = rng.random_range(1..=2);
    for _ in 0..starts {
        spec.faults.push(random_start(&spec, &mut rng));
    }
    spec.faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    spec
}

/// The settings of slow start. The backends themselves are never colder than these say.
fn draw_settings(spec: &mut Spec, rng: &mut ChaCha8Rng) {
    let rules = &mut spec.rules;
    rules.initial_capacity_share = hundredths(rng.random_range(0.1..0.5));
    rules.warmup_s = hundredths(rng.random_range(4.0..15.0));
    rules.overload_multiple = hundredths(rng.random_range(2.0..6.0));
    rules.overload_window_s = hundredths(rng.random_range(1.0..3.0));
    spec.backends.initial_capacity_share =
        hundredths(rng.random_range(rules.initial_capacity_share..0.6)).max(rules.initial_capacity_share);
    spec.backends.warmup_s = hundredths(rng.random_range(0.5..1.0) * rules.warmup_s);
}

/// A fault that starts up to six in ten of the backends.
fn random_start(spec: &Spec, rng: &mut ChaCha8Rng) -> Fault {
    let kinds =
        [FaultKind::Grow, FaultKind::KillBackends, FaultKind::RestartBackends, FaultKind::ReuseAddress];
    let kind = kinds[rng.random_range(0..kinds.len())];
    let at = hundredths(rng.random_range(0.05..0.5) * spec.length_s);
    let length = if kind.has_duration() { hundredths(rng.random_range(1.0..8.0)) } else { 0.0 };
    let most = (spec.backends.count * 6 / 10).max(1);
    let count = Some(f64::from(rng.random_range(1..=most)));
    let back_s = (kind != FaultKind::Grow).then(|| hundredths(rng.random_range(0.5..4.0)));
    Fault { count, back_s, ..Fault::new(kind, at, length) }
}

/// What to measure.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Proxies of the fleet.
    pub proxies: u32,
    /// Days, at the most.
    pub days: u64,
    /// The seed of the first day; the others follow.
    pub first_seed: u64,
    /// The time after which no further day is begun.
    pub time: Option<Duration>,
    /// What decides.
    pub policy: Kind,
}

/// The largest share found, and where.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Largest {
    /// The seed of its day.
    pub seed: u64,
    /// The start and its span.
    pub peak: SlowStartPeak,
}

/// A broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct FirstBreach {
    /// The seed of its day.
    pub seed: u64,
    /// What happened, in words.
    pub what: String,
}

/// What a sample came to.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Proxies of the fleet.
    pub proxies: u32,
    /// The seeds of the days played, first and last.
    pub seeds: (u64, u64),
    /// Days played.
    pub days: u64,
    /// Requests in them.
    pub requests: u64,
    /// Starts of backends that were sent anything while they warmed up.
    pub starts: u64,
    /// The largest share of the limit over all starts.
    pub largest: Option<Largest>,
    /// The 99th percentile of the starts' largest shares.
    pub p99: f64,
    /// The median of them.
    pub p50: f64,
    /// Starts whose share is over 1.
    pub over: u64,
    /// Days on which the slow-start rule was broken.
    pub broken: u64,
    /// Seeds of days with a share over 1 or a broken rule of any kind, the first few.
    pub seeds_over: Vec<u64>,
    /// The first of these days on which a rule was broken.
    pub first_breach: Option<FirstBreach>,
}

impl Row {
    /// Whether every start stayed within its limit and no rule was broken.
    pub fn is_good(&self) -> bool {
        self.over == 0 && self.seeds_over.is_empty()
    }
}

/// What one day came to.
struct Measured {
    seed: u64,
    requests: u64,
    peaks: Vec<SlowStartPeak>,
    breach: Option<String>,
    broke_slow_start: bool,
}

/// Plays the days of a sample. The same seeds give the same row on any number of threads.
pub fn measure(base: &Spec, sample: &Sample, threads: usize, quiet: bool) -> Result<Row, String> {
    let began = Instant::now();
    let bar = experiment::bar(sample.days, quiet);
    let pool = experiment::pool(threads)?;
    let last = sample.first_seed.saturating_add(sample.days);
    let mut days: Vec<Measured> = Vec::new();
    let mut next = sample.first_seed;
    // Batch by batch: where time runs out, the days played are still all those from the first seed to the last.
    while next < last && sample.time.is_none_or(|most| began.elapsed() <= most) {
        let batch = next..last.min(next.saturating_add(BATCH_PER_THREAD * pool.current_num_threads() as u64));
        next = batch.end;
        days.extend(pool.install(|| {
            let played = batch.into_par_iter().map(|seed| measure_day(base, sample, seed));
            played.inspect(|_| bar.inc(1)).collect::<Vec<Measured>>()
        }));
    }
    bar.finish_and_clear();
    Ok(sum_up(sample, &days))
}

fn measure_day(base: &Spec, sample: &Sample, seed: u64) -> Measured {
    let spec = random_starts(base, sample.proxies, seed);
    let day = play(&spec, "slow-start", seed, sample.policy, false);
    let broke_slow_start = day.breaches.iter().any(|b| b.rule == crate::rules::Rule::ColdWorker);
    Measured {
        seed,
        requests: day.seconds.iter().map(|s| s.counts.tries).sum(),
        peaks: day.slow_starts,
        breach: day.breaches.into_iter().next().map(|b| b.what),
        broke_slow_start,
    }
}

fn sum_up(sample: &Sample, days: &[Measured]) -> Row {
    let mut shares: Vec<f64> = days.iter().flat_map(|d| d.peaks.iter().map(|p| p.share)).collect();
    shares.sort_by(f64::total_cmp);
    let quantile = |q: f64| match shares.len() {
        0 => 0.0,
        n => shares[((n as f64 * q).ceil() as usize).clamp(1, n) - 1],
    };
    let all = days.iter().flat_map(|d| d.peaks.iter().map(|&peak| Largest { seed: d.seed, peak }));
    let is_over = |p: &SlowStartPeak| p.share > 1.0;
    let bad: Vec<&Measured> =
        days.iter().filter(|d| d.breach.is_some() || d.peaks.iter().any(is_over)).collect();
    Row {
        proxies: sample.proxies,
        seeds: (days.first().map_or(0, |d| d.seed), days.last().map_or(0, |d| d.seed)),
        days: days.len() as u64,
        requests: days.iter().map(|d| d.requests).sum(),
        starts: shares.len() as u64,
        largest: all.max_by(|a, b| a.peak.share.total_cmp(&b.peak.share)),
        p99: quantile(0.99),
        p50: quantile(0.5),
        over: shares.iter().filter(|&&s| s > 1.0).count() as u64,
        broken: days.iter().filter(|d| d.broke_slow_start).count() as u64,
        seeds_over: bad.iter().take(SEEDS_NAMED).map(|d| d.seed).collect(),
        first_breach: bad
            .iter()
            .find_map(|d| d.breach.clone().map(|what| FirstBreach { seed: d.seed, what })),
    }
}

/// The rows as a table for a terminal.
pub fn table(rows: &[Row]) -> String {
    const HEADER: [&str; 11] = [
        "proxies",
        "days",
        "seeds",
        "starts",
        "median share",
        "p99 share",
        "largest share",
        "sent of limit, its seed",
        "over 1",
        "rule broken",
        "seeds to look at",
    ];
    let mut table = Table::new();
    table.load_style(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(HEADER);
    for (n, column) in table.column_iter_mut().enumerate() {
        if n != 2 && n < 10 {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    for row in rows {
        table.add_row(cells(row));
    }
    table.to_string()
}

fn cells(row: &Row) -> Vec<String> {
    let (share, sent) = row.largest.map_or_else(
        || ("-".to_owned(), "-".to_owned()),
        |l| {
            let limit = notchdoor_model::slow_start::max_requests(l.peak.allowed);
            let sent = format!("{:.1} of {:.1}, {}", l.peak.notified, limit, l.seed);
            (format!("{:.3}", l.peak.share), sent)
        },
    );
    let seeds: Vec<String> = row.seeds_over.iter().map(u64::to_string).collect();
    vec![
        row.proxies.to_string(),
        row.days.to_string(),
        format!("{}-{}", row.seeds.0, row.seeds.1),
        row.starts.to_string(),
        format!("{:.3}", row.p50),
        format!("{:.3}", row.p99),
        share,
        sent,
        row.over.to_string(),
        row.broken.to_string(),
        seeds.join(" "),
    ]
}
