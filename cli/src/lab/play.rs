//! `notchdoor lab play`: runs a scenario on sockets, with real proxies as processes.

use super::print_json;
use crate::{CommandResult, Exit};
use clap::Args;
use notchdoor_lab::{experiment, report, scenario};
use notchdoor_load::run::MAX_LATENESS;
use notchdoor_testbed::play;
use std::path::PathBuf;

#[derive(Args)]
pub struct PlayOptions {
    /// Built-in scenario name, or a scenario file. The only supported fault is origin-stop.
    scenario: String,
    /// Scenario field to override, as PATH=VALUE. Can be repeated.
    #[arg(long, value_name = "PATH=VALUE")]
    set: Vec<String>,
    /// Random seed; defaults to the scenario's.
    #[arg(long)]
    seed: Option<u64>,
    /// Output directory for result.json, summary.md, the charts and the proxies' logs; created if missing.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Memory limit of each proxy, in MiB.
    #[arg(long, default_value_t = 48)]
    memory_mb: u32,
    /// File descriptor limit of each proxy.
    #[arg(long, default_value_t = 384)]
    sockets: u32,
    /// Print JSON instead of tables.
    #[arg(long)]
    json: bool,
}

pub fn run(options: &PlayOptions) -> CommandResult {
    let scenario = scenario::load(&options.scenario, &options.set)?;
    let seed = options.seed.unwrap_or(scenario.spec.seed);
    let scratch = std::env::temp_dir().join(format!("notchdoor-play-{}", std::process::id()));
    let proxies = play::Proxies {
        program: std::env::current_exe()
            .map_err(|e| format!("cannot find this program's executable: {e}"))?,
        memory_mb: options.memory_mb,
        sockets: options.sockets,
        folder: options.out.as_ref().map_or(scratch.clone(), |out| out.join("proxies")),
        max_lateness: MAX_LATENESS,
        quiet: options.json,
    };
    let played = play::play(&scenario.spec, &scenario.name, seed, &proxies)?;
    let good = played.broken.is_empty() && played.void.is_none();
    if good && options.out.is_none() {
        // Best effort: a leftover temporary directory is harmless.
        let _ = std::fs::remove_dir_all(&scratch);
    }
    let mut day = played.day;
    day.set.clone_from(&scenario.set);
    let days = [day];
    if let Some(out) = &options.out {
        experiment::write(&days, out)?;
    }
    if options.json {
        print_json(&serde_json::json!({
            "day": days[0], "kept": played.kept, "took": played.took, "broken": played.broken, "void": played.void,
        }));
    } else {
        println!("{}", report::table(&days));
        for (me, took) in played.took.iter().enumerate() {
            println!(
                "proxy {me}: {:.1} MiB resident at start, {:.1} MiB peak, {} descriptors peak",
                took.first_kb as f64 / 1024.0,
                took.most_kb as f64 / 1024.0,
                took.descriptors
            );
        }
        println!("simulated servers: {:?}", played.seen);
        println!("load generator: {:?}", played.kept);
    }
    for what in &played.broken {
        eprintln!("rule violated: {what}");
    }
    if let Some(why) = &played.void {
        eprintln!("the run is void: {why}");
    }
    if !good {
        eprintln!("the proxies' logs are in {}", proxies.folder.display());
    }
    Ok(if good { Exit::Success } else { Exit::Failure })
}
