//! The machines of a day, as the host keeps them, and the agenda of what comes next.

use crate::interface::OracleView;
use notchdoor::{Class, Discovery, Key, Scope, ServerId, Settings, Tenant};
use notchdoor_limits::policy_file::PolicyContext;
use notchdoor_model::backend::{self, Backend, Degradation, State};
use notchdoor_model::cache::Validity;
use notchdoor_model::discovery::{self, EndpointEntry, ListedState};
use notchdoor_model::network::{Connections, Network, SilentMachines};
use notchdoor_model::origin::{self, Origin};
use notchdoor_model::report::Reporter;
use notchdoor_model::slow_start::{Allowance, SlowStartMeter};
use notchdoor_model::spec::{Effect, Spec};
use notchdoor_model::station::{self, Contention};
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
    pub line: EndpointEntry,
    /// When its next wake-up is on the agenda; [`NEVER`] if none is.
    pub wake: Time,
    /// Processes that it has had: a connection belongs to one of them.
    pub process: u32,
    /// What it is sent while it warms up after its latest start.
    pub slow_start: Option<SlowStartMeter>,
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
    pub truth: Validity,
    /// Delays and cut links.
    pub network: Network,
    /// Machines that say nothing.
    pub silence: SilentMachines,
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
        let figures = origin::Config {
            station: station::Config {
                cores,
                slots: slots as usize,
                queue_capacity: waiting as usize,
                contention: Contention { from: slots, cost: o.contention },
            },
            overload_multiple: o.overload_multiple,
            overload_window: secs(o.overload_window_s),
            outage: secs(o.down_s),
            max_stops: 2,
            drops_cancelled: o.drops_cancelled,
        };
        let mut world = World {
            machines: Vec::new(),
            address: FxHashMap::default(),
            origin: Origin::new(figures, fetch_work),
            origin_wake: NEVER,
            truth: Validity::new((spec.keys.ttl_s > 0.0).then(|| secs(spec.keys.ttl_s))),
            network,
            silence: SilentMachines::default(),
            connections: Connections::new(spec.backends.streams, secs(spec.backends.idle_s)),
            way: rng(seed, Purpose::Network),
            service: rng(seed, Purpose::Service),
            cold: Vec::new(),
            memory: spec.backend_cache_capacity(),
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
        let figures = backend::Config {
            station: station::Config {
                cores: w.cores,
                slots: (f64::from(w.slots) * w.cores).ceil() as usize,
                queue_capacity: (f64::from(w.queue_capacity) * w.cores).ceil() as usize,
                contention: Contention { from: w.contention.0 * w.cores, cost: w.contention.1 },
            },
            speed,
            initial_capacity_share: w.initial_capacity_share,
            warmup: secs(w.warmup_s),
            overload_multiple: spec.rules.overload_multiple,
            overload_window: secs(spec.rules.overload_window_s),
            cache_capacity: self.memory,
            eviction: w.eviction,
            error_rate: w.error_rate,
            on_cancel: w.on_cancel,
            max_connections: w.connections,
            max_connection_overhead: w.max_connection_overhead,
            degradation: (w.degraded_at > 0.0).then(|| Degradation {
                in_flight_per_core: w.degraded_at,
                after: secs(w.degraded_after_s),
                slowdown: w.degraded_slowdown,
                recovery_utilization: w.degraded_recovery.0,
                recovery_time: secs(w.degraded_recovery.1),
                max_duration: secs(w.max_degraded_s),
            }),
        };
        let (period, delay, noise) = w.report_ms;
        let reporter = Reporter::new(ms(period), ms(delay), noise, 0);
        let server = number(i + 1);
        let size = if spec.discovery.lists_true_sizes { speed * w.cores } else { 1.0 };
        let line = EndpointEntry {
            server,
            kind: slow.into(),
            zone,
            cell: i / 4,
            size,
            started: 0,
            state: ListedState::Serving,
        };
        let worker = Backend::new(figures, reporter, self.mean_work);
        self.machines.push(Machine { worker, server, line, wake: NEVER, process: 0, slow_start: None });
        self.address.insert(server, i);
        i
    }

    /// The list as it is when the day begins.
    pub fn lines(&self) -> Vec<EndpointEntry> {
        let origin = EndpointEntry {
            server: ORIGIN,
            kind: ORIGIN_KIND,
            zone: ORIGIN_ZONE,
            cell: u32::MAX,
            size: 1.0,
            started: 0,
            state: ListedState::Serving,
        };
        self.machines.iter().map(|m| m.line).chain([origin]).collect()
    }

    /// The share of all reads that is due to cold workers when their weights are cut by the stated warm-up.
    pub fn cold_share(&mut self, now: Time, spec: &Spec) -> f64 {
        let machines = &self.machines;
        self.cold.retain(|&m| {
            let worker = &machines[m as usize].worker;
            worker.state() != State::Down && now < worker.started_at() + secs(spec.rules.warmup_s)
        });
        if self.cold.is_empty() {
            return 0.0;
        }
        let weight = |m: &u32| {
            let age = (now - self.machines[*m as usize].worker.started_at()) as f64;
            let rise = age / secs(spec.rules.warmup_s).max(1) as f64;
            spec.rules.initial_capacity_share + (1.0 - spec.rules.initial_capacity_share) * rise
        };
        let cold: f64 = self.cold.iter().map(weight).sum();
        let up = self.machines.iter().filter(|m| m.worker.state() == State::Up).count();
        let warm = up.saturating_sub(self.cold.len()) as f64;
        cold / (cold + warm).max(1e-9)
    }

    /// Whether what is sent between a proxy's zone and a machine (`None`: the origin) arrives.
    pub fn reaches(&self, now: Time, zone: u32, machine: Option<u32>) -> bool {
        let silent = machine.is_some_and(|m| self.silence.is_silent(m, now));
        !silent && self.network.is_reachable(zone, self.zone(machine))
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
        let held = machine.worker.station().in_flight();
        if held >= machine.worker.station().max_in_flight() {
            return None;
        }
        let sharing = (held as f64 + 1.0).max(1.0);
        let trip = 2.0 * self.world.network.base_delay(self.zone, machine.line.zone) as f64;
        Some(trip + work * sharing / machine.worker.capacity(self.now).max(1e-9))
    }

    fn holds(&self, server: ServerId, key: Key) -> bool {
        self.machine(server).is_some_and(|m| m.worker.cache().peek(self.now, key, &self.world.truth))
    }

    fn capacity(&self, server: ServerId) -> f64 {
        self.machine(server).map_or(0.0, |m| m.worker.capacity(self.now))
    }

    fn origin_wait(&self) -> Option<f64> {
        let origin = &self.world.origin;
        if origin.is_down(self.now) || !self.world.reaches(self.now, self.zone, None) {
            return None;
        }
        let waiting = origin.station().in_flight() - origin.station().running();
        let cores = origin.station().max_in_flight().max(1) as f64;
        let rate = origin.station().running().max(1) as f64;
        Some(self.world.fetch_work * (1.0 + waiting as f64 / rate.min(cores)))
    }

    fn reported(&self, server: ServerId) -> Option<f64> {
        self.machine(server)?.worker.reporter.latest_visible(self.now).map(|r| r.util)
    }
}

/// What the registry is like.
pub fn registry_figures(spec: &Spec) -> discovery::Config {
    let r = &spec.discovery;
    discovery::Config {
        add_delay: secs(r.add_delay_s),
        removal_delay: secs(r.removal_delay_s),
        silent_removal_delay: secs(r.silent_removal_delay_s),
        publish_period: ms(r.publish_period_ms),
        max_delivery_delay: ms(r.max_delivery_delay_ms),
        call_time: ms(r.call_ms.0),
        call_time_per_endpoint: ms(r.call_ms.1),
        call_timeout: ms(r.timeout_ms),
    }
}

/// The settings that the decision modules of a day are given.
pub fn settings(spec: &Spec) -> Settings {
    let class = |c: &notchdoor_model::spec::ClassSpec| Class {
        latency_objective: ms(c.latency_objective_ms),
        priority_weight: c.priority_weight,
        late_value_share: c.late_value_share,
        window_share: 1.0,
        effect: match c.effect() {
            Effect::Idempotent => notchdoor::Effect::Idempotent,
            Effect::Deduplicated { window } => notchdoor::Effect::Deduplicated { scope: Scope::All, window },
            Effect::AtMostOnce => notchdoor::Effect::AtMostOnce,
        },
    };
    let r = &spec.rules;
    Settings {
        proxies: spec.proxies,
        classes: spec.classes.iter().map(class).collect(),
        tenants: quotas(spec).into_iter().map(|quota_per_s| Tenant { quota_per_s }).collect(),
        over_quota_weight: r.over_quota_weight,
        origin_kind: Some(ORIGIN_KIND),
        discovery: Discovery::OnRequest { poll_interval: secs(spec.discovery.poll_interval_s) },
        sizes_vary_with_load: false,
        max_attempts: r.max_attempts,
        hedging: r.hedging,
        may_cancel: r.may_cancel,
        max_retry_after: ms(spec.clients.max_retry_after_ms),
        max_in_flight: r.max_in_flight,
        initial_capacity_share: r.initial_capacity_share,
        warmup: secs(r.warmup_s),
        overload_multiple: r.overload_multiple,
        overload_window: secs(r.overload_window_s),
    }
}

/// What the settings allow a warming backend.
pub fn slow_start_allowance(spec: &Spec) -> Allowance {
    Allowance {
        overload_multiple: spec.rules.overload_multiple,
        overload_window: secs(spec.rules.overload_window_s),
        initial_capacity_share: spec.rules.initial_capacity_share,
        warmup: secs(spec.rules.warmup_s),
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
