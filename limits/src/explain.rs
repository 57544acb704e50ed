//! Which route takes a request, and the timetable of its worst case.

use crate::file::{told, Facts};
use crate::policy::{Concurrency, Copies, Policy, Repeat, Route};
use notchdoor::{Effect, Micros, Request};

/// One step of a worst case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// When, from the request's arrival.
    pub at: Micros,
    /// What happens.
    pub what: String,
}

/// Which route takes a request of this class, tenant and key, and why not those before it.
pub fn route<'p>(policy: &'p Policy, request: &Request) -> (&'p Route, Vec<String>) {
    let n = policy.route(request);
    let passed = policy.routes[..n].iter().map(|r| {
        let why = match () {
            () if r.takes.class.is_some() && r.takes.class != request.class => "another class",
            () if r.takes.tenant.is_some() && r.takes.tenant != request.tenant => "another tenant",
            () if r.takes.write.is_some_and(|w| w != request.write) => "reads or writes alone",
            () => "another prefix",
        };
        format!("{}: {why}", r.name)
    });
    (&policy.routes[n], passed.collect())
}

/// The timetable of a request's worst case: every attempt times out, every wait is the longest.
pub fn timetable(route: &Route, facts: &Facts, class: u32, patience: Micros) -> Vec<Step> {
    let limits = &route.limits;
    let total = limits.total.unwrap_or(patience).min(patience);
    let nominal = limits.total.unwrap_or(patience).max(1);
    let shrink = (patience as f64 / nominal as f64).min(1.0);
    let scaled = |t: Micros| (t as f64 * shrink) as Micros;
    let effect = facts.settings.classes.get(class as usize).map_or(Effect::AtMostOnce, |c| c.effect);
    let attempts = limits.attempts.unwrap_or(facts.settings.max_attempts);
    let mut steps = Vec::new();
    let mut at = 0;
    let once = effect == Effect::AtMostOnce || limits.repeat == Repeat::Never;
    for n in 0..attempts {
        if n > 0 {
            let wait = limits.backoff.map_or(0, |b| scaled(b.longest(n)));
            at += wait;
            if at >= total {
                break;
            }
            if once {
                steps.push(Step { at, what: "no repeat: the attempt before may have run".to_owned() });
                break;
            }
        }
        let end = limits.attempt.map_or(total, |a| (at + scaled(a)).min(total));
        let of = if n == 0 { String::new() } else { ", if the budget allows it".to_owned() };
        steps.push(Step { at, what: format!("attempt {}, given up at {}{of}", n + 1, told(end)) });
        if let (0, Copies::After { quantile, share }, Effect::Idempotent) = (n, limits.copies, effect) {
            let what = format!(
                "a second copy once it takes longer than {:.1}% of this route's requests, for {:.0}% at most",
                quantile * 100.0,
                share * 100.0
            );
            steps.push(Step { at, what });
        }
        at = end;
        if at >= total {
            break;
        }
    }
    steps.push(Step { at: total, what: "final answer at the latest".to_owned() });
    steps
}

/// The limits of a route in words, one a line.
pub fn limits(route: &Route, policy: &Policy) -> Vec<String> {
    let l = &route.limits;
    let mut lines = Vec::new();
    if let Some(b) = l.budget.and_then(|b| policy.budgets.get(b)) {
        lines.push(format!(
            "repeats from budget '{}': {} for each request and {} a second, {:.0}% of it left to others",
            b.0,
            b.1.share,
            b.1.floor_per_s,
            l.leave * 100.0
        ));
    }
    match l.concurrency {
        Some(Concurrency::Fixed(n)) => lines.push(format!("at most {n} in flight")),
        Some(Concurrency::Adaptive(b)) => {
            lines.push(format!("{} to {} in flight, by latency", b.least, b.most))
        }
        None => {}
    }
    if let Some(b) = l.breaker {
        lines.push(format!("a server is left alone for {} once {:.0}% of {} or more attempts within {} fail, and comes back after {} good trials", told(b.open), b.failures * 100.0, b.least, told(b.window), b.trials));
    }
    if let Some(room) = policy.room {
        lines.push(format!(
            "refused while more than {:.0} are in flight in all",
            f64::from(room) * (1.0 - l.keep_free)
        ));
    }
    if let Some(t) = l.retry_after {
        lines.push(format!("refusals say: come back in {}", told(t)));
    }
    lines
}
