//! What the operators' file means: routes and their limits.

use crate::circuit_breaker::CircuitBreakerConfig;
use crate::concurrency_limiter::ConcurrencyBounds;
use crate::token_bucket::TokenBucketConfig;
use notchdoor::{Micros, Request};

/// Which requests a route takes. What is not said matches all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteMatch {
    /// The class, by its place in the settings.
    pub class: Option<u32>,
    /// The tenant, by its place in the settings.
    pub tenant: Option<u32>,
    /// How the key begins.
    pub prefix: Vec<u8>,
    /// Writes alone, or reads alone.
    pub write: Option<bool>,
}

impl RouteMatch {
    /// Whether a request is taken whose key begins so far as `prefix`, the longest that any route names.
    pub fn matches(&self, request: &Request, prefix: &[u8]) -> bool {
        self.class.is_none_or(|c| request.class == Some(c))
            && self.tenant.is_none_or(|t| request.tenant == Some(t))
            && self.write.is_none_or(|w| request.write == w)
            && prefix.starts_with(&self.prefix)
    }

    /// How specific it is: a longer prefix goes before a class, that before a tenant, that before read or write.
    pub fn specificity(&self) -> (usize, bool, bool, bool) {
        (self.prefix.len(), self.class.is_some(), self.tenant.is_some(), self.write.is_some())
    }

    /// Whether everything that `other` takes is taken here.
    pub fn covers(&self, other: &RouteMatch) -> bool {
        let covers_index = |a: Option<u32>, b: Option<u32>| a.is_none() || a == b;
        covers_index(self.class, other.class)
            && covers_index(self.tenant, other.tenant)
            && (self.write.is_none() || self.write == other.write)
            && other.prefix.starts_with(&self.prefix)
    }
}

/// A wait has reached any longest one after so many doublings.
const MAX_DOUBLINGS: u32 = 31;

/// Waits between attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backoff {
    /// Before the first retry; it doubles with each.
    pub initial: Micros,
    /// The longest.
    pub max: Micros,
    /// The share of a wait that is left to chance: a wait is from `(1 - jitter)` of it to the whole.
    pub jitter: f64,
}

impl Backoff {
    /// The longest wait before the `retry`-th retry, from 1.
    pub fn max_delay(&self, retry: u32) -> Micros {
        let doublings = retry.clamp(1, MAX_DOUBLINGS + 1) - 1;
        self.initial.saturating_mul(1 << doublings).min(self.max)
    }
}

/// Hedged requests: a second attempt of a read while the first is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Hedging {
    /// As the router does by itself.
    RouterDefault,
    /// None.
    Never,
    /// After this quantile of the route's own latency, for at most this ratio of its requests.
    AfterQuantile {
        /// The quantile, from 0 to 1.
        quantile: f64,
        /// The ratio, from 0 to 1.
        ratio: f64,
    },
}

/// What is retried after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// What the class allows.
    ByClass,
    /// Nothing.
    Never,
}

/// A limit on requests in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConcurrencyLimit {
    /// A fixed number.
    Fixed(u32),
    /// Between bounds, by the gradient of the latency.
    Adaptive(ConcurrencyBounds),
}

/// The limits of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteLimits {
    /// The longest that one attempt is waited for.
    pub attempt_timeout: Option<Micros>,
    /// The longest for the whole request.
    pub total_timeout: Option<Micros>,
    /// The most attempts; fetches and hedged requests are attempts.
    pub max_attempts: Option<u32>,
    /// Waits before retries.
    pub backoff: Option<Backoff>,
    /// Hedged requests.
    pub hedging: Hedging,
    /// What is retried.
    pub retry: RetryRule,
    /// The budget that retries come from, by its place among [`Policy::retry_budgets`].
    pub retry_budget: Option<usize>,
    /// The share of that budget's capacity that this route leaves to others.
    pub budget_reserve: f64,
    /// Requests in flight.
    pub concurrency: Option<ConcurrencyLimit>,
    /// When a server gets no attempts for a while.
    pub circuit_breaker: Option<CircuitBreakerConfig>,
    /// The share of [`Policy::max_in_flight`] that this route leaves to classes of a higher priority weight.
    pub reserved_capacity: f64,
    /// The retry-after of a rejection.
    pub retry_after: Option<Micros>,
}

impl Default for RouteLimits {
    fn default() -> Self {
        RouteLimits {
            attempt_timeout: None,
            total_timeout: None,
            max_attempts: None,
            backoff: None,
            hedging: Hedging::RouterDefault,
            retry: RetryRule::ByClass,
            retry_budget: None,
            budget_reserve: 0.0,
            concurrency: None,
            circuit_breaker: None,
            reserved_capacity: 0.0,
            retry_after: None,
        }
    }
}

impl RouteLimits {
    /// The longest that all attempts and the waits between them take.
    pub fn worst_case_duration(&self, default_max_attempts: u32) -> Option<Micros> {
        let attempts = self.max_attempts.unwrap_or(default_max_attempts);
        let waits: Micros = (1..attempts).map(|n| self.backoff.map_or(0, |b| b.max_delay(n))).sum();
        Some(self.attempt_timeout?.saturating_mul(u64::from(attempts)).saturating_add(waits))
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for messages and to keep its state over a reload.
    pub name: String,
    /// Which requests it takes.
    pub matcher: RouteMatch,
    /// Its limits.
    pub limits: RouteLimits,
}

/// A retry budget that routes share.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Its name; what it has saved up stays over a reload.
    pub name: String,
    /// What fills it.
    pub config: TokenBucketConfig,
}

/// A whole file, checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// The routes, most specific first; the last takes what no other does.
    pub routes: Vec<Route>,
    /// The retry budgets.
    pub retry_budgets: Vec<RetryBudget>,
    /// Requests in flight at this proxy over all routes.
    pub max_in_flight: Option<u32>,
    /// The share of the origin's window that each class may use, by its place in the settings.
    pub window_shares: Vec<f64>,
    /// The prefixes that routes name; a group's number is a place among them, from 1.
    prefixes: Vec<Vec<u8>>,
}

impl Policy {
    /// A policy of these routes, most specific first; the last takes what no other does.
    pub fn new(
        routes: Vec<Route>,
        retry_budgets: Vec<RetryBudget>,
        max_in_flight: Option<u32>,
        window_shares: Vec<f64>,
    ) -> Self {
        let mut prefixes: Vec<Vec<u8>> = routes.iter().map(|r| r.matcher.prefix.clone()).collect();
        prefixes.retain(|p| !p.is_empty());
        prefixes.sort();
        prefixes.dedup();
        Policy { routes, retry_budgets, max_in_flight, window_shares, prefixes }
    }

    /// The group of a key, for [`Request::group`]: the longest prefix that any route names and that it begins
    /// with, as its place among all prefixes, from 1; 0 for none.
    pub fn group(&self, key: &[u8]) -> u32 {
        let is_prefix = |(_, prefix): &(usize, &Vec<u8>)| key.starts_with(prefix);
        let longest =
            self.prefixes.iter().enumerate().filter(is_prefix).max_by_key(|(_, prefix)| prefix.len());
        longest.map_or(0, |(i, _)| i as u32 + 1)
    }

    /// The route of a request: its place. The last one takes everything.
    pub fn route_index(&self, request: &Request) -> usize {
        let prefix = match request.group.checked_sub(1) {
            Some(group) => self.prefixes.get(group as usize).map_or(&[][..], Vec::as_slice),
            None => &[],
        };
        let matches = |r: &Route| r.matcher.matches(request, prefix);
        self.routes.iter().position(matches).unwrap_or(self.routes.len().saturating_sub(1))
    }
}
