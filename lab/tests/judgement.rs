//! The verifier, rule by rule, as tables; and what is said of two results.

use notchdoor::{Class, Discovery, Effect, Outcome, Scope, Settings};
use notchdoor_lab::compare::{compare, lost, Verdict};
use notchdoor_lab::experiment;
use notchdoor_lab::policy::Kind;
use notchdoor_lab::record::Day;
use notchdoor_lab::rules::{NotifiedList, Ran, Rule, Sent, Verifier};
use notchdoor_lab::scenario;
use notchdoor_lab::stats::{mean, paired_p};
use notchdoor_model::discovery::{EndpointEntry, ListedState};
use notchdoor_model::overload::Overload;

const MS: u64 = 1_000;

fn verifier(second_copies: bool) -> Verifier {
    let class = |effect| Class {
        latency_objective: 500 * MS,
        priority_weight: 1.0,
        late_value_share: 0.5,
        effect,
        window_share: 1.0,
    };
    let keyed = |scope| class(Effect::Deduplicated { scope, window: 800 * MS });
    let settings = Settings {
        proxies: 2,
        classes: vec![
            class(Effect::Idempotent),
            keyed(Scope::All),
            keyed(Scope::Zone),
            class(Effect::AtMostOnce),
        ],
        tenants: vec![],
        over_quota_weight: 0.1,
        origin_kind: Some(2),
        discovery: Discovery::Pushed,
        sizes_vary_with_load: false,
        max_attempts: 3,
        hedging: second_copies,
        may_cancel: true,
        max_retry_after: 0,
        max_in_flight: 100,
        initial_capacity_share: 0.3,
        warmup: 1,
        overload_multiple: 4.0,
        overload_window: 1,
    };
    Verifier::new(settings, 1_000 * MS)
}

fn line(server: u32, zone: u32, state: ListedState) -> EndpointEntry {
    EndpointEntry { server, kind: 0, zone, cell: 0, size: 1.0, started: 0, state }
}

#[test]
fn attempts_are_repeated_and_refused_only_as_the_class_allows() {
    let mut told = NotifiedList::default();
    told.told(
        0,
        &[
            line(1, 0, ListedState::Serving),
            line(2, 1, ListedState::Serving),
            line(3, 0, ListedState::Serving),
        ],
        true,
    );
    let (safe, all, zone, once) = (Some(0), Some(1), Some(2), Some(3));
    // class, what became of the first attempt (at server 1, at 0), next to, when, may send, may refuse
    let cases = [
        (safe, Ran::Maybe, 2, 900, true, true),
        (safe, Ran::Out, 2, 10, true, true),
        (all, Ran::Maybe, 2, 799, true, true),
        (all, Ran::Maybe, 2, 800, false, true),
        (all, Ran::Never, 2, 900, true, true),
        (zone, Ran::Maybe, 3, 10, true, false),
        (zone, Ran::Maybe, 2, 10, false, false),
        (zone, Ran::Never, 2, 10, true, true),
        (once, Ran::Never, 2, 10, true, true),
        (once, Ran::Maybe, 2, 10, false, false),
        (once, Ran::Out, 2, 10, false, false),
        // A class that nobody knows is one that must never run twice.
        (None, Ran::Maybe, 2, 10, false, false),
    ];
    for (class, ran, to, at, send, refuse) in cases {
        let before = [Sent { server: 1, at: 0, ran }];
        let r = verifier(true);
        let case = format!("class {class:?}, {ran:?}, to {to} at {at} ms");
        let sending = r.may_send(at * MS, class, &before, to, &told);
        assert_eq!(sending.is_ok(), send, "{case}: {sending:?}");
        assert!(sending.is_ok() || matches!(sending, Err((Rule::Repeats, _))));
        assert_eq!(r.may_refuse(class, &before).is_ok(), refuse, "{case}");
    }
    let out = [Sent { server: 1, at: 0, ran: Ran::Out }];
    assert!(verifier(false).may_send(0, safe, &out, 2, &told).is_err(), "no second copies here");
    assert_eq!(Ran::of(Outcome::Rejected), Ran::Never);
    assert_eq!(Ran::of(Outcome::Reset), Ran::Maybe);
    assert!(
        verifier(true).ran(3, 1).is_ok()
            && verifier(true).ran(3, 2).is_err()
            && verifier(true).ran(0, 9).is_ok()
    );
}

#[test]
fn drains_are_kept_from_when_they_were_told() {
    let mut told = NotifiedList::default();
    told.told(0, &[line(1, 0, ListedState::Serving), line(2, 0, ListedState::Serving)], true);
    told.told(5_000 * MS, &[line(1, 0, ListedState::Draining)], false);
    // Told again, the first telling still counts; a list without a server says that it is gone.
    told.told(5_800 * MS, &[line(1, 0, ListedState::Gone)], false);
    told.told(7_000 * MS, &[line(1, 0, ListedState::Gone)], true);
    let may = |at: u64, server| verifier(true).may_send(at * MS, Some(0), &[], server, &told);
    assert!(may(6_000, 1).is_ok());
    assert!(matches!(may(6_001, 1), Err((Rule::Drain, _))));
    assert!(may(8_000, 2).is_ok() && matches!(may(8_001, 2), Err((Rule::Drain, _))));
    assert!(matches!(may(0, 9), Err((Rule::Unlisted, _))));
    let again = EndpointEntry { started: 9, ..line(1, 0, ListedState::Serving) };
    told.told(9_000 * MS, &[again], false);
    assert!(verifier(true).may_send(20_000 * MS, Some(0), &[], 1, &told).is_ok(), "it serves again");
    assert!(told.knows_start(1, 9) && !told.knows_start(1, 0) && !told.knows_start(7, 0));
}

#[test]
fn cold_rules_blame_those_who_knew() {
    let over = |sent, blamed, due| Overload { sent, attributed: blamed, capacity: 1.0, expected: due };
    let r = verifier(true);
    assert!(r.fell(1, &over(9.0, 5.9, 0.0)).is_ok() && r.fell(1, &over(9.0, 6.0, 0.0)).is_err());
    assert!(r.stopped(&over(10.0, 3.0, 1.0)).is_ok(), "no more than three in ten were cold misses");
    assert!(r.stopped(&over(10.0, 4.0, 4.0)).is_ok(), "no more than was due");
    assert!(r.stopped(&over(10.0, 4.0, 3.0)).is_err());
}

#[test]
fn means_and_pairs_are_student_s() {
    let m = mean(&[1.0, 2.0, 3.0, 4.0]);
    // s = 1.2910, t(0.975; 3) = 3.1824: 3.1824 * 1.2910 / 2.
    assert!((m.mean - 2.5).abs() < 1e-12 && (m.half - 2.0542).abs() < 1e-3, "{m:?}");
    assert_eq!(mean(&[7.0]).half, 0.0);
    // t = 1.5 / (0.5773 / 2) = 5.196 with 3 degrees of freedom: p = 0.0138.
    let p = paired_p(&[1.0, 1.0, 2.0, 2.0]);
    assert!((p - 0.0138).abs() < 2e-4, "{p}");
    assert_eq!((paired_p(&[1.0]), paired_p(&[0.0, 0.0]), paired_p(&[2.0, 2.0])), (1.0, 1.0, 0.0));
}

fn days(goals: &[f64], breaches: u64) -> Vec<Day> {
    let spec = scenario::load("calm", &["length_s=2".into(), "warm_up_s=0".into()]).unwrap().spec;
    let plain = notchdoor_lab::play(&spec, "calm", 1, Kind::Notchdoor, false);
    let one = |(i, goal): (usize, &f64)| {
        let mut day = plain.clone();
        day.seed = i as u64;
        day.score.goal = *goal;
        day.breach_count = breaches;
        day
    };
    goals.iter().enumerate().map(one).collect()
}

#[test]
fn a_comparison_tells_a_difference_from_noise() {
    let a = [0.50, 0.60, 0.70, 0.80];
    // B's goals, its breaches, the verdict on the goal, whether B lost
    let cases: [(&[f64], u64, Verdict, bool); 6] = [
        (&[0.52, 0.63, 0.72, 0.83], 0, Verdict::Better, false),
        (&[0.47, 0.58, 0.67, 0.78], 0, Verdict::Worse, true),
        (&[0.60, 0.50, 0.80, 0.70], 0, Verdict::Noise, false),
        (&[0.501, 0.601, 0.701, 0.801], 0, Verdict::Noise, false),
        (&[0.20], 0, Verdict::TooFew, false),
        (&[0.52, 0.63, 0.72, 0.83], 1, Verdict::Better, true),
    ];
    for (b, breaches, verdict, loses) in cases {
        let (a, b) = (days(&a, 0), days(b, breaches));
        let lines = compare(&a, &b).unwrap();
        let goal = lines.iter().find(|l| l.figure == "goal").unwrap();
        assert_eq!((goal.verdict, lost(&a, &b, &lines)), (verdict, loses), "{goal:?}");
    }
    let mut other = days(&[0.5], 0);
    other[0].scenario = "elsewhere".into();
    assert!(compare(&days(&a, 0), &other).unwrap_err().contains("no day of the one"));
}

/// A day on sockets knows nothing of how busy workers were: a chart without a point was drawn for ever.
#[test]
fn figures_that_nobody_took_down_leave_an_empty_chart() {
    let folder = std::env::temp_dir().join(format!("notchdoor-lab-empty-{}", std::process::id()));
    let spec = scenario::load("calm", &["length_s=10".to_owned()]).unwrap().spec;
    let mut day = notchdoor_lab::play(&spec, "calm", 1, Kind::Notchdoor, false);
    day.seconds.iter_mut().for_each(|s| s.busy = (0.0, 0.0));
    experiment::write(&[day], &folder).unwrap();
    assert!(std::fs::read_to_string(folder.join("imbalance.svg")).unwrap().contains("How busy"));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn results_are_read_back_as_they_were_written() {
    let folder = std::env::temp_dir().join(format!("notchdoor-lab-{}", std::process::id()));
    let spec = |set: &[&str]| {
        let set: Vec<String> = set.iter().map(|s| (*s).to_owned()).collect();
        scenario::load("flush", &set).unwrap()
    };
    let scenarios = [spec(&["length_s=30", "load.share=0.3"]), spec(&["length_s=30", "load.share=0.5"])];
    let kinds = ["notchdoor", "rendezvous"].map(|n| Kind::parse(n).unwrap());
    let plans: Vec<_> = scenarios
        .iter()
        .flat_map(|s| kinds.iter().flat_map(|&k| experiment::plans(s, k, None, &[1, 2])))
        .collect();
    let days = experiment::run(&plans, 2, true).unwrap();
    let charts = experiment::write(&days, &folder).unwrap();
    let back = experiment::read(&folder).unwrap();
    let keys = |days: &[Day]| -> Vec<_> {
        days.iter().map(|d| (d.set.clone(), d.policy.clone(), d.seed, d.digest.clone(), d.counts)).collect()
    };
    assert_eq!(keys(&back), keys(&days));
    let summary = std::fs::read_to_string(folder.join("summary.md")).unwrap();
    assert!(summary.contains("load.share=0.5") && summary.contains(&days[0].digest[..16]));
    // Two scenarios have charts of their own, and every chart names every policy or class that it shows.
    assert_eq!(charts.len(), 20);
    for chart in &charts {
        let text = std::fs::read_to_string(folder.join(chart)).unwrap();
        assert!(text.starts_with("<svg") && text.trim_end().ends_with("</svg>"), "{chart}");
        assert!(text.contains("notchdoor") && summary.contains(chart.as_str()), "{chart}");
    }
    std::fs::write(folder.join("result.json"), "{}\n").unwrap();
    let error = experiment::read(&folder).err().unwrap();
    assert!(error.contains("result.json:1: no result of a day: missing field"), "{error}");
    std::fs::remove_dir_all(&folder).unwrap();
}
