//! Reads the reply of an attempt.

use super::decoder::Decoder;
use super::progress::AttemptTimings;
use super::relaying::{RelayedValue, ValueOrigin};
use super::stall::StallWatch;
use crate::outcome::AttemptOutcome;
use crate::proxy::Stall;
use crate::state::pool::ReplyOrder;
use crate::wire::backend::{Reply, ReplyPart};
use crate::wire::driver::connection::Connection;
use crate::wire::driver::value_store::Reservation;
use crate::wire::driver::Runtime;
use crate::wire::MAX_VALUE;
use async_io::Timer;
use futures_lite::future;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;

/// Reads what the socket has, up to the size of a read. Returns the number of bytes and the parts of the reply that they
/// complete; `None` at the end of the connection.
fn read_once(
    runtime: &Runtime,
    connection: &Connection,
    decoder: &mut Decoder,
) -> io::Result<Option<(usize, Vec<ReplyPart>)>> {
    let mut buffer = runtime.read_buffer.borrow_mut();
    match connection.io.read(&mut buffer)? {
        0 => Ok(None),
        n => Ok(Some((n, decoder.feed(buffer.get(..n).unwrap_or_default())))),
    }
}

/// Whether the large value of a reply was made for its request; `None` before enough of it was received.
fn value_origin(connection: &Connection, decoder: &Decoder) -> Option<ValueOrigin> {
    if connection.history.is_empty() {
        return Some(ValueOrigin::Own);
    }
    // What is relayed cannot be taken back, so the order must be certain before it.
    if connection.order == ReplyOrder::Doubtful {
        return Some(ValueOrigin::MayBeCopy);
    }
    let start = decoder.value_start()?;
    Some(match connection.history.may_be_copy(&start) {
        true => ValueOrigin::MayBeCopy,
        false => ValueOrigin::Own,
    })
}

/// What ended a wait for more of a reply.
enum Wake {
    /// The socket has more, or has failed.
    Readable(io::Result<()>),
    /// The server has paused for as long as is allowed.
    Paused,
    /// A kept value has to begin.
    BeginsEarly,
}

/// Waits for this time, or for ever.
async fn wait(time: Option<Duration>) {
    match time {
        Some(time) => drop(Timer::after(time).await),
        None => future::pending().await,
    }
}

/// Waits for more of a reply. Returns the outcome of the attempt if nothing more is awaited.
async fn wait_for_more(
    connection: &Connection,
    has_partial_reply: bool,
    (value, stall): (&mut RelayedValue<'_>, &mut StallWatch<'_>),
    timings: &AttemptTimings,
) -> Result<(), AttemptOutcome> {
    let is_kept = value.is_kept() || !value.has_started() && (has_partial_reply || value.is_announced());
    let pause = match is_kept {
        true if stall.is_reported() => None,
        true => Some(value.time_until_doubt()),
        false if value.has_started() => Some(value.stall_timeout()),
        false => None,
    };
    let early_begin = value.time_until_early_begin();
    let paused = async {
        wait(pause).await;
        Wake::Paused
    };
    let begins_early = async {
        wait(early_begin).await;
        Wake::BeginsEarly
    };
    let readable = async { Wake::Readable(connection.io.readable().await) };
    match future::or(readable, future::or(begins_early, paused)).await {
        Wake::Readable(result) => result.map_err(|_| AttemptOutcome::BrokenSent),
        Wake::BeginsEarly => value.begin_early().await,
        Wake::Paused if is_kept => {
            let is_own = value.is_kept() && !value.may_be_copy();
            let may_be_copy = !connection.history.is_empty() && !is_own;
            stall.report(Stall { may_be_copy, keep_last_attempt: is_own }, timings.response_time());
            Ok(())
        }
        Wake::Paused if value.release() => Ok(()),
        Wake::Paused => Err(value.unusable("its server was silent within a value for too long")),
    }
}

/// Reads a reply to its end. Returns why it could not be read otherwise.
pub(super) async fn read(
    runtime: &Rc<Runtime>,
    connection: &Connection,
    decoder: &mut Decoder,
    (value, stall): (&mut RelayedValue<'_>, &mut StallWatch<'_>),
    timings: &mut AttemptTimings,
) -> Reply {
    let (mut received, mut reservation) = (0, Reservation::new(&runtime.value_store));
    loop {
        match read_once(runtime, connection, decoder) {
            Ok(None) => return decoder.closed(),
            Ok(Some((n, parts))) => {
                if received == 0 {
                    timings.first = runtime.clock.now();
                }
                received += n;
                value.record_received(received);
                if !value.has_started() && received > MAX_VALUE {
                    stall.report_begun(timings.response_time());
                }
                // The first `MAX_VALUE` bytes are accounted for with the request.
                if !value.has_started() && !reservation.resize(received.saturating_sub(MAX_VALUE)) {
                    return Reply::without_value(AttemptOutcome::NoCapacity);
                }
                for part in parts {
                    let taken = match part {
                        ReplyPart::ValueStart(length) => {
                            value.announce(length);
                            Ok(())
                        }
                        ReplyPart::ValueData(data) => value.push(data),
                        ReplyPart::Complete(reply) => return reply,
                    };
                    if let Err(outcome) = taken {
                        return Reply::without_value(outcome);
                    }
                    let origin = value_origin(connection, decoder);
                    if let Err(outcome) = value.start_if_known(origin, timings.response_time()).await {
                        return Reply::without_value(outcome);
                    }
                }
                value.ready().await;
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                let has_partial_reply = decoder.has_partial_reply();
                let waited = wait_for_more(connection, has_partial_reply, (value, stall), timings);
                if let Err(outcome) = waited.await {
                    return Reply::without_value(outcome);
                }
            }
            Err(_) => return Reply::without_value(AttemptOutcome::BrokenSent),
        }
    }
}
