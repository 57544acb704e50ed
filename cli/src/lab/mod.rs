//! `notchdoor lab`: days of a whole fleet in virtual time, a module a sub-command.

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
    /// Play a scenario with several policies on several seeds; print a table, leave results and charts.
    #[command(after_help = "Examples:
  notchdoor lab run calm --out results/calm
  notchdoor lab run payday flush --seeds 10 --policies notchdoor,rendezvous
  notchdoor lab run calm --set load.share=0.3,0.5,0.7 --set workers.count=20
  notchdoor lab run origin-stop --policy deploy/policy.example.toml --seeds 10
  notchdoor lab run retry-storm --policy FILE --set load.share=0.4,0.5 --set limits.budget.repeats.share=0.1,0.5")]
    Run(run::RunOptions),
    /// Play a day on sockets: the model's machines, real proxies as processes, open-loop clients.
    #[command(after_help = "Examples:
  notchdoor lab play origin-stop --out results/sockets
  notchdoor lab run origin-stop --policies notchdoor --out results/virtual
  notchdoor lab compare results/virtual results/sockets --a notchdoor --b sockets")]
    Play(play::PlayOptions),
    /// Play random days until a rule is broken or the budget ends; what is found is shrunk and written down.
    #[command(after_help = "Examples:
  notchdoor lab search --days 2000 --out found
  notchdoor lab search --days 100000 --minutes 10 --first")]
    Search(search::SearchOptions),
    /// Make a day on which a rule is broken as small as it can be.
    #[command(
        after_help = "Example:\n  notchdoor lab shrink lab/scenarios/found/drain.toml --out small.toml"
    )]
    Shrink(search::ShrinkOptions),
    /// Measure what all proxies together send a backend that warms up, beside the limit, over random days.
    #[command(after_help = "Examples:
  notchdoor lab slow-start --proxies 4,30,300 --days 2000,2000,200
  notchdoor lab slow-start --proxies 30 --days 50 --policy broken-no-slow-start")]
    SlowStart(slow_start::SlowStartOptions),
    /// Compare two results day by day, and say whether they differ by more than noise.
    #[command(after_help = "Examples:
  notchdoor lab compare results/before results/after
  notchdoor lab compare results/calm results/calm --a rendezvous --b notchdoor")]
    Compare(compare::CompareOptions),
    /// Play random faults on the lease group in virtual time, until a property is broken; what is found is shrunk and
    /// written down.
    #[command(after_help = "Examples:
  notchdoor lab faults --plays 1000 --out found
  notchdoor lab faults found/record-17.toml
  notchdoor lab faults --plays 50 --processes 8
  notchdoor lab faults --plays 200 --broken no-fence --out found")]
    Faults(faults::FaultsOptions),
    /// Play this program and earlier revisions of it against each other on one lease group: an upgrade, rolled back half
    /// way and made again, both ways.
    #[command(after_help = "Examples:
  notchdoor lab pairs
  notchdoor lab pairs --with 7fa3b63
  notchdoor lab pairs --program /path/to/an/earlier/notchdoor")]
    Pairs(pairs::PairsOptions),
    /// Measure the lease group on processes: takeovers, load, latency, a long run.
    #[command(after_help = "Examples:
  notchdoor lab group takeover --plays 50 --out results/takeover
  notchdoor lab group load --proxies 10,30,100,300
  notchdoor lab group soak --minutes 60")]
    Group(group::GroupOptions),
    /// List the built-in scenarios, the policies and the kinds of fault.
    List {
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
}

/// How a command that plays many days runs and prints.
#[derive(Args)]
pub struct OutputOptions {
    /// Threads; as many as there are cores for 0. The results are the same for any number.
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
    println!("{}", serde_json::to_string(value).expect("results can always be written"));
}

/// Writes a whole file.
fn write_file(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: cannot write: {e}", path.display()))
}
