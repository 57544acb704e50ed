//! Bounds on stored state, and unusual or invalid input.

mod common;
use common::*;
use notchdoor::*;

#[test]
fn requests_are_rejected_without_endpoints_or_origin() {
    let mut empty = Router::new(settings(), 1, START);
    assert!(is_rejected(&arrive(&mut empty, START, read_request(1, 5, START))));
    let caches: Vec<Endpoint> = endpoints(3).into_iter().filter(|m| m.server != ORIGIN).collect();
    let mut router = new_router(settings(), &caches);
    arrive(&mut router, START, read_request(1, 5, START));
    end_attempt(&mut router, START, 1, 0, Outcome::Miss, 0);
    let request = Request { write: true, ..read_request(2, 5, START) };
    assert!(is_rejected(&arrive(&mut router, START, request)));
    let late = Request { deadline: START, ..read_request(3, 5, START) };
    assert!(is_rejected(&arrive(&mut router, START, late)));
}

#[test]
fn events_for_unknown_requests_and_timers_are_ignored() {
    let mut router = new_router(settings(), &endpoints(3));
    assert!(end_attempt(&mut router, START, 404, 3, Outcome::Ok, 0).is_empty());
    assert!(handle(&mut router, START, Event::ClientLeft(404)).is_empty());
    for token in 0..4 {
        assert!(send_targets(&handle(&mut router, START, Event::Timer(404 << 2 | token))).is_empty());
    }
}

#[test]
fn empty_and_fully_replaced_endpoint_lists_are_handled() {
    let mut router = new_router(Settings { proxies: 0, ..settings() }, &[]);
    assert!(is_rejected(&arrive(&mut router, START, read_request(1, 5, START))));
    let new_fleet: Vec<Endpoint> = (1000..1700).chain([ORIGIN]).map(endpoint).collect();
    handle(&mut router, START, Event::EndpointList(&new_fleet));
    assert!(send_targets(&arrive(&mut router, START, read_request(2, 5, START)))[0] >= 1000);
    let replacement: Vec<Endpoint> = (2000..2300).chain([ORIGIN]).map(endpoint).collect();
    handle(&mut router, START, Event::EndpointList(&replacement));
    assert!(
        send_targets(&arrive(&mut router, START, read_request(3, 5, START)))[0] >= 2000,
        "expected a server of the replacement fleet"
    );
    handle(&mut router, START, Event::EndpointList(&[]));
    assert!(is_rejected(&arrive(&mut router, START, read_request(4, 5, START))));
}

/// Records must not accumulate as servers are replaced, since each weight update visits all of them.
#[test]
fn records_of_gone_servers_are_reused() {
    let mut router = new_router(settings(), &endpoints(6));
    let mut now = START;
    for n in 0..20_000 {
        now += 100 * MS;
        let fresh = Endpoint { started_at: now, ..endpoint(1_000 + n) };
        let gone = Endpoint { state: ServerState::Gone, ..endpoint(999 + n) };
        handle(&mut router, now, Event::EndpointUpdate(&[fresh, gone]));
        // One attempt is outstanding at a server while it is removed; its record must not be reused before
        // that ends.
        let id = u64::from(n) + 1;
        if send_targets(&arrive(&mut router, now, read_request(id, key_hash(&n.to_le_bytes()), now))).len()
            == 1
        {
            end_attempt(&mut router, now + 50 * MS, id, 0, Outcome::Ok, 50 * MS);
        }
    }
    let snapshot = router.snapshot();
    assert!(snapshot.servers <= 6 + 1 + 4, "{} records for 8 servers", snapshot.servers);
    assert_eq!((snapshot.in_flight_requests, snapshot.in_flight_attempts), (0, 0));
    // Placement must match that of a router that has just started.
    let list: Vec<Endpoint> = (0..6).chain([ORIGIN, 20_999]).map(endpoint).collect();
    handle(&mut router, now + 60 * S, Event::EndpointList(&list));
    let mut fresh = common::new_router(settings(), &list);
    for id in 30_000..30_500u64 {
        let key = key_hash(&id.to_le_bytes());
        let at = now + 61 * S;
        assert_eq!(
            send_targets(&arrive(&mut router, at, read_request(id, key, at))),
            send_targets(&arrive(&mut fresh, at, read_request(id, key, at)))
        );
        end_attempt(&mut router, at, id, 0, Outcome::Ok, MS);
        end_attempt(&mut fresh, at, id, 0, Outcome::Ok, MS);
    }
}

/// A record must not be reused while an attempt of an in-flight request refers to it.
#[test]
fn late_outcomes_of_a_gone_server_do_not_affect_its_successor() {
    let mut router = new_router(settings(), &endpoints(6));
    let cache = send_targets(&arrive(&mut router, START, read_request(1, 5, START)))[0];
    handle(
        &mut router,
        START,
        Event::EndpointUpdate(&[Endpoint { state: ServerState::Gone, ..endpoint(cache) }]),
    );
    handle(&mut router, START, Event::EndpointUpdate(&[endpoint(500)]));
    for n in 0..40 {
        end_attempt(&mut router, START + n, 1, 0, Outcome::ConnectFailed, 0);
    }
    let keys = (1..400u64).map(|n| key_hash(&n.to_le_bytes()));
    let targets = keys
        .zip(1_000..)
        .map(|(key, id)| send_targets(&arrive(&mut router, START + S, read_request(id, key, START))));
    assert!(targets.flatten().any(|s| s == 500), "the new server inherited the failures of the gone one");
}

/// Keys that are read once must not accumulate.
#[test]
fn number_of_counted_keys_is_bounded() {
    let mut router = new_router(Settings { max_in_flight: 100, ..settings() }, &endpoints(6));
    for id in 1..10_000 {
        arrive(&mut router, START, read_request(id, id, START));
        handle(&mut router, START, Event::ClientLeft(id));
    }
    assert!(router.snapshot().counted_keys <= 200, "{} keys counted", router.snapshot().counted_keys);
}

/// A tiny size must not overflow the number of caches that serve a hot key.
#[test]
fn extreme_endpoint_sizes_are_handled() {
    let sizes = [1e-300, 1e308, 1e308, -1.0, 0.0, f64::MIN_POSITIVE];
    let list: Vec<Endpoint> = (0..6)
        .map(|n| Endpoint { size: sizes[n as usize], ..endpoint(n) })
        .chain([endpoint(ORIGIN)])
        .collect();
    let mut router = new_router(settings(), &list);
    for id in 1..2_000u64 {
        let now = START + id * MS;
        for server in send_targets(&arrive(&mut router, now, read_request(id, id % 7, now))) {
            assert!(server <= ORIGIN);
        }
        end_attempt(&mut router, now, id, 0, Outcome::Ok, MS);
    }
}
