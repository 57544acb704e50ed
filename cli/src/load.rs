//! `notchdoor load`: an open-loop load on proxies that run.

use crate::{CommandResult, Exit};
use clap::Args;
use notchdoor_lab::{experiment, report, scenario};
use notchdoor_load::arrivals::Arrivals;
use notchdoor_load::codec::Protocol;
use notchdoor_load::run::{run as play, Options, MOST_LATE};
use notchdoor_settings::bounded_file;
use std::net::{SocketAddr, ToSocketAddrs};
use std::path::PathBuf;

/// The largest written value: sixteen times what the protocol allows.
const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Args)]
#[command(after_help = "Examples:
  notchdoor load 127.0.0.1:6379 --arrivals constant:500 --for 20
  notchdoor load 127.0.0.1:6379 127.0.0.1:6380 --scenario payday --retry --out results/load
  notchdoor load 127.0.0.1:6379 --arrivals steps:200,400,800 --for 60 --threads 2
  notchdoor lab compare results/virtual results/load --a notchdoor --b load

Requests are due when the arrivals say, and their latency counts from then. What the generator could not send within
20 ms of that is voided; with more than 1% voided it exits with 1, as the run tells nothing of its target.")]
pub struct Load {
    /// The proxies, as HOST:PORT.
    #[arg(required = true, value_name = "TARGET")]
    targets: Vec<String>,
    /// Where classes, tenants, keys, the rate and its shape come from: a built-in scenario's name, or a file.
    #[arg(long, default_value = "calm")]
    scenario: String,
    /// A field of the scenario to change, as PATH=VALUE. May be given again.
    #[arg(long, value_name = "PATH=VALUE")]
    set: Vec<String>,
    /// Seconds that are scored; the scenario's own where it is not given.
    #[arg(long = "for", value_name = "SECONDS")]
    seconds: Option<f64>,
    /// Seconds before them that are not.
    #[arg(long, default_value_t = 2.0, value_name = "SECONDS")]
    warm_up: f64,
    /// scenario, constant:RATE, poisson:RATE, steps:RATE,RATE..., ramp:RATE..RATE, in requests a second.
    #[arg(long, default_value = "scenario")]
    arrivals: String,
    /// A record to play instead: a line for each request, with its seconds, and its class and key if known.
    #[arg(long, value_name = "FILE", conflicts_with = "arrivals")]
    record: Option<PathBuf>,
    /// What is spoken: resp.
    #[arg(long, default_value = "resp")]
    protocol: String,
    /// Connections to one target at the most.
    #[arg(long, default_value_t = 64)]
    connections: usize,
    /// Threads. The requests are the same for any number.
    #[arg(long, default_value_t = 1)]
    threads: usize,
    /// Bytes of a written value.
    #[arg(long, default_value_t = 1024)]
    value_bytes: usize,
    /// Clients try again, and leave early, as the scenario has it.
    #[arg(long)]
    retry: bool,
    /// The seed.
    #[arg(long)]
    seed: Option<u64>,
    /// A folder for result.json, summary.md and the charts, as `lab run` leaves them.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Print JSON instead of tables, and no live view.
    #[arg(long)]
    json: bool,
}

fn resolve(target: &str) -> Result<SocketAddr, String> {
    let mut addresses = target.to_socket_addrs().map_err(|e| format!("{target}: no HOST:PORT: {e}"))?;
    addresses.next().ok_or_else(|| format!("{target}: has no address"))
}

pub fn run(load: &Load) -> CommandResult {
    let mut set = load.set.clone();
    set.extend(load.seconds.map(|s| format!("length_s={s:?}")));
    set.push(format!("warm_up_s={:?}", load.warm_up));
    // Faults are for who hosts the world; a load has none.
    let mut scenario = scenario::load(&load.scenario, &set)?;
    scenario.spec.faults.clear();
    let classes: Vec<String> = scenario.spec.classes.iter().map(|c| c.name.clone()).collect();
    let arrivals = match &load.record {
        None => Arrivals::parse(&load.arrivals).map_err(|e| format!("--arrivals: {e}"))?,
        Some(path) => {
            let name = path.display().to_string();
            let text = bounded_file::read_text(path, bounded_file::MAX_GENERATED_BYTES)
                .map_err(|e| format!("{name}: cannot read: {e}"))?;
            Arrivals::record(&name, &text, &classes)?
        }
    };
    if load.value_bytes > MAX_VALUE_BYTES {
        return Err(format!("--value-bytes {}: {MAX_VALUE_BYTES} at the most", load.value_bytes));
    }
    let options = Options {
        targets: load.targets.iter().map(|t| resolve(t)).collect::<Result<_, _>>()?,
        protocol: load.protocol.parse::<Protocol>().map_err(|e| format!("--protocol: {e}"))?,
        arrivals,
        connections: load.connections,
        threads: load.threads,
        value_bytes: load.value_bytes,
        manners: load.retry,
        most_late: MOST_LATE,
        quiet: load.json,
    };
    let seed = load.seed.unwrap_or(scenario.spec.seed);
    let (day, generator) = play(&scenario.spec, &scenario.name, seed, &options)?;
    let days = [day];
    if let Some(out) = &load.out {
        experiment::write(&days, out)?;
    }
    if load.json {
        println!("{}", serde_json::json!({"day": days[0], "kept": generator}));
    } else {
        println!("{}", report::table(&days));
        for class in &days[0].classes {
            println!(
                "{:12} {} served, service {:.3}, p50 {:.1}, p90 {:.1}, p99 {:.1}, longest {:.1} ms",
                class.class,
                class.served,
                class.service,
                class.p50_ms,
                class.p90_ms,
                class.p99_ms,
                class.max_ms
            );
        }
        println!(
            "the generator: {} due, {} voided, late by p50 {:.2}, p99 {:.2}, longest {:.1} ms; {} connections opened",
            generator.due, generator.voided, generator.late_p50_ms, generator.late_p99_ms, generator.late_max_ms, generator.opened
        );
        if let Some(out) = &load.out {
            println!("result.json, summary.md and the charts are in {}", out.display());
        }
    }
    if !generator.tells() {
        eprintln!(
            "{} of {} requests could not be sent in time: this run tells nothing of its target; ask for less, or give \
             more threads",
            generator.voided, generator.due
        );
        return Ok(Exit::Failure);
    }
    Ok(Exit::Success)
}
