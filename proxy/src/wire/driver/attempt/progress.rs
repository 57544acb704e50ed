//! What is known of an attempt while it runs, and the log line at its end.

use super::Attempt;
use crate::outcome::AttemptOutcome;
use crate::wire::driver::reply_proof::ReplyProof;
use notchdoor::Micros;
use std::cell::Cell;

/// Timestamps of an attempt; 0 until the step is reached.
#[derive(Default)]
pub(super) struct AttemptTimings {
    pub(super) connected: Micros,
    pub(super) new: bool,
    pub(super) written: Micros,
    pub(super) first: Micros,
}

impl AttemptTimings {
    /// Time from the written command to the first byte of the reply; `None` on a new connection.
    pub(super) fn response_time(&self) -> Option<Micros> {
        self.first.checked_sub(self.written).filter(|_| !self.new)
    }
}

/// Progress of an attempt.
#[derive(Default)]
pub(super) struct Progress {
    /// Set once the last byte of the command was written; the server may have executed it from then on.
    pub(super) sent: Cell<bool>,
    /// Set once the server has taken the whole command of a streamed write, as far as its system tells.
    pub(super) taken: Cell<bool>,
    /// Set once the first byte of the reply was received.
    pub(super) reply_begun: Cell<bool>,
    /// Bytes of the reply that were received.
    pub(super) received: Cell<usize>,
    /// Why the attempt ended without a reply that could be used, where its outcome does not say it.
    pub(super) end_reason: Cell<Option<&'static str>>,
    /// Set while the attempt does not time out, because a large value is passed on or waits for the replies before it.
    pub(super) deadline_suspended: Cell<bool>,
    /// The number of the connection, 0 until there is one.
    pub(super) connection: Cell<u64>,
    /// The outcome that the reply stated, once it was received completely. The outcome of the attempt differs if the
    /// reply was not used.
    pub(super) replied: Cell<Option<AttemptOutcome>>,
    /// Why that reply is taken for the one to the command.
    pub(super) proof: Cell<Option<ReplyProof>>,
}

/// The end of an attempt, for the log.
pub(super) struct AttemptEnd<'a> {
    pub(super) attempt: &'a Attempt,
    pub(super) progress: &'a Progress,
    pub(super) outcome: AttemptOutcome,
    pub(super) started_at: Micros,
}

impl AttemptEnd<'_> {
    /// Writes the line of the attempt at debug level.
    pub(super) fn log(&self, timings: &AttemptTimings, now: Micros) {
        let (attempt_id, server) = (self.attempt.id, self.attempt.server);
        let request = String::from_utf8_lossy(&self.attempt.command.id);
        let connection = self.progress.connection.get();
        let replied = self.progress.replied.get().map_or("none", AttemptOutcome::name);
        let proof = self.progress.proof.get().map_or("none", ReplyProof::name);
        let (sent, received) = (self.progress.sent.get(), self.progress.received.get());
        let reason = self.progress.end_reason.get().unwrap_or("none");
        let value = match &self.attempt.command.streamed {
            Some(streamed) => format!(", value={} of {}", streamed.received(), streamed.length),
            None => String::new(),
        };
        log::debug!(
            attempt_id, server, ending = self.outcome.name(), request:% = request, connection, replied, proof, sent,
            received, reason;
            "attempt {attempt_id} to {server}: {}, {} us in total, {} us to connect, {} us to the first byte, new={}, \
             request={request}, connection={connection}, reply={replied}, proof={proof}, sent={sent}, \
             received={received}, reason={reason}{value}",
            self.outcome.name(),
            now - self.started_at,
            timings.connected.saturating_sub(self.started_at),
            timings.first.saturating_sub(timings.written),
            timings.new
        );
    }
}
