//! The limits layer, which wraps a router and enforces a [`Policy`].
//!
//! The layer never chooses a server and never produces the final answer of a request after an attempt was sent. It
//! rejects requests before their first attempt, shortens timeouts, and delays or withholds attempts. A withheld attempt
//! is reported to the router as [`Outcome::NotSent`]. An attempt delayed by backoff counts as in flight in the router,
//! so that the router does not finish the request while the attempt is pending.

mod admission;
mod attempts;
mod endpoints;
mod metrics;
mod request;
mod route;
mod timer_token;

pub use metrics::LimitsMetrics;

use crate::policy::Policy;
use crate::token_bucket::TokenBucket;
use attempts::{AttemptEnd, RequestedAttempt};
use endpoints::Endpoints;
use notchdoor::{
    continuation_deadline, Action, Decide, Endpoint, Event, Micros, Outcome, RequestId, Settings,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use request::InFlightRequest;
use route::ActiveRoute;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use timer_token::{TimerToken, LAYER_BIT};

/// The token bucket of a retry budget, kept across reloads by name.
struct SharedBudget {
    name: String,
    bucket: Rc<RefCell<TokenBucket>>,
}

/// An attempt that was not sent and whose end has yet to be reported to the router.
struct UnsentAttempt {
    id: RequestId,
    attempt: u32,
    outcome: Outcome,
}

/// Enforces a policy on the actions of an inner router.
pub struct LimitsLayer<D> {
    inner: D,
    settings: Settings,
    policy: Arc<Policy>,
    routes: Vec<Rc<ActiveRoute>>,
    retry_budgets: Vec<SharedBudget>,
    rng: ChaCha8Rng,
    requests: FxHashMap<RequestId, InFlightRequest>,
    in_flight: u32,
    attempts_in_flight: u64,
    endpoints: Endpoints,
    unsent: VecDeque<UnsentAttempt>,
    /// Buffer for the router's actions, reused to avoid allocations.
    inner_actions: Vec<Action>,
    metrics: LimitsMetrics,
}

impl<D: Decide> LimitsLayer<D> {
    /// Wraps `inner`, which must have been created with the result of [`crate::stack::router_settings`]. `settings` are
    /// the deployment's own.
    pub fn new(inner: D, settings: Settings, policy: Arc<Policy>, seed: u64, now: Micros) -> Self {
        let mut layer = LimitsLayer {
            inner,
            settings,
            policy: Arc::default(),
            routes: Vec::new(),
            retry_budgets: Vec::new(),
            // The router uses the same seed, so the layer derives another one from it.
            rng: ChaCha8Rng::seed_from_u64(seed ^ LAYER_BIT),
            requests: FxHashMap::default(),
            in_flight: 0,
            attempts_in_flight: 0,
            endpoints: Endpoints::default(),
            unsent: VecDeque::new(),
            inner_actions: Vec::new(),
            metrics: LimitsMetrics::default(),
        };
        layer.reload(policy, now);
        layer
    }

    /// Replaces the policy for new requests. Routes and budgets keep their state by name; open requests keep the limits
    /// that they started with.
    pub fn reload(&mut self, policy: Arc<Policy>, now: Micros) {
        let old_budgets = std::mem::take(&mut self.retry_budgets);
        for budget in &policy.retry_budgets {
            let previous = old_budgets.iter().find(|old| old.name == budget.name);
            let bucket = previous.map_or_else(
                || Rc::new(RefCell::new(TokenBucket::new(budget.config, now))),
                |old| Rc::clone(&old.bucket),
            );
            bucket.borrow_mut().reconfigure(budget.config);
            self.retry_budgets.push(SharedBudget { name: budget.name.clone(), bucket });
        }
        let old_routes = std::mem::take(&mut self.routes);
        for route in &policy.routes {
            let previous = old_routes.iter().find(|old| old.name == route.name);
            let state = previous.map(|old| Rc::clone(&old.state));
            self.routes.push(Rc::new(ActiveRoute::new(route, state, now)));
        }
        self.policy = policy;
    }

    /// The inner router.
    pub fn inner(&self) -> &D {
        &self.inner
    }

    /// Mutable access to the inner router.
    pub fn inner_mut(&mut self) -> &mut D {
        &mut self.inner
    }

    /// Counters since the layer was created.
    pub fn metrics(&self) -> LimitsMetrics {
        self.metrics
    }

    /// Number of times that the current circuit breakers of all routes have opened.
    pub fn breaker_openings(&self) -> u64 {
        self.routes.iter().map(|route| route.breaker_openings()).sum()
    }

    /// Whether a request still needs its final answer; `None` if the layer does not track it.
    pub fn is_open(&self, id: RequestId) -> Option<bool> {
        self.requests.get(&id).map(|request| !request.finished)
    }

    /// Number of tracked requests (open or with attempts in flight) and of attempts in flight.
    pub fn load(&self) -> (usize, u64) {
        (self.requests.len(), self.attempts_in_flight)
    }

    /// Describes remaining state, or `None` if there is none. Remaining state is a leak if no request is open.
    pub fn leaked_state(&self) -> Option<String> {
        let route_in_flight: u32 = self.routes.iter().map(|route| route.state.borrow().in_flight).sum();
        let (requests, in_flight, attempts) = (self.requests.len(), self.in_flight, self.attempts_in_flight);
        let idle = requests == 0 && in_flight == 0 && attempts == 0 && route_in_flight == 0;
        (!idle).then(|| {
            format!(
                "limits: {requests} requests tracked, {in_flight} in flight, {route_in_flight} in flight by route, \
                 {attempts} attempts in flight"
            )
        })
    }

    /// Passes an event to the router and applies the resulting actions.
    fn forward_to_router(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        let mut inner_actions = std::mem::take(&mut self.inner_actions);
        self.inner.handle(now, event, &mut inner_actions);
        for action in inner_actions.drain(..) {
            self.apply_action(now, action, actions);
        }
        self.inner_actions = inner_actions;
    }

    fn apply_action(&mut self, now: Micros, action: Action, actions: &mut Vec<Action>) {
        match action {
            Action::Send { id, server, give_up_at, begin_by } => {
                self.handle_send(now, RequestedAttempt { id, server, give_up_at, begin_by }, actions);
            }
            Action::Cancel { id, attempt } => self.handle_cancel(id, attempt, actions),
            Action::Reject { id, retry_after } => {
                let configured = self.requests.get(&id).and_then(|request| request.route.limits.retry_after);
                let retry_after = configured.unwrap_or(retry_after).min(self.settings.max_retry_after);
                actions.push(Action::Reject { id, retry_after });
                self.finish(id);
            }
            Action::Fail { id } => {
                actions.push(Action::Fail { id });
                self.finish(id);
            }
            Action::Timer { .. } | Action::Watch => actions.push(action),
        }
    }

    /// Reports the attempts that were not sent to the router.
    fn report_unsent(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(UnsentAttempt { id, attempt, outcome }) = self.unsent.pop_front() {
            let ended = Event::AttemptEnded { id, attempt, outcome, took: None };
            self.forward_to_router(now, ended, actions);
            self.remove_if_done(id);
        }
    }

    /// Applies an endpoint list or update. Resets the breakers of restarted servers and drops those of removed ones.
    fn on_endpoints(&mut self, endpoints: &[Endpoint], is_full_list: bool) {
        let changes = self.endpoints.update(endpoints, is_full_list);
        for route in &self.routes {
            let mut state = route.state.borrow_mut();
            for server in &changes.restarted {
                if let Some(breaker) = state.breakers.get_mut(server) {
                    breaker.reset();
                }
            }
            for server in &changes.removed {
                state.breakers.remove(server);
            }
        }
    }
}

impl<D: Decide> LimitsLayer<D> {
    /// The router's number of an attempt, which also counts attempts that were not sent. `None` if the attempt was never sent.
    fn router_number(&self, id: RequestId, attempt: u32) -> Option<u32> {
        match self.requests.get(&id) {
            Some(request) => request.index_of(attempt).map(|index| index as u32),
            // The layer does not track the request, so it has withheld none of its attempts.
            None => Some(attempt),
        }
    }
}

impl<D: Decide> Decide for LimitsLayer<D> {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(request) => self.on_arrival(now, request, actions),
            Event::Answered { id, attempt } => {
                let router_number = self.router_number(id, attempt);
                self.record_answer(now, id, attempt);
                self.finish(id);
                if let Some(attempt) = router_number {
                    self.forward_to_router(now, Event::Answered { id, attempt }, actions);
                }
            }
            Event::AttemptEnded { id, attempt, outcome, took } => {
                let end = AttemptEnd { id, number: attempt, outcome, took };
                self.on_attempt_end(now, end, actions);
                self.remove_if_done(id);
            }
            Event::ClientLeft(id) => {
                self.finish(id);
                self.forward_to_router(now, Event::ClientLeft(id), actions);
                self.remove_if_done(id);
            }
            Event::Timer(number) => match TimerToken::decode(number) {
                Some(token) => self.on_timer(now, token, actions),
                None => self.forward_to_router(now, event, actions),
            },
            Event::ReplyStarted { id, attempt, took, exclusive } => {
                let Some(attempt) = self.router_number(id, attempt) else { return };
                self.forward_to_router(now, Event::ReplyStarted { id, attempt, took, exclusive }, actions);
            }
            Event::ReplyBegun { id, attempt, took } => {
                let Some(attempt) = self.router_number(id, attempt) else { return };
                self.forward_to_router(now, Event::ReplyBegun { id, attempt, took }, actions);
            }
            Event::ReplyStalled { id, attempt, may_be_copy, keep_last_attempt } => {
                let Some(attempt) = self.router_number(id, attempt) else { return };
                if let Some(request) = self.requests.get_mut(&id) {
                    request.record_stall(attempt as usize);
                }
                let stalled = Event::ReplyStalled { id, attempt, may_be_copy, keep_last_attempt };
                self.forward_to_router(now, stalled, actions);
            }
            Event::ReplyInterrupted { id, attempt, begun } => {
                let Some(attempt) = self.router_number(id, attempt) else { return };
                if let Some(request) = self.requests.get_mut(&id).filter(|_| begun) {
                    request.deadline = continuation_deadline(now, request.deadline);
                }
                self.forward_to_router(now, Event::ReplyInterrupted { id, attempt, begun }, actions);
            }
            Event::EndpointList(endpoints) => {
                self.on_endpoints(endpoints, true);
                self.forward_to_router(now, event, actions);
            }
            Event::EndpointUpdate(endpoints) => {
                self.on_endpoints(endpoints, false);
                self.forward_to_router(now, event, actions);
            }
            Event::DiscoveryError | Event::HedgeGranted(_) | Event::AnswerNow(_) => {
                self.forward_to_router(now, event, actions);
            }
        }
        self.report_unsent(now, actions);
    }

    fn timer_request(&self, token: u64) -> Option<RequestId> {
        match TimerToken::decode(token) {
            Some(token) => Some(token.request()),
            None => self.inner.timer_request(token),
        }
    }

    fn group(&self, key: &[u8]) -> u32 {
        self.policy.group(key)
    }
}
