//! Decides whether the last reply on a connection was made for the last command on it.
//!
//! A reply names no command, and a server may send copies of a reply any time later. So nothing that matters is concluded
//! from a reply without a proof: neither that it has the value that was asked for nor that the command never ran.

use super::connection::{Connection, Process};
use super::reply_history::Comparison;
use super::Runtime;
use crate::outcome::AttemptOutcome;
use crate::state::pool::ReplyOrder;
use crate::wire::backend::Reply;
use crate::wire::fingerprint::Fingerprint;
use crate::wire::resp::{write_command, Reader, Value};
use async_io::Timer;
use futures_lite::future;
use notchdoor::ServerId;
use std::time::Duration;

/// Time to wait for the reply to a fence before another attempt may be sent beside this one, whose own time limits the wait.
const SLOW_FENCE_TIME: Duration = Duration::from_millis(100);
/// Maximum time to wait for it in an attempt that does not time out.
const FENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that can be read while the reply to a fence is awaited; a reply that begins is enough to refute it.
const FENCE_BUFFER: usize = 64;

/// Why a reply is taken for the one to the last command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplyProof {
    /// The connection carried no command before, so there is no reply that could be copied.
    FirstReply,
    /// It differs from all earlier replies, so it is no copy of one, and it does not begin like one that was cut off.
    DiffersFromEarlier,
    /// The reply to a fence followed it, so no other reply is outstanding.
    Fence,
    /// Not proven, but the request goes on the same whichever command it replies to.
    NotNeeded,
}

impl ReplyProof {
    /// The name in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            ReplyProof::FirstReply => "first",
            ReplyProof::DiffersFromEarlier => "differs",
            ReplyProof::Fence => "fence",
            ReplyProof::NotNeeded => "not needed",
        }
    }
}

/// What is concluded from a reply if it is taken for the one to the command.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Conclusion {
    /// The value of the key, or that it does not exist.
    Value,
    /// The command never ran, in a class where this decides what may be done next.
    NeverRan,
    /// Nothing that matters: the command may have run, or may be repeated in any case.
    Nothing,
}

impl Conclusion {
    fn of(outcome: AttemptOutcome, idempotent: bool) -> Self {
        match outcome {
            AttemptOutcome::Served | AttemptOutcome::Absent => Conclusion::Value,
            AttemptOutcome::Missed | AttemptOutcome::Rejected if !idempotent => Conclusion::NeverRan,
            _ => Conclusion::Nothing,
        }
    }
}

/// The server and the class of the command that a reply has to be made for.
#[derive(Clone, Copy)]
pub(super) struct Asked {
    pub(super) server: ServerId,
    pub(super) process: Process,
    /// The server is the origin. HTTP has no command that could serve as a fence.
    pub(super) is_origin: bool,
    /// The request may be repeated even if the command has run.
    pub(super) idempotent: bool,
}

impl Runtime {
    /// Records a reply in the history of its connection and returns its proof; `None` if it has none and must not be
    /// used. May send a fence; `on_slow_fence` is called if its reply does not come soon, and
    /// returns whether it is awaited further.
    pub(super) async fn prove_reply(
        &self,
        connection: &mut Connection,
        reply: &Reply,
        fingerprint: Option<Fingerprint>,
        asked: Asked,
        on_slow_fence: impl FnOnce() -> bool,
    ) -> Option<ReplyProof> {
        let comparison = fingerprint.map(|fingerprint| connection.history.record(&fingerprint));
        if asked.is_origin && reply.outcome == AttemptOutcome::Absent {
            connection.retired = Some("another 404 could not be told from a copy of this one");
        }
        match comparison {
            Some(Comparison::First) => return Some(ReplyProof::FirstReply),
            Some(Comparison::MayContainCopy) => return None,
            // It may be a copy, and then the real reply is outstanding.
            Some(Comparison::Equal) if asked.is_origin => {
                connection.order = ReplyOrder::Doubtful;
                connection.retired = Some("its order is in doubt, and HTTP has no fence");
            }
            Some(Comparison::Equal) => connection.order = ReplyOrder::Doubtful,
            Some(Comparison::Different) | None => {}
        }
        match Conclusion::of(reply.outcome, asked.idempotent) {
            Conclusion::Nothing => return Some(ReplyProof::NotNeeded),
            Conclusion::Value
                if comparison == Some(Comparison::Different) && connection.order == ReplyOrder::Certain =>
            {
                return Some(ReplyProof::DiffersFromEarlier);
            }
            Conclusion::Value | Conclusion::NeverRan => {}
        }
        let fence_is_possible = !asked.is_origin && reply.reusable;
        let confirmed = fence_is_possible && self.confirm_last_reply(connection, asked, on_slow_fence).await;
        confirmed.then_some(ReplyProof::Fence)
    }

    /// Whether a fence confirms that the last reply on a connection was the one to the last command. The connection is not
    /// used again: the reply to another fence could not be told from a copy of this one's.
    async fn confirm_last_reply(
        &self,
        connection: &mut Connection,
        asked: Asked,
        on_slow_fence: impl FnOnce() -> bool,
    ) -> bool {
        let server = asked.server;
        self.proxy.borrow_mut().counters.replies_checked += 1;
        connection.retired = Some("a fence was sent on it");
        let slow = async {
            Timer::after(SLOW_FENCE_TIME).await;
            if on_slow_fence() {
                future::pending::<()>().await;
            }
            Timer::after(FENCE_TIMEOUT.saturating_sub(SLOW_FENCE_TIME)).await;
            false
        };
        let confirmed = self.is_serving(server, asked.process)
            && future::or(connection.has_no_reply_outstanding(), slow).await;
        if !confirmed {
            self.proxy.borrow_mut().counters.replies_unconfirmed += 1;
            log::debug!(
                connection = connection.id, server;
                "a reply of {server} on connection {} may belong to an earlier command and was not confirmed",
                connection.id
            );
        }
        confirmed
    }
}

impl Connection {
    /// Sends a fence and returns whether its reply is the next one, so that no reply to an earlier command is missing.
    pub(super) async fn has_no_reply_outstanding(&mut self) -> bool {
        let mut fence = Vec::new();
        write_command(&mut fence, &[b"PING"]);
        if self.io.write_all(&fence).await.is_err() {
            return false;
        }
        let (mut reader, mut buffer) = (Reader::default(), [0; FENCE_BUFFER]);
        loop {
            match self.io.read_some(&mut buffer).await {
                Ok(n) if n > 0 => reader.feed(buffer.get(..n).unwrap_or_default()),
                _ => return false,
            }
            match reader.next_value() {
                Ok(None) => {}
                Ok(Some(Value::Simple(text))) => return text == b"PONG" && reader.pending() == 0,
                _ => return false,
            }
        }
    }
}
