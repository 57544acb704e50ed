//! Settings that the tests and the benchmark share.

use notchdoor::{Class, Discovery, Effect, Settings};

/// A class that is wanted within so many milliseconds.
pub fn class(aim_ms: u64, worth: f64, effect: Effect) -> Class {
    Class { aim: aim_ms * 1_000, worth, late_share: 0.2, effect, window_share: 1.0 }
}

/// Settings like the platform's, for so many proxies and these classes.
pub fn settings(balancers: u32, classes: Vec<Class>) -> Settings {
    Settings {
        balancers,
        classes,
        tenants: vec![],
        over_share_worth: 0.05,
        origin_kind: Some(2),
        discovery: Discovery::Pushed,
        sizes_are_live: false,
        max_attempts: 3,
        second_copies: true,
        may_cancel: true,
        max_retry_after: 1_000_000,
        most_held: 20_000,
        cold_from: 0.31,
        cold: 8_100_000,
        fall_multiple: 4.0,
        fall_time: 2_000_000,
    }
}
