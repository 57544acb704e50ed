//! An active route: its limits and the state that its requests share.

use crate::circuit_breaker::CircuitBreaker;
use crate::concurrency_limiter::ConcurrencyLimiter;
use crate::latency_quantile::LatencyQuantile;
use crate::policy::{ConcurrencyLimit, Hedging, Route, RouteLimits};
use crate::token_bucket::{TokenBucket, TokenBucketConfig};
use notchdoor::{Micros, ServerId};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;

/// Latency quantile tracked for a route without hedging; used for the Retry-After of rejections.
const DEFAULT_LATENCY_QUANTILE: f64 = 0.95;

/// State of a route, kept across reloads.
pub(super) struct RouteState {
    pub(super) in_flight: u32,
    pub(super) limiter: Option<ConcurrencyLimiter>,
    pub(super) latency: LatencyQuantile,
    pub(super) hedge_budget: TokenBucket,
    pub(super) breakers: FxHashMap<ServerId, CircuitBreaker>,
}

/// A route as referenced by its requests: the limits at the time of their arrival and the shared state.
pub(super) struct ActiveRoute {
    pub(super) name: String,
    pub(super) limits: RouteLimits,
    pub(super) state: Rc<RefCell<RouteState>>,
}

impl ActiveRoute {
    /// Creates a route. `previous` is the state of the route of the same name before a reload.
    pub(super) fn new(route: &Route, previous: Option<Rc<RefCell<RouteState>>>, now: Micros) -> Self {
        let limits = route.limits.clone();
        let (quantile, ratio) = match limits.hedging {
            Hedging::AfterQuantile { quantile, ratio } => (quantile, ratio),
            Hedging::RouterDefault | Hedging::Never => (DEFAULT_LATENCY_QUANTILE, 0.0),
        };
        let hedge_budget = TokenBucketConfig { tokens_per_request: ratio, tokens_per_s: 0.0 };
        let state = previous.unwrap_or_else(|| {
            Rc::new(RefCell::new(RouteState {
                in_flight: 0,
                limiter: None,
                latency: LatencyQuantile::new(quantile),
                hedge_budget: TokenBucket::new(hedge_budget, now),
                breakers: FxHashMap::default(),
            }))
        });
        state.borrow_mut().reconfigure(&limits, quantile, hedge_budget);
        ActiveRoute { name: route.name.clone(), limits, state }
    }

    /// Allows another probe of a server after a probe that was not sent.
    pub(super) fn release_probe(&self, server: ServerId) {
        if let Some(breaker) = self.state.borrow_mut().breakers.get_mut(&server) {
            breaker.release_probe();
        }
    }

    pub(super) fn breaker_openings(&self) -> u64 {
        self.state.borrow().breakers.values().map(CircuitBreaker::times_opened).sum()
    }
}

impl RouteState {
    fn reconfigure(&mut self, limits: &RouteLimits, quantile: f64, hedge_budget: TokenBucketConfig) {
        self.latency.reconfigure(quantile);
        self.hedge_budget.reconfigure(hedge_budget);
        match (limits.concurrency, &mut self.limiter) {
            (Some(ConcurrencyLimit::Adaptive(bounds)), Some(limiter)) => limiter.reconfigure(bounds),
            (Some(ConcurrencyLimit::Adaptive(bounds)), none) => *none = Some(ConcurrencyLimiter::new(bounds)),
            (_, limiter) => *limiter = None,
        }
        match limits.circuit_breaker {
            Some(config) => self.breakers.values_mut().for_each(|breaker| breaker.reconfigure(config)),
            None => self.breakers.clear(),
        }
    }

    /// Current limit on the route's requests in flight.
    pub(super) fn max_in_flight(&self, limits: &RouteLimits) -> u32 {
        match limits.concurrency {
            None => u32::MAX,
            Some(ConcurrencyLimit::Fixed(max)) => max,
            Some(ConcurrencyLimit::Adaptive(_)) => {
                self.limiter.as_ref().map_or(u32::MAX, ConcurrencyLimiter::limit)
            }
        }
    }

    pub(super) fn open_breakers(&self) -> usize {
        self.breakers.values().filter(|breaker| !breaker.is_closed()).count()
    }

    /// Records the latency of a successful request.
    pub(super) fn record_success(&mut self, latency: Micros) {
        self.latency.record(latency);
        if let Some(limiter) = &mut self.limiter {
            limiter.record_success(latency as f64, self.in_flight);
        }
    }
}
