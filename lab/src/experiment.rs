//! Experiments: many days in parallel, and their results on disk.

use crate::policy::Kind;
use crate::record::Day;
use crate::scenario::Scenario;
use crate::{charts, play_with, report};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use notchdoor_limits::policy::Policy as Limits;
use notchdoor_settings::bounded_file;
use rayon::prelude::*;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;

/// One day to be played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The scenario.
    pub scenario: Scenario,
    /// The policy.
    pub policy: Kind,
    /// The limits of [`Kind::Limited`].
    pub limits: Option<Arc<Limits>>,
    /// The seed.
    pub seed: u64,
}

/// A bar for so many days on standard error; hidden where that is no terminal, or `quiet`.
pub fn bar(days: u64, quiet: bool) -> ProgressBar {
    let bar = ProgressBar::with_draw_target(
        Some(days),
        if quiet { ProgressDrawTarget::hidden() } else { ProgressDrawTarget::stderr() },
    );
    let style =
        ProgressStyle::with_template("{elapsed_precise} [{bar:32}] {pos}/{len} days, {eta} left {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}

/// A pool of so many threads; as many as there are cores for 0.
pub fn pool(threads: usize) -> Result<rayon::ThreadPool, String> {
    if threads > MOST_THREADS {
        return Err(format!("{threads} threads: {MOST_THREADS} at the most"));
    }
    rayon::ThreadPoolBuilder::new()
        .num_threads(threads)
        .build()
        .map_err(|e| format!("cannot start threads: {e}"))
}

/// A scenario with one policy on every seed, in that order.
pub fn plans(scenario: &Scenario, policy: Kind, limits: Option<&Arc<Limits>>, seeds: &[u64]) -> Vec<Plan> {
    let plan = |&seed| Plan { scenario: scenario.clone(), policy, limits: limits.cloned(), seed };
    seeds.iter().map(plan).collect()
}

/// Plays them all, on so many threads. Results come in the order of the plans, whatever the threads did.
pub fn run(plans: &[Plan], threads: usize, quiet: bool) -> Result<Vec<Day>, String> {
    let bar = bar(plans.len() as u64, quiet);
    let days = pool(threads)?.install(|| {
        plans
            .par_iter()
            .map(|plan| {
                let s = &plan.scenario;
                let limits: &[Arc<Limits>] = plan.limits.as_slice();
                let play = |trace| play_with(&s.spec, &s.name, plan.seed, (plan.policy, limits), trace);
                let mut day = play(false);
                // The same day again tells what led to it; keeping that for every day would cost a third.
                if day.breach_count > 0 && plan.policy.must_keep_rules() {
                    day = play(true);
                }
                day.set.clone_from(&s.set);
                bar.inc(1);
                day
            })
            .collect()
    });
    bar.finish_and_clear();
    Ok(days)
}

/// Leaves `result.json` (one day a line), `summary.md` and the charts in a folder, which is made if need be.
pub fn write(days: &[Day], folder: &Path) -> Result<Vec<String>, String> {
    let told = |what: &Path, e: &dyn std::fmt::Display| format!("{}: cannot write: {e}", what.display());
    std::fs::create_dir_all(folder).map_err(|e| told(folder, &e))?;
    let path = folder.join("result.json");
    let mut file = std::io::BufWriter::new(std::fs::File::create(&path).map_err(|e| told(&path, &e))?);
    for day in days {
        serde_json::to_writer(&mut file, day).map_err(|e| told(&path, &e))?;
        file.write_all(b"\n").map_err(|e| told(&path, &e))?;
    }
    file.flush().map_err(|e| told(&path, &e))?;
    let charts = charts::draw(days, folder)?;
    let path = folder.join("summary.md");
    std::fs::write(&path, report::markdown(days, &charts)).map_err(|e| told(&path, &e))?;
    Ok(charts)
}

/// The most threads.
const MOST_THREADS: usize = 1024;

/// Reads results: a `result.json`, or a folder that holds one.
pub fn read(path: &Path) -> Result<Vec<Day>, String> {
    let file = if path.is_dir() { path.join("result.json") } else { path.to_owned() };
    let text = bounded_file::read_text(&file, bounded_file::MAX_GENERATED_BYTES)
        .map_err(|e| format!("{}: cannot read: {e}", file.display()))?;
    let days: Result<Vec<Day>, String> = text
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(n, line)| {
            serde_json::from_str(line)
                .map_err(|e| format!("{}:{}: no result of a day: {e}", file.display(), n + 1))
        })
        .collect();
    let days = days?;
    if days.is_empty() {
        return Err(format!("{}: holds no day", file.display()));
    }
    Ok(days)
}
