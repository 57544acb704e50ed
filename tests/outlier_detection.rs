//! Outlier detection: which caches are ejected, and how they are reinstated.

mod common;
use common::*;
use notchdoor::*;

#[test]
fn unreachable_cache_is_ejected_and_gets_one_trial_request() {
    let mut router = new_router(settings(), &endpoints(6));
    let mut now = START;
    let cache = send_targets(&arrive(&mut router, now, read_request(1, 5, now)))[0];
    assert_ne!(
        send_targets(&end_attempt(&mut router, now, 1, 0, Outcome::ConnectFailed, 0))[0],
        cache,
        "retried at the next rank"
    );
    for id in 2..5 {
        now += 10 * MS;
        arrive(&mut router, now, read_request(id, 5, now));
        end_attempt(&mut router, now, id, 0, Outcome::ConnectFailed, 0);
    }
    now += 10 * MS;
    assert_ne!(send_targets(&arrive(&mut router, now, read_request(9, 5, now)))[0], cache);
    now += 2 * S;
    assert_eq!(
        send_targets(&arrive(&mut router, now, read_request(10, 5, now)))[0],
        cache,
        "one trial request after 2 s"
    );
    assert_ne!(
        send_targets(&arrive(&mut router, now, read_request(11, 5, now)))[0],
        cache,
        "only one trial request"
    );
}

#[test]
fn rejections_do_not_eject_a_cache() {
    let keys = keys_placed_on(2, 9);
    let mut router = new_router(settings(), &endpoints(6));
    let mut now = START;
    for (id, &key) in (1..9).zip(&keys) {
        now += 10 * MS;
        assert_eq!(send_targets(&arrive(&mut router, now, read_request(id, key, now))), [2]);
        end_attempt(&mut router, now, id, 0, Outcome::Rejected, 0);
        end_attempt(&mut router, now, id, 1, Outcome::Ok, MS);
    }
    now += S;
    assert_eq!(send_targets(&arrive(&mut router, now, read_request(20, keys[8], now))), [2]);
}

#[test]
fn some_caches_stay_in_use_when_all_fail() {
    let mut router = new_router(settings(), &endpoints(4));
    let mut now = START;
    for id in 1..200u64 {
        now += 10 * MS;
        let key = key_hash(&id.to_le_bytes());
        if !send_targets(&arrive(&mut router, now, read_request(id, key, now))).is_empty() {
            end_attempt(&mut router, now, id, 0, Outcome::ConnectFailed, 0);
            end_attempt(&mut router, now, id, 1, Outcome::ConnectFailed, 0);
        }
    }
    now += 10 * S;
    let targets: Vec<ServerId> = (300..340)
        .flat_map(|id| send_targets(&arrive(&mut router, now, read_request(id, id * 77, now))))
        .collect();
    assert!(targets.iter().any(|&s| s != ORIGIN), "all caches are ejected");
}

/// Evaluating the fleet after each outcome would take too long when many servers fail.
#[test]
fn failing_servers_do_not_cause_an_evaluation_per_outcome() {
    let (mut router, _) = large_fleet(150);
    for id in 1..3_000u64 {
        let now = START + id * MS;
        let mut targets =
            send_targets(&arrive(&mut router, now, read_request(id, key_hash(&id.to_le_bytes()), now)));
        for n in 0..3 {
            // Only the origin answers.
            let Some(server) = targets.pop() else { break };
            let outcome = if server == ORIGIN { Outcome::Ok } else { Outcome::Error };
            targets = send_targets(&end_attempt(&mut router, now, id, n, outcome, MS));
        }
    }
    let snapshot = router.snapshot();
    assert_eq!(snapshot.ejected, 60, "ejections up to the maximum weight share");
    // At most ten evaluations per second, plus two for each ejected cache.
    assert!(snapshot.fleet_evaluations <= 30 + 2 * 60, "{snapshot:?}");
}

/// A single stalled connection must not eject its cache, which would send its keys to the origin.
#[test]
fn unanswered_read_ejects_a_cache_only_if_later_reads_are_unanswered_too() {
    for later_reads_answered in [true, false] {
        let mut router = new_router(settings(), &endpoints(6));
        for (id, key) in (900..).zip([0, 1, 3, 4].into_iter().flat_map(|other| keys_placed_on(other, 3))) {
            arrive(&mut router, START, read_request(id, key, START));
            end_attempt(&mut router, START + 30 * MS, id, 0, Outcome::Ok, 30 * MS);
        }
        let mut keys = keys_placed_on(2, 30).into_iter();
        let mut send_read_to_2 = |router: &mut Router, id: RequestId, now: Micros| {
            let key = keys.next().expect("keys_placed_on returned too few keys");
            let targets = send_targets(&arrive(router, now, read_request(id, key, now)));
            assert!(!later_reads_answered || targets == [2], "{id}: {targets:?}");
        };
        for id in 1..15 {
            send_read_to_2(&mut router, id, START + id * 50 * MS);
            end_attempt(&mut router, START + id * 50 * MS + 30 * MS, id, 0, Outcome::Ok, 30 * MS);
        }
        let stalled_at = START + S;
        for id in 100..110 {
            let now = stalled_at + (id - 100) * 50 * MS;
            send_read_to_2(&mut router, id, now);
            // The first read is never answered, and the slow-read timer fires while it is outstanding.
            if later_reads_answered && id > 100 {
                end_attempt(&mut router, now + 30 * MS, id, 0, Outcome::Ok, 30 * MS);
            }
            handle(&mut router, now + 40 * MS, Event::Timer(100 << 2));
        }
        for id in 100..110 {
            end_attempt(&mut router, stalled_at + 2 * S + id * MS, id, 0, Outcome::Timeout, 2 * S);
        }
        assert_eq!(
            router.ejected_servers().next().is_none(),
            later_reads_answered,
            "later reads answered: {later_reads_answered}"
        );
    }
}
