use super::*;
use crate::lease::{Command, Outcome, Refusal};

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

#[test]
fn configured_address_of_the_leader_is_preferred_and_self_references_are_skipped() {
    let members = [(1, address(1)), (2, address(2)), (3, address(3))];
    assert_eq!(next_endpoint(&members, address(1), Some(3), Some(address(33))), address(3));
    assert_eq!(next_endpoint(&members, address(1), Some(4), Some(address(44))), address(44));
    assert_eq!(next_endpoint(&members, address(3), None, None), address(1));
    // A leader hint that points back to the same member is ignored.
    assert_eq!(next_endpoint(&members, address(3), Some(3), None), address(1));
}

#[test]
fn fenced_holder_releases_its_grant_before_acquiring_again() {
    let mut s = Session::new(vec![(1, address(1))], "p", &[("warm".into(), 3_000)], Drift::default(), 1);
    let granted = |token| Answer::Done { outcome: Outcome::Granted { token, ttl_ms: 3_000 }, left_ms: None };
    let [(number, _), (MEMBERS_REQUEST, Request::Members)] = s.due(0)[..] else {
        panic!("an acquire is due")
    };
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
fn all_requests_in_flight_to_a_follower_are_resent_to_the_leader() {
    let members = vec![(1, address(1)), (2, address(2))];
    let tasks = [("warm".into(), 3_000), ("probe".into(), 3_000)];
    let mut s = Session::new(members, "p", &tasks, Drift::default(), 1);
    let asked = s.due(0);
    assert_eq!(asked.len(), 3);
    let leader = if s.current_member().0 == address(1) { 2 } else { 1 };
    assert!(s.answered(asked[0].0, &Answer::NotLeader { leader: Some(leader), at: None }, 5));
    let again = s.due(5);
    assert!(again.iter().filter(|(_, r)| matches!(r, Request::Lease(_))).count() == 2, "{again:?}");
}

#[test]
fn learnt_members_are_tried_when_configured_members_are_unreachable() {
    let mut s = Session::new(vec![(1, address(1))], "p", &[("warm".into(), 3_000)], Drift::default(), 1);
    s.due(0);
    s.answered(MEMBERS_REQUEST, &Answer::Members(vec![(1, address(11)), (4, address(4))]), 5);
    s.connection_failed(10);
    assert_eq!(
        s.current_member().0,
        address(4),
        "the configured address of member 1 was just tried, and is not replaced"
    );
    s.connection_failed(20);
    assert_eq!(s.current_member().0, address(1));
}

#[test]
fn revoked_holder_releases_at_once_and_waits_a_ttl_before_acquiring() {
    let mut s = Session::new(vec![(1, address(1))], "p", &[("warm".into(), 3_000)], Drift::default(), 1);
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
