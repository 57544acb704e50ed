//! Reads the sections of a policy file: retry budgets, window shares and routes.

use super::reader::{Reader, Section};
use super::route_limits::{LimitsReader, LIMIT_KEYS};
use super::PolicyContext;
use crate::policy::{RetryBudget, Route, RouteLimits, RouteMatch};
use crate::token_bucket::TokenBucketConfig;
use std::ops::Range;
use toml_edit::{Item, Table};

/// Keys of a route that set its name and match conditions.
const ROUTE_KEYS: [&str; 5] = ["name", "class", "tenant", "prefix", "access"];
const MAX_ROUTES: usize = 256;
/// Maximum sum of `share` over all budgets, in additional attempts per request.
const MAX_TOTAL_BUDGET_RATIO: f64 = 1.0;
/// Maximum sum of `floor_per_s` over all budgets and proxies, as a share of the sum of the tenants' quotas.
const MAX_TOTAL_FLOOR_QUOTA_SHARE: f64 = 0.1;
const MAX_FLOOR_PER_S: f64 = 1e6;
/// Share of the origin's congestion window for a class that the file does not mention.
const DEFAULT_WINDOW_SHARE: f64 = 1.0;
const DEFAULT_ROUTE: &str = "default";

/// A route with the spans of its table and fields.
pub(super) struct RouteEntry {
    pub(super) route: Route,
    pub(super) span: Range<usize>,
    pub(super) fields: Vec<FieldSpan>,
}

/// Span of the value of a route's field.
pub(super) struct FieldSpan {
    pub(super) key: &'static str,
    pub(super) span: Range<usize>,
}

impl RouteEntry {
    /// The default route without limits.
    fn empty_default() -> Self {
        let matcher = RouteMatch::default();
        let route = Route { name: DEFAULT_ROUTE.to_owned(), matcher, limits: RouteLimits::default() };
        RouteEntry { route, span: 0..0, fields: Vec::new() }
    }

    pub(super) fn is_default(&self) -> bool {
        self.route.name == DEFAULT_ROUTE
    }
}

/// Reads the sections of one file.
pub(super) struct SectionReader<'r, 't> {
    pub(super) reader: &'r mut Reader<'t>,
    pub(super) root: &'r Section<'r>,
    pub(super) context: &'r PolicyContext,
}

impl SectionReader<'_, '_> {
    /// Reads the retry budgets. Each is checked together with those before it.
    pub(super) fn retry_budgets(&mut self) -> Vec<RetryBudget> {
        let Some(all) = self.reader.table(self.root, "budget", "[budget.reads]") else { return Vec::new() };
        let mut budgets = Vec::new();
        let mut sum = TokenBucketConfig { tokens_per_request: 0.0, tokens_per_s: 0.0 };
        for name in all.keys() {
            let example = "{ share = 0.2, floor_per_s = 1.0 }";
            let Some(table) = self.reader.table(&all, &name, example) else { continue };
            self.reader.reject_unknown_keys(&table, &["share", "floor_per_s"]);
            self.reader.require(&table, &["share", "floor_per_s"]);
            let ratio = self.reader.number(&table, "share", 0.0..=1.0);
            let floor = self.reader.number(&table, "floor_per_s", 0.0..=MAX_FLOOR_PER_S);
            let (Some(tokens_per_request), Some(tokens_per_s)) = (ratio, floor) else { continue };
            let config = TokenBucketConfig { tokens_per_request, tokens_per_s };
            sum.tokens_per_request += tokens_per_request;
            sum.tokens_per_s += tokens_per_s;
            self.check_ratios(&table, config, sum);
            self.check_floors(&table, config, sum);
            budgets.push(RetryBudget { name, config });
        }
        budgets
    }

    fn check_ratios(&mut self, table: &Section<'_>, current: TokenBucketConfig, sum: TokenBucketConfig) {
        let total = sum.tokens_per_request;
        if total <= MAX_TOTAL_BUDGET_RATIO {
            return;
        }
        let suggested = (MAX_TOTAL_BUDGET_RATIO - (total - current.tokens_per_request)).max(0.0);
        let message = format!(
            "all budgets together allow {total:.2} additional attempts per request, which is more than the maximum of \
             {MAX_TOTAL_BUDGET_RATIO} that protects the origin (rule 4); use at most {suggested:.2} here"
        );
        self.reader.report_value(table, "share", message);
    }

    fn check_floors(&mut self, table: &Section<'_>, current: TokenBucketConfig, sum: TokenBucketConfig) {
        let settings = &self.context.settings;
        let proxies = f64::from(settings.proxies.max(1));
        let quotas: f64 = settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        let max_total_floor = MAX_TOTAL_FLOOR_QUOTA_SHARE * quotas / proxies;
        let total_floor = sum.tokens_per_s;
        if quotas <= 0.0 || total_floor <= max_total_floor {
            return;
        }
        let fleet_rate = total_floor * proxies;
        let suggested = (max_total_floor - (total_floor - current.tokens_per_s)).max(0.0);
        let message = format!(
            "the floors of all budgets allow {fleet_rate:.1} additional attempts per second over {proxies} proxies, which \
             is more than a tenth of the {quotas:.0} requests per second that the tenants' quotas allow (rule 4); use \
             at most {suggested:.2} here"
        );
        self.reader.report_value(table, "floor_per_s", message);
    }

    /// Reads the share of the origin's congestion window of each class, in the order of the settings.
    pub(super) fn window_shares(&mut self) -> Vec<f64> {
        let classes = names(&self.context.classes);
        let mut shares = vec![DEFAULT_WINDOW_SHARE; classes.len()];
        let Some(table) = self.reader.table(self.root, "window", "[window]") else { return shares };
        for name in table.keys() {
            match classes.iter().position(|class| *class == name) {
                Some(class) => {
                    shares[class] =
                        self.reader.number(&table, &name, 0.1..=1.0).unwrap_or(DEFAULT_WINDOW_SHARE);
                }
                None => self.reader.report_unknown_key(&table, &name, "class", &classes),
            }
        }
        shares
    }

    /// Reads the default route, which matches all remaining requests and from which the other routes inherit.
    pub(super) fn default_route(&mut self, budgets: &[&str]) -> RouteEntry {
        let mut default = RouteEntry::empty_default();
        if let Some(section) = self.reader.table(self.root, DEFAULT_ROUTE, "[default]") {
            self.reader.reject_unknown_keys(&section, &LIMIT_KEYS);
            default.route.limits = self.limits(&section, RouteLimits::default(), budgets);
            default.fields = field_spans(&section);
            default.span = section.span;
        }
        default
    }

    /// Reads all `[[route]]` tables, in file order.
    pub(super) fn routes(&mut self, default: &RouteLimits, budgets: &[&str]) -> Vec<RouteEntry> {
        let mut routes: Vec<RouteEntry> = Vec::new();
        let Some(item) = self.root.table.get("route") else { return routes };
        let Some(tables) = item.as_array_of_tables() else {
            let message = "expected an array of tables, each starting with [[route]]";
            self.reader.report_value(self.root, "route", message);
            return routes;
        };
        if tables.len() > MAX_ROUTES {
            let message = format!("{} routes exceed the maximum of {MAX_ROUTES}", tables.len());
            self.reader.report_value(self.root, "route", message);
            return routes;
        }
        for (index, table) in tables.iter().enumerate() {
            let route = self.route(table, index, default, budgets, &routes);
            routes.push(route);
        }
        routes
    }

    fn route(
        &mut self,
        table: &Table,
        index: usize,
        default: &RouteLimits,
        budgets: &[&str],
        earlier: &[RouteEntry],
    ) -> RouteEntry {
        let configured_name = table.get("name").and_then(Item::as_str).filter(|name| !name.is_empty());
        let name = configured_name.map_or_else(|| index.to_string(), str::to_owned);
        let span = table.span().unwrap_or(0..0);
        let section = Section { table, path: format!("route.{name}"), span };
        self.reader.reject_unknown_keys(&section, &[&LIMIT_KEYS[..], &ROUTE_KEYS].concat());
        if configured_name.is_none() {
            let message =
                "every route needs a non-empty name in quotes, which identifies it in messages and across reloads";
            self.reader.report_value(&section, "name", message);
        } else if name == DEFAULT_ROUTE || earlier.iter().any(|entry| entry.route.name == name) {
            let message = format!("route name '{name}' is already in use; choose another name");
            self.reader.report_value(&section, "name", message);
        }
        let matcher = self.matcher(&section);
        let limits = self.limits(&section, default.clone(), budgets);
        let fields = field_spans(&section);
        RouteEntry { route: Route { name, matcher, limits }, span: section.span, fields }
    }

    fn matcher(&mut self, section: &Section<'_>) -> RouteMatch {
        let (classes, tenants) = (names(&self.context.classes), names(&self.context.tenants));
        let class = self.reader.choice(section, "class", "class", &classes);
        let tenant = self.reader.choice(section, "tenant", "tenant", &tenants);
        let prefix = self.reader.string(section, "prefix").unwrap_or_default();
        let access = self.reader.choice(section, "access", "access mode", &["read", "write"]);
        RouteMatch {
            class: class.map(|index| index as u32),
            tenant: tenant.map(|index| index as u32),
            prefix: prefix.into_bytes(),
            write: access.map(|index| index == 1),
        }
    }

    fn limits(&mut self, section: &Section<'_>, inherited: RouteLimits, budgets: &[&str]) -> RouteLimits {
        LimitsReader { reader: self.reader, section, budgets, context: self.context }.read(inherited)
    }
}

fn names(all: &[String]) -> Vec<&str> {
    all.iter().map(String::as_str).collect()
}

fn field_spans(section: &Section<'_>) -> Vec<FieldSpan> {
    let keys = LIMIT_KEYS.iter().chain(&ROUTE_KEYS).filter(|key| section.has(key));
    keys.map(|key| FieldSpan { key, span: section.span(key) }).collect()
}
