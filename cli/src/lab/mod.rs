//! `notchdoor lab`: simulates a fleet in virtual time. Each sub-command has its own module.

mod compare;
mod faults;
mod list;
mod play;
mod run;
mod search;
mod slow_start;

use crate::{group, pairs, CommandResult, Exit};
use clap::{Args, Subcommand};
use std::path::Path;

#[derive(Subcommand)]
pub enum Command {
    /// Simulate scenarios with several policies and seeds; print a table and write results and charts.
    #[command(after_help = "Examples:
  notchdoor lab run calm --out results/calm
  notchdoor lab run payday flush --seeds 10 --policies notchdoor,rendezvous
  notchdoor lab run calm --set load.share=0.3,0.5,0.7 --set workers.count=20
  notchdoor lab run origin-stop --policy deploy/policy.example.toml --seeds 10
  notchdoor lab run retry-storm --policy FILE --set load.share=0.4,0.5 --set limits.budget.repeats.share=0.1,0.5")]
    Run(run::RunOptions),
    /// Run a scenario on sockets, with simulated servers, real proxy processes and open-loop clients.
    #[command(after_help = "Examples:
  notchdoor lab play origin-stop --out results/sockets
  notchdoor lab run origin-stop --policies notchdoor --out results/virtual
  notchdoor lab compare results/virtual results/sockets --a notchdoor --b sockets")]
    Play(play::PlayOptions),
    /// Simulate random days until a rule is violated or the budget is used up; shrink and save the violations.
    #[command(after_help = "Examples:
  notchdoor lab search --days 2000 --out found
  notchdoor lab search --days 100000 --minutes 10 --first")]
    Search(search::SearchOptions),
    /// Shrink a scenario that violates a rule to a minimal one.
    #[command(
        after_help = "Example:\n  notchdoor lab shrink lab/scenarios/found/drain.toml --out small.toml"
    )]
    Shrink(search::ShrinkOptions),
    /// Compare the load that all proxies send to a warming-up backend with its limit, over random days.
    #[command(after_help = "Examples:
  notchdoor lab slow-start --proxies 4,30,300 --days 2000,2000,200
  notchdoor lab slow-start --proxies 30 --days 50 --policy broken-no-slow-start")]
    SlowStart(slow_start::SlowStartOptions),
    /// Compare two results day by day and report whether they differ by more than noise.
    #[command(after_help = "Examples:
  notchdoor lab compare results/before results/after
  notchdoor lab compare results/calm results/calm --a rendezvous --b notchdoor")]
    Compare(compare::CompareOptions),
    /// Run random fault schedules on the lease group in virtual time; shrink and save the schedules that violate a
    /// property.
    #[command(after_help = "Examples:
  notchdoor lab faults --plays 1000 --out found
  notchdoor lab faults found/record-17.toml
  notchdoor lab faults --plays 50 --processes 8
  notchdoor lab faults --plays 200 --broken no-fence --out found")]
    Faults(faults::FaultsOptions),
    /// Test upgrades between this program and earlier revisions on one lease group: upgrade, roll back half way and
    /// upgrade again, in both directions.
    #[command(after_help = "Examples:
  notchdoor lab pairs
  notchdoor lab pairs --with 7fa3b63
  notchdoor lab pairs --program /path/to/an/earlier/notchdoor")]
    Pairs(pairs::PairsOptions),
    /// Measure the lease group: takeovers, throughput, latency, version changes and long runs.
    #[command(after_help = "Examples:
  notchdoor lab group takeover --plays 50 --out results/takeover
  notchdoor lab group load --proxies 10,30,100,300
  notchdoor lab group soak --minutes 60")]
    Group(group::GroupOptions),
    /// List the built-in scenarios, the policies and the fault kinds.
    List {
        /// Print JSON instead of text.
        #[arg(long)]
        json: bool,
    },
}

/// Execution and output options of the commands that simulate many days.
#[derive(Args)]
pub struct OutputOptions {
    /// Number of threads; 0 for one per core. Does not affect the results.
    #[arg(long, default_value_t = 0)]
    pub threads: usize,
    /// Print JSON instead of tables.
    #[arg(long)]
    pub json: bool,
}

pub fn run(command: &Command) -> CommandResult {
    match command {
        Command::Run(options) => run::run(options),
        Command::Play(options) => play::run(options),
        Command::Search(options) => search::run(options),
        Command::Shrink(options) => search::shrink(options),
        Command::SlowStart(options) => slow_start::run(options),
        Command::Compare(options) => compare::run(options),
        Command::Faults(options) => faults::run(options),
        Command::Pairs(options) => pairs::run(options),
        Command::Group(options) => group::run(options),
        Command::List { json } => {
            list::run(*json);
            Ok(Exit::Success)
        }
    }
}

/// Prints a value as one line of JSON.
fn print_json(value: &impl serde::Serialize) {
    println!("{}", serde_json::to_string(value).expect("results always serialize to JSON"));
}

/// Writes a file; the error names its path.
fn write_file(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: cannot write: {e}", path.display()))
}
