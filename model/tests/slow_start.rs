//! Slow-start limit and meter, checked against values computed by hand.

use notchdoor_model::slow_start::{max_requests, Allowance, SlowStartMeter};
use notchdoor_model::time::{ms, S};

/// Four times the capacity over 2 s, from a quarter of the capacity up to the full within 8 s.
fn allowance() -> Allowance {
    Allowance {
        overload_multiple: 4.0,
        overload_window: 2 * S,
        initial_capacity_share: 0.25,
        warmup: 8 * S,
        mean_work: 40_000.0,
    }
}

#[test]
fn limit_adds_more_deviations_for_small_allowances() {
    // allowed, limit: N + 2 sqrt(N) + 2; below 30, N + 3 sqrt(N) + 3
    let cases = [(0.0, 3.0), (1.0, 7.0), (16.0, 31.0), (25.0, 43.0), (36.0, 50.0), (100.0, 122.0)];
    for (allowed, limit) in cases {
        assert!((max_requests(allowed) - limit).abs() < 1e-9, "{allowed}: {}", max_requests(allowed));
    }
    assert!((max_requests(30.0) - (32.0 + 2.0 * 30_f64.sqrt())).abs() < 1e-9, "30 is not a small allowance");
    assert!(max_requests(29.999) > max_requests(30.0));
}

#[test]
fn allowance_follows_mean_capacity_share_of_the_window() {
    // age in ms, mean capacity share over the 2 s before; 4 x 2 s / 40 ms = 200 requests at full capacity
    let cases =
        [(0, 0.25), (1_000, 0.25 + 0.75 / 8.0 * 0.25), (2_000, 0.25 + 0.75 / 8.0), (8_000, 1.0 - 0.75 / 8.0)];
    for (age, capacity_share) in cases {
        let allowed = allowance().requests(1.0, age * ms(1.0));
        assert!((allowed - 200.0 * capacity_share).abs() < 1e-6, "{age}: {allowed}");
        assert!((allowance().requests(0.5, age * ms(1.0)) - 100.0 * capacity_share).abs() < 1e-6);
    }
}

#[test]
fn meter_counts_arrivals_within_one_window_until_warm() {
    let mut meter = SlowStartMeter::new(allowance(), 1.0, 10 * S);
    let first = meter.record(10 * S, 40_000.0, true).unwrap();
    assert_eq!((first.total, first.notified), (1.0, 1.0));
    let second = meter.record(11 * S, 80_000.0, false).unwrap();
    assert_eq!((second.total, second.notified), (3.0, 1.0));
    // An arrival counts for exactly 2 s, and no longer.
    assert_eq!(meter.record(12 * S, 40_000.0, true).unwrap().total, 4.0);
    let last = meter.record(12 * S + 1, 40_000.0, true).unwrap();
    assert_eq!((last.total, last.notified), (4.0, 2.0));
    assert!(meter.record(18 * S - 1, 40_000.0, true).is_some());
    assert_eq!(meter.record(18 * S, 40_000.0, true), None, "warm");
}

#[test]
fn limit_counts_all_proxies_and_share_counts_notified_ones() {
    let mut meter = SlowStartMeter::new(allowance(), 1.0, S);
    let limit = max_requests(50.0);
    let mut load = meter.record(S, 0.0, false).unwrap();
    let mut sent = 0.0;
    while sent + 1.0 <= limit {
        sent += 1.0;
        load = meter.record(S, 40_000.0, sent <= 10.0).unwrap();
        assert!(!load.exceeds_limit(), "{sent} of {limit}");
    }
    assert!((load.limit_share() - 10.0 / limit).abs() < 1e-9);
    assert!(meter.record(S, 40_000.0, false).unwrap().exceeds_limit());
}
