//! Runs attempts: sends one command on a pooled connection and reads its reply.

mod decoder;
mod held_value;
mod progress;
mod reading;
mod relaying;
mod stall;
mod writing;

use super::connection::{checkout, Connection, Process, Wanted};
use super::reply_proof::Asked;
use super::Runtime;
use crate::negative_cache::KeyLookup;
use crate::outcome::AttemptOutcome;
use crate::proxy::{AttemptId, AttemptReply, Stall};
use crate::state::pool::Requirement;
use crate::wire::backend::{self, Reply};
use crate::wire::command::BackendCommand;
use crate::wire::origin;
use async_io::Timer;
use decoder::Decoder;
use futures_lite::future;
use notchdoor::{Micros, ServerId};
use progress::{AttemptEnd, AttemptTimings, Progress};
use reading::read;
use relaying::RelayedValue;
use stall::StallWatch;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use writing::{wait_until_taken, Message};

/// Pause within a reply that is kept until it is complete, after which another attempt may be sent beside it.
const BUFFERED_STALL_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause while a value is relayed to its client, after which another attempt may continue it; and the least time that a server
/// has to take more of a large write.
const RELAY_STALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which the end of a streamed write looks whether its server has taken it.
const TAKEN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Deadlines of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptDeadlines {
    /// When the attempt times out.
    pub give_up_at: Micros,
    /// Latest time to start writing the command.
    pub begin_by: Micros,
    /// Until when a reply that has begun may be awaited.
    pub answer_by: Micros,
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
    /// If set, the attempt may reach only the process that ran at this time.
    pub process_of: Option<Micros>,
    /// Whether the attempt needs a connection that carried no command before.
    pub on_unused_connection: bool,
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
        // The deadline of a streamed write starts when its last byte was received, or when it was first held up before that.
        Some(streamed) => {
            streamed.wait_complete().await;
            let deadline = Timer::after(Duration::from_micros(streamed.time_left()));
            let usual_time = Duration::from_micros(give_up_at.saturating_sub(started_at));
            let lost = wait_until_lost(progress, usual_time);
            let timed_out = async {
                deadline.await;
            };
            future::or(timed_out, lost).await;
        }
        None => {
            Timer::at(runtime.clock.instant(give_up_at)).await;
            // What a server is giving is not lost.
            if progress.reply_begun.get() {
                Timer::at(runtime.clock.instant(attempt.deadlines.answer_by)).await;
            }
        }
    }
    if progress.deadline_suspended.get() {
        future::pending::<()>().await;
    }
    progress.end_reason.set(Some(match progress.reply_begun.get() {
        true => "the request's time was over within the reply",
        false => "no byte of a reply came in time",
    }));
    Reply::without_value(if progress.sent.get() {
        AttemptOutcome::TimedOutSent
    } else {
        AttemptOutcome::TimedOutUnsent
    })
}

/// Waits until a streamed write has had no reply for this long after its server has taken it. Until then the server may still be
/// reading it.
async fn wait_until_lost(progress: &Progress, usual_time: Duration) {
    while !progress.taken.get() {
        Timer::after(TAKEN_POLL_INTERVAL).await;
    }
    Timer::after(usual_time).await;
    if progress.reply_begun.get() {
        future::pending::<()>().await;
    }
}

/// Sends an attempt's command and reads the reply.
async fn exchange(
    runtime: &Rc<Runtime>,
    attempt: &Attempt,
    progress: &Progress,
    timings: &mut AttemptTimings,
) -> Reply {
    let (server, command) = (attempt.server, &*attempt.command);
    let AttemptDeadlines { give_up_at, begin_by, .. } = attempt.deadlines;
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
    let requirement = connection_requirement(attempt, is_origin);
    let wanted = Wanted { requirement, process_of: attempt.process_of };
    let mut connection = match checkout(runtime, (server, process), wanted, &mut timings.new).await {
        Ok(connection) => connection,
        Err(outcome) => return Reply::without_value(outcome),
    };
    timings.connected = runtime.clock.now();
    progress.connection.set(connection.id);
    if let Err(outcome) = runtime.check_before_write(attempt, (server, process), begin_by) {
        return Reply::without_value(outcome);
    }
    // `give_up_at` of a streamed write includes the time to receive the value, so `command.wait` bounds it.
    let wait = give_up_at.saturating_sub(timings.connected).min(command.wait);
    let host = is_origin.then(|| endpoint.to_string());
    let mut decoder = match send_command(&connection, command, wait, host.as_deref(), &progress.sent).await {
        Ok(decoder) => decoder,
        Err(outcome) => return Reply::without_value(outcome),
    };
    runtime.proxy.borrow_mut().counters.attempts += 1;
    timings.written = runtime.clock.now();
    if command.streamed.is_some() {
        wait_until_taken(&mut connection).await;
        progress.taken.set(true);
    }
    let mut value = RelayedValue::new(runtime, attempt, progress);
    let mut stall = StallWatch::new(runtime, attempt.id);
    let reply = read(runtime, &connection, &mut decoder, (&mut value, &mut stall), timings).await;
    let fingerprint = decoder.fingerprint();
    progress.replied.set(fingerprint.map(|_| reply.outcome));
    if timings.first > 0 {
        runtime.reachability.borrow_mut().reached(endpoint);
    }
    let asked = Asked { server, process, is_origin, idempotent: attempt.idempotent };
    let on_slow_fence = || {
        let stalled = Stall { may_be_copy: true, keep_last_attempt: false };
        stall.report(stalled, timings.response_time());
        // Only the attempt's deadline ends a longer wait.
        !progress.deadline_suspended.get()
    };
    let proof = runtime.prove_reply(&mut connection, &reply, fingerprint, asked, on_slow_fence).await;
    progress.proof.set(proof);
    let needs_another = requirement == Requirement::Unused && !attempt.on_unused_connection;
    if needs_another && progress.replied.get().is_some() {
        runtime.prepare_unused(server, process);
    }
    if proof.is_none() {
        progress.end_reason.set(Some("its reply may belong to another command"));
        return Reply::without_value(AttemptOutcome::Garbled);
    }
    if reply.reusable {
        runtime.return_connection(server, generation, connection, requirement);
    }
    if reply.outcome == AttemptOutcome::Served {
        value.complete().await;
        // The bytes are gone, and the attempt that answered instead has failed since.
        if value.is_discarded() && runtime.proxy.borrow().reply_slot(attempt.id).is_some() {
            return Reply::without_value(AttemptOutcome::Garbled);
        }
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

/// Which connection an attempt requires.
fn connection_requirement(attempt: &Attempt, is_origin: bool) -> Requirement {
    let is_read = attempt.command.value_len().is_none();
    match (is_read, attempt.idempotent) {
        _ if attempt.on_unused_connection => Requirement::Unused,
        (true, true) => Requirement::Any,
        (true, false) if !is_origin => Requirement::CertainOrder,
        _ => Requirement::Unused,
    }
}

/// Sends a command to a cache, or to the origin if `host` is set. Returns the decoder of its reply.
async fn send_command(
    connection: &Connection,
    command: &BackendCommand,
    wait: Micros,
    host: Option<&str>,
    sent: &Cell<bool>,
) -> Result<Decoder, AttemptOutcome> {
    let (head, value_end, decoder) = match host {
        Some(host) => {
            let head = origin::encode(command, wait, host);
            (head, &b""[..], Decoder::Origin(origin::Decoder::default()))
        }
        None => {
            let head = backend::encode(command, wait);
            (head, backend::VALUE_END, Decoder::Backend(backend::Decoder::default()))
        }
    };
    let message = Message { head, value_end };
    match (&command.streamed, &command.value) {
        (None, value) => message.write(connection, value.as_deref(), sent).await?,
        (Some(streamed), _) if streamed.is_unsent() => {
            message.write_streamed(connection, streamed, sent).await?;
        }
        // The value was already sent in part or discarded.
        (Some(_), _) => return Err(AttemptOutcome::NotSent),
    }
    Ok(decoder)
}

impl Runtime {
    /// Checks again whether the command may be written, since getting a connection took time. Returns the outcome of
    /// the attempt if the client has left, the request is answered, the configuration version that is in force by now
    /// blocks it, the server was drained or restarted, or `begin_by` has passed.
    fn check_before_write(
        self: &Rc<Self>,
        attempt: &Attempt,
        (server, process): (ServerId, Process),
        begin_by: Micros,
    ) -> Result<(), AttemptOutcome> {
        let key = &attempt.command.key;
        if !self.drive(|proxy, now| proxy.version_allows_attempt(now, attempt.id, key)) {
            return Err(AttemptOutcome::NotSent);
        }
        let unchanged = self.is_serving(server, process);
        let awaited = self.proxy.borrow().reply_slot(attempt.id);
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
