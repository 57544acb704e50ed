//! `notchdoor lab faults`: runs fault schedules on the lease group, in virtual time or on processes.

use super::{print_json, write_file, OutputOptions};
use crate::{group, CommandResult, Exit};
use clap::Args;
use notchdoor_lab::leases;
use notchdoor_lab::leases::schedule::Schedule;
use notchdoor_lab::leases::search::{shrink, Found, Searched};
use notchdoor_lab::leases::world::Variant;
use notchdoor_settings::bounded_file;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct FaultsOptions {
    /// Schedule files to run instead of random schedules.
    files: Vec<PathBuf>,
    /// Number of random schedules.
    #[arg(long, default_value_t = 1000)]
    plays: u64,
    /// First random seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Run on processes of this program instead of in virtual time, with this many fleets in parallel. Disables
    /// shrinking.
    #[arg(long, value_name = "FLEETS")]
    processes: Option<usize>,
    /// Disable a safety mechanism to verify that violations are detected: no-fence, no-margin or no-safe-mode.
    #[arg(long, value_name = "HOW", conflicts_with = "processes")]
    broken: Option<String>,
    /// Output directory for the shrunk schedules that violate a property.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Maximum number of schedules to shrink.
    #[arg(long, default_value_t = 3)]
    shrink: usize,
    #[command(flatten)]
    output: OutputOptions,
}

pub fn run(options: &FaultsOptions) -> CommandResult {
    let variant = parse_variant(options.broken.as_deref())?;
    let schedules = read_schedules(&options.files)?;
    if let Some(fleets) = options.processes {
        return run_on_processes(options, schedules, fleets);
    }
    let result = run_in_virtual_time(options, &schedules, variant)?;
    let shrunk: Vec<Found> =
        result.found.iter().take(options.shrink).map(|found| shrink(found, variant)).collect();
    if let Some(out) = options.out.as_ref().filter(|_| !shrunk.is_empty()) {
        write_schedules(out, &shrunk)?;
    }
    if options.output.json {
        print_as_json(&result);
    } else {
        print_as_text(&result, &shrunk)?;
    }
    Ok(if result.found.is_empty() { Exit::Success } else { Exit::Failure })
}

fn parse_variant(broken: Option<&str>) -> Result<Variant, String> {
    match broken {
        None => Ok(Variant::AsBuilt),
        Some("no-fence") => Ok(Variant::NoFence),
        Some("no-margin") => Ok(Variant::NoMargin),
        Some("no-safe-mode") => Ok(Variant::NoSafeMode),
        Some(unknown) => {
            Err(format!("--broken: unknown value '{unknown}'; expected no-fence, no-margin or no-safe-mode"))
        }
    }
}

fn read_schedules(files: &[PathBuf]) -> Result<Vec<Schedule>, String> {
    let read = |path: &PathBuf| {
        let name = path.display().to_string();
        let text = bounded_file::read_text(path, bounded_file::MAX_GENERATED_BYTES)
            .map_err(|e| format!("{name}: cannot read: {e}"))?;
        Schedule::parse(&name, &text)
    };
    files.iter().map(read).collect()
}

fn run_on_processes(options: &FaultsOptions, mut schedules: Vec<Schedule>, fleets: usize) -> CommandResult {
    if options.files.is_empty() {
        let seeds = options.seed..options.seed.saturating_add(options.plays);
        schedules = seeds.map(leases::search::schedule).collect();
    }
    group::run_fault_schedules(&schedules, fleets)
}

fn run_in_virtual_time(
    options: &FaultsOptions,
    schedules: &[Schedule],
    variant: Variant,
) -> Result<Searched, String> {
    if options.files.is_empty() {
        let OutputOptions { threads, json } = options.output;
        return leases::search::search(options.seed, options.plays, variant, threads, json);
    }
    let mut result = Searched::default();
    for schedule in schedules {
        result.add(schedule, leases::world::play_variant(schedule, variant));
    }
    Ok(result)
}

fn write_schedules(folder: &Path, shrunk: &[Found]) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: cannot create: {e}", folder.display()))?;
    for found in shrunk {
        let rule = format!("{:?}", found.breach.rule).to_lowercase();
        let text = format!("# {}\n{}", found.breach.what.replace('\n', " "), found.schedule.write()?);
        write_file(&folder.join(format!("{rule}-{}.toml", found.schedule.seed)), &text)?;
    }
    Ok(())
}

fn print_as_json(result: &Searched) {
    let found: Vec<_> = result.found.iter().map(|f| (f.schedule.seed, &f.breach.what)).collect();
    print_json(&serde_json::json!({
        "plays": result.plays, "faults": result.faults, "seconds": result.seconds,
        "admitted": result.admitted, "refused": result.refused, "handovers": result.handovers,
        "leaders": result.leaders, "versions": result.versions,
        "disagreed_permille": result.disagreed.0, "disagreed_ms": result.disagreed.1, "found": found,
    }));
}

fn print_as_text(result: &Searched, shrunk: &[Found]) -> Result<(), String> {
    println!(
        "{} schedules, {} faults, {} virtual seconds: {} leaders, {} handovers, {} actions admitted, {} rejected by the \
         fencing token; {} schedules violate a property",
        result.plays,
        result.faults,
        result.seconds,
        result.leaders,
        result.handovers,
        result.admitted,
        result.refused,
        result.found.len()
    );
    println!(
        "{} versions in force; two proxies acted on different versions for at most {} ms, {:.1} % of the bound",
        result.versions,
        result.disagreed.1,
        result.disagreed.0 as f64 / 10.0
    );
    for Found { schedule, breach, .. } in &result.found {
        println!("  seed {}: {}", schedule.seed, breach.what);
    }
    for Found { schedule, breach, .. } in shrunk {
        println!("\nseed {}, shrunk: {}:\n{}", schedule.seed, breach.what, schedule.write()?);
    }
    Ok(())
}
