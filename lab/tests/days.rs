//! Whole days: the same seed gives the same day, the module keeps every rule, and a broken one is caught.

use notchdoor_lab::policy::{Kind, USUAL};
use notchdoor_lab::rules::Rule;
use notchdoor_lab::scenario::{self, BUILT_IN};
use notchdoor_lab::{experiment, play, search};
use notchdoor_model::faults::{self, Fault};
use notchdoor_model::spec::Spec;

/// A small day with these faults.
fn day(faults: &[Fault]) -> Spec {
    let mut spec = Spec { length_s: 24.0, warm_up_s: 8.0, ..Spec::default() };
    spec.load.share = 0.5;
    // Enough sign-offs that some are out whenever something happens.
    spec.classes[2].share = 0.3;
    spec.faults = faults.to_vec();
    spec
}

#[test]
fn every_built_in_day_keeps_the_rules_and_leaves_nothing() {
    for (name, _) in BUILT_IN.iter().filter(|(name, _)| *name != "thousand") {
        let scenario = scenario::load(name, &[]).unwrap();
        for seed in 1..=3 {
            let day = play(&scenario.spec, name, seed, Kind::Notchdoor, true);
            assert_eq!(day.breaches, [], "{name}, seed {seed}: {:#?}", day.trace);
            assert!(
                day.counts.served > 2_000 && day.score.goal > 0.3,
                "{name}, seed {seed}: {:?}",
                day.score
            );
        }
    }
}

#[test]
fn a_day_is_the_same_on_any_number_of_threads() {
    let scenarios = ["churn", "zone-cut"].map(|name| scenario::load(name, &[]).unwrap());
    let plans: Vec<_> = scenarios
        .iter()
        .flat_map(|s| USUAL.iter().flat_map(|&k| experiment::plans(s, k, None, &[1, 2])))
        .collect();
    let digests = |threads| -> Vec<String> {
        experiment::run(&plans, threads, true).unwrap().into_iter().map(|d| d.digest).collect()
    };
    let one = digests(1);
    assert_eq!(one, digests(4));
    assert_eq!(one, digests(1), "and again in the same process");
    let mut different = one.clone();
    different.sort();
    different.dedup();
    assert_eq!(different.len(), one.len(), "no two plans are the same day");
}

#[test]
fn policies_see_the_same_arrivals_on_one_seed() {
    let scenario = scenario::load("payday", &[]).unwrap();
    let wanted = |kind| play(&scenario.spec, "payday", 5, kind, false).counts.wanted;
    assert!(USUAL.iter().all(|kind| wanted(*kind) == wanted(Kind::Notchdoor)));
}

#[test]
fn what_is_deliberately_broken_is_caught_and_shrinks() {
    let fault = |kind, at_s, length_s| Fault::new(kind, at_s, length_s);
    let noise = [fault(faults::FaultKind::Scan, 3.0, 9.0), fault(faults::FaultKind::LateReports, 2.0, 12.0)];
    let restart = Fault { count: Some(3.0), ..fault(faults::FaultKind::RestartBackends, 5.0, 6.0) };
    let kill = Fault { count: Some(2.0), ..fault(faults::FaultKind::KillBackends, 4.0, 0.0) };
    let stop = fault(faults::FaultKind::OriginStop, 6.0, 3.0);
    // the policy, the fault that brings it out, the rule that must be found broken, faults that may be left
    let cases = [
        ("broken-repeats", stop, vec![Rule::Repeats, Rule::RanTwice], 1),
        ("broken-forgets", kill.clone(), vec![Rule::OneAnswer], 0),
        ("broken-ignores-drains", restart, vec![Rule::Drain], 1),
        ("broken-stampedes", kill, vec![Rule::ColdWorker], 1),
        ("broken-miscounts", fault(faults::FaultKind::Flush, 4.0, 0.0), vec![Rule::Counts], 0),
    ];
    for (name, cause, rules, left) in cases {
        let spec = day(&[noise[0].clone(), cause, noise[1].clone()]);
        let kind = Kind::parse(name).unwrap();
        let played = play(&spec, name, spec.seed, kind, true);
        let first = played.breaches.first().unwrap_or_else(|| panic!("{name} is not caught"));
        assert!(rules.contains(&first.rule), "{name}: {first:?}");
        assert_eq!(played.score.goal, 0.0, "{name}");
        assert!(!played.trace.is_empty(), "{name}: nothing tells what led to it");
        let small = search::shrink(&spec, kind).unwrap();
        let still = small.day.breaches.first().unwrap();
        assert_eq!(still.rule, first.rule, "{name}: another rule");
        assert!(small.spec.faults.len() <= left, "{name}: {:?}", small.spec.faults);
        assert!(small.spec.backends.count < spec.backends.count, "{name}");
        // The file that is written stands for the very same day.
        let again = scenario::parse("small", &scenario::write(&small.spec)).unwrap();
        assert_eq!(play(&again, "small", again.seed, kind, true).digest, small.day.digest, "{name}");
    }
}

#[test]
fn random_days_differ_hold_and_are_found_again_by_their_seed() {
    let base = Spec::default();
    let budget = search::Budget { days: 60, time: None, first: false };
    let found = search::search(&base, Kind::Notchdoor, 1, budget, 0, true).unwrap();
    let told: Vec<String> =
        found.found.iter().map(|f| format!("{}: {}", f.spec.seed, f.breach.what)).collect();
    assert_eq!(told, Vec::<String>::new());
    assert_eq!(found.days, 60);
    let kinds = |seed| search::random_day(&base, seed).faults.iter().map(|f| f.kind).collect::<Vec<_>>();
    let all: std::collections::BTreeSet<faults::FaultKind> = (1..=60).flat_map(kinds).collect();
    assert!(all.len() > faults::FaultKind::ALL.len() / 2, "{all:?}");
    for seed in 1..=60 {
        let day = search::random_day(&base, seed);
        assert_eq!(day.validate(), [], "a random day is a good one, seed {seed}");
        assert_eq!(scenario::write(&day), scenario::write(&search::random_day(&base, seed)));
    }
    let budget = search::Budget { days: 60, time: None, first: true };
    let broken = search::search(&base, Kind::parse("broken-forgets").unwrap(), 1, budget, 2, true).unwrap();
    assert!(!broken.found.is_empty() && broken.days < 60, "{} days", broken.days);
}

#[test]
fn what_is_in_found_breaks_no_rule_any_more() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/found");
    let mut files: Vec<_> = std::fs::read_dir(&folder).unwrap().flatten().map(|e| e.path()).collect();
    files.retain(|path| path.extension().is_some_and(|e| e == "toml"));
    files.sort();
    assert_ne!(files, [] as [std::path::PathBuf; 0], "{}", folder.display());
    for path in files {
        let name = path.display().to_string();
        let spec = scenario::load(&name, &[]).unwrap().spec;
        let open = spec.about.starts_with("OPEN: ");
        let breaches = play(&spec, &name, spec.seed, Kind::Notchdoor, true).breaches;
        // What is written down as open has to be taken off that list when it is mended.
        assert_eq!(!breaches.is_empty(), open, "{name}: {breaches:?}");
    }
}
