//! `notchdoor lab group`: measures the lease group on processes of this program, or in virtual time.

use crate::{CommandResult, Exit};
use clap::{Args, Subcommand};
use notchdoor_lab::charts::{plot, Line};
use notchdoor_lab::leases::schedule::{Fault, Kind, Schedule, Who};
use notchdoor_lab::leases::world;
use notchdoor_testbed::group::fleet::Plan;
use notchdoor_testbed::group::measure::{self, Loss, Size, Spread};
use notchdoor_testbed::group::schedule;
use serde::Serialize;
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::time::Duration;

#[derive(Args)]
pub struct GroupOptions {
    #[command(subcommand)]
    measurement: Measurement,
    /// Output directory for the results as JSON and a chart.
    #[arg(long, global = true, value_name = "DIR")]
    out: Option<PathBuf>,
    /// TTL of the task leases in milliseconds.
    #[arg(long, global = true, default_value_t = 2000)]
    ttl_ms: u64,
    /// Tick of the members in milliseconds; the election timeout is ten ticks.
    #[arg(long, global = true, default_value_t = 50)]
    tick_ms: u64,
    /// Number of tasks that all proxies compete for.
    #[arg(long, global = true, default_value_t = 1)]
    tasks: usize,
}

#[derive(Subcommand)]
enum Measurement {
    /// Measure the time until another lease holder acts after the holder is killed, is partitioned, or dies with the leader.
    Takeover {
        /// Number of failures of each kind.
        #[arg(long, default_value_t = 50)]
        plays: usize,
    },
    /// Measure the throughput of the group by number of proxies.
    Load {
        /// Numbers of proxies, measured one after another.
        #[arg(long, value_delimiter = ',', default_value = "10,30,100")]
        proxies: Vec<usize>,
        /// Duration of the measurement in seconds.
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// Run in virtual time, which allows more proxies than this machine can run as processes.
        #[arg(long)]
        virtual_time: bool,
    },
    /// Measure the response time of the leader.
    Latency {
        /// Number of requests of each kind.
        #[arg(long, default_value_t = 1000)]
        rounds: u64,
    },
    /// Measure the time until every proxy acts on a configuration version.
    Versions {
        /// Numbers of proxies, measured one after another.
        #[arg(long, value_delimiter = ',', default_value = "3,10,30")]
        proxies: Vec<usize>,
        /// Versions to propose, or seeds to run in virtual time, per number of proxies.
        #[arg(long, default_value_t = 20)]
        plays: u64,
        /// Maximum time that proxies may act on different versions, in milliseconds.
        #[arg(long, default_value_t = 4000)]
        within_ms: u64,
        /// Run in virtual time, which allows more proxies than this machine can run as processes.
        #[arg(long)]
        virtual_time: bool,
    },
    /// Measure the memory and disk usage of the members over a long run of renewals.
    Soak {
        /// Duration in minutes.
        #[arg(long, default_value_t = 60.0)]
        minutes: f64,
        /// Number of proxies.
        #[arg(long, default_value_t = 10)]
        proxies: usize,
    },
}

/// Maximum number of proxy processes on this machine.
const MAX_PROXIES: usize = 400;
/// Maximum number of proxies in virtual time.
const MAX_VIRTUAL_PROXIES: usize = 2_000;

/// Creates the plan of each run, with a separate directory per run.
struct PlanFactory<'a> {
    options: &'a GroupOptions,
    program: PathBuf,
    created: Cell<u64>,
}

impl PlanFactory<'_> {
    fn with_proxies(&self, proxies: usize) -> Plan {
        self.created.set(self.created.get() + 1);
        let folder = format!("notchdoor-lab-{}-{}", std::process::id(), self.created.get());
        let names = ["warm", "probe", "registry", "sweep"];
        let name = |n: usize| names.get(n).map_or_else(|| format!("task-{n}"), |n| (*n).to_owned());
        Plan {
            proxies,
            ttl_ms: self.options.ttl_ms,
            tick_ms: self.options.tick_ms,
            every_ms: 50,
            tasks: (0..self.options.tasks.clamp(1, 64)).map(name).collect(),
            ..Plan::new(&self.program, std::env::temp_dir().join(folder))
        }
    }
}

fn to_message(error: std::io::Error) -> String {
    format!("lab group: {error}")
}

pub fn run(options: &GroupOptions) -> CommandResult {
    let program =
        std::env::current_exe().map_err(|e| format!("cannot find this program's executable: {e}"))?;
    let plans = PlanFactory { options, program, created: Cell::new(0) };
    match &options.measurement {
        Measurement::Takeover { plays } => takeover(options, &plans, *plays)?,
        Measurement::Load { proxies, seconds, virtual_time } => {
            load(options, &plans, proxies, *seconds, *virtual_time)?;
        }
        Measurement::Versions { proxies, plays, within_ms, virtual_time } => {
            versions(options, &plans, proxies, *plays, *within_ms, *virtual_time)?;
        }
        Measurement::Latency { rounds } => latency(options, &plans, *rounds)?,
        Measurement::Soak { minutes, proxies } => soak(options, &plans, *minutes, *proxies)?,
    }
    Ok(Exit::Success)
}

/// Measures takeover times for each kind of failure.
fn takeover(options: &GroupOptions, plans: &PlanFactory, plays: usize) -> Result<(), String> {
    let mut all = Vec::new();
    for loss in [Loss::Killed, Loss::CutOff, Loss::WithLeader] {
        let (takeovers, checked) =
            measure::takeovers(plans.with_proxies(3), loss, plays).map_err(to_message)?;
        print_spread(&format!("{loss:?}"), &takeovers.took);
        println!("  {checked:?}");
        all.push(takeovers);
    }
    // Takeover times by percentile.
    let lines: Vec<Line> =
        all.iter().map(|of| (format!("{:?}", of.loss), percentile_points(&of.plays))).collect();
    write_results(options, "takeover", &all, |path| {
        plot(path, "Time until another holder acts", "percentile", "milliseconds", &lines)
    })?;
    Ok(())
}

/// Measures the operations per second for each number of proxies.
fn load(
    options: &GroupOptions,
    plans: &PlanFactory,
    proxies: &[usize],
    seconds: f64,
    virtual_time: bool,
) -> Result<(), String> {
    let duration = Duration::try_from_secs_f64(seconds).map_err(|e| format!("--seconds: {e}"))?;
    let max = if virtual_time { MAX_VIRTUAL_PROXIES } else { MAX_PROXIES };
    let mut all = Vec::new();
    for &count in proxies {
        if count > max {
            return Err(format!("--proxies: must be at most {max}"));
        }
        let load = if virtual_time {
            measure::virtual_load(&plans.with_proxies(count), duration)
        } else {
            measure::load(plans.with_proxies(count), duration).map_err(to_message)?
        };
        println!("{}", serde_json::json!(load));
        all.push(load);
    }
    let line = |name: &str, value: fn(&measure::Load) -> f64| {
        (name.to_owned(), all.iter().map(|l| (l.proxies as f64, value(l))).collect())
    };
    let lines = [
        line("requests", |l| l.asks),
        line("messages", |l| l.messages),
        line("fsyncs", |l| l.syncs),
        line("entries", |l| l.entries),
    ];
    write_results(options, "load", &all, |path| {
        plot(path, "The group's load", "proxies", "per second", &lines)
    })?;
    Ok(())
}

/// Measures the time until every proxy acts on a version, for each number of proxies.
fn versions(
    options: &GroupOptions,
    plans: &PlanFactory,
    proxies: &[usize],
    plays: u64,
    within_ms: u64,
    virtual_time: bool,
) -> Result<(), String> {
    let mut all = Vec::new();
    for &count in proxies {
        let max = if virtual_time { MAX_VIRTUAL_PROXIES } else { MAX_PROXIES };
        if count > max {
            return Err(format!("--proxies: must be at most {max}"));
        }
        let switches = if virtual_time {
            measure::virtual_switches(count, within_ms, plays)
        } else {
            measure::switches(Plan { within_ms: Some(within_ms), ..plans.with_proxies(count) }, plays)
        };
        let switches = switches.map_err(to_message)?;
        print_spread(&format!("{count} proxies"), &switches.all);
        println!("  at most {} ms apart", switches.apart_ms);
        all.push(switches);
    }
    if let (true, Some(&count)) = (virtual_time, proxies.iter().max()) {
        change_under_faults(options, count, within_ms)?;
    }
    let points = |value: fn(&Spread) -> f64| all.iter().map(|s| (s.proxies as f64, value(&s.all))).collect();
    let lines = [("median".to_owned(), points(|s| s.p50_ms)), ("p99".to_owned(), points(|s| s.p99_ms))];
    write_results(options, "versions", &all, |path| {
        plot(path, "Time until every proxy acts on a version", "proxies", "milliseconds", &lines)
    })?;
    Ok(())
}

/// Measures the response time of the leader for each kind of request.
fn latency(options: &GroupOptions, plans: &PlanFactory, rounds: u64) -> Result<(), String> {
    let latency = measure::latency(plans.with_proxies(0), rounds).map_err(to_message)?;
    for (name, spread) in [
        ("acquire", &latency.acquire),
        ("renew", &latency.renew),
        ("list", &latency.list),
        ("release", &latency.release),
    ] {
        print_spread(name, spread);
    }
    write_results(options, "latency", &latency, |_| Ok(()))?;
    Ok(())
}

/// Samples the memory and disk usage of the members during a long run of renewals.
fn soak(options: &GroupOptions, plans: &PlanFactory, minutes: f64, proxies: usize) -> Result<(), String> {
    let duration = Duration::try_from_secs_f64(minutes * 60.0).map_err(|e| format!("--minutes: {e}"))?;
    let interval = (duration / 120).max(Duration::from_secs(1));
    let mut sizes: Vec<Size> = Vec::new();
    let record = |size: Size| {
        println!("{}", serde_json::json!(size));
        sizes.push(size);
    };
    let checked =
        measure::soak(plans.with_proxies(proxies), duration, interval, record).map_err(to_message)?;
    println!("{checked:?}");
    let line = |member: u64, what: &str, value: fn(&Size) -> u64| {
        let of_member = sizes.iter().filter(|s| s.member == member);
        let points = of_member.map(|s| (s.at_s / 60.0, value(s) as f64 / f64::from(1 << 20))).collect();
        (format!("m{member} {what}"), points)
    };
    let members = [1, 2, 3].into_iter();
    let lines: Vec<Line> =
        members.flat_map(|m| [line(m, "resident", |s| s.resident), line(m, "disk", |s| s.disk)]).collect();
    write_results(options, "soak", &sizes, |path| {
        plot(path, "A long run of renewals", "minutes", "MiB", &lines)
    })?;
    Ok(())
}

/// Applies a version while a tenth of the proxies are partitioned for ten seconds and the leader is killed. Plots the
/// number of proxies acting on each version and prints the share of time in safe mode.
fn change_under_faults(options: &GroupOptions, proxies: usize, within_ms: u64) -> Result<(), String> {
    let cut = |n: usize| Fault { at_ms: 4_000, for_ms: 10_000, kind: Kind::Cut, who: Who::Client(n * 10) };
    let mut faults: Vec<Fault> = (0..(proxies / 10).min(60)).map(cut).collect();
    faults.push(Fault { at_ms: 7_000, for_ms: 3_000, kind: Kind::Kill, who: Who::Leader });
    let cut_off = faults.len() - 1;
    let schedule =
        Schedule { clients: proxies, within_ms, applies_ms: vec![6_000], faults, ..Schedule::quiet(1) };
    let played = world::play(&schedule);
    if let Some(breach) = &played.breach {
        return Err(breach.what.clone());
    }
    let moments = world::watch(&schedule, 20_000, 50);
    let during_cut = moments.iter().filter(|m| (4_000..14_000).contains(&m.at_ms));
    let safe: usize = during_cut.clone().map(|m| m.safe).sum();
    let total: usize = during_cut.map(|m| m.safe + m.on.values().sum::<usize>()).sum();
    println!(
        "{proxies} proxies, {cut_off} partitioned for 10 s, leader killed: versions at most {} ms apart; {:.1} % of proxy time \
         in those 10 s in safe mode",
        played.disagreed_ms,
        100.0 * safe as f64 / total.max(1) as f64
    );
    let line = |name: &str, value: &dyn Fn(&world::Moment) -> usize| -> Line {
        (name.to_owned(), moments.iter().map(|m| (m.at_ms as f64 / 1e3, value(m) as f64)).collect())
    };
    let acting_on = |version: u64| move |m: &world::Moment| m.on.get(&version).copied().unwrap_or(0);
    let lines =
        [line("version 0", &acting_on(0)), line("version 1", &acting_on(1)), line("safe mode", &|m| m.safe)];
    write_results(options, "change", &(played.disagreed_ms, safe, total), |path| {
        plot(path, "Version change under faults: proxies by version", "seconds", "proxies", &lines)
    })
}

/// Runs fault schedules on processes of this program.
pub fn run_fault_schedules(schedules: &[Schedule], parallel_fleets: usize) -> CommandResult {
    let program =
        std::env::current_exe().map_err(|e| format!("cannot find this program's executable: {e}"))?;
    let plan = |n: u64| {
        let name = format!("notchdoor-faults-{}-{n}", std::process::id());
        Plan::new(&program, std::env::temp_dir().join(name))
    };
    let progress = |n| {
        if n % 10 == 0 {
            eprintln!("{n} of {} schedules completed", schedules.len());
        }
    };
    let played = schedule::plays(plan, schedules, parallel_fleets, progress);
    println!(
        "{} schedules on processes: {} handovers, {} actions admitted, {} rejected by the fencing token; {} violate a property",
        played.plays,
        played.checked.handovers,
        played.checked.admitted,
        played.checked.refused,
        played.found.len()
    );
    for found in &played.found {
        println!("  {found}");
    }
    Ok(if played.found.is_empty() { Exit::Success } else { Exit::Failure })
}

fn print_spread(name: &str, spread: &Spread) {
    println!(
        "{name:12} n {:>5}  min {:>8.2}  median {:>8.2}  p99 {:>8.2}  max {:>8.2} ms",
        spread.n, spread.min_ms, spread.p50_ms, spread.p99_ms, spread.max_ms
    );
}

fn percentile_points(plays: &[u64]) -> Vec<(f64, f64)> {
    let mut sorted = plays.to_vec();
    sorted.sort_unstable();
    let rank = |n: usize| 100.0 * (n as f64 + 1.0) / plays.len().max(1) as f64;
    sorted.iter().enumerate().map(|(n, us)| (rank(n), *us as f64 / 1e3)).collect()
}

/// Writes the results and their chart if `--out` is given.
fn write_results(
    options: &GroupOptions,
    name: &str,
    figures: &impl Serialize,
    chart: impl FnOnce(&Path) -> Result<(), String>,
) -> Result<(), String> {
    let Some(out) = &options.out else { return Ok(()) };
    let to_message = |e: std::io::Error| format!("{}: {e}", out.display());
    std::fs::create_dir_all(out).map_err(to_message)?;
    let json = serde_json::to_string(figures).map_err(|e| e.to_string())?;
    std::fs::write(out.join(format!("{name}.json")), json).map_err(to_message)?;
    chart(&out.join(format!("{name}.svg")))
}
