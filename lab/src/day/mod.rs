//! A day in virtual time: a deterministic loop that drives the proxies' decisions against the model.
//!
//! Everything that happens is one entry of the agenda; entries of one moment come in the order in which they
//! were put there. Nothing is drawn from a hash table's order, and each part of the world has its own random
//! stream, so a day is the same on every run, in every process and beside any number of other threads.

mod clients;
mod faults;
mod proxies;
mod servers;
pub mod world;

use crate::interface::Policy;
use crate::policy::Kind;
use crate::record::{Claim, Day as Played, Limited, Recorder};
use crate::rules::{Breach, Finding, NotifiedList, Rule, Sent, Verifier};
use notchdoor::{Action, Event, Settings};
use notchdoor_limits::policy::Policy as Limits;
use notchdoor_model::clients::{AttemptResult, ClientBehaviour, ClientRequest, Workload};
use notchdoor_model::discovery::{Delivery, Discovery, ServerId};
use notchdoor_model::front::FrontBalancer;
use notchdoor_model::spec::Spec;
use notchdoor_model::station::Finished;
use notchdoor_model::time::{ms, rng, secs, Purpose, Time, S};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use world::{Agenda, Next, World};

/// Lines of what happened that are kept for a breach.
const TRACE: usize = 4096;
/// Lines of them that a breach prints.
const TRACE_TOLD: usize = 48;
/// Bytes that are hashed at once.
const PIECE: usize = 1 << 16;
/// Breaches of baselines that are kept, one of each rule.
const MOST_BREACHES: usize = 16;

/// What a client wants, over all its tries.
struct Order {
    want: ClientRequest,
    claim: Claim,
    tries: u32,
    /// When the first try that may have run was sent.
    risked: Option<Time>,
    /// Times that it was carried out.
    ran: u32,
    ran_at: Time,
    /// The client has its answer, or has given it up.
    settled: bool,
    /// Tries open and attempts not done with: the order is kept for as long.
    refs: u32,
}

/// One try, which is a request to a proxy.
struct Try {
    order: u64,
    proxy: u32,
    process: u32,
    sent: Time,
    due: Time,
    /// The proxy took it and has not answered.
    open: bool,
    /// Its client waits for it.
    waited: bool,
    heard: Option<AttemptResult>,
    attempts: Vec<Sent>,
    /// The numbers of its attempts, in the same order.
    numbers: Vec<u64>,
    out: u32,
    /// Workers at which it missed, the first two.
    missed: [Option<u32>; 2],
    cold_miss: bool,
}

/// One attempt.
struct Attempt {
    request: u64,
    order: u64,
    n: u32,
    proxy: u32,
    process: u32,
    zone: u32,
    server: ServerId,
    /// The worker's machine; `None` for the origin.
    machine: Option<u32>,
    machine_process: u32,
    sent: Time,
    fresh: bool,
    handshake: f64,
    /// The proxy waits for it no more.
    ended: bool,
    /// It holds a place on a connection.
    placed: bool,
    /// The server and the network have nothing more to do with it.
    settled: bool,
    /// When its last byte is written: before that it can never have run.
    written_at: Time,
    /// It has reached its server.
    landed: bool,
    work: f64,
    /// It is a fetch for a miss at a cold worker.
    blamed: bool,
    /// When the origin made its value.
    made: Time,
}

/// One proxy and its process.
struct Proxy {
    zone: u32,
    up: bool,
    process: u32,
    policy: Box<dyn Policy>,
    told: NotifiedList,
    /// Requests open or with attempts out; a copy of what the policy should count.
    held: usize,
    out: u64,
    open: FxHashSet<u64>,
    asked_at: Time,
}

/// Something that happened, for the trace.
#[derive(Clone, Debug)]
struct Trace {
    at: Time,
    proxy: Option<u32>,
    request: Option<u64>,
    server: Option<ServerId>,
    what: String,
}

/// A day being played.
pub struct Day<'a> {
    spec: &'a Spec,
    kind: Kind,
    limits: &'a [Arc<Limits>],
    seed: u64,
    now: Time,
    end: Time,
    tick: Time,
    settings: Settings,
    agenda: Agenda,
    world: World,
    registry: Discovery,
    registry_wake: Time,
    tellings: FxHashMap<u64, Delivery>,
    next_telling: u64,
    proxies: Vec<Proxy>,
    front: FrontBalancer,
    demand: Workload,
    client_behaviour: ClientBehaviour,
    clients: ChaCha8Rng,
    fault_rng: ChaCha8Rng,
    module_rng: ChaCha8Rng,
    fault_state: BTreeMap<u32, Vec<u32>>,
    orders: FxHashMap<u64, Order>,
    tries: FxHashMap<u64, Try>,
    attempts: FxHashMap<u64, Attempt>,
    ids: u64,
    verifier: Verifier,
    record: Recorder,
    breaches: Vec<Breach>,
    breach_count: u64,
    told_trace: Vec<String>,
    trace: VecDeque<Trace>,
    tracing: bool,
    digest: blake3::Hasher,
    /// What goes into the digest next: hashed in large pieces, which is several times as fast.
    undigested: Vec<u8>,
    stops: u32,
    falls: u32,
    actions: Vec<Action>,
    done: Vec<Finished>,
    told: Vec<Delivery>,
    work_before: Vec<f64>,
}

/// Plays a day. `trace` keeps what happened, so that a breach can tell what led to it; it costs time.
pub fn play(spec: &Spec, scenario: &str, seed: u64, kind: Kind, trace: bool) -> Played {
    play_with(spec, scenario, seed, (kind, &[]), trace)
}

/// Plays a day with limits round the module: of [`Kind::Limited`], those of the first file; where there are more,
/// every proxy takes the next one up every second, beginning again after the last, as after a reload by signal.
pub fn play_with(
    spec: &Spec,
    scenario: &str,
    seed: u64,
    (kind, limits): (Kind, &[Arc<Limits>]),
    trace: bool,
) -> Played {
    let began = std::time::Instant::now();
    let mut day = Day::new(spec, seed, (kind, limits), trace);
    day.run();
    let mut played = day.finish(scenario);
    played.took_s = began.elapsed().as_secs_f64();
    played
}

impl<'a> Day<'a> {
    fn new(spec: &'a Spec, seed: u64, (kind, limits): (Kind, &'a [Arc<Limits>]), tracing: bool) -> Self {
        let world = World::new(spec, seed);
        let settings = world::settings(spec);
        let zones = spec.zones.len() as u32;
        let registry = Discovery::new(world::registry_figures(spec), world.lines(), seed);
        let (_, end) = spec.scored_interval();
        let mut day = Day {
            spec,
            kind,
            limits,
            seed,
            now: 0,
            end,
            tick: ms(spec.tick_ms),
            verifier: Verifier::new(settings.clone(), ms(spec.rules.drain_grace_ms)),
            settings,
            agenda: Agenda::default(),
            registry,
            registry_wake: Time::MAX,
            tellings: FxHashMap::default(),
            next_telling: 0,
            proxies: Vec::new(),
            front: FrontBalancer::new(
                (0..spec.proxies).map(|p| p % zones),
                secs(spec.front.detection_delay_s),
            ),
            demand: Workload::new(spec, spec.rate(), seed),
            client_behaviour: ClientBehaviour::new(&spec.clients),
            clients: rng(seed, Purpose::Clients),
            fault_rng: rng(seed, Purpose::Faults),
            module_rng: rng(seed, Purpose::Modules),
            fault_state: BTreeMap::new(),
            orders: FxHashMap::default(),
            tries: FxHashMap::default(),
            attempts: FxHashMap::default(),
            ids: 0,
            record: Recorder::new(spec, world::quotas(spec)),
            breaches: Vec::new(),
            breach_count: 0,
            told_trace: Vec::new(),
            trace: VecDeque::new(),
            tracing,
            digest: blake3::Hasher::new(),
            undigested: Vec::with_capacity(PIECE),
            stops: 0,
            falls: 0,
            actions: Vec::new(),
            done: Vec::new(),
            told: Vec::new(),
            work_before: vec![0.0; world.machines.len()],
            world,
        };
        let list = day.registry.list();
        for p in 0..spec.proxies {
            let seed = day.module_rng.random();
            day.proxies.push(Proxy {
                zone: p % zones,
                up: true,
                process: 0,
                policy: kind.start(&day.settings, limits.first(), seed, 0),
                told: NotifiedList::default(),
                held: 0,
                out: 0,
                open: FxHashSet::default(),
                asked_at: 0,
            });
            day.tell_list(p, &list, true);
        }
        for (i, fault) in spec.faults.iter().enumerate() {
            let at = secs(spec.warm_up_s + fault.at_s);
            day.agenda.put(at, Next::Fault(i as u32, 0));
        }
        if spec.warm_up_s > 0.0 {
            day.world.origin.scale_capacity(world::WIDE);
            day.agenda.put(secs(spec.warm_up_s * world::WIDE_FOR), Next::Warm);
        }
        let first = day.demand.next_arrival(0);
        day.agenda.put(first, Next::Want);
        day.agenda.put(S, Next::Second);
        day
    }

    fn run(&mut self) {
        while let Some((at, next)) = self.agenda.take() {
            debug_assert!(at >= self.now, "time goes back");
            self.now = at;
            self.step(next);
            if self.breach_count > 0 && self.kind.must_keep_rules() {
                return;
            }
            // What is left once nobody is owed an answer is only timers and faults that undo themselves.
            if self.now > self.end && self.orders.is_empty() {
                break;
            }
        }
        self.check_left_over();
        self.check_accounts();
    }

    fn step(&mut self, next: Next) {
        match next {
            Next::Want => self.want(),
            Next::Try(order) => self.send_try(order),
            Next::Reach(id) => self.reach(id),
            Next::Leave(id) => self.leave(id),
            Next::GaveUp(id) => self.gave_up(id),
            Next::Overdue(id) => self.overdue(id),
            Next::Heard(id) => self.heard(id),
            Next::Timer(proxy, process, token) => {
                if self.runs(proxy, process) {
                    self.feed(proxy, Event::Timer(token));
                }
            }
            Next::Land(attempt) => self.land(attempt),
            Next::GiveUp(attempt) => self.give_up(attempt),
            Next::Unwanted(attempt) => self.unwanted(attempt),
            Next::Back(attempt, outcome) => self.back(attempt, outcome),
            Next::Wake(machine) => {
                let m = &mut self.world.machines[machine as usize];
                // An earlier wake-up has taken this one's place.
                if m.wake == self.now {
                    m.wake = Time::MAX;
                    self.advance_machine(machine);
                    self.schedule_machine(machine);
                }
            }
            Next::WakeOrigin => {
                if self.world.origin_wake == self.now {
                    self.world.origin_wake = Time::MAX;
                    self.advance_origin();
                    self.schedule_origin();
                }
            }
            Next::WakeRegistry => {
                if self.registry_wake == self.now {
                    self.registry_wake = Time::MAX;
                    let mut told = std::mem::take(&mut self.told);
                    self.registry.advance(self.now, &mut told);
                    self.put_tellings(told);
                }
            }
            Next::Tell(n) => self.tell(n),
            Next::Fault(i, step) => self.fault(i, step),
            Next::Warm => {
                self.advance_origin();
                self.world.origin.scale_capacity(1.0);
                self.schedule_origin();
            }
            Next::Second => self.second(),
        }
    }

    fn id(&mut self) -> u64 {
        self.ids += 1;
        self.ids
    }

    /// When a proxy handles what comes in at `at`: it looks once a tick.
    fn at_proxy(&self, at: Time) -> Time {
        at.div_ceil(self.tick.max(1)) * self.tick.max(1)
    }

    fn runs(&self, proxy: u32, process: u32) -> bool {
        let p = &self.proxies[proxy as usize];
        p.up && p.process == process
    }

    /// Goes into the digest.
    fn digest(&mut self, tag: u8, numbers: &[u64]) {
        self.undigested.push(tag);
        self.undigested.extend_from_slice(&self.now.to_le_bytes());
        for n in numbers {
            self.undigested.extend_from_slice(&n.to_le_bytes());
        }
        if self.undigested.len() >= PIECE - 64 {
            self.digest.update(&self.undigested);
            self.undigested.clear();
        }
    }

    fn note(
        &mut self,
        proxy: Option<u32>,
        request: Option<u64>,
        server: Option<ServerId>,
        what: impl FnOnce() -> String,
    ) {
        if self.tracing {
            if self.trace.len() == TRACE {
                self.trace.pop_front();
            }
            self.trace.push_back(Trace { at: self.now, proxy, request, server, what: what() });
        }
    }

    /// Takes down a broken rule, with what led to it.
    fn breach(
        &mut self,
        rule: Rule,
        proxy: Option<u32>,
        request: Option<u64>,
        server: Option<ServerId>,
        what: String,
    ) {
        self.breach_count += 1;
        if self.told_trace.is_empty() && self.tracing {
            let about = |t: &&Trace| {
                let same = |a: Option<u64>, b: Option<u64>| a.is_some() && a == b;
                same(t.request, request)
                    || same(t.server.map(u64::from), server.map(u64::from))
                    || (request.is_none() && server.is_none() && t.proxy == proxy)
                    || (t.request.is_none() && t.server.is_none())
            };
            let lines: Vec<String> = self.trace.iter().filter(about).map(Trace::line).collect();
            self.told_trace = lines[lines.len().saturating_sub(TRACE_TOLD)..].to_vec();
        }
        if self.breaches.len() < MOST_BREACHES && !self.breaches.iter().any(|b| b.rule == rule) {
            self.breaches.push(Breach { rule, at: self.now, proxy, request, what });
        }
    }

    fn judge(
        &mut self,
        finding: Finding,
        proxy: Option<u32>,
        request: Option<u64>,
        server: Option<ServerId>,
    ) -> bool {
        match finding {
            Ok(()) => true,
            Err((rule, what)) => {
                self.breach(rule, proxy, request, server, what);
                false
            }
        }
    }

    /// One reference to an order fewer.
    fn release(&mut self, order: u64) {
        if let Some(o) = self.orders.get_mut(&order) {
            o.refs -= 1;
            if o.refs == 0 && o.settled {
                self.orders.remove(&order);
            }
        }
    }

    fn second(&mut self) {
        let seconds = &mut self.work_before;
        let mut busy = (0.0, 0.0_f64);
        let mut up = 0;
        seconds.resize(self.world.machines.len(), 0.0);
        for (i, m) in self.world.machines.iter().enumerate() {
            let work = m.worker.station().tally().work;
            // Beside what it could do alone and warm: another program's share is not there to be used.
            let share = (work - seconds[i]) / (m.worker.full_capacity() * S as f64).max(1e-9);
            seconds[i] = work;
            if m.worker.state() != notchdoor_model::backend::State::Down {
                up += 1;
                busy = (busy.0 + share, busy.1.max(share));
            }
        }
        let window: f64 = self.proxies.iter().filter(|p| p.up).filter_map(|p| p.policy.window()).sum();
        let origin = self.world.origin.station();
        let (held, origin_busy) = (origin.in_flight(), origin.utilization());
        let before = self.now - S;
        let at = self.record.at(before);
        at.busy = (busy.0 / f64::from(up.max(1)), busy.1);
        at.workers = up;
        at.window = window;
        at.origin_held = held;
        at.origin_busy = origin_busy;
        self.reload_limits();
        self.deem_told();
        self.check_bounds();
        if self.now < self.end {
            self.agenda.put(self.now + S, Next::Second);
        }
    }

    /// Every proxy takes up the next file of limits, if there are several.
    fn reload_limits(&mut self) {
        if self.limits.len() < 2 || !self.kind.needs_limits() {
            return;
        }
        let next = &self.limits[(self.now / S) as usize % self.limits.len()];
        for p in self.proxies.iter_mut().filter(|p| p.up) {
            p.policy.reload(Arc::clone(next), self.now);
        }
    }

    fn check_bounds(&mut self) {
        let over = self.world.machines.iter().find(|m| {
            let (used, room) = m.worker.cache().used();
            m.worker.station().in_flight() > m.worker.station().max_in_flight() || used > room
        });
        if let Some(server) = over.map(|m| m.server) {
            self.breach(
                Rule::Bound,
                None,
                None,
                Some(server),
                format!("server {server} holds more than it can"),
            );
        }
        let origin = self.world.origin.station();
        if origin.in_flight() > origin.max_in_flight() {
            self.breach(Rule::Bound, None, None, None, "the origin holds more than it can".to_owned());
        }
        let most = self.settings.max_in_flight as usize;
        if let Some(p) = self.proxies.iter().position(|p| p.held > most) {
            let held = self.proxies[p].held;
            let what = format!("proxy {p} holds {held} requests, more than {most}");
            self.breach(Rule::Bound, Some(p as u32), None, None, what);
        }
    }

    fn check_left_over(&mut self) {
        for p in 0..self.proxies.len() {
            let proxy = &self.proxies[p];
            if !proxy.up {
                continue;
            }
            let left = proxy.policy.left_over().map(|l| format!("proxy {p} still keeps {l}"));
            let counted = (proxy.held > 0 || proxy.out > 0)
                .then(|| format!("proxy {p} has {} requests and {} attempts left", proxy.held, proxy.out));
            if let Some(what) = left.or(counted) {
                self.breach(Rule::LeftOver, Some(p as u32), None, None, what);
            }
        }
        let (tries, attempts) = (self.tries.len(), self.attempts.len());
        if tries + attempts > 0 {
            let what = format!("{tries} tries and {attempts} attempts are left when the day is over");
            self.breach(Rule::LeftOver, None, None, None, what);
        }
    }

    fn finish(mut self, scenario: &str) -> Played {
        self.digest.update(&self.undigested);
        let broken = self.breach_count > 0;
        let mut limited = Limited::default();
        for (done, opened) in self.proxies.iter().filter_map(|p| p.policy.limited()) {
            limited.add(&done, opened);
        }
        Played {
            scenario: scenario.to_owned(),
            policy: self.kind.name().to_owned(),
            seed: self.seed,
            warm_up_s: self.spec.warm_up_s,
            faults: self.spec.faults.clone(),
            digest: self.digest.finalize().to_hex().to_string(),
            limited,
            stops: self.stops,
            falls: self.falls,
            breaches: self.breaches,
            breach_count: self.breach_count,
            trace: self.told_trace,
            ..self.record.sum_up(self.spec, broken)
        }
    }
}

impl Trace {
    fn line(&self) -> String {
        let named = |name: &str, n: Option<u64>| n.map_or(String::new(), |n| format!(" {name} {n}"));
        format!(
            "{:>12.6} s{}{}{}: {}",
            self.at as f64 / 1e6,
            named("proxy", self.proxy.map(u64::from)),
            named("request", self.request),
            named("server", self.server.map(u64::from)),
            self.what
        )
    }
}
