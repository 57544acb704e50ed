//! Which route takes a request, and the timetable of its worst case.

use crate::policy::{ConcurrencyLimit, Hedging, Policy, RetryRule, Route, RouteMatch};
use crate::policy_file::{format_duration, PolicyContext};
use notchdoor::{Effect, Micros, Request};
use std::fmt;

/// The route that takes a request, and those that were passed over.
#[derive(Clone, Debug)]
pub struct SelectedRoute<'p> {
    /// The route.
    pub route: &'p Route,
    /// The more specific ones that do not take it.
    pub skipped: Vec<SkippedRoute<'p>>,
}

/// A route that does not take a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SkippedRoute<'p> {
    /// Its name.
    pub name: &'p str,
    /// What it takes instead.
    pub reason: SkipReason,
}

/// Why a route does not take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkipReason {
    /// It is for another class.
    Class,
    /// It is for another tenant.
    Tenant,
    /// It takes reads alone, or writes alone.
    Access,
    /// It is for keys that begin otherwise.
    Prefix,
}

impl fmt::Display for SkippedRoute<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reason = match self.reason {
            SkipReason::Class => "another class",
            SkipReason::Tenant => "another tenant",
            SkipReason::Access => "reads or writes alone",
            SkipReason::Prefix => "another prefix",
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

/// Which route takes a request of this class, tenant and key, and why not those before it.
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

/// One step of a worst case.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineStep {
    /// When, from the request's arrival.
    pub at: Micros,
    /// What happens.
    pub event: TimelineEvent,
}

/// What happens in a worst case.
#[derive(Clone, Debug, PartialEq)]
pub enum TimelineEvent {
    /// An attempt begins.
    Attempt {
        /// Its number, from 1.
        number: u32,
        /// When it is given up.
        timeout_at: Micros,
    },
    /// A hedged request may be sent.
    Hedge {
        /// After this quantile of the route's latency.
        quantile: f64,
        /// For at most this ratio of its requests.
        ratio: f64,
    },
    /// No retry is sent, as the attempt before may have run.
    NoRetry,
    /// The final answer is there at the latest.
    FinalAnswer,
}

impl fmt::Display for TimelineEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            TimelineEvent::Attempt { number, timeout_at } => {
                let condition = if *number == 1 { "" } else { ", if the budget allows it" };
                format!("attempt {number}, given up at {}{condition}", format_duration(*timeout_at))
            }
            TimelineEvent::Hedge { quantile, ratio } => format!(
                "a second copy once it takes longer than {:.1}% of this route's requests, for {:.0}% at most",
                quantile * 100.0,
                ratio * 100.0
            ),
            TimelineEvent::NoRetry => "no repeat: the attempt before may have run".to_owned(),
            TimelineEvent::FinalAnswer => "final answer at the latest".to_owned(),
        };
        f.write_str(&text)
    }
}

/// The timetable of a request's worst case: every attempt times out, every wait is the longest.
pub fn worst_case_timeline(
    route: &Route,
    context: &PolicyContext,
    class: u32,
    client_timeout: Micros,
) -> Vec<TimelineStep> {
    let limits = &route.limits;
    let route_total = limits.total_timeout.unwrap_or(client_timeout);
    let total = route_total.min(client_timeout);
    // A client that waits less than the route's time has its attempts and waits shortened in proportion.
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

/// The limits of a route in words, one a line.
pub fn describe_limits(route: &Route, policy: &Policy) -> Vec<String> {
    let limits = &route.limits;
    let mut lines = Vec::new();
    if let Some(budget) = limits.retry_budget.and_then(|index| policy.retry_budgets.get(index)) {
        lines.push(format!(
            "repeats from budget '{}': {} for each request and {} a second, {:.0}% of it left to others",
            budget.name,
            budget.config.tokens_per_request,
            budget.config.tokens_per_s,
            limits.budget_reserve * 100.0
        ));
    }
    match limits.concurrency {
        Some(ConcurrencyLimit::Fixed(max)) => lines.push(format!("at most {max} in flight")),
        Some(ConcurrencyLimit::Adaptive(bounds)) => {
            lines.push(format!("{} to {} in flight, by latency", bounds.min, bounds.max));
        }
        None => {}
    }
    if let Some(breaker) = limits.circuit_breaker {
        lines.push(format!(
            "a server is left alone for {} once {:.0}% of {} or more attempts within {} fail, and comes back after {} \
             good trials",
            format_duration(breaker.open_duration),
            breaker.failure_ratio * 100.0,
            breaker.min_attempts,
            format_duration(breaker.window),
            breaker.probes_to_close
        ));
    }
    if let Some(capacity) = policy.max_in_flight {
        let usable = f64::from(capacity) * (1.0 - limits.reserved_capacity);
        lines.push(format!("refused while more than {usable:.0} are in flight in all"));
    }
    if let Some(retry_after) = limits.retry_after {
        lines.push(format!("refusals say: come back in {}", format_duration(retry_after)));
    }
    lines
}
