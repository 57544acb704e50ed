//! The world of a play: members, clients, what is acted on, and the network between them.

use super::schedule::{Fault, Kind, Schedule, Who};
use super::store::Store;
use notchdoor_coordination::check::{check, Action, Checked};
use notchdoor_coordination::fence::Fence;
use notchdoor_coordination::holder::Drift;
use notchdoor_coordination::lease::Bounds;
use notchdoor_coordination::membership::{MemberAddr, Membership};
use notchdoor_coordination::protocol::{Answer, Request};
use notchdoor_coordination::raft_node::{RaftNode, RaftNodeConfig, RaftTiming};
use notchdoor_coordination::session::{Endpoint, Session};
use notchdoor_coordination::store::founding_conf;
use notchdoor_coordination::versioned_config::{Acting, BlockRules, ConfirmationTiming};
use notchdoor_coordination::wire::{encode, Frame, Message};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Time goes on by this many milliseconds.
const STEP: u64 = 5;
/// How often a holder acts.
const EVERY: u64 = 50;
/// A message is under way for so long, when nothing is wrong.
const LATENCY: std::ops::RangeInclusive<u64> = 1..=20;
/// What somebody slow says comes late by up to this.
const SLOW: u64 = 1_000;
/// A group and its clients are well again so long after the last fault, TTL and elections beside.
const RECOVERY: u64 = 4_000;
/// Every task is done at least once in this time when all is well.
const QUIET: u64 = 2_000;
/// An operator asks again after this.
const ASK_AGAIN: u64 = 300;

/// A way in which the code is broken on purpose, for a test that the search finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// As it is.
    AsBuilt,
    /// What is acted on takes every action.
    NoFence,
    /// Holders act until the end of their TTL, whatever their clocks do.
    NoMargin,
    /// Clients that nobody confirms go on with the version that they acted on last.
    NoSafeMode,
}

/// What went wrong first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// When.
    pub at_ms: u64,
    /// Which property.
    pub rule: Rule,
    /// What was seen.
    pub what: String,
}

/// The properties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Two clients may act on one task at one moment.
    TwoHolders,
    /// The record of what was acted on does not hold.
    Record,
    /// A task is not done, or a version not acted on, though all is well again.
    Stuck,
    /// Two clients acted on different versions for longer than the stated bound.
    Disagree,
}

/// What a play came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Played {
    /// The first breach, if any.
    pub breach: Option<Breach>,
    /// The record's figures.
    pub checked: Checked,
    /// Leaders seen.
    pub leaders: u64,
    /// Virtual milliseconds.
    pub length_ms: u64,
    /// What the group did, over all members.
    pub group: Figures,
    /// Versions that came into force.
    pub versions: u64,
    /// The longest time that two clients acted on different versions, in milliseconds.
    pub disagreed_ms: u64,
    /// From the last version's proposal until all clients acted on it, in milliseconds.
    pub switched_ms: u64,
    /// The share of the clients' time in safe mode, in thousandths.
    pub safe_permille: u64,
}

/// What a group did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Requests that came.
    pub asks: u64,
    /// Messages between members.
    pub messages: u64,
    /// Their bytes, where they are counted.
    pub peer_bytes: u64,
    /// Bytes of requests and answers, where they are counted.
    pub client_bytes: u64,
    /// Writes that a disk has to sync.
    pub syncs: u64,
    /// Log entries.
    pub entries: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Node {
    Member(u64),
    Client(usize),
    Operator,
    Resource,
}

enum Packet {
    Peer(Message),
    Ask(u64, Request),
    Answer(u64, Answer),
    /// The member that was asked is not there: the connection to it breaks, once.
    Gone(u64),
    Act {
        place: usize,
        token: u64,
    },
    Refused {
        place: usize,
        token: u64,
    },
}

struct Sent {
    from: Node,
    /// Which start of a client it is from or for: an older one's answers are nobody's.
    start: u64,
    to: Node,
    packet: Packet,
}

struct Clock {
    offset: u64,
    ppm: i64,
}

impl Clock {
    fn at(&self, now: u64) -> u64 {
        (self.offset as i64 + now as i64 + now as i64 * self.ppm / 1_000_000) as u64
    }
}

struct Here {
    member: Option<RaftNode<Store>>,
    store: Store,
    clock: Clock,
    starts: u64,
    /// Whose request is whose: the member's number, the asker, its start, its number.
    asked: BTreeMap<u64, (Node, u64, u64)>,
    number: u64,
}

struct Client {
    session: Session,
    holder: String,
    clock: Clock,
    start: u64,
    down: bool,
    /// When it acts next, and what it has decided to do: the send comes a step later, and a pause
    /// may come between.
    next_act: Vec<u64>,
    decided: Vec<Option<u64>>,
}

/// A stretch of time in which something is wrong with somebody.
struct Spell {
    kind: Kind,
    node: Node,
    until: u64,
}

/// The world.
pub struct World {
    schedule: Schedule,
    variant: Variant,
    now: u64,
    rng: ChaCha8Rng,
    founders: Membership,
    members: BTreeMap<u64, Here>,
    clients: Vec<Client>,
    wire: BTreeMap<(u64, u64), Sent>,
    sent: u64,
    spells: Vec<Spell>,
    fence: Fence,
    record: Vec<Action>,
    orders: VecDeque<Request>,
    ordered: Option<u64>,
    /// The number of the order at hand: a late answer to the one before is told apart.
    order: u64,
    leaders: u64,
    figures: Figures,
    /// Until when messages are lost and copied.
    lossy_until: u64,
    /// What each client acts on: a version, safe mode, or nothing while it does not run.
    acting: Vec<Option<Option<u64>>>,
    /// Since when two clients act on different versions.
    apart_since: BTreeMap<(usize, usize), u64>,
    apart_most: u64,
    proposed_at: u64,
    switched: Option<u64>,
    safe: (u64, u64),
    applied: u64,
    /// Whether bytes are counted: it takes time.
    weigh: bool,
}

fn at(id: u64) -> MemberAddr {
    let port = 1_000 + id as u16;
    MemberAddr { id, peer: ([127, 0, 0, 1], port).into(), client: ([127, 0, 0, 2], port).into() }
}

fn id_of(door: SocketAddr) -> u64 {
    u64::from(door.port()) - 1_000
}

fn task(place: usize) -> String {
    format!("task-{place}")
}

/// Plays a schedule as it is built.
pub fn play(schedule: &Schedule) -> Played {
    play_variant(schedule, Variant::AsBuilt)
}

/// Plays a schedule with the code as it is, or broken on purpose.
pub fn play_variant(schedule: &Schedule, variant: Variant) -> Played {
    let mut world = World::new(schedule.clone(), variant);
    let election = 20 * RaftTiming::default().tick_ms;
    let well = schedule.healed_ms().max(3_000) + 3 * schedule.ttl_ms + 4 * election + RECOVERY;
    let disagree = schedule.within_ms + schedule.within_ms * 2 * schedule.drift_ppm / 1_000_000;
    // All is well from then on: what the time after it shows is no bad luck.
    world.lossy_until = well - RECOVERY;
    while world.now < well + QUIET {
        world.step();
        let breach = world.two_holders().or_else(|| world.disagree(disagree));
        if breach.is_some() {
            return world.end(breach);
        }
    }
    let breach = (0..schedule.tasks).find_map(|place| {
        let name = task(place);
        let done = world.record.iter().any(|a| a.admitted && a.task == name && a.began >= well * 1_000);
        (!done).then(|| Breach {
            at_ms: world.now,
            rule: Rule::Stuck,
            what: format!(
                "{name} is not done between {well} and {} ms, all faults over by {} ms: {}",
                world.now,
                schedule.healed_ms(),
                world.told()
            ),
        })
    });
    let breach = breach.or_else(|| world.behind());
    world.end(breach)
}

/// How many clients act on what at a moment: by version, and in safe mode.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// Clients by the version that they act on.
    pub on: BTreeMap<u64, usize>,
    /// Clients in safe mode.
    pub safe: usize,
}

/// Plays a schedule to its end and takes down, so often, who acts on what. The play's properties are
/// those of [`play`], which is asked for them.
pub fn watch(schedule: &Schedule, until_ms: u64, every_ms: u64) -> Vec<Moment> {
    let mut world = World::new(schedule.clone(), Variant::AsBuilt);
    let mut moments = Vec::new();
    while world.now < until_ms {
        world.step();
        if world.now % every_ms.max(STEP) < STEP {
            let mut moment = Moment { at_ms: world.now, ..Moment::default() };
            for acting in world.acting.iter().flatten() {
                match acting {
                    Some(version) => *moment.on.entry(*version).or_default() += 1,
                    None => moment.safe += 1,
                }
            }
            moments.push(moment);
        }
    }
    moments
}

/// What a group does with so many clients over a time in which nothing is wrong.
pub fn load(schedule: &Schedule, over_ms: u64) -> Played {
    let mut world = World::new(schedule.clone(), Variant::AsBuilt);
    while world.now < 5_000 + 2 * schedule.ttl_ms {
        world.step();
    }
    world.weigh = true;
    let before = world.figures();
    let until = world.now + over_ms;
    while world.now < until {
        world.step();
    }
    let after = world.figures();
    let mut played = world.end(None);
    played.length_ms = over_ms;
    played.group = Figures {
        asks: after.asks - before.asks,
        messages: after.messages - before.messages,
        peer_bytes: after.peer_bytes,
        client_bytes: after.client_bytes,
        syncs: after.syncs - before.syncs,
        entries: after.entries - before.entries,
    };
    played
}

impl World {
    /// A world in which nothing has happened yet.
    pub fn new(schedule: Schedule, variant: Variant) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(schedule.seed);
        let founders = Membership::founding((1..=schedule.members).map(|id| (at(id), id)));
        let mut world = World {
            now: 0,
            founders: founders.clone(),
            members: BTreeMap::new(),
            clients: Vec::new(),
            wire: BTreeMap::new(),
            sent: 0,
            spells: Vec::new(),
            fence: Fence::new(64),
            record: Vec::new(),
            orders: VecDeque::new(),
            ordered: None,
            order: 0,
            leaders: 0,
            figures: Figures::default(),
            lossy_until: u64::MAX,
            acting: Vec::new(),
            apart_since: BTreeMap::new(),
            apart_most: 0,
            proposed_at: 0,
            switched: None,
            safe: (0, 0),
            applied: 0,
            weigh: false,
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
            variant,
            schedule,
        };
        for id in 1..=world.schedule.members {
            world.new_member(id);
        }
        for number in 0..world.schedule.clients {
            let client = world.new_client(number, 0);
            world.clients.push(client);
        }
        world
    }

    fn clock(&mut self) -> Clock {
        let most = self.schedule.drift_ppm as i64;
        // Whole bounds more often than chance has it: that is where a margin is too small.
        let ppm = match self.rng.random_range(0..3) {
            0 => most,
            1 => -most,
            _ => self.rng.random_range(-most..=most),
        };
        Clock { offset: self.rng.random_range(0..1_000_000), ppm }
    }

    fn new_member(&mut self, id: u64) {
        let store = Store::new(founding_conf(&self.founders));
        let clock = self.clock();
        let here = Here { member: None, store, clock, starts: 0, asked: BTreeMap::new(), number: 0 };
        self.members.insert(id, here);
        self.start_member(id);
    }

    fn start_member(&mut self, id: u64) {
        let (founders, now, seed) = (self.founders.clone(), self.now, self.schedule.seed);
        let drift = Drift { rate_ppm: self.schedule.drift_ppm, ..Drift::default() };
        let terms = match self.schedule.within_ms {
            0 => ConfirmationTiming::default(),
            within_ms => ConfirmationTiming { within_ms, drift },
        };
        let Some(here) = self.members.get_mut(&id) else { return };
        here.starts += 1;
        let start = seed.wrapping_mul(1_000_003) + here.starts;
        let guard = BlockRules {
            classes: (1..=128).map(|n| format!("class-{n}")).collect(),
            ..BlockRules::default()
        };
        let begin = RaftNodeConfig {
            id,
            start,
            founders,
            pace: RaftTiming::default(),
            bounds: Bounds::default(),
            terms,
            guard,
        };
        here.member = RaftNode::new(begin, here.store.clone(), here.clock.at(now)).ok();
        (here.asked, here.number) = (BTreeMap::new(), 0);
    }

    fn new_client(&mut self, number: usize, start: u64) -> Client {
        let holder = format!("p{number}:{start}");
        let doors: Vec<Endpoint> = (1..=self.schedule.members).map(|id| (id, at(id).client)).collect();
        let tasks: Vec<_> = (0..self.schedule.tasks).map(|n| (task(n), self.schedule.ttl_ms)).collect();
        let drift = match self.variant {
            Variant::NoMargin => Drift { rate_ppm: 0, margin_ms: 0 },
            _ => Drift { rate_ppm: self.schedule.drift_ppm, ..Drift::default() },
        };
        let mut session = Session::new(doors, &holder, &tasks, drift, self.rng.random());
        if self.schedule.within_ms > 0 {
            session = session.with_versions(drift);
        }
        Client {
            session,
            holder,
            clock: self.clock(),
            start,
            down: false,
            next_act: vec![0; tasks.len()],
            decided: vec![None; tasks.len()],
        }
    }

    fn under(&self, node: Node, kind: Kind) -> bool {
        self.spells.iter().any(|s| s.node == node && s.kind == kind)
    }

    /// Until when a packet from one to another is cut off, if it is.
    fn cut_until(&self, from: Node, to: Node) -> Option<u64> {
        let in_group = |n: Node| matches!(n, Node::Member(_));
        let of = |s: &&Spell| match s.kind {
            Kind::Cut => {
                (s.node == from && in_group(to)) || (s.node == to && in_group(from)) || {
                    // A member that is cut off is so from clients too.
                    in_group(s.node) && (s.node == from || s.node == to)
                }
            }
            Kind::Deaf => s.node == to && (in_group(from) || in_group(to)),
            Kind::Mute => s.node == from && (in_group(to) || in_group(from)),
            Kind::Held => s.node == from && to == Node::Resource,
            _ => false,
        };
        self.spells.iter().filter(of).map(|s| s.until).max()
    }

    fn send(&mut self, from: Node, start: u64, to: Node, packet: Packet) {
        if self.weigh {
            let mut bytes = Vec::new();
            let (frame, member) = match &packet {
                Packet::Peer(m) => (Some(Frame::Peer(m.clone())), true),
                Packet::Ask(req, r) => (Some(Frame::Ask { req: *req, request: r.clone() }), false),
                Packet::Answer(req, a) => (Some(Frame::Answer { req: *req, answer: a.clone() }), false),
                _ => (None, false),
            };
            if let Some(frame) = frame {
                encode(&frame, &mut bytes);
            }
            let sum = if member { &mut self.figures.peer_bytes } else { &mut self.figures.client_bytes };
            *sum += bytes.len() as u64;
        }
        let lossy = self.now < self.lossy_until;
        if lossy && self.rng.random_bool(self.schedule.loss) {
            return;
        }
        let cut = self.cut_until(from, to);
        // What a cut catches is lost, or comes when it is over; an action that is held always comes.
        let comes = to == Node::Resource || self.rng.random();
        let base = match cut {
            Some(_) if !comes => return,
            Some(until) => until,
            None => self.now,
        };
        let slow = if self.under(from, Kind::Slow) { self.rng.random_range(0..=SLOW) } else { 0 };
        let copies = if lossy && self.rng.random_bool(self.schedule.copies) { 2 } else { 1 };
        let again = match &packet {
            Packet::Peer(m) if copies == 2 => Some(Packet::Peer(m.clone())),
            Packet::Ask(req, r) if copies == 2 => Some(Packet::Ask(*req, r.clone())),
            Packet::Answer(req, a) if copies == 2 => Some(Packet::Answer(*req, a.clone())),
            Packet::Act { place, token } if copies == 2 => Some(Packet::Act { place: *place, token: *token }),
            _ => None,
        };
        for packet in again.into_iter().chain([packet]) {
            let when = base + slow + self.rng.random_range(LATENCY);
            self.sent += 1;
            self.wire.insert((when, self.sent), Sent { from, start, to, packet });
        }
    }

    /// One step of time: faults, what arrives, members, clients.
    pub fn step(&mut self) {
        self.now += STEP;
        self.faults();
        let later = self.wire.split_off(&(self.now + 1, 0));
        let due = std::mem::replace(&mut self.wire, later);
        for ((_, number), sent) in due {
            self.deliver(number, sent);
        }
        let ids: Vec<u64> = self.members.keys().copied().collect();
        for id in ids {
            self.advance(id);
        }
        for number in 0..self.clients.len() {
            if !self.clients[number].down && !self.under(Node::Client(number), Kind::Pause) {
                self.run_client(number);
            }
        }
        self.operate();
        self.apply_versions();
        self.look();
    }

    /// Operators apply a version when the schedule says so, two at once each second time.
    fn apply_versions(&mut self) {
        let now = self.now;
        let due = self.schedule.applies_ms.iter().filter(|at| **at <= now && **at + STEP > now).count();
        for _ in 0..due {
            let Some(leader) = self.leader() else { continue };
            let newest = self.members[&leader].member.as_ref().map_or(0, |m| m.versions().newest().number);
            (self.proposed_at, self.switched) = (self.now, None);
            let copies = 1 + self.applied % 2;
            for copy in 0..copies {
                self.applied += 1;
                let rules = BlockRules {
                    classes: [format!("class-{}", self.applied)].into(),
                    ..BlockRules::default()
                };
                let propose = Request::Propose { base: newest, rules };
                self.send(Node::Operator, 0, Node::Member(leader), Packet::Ask(u64::MAX - copy, propose));
            }
        }
    }

    /// Takes down what each client acts on.
    fn look(&mut self) {
        if self.schedule.within_ms == 0 {
            return;
        }
        let now = self.now;
        let runs: Vec<bool> = (0..self.clients.len())
            .map(|n| !self.clients[n].down && !self.under(Node::Client(n), Kind::Pause))
            .collect();
        let unsafe_mode = self.variant == Variant::NoSafeMode;
        let before = std::mem::take(&mut self.acting);
        let acts = |((n, client), runs): ((usize, &mut Client), bool)| {
            let local = client.clock.at(now);
            let versions = client.session.versions().filter(|_| runs)?;
            Some(match versions.acting(local) {
                Acting::On(version) => Some(version.number),
                Acting::Safe if unsafe_mode => before.get(n).copied().flatten().flatten(),
                Acting::Safe => None,
            })
        };
        self.acting = self.clients.iter_mut().enumerate().zip(runs).map(acts).collect();
        let live = self.members.values().filter_map(|h| h.member.as_ref());
        let newest = live.map(|m| m.versions().newest().number).max().unwrap_or(0);
        if newest > 0 && self.switched.is_none() && self.acting.iter().all(|a| *a == Some(Some(newest))) {
            self.switched = Some(now - self.proposed_at);
        }
        let safe = self.acting.iter().filter(|a| **a == Some(None)).count() as u64;
        let running = self.acting.iter().flatten().count() as u64;
        self.safe = (self.safe.0 + safe, self.safe.1 + running);
    }

    /// Whether two clients have acted on different versions for longer than this.
    fn disagree(&mut self, most: u64) -> Option<Breach> {
        // Safe mode forbids all that any version could: it contradicts none.
        let on: Vec<(usize, u64)> =
            self.acting.iter().enumerate().filter_map(|(n, a)| a.flatten().map(|v| (n, v))).collect();
        let apart = on.iter().enumerate().flat_map(|(i, a)| {
            on[i + 1..].iter().filter(|b| b.1 != a.1).map(|b| (a.0, b.0)).collect::<Vec<_>>()
        });
        let now = self.now;
        let since = std::mem::take(&mut self.apart_since);
        self.apart_since = apart.map(|pair| (pair, since.get(&pair).copied().unwrap_or(now))).collect();
        let (pair, since) = self.apart_since.iter().min_by_key(|(_, since)| **since)?;
        let lasts = now + STEP - since;
        self.apart_most = self.apart_most.max(lasts);
        (lasts > most).then(|| Breach {
            at_ms: now,
            rule: Rule::Disagree,
            what: format!(
                "p{} and p{} act on versions {:?} and {:?} for {lasts} ms, where {most} are stated",
                pair.0, pair.1, self.acting[pair.0], self.acting[pair.1]
            ),
        })
    }

    /// Whether a client does not act on the newest version though all is well.
    fn behind(&self) -> Option<Breach> {
        if self.schedule.within_ms == 0 {
            return None;
        }
        let live = self.members.values().filter_map(|h| h.member.as_ref());
        let newest = live.map(|m| m.versions().newest().number).max().unwrap_or(0);
        let behind = self.acting.iter().position(|a| *a != Some(Some(newest)))?;
        Some(Breach {
            at_ms: self.now,
            rule: Rule::Stuck,
            what: format!(
                "p{behind} acts on {:?}, where {newest} is the newest: {}",
                self.acting[behind],
                self.told()
            ),
        })
    }

    fn who(&self, who: Who) -> Option<Node> {
        match who {
            Who::Leader => self.leader().map(Node::Member),
            Who::Member(place) => self.members.keys().nth(place as usize).map(|id| Node::Member(*id)),
            Who::Holder => {
                let holds = |c: &Client| c.session.tasks()[0].token(c.clock.at(self.now)).is_some();
                self.clients.iter().position(holds).map(Node::Client)
            }
            Who::Client(number) => (number < self.clients.len()).then_some(Node::Client(number)),
        }
    }

    fn faults(&mut self) {
        let now = self.now;
        let over: Vec<Spell> = {
            let (over, on) =
                std::mem::take(&mut self.spells).into_iter().partition(|s: &Spell| s.until <= now);
            self.spells = on;
            over
        };
        for spell in over.iter().filter(|s| s.kind == Kind::Kill) {
            match spell.node {
                Node::Member(id) => self.start_member(id),
                Node::Client(number) => {
                    let start = self.clients[number].start + 1;
                    self.clients[number] = self.new_client(number, start);
                }
                _ => {}
            }
        }
        let begins = |f: &&Fault| f.at_ms <= now && f.at_ms + STEP > now;
        let new: Vec<Fault> = self.schedule.faults.iter().filter(begins).copied().collect();
        for fault in new {
            let Some(node) = self.who(fault.who) else { continue };
            match (fault.kind, node) {
                // A dead one cannot be killed.
                (Kind::Kill, _) if self.under(node, Kind::Kill) => continue,
                (Kind::Kill, Node::Member(id)) => {
                    if let Some(here) = self.members.get_mut(&id) {
                        here.member = None;
                    }
                }
                (Kind::Kill, Node::Client(number)) => self.clients[number].down = true,
                (Kind::Replace, Node::Member(id)) => {
                    self.orders.push_back(Request::Remove { id });
                    continue;
                }
                (Kind::Replace, _) => continue,
                _ => {}
            }
            self.spells.push(Spell { kind: fault.kind, node, until: now + fault.for_ms.max(STEP) });
        }
    }

    fn deliver(&mut self, number: u64, sent: Sent) {
        let Sent { from, start, to, packet } = sent;
        if let Some(spell) = self.spells.iter().find(|s| s.node == to && s.kind == Kind::Pause) {
            // It waits in a buffer until somebody reads it.
            self.wire.insert((spell.until + STEP, number), Sent { from, start, to, packet });
            return;
        }
        match (to, packet) {
            (Node::Member(id), Packet::Peer(message)) => {
                self.figures.messages += 1;
                if let Some(member) = self.members.get_mut(&id).and_then(|h| h.member.as_mut()) {
                    member.step(message);
                }
            }
            (Node::Member(id), Packet::Ask(req, request)) => {
                self.figures.asks += 1;
                let Some((here, member)) = self.members.get_mut(&id).and_then(|h| {
                    let Here { member, asked, number, .. } = h;
                    member.as_mut().map(|m| ((asked, number), m))
                }) else {
                    return self.send(to, start, from, Packet::Gone(id));
                };
                let (asked, number) = here;
                *number += 1;
                match member.ask(*number, request) {
                    Some(answer) => self.send(to, start, from, Packet::Answer(req, answer)),
                    None => drop(asked.insert(*number, (from, start, req))),
                }
            }
            (Node::Client(n), packet) if self.clients[n].start == start && !self.clients[n].down => {
                let client = &mut self.clients[n];
                let local = client.clock.at(self.now);
                match packet {
                    // The connection to another door than the one at hand is closed.
                    Packet::Answer(req, answer)
                        if from == Node::Member(id_of(client.session.current_member().0)) =>
                    {
                        client.session.answered(req, &answer, local);
                    }
                    Packet::Gone(id) if id_of(client.session.current_member().0) == id => {
                        client.session.connection_failed(local);
                    }
                    Packet::Refused { place, token } => client.session.fenced(place, token, local),
                    _ => {}
                }
            }
            (Node::Operator, Packet::Answer(order, answer)) if order == self.order => {
                self.ordered_answer(answer);
            }
            (Node::Resource, Packet::Act { place, token }) => {
                let Node::Client(n) = from else { return };
                // Who it was then: another start of the client may be there now.
                let holder = format!("p{n}:{start}");
                let admitted =
                    self.fence.admit(&task(place), token).is_ok() || self.variant == Variant::NoFence;
                let began = self.now * 1_000 + self.record.len() as u64 % 1_000;
                self.record.push(Action { began, ended: began, task: task(place), holder, token, admitted });
                if !admitted {
                    self.send(to, start, from, Packet::Refused { place, token });
                }
            }
            _ => {}
        }
    }

    fn advance(&mut self, id: u64) {
        if self.under(Node::Member(id), Kind::Pause) {
            return;
        }
        let now = self.now;
        let Some(here) = self.members.get_mut(&id) else { return };
        let local = here.clock.at(now);
        let Some(Ok(out)) = here.member.as_mut().map(|m| m.advance(local)) else { return };
        let answered: Vec<_> =
            out.answers.into_iter().filter_map(|(n, a)| here.asked.remove(&n).map(|to| (to, a))).collect();
        let led = out
            .events
            .iter()
            .any(|e| matches!(e, notchdoor_coordination::raft_node::Event::Leader { id: l, .. } if *l == id));
        self.leaders += u64::from(led);
        for message in out.messages {
            let to = Node::Member(message.to);
            self.send(Node::Member(id), 0, to, Packet::Peer(message));
        }
        for ((to, start, req), answer) in answered {
            self.send(Node::Member(id), start, to, Packet::Answer(req, answer));
        }
    }

    fn run_client(&mut self, number: usize) {
        let now = self.now;
        let client = &mut self.clients[number];
        let (local, start) = (client.clock.at(now), client.start);
        let mut packets: Vec<(Node, Packet)> = Vec::new();
        for place in 0..client.decided.len() {
            if let Some(token) = client.decided[place].take() {
                packets.push((Node::Resource, Packet::Act { place, token }));
            } else if local >= client.next_act[place] {
                client.next_act[place] = local + EVERY;
                client.decided[place] = client.session.tasks()[place].token(local);
            }
        }
        if client.session.stalled(local) {
            client.session.connection_failed(local);
        }
        let (door, from) = client.session.current_member();
        if local >= from {
            let asks = client.session.due(local);
            packets.extend(asks.into_iter().map(|(req, r)| (Node::Member(id_of(door)), Packet::Ask(req, r))));
        }
        for (to, packet) in packets {
            self.send(Node::Client(number), start, to, packet);
        }
    }

    /// The operator's orders, one after the other, to whoever leads.
    fn operate(&mut self) {
        let Some(order) = self.orders.front() else { return };
        if self.ordered.is_some_and(|at| self.now < at + ASK_AGAIN) {
            return;
        }
        let order = order.clone();
        self.ordered = Some(self.now);
        if let Some(leader) = self.leader() {
            self.send(Node::Operator, 0, Node::Member(leader), Packet::Ask(self.order, order));
        }
    }

    fn ordered_answer(&mut self, answer: Answer) {
        let done = matches!(answer, Answer::Changed | Answer::Enlisted(_) | Answer::Refused(_));
        let Some(order) = self.orders.front().cloned().filter(|_| done) else { return };
        let changed = answer == Answer::Changed;
        match order {
            Request::Remove { id } if changed => {
                // Its process is stopped, and a new one takes its place.
                self.members.remove(&id);
                let highest =
                    self.members.values().filter_map(|h| h.member.as_ref()).map(|m| m.book().highest());
                let new = highest.chain(self.members.keys().copied()).max().unwrap_or(0).max(id) + 1;
                self.orders.insert(1, Request::Add(at(new)));
            }
            Request::Add(member) if changed => {
                if !self.members.contains_key(&member.id) {
                    self.new_member(member.id);
                }
                self.orders.insert(1, Request::Enlist { id: member.id, number: member.id });
            }
            _ => {}
        }
        self.orders.pop_front();
        self.ordered = None;
        self.order += 1;
    }

    fn leader(&self) -> Option<u64> {
        let lead = |(_, h): &(&u64, &Here)| h.member.as_ref().is_some_and(RaftNode::leads);
        let term = |(_, h): &(&u64, &Here)| h.member.as_ref().map(|m| m.status().term);
        self.members.iter().filter(lead).max_by_key(term).map(|(id, _)| *id)
    }

    /// Whether two clients that run may act on one task at this moment.
    fn two_holders(&self) -> Option<Breach> {
        (0..self.schedule.tasks).find_map(|place| {
            let acts = |(n, c): &(usize, &Client)| {
                let runs = !c.down && !self.under(Node::Client(*n), Kind::Pause);
                runs && c.session.tasks()[place].token(c.clock.at(self.now)).is_some()
            };
            let holders: Vec<&str> =
                self.clients.iter().enumerate().filter(acts).map(|(_, c)| c.holder.as_str()).collect();
            (holders.len() > 1).then(|| Breach {
                at_ms: self.now,
                rule: Rule::TwoHolders,
                what: format!("{} is held by {} at {} ms", task(place), holders.join(" and "), self.now),
            })
        })
    }

    /// What members and clients come to, for the report of a task that is not done.
    fn told(&self) -> String {
        let member = |(id, here): (&u64, &Here)| match here.member.as_ref().map(RaftNode::status) {
            Some(s) => {
                let members: Vec<String> = s.book.members().values().map(|m| m.at.id.to_string()).collect();
                format!(
                    "m{id} {} of {}, leader {}, term {}, commit {}",
                    s.role,
                    members.join("+"),
                    s.leader,
                    s.term,
                    s.commit
                )
            }
            None => format!("m{id} down"),
        };
        let client = |c: &Client| {
            let (local, (door, from)) = (c.clock.at(self.now), c.session.current_member());
            let due = c.session.next_due() as i64 - local as i64;
            format!(
                "{} at {} from {} ms on, due in {due} ms",
                c.holder,
                id_of(door),
                from as i64 - local as i64
            )
        };
        let members = self.members.iter().map(member);
        members.chain(self.clients.iter().map(client)).collect::<Vec<_>>().join("; ")
    }

    fn figures(&self) -> Figures {
        let live = self.members.values().filter_map(|h| h.member.as_ref());
        Figures {
            syncs: self.members.values().map(|h| h.store.syncs()).sum(),
            entries: live.map(|m| m.status().commit).max().unwrap_or(0),
            ..self.figures
        }
    }

    fn end(self, breach: Option<Breach>) -> Played {
        let (checked, breach) = match check(&self.record) {
            Ok(checked) => (checked, breach),
            Err(what) => {
                let broken = Breach { at_ms: self.now, rule: Rule::Record, what };
                (Checked::default(), breach.or(Some(broken)))
            }
        };
        let group = self.figures();
        let live = self.members.values().filter_map(|h| h.member.as_ref());
        Played {
            breach,
            checked,
            leaders: self.leaders,
            length_ms: self.now,
            group,
            versions: live.map(|m| m.versions().current().number).max().unwrap_or(0),
            disagreed_ms: self.apart_most,
            switched_ms: self.switched.unwrap_or(0),
            safe_permille: 1_000 * self.safe.0 / self.safe.1.max(1),
        }
    }
}
