//! `notchdoor lab slow-start`: the slow-start budget over all proxies, measured on random days.

use crate::{CommandResult, Exit};
use clap::Args;
use notchdoor_lab::policy::Kind;
use notchdoor_lab::scenario;
use notchdoor_lab::slow_start::{self, Sample};
use std::time::Duration;

#[derive(Args)]
pub struct SlowStartOptions {
    /// Proxies of the fleet; several sizes with commas.
    #[arg(long, value_delimiter = ',', default_values_t = [4, 30, 300], value_parser = clap::value_parser!(u32).range(1..=10_000))]
    proxies: Vec<u32>,
    /// Random days of each size; the last count holds for the sizes after it too.
    #[arg(long, value_delimiter = ',', default_values_t = [200, 100, 10])]
    days: Vec<u64>,
    /// Begin no further day of a size after so many minutes.
    #[arg(long)]
    minutes: Option<f64>,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The policy.
    #[arg(long, default_value = "notchdoor")]
    policy: String,
    /// The scenario that the random days are drawn round.
    #[arg(long, default_value = "calm")]
    base: String,
    /// Threads; as many as there are cores for 0. The results are the same for any number.
    #[arg(long, default_value_t = 0)]
    threads: usize,
    /// Print JSON, a line for each size, instead of a table.
    #[arg(long)]
    json: bool,
}

pub fn run(options: &SlowStartOptions) -> CommandResult {
    let base = scenario::load(&options.base, &[])?;
    let policy = Kind::parse(&options.policy)?;
    if policy.needs_limits() {
        return Err(format!("--policy {}: it needs a file of limits", policy.name()));
    }
    let time = options.minutes.map(|m| Duration::from_secs_f64((m * 60.0).clamp(0.0, 1e6)));
    let mut rows = Vec::new();
    for (i, &proxies) in options.proxies.iter().enumerate() {
        let days = options.days[i.min(options.days.len() - 1)];
        let sample = Sample { proxies, days, first_seed: options.seed, time, policy };
        let row = slow_start::measure(&base.spec, &sample, options.threads, options.json)?;
        if options.json {
            println!("{}", serde_json::to_string(&row).expect("rows can always be written"));
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
