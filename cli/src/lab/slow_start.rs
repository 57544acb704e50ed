//! `notchdoor lab slow-start`: measures the slow-start load of all proxies over random days.

use crate::{CommandResult, Exit};
use clap::Args;
use notchdoor_lab::policy::Kind;
use notchdoor_lab::scenario;
use notchdoor_lab::slow_start::{self, Sample};
use std::time::Duration;

#[derive(Args)]
pub struct SlowStartOptions {
    /// Fleet sizes (number of proxies), separated by commas.
    #[arg(long, value_delimiter = ',', default_values_t = [4, 30, 300], value_parser = clap::value_parser!(u32).range(1..=10_000))]
    proxies: Vec<u32>,
    /// Number of random days per fleet size; the last value also applies to further sizes.
    #[arg(long, value_delimiter = ',', default_values_t = [200, 100, 10])]
    days: Vec<u64>,
    /// Start no new day of a fleet size after this many minutes.
    #[arg(long)]
    minutes: Option<f64>,
    /// First random seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Policy to simulate.
    #[arg(long, default_value = "notchdoor")]
    policy: String,
    /// Scenario that the random days are derived from.
    #[arg(long, default_value = "calm")]
    base: String,
    /// Number of threads; 0 for one per core. Does not affect the results.
    #[arg(long, default_value_t = 0)]
    threads: usize,
    /// Print one line of JSON per fleet size instead of a table.
    #[arg(long)]
    json: bool,
}

pub fn run(options: &SlowStartOptions) -> CommandResult {
    let base = scenario::load(&options.base, &[])?;
    let policy = Kind::parse(&options.policy)?;
    if policy.needs_limits() {
        return Err(format!(
            "--policy {}: policies that require a policy file are not supported",
            policy.name()
        ));
    }
    let time = options.minutes.map(|m| Duration::from_secs_f64((m * 60.0).clamp(0.0, 1e6)));
    let mut rows = Vec::new();
    for (i, &proxies) in options.proxies.iter().enumerate() {
        let days = options.days[i.min(options.days.len() - 1)];
        let sample = Sample { proxies, days, first_seed: options.seed, time, policy };
        let row = slow_start::measure(&base.spec, &sample, options.threads, options.json)?;
        if options.json {
            println!("{}", serde_json::to_string(&row).expect("rows always serialize to JSON"));
        }
        rows.push(row);
    }
    if !options.json {
        println!("{}", slow_start::table(&rows));
    }
    for row in &rows {
        if let Some(breach) = &row.first_breach {
            eprintln!("{} proxies, seed {}: {}", row.proxies, breach.seed, breach.what);
        }
    }
    Ok(if rows.iter().all(slow_start::Row::is_good) { Exit::Success } else { Exit::Failure })
}
