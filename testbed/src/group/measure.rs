//! What the lease group costs and how soon a task has a new holder, measured on processes.

use super::fleet::{Fleet, Plan};
use super::links::Flow;
use hdrhistogram::Histogram;
use notchdoor_coordination::check::{disagreement, Checked, Period};
use notchdoor_coordination::lease::{Command, Outcome};
use notchdoor_coordination::protocol::{Answer, Request, Status};
use notchdoor_coordination::versioned_config::{BlockRules, ProposalOutcome};
use notchdoor_coordination::wire::{encode, Decoder, Frame};
use notchdoor_lab::leases::schedule::Schedule;
use notchdoor_lab::leases::world;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// No wait in a measurement is longer.
const PATIENCE: Duration = Duration::from_secs(60);

/// A distribution, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// Samples.
    pub n: u64,
    /// The least.
    pub min_ms: f64,
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The most.
    pub max_ms: f64,
}

/// The distribution of these, given in microseconds.
pub fn spread(samples: &[u64]) -> io::Result<Spread> {
    let mut all = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    for &sample in samples {
        all.record(sample).map_err(io::Error::other)?;
    }
    let ms = |us: u64| us as f64 / 1e3;
    Ok(Spread {
        n: all.len(),
        min_ms: ms(all.min()),
        p50_ms: ms(all.value_at_quantile(0.5)),
        p99_ms: ms(all.value_at_quantile(0.99)),
        max_ms: ms(all.max()),
    })
}

/// What happens to a holder before another takes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Loss {
    /// It is killed.
    Killed,
    /// It is cut off from the group.
    CutOff,
    /// It is killed together with the group's leader.
    WithLeader,
}

/// Takeovers measured.
#[derive(Clone, Debug, Serialize)]
pub struct Takeovers {
    /// What happened to the holder.
    pub loss: Loss,
    /// The tasks' TTL.
    pub ttl_ms: u64,
    /// The longest election that has no rival: twice ten ticks.
    pub election_ms: u64,
    /// From the loss to the first action of the new holder.
    pub took: Spread,
    /// Each play, in microseconds.
    pub plays: Vec<u64>,
}

/// Plays a loss of the holder so often, one after the other, and checks the record in the end.
pub fn takeovers(plan: Plan, loss: Loss, plays: usize) -> io::Result<(Takeovers, Checked)> {
    let (ttl_ms, election_ms) = (plan.ttl_ms, 20 * plan.tick_ms);
    let mut fleet = Fleet::start(plan)?;
    let (mut holder, _) = fleet.acts("warm", 0, PATIENCE, |_| true)?;
    let mut samples = Vec::new();
    for play in 0..plays {
        // At another moment between two renewals each time.
        std::thread::sleep(Duration::from_millis(ttl_ms * (play as u64 * 37 % 100) / 300));
        let leader = match loss {
            Loss::WithLeader => Some(fleet.leader(None, PATIENCE)?),
            _ => None,
        };
        let (place, lost_at) = (fleet.place(), fleet.resource.now());
        if let Some(member) = leader.and_then(|id| fleet.members.get_mut(&id)) {
            member.kill()?;
        }
        match loss {
            Loss::CutOff => fleet.doors_of(holder, Flow::Held),
            _ => fleet.proxies[holder].kill()?,
        }
        let (next, action) = fleet.acts("warm", place, PATIENCE, |p| p != holder)?;
        samples.push(action.began.saturating_sub(lost_at));
        fleet.heal();
        fleet.start_proxy(holder)?;
        if let Some(id) = leader {
            fleet.start_member(id)?;
            fleet.until("the member follows", PATIENCE, |f| f.status(id).filter(|s| s.leader != 0))?;
        }
        holder = next;
    }
    let checked = fleet.check().map_err(io::Error::other)?;
    Ok((Takeovers { loss, ttl_ms, election_ms, took: spread(&samples)?, plays: samples }, checked))
}

/// What the group did in a second, over all its members.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Load {
    /// Proxies that wanted the tasks.
    pub proxies: usize,
    /// Tasks.
    pub tasks: usize,
    /// Their TTL.
    pub ttl_ms: u64,
    /// Requests a second.
    pub asks: f64,
    /// Messages between members a second.
    pub messages: f64,
    /// Bytes between members a second.
    pub peer_bytes: f64,
    /// Bytes from and to clients a second.
    pub client_bytes: f64,
    /// Fsyncs a second.
    pub syncs: f64,
    /// Log entries a second.
    pub entries: f64,
}

/// The load of so many proxies on the group, over a time in which nothing fails.
pub fn load(plan: Plan, over: Duration) -> io::Result<Load> {
    let (proxies, tasks, ttl_ms) = (plan.proxies, plan.tasks.len(), plan.ttl_ms);
    let mut fleet = Fleet::start(plan)?;
    let names: Vec<String> = (0..tasks).map(|n| fleet.task(n)).collect();
    for name in &names {
        fleet.acts(name, 0, PATIENCE, |_| true)?;
    }
    fleet.until("all proxies ask", PATIENCE, |f| {
        let clients = f.statuses().iter().map(|s| s.figures["clients"]).sum::<u64>();
        (clients as usize >= proxies).then_some(())
    })?;
    std::thread::sleep(Duration::from_millis(2 * ttl_ms));
    let (before, began) = (fleet.statuses(), Instant::now());
    std::thread::sleep(over);
    let (after, took) = (fleet.statuses(), began.elapsed().as_secs_f64());
    let sum = |s: &[Status], name: &str| s.iter().map(|s| s.figures[name]).sum::<u64>();
    let rate =
        |names: &[&str]| names.iter().map(|n| sum(&after, n) - sum(&before, n)).sum::<u64>() as f64 / took;
    let commit = |s: &[Status]| s.iter().map(|s| s.commit).max().unwrap_or(0);
    fleet.check().map_err(io::Error::other)?;
    Ok(Load {
        proxies,
        tasks,
        ttl_ms,
        asks: rate(&["asks"]),
        messages: rate(&["messages_out"]),
        peer_bytes: rate(&["bytes_out"]),
        client_bytes: rate(&["client_bytes_in", "client_bytes_out"]),
        syncs: rate(&["syncs"]),
        entries: (commit(&after) - commit(&before)) as f64 / took,
    })
}

/// The same in virtual time: the members' and the sessions' own code in the lab's network.
pub fn virtual_load(plan: &Plan, over: Duration) -> Load {
    let schedule = Schedule {
        members: plan.members,
        clients: plan.proxies,
        tasks: plan.tasks.len(),
        ttl_ms: plan.ttl_ms,
        ..Schedule::quiet(1)
    };
    let group = world::load(&schedule, over.as_millis() as u64).group;
    let rate = |n: u64| n as f64 / over.as_secs_f64();
    Load {
        proxies: plan.proxies,
        tasks: plan.tasks.len(),
        ttl_ms: plan.ttl_ms,
        asks: rate(group.asks),
        messages: rate(group.messages),
        peer_bytes: rate(group.peer_bytes),
        client_bytes: rate(group.client_bytes),
        syncs: rate(group.syncs),
        entries: rate(group.entries),
    }
}

/// How long the leader takes to answer, one request after the other on one connection.
#[derive(Clone, Debug, Serialize)]
pub struct Latency {
    /// A new grant.
    pub acquire: Spread,
    /// A renewal.
    pub renew: Spread,
    /// A release.
    pub release: Spread,
    /// A listing that a majority confirms.
    pub list: Spread,
}

/// Asks a group of members that has nothing else to do so often.
pub fn latency(plan: Plan, rounds: u64) -> io::Result<Latency> {
    let mut fleet = Fleet::start(Plan { proxies: 0, ..plan })?;
    let leader = fleet.leader(None, PATIENCE)?;
    let mut stream = TcpStream::connect(fleet.at(leader).client)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let mut decoder = Decoder::default();
    let mut ask = |request: Request| -> io::Result<(Answer, u64)> {
        let (mut bytes, sent) = (Vec::new(), Instant::now());
        encode(&Frame::Ask { req: 1, request }, &mut bytes);
        stream.write_all(&bytes)?;
        loop {
            if let Some(Frame::Answer { answer, .. }) = decoder.next_frame().map_err(io::Error::other)? {
                return Ok((answer, sent.elapsed().as_micros() as u64));
            }
            let mut buffer = [0; 4096];
            match stream.read(&mut buffer)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                n => decoder.feed(&buffer[..n]),
            }
        }
    };
    let mut samples: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for _ in 0..rounds {
        let (task, holder) = ("latency".to_owned(), "measure".to_owned());
        let acquire = Command::Acquire { task: task.clone(), holder: holder.clone(), ttl_ms: 30_000 };
        let (answer, took) = ask(Request::Lease(acquire))?;
        let Answer::Done { outcome: Outcome::Granted { token, .. }, .. } = answer else {
            return Err(io::Error::other(format!("no grant: {answer:?}")));
        };
        samples.entry("acquire").or_default().push(took);
        let renew = Command::Renew { task: task.clone(), holder: holder.clone(), token };
        let release = Command::Release { task, holder, token };
        for (name, request) in [
            ("renew", Request::Lease(renew)),
            ("list", Request::List { task: None }),
            ("release", Request::Lease(release)),
        ] {
            let (answer, took) = ask(request)?;
            if !matches!(answer, Answer::Done { .. } | Answer::Listing(_)) {
                return Err(io::Error::other(format!("{name}: {answer:?}")));
            }
            samples.entry(name).or_default().push(took);
        }
    }
    let of = |name: &str| spread(&samples[name]);
    Ok(Latency { acquire: of("acquire")?, renew: of("renew")?, release: of("release")?, list: of("list")? })
}

/// How long a version takes from its proposal until every proxy acts on it.
#[derive(Clone, Debug, Serialize)]
pub struct Switches {
    /// Proxies.
    pub proxies: usize,
    /// The stated bound.
    pub within_ms: u64,
    /// From the proposal until the last proxy acts on the version.
    pub all: Spread,
    /// The longest time that two acted on different versions.
    pub apart_ms: u64,
}

/// Proposes so many versions one after the other, with nothing wrong.
pub fn switches(plan: Plan, versions: u64) -> io::Result<Switches> {
    let (proxies, within_ms) = (plan.proxies, plan.within_ms.unwrap_or(0));
    let class = plan.guard.first().cloned().unwrap_or_default();
    let mut fleet = Fleet::start(plan)?;
    // Compared with the Unix times that the proxies of this machine show.
    #[allow(clippy::disallowed_methods)]
    let unix_ms = || SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
    let acts = |fleet: &mut Fleet, number: u64| {
        fleet.until("all act on the version", PATIENCE, |f| {
            let first = |of: &Vec<Period>| of.iter().find(|p| p.version == number).map(|p| p.from);
            f.periods().iter().map(first).collect::<Option<Vec<u64>>>()
        })
    };
    acts(&mut fleet, 0)?;
    let mut samples = Vec::new();
    for number in 1..=versions {
        let blocked = number % 2 == 1;
        let rules = BlockRules {
            classes: blocked.then(|| class.clone()).into_iter().collect(),
            ..BlockRules::default()
        };
        let propose = Request::Propose { base: number - 1, rules };
        let began = loop {
            let began = unix_ms();
            match fleet.ask(&propose, PATIENCE)? {
                Answer::Proposed(ProposalOutcome::Pending { .. }) => break began,
                // Proxies switch at the time they were told, right before the group notes that it has come.
                Answer::Proposed(ProposalOutcome::Busy { .. }) => {
                    std::thread::sleep(Duration::from_millis(20));
                }
                other => return Err(io::Error::other(format!("not pending: {other:?}"))),
            }
        };
        let last = acts(&mut fleet, number)?.into_iter().max().unwrap_or(began);
        samples.push(last.saturating_sub(began) * 1_000);
    }
    Ok(Switches { proxies, within_ms, all: spread(&samples)?, apart_ms: disagreement(&fleet.periods()) })
}

/// The same in virtual time: one version on each of so many seeds.
pub fn virtual_switches(proxies: usize, within_ms: u64, seeds: u64) -> io::Result<Switches> {
    let of = |seed| {
        let schedule =
            Schedule { clients: proxies, within_ms, applies_ms: vec![5_000], ..Schedule::quiet(seed) };
        world::play(&schedule)
    };
    let played: Vec<_> = (1..=seeds).map(of).collect();
    if let Some(breach) = played.iter().find_map(|p| p.breach.as_ref()) {
        return Err(io::Error::other(breach.what.clone()));
    }
    let samples: Vec<u64> = played.iter().map(|p| p.switched_ms * 1_000).collect();
    let apart_ms = played.iter().map(|p| p.disagreed_ms).max().unwrap_or(0);
    Ok(Switches { proxies, within_ms, all: spread(&samples)?, apart_ms })
}

/// A member's size at one moment of a long run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Size {
    /// Seconds from the start.
    pub at_s: f64,
    /// The member.
    pub member: u64,
    /// Bytes resident.
    pub resident: u64,
    /// Bytes in its folder.
    pub disk: u64,
    /// Entries applied.
    pub applied: u64,
}

/// A long run of renewals: the members' sizes, told to `each` as they come, and the check in the end.
pub fn soak(plan: Plan, over: Duration, every: Duration, mut each: impl FnMut(Size)) -> io::Result<Checked> {
    let mut fleet = Fleet::start(plan)?;
    fleet.acts("warm", 0, PATIENCE, |_| true)?;
    let began = Instant::now();
    while began.elapsed() < over {
        std::thread::sleep(every.min(over.saturating_sub(began.elapsed())));
        let ids: Vec<u64> = fleet.members.keys().copied().collect();
        for member in ids {
            let resident = fleet.members[&member].resident().unwrap_or(0);
            let (disk, applied) = (fleet.disk_bytes(member), fleet.status(member).map_or(0, |s| s.applied));
            each(Size { at_s: began.elapsed().as_secs_f64(), member, resident, disk, applied });
        }
        // The record of a long run would not fit: what is checked is forgotten.
        fleet.check_and_forget().map_err(io::Error::other)?;
    }
    fleet.check().map_err(io::Error::other)
}
