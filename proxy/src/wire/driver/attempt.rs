//! Attempts: one command out on a pooled connection, one reply back.

use super::connection::{checkout, Connection};
use super::Runtime;
use crate::negative_cache::KeyLookup;
use crate::outcome::AttemptOutcome;
use crate::proxy::{AttemptId, AttemptReply, ReplySlot};
use crate::wire::backend::{self, Piece, Reply};
use crate::wire::command::BackendCommand;
use crate::wire::streamed_value::{NextChunk, StreamedValue};
use crate::wire::{origin, MAX_VALUE};
use async_io::Timer;
use futures_lite::future;
use notchdoor::{Micros, ServerId};
use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A reply that has begun comes on without such a pause. A length may promise more than will
/// ever come, and the request would wait for it until its client gives up.
const STALLED: Duration = Duration::from_millis(100);
/// And one that is passed on without such a one: its client has part of it, and nothing can be asked again.
const RELAY_STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The part of the room for large answers that one attempt uses.
struct Large<'a> {
    runtime: &'a Runtime,
    bytes: usize,
}

impl Large<'_> {
    /// Counts what has come so far, beyond what is reckoned for any value. False if there is no room for it.
    fn grown(&mut self, got: usize) -> bool {
        let bytes = got.saturating_sub(MAX_VALUE);
        let all = self.runtime.large.get() - self.bytes + bytes;
        self.bytes = bytes;
        self.runtime.large.set(all);
        all <= self.runtime.room.get().large_value_bytes || bytes == 0
    }
}

impl Drop for Large<'_> {
    fn drop(&mut self) {
        self.runtime.large.set(self.runtime.large.get() - self.bytes);
    }
}

enum Decoder {
    Backend(backend::Decoder),
    Origin(origin::Decoder),
}

impl Decoder {
    fn feed(&mut self, bytes: &[u8]) -> Vec<Piece> {
        match self {
            Decoder::Backend(decoder) => decoder.feed(bytes),
            Decoder::Origin(decoder) => decoder.feed(bytes),
        }
    }

    fn begun(&self) -> bool {
        match self {
            Decoder::Backend(decoder) => decoder.begun(),
            Decoder::Origin(decoder) => decoder.begun(),
        }
    }

    fn closed(&mut self) -> Reply {
        let whole = match self {
            Decoder::Backend(_) => None,
            Decoder::Origin(decoder) => decoder.closed(),
        };
        whole.unwrap_or(Reply::bare(AttemptOutcome::BrokenSent))
    }
}

/// What the log tells of an attempt beyond its ending.
#[derive(Default)]
struct AttemptTimings {
    connected: Micros,
    new: bool,
    written: Micros,
    first: Micros,
}

impl AttemptTimings {
    /// From the command to the first byte of its answer, where a new connection's handshake is not in it.
    fn took(&self) -> Option<Micros> {
        self.first.checked_sub(self.written).filter(|_| !self.new)
    }
}

/// What an attempt keeps to.
#[derive(Clone, Copy)]
pub struct AttemptDeadlines {
    /// When it is given up.
    pub give_up_at: Micros,
    /// From then on its command may not be written any more.
    pub begin_by: Micros,
}

/// One attempt.
pub struct Attempt {
    /// Its number.
    pub id: AttemptId,
    /// To whom.
    pub server: ServerId,
    /// What is sent.
    pub command: Rc<BackendCommand>,
    /// What it keeps to.
    pub deadlines: AttemptDeadlines,
}

/// How far an attempt has come.
#[derive(Default)]
struct Progress {
    /// The command's last byte was written: on this hangs whether it may have run.
    sent: Cell<bool>,
    /// Its answer is being relayed: no time ends it any more.
    relaying: Cell<bool>,
}

/// Where an answer is passed on to, once more of it may be; `None` when its client has gone.
async fn still(runtime: &Runtime, client: Option<ReplySlot>) -> Option<ReplySlot> {
    match client {
        Some(place) if runtime.relay_ready(place).await => Some(place),
        _ => None,
    }
}

/// Runs one attempt and tells the proxy how it ended.
pub async fn run(runtime: Rc<Runtime>, attempt: Attempt) {
    let (attempt_id, server, call) = (attempt.id, attempt.server, &attempt.command);
    let begun = runtime.clock.now();
    let (progress, mut trace) = (Progress::default(), AttemptTimings::default());
    let given_up = give_up(&runtime, &attempt, begun, &progress);
    let reply = future::or(exchange(&runtime, &attempt, &progress, &mut trace), given_up).await;
    log::debug!(
        attempt_id, server, ending = reply.ending.name();
        "attempt {attempt_id} to {server}: {}, {} us, of these {} for a connection, {} to the first byte, new={}",
        reply.ending.name(),
        runtime.clock.now() - begun,
        trace.connected.saturating_sub(begun),
        trace.first.saturating_sub(trace.written),
        trace.new
    );
    if let Some(task) = runtime.attempts_out.borrow_mut().remove(&attempt_id) {
        task.detach();
    }
    if let Some(missing) = runtime.missing.as_ref().filter(|_| call.writes().is_some()) {
        // A receipt that is given was voided for before; any other write that went out whole may have run.
        if progress.sent.get() && !matches!(reply.ending, AttemptOutcome::Served | AttemptOutcome::Rejected) {
            missing.add_tombstone(&call.key);
        }
    }
    let waited = call.streamed.as_ref().map(|_| match trace.written {
        0 => 0,
        written => runtime.clock.now().saturating_sub(written),
    });
    // A transfer must not pass for a jam: what of a large value is still in the sockets when its last byte is written
    // cannot be told from the origin's time.
    let took = trace.took().filter(|_| call.streamed.is_none() && trace.first > 0);
    let brought = AttemptReply { value: reply.value, took, waited };
    runtime.drive(|proxy, now| proxy.attempt_ended(now, attempt_id, reply.ending, brought));
}

/// Waits until an attempt is to be given up.
async fn give_up(runtime: &Runtime, attempt: &Attempt, begun: Micros, progress: &Progress) -> Reply {
    let give_up_at = attempt.deadlines.give_up_at;
    match &attempt.command.streamed {
        // The client's time runs from its last byte.
        Some(streamed) => {
            streamed.until_whole().await;
            let wait = give_up_at.saturating_sub(begun);
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
    Reply::bare(if progress.sent.get() {
        AttemptOutcome::TimedOutSent
    } else {
        AttemptOutcome::TimedOutUnsent
    })
}

/// Sends an attempt's command and reads its reply.
async fn exchange(
    runtime: &Rc<Runtime>,
    attempt: &Attempt,
    progress: &Progress,
    trace: &mut AttemptTimings,
) -> Reply {
    let (server, call) = (attempt.server, &*attempt.command);
    let AttemptDeadlines { give_up_at, begin_by } = attempt.deadlines;
    let Some((process, is_origin)) = runtime
        .proxy
        .borrow()
        .endpoints
        .backend(server)
        .filter(|w| w.serving)
        .map(|w| (w.process(), w.origin))
    else {
        return Reply::bare(AttemptOutcome::NotSent);
    };
    let missing = runtime.missing.as_ref().filter(|_| is_origin);
    let looked = match missing.filter(|_| call.writes().is_none()) {
        Some(missing) => match missing.lookup(&call.key).await {
            KeyLookup::KnownMissing => return Reply::bare(AttemptOutcome::Absent),
            KeyLookup::AskOrigin(looked) => Some(looked),
        },
        None => None,
    };
    let generation = runtime.pools.borrow_mut().generation(server);
    let endpoint = process.0;
    let connection = match checkout(runtime, server, endpoint, &mut trace.new).await {
        Ok(connection) => connection,
        Err(ending) => return Reply::bare(ending),
    };
    trace.connected = runtime.clock.now();
    if let Err(ending) = runtime.may_begin(attempt.id, (server, process), begin_by) {
        return Reply::bare(ending);
    }
    // A value that passes through has longer to come in, and its client waits no longer once it has.
    let wait = give_up_at.saturating_sub(trace.connected).min(call.wait);
    let (bytes, mut decoder) = if is_origin {
        (origin::encode(call, wait, &endpoint.to_string()), Decoder::Origin(origin::Decoder::default()))
    } else {
        (backend::encode(call, wait), Decoder::Backend(backend::Decoder::default()))
    };
    let written = match &call.streamed {
        None => write(&connection, &bytes, &progress.sent).await,
        Some(streamed) if streamed.untouched() => {
            let tail: &[u8] = if is_origin { b"" } else { b"\r\n" };
            pass_through(&connection, &bytes, streamed, tail, &progress.sent).await
        }
        // Its bytes are gone: they were sent, or nobody wants them any more.
        Some(_) => Err(AttemptOutcome::NotSent),
    };
    if let Err(ending) = written {
        return Reply::bare(ending);
    }
    runtime.proxy.borrow_mut().counters.attempts += 1;
    drop(bytes);
    trace.written = runtime.clock.now();
    let reply = read(runtime, &connection, &mut decoder, attempt.id, progress, trace).await;
    if trace.first > 0 {
        runtime.reachability.borrow_mut().reached(endpoint);
    }
    if reply.reusable {
        let now = runtime.clock.now();
        runtime.pools.borrow_mut().put(now, server, generation, connection);
    }
    match (missing, looked, reply.ending) {
        (Some(missing), Some(looked), AttemptOutcome::Absent) => missing.insert(&call.key, looked),
        (Some(missing), None, AttemptOutcome::Served) => {
            // Before the receipt goes out, nobody may answer any more that the key is missing.
            let until = runtime.clock.instant(give_up_at);
            if !missing.invalidate(&call.key, until).await {
                return Reply::bare(AttemptOutcome::Errored);
            }
        }
        // Without the filter a null promises more than a failure: nobody keeps what the origin had.
        (None, _, AttemptOutcome::Absent) | (_, None, AttemptOutcome::Absent) => {
            return Reply { ending: AttemptOutcome::Errored, ..reply }
        }
        _ => {}
    }
    reply
}

impl Runtime {
    /// Whether an attempt's command may be written now, and how it ends if not. Time has gone by since it was decided
    /// on: a connection came up or was at rest. Its client may have left meanwhile, its
    /// request may be over, its backend may have been taken out or restarted, and a repeat may come too late to be known
    /// for one.
    fn may_begin(
        self: &Rc<Self>,
        attempt_id: AttemptId,
        (server, process): (ServerId, (SocketAddr, Micros)),
        begin_by: Micros,
    ) -> Result<(), AttemptOutcome> {
        let (unchanged, awaited) = {
            let proxy = self.proxy.borrow();
            let backend = proxy.endpoints.backend(server).filter(|w| w.serving && w.process() == process);
            (backend.is_some(), proxy.reply_slot(attempt_id))
        };
        match awaited {
            Some(slot) if !self.client_gone(slot.connection) => {}
            _ => return Err(AttemptOutcome::Cancelled),
        }
        if unchanged && self.clock.now() < begin_by {
            Ok(())
        } else {
            Err(AttemptOutcome::NotSent)
        }
    }
}

/// Writes a command whose value passes through. `sent` is set with its last byte and not before: a client that goes
/// away in the middle has asked for nothing.
async fn pass_through(
    connection: &Connection,
    head: &[u8],
    streamed: &StreamedValue,
    tail: &[u8],
    sent: &Cell<bool>,
) -> Result<(), AttemptOutcome> {
    let unfinished = Cell::new(false);
    let mut bytes = head.to_vec();
    loop {
        let stalled = async {
            Timer::after(RELAY_STALL_TIMEOUT).await;
            Err(AttemptOutcome::BrokenUnsent)
        };
        future::or(write(connection, &bytes, &unfinished), stalled).await?;
        bytes = loop {
            let change = streamed.change_of();
            match streamed.next() {
                NextChunk::Bytes(bytes) => break bytes,
                NextChunk::Wait => change.await,
                NextChunk::End => return write(connection, tail, sent).await,
                NextChunk::Aborted => return Err(AttemptOutcome::NotSent),
            }
        };
    }
}

/// Writes the command. `sent` is set with its last byte and not before.
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
    trace: &mut AttemptTimings,
) -> Reply {
    let mut buffer = vec![0; MAX_VALUE / 4];
    let (mut got, mut large) = (0, Large { runtime, bytes: 0 });
    // Where the answer is passed on to, once it is and while its client is there.
    let mut client = None;
    loop {
        match connection.io.get_ref().read(&mut buffer) {
            Ok(0) => return decoder.closed(),
            Ok(n) => {
                if got == 0 {
                    trace.first = runtime.clock.now();
                }
                got += n;
                if !progress.relaying.get() && !large.grown(got) {
                    return Reply::bare(AttemptOutcome::NoCapacity);
                }
                for piece in decoder.feed(buffer.get(..n).unwrap_or_default()) {
                    match piece {
                        Piece::Begun(length) => {
                            progress.relaying.set(true);
                            let took = trace.took();
                            client = runtime.drive(|proxy, now| proxy.start_streaming(now, attempt_id, took));
                            client = still(runtime, client).await;
                            if let Some(place) = client {
                                runtime
                                    .with_session(place, |session| session.replies_mut().begin_relay(length));
                            }
                        }
                        Piece::Data(data) => {
                            if let Some(place) = client {
                                runtime.with_session(place, |session| session.replies_mut().relay(&data));
                            }
                        }
                        Piece::Over(reply) => return reply,
                    }
                }
                // No more is read than its client takes; one that has gone holds nothing up.
                client = still(runtime, client).await;
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                let stalled = async {
                    match decoder.begun() {
                        _ if progress.relaying.get() => Timer::after(RELAY_STALL_TIMEOUT).await,
                        true => Timer::after(STALLED).await,
                        false => future::pending().await,
                    };
                    Some(AttemptOutcome::Garbled)
                };
                let readable =
                    async { connection.io.readable().await.err().map(|_| AttemptOutcome::BrokenSent) };
                if let Some(ending) = future::or(readable, stalled).await {
                    return Reply::bare(ending);
                }
            }
            Err(_) => return Reply::bare(AttemptOutcome::BrokenSent),
        }
    }
}
