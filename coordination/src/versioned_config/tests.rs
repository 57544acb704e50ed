use super::*;

fn rules(class: &str) -> BlockRules {
    BlockRules { classes: [class.to_owned()].into(), ..BlockRules::default() }
}

const TERMS: ConfirmationTiming =
    ConfirmationTiming { within_ms: 4_000, drift: Drift { rate_ppm: 10_000, margin_ms: 100 } };

#[test]
fn one_of_two_proposals_on_a_base_is_accepted_and_repeats_change_nothing() {
    let mut v = VersionedConfig::default();
    assert_eq!(v.propose(0, &rules("a")), ProposalOutcome::Pending { number: 1 });
    assert_eq!(v.propose(0, &rules("b")), ProposalOutcome::Stale { newest: 1 });
    assert_eq!(v.propose(0, &rules("a")), ProposalOutcome::Unchanged { number: 1 });
    assert_eq!(v.propose(1, &rules("b")), ProposalOutcome::Busy { pending: 1 });
    assert!(!v.force(2) && v.force(1) && !v.force(1));
    assert_eq!((v.current().number, v.newest().number), (1, 1));
    // Returning to earlier rules creates a new version.
    assert_eq!(v.propose(1, &BlockRules::default()), ProposalOutcome::Pending { number: 2 });
    let long = rules(&"x".repeat(300));
    assert!(
        matches!(v.propose(2, &long), ProposalOutcome::Invalid(why) if why.starts_with("block.classes: "))
    );
}

#[test]
fn view_switches_at_the_announced_time_and_is_in_safe_mode_without_confirmation() {
    let (mut v, mut view) = (VersionedConfig::default(), View::new(TERMS.drift));
    assert_eq!(view.acting(0), Acting::Safe, "nothing is confirmed yet");
    view.confirmed(1_000, v.confirm(view.have(), &TERMS, 0));
    assert!(matches!(view.acting(1_100), Acting::On(Version { number: 0, .. })));
    v.propose(0, &rules("a"));
    view.confirmed(1_500, v.confirm(view.have(), &TERMS, 300));
    // The version is pending for 2,140 ms, 300 ms of which have passed. The confirmation is valid for 2,000
    // ms minus drift and margin.
    assert!(matches!(view.acting(3_339), Acting::On(Version { number: 0, .. })));
    assert!(matches!(view.acting(3_340), Acting::On(Version { number: 1, .. })));
    assert_eq!(view.acting(3_360), Acting::Safe);
    // A new leader restarts the delay, so the old version is in force again. The proxy, which has applied
    // the new one, must stay in safe mode.
    view.confirmed(3_400, v.confirm(view.have(), &TERMS, 0));
    assert_eq!(view.acting(3_500), Acting::Safe);
    v.force(1);
    view.confirmed(5_600, v.confirm(view.have(), &TERMS, 0));
    assert!(matches!(view.acting(5_700), Acting::On(Version { number: 1, .. })));
    // A late answer to an older request is ignored.
    view.confirmed(5_000, VersionedConfig::default().confirm(0, &TERMS, 0));
    assert!(matches!(view.acting(5_700), Acting::On(Version { number: 1, .. })));
}

#[test]
fn confirmations_without_a_version_expire_before_it_is_in_force() {
    // Worst case: the proxy's clock is slow and the leader's fast, and the confirmation was requested just
    // before the version was proposed.
    let good = TERMS.drift.act_until(0, TERMS.good_ms()) as f64 * 1.01;
    let pending = TERMS.delay_ms() as f64 * 0.99;
    assert!(good < pending && TERMS.check().is_ok(), "{good} {pending}");
    assert!(ConfirmationTiming { within_ms: 400, ..TERMS }.check().is_err());
}

#[test]
fn the_largest_rules_fit_into_a_frame_and_larger_ones_are_refused() {
    // JSON escapes each of these characters to six bytes.
    let name = |n: usize| format!("{n:04}{}", "\u{1}".repeat(250));
    let of = |count: usize| BlockRules { keys: (0..count).map(name).collect(), ..BlockRules::default() };
    assert!(of(258).check().is_ok() && of(259).check().is_err());
    let largest = Version { number: 1, rules: of(258) };
    let told = VersionedConfig { current: largest.clone(), next: Some(largest) }.confirm(0, &TERMS, 0);
    let mut bytes = Vec::new();
    let answer = crate::protocol::Answer::Confirmed(told);
    crate::wire::encode(&crate::wire::Frame::Answer { req: 1, answer }, &mut bytes);
    assert!(bytes.len() < crate::wire::MAX_CLIENT_FRAME_BYTES, "{}", bytes.len());
}

#[test]
fn first_name_outside_the_guard_is_returned() {
    let guard = BlockRules { workers: ["w1".to_owned()].into(), ..rules("a") };
    assert!(guard.covers(&rules("a")));
    assert_eq!(rules("b").outside(&guard), Some(("block.classes", "b")));
    let changes = rules("a").changes_to(&BlockRules { workers: ["w1".to_owned()].into(), ..rules("c") });
    assert_eq!(changes, ["- block.classes a", "+ block.classes c", "+ workers.out w1"]);
}
