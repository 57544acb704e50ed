//! Two processes on one address: listening next to another, leaving in its favour, heeding one state.

use super::{client, Runtime};
use crate::net::{Listener, Queued};
use crate::state::endpoints::AdministrativeDrains;
use crate::state::hot_restart::{HotRestart, OtherProcess};
use async_io::Timer;
use socket2::{Domain, Protocol, Socket, Type};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// How often the state is looked at, alone and next to another process.
const LOOK: Duration = Duration::from_millis(100);
const LOOK_CLOSELY: Duration = Duration::from_millis(10);
/// How often a process that may not listen yet looks whether it may.
const READY_YET: Duration = Duration::from_millis(5);
/// Connections that are taken beyond the room for them when the listener is closed; for more it waits so long.
const OVERDRAFT: usize = 12;
const EMPTYING: Duration = Duration::from_millis(200);

/// Takes the clients' address, next to another process of this proxy if there is one. It is not listened on yet.
pub fn bind(address: SocketAddr) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

impl Runtime {
    /// Listens and accepts until the task is dropped: at once if alone, else once clients can be served. From then on
    /// the system hands this process its part of the new connections.
    pub(super) async fn open(self: Rc<Self>, socket: Socket) {
        while !self.able() && !self.others().is_empty() {
            Timer::after(READY_YET).await;
        }
        let listener =
            socket.listen(BACKLOG).and_then(|()| Listener::new(TcpListener::from(socket))).map(Rc::new);
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

    /// The other processes of this proxy that live.
    pub(super) fn others(&self) -> Vec<OtherProcess> {
        self.hot_restart.borrow().as_ref().map(HotRestart::others).unwrap_or_default()
    }

    /// Whether another process takes clients in this one's stead.
    pub fn has_successor(&self) -> bool {
        self.others().iter().any(|other| other.open)
    }

    /// Carries out the state that is held, and tells the other process so; its version.
    pub(super) fn heed(self: &Rc<Self>) -> u64 {
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

    /// Keeps up with the other process: what it takes out or puts back, and whether it lives.
    /// The limits are shared among so many processes at first.
    pub(super) async fn run_hot_restart(self: Rc<Self>, mut processes: usize) {
        let mut told = String::new();
        loop {
            Timer::after(if processes > 1 { LOOK_CLOSELY } else { LOOK }).await;
            let refreshed = match self.hot_restart.borrow_mut().as_mut() {
                Some(hot_restart) => hot_restart.refresh(),
                None => return,
            };
            match refreshed {
                Ok(true) => {
                    self.heed();
                }
                Ok(false) => {}
                // Told once for as long as it lasts.
                Err(why) if why.to_string() == told => {}
                Err(why) => {
                    log::error!("hot restart: the state cannot be read, what is held stays: {why}");
                    told = why.to_string();
                }
            }
            let now = 1 + self.others().len();
            if now != processes {
                log::info!(processes = now; "hot restart: {now} processes, was {processes}");
                processes = now;
                self.share(processes);
            }
        }
    }

    /// Takes this process's part of the limits while so many live.
    fn share(&self, processes: usize) {
        let room = self.limits.room(processes);
        self.room.set(room);
        self.client_budget.resize(room.clients);
        self.upstream_budget.resize(room.upstream);
        while self.upstream_budget.used() > room.upstream && self.pools.borrow_mut().evict() {}
    }

    /// Takes no new connections. What waits in the queue is taken first: connections that are in it when the
    /// listener is closed are reset, with a request on them that nobody has read.
    pub async fn stop_accepting(self: &Rc<Self>) {
        self.acceptor.replace(None);
        let until = Instant::now() + EMPTYING;
        let Some(listener) = self.listener.replace(None) else { return };
        let mut lost = 0;
        loop {
            let in_time = Instant::now() < until;
            let room = self.client_budget.used() < self.client_budget.limit() + OVERDRAFT;
            if !room && in_time {
                self.retire_some(Some(0));
                Timer::after(READY_YET).await;
                continue;
            }
            match listener.queued() {
                Queued::Connection(io) => client::admit(self, io, self.client_budget.overdraw()),
                // One that went while it was queued says nothing of those behind it.
                Queued::Lost(error) if lost < BACKLOG => {
                    self.accept_failed(&error);
                    lost += 1;
                }
                // What is short comes back while others end; the rest of the queue would be reset unread.
                Queued::Shortage(error) if in_time => {
                    self.accept_failed(&error);
                    Timer::after(READY_YET).await;
                }
                Queued::Lost(error) | Queued::Shortage(error) => {
                    log::warn!("acceptor: closed with connections that cannot be accepted: {error}");
                    break;
                }
                // Closed before anything else is done.
                Queued::Empty => break,
            }
        }
        drop(listener);
        self.set_open(false);
    }
}
