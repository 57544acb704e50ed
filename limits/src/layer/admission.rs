//! Admission of requests: each is rejected on arrival or tracked until its last attempt has ended.

use super::request::{AttemptState, InFlightRequest};
use super::route::ActiveRoute;
use super::timer_token::TimerToken;
use super::{LimitsLayer, UnsentAttempt};
use crate::policy::Hedging;
use notchdoor::{Action, Decide, Effect, Event, Micros, Outcome, Request, RequestId};
use std::rc::Rc;

/// Retry-After of a rejection while the route has no latency estimate.
const DEFAULT_RETRY_AFTER: Micros = 100_000;

impl<D: Decide> LimitsLayer<D> {
    pub(super) fn on_arrival(&mut self, now: Micros, mut request: Request, actions: &mut Vec<Action>) {
        let Some(route) = self.routes.get(self.policy.route_index(&request)).map(Rc::clone) else {
            return self.forward_to_router(now, Event::Arrived(request), actions);
        };
        self.deposit_tokens(now, &route);
        if self.at_capacity(&route) {
            self.metrics.requests_shed += 1;
            return actions.push(self.rejection(request.id, &route));
        }
        let tracked = self.track(now, &mut request, route);
        if let Some(after) = hedge_delay(now, &tracked) {
            let token = TimerToken::Hedge(request.id).encode();
            actions.push(Action::Timer { after, token });
        }
        tracked.route.state.borrow_mut().in_flight += 1;
        self.in_flight += 1;
        self.requests.insert(request.id, tracked);
        self.forward_to_router(now, Event::Arrived(request), actions);
    }

    /// Adds the tokens for one request to its route's budgets. Rejected requests count too.
    fn deposit_tokens(&self, now: Micros, route: &ActiveRoute) {
        if let Some(budget) = route.limits.retry_budget.and_then(|index| self.retry_budgets.get(index)) {
            budget.bucket.borrow_mut().deposit(now);
        }
        route.state.borrow_mut().hedge_budget.deposit(now);
    }

    /// Whether one more request would exceed the route's concurrency limit or the share of the proxy's limit that the
    /// route may use.
    fn at_capacity(&self, route: &ActiveRoute) -> bool {
        let state = route.state.borrow();
        let capacity = self.policy.max_in_flight.map_or(f64::INFINITY, f64::from);
        let usable = capacity * (1.0 - route.limits.reserved_capacity);
        state.in_flight >= state.max_in_flight(&route.limits) || f64::from(self.in_flight) + 1.0 > usable
    }

    /// Rejects a request for which no attempt was sent. Without a configured Retry-After, the client should return after
    /// the route's latency quantile, when requests now in flight are likely to have finished.
    fn rejection(&self, id: RequestId, route: &ActiveRoute) -> Action {
        let typical_latency = route.state.borrow().latency.estimate();
        let retry_after = route.limits.retry_after.or(typical_latency).unwrap_or(DEFAULT_RETRY_AFTER);
        Action::Reject { id, retry_after: retry_after.min(self.settings.max_retry_after) }
    }

    /// Creates the record of an admitted request and shortens its deadline to the route's total timeout.
    fn track(&self, now: Micros, request: &mut Request, route: Rc<ActiveRoute>) -> InFlightRequest {
        let class = request.class.and_then(|class| self.settings.classes.get(class as usize));
        let time_left = request.deadline.saturating_sub(now);
        let mut time_scale = 1.0;
        if let Some(total) = route.limits.total_timeout {
            if total > 0 {
                time_scale = (time_left as f64 / total as f64).min(1.0);
            }
            request.deadline = request.deadline.min(now.saturating_add(total));
        }
        InFlightRequest {
            route,
            effect: class.map_or(Effect::AtMostOnce, |class| class.effect),
            write: request.write,
            arrived_at: now,
            deadline: request.deadline,
            time_scale,
            attempts: Vec::new(),
            attempts_sent: 0,
            attempts_in_flight: 0,
            finished: false,
            last_attempt_failed: false,
            may_have_run_since: None,
            hedge_granted: false,
        }
    }

    /// Marks a request as finished after its final answer or when its client has left. Releases its concurrency slot and
    /// drops delayed attempts.
    pub(super) fn finish(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.finished) else { return };
        request.finished = true;
        self.in_flight -= 1;
        request.route.state.borrow_mut().in_flight -= 1;
        for index in 0..request.attempts.len() {
            if request.attempts[index].state == AttemptState::Delayed {
                request.abandon_attempt(index);
                self.unsent.push_back(UnsentAttempt { id, attempt: index as u32, outcome: Outcome::NotSent });
            }
        }
        self.remove_if_done(id);
    }

    /// Removes a finished request that has neither attempts in flight nor unreported ends.
    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        let unsent = self.unsent.iter().any(|unsent| unsent.id == id);
        if !unsent && self.requests.get(&id).is_some_and(InFlightRequest::is_done) {
            self.requests.remove(&id);
        }
    }
}

/// Delay after which a request may be hedged, or `None` if hedging is not allowed or would start after the deadline.
fn hedge_delay(now: Micros, request: &InFlightRequest) -> Option<Micros> {
    let hedged = matches!(request.route.limits.hedging, Hedging::AfterQuantile { .. });
    if !hedged || request.write || request.effect != Effect::Idempotent {
        return None;
    }
    let after = request.route.state.borrow().latency.estimate()?;
    (now.saturating_add(after) < request.deadline).then_some(after)
}
