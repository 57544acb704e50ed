//! `notchdoor load`: generates open-loop load on running proxies.

use crate::{CommandResult, Exit};
use clap::Args;
use notchdoor_lab::{experiment, report, scenario};
use notchdoor_load::arrivals::Arrivals;
use notchdoor_load::codec::Protocol;
use notchdoor_load::run::{run as play, Options, MAX_LATENESS};
use notchdoor_settings::bounded_file;
use std::net::{SocketAddr, ToSocketAddrs};
use std::path::PathBuf;

/// Upper bound of `--value-bytes`: 16 times the protocol limit.
const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Args)]
#[command(after_help = "Examples:
  notchdoor load 127.0.0.1:6379 --arrivals constant:500 --for 20
  notchdoor load 127.0.0.1:6379 127.0.0.1:6380 --scenario payday --retry --out results/load
  notchdoor load 127.0.0.1:6379 --arrivals steps:200,400,800 --for 60 --threads 2
  notchdoor lab compare results/virtual results/load --a notchdoor --b load

Each request has an intended send time, and its latency is measured from that time. Requests that the generator cannot
send within 20 ms of it are voided; if more than 1% are voided, the results are not valid and the exit code is 1.")]
pub struct Load {
    /// Addresses of the proxies, as HOST:PORT.
    #[arg(required = true, value_name = "TARGET")]
    targets: Vec<String>,
    /// Scenario that defines classes, tenants, keys and the request rate: a built-in name, or a file.
    #[arg(long, default_value = "calm")]
    scenario: String,
    /// Scenario field to override, as PATH=VALUE. Can be repeated.
    #[arg(long, value_name = "PATH=VALUE")]
    set: Vec<String>,
    /// Duration of the measurement in seconds; defaults to the scenario's.
    #[arg(long = "for", value_name = "SECONDS")]
    seconds: Option<f64>,
    /// Warm-up before the measurement, in seconds.
    #[arg(long, default_value_t = 2.0, value_name = "SECONDS")]
    warm_up: f64,
    /// Arrival process: scenario, constant:RATE, poisson:RATE, steps:RATE,RATE... or ramp:RATE..RATE, in requests per
    /// second.
    #[arg(long, default_value = "scenario")]
    arrivals: String,
    /// Recorded arrivals to replay: one line per request with its time in seconds and, if known, its class and key.
    #[arg(long, value_name = "FILE", conflicts_with = "arrivals")]
    record: Option<PathBuf>,
    /// Client protocol: resp.
    #[arg(long, default_value = "resp")]
    protocol: String,
    /// Maximum number of connections per target.
    #[arg(long, default_value_t = 64)]
    connections: usize,
    /// Number of threads. Does not affect the generated requests.
    #[arg(long, default_value_t = 1)]
    threads: usize,
    /// Size of written values in bytes.
    #[arg(long, default_value_t = 1024)]
    value_bytes: usize,
    /// Let clients retry and disconnect early, as defined by the scenario.
    #[arg(long)]
    retry: bool,
    /// Random seed; defaults to the scenario's.
    #[arg(long)]
    seed: Option<u64>,
    /// Output directory for result.json, summary.md and the charts, in the format of `lab run`.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Print JSON instead of tables, without a live view.
    #[arg(long)]
    json: bool,
}

fn resolve(target: &str) -> Result<SocketAddr, String> {
    let mut addresses = target.to_socket_addrs().map_err(|e| format!("{target}: expected HOST:PORT: {e}"))?;
    addresses.next().ok_or_else(|| format!("{target}: resolves to no address"))
}

pub fn run(load: &Load) -> CommandResult {
    let mut set = load.set.clone();
    set.extend(load.seconds.map(|s| format!("length_s={s:?}")));
    set.push(format!("warm_up_s={:?}", load.warm_up));
    // Faults are injected only by simulated servers; the targets here are real.
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
        return Err(format!("--value-bytes {}: must be at most {MAX_VALUE_BYTES}", load.value_bytes));
    }
    let options = Options {
        targets: load.targets.iter().map(|t| resolve(t)).collect::<Result<_, _>>()?,
        protocol: load.protocol.parse::<Protocol>().map_err(|e| format!("--protocol: {e}"))?,
        arrivals,
        connections: load.connections,
        threads: load.threads,
        value_bytes: load.value_bytes,
        follow_client_behaviour: load.retry,
        max_lateness: MAX_LATENESS,
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
                "{:12} {} served, service {:.3}, p50 {:.1}, p90 {:.1}, p99 {:.1}, max {:.1} ms",
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
            "load generator: {} due, {} voided, lateness p50 {:.2}, p99 {:.2}, max {:.1} ms; {} connections opened",
            generator.due, generator.voided, generator.late_p50_ms, generator.late_p99_ms, generator.late_max_ms, generator.opened
        );
        if let Some(out) = &load.out {
            println!("result.json, summary.md and the charts are in {}", out.display());
        }
    }
    if !generator.is_valid() {
        eprintln!(
            "{} of {} requests could not be sent in time, so the results are not valid; reduce the rate or use more \
             threads",
            generator.voided, generator.due
        );
        return Ok(Exit::Failure);
    }
    Ok(Exit::Success)
}
