//! Admission to the origin: use of its window, and Retry-After of rejections.

mod common;
use common::*;
use notchdoor::*;

#[test]
fn writes_beyond_a_full_origin_window_are_rejected_with_retry_after() {
    let mut router = new_router(settings(), &endpoints(6));
    let mut rejections = 0;
    for id in 1..40 {
        let request = at_most_once_write(id, START);
        let actions = arrive(&mut router, START, request);
        if is_rejected(&actions) {
            rejections += 1;
            let has_retry_after =
                |a: &Action| matches!(a, Action::Reject { retry_after, .. } if *retry_after > 0);
            assert!(actions.iter().any(has_retry_after));
        } else {
            assert_eq!(send_targets(&actions), [ORIGIN]);
        }
    }
    assert!(rejections > 0, "the initial window admitted all 39 writes");
}

/// Calls that cannot finish in time would waste the origin's capacity.
#[test]
fn write_that_cannot_finish_before_its_deadline_is_rejected() {
    let mut router = new_router(settings(), &endpoints(6));
    for id in 1..10 {
        assert!(run_write(&mut router, id, START, 100 * MS, Outcome::Ok));
    }
    for (id, time_left_ms, expect_sent) in [(20, 30, false), (21, 90, true)] {
        let due = START + S + time_left_ms * MS;
        let request = Request { write: true, class: Some(3), deadline: due, ..read_request(id, id, START) };
        let actions = arrive(&mut router, START + S, request);
        assert_eq!(
            (!send_targets(&actions).is_empty(), is_rejected(&actions)),
            (expect_sent, !expect_sent),
            "{time_left_ms} ms left"
        );
    }
}

/// Fetches of missed reads must not fill the window: a rejected write cannot be served from a cache later.
#[test]
fn reads_use_only_their_share_of_the_origin_window() {
    let admitted_counts = |share: f64| {
        let mut settings = settings();
        settings.classes[0].window_share = share;
        let mut router = new_router(settings, &endpoints(6));
        let mut fetching = 0;
        for id in 1..=8 {
            let now = START + id * 2 * MS;
            let on_arrival = arrive(&mut router, now, read_request(id, key_hash(&id.to_le_bytes()), now));
            assert_eq!(send_targets(&on_arrival).len(), 1);
            let after_miss = end_attempt(&mut router, now + MS, id, 0, Outcome::Miss, MS);
            fetching += usize::from(send_targets(&after_miss) == [ORIGIN]);
            assert!(
                send_targets(&after_miss) == [ORIGIN] || is_rejected(&after_miss),
                "a read that is not fetched is rejected at once"
            );
        }
        let now = START + S;
        let new_write = |id| at_most_once_write(id, now);
        let writes =
            (20..30).filter(|&id| !send_targets(&arrive(&mut router, now, new_write(id))).is_empty()).count();
        (fetching, writes)
    };
    // The initial window is 8: the default read share of 0.6 allows four whole fetches.
    assert_eq!(admitted_counts(1.0), (4, 4));
    assert_eq!(admitted_counts(0.25), (2, 6));
    assert_eq!(admitted_counts(0.01), (1, 7), "at least one fetch is always admitted");
}

/// Retry-After is derived from measured delays, which can be zero.
#[test]
fn retry_after_is_at_least_one_millisecond_when_delays_are_zero() {
    let mut router = new_router(settings(), &endpoints(6));
    for id in 1..40 {
        run_write(&mut router, id, START + id * MS, 0, Outcome::Ok);
    }
    let now = START + S;
    let request = |id| at_most_once_write(id, now);
    let rejections: Vec<Action> = (100..400)
        .flat_map(|id| arrive(&mut router, now, request(id)))
        .filter(|a| matches!(a, Action::Reject { .. }))
        .collect();
    assert!(!rejections.is_empty());
    assert!(rejections.iter().all(|a| matches!(a, Action::Reject { retry_after, .. } if *retry_after >= MS)));
}
