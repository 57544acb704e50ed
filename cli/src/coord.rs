//! `notchdoor coord` and `notchdoor lease`: runs and administers members of the lease group, and its leases.

use crate::{CommandResult, Exit};
use clap::{Args, Subcommand};
use notchdoor_coordination::config;
use notchdoor_coordination::lease::Command as LeaseCommand;
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
    /// Run a member of the group in the foreground.
    #[command(after_help = "Example:
  notchdoor coord run --config m1.toml

A new group becomes available once all members in its file have started. docs/leases.md describes the files.")]
    Run {
        /// The member's configuration file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Log format: text or json.
        #[arg(long, value_name = "FORMAT", default_value = "json")]
        log_format: Format,
        /// Minimum log level: error, warn, info or debug.
        #[arg(long, value_name = "LEVEL")]
        log_level: Option<String>,
    },
    /// Print the status that each member reports.
    #[command(
        after_help = "Example:\n  notchdoor coord status --at 127.0.0.1:7201,127.0.0.1:7202,127.0.0.1:7203"
    )]
    Status(GroupOptions),
    /// Add a member. It joins as a learner and becomes a voter once it has caught up; start it when prompted.
    #[command(after_help = "Example:
  notchdoor coord add --id 4 --peer 127.0.0.1:7104 --client 127.0.0.1:7204 --at 127.0.0.1:7201 --wait")]
    Add {
        /// Id of the new member; must be higher than any id the group has used.
        #[arg(long)]
        id: u64,
        /// Address for connections from other members.
        #[arg(long)]
        peer: SocketAddr,
        /// Address for requests from proxies and operators.
        #[arg(long)]
        client: SocketAddr,
        /// Wait until the member is a voter.
        #[arg(long)]
        wait: bool,
        #[command(flatten)]
        group: GroupOptions,
    },
    /// Permanently remove a member. Its id cannot be reused; stop its process afterwards.
    #[command(after_help = "Example:\n  notchdoor coord remove --id 2 --at 127.0.0.1:7201,127.0.0.1:7203")]
    Remove {
        /// Id of the member.
        #[arg(long)]
        id: u64,
        #[command(flatten)]
        group: GroupOptions,
    },
}

#[derive(Subcommand)]
pub enum Lease {
    /// List all active leases, as confirmed by a majority of the group.
    #[command(after_help = "Example:\n  notchdoor lease list --at 127.0.0.1:7201,127.0.0.1:7202")]
    List(GroupOptions),
    /// Show the lease of a task; exits with 1 if it has no lease holder.
    Show {
        /// Task name.
        task: String,
        #[command(flatten)]
        group: GroupOptions,
    },
    /// Revoke a task's lease: its holder stops at its next renewal, then other proxies can acquire it.
    #[command(
        after_help = "The task becomes available only after the holder has released the lease or its TTL has expired,
so that two holders never act at the same time."
    )]
    Release {
        /// Task name.
        task: String,
        #[command(flatten)]
        group: GroupOptions,
    },
}

#[derive(Args)]
pub struct GroupOptions {
    /// Addresses of group members, as HOST:PORT, separated by commas.
    #[arg(long = "at", value_delimiter = ',', value_name = "ADDRESS")]
    addresses: Vec<SocketAddr>,
    /// File that lists the members, as for `serve --coord`. Defaults to NOTCHDOOR_COORD if --at is not given either.
    #[arg(long, value_name = "FILE", conflicts_with = "addresses")]
    coord: Option<String>,
    /// Timeout in seconds.
    #[arg(long = "within", default_value_t = 10.0, value_name = "SECONDS")]
    timeout_s: f64,
    /// Print JSON instead of tables.
    #[arg(long)]
    pub json: bool,
}

impl GroupOptions {
    /// Returns the `versions.guard` rules of the coordination file; `None` with `--at` or without a file.
    pub fn block_guard(&self) -> Result<Option<BlockRules>, String> {
        match self.coord_file() {
            Some(file) if self.addresses.is_empty() => {
                Ok(load_tasks(&file).map_err(|e| e.to_string())?.guard)
            }
            _ => Ok(None),
        }
    }

    fn coord_file(&self) -> Option<String> {
        self.coord.clone().or_else(|| std::env::var("NOTCHDOOR_COORD").ok())
    }

    pub fn member_endpoints(&self) -> Result<Vec<Endpoint>, String> {
        if !self.addresses.is_empty() {
            // Member ids are unknown here. Placeholder ids at the top of the range match no real member, so the leader
            // is looked up in the group's own membership.
            return Ok(self.addresses.iter().zip(0..).map(|(&at, n)| (u64::MAX - n, at)).collect());
        }
        let file = self
            .coord_file()
            .ok_or("no group specified: use --at ADDRESS, --coord FILE or NOTCHDOOR_COORD")?;
        Ok(load_tasks(&file).map_err(|e| e.to_string())?.members)
    }

    pub fn timeout(&self) -> Result<Duration, String> {
        let timeout = Duration::try_from_secs_f64(self.timeout_s).map_err(|e| format!("--within: {e}"))?;
        Ok(timeout.min(Duration::from_secs(600)))
    }

    pub fn send_request(&self, request: Request) -> Result<Answer, String> {
        async_io::block_on(ask::leader(&self.member_endpoints()?, &request, self.timeout()?))
    }

    fn list_leases(&self, task: Option<String>) -> Result<Vec<LeaseInfo>, String> {
        match self.send_request(Request::List { task })? {
            Answer::Listing(leases) => Ok(leases),
            unexpected => Err(format!("unexpected response: {unexpected:?}")),
        }
    }

    fn print_leases(&self, leases: &[LeaseInfo]) {
        if self.json {
            return println!("{}", serde_json::json!(leases));
        }
        println!("{:32} {:40} {:>12} {:>8} {:>8}", "task", "holder", "token", "ttl ms", "left ms");
        for LeaseInfo { task, grant, left_ms } in leases {
            let left = left_ms.map_or("-".to_owned(), |ms| ms.to_string());
            let note = if grant.revoked { "  revoked" } else { "" };
            println!("{task:32} {:40} {:>12} {:>8} {left:>8}{note}", grant.holder, grant.token, grant.ttl_ms);
        }
    }
}

fn read_member_config(path: &Path) -> Result<config::GroupConfig, String> {
    let name = path.display().to_string();
    let text = bounded_file::read_text(path, bounded_file::MAX_AUTHORED_BYTES)
        .map_err(|e| format!("{name}: cannot read: {e}"))?;
    config::parse(&name, &text)
}

pub fn run(command: &Command) -> CommandResult {
    match command {
        Command::Run { config, log_format, log_level } => {
            node::run(read_member_config(config)?, *log_format, log_level.as_deref()).map(|()| Exit::Success)
        }
        Command::Status(group) => status(group),
        Command::Add { id, peer, client, wait, group } => {
            let add = Request::Add(MemberAddr { id: *id, peer: *peer, client: *client });
            add_member(group, *id, &add, *wait)
        }
        Command::Remove { id, group } => {
            expect_changed(group.send_request(Request::Remove { id: *id })?).map(|()| Exit::Success)
        }
    }
}

fn expect_changed(answer: Answer) -> Result<(), String> {
    match answer {
        Answer::Changed => Ok(()),
        Answer::Refused(reason) => Err(reason),
        unexpected => Err(format!("unexpected response: {unexpected:?}")),
    }
}

/// Adds a member. With `wait`, polls until the leader reports it as a voter.
fn add_member(group: &GroupOptions, id: u64, add: &Request, wait: bool) -> CommandResult {
    expect_changed(group.send_request(add.clone())?)?;
    if !wait {
        println!("member {id} was added as a learner; start it now");
        return Ok(Exit::Success);
    }
    let deadline = Instant::now() + group.timeout()?;
    loop {
        let statuses = statuses(group)?;
        let votes = |s: &Status| s.book.members().get(&id).is_some_and(|m| m.voter);
        if statuses.iter().any(|(_, s)| s.as_ref().is_ok_and(|s| s.role == "leader" && votes(s))) {
            println!("member {id} is a voter");
            return Ok(Exit::Success);
        }
        if Instant::now() >= deadline {
            return Err(format!("member {id} is not a voter yet; check that it is running"));
        }
        std::thread::sleep(Duration::from_millis(200));
    }
}

type MemberStatus = (SocketAddr, Result<Status, String>);

fn statuses(group: &GroupOptions) -> Result<Vec<MemberStatus>, String> {
    let query = |at: SocketAddr| match async_io::block_on(ask::once(at, &Request::Status)) {
        Ok(Answer::Status(status)) => Ok(*status),
        Ok(Answer::Later { .. }) => Err("waiting for the other members".to_owned()),
        Ok(unexpected) => Err(format!("unexpected response: {unexpected:?}")),
        Err(error) => Err(error.to_string()),
    };
    Ok(group.member_endpoints()?.into_iter().map(|(_, at)| (at, query(at))).collect())
}

fn status(group: &GroupOptions) -> CommandResult {
    let statuses = statuses(group)?;
    if group.json {
        let to_json = |(at, s): &MemberStatus| match s {
            Ok(status) => serde_json::json!({"at": at, "status": status}),
            Err(reason) => serde_json::json!({"at": at, "error": reason}),
        };
        println!("{}", serde_json::Value::from_iter(statuses.iter().map(to_json)));
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
                Err(reason) => println!("{:22} {reason}", at.to_string()),
            }
        }
    }
    // Without a leader the group cannot grant leases.
    let has_leader = statuses.iter().any(|(_, s)| s.as_ref().is_ok_and(|s| s.role == "leader"));
    Ok(if has_leader { Exit::Success } else { Exit::Failure })
}

pub fn lease(command: &Lease) -> CommandResult {
    match command {
        Lease::List(group) => {
            group.print_leases(&group.list_leases(None)?);
            Ok(Exit::Success)
        }
        Lease::Show { task, group } => {
            let leases = group.list_leases(Some(task.clone()))?;
            group.print_leases(&leases);
            Ok(if leases.is_empty() { Exit::Failure } else { Exit::Success })
        }
        Lease::Release { task, group } => {
            let Some(lease) = group.list_leases(Some(task.clone()))?.pop() else {
                println!("{task} has no lease holder");
                return Ok(Exit::Failure);
            };
            let token = lease.grant.token;
            match group.send_request(Request::Lease(LeaseCommand::Revoke { task: task.clone(), token }))? {
                Answer::Done { .. } => {}
                unexpected => return Err(format!("unexpected response: {unexpected:?}")),
            }
            let deadline = Instant::now() + Duration::from_millis(lease.grant.ttl_ms) + group.timeout()?;
            while group.list_leases(Some(task.clone()))?.iter().any(|l| l.grant.token == token) {
                if Instant::now() >= deadline {
                    return Err(format!("{task}: lease with token {token} is still active"));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
            println!("{task}: lease with token {token} held by {} has ended", lease.grant.holder);
            Ok(Exit::Success)
        }
    }
}
