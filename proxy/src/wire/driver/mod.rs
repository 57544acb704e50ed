//! I/O driver: owns the sockets, feeds received bytes to the protocol state machines and executes the commands of
//! [`Proxy`]. Single-threaded, with one task per client connection and per attempt.

pub mod admin;
mod attempt;
mod client;
mod connection;
pub mod hot_restart;
mod reply_history;
mod reply_proof;
mod value_store;
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
use crate::state::shared_request_ids::SharedRequestIds;
use crate::state::versions::{Step, VersionInForce};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use attempt::{Attempt, AttemptDeadlines};
use client::Client;
pub use client::LINGER_TIMEOUT;
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
use std::time::{Duration, Instant};
use value_store::ValueStore;

/// Interval between checks for idle, expired and stalled connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time to wait for discovery at the start. After it, the proxy serves with the endpoint list from its configuration.
const FIRST_UPDATE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of bytes per read from a client or a server.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The sockets that a process starts with.
pub struct Sockets {
    /// Socket bound to the client address, not listening yet.
    pub clients: Socket,
    /// Listener of the admin server, if it is configured.
    pub operators: Option<Listener>,
}

/// The executors that tasks run on.
#[derive(Clone, Default)]
pub struct Executors {
    /// Runs all tasks except the admin server.
    pub clients: Rc<LocalExecutor<'static>>,
    /// Runs the admin server and the hot restart task.
    pub operators: Rc<LocalExecutor<'static>>,
}

/// The parts that cooperate with other proxies, if configured.
#[derive(Default)]
pub struct Fleet {
    /// Tasks of the lease group, and configuration versions.
    pub tasks: Option<Rc<Tasks>>,
    /// Negative cache of keys missing at the origin.
    pub negative_cache: Option<Rc<NegativeCache>>,
}

/// State shared by all tasks.
pub struct Runtime {
    proxy: RefCell<Proxy<BackendCommand>>,
    pools: RefCell<Pools<Connection>>,
    executor: Rc<LocalExecutor<'static>>,
    /// Runs the admin server, with precedence over `executor`.
    operators: Rc<LocalExecutor<'static>>,
    clients: RefCell<HashMap<u64, Rc<Client>>>,
    next_client: Cell<u64>,
    /// Number of the next connection to a server.
    next_connection: Cell<u64>,
    attempts_in_flight: RefCell<HashMap<AttemptId, Task<()>>>,
    /// The watch on discovery, while one runs.
    watch: RefCell<Option<Task<()>>>,
    /// When the end of a watch was last logged as a warning.
    watch_failure_logged_at: Cell<Option<Instant>>,
    acceptor: RefCell<Option<Task<()>>>,
    /// The client listener, while clients are accepted.
    listener: RefCell<Option<Rc<Listener>>>,
    hot_restart: RefCell<Option<HotRestart>>,
    /// Request ids that the processes of this proxy tell each other.
    shared_ids: RefCell<Option<SharedRequestIds>>,
    /// Number of ids that could not be told or read.
    shared_id_errors: Cell<u64>,
    clock: Clock,
    /// Timeouts of the sockets.
    pub network: NetworkSettings,
    discovery: Cell<SocketAddr>,
    client_budget: Budget,
    upstream_budget: Budget,
    /// Large values that are relayed at the same time.
    relay_budget: Budget,
    /// Endpoints with recent path failures.
    reachability: RefCell<Reachability>,
    /// Number of connects that failed for a local reason or a network path error.
    connect_failures: Cell<u64>,
    /// Whether clients wait for a descriptor.
    descriptors_short: Cell<bool>,
    limits: Limits,
    /// This process's share of `limits`.
    room: Cell<ProcessLimits>,
    /// Bytes of incomplete commands on all client connections.
    partial_command_bytes: Rc<Cell<usize>>,
    /// Bytes of unsent replies on all client connections.
    unsent_reply_bytes: Rc<Cell<usize>>,
    /// Buffer of every read from a client or a server. Nothing in it outlives the step that reads.
    read_buffer: RefCell<Vec<u8>>,
    /// Memory for large values, beyond [`MAX_VALUE`](super::MAX_VALUE) each.
    value_store: Rc<ValueStore>,
    /// Next wake-up of the timer task; [`Micros::MAX`] if none is set.
    next_wakeup: Cell<Micros>,
    rearm: (Sender<()>, Receiver<()>),
    discovery_ready: Cell<bool>,
    stopping: Cell<bool>,
    /// Tasks of the lease group, if configured.
    tasks: Option<Rc<Tasks>>,
    /// Negative cache, if configured.
    negative_cache: Option<Rc<NegativeCache>>,
}

impl Runtime {
    /// Starts the proxy on these sockets and spawns its tasks.
    pub fn start(
        config: Config,
        sockets: Sockets,
        hot_restart: Option<HotRestart>,
        fleet: Fleet,
        executors: Executors,
    ) -> Rc<Self> {
        let clock = Clock::start();
        let (mut settings, network) = (config.settings.settings(), config.settings.network());
        // Over sockets, lists that are pushed are held by an agent on this machine, which the proxy has to watch.
        if settings.discovery == Discovery::Pushed {
            settings.discovery = Discovery::LocalAgent { drain_grace: network.drain_grace };
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
            next_connection: Cell::new(1),
            attempts_in_flight: RefCell::default(),
            watch: RefCell::default(),
            watch_failure_logged_at: Cell::default(),
            acceptor: RefCell::default(),
            listener: RefCell::default(),
            shared_ids: RefCell::new(hot_restart.as_ref().and_then(hot_restart::open_shared_ids)),
            shared_id_errors: Cell::new(0),
            hot_restart: RefCell::new(hot_restart),
            clock,
            network,
            discovery: Cell::new(config.discovery),
            client_budget: Budget::new(room.client_connections),
            upstream_budget: Budget::new(room.upstream_connections),
            relay_budget: Budget::new(room.relayed_values),
            reachability: RefCell::default(),
            connect_failures: Cell::new(0),
            descriptors_short: Cell::new(false),
            limits: config.limits,
            room: Cell::new(room),
            partial_command_bytes: Rc::default(),
            unsent_reply_bytes: Rc::default(),
            read_buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
            value_store: Rc::default(),
            next_wakeup: Cell::new(Micros::MAX),
            rearm: async_channel::bounded(1),
            discovery_ready: Cell::new(false),
            stopping: Cell::new(false),
            tasks: fleet.tasks,
            negative_cache: fleet.negative_cache,
        });
        // The proxy starts its watch after the first endpoint update, even an empty one.
        let known = config.known_endpoints.unwrap_or(crate::state::endpoints::Update {
            rev: 0,
            all: true,
            targets: Vec::new(),
        });
        runtime.value_store.set_limit(room.large_value_bytes);
        runtime.apply_state();
        runtime.drive(|proxy, now| proxy.update(now, crate::state::endpoints::Update { all: true, ..known }));
        if let Some(guard) = runtime.tasks.as_ref().and_then(|t| t.guard()).cloned() {
            runtime.drive(|proxy, now| proxy.enforce_versions(now, VersionInForce::new(guard, now)));
            runtime.spawn(Runtime::run_versions(Rc::clone(&runtime)));
        }
        runtime.spawn(Runtime::run_timers(Rc::clone(&runtime)));
        runtime.spawn(Runtime::run_sweeps(Rc::clone(&runtime)));
        let shared = Rc::clone(&runtime);
        runtime.spawn(async move {
            Timer::after(FIRST_UPDATE_TIMEOUT).await;
            shared.discovery_ready.set(true);
        });
        if let Some(listener) = sockets.operators {
            runtime.operators.spawn(admin::accept(Rc::clone(&runtime), listener)).detach();
        }
        runtime.operators.spawn(Runtime::run_hot_restart(Rc::clone(&runtime), processes)).detach();
        let acceptor =
            runtime.executor.spawn(Runtime::listen_and_accept(Rc::clone(&runtime), sockets.clients));
        runtime.acceptor.replace(Some(acceptor));
        runtime
    }

    fn spawn(&self, task: impl std::future::Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Applies `apply` to the proxy and executes the commands that result.
    fn drive<R>(self: &Rc<Self>, apply: impl FnOnce(&mut Proxy<BackendCommand>, Micros) -> R) -> R {
        let now = self.clock.now();
        let (result, commands, due) = {
            let mut proxy = self.proxy.borrow_mut();
            let result = apply(&mut proxy, now);
            (result, proxy.take_commands(), proxy.next_due())
        };
        for command in commands {
            self.execute(command);
        }
        if due.is_some_and(|due| due < self.next_wakeup.get()) {
            // A full channel means that a wake-up is already pending.
            let _ = self.rearm.0.try_send(());
        }
        result
    }

    fn execute(self: &Rc<Self>, command: Command<BackendCommand>) {
        match command {
            Command::StartAttempt {
                attempt_id,
                server,
                call,
                idempotent,
                give_up_at,
                begin_by,
                deadline,
                process_of,
                on_unused_connection,
            } => {
                let deadlines = AttemptDeadlines { give_up_at, begin_by, answer_by: deadline };
                let attempt = Attempt {
                    id: attempt_id,
                    server,
                    command: call,
                    idempotent,
                    deadlines,
                    process_of,
                    on_unused_connection,
                };
                let run = attempt::run(Rc::clone(self), attempt);
                let task = self.executor.spawn(run);
                self.attempts_in_flight.borrow_mut().insert(attempt_id, task);
            }
            Command::Cancel(attempt_id) => {
                // Dropping the task closes its connection and discards a late reply.
                let task = self.attempts_in_flight.borrow_mut().remove(&attempt_id);
                drop(task);
            }
            Command::Answer(slot, answer) => {
                self.with_session(slot, |session| session.answer(slot.sequence, answer));
            }
            Command::Watch => {
                // Keeps a watch that `move_discovery` has started.
                if self.watch.borrow().is_none() {
                    self.start_watch();
                }
            }
            Command::DropConnections(server) => self.pools.borrow_mut().drop_server(server),
            Command::ReleaseId(id) => self.release_id(id),
        }
    }

    fn start_watch(self: &Rc<Self>) {
        let task = self.executor.spawn(watch::run(Rc::clone(self)));
        // Replacing the task ends the previous watch.
        self.watch.replace(Some(task));
    }

    /// Watches discovery at another address. Keeps the endpoint list; the new watch continues from its version. The
    /// watch is restarted even if the address is unchanged.
    pub fn move_discovery(self: &Rc<Self>, discovery: SocketAddr) {
        self.discovery.set(discovery);
        self.start_watch();
    }

    /// Schedules the configuration versions that the lease group plans.
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
            self.next_wakeup.set(due.unwrap_or(Micros::MAX));
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
            Timer::after(SWEEP_INTERVAL).await;
            let now = self.clock.now();
            self.pools.borrow_mut().sweep(now, Connection::alive);
            self.expire_clients();
            self.disconnect_stalled();
        }
    }

    /// Whether requests can be served: discovery has answered or `FIRST_UPDATE_TIMEOUT` has passed, and the endpoint
    /// list has a backend in service.
    fn can_serve(&self) -> bool {
        self.discovery_ready.get() && self.proxy.borrow().endpoints.lists_any()
    }

    /// Whether load balancers should send clients to this process.
    pub fn ready(&self) -> bool {
        self.can_serve() && self.listener.borrow().is_some() && !self.stopping.get()
    }

    /// Number of requests in flight.
    pub fn requests_in_flight(&self) -> usize {
        self.proxy.borrow().unanswered_requests()
    }

    /// Answers every request in flight and rejects all others, before the process exits.
    pub fn answer_all(self: &Rc<Self>) {
        self.drive(Proxy::answer_all);
        self.reject_unadmitted();
    }

    /// Number of open client connections.
    pub fn clients_open(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Starts draining: reports not ready and leaves the lease group. Clients are still served.
    pub fn begin_stop(&self) {
        self.stopping.set(true);
        if let Some(tasks) = &self.tasks {
            tasks.leave();
        }
    }

    /// Applies another policy. Returns false if that requires a restart.
    pub fn reload(&self, policy: Option<Arc<Policy>>) -> bool {
        self.proxy.borrow_mut().reload(self.clock.now(), policy)
    }

    /// Logs the counters, as `name=n` in the text and as structured fields.
    pub fn report(&self, title: &str) {
        let proxy = self.proxy.borrow();
        let mut fields = proxy.counters.named();
        for (name, n) in [
            ("owed", proxy.unanswered_requests()),
            ("clients", self.clients_open()),
            ("delegated", self.upstream_budget.used()),
            ("input_bytes", self.input_bytes()),
            ("unsent_bytes", self.unsent_reply_bytes.get()),
            ("kept_bytes", self.value_store.used()),
        ] {
            fields.push((name.to_owned(), n as u64));
        }
        let text: Vec<String> = fields.iter().map(|(name, n)| format!("{name}={n}")).collect();
        log::logger().log(
            &log::Record::builder()
                .level(log::Level::Info)
                .target(module_path!())
                .module_path(Some(module_path!()))
                .args(format_args!("{title}: {}", text.join(" ")))
                .key_values(&fields)
                .build(),
        );
    }

    fn count_connection_end(&self, end: ConnectionEnd) {
        self.proxy.borrow_mut().counters.connection_ended(end);
    }
}

#[cfg(test)]
mod tests;
