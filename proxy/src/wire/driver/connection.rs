//! Connections to servers: reused from the pool or newly opened.

use super::reply_history::ReplyHistory;
use super::Runtime;
use crate::net::{self, ConnectError, Fault, Peer, Stream};
use crate::outcome::AttemptOutcome;
use crate::state::pool::{ReplyOrder, Requirement, Ticket};
use async_io::Timer;
use futures_lite::future;
use notchdoor::{Micros, ServerId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Retries of a connect that failed for a local reason or a network path error. Such failures are usually short, and
/// the server has not seen the attempt.
pub(super) const MAX_CONNECT_RETRIES: u32 = 3;
const CONNECT_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// A process of a server: its address and start time.
pub(super) type Process = (SocketAddr, Micros);

/// A connection to a server.
pub struct Connection {
    /// Number in the log; never reused.
    pub(super) id: u64,
    /// When it was established.
    opened_at: Micros,
    pub(super) io: Stream,
    /// The replies received on it.
    pub(super) history: ReplyHistory,
    /// Whether a reply may be outstanding on it while it is idle.
    pub(super) order: ReplyOrder,
    /// Why it must not be used for another command, if so.
    pub(super) retired: Option<&'static str>,
    _ticket: Ticket,
}

impl Connection {
    /// Whether an idle connection is open and has no unread input. Unexpected input would be taken for the reply to
    /// the next command.
    pub fn alive(&self) -> bool {
        self.io.is_quiet()
    }
}

/// Time within which all connections of a process that has ended are reset, after the first of them.
const PROCESS_END_TIME: Duration = Duration::from_millis(10);

/// The connection that an attempt wants.
#[derive(Clone, Copy)]
pub(super) struct Wanted {
    pub(super) requirement: Requirement,
    /// If set, it must lead to the process that ran at this time.
    pub(super) process_of: Option<Micros>,
}

/// Returns a pooled connection to the server that meets the requirement, or opens one. Waits until a connection that
/// has been used may be reused. Sets `is_new` before it connects.
pub(super) async fn checkout(
    runtime: &Rc<Runtime>,
    (server, process): (ServerId, Process),
    Wanted { requirement, process_of }: Wanted,
    is_new: &mut bool,
) -> Result<Connection, AttemptOutcome> {
    if process_of.is_some() {
        Timer::after(PROCESS_END_TIME).await;
    }
    loop {
        let now = runtime.clock.now();
        let is_old_enough =
            |connection: &Connection| process_of.is_none_or(|time| connection.opened_at < time);
        let taken = runtime.pools.borrow_mut().take_if(now, server, requirement, is_old_enough);
        let Some((rested_at, connection)) = taken else { break };
        if rested_at > now {
            Timer::at(runtime.clock.instant(rested_at)).await;
        }
        if connection.alive() {
            runtime.proxy.borrow_mut().counters.reused += 1;
            return Ok(connection);
        }
        log::debug!(
            connection = connection.id, server;
            "connection {} to {server} closed: it ended or has unread input", connection.id
        );
    }
    // A new connection leads to the same process if another one has been open all the time.
    let shows_process =
        |time| move |connection: &Connection| connection.opened_at < time && connection.alive();
    if process_of.is_some_and(|time| !runtime.pools.borrow().has(server, shows_process(time))) {
        return Err(AttemptOutcome::NotSent);
    }
    *is_new = true;
    connect(runtime, process.0).await
}

async fn connect(runtime: &Rc<Runtime>, endpoint: SocketAddr) -> Result<Connection, AttemptOutcome> {
    let ticket = runtime.upstream_ticket().ok_or(AttemptOutcome::NotSent)?;
    runtime.proxy.borrow_mut().counters.opened += 1;
    let deadline = Instant::now() + Duration::from_micros(runtime.network.connect_timeout);
    let mut retries = 0;
    let mut local_failure: Option<ConnectError> = None;
    loop {
        let connected = async { Some(net::connect(endpoint, Peer::Server).await) };
        let timed_out = async {
            Timer::at(deadline).await;
            None
        };
        let error = match future::or(connected, timed_out).await {
            Some(Ok(io)) => {
                runtime.reachability.borrow_mut().reached(endpoint);
                return Ok(Connection {
                    id: runtime.next_connection.replace(runtime.next_connection.get() + 1),
                    opened_at: runtime.clock.now(),
                    io,
                    history: ReplyHistory::default(),
                    order: ReplyOrder::Certain,
                    retired: None,
                    _ticket: ticket,
                });
            }
            Some(Err(error)) => error,
            // If the timeout was spent on retries of a local failure, that failure is reported, not a timeout.
            None => {
                return Err(match local_failure {
                    Some(error) => runtime.connect_failure_outcome(endpoint, &error),
                    None => AttemptOutcome::ConnectTimedOut,
                })
            }
        };
        let retryable = matches!(error.fault(), Fault::Local | Fault::Path) && retries < MAX_CONNECT_RETRIES;
        if !retryable {
            return Err(runtime.connect_failure_outcome(endpoint, &error));
        }
        retries += 1;
        // Closing an idle connection frees a descriptor, so no pause is needed.
        if !(error.lacks_descriptor() && runtime.pools.borrow_mut().evict()) {
            Timer::after(CONNECT_RETRY_PAUSE).await;
        }
        local_failure = Some(error);
    }
}

impl Runtime {
    /// Whether a server still accepts requests, in the same process as before.
    pub(super) fn is_serving(&self, server: ServerId, process: Process) -> bool {
        let proxy = self.proxy.borrow();
        proxy.endpoints.backend(server).is_some_and(|backend| backend.serving && backend.process() == process)
    }

    /// Opens a connection to a server in the background, for the next attempt that requires an unused one. Called after
    /// a reply, so that a server that cannot be reached gets no further connection.
    pub(super) fn prepare_unused(self: &Rc<Self>, server: ServerId, process: Process) {
        if self.stopping.get() || !self.pools.borrow_mut().begin_unused(server) {
            return;
        }
        let (runtime, generation) = (Rc::clone(self), self.pools.borrow_mut().generation(server));
        self.spawn(async move {
            let connection = match runtime.is_serving(server, process) {
                true => connect(&runtime, process.0).await.ok(),
                false => None,
            };
            runtime.pools.borrow_mut().put_unused(runtime.clock.now(), server, generation, connection);
        });
    }

    /// Returns a connection to its pool, unless it cannot be used again. One that was opened for an attempt that
    /// required an unused one is closed if another is idle: each such attempt would add one to the pool.
    pub(super) fn return_connection(
        &self,
        server: ServerId,
        generation: u64,
        connection: Connection,
        requirement: Requirement,
    ) {
        let surplus = requirement == Requirement::Unused && self.pools.borrow().idle(server) > 0;
        let obstacle = match connection.retired {
            None if connection.history.is_full() => Some("its history of replies is full"),
            None if surplus => Some("another one is idle"),
            retired => retired,
        };
        if let Some(reason) = obstacle {
            log::debug!(
                connection = connection.id, server;
                "connection {} to {server} closed: {reason}", connection.id
            );
            return;
        }
        let order = connection.order;
        self.pools.borrow_mut().put(self.clock.now(), server, generation, (connection, order));
    }

    /// Takes a descriptor for an upstream connection from the budget, after closing an idle connection if needed.
    fn upstream_ticket(&self) -> Option<Ticket> {
        let ticket = self.upstream_budget.take();
        if ticket.is_some() {
            return ticket;
        }
        if self.pools.borrow_mut().evict() {
            return self.upstream_budget.take();
        }
        // Logged at every power of two to limit the log volume under load.
        let times = self.proxy.borrow().counters.attempts_ended(AttemptOutcome::NotSent) + 1;
        if times.is_power_of_two() {
            log::warn!(times; "no descriptor left for another attempt ({times} times so far)");
        }
        None
    }

    /// Returns the outcome of an attempt whose connect failed. Only failures caused by the endpoint count against it;
    /// others are reported as not sent.
    fn connect_failure_outcome(&self, endpoint: SocketAddr, error: &ConnectError) -> AttemptOutcome {
        let outcome = match error.fault() {
            Fault::Peer => return AttemptOutcome::ConnectRefused,
            Fault::PeerTimedOut => return AttemptOutcome::ConnectTimedOut,
            Fault::Path if self.reachability.borrow_mut().failed(endpoint) => AttemptOutcome::ConnectRefused,
            Fault::Path | Fault::Local => AttemptOutcome::NotSent,
        };
        let times = self.connect_failures.get() + 1;
        self.connect_failures.set(times);
        if times.is_power_of_two() {
            log::warn!(times; "local or network failure while connecting to {endpoint} ({times} such failures so far): {error}");
        }
        outcome
    }
}
