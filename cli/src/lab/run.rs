//! `notchdoor lab run`: simulates scenarios with several policies and seeds.

use super::{print_json, OutputOptions};
use crate::{CommandResult, Exit};
use clap::Args;
use notchdoor_lab::experiment::Plan;
use notchdoor_lab::policy::{Kind, USUAL};
use notchdoor_lab::scenario::{self, Scenario};
use notchdoor_lab::{experiment, report};
use notchdoor_limits::policy::Policy;
use std::path::PathBuf;
use std::sync::Arc;

#[derive(Args)]
pub struct RunOptions {
    /// Built-in scenario names, or scenario files.
    #[arg(required = true)]
    scenarios: Vec<String>,
    /// Output directory for result.json, summary.md and the charts; created if missing.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// First random seed; defaults to the scenario's.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of consecutive seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Policies to compare, by name, separated by commas; see `lab list`.
    #[arg(long, value_delimiter = ',')]
    policies: Vec<String>,
    /// Policy file to evaluate (see `check policy`); adds the policy 'limited'.
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    /// Scenario field to override, as PATH=VALUE; several values separated by commas span a grid. Can be repeated.
    /// A PATH that starts with `limits.` overrides a field of the --policy FILE.
    #[arg(long, value_name = "PATH=VALUE")]
    set: Vec<String>,
    #[command(flatten)]
    output: OutputOptions,
}

const MAX_SEEDS: u64 = 100_000;

pub fn run(options: &RunOptions) -> CommandResult {
    let plans = plans(options)?;
    let days = experiment::run(&plans, options.output.threads, options.output.json)?;
    if let Some(out) = &options.out {
        experiment::write(&days, out)?;
    }
    if options.output.json {
        days.iter().for_each(print_json);
    } else {
        println!("{}", report::table(&days));
        if let Some(out) = &options.out {
            println!("result.json, summary.md and the charts are in {}", out.display());
        }
    }
    let broken = report::broken(&days);
    for day in &broken {
        eprintln!("{}", report::breach(day).unwrap_or_default());
    }
    Ok(if broken.is_empty() { Exit::Success } else { Exit::Failure })
}

/// Plans every combination of scenario, grid point, policy and seed.
fn plans(options: &RunOptions) -> Result<Vec<Plan>, String> {
    let scenarios = scenarios(&options.scenarios, &options.set)?;
    let policies = policies(options)?;
    let mut plans = Vec::new();
    let mut planned: Vec<PlannedDay> = Vec::new();
    for scenario in &scenarios {
        let limits = limits(options, scenario)?;
        let seeds = seeds(options, scenario)?;
        for &policy in &policies {
            let mut scenario = scenario.clone();
            if !policy.needs_limits() {
                // Limit overrides do not affect a policy without limits: plan one run for all of them.
                scenario.set.retain(|change| !change.starts_with(scenario::OF_LIMITS));
            }
            let day = PlannedDay { scenario: scenario.name.clone(), set: scenario.set.clone(), policy };
            if !planned.contains(&day) {
                plans.extend(experiment::plans(&scenario, policy, limits.as_ref(), &seeds));
                planned.push(day);
            }
        }
    }
    Ok(plans)
}

/// Identifies a planned day apart from its seed.
#[derive(PartialEq)]
struct PlannedDay {
    scenario: String,
    set: Vec<String>,
    policy: Kind,
}

/// Loads every named scenario at every point of the grid; the error lists all failures.
fn scenarios(names: &[String], set: &[String]) -> Result<Vec<Scenario>, String> {
    let choices = scenario::grid(set)?;
    let mut loaded = Vec::new();
    let mut errors = Vec::new();
    for name in names {
        for choice in &choices {
            match scenario::load(name, choice) {
                Ok(scenario) => loaded.push(scenario),
                Err(error) => errors.push(error),
            }
        }
    }
    if errors.is_empty() {
        Ok(loaded)
    } else {
        Err(errors.join("\n"))
    }
}

fn policies(options: &RunOptions) -> Result<Vec<Kind>, String> {
    let mut policies: Vec<Kind> = if options.policies.is_empty() {
        USUAL.to_vec()
    } else {
        options.policies.iter().map(|name| Kind::parse(name)).collect::<Result<_, _>>()?
    };
    let limited = policies.iter().find(|kind| kind.needs_limits());
    match (&options.policy, limited) {
        (Some(_), None) => policies.insert(policies.len().min(1), Kind::Limited),
        (None, Some(limited)) => {
            return Err(format!("policy '{}' requires a policy file: use --policy FILE", limited.name()))
        }
        _ => {}
    }
    Ok(policies)
}

/// Reads the policy file and applies the scenario's limit overrides.
fn limits(options: &RunOptions, scenario: &Scenario) -> Result<Option<Arc<Policy>>, String> {
    let changes: Vec<&str> =
        scenario.set.iter().filter_map(|change| change.strip_prefix(scenario::OF_LIMITS)).collect();
    match (&options.policy, changes.first()) {
        (Some(path), _) => {
            let context = notchdoor_lab::facts(&scenario.spec);
            let policy = crate::check::read_policy(path, &changes, &context)?;
            Ok(Some(Arc::new(policy)))
        }
        (None, Some(change)) => Err(format!("--set {}{change}: requires --policy FILE", scenario::OF_LIMITS)),
        (None, None) => Ok(None),
    }
}

fn seeds(options: &RunOptions, scenario: &Scenario) -> Result<Vec<u64>, String> {
    if options.seeds > MAX_SEEDS {
        return Err(format!("--seeds {}: must be at most {MAX_SEEDS}", options.seeds));
    }
    let first = options.seed.unwrap_or(scenario.spec.seed);
    Ok((first..first.saturating_add(options.seeds.max(1))).collect())
}
