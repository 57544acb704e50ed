//! Slow start: how many reads warming caches get.

mod common;
use common::*;
use notchdoor::*;
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn reads_to_a_warming_cache_are_limited_even_for_a_hot_key() {
    let mut list = endpoints(5);
    let mut router = new_router(settings(), &list);
    let mut now = START;
    let mut id = 0;
    let mut run_reads = |router: &mut Router, now: &mut Micros, seconds: u64, hot: bool| -> u32 {
        let mut cold_sends = 0;
        for n in 0..seconds * 100 {
            id += 1;
            *now += 10 * MS;
            let key = if hot { 4242 } else { key_hash(&n.to_le_bytes()) };
            for server in send_targets(&arrive(router, *now, read_request(id, key, *now))) {
                cold_sends += u32::from(server == 0);
            }
            end_attempt(router, *now + MS, id, 0, Outcome::Ok, MS);
        }
        cold_sends
    };
    let warm = run_reads(&mut router, &mut now, 5, false);
    assert!(warm > 50, "the warm server 0 got only {warm} of 500 reads");
    for hot in [false, true] {
        list[0].started_at = now;
        handle(&mut router, now, Event::EndpointList(&list));
        // 2 s at 100 reads per second over five servers: a tenth of the fair share of 40 is 4, plus a few as
        // the server warms up.
        let cold = run_reads(&mut router, &mut now, 2, hot);
        assert!(cold <= 12, "a cold server was sent {cold} reads (hot key: {hot})");
    }
}

#[test]
fn hundreds_of_proxies_updated_at_once_do_not_overload_a_warming_cache() {
    let mut list = endpoints(50);
    let mut routers = proxy_fleet(200, &list);
    let mut id = 0;
    // Sends five reads per second at each proxy, 1000 in all, of which server 0 gets 20 when warm. Returns
    // the reads sent to server 0.
    let mut run_second = |routers: &mut Vec<Router>, from: Micros| -> u32 {
        let mut reads_at_0 = 0;
        for step in 0..5 {
            let now = from + step * 200 * MS;
            for router in routers.iter_mut() {
                id += 1;
                let targets =
                    send_targets(&arrive(router, now, read_request(id, key_hash(&id.to_le_bytes()), now)));
                reads_at_0 += u32::from(targets == [0]);
                end_attempt(router, now + MS, id, 0, Outcome::Ok, MS);
            }
        }
        reads_at_0
    };
    for s in 0..5 {
        run_second(&mut routers, START + s * S);
    }
    let start = START + 5 * S;
    list[0].started_at = start;
    for router in &mut routers {
        handle(router, start, Event::EndpointList(&list));
    }
    let mut total = 0;
    for s in 0..5u64 {
        let cold = run_second(&mut routers, start + s * S);
        let capacity = 20.0 * (0.1 + 0.9 * s as f64 / 20.0);
        assert!(
            f64::from(cold) <= 3.0 * capacity,
            "second {s}: {cold} reads sent to a server with a capacity of {capacity}"
        );
        total += cold;
    }
    // Budgets that start at zero would never admit a read to the cold server.
    assert!(total >= 1, "the cold server got no reads");
}

/// Holding reads back from many new caches would overload the few warm ones. Each proxy reads from one
/// warming cache only about once in several seconds.
#[test]
fn many_replaced_caches_get_their_weight_share_of_sparse_reads() {
    let mut list = endpoints(50);
    let mut routers = proxy_fleet(200, &list);
    let mut id = 0;
    // Sends five reads per second at each proxy, all hits. Returns the reads sent to servers 0 to 29 and the
    // reads expected from their weight.
    let mut run_second = |routers: &mut Vec<Router>, from: Micros, capacity_share: f64| -> (u32, f64) {
        let (mut to_cold, mut expected_reads) = (0, 0.0);
        for step in 0..5 {
            let now = from + step * 200 * MS;
            for router in routers.iter_mut() {
                id += 1;
                let targets =
                    send_targets(&arrive(router, now, read_request(id, key_hash(&id.to_le_bytes()), now)));
                to_cold += u32::from(targets.first().is_some_and(|&s| s < 30));
                expected_reads += 30.0 * capacity_share / (20.0 + 30.0 * capacity_share);
                if !targets.is_empty() {
                    end_attempt(router, now + MS, id, 0, Outcome::Ok, MS);
                }
            }
        }
        (to_cold, expected_reads)
    };
    for s in 0..5 {
        run_second(&mut routers, START + s * S, 1.0);
    }
    let start = START + 5 * S;
    for endpoint in &mut list[..30] {
        endpoint.started_at = start;
    }
    for router in &mut routers {
        handle(router, start, Event::EndpointList(&list));
    }
    let (mut total, mut total_expected) = (0, 0.0);
    for s in 0..5u64 {
        // The capacity share at the middle of the second.
        let capacity_share = 0.1 + 0.9 * (s as f64 + 0.5) / 20.0;
        let (cold, expected_reads) = run_second(&mut routers, start + s * S, capacity_share);
        assert!(
            f64::from(cold) <= 1.5 * expected_reads,
            "second {s}: cold caches got {cold} reads, expected {expected_reads:.0} by weight"
        );
        (total, total_expected) = (total + cold, total_expected + expected_reads);
    }
    // A token bucket of depth one would admit only about half of the expected reads.
    assert!(
        f64::from(total) >= 0.8 * total_expected,
        "cold caches got {total} reads, expected {total_expected:.0} by weight"
    );
}

/// With all caches replaced there are few hits to derive a budget from, so caches that answer quickly must
/// get more reads than the hit rate alone allows.
#[test]
fn fully_warming_fleet_takes_what_its_answer_times_allow() {
    let mut list = endpoints(9);
    let mut router = new_router(settings(), &list);
    let mut now = START;
    // Sends reads for one second. Servers below `empty` only have every 16th key. Returns the reads sent to
    // those.
    let mut run_second = |router: &mut Router, empty: u32| {
        let mut to_empty = 0;
        for n in 0..300u64 {
            now += S / 300;
            let Some(server) = send_targets(&arrive(router, now, read_request(now, n, now))).first().copied()
            else {
                continue;
            };
            to_empty += u32::from(server < empty);
            let miss = server < empty && n % 16 > 0;
            let first = if server == ORIGIN || miss { Outcome::Miss } else { Outcome::Ok };
            if !send_targets(&end_attempt(router, now, now, 0, first, 40 * MS)).is_empty() {
                end_attempt(router, now, now, 1, Outcome::Ok, 60 * MS);
            }
        }
        to_empty
    };
    (0..4).for_each(|_| assert_eq!(run_second(&mut router, 0), 0));
    for endpoint in list.iter_mut().take(9) {
        endpoint.started_at = START + 4 * S;
    }
    handle(&mut router, START + 4 * S, Event::EndpointUpdate(&list));
    let cold: Vec<u32> = (0..8).map(|_| run_second(&mut router, 9)).collect();
    // Each cache handles at least 25 reads per second, half of them from this proxy: 112 for all nine.
    assert!(cold[7] >= 90, "cold caches got {cold:?} of 300 reads in each second");
}

/// If warming caches may take no reads and the warm ones are at capacity, reads must use the origin's
/// capacity. Rejecting them would keep the caches cold, since rejected reads are retried.
#[test]
fn reads_that_no_cache_may_take_go_to_the_origin_within_its_window() {
    let mut list = endpoints(9);
    let mut router = new_router(settings(), &list);
    let now = START + S;
    for endpoint in list.iter_mut().take(8) {
        endpoint.started_at = now;
    }
    handle(&mut router, now, Event::EndpointUpdate(&list));
    // The only warm cache is at capacity; there are no statistics about the cold ones.
    let mut id = 0;
    let mut send_reads = |router: &mut Router, count: u64| -> (usize, usize) {
        let (mut sent_to_origin, mut rejections) = (0, 0);
        for _ in 0..count {
            id += 1;
            let actions = arrive(router, now, read_request(id, key_hash(&id.to_le_bytes()), now));
            sent_to_origin += send_targets(&actions).iter().filter(|s| **s == ORIGIN).count();
            rejections += usize::from(is_rejected(&actions));
        }
        (sent_to_origin, rejections)
    };
    let (sent_to_origin, _) = send_reads(&mut router, 20);
    assert!(sent_to_origin >= 3, "the origin was sent {sent_to_origin} of 20 reads that no cache could take");
    // Reads may use only their share of the origin's initial window of 8.
    let (more_sent_to_origin, rejections) = send_reads(&mut router, 200);
    assert!(
        sent_to_origin + more_sent_to_origin <= 5,
        "the origin was sent {} reads at once",
        sent_to_origin + more_sent_to_origin
    );
    assert!(rejections >= 180, "only {rejections} of 200 reads rejected");
}

/// A read denied by its warming cache must not be offered to every other cache, or each would get a few reads
/// of every key and keep none of them cached.
#[test]
fn key_stays_at_one_cache_of_a_fully_warming_fleet() {
    let mut list = endpoints(9);
    let mut router = new_router(settings(), &list);
    let (mut now, mut id) = (START, 0);
    // Sends reads for one second, of which one in `hits` hits, and records the caches that each key was sent
    // to.
    let mut run_second =
        |router: &mut Router, hits: u64, caches_by_key: &mut BTreeMap<Key, BTreeSet<ServerId>>| {
            for _ in 0..300 {
                (now, id) = (now + S / 300, id + 1);
                let key = key_hash(&(id % 300u64).to_le_bytes());
                let targets = send_targets(&arrive(router, now, read_request(id, key, now)));
                if let Some(&server) = targets.first() {
                    caches_by_key.entry(key).or_default().extend(Some(server).filter(|s| *s != ORIGIN));
                    let first = if server == ORIGIN || id % hits == 0 { Outcome::Ok } else { Outcome::Miss };
                    if !send_targets(&end_attempt(router, now, id, 0, first, 40 * MS)).is_empty() {
                        end_attempt(router, now, id, 1, Outcome::Ok, 60 * MS);
                    }
                }
            }
        };
    (0..4).for_each(|_| run_second(&mut router, 1, &mut BTreeMap::new()));
    for endpoint in &mut list[..9] {
        endpoint.started_at = START + 4 * S;
    }
    handle(&mut router, START + 4 * S, Event::EndpointUpdate(&list));
    let mut caches_by_key = BTreeMap::new();
    (0..8).for_each(|_| run_second(&mut router, 16, &mut caches_by_key));
    // All caches warm up alike, so a key's best-ranked cache does not change.
    let caches_per_key: Vec<usize> = caches_by_key.values().map(BTreeSet::len).filter(|n| *n > 0).collect();
    let spread_keys = caches_per_key.iter().filter(|n| **n > 1).count();
    assert!(
        caches_per_key.len() > 200 && spread_keys == 0,
        "of {} keys {spread_keys} were sent to several caches",
        caches_per_key.len()
    );
}
