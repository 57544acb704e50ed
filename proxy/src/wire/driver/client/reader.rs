//! Reads a client's commands and passes each one to the proxy once it can be admitted.

use super::relay::RELAYED_VALUE_BYTES;
use super::upload::{wait_for_input, wait_for_stream_buffer, TimeSpent};
use super::Client;
use crate::outcome::ConnectionEnd;
use crate::proxy::{ClientRequest, ReplySlot, RequestError};
use crate::wire::client_session::SessionEvent;
use crate::wire::command::BackendCommand;
use crate::wire::driver::Runtime;
use crate::wire::MAX_VALUE;
use async_io::Timer;
use futures_lite::future;
use notchdoor::Micros;
use std::io::{self, ErrorKind};
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

/// While incomplete commands use half of their memory: the length of a value above which it is streamed, so that its client
/// can be told at once if there is no room, and the maximum number of bytes per read.
const STREAM_ABOVE_WHEN_SHORT: usize = 4 * 1024;
const READ_BYTES_WHEN_SHORT: usize = 4 * 1024;
/// Maximum number of bytes per read while they use all of their memory. Most commands are smaller.
const READ_BYTES_WHEN_FULL: usize = 1024;
/// Limit on pending replies of one connection; above it, no further commands are accepted.
const MAX_PENDING_REPLIES: usize = 64;
/// Limit on unsent reply bytes of one connection; above it, no further commands are accepted.
const MAX_UNSENT_BYTES: usize = 4 * MAX_VALUE;
/// Maximum time that the commands of one read wait for room. Beyond it they are rejected: room is freed by clients that read
/// their replies, which has no bound.
const ADMISSION_TIMEOUT: Micros = 20_000;
/// Pause before the admission of a command is retried.
const ROOM_RETRY_PAUSE: Duration = Duration::from_millis(2);
/// Maximum pause before the replies of a client are looked at again.
const REPLIES_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Commands of one connection that are admitted before other tasks get their turn.
const MAX_COMMANDS_AT_ONCE: usize = 16;
/// Maximum time to receive a streamed value. A pause within it is limited by the command timeout.
const STREAMED_VALUE_TIMEOUT: Micros = 180_000_000;
/// A client is answered this long before its deadline, so that the answer arrives in time: `REPLY_MARGIN`, or the
/// time until its deadline divided by `REPLY_MARGIN_DIVISOR` if that is less.
const REPLY_MARGIN: Micros = 10_000;
const REPLY_MARGIN_DIVISOR: Micros = 40;

/// What a read got.
enum Input {
    /// All that the client's system had sent.
    All,
    /// As much as was asked for; there may be more.
    Part,
    /// The end of the connection.
    End,
}

/// Reads commands until the client disconnects.
pub(super) async fn read(runtime: &Rc<Runtime>, id: u64, client: &Client) -> ConnectionEnd {
    let mut read_at = runtime.clock.now();
    loop {
        if let ControlFlow::Break(ending) = admit_commands(runtime, id, client, read_at).await {
            return ending;
        }
        match wait_for_stream_buffer(runtime, id, client).await {
            ControlFlow::Break(ending) => return ending,
            ControlFlow::Continue(true) => {
                read_at = runtime.clock.now();
                continue;
            }
            ControlFlow::Continue(false) => {}
        }
        client.update_partial_since(read_at);
        client.flush(runtime.clock.now());
        runtime.evict_partial_commands();
        if let ControlFlow::Break(ending) = wait_to_read(runtime, client).await {
            return ending;
        }
        // After all waits: what a closed session is fed is dropped.
        if !client.session.borrow().is_reading() {
            return wait_for_disconnect(client).await;
        }
        match runtime.read_once(client) {
            Ok(Input::End) => return ConnectionEnd::ClientLeft,
            Ok(Input::All) => runtime.count_upload_time(id, client, TimeSpent::OnClient),
            Ok(Input::Part) => runtime.count_upload_time(id, client, TimeSpent::HeldUp),
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) if e.kind() == ErrorKind::WouldBlock => match wait_for_input(runtime, id, client).await {
                Ok(()) => continue,
                Err(_) => return ConnectionEnd::ClientLeft,
            },
            Err(_) => return ConnectionEnd::ClientLeft,
        }
        // Deadlines of all commands in this read start here, even if a command waits for admission.
        read_at = runtime.clock.now();
        client.last_active.set(read_at);
        // A large value that waits for its turn has commands behind it now.
        client.relay_ready.notify(usize::MAX);
        // Yields even if the socket never blocks, so that a busy client does not starve other tasks.
        future::yield_now().await;
    }
}

/// Passes all complete commands to the proxy, each once it can be admitted.
async fn admit_commands(
    runtime: &Rc<Runtime>,
    id: u64,
    client: &Client,
    read_at: Micros,
) -> ControlFlow<ConnectionEnd> {
    let mut room_timeout = None;
    for commands in 1.. {
        if client.session.borrow().replies().has_relay() {
            room_timeout = None;
        }
        // If a relayed reply is cut off, the connection closes. Commands behind it are not accepted until it is
        // complete.
        let relay_done = client.unless_left(async {
            while client.session.borrow().replies().has_relay() {
                client.relay_ready.listen().await;
            }
        });
        if relay_done.await.is_none() {
            return ControlFlow::Break(ConnectionEnd::ClientLeft);
        }
        // The replies before a command end, and their time does not count. They are waited for before the command is parsed,
        // so that what waits is counted as input.
        if client.unless_left(runtime.wait_for_replies(client)).await.is_none() {
            return ControlFlow::Break(ConnectionEnd::ClientLeft);
        }
        if commands % MAX_COMMANDS_AT_ONCE == 0 {
            future::yield_now().await;
        }
        let stream_above =
            if runtime.is_short_of_input_memory() { STREAM_ABOVE_WHEN_SHORT } else { MAX_VALUE };
        client.session.borrow_mut().stream_values_above(stream_above);
        let event = client.session.borrow_mut().next_event();
        let Some(event) = event else {
            if client.session.borrow().has_more_input() {
                client.flush(runtime.clock.now());
                future::yield_now().await;
                continue;
            }
            return ControlFlow::Continue(());
        };
        // A complete command that waits for admission does not count as incomplete.
        client.partial_since.set(0);
        let waiting = match &event {
            SessionEvent::Command(_, command) => Some((command.buffered_bytes(), command.streamed.is_some())),
            SessionEvent::Ping(_) => None,
        };
        client.waiting_command_bytes.set(waiting.map_or(0, |(bytes, _)| bytes));
        client.update_shares();
        let has_room = async {
            match waiting {
                Some((_, is_upload)) => runtime.wait_for_room(is_upload, &mut room_timeout).await,
                None => true,
            }
        };
        let admitted = client.unless_left(has_room);
        // Commands of a disconnected client are dropped.
        let Some(has_room) = admitted.await.filter(|_| !client.has_left()) else {
            return ControlFlow::Break(ConnectionEnd::ClientLeft);
        };
        client.waiting_command_bytes.set(0);
        match event {
            // Rejected meanwhile because the process is stopping.
            SessionEvent::Command(sequence, _) if !client.session.borrow().replies().is_missing(sequence) => {
            }
            SessionEvent::Ping(sequence) => client.session.borrow_mut().pong(sequence, runtime.ready()),
            SessionEvent::Command(sequence, command) => {
                let slot = ReplySlot { connection: id, sequence };
                let request = client_request(runtime, slot, *command, read_at);
                client.upload_counted_until.set(read_at);
                runtime.start_request(client, request, has_room);
            }
        }
    }
    ControlFlow::Continue(())
}

/// Waits while the client takes too little of its replies. Commands that are answered without being admitted, such as invalid
/// ones, could fill the memory with replies otherwise. What the client has sent meanwhile does not count as late.
async fn wait_to_read(runtime: &Runtime, client: &Client) -> ControlFlow<ConnectionEnd> {
    if !runtime.has_too_many_unsent(client) {
        return ControlFlow::Continue(());
    }
    let writable = client.unless_left(async {
        while runtime.has_too_many_unsent(client) {
            if client.io.has_unread_input() {
                client.partial_since.set(0);
            }
            client.replies_changed().await;
        }
    });
    if writable.await.is_none() {
        return ControlFlow::Break(ConnectionEnd::ClientLeft);
    }
    client.update_partial_since(runtime.clock.now());
    ControlFlow::Continue(())
}

/// Waits for a client whose session is closing to disconnect. The writer ends the connection after the last reply.
async fn wait_for_disconnect(client: &Client) -> ConnectionEnd {
    if client.end().is_none() {
        client.unless_left(future::pending::<()>()).await;
        return ConnectionEnd::ClientLeft;
    }
    future::pending().await
}

impl Client {
    /// Waits until some replies may have been set or written.
    async fn replies_changed(&self) {
        let poll = async {
            Timer::after(REPLIES_POLL_INTERVAL).await;
        };
        future::or(self.relay_ready.listen(), poll).await;
    }

    /// Records when the incomplete command, if any, started. Time in which the proxy did not read does not count.
    fn update_partial_since(&self, read_at: Micros) {
        let read_at = read_at.max(self.held_up_until.get());
        let (incoming, partial) = {
            let session = self.session.borrow();
            let incoming = session.incoming().is_some();
            (incoming, incoming || session.unparsed_bytes() > 0)
        };
        self.partial_since.set(match self.partial_since.get() {
            // For a streamed value, the timeout restarts with each read.
            since if partial && since > 0 && !incoming => since,
            _ if partial => read_at,
            _ => 0,
        });
    }
}

impl Runtime {
    /// Reads what the socket has, up to the size of a read, and feeds it to the session.
    fn read_once(&self, client: &Client) -> io::Result<Input> {
        let most = match self.partial_command_bytes.get() {
            // The request of a large write accounts for its value.
            _ if client.session.borrow().incoming().is_some() => usize::MAX,
            bytes if bytes >= self.room.get().partial_command_bytes => READ_BYTES_WHEN_FULL,
            _ if self.is_short_of_input_memory() => READ_BYTES_WHEN_SHORT,
            _ => usize::MAX,
        };
        let mut buffer = self.read_buffer.borrow_mut();
        let max = client.session.borrow().max_read_bytes().min(most).min(buffer.len());
        let n = client.io.read(buffer.get_mut(..max).unwrap_or_default())?;
        client.session.borrow_mut().feed(buffer.get(..n).unwrap_or_default());
        // At once: many clients may be read before the first of them gets its next turn.
        client.update_shares();
        Ok(match n {
            0 => Input::End,
            n if n < max => Input::All,
            _ => Input::Part,
        })
    }

    /// Whether another request can be admitted: it is within the limit on requests, towards which each [`MAX_VALUE`] of
    /// unsent replies counts as one, and its value fits into the memory for all that is held.
    fn can_admit(&self, is_upload: bool) -> bool {
        let room = self.room.get();
        let requests = self.proxy.borrow().requests_in_flight();
        let most = if is_upload { room.long_held_bytes } else { room.held_bytes };
        requests + self.unsent_reply_bytes.get() / MAX_VALUE < room.requests
            && self.held_bytes() + MAX_VALUE <= most
    }

    /// Whether one more large value may be relayed to its client. Its request is admitted already.
    pub(in crate::wire::driver) fn can_relay_one_more(&self) -> bool {
        self.held_bytes() <= self.room.get().long_held_bytes
    }

    /// Bytes held for clients. Each request counts as the largest value that may be buffered for it.
    pub(in crate::wire::driver) fn held_bytes(&self) -> usize {
        let requests = self.proxy.borrow().requests_in_flight();
        let relayed = self.relay_budget.used().min(requests);
        (requests - relayed) * MAX_VALUE
            + relayed * RELAYED_VALUE_BYTES
            + self.unsent_reply_bytes.get()
            + self.partial_command_bytes.get()
            + self.value_store.used()
    }

    /// Waits while a client has too many replies pending or unsent. While unsent replies crowd out other requests, a client
    /// with any of them gets no more.
    async fn wait_for_replies(&self, client: &Client) {
        let too_many = || client.session.borrow().replies().pending() >= MAX_PENDING_REPLIES;
        while too_many() || self.has_too_many_unsent(client) {
            client.partial_since.set(0);
            client.replies_changed().await;
            client.held_up_until.set(self.clock.now());
        }
    }

    fn has_too_many_unsent(&self, client: &Client) -> bool {
        let max_unsent_bytes = if self.unsent_replies_crowd() { 0 } else { MAX_UNSENT_BYTES };
        client.session.borrow().replies().unsent_bytes() > max_unsent_bytes
    }

    /// Waits until another request can be admitted. Returns false at `timeout`, which is set if it is not yet.
    async fn wait_for_room(&self, is_upload: bool, timeout: &mut Option<Micros>) -> bool {
        while !self.can_admit(is_upload) {
            let now = self.clock.now();
            if now >= *timeout.get_or_insert(now + ADMISSION_TIMEOUT) {
                return false;
            }
            Timer::after(ROOM_RETRY_PAUSE).await;
        }
        true
    }

    /// Passes a request to the proxy, or has it rejected if there is no room.
    fn start_request(
        self: &Rc<Self>,
        client: &Client,
        mut request: ClientRequest<BackendCommand>,
        has_room: bool,
    ) {
        let sequence = request.reply_slot.sequence;
        let started = self.drive(|proxy, now| {
            if !has_room {
                return proxy.reject_for_room(&request);
            }
            proxy.check_id(now, &mut request)?;
            if proxy.must_not_repeat(&request.class) && !self.take_id(&request.id) {
                return Err(RequestError::IdWasUsed);
            }
            proxy.start_request(now, request)
        });
        if let Err(error) = started {
            self.proxy.borrow_mut().counters.rejected += 1;
            client.session.borrow_mut().reject(sequence, &error.to_string());
        }
    }
}

fn client_request(
    runtime: &Runtime,
    slot: ReplySlot,
    command: BackendCommand,
    read_at: Micros,
) -> ClientRequest<BackendCommand> {
    let wait = command.wait.min(runtime.network.max_request_time());
    let wait = wait - REPLY_MARGIN.min(wait / REPLY_MARGIN_DIVISOR);
    // A streamed write gets extra time for its client to send the value. What holds it up is limited by `time_left`.
    let wait = match &command.streamed {
        Some(streamed) => {
            streamed.set_time_limit(wait);
            wait.saturating_add(STREAMED_VALUE_TIMEOUT)
        }
        None => wait,
    };
    ClientRequest {
        id: command.id.clone(),
        reply_slot: slot,
        class: command.class.clone(),
        tenant: command.tenant.clone(),
        key: command.key.clone(),
        write: command.value_len().is_some(),
        upload: command.streamed.is_some(),
        deadline: read_at.saturating_add(wait),
        call: command,
    }
}
