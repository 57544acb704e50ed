//! Checks a whole policy against the platform's rules: time limits, idempotency, and what the origin and cold
//! backends can bear.

use super::reader::Reader;
use super::sections::RouteEntry;
use super::{format_duration, PolicyContext};
use crate::policy::{Hedging, RetryRule, RouteLimits, RouteMatch};
use notchdoor::{Class, Effect, Micros, Scope, Settings};
use std::ops::Range;

/// A slow answer, by a breaker's rule, takes at least this fraction of the class's objective.
const SLOW_AFTER_DIVISOR: u64 = 4;
/// A whole request's timeout below this fraction of the class's objective starves the class.
const TOTAL_TIMEOUT_DIVISOR: u64 = 10;
/// So does an attempt's timeout below this one.
const ATTEMPT_TIMEOUT_DIVISOR: u64 = 20;
/// Reads need one attempt at a backend and one for the fetch of what it lacks.
const MIN_READ_ATTEMPTS: u32 = 2;
const MILLISECOND: Micros = 1_000;

/// Checks of a whole policy.
pub(super) struct RuleChecks<'c> {
    pub(super) context: &'c PolicyContext,
    /// Most specific first, the default last.
    pub(super) routes: &'c [RouteEntry],
}

/// Where a field that is in force at a route stands in the file.
struct FieldLocation {
    span: Range<usize>,
    path: String,
    /// Said after the message if the field is inherited.
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

    /// Whether a request of this class can come to this route: no more specific one takes all that it would.
    fn can_match_class(&self, index: usize, class: u32) -> bool {
        let matcher = &self.routes[index].route.matcher;
        if matcher.class.is_some_and(|own| own != class) {
            return false;
        }
        !self.covered_by_earlier(index, &RouteMatch { class: Some(class), ..matcher.clone() })
    }

    /// Whether one route before this one takes all that `wanted` would.
    fn covered_by_earlier(&self, index: usize, wanted: &RouteMatch) -> bool {
        self.routes[..index].iter().any(|earlier| earlier.route.matcher.covers(wanted))
    }

    fn check_reachable(&self, reader: &mut Reader<'_>, index: usize) {
        // The default is there for what is left, and that may be nothing.
        if index + 1 == self.routes.len() {
            return;
        }
        let entry = &self.routes[index];
        let matcher = &entry.route.matcher;
        let same = self.routes[..index].iter().find(|earlier| earlier.route.matcher == *matcher);
        if let Some(same) = same {
            let name = &same.route.name;
            let message = format!("takes exactly what '{name}' takes, and so nothing; merge the two");
            return self.report(reader, entry, "name", &message);
        }
        // Both halves of it taken by others leave nothing.
        let half = |write| RouteMatch { write: Some(write), ..matcher.clone() };
        let both_covered =
            || [true, false].into_iter().all(|write| self.covered_by_earlier(index, &half(write)));
        if matcher.write.is_none() && both_covered() {
            let message = "takes nothing: routes for reads and for writes take all of it; remove it";
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

    /// Where a field of a route stands: at the route, else at the default that it inherits from.
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
                let inherited_note = format!(" (as route '{name}' inherits it)");
                FieldLocation { span, path: default_path, inherited_note }
            }
            None => FieldLocation { span: entry.span.clone(), path: own_path, inherited_note: String::new() },
        }
    }
}

/// Checks of one route against one class whose requests it takes.
struct ClassChecks<'r> {
    rules: &'r RuleChecks<'r>,
    entry: &'r RouteEntry,
    limits: &'r RouteLimits,
    settings: &'r Settings,
    class: &'r Class,
    /// The class's name.
    class_name: &'r str,
    /// How long the class's clients wait.
    deadline: Micros,
    max_attempts: u32,
    /// How long the route keeps trying.
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

    /// What must not run twice has no second attempt beside the first.
    fn check_hedging(&self, reader: &mut Reader<'_>) {
        if !matches!(self.limits.hedging, Hedging::AfterQuantile { .. }) {
            return;
        }
        let name = self.class_name;
        let never = "write copies = \"never\"";
        let message = match self.class.effect {
            Effect::AtMostOnce => format!(
                "second copies would reach '{name}', which must never run twice (rule 2); {never} in a route for it"
            ),
            Effect::Deduplicated { scope, .. } if scope != Scope::All => format!(
                "second copies would reach '{name}', whose repeats only its own group drops (rule 2); {never} in a \
                 route for it"
            ),
            _ if !self.settings.hedging => {
                format!("second copies are not allowed here (the settings say so); {never}")
            }
            _ => return,
        };
        self.report(reader, "copies", &message);
    }

    /// Attempts and the waits between them end before the client gives up. The first problem says it all.
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
            let longest_wait = self.time_limit / u64::from(self.max_attempts) / 2;
            let message = format!(
                "the waits before the repeats of '{}' alone take up to {}, but it is given up after {} (rule 1); \
                 most = \"{}\" would do",
                self.class_name,
                format_duration(total_backoff),
                format_duration(self.time_limit),
                format_duration(longest_wait)
            );
            self.report(reader, "backoff", &message);
        }
    }

    fn report_total_beyond_deadline(&self, reader: &mut Reader<'_>) {
        let deadline = format_duration(self.deadline);
        let message = format!(
            "{} outlasts '{}', which clients give up after {deadline} (rule 1); \"{deadline}\" would do",
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
            format!("attempt = \"{}\" would do", format_duration(suggested))
        } else {
            "shorter waits or fewer attempts would do".to_owned()
        };
        let message = format!(
            "{} attempts of '{}' and the waits between them take up to {}, but it is given up after {} (rule 1); \
             {advice}",
            self.max_attempts,
            self.class_name,
            format_duration(worst_case),
            format_duration(time_limit)
        );
        self.report(reader, "attempt", &message);
    }

    /// The last retry starts while the server still drops repeats.
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
                "the last repeat of '{}' could start {} after the first attempt, but repeats are dropped for {} only \
                 (rule 2); write repeat = \"never\" or a shorter attempt",
                self.class_name,
                format_duration(last_start),
                format_duration(window)
            );
            self.report(reader, "attempt", &message);
        }
    }

    /// A read that may not fetch what a backend lacks leaves a cold backend empty.
    fn check_read_attempts(&self, reader: &mut Reader<'_>) {
        let takes_reads = self.entry.route.matcher.write != Some(true);
        let reads = self.class.effect == Effect::Idempotent && takes_reads;
        if reads && self.max_attempts < MIN_READ_ATTEMPTS {
            let message = format!(
                "{} starves '{}': what a worker lacks could not be fetched, and a cold one would stay empty (rule 4); \
                 {MIN_READ_ATTEMPTS} would do",
                self.max_attempts, self.class_name
            );
            self.report(reader, "attempts", &message);
        }
    }

    /// A breaker that opens on usual answers would leave all warm backends alone.
    fn check_slow_after(&self, reader: &mut Reader<'_>) {
        let Some(breaker) = self.limits.circuit_breaker else { return };
        let objective = self.class.latency_objective;
        if breaker.slow_after.saturating_mul(SLOW_AFTER_DIVISOR) < objective {
            let message = format!(
                "{} is no slow answer to '{}', which is wanted within {}: servers would be left alone for what is \
                 usual; slow_after = \"{}\" would do",
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
        let wanted = format_duration(objective);
        let is_too_short = |timeout: Micros, divisor: u64| timeout.saturating_mul(divisor) < objective;
        let name = self.class_name;
        if let Some(total) =
            self.limits.total_timeout.filter(|total| is_too_short(*total, TOTAL_TIMEOUT_DIVISOR))
        {
            let total = format_duration(total);
            let message = format!(
                "{total} starves '{name}', which is wanted within {wanted}: next to nothing could be served; \
                 \"{wanted}\" would do"
            );
            self.report(reader, "total", &message);
        }
        let attempt = self.limits.attempt_timeout;
        if let Some(attempt) = attempt.filter(|attempt| is_too_short(*attempt, ATTEMPT_TIMEOUT_DIVISOR)) {
            let [attempt, suggested] = [attempt, objective / 2].map(format_duration);
            let message = format!(
                "{attempt} starves '{name}', which is wanted within {wanted}; \"{suggested}\" would do"
            );
            self.report(reader, "attempt", &message);
        }
    }

    /// The class of the highest priority weight has no other to leave room to.
    fn check_reserved_capacity(&self, reader: &mut Reader<'_>) {
        let highest = self.settings.classes.iter().map(|class| class.priority_weight).fold(0.0, f64::max);
        if self.limits.reserved_capacity > 0.0 && self.class.priority_weight >= highest {
            let message = format!(
                "'{}' is of the most worth, and would leave room for what is worth less; leave keep_free out of its \
                 route",
                self.class_name
            );
            self.report(reader, "keep_free", &message);
        }
    }
}
