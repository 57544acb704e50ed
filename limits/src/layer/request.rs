//! State of a tracked request and its attempts.

use super::metrics::WithholdReason;
use super::route::ActiveRoute;
use crate::policy::{Hedging, RetryRule};
use notchdoor::{Effect, Micros, ServerId};
use std::rc::Rc;

/// A retry is withheld if less than this share of the attempt timeout is left before the deadline: it could not end.
const MIN_RETRY_TIME_SHARE: f64 = 0.25;
/// Lower bound of an attempt timeout that was shortened for a client with little time left.
const MIN_ATTEMPT_TIMEOUT_US: f64 = 1_000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// Delayed by backoff; the router counts it as sent.
    Delayed,
    /// Sent and not yet ended.
    InFlight,
    /// Ended, cancelled or withheld.
    Finished,
}

/// An attempt that the router wants to send. Its index in [`InFlightRequest::attempts`] is the router's attempt number.
pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) give_up_at: Micros,
    pub(super) begin_by: Micros,
    /// The host's attempt number, which counts only attempts that were sent. `None` until the attempt is sent.
    pub(super) number: Option<u32>,
    pub(super) state: AttemptState,
    pub(super) sent_at: Micros,
    /// Whether the attempt is the probe of a half-open breaker.
    pub(super) probe: bool,
    /// Whether its reply has begun and pauses.
    pub(super) stalled: bool,
}

pub(super) struct InFlightRequest {
    pub(super) route: Rc<ActiveRoute>,
    pub(super) effect: Effect,
    pub(super) write: bool,
    pub(super) arrived_at: Micros,
    pub(super) deadline: Micros,
    /// Time until the client's deadline divided by the route's total timeout, at most 1. Scales attempt timeouts and
    /// backoff.
    pub(super) time_scale: f64,
    pub(super) attempts: Vec<Attempt>,
    /// Attempts that were sent.
    pub(super) attempts_sent: u32,
    /// Attempts that were sent and have not ended.
    pub(super) attempts_in_flight: u32,
    /// Whether the final answer was given or the client has left.
    pub(super) finished: bool,
    /// Whether the most recently ended attempt failed; reset when another one is sent.
    pub(super) last_attempt_failed: bool,
    /// Send time of the first ended attempt that may have run on a server.
    pub(super) may_have_run_since: Option<Micros>,
    /// Whether a hedged request has taken its token.
    pub(super) hedge_granted: bool,
}

impl InFlightRequest {
    /// Whether the next attempt would be a hedged request, because another attempt is in flight whose reply does not stall.
    pub(super) fn is_hedge(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight && !attempt.stalled)
    }

    /// Records that the reply to an attempt pauses. Another attempt beside it counts as a retry.
    pub(super) fn record_stall(&mut self, index: usize) {
        let Some(attempt) = self.attempts.get_mut(index) else { return };
        attempt.stalled = true;
        self.last_attempt_failed = true;
        self.may_have_run_since.get_or_insert(attempt.sent_at);
    }

    /// Checks whether the route's limits, apart from breakers and retry budgets, allow another attempt now.
    pub(super) fn check_attempt(&self, now: Micros) -> Result<(), WithholdReason> {
        let limits = &self.route.limits;
        if limits.max_attempts.is_some_and(|max| self.attempts_sent >= max) {
            return Err(WithholdReason::AttemptsExhausted);
        }
        let retry = self.last_attempt_failed || self.is_hedge();
        if retry && self.may_have_run_since.is_some() && limits.retry == RetryRule::Never {
            return Err(WithholdReason::FutileRetry);
        }
        let attempt_timeout = limits.attempt_timeout.map_or(0.0, |timeout| timeout as f64 * self.time_scale);
        if retry && (now as f64 + MIN_RETRY_TIME_SHARE * attempt_timeout) >= self.deadline as f64 {
            return Err(WithholdReason::FutileRetry);
        }
        if self.is_hedge() && limits.hedging != Hedging::RouterDefault && !self.hedge_granted {
            return Err(WithholdReason::BudgetExhausted);
        }
        Ok(())
    }

    /// Marks an attempt as sent and returns the time at which it times out.
    pub(super) fn dispatch(&mut self, index: usize, now: Micros) -> Micros {
        let time_scale = self.time_scale;
        let timeout = self.route.limits.attempt_timeout;
        let timeout = timeout.map(|t| (t as f64 * time_scale).max(MIN_ATTEMPT_TIMEOUT_US) as Micros);
        let attempt = &mut self.attempts[index];
        attempt.number = Some(self.attempts_sent);
        attempt.state = AttemptState::InFlight;
        attempt.sent_at = now;
        let router_limit =
            if attempt.give_up_at == 0 { self.deadline } else { attempt.give_up_at.min(self.deadline) };
        self.attempts_sent += 1;
        self.attempts_in_flight += 1;
        self.last_attempt_failed = false;
        timeout.map_or(router_limit, |timeout| router_limit.min(now.saturating_add(timeout)))
    }

    /// Index of an attempt by the host's attempt number.
    pub(super) fn index_of(&self, number: u32) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.number == Some(number))
    }

    /// Whether a retry is still safe: no attempt may have run, or the class's effect allows a repetition now.
    pub(super) fn within_dedup_window(&self, now: Micros) -> bool {
        match (self.effect, self.may_have_run_since) {
            (Effect::Deduplicated { window, .. }, Some(since)) => now < since.saturating_add(window),
            (Effect::AtMostOnce, Some(_)) => false,
            _ => true,
        }
    }

    /// Whether the request's only attempt may be hedged.
    pub(super) fn may_hedge(&self) -> bool {
        let only_attempt = self.attempts_in_flight == 1 && self.attempts.len() == 1;
        only_attempt && !self.write && self.effect == Effect::Idempotent && !self.hedge_granted
    }

    /// Marks an attempt that was not sent as finished, and releases its breaker's probe.
    pub(super) fn abandon_attempt(&mut self, index: usize) {
        let attempt = &mut self.attempts[index];
        attempt.state = AttemptState::Finished;
        if attempt.probe {
            self.route.release_probe(attempt.server);
        }
    }

    /// Whether the request is finished and has no attempt in flight.
    pub(super) fn is_done(&self) -> bool {
        self.finished && self.attempts_in_flight == 0
    }
}
