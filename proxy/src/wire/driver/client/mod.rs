//! Client connections. Each has one task that reads commands and writes replies.

mod accept;
mod eviction;
mod reader;
mod relay;
mod undelivered;
mod upload;
mod writer;

use super::Runtime;
use crate::net::Stream;
use crate::outcome::ConnectionEnd;
use crate::proxy::ReplySlot;
use crate::state::pool::Ticket;
use crate::wire::client_session::ClientSession;
pub use accept::{accept, admit};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use notchdoor::Micros;
pub(super) use relay::RelayStart;
use relay::MAX_UNSENT_RELAYED;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use undelivered::UndeliveredOutput;
pub use writer::LINGER_TIMEOUT;

/// How often the connection is polled for a disconnect while it is not read. No attempt may start for a client that
/// left 100 ms ago.
const PRESENCE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Idle time after which a new connection is assumed to have no first command in flight.
const FIRST_COMMAND_IN_FLIGHT: Micros = 20_000;

/// One client connection.
pub struct Client {
    io: Stream,
    session: RefCell<ClientSession>,
    /// Wakes the connection's task when there is output to write or the connection has ended.
    wake: (Sender<()>, Receiver<()>),
    broken: Cell<bool>,
    stalled: Cell<bool>,
    retiring: Cell<bool>,
    /// Time of the last input or reply.
    last_active: Cell<Micros>,
    /// Time since which an incomplete command is buffered; 0 if there is none.
    partial_since: Cell<Micros>,
    /// Until when the time of the large write that is received was counted.
    upload_counted_until: Cell<Micros>,
    /// When the proxy last went on after it had not read the client for a while.
    held_up_until: Cell<Micros>,
    /// Notified when more of a relayed reply can be accepted, or the connection has ended.
    relay_ready: Rc<Event>,
    /// Bytes of unsent replies on all connections, and this connection's share.
    unsent_reply_bytes: Rc<Cell<usize>>,
    unsent_share: Cell<usize>,
    /// Memory of commands that are incomplete or wait, on all connections, and this connection's share.
    partial_command_bytes: Rc<Cell<usize>>,
    partial_share: Cell<usize>,
    /// Bytes of a parsed command that waits for admission.
    waiting_command_bytes: Cell<usize>,
    /// Whether the socket has refused output.
    output_blocked: Cell<bool>,
    /// Since when it has, without a time in between when all output was taken.
    blocked_since: Cell<Micros>,
    /// When the socket last took output, or when it first refused some.
    last_progress: Cell<Micros>,
    /// What the socket took and the client may not have received.
    undelivered: UndeliveredOutput,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.unsent_reply_bytes.set(self.unsent_reply_bytes.get().saturating_sub(self.unsent_share.get()));
        self.partial_command_bytes
            .set(self.partial_command_bytes.get().saturating_sub(self.partial_share.get()));
    }
}

impl Client {
    /// Whether the client has closed its side or the connection is broken, even if input is still unread.
    fn has_left(&self) -> bool {
        self.broken.get() || self.io.peer_has_closed()
    }

    /// Waits for a future; `None` if the client disconnects before it completes.
    async fn unless_left<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let left = async {
            while !self.has_left() {
                Timer::after(PRESENCE_CHECK_INTERVAL).await;
            }
            None
        };
        future::or(async { Some(future.await) }, left).await
    }

    /// Whether the connection can be closed when it has no pending request: false if its first request may be in
    /// flight.
    fn can_close_idle(&self, now: Micros) -> bool {
        self.session.borrow().commands_received() > 0
            || self.last_active.get() + FIRST_COMMAND_IN_FLIGHT <= now
    }

    /// Closes the connection once no reply is pending.
    pub fn retire(&self) {
        self.retiring.set(true);
        self.wake();
    }

    fn wake(&self) {
        // A full channel means that a wake-up is already pending.
        let _ = self.wake.0.try_send(());
    }

    /// Updates the counts of unsent bytes and of bytes in incomplete commands.
    fn update_shares(&self) {
        let (waiting, partial) = {
            let session = self.session.borrow();
            let partial = session.unparsed_capacity() + self.waiting_command_bytes.get();
            (session.replies().memory_bytes(), partial)
        };
        let others = self.unsent_reply_bytes.get().saturating_sub(self.unsent_share.replace(waiting));
        self.unsent_reply_bytes.set(others + waiting);
        let others = self.partial_command_bytes.get().saturating_sub(self.partial_share.replace(partial));
        self.partial_command_bytes.set(others + partial);
    }

    fn flush(&self, now: Micros) {
        let mut session = self.session.borrow_mut();
        if !self.output_blocked.get() {
            self.last_progress.set(now);
        }
        while !session.replies().output().is_empty() {
            match self.io.write(session.replies().output()) {
                Ok(0) => self.broken.set(true),
                Ok(n) => {
                    session.replies_mut().mark_written(n);
                    self.undelivered.written(now, n);
                    self.last_progress.set(now);
                    continue;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                // The client has disconnected; its task ends and cancels its requests.
                Err(_) => self.broken.set(true),
            }
            break;
        }
        let unsent = session.replies().output().len();
        drop(session);
        if !self.output_blocked.replace(unsent > 0) {
            self.blocked_since.set(now);
        }
        if unsent < MAX_UNSENT_RELAYED {
            self.relay_ready.notify(usize::MAX);
        }
        self.update_shares();
        if self.end().is_some() || unsent > 0 {
            self.wake();
        }
    }

    /// Returns why the connection has ended, or `None` while it is open.
    fn end(&self) -> Option<ConnectionEnd> {
        let session = self.session.borrow();
        if self.broken.get() {
            Some(ConnectionEnd::ClientLeft)
        } else if self.stalled.get() {
            Some(ConnectionEnd::ClientStalled)
        } else if session.finished() {
            Some(match session.malformed() {
                _ if session.replies().was_cut() => ConnectionEnd::ReplyCut,
                true => ConnectionEnd::ClientMalformed,
                false if session.timed_out() => ConnectionEnd::ClientSilent,
                false => ConnectionEnd::ClosedIdle,
            })
        } else if self.retiring.get()
            && !session.replies().busy()
            && session.unparsed_bytes() == 0
            && !self.io.has_unread_input()
        {
            Some(ConnectionEnd::ClosedIdle)
        } else {
            None
        }
    }
}

impl Runtime {
    /// Whether a client has disconnected. If so, cancels its requests, even if its task has not noticed yet.
    pub(super) fn client_has_left(self: &Rc<Self>, id: u64) -> bool {
        let Some(client) = self.clients.borrow().get(&id).map(Rc::clone) else { return true };
        if !client.has_left() {
            return false;
        }
        client.broken.set(true);
        client.wake();
        self.cancel_requests(id, &client);
        true
    }

    /// Closes a client's session and cancels its pending requests.
    fn cancel_requests(self: &Rc<Self>, id: u64, client: &Client) {
        client.session.borrow_mut().close();
        let sequences = client.session.borrow().replies().pending_sequences();
        for sequence in sequences {
            self.drive(|proxy, now| proxy.client_left(now, ReplySlot { connection: id, sequence }));
        }
        client.relay_ready.notify(usize::MAX);
    }

    /// Closes every client connection once its requests are answered. With `no_new_commands`, no further command is
    /// accepted, but one received in part is still completed.
    pub fn retire_clients(&self, no_new_commands: bool) {
        let now = self.clock.now();
        for client in self.clients.borrow().values() {
            if no_new_commands {
                client.session.borrow_mut().finish();
            }
            if no_new_commands || client.can_close_idle(now) {
                client.retire();
            }
        }
    }

    /// Memory that the input of all clients takes, in bytes.
    pub(super) fn input_bytes(&self) -> usize {
        self.clients.borrow().values().map(|client| client.session.borrow().input_capacity()).sum()
    }

    /// Number of clients with replies that have begun and are not written completely.
    pub fn clients_with_unwritten_replies(&self) -> usize {
        let is_unwritten = |client: &&Rc<Client>| {
            let session = client.session.borrow();
            client.end().is_none()
                && (session.replies().has_relay() || !session.replies().output().is_empty())
        };
        self.clients.borrow().values().filter(is_unwritten).count()
    }

    /// Rejects commands that were read but not yet passed to the proxy, and closes all sessions.
    pub(super) fn reject_unadmitted(&self) {
        let now = self.clock.now();
        for client in self.clients.borrow().values() {
            let refused = client.session.borrow_mut().refuse_rest();
            self.proxy.borrow_mut().counters.rejected += refused as u64;
            client.flush(now);
            client.wake();
        }
    }

    /// Applies `what` to a client's session, if the client is still connected, and writes the resulting output.
    pub(super) fn with_session(&self, slot: ReplySlot, apply: impl FnOnce(&mut ClientSession)) {
        let client = self.clients.borrow().get(&slot.connection).map(Rc::clone);
        if let Some(client) = client {
            let now = self.clock.now();
            client.last_active.set(now);
            apply(&mut client.session.borrow_mut());
            client.flush(now);
        }
    }
}

async fn serve(runtime: Rc<Runtime>, id: u64, client: Rc<Client>, ticket: Ticket) {
    let ending = future::or(writer::write(&runtime, &client), reader::read(&runtime, id, &client)).await;
    log::debug!(client = id, ending = ending.name(); "client {id}: {}", ending.name());
    runtime.count_connection_end(ending);
    runtime.cancel_requests(id, &client);
    // A client that has left or does not read cannot receive the end of its output.
    if !matches!(ending, ConnectionEnd::ClientLeft | ConnectionEnd::ClientStalled) {
        writer::linger(&runtime, &client, ending).await;
    }
    runtime.clients.borrow_mut().remove(&id);
    drop(client);
    drop(ticket);
}
