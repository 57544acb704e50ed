//! Reads a client's commands and takes each one up once there is room for it.

use super::Client;
use crate::outcome::ConnectionEnd;
use crate::proxy::{ClientRequest, ReplySlot};
use crate::wire::client_session::SessionEvent;
use crate::wire::command::BackendCommand;
use crate::wire::driver::Runtime;
use crate::wire::MAX_VALUE;
use async_io::Timer;
use futures_lite::future;
use notchdoor::Micros;
use std::io::{ErrorKind, Read};
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

/// Bytes that are read at once.
const READ_BUFFER: usize = 16 * 1024;
/// Answers that one connection may be owed before no more of it is read.
const MAX_PENDING_REPLIES: usize = 64;
/// Bytes of answers that may wait on one connection before no more of it is read: some clients ask on and on and read
/// nothing.
const MAX_UNSENT: usize = 4 * MAX_VALUE;
/// Pause before a command for which there was no room is tried again.
const ROOM_RETRY_PAUSE: Duration = Duration::from_millis(2);
/// The longest that a large value may take to come in, if it never pauses for a command's time.
const STREAMED_VALUE_TIMEOUT: Micros = 60_000_000;
/// A client is answered so long before its time is over, at the most and as a part of it: an answer on its way then
/// would come too late.
const REPLY_MARGIN: Micros = 10_000;
const REPLY_MARGIN_PART: Micros = 40;

/// Reads commands. Returns when the client has gone.
pub(super) async fn read(runtime: &Rc<Runtime>, id: u64, client: &Client) -> ConnectionEnd {
    let mut buffer = vec![0; READ_BUFFER];
    let mut read_at = runtime.clock.now();
    loop {
        if let ControlFlow::Break(ending) = take_commands(runtime, id, client, read_at).await {
            return ending;
        }
        match streamed_value_moves(client).await {
            ControlFlow::Break(ending) => return ending,
            ControlFlow::Continue(true) => {
                read_at = runtime.clock.now();
                continue;
            }
            ControlFlow::Continue(false) => {}
        }
        client.note_half_command(read_at);
        client.flush(runtime.clock.now());
        runtime.evict_half_read();
        if !client.session.borrow().reads() {
            return until_gone(client).await;
        }
        let most = client.session.borrow().may_read().min(buffer.len());
        let n = match client.io.get_ref().read(buffer.get_mut(..most).unwrap_or_default()) {
            Ok(0) => return ConnectionEnd::ClientLeft,
            Ok(n) => n,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) if e.kind() == ErrorKind::WouldBlock => match client.io.readable().await {
                Ok(()) => continue,
                Err(_) => return ConnectionEnd::ClientLeft,
            },
            Err(_) => return ConnectionEnd::ClientLeft,
        };
        // What waits in our buffers for its turn has been read now: its time runs from here.
        read_at = runtime.clock.now();
        client.used.set(read_at);
        client.session.borrow_mut().feed(buffer.get(..n).unwrap_or_default());
        // A client that sends on and on and is answered at once never makes this task wait: timers, signals and other
        // clients get their turn all the same.
        future::yield_now().await;
    }
}

/// Takes up all commands that have come whole, each once there is room for it.
async fn take_commands(
    runtime: &Rc<Runtime>,
    id: u64,
    client: &Client,
    read_at: Micros,
) -> ControlFlow<ConnectionEnd> {
    loop {
        // A cut would take the requests behind it along: they are left unread until the relayed answer is complete.
        let relayed = client.while_there(async {
            while client.session.borrow().replies().relaying() {
                client.room.listen().await;
            }
        });
        if relayed.await.is_none() {
            return ControlFlow::Break(ConnectionEnd::ClientLeft);
        }
        let Some(event) = client.session.borrow_mut().next_event() else { return ControlFlow::Continue(()) };
        // A whole command that waits for room is owed an answer from here on, and is not late.
        client.half_since.set(0);
        let room = client.while_there(async {
            while client.has_enough() || !runtime.room() {
                Timer::after(ROOM_RETRY_PAUSE).await;
            }
        });
        // Nothing is begun for a client that sent its commands and left.
        if room.await.is_none() || client.gone() {
            return ControlFlow::Break(ConnectionEnd::ClientLeft);
        }
        match event {
            // Refused meanwhile: the process ends.
            SessionEvent::Command(place, _) if !client.session.borrow().replies().awaits(place) => {}
            SessionEvent::Ping(place) => client.session.borrow_mut().pong(place, runtime.ready()),
            SessionEvent::Command(place, call) => {
                take(runtime, client, ReplySlot { connection: id, sequence: place }, *call, read_at);
            }
        }
    }
}

/// Whether a large value that is coming in had to wait for the origin, and goes on now. What the origin does not take
/// yet is not read yet, and that is not the client's doing.
async fn streamed_value_moves(client: &Client) -> ControlFlow<ConnectionEnd, bool> {
    let incoming = client.session.borrow().incoming();
    let Some(streamed) = incoming.filter(|s| s.room() == 0) else { return ControlFlow::Continue(false) };
    client.half_since.set(0);
    match client.while_there(streamed.change_of()).await {
        Some(()) => ControlFlow::Continue(true),
        None => ControlFlow::Break(ConnectionEnd::ClientLeft),
    }
}

/// Waits for the end of a client from which nothing more is read: its answers are still written, and then the connection
/// is over by itself.
async fn until_gone(client: &Client) -> ConnectionEnd {
    if client.over().is_none() {
        client.while_there(future::pending::<()>()).await;
        return ConnectionEnd::ClientLeft;
    }
    future::pending().await
}

impl Client {
    /// Whether so much is owed on the connection that no more commands are taken.
    fn has_enough(&self) -> bool {
        let session = self.session.borrow();
        session.replies().pending() > MAX_PENDING_REPLIES || session.replies().unsent_bytes() > MAX_UNSENT
    }

    /// Notes since when half a command has been there, if one is.
    fn note_half_command(&self, read_at: Micros) {
        let (incoming, half) = {
            let session = self.session.borrow();
            let incoming = session.incoming().is_some();
            (incoming, incoming || session.unparsed_bytes() > 0)
        };
        self.half_since.set(match self.half_since.get() {
            // A large value has its time from piece to piece.
            since if half && since > 0 && !incoming => since,
            _ if half => read_at,
            _ => 0,
        });
    }
}

impl Runtime {
    /// Whether another request may be taken: each may come to hold a value of the largest size. What is not
    /// read stays in the sockets, and its clients wait.
    fn room(&self) -> bool {
        self.proxy.borrow().requests_in_flight() + self.unsent.get() / MAX_VALUE < self.room.get().requests
    }
}

fn take(runtime: &Rc<Runtime>, client: &Client, place: ReplySlot, call: BackendCommand, read_at: Micros) {
    // The client's time runs from its last byte: the attempt sees to that where the value passes through.
    let wait = call.wait.min(runtime.network.max_request_time());
    let wait = wait - REPLY_MARGIN.min(wait / REPLY_MARGIN_PART);
    let wait = if call.streamed.is_some() { wait.saturating_add(STREAMED_VALUE_TIMEOUT) } else { wait };
    let taken = runtime.drive(|proxy, now| {
        let taken = ClientRequest {
            id: call.id.clone(),
            reply_slot: place,
            class: call.class.clone(),
            tenant: call.tenant.clone(),
            key: call.key.clone(),
            write: call.writes().is_some(),
            deadline: read_at.saturating_add(wait),
            call,
        };
        proxy.start_request(now, taken)
    });
    if let Err(error) = taken {
        runtime.proxy.borrow_mut().counters.rejected += 1;
        client.session.borrow_mut().reject(place.sequence, &error.to_string());
    }
}
