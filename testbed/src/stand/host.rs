//! The lab's machines on sockets and in real time: workers, the origin and the registry, many in one thread. They are
//! the very state machines of the model; here is only what turns bytes into their events, and their ends into bytes.
//!
//! Every proxy has listeners of its own for each machine, so that whoever connects is known: delays and cut zones are
//! those of its zone.

use super::list::{Call, Target, Update, BEAT, UNAVAILABLE, WATCH};
use super::origin::{Request, Requests, Say as OriginSays};
use super::worker::{Ask, Commands, Say, Went};
use super::Info;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use notchdoor::Outcome;
use notchdoor_lab::rules::NotifiedList;
use notchdoor_lab::world::{number, registry_figures, World, ORIGIN, ORIGIN_KIND};
use notchdoor_model::backend::{self, State as Process};
use notchdoor_model::cache::{key_from_text, Key};
use notchdoor_model::clients::unit_mean_lognormal;
use notchdoor_model::discovery::{Delivery, Discovery, EndpointEntry, EndpointUpdate, ListedState, ServerId};
use notchdoor_model::origin;
use notchdoor_model::spec::{Effect, Spec};
use notchdoor_model::station::{Finished, Job};
use notchdoor_model::time::{ms, secs, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Bytes read at once.
const READ: usize = 16 * 1024;
/// Requests whose misses, and writes whose effects, are remembered.
const MOST_REMEMBERED: usize = 100_000;
/// A machine takes so long to say that it lacks a key, or has no room, in microseconds.
const QUICK: Time = 200;
/// Tellings on their way to one proxy at the most.
const MOST_TELLINGS: usize = 1024;
/// The registry's beat.
const BEAT_EVERY: Duration = Duration::from_secs(2);
/// A unit of room stands for so many bytes of a value; values hold 64 KiB at the most.
const BYTES_A_UNIT: usize = 128;
const MOST_VALUE: usize = 64 * 1024;

/// What the stand-ins have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Reads that reached workers.
    pub reads: u64,
    /// Reads of keys that the worker did not hold.
    pub misses: u64,
    /// Commands that workers turned away.
    pub turned_away: u64,
    /// Fetches that reached the origin.
    pub fetches: u64,
    /// Writes that reached the origin.
    pub writes: u64,
    /// Writes that were carried out.
    pub ran: u64,
    /// At-most-once writes that were carried out again: a broken rule.
    pub ran_again: u64,
    /// Commands in a form that no client sent.
    pub syntax: u64,
    /// Connections that workers took.
    pub connections: u64,
    /// Times that a cold worker fell over, and that the origin stopped by itself.
    pub falls: u64,
    /// See above.
    pub stops: u64,
    /// The longest that the world's own clock was late, in microseconds.
    pub latest: u64,
}

struct State {
    world: World,
    registry: Discovery,
    rev: u64,
    /// What each proxy's watch is to be told.
    watches: Vec<Option<Sender<Delivery>>>,
    told: Vec<NotifiedList>,
    jobs: FxHashMap<Job, Sender<Outcome>>,
    last_job: Job,
    /// Workers at which a request missed, the first two, by its id.
    missed: FxHashMap<String, [Option<u32>; 2]>,
    missed_order: VecDeque<String>,
    /// When what a write stands for was carried out, by its idempotency key or its id.
    ran: FxHashMap<String, Time>,
    ran_order: VecDeque<String>,
    seen: Seen,
}

struct Inner {
    /// Weakly: it holds the tasks that hold this.
    executor: Weak<LocalExecutor<'static>>,
    spec: Spec,
    seed: u64,
    start: Instant,
    /// The system's time at the start, in milliseconds.
    unix: u64,
    state: RefCell<State>,
    nudge: (Sender<()>, Receiver<()>),
    /// Where each proxy reaches each server.
    endpoints: RefCell<FxHashMap<(u32, ServerId), SocketAddr>>,
    registries: RefCell<Vec<SocketAddr>>,
}

/// A world on sockets; it ends, with all its connections, when it is dropped.
pub struct Stand {
    inner: Rc<Inner>,
    _tasks: Vec<Task<()>>,
}

fn bind() -> io::Result<(Async<TcpListener>, SocketAddr)> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let address = listener.get_ref().local_addr()?;
    Ok((listener, address))
}

impl Stand {
    /// Starts the world of a spec, as it is when a day begins: warm workers with empty memories.
    pub fn start(executor: &Rc<LocalExecutor<'static>>, spec: &Spec, seed: u64) -> io::Result<Stand> {
        let world = World::new(spec, seed);
        let registry = Discovery::new(registry_figures(spec), world.lines(), seed);
        let proxies = spec.proxies;
        // What the stub discovery stamps starts with, as the protocol has it.
        #[allow(clippy::disallowed_methods)]
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let state = State {
            world,
            registry,
            rev: 1,
            watches: vec![None; proxies as usize],
            told: (0..proxies).map(|_| NotifiedList::default()).collect(),
            jobs: FxHashMap::default(),
            last_job: 0,
            missed: FxHashMap::default(),
            missed_order: VecDeque::new(),
            ran: FxHashMap::default(),
            ran_order: VecDeque::new(),
            seen: Seen::default(),
        };
        let inner = Rc::new(Inner {
            executor: Rc::downgrade(executor),
            spec: spec.clone(),
            seed,
            start: Instant::now(),
            unix,
            state: RefCell::new(state),
            nudge: async_channel::bounded(1),
            endpoints: RefCell::default(),
            registries: RefCell::default(),
        });
        let mut tasks = Vec::new();
        for proxy in 0..proxies {
            let (listener, address) = bind()?;
            inner.registries.borrow_mut().push(address);
            tasks.push(executor.spawn(accept(Rc::clone(&inner), listener, proxy, Peer::Registry)));
            let machines = inner.state.borrow().world.machines.len() as u32;
            let peers = (0..machines).map(Peer::Worker).chain([Peer::Origin]);
            for peer in peers {
                let (listener, address) = bind()?;
                let server = match peer {
                    Peer::Worker(machine) => number(machine + 1),
                    _ => ORIGIN,
                };
                inner.endpoints.borrow_mut().insert((proxy, server), address);
                tasks.push(executor.spawn(accept(Rc::clone(&inner), listener, proxy, peer)));
            }
        }
        tasks.push(executor.spawn(Rc::clone(&inner).pulse()));
        Ok(Stand { inner, _tasks: tasks })
    }

    /// Where a proxy finds the registry.
    pub fn registry(&self, proxy: u32) -> Option<SocketAddr> {
        self.inner.registries.borrow().get(proxy as usize).copied()
    }

    /// The list as a proxy may know it when it starts.
    pub fn known(&self, proxy: u32) -> Update {
        self.inner.whole(proxy)
    }

    /// The origin stops for so long.
    pub fn stop_origin(&self, length: Duration) {
        let inner = &self.inner;
        let until = inner.now() + length.as_micros() as Time;
        let mut state = inner.state.borrow_mut();
        let jobs = state.world.origin.stop(inner.now(), Some(until));
        state.end(&jobs, Outcome::Reset);
    }

    /// Multiplies the capacity of the origin; see [`notchdoor_model::origin::Origin::scale_capacity`].
    pub fn widen(&self, times: f64) {
        let mut state = self.inner.state.borrow_mut();
        state.advance_origin(self.inner.now());
        state.world.origin.scale_capacity(times);
        drop(state);
        self.inner.nudge();
    }

    /// What has been seen so far.
    pub fn seen(&self) -> Seen {
        self.inner.state.borrow().seen
    }

    /// Requests that workers and the origin hold now.
    pub fn held(&self) -> usize {
        let state = self.inner.state.borrow();
        let workers: usize = state.world.machines.iter().map(|m| m.worker.station().in_flight()).sum();
        workers + state.world.origin.station().in_flight()
    }
}

impl State {
    fn end(&mut self, jobs: &[Job], outcome: Outcome) {
        for job in jobs {
            if let Some(ends) = self.jobs.remove(job) {
                // Whoever waited may have gone.
                let _ = ends.try_send(outcome);
            }
        }
    }

    fn begin(&mut self) -> (Job, Receiver<Outcome>) {
        self.last_job += 1;
        let (ends, ended) = async_channel::bounded(1);
        self.jobs.insert(self.last_job, ends);
        (self.last_job, ended)
    }

    fn advance_machine(&mut self, now: Time, machine: u32) {
        let mut done: Vec<Finished> = Vec::new();
        let world = &mut self.world;
        world.machines[machine as usize].worker.advance(now, &mut done);
        for finished in done {
            let world = &mut self.world;
            let error = world.machines[machine as usize].worker.complete_request(now, &mut world.service);
            self.end(&[finished.job], if error { Outcome::Error } else { Outcome::Ok });
        }
    }

    fn advance_origin(&mut self, now: Time) {
        let mut done: Vec<Finished> = Vec::new();
        self.world.origin.advance(now, &mut done);
        for finished in done {
            self.end(&[finished.job], Outcome::Ok);
        }
    }

    fn miss(&mut self, id: &str, machine: u32) {
        if !self.missed.contains_key(id) {
            remember(&mut self.missed_order, &mut self.missed, id);
        }
        let slots = self.missed.entry(id.to_owned()).or_default();
        if let Some(slot) = slots.iter_mut().find(|m| m.is_none()) {
            *slot = Some(machine);
        }
    }

    /// A write is done at the origin.
    fn wrote(&mut self, now: Time, id: &str, info: &Info, key: Key, effect: Effect) {
        let stands_for = info.get("k").unwrap_or(id);
        let before = self.ran.get(stands_for).copied();
        let dropped =
            matches!((effect, before), (Effect::Deduplicated { window }, Some(at)) if now < at + window);
        if dropped {
            return;
        }
        self.seen.ran += 1;
        self.seen.ran_again += u64::from(effect == Effect::AtMostOnce && before.is_some());
        if before.is_none() {
            remember(&mut self.ran_order, &mut self.ran, stands_for);
        }
        self.ran.insert(stands_for.to_owned(), now);
        self.world.truth.record_write(now, key);
    }
}

/// Makes room for one more: the oldest goes.
fn remember<V>(order: &mut VecDeque<String>, map: &mut FxHashMap<String, V>, name: &str) {
    order.push_back(name.to_owned());
    if order.len() > MOST_REMEMBERED {
        if let Some(oldest) = order.pop_front() {
            map.remove(&oldest);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Peer {
    Worker(u32),
    Origin,
    Registry,
}

impl Inner {
    fn now(&self) -> Time {
        self.start.elapsed().as_micros() as Time
    }

    async fn until(&self, at: Time) {
        Timer::at(self.start + Duration::from_micros(at)).await;
    }

    fn nudge(&self) {
        // One is as good as many.
        let _ = self.nudge.0.try_send(());
    }

    fn zone(&self, proxy: u32) -> u32 {
        proxy % self.spec.zones.len() as u32
    }

    /// Advances every machine when it wants to be, and takes down how late that is.
    async fn pulse(self: Rc<Self>) {
        loop {
            let wake = {
                let mut state = self.state.borrow_mut();
                let state = &mut *state;
                let workers = state.world.machines.iter_mut().filter_map(|m| m.worker.wake_at());
                let others = [state.world.origin.wake_at(), state.registry.wake_at()];
                workers.chain(others.into_iter().flatten()).min()
            };
            let woken = async {
                match wake {
                    Some(at) => self.until(at).await,
                    None => future::pending().await,
                }
                wake
            };
            let nudged = async {
                let _ = self.nudge.1.recv().await;
                None
            };
            let due = future::or(nudged, woken).await;
            let now = self.now();
            let mut state = self.state.borrow_mut();
            if let Some(due) = due {
                state.seen.latest = state.seen.latest.max(now.saturating_sub(due));
            }
            for machine in 0..state.world.machines.len() as u32 {
                if state.world.machines[machine as usize].worker.wake_at().is_some_and(|at| at <= now) {
                    state.advance_machine(now, machine);
                }
            }
            if state.world.origin.wake_at().is_some_and(|at| at <= now) {
                state.advance_origin(now);
            }
            let mut tellings = Vec::new();
            state.registry.advance(now, &mut tellings);
            self.hand_over(&mut state, tellings);
        }
    }

    fn hand_over(&self, state: &mut State, tellings: Vec<Delivery>) {
        for telling in tellings {
            let proxy = telling.proxy as usize;
            // A watch that takes nothing any more is over; it is noticed when it is written to.
            if let Some(watch) = state.watches.get(proxy).and_then(Option::as_ref) {
                let _ = watch.try_send(telling);
            }
        }
    }

    /// The whole list as a proxy is told it.
    fn whole(&self, proxy: u32) -> Update {
        let mut state = self.state.borrow_mut();
        let lines = state.registry.list();
        Update { rev: state.rev, all: true, targets: self.targets(proxy, &lines) }
    }

    fn targets(&self, proxy: u32, lines: &[EndpointEntry]) -> Vec<Target> {
        let endpoints = self.endpoints.borrow();
        let target = |line: &EndpointEntry| {
            let endpoint = endpoints.get(&(proxy, line.server))?;
            Some(Target {
                uid: format!("s-{:08x}", line.server),
                endpoint: endpoint.to_string(),
                az: self.spec.zones[line.zone as usize % self.spec.zones.len()].clone(),
                model: match line.kind {
                    ORIGIN_KIND => "origin",
                    0 => "std",
                    _ => "slow",
                }
                .to_owned(),
                pod_group: line.cell,
                state: match line.state {
                    ListedState::Serving => "in_service",
                    ListedState::Draining => "terminating",
                    ListedState::Gone => "terminated",
                },
                capacity_hint: line.size,
                boot_ms: if line.started == 0 { 0 } else { self.unix + line.started / 1000 },
            })
        };
        lines.iter().filter_map(target).collect()
    }

    /// The place of a request's class; the last one, where there is none of its name.
    fn class(&self, info: &Info) -> usize {
        let named = info.get("c").and_then(|c| self.spec.classes.iter().position(|k| k.name == c));
        named.unwrap_or(self.spec.classes.len() - 1)
    }

    /// What a request takes a worker, or the origin, in microseconds of a standard core: by its id, so that a repeat
    /// of the same request is the same work.
    fn work(&self, id: &str, info: &Info, fetch: bool) -> f64 {
        let mut rng = ChaCha8Rng::seed_from_u64(key_from_text(id) ^ self.seed);
        let class = &self.spec.classes[self.class(info)];
        let o = &self.spec.origin;
        if fetch {
            let times = if class.write { o.write_work } else { 1.0 };
            return o.fetch_ms * 1e3 * times * unit_mean_lognormal(o.work_cv).sample(&mut rng);
        }
        class.work_ms * 1e3 * unit_mean_lognormal(class.work_cv).sample(&mut rng)
    }

    /// The room that a key's object takes.
    fn room(&self, key: Key) -> u32 {
        let mut rng = ChaCha8Rng::seed_from_u64(key ^ self.seed);
        (8.0 * unit_mean_lognormal(self.spec.keys.size_cv).sample(&mut rng)).clamp(1.0, 512.0) as u32
    }

    /// A key's value: its text, over and over, as long as its object is.
    fn value(&self, key: &str) -> Vec<u8> {
        let length = (self.room(key_from_text(key)) as usize * BYTES_A_UNIT).clamp(key.len(), MOST_VALUE);
        key.bytes().cycle().take(length).collect()
    }

    /// One way between a proxy and a machine, or the origin; `None` if nothing arrives.
    fn way(&self, proxy: u32, machine: Option<u32>) -> Option<Time> {
        let (now, zone) = (self.now(), self.zone(proxy));
        let world = &mut self.state.borrow_mut().world;
        world.reaches(now, zone, machine).then(|| world.delay(zone, machine))
    }
}

/// A request in a machine's hands: taken back from it if nobody waits any more.
struct Held<'a> {
    inner: &'a Inner,
    machine: Option<u32>,
    job: Job,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let now = self.inner.now();
        let Ok(mut state) = self.inner.state.try_borrow_mut() else { return };
        // What has ended has no entry any more.
        if state.jobs.remove(&self.job).is_none() {
            return;
        }
        match self.machine {
            Some(machine) => {
                state.advance_machine(now, machine);
                state.world.machines[machine as usize].worker.cancel(now, self.job);
            }
            None => {
                state.advance_origin(now);
                state.world.origin.cancel(now, self.job);
            }
        }
        drop(state);
        self.inner.nudge();
    }
}

async fn accept(inner: Rc<Inner>, listener: Async<TcpListener>, proxy: u32, peer: Peer) {
    let mut connections: Vec<Task<()>> = Vec::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        connections.retain(|c| !c.is_finished());
        let Some(executor) = inner.executor.upgrade() else { return };
        let this = Rc::clone(&inner);
        connections.push(match peer {
            Peer::Worker(machine) => executor.spawn(serve_worker(this, stream, proxy, machine)),
            Peer::Origin => executor.spawn(serve_origin(this, stream, proxy)),
            Peer::Registry => executor.spawn(serve_registry(this, stream, proxy)),
        });
    }
}

/// A place in a worker's table of connections.
struct Placed(Rc<Inner>, u32);

impl Drop for Placed {
    fn drop(&mut self) {
        if let Ok(mut state) = self.0.state.try_borrow_mut() {
            state.world.machines[self.1 as usize].worker.connect(false);
        }
    }
}

async fn serve_worker(inner: Rc<Inner>, stream: Async<TcpStream>, proxy: u32, machine: u32) {
    let taken = {
        let mut state = inner.state.borrow_mut();
        state.seen.connections += 1;
        let worker = &mut state.world.machines[machine as usize].worker;
        worker.state() != Process::Down && worker.connect(true)
    };
    if !taken {
        let _ = (&stream).write_all(b"-BUSY\r\n").await;
        return;
    }
    let _placed = Placed(Rc::clone(&inner), machine);
    let streams = inner.spec.backends.streams.max(1) as usize;
    // Answers go in the order of the commands; as many are begun as a connection carries.
    let (begun, in_order) = async_channel::bounded::<Task<Option<Vec<u8>>>>(streams);
    let idle = secs(inner.spec.backends.idle_s);
    let reads = async {
        let (mut commands, mut buffer, mut fresh) = (Commands::default(), vec![0; READ], true);
        loop {
            let read = async { (&stream).read(&mut buffer).await.unwrap_or(0) };
            let rests = async {
                Timer::after(Duration::from_micros(idle)).await;
                0
            };
            let n = future::or(read, rests).await;
            if n == 0 {
                return;
            }
            commands.feed(&buffer[..n]);
            loop {
                match commands.next_ask() {
                    Ok(Some(ask)) => {
                        let answer = answer(Rc::clone(&inner), proxy, machine, ask, fresh);
                        fresh = false;
                        let Some(executor) = inner.executor.upgrade() else { return };
                        if begun.send(executor.spawn(answer)).await.is_err() {
                            return;
                        }
                    }
                    Ok(None) => break,
                    Err(_) => {
                        inner.state.borrow_mut().seen.syntax += 1;
                        return;
                    }
                }
            }
        }
    };
    let writes = async {
        while let Ok(answer) = in_order.recv().await {
            // Nothing to say: the connection breaks.
            let Some(bytes) = answer.await else { return };
            if (&stream).write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    // Whichever ends first ends the connection, and takes back what was begun on it.
    future::or(reads, writes).await;
}

/// One command: what is said to it, at the time at which it is; `None` breaks the connection.
async fn answer(inner: Rc<Inner>, proxy: u32, machine: u32, ask: Ask, fresh: bool) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let say = match ask {
        Ask::Get { key, id, info } => read(&inner, proxy, machine, (key, id, info), fresh).await?,
        // Workers do nothing but store: a write is not for them.
        Ask::Set { .. } => Say::Miss(None, None),
        Ask::Ping => Say::Pong,
        Ask::Load => Say::NoPerm,
        Ask::Fine => Say::Ok,
        Ask::Unknown => Say::Unknown,
        Ask::Syntax => {
            inner.state.borrow_mut().seen.syntax += 1;
            Say::Syntax
        }
    };
    say.write(&mut out);
    Some(out)
}

async fn lost() -> Option<Say> {
    future::pending().await
}

async fn read(
    inner: &Rc<Inner>,
    proxy: u32,
    machine: u32,
    (key, id, info): (String, String, Info),
    fresh: bool,
) -> Option<Say> {
    let w = &inner.spec.backends;
    let Some(mut there) = inner.way(proxy, Some(machine)) else { return lost().await };
    let mut work = inner.work(&id, &info, false);
    if fresh {
        there += (2.0 * there as f64 * w.handshake_trips) as Time;
        work += w.handshake_ms * 1e3;
    }
    inner.until(inner.now() + there).await;
    let number = key_from_text(&key);
    let (held, ended) = {
        let now = inner.now();
        let mut state = inner.state.borrow_mut();
        let state = &mut *state;
        state.advance_machine(now, machine);
        state.seen.reads += 1;
        if state.world.machines[machine as usize].worker.state() == Process::Down {
            return None;
        }
        let (job, ended) = state.begin();
        let m = &mut state.world.machines[machine as usize];
        let told = state.told[proxy as usize].knows_start(m.server, m.worker.started_at());
        let taken = m.worker.offer(now, job, number, work, told, &state.world.truth);
        match taken {
            backend::Admission::Accepted => {}
            backend::Admission::Miss => {
                state.seen.misses += 1;
                state.miss(&id, machine);
                state.end(&[job], Outcome::Miss);
            }
            backend::Admission::Full => {
                state.seen.turned_away += 1;
                state.end(&[job], Outcome::Rejected);
            }
            backend::Admission::Overloaded(_) => {
                state.seen.falls += 1;
                let jobs = state.world.machines[machine as usize].worker.kill(now);
                state.end(&jobs, Outcome::Reset);
                state.end(&[job], Outcome::Reset);
                let line =
                    EndpointEntry { state: ListedState::Gone, ..state.world.machines[machine as usize].line };
                state.registry.schedule_change(now, line, false);
            }
        }
        (Held { inner, machine: Some(machine), job }, ended)
    };
    inner.nudge();
    let outcome = ended.recv().await.ok()?;
    drop(held);
    let quick = matches!(outcome, Outcome::Miss | Outcome::Rejected);
    let Some(back) = inner.way(proxy, Some(machine)) else { return lost().await };
    inner.until(inner.now() + back + if quick { QUICK } else { 0 }).await;
    Some(match outcome {
        Outcome::Ok => Say::Value(inner.value(&key), Some(Went::Hit), None),
        Outcome::Miss => Say::Miss(Some(Went::Miss), None),
        Outcome::Error => Say::Failed,
        Outcome::Rejected => Say::Busy,
        _ => return None,
    })
}

async fn serve_origin(inner: Rc<Inner>, stream: Async<TcpStream>, proxy: u32) {
    let (mut requests, mut buffer) = (Requests::default(), vec![0; READ]);
    loop {
        let request = loop {
            match requests.next_request() {
                Ok(Some(request)) => break request,
                Ok(None) => {}
                Err(_) => return,
            }
            match (&stream).read(&mut buffer).await {
                Ok(n) if n > 0 => requests.feed(&buffer[..n]),
                _ => return,
            }
        };
        let keeps = request.keeps;
        // A client that closes while it waits has given the request up.
        let gone = async {
            let mut rest = [0; 1];
            match (&stream).read(&mut rest).await {
                Ok(n) if n > 0 => future::pending().await,
                _ => None,
            }
        };
        let Some(say) = future::or(fetch(&inner, proxy, &request), gone).await else { return };
        let mut out = Vec::new();
        say.write(None, &mut out);
        if (&stream).write_all(&out).await.is_err() || !keeps {
            return;
        }
    }
}

/// One request at the origin: what is said to it; `None` breaks the connection.
async fn fetch(inner: &Rc<Inner>, proxy: u32, request: &Request) -> Option<OriginSays> {
    let key = request.path.strip_prefix('/').unwrap_or_default();
    let (Some(id), Some(info)) = (&request.id, &request.info) else { return Some(OriginSays::Wrong) };
    let write = match request.method.as_str() {
        "GET" => false,
        "PUT" => true,
        _ => return Some(OriginSays::Wrong),
    };
    let Some(there) = inner.way(proxy, None) else { return future::pending().await };
    inner.until(inner.now() + there).await;
    let (held, ended) = {
        let now = inner.now();
        let mut state = inner.state.borrow_mut();
        if state.world.origin.is_down(now) {
            return None;
        }
        state.advance_origin(now);
        if write {
            state.seen.writes += 1;
        } else {
            state.seen.fetches += 1;
        }
        let work = inner.work(id, info, true);
        let (job, ended) = state.begin();
        match state.world.origin.offer(now, job, work, 0.0) {
            origin::Admission::Accepted => {}
            origin::Admission::Full => state.end(&[job], Outcome::Rejected),
            origin::Admission::Overloaded(_) => {
                state.seen.stops += 1;
                let jobs = state.world.origin.stop(now, None);
                state.end(&jobs, Outcome::Reset);
                state.end(&[job], Outcome::Reset);
            }
        }
        (Held { inner, machine: None, job }, ended)
    };
    inner.nudge();
    let outcome = ended.recv().await.ok()?;
    drop(held);
    if outcome == Outcome::Ok {
        let (now, number) = (inner.now(), key_from_text(key));
        let mut state = inner.state.borrow_mut();
        let state = &mut *state;
        if write {
            let effect = inner.spec.classes[inner.class(info)].effect();
            state.wrote(now, id, info, number, effect);
        } else if let Some(missed) = state.missed.remove(id) {
            let room = inner.room(number);
            for machine in missed.into_iter().flatten() {
                state.world.machines[machine as usize].worker.store(number, now, room);
            }
        }
    }
    let Some(back) = inner.way(proxy, None) else { return future::pending().await };
    inner.until(inner.now() + back).await;
    match outcome {
        Outcome::Ok if write => Some(OriginSays::Done(format!("receipt {id}").into_bytes())),
        Outcome::Ok => Some(OriginSays::Done(inner.value(key))),
        Outcome::Rejected => Some(OriginSays::Rejected),
        Outcome::Error => Some(OriginSays::Failed),
        _ => None,
    }
}

async fn serve_registry(inner: Rc<Inner>, stream: Async<TcpStream>, proxy: u32) {
    let (mut requests, mut buffer) = (Requests::default(), vec![0; READ]);
    loop {
        match requests.next_request() {
            Ok(Some(request)) => match Call::parse(&request.path) {
                Some(Call::Whole) => {
                    let call = ms(inner.spec.discovery.call_ms.0);
                    inner.until(inner.now() + call).await;
                    if (&stream).write_all(&inner.whole(proxy).answer()).await.is_err() {
                        return;
                    }
                }
                Some(Call::Watch(_)) => return watch(&inner, &stream, proxy).await,
                None => return drop((&stream).write_all(UNAVAILABLE).await),
            },
            Ok(None) => match (&stream).read(&mut buffer).await {
                Ok(n) if n > 0 => requests.feed(&buffer[..n]),
                _ => return,
            },
            Err(_) => return,
        }
    }
}

/// A watch, until either side ends it.
async fn watch(inner: &Rc<Inner>, stream: &Async<TcpStream>, proxy: u32) {
    let (tells, told) = async_channel::bounded(MOST_TELLINGS);
    {
        let mut state = inner.state.borrow_mut();
        let state = &mut *state;
        state.watches[proxy as usize] = Some(tells);
        let mut tellings = Vec::new();
        state.registry.watch(inner.now(), proxy, &mut tellings);
        inner.hand_over(state, tellings);
    }
    inner.nudge();
    let ends = async {
        let mut rest = [0; 64];
        while (&*stream).read(&mut rest).await.is_ok_and(|n| n > 0) {}
    };
    let goes_on = async {
        let mut begun = false;
        loop {
            let beat = async {
                Timer::after(BEAT_EVERY).await;
                None
            };
            let next = future::or(async { told.recv().await.ok() }, beat).await;
            let mut out = Vec::new();
            if !begun {
                out.extend_from_slice(
                    if matches!(&next, Some(t) if matches!(t.update, EndpointUpdate::Error)) {
                        UNAVAILABLE
                    } else {
                        WATCH
                    },
                );
                begun = true;
            }
            match next {
                None => out.extend_from_slice(BEAT),
                Some(telling) => {
                    inner.until(telling.at).await;
                    let (lines, all) = match &telling.update {
                        EndpointUpdate::FullList(lines) => (lines, true),
                        EndpointUpdate::Changes(lines) => (lines, false),
                        EndpointUpdate::Error => return drop((&*stream).write_all(&out).await),
                    };
                    let mut state = inner.state.borrow_mut();
                    state.rev += 1;
                    let rev = state.rev;
                    state.told[proxy as usize].told(inner.now(), lines, all);
                    drop(state);
                    let update = Update { rev, all, targets: inner.targets(proxy, lines) };
                    out.extend_from_slice(&update.chunk());
                }
            }
            if (&*stream).write_all(&out).await.is_err() {
                return;
            }
        }
    };
    future::or(ends, goes_on).await;
    let mut state = inner.state.borrow_mut();
    state.registry.remove_proxy(proxy);
    state.watches[proxy as usize] = None;
}
