//! Complete policy files and the exact policies that they decode to.

mod common;

use notchdoor::{Effect, Scope, Tenant};
use notchdoor_limits::circuit_breaker;
use notchdoor_limits::concurrency_limiter::ConcurrencyBounds;
use notchdoor_limits::policy::{
    Backoff, ConcurrencyLimit, Hedging, Policy, RetryBudget, RetryRule, Route, RouteLimits, RouteMatch,
};
use notchdoor_limits::policy_file::{parse, PolicyContext};
use notchdoor_limits::token_bucket::TokenBucketConfig;

const MS: u64 = 1_000;
const EXAMPLE: &str = include_str!("../../deploy/policy.example.toml");
const EVERY_KEY: &str = include_str!("data/every-key.toml");

fn context(classes: [&str; 3]) -> PolicyContext {
    let deduplicated = Effect::Deduplicated { scope: Scope::All, window: 2_000 * MS };
    let mut settings = common::settings(
        4,
        vec![
            common::class(750, 2.0, Effect::Idempotent),
            common::class(800, 3.0, deduplicated),
            common::class(300, 8.0, Effect::AtMostOnce),
        ],
    );
    settings.tenants = vec![Tenant { quota_per_s: 93.0 }, Tenant { quota_per_s: 107.0 }];
    PolicyContext {
        settings,
        classes: classes.map(str::to_owned).to_vec(),
        deadlines: vec![2_000 * MS, 2_000 * MS, 600 * MS],
        tenants: vec!["acme".to_owned(), "obras".to_owned()],
    }
}

fn parse_policy(text: &str, context: &PolicyContext) -> Policy {
    parse("p", text, context).unwrap_or_else(|errors| panic!("{errors:?}"))
}

#[test]
fn example_policy_file_decodes_to_the_expected_policy() {
    let with_budget = RouteLimits { retry_budget: Some(0), ..RouteLimits::default() };
    let of_class = |class| RouteMatch { class: Some(class), ..RouteMatch::default() };
    let routes = vec![
        Route {
            name: "reads".to_owned(),
            matcher: of_class(0),
            limits: RouteLimits { max_attempts: Some(3), budget_reserve: 0.3, ..with_budget.clone() },
        },
        Route {
            name: "corrections".to_owned(),
            matcher: of_class(1),
            limits: RouteLimits {
                attempt_timeout: Some(900 * MS),
                max_attempts: Some(2),
                backoff: Some(Backoff { initial: 5 * MS, max: 20 * MS, jitter: 0.5 }),
                ..with_budget.clone()
            },
        },
        Route {
            name: "sign-offs".to_owned(),
            matcher: of_class(2),
            limits: RouteLimits {
                max_attempts: Some(2),
                hedging: Hedging::Never,
                retry: RetryRule::Never,
                ..with_budget.clone()
            },
        },
        Route { name: "default".to_owned(), matcher: RouteMatch::default(), limits: with_budget },
    ];
    let budgets = vec![RetryBudget {
        name: "repeats".to_owned(),
        config: TokenBucketConfig { tokens_per_request: 0.5, tokens_per_s: 1.0 },
    }];
    let expected = Policy::new(routes, budgets, None, vec![0.5, 1.0, 1.0]);
    assert_eq!(parse_policy(EXAMPLE, &context(["read-sheet", "fix-hours", "close-week"])), expected);
}

#[test]
fn file_with_every_key_decodes_to_the_expected_policy() {
    let default = RouteLimits {
        attempt_timeout: Some(200 * MS),
        total_timeout: Some(600 * MS),
        max_attempts: Some(2),
        backoff: Some(Backoff { initial: 10 * MS, max: 10 * MS, jitter: 0.5 }),
        hedging: Hedging::Never,
        retry: RetryRule::ByClass,
        retry_budget: Some(0),
        budget_reserve: 0.1,
        concurrency: Some(ConcurrencyLimit::Fixed(64)),
        circuit_breaker: Some(circuit_breaker::CircuitBreakerConfig {
            failure_ratio: 0.5,
            slow_ratio: 2.0,
            slow_after: u64::MAX,
            window: 5_000 * MS,
            min_attempts: 10,
            open_duration: 2_000 * MS,
            probes_to_close: 3,
        }),
        reserved_capacity: 0.0,
        retry_after: Some(250 * MS),
    };
    let routes = vec![
        Route {
            name: "sheets".to_owned(),
            matcher: RouteMatch {
                class: Some(0),
                tenant: Some(1),
                prefix: b"sheet/".to_vec(),
                write: Some(false),
            },
            limits: RouteLimits {
                attempt_timeout: Some(400 * MS),
                total_timeout: Some(1_900 * MS),
                max_attempts: Some(3),
                backoff: Some(Backoff { initial: 20 * MS, max: 200 * MS, jitter: 0.25 }),
                hedging: Hedging::AfterQuantile { quantile: 0.95, ratio: 0.05 },
                retry: RetryRule::ByClass,
                retry_budget: Some(1),
                budget_reserve: 0.3,
                concurrency: Some(ConcurrencyLimit::Adaptive(ConcurrencyBounds { min: 8, max: 200 })),
                circuit_breaker: Some(circuit_breaker::CircuitBreakerConfig {
                    failure_ratio: 0.4,
                    slow_ratio: 0.6,
                    slow_after: 500 * MS,
                    window: 3_000 * MS,
                    min_attempts: 4,
                    open_duration: 1_000 * MS,
                    probes_to_close: 2,
                }),
                reserved_capacity: 0.2,
                retry_after: Some(1_000 * MS),
            },
        },
        Route {
            name: "none-inherited".to_owned(),
            matcher: RouteMatch { class: Some(1), write: Some(true), ..RouteMatch::default() },
            limits: RouteLimits {
                attempt_timeout: None,
                total_timeout: None,
                max_attempts: Some(2),
                backoff: None,
                hedging: Hedging::RouterDefault,
                retry: RetryRule::Never,
                retry_budget: None,
                budget_reserve: 0.1,
                concurrency: None,
                circuit_breaker: None,
                reserved_capacity: 0.0,
                retry_after: None,
            },
        },
        Route { name: "default".to_owned(), matcher: RouteMatch::default(), limits: default },
    ];
    let budgets = vec![
        RetryBudget {
            name: "repeats".to_owned(),
            config: TokenBucketConfig { tokens_per_request: 0.2, tokens_per_s: 1.0 },
        },
        RetryBudget {
            name: "reads".to_owned(),
            config: TokenBucketConfig { tokens_per_request: 0.25, tokens_per_s: 0.5 },
        },
    ];
    let expected = Policy::new(routes, budgets, Some(400), vec![0.5, 1.0, 0.9]);
    assert_eq!(parse_policy(EVERY_KEY, &context(["read", "fix", "close"])), expected);
}
