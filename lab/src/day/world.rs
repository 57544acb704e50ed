//! The machines of a day, as the host keeps them, and the agenda of what comes next.

use crate::interface::OracleView;
use notchdoor::{Class, Discovery, Key, Scope, ServerId, Settings, Tenant};
use notchdoor_limits::policy_file::PolicyContext;
use notchdoor_model::backend::{self, Backend, Choke, State};
use notchdoor_model::discovery::{self, Line, Listed};
use notchdoor_model::memory::Truth;
use notchdoor_model::network::{Connections, Network, Silence};
use notchdoor_model::origin::{self, Origin};
use notchdoor_model::report::Reporter;
use notchdoor_model::slow_start::{Allowance, Meter};
use notchdoor_model::spec::{Effect, Spec};
use notchdoor_model::station::{self, Crowding};
use notchdoor_model::time::{ms, rng, secs, Purpose, Time, NEVER};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// The kind that the list gives the origin; workers are of kind 0 (fast) or 1 (slow).
pub const ORIGIN_KIND: u32 = 2;
/// The origin's number as a server.
pub const ORIGIN: ServerId = number(0);
/// Numbers from here on belong to machines that a stale list names and that are long gone.
const GHOSTS: u32 = 1 << 24;

/// The number of the `i`-th server: odd multiples modulo 2^32 differ from one another and tell nothing.
pub const fn number(i: u32) -> ServerId {
    (i + 1).wrapping_mul(2_654_435_761)
}

/// The number of the `i`-th machine that is long gone.
pub const fn ghost(i: u32) -> ServerId {
    number(GHOSTS + i)
}

/// One worker's machine.
pub struct Machine {
    /// Its worker.
    pub worker: Backend,
    /// Its number as a server.
    pub server: ServerId,
    /// Its line in the list.
    pub line: Line,
    /// When its next wake-up is on the agenda; [`NEVER`] if none is.
    pub wake: Time,
    /// Processes that it has had: a connection belongs to one of them.
    pub process: u32,
    /// What it is sent while it warms up after its latest start.
    pub slow_start: Option<Meter>,
}

/// Everything but the proxies and the clients.
pub struct World {
    /// The workers' machines.
    pub machines: Vec<Machine>,
    /// Which machine answers at the address that a server's number stands for.
    pub address: FxHashMap<ServerId, u32>,
    /// The origin.
    pub origin: Origin,
    /// When its next wake-up is on the agenda.
    pub origin_wake: Time,
    /// Which copies are void.
    pub truth: Truth,
    /// Delays and cut links.
    pub network: Network,
    /// Machines that say nothing.
    pub silence: Silence,
    /// Connections of proxies to workers, in virtual time.
    pub connections: Connections,
    /// What delays are drawn from.
    pub way: ChaCha8Rng,
    /// What errors are drawn from.
    pub service: ChaCha8Rng,
    /// Workers that have started during the day and are not warm yet.
    pub cold: Vec<u32>,
    memory: u64,
    make: ChaCha8Rng,
    /// What a fetch takes on average, in microseconds.
    pub fetch_work: f64,
    mean_work: f64,
}

/// While memories fill, the origin is so many times as wide: a day begins with what was asked for lately.
pub const WIDE: f64 = 20.0;
/// And for so much of the warm-up: the rest is for the policies to find out what it can really do.
pub const WIDE_FOR: f64 = 0.6;
/// The zone of the origin.
pub const ORIGIN_ZONE: u32 = 0;

impl World {
    /// The world of a spec: warm workers with empty memories.
    pub fn new(spec: &Spec, seed: u64) -> Self {
        let mut make = rng(seed, Purpose::Machines);
        let zones = spec.zones.len() as u32;
        let n = &spec.network;
        let cross = (ms(n.cross_ms.0), ms(n.cross_ms.1));
        let network = Network::new(zones, ms(n.same_ms), cross, n.jitter, &mut make);
        let o = &spec.origin;
        let fetch_work = o.fetch_ms * 1e3;
        // Capacity is in fetches a second: so many cores, each done with one in `fetch_ms`.
        let cores = spec.origin_capacity() * o.fetch_ms / 1e3;
        let slots = cores.ceil().max(1.0);
        let waiting = (spec.origin_capacity() * o.queue_s).ceil();
        let figures = origin::Figures {
            station: station::Figures {
                cores,
                slots: slots as usize,
                room: waiting as usize,
                crowding: Crowding { from: slots, cost: o.crowding },
            },
            fall_multiple: o.fall_multiple,
            fall_time: secs(o.fall_s),
            down: secs(o.down_s),
            most_stops: 2,
            drops_unwanted: o.drops_unwanted,
        };
        let mut world = World {
            machines: Vec::new(),
            address: FxHashMap::default(),
            origin: Origin::new(figures, fetch_work),
            origin_wake: NEVER,
            truth: Truth::new((spec.keys.keep_s > 0.0).then(|| secs(spec.keys.keep_s))),
            network,
            silence: Silence::default(),
            connections: Connections::new(spec.backends.streams, secs(spec.backends.idle_s)),
            way: rng(seed, Purpose::Network),
            service: rng(seed, Purpose::Service),
            cold: Vec::new(),
            memory: spec.backend_memory(),
            make,
            fetch_work,
            mean_work: spec.mean_work(),
        };
        for i in 0..spec.backends.count {
            world.add_machine(spec, i % zones);
        }
        world
    }

    /// A new machine, warm and running; says which.
    pub fn add_machine(&mut self, spec: &Spec, zone: u32) -> u32 {
        let i = self.machines.len() as u32;
        let w = &spec.backends;
        let slow = self.make.random::<f64>() < w.slow_share;
        // Within twice the deviation, evenly: no machine is faster than its kind by chance alone.
        let off = 1.0 + w.speed_cv * 1.7 * (2.0 * self.make.random::<f64>() - 1.0);
        let speed = if slow { w.speeds.1 } else { w.speeds.0 } * off;
        let figures = backend::Figures {
            station: station::Figures {
                cores: w.cores,
                slots: (f64::from(w.slots) * w.cores).ceil() as usize,
                room: (f64::from(w.room) * w.cores).ceil() as usize,
                crowding: Crowding { from: w.crowding.0 * w.cores, cost: w.crowding.1 },
            },
            speed,
            cold_from: w.cold_from,
            cold: secs(w.cold_s),
            fall_multiple: spec.rules.fall_multiple,
            fall_time: secs(spec.rules.fall_s),
            memory: self.memory,
            evict: w.evict,
            error_rate: w.error_rate,
            on_cancel: w.on_cancel,
            connections: w.connections,
            full_tax: w.full_tax,
            choke: (w.choke_at > 0.0).then(|| Choke {
                at: w.choke_at,
                over: secs(w.choke_over_s),
                slower: w.choke_slower,
                below: w.choke_rest.0,
                rest: secs(w.choke_rest.1),
                most: secs(w.choke_most_s),
            }),
        };
        let (period, delay, noise) = w.report_ms;
        let reporter = Reporter::new(ms(period), ms(delay), noise, 0);
        let server = number(i + 1);
        let size = if spec.discovery.tells_sizes { speed * w.cores } else { 1.0 };
        let line =
            Line { server, kind: slow.into(), zone, cell: i / 4, size, started: 0, state: Listed::Serving };
        let worker = Backend::new(figures, reporter, self.mean_work);
        self.machines.push(Machine { worker, server, line, wake: NEVER, process: 0, slow_start: None });
        self.address.insert(server, i);
        i
    }

    /// The list as it is when the day begins.
    pub fn lines(&self) -> Vec<Line> {
        let origin = Line {
            server: ORIGIN,
            kind: ORIGIN_KIND,
            zone: ORIGIN_ZONE,
            cell: u32::MAX,
            size: 1.0,
            started: 0,
            state: Listed::Serving,
        };
        self.machines.iter().map(|m| m.line).chain([origin]).collect()
    }

    /// The share of all reads that is due to cold workers when their weights are cut by the stated warm-up.
    pub fn cold_share(&mut self, now: Time, spec: &Spec) -> f64 {
        let machines = &self.machines;
        self.cold.retain(|&m| {
            let worker = &machines[m as usize].worker;
            worker.state() != State::Down && now < worker.started() + secs(spec.rules.cold_s)
        });
        if self.cold.is_empty() {
            return 0.0;
        }
        let weight = |m: &u32| {
            let age = (now - self.machines[*m as usize].worker.started()) as f64;
            let rise = age / secs(spec.rules.cold_s).max(1) as f64;
            spec.rules.cold_from + (1.0 - spec.rules.cold_from) * rise
        };
        let cold: f64 = self.cold.iter().map(weight).sum();
        let up = self.machines.iter().filter(|m| m.worker.state() == State::Up).count();
        let warm = up.saturating_sub(self.cold.len()) as f64;
        cold / (cold + warm).max(1e-9)
    }

    /// Whether what is sent between a proxy's zone and a machine (`None`: the origin) arrives.
    pub fn reaches(&self, now: Time, zone: u32, machine: Option<u32>) -> bool {
        let silent = machine.is_some_and(|m| self.silence.is_silent(m, now));
        !silent && self.network.linked(zone, self.zone(machine))
    }

    /// The zone of a machine, or of the origin.
    pub fn zone(&self, machine: Option<u32>) -> u32 {
        machine.map_or(ORIGIN_ZONE, |m| self.machines[m as usize].line.zone)
    }

    /// The delay of one message between a proxy's zone and a machine.
    pub fn delay(&mut self, zone: u32, machine: Option<u32>) -> Time {
        let to = self.zone(machine);
        self.network.delay(zone, to, &mut self.way)
    }
}

/// What a policy that sees everything sees.
pub struct View<'a> {
    /// The world.
    pub world: &'a World,
    /// The time.
    pub now: Time,
    /// The zone of who looks.
    pub zone: u32,
}

impl View<'_> {
    fn machine(&self, server: ServerId) -> Option<&Machine> {
        let i = *self.world.address.get(&server)?;
        let machine = &self.world.machines[i as usize];
        let up = machine.worker.state() == State::Up && self.world.reaches(self.now, self.zone, Some(i));
        up.then_some(machine)
    }
}

impl OracleView for View<'_> {
    fn wait(&self, server: ServerId, work: f64) -> Option<f64> {
        let machine = self.machine(server)?;
        let held = machine.worker.station().held();
        if held >= machine.worker.station().bound() {
            return None;
        }
        let sharing = (held as f64 + 1.0).max(1.0);
        let trip = 2.0 * self.world.network.usual(self.zone, machine.line.zone) as f64;
        Some(trip + work * sharing / machine.worker.capacity(self.now).max(1e-9))
    }

    fn holds(&self, server: ServerId, key: Key) -> bool {
        self.machine(server).is_some_and(|m| m.worker.memory().peek(self.now, key, &self.world.truth))
    }

    fn capacity(&self, server: ServerId) -> f64 {
        self.machine(server).map_or(0.0, |m| m.worker.capacity(self.now))
    }

    fn origin_wait(&self) -> Option<f64> {
        let origin = &self.world.origin;
        if origin.is_down(self.now) || !self.world.reaches(self.now, self.zone, None) {
            return None;
        }
        let waiting = origin.station().held() - origin.station().in_work();
        let cores = origin.station().bound().max(1) as f64;
        let rate = origin.station().in_work().max(1) as f64;
        Some(self.world.fetch_work * (1.0 + waiting as f64 / rate.min(cores)))
    }

    fn reported(&self, server: ServerId) -> Option<f64> {
        self.machine(server)?.worker.reporter.seen(self.now).map(|r| r.util)
    }
}

/// What the registry is like.
pub fn registry_figures(spec: &Spec) -> discovery::Figures {
    let r = &spec.discovery;
    discovery::Figures {
        add_notice: secs(r.add_s),
        notice: secs(r.notice_s),
        silent_notice: secs(r.silent_s),
        period: ms(r.period_ms),
        spread: ms(r.spread_ms),
        call: ms(r.call_ms.0),
        line: ms(r.call_ms.1),
        timeout: ms(r.timeout_ms),
    }
}

/// The settings that the decision modules of a day are given.
pub fn settings(spec: &Spec) -> Settings {
    let class = |c: &notchdoor_model::spec::ClassSpec| Class {
        latency_objective: ms(c.aim_ms),
        priority_weight: c.worth,
        late_value_share: c.late_worth,
        window_share: 1.0,
        effect: match c.effect() {
            Effect::Safe => notchdoor::Effect::Idempotent,
            Effect::Keyed { window } => notchdoor::Effect::Deduplicated { scope: Scope::All, window },
            Effect::Unsafe => notchdoor::Effect::AtMostOnce,
        },
    };
    let r = &spec.rules;
    Settings {
        proxies: spec.proxies,
        classes: spec.classes.iter().map(class).collect(),
        tenants: quotas(spec).into_iter().map(|quota_per_s| Tenant { quota_per_s }).collect(),
        over_quota_weight: r.over_share_worth,
        origin_kind: Some(ORIGIN_KIND),
        discovery: Discovery::OnRequest { poll_interval: secs(spec.discovery.ask_every_s) },
        sizes_vary_with_load: false,
        max_attempts: r.max_attempts,
        hedging: r.second_copies,
        may_cancel: r.may_cancel,
        max_retry_after: ms(spec.clients.most_wait_ms),
        max_in_flight: r.most_held,
        initial_capacity_share: r.cold_from,
        warmup: secs(r.cold_s),
        overload_multiple: r.fall_multiple,
        overload_window: secs(r.fall_s),
    }
}

/// What the settings allow a warming backend.
pub fn slow_start_allowance(spec: &Spec) -> Allowance {
    Allowance {
        fall_multiple: spec.rules.fall_multiple,
        fall_time: secs(spec.rules.fall_s),
        cold_from: spec.rules.cold_from,
        cold: secs(spec.rules.cold_s),
        mean_work: spec.mean_work(),
    }
}

/// What a policy file is checked against on a day of this spec.
pub fn facts(spec: &Spec) -> PolicyContext {
    PolicyContext {
        settings: settings(spec),
        classes: spec.classes.iter().map(|c| c.name.clone()).collect(),
        deadlines: spec.classes.iter().map(|c| ms(c.deadline_ms)).collect(),
        tenants: spec.tenants.iter().map(|t| t.name.clone()).collect(),
    }
}

/// Requests a second that count as within each tenant's share.
pub fn quotas(spec: &Spec) -> Vec<f64> {
    let all = spec.rules.quota_of_capacity * spec.rate_at(1.0);
    spec.tenants.iter().map(|t| t.share * all).collect()
}

/// What comes next. Things of one moment come in the order in which they were put there.
#[derive(Clone, Copy, Debug)]
pub enum Next {
    /// The next request of the day is wanted.
    Want,
    /// A client sends a try for an order.
    Try(u64),
    /// A try reaches its proxy.
    Reach(u64),
    /// A try's client leaves before its time.
    Leave(u64),
    /// A try's client gives it up.
    GaveUp(u64),
    /// A try must be answered by now.
    Overdue(u64),
    /// A client hears how its try ended.
    Heard(u64),
    /// A timer of a proxy's process.
    Timer(u32, u32, u64),
    /// An attempt's last byte reaches its server.
    Land(u64),
    /// A proxy stops waiting for an attempt.
    GiveUp(u64),
    /// The server learns that nobody waits for an attempt.
    Unwanted(u64),
    /// An attempt's answer, or its failure, reaches the proxy.
    Back(u64, notchdoor::Outcome),
    /// A machine wants to be advanced.
    Wake(u32),
    /// The origin does.
    WakeOrigin,
    /// The registry does.
    WakeRegistry,
    /// A proxy is told something by the registry.
    Tell(u64),
    /// A step of a fault.
    Fault(u32, u32),
    /// The time in which memories fill is over.
    Warm,
    /// Figures are taken once a second.
    Second,
}

struct Entry(Time, u64, Next);

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// What comes, in order of time, and of the order in which it was put there.
#[derive(Default)]
pub struct Agenda {
    heap: BinaryHeap<Reverse<Entry>>,
    order: u64,
}

impl Agenda {
    /// Puts something there for a time.
    pub fn put(&mut self, at: Time, next: Next) {
        self.order += 1;
        self.heap.push(Reverse(Entry(at, self.order, next)));
    }

    /// What comes next.
    pub fn take(&mut self) -> Option<(Time, Next)> {
        self.heap.pop().map(|Reverse(Entry(at, _, next))| (at, next))
    }
}
