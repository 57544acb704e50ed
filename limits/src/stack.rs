//! The decisions as a host drives them: the router alone, or with the layer of limits round it.

use crate::layer::LimitsLayer;
use crate::policy::Policy;
use notchdoor::{Action, Decide, Event, InFlight, Micros, RequestId, Router, Settings};
use std::sync::Arc;

/// The decisions of one proxy. Hosts do not know which layers are on.
pub enum Stack {
    /// The router alone.
    Plain(Box<Router>),
    /// The router with limits round it.
    Limited(Box<LimitsLayer<Router>>),
}

/// The settings of the router under a policy: those of the deployment, changed where the policy says so.
pub fn router_settings(settings: &Settings, policy: &Policy) -> Settings {
    let mut settings = settings.clone();
    for (class, share) in settings.classes.iter_mut().zip(&policy.window_shares) {
        class.window_share = *share;
    }
    settings
}

impl Stack {
    /// The stack for a policy, or for none.
    pub fn new(settings: Settings, policy: Option<Arc<Policy>>, seed: u64, now: Micros) -> Self {
        match policy {
            None => Stack::Plain(Box::new(Router::new(settings, seed, now))),
            Some(policy) => {
                let router = Router::new(router_settings(&settings, &policy), seed, now);
                Stack::Limited(Box::new(LimitsLayer::new(router, settings, policy, seed, now)))
            }
        }
    }

    /// Takes up another policy; requests that are open keep the limits they began with. False if that takes a
    /// restart: the stack began without a policy, or is to go on without one.
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

    /// The router, at the heart of it.
    pub fn router(&self) -> &Router {
        match self {
            Stack::Plain(router) => router,
            Stack::Limited(limits) => limits.inner(),
        }
    }

    /// Requests held and attempts out, as the outermost layer counts them.
    pub fn load(&self) -> (usize, u64) {
        match self {
            Stack::Plain(router) => {
                let in_flight = router.in_flight();
                (in_flight.requests, in_flight.attempts)
            }
            Stack::Limited(limits) => limits.load(),
        }
    }

    /// What is still kept that should be gone once every request is over.
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
