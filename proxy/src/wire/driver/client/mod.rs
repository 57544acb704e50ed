//! Client connections: one task each, which reads commands and writes answers.

mod accept;
mod eviction;
mod reader;
mod writer;

use super::Runtime;
use crate::outcome::ConnectionEnd;
use crate::proxy::ReplySlot;
use crate::state::pool::Ticket;
use crate::wire::client_session::ClientSession;
use crate::wire::MAX_VALUE;
pub use accept::{accept, admit};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future;
use notchdoor::Micros;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Bytes of a relayed answer that may wait for its client before no more of it is read.
const MAX_UNSENT_RELAYED: usize = MAX_VALUE / 2;
/// While nothing is read from a client it is looked so often whether it is still there: nothing may begin for one that
/// left 0.1 s ago.
const PRESENCE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A connection that has carried nothing for so long has no first command on its way any more.
const FIRST_COMMAND_IN_FLIGHT: Micros = 20_000;

/// One client connection.
pub struct Client {
    io: Async<TcpStream>,
    session: RefCell<ClientSession>,
    /// Tells the connection's task that there is something to write, or that it is over.
    wake: (Sender<()>, Receiver<()>),
    broken: Cell<bool>,
    stalled: Cell<bool>,
    retiring: Cell<bool>,
    /// When something last came from it or was answered.
    used: Cell<Micros>,
    /// Since when half a command is there; 0 while there is none.
    half_since: Cell<Micros>,
    /// Tells those who pass an answer on that there is room for more of it, or that the connection is over.
    room: Rc<Event>,
    /// Bytes of answers that wait on any connection, and this one's part of them.
    unsent: Rc<Cell<usize>>,
    counted: Cell<usize>,
    /// Bytes of half commands on any connection, and this one's part of them.
    half_read: Rc<Cell<usize>>,
    counted_half: Cell<usize>,
    /// When answers last began to wait on it, or some of one was taken off it.
    moved: Cell<Micros>,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.unsent.set(self.unsent.get().saturating_sub(self.counted.get()));
        self.half_read.set(self.half_read.get().saturating_sub(self.counted_half.get()));
    }
}

impl Client {
    /// Whether an answer may be passed on now: it is the next one, and little of what went before waits.
    fn passes(&self, place: u64) -> bool {
        let session = self.session.borrow();
        session.replies().is_next(place) && session.replies().output().len() < MAX_UNSENT_RELAYED
    }

    /// Whether the client has ended its side, or the connection is broken, whatever of it is unread before that.
    fn gone(&self) -> bool {
        let mut fds = [PollFd::new(&self.io, PollFlags::RDHUP)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        self.broken.get() || poll(&mut fds, Some(&at_once)).is_ok_and(|n| n > 0)
    }

    /// Waits for something else than the client's next bytes; `None` if it leaves meanwhile.
    async fn while_there<T>(&self, what: impl Future<Output = T>) -> Option<T> {
        let gone = async {
            while !self.gone() {
                Timer::after(PRESENCE_CHECK_INTERVAL).await;
            }
            None
        };
        future::or(async { Some(what.await) }, gone).await
    }

    /// Whether it may be closed where no request is open: not if a request may be on its way as its first one.
    fn settled(&self, now: Micros) -> bool {
        self.session.borrow().commands_received() > 0 || self.used.get() + FIRST_COMMAND_IN_FLIGHT <= now
    }

    /// Has the connection closed once nothing is owed on it.
    pub fn retire(&self) {
        self.retiring.set(true);
        self.wake();
    }

    fn wake(&self) {
        // Full means that the task is being woken as it is.
        let _ = self.wake.0.try_send(());
    }

    /// Brings the counts of waiting bytes and of half commands up to date.
    fn recount(&self) {
        let (waiting, half) = {
            let session = self.session.borrow();
            (session.replies().unsent_bytes(), session.unparsed_bytes())
        };
        let others = self.unsent.get().saturating_sub(self.counted.replace(waiting));
        self.unsent.set(others + waiting);
        let others = self.half_read.get().saturating_sub(self.counted_half.replace(half));
        self.half_read.set(others + half);
    }

    fn flush(&self, now: Micros) {
        let mut session = self.session.borrow_mut();
        if self.counted.get() == 0 {
            self.moved.set(now);
        }
        while !session.replies().output().is_empty() {
            match self.io.get_ref().write(session.replies().output()) {
                Ok(0) => self.broken.set(true),
                Ok(n) => {
                    session.replies_mut().wrote(n);
                    self.moved.set(now);
                    continue;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                // A peer that is gone: its task ends, and with it what it asked for.
                Err(_) => self.broken.set(true),
            }
            break;
        }
        let room = session.replies().output().len() < MAX_UNSENT_RELAYED;
        drop(session);
        if room {
            self.room.notify(usize::MAX);
        }
        self.recount();
        if self.over().is_some() || !self.session.borrow().replies().output().is_empty() {
            self.wake();
        }
    }

    /// Bytes that have come and are not read yet: a connection with a request in its socket is not closed on it.
    fn unread(&self) -> usize {
        self.io.get_ref().peek(&mut [0]).unwrap_or(0)
    }

    /// How the connection has ended, if it has.
    fn over(&self) -> Option<ConnectionEnd> {
        let session = self.session.borrow();
        if self.broken.get() {
            Some(ConnectionEnd::ClientLeft)
        } else if self.stalled.get() {
            Some(ConnectionEnd::ClientStalled)
        } else if session.finished() {
            Some(match session.malformed() {
                _ if session.replies().was_cut() => ConnectionEnd::ReplyCut,
                true => ConnectionEnd::ClientMalformed,
                false if session.silent() => ConnectionEnd::ClientSilent,
                false => ConnectionEnd::ClosedIdle,
            })
        } else if self.retiring.get()
            && !session.replies().busy()
            && session.unparsed_bytes() == 0
            && self.unread() == 0
        {
            Some(ConnectionEnd::ClosedIdle)
        } else {
            None
        }
    }
}

impl Runtime {
    /// Waits until an answer may be passed on to its client. False if nobody waits for it any more.
    pub(super) async fn relay_ready(&self, slot: ReplySlot) -> bool {
        loop {
            let Some(client) = self.clients.borrow().get(&slot.connection).map(Rc::clone) else {
                return false;
            };
            if client.session.borrow().replies().was_cut() {
                return false;
            }
            if client.passes(slot.sequence) {
                return true;
            }
            // Only the event is held on to: the connection may end meanwhile.
            let room = Rc::clone(&client.room);
            drop(client);
            room.listen().await;
        }
    }

    /// Whether a client has left. What it was owed is called off then, also where its task has yet to find out.
    pub(super) fn client_gone(self: &Rc<Self>, id: u64) -> bool {
        let Some(client) = self.clients.borrow().get(&id).map(Rc::clone) else { return true };
        if !client.gone() {
            return false;
        }
        client.broken.set(true);
        client.wake();
        self.part(id, &client);
        true
    }

    /// Nothing more is read from a client, and none of the answers that it is owed are wanted.
    fn part(self: &Rc<Self>, id: u64, client: &Client) {
        client.session.borrow_mut().close();
        let places = client.session.borrow().replies().pending_places();
        for place in places {
            self.drive(|proxy, now| proxy.client_left(now, ReplySlot { connection: id, sequence: place }));
        }
        client.room.notify(usize::MAX);
    }

    /// Has every client connection closed once all that was taken on it is answered. Where nothing new is taken any
    /// more, nothing but the rest of the command that has begun is read.
    pub fn retire_clients(&self, nothing_new: bool) {
        let now = self.clock.now();
        for client in self.clients.borrow().values() {
            if nothing_new {
                client.session.borrow_mut().finish();
            }
            if nothing_new || client.settled(now) {
                client.retire();
            }
        }
    }

    /// Refuses what was read and has not come to the proxy, such as what waits for room, and reads nothing more.
    pub(super) fn refuse_rest(&self) {
        let now = self.clock.now();
        for client in self.clients.borrow().values() {
            let refused = client.session.borrow_mut().refuse_rest();
            self.proxy.borrow_mut().counters.rejected += refused as u64;
            client.flush(now);
            client.wake();
        }
    }

    /// Does something with the session of a client, if it is there, and writes what comes of it.
    pub(super) fn with_session(&self, slot: ReplySlot, what: impl FnOnce(&mut ClientSession)) {
        let client = self.clients.borrow().get(&slot.connection).map(Rc::clone);
        if let Some(client) = client {
            let now = self.clock.now();
            client.used.set(now);
            what(&mut client.session.borrow_mut());
            client.flush(now);
        }
    }
}

async fn serve(runtime: Rc<Runtime>, id: u64, client: Rc<Client>, ticket: Ticket) {
    let ending = future::or(writer::write(&runtime, &client), reader::read(&runtime, id, &client)).await;
    log::debug!(client = id, ending = ending.name(); "client {id}: {}", ending.name());
    runtime.count_connection_end(ending);
    runtime.part(id, &client);
    // One that has left, or takes nothing, has nothing to read.
    if !matches!(ending, ConnectionEnd::ClientLeft | ConnectionEnd::ClientStalled) {
        writer::linger(&runtime, &client).await;
    }
    runtime.clients.borrow_mut().remove(&id);
    drop(client);
    drop(ticket);
}
