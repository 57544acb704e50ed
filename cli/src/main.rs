//! The `notchdoor` program: parses the command line, runs sub-commands and maps their results to exit codes.

#![forbid(unsafe_code)]

mod check;
mod coord;
mod copies;
mod group;
mod lab;
mod load;
mod pairs;
mod settings;

use clap::{CommandFactory, Parser, Subcommand};
use notchdoor_proxy::lifecycle::log::Format;
use notchdoor_proxy::lifecycle::serve::serve;
use std::process::ExitCode;

/// The exit status of a command that ran without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Exit code 0.
    Success,
    /// Exit code 1: a rule was violated, a comparison was worse or a status check failed.
    Failure,
}

/// The result of a command. Errors (usage, invalid files, failed requests) exit with code 2.
pub type CommandResult = Result<Exit, String>;

const EXIT_CODES_HELP: &str = "Exit codes:
  0  success
  1  a rule was violated, a comparison was worse or a status check failed
  2  usage error, invalid file or failed operation

Without a command, `notchdoor` runs `serve`.";

/// A proxy for cache fleets with one slow origin, with its operations and test tools.
#[derive(Parser)]
#[command(name = "notchdoor", version, after_help = EXIT_CODES_HELP, disable_help_subcommand = true)]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Run the proxy, configured by EDGE_CONFIG, EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY.
    #[command(after_help = "Example:\n  EDGE_CONFIG=config.json notchdoor serve --log-format json")]
    Serve {
        /// Log format: text or json. Defaults to NOTCHDOOR_LOG_FORMAT, then text.
        #[arg(long, value_name = "FORMAT")]
        log_format: Option<Format>,
        /// Minimum log level: error, warn, info or debug. Defaults to NOTCHDOOR_LOG.
        #[arg(long, value_name = "LEVEL")]
        log_level: Option<String>,
        /// Policy file with limits by route and class. Defaults to NOTCHDOOR_POLICY, if set.
        #[arg(long, value_name = "FILE")]
        policy: Option<String>,
        /// File with the members of the lease group and the fleet-wide tasks. Defaults to NOTCHDOOR_COORD, if set.
        #[arg(long, value_name = "FILE")]
        coord: Option<String>,
    },
    /// Run a member of the lease group, show its status, or change its members.
    #[command(subcommand)]
    Coord(coord::Command),
    /// Show the leases of fleet-wide tasks, or revoke one.
    #[command(subcommand)]
    Lease(coord::Lease),
    /// Show the replicas that proxies store for each other, or reset a lost shard.
    #[command(subcommand)]
    Copies(copies::Command),
    /// Show, plan and apply configuration versions that block classes and keys or drain backends.
    #[command(subcommand)]
    Settings(settings::Command),
    /// Validate a file without applying it.
    #[command(subcommand)]
    Check(check::Command),
    /// Simulate a fleet in virtual time and run experiments.
    #[command(subcommand)]
    Lab(lab::Command),
    /// Generate open-loop load on running proxies and record the results.
    Load(Box<load::Load>),
    /// Print a shell completion script.
    #[command(
        after_help = "Example:\n  notchdoor completions bash > ~/.local/share/bash-completion/completions/notchdoor"
    )]
    Completions {
        /// Shell: bash, elvish, fish, powershell or zsh.
        shell: clap_complete::Shell,
    },
}

fn serve_with(
    format: Option<Format>,
    level: Option<String>,
    policy: Option<String>,
    coord: Option<String>,
) -> CommandResult {
    let format = match (format, std::env::var("NOTCHDOOR_LOG_FORMAT")) {
        (Some(format), _) => format,
        (None, Ok(text)) => text.parse().map_err(|e| format!("NOTCHDOOR_LOG_FORMAT: {e}"))?,
        (None, Err(_)) => Format::Text,
    };
    let level = level.or_else(|| std::env::var("NOTCHDOOR_LOG").ok());
    let policy = policy.or_else(|| std::env::var("NOTCHDOOR_POLICY").ok());
    let coord = coord.or_else(|| std::env::var("NOTCHDOOR_COORD").ok());
    serve(format, level.as_deref(), policy, coord).map(|()| Exit::Success).map_err(|e| e.to_string())
}

fn run() -> CommandResult {
    // Starting a proxy without arguments is the common case; skip building the parser.
    if std::env::args_os().len() <= 1 {
        return serve_with(None, None, None, None);
    }
    match CommandLine::parse().command {
        None => serve_with(None, None, None, None),
        Some(Command::Serve { log_format, log_level, policy, coord }) => {
            serve_with(log_format, log_level, policy, coord)
        }
        Some(Command::Coord(command)) => coord::run(&command),
        Some(Command::Lease(command)) => coord::lease(&command),
        Some(Command::Copies(command)) => copies::run(&command),
        Some(Command::Settings(command)) => settings::run(&command),
        Some(Command::Check(command)) => check::run(&command),
        Some(Command::Lab(command)) => lab::run(&command),
        Some(Command::Load(command)) => load::run(&command),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut CommandLine::command(), "notchdoor", &mut std::io::stdout());
            Ok(Exit::Success)
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(Exit::Success) => ExitCode::SUCCESS,
        Ok(Exit::Failure) => ExitCode::from(1),
        Err(message) => {
            for line in message.lines() {
                eprintln!("notchdoor: {line}");
            }
            ExitCode::from(2)
        }
    }
}

#[cfg(test)]
mod tests;
