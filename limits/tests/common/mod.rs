//! Settings shared by the tests and the benchmark.

use notchdoor::{Class, Discovery, Effect, Settings};

/// A class with the given latency objective, priority weight and effect.
pub fn class(latency_objective_ms: u64, priority_weight: f64, effect: Effect) -> Class {
    Class {
        latency_objective: latency_objective_ms * 1_000,
        priority_weight,
        late_value_share: 0.2,
        effect,
        window_share: 1.0,
    }
}

/// Settings that resemble a deployment, with the given number of proxies and classes.
pub fn settings(proxies: u32, classes: Vec<Class>) -> Settings {
    Settings {
        proxies,
        classes,
        tenants: vec![],
        over_quota_weight: 0.05,
        origin_kind: Some(2),
        discovery: Discovery::Pushed,
        sizes_vary_with_load: false,
        max_attempts: 3,
        hedging: true,
        may_cancel: true,
        max_retry_after: 1_000_000,
        max_in_flight: 20_000,
        initial_capacity_share: 0.31,
        warmup: 8_100_000,
        overload_multiple: 4.0,
        overload_window: 2_000_000,
    }
}
