//! The congestion window: what cuts it, how it regrows, and what it must not go by.

mod common;
use common::*;
use notchdoor::*;

#[test]
fn a_failed_origin_call_cuts_the_window_to_one_and_completions_regrow_it() {
    let mut router = router(settings(), &endpoints(6));
    assert!(write(&mut router, 1, START, MS, Outcome::Reset));
    let now = START + S;
    let w = |id| at_most_once_write(id, now);
    assert_eq!(sent(&arrive(&mut router, now, w(2))).len(), 1);
    assert!(rejected(&arrive(&mut router, now, w(3))), "the window is one after a cut");
    end(&mut router, now + 20 * MS, 2, 0, Outcome::Ok, 20 * MS);
    assert_eq!(sent(&arrive(&mut router, now + 20 * MS, w(4))).len(), 1);
    assert_eq!(sent(&arrive(&mut router, now + 20 * MS, w(5))).len(), 1, "one completion adds one");
}

#[test]
fn calls_sent_before_a_cut_do_not_cut_again() {
    let mut router = router(settings(), &endpoints(6));
    let w = |id, now| at_most_once_write(id, now);
    for id in 1..=8 {
        assert_eq!(sent(&arrive(&mut router, START, w(id, START))).len(), 1);
    }
    end(&mut router, START + MS, 1, 0, Outcome::Reset, MS);
    // The threshold is 4 now. Seven more breaches of the same congestion must leave it there.
    for id in 2..=8 {
        end(&mut router, START + 2 * MS, id, 0, Outcome::Reset, 2 * MS);
    }
    let mut now = START + S;
    for id in 10..13 {
        assert!(write(&mut router, id, now, MS, Outcome::Ok));
        now += 2 * MS;
    }
    let fits = (20..30).filter(|&id| !sent(&arrive(&mut router, now, w(id, now))).is_empty()).count();
    // Had they cut again, the threshold would be 1 and the window 2.5 by now.
    assert_eq!(fits, 3, "slow start regrows the window from 1 to 3 while it is in use");
}

/// Incident i26b057: the estimate climbed with the queue that it was meant to notice.
#[test]
fn lasting_congestion_does_not_become_the_normal_delay() {
    let mut router = router(settings(), &endpoints(6));
    let mut now = START;
    let mut id = 0;
    let mut burst = |router: &mut Router, now: &mut Micros, took: Micros| -> usize {
        let mut open = vec![];
        loop {
            id += 1;
            let request = at_most_once_write(id, *now);
            if sent(&arrive(router, *now, request)).is_empty() {
                break;
            }
            open.push(id);
        }
        *now += took;
        for &n in &open {
            end(router, *now, n, 0, Outcome::Ok, took);
        }
        open.len()
    };
    burst(&mut router, &mut now, 50 * MS);
    // Delays creep up by a fifth at a time, always under the limit of the estimate if that followed them.
    let mut took = 50 * MS;
    while took < 480 * MS {
        burst(&mut router, &mut now, took);
        burst(&mut router, &mut now, took);
        took += took / 5;
    }
    let mut least = usize::MAX;
    for _ in 0..6 {
        least = least.min(burst(&mut router, &mut now, took));
    }
    assert!(least < 4, "a delay ten times the normal one no longer cuts: {least} still fit");
}

/// Reads of all keys, every 100 ms, each answered after `took(id)`; says how many of the last 100 were
/// rejected.
fn rejected_of_the_last_hundred(took: impl Fn(u64) -> Micros) -> usize {
    let (mut router, _) = large_fleet(100);
    let mut open: Vec<(Micros, u64)> = vec![];
    let mut rejections = 0;
    for id in 1..=200u64 {
        let now = START + id * 100 * MS;
        open.sort_unstable();
        while open.first().is_some_and(|o| o.0 <= now) {
            let (at, ended) = open.remove(0);
            end(&mut router, at, ended, 0, Outcome::Ok, took(ended));
        }
        let actions = arrive(&mut router, now, read(id, key_hash(&id.to_le_bytes()), now));
        if sent(&actions).is_empty() {
            rejections += usize::from(id > 100);
        } else {
            open.push((now + took(id), id));
        }
    }
    rejections
}

/// Incident i6a7b9a: no window of a single cache ever filled, and every read queued until its client gave up.
#[test]
fn caches_that_are_all_congested_are_asked_less_by_a_proxy_that_seldom_asks_each() {
    let rejections = rejected_of_the_last_hundred(|id| if id < 60 { 100 * MS } else { 1500 * MS });
    assert!(rejections > 50, "only {rejections} of 100 reads refused though every cache takes 1.5 s");
}

#[test]
fn a_few_slow_caches_do_not_close_the_window_over_all_caches() {
    let rejections = rejected_of_the_last_hundred(|id| if id % 8 == 0 { 1500 * MS } else { 100 * MS });
    assert!(rejections < 5, "{rejections} of 100 reads refused though one cache in eight is slow");
}

/// Incident i03ace8: hundreds of proxies with a call each congest the origin, so a cut must reach below one.
#[test]
fn a_proxy_with_sparse_traffic_spaces_its_writes_after_a_cut() {
    let mut router = router(settings(), &endpoints(6));
    let mut now = START;
    for id in 1..10 {
        now += 2 * S;
        assert!(write(&mut router, id, now, 50 * MS, Outcome::Ok));
    }
    now += 2 * S;
    assert!(write(&mut router, 10, now, 50 * MS, Outcome::Reset));
    now += 2 * S;
    assert!(!write(&mut router, 11, now, 50 * MS, Outcome::Ok), "one in two seconds was too many");
    now += 4 * S;
    assert!(write(&mut router, 12, now, 50 * MS, Outcome::Ok), "spaced, not stopped");
    now += 2 * S;
    assert!(write(&mut router, 13, now, 50 * MS, Outcome::Ok), "a good completion doubles the rate");
}

/// The time-outs of clients that leave a few milliseconds cut the origin's window and had healthy caches
/// ejected.
#[test]
fn a_time_out_that_the_client_left_no_time_for_is_inconclusive() {
    let mut router = router(settings(), &endpoints(6));
    let mut now = START;
    for (id, key) in (1..40).zip(keys_at(2, 39)) {
        let write = id % 2 == 0;
        let class = if write { 3 } else { 0 };
        let due = now + 10 * MS;
        let request = Request { write, class: Some(class), deadline: due, ..read(id, key, now) };
        let home = if write { ORIGIN } else { 2 };
        assert_eq!(sent(&arrive(&mut router, now, request)), [home], "{id}");
        now += 10 * MS;
        end(&mut router, now, id, 0, Outcome::Timeout, 10 * MS);
    }
}

/// Large values and new connections must not pass for congestion: their replies take long to come over,
/// though the server began them at once.
#[test]
fn a_delay_that_is_not_the_servers_own_cuts_nothing() {
    let mut router = router(settings(), &endpoints(6));
    let mut now = START;
    for id in 1..200 {
        let request = at_most_once_write(id, now);
        assert_eq!(sent(&arrive(&mut router, now, request)), [ORIGIN], "{id}");
        // From the hundredth on every answer takes a second, of which the server had 30 ms, or nobody knows.
        let elapsed = if id < 100 { 30 * MS } else { S };
        let took = (id % 2 == 0).then_some(30 * MS);
        now += elapsed;
        let ended = Event::AttemptEnded { id, attempt: 0, outcome: Outcome::Ok, took, request_done: true };
        handle(&mut router, now, ended);
        let second = Request { write: true, class: Some(3), ..read(1000 + id, id, now) };
        assert_eq!(sent(&arrive(&mut router, now, second)), [ORIGIN], "{id}: room for two");
        let third = Request { write: true, class: Some(3), ..read(2000 + id, id, now) };
        assert_eq!(sent(&arrive(&mut router, now, third)), [ORIGIN], "{id}: room for two");
        end(&mut router, now, 1000 + id, 0, Outcome::Cancelled, 0);
        end(&mut router, now, 2000 + id, 0, Outcome::Cancelled, 0);
    }
}

/// Attempts at an origin that is down congest nothing: the window must not shrink to one in five seconds
/// meanwhile, and comes back to half of what it was. An origin that rejects is congested, and is left alone.
#[test]
fn the_window_recovers_within_a_second_of_an_origin_that_was_down_but_not_of_one_that_was_congested() {
    for (outcome, back) in
        [(Outcome::Reset, true), (Outcome::ConnectFailed, true), (Outcome::Rejected, false)]
    {
        let mut router = router(settings(), &endpoints(6));
        let (until, end_at) = (START + 6 * S, START + 7 * S);
        let (mut now, mut id, mut open) = (START, 0, std::collections::VecDeque::new());
        let mut most = 0;
        while now < end_at {
            now += 10 * MS;
            while let Some((id, at)) = open.front().copied().filter(|o: &(u64, Micros)| o.1 + 50 * MS <= now)
            {
                open.pop_front();
                let ended = if (START + S..until).contains(&at) { outcome } else { Outcome::Ok };
                for attempt in 0..3 {
                    if sent(&end(&mut router, now, id, attempt, ended, 50 * MS)).is_empty() {
                        break;
                    }
                }
            }
            id += 1;
            let request = at_most_once_write(id, now);
            if !sent(&arrive(&mut router, now, request)).is_empty() {
                open.push_back((id, now));
            }
            if now > until {
                most = most.max(open.len());
            }
        }
        assert_eq!(most >= 4, back, "{outcome:?}: {most} out at once within a second");
    }
}

/// Administrative drain: a cache that was slow for a moment rejected nearly all of its keys for as long as
/// one read at a time took to regrow its window.
#[test]
fn a_breach_halves_the_window_of_a_cache() {
    let mut router = router(settings(), &endpoints(6));
    let mut keys = keys_at(2, 60).into_iter();
    let mut at_home = |router: &mut Router, id: RequestId, now: Micros| {
        sent(&arrive(router, now, read(id, keys.next().expect("sixty keys"), now))) == [2]
    };
    for id in 1..9 {
        assert!(at_home(&mut router, id, START));
    }
    for id in 1..9 {
        end(&mut router, START + 30 * MS, id, 0, Outcome::Ok, 30 * MS);
    }
    let slow = START + S;
    for id in 11..17 {
        assert!(at_home(&mut router, id, slow));
    }
    for id in 11..17 {
        end(&mut router, slow + 200 * MS, id, 0, Outcome::Ok, 200 * MS);
    }
    let fit = (21..51).filter(|&id| at_home(&mut router, id, slow + 200 * MS)).count();
    assert!((3..=8).contains(&fit), "{fit} fit");
}
