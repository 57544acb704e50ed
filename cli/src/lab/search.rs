//! `notchdoor lab search` and `lab shrink`: searches random days for rule violations and shrinks them.

use super::{print_json, write_file, OutputOptions};
use crate::{CommandResult, Exit};
use clap::Args;
use notchdoor_lab::policy::Kind;
use notchdoor_lab::record::Day;
use notchdoor_lab::search::{Budget, Search, Shrunk};
use notchdoor_lab::{report, scenario, search};
use std::path::{Path, PathBuf};
use std::time::Duration;

#[derive(Args)]
pub struct SearchOptions {
    /// Scenario that the random days are derived from.
    #[arg(long, default_value = "calm")]
    base: String,
    /// Maximum number of days.
    #[arg(long, default_value_t = 2000)]
    days: u64,
    /// Start no new day after this many minutes.
    #[arg(long)]
    minutes: Option<f64>,
    /// First random seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Stop at the first violation.
    #[arg(long)]
    first: bool,
    /// Policy to simulate.
    #[arg(long, default_value = "notchdoor")]
    policy: String,
    /// Output directory for the violations as scenario files; created if missing.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Number of days to shrink per violated rule.
    #[arg(long, default_value_t = 1)]
    shrink: usize,
    #[command(flatten)]
    output: OutputOptions,
}

#[derive(Args)]
pub struct ShrinkOptions {
    /// Scenario file, or the name of a built-in scenario.
    scenario: String,
    /// Random seed; defaults to the file's.
    #[arg(long)]
    seed: Option<u64>,
    /// Policy to simulate.
    #[arg(long, default_value = "notchdoor")]
    policy: String,
    /// Output file for the shrunk scenario; defaults to standard output.
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
}

/// A shrunk day that violates a rule.
struct ShrunkDay {
    rule: String,
    small: Shrunk,
}

/// Upper bound of `--minutes`, in seconds.
const MAX_SEARCH_S: f64 = 1e6;
const SECONDS_PER_MINUTE: f64 = 60.0;

pub fn run(options: &SearchOptions) -> CommandResult {
    let base = scenario::load(&options.base, &[])?;
    let policy = Kind::parse(&options.policy)?;
    let seconds = options.minutes.map(|minutes| (minutes * SECONDS_PER_MINUTE).clamp(0.0, MAX_SEARCH_S));
    let budget =
        Budget { days: options.days, time: seconds.map(Duration::from_secs_f64), first: options.first };
    let OutputOptions { threads, json } = options.output;
    let result = search::search(&base.spec, policy, options.seed, budget, threads, json)?;
    let shrunk = shrink_first(&result, policy, options.shrink);
    if let Some(out) = &options.out {
        write_scenarios(out, &shrunk)?;
    }
    if json {
        print_as_json(&result);
    } else {
        print_as_text(&result, &shrunk);
        if let Some(out) = options.out.as_ref().filter(|_| !shrunk.is_empty()) {
            println!("the scenario files are in {}", out.display());
        }
    }
    Ok(if result.found.is_empty() { Exit::Success } else { Exit::Failure })
}

/// Shrinks the first `max_per_rule` days of each violated rule.
fn shrink_first(result: &Search, policy: Kind, max_per_rule: usize) -> Vec<ShrunkDay> {
    let mut shrunk: Vec<ShrunkDay> = Vec::new();
    for day in &result.found {
        let rule = format!("{:?}", day.breach.rule);
        if shrunk.iter().filter(|known| known.rule == rule).count() < max_per_rule {
            shrunk.extend(search::shrink(&day.spec, policy).map(|small| ShrunkDay { rule, small }));
        }
    }
    shrunk
}

fn write_scenarios(folder: &Path, shrunk: &[ShrunkDay]) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: cannot create: {e}", folder.display()))?;
    for ShrunkDay { rule, small } in shrunk {
        let path = folder.join(format!("{}-{}.toml", rule.to_lowercase(), small.spec.seed));
        write_file(&path, &scenario_text(&small.day, &small.spec))?;
    }
    Ok(())
}

fn print_as_json(result: &Search) {
    let found: Vec<_> = result
        .found
        .iter()
        .map(|day| serde_json::json!({"seed": day.spec.seed, "breach": day.breach}))
        .collect();
    print_json(&serde_json::json!({
        "days": result.days, "requests": result.requests, "faults": result.faults,
        "took_s": result.took.as_secs_f64(), "found": found,
    }));
}

fn print_as_text(result: &Search, shrunk: &[ShrunkDay]) {
    println!(
        "{} random days, {} requests, {} faults in {:.1} s: {} with a rule violation",
        result.days,
        result.requests,
        result.faults,
        result.took.as_secs_f64(),
        result.found.len()
    );
    for day in &result.found {
        println!("  seed {}: {}", day.spec.seed, day.breach.what);
    }
    for ShrunkDay { rule, small } in shrunk {
        println!(
            "\n{rule}, seed {}, shrunk in {} runs to {} faults, {} backends, {} proxies:",
            small.spec.seed,
            small.tries,
            small.spec.faults.len(),
            small.spec.backends.count,
            small.spec.proxies
        );
        print!("{}", report::breach(&small.day).unwrap_or_default());
    }
}

pub fn shrink(options: &ShrinkOptions) -> CommandResult {
    let mut scenario = scenario::load(&options.scenario, &[])?;
    scenario.spec.seed = options.seed.unwrap_or(scenario.spec.seed);
    let policy = Kind::parse(&options.policy)?;
    let Some(small) = search::shrink(&scenario.spec, policy) else {
        return Err(format!("{}: violates no rule with seed {}", options.scenario, scenario.spec.seed));
    };
    let text = scenario_text(&small.day, &small.spec);
    match &options.out {
        Some(path) => write_file(path, &text)?,
        None => print!("{text}"),
    }
    eprintln!(
        "{} runs; shrunk to {} faults, {} backends, {} proxies",
        small.tries,
        small.spec.faults.len(),
        small.spec.backends.count,
        small.spec.proxies
    );
    eprint!("{}", report::breach(&small.day).unwrap_or_default());
    Ok(Exit::Failure)
}

/// Formats a day as a scenario file, with the violation in a comment at the top.
fn scenario_text(day: &Day, spec: &notchdoor_model::spec::Spec) -> String {
    let summary: String = report::breach(day)
        .unwrap_or_default()
        .lines()
        .take_while(|line| !line.contains("what led to it"))
        .map(|line| format!("# {}\n", line.trim()))
        .collect();
    format!("{summary}{}", scenario::write(spec))
}
