//! Reads the reply of an attempt and relays a large value to its client.

use super::decoder::Decoder;
use super::progress::{AttemptTimings, Progress};
use super::RELAY_STALL_TIMEOUT;
use crate::outcome::AttemptOutcome;
use crate::proxy::{AttemptId, ReplySlot};
use crate::state::pool::ReplyOrder;
use crate::wire::backend::{Reply, ReplyPart};
use crate::wire::driver::connection::Connection;
use crate::wire::driver::Runtime;
use crate::wire::MAX_VALUE;
use async_io::Timer;
use futures_lite::future;
use std::io::{ErrorKind, Read};
use std::rc::Rc;
use std::time::Duration;

/// Maximum pause within a buffered reply. A stalled attempt ends early enough for a retry before the client's
/// deadline.
const STALL_TIMEOUT: Duration = Duration::from_millis(100);

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

/// Waits until the client can receive more of a relayed reply; `None` if it has left.
async fn await_relay(runtime: &Runtime, client: Option<ReplySlot>) -> Option<ReplySlot> {
    match client {
        Some(slot) if runtime.relay_ready(slot).await => Some(slot),
        _ => None,
    }
}

/// Reads a reply to its end. Returns why it could not be read otherwise.
pub(super) async fn read(
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
