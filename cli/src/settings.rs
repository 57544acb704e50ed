//! `notchdoor settings`: shows, plans and applies configuration versions, and reports the version of each proxy.

use crate::coord::GroupOptions;
use crate::{CommandResult, Exit};
use clap::Subcommand;
use notchdoor_coordination::config::parse_rules;
use notchdoor_coordination::protocol::{Answer, Request};
use notchdoor_coordination::versioned_config::{BlockRules, ProposalOutcome, VersionedConfig};
use notchdoor_proxy::wire::http::{Decoder, Part};
use notchdoor_settings::bounded_file;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

#[derive(Subcommand)]
pub enum Command {
    /// Show the active and the pending version.
    #[command(after_help = "Example:\n  notchdoor settings show --at 127.0.0.1:7201,127.0.0.1:7202")]
    Show(GroupOptions),
    /// Show what a file would change compared to the newest version, without proposing it.
    #[command(after_help = "Example:\n  notchdoor settings plan rules.toml --coord coord.toml")]
    Plan {
        /// Rules file: [block] with `classes` and `keys`, [workers] with `out`.
        file: PathBuf,
        #[command(flatten)]
        group: GroupOptions,
    },
    /// Propose a file as the next version; exits with 1 if there is a newer or a pending version.
    #[command(
        after_help = "Example:\n  notchdoor settings apply rules.toml --coord coord.toml --base 7 --wait"
    )]
    Apply {
        /// Rules file.
        file: PathBuf,
        /// Version that the file is based on, as printed by `plan`; defaults to the newest version.
        #[arg(long)]
        base: Option<u64>,
        /// Wait until the version is in force.
        #[arg(long)]
        wait: bool,
        #[command(flatten)]
        group: GroupOptions,
    },
    /// Show the version that each proxy acts on, since when, and until when it is confirmed.
    #[command(after_help = "Example:\n  notchdoor settings status 127.0.0.1:9001 127.0.0.1:9002 --json")]
    Status {
        /// Admin addresses of the proxies.
        #[arg(required = true)]
        proxies: Vec<SocketAddr>,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
}

fn fetch_versions(group: &GroupOptions) -> Result<VersionedConfig, String> {
    match group.send_request(Request::Versions)? {
        Answer::Versions(versions) => Ok(versions),
        unexpected => Err(format!("unexpected response: {unexpected:?}")),
    }
}

fn read_rules(path: &Path, group: &GroupOptions) -> Result<BlockRules, String> {
    let name = path.display().to_string();
    let text = bounded_file::read_text(path, bounded_file::MAX_AUTHORED_BYTES)
        .map_err(|e| format!("{name}: cannot read: {e}"))?;
    parse_rules(&name, &text, group.block_guard()?.as_ref())
}

pub fn run(command: &Command) -> CommandResult {
    match command {
        Command::Show(group) => {
            let versions = fetch_versions(group)?;
            if group.json {
                println!("{}", serde_json::json!({"current": versions.current(), "next": versions.next()}));
            } else {
                let current = versions.current();
                println!("version {} is in force", current.number);
                BlockRules::default().changes_to(&current.rules).iter().for_each(|line| println!("  {line}"));
                if let Some(next) = versions.next() {
                    println!("version {} is pending", next.number);
                    current.rules.changes_to(&next.rules).iter().for_each(|line| println!("  {line}"));
                }
            }
            Ok(Exit::Success)
        }
        Command::Plan { file, group } => {
            let rules = read_rules(file, group)?;
            let versions = fetch_versions(group)?;
            let newest = versions.newest();
            let changes = newest.rules.changes_to(&rules);
            if group.json {
                println!("{}", serde_json::json!({"base": newest.number, "changes": changes}));
            } else if changes.is_empty() {
                println!("no changes: version {} has the same rules", newest.number);
            } else {
                println!("changes to version {}:", newest.number);
                changes.iter().for_each(|line| println!("  {line}"));
                println!("apply it with --base {}", newest.number);
            }
            Ok(Exit::Success)
        }
        Command::Apply { file, base, wait, group } => apply(file, *base, *wait, group),
        Command::Status { proxies, json } => status(proxies, *json),
    }
}

fn apply(file: &Path, base: Option<u64>, wait: bool, group: &GroupOptions) -> CommandResult {
    let rules = read_rules(file, group)?;
    let base = match base {
        Some(base) => base,
        None => fetch_versions(group)?.newest().number,
    };
    let report = |text: String, proposed: &ProposalOutcome| match group.json {
        true => println!("{}", serde_json::json!(proposed)),
        false => println!("{text}"),
    };
    let proposed = match group.send_request(Request::Propose { base, rules })? {
        Answer::Proposed(proposed) => proposed,
        Answer::Refused(reason) => return Err(format!("{}: {reason}", file.display())),
        unexpected => return Err(format!("unexpected response: {unexpected:?}")),
    };
    match &proposed {
        ProposalOutcome::Pending { number } => {
            if wait {
                let deadline = Instant::now() + group.timeout()?;
                while fetch_versions(group)?.current().number < *number {
                    if Instant::now() >= deadline {
                        return Err(format!("version {number} is still pending"));
                    }
                    std::thread::sleep(Duration::from_millis(50));
                }
                report(format!("version {number} is in force"), &proposed);
            } else {
                report(format!("version {number} is pending"), &proposed);
            }
            Ok(Exit::Success)
        }
        ProposalOutcome::Unchanged { number } => {
            report(format!("no changes: version {number} has the same rules"), &proposed);
            Ok(Exit::Success)
        }
        ProposalOutcome::Stale { newest } => {
            report(format!("version {base} is outdated: version {newest} is newer; plan again"), &proposed);
            Ok(Exit::Failure)
        }
        ProposalOutcome::Busy { pending } => {
            report(format!("version {pending} is still pending: apply again once it is in force"), &proposed);
            Ok(Exit::Failure)
        }
        ProposalOutcome::Invalid(reason) => Err(format!("{}: {reason}", file.display())),
    }
}

/// Fetches the `versions` metrics of a proxy from its admin address; null if it takes no part in versions.
fn fetch_version_status(at: SocketAddr) -> Result<serde_json::Value, String> {
    let to_message = |e: std::io::Error| e.to_string();
    let timeout = Duration::from_secs(2);
    let mut stream = TcpStream::connect_timeout(&at, timeout).map_err(to_message)?;
    stream.set_read_timeout(Some(timeout)).map_err(to_message)?;
    write!(stream, "GET /_vars HTTP/1.1\r\nHost: {at}\r\n\r\n").map_err(to_message)?;
    let (mut decoder, mut body, mut buffer) = (Decoder::default(), Vec::new(), [0; 4096]);
    loop {
        let n = stream.read(&mut buffer).map_err(to_message)?;
        let parts = match n {
            0 => decoder.closed().into_iter().collect(),
            n => decoder.feed(&buffer[..n]).map_err(|_| "invalid HTTP response".to_owned())?,
        };
        for part in parts {
            match part {
                Part::Data(data) => body.extend_from_slice(&data),
                Part::End { .. } => {
                    let json: serde_json::Value = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
                    return Ok(json["versions"].clone());
                }
                Part::Head { .. } => {}
            }
        }
        if n == 0 {
            return Err("HTTP response truncated".to_owned());
        }
    }
}

fn status(proxies: &[SocketAddr], json: bool) -> CommandResult {
    let statuses: Vec<_> = proxies.iter().map(|at| (at, fetch_version_status(*at))).collect();
    if json {
        let to_json = |(at, status): &(&SocketAddr, Result<serde_json::Value, String>)| match status {
            Ok(figures) => serde_json::json!({"at": at, "versions": figures}),
            Err(reason) => serde_json::json!({"at": at, "error": reason}),
        };
        println!("{}", serde_json::Value::from_iter(statuses.iter().map(to_json)));
    } else {
        println!("{:22} {:>9} {:>14} {:>14} {:>8}", "proxy", "version", "since ms", "until ms", "refused");
        for (at, status) in &statuses {
            match status {
                Ok(serde_json::Value::Null) => println!("{:22} versions not enabled", at.to_string()),
                Ok(figures) => {
                    let version =
                        figures["version"].as_u64().map_or("safe mode".to_owned(), |n| n.to_string());
                    let (since, until, refused) =
                        (&figures["since_ms"], &figures["until_ms"], &figures["refused"]);
                    println!("{:22} {version:>9} {since:>14} {until:>14} {refused:>8}", at.to_string());
                }
                Err(reason) => println!("{:22} {reason}", at.to_string()),
            }
        }
    }
    Ok(if statuses.iter().all(|(_, status)| status.is_ok()) { Exit::Success } else { Exit::Failure })
}
