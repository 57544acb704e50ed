//! Reads the limits of `[default]` or a route. Unset keys inherit their value.

use super::reader::{Reader, Section};
use super::{format_duration, PolicyContext};
use crate::circuit_breaker::CircuitBreakerConfig;
use crate::concurrency_limiter::ConcurrencyBounds;
use crate::policy::{Backoff, ConcurrencyLimit, Hedging, RetryRule, RouteLimits};
use notchdoor::Micros;
use std::ops::RangeInclusive;

/// Keys that are allowed in `[default]` and in every route.
pub(super) const LIMIT_KEYS: [&str; 12] = [
    "attempt",
    "total",
    "attempts",
    "backoff",
    "copies",
    "repeat",
    "budget",
    "budget_leave",
    "concurrency",
    "breaker",
    "keep_free",
    "retry_after",
];

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
const TIMEOUT_RANGE: RangeInclusive<Micros> = MILLISECOND..=HOUR;
const BACKOFF_RANGE: RangeInclusive<Micros> = 0..=HOUR;
/// Allowed sliding windows and open durations of circuit breakers.
const BREAKER_DURATION_RANGE: RangeInclusive<Micros> = 100 * MILLISECOND..=600 * SECOND;
const CONCURRENCY_RANGE: RangeInclusive<u32> = 1..=100_000;
/// Allowed shares of a retry budget or of the proxy's capacity that a route may reserve for others.
const RESERVE_RANGE: RangeInclusive<f64> = 0.0..=0.9;
const BREAKER_RATIO_RANGE: RangeInclusive<f64> = 0.05..=1.0;

const DEFAULT_JITTER: f64 = 0.5;
const DEFAULT_MIN_ATTEMPTS: u32 = 10;
const DEFAULT_PROBES_TO_CLOSE: u32 = 3;
/// Above the highest possible share, so that slow attempts never open the breaker.
const SLOW_RATIO_DISABLED: f64 = 2.0;

/// Reads the limits of one table. Errors go to `reader`.
pub(super) struct LimitsReader<'r, 't> {
    pub(super) reader: &'r mut Reader<'t>,
    pub(super) section: &'r Section<'r>,
    /// Names of the retry budgets, in the order of [`crate::policy::Policy::retry_budgets`].
    pub(super) budgets: &'r [&'r str],
    pub(super) context: &'r PolicyContext,
}

impl LimitsReader<'_, '_> {
    pub(super) fn read(mut self, inherited: RouteLimits) -> RouteLimits {
        let mut limits = inherited;
        self.override_limit("attempt", &mut limits.attempt_timeout, |r| r.duration("attempt", TIMEOUT_RANGE));
        self.override_limit("total", &mut limits.total_timeout, |r| r.duration("total", TIMEOUT_RANGE));
        let max_attempts = 1..=self.context.settings.max_attempts;
        if let Some(attempts) = self.reader.integer(self.section, "attempts", max_attempts) {
            limits.max_attempts = Some(attempts);
        }
        self.override_limit("backoff", &mut limits.backoff, Self::backoff);
        limits.hedging = self.hedging().unwrap_or(limits.hedging);
        limits.retry = self.retry_rule().unwrap_or(limits.retry);
        self.override_limit("budget", &mut limits.retry_budget, |r| {
            r.reader.choice(r.section, "budget", "budget", r.budgets)
        });
        limits.budget_reserve = self.reserve("budget_leave").unwrap_or(limits.budget_reserve);
        self.override_limit("concurrency", &mut limits.concurrency, Self::concurrency);
        self.override_limit("breaker", &mut limits.circuit_breaker, Self::circuit_breaker);
        limits.reserved_capacity = self.reserve("keep_free").unwrap_or(limits.reserved_capacity);
        self.override_limit("retry_after", &mut limits.retry_after, Self::retry_after);
        limits
    }

    /// Replaces an inherited limit if the key is set, or removes it if the value is `"none"`. An invalid value leaves
    /// the inherited limit.
    fn override_limit<T>(
        &mut self,
        key: &str,
        limit: &mut Option<T>,
        read: impl FnOnce(&mut Self) -> Option<T>,
    ) {
        if self.section.is_none(key) {
            *limit = None;
        } else if let Some(value) = read(self) {
            *limit = Some(value);
        }
    }

    fn duration(&mut self, key: &str, range: RangeInclusive<Micros>) -> Option<Micros> {
        self.reader.duration(self.section, key, range)
    }

    fn reserve(&mut self, key: &str) -> Option<f64> {
        self.reader.number(self.section, key, RESERVE_RANGE)
    }

    fn backoff(&mut self) -> Option<Backoff> {
        let example = "{ first = \"20ms\", most = \"200ms\", jitter = 0.5 }";
        let table = self.reader.table(self.section, "backoff", example)?;
        let reader = &mut *self.reader;
        reader.reject_unknown_keys(&table, &["first", "most", "jitter"]);
        reader.require(&table, &["first"]);
        let initial = reader.duration(&table, "first", BACKOFF_RANGE);
        let max = reader.duration(&table, "most", BACKOFF_RANGE).or(initial);
        let jitter = reader.number(&table, "jitter", 0.0..=1.0).unwrap_or(DEFAULT_JITTER);
        let (initial, max) = (initial?, max?);
        if initial > max {
            let [first, longest] = [initial, max].map(format_duration);
            let message =
                format!("the first delay ({first}) is longer than the longest ({longest}); swap the values");
            reader.report_value(&table, "first", message);
        }
        Some(Backoff { initial, max, jitter })
    }

    fn hedging(&mut self) -> Option<Hedging> {
        if self.section.table.get("copies")?.as_str().is_some() {
            let known = ["never", "module"];
            let rules = [Hedging::Never, Hedging::RouterDefault];
            let choice = self.reader.choice(self.section, "copies", "copies mode", &known)?;
            return Some(rules[choice]);
        }
        let table = self.reader.table(self.section, "copies", "{ after = 0.95, share = 0.05 }")?;
        let reader = &mut *self.reader;
        reader.reject_unknown_keys(&table, &["after", "share"]);
        reader.require(&table, &["after", "share"]);
        let quantile = reader.number(&table, "after", 0.5..=0.999);
        let ratio = reader.number(&table, "share", 0.0..=0.5);
        Some(Hedging::AfterQuantile { quantile: quantile?, ratio: ratio? })
    }

    fn retry_rule(&mut self) -> Option<RetryRule> {
        let rules = [RetryRule::ByClass, RetryRule::Never];
        let choice = self.reader.choice(self.section, "repeat", "repeat mode", &["class", "never"])?;
        Some(rules[choice])
    }

    fn concurrency(&mut self) -> Option<ConcurrencyLimit> {
        if !self.section.table.get("concurrency")?.is_table_like() {
            let fixed = self.reader.integer(self.section, "concurrency", CONCURRENCY_RANGE)?;
            return Some(ConcurrencyLimit::Fixed(fixed));
        }
        let table = self.reader.table(self.section, "concurrency", "64 or { least = 8, most = 200 }")?;
        let reader = &mut *self.reader;
        reader.reject_unknown_keys(&table, &["least", "most"]);
        reader.require(&table, &["least", "most"]);
        let min = reader.integer(&table, "least", CONCURRENCY_RANGE);
        let max = reader.integer(&table, "most", CONCURRENCY_RANGE);
        let (min, max) = (min?, max?);
        if min > max {
            let message =
                format!("the lower bound ({min}) is greater than the upper bound ({max}); swap the values");
            reader.report_value(&table, "least", message);
        }
        Some(ConcurrencyLimit::Adaptive(ConcurrencyBounds { min, max: max.max(min) }))
    }

    fn circuit_breaker(&mut self) -> Option<CircuitBreakerConfig> {
        let example = "{ failures = 0.5, window = \"5s\", open = \"2s\" }";
        let table = self.reader.table(self.section, "breaker", example)?;
        let reader = &mut *self.reader;
        let known = ["failures", "slow", "slow_after", "window", "least", "open", "trials"];
        reader.reject_unknown_keys(&table, &known);
        reader.require(&table, &["failures", "window", "open"]);
        if table.has("slow") != table.has("slow_after") {
            let (given, missing) =
                if table.has("slow") { ("slow", "slow_after") } else { ("slow_after", "slow") };
            let message = format!("has no effect without '{missing}'; set both or neither");
            reader.report_value(&table, given, message);
        }
        let failure_ratio = reader.number(&table, "failures", BREAKER_RATIO_RANGE);
        let slow_ratio = reader.number(&table, "slow", BREAKER_RATIO_RANGE);
        let slow_after = reader.duration(&table, "slow_after", TIMEOUT_RANGE);
        let window = reader.duration(&table, "window", BREAKER_DURATION_RANGE);
        let min_attempts = reader.integer(&table, "least", 1..=10_000);
        let open_duration = reader.duration(&table, "open", BREAKER_DURATION_RANGE);
        let probes_to_close = reader.integer(&table, "trials", 1..=100);
        Some(CircuitBreakerConfig {
            failure_ratio: failure_ratio?,
            slow_ratio: slow_ratio.unwrap_or(SLOW_RATIO_DISABLED),
            slow_after: slow_after.unwrap_or(Micros::MAX),
            window: window?,
            min_attempts: min_attempts.unwrap_or(DEFAULT_MIN_ATTEMPTS),
            open_duration: open_duration?,
            probes_to_close: probes_to_close.unwrap_or(DEFAULT_PROBES_TO_CLOSE),
        })
    }

    fn retry_after(&mut self) -> Option<Micros> {
        let max = self.context.settings.max_retry_after;
        if max == 0 && self.section.has("retry_after") {
            let message = "the settings disable Retry-After; remove this field";
            self.reader.report_value(self.section, "retry_after", message);
            return None;
        }
        self.duration("retry_after", 0..=max)
    }
}
