//! The decision stack that a host drives: the router alone or wrapped in the limits layer.

use crate::layer::LimitsLayer;
use crate::policy::Policy;
use notchdoor::{Action, Decide, Event, InFlight, Micros, RequestId, Router, Settings};
use std::sync::Arc;

/// Decision logic of one proxy. Hosts use it the same way whether or not limits are enabled.
pub enum Stack {
    /// The router without limits.
    Plain(Box<Router>),
    /// The router wrapped in the limits layer.
    Limited(Box<LimitsLayer<Router>>),
}

/// Returns the deployment's settings with the policy's window shares applied, for the router inside the limits layer.
pub fn router_settings(settings: &Settings, policy: &Policy) -> Settings {
    let mut settings = settings.clone();
    for (class, share) in settings.classes.iter_mut().zip(&policy.window_shares) {
        class.window_share = *share;
    }
    settings
}

impl Stack {
    /// Creates a stack with limits if there is a policy, and without limits otherwise.
    pub fn new(settings: Settings, policy: Option<Arc<Policy>>, seed: u64, now: Micros) -> Self {
        match policy {
            None => Stack::Plain(Box::new(Router::new(settings, seed, now))),
            Some(policy) => {
                let router = Router::new(router_settings(&settings, &policy), seed, now);
                Stack::Limited(Box::new(LimitsLayer::new(router, settings, policy, seed, now)))
            }
        }
    }

    /// Replaces the policy; open requests keep the limits that they started with. Returns false if the change requires
    /// a restart, because it would add limits to a stack without them or remove them.
    pub fn reload(&mut self, policy: Option<Arc<Policy>>, now: Micros) -> bool {
        match (self, policy) {
            (Stack::Limited(limits), Some(policy)) => {
                limits.reload(policy, now);
                true
            }
            (Stack::Plain(_), None) => true,
            _ => false,
        }
    }

    /// The router inside the stack.
    pub fn router(&self) -> &Router {
        match self {
            Stack::Plain(router) => router,
            Stack::Limited(limits) => limits.inner(),
        }
    }

    /// Whether a request still needs its final answer. `Err` if layer and router disagree.
    pub fn is_open(&self, id: RequestId) -> Result<bool, String> {
        let by_router = self.router().is_open(id);
        let by_layer = match self {
            Stack::Plain(_) => None,
            Stack::Limited(limits) => limits.is_open(id),
        };
        match by_layer {
            Some(by_layer) if by_layer != by_router => {
                Err(format!("request {id} is awaited by the layer: {by_layer}, by the router: {by_router}"))
            }
            _ => Ok(by_router),
        }
    }

    /// Number of tracked requests and of attempts in flight, as counted by the outermost layer.
    pub fn load(&self) -> (usize, u64) {
        match self {
            Stack::Plain(router) => {
                let in_flight = router.in_flight();
                (in_flight.requests, in_flight.attempts)
            }
            Stack::Limited(limits) => limits.load(),
        }
    }

    /// Describes state that remains after all requests have finished, or `None` if there is none. Meant for tests and
    /// leak checks while no request is open.
    pub fn leaked_state(&self) -> Option<String> {
        let snapshot = self.router().snapshot();
        let in_flight = self.router().in_flight();
        let idle = snapshot.in_flight_requests == 0
            && snapshot.in_flight_attempts == 0
            && snapshot.coalesced_fetches == 0
            && in_flight == InFlight::default();
        let layer = match self {
            Stack::Plain(_) => None,
            Stack::Limited(limits) => limits.leaked_state(),
        };
        layer.or_else(|| (!idle).then(|| format!("{snapshot:?}")))
    }
}

impl Decide for Stack {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match self {
            Stack::Plain(router) => router.handle(now, event, actions),
            Stack::Limited(limits) => limits.handle(now, event, actions),
        }
    }

    fn timer_request(&self, token: u64) -> Option<RequestId> {
        match self {
            Stack::Plain(_) => Router::timer_request(token),
            Stack::Limited(limits) => limits.timer_request(token),
        }
    }

    fn group(&self, key: &[u8]) -> u32 {
        match self {
            Stack::Plain(_) => 0,
            Stack::Limited(limits) => limits.group(key),
        }
    }
}
