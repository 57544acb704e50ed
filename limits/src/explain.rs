//! Explains which route matches a request, the worst-case timeline of its attempts, and the route's limits.

use crate::policy::{ConcurrencyLimit, Hedging, Policy, RetryRule, Route, RouteMatch};
use crate::policy_file::{format_duration, PolicyContext};
use notchdoor::{Effect, Micros, Request};
use std::fmt;

/// The route that matches a request, and the routes before it that do not.
#[derive(Clone, Debug)]
pub struct SelectedRoute<'p> {
    /// The matching route.
    pub route: &'p Route,
    /// Routes with higher precedence that do not match, in order of precedence.
    pub skipped: Vec<SkippedRoute<'p>>,
}

/// A route that does not match a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SkippedRoute<'p> {
    /// Name of the route.
    pub name: &'p str,
    /// First condition that the request does not meet.
    pub reason: SkipReason,
}

/// Why a route does not match a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkipReason {
    /// The route is for another class.
    Class,
    /// The route is for another tenant.
    Tenant,
    /// The route matches only reads or only writes.
    Access,
    /// The route is for keys with another prefix.
    Prefix,
}

impl fmt::Display for SkippedRoute<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reason = match self.reason {
            SkipReason::Class => "matches another class",
            SkipReason::Tenant => "matches another tenant",
            SkipReason::Access => "matches the other access mode",
            SkipReason::Prefix => "matches another key prefix",
        };
        write!(f, "{}: {reason}", self.name)
    }
}

impl SkipReason {
    fn for_request(matcher: &RouteMatch, request: &Request) -> Self {
        if matcher.class.is_some() && matcher.class != request.class {
            SkipReason::Class
        } else if matcher.tenant.is_some() && matcher.tenant != request.tenant {
            SkipReason::Tenant
        } else if matcher.write.is_some_and(|write| write != request.write) {
            SkipReason::Access
        } else {
            SkipReason::Prefix
        }
    }
}

/// Finds the route that matches a request, and why the routes with higher precedence do not.
pub fn select_route<'p>(policy: &'p Policy, request: &Request) -> SelectedRoute<'p> {
    let index = policy.route_index(request);
    let skipped = policy.routes[..index]
        .iter()
        .map(|route| SkippedRoute {
            name: &route.name,
            reason: SkipReason::for_request(&route.matcher, request),
        })
        .collect();
    SelectedRoute { route: &policy.routes[index], skipped }
}

/// One step of a worst-case timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineStep {
    /// Time since the arrival of the request.
    pub at: Micros,
    /// Event at that time.
    pub event: TimelineEvent,
}

/// An event in a worst-case timeline.
#[derive(Clone, Debug, PartialEq)]
pub enum TimelineEvent {
    /// An attempt starts.
    Attempt {
        /// Number of the attempt, starting at 1.
        number: u32,
        /// Time since the arrival of the request at which the attempt times out.
        timeout_at: Micros,
    },
    /// A hedged request may be sent while the first attempt is in flight.
    Hedge {
        /// Quantile of the route's latency after which it is sent.
        quantile: f64,
        /// Maximum share of the route's requests that are hedged.
        ratio: f64,
    },
    /// No retry is sent because the previous attempt may have run.
    NoRetry,
    /// The latest time at which the client gets its final answer.
    FinalAnswer,
}

impl fmt::Display for TimelineEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            TimelineEvent::Attempt { number, timeout_at } => {
                let condition = if *number == 1 { "" } else { " (if the retry budget allows it)" };
                format!("attempt {number}, times out at {}{condition}", format_duration(*timeout_at))
            }
            TimelineEvent::Hedge { quantile, ratio } => format!(
                "hedged request once the attempt is slower than {:.1}% of this route's requests; at most {:.0}% of \
                 requests are hedged",
                quantile * 100.0,
                ratio * 100.0
            ),
            TimelineEvent::NoRetry => "no retry: the previous attempt may have run".to_owned(),
            TimelineEvent::FinalAnswer => "final answer at the latest".to_owned(),
        };
        f.write_str(&text)
    }
}

/// Returns the worst-case timeline of a request: every attempt times out and every backoff delay is the maximum.
/// `class` is an index into the settings, and `client_timeout` is how long the client waits.
pub fn worst_case_timeline(
    route: &Route,
    context: &PolicyContext,
    class: u32,
    client_timeout: Micros,
) -> Vec<TimelineStep> {
    let limits = &route.limits;
    let route_total = limits.total_timeout.unwrap_or(client_timeout);
    let total = route_total.min(client_timeout);
    // If the client waits less than the route's total timeout, attempt timeouts and backoff shrink in proportion.
    let time_scale = (client_timeout as f64 / route_total.max(1) as f64).min(1.0);
    let scale = |t: Micros| (t as f64 * time_scale) as Micros;
    let classes = &context.settings.classes;
    let effect = classes.get(class as usize).map_or(Effect::AtMostOnce, |class| class.effect);
    let may_retry = effect != Effect::AtMostOnce && limits.retry == RetryRule::ByClass;
    let attempts = limits.max_attempts.unwrap_or(context.settings.max_attempts);
    let mut steps = Vec::new();
    let mut at = 0;
    for number in 1..=attempts {
        if number > 1 {
            at += limits.backoff.map_or(0, |backoff| scale(backoff.max_delay(number - 1)));
        }
        if number > 1 && at >= total {
            break;
        }
        if number > 1 && !may_retry {
            steps.push(TimelineStep { at, event: TimelineEvent::NoRetry });
            break;
        }
        let timeout_at = limits.attempt_timeout.map_or(total, |timeout| (at + scale(timeout)).min(total));
        steps.push(TimelineStep { at, event: TimelineEvent::Attempt { number, timeout_at } });
        if let (1, Hedging::AfterQuantile { quantile, ratio }, Effect::Idempotent) =
            (number, limits.hedging, effect)
        {
            steps.push(TimelineStep { at, event: TimelineEvent::Hedge { quantile, ratio } });
        }
        at = timeout_at;
    }
    steps.push(TimelineStep { at: total, event: TimelineEvent::FinalAnswer });
    steps
}

/// Describes the limits of a route, one per line.
pub fn describe_limits(route: &Route, policy: &Policy) -> Vec<String> {
    let limits = &route.limits;
    let mut lines = Vec::new();
    if let Some(budget) = limits.retry_budget.and_then(|index| policy.retry_budgets.get(index)) {
        lines.push(format!(
            "retry budget '{}': {} tokens per request plus {} per second; {:.0}% of its capacity is reserved for other \
             routes",
            budget.name,
            budget.config.tokens_per_request,
            budget.config.tokens_per_s,
            limits.budget_reserve * 100.0
        ));
    }
    match limits.concurrency {
        Some(ConcurrencyLimit::Fixed(max)) => lines.push(format!("at most {max} requests in flight")),
        Some(ConcurrencyLimit::Adaptive(bounds)) => {
            lines.push(format!("{} to {} requests in flight, depending on latency", bounds.min, bounds.max));
        }
        None => {}
    }
    if let Some(breaker) = limits.circuit_breaker {
        lines.push(format!(
            "circuit breaker: opens for at least {} when {:.0}% of at least {} attempts within {} fail; closes after {} \
             successful probes in a row",
            format_duration(breaker.open_duration),
            breaker.failure_ratio * 100.0,
            breaker.min_attempts,
            format_duration(breaker.window),
            breaker.probes_to_close
        ));
    }
    if let Some(capacity) = policy.max_in_flight {
        let usable = f64::from(capacity) * (1.0 - limits.reserved_capacity);
        lines.push(format!(
            "rejected if more than {usable:.0} requests of all routes would be in flight on this proxy"
        ));
    }
    if let Some(retry_after) = limits.retry_after {
        lines.push(format!("Retry-After of rejections: {}", format_duration(retry_after)));
    }
    lines
}
