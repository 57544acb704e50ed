//! Choice of a cache for a read: placement, hot keys, and caches at capacity.

mod common;
use common::*;
use notchdoor::*;

/// Sends reads of one key one after another, each answered after `took`.
fn run_answered_reads(
    router: &mut Router,
    ids: std::ops::Range<u64>,
    key: Key,
    now: &mut Micros,
    took: Micros,
) {
    for id in ids {
        arrive(router, *now, read_request(id, key, *now));
        *now += took;
        end_attempt(router, *now, id, 0, Outcome::Ok, took);
    }
}

#[test]
fn read_goes_to_its_cache_and_after_a_miss_to_the_origin() {
    let mut router = new_router(settings(), &endpoints(6));
    let first = send_targets(&arrive(&mut router, START, read_request(1, 5, START)));
    assert!(first.len() == 1 && first[0] != ORIGIN);
    assert_eq!(send_targets(&end_attempt(&mut router, START + MS, 1, 0, Outcome::Miss, MS)), [ORIGIN]);
    assert_eq!(send_targets(&arrive(&mut router, START + 2 * MS, read_request(2, 77, START))).len(), 1);
}

#[test]
fn placement_does_not_depend_on_list_order_or_seed() {
    let mut reversed = endpoints(6);
    reversed.reverse();
    let (mut a, mut b) = (new_router(settings(), &endpoints(6)), Router::new(settings(), 999, START));
    handle(&mut b, START, Event::EndpointList(&reversed));
    for id in 1..8 {
        assert_eq!(
            send_targets(&arrive(&mut a, START, read_request(id, id * 31, START))),
            send_targets(&arrive(&mut b, START, read_request(id, id * 31, START)))
        );
    }
}

/// Rejected reads must not go from one overloaded cache to the next and miss at each of them.
#[test]
fn rejected_read_tries_only_the_next_ranked_cache() {
    let key = keys_placed_on(2, 1)[0];
    let mut router = new_router(Settings { max_attempts: 6, ..settings() }, &endpoints(6));
    arrive(&mut router, START, read_request(1, key, START));
    let second = send_targets(&end_attempt(&mut router, START, 1, 0, Outcome::Rejected, 0));
    assert!(second.len() == 1 && second[0] != 2, "expected the next rank, sent to {second:?}");
    let actions = end_attempt(&mut router, START, 1, 1, Outcome::Rejected, 0);
    assert!(
        send_targets(&actions).is_empty() && is_rejected(&actions),
        "rejected without trying a third cache"
    );
}

/// Excess reads must be rejected instead of queued until their clients' deadlines.
#[test]
fn reads_beyond_the_window_of_the_only_cache_are_rejected() {
    let mut router = new_router(settings(), &endpoints(1));
    let mut now = START;
    run_answered_reads(&mut router, 1..20, 5, &mut now, 20 * MS);
    let mut rejections = 0;
    for id in 100..200 {
        rejections += u32::from(is_rejected(&arrive(&mut router, now, read_request(id, id, now))));
    }
    assert!(rejections > 50, "only {rejections} of 100 simultaneous reads of one cache rejected");
}

#[test]
fn hot_key_is_spread_by_a_proxy_with_sparse_traffic() {
    let (mut router, _) = large_fleet(60);
    let (mut now, mut hot_key_targets) = (START, std::collections::BTreeSet::new());
    for id in 1..400u64 {
        now += 200 * MS;
        // Every 20th read, that is one in 4 s, is of the hot key: three times a cache's fair share.
        let hot = id % 20 == 0;
        let key = if hot { 5 } else { key_hash(&id.to_le_bytes()) };
        let targets = send_targets(&arrive(&mut router, now, read_request(id, key, now)));
        if hot {
            hot_key_targets.extend(targets);
        }
        end_attempt(&mut router, now, id, 0, Outcome::Ok, 20 * MS);
    }
    assert!(
        hot_key_targets.len() >= 3,
        "a key with three fair shares of all reads was spread over {} caches",
        hot_key_targets.len()
    );
}

/// Large fleets are ranked by a shortcut, which must not change the best-ranked cache.
#[test]
fn large_fleet_reads_go_to_the_highest_scoring_cache() {
    fn mix(mut x: u64) -> u64 {
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }
    for n in [20u32, 63, 64, 65, 3_000] {
        let list: Vec<Endpoint> =
            (100..100 + n).map(|s| Endpoint { size: 1.0 + f64::from(s % 3), ..endpoint(s) }).collect();
        let mut router = new_router(settings(), &[&list[..], &[endpoint(ORIGIN)]].concat());
        for key in 0..200u64 {
            let rank = |m: &Endpoint| {
                let u = (mix(key ^ mix(u64::from(m.server) + 1)) >> 11) as f64 + 0.5;
                m.size / -(u / (1u64 << 53) as f64).ln()
            };
            let best = list.iter().max_by(|a, b| rank(a).total_cmp(&rank(b))).unwrap();
            let actions = arrive(&mut router, START, read_request(key + 1, key, START));
            assert_eq!(send_targets(&actions), [best.server], "{n} servers, key {key}");
            end_attempt(&mut router, START, key + 1, 0, Outcome::Ok, 10 * MS);
        }
    }
}
