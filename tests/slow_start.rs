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
    assert!(warm > 50, "server 0 takes a fifth of 500 reads while warm: {warm}");
    for hot in [false, true] {
        list[0].started_at = now;
        handle(&mut router, now, Event::EndpointList(&list));
        // Two seconds of 100 reads a second over five servers: a tenth of 40 is 4, and the ramp adds a few.
        let cold = run_reads(&mut router, &mut now, 2, hot);
        assert!(cold <= 12, "a cold server was sent {cold} reads (hot key: {hot})");
    }
}

#[test]
fn hundreds_of_proxies_updated_at_once_do_not_overload_a_warming_cache() {
    let mut list = endpoints(50);
    let mut routers = proxy_fleet(200, &list);
    let mut id = 0;
    // Each proxy gets five reads a second: a thousand in all, of which server 0 takes twenty while warm.
    let mut run_second = |routers: &mut Vec<Router>, from: Micros| -> u32 {
        let mut reads_at_0 = 0;
        for step in 0..5 {
            let now = from + step * 200 * MS;
            for router in routers.iter_mut() {
                id += 1;
                let to =
                    send_targets(&arrive(router, now, read_request(id, key_hash(&id.to_le_bytes()), now)));
                reads_at_0 += u32::from(to == [0]);
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
            "second {s}: {cold} sent to a server that can do {capacity}"
        );
        total += cold;
    }
    // With budgets that start at nothing no proxy would earn a send while the server is cold.
    assert!(total >= 1, "the cold server is left out");
}

/// In a mass replacement a fleet that held its new caches back would overload the few warm ones; each proxy
/// reads from a warming cache about once in seconds.
#[test]
fn many_replaced_caches_get_their_weight_share_of_sparse_reads() {
    let mut list = endpoints(50);
    let mut routers = proxy_fleet(200, &list);
    let mut id = 0;
    // Five reads a second at each proxy, all hits. Gives the reads that went to servers 0 to 29 and what
    // their weight had them take.
    let mut run_second = |routers: &mut Vec<Router>, from: Micros, capacity_share: f64| -> (u32, f64) {
        let (mut to_cold, mut expected_reads) = (0, 0.0);
        for step in 0..5 {
            let now = from + step * 200 * MS;
            for router in routers.iter_mut() {
                id += 1;
                let to =
                    send_targets(&arrive(router, now, read_request(id, key_hash(&id.to_le_bytes()), now)));
                to_cold += u32::from(to.first().is_some_and(|&s| s < 30));
                expected_reads += 30.0 * capacity_share / (20.0 + 30.0 * capacity_share);
                if !to.is_empty() {
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
        // Mid-second, as the ramp has it: the weight is of when each read ranks its servers.
        let capacity_share = 0.1 + 0.9 * (s as f64 + 0.5) / 20.0;
        let (cold, expected_reads) = run_second(&mut routers, start + s * S, capacity_share);
        assert!(
            f64::from(cold) <= 1.5 * expected_reads,
            "second {s}: {cold} to cold caches whose weight is {expected_reads:.0}"
        );
        (total, total_expected) = (total + cold, total_expected + expected_reads);
    }
    // A saving of one send let some half through.
    assert!(
        f64::from(total) >= 0.8 * total_expected,
        "cold caches took {total} of the {total_expected:.0} that their weight is"
    );
}

/// Where all caches were replaced and hardly any hit is left to tell what caches bear, warming ones that
/// answered their few hits in 40 ms were sent less and less.
#[test]
fn fully_warming_fleet_takes_what_its_answer_times_allow() {
    let mut list = endpoints(9);
    let mut router = new_router(settings(), &list);
    let mut now = START;
    // Reads of one second at caches of which so many are empty but for every sixteenth key; how many went to
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
    // Each bears 25 a second at the least, half of them from this proxy: all nine 112.
    assert!(cold[7] >= 90, "cold caches took {cold:?} reads a second of 300");
}

/// A fleet whose warming caches may not take a read yet, and whose warm ones are full, must not reject what
/// the origin has capacity for: the rejected come again, and the caches stay cold.
#[test]
fn reads_that_no_cache_may_take_go_to_the_origin_within_its_window() {
    let mut list = endpoints(9);
    let mut router = new_router(settings(), &list);
    let now = START + S;
    for endpoint in list.iter_mut().take(8) {
        endpoint.started_at = now;
    }
    handle(&mut router, now, Event::EndpointUpdate(&list));
    // The one warm cache has all that it can take; nothing is known of the cold ones.
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
    assert!(sent_to_origin >= 3, "the origin was sent {sent_to_origin} of 20 reads that no cache took");
    // And no more than reads may have of its window, a share of the starting eight.
    let (more_sent_to_origin, rejections) = send_reads(&mut router, 200);
    assert!(
        sent_to_origin + more_sent_to_origin <= 5,
        "the origin was sent {} reads at once",
        sent_to_origin + more_sent_to_origin
    );
    assert!(rejections >= 180, "of 200 reads {rejections} were refused");
}

/// A read that its warming cache could not take was offered to every other one in turn: each had a little of
/// all keys, and kept hardly any of them long.
#[test]
fn key_stays_at_one_cache_of_a_fully_warming_fleet() {
    let mut list = endpoints(9);
    let mut router = new_router(settings(), &list);
    let (mut now, mut id) = (START, 0);
    // Reads of a second, all of which hit, or every sixteenth; where each key's went.
    let mut run_second =
        |router: &mut Router, hits: u64, caches_by_key: &mut BTreeMap<Key, BTreeSet<ServerId>>| {
            for _ in 0..300 {
                (now, id) = (now + S / 300, id + 1);
                let key = key_hash(&(id % 300u64).to_le_bytes());
                let to = send_targets(&arrive(router, now, read_request(id, key, now)));
                if let Some(&server) = to.first() {
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
    // All warm up alike, so that a key's home is the same throughout.
    let caches_per_key: Vec<usize> = caches_by_key.values().map(BTreeSet::len).filter(|n| *n > 0).collect();
    let spread_keys = caches_per_key.iter().filter(|n| **n > 1).count();
    assert!(
        caches_per_key.len() > 200 && spread_keys == 0,
        "of {} keys {spread_keys} were taken by several caches",
        caches_per_key.len()
    );
}
