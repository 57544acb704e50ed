//! Tests of the version schedule.

use super::*;

#[test]
fn a_paused_process_applies_the_version_that_is_due_when_it_continues() {
    let rules = |class: &str| BlockRules { classes: [class.to_owned()].into(), ..BlockRules::default() };
    let on = |from, number, class: &str| Step { from, on: Some(Version { number, rules: rules(class) }) };
    let mut in_force = VersionInForce::new(rules("guarded"), 0);
    assert!(in_force.forbids("guarded", b"k") && !in_force.step(5));
    in_force.plan(vec![on(10, 1, "a"), on(100, 2, "b"), Step { from: 200, on: None }]);
    assert!(
        !in_force.step(9)
            && in_force.step(10)
            && in_force.forbids("a", b"k")
            && !in_force.forbids("guarded", b"k")
    );
    assert_eq!((in_force.next_due(), in_force.until()), (Some(100), 200));
    // Confirmed again: the same version stays in force.
    in_force.plan(vec![on(50, 1, "a"), Step { from: 250, on: None }]);
    assert!(!in_force.step(60) && in_force.acting().from == 10 && in_force.until() == 250);
    in_force.plan(vec![on(70, 1, "a"), on(100, 2, "b"), Step { from: 200, on: None }]);
    assert!(in_force.step(1_000) && in_force.forbids("guarded", b"k") && !in_force.forbids("b", b"k"));
}
