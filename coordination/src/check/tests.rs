use super::*;

fn act(began: u64, ended: u64, holder: &str, token: u64, admitted: bool) -> Action {
    Action { began, ended, task: "t".into(), holder: holder.into(), token, admitted }
}

#[test]
fn adjacent_periods_count_as_one_disagreement() {
    let on = |version, from, until| Period { version, from, until };
    let a = vec![on(1, 0, 100), on(2, 100, 900)];
    let b = vec![on(1, 0, 150), on(1, 150, 180), on(2, 300, 900)];
    assert_eq!(disagreement(&[a.clone(), b]), 80);
    assert_eq!(disagreement(&[a.clone(), vec![on(2, 200, 900)], a]), 0);
}

#[test]
fn each_violation_is_reported() {
    let good = [act(0, 5, "a", 2, true), act(6, 9, "b", 4, true), act(10, 10, "a", 2, false)];
    assert_eq!(check(&good), Ok(Checked { admitted: 2, refused: 1, handovers: 1, tasks: 1 }));
    let breaks = |actions: &[Action], told: &str| {
        let error = check(actions).unwrap_err();
        assert!(error.starts_with(told), "{error}");
    };
    breaks(&[act(0, 5, "a", 4, true), act(6, 9, "b", 2, true)], "admitted token decreased");
    breaks(&[act(0, 5, "a", 2, true), act(4, 9, "b", 4, true)], "actions of two holders overlap");
    breaks(&[act(0, 5, "a", 2, true), act(6, 9, "b", 2, true)], "token used by two holders or tasks");
    breaks(
        &[act(0, 5, "a", 2, true), act(6, 6, "b", 3, false)],
        "action refused although no higher token was admitted before it",
    );
}
