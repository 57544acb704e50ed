//! A schedule of faults on processes: the same file that the lab plays in virtual time, with the clock of
//! the machine, signals and relays.

use super::fleet::{proxy_of, Fleet, Plan};
use super::links::Flow;
use notchdoor_coordination::check::Checked;
use notchdoor_coordination::protocol::{Answer, Request};
use notchdoor_lab::leases::schedule::{Fault, Kind, Schedule, Who};
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A fleet is well again within this, or never.
const PATIENCE: Duration = Duration::from_secs(30);
/// What somebody slow says comes so late.
const SLOW: Flow = Flow::Delayed(300);
/// In the lab a group has three seconds to find its leader before the first fault; here it has one.
const EARLIER_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Node {
    Member(u64),
    Proxy(usize),
}

struct Spell {
    kind: Kind,
    node: Node,
    until: Duration,
}

/// Plays a schedule on processes of the plan's program; the plan's sizes give way to the schedule's.
/// The error says which property is broken, or what the machine did not give.
pub fn play(plan: Plan, schedule: &Schedule) -> Result<Checked, String> {
    let told = |e: io::Error| format!("seed {}: {e}", schedule.seed);
    let plan = Plan {
        members: schedule.members,
        proxies: schedule.clients,
        tasks: (0..schedule.tasks).map(|n| format!("task-{n}")).collect(),
        ttl_ms: schedule.ttl_ms,
        ..plan
    };
    let names = plan.tasks.clone();
    let mut fleet = Fleet::start(plan).map_err(told)?;
    for name in &names {
        fleet.acts(name, 0, PATIENCE, |_| true).map_err(told)?;
    }
    faults(&mut fleet, schedule).map_err(told)?;
    let place = fleet.place();
    for name in &names {
        fleet.acts(name, place, PATIENCE, |_| true).map_err(told)?;
    }
    let folder = fleet.folder().display().to_string();
    fleet.check().map_err(|why| format!("seed {}: {why}; the logs are in {folder}", schedule.seed))
}

fn faults(fleet: &mut Fleet, schedule: &Schedule) -> io::Result<()> {
    let began = Instant::now();
    let (mut spells, mut next) = (Vec::<Spell>::new(), 0);
    let at = |f: &Fault| Duration::from_millis(f.at_ms.saturating_sub(EARLIER_MS));
    while next < schedule.faults.len() || !spells.is_empty() {
        let now = began.elapsed();
        let (over, on): (Vec<_>, Vec<_>) = spells.into_iter().partition(|s| s.until <= now);
        spells = on;
        for spell in over {
            ends(fleet, &spell)?;
        }
        while let Some(fault) = schedule.faults.get(next).filter(|f| at(f) <= now) {
            next += 1;
            let Some(node) = who(fleet, fault.who) else { continue };
            // One that is down or paused already is left as it is.
            if spells.iter().any(|s| s.node == node && matches!(s.kind, Kind::Kill | Kind::Pause)) {
                continue;
            }
            let until = now + Duration::from_millis(fault.for_ms);
            if begins(fleet, fault.kind, node)? {
                spells.push(Spell { kind: fault.kind, node, until });
            }
        }
        links(fleet, &spells);
        std::thread::sleep(Duration::from_millis(10));
    }
    links(fleet, &[]);
    Ok(())
}

fn who(fleet: &mut Fleet, who: Who) -> Option<Node> {
    match who {
        Who::Leader => fleet.leader(None, Duration::from_millis(200)).ok().map(Node::Member),
        Who::Member(place) => fleet.members.keys().nth(place as usize).map(|id| Node::Member(*id)),
        Who::Client(number) => (number < fleet.proxies.len()).then_some(Node::Proxy(number)),
        Who::Holder => {
            let record = fleet.resource.record();
            let last = record.iter().rev().find(|a| a.admitted && a.task == "task-0")?;
            proxy_of(&last.holder).map(Node::Proxy)
        }
    }
}

/// Does what a fault does to a process; whether there is a spell to end.
fn begins(fleet: &mut Fleet, kind: Kind, node: Node) -> io::Result<bool> {
    let process = match node {
        Node::Member(id) => fleet.members.get_mut(&id),
        Node::Proxy(number) => fleet.proxies.get_mut(number),
    };
    let Some(process) = process else { return Ok(false) };
    match (kind, node) {
        (Kind::Kill, _) => process.kill()?,
        (Kind::Pause, _) => process.pause()?,
        (Kind::Replace, Node::Member(id)) => replace(fleet, id)?,
        (Kind::Replace, Node::Proxy(_)) => return Ok(false),
        _ => {}
    }
    Ok(kind != Kind::Replace)
}

fn ends(fleet: &mut Fleet, spell: &Spell) -> io::Result<()> {
    let process = match spell.node {
        Node::Member(id) => fleet.members.get_mut(&id),
        Node::Proxy(number) => fleet.proxies.get_mut(number),
    };
    match (process, spell.kind) {
        (Some(process), Kind::Kill) => process.start(),
        (Some(process), Kind::Pause) => process.resume(),
        _ => Ok(()),
    }
}

/// Sets every link to what the spells that are on come to.
fn links(fleet: &Fleet, spells: &[Spell]) {
    fleet.heal();
    // The strongest last.
    let strength = |s: &&Spell| match s.kind {
        Kind::Slow => 0,
        Kind::Deaf | Kind::Mute => 1,
        _ => 2,
    };
    let mut spells: Vec<&Spell> = spells.iter().collect();
    spells.sort_by_key(strength);
    for spell in spells {
        match (spell.kind, spell.node) {
            (Kind::Cut, Node::Member(id)) => {
                fleet.around(id, Flow::Held, Flow::Held);
                fleet.doors_to(id, Flow::Held);
            }
            (Kind::Deaf, Node::Member(id)) => fleet.around(id, Flow::Open, Flow::Held),
            (Kind::Mute, Node::Member(id)) => fleet.around(id, Flow::Held, Flow::Open),
            (Kind::Slow, Node::Member(id)) => fleet.around(id, SLOW, Flow::Open),
            (Kind::Cut | Kind::Deaf | Kind::Mute, Node::Proxy(number)) => fleet.doors_of(number, Flow::Held),
            (Kind::Slow, Node::Proxy(number)) => fleet.doors_of(number, SLOW),
            (Kind::Held, Node::Proxy(number)) => fleet.act(number).set_both(Flow::Held),
            _ => {}
        }
    }
}

/// Removes a member for good and adds a new one, as operators do. A group that does not answer now is
/// left as it is.
fn replace(fleet: &mut Fleet, id: u64) -> io::Result<()> {
    let limit = Duration::from_secs(3);
    if !matches!(fleet.ask(&Request::Remove { id }, limit), Ok(Answer::Changed)) {
        return Ok(());
    }
    if let Some(mut member) = fleet.members.remove(&id) {
        member.kill()?;
    }
    let highest = fleet.statuses().iter().map(|s| s.book.highest()).max().unwrap_or(0);
    let new = highest.max(fleet.highest()) + 1;
    let known: Vec<u64> = fleet.members.keys().copied().collect();
    let at = fleet.new_member(new, &known)?;
    if matches!(fleet.ask(&Request::Add(at), PATIENCE), Ok(Answer::Changed)) {
        fleet.start_member(new)?;
    }
    Ok(())
}

/// What many plays came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plays {
    /// Plays.
    pub plays: u64,
    /// Their figures, summed.
    pub checked: Checked,
    /// What was broken, each with its seed.
    pub found: Vec<String>,
}

/// Plays these schedules on processes, so many fleets at once.
pub fn plays(
    plan: impl Fn(u64) -> Plan + Sync,
    schedules: &[Schedule],
    at_once: usize,
    each: impl Fn(u64) + Sync,
) -> Plays {
    let (next, all) = (AtomicU64::new(0), Mutex::new(Plays::default()));
    std::thread::scope(|scope| {
        for _ in 0..at_once.clamp(1, 64) {
            scope.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::SeqCst);
                let Some(schedule) = schedules.get(n as usize) else { return };
                let played = play(plan(n), schedule);
                if let Ok(mut all) = all.lock() {
                    all.plays += 1;
                    match played {
                        Ok(checked) => {
                            all.checked.admitted += checked.admitted;
                            all.checked.refused += checked.refused;
                            all.checked.handovers += checked.handovers;
                            all.checked.tasks += checked.tasks;
                        }
                        Err(why) => all.found.push(why),
                    }
                    each(all.plays);
                }
            });
        }
    });
    all.into_inner().unwrap_or_default()
}
