//! The slow-start budget over the sum of all proxies, on fixed seeds; and that the check catches a missing budget.

use notchdoor_lab::policy::Kind;
use notchdoor_lab::record::Day;
use notchdoor_lab::rules::{Rule, Verifier};
use notchdoor_lab::slow_start::{measure, random_starts, Row, Sample};
use notchdoor_lab::{facts, play, scenario};
use notchdoor_model::slow_start::WindowLoad;
use notchdoor_model::spec::Spec;

fn sample(policy: &str, proxies: u32, first_seed: u64, days: u64) -> Row {
    let policy = Kind::parse(policy).unwrap();
    let sample = Sample { proxies, days, first_seed, time: None, policy };
    measure(&Spec::default(), &sample, 2, true).unwrap()
}

#[test]
fn warming_backends_get_no_more_than_the_settings_allow_from_all_proxies() {
    // proxies, the first seed, days
    for (proxies, first_seed, days) in [(4, 1, 60), (30, 1, 20), (300, 4, 1)] {
        let row = sample("notchdoor", proxies, first_seed, days);
        assert!(row.is_good(), "{row:?}");
        assert_eq!(row.days, days);
        assert!(row.starts >= days, "a day with starts: {row:?}");
        let largest = row.largest.unwrap().peak;
        assert!(largest.share > 0.0 && largest.share <= 1.0 && !largest.over, "{largest:?}");
        assert!(row.p50 <= row.p99 && row.p99 <= largest.share, "{row:?}");
    }
}

/// Days on which proxies that read from one backend once in many seconds found nothing counted there, and together
/// sent a warming one more than its limit.
#[test]
fn proxies_that_see_little_of_a_backend_keep_the_budget_together() {
    for (proxies, seed) in [(30, 421), (30, 724), (300, 2), (300, 4)] {
        let row = sample("notchdoor", proxies, seed, 1);
        assert_eq!((row.over, row.broken), (0, 0), "{row:?}");
        assert!(row.starts > 0, "{row:?}");
    }
    // On this day the budget admits a read or none to any warming backend, so that there may be no start to count.
    let row = sample("notchdoor", 30, 1105, 1);
    assert_eq!((row.over, row.broken), (0, 0), "{row:?}");
}

#[test]
fn a_proxy_without_the_budget_is_caught() {
    for proxies in [4, 30] {
        let row = sample("broken-no-slow-start", proxies, 1, 12);
        assert!(row.over > 0 && row.broken > 0 && !row.is_good(), "{row:?}");
        assert!(row.first_breach.is_some() && !row.seeds_over.is_empty(), "{row:?}");
        assert!(row.largest.unwrap().peak.share > 1.0, "{row:?}");
    }
}

#[test]
fn the_same_seeds_give_the_same_row_on_any_number_of_threads() {
    let rows = [1, 3].map(|threads| {
        let policy = Kind::parse("notchdoor").unwrap();
        let sample = Sample { proxies: 4, days: 12, first_seed: 7, time: None, policy };
        serde_json::to_string(&measure(&Spec::default(), &sample, threads, true).unwrap()).unwrap()
    });
    assert_eq!(rows[0], rows[1]);
    let days = [0, 1].map(|_| scenario::write(&random_starts(&Spec::default(), 30, 5)));
    assert_eq!(days[0], days[1]);
    for seed in 1..=200 {
        let day = random_starts(&Spec::default(), [4, 30, 300][seed as usize % 3], seed);
        assert_eq!(day.validate(), [], "seed {seed}");
    }
}

#[test]
fn over_the_limit_the_notified_are_to_blame_from_two_thirds_on() {
    let spec = Spec::default();
    let verifier = Verifier::new(facts(&spec).settings, 0);
    // What all sent and the notified among them, of 100 allowed, which is a limit of 122; whether that is a breach
    let cases = [(122.0, 122.0, false), (122.1, 122.1, true), (150.0, 99.0, false), (150.0, 100.0, true)];
    for (total, notified, broken) in cases {
        let finding = verifier.slow_start(7, &WindowLoad { total, notified, allowed: 100.0 });
        assert_eq!(finding.is_err(), broken, "{total}, {notified}: {finding:?}");
        assert!(finding.is_ok() || matches!(finding, Err((Rule::ColdWorker, _))));
    }
}

#[test]
fn a_day_tells_what_each_start_was_sent() {
    let spec = random_starts(&Spec::default(), 4, 1);
    let day = play(&spec, "starts", 1, Kind::Notchdoor, false);
    assert!(!day.slow_starts.is_empty());
    for peak in &day.slow_starts {
        assert!(peak.started <= peak.at && peak.notified <= peak.total && peak.allowed > 0.0, "{peak:?}");
    }
    let text = serde_json::to_string(&day).unwrap();
    let back: Day = serde_json::from_str(&text).unwrap();
    // Shares come back to the last digit but one: the reader of JSON is not exact to the last bit.
    let starts =
        |day: &Day| day.slow_starts.iter().map(|p| (p.server, p.started, p.at, p.over)).collect::<Vec<_>>();
    assert_eq!(starts(&back), starts(&day));
    for (a, b) in back.slow_starts.iter().zip(&day.slow_starts) {
        assert!((a.share - b.share).abs() < 1e-12 && (a.allowed - b.allowed).abs() < 1e-9, "{a:?} {b:?}");
    }
    // A result from before starts were told of is still read.
    let mut old: serde_json::Value = serde_json::from_str(&text).unwrap();
    old.as_object_mut().unwrap().remove("slow_starts").unwrap();
    let old: Day = serde_json::from_value(old).unwrap();
    assert_eq!((old.slow_starts.len(), old.digest), (0, day.digest));
}
