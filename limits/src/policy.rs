//! The typed policy: routes and their limits. Built by [`crate::policy_file`].

use crate::circuit_breaker::CircuitBreakerConfig;
use crate::concurrency_limiter::ConcurrencyBounds;
use crate::token_bucket::TokenBucketConfig;
use notchdoor::{Micros, Request};

/// Conditions that a request must meet to match a route. An unset condition matches every request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteMatch {
    /// Index of the class in the settings.
    pub class: Option<u32>,
    /// Index of the tenant in the settings.
    pub tenant: Option<u32>,
    /// Prefix of the key; empty matches every key.
    pub prefix: Vec<u8>,
    /// `Some(true)` matches only writes, `Some(false)` only reads.
    pub write: Option<bool>,
}

impl RouteMatch {
    /// Whether the request matches. `prefix` is the longest configured prefix of the request's key.
    pub fn matches(&self, request: &Request, prefix: &[u8]) -> bool {
        self.class.is_none_or(|c| request.class == Some(c))
            && self.tenant.is_none_or(|t| request.tenant == Some(t))
            && self.write.is_none_or(|w| request.write == w)
            && prefix.starts_with(&self.prefix)
    }

    /// Sort key for route precedence: a longer prefix is the most significant, then a class, a tenant and an access
    /// mode.
    pub fn specificity(&self) -> (usize, bool, bool, bool) {
        (self.prefix.len(), self.class.is_some(), self.tenant.is_some(), self.write.is_some())
    }

    /// Whether every request that matches `other` also matches this.
    pub fn covers(&self, other: &RouteMatch) -> bool {
        let covers_index = |a: Option<u32>, b: Option<u32>| a.is_none() || a == b;
        covers_index(self.class, other.class)
            && covers_index(self.tenant, other.tenant)
            && (self.write.is_none() || self.write == other.write)
            && other.prefix.starts_with(&self.prefix)
    }
}

/// Limit on the exponent of the backoff. Any initial delay has reached its maximum by then.
const MAX_DOUBLINGS: u32 = 31;

/// Exponential backoff between attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backoff {
    /// Delay before the first retry. It doubles with each further retry.
    pub initial: Micros,
    /// Upper bound of the delay.
    pub max: Micros,
    /// Random share of the delay, from 0 to 1. The actual delay is between `1 - jitter` times the delay and the full
    /// delay.
    pub jitter: f64,
}

impl Backoff {
    /// Delay before retry number `retry`, starting at 1, before jitter reduces it.
    pub fn max_delay(&self, retry: u32) -> Micros {
        let doublings = retry.clamp(1, MAX_DOUBLINGS + 1) - 1;
        self.initial.saturating_mul(1 << doublings).min(self.max)
    }
}

/// Whether a second attempt of a read may be sent while the first is in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Hedging {
    /// Keep the router's own behaviour.
    RouterDefault,
    /// Send no hedged requests.
    Never,
    /// Send a hedged request once the first attempt is slower than a quantile of the route's latency.
    AfterQuantile {
        /// Latency quantile, from 0 to 1.
        quantile: f64,
        /// Maximum share of the route's requests that are hedged, from 0 to 1.
        ratio: f64,
    },
}

/// Whether a request is retried after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// Retry if the class's effect allows it.
    ByClass,
    /// Do not retry.
    Never,
}

/// Limit on a route's requests in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConcurrencyLimit {
    /// Fixed limit.
    Fixed(u32),
    /// Limit that adapts to latency within bounds.
    Adaptive(ConcurrencyBounds),
}

/// Limits of a route. A limit that is `None` leaves the router's own behaviour unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteLimits {
    /// Timeout of one attempt.
    pub attempt_timeout: Option<Micros>,
    /// Timeout of the whole request.
    pub total_timeout: Option<Micros>,
    /// Maximum number of attempts, including fetches from the origin and hedged requests.
    pub max_attempts: Option<u32>,
    /// Delays before retries.
    pub backoff: Option<Backoff>,
    /// Whether and when hedged requests are sent.
    pub hedging: Hedging,
    /// Whether attempts that may have run are retried.
    pub retry: RetryRule,
    /// Index in [`Policy::retry_budgets`] of the budget that retries are taken from.
    pub retry_budget: Option<usize>,
    /// Share of that budget's capacity that this route leaves to other routes.
    pub budget_reserve: f64,
    /// Limit on the route's requests in flight.
    pub concurrency: Option<ConcurrencyLimit>,
    /// Settings of the circuit breakers, one for each server.
    pub circuit_breaker: Option<CircuitBreakerConfig>,
    /// Share of [`Policy::max_in_flight`] that this route leaves to classes with a higher priority weight.
    pub reserved_capacity: f64,
    /// Retry-After of rejections. If `None`, the layer or the router chooses one.
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
    /// Maximum duration of all attempts and the delays between them, or `None` without an attempt timeout.
    pub fn worst_case_duration(&self, default_max_attempts: u32) -> Option<Micros> {
        let attempts = self.max_attempts.unwrap_or(default_max_attempts);
        let total_backoff: Micros = (1..attempts).map(|n| self.backoff.map_or(0, |b| b.max_delay(n))).sum();
        Some(self.attempt_timeout?.saturating_mul(u64::from(attempts)).saturating_add(total_backoff))
    }
}

/// A route: which requests it matches, and their limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique name. It appears in messages, and a route keeps its state across reloads under it.
    pub name: String,
    /// Requests that the route matches.
    pub matcher: RouteMatch,
    /// Limits of these requests.
    pub limits: RouteLimits,
}

/// A retry budget shared by routes.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Unique name. A budget keeps its tokens across reloads under it.
    pub name: String,
    /// Refill rates.
    pub config: TokenBucketConfig,
}

/// A complete, validated policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Routes, most specific first. The last one matches every request.
    pub routes: Vec<Route>,
    /// Retry budgets; routes refer to them by index.
    pub retry_budgets: Vec<RetryBudget>,
    /// Limit on this proxy's requests in flight over all routes.
    pub max_in_flight: Option<u32>,
    /// Share of the origin's congestion window that each class may use, in the order of the settings' classes.
    pub window_shares: Vec<f64>,
    /// Distinct prefixes of all routes, sorted. Group number `n` stands for the prefix at index `n - 1`.
    prefixes: Vec<Vec<u8>>,
}

impl Policy {
    /// Creates a policy. `routes` must be sorted most specific first, and the last one must match every request.
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

    /// Returns the group number for [`Request::group`]: 1 plus the index of the longest configured prefix of the key,
    /// or 0 if no prefix matches.
    pub fn group(&self, key: &[u8]) -> u32 {
        let is_prefix = |(_, prefix): &(usize, &Vec<u8>)| key.starts_with(prefix);
        let longest =
            self.prefixes.iter().enumerate().filter(is_prefix).max_by_key(|(_, prefix)| prefix.len());
        longest.map_or(0, |(i, _)| i as u32 + 1)
    }

    /// Index of the first route that matches the request, which is the most specific one.
    pub fn route_index(&self, request: &Request) -> usize {
        let prefix = match request.group.checked_sub(1) {
            Some(group) => self.prefixes.get(group as usize).map_or(&[][..], Vec::as_slice),
            None => &[],
        };
        let matches = |r: &Route| r.matcher.matches(request, prefix);
        self.routes.iter().position(matches).unwrap_or(self.routes.len().saturating_sub(1))
    }
}
