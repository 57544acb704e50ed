//! Hot restart: shares the listen address and the drain state between the old and the new process.

use super::{client, Runtime};
use crate::net::{Listener, Peer, TryAccept};
use crate::state::endpoints::AdministrativeDrains;
use crate::state::hot_restart::{HotRestart, OtherProcess};
use crate::state::request_ids::IdDigest;
use crate::state::shared_request_ids::SharedRequestIds;
use async_io::Timer;
use socket2::{Domain, Protocol, Socket, Type};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Listen backlog.
const BACKLOG: i32 = 1024;
/// How often the shared state is read: as the only process, and next to others.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(100);
const SHARED_STATE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Poll interval while waiting to listen, and for room while the accept queue is emptied.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Connections accepted beyond the budget while the accept queue is emptied, and the maximum wait for room for more.
const MAX_OVERDRAFT_CONNECTIONS: usize = 12;
const QUEUE_DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Binds the client address with `SO_REUSEPORT`, without listening yet. Another process of this proxy may be bound to
/// it.
pub fn bind(address: SocketAddr) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Opens the file of this process's request ids and those of the other processes.
pub(super) fn open_shared_ids(hot_restart: &HotRestart) -> Option<SharedRequestIds> {
    let (own, others) = hot_restart.request_id_paths();
    SharedRequestIds::open(own, others)
        .inspect_err(|error| {
            log::error!("hot restart: other processes will not know the request ids of this one: {error}");
        })
        .ok()
}

impl Runtime {
    /// Takes a request id for this process. Returns false if it may have run at another process. If the processes cannot tell
    /// each other, requests are served all the same: clients give each one an id of its own.
    pub(super) fn take_id(&self, id: &[u8]) -> bool {
        let taken = self.shared_ids.borrow_mut().as_mut().map(|ids| ids.take(IdDigest::of(id)));
        match taken {
            None => true,
            Some(Ok(is_free)) => is_free,
            Some(Err(error)) => {
                self.count_shared_id_error(&error);
                true
            }
        }
    }

    /// Lets other processes take a request id.
    pub(super) fn release_id(&self, id: IdDigest) {
        let released = self.shared_ids.borrow_mut().as_mut().map(|ids| ids.release(id));
        if let Some(Err(error)) = released {
            self.count_shared_id_error(&error);
        }
    }

    fn count_shared_id_error(&self, error: &std::io::Error) {
        let errors = self.shared_id_errors.get() + 1;
        self.shared_id_errors.set(errors);
        if errors.is_power_of_two() {
            log::error!(errors; "hot restart: request ids cannot be told or read ({errors} times so far): {error}");
        }
    }

    /// Listens and accepts clients until the task is dropped. Starts immediately if there is no other process, else
    /// once clients can be served. The kernel distributes new connections among the listening processes.
    pub(super) async fn listen_and_accept(self: Rc<Self>, socket: Socket) {
        while !self.can_serve() && !self.other_processes().is_empty() {
            Timer::after(READY_POLL_INTERVAL).await;
        }
        let listener = socket
            .listen(BACKLOG)
            .and_then(|()| Listener::new(TcpListener::from(socket), Peer::Client))
            .map(Rc::new);
        let listener = match listener {
            Ok(listener) => listener,
            Err(error) => return log::error!("acceptor: cannot listen: {error}"),
        };
        self.listener.replace(Some(Rc::clone(&listener)));
        self.set_open(true);
        client::accept(self, listener).await;
    }

    fn set_open(&self, open: bool) {
        if let Some(hot_restart) = self.hot_restart.borrow_mut().as_mut() {
            hot_restart.set_open(open);
        }
    }

    /// The other running processes of this proxy.
    pub(super) fn other_processes(&self) -> Vec<OtherProcess> {
        self.hot_restart.borrow().as_ref().map(HotRestart::others).unwrap_or_default()
    }

    /// Whether another process of this proxy accepts clients.
    pub fn has_successor(&self) -> bool {
        self.other_processes().iter().any(|other| other.open)
    }

    /// Applies the drain state and reports that to the other processes. Returns the version of the state, or 0
    /// without hot restart.
    pub(super) fn apply_state(self: &Rc<Self>) -> u64 {
        let Some(state) = self.hot_restart.borrow().as_ref().map(|h| h.state.clone()) else { return 0 };
        let drains = AdministrativeDrains {
            drained: state.drained.into_iter().collect(),
            put_back: state.put_back.into_iter().map(|b| (b.backend, b.at)).collect(),
        };
        self.drive(|proxy, now| proxy.set_drains(now, drains));
        if let Some(hot_restart) = self.hot_restart.borrow_mut().as_mut() {
            hot_restart.publish();
        }
        state.serial
    }

    /// Follows drain changes by other processes and the number of processes. `processes` is the initial number, for
    /// which the limits were divided.
    pub(super) async fn run_hot_restart(self: Rc<Self>, mut processes: usize) {
        let mut logged_error = String::new();
        loop {
            Timer::after(if processes > 1 { SHARED_STATE_POLL_INTERVAL } else { STATE_POLL_INTERVAL }).await;
            let refreshed = match self.hot_restart.borrow_mut().as_mut() {
                Some(hot_restart) => hot_restart.refresh(),
                None => return,
            };
            match refreshed {
                Ok(true) => {
                    self.apply_state();
                }
                Ok(false) => {}
                // Logged once per distinct error.
                Err(error) if error.to_string() == logged_error => {}
                Err(error) => {
                    log::error!("hot restart: cannot read the state, keeping the current one: {error}");
                    logged_error = error.to_string();
                }
            }
            let others = self.other_processes();
            let current = 1 + others.len();
            if current != processes {
                log::info!(processes = current; "hot restart: {current} processes, was {processes}");
            }
            if current > 1 {
                self.publish_held_bytes();
            }
            // What the others hold changes all the time.
            if current > 1 || current != processes {
                processes = current;
                self.apply_share(processes, others.iter().map(|other| other.held_bytes).sum());
            }
        }
    }

    /// Tells the other processes how many bytes this one holds for clients.
    fn publish_held_bytes(&self) {
        let held_bytes = self.held_bytes();
        if let Some(hot_restart) = self.hot_restart.borrow_mut().as_mut() {
            hot_restart.set_held_bytes(held_bytes);
        }
    }

    /// Applies this process's share of the limits among `processes` processes, of which the others hold so many bytes.
    fn apply_share(&self, processes: usize, held_by_others: usize) {
        let room = self.limits.share(processes, held_by_others);
        if room == self.room.get() {
            return;
        }
        self.room.set(room);
        self.value_store.set_limit(room.large_value_bytes);
        self.relay_budget.resize(room.relayed_values);
        self.client_budget.resize(room.client_connections);
        self.upstream_budget.resize(room.upstream_connections);
        while self.upstream_budget.used() > room.upstream_connections && self.pools.borrow_mut().evict() {}
    }

    /// Stops accepting connections. Empties the accept queue first, because closing the listener resets the
    /// connections in it, with the requests already sent on them.
    pub async fn stop_accepting(self: &Rc<Self>) {
        self.acceptor.replace(None);
        let deadline = Instant::now() + QUEUE_DRAIN_TIMEOUT;
        let Some(listener) = self.listener.replace(None) else { return };
        let mut aborted = 0;
        loop {
            let in_time = Instant::now() < deadline;
            let room = self.client_budget.used() < self.client_budget.limit() + MAX_OVERDRAFT_CONNECTIONS;
            if !room && in_time {
                self.retire_idle(Some(0));
                Timer::after(READY_POLL_INTERVAL).await;
                continue;
            }
            match listener.try_accept() {
                TryAccept::Connection(io) => client::admit(self, io, self.client_budget.overdraw()),
                // A queued connection was aborted; the ones behind it can still be accepted.
                TryAccept::Lost(error) if aborted < BACKLOG => {
                    self.accept_failed(&error);
                    aborted += 1;
                }
                // Descriptors or memory are short; retries until others are freed.
                TryAccept::Shortage(error) if in_time => {
                    self.accept_failed(&error);
                    Timer::after(READY_POLL_INTERVAL).await;
                }
                TryAccept::Lost(error) | TryAccept::Shortage(error) => {
                    log::warn!("acceptor: closed with connections left in the queue: {error}");
                    break;
                }
                // Closes the listener without yielding in between.
                TryAccept::Empty => break,
            }
        }
        drop(listener);
        self.set_open(false);
    }
}
