//! A fleet: members of a lease group and proxies as processes, every link between them a relay, and
//! the stand-in that the proxies act on.

use super::links::{Flow, Link, Links};
use super::process::Process;
use super::resource::{Manner, Resource};
use notchdoor_coordination::check::{check, Action, Checked, Period};
use notchdoor_coordination::membership::MemberAddr;
use notchdoor_coordination::protocol::{Answer, Request, Status};
use notchdoor_coordination::session::Endpoint;
use notchdoor_proxy::group::ask;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// For files, logs and disks; removed in the end unless it is kept.
    pub folder: PathBuf,
    /// Members of the group at the start.
    pub members: u64,
    /// Proxies.
    pub proxies: usize,
    /// Tasks that all proxies want.
    pub tasks: Vec<String>,
    /// Their TTL.
    pub ttl_ms: u64,
    /// How often a holder acts.
    pub every_ms: u64,
    /// A member's tick; ten make an election.
    pub tick_ms: u64,
    /// The stand-in's manner.
    pub manner: Manner,
    /// The bound on versions, where proxies act on them, and the classes in the guard.
    pub within_ms: Option<u64>,
    /// See `within_ms`.
    pub guard: Vec<String>,
}

impl Plan {
    /// Three members, three proxies and one task, quick to fail over.
    pub fn new(program: impl Into<PathBuf>, folder: impl Into<PathBuf>) -> Plan {
        Plan {
            program: program.into(),
            folder: folder.into(),
            members: 3,
            proxies: 3,
            tasks: vec!["warm".to_owned()],
            ttl_ms: 1_500,
            every_ms: 25,
            tick_ms: 50,
            manner: Manner { work: Duration::from_millis(2), fenced: true },
            within_ms: None,
            guard: vec!["read".to_owned()],
        }
    }
}

impl Plan {
    /// The section on versions of members' and proxies' files.
    fn versions(&self) -> String {
        let Some(within) = self.within_ms else { return String::new() };
        format!("\n[versions]\nwithin_ms = {within}\n\n[versions.guard]\nclasses = {:?}\n", self.guard)
    }
}

/// A fleet that runs. All of it ends when this is dropped.
pub struct Fleet {
    plan: Plan,
    /// The members by id.
    pub members: BTreeMap<u64, Process>,
    /// The proxies, by their number from 0.
    pub proxies: Vec<Process>,
    at: BTreeMap<u64, MemberAddr>,
    /// Links of a member to another.
    peers: BTreeMap<(u64, u64), Link>,
    /// Links of a proxy to a member.
    doors: BTreeMap<(usize, u64), Link>,
    /// Links of a proxy to the stand-in.
    acts: Vec<Link>,
    /// Where operators call the proxies.
    pub admin: Vec<SocketAddr>,
    /// What is acted on.
    pub resource: Resource,
    links: Links,
    /// Whether the folder stays.
    pub keep: bool,
}

/// An address of this process's own and a port below those that the system hands out: one that is
/// asked for and given back could be taken by somebody else's connection.
pub fn address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(10_000);
    let [.., a, b] = std::process::id().to_be_bytes();
    let mut port = NEXT.fetch_add(1, Ordering::Relaxed);
    if port > 30_000 {
        port = 10_000 + port % 20_000;
    }
    SocketAddr::from(([127, 78, a, b.clamp(1, 254)], port))
}

fn other(e: impl std::fmt::Display) -> io::Error {
    io::Error::other(e.to_string())
}

impl Fleet {
    /// Starts members, then proxies.
    pub fn start(plan: Plan) -> io::Result<Fleet> {
        let mut fleet = Fleet::new(plan)?;
        for id in 1..=fleet.plan.members {
            fleet.start_member(id)?;
        }
        for proxy in 0..fleet.plan.proxies {
            fleet.start_proxy(proxy)?;
        }
        Ok(fleet)
    }

    /// A fleet whose processes are not started yet.
    pub fn new(plan: Plan) -> io::Result<Fleet> {
        std::fs::create_dir_all(&plan.folder)?;
        let links = Links::start();
        let resource = Resource::start(&links, plan.manner)?;
        let mut fleet = Fleet {
            members: BTreeMap::new(),
            proxies: Vec::new(),
            at: BTreeMap::new(),
            peers: BTreeMap::new(),
            doors: BTreeMap::new(),
            acts: Vec::new(),
            admin: Vec::new(),
            resource,
            links,
            keep: false,
            plan,
        };
        let founders: Vec<u64> = (1..=fleet.plan.members).collect();
        for &id in &founders {
            fleet.at.insert(id, MemberAddr { id, peer: address(), client: address() });
        }
        for &id in &founders {
            fleet.make_member(id, &founders)?;
        }
        for proxy in 0..fleet.plan.proxies {
            fleet.make_proxy(proxy)?;
        }
        Ok(fleet)
    }

    /// Where a member is; its links lead there.
    pub fn at(&self, id: u64) -> MemberAddr {
        self.at[&id]
    }

    /// The members as a proxy's file names them, each by its own address.
    pub fn members_file(&self) -> String {
        let line = |(id, at): &Endpoint| format!("[[member]]\nid = {id}\nclient = \"{at}\"\n");
        self.operators().iter().map(line).collect()
    }

    /// The highest id that a member was made with.
    pub fn highest(&self) -> u64 {
        self.at.keys().next_back().copied().unwrap_or(0)
    }

    /// Whom operators ask.
    pub fn operators(&self) -> Vec<Endpoint> {
        self.members.keys().map(|id| (*id, self.at[id].client)).collect()
    }

    fn make_member(&mut self, id: u64, known: &[u64]) -> io::Result<()> {
        let data = self.data(id);
        let Plan { tick_ms, ttl_ms, .. } = self.plan;
        let mut text = format!(
            "[group]\nid = {id}\ndata = {data:?}\n\n[timing]\ntick_ms = {tick_ms}\n\n[lease]\nmax_ttl_ms = {}\n",
            (2 * ttl_ms).max(60_000)
        ) + &self.plan.versions();
        for &to in known {
            let at = self.at[&to];
            let peer = if to == id { at.peer } else { self.peer(id, to)?.address() };
            let _ = write!(text, "\n[[member]]\nid = {to}\npeer = \"{peer}\"\nclient = \"{}\"\n", at.client);
        }
        let file = self.plan.folder.join(format!("m{id}.toml"));
        std::fs::write(&file, text)?;
        let start = move |program: &Path| {
            let mut command = Command::new(program);
            command.args(["coord", "run", "--config"]).arg(&file);
            command
        };
        let Plan { folder, program, .. } = &self.plan;
        let process = Process::new(&format!("m{id}"), folder, program, Box::new(start));
        self.members.insert(id, process);
        Ok(())
    }

    /// Makes a further member, which knows of these; it is neither added to the group nor started.
    pub fn new_member(&mut self, id: u64, known: &[u64]) -> io::Result<MemberAddr> {
        let at = MemberAddr { id, peer: address(), client: address() };
        self.at.insert(id, at);
        let all: Vec<u64> = known.iter().copied().chain([id]).collect();
        self.make_member(id, &all)?;
        Ok(at)
    }

    fn make_proxy(&mut self, proxy: usize) -> io::Result<()> {
        let mut text = String::new();
        let ids: Vec<u64> = self.at.keys().copied().collect();
        for id in ids {
            let link = self.links.link(self.at[&id].client)?;
            let _ = write!(text, "[[member]]\nid = {id}\nclient = \"{}\"\n\n", link.address());
            self.doors.insert((proxy, id), link);
        }
        let act = self.links.link(self.resource.address())?;
        for task in &self.plan.tasks {
            let (ttl, every, call) = (self.plan.ttl_ms, self.plan.every_ms, act.address());
            let _ = write!(
                text,
                "[[task]]\nname = {task:?}\nttl_ms = {ttl}\nevery_ms = {every}\ncall = \"{call}\"\n\n"
            );
        }
        self.acts.push(act);
        text += &self.plan.versions();
        let folder = self.plan.folder.join(format!("p{proxy}"));
        std::fs::create_dir_all(&folder)?;
        let (file, config) = (folder.join("coord.toml"), folder.join("config.json"));
        std::fs::write(&file, text)?;
        std::fs::write(&config, proxy_config(&format!("p{proxy}")))?;
        let admin = address();
        self.admin.push(admin);
        let start = move |program: &Path| {
            let mut command = Command::new(program);
            command.args(["serve", "--log-format", "json", "--log-level", "debug", "--coord"]).arg(&file);
            command.env("EDGE_CONFIG", &config).env("TMPDIR", &folder);
            command.env("EDGE_ADMIN_ADDR", admin.to_string());
            command
        };
        let Plan { folder, program, .. } = &self.plan;
        self.proxies.push(Process::new(&format!("p{proxy}"), folder, program, Box::new(start)));
        Ok(())
    }

    fn data(&self, id: u64) -> PathBuf {
        self.plan.folder.join(format!("m{id}"))
    }

    /// The link by which one member talks to another.
    pub fn peer(&mut self, from: u64, to: u64) -> io::Result<Link> {
        if let Some(link) = self.peers.get(&(from, to)) {
            return Ok(link.clone());
        }
        let link = self.links.link(self.at[&to].peer)?;
        self.peers.insert((from, to), link.clone());
        Ok(link)
    }

    /// The link of a proxy to the stand-in.
    pub fn act(&self, proxy: usize) -> &Link {
        &self.acts[proxy]
    }

    /// The link of a proxy to a member.
    pub fn door(&self, proxy: usize, member: u64) -> &Link {
        &self.doors[&(proxy, member)]
    }

    /// Starts a member, or starts it again with its disk.
    pub fn start_member(&mut self, id: u64) -> io::Result<()> {
        self.members.get_mut(&id).map_or(Ok(()), Process::start)
    }

    /// Starts a proxy, or starts it again.
    pub fn start_proxy(&mut self, proxy: usize) -> io::Result<()> {
        self.proxies.get_mut(proxy).map_or(Ok(()), Process::start)
    }

    /// Empties a member's disk. It has to be down.
    pub fn empty(&self, id: u64) -> io::Result<()> {
        std::fs::remove_dir_all(self.data(id))
    }

    /// Bytes of a member's folder on disk.
    pub fn disk_bytes(&self, id: u64) -> u64 {
        let files = std::fs::read_dir(self.data(id)).into_iter().flatten().flatten();
        files.filter_map(|f| f.metadata().ok()).map(|m| m.len()).sum()
    }

    /// Sets what a member says to the others and what they say to it.
    pub fn around(&self, id: u64, out: Flow, into: Flow) {
        for ((from, to), link) in &self.peers {
            if *from == id {
                link.set_both(out);
            } else if *to == id {
                link.set_both(into);
            }
        }
    }

    /// Sets all of a proxy's links to the group.
    pub fn doors_of(&self, proxy: usize, flow: Flow) {
        self.doors.iter().filter(|((p, _), _)| *p == proxy).for_each(|(_, link)| link.set_both(flow));
    }

    /// Sets all of a member's links to proxies.
    pub fn doors_to(&self, id: u64, flow: Flow) {
        self.doors.iter().filter(|((_, m), _)| *m == id).for_each(|(_, link)| link.set_both(flow));
    }

    /// Opens every link.
    pub fn heal(&self) {
        let links = self.peers.values().chain(self.doors.values()).chain(&self.acts);
        links.for_each(|link| link.set_both(Flow::Open));
    }

    /// What a member says of itself, if it says anything.
    pub fn status(&self, id: u64) -> Option<Status> {
        match async_io::block_on(ask::once(self.at.get(&id)?.client, &Request::Status)) {
            Ok(Answer::Status(status)) => Some(*status),
            _ => None,
        }
    }

    /// Asks the group as an operator would.
    pub fn ask(&self, request: &Request, limit: Duration) -> io::Result<Answer> {
        async_io::block_on(ask::leader(&self.operators(), request, limit)).map_err(other)
    }

    /// Waits until something is so, or fails after a time with what was waited for.
    pub fn until<T>(
        &mut self,
        what: &str,
        limit: Duration,
        mut found: impl FnMut(&mut Fleet) -> Option<T>,
    ) -> io::Result<T> {
        let end = Instant::now() + limit;
        loop {
            if let Some(found) = found(self) {
                return Ok(found);
            }
            if Instant::now() >= end {
                self.keep = true;
                return Err(other(format!(
                    "{what}: not within {limit:?}; the logs are in {}",
                    self.plan.folder.display()
                )));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits for a leader other than `not` that leads in the highest term seen.
    pub fn leader(&mut self, not: Option<u64>, limit: Duration) -> io::Result<u64> {
        self.until("a leader", limit, |fleet| {
            let ids: Vec<u64> = fleet.members.keys().copied().collect();
            let up: Vec<u64> = ids
                .into_iter()
                .filter(|id| fleet.members.get_mut(id).is_some_and(|m| m.runs() && !m.is_paused()))
                .collect();
            let told: Vec<Status> = up.into_iter().filter_map(|id| fleet.status(id)).collect();
            let leads = told.iter().filter(|s| s.role == "leader" && Some(s.id) != not);
            leads.max_by_key(|s| s.term).map(|s| s.id)
        })
    }

    /// Waits for an admitted action on a task, after this place of the record, by a holder that is
    /// wanted; the proxy's number and the action.
    pub fn acts(
        &mut self,
        task: &str,
        after: usize,
        limit: Duration,
        wanted: impl Fn(usize) -> bool,
    ) -> io::Result<(usize, Action)> {
        let mut place = after;
        self.until(&format!("an action on {task}"), limit, |fleet| {
            let news = fleet.resource.since(place);
            place += news.len();
            news.into_iter().filter(|a| a.admitted && a.task == task).find_map(|action| {
                let proxy = proxy_of(&action.holder)?;
                wanted(proxy).then_some((proxy, action))
            })
        })
    }

    /// How many actions there are so far.
    pub fn place(&self) -> usize {
        self.resource.record().len()
    }

    /// Checks the record so far; the logs stay where it does not hold.
    pub fn check(&mut self) -> Result<Checked, String> {
        let checked = check(&self.resource.record());
        self.keep |= checked.is_err();
        checked
    }

    /// What each proxy has acted on and when, from their logs.
    pub fn periods(&self) -> Vec<Vec<Period>> {
        let of = |process: &Process| {
            let mut periods: Vec<Period> = Vec::new();
            for line in process.log().lines() {
                let Ok(json) = serde_json::from_str::<serde_json::Value>(line) else { continue };
                if json["event"] != "acts" && json["event"] != "confirmed" {
                    continue;
                }
                let (Some(ts), Some(left)) = (json["ts"].as_f64(), json["left_ms"].as_u64()) else {
                    continue;
                };
                let (from, version) = ((ts * 1e3) as u64, json["version"].as_u64());
                // The next word ends the one before; without one it ends by itself.
                if let Some(last) = periods.last_mut() {
                    last.until = last.until.min(from);
                }
                if let Some(version) = version {
                    periods.push(Period { version, from, until: from + left });
                }
            }
            periods
        };
        self.proxies.iter().map(of).collect()
    }

    /// Checks the record so far and forgets what is checked.
    pub fn check_and_forget(&mut self) -> Result<Checked, String> {
        let checked = self.check()?;
        self.resource.forget();
        Ok(checked)
    }

    /// Tasks of the plan.
    pub fn tasks(&self) -> usize {
        self.plan.tasks.len()
    }

    /// The name of a task.
    pub fn task(&self, n: usize) -> String {
        self.plan.tasks[n].clone()
    }

    /// What all members say of themselves.
    pub fn statuses(&self) -> Vec<Status> {
        self.members.keys().filter_map(|id| self.status(*id)).collect()
    }

    /// Where logs and disks are.
    pub fn folder(&self) -> &Path {
        &self.plan.folder
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.proxies.clear();
        self.members.clear();
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.plan.folder);
        }
    }
}

/// The proxy that a holder is a start of.
pub fn proxy_of(holder: &str) -> Option<usize> {
    holder.strip_prefix('p')?.split(':').next()?.parse().ok()
}

/// A proxy's configuration: it serves nobody here, and its registry is not there.
fn proxy_config(name: &str) -> String {
    let (listen, nowhere) = (address(), address());
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{nowhere}","seed":"7",
        "known":{{"rev":1,"all":true,"targets":[]}},"settings":{{"balancers":1,"me":0,"grades":[
        {{"name":"read","aim":750.0,"deadline":2000.0,"effect":"idempotent","points":2.0}}],
        "tenants":[{{"name":"acme","quotaPerS":100.0}}],"dcs":["a"],"skus":["std","origin"],
        "discovery":"on_request","familyInfo":{{"mode":"aside","originKind":1}},"weightKind":"rough",
        "limits":{{"connectTimeout":150.0,"idleClose":30000.0,"maxAttempts":3,"maxRetryAfter":1000.0,
        "mayCancel":true,"mostHeld":2000,"retryAfter":true,"secondCopies":true}},
        "obligations":{{"askEvery":10000.0,"cold":8100.0,"coldFrom":0.31,"fallMultiple":4.0,"tipAfter":2000.0}}}}}}"#
    )
}
