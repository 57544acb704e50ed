//! `notchdoor coord` and `notchdoor lease`: the lease group, its members and its leases.

use crate::{CommandResult, Exit};
use clap::{Args, Subcommand};
use notchdoor_coordination::config;
use notchdoor_coordination::lease::Command as Lock;
use notchdoor_coordination::membership::MemberAddr;
use notchdoor_coordination::protocol::{Answer, LeaseInfo, Request, Status};
use notchdoor_coordination::session::Endpoint;
use notchdoor_coordination::versioned_config::BlockRules;
use notchdoor_proxy::group::{ask, node};
use notchdoor_proxy::lifecycle::config::load_tasks;
use notchdoor_proxy::lifecycle::log::Format;
use notchdoor_settings::bounded_file;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

#[derive(Subcommand)]
pub enum Command {
    /// Run a member of the group, in the foreground.
    #[command(after_help = "Example:
  notchdoor coord run --config m1.toml

A group begins once all members of its file have been started; docs/leases.md has the files.")]
    Run {
        /// The member's file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// How the log is written: text or json.
        #[arg(long, value_name = "FORMAT", default_value = "json")]
        log_format: Format,
        /// The least level that is logged: error, warn, info or debug.
        #[arg(long, value_name = "LEVEL")]
        log_level: Option<String>,
    },
    /// What each member says of itself.
    #[command(
        after_help = "Example:\n  notchdoor coord status --at 127.0.0.1:7201,127.0.0.1:7202,127.0.0.1:7203"
    )]
    Status(Group),
    /// Add a member: it learns first and votes once it has caught up. Start it when this says so.
    #[command(after_help = "Example:
  notchdoor coord add --id 4 --peer 127.0.0.1:7104 --client 127.0.0.1:7204 --at 127.0.0.1:7201 --wait")]
    Add {
        /// Its id, above any that the group has had.
        #[arg(long)]
        id: u64,
        /// Where members talk to it.
        #[arg(long)]
        peer: SocketAddr,
        /// Where proxies and operators ask it.
        #[arg(long)]
        client: SocketAddr,
        /// Wait until it votes.
        #[arg(long)]
        wait: bool,
        #[command(flatten)]
        group: Group,
    },
    /// Remove a member for good; its id is not used again. Stop its process after that.
    #[command(after_help = "Example:\n  notchdoor coord remove --id 2 --at 127.0.0.1:7201,127.0.0.1:7203")]
    Remove {
        /// Its id.
        #[arg(long)]
        id: u64,
        #[command(flatten)]
        group: Group,
    },
}

#[derive(Subcommand)]
pub enum Lease {
    /// All leases in force, as a majority of the group confirms them.
    #[command(after_help = "Example:\n  notchdoor lease list --at 127.0.0.1:7201,127.0.0.1:7202")]
    List(Group),
    /// The lease of one task; exits with 1 if nobody holds it.
    Show {
        /// The task.
        task: String,
        #[command(flatten)]
        group: Group,
    },
    /// Have a task's lease end: its holder stops at its next renewal and others may take it.
    #[command(
        after_help = "The task is free once its holder has given it up, or its TTL has run out: never before,
so that two never act at once."
    )]
    Release {
        /// The task.
        task: String,
        #[command(flatten)]
        group: Group,
    },
}

#[derive(Args)]
pub struct Group {
    /// Where members are asked, as HOST:PORT; several with commas.
    #[arg(long, value_delimiter = ',', value_name = "ADDRESS")]
    at: Vec<SocketAddr>,
    /// A file that names the members, as `serve --coord` takes it. NOTCHDOOR_COORD where neither is given.
    #[arg(long, value_name = "FILE", conflicts_with = "at")]
    coord: Option<String>,
    /// How long to try, in seconds.
    #[arg(long, default_value_t = 10.0, value_name = "SECONDS")]
    within: f64,
    /// Print JSON instead of tables.
    #[arg(long)]
    pub json: bool,
}

impl Group {
    /// What versions may forbid, where a file says so.
    pub fn guard(&self) -> Result<Option<BlockRules>, String> {
        match self.file() {
            Some(file) if self.at.is_empty() => Ok(load_tasks(&file).map_err(|e| e.to_string())?.guard),
            _ => Ok(None),
        }
    }

    fn file(&self) -> Option<String> {
        self.coord.clone().or_else(|| std::env::var("NOTCHDOOR_COORD").ok())
    }

    pub fn doors(&self) -> Result<Vec<Endpoint>, String> {
        if !self.at.is_empty() {
            // Their ids are not known: whoever leads is then found by the group's own book.
            return Ok(self.at.iter().zip(0..).map(|(&at, n)| (u64::MAX - n, at)).collect());
        }
        let file = self.file().ok_or("which group: --at ADDRESS, --coord FILE or NOTCHDOOR_COORD")?;
        Ok(load_tasks(&file).map_err(|e| e.to_string())?.members)
    }

    pub fn limit(&self) -> Result<Duration, String> {
        let limit = Duration::try_from_secs_f64(self.within).map_err(|e| format!("--within: {e}"))?;
        Ok(limit.min(Duration::from_secs(600)))
    }

    pub fn ask(&self, request: Request) -> Result<Answer, String> {
        async_io::block_on(ask::leader(&self.doors()?, &request, self.limit()?))
    }

    fn leases(&self, task: Option<String>) -> Result<Vec<LeaseInfo>, String> {
        match self.ask(Request::List { task })? {
            Answer::Listing(told) => Ok(told),
            other => Err(format!("an answer of another kind: {other:?}")),
        }
    }

    fn print(&self, leases: &[LeaseInfo]) {
        if self.json {
            return println!("{}", serde_json::json!(leases));
        }
        println!("{:32} {:40} {:>12} {:>8} {:>8}", "task", "holder", "token", "ttl ms", "left ms");
        for LeaseInfo { task, grant, left_ms } in leases {
            let left = left_ms.map_or("-".to_owned(), |ms| ms.to_string());
            let note = if grant.revoked { "  to be released" } else { "" };
            println!("{task:32} {:40} {:>12} {:>8} {left:>8}{note}", grant.holder, grant.token, grant.ttl_ms);
        }
    }
}

fn member(path: &Path) -> Result<config::GroupConfig, String> {
    let name = path.display().to_string();
    let text = bounded_file::read_text(path, bounded_file::MAX_AUTHORED_BYTES)
        .map_err(|e| format!("{name}: cannot read: {e}"))?;
    config::parse(&name, &text)
}

pub fn run(command: &Command) -> CommandResult {
    match command {
        Command::Run { config, log_format, log_level } => {
            node::run(member(config)?, *log_format, log_level.as_deref()).map(|()| Exit::Success)
        }
        Command::Status(group) => status(group),
        Command::Add { id, peer, client, wait, group } => {
            let add = Request::Add(MemberAddr { id: *id, peer: *peer, client: *client });
            added(group, *id, &add, *wait)
        }
        Command::Remove { id, group } => {
            changed(group.ask(Request::Remove { id: *id })?).map(|()| Exit::Success)
        }
    }
}

fn changed(answer: Answer) -> Result<(), String> {
    match answer {
        Answer::Changed => Ok(()),
        Answer::Refused(why) => Err(why),
        other => Err(format!("an answer of another kind: {other:?}")),
    }
}

/// Adds a member; waiting for its vote is asking again until the leader says that it votes.
fn added(group: &Group, id: u64, add: &Request, wait: bool) -> CommandResult {
    changed(group.ask(add.clone())?)?;
    if !wait {
        println!("member {id} learns; start it now");
        return Ok(Exit::Success);
    }
    let until = Instant::now() + group.limit()?;
    loop {
        let statuses = statuses(group)?;
        let votes = |s: &Status| s.book.members().get(&id).is_some_and(|m| m.voter);
        if statuses.iter().any(|(_, s)| s.as_ref().is_ok_and(|s| s.role == "leader" && votes(s))) {
            println!("member {id} votes");
            return Ok(Exit::Success);
        }
        if Instant::now() >= until {
            return Err(format!("member {id} does not vote yet: is it started?"));
        }
        std::thread::sleep(Duration::from_millis(200));
    }
}

type Said = (SocketAddr, Result<Status, String>);

fn statuses(group: &Group) -> Result<Vec<Said>, String> {
    let one = |at: SocketAddr| match async_io::block_on(ask::once(at, &Request::Status)) {
        Ok(Answer::Status(status)) => Ok(*status),
        Ok(Answer::Later { .. }) => Err("waits for the other members".to_owned()),
        Ok(other) => Err(format!("an answer of another kind: {other:?}")),
        Err(error) => Err(error.to_string()),
    };
    Ok(group.doors()?.into_iter().map(|(_, at)| (at, one(at))).collect())
}

fn status(group: &Group) -> CommandResult {
    let statuses = statuses(group)?;
    if group.json {
        let told = |(at, s): &Said| match s {
            Ok(status) => serde_json::json!({"at": at, "status": status}),
            Err(why) => serde_json::json!({"at": at, "error": why}),
        };
        println!("{}", serde_json::Value::from_iter(statuses.iter().map(told)));
    } else {
        println!(
            "{:22} {:>4} {:10} {:>6} {:>6} {:>10} {:>7}",
            "at", "id", "role", "leader", "term", "applied", "leases"
        );
        for (at, s) in &statuses {
            match s {
                Ok(s) => println!(
                    "{:22} {:>4} {:10} {:>6} {:>6} {:>10} {:>7}",
                    at.to_string(),
                    s.id,
                    s.role,
                    s.leader,
                    s.term,
                    s.applied,
                    s.grants
                ),
                Err(why) => println!("{:22} {why}", at.to_string()),
            }
        }
    }
    // A group that nobody leads grants nothing.
    let led = statuses.iter().any(|(_, s)| s.as_ref().is_ok_and(|s| s.role == "leader"));
    Ok(if led { Exit::Success } else { Exit::Failure })
}

pub fn lease(command: &Lease) -> CommandResult {
    match command {
        Lease::List(group) => {
            group.print(&group.leases(None)?);
            Ok(Exit::Success)
        }
        Lease::Show { task, group } => {
            let leases = group.leases(Some(task.clone()))?;
            group.print(&leases);
            Ok(if leases.is_empty() { Exit::Failure } else { Exit::Success })
        }
        Lease::Release { task, group } => {
            let Some(held) = group.leases(Some(task.clone()))?.pop() else {
                println!("nobody holds {task}");
                return Ok(Exit::Failure);
            };
            let token = held.grant.token;
            match group.ask(Request::Lease(Lock::Revoke { task: task.clone(), token }))? {
                Answer::Done { .. } => {}
                other => return Err(format!("an answer of another kind: {other:?}")),
            }
            let until = Instant::now() + Duration::from_millis(held.grant.ttl_ms) + group.limit()?;
            while group.leases(Some(task.clone()))?.iter().any(|t| t.grant.token == token) {
                if Instant::now() >= until {
                    return Err(format!("{task}: token {token} is still in force"));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
            println!("{task}: token {token} of {} has ended", held.grant.holder);
            Ok(Exit::Success)
        }
    }
}
