//! The thin driver: it owns the sockets, feeds bytes to the state machines and carries out what the proxy
//! wants done. One thread, one executor, a task for each connection and each attempt.

pub mod admin;
mod attempt;
mod client;
mod connection;
pub mod hot_restart;
mod watch;

use super::command::BackendCommand;
use crate::group::tasks::Tasks;
use crate::lifecycle::clock::Clock;
use crate::lifecycle::config::{Config, Limits, ProcessLimits};
use crate::negative_cache::NegativeCache;
use crate::net::{Listener, Reachability};
use crate::outcome::ConnectionEnd;
use crate::proxy::{AttemptId, Command, Proxy};
use crate::state::hot_restart::HotRestart;
use crate::state::pool::{Budget, Pools};
use crate::state::versions::{Step, VersionInForce};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use attempt::{Attempt, AttemptDeadlines};
use client::Client;
use connection::Connection;
use futures_lite::future;
use notchdoor::{Discovery, Micros};
use notchdoor_limits::policy::Policy;
use notchdoor_settings::NetworkSettings;
use socket2::Socket;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How often idle connections are looked over.
const SWEEP: Duration = Duration::from_millis(250);
/// A proxy whose discovery says nothing at the start serves with the list that it was started with.
const FIRST_LIST: Duration = Duration::from_millis(1500);
/// The longest pause between two watches where the settings name none.
const PUSHED_ASK_EVERY: Micros = 10_000_000;

/// The sockets that a process begins with.
pub struct Sockets {
    /// The clients' address, bound and not listened on yet.
    pub clients: Socket,
    /// Where operators call, if anywhere.
    pub operators: Option<Listener>,
}

/// Where the tasks run.
#[derive(Clone, Default)]
pub struct Executors {
    /// Everything but operators' calls.
    pub clients: Rc<LocalExecutor<'static>>,
    /// Operators' calls.
    pub operators: Rc<LocalExecutor<'static>>,
}

/// What a process does with others, where a file says so.
#[derive(Default)]
pub struct Fleet {
    /// What is done for the whole fleet, and versions.
    pub tasks: Option<Rc<Tasks>>,
    /// The filter of known-missing keys.
    pub missing: Option<Rc<NegativeCache>>,
}

/// All that the tasks share.
pub struct Runtime {
    proxy: RefCell<Proxy<BackendCommand>>,
    pools: RefCell<Pools<Connection>>,
    executor: Rc<LocalExecutor<'static>>,
    /// Operators' calls run here: they get their turn before clients.
    operators: Rc<LocalExecutor<'static>>,
    clients: RefCell<HashMap<u64, Rc<Client>>>,
    next_client: Cell<u64>,
    attempts_out: RefCell<HashMap<AttemptId, Task<()>>>,
    /// The watch on discovery, while one runs.
    watch: RefCell<Option<Task<()>>>,
    acceptor: RefCell<Option<Task<()>>>,
    /// Where clients connect, while they may.
    listener: RefCell<Option<Rc<Listener>>>,
    hot_restart: RefCell<Option<HotRestart>>,
    clock: Clock,
    /// Times that the sockets go by.
    pub network: NetworkSettings,
    discovery: Cell<SocketAddr>,
    client_budget: Budget,
    upstream_budget: Budget,
    /// Endpoints that could not be reached lately.
    reachability: RefCell<Reachability>,
    /// Connections that could not be made for what this machine lacks, or for a path that was down.
    connect_faults: Cell<u64>,
    /// Whether clients wait for a descriptor.
    short: Cell<bool>,
    limits: Limits,
    /// This process's part of them.
    room: Cell<ProcessLimits>,
    /// Bytes of commands that are half read, on all client connections.
    half_read: Rc<Cell<usize>>,
    /// Bytes of answers that clients have not taken yet.
    unsent: Rc<Cell<usize>>,
    /// Bytes of answers that are being read, beyond one value's size each.
    large: Cell<usize>,
    /// When the timer task wakes next.
    armed: Cell<Micros>,
    rearm: (Sender<()>, Receiver<()>),
    heard: Cell<bool>,
    stopping: Cell<bool>,
    /// What is done for the whole fleet, where a file says so.
    tasks: Option<Rc<Tasks>>,
    /// The filter of known-missing keys, where a file says so.
    missing: Option<Rc<NegativeCache>>,
}

impl Runtime {
    /// Starts serving on these sockets.
    pub fn start(
        config: Config,
        sockets: Sockets,
        hot_restart: Option<HotRestart>,
        fleet: Fleet,
        executors: Executors,
    ) -> Rc<Self> {
        let clock = Clock::start();
        let (mut settings, network) = (config.settings.settings(), config.settings.network());
        // On sockets nothing is pushed: where the simulator would, a real proxy has to watch all the same.
        if settings.discovery == Discovery::Pushed {
            settings.discovery = Discovery::OnRequest { poll_interval: PUSHED_ASK_EVERY };
        }
        let proxy =
            Proxy::new(settings, config.settings.names(), config.policy, config.seed, clock.reading());
        let processes = 1 + hot_restart.as_ref().map_or(0, |h| h.others().len());
        let room = config.limits.per_process(processes);
        let runtime = Rc::new(Runtime {
            proxy: RefCell::new(proxy),
            pools: RefCell::new(Pools::new(network.idle_close)),
            executor: executors.clients,
            operators: executors.operators,
            clients: RefCell::default(),
            next_client: Cell::new(1),
            attempts_out: RefCell::default(),
            watch: RefCell::default(),
            acceptor: RefCell::default(),
            listener: RefCell::default(),
            hot_restart: RefCell::new(hot_restart),
            clock,
            network,
            discovery: Cell::new(config.discovery),
            client_budget: Budget::new(room.client_connections),
            upstream_budget: Budget::new(room.upstream_connections),
            reachability: RefCell::default(),
            connect_faults: Cell::new(0),
            short: Cell::new(false),
            limits: config.limits,
            room: Cell::new(room),
            half_read: Rc::default(),
            unsent: Rc::default(),
            large: Cell::new(0),
            armed: Cell::new(Micros::MAX),
            rearm: async_channel::bounded(1),
            heard: Cell::new(false),
            stopping: Cell::new(false),
            tasks: fleet.tasks,
            missing: fleet.missing,
        });
        // The module asks for a watch once it is given a list, even one without lines.
        let known = config.known_endpoints.unwrap_or(crate::state::endpoints::Update {
            rev: 0,
            all: true,
            targets: Vec::new(),
        });
        runtime.heed();
        runtime.drive(|proxy, now| proxy.update(now, crate::state::endpoints::Update { all: true, ..known }));
        if let Some(guard) = runtime.tasks.as_ref().and_then(|t| t.guard()).cloned() {
            runtime.drive(|proxy, now| proxy.enforce_versions(now, VersionInForce::new(guard, now)));
            runtime.spawn(Runtime::run_versions(Rc::clone(&runtime)));
        }
        runtime.spawn(Runtime::run_timers(Rc::clone(&runtime)));
        runtime.spawn(Runtime::run_sweeps(Rc::clone(&runtime)));
        let first = Rc::clone(&runtime);
        runtime.spawn(async move {
            Timer::after(FIRST_LIST).await;
            first.heard.set(true);
        });
        if let Some(listener) = sockets.operators {
            runtime.operators.spawn(admin::accept(Rc::clone(&runtime), listener)).detach();
        }
        runtime.operators.spawn(Runtime::run_hot_restart(Rc::clone(&runtime), processes)).detach();
        let acceptor = runtime.executor.spawn(Runtime::open(Rc::clone(&runtime), sockets.clients));
        runtime.acceptor.replace(Some(acceptor));
        runtime
    }

    fn spawn(&self, task: impl std::future::Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Lets something happen to the proxy and carries out what it wants done.
    fn drive<R>(self: &Rc<Self>, happen: impl FnOnce(&mut Proxy<BackendCommand>, Micros) -> R) -> R {
        let now = self.clock.now();
        let (result, commands, due) = {
            let mut proxy = self.proxy.borrow_mut();
            let result = happen(&mut proxy, now);
            (result, proxy.take_commands(), proxy.next_due())
        };
        for command in commands {
            self.execute(command);
        }
        if due.is_some_and(|due| due < self.armed.get()) {
            // Full means that the timer task is being woken as it is.
            let _ = self.rearm.0.try_send(());
        }
        result
    }

    fn execute(self: &Rc<Self>, command: Command<BackendCommand>) {
        match command {
            Command::StartAttempt { attempt_id, server, call, give_up_at, begin_by } => {
                let deadlines = AttemptDeadlines { give_up_at, begin_by };
                let run = attempt::run(
                    Rc::clone(self),
                    Attempt { id: attempt_id, server, command: call, deadlines },
                );
                let task = self.executor.spawn(run);
                self.attempts_out.borrow_mut().insert(attempt_id, task);
            }
            Command::Cancel(attempt_id) => {
                // Dropping the task closes its connection: its late bytes are read by nobody.
                let task = self.attempts_out.borrow_mut().remove(&attempt_id);
                drop(task);
            }
            Command::Answer(slot, answer) => {
                self.with_session(slot, |session| session.answer(slot.sequence, answer));
            }
            Command::Watch => {
                // One that a move of discovery has begun serves as well.
                if self.watch.borrow().is_none() {
                    self.begin_watch();
                }
            }
            Command::DropConnections(server) => self.pools.borrow_mut().drop_server(server),
        }
    }

    fn begin_watch(self: &Rc<Self>) {
        let task = self.executor.spawn(watch::run(Rc::clone(self)));
        // A watch that was there ends with its task.
        self.watch.replace(Some(task));
    }

    /// Watches discovery at this address from here on. The list held stays, and the new watch goes on from
    /// its version. It is begun anew even where the address is the same: whoever asks for it has cause to.
    pub fn move_discovery(self: &Rc<Self>, discovery: SocketAddr) {
        self.discovery.set(discovery);
        self.begin_watch();
    }

    /// Takes up the group's word on versions as it comes.
    async fn run_versions(self: Rc<Self>) {
        let Some(tasks) = self.tasks.clone() else { return };
        loop {
            let plan = tasks.planned().await;
            self.drive(|proxy, now| {
                let step = |(off, on): (Duration, _)| Step { from: now + off.as_micros() as Micros, on };
                proxy.schedule_versions(now, plan.into_iter().map(step).collect());
            });
        }
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            let due = self.proxy.borrow().next_due();
            self.armed.set(due.unwrap_or(Micros::MAX));
            let timer = match due {
                Some(due) => Timer::at(self.clock.instant(due)),
                None => Timer::never(),
            };
            let rearmed = async {
                let _ = self.rearm.1.recv().await;
            };
            future::or(
                async {
                    timer.await;
                },
                rearmed,
            )
            .await;
            self.drive(|proxy, now| proxy.tick(now));
        }
    }

    async fn run_sweeps(self: Rc<Self>) {
        loop {
            Timer::after(SWEEP).await;
            let now = self.clock.now();
            self.pools.borrow_mut().sweep(now, Connection::alive);
            self.expire_clients();
            self.cut_off_stalled();
        }
    }

    /// Whether clients' requests can be served: discovery was heard, or waited for, and lists a backend.
    fn able(&self) -> bool {
        self.heard.get() && self.proxy.borrow().endpoints.lists_any()
    }

    /// Whether clients should be sent here.
    pub fn ready(&self) -> bool {
        self.able() && self.listener.borrow().is_some() && !self.stopping.get()
    }

    /// Requests whose answer is owed.
    pub fn owed(&self) -> usize {
        self.proxy.borrow().unanswered_requests()
    }

    /// Answers every request now, and reads no further one: the process has no more time.
    pub fn answer_all(self: &Rc<Self>) {
        self.drive(Proxy::answer_all);
        self.refuse_rest();
    }

    /// Client connections that are open.
    pub fn clients_open(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Says from here on that it is not ready; everything else goes on.
    pub fn begin_stop(&self) {
        self.stopping.set(true);
        if let Some(tasks) = &self.tasks {
            tasks.leave();
        }
    }

    /// Takes up another policy; false where that takes a restart.
    pub fn reload(&self, policy: Option<Arc<Policy>>) -> bool {
        self.proxy.borrow_mut().reload(self.clock.now(), policy)
    }

    /// Writes the counters to the log: `name=n` in its text, and each under its name beside it.
    pub fn report(&self, what: &str) {
        let proxy = self.proxy.borrow();
        let mut figures = proxy.counters.named();
        for (name, n) in [
            ("owed", proxy.unanswered_requests()),
            ("clients", self.clients_open()),
            ("delegated", self.upstream_budget.used()),
        ] {
            figures.push((name.to_owned(), n as u64));
        }
        let text: Vec<String> = figures.iter().map(|(name, n)| format!("{name}={n}")).collect();
        log::logger().log(
            &log::Record::builder()
                .level(log::Level::Info)
                .target(module_path!())
                .module_path(Some(module_path!()))
                .args(format_args!("{what}: {}", text.join(" ")))
                .key_values(&figures)
                .build(),
        );
    }

    fn count_connection_end(&self, end: ConnectionEnd) {
        self.proxy.borrow_mut().counters.connection_ended(end);
    }
}

#[cfg(test)]
mod tests;
