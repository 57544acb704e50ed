//! `notchdoor lab group`: the lease group, measured on processes of this very program.

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
    /// A folder for the figures as JSON and a chart.
    #[arg(long, global = true, value_name = "DIR")]
    out: Option<PathBuf>,
    /// The tasks' TTL in milliseconds.
    #[arg(long, global = true, default_value_t = 2000)]
    ttl_ms: u64,
    /// A member's tick in milliseconds; ten make an election.
    #[arg(long, global = true, default_value_t = 50)]
    tick_ms: u64,
    /// Tasks that every proxy wants.
    #[arg(long, global = true, default_value_t = 1)]
    tasks: usize,
}

#[derive(Subcommand)]
enum Measurement {
    /// How soon another holder acts, after the holder is killed, is cut off, or dies with the group's leader.
    Takeover {
        /// Losses of each kind.
        #[arg(long, default_value_t = 50)]
        plays: usize,
    },
    /// What the group does a second with so many proxies.
    Load {
        /// How many proxies, one run after the other.
        #[arg(long, value_delimiter = ',', default_value = "10,30,100")]
        proxies: Vec<usize>,
        /// Seconds that are counted.
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// In virtual time, where more proxies can be had than this machine holds.
        #[arg(long)]
        virtual_time: bool,
    },
    /// How long the leader takes to answer.
    Latency {
        /// Requests of each kind.
        #[arg(long, default_value_t = 1000)]
        rounds: u64,
    },
    /// How long a version takes until every proxy acts on it.
    Versions {
        /// How many proxies, one run after the other.
        #[arg(long, value_delimiter = ',', default_value = "3,10,30")]
        proxies: Vec<usize>,
        /// Versions proposed, or seeds played, for each.
        #[arg(long, default_value_t = 20)]
        plays: u64,
        /// The stated bound, in milliseconds.
        #[arg(long, default_value_t = 4000)]
        within_ms: u64,
        /// In virtual time, where more proxies can be had than this machine holds.
        #[arg(long)]
        virtual_time: bool,
    },
    /// A long run of renewals: what the members hold, in memory and on disk.
    Soak {
        /// How long.
        #[arg(long, default_value_t = 60.0)]
        minutes: f64,
        /// Proxies.
        #[arg(long, default_value_t = 10)]
        proxies: usize,
    },
}

/// The most processes that one machine is asked for, and the most proxies in virtual time.
const MAX_PROXIES: usize = 400;
const MAX_VIRTUAL_PROXIES: usize = 2_000;

/// Makes the plan of each run: each has a folder of its own.
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
    let program = std::env::current_exe().map_err(|e| format!("this program's file: {e}"))?;
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

/// How soon another holder acts, for each kind of loss.
fn takeover(options: &GroupOptions, plans: &PlanFactory, plays: usize) -> Result<(), String> {
    let mut all = Vec::new();
    for loss in [Loss::Killed, Loss::CutOff, Loss::WithLeader] {
        let (takeovers, checked) =
            measure::takeovers(plans.with_proxies(3), loss, plays).map_err(to_message)?;
        print_spread(&format!("{loss:?}"), &takeovers.took);
        println!("  {checked:?}");
        all.push(takeovers);
    }
    // Each play beside its rank: the curve is the distribution.
    let lines: Vec<Line> =
        all.iter().map(|of| (format!("{:?}", of.loss), percentile_points(&of.plays))).collect();
    write_results(options, "takeover", &all, |path| {
        plot(path, "Until another holder acts", "per cent of the plays", "milliseconds", &lines)
    })?;
    Ok(())
}

/// What the group does a second, for each number of proxies.
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
            return Err(format!("--proxies: {max} at the most"));
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
        plot(path, "The group's load", "proxies", "a second", &lines)
    })?;
    Ok(())
}

/// How long a version takes until every proxy acts on it.
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
            return Err(format!("--proxies: {max} at the most"));
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
        plot(path, "Until every proxy acts on a version", "proxies", "milliseconds", &lines)
    })?;
    Ok(())
}

/// How long the leader takes to answer each kind of request.
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

/// What the members hold over a long run of renewals.
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

/// A change while a tenth of the proxies is cut off for ten seconds and the leader dies on the way: who acts on
/// what over time, drawn, and what the safe mode cost.
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
        "{proxies} proxies, {cut_off} cut off for 10 s, the leader killed: at most {} ms apart; {:.1} % of the proxies' time \
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
        plot(path, "A change under faults: who acts on what", "seconds", "proxies", &lines)
    })
}

/// Plays schedules of faults on processes of this program.
pub fn run_fault_schedules(schedules: &[Schedule], parallel_fleets: usize) -> CommandResult {
    let program = std::env::current_exe().map_err(|e| format!("this program's file: {e}"))?;
    let plan = |n: u64| {
        let name = format!("notchdoor-faults-{}-{n}", std::process::id());
        Plan::new(&program, std::env::temp_dir().join(name))
    };
    let progress = |n| {
        if n % 10 == 0 {
            eprintln!("{n} of {} played", schedules.len());
        }
    };
    let played = schedule::plays(plan, schedules, parallel_fleets, progress);
    println!(
        "{} schedules on processes: {} handovers, {} actions let in, {} refused by the fence; {} break a property",
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
        "{name:12} n {:>5}  least {:>8.2}  median {:>8.2}  p99 {:>8.2}  most {:>8.2} ms",
        spread.n, spread.min_ms, spread.p50_ms, spread.p99_ms, spread.max_ms
    );
}

fn percentile_points(plays: &[u64]) -> Vec<(f64, f64)> {
    let mut sorted = plays.to_vec();
    sorted.sort_unstable();
    let rank = |n: usize| 100.0 * (n as f64 + 1.0) / plays.len().max(1) as f64;
    sorted.iter().enumerate().map(|(n, us)| (rank(n), *us as f64 / 1e3)).collect()
}

/// Writes the figures and their chart, where a folder is given.
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
