//! Runs attempts: sends one command on a pooled connection and reads its reply.

use super::connection::{checkout, Connection, Process};
use super::reply_proof::{Asked, ReplyProof};
use super::Runtime;
use crate::negative_cache::KeyLookup;
use crate::outcome::AttemptOutcome;
use crate::proxy::{AttemptId, AttemptReply, ReplySlot};
use crate::state::pool::{ReplyOrder, Requirement};
use crate::wire::backend::{self, Reply, ReplyPart};
use crate::wire::command::BackendCommand;
use crate::wire::fingerprint::Fingerprint;
use crate::wire::streamed_value::{NextChunk, StreamedValue};
use crate::wire::{origin, MAX_VALUE};
use async_io::Timer;
use futures_lite::future;
use notchdoor::{Micros, ServerId};
use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::rc::Rc;
use std::time::Duration;

/// Maximum pause within a buffered reply. A stalled attempt ends early enough for a retry before the client's
/// deadline.
const STALL_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum pause while a value is relayed in either direction. A relayed transfer cannot be retried.
const RELAY_STALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The share of the memory limit for large replies that one attempt uses.
struct LargeReplyShare<'a> {
    runtime: &'a Runtime,
    bytes: usize,
}

impl LargeReplyShare<'_> {
    /// Accounts for the bytes received so far, less the [`MAX_VALUE`] that every request is accounted for. Returns
    /// false if the limit is exceeded.
    fn try_grow(&mut self, received: usize) -> bool {
        let bytes = received.saturating_sub(MAX_VALUE);
        let all = self.runtime.large_reply_bytes.get() - self.bytes + bytes;
        self.bytes = bytes;
        self.runtime.large_reply_bytes.set(all);
        all <= self.runtime.room.get().large_value_bytes || bytes == 0
    }
}

impl Drop for LargeReplyShare<'_> {
    fn drop(&mut self) {
        self.runtime.large_reply_bytes.set(self.runtime.large_reply_bytes.get() - self.bytes);
    }
}

enum Decoder {
    Backend(backend::Decoder),
    Origin(origin::Decoder),
}

impl Decoder {
    fn feed(&mut self, bytes: &[u8]) -> Vec<ReplyPart> {
        match self {
            Decoder::Backend(decoder) => decoder.feed(bytes),
            Decoder::Origin(decoder) => decoder.feed(bytes),
        }
    }

    fn has_partial_reply(&self) -> bool {
        match self {
            Decoder::Backend(decoder) => decoder.has_partial_reply(),
            Decoder::Origin(decoder) => decoder.has_partial_reply(),
        }
    }

    /// Fingerprint of a complete reply.
    fn fingerprint(&self) -> Option<Fingerprint> {
        match self {
            Decoder::Backend(decoder) => decoder.fingerprint(),
            Decoder::Origin(decoder) => decoder.fingerprint(),
        }
    }

    fn closed(&mut self) -> Reply {
        let whole = match self {
            Decoder::Backend(_) => None,
            Decoder::Origin(decoder) => decoder.closed(),
        };
        whole.unwrap_or(Reply::without_value(AttemptOutcome::BrokenSent))
    }
}

/// Timestamps of an attempt; 0 until the step is reached.
#[derive(Default)]
struct AttemptTimings {
    connected: Micros,
    new: bool,
    written: Micros,
    first: Micros,
}

impl AttemptTimings {
    /// Time from the written command to the first byte of the reply; `None` on a new connection.
    fn response_time(&self) -> Option<Micros> {
        self.first.checked_sub(self.written).filter(|_| !self.new)
    }
}

/// Deadlines of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptDeadlines {
    /// When the attempt times out.
    pub give_up_at: Micros,
    /// Latest time to start writing the command.
    pub begin_by: Micros,
}

/// One attempt of a request at one server.
pub struct Attempt {
    /// Attempt id.
    pub id: AttemptId,
    /// Server that the command is sent to.
    pub server: ServerId,
    /// Command to send.
    pub command: Rc<BackendCommand>,
    /// Whether the request may be repeated even if this attempt may have run.
    pub idempotent: bool,
    /// Deadlines of the attempt.
    pub deadlines: AttemptDeadlines,
}

/// Progress of an attempt.
#[derive(Default)]
struct Progress {
    /// Set once the last byte of the command was written; the server may have executed it from then on.
    sent: Cell<bool>,
    /// Set once the reply is being relayed; the attempt no longer times out.
    relaying: Cell<bool>,
    /// The number of the connection, 0 until there is one.
    connection: Cell<u64>,
    /// The outcome that the reply stated, once it was received completely. The outcome of the attempt differs if the
    /// reply was not used.
    replied: Cell<Option<AttemptOutcome>>,
    /// Why that reply is taken for the one to the command.
    proof: Cell<Option<ReplyProof>>,
}

/// The end of an attempt, for the log.
struct AttemptEnd<'a> {
    attempt: &'a Attempt,
    progress: &'a Progress,
    outcome: AttemptOutcome,
    started_at: Micros,
}

impl AttemptEnd<'_> {
    fn log(&self, timings: &AttemptTimings, now: Micros) {
        let (attempt_id, server) = (self.attempt.id, self.attempt.server);
        let request = String::from_utf8_lossy(&self.attempt.command.id);
        let connection = self.progress.connection.get();
        let replied = self.progress.replied.get().map_or("none", AttemptOutcome::name);
        let proof = self.progress.proof.get().map_or("none", ReplyProof::name);
        let sent = self.progress.sent.get();
        log::debug!(
            attempt_id, server, ending = self.outcome.name(), request:% = request, connection, replied, proof, sent;
            "attempt {attempt_id} to {server}: {}, {} us in total, {} us to connect, {} us to the first byte, new={}, \
             request={request}, connection={connection}, reply={replied}, proof={proof}, sent={sent}",
            self.outcome.name(),
            now - self.started_at,
            timings.connected.saturating_sub(self.started_at),
            timings.first.saturating_sub(timings.written),
            timings.new
        );
    }
}

/// Waits until the client can receive more of a relayed reply; `None` if it has left.
async fn await_relay(runtime: &Runtime, client: Option<ReplySlot>) -> Option<ReplySlot> {
    match client {
        Some(slot) if runtime.relay_ready(slot).await => Some(slot),
        _ => None,
    }
}

/// Runs one attempt and reports its outcome to the proxy.
pub async fn run(runtime: Rc<Runtime>, attempt: Attempt) {
    let (attempt_id, command) = (attempt.id, &attempt.command);
    let started_at = runtime.clock.now();
    let (progress, mut timings) = (Progress::default(), AttemptTimings::default());
    let timed_out = time_out(&runtime, &attempt, started_at, &progress);
    let reply = future::or(exchange(&runtime, &attempt, &progress, &mut timings), timed_out).await;
    let ended = AttemptEnd { attempt: &attempt, progress: &progress, outcome: reply.outcome, started_at };
    ended.log(&timings, runtime.clock.now());
    if let Some(task) = runtime.attempts_in_flight.borrow_mut().remove(&attempt_id) {
        task.detach();
    }
    if let Some(negative_cache) = runtime.negative_cache.as_ref().filter(|_| command.value_len().is_some()) {
        // A served write was invalidated before its receipt. Any other write that was sent may have been executed.
        if progress.sent.get() && !matches!(reply.outcome, AttemptOutcome::Served | AttemptOutcome::Rejected)
        {
            negative_cache.add_tombstone(&command.key);
        }
    }
    let wait_time = command.streamed.as_ref().map(|_| match timings.written {
        0 => 0,
        written => runtime.clock.now().saturating_sub(written),
    });
    // Not measured for streamed values: the time would include the transfer of bytes still buffered in the sockets.
    let response_time = timings.response_time().filter(|_| command.streamed.is_none() && timings.first > 0);
    let attempt_reply = AttemptReply { value: reply.value, took: response_time, waited: wait_time };
    runtime.drive(|proxy, now| proxy.attempt_ended(now, attempt_id, reply.outcome, attempt_reply));
}

/// Waits until an attempt times out.
async fn time_out(runtime: &Runtime, attempt: &Attempt, started_at: Micros, progress: &Progress) -> Reply {
    let give_up_at = attempt.deadlines.give_up_at;
    match &attempt.command.streamed {
        // The deadline of a streamed write starts when its last byte was received.
        Some(streamed) => {
            streamed.wait_complete().await;
            let wait = give_up_at.saturating_sub(started_at);
            let wait = wait.min(attempt.command.wait).min(runtime.network.max_request_time());
            Timer::after(Duration::from_micros(wait)).await;
        }
        None => {
            Timer::at(runtime.clock.instant(give_up_at)).await;
        }
    }
    if progress.relaying.get() {
        future::pending::<()>().await;
    }
    Reply::without_value(if progress.sent.get() {
        AttemptOutcome::TimedOutSent
    } else {
        AttemptOutcome::TimedOutUnsent
    })
}

/// Sends an attempt's command and reads the reply.
async fn exchange(
    runtime: &Rc<Runtime>,
    attempt: &Attempt,
    progress: &Progress,
    timings: &mut AttemptTimings,
) -> Reply {
    let (server, command) = (attempt.server, &*attempt.command);
    let AttemptDeadlines { give_up_at, begin_by } = attempt.deadlines;
    let Some((process, is_origin)) = runtime
        .proxy
        .borrow()
        .endpoints
        .backend(server)
        .filter(|w| w.serving)
        .map(|w| (w.process(), w.origin))
    else {
        return Reply::without_value(AttemptOutcome::NotSent);
    };
    let negative_cache = runtime.negative_cache.as_ref().filter(|_| is_origin);
    let lookup = match negative_cache.filter(|_| command.value_len().is_none()) {
        Some(negative_cache) => match negative_cache.lookup(&command.key).await {
            KeyLookup::KnownMissing => return Reply::without_value(AttemptOutcome::Absent),
            KeyLookup::AskOrigin(lookup) => Some(lookup),
        },
        None => None,
    };
    let generation = runtime.pools.borrow_mut().generation(server);
    let endpoint = process.0;
    let is_read = command.value_len().is_none();
    let requirement = match (is_read, attempt.idempotent) {
        (true, true) => Requirement::Any,
        (true, false) if !is_origin => Requirement::CertainOrder,
        _ => Requirement::Unused,
    };
    let mut connection = match checkout(runtime, (server, process), requirement, &mut timings.new).await {
        Ok(connection) => connection,
        Err(outcome) => return Reply::without_value(outcome),
    };
    timings.connected = runtime.clock.now();
    progress.connection.set(connection.id);
    if let Err(outcome) = runtime.check_before_write(attempt.id, (server, process), begin_by) {
        return Reply::without_value(outcome);
    }
    // `give_up_at` of a streamed write includes the time to receive the value, so `command.wait` bounds it.
    let wait = give_up_at.saturating_sub(timings.connected).min(command.wait);
    let (bytes, mut decoder) = if is_origin {
        (origin::encode(command, wait, &endpoint.to_string()), Decoder::Origin(origin::Decoder::default()))
    } else {
        (backend::encode(command, wait), Decoder::Backend(backend::Decoder::default()))
    };
    let written = match &command.streamed {
        None => write(&connection, &bytes, &progress.sent).await,
        Some(streamed) if streamed.is_unsent() => {
            let tail: &[u8] = if is_origin { b"" } else { b"\r\n" };
            write_streamed(&connection, &bytes, streamed, tail, &progress.sent).await
        }
        // The value was already sent in part or discarded.
        Some(_) => Err(AttemptOutcome::NotSent),
    };
    if let Err(outcome) = written {
        return Reply::without_value(outcome);
    }
    runtime.proxy.borrow_mut().counters.attempts += 1;
    drop(bytes);
    timings.written = runtime.clock.now();
    let reply = read(runtime, &connection, &mut decoder, attempt.id, progress, timings).await;
    if decoder.fingerprint().is_some() {
        progress.replied.set(Some(reply.outcome));
    }
    if timings.first > 0 {
        runtime.reachability.borrow_mut().reached(endpoint);
    }
    let asked = Asked { server, process, is_origin, idempotent: attempt.idempotent };
    let proof = runtime.prove_reply(&mut connection, &reply, decoder.fingerprint(), asked).await;
    progress.proof.set(proof);
    if proof.is_none() {
        return Reply::without_value(AttemptOutcome::Garbled);
    }
    // The next 404 on it could not be told from a copy of this one, and a doubtful order cannot be cleared up without a fence.
    let closes =
        is_origin && (connection.order == ReplyOrder::Doubtful || reply.outcome == AttemptOutcome::Absent);
    if reply.reusable && !closes {
        runtime.return_connection(server, generation, connection, requirement);
    }
    match (negative_cache, lookup, reply.outcome) {
        (Some(negative_cache), Some(lookup), AttemptOutcome::Absent) => {
            negative_cache.insert(&command.key, lookup);
        }
        (Some(negative_cache), None, AttemptOutcome::Served) => {
            // Before the receipt is returned, no proxy may report the key as missing any more.
            let until = runtime.clock.instant(give_up_at);
            if !negative_cache.invalidate(&command.key, until).await {
                return Reply::without_value(AttemptOutcome::Errored);
            }
        }
        // A 404 is a failure unless it answers a read that the negative cache covers.
        (None, _, AttemptOutcome::Absent) | (_, None, AttemptOutcome::Absent) => {
            return Reply { outcome: AttemptOutcome::Errored, ..reply }
        }
        _ => {}
    }
    reply
}

impl Runtime {
    /// Checks again whether the command may be written, since getting a connection took time. Returns the outcome of
    /// the attempt if the client has left, the request is answered, the server was drained or restarted, or
    /// `begin_by` has passed.
    fn check_before_write(
        self: &Rc<Self>,
        attempt_id: AttemptId,
        (server, process): (ServerId, Process),
        begin_by: Micros,
    ) -> Result<(), AttemptOutcome> {
        let unchanged = self.is_serving(server, process);
        let awaited = self.proxy.borrow().reply_slot(attempt_id);
        match awaited {
            Some(slot) if !self.client_has_left(slot.connection) => {}
            _ => return Err(AttemptOutcome::Cancelled),
        }
        if unchanged && self.clock.now() < begin_by {
            Ok(())
        } else {
            Err(AttemptOutcome::NotSent)
        }
    }
}

/// Writes a command with a streamed value, followed by `tail`. The last byte is written, and `sent` set, only after the
/// client's command was received to its end: a client that stops before has sent no request.
async fn write_streamed(
    connection: &Connection,
    head: &[u8],
    streamed: &StreamedValue,
    tail: &[u8],
    sent: &Cell<bool>,
) -> Result<(), AttemptOutcome> {
    let unfinished = Cell::new(false);
    write_or_stall(connection, head, &unfinished).await?;
    loop {
        let changed = streamed.changed();
        match streamed.next() {
            NextChunk::Bytes(bytes) => write_or_stall(connection, &bytes, &unfinished).await?,
            NextChunk::Last(mut bytes) => {
                bytes.extend_from_slice(tail);
                return write_or_stall(connection, &bytes, sent).await;
            }
            NextChunk::Wait => changed.await,
            NextChunk::Aborted => return Err(AttemptOutcome::NotSent),
        }
    }
}

/// Like [`write`], but fails if the server does not accept all bytes within `RELAY_STALL_TIMEOUT`.
async fn write_or_stall(
    connection: &Connection,
    bytes: &[u8],
    sent: &Cell<bool>,
) -> Result<(), AttemptOutcome> {
    let stalled = async {
        Timer::after(RELAY_STALL_TIMEOUT).await;
        Err(AttemptOutcome::BrokenUnsent)
    };
    future::or(write(connection, bytes, sent), stalled).await
}

/// Writes `bytes` and sets `sent` once the last byte is written.
async fn write(connection: &Connection, mut bytes: &[u8], sent: &Cell<bool>) -> Result<(), AttemptOutcome> {
    while !bytes.is_empty() {
        match connection.io.get_ref().write(bytes) {
            Ok(0) => return Err(AttemptOutcome::BrokenUnsent),
            Ok(n) => bytes = bytes.get(n..).unwrap_or_default(),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                connection.io.writable().await.map_err(|_| AttemptOutcome::BrokenUnsent)?;
            }
            Err(_) => return Err(AttemptOutcome::BrokenUnsent),
        }
    }
    sent.set(true);
    Ok(())
}

async fn read(
    runtime: &Rc<Runtime>,
    connection: &Connection,
    decoder: &mut Decoder,
    attempt_id: AttemptId,
    progress: &Progress,
    timings: &mut AttemptTimings,
) -> Reply {
    let mut buffer = vec![0; MAX_VALUE / 4];
    let (mut received, mut large_share) = (0, LargeReplyShare { runtime, bytes: 0 });
    // The client's reply slot, while a reply is relayed to it.
    let mut client = None;
    loop {
        match connection.io.get_ref().read(&mut buffer) {
            Ok(0) => return decoder.closed(),
            Ok(n) => {
                if received == 0 {
                    timings.first = runtime.clock.now();
                }
                received += n;
                if !progress.relaying.get() && !large_share.try_grow(received) {
                    return Reply::without_value(AttemptOutcome::NoCapacity);
                }
                for part in decoder.feed(buffer.get(..n).unwrap_or_default()) {
                    match part {
                        // What is relayed cannot be taken back, so the order must be certain before it.
                        ReplyPart::ValueStart(_) if connection.order == ReplyOrder::Doubtful => {
                            return Reply::without_value(AttemptOutcome::Garbled);
                        }
                        ReplyPart::ValueStart(length) => {
                            progress.relaying.set(true);
                            let response_time = timings.response_time();
                            client = runtime
                                .drive(|proxy, now| proxy.start_streaming(now, attempt_id, response_time));
                            client = await_relay(runtime, client).await;
                            if let Some(slot) = client {
                                runtime
                                    .with_session(slot, |session| session.replies_mut().begin_relay(length));
                            }
                        }
                        ReplyPart::ValueData(data) => {
                            if let Some(slot) = client {
                                runtime.with_session(slot, |session| session.replies_mut().relay(&data));
                            }
                        }
                        ReplyPart::Complete(reply) => return reply,
                    }
                }
                // Waits for the client to accept more; if it has left, the rest is read without waiting.
                client = await_relay(runtime, client).await;
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                let stalled = async {
                    match decoder.has_partial_reply() {
                        _ if progress.relaying.get() => Timer::after(RELAY_STALL_TIMEOUT).await,
                        true => Timer::after(STALL_TIMEOUT).await,
                        false => future::pending().await,
                    };
                    Some(AttemptOutcome::Garbled)
                };
                let readable =
                    async { connection.io.readable().await.err().map(|_| AttemptOutcome::BrokenSent) };
                if let Some(outcome) = future::or(readable, stalled).await {
                    return Reply::without_value(outcome);
                }
            }
            Err(_) => return Reply::without_value(AttemptOutcome::BrokenSent),
        }
    }
}
