use super::*;

fn acquire(task: &str, holder: &str) -> Command {
    Command::Acquire { task: task.into(), holder: holder.into(), ttl_ms: 3000 }
}

#[test]
fn second_holder_is_refused_and_tokens_increase_across_holders() {
    let (mut t, b) = (LeaseTable::default(), Bounds::default());
    assert_eq!(t.apply(3, &acquire("warm", "a"), &b), Outcome::Granted { token: 3, ttl_ms: 3000 });
    assert_eq!(
        t.apply(4, &acquire("warm", "b"), &b),
        Outcome::Refused(Refusal::Held { holder: "a".into(), token: 3 })
    );
    // A repeated acquire keeps the token.
    assert_eq!(t.apply(5, &acquire("warm", "a"), &b), Outcome::Granted { token: 3, ttl_ms: 3000 });
    let expire = Command::Expire { task: "warm".into(), token: 3, as_of: 5 };
    assert_eq!(t.apply(6, &expire, &b), Outcome::Expired { token: 3 });
    assert_eq!(t.apply(7, &acquire("warm", "b"), &b), Outcome::Granted { token: 7, ttl_ms: 3000 });
}

#[test]
fn expiry_older_than_a_renewal_has_no_effect() {
    let (mut t, b) = (LeaseTable::default(), Bounds::default());
    t.apply(1, &acquire("probe", "a"), &b);
    let renew = Command::Renew { task: "probe".into(), holder: "a".into(), token: 1 };
    assert_eq!(t.apply(2, &renew, &b), Outcome::Renewed { token: 1, ttl_ms: 3000 });
    // The leader counted from the grant at index 1, but the holder counts from the renewal at index 2.
    let stale = Command::Expire { task: "probe".into(), token: 1, as_of: 1 };
    assert_eq!(t.apply(3, &stale, &b), Outcome::Refused(Refusal::Overtaken));
    assert_eq!(t.grants()["probe"].holder, "a");
}

#[test]
fn revoked_grant_refuses_renewal_and_is_held_until_released() {
    let (mut t, b) = (LeaseTable::default(), Bounds::default());
    t.apply(1, &acquire("warm", "a"), &b);
    let revoke = Command::Revoke { task: "warm".into(), token: 1 };
    assert_eq!(t.apply(2, &revoke, &b), Outcome::Revoked { token: 1 });
    let renew = Command::Renew { task: "warm".into(), holder: "a".into(), token: 1 };
    let told = Outcome::Refused(Refusal::Revoked { token: 1 });
    assert_eq!((t.apply(3, &renew, &b), t.apply(4, &acquire("warm", "a"), &b)), (told.clone(), told));
    assert!(matches!(t.apply(5, &acquire("warm", "b"), &b), Outcome::Refused(Refusal::Held { .. })));
    let release = Command::Release { task: "warm".into(), holder: "a".into(), token: 1 };
    assert_eq!(t.apply(6, &release, &b), Outcome::Released { token: 1 });
    assert_eq!(t.apply(7, &acquire("warm", "b"), &b), Outcome::Granted { token: 7, ttl_ms: 3000 });
}

#[test]
fn new_leader_restarts_the_ttl_of_every_grant() {
    let (mut t, b) = (LeaseTable::default(), Bounds::default());
    t.apply(1, &acquire("probe", "a"), &b);
    let mut e = Expiries::default();
    e.restart(&t, 10_000);
    assert!(e.expired(12_999).is_empty());
    assert_eq!(e.expired(13_000), vec![Command::Expire { task: "probe".into(), token: 1, as_of: 1 }]);
}

#[test]
fn invalid_names_and_ttls_are_refused_with_the_field_name() {
    let (mut t, b) = (LeaseTable::default(), Bounds::default());
    let long = Command::Acquire { task: "x".repeat(200), holder: "a".into(), ttl_ms: 3000 };
    assert!(matches!(t.apply(1, &long, &b), Outcome::Refused(Refusal::Invalid(w)) if w.starts_with("task")));
    let short = Command::Acquire { task: "x".into(), holder: "a".into(), ttl_ms: 1 };
    assert!(
        matches!(t.apply(2, &short, &b), Outcome::Refused(Refusal::Invalid(w)) if w.starts_with("ttl_ms"))
    );
    assert!(t.grants().is_empty());
}
