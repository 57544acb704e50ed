//! A request that the layer holds, with its attempts.

use super::metrics::WithholdReason;
use super::route::ActiveRoute;
use crate::policy::{Hedging, RetryRule};
use notchdoor::{Effect, Micros, ServerId};
use std::rc::Rc;

/// A retry is not begun with less than this share of an attempt's time left: it could not end.
const MIN_RETRY_TIME_SHARE: f64 = 0.25;
/// An attempt is given this long at the least, however little time its client has.
const MIN_ATTEMPT_TIMEOUT_US: f64 = 1_000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// A backoff delays it; the router takes it for sent.
    Delayed,
    /// It is out.
    InFlight,
    /// It has ended, or was never sent.
    Finished,
}

/// One attempt that the router has asked for; its place among the request's attempts is the router's number of it.
pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) give_up_at: Micros,
    pub(super) begin_by: Micros,
    /// Its number outside, once it was sent.
    pub(super) number: Option<u32>,
    pub(super) state: AttemptState,
    pub(super) sent_at: Micros,
    /// Whether it is the probe of a half-open breaker.
    pub(super) probe: bool,
}

pub(super) struct InFlightRequest {
    pub(super) route: Rc<ActiveRoute>,
    pub(super) effect: Effect,
    pub(super) write: bool,
    pub(super) arrived_at: Micros,
    pub(super) deadline: Micros,
    /// How much shorter its time is than its route's: its waits and time-outs shrink as much.
    pub(super) time_scale: f64,
    pub(super) attempts: Vec<Attempt>,
    /// Attempts sent outside.
    pub(super) attempts_sent: u32,
    /// Attempts in flight outside.
    pub(super) attempts_in_flight: u32,
    /// It has its final answer, or its client has left.
    pub(super) finished: bool,
    /// Whether the latest attempt failed.
    pub(super) last_attempt_failed: bool,
    /// When the first attempt that may have run was sent.
    pub(super) may_have_run_since: Option<Micros>,
    /// Its hedged request has been paid for.
    pub(super) hedge_granted: bool,
}

impl InFlightRequest {
    /// Whether the next attempt would run beside another one.
    pub(super) fn is_hedge(&self) -> bool {
        self.attempts_in_flight > 0
    }

    /// Whether the route's limits, apart from breakers and budgets, allow one more attempt now.
    pub(super) fn check_attempt(&self, now: Micros) -> Result<(), WithholdReason> {
        let limits = &self.route.limits;
        if limits.max_attempts.is_some_and(|max| self.attempts_sent >= max) {
            return Err(WithholdReason::AttemptsExhausted);
        }
        let retry = self.last_attempt_failed || self.is_hedge();
        if retry && self.may_have_run_since.is_some() && limits.retry == RetryRule::Never {
            return Err(WithholdReason::FutileRetry);
        }
        let attempt = limits.attempt_timeout.map_or(0.0, |timeout| timeout as f64 * self.time_scale);
        if retry && (now as f64 + MIN_RETRY_TIME_SHARE * attempt) >= self.deadline as f64 {
            return Err(WithholdReason::FutileRetry);
        }
        if self.is_hedge() && limits.hedging != Hedging::RouterDefault && !self.hedge_granted {
            return Err(WithholdReason::BudgetExhausted);
        }
        Ok(())
    }

    /// Notes that an attempt goes out now, and until when it is waited for.
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

    /// The place of an attempt by its number outside.
    pub(super) fn index_of(&self, number: u32) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.number == Some(number))
    }

    /// Whether a server would still know a retry for one, or none has run yet.
    pub(super) fn within_dedup_window(&self, now: Micros) -> bool {
        match (self.effect, self.may_have_run_since) {
            (Effect::Deduplicated { window, .. }, Some(since)) => now < since.saturating_add(window),
            (Effect::AtMostOnce, Some(_)) => false,
            _ => true,
        }
    }

    /// Whether a hedged request may be sent beside its one attempt.
    pub(super) fn may_hedge(&self) -> bool {
        let only_attempt = self.attempts_in_flight == 1 && self.attempts.len() == 1;
        only_attempt && !self.write && self.effect == Effect::Idempotent && !self.hedge_granted
    }

    /// An attempt that was delayed is never sent after all.
    pub(super) fn abandon_attempt(&mut self, index: usize) {
        let attempt = &mut self.attempts[index];
        attempt.state = AttemptState::Finished;
        if attempt.probe {
            self.route.release_probe(attempt.server);
        }
    }

    /// Everything is over: it may be forgotten.
    pub(super) fn is_done(&self) -> bool {
        self.finished && self.attempts_in_flight == 0
    }
}
