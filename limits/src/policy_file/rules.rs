//! Validates a policy against the platform's rules on client deadlines, idempotency, and the load on the origin and on
//! cold backends.

use super::reader::Reader;
use super::sections::RouteEntry;
use super::{format_duration, PolicyContext};
use crate::policy::{Hedging, RetryRule, RouteLimits, RouteMatch};
use notchdoor::{Class, Effect, Micros, Scope, Settings};
use std::ops::Range;

/// A breaker's `slow_after` must be at least the class's latency objective divided by this.
const SLOW_AFTER_DIVISOR: u64 = 4;
/// A total timeout must be at least the class's latency objective divided by this.
const TOTAL_TIMEOUT_DIVISOR: u64 = 10;
/// An attempt timeout must be at least the class's latency objective divided by this.
const ATTEMPT_TIMEOUT_DIVISOR: u64 = 20;
/// Reads need one attempt at a backend and, after a cache miss, one at the origin.
const MIN_READ_ATTEMPTS: u32 = 2;
const MILLISECOND: Micros = 1_000;

/// Checks that involve all routes of a policy.
pub(super) struct RuleChecks<'c> {
    pub(super) context: &'c PolicyContext,
    /// Routes, most specific first; the default route is last.
    pub(super) routes: &'c [RouteEntry],
}

/// Where a field that applies to a route is set in the file.
struct FieldLocation {
    span: Range<usize>,
    path: String,
    /// Suffix of the message if the field is inherited, else empty.
    inherited_note: String,
}

impl RuleChecks<'_> {
    pub(super) fn run(&self, reader: &mut Reader<'_>) {
        for (index, entry) in self.routes.iter().enumerate() {
            self.check_reachable(reader, index);
            for class in 0..self.context.classes.len() {
                if self.can_match_class(index, class as u32) {
                    self.class_checks(entry, class).run(reader);
                }
            }
        }
    }

    /// Whether requests of this class can match this route, because no earlier route covers all of them.
    fn can_match_class(&self, index: usize, class: u32) -> bool {
        let matcher = &self.routes[index].route.matcher;
        if matcher.class.is_some_and(|own| own != class) {
            return false;
        }
        !self.covered_by_earlier(index, &RouteMatch { class: Some(class), ..matcher.clone() })
    }

    /// Whether one earlier route matches every request that `matcher` matches.
    fn covered_by_earlier(&self, index: usize, matcher: &RouteMatch) -> bool {
        self.routes[..index].iter().any(|earlier| earlier.route.matcher.covers(matcher))
    }

    fn check_reachable(&self, reader: &mut Reader<'_>, index: usize) {
        // The default route may be unreachable.
        if index + 1 == self.routes.len() {
            return;
        }
        let entry = &self.routes[index];
        let matcher = &entry.route.matcher;
        let duplicate = self.routes[..index].iter().find(|earlier| earlier.route.matcher == *matcher);
        if let Some(duplicate) = duplicate {
            let name = &duplicate.route.name;
            let message = format!(
                "matches the same requests as route '{name}' and is never used; merge the two routes"
            );
            return self.report(reader, entry, "name", &message);
        }
        // Two earlier routes, one for reads and one for writes, can cover this route together.
        let with_access = |write| RouteMatch { write: Some(write), ..matcher.clone() };
        let both_covered =
            || [true, false].into_iter().all(|write| self.covered_by_earlier(index, &with_access(write)));
        if matcher.write.is_none() && both_covered() {
            let message =
                "is never used: earlier routes for reads and for writes match all of its requests; remove it";
            self.report(reader, entry, "name", message);
        }
    }

    fn class_checks<'r>(&'r self, entry: &'r RouteEntry, class: usize) -> ClassChecks<'r> {
        let settings = &self.context.settings;
        let limits = &entry.route.limits;
        let deadline = self.context.deadlines[class];
        ClassChecks {
            rules: self,
            entry,
            limits,
            settings,
            class: &settings.classes[class],
            class_name: &self.context.classes[class],
            deadline,
            max_attempts: limits.max_attempts.unwrap_or(settings.max_attempts),
            time_limit: limits.total_timeout.unwrap_or(deadline),
        }
    }

    fn report(&self, reader: &mut Reader<'_>, entry: &RouteEntry, field: &str, message: &str) {
        let location = self.locate_field(entry, field);
        reader.report(&location.span, location.path, format!("{message}{}", location.inherited_note));
    }

    /// Location of a field in the route, or else in the default route that it inherits from, or else of the route.
    fn locate_field(&self, entry: &RouteEntry, field: &str) -> FieldLocation {
        let find_span = |entry: &RouteEntry| {
            entry.fields.iter().find(|given| given.key == field).map(|given| given.span.clone())
        };
        let default_path = format!("default.{field}");
        let name = &entry.route.name;
        let own_path =
            if entry.is_default() { default_path.clone() } else { format!("route.{name}.{field}") };
        if let Some(span) = find_span(entry) {
            return FieldLocation { span, path: own_path, inherited_note: String::new() };
        }
        match self.routes.last().and_then(find_span) {
            Some(span) => {
                let inherited_note = format!(" (inherited by route '{name}')");
                FieldLocation { span, path: default_path, inherited_note }
            }
            None => FieldLocation { span: entry.span.clone(), path: own_path, inherited_note: String::new() },
        }
    }
}

/// Checks of one route against one class of requests that it can match.
struct ClassChecks<'r> {
    rules: &'r RuleChecks<'r>,
    entry: &'r RouteEntry,
    limits: &'r RouteLimits,
    settings: &'r Settings,
    class: &'r Class,
    /// Name of the class.
    class_name: &'r str,
    /// How long clients of the class wait.
    deadline: Micros,
    max_attempts: u32,
    /// The route's total timeout, or else the deadline.
    time_limit: Micros,
}

impl ClassChecks<'_> {
    fn run(&self, reader: &mut Reader<'_>) {
        self.check_hedging(reader);
        self.check_schedule(reader);
        self.check_dedup_window(reader);
        self.check_read_attempts(reader);
        self.check_slow_after(reader);
        self.check_timeouts_against_objective(reader);
        self.check_reserved_capacity(reader);
    }

    fn report(&self, reader: &mut Reader<'_>, field: &str, message: &str) {
        self.rules.report(reader, self.entry, field, message);
    }

    /// Requests that must not run twice must not be hedged.
    fn check_hedging(&self, reader: &mut Reader<'_>) {
        if !matches!(self.limits.hedging, Hedging::AfterQuantile { .. }) {
            return;
        }
        let name = self.class_name;
        let advice = "set copies = \"never\"";
        let message = match self.class.effect {
            Effect::AtMostOnce => format!(
                "hedged requests are not allowed for class '{name}', which must not run twice (rule 2); {advice} in a \
                 route for it"
            ),
            Effect::Deduplicated { scope, .. } if scope != Scope::All => format!(
                "hedged requests are not allowed for class '{name}', whose repeats are dropped only within one zone or \
                 cell (rule 2); {advice} in a route for it"
            ),
            _ if !self.settings.hedging => {
                format!("the settings disable hedged requests; {advice}")
            }
            _ => return,
        };
        self.report(reader, "copies", &message);
    }

    /// All attempts and the delays between them must end before the request times out. Reports only the first violation.
    fn check_schedule(&self, reader: &mut Reader<'_>) {
        if self.limits.total_timeout.is_some_and(|total| total > self.deadline) {
            return self.report_total_beyond_deadline(reader);
        }
        let Some(backoff) = self.limits.backoff else {
            return self.check_worst_case(reader, 0);
        };
        let total_backoff: Micros = (1..self.max_attempts).map(|retry| backoff.max_delay(retry)).sum();
        if self.limits.attempt_timeout.is_some() {
            return self.check_worst_case(reader, total_backoff);
        }
        if total_backoff >= self.time_limit {
            let suggested = self.time_limit / u64::from(self.max_attempts) / 2;
            let message = format!(
                "the delays before the retries of class '{}' alone add up to {}, but its requests time out after {} \
                 (rule 1); use most = \"{}\"",
                self.class_name,
                format_duration(total_backoff),
                format_duration(self.time_limit),
                format_duration(suggested)
            );
            self.report(reader, "backoff", &message);
        }
    }

    fn report_total_beyond_deadline(&self, reader: &mut Reader<'_>) {
        let deadline = format_duration(self.deadline);
        let message = format!(
            "{} is longer than clients of class '{}' wait, which is {deadline} (rule 1); use at most \"{deadline}\"",
            format_duration(self.time_limit),
            self.class_name
        );
        self.report(reader, "total", &message);
    }

    fn check_worst_case(&self, reader: &mut Reader<'_>, total_backoff: Micros) {
        let time_limit = self.time_limit.min(self.deadline);
        let Some(worst_case) =
            self.limits.worst_case_duration(self.max_attempts).filter(|worst| *worst > time_limit)
        else {
            return;
        };
        let suggested = time_limit.saturating_sub(total_backoff) / u64::from(self.max_attempts);
        let suggested = suggested / MILLISECOND * MILLISECOND;
        let advice = if suggested >= MILLISECOND {
            format!("use attempt = \"{}\"", format_duration(suggested))
        } else {
            "use a shorter backoff or fewer attempts".to_owned()
        };
        let message = format!(
            "{} attempts of class '{}' and the delays between them take up to {}, but its requests time out after {} \
             (rule 1); {advice}",
            self.max_attempts,
            self.class_name,
            format_duration(worst_case),
            format_duration(time_limit)
        );
        self.report(reader, "attempt", &message);
    }

    /// The last retry must start while servers still drop repeats of the first attempt.
    fn check_dedup_window(&self, reader: &mut Reader<'_>) {
        let Effect::Deduplicated { window, .. } = self.class.effect else { return };
        if self.limits.retry != RetryRule::ByClass || self.max_attempts < 2 {
            return;
        }
        let attempt_timeout = self.limits.attempt_timeout.unwrap_or(0);
        let last_start =
            self.limits.worst_case_duration(self.max_attempts).map_or(0, |worst| worst - attempt_timeout);
        if last_start > window {
            let message = format!(
                "the last retry of class '{}' can start {} after the first attempt, but servers drop repeats for only \
                 {} (rule 2); set repeat = \"never\" or a shorter attempt",
                self.class_name,
                format_duration(last_start),
                format_duration(window)
            );
            self.report(reader, "attempt", &message);
        }
    }

    /// Without a second attempt, reads cannot fetch from the origin after a cache miss, and a cold backend stays empty.
    fn check_read_attempts(&self, reader: &mut Reader<'_>) {
        let takes_reads = self.entry.route.matcher.write != Some(true);
        let reads = self.class.effect == Effect::Idempotent && takes_reads;
        if reads && self.max_attempts < MIN_READ_ATTEMPTS {
            let message = format!(
                "{} is too few for reads of class '{}': after a cache miss the value could not be fetched from the \
                 origin, and a cold backend would stay empty (rule 4); use at least {MIN_READ_ATTEMPTS}",
                self.max_attempts, self.class_name
            );
            self.report(reader, "attempts", &message);
        }
    }

    /// A breaker that counts normal responses as slow would exclude healthy backends.
    fn check_slow_after(&self, reader: &mut Reader<'_>) {
        let Some(breaker) = self.limits.circuit_breaker else { return };
        let objective = self.class.latency_objective;
        if breaker.slow_after.saturating_mul(SLOW_AFTER_DIVISOR) < objective {
            let message = format!(
                "slow_after of {} is too short for class '{}' with a latency objective of {}: the breaker would open on \
                 normal responses; use slow_after = \"{}\"",
                format_duration(breaker.slow_after),
                self.class_name,
                format_duration(objective),
                format_duration(objective / 2)
            );
            self.report(reader, "breaker", &message);
        }
    }

    fn check_timeouts_against_objective(&self, reader: &mut Reader<'_>) {
        let objective = self.class.latency_objective;
        let target = format_duration(objective);
        let is_too_short = |timeout: Micros, divisor: u64| timeout.saturating_mul(divisor) < objective;
        let name = self.class_name;
        if let Some(total) =
            self.limits.total_timeout.filter(|total| is_too_short(*total, TOTAL_TIMEOUT_DIVISOR))
        {
            let total = format_duration(total);
            let message = format!(
                "{total} is too short for class '{name}' with a latency objective of {target}: almost no request could \
                 succeed; use \"{target}\""
            );
            self.report(reader, "total", &message);
        }
        let attempt = self.limits.attempt_timeout;
        if let Some(attempt) = attempt.filter(|attempt| is_too_short(*attempt, ATTEMPT_TIMEOUT_DIVISOR)) {
            let [attempt, suggested] = [attempt, objective / 2].map(format_duration);
            let message = format!(
                "{attempt} is too short for class '{name}' with a latency objective of {target}; use \"{suggested}\""
            );
            self.report(reader, "attempt", &message);
        }
    }

    /// Classes with the highest priority weight must not reserve capacity for others.
    fn check_reserved_capacity(&self, reader: &mut Reader<'_>) {
        let highest = self.settings.classes.iter().map(|class| class.priority_weight).fold(0.0, f64::max);
        if self.limits.reserved_capacity > 0.0 && self.class.priority_weight >= highest {
            let message = format!(
                "class '{}' has the highest priority weight and must not leave capacity to others; remove keep_free \
                 from its route",
                self.class_name
            );
            self.report(reader, "keep_free", &message);
        }
    }
}
