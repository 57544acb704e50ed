//! Handling of attempts: sends, delays or withholds them, and records their results in circuit breakers and latency
//! estimates.

use super::metrics::WithholdReason;
use super::request::{Attempt, AttemptState, InFlightRequest};
use super::timer_token::TimerToken;
use super::{LimitsLayer, UnsentAttempt};
use crate::circuit_breaker::{Admission, AttemptResult, CircuitBreaker};
use notchdoor::{Action, Decide, Event, Micros, Outcome, RequestId, ServerId};
use rand::RngExt;

/// Maximum share of the serving servers whose breakers may be open at one route, so that the load of the excluded
/// servers does not overload cold backends or the origin.
const MAX_OPEN_BREAKER_SHARE: f64 = 0.4;
/// Average time between the probes of different proxies whose breakers opened together.
const PROBE_SPACING: Micros = 40_000;
/// A timeout is not counted against a server that had less than this share of the route's attempt timeout to answer.
const MIN_ELAPSED_TIMEOUT_SHARE: f64 = 0.5;

/// An attempt that the router wants to send; the fields are those of [`Action::Send`].
pub(super) struct RequestedAttempt {
    pub(super) id: RequestId,
    pub(super) server: ServerId,
    pub(super) give_up_at: Micros,
    pub(super) begin_by: Micros,
}

/// The end of an attempt. `number` counts only attempts that were sent, as the host does.
pub(super) struct AttemptEnd {
    pub(super) id: RequestId,
    pub(super) number: u32,
    pub(super) outcome: Outcome,
    pub(super) took: Option<Micros>,
}

impl AttemptEnd {
    /// The event for the router, which numbers the attempt as `index`.
    fn event(&self, index: u32) -> Event<'static> {
        Event::AttemptEnded { id: self.id, attempt: index, outcome: self.outcome, took: self.took }
    }
}

impl<D: Decide> LimitsLayer<D> {
    /// Sends, delays or withholds an attempt that the router wants to send.
    pub(super) fn handle_send(
        &mut self,
        now: Micros,
        requested: RequestedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let RequestedAttempt { id, server, give_up_at, begin_by } = requested;
        if !self.requests.contains_key(&id) {
            // The layer does not track this request, so its limits do not apply.
            return actions.push(Action::Send { id, server, give_up_at, begin_by });
        }
        let admitted = self.admit_attempt(now, id, server);
        let delay = if admitted.is_ok() { self.backoff_delay(id) } else { 0 };
        let request = self.requests.get_mut(&id).expect("checked above");
        let index = request.attempts.len();
        request.attempts.push(Attempt {
            server,
            give_up_at,
            begin_by,
            number: None,
            state: AttemptState::Delayed,
            sent_at: now,
            probe: admitted == Ok(Admission::Probe),
            stalled: false,
        });
        let too_late = delay > 0 && now.saturating_add(delay) >= request.deadline.min(begin_by);
        match admitted {
            Err(reason) => self.withhold(id, index, reason),
            Ok(_) if too_late => self.withhold(id, index, WithholdReason::FutileRetry),
            Ok(_) if delay > 0 => {
                self.metrics.delayed_retries += 1;
                actions.push(Action::Timer { after: delay, token: TimerToken::Retry(id).encode() });
            }
            Ok(_) => self.dispatch(now, id, index, actions),
        }
    }

    /// Checks an attempt against the request's limits, the server's breaker and the retry budget. Takes a token if the
    /// attempt is a retry.
    fn admit_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        server: ServerId,
    ) -> Result<Admission, WithholdReason> {
        let request = &self.requests[&id];
        request.check_attempt(now)?;
        let limits = &request.route.limits;
        let mut admission = Admission::Allowed;
        if let Some(config) = limits.circuit_breaker {
            let mut state = request.route.state.borrow_mut();
            let breaker = state.breakers.entry(server).or_insert_with(|| CircuitBreaker::new(config));
            admission = breaker.try_acquire(now);
        }
        if admission == Admission::Rejected {
            return Err(WithholdReason::CircuitOpen);
        }
        // Hedged requests have already taken a token from the hedging budget.
        if request.last_attempt_failed && !request.is_hedge() {
            let budget = limits.retry_budget.and_then(|index| self.retry_budgets.get(index));
            let granted =
                budget.is_none_or(|b| b.bucket.borrow_mut().try_acquire(now, limits.budget_reserve));
            if !granted {
                if admission == Admission::Probe {
                    request.route.release_probe(server);
                }
                return Err(WithholdReason::BudgetExhausted);
            }
        }
        Ok(admission)
    }

    /// Backoff delay of the next attempt. Only retries after a failure are delayed, not hedged requests or fetches after
    /// a cache miss.
    fn backoff_delay(&mut self, id: RequestId) -> Micros {
        let request = &self.requests[&id];
        let backoff = request.route.limits.backoff;
        let Some(backoff) = backoff.filter(|_| request.last_attempt_failed && !request.is_hedge()) else {
            return 0;
        };
        let max_delay = backoff.max_delay(request.attempts_sent.max(1)) as f64 * request.time_scale;
        (max_delay * (1.0 - backoff.jitter * self.rng.random::<f64>())) as Micros
    }

    /// Drops an attempt and queues the report to the router that it was not sent.
    fn withhold(&mut self, id: RequestId, index: usize, reason: WithholdReason) {
        self.metrics.count(reason);
        if let Some(request) = self.requests.get_mut(&id) {
            request.abandon_attempt(index);
        }
        self.unsent.push_back(UnsentAttempt { id, attempt: index as u32, outcome: Outcome::NotSent });
    }

    fn dispatch(&mut self, now: Micros, id: RequestId, index: usize, actions: &mut Vec<Action>) {
        let request = self.requests.get_mut(&id).expect("callers pass a tracked request");
        let give_up_at = request.dispatch(index, now);
        self.attempts_in_flight += 1;
        let Attempt { server, begin_by, .. } = request.attempts[index];
        actions.push(Action::Send { id, server, give_up_at, begin_by });
    }

    /// Cancels an attempt by its index in the router.
    pub(super) fn handle_cancel(&mut self, id: RequestId, index: u32, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(index as usize) else { return };
        match (attempt.state, attempt.number) {
            (AttemptState::InFlight, Some(number)) => actions.push(Action::Cancel { id, attempt: number }),
            (AttemptState::Delayed, _) => {
                request.abandon_attempt(index as usize);
                self.unsent.push_back(UnsentAttempt { id, attempt: index, outcome: Outcome::Cancelled });
            }
            _ => {}
        }
    }

    /// Records the latency of a request that is answered by the reply of an attempt.
    pub(super) fn record_answer(&mut self, now: Micros, id: RequestId, number: u32) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.finished) else { return };
        if request.index_of(number).is_some() {
            let latency = now.saturating_sub(request.arrived_at);
            request.route.state.borrow_mut().record_success(latency);
        }
    }

    /// Records the end of an attempt and passes it to the router.
    pub(super) fn on_attempt_end(&mut self, now: Micros, end: AttemptEnd, actions: &mut Vec<Action>) {
        let open_jitter = self.open_jitter();
        let Some(request) = self.requests.get_mut(&end.id) else {
            return self.forward_to_router(now, end.event(end.number), actions);
        };
        let Some(index) = request.index_of(end.number) else { return };
        let attempt = &mut request.attempts[index];
        if attempt.state != AttemptState::InFlight {
            return;
        }
        attempt.state = AttemptState::Finished;
        request.attempts_in_flight -= 1;
        self.attempts_in_flight -= 1;
        let non_failures = [Outcome::Ok, Outcome::Miss, Outcome::Cancelled, Outcome::NotSent];
        request.last_attempt_failed = !non_failures.contains(&end.outcome);
        if !end.outcome.never_ran() {
            request.may_have_run_since.get_or_insert(request.attempts[index].sent_at);
        }
        record_in_breaker(request, index, now, &end, self.endpoints.serving(), open_jitter);
        self.forward_to_router(now, end.event(index as u32), actions);
    }

    /// Random extra time that a breaker stays open, up to `PROBE_SPACING` for each proxy of the fleet.
    fn open_jitter(&mut self) -> Micros {
        let max_jitter = u64::from(self.settings.proxies) * PROBE_SPACING;
        (self.rng.random::<f64>() * max_jitter as f64) as Micros
    }

    pub(super) fn on_timer(&mut self, now: Micros, token: TimerToken, actions: &mut Vec<Action>) {
        let id = token.request();
        if self.requests.get(&id).is_none_or(|request| request.finished) {
            return;
        }
        match token {
            TimerToken::Hedge(id) => self.grant_hedge(now, id, actions),
            TimerToken::Retry(id) => self.end_backoff(now, id, actions),
        }
    }

    /// Lets the router hedge a request that is still open after the hedge delay, if the hedging budget has a token.
    fn grant_hedge(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.may_hedge()) else { return };
        request.hedge_granted = request.route.state.borrow_mut().hedge_budget.try_acquire(now, 0.0);
        if request.hedge_granted {
            self.metrics.hedges += 1;
            self.forward_to_router(now, Event::HedgeGranted(id), actions);
        }
    }

    /// Sends a delayed retry after its backoff, unless its server has stopped serving, the deduplication window has
    /// passed or the deadline has been reached.
    fn end_backoff(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let delayed = |attempt: &Attempt| attempt.state == AttemptState::Delayed;
        let Some(index) = request.attempts.iter().position(delayed) else { return };
        let serving = self.endpoints.is_serving(request.attempts[index].server);
        if serving && request.within_dedup_window(now) && now < request.deadline {
            self.dispatch(now, id, index, actions);
        } else {
            self.withhold(id, index, WithholdReason::FutileRetry);
        }
    }
}

/// Records the result of an attempt in the breaker of its server.
fn record_in_breaker(
    request: &InFlightRequest,
    index: usize,
    now: Micros,
    end: &AttemptEnd,
    serving: usize,
    open_jitter: Micros,
) {
    let attempt = &request.attempts[index];
    let mut state = request.route.state.borrow_mut();
    let may_open = state.open_breakers() as f64 + 1.0 <= (MAX_OPEN_BREAKER_SHARE * serving as f64).max(1.0);
    let Some(breaker) = state.breakers.get_mut(&attempt.server) else { return };
    let elapsed = now.saturating_sub(attempt.sent_at);
    if is_inconclusive(request, end.outcome, elapsed) {
        if attempt.probe {
            breaker.release_probe();
        }
        return;
    }
    let failures = [Outcome::Error, Outcome::Timeout, Outcome::ConnectFailed, Outcome::Reset];
    let failed = failures.contains(&end.outcome);
    let duration = end.took.unwrap_or(if failed { elapsed } else { 0 });
    let result = AttemptResult { probe: attempt.probe, failed, duration };
    breaker.record(now, result, may_open.then_some(open_jitter));
}

/// Whether an outcome says nothing about the health of a server, such as a cancellation or a timeout that a short
/// client deadline cut far below the route's attempt timeout.
fn is_inconclusive(request: &InFlightRequest, outcome: Outcome, elapsed: Micros) -> bool {
    let timeout = request.route.limits.attempt_timeout;
    let cut_short = outcome == Outcome::Timeout
        && timeout.is_some_and(|timeout| (elapsed as f64) < timeout as f64 * MIN_ELAPSED_TIMEOUT_SHARE);
    cut_short || matches!(outcome, Outcome::Cancelled | Outcome::NotSent | Outcome::Rejected)
}
