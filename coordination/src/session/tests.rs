use super::*;
use crate::lease::{Command, Outcome, Refusal};

fn door(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

#[test]
fn the_leader_is_asked_through_the_files_door_and_a_dead_member_is_passed_over() {
    let doors = [(1, door(1)), (2, door(2)), (3, door(3))];
    assert_eq!(next_endpoint(&doors, door(1), Some(3), Some(door(33))), door(3));
    assert_eq!(next_endpoint(&doors, door(1), Some(4), Some(door(44))), door(44));
    assert_eq!(next_endpoint(&doors, door(3), None, None), door(1));
    // A leader hint that points back to the same member is ignored.
    assert_eq!(next_endpoint(&doors, door(3), Some(3), None), door(1));
}

#[test]
fn a_fenced_holder_gives_its_grant_back_before_it_asks_anew() {
    let mut s = Session::new(vec![(1, door(1))], "p", &[("warm".into(), 3_000)], Drift::default(), 1);
    let granted = |token| Answer::Done { outcome: Outcome::Granted { token, ttl_ms: 3_000 }, left_ms: None };
    let [(number, _), (LEARN, Request::Members)] = s.due(0)[..] else { panic!("an acquire is due") };
    s.answered(number, &granted(7), 5);
    assert_eq!((s.tasks()[0].token(10), s.next_due()), (Some(7), 1_000));
    s.fenced(0, 7, 10);
    assert_eq!(s.tasks()[0].token(10), None);
    let asks = s.due(10);
    let release = Command::Release { task: "warm".into(), holder: "p".into(), token: 7 };
    assert_eq!(asks[0].1, Request::Lease(release));
    s.answered(asks[0].0, &Answer::Done { outcome: Outcome::Released { token: 7 }, left_ms: None }, 20);
    assert!(matches!(&s.due(3_020)[0].1, Request::Lease(Command::Acquire { .. })));
}

#[test]
fn what_was_asked_of_the_wrong_member_is_all_asked_of_the_leader() {
    let doors = vec![(1, door(1)), (2, door(2))];
    let tasks = [("warm".into(), 3_000), ("probe".into(), 3_000)];
    let mut s = Session::new(doors, "p", &tasks, Drift::default(), 1);
    let asked = s.due(0);
    assert_eq!(asked.len(), 3);
    let leader = if s.door().0 == door(1) { 2 } else { 1 };
    assert!(s.answered(asked[0].0, &Answer::NotLeader { leader: Some(leader), at: None }, 5));
    let again = s.due(5);
    assert!(again.iter().filter(|(_, r)| matches!(r, Request::Lease(_))).count() == 2, "{again:?}");
}

#[test]
fn when_all_members_of_the_file_are_gone_those_that_the_group_told_of_are_asked() {
    let mut s = Session::new(vec![(1, door(1))], "p", &[("warm".into(), 3_000)], Drift::default(), 1);
    s.due(0);
    s.answered(LEARN, &Answer::Members(vec![(1, door(11)), (4, door(4))]), 5);
    s.broken(10);
    assert_eq!(s.door().0, door(4), "the configured address of member 1 was just tried, and is not replaced");
    s.broken(20);
    assert_eq!(s.door().0, door(1));
}

#[test]
fn a_revoked_holder_stops_at_once_and_leaves_the_task_to_others() {
    let mut s = Session::new(vec![(1, door(1))], "p", &[("warm".into(), 3_000)], Drift::default(), 1);
    let done = |outcome| Answer::Done { outcome, left_ms: None };
    let [(number, _), _] = s.due(0)[..] else { panic!("an acquire is due") };
    s.answered(number, &done(Outcome::Granted { token: 7, ttl_ms: 3_000 }), 5);
    let [(number, _)] = s.due(1_000)[..] else { panic!("a renewal is due") };
    s.answered(number, &done(Outcome::Refused(Refusal::Revoked { token: 7 })), 1_005);
    assert_eq!(s.tasks()[0].token(1_005), None);
    let [(number, Request::Lease(Command::Release { token: 7, .. }))] = s.due(1_005)[..] else {
        panic!("a release is due")
    };
    s.answered(number, &done(Outcome::Released { token: 7 }), 1_010);
    assert!(s.due(1_010 + 2_999).is_empty() && !s.due(1_010 + 3_000).is_empty());
}
