//! Backends, load reports, discovery service, network, front load balancer and station.

use notchdoor_model::backend::{Admission, Backend, Config, OnCancel, State};
use notchdoor_model::cache::{EvictionPolicy, Validity};
use notchdoor_model::discovery::{self, Delivery, Discovery, EndpointEntry, EndpointUpdate, ListedState};
use notchdoor_model::front::Front;
use notchdoor_model::network::{Connection, Connections, Network, SilentMachines};
use notchdoor_model::report::Reporter;
use notchdoor_model::station::{self, Contention, Station};
use notchdoor_model::time::{rng, Purpose, Time, MS, S};

fn backend(slots: usize, room: usize) -> Backend {
    let config = Config {
        station: station::Config {
            cores: 1.0,
            slots,
            queue_capacity: room,
            contention: Contention::default(),
        },
        speed: 0.5,
        initial_capacity_share: 0.4,
        warmup: 8 * S,
        overload_multiple: 4.0,
        overload_window: 2 * S,
        cache: 100,
        eviction: EvictionPolicy::Lru,
        error_rate: 0.0,
        on_cancel: OnCancel::DropWaiting,
        degradation: None,
        max_connections: 2,
        max_connection_overhead: 0.0,
    };
    Backend::new(config, Reporter::new(500 * MS, 300 * MS, 0.0, 0), 40_000.0)
}

/// Runs a backend until it is idle. Returns the finish time of each request.
fn rest(backend: &mut Backend) -> Vec<(u64, Time)> {
    let mut done = Vec::new();
    while let Some(at) = backend.wake_at() {
        backend.advance(at, &mut done);
    }
    done.iter().map(|f| (f.job, f.at)).collect()
}

#[test]
fn a_backend_keeps_misses_fills_and_turns_away() {
    let (mut w, truth) = (backend(1, 1), Validity::new(None));
    assert_eq!(w.offer(0, 1, 7, 10_000.0, false, &truth), Admission::Miss);
    w.store(7, 0, 8);
    assert_eq!(w.offer(0, 1, 7, 10_000.0, false, &truth), Admission::Accepted);
    assert_eq!(w.offer(0, 2, 7, 10_000.0, false, &truth), Admission::Accepted);
    // Rejected before the key is looked up.
    assert_eq!(w.offer(0, 3, 8, 10_000.0, false, &truth), Admission::Full);
    // Half the speed of a standard core, one request after the other.
    assert_eq!(rest(&mut w), [(1, 20_000), (2, 40_000)]);
}

#[test]
fn what_waits_is_dropped_when_nobody_waits_for_it_and_what_runs_goes_on() {
    let (mut w, truth) = (backend(1, 2), Validity::new(None));
    w.store(7, 0, 8);
    for job in 1..=3 {
        w.offer(0, job, 7, 10_000.0, false, &truth);
    }
    assert!(!w.cancel(0, 1), "running requests are not dropped");
    assert!(w.cancel(0, 2) && !w.cancel(0, 2));
    assert_eq!(rest(&mut w), [(1, 20_000), (3, 40_000)]);
}

#[test]
fn a_started_backend_is_cold_empty_and_falls_over_when_pushed() {
    let (mut w, truth) = (backend(16, 3), Validity::new(None));
    w.store(7, 0, 8);
    assert_eq!(w.kill(S), []);
    assert_eq!(w.state(), State::Down);
    w.start(2 * S);
    let mut done = Vec::new();
    w.advance(2 * S, &mut done);
    assert!((w.capacity_share(2 * S) - 0.4).abs() < 1e-9 && (w.capacity_share(6 * S) - 0.7).abs() < 1e-9);
    assert_eq!(w.capacity_share(10 * S), 1.0);
    assert_eq!(
        w.offer(2 * S, 1, 7, 1_000.0, true, &truth),
        Admission::Miss,
        "the cache is empty after a start"
    );
    // Capacity 0.5 x 0.4 of a core over 2 s, times 4, is 1.6 s of work; the slack is 0.16 s.
    let sent = (0..).map(|n| (n, w.offer(2 * S, 10 + n, 7, 40_000.0, n % 4 != 0, &truth)));
    let (n, over) = sent
        .filter_map(|(n, taken)| if let Admission::Overloaded(over) = taken { Some((n, over)) } else { None })
        .next()
        .unwrap();
    assert!((42..46).contains(&n), "overloaded at request {n}");
    assert!((over.attributed / over.sent - 0.75).abs() < 0.03, "three in four came from notified proxies");
}

#[test]
fn a_cold_backend_s_pace_rises_while_it_works() {
    let (mut w, truth) = (backend(16, 3), Validity::new(None));
    w.kill(0);
    w.start(S);
    w.store(7, S, 8);
    let mut done = Vec::new();
    w.advance(S, &mut done);
    w.offer(S, 1, 7, 1_000_000.0, false, &truth);
    let (_, at) = rest(&mut w)[0];
    // Work done by t is 0.5 (0.4 t + 0.6 t^2 / 16); 1 s of work takes 3.710 s.
    let took = (at - S) as f64 / 1e6;
    assert!((took - 3.710).abs() < 0.02, "{took}");
}

#[test]
fn another_program_takes_its_share_and_the_table_of_connections_is_full_at_its_end() {
    let (mut w, truth) = (backend(4, 0), Validity::new(None));
    w.store(7, 0, 8);
    w.set_stolen_cpu_share(0, 0.5);
    w.offer(0, 1, 7, 10_000.0, false, &truth);
    assert_eq!(rest(&mut w), [(1, 40_000)]);
    assert!(w.connect(true) && w.connect(true) && !w.connect(true));
    w.connect(false);
    assert!(w.connect(true));
    w.drain();
    assert_eq!(w.offer(40_000, 2, 7, 1.0, false, &truth), Admission::Full);
}

#[test]
fn reports_are_late_and_later_in_trouble() {
    let mut reporter = Reporter::new(500 * MS, 300 * MS, 0.0, 0);
    let mut rng = rng(1, Purpose::Service);
    for n in 1..=100u64 {
        reporter.record_request(n * 10 * MS, n % 10 == 0, 1.0, &mut rng);
    }
    assert_eq!(reporter.latest_visible(799 * MS), None);
    let report = reporter.latest_visible(800 * MS).unwrap();
    assert!((report.qps - 100.0).abs() < 1e-9 && (report.eps - 10.0).abs() < 1e-9, "{report:?}");
    reporter.set_delay_fault(2 * S, 0);
    assert_eq!(reporter.latest_visible(1_299 * MS), None, "visible reports are delayed as well");
    assert!(reporter.latest_visible(3_300 * MS).is_some_and(|r| r.created_at == S));
}

fn line(server: u32, state: ListedState) -> EndpointEntry {
    EndpointEntry { server, kind: 0, zone: 0, cell: 0, size: 1.0, started: 0, state }
}

const REGISTRY: discovery::Config = discovery::Config {
    add_delay: S,
    removal_delay: 3 * S,
    silent_removal_delay: 9 * S,
    publish_period: 500 * MS,
    max_delivery_delay: 50 * MS,
    call_time: 100 * MS,
    call_time_per_endpoint: 0,
    call_timeout: S,
};

/// Runs a discovery service until `until`. Returns its deliveries.
fn told(discovery: &mut Discovery, until: Time) -> Vec<Delivery> {
    let mut out = Vec::new();
    while let Some(at) = discovery.wake_at().filter(|at| *at <= until) {
        discovery.advance(at, &mut out);
    }
    out
}

#[test]
fn the_discovery_service_tells_late_in_turn_and_in_order() {
    let mut r = Discovery::new(REGISTRY, [line(1, ListedState::Serving), line(2, ListedState::Serving)], 4);
    let mut out = Vec::new();
    for proxy in 0..15 {
        r.watch(0, proxy, &mut out);
    }
    // Calls are answered one by one: the eleventh waits a full second, the twelfth would wait longer.
    assert_eq!(out.iter().filter(|t| matches!(t.update, EndpointUpdate::Error)).count(), 4);
    let lists = told(&mut r, 2 * S);
    assert_eq!(lists.len(), 11);
    assert!(lists.iter().all(|t| matches!(&t.update, EndpointUpdate::FullList(l) if l.len() == 2)));
    assert!(lists.windows(2).all(|w| w[0].at < w[1].at + 50 * MS));
    r.schedule_change(2 * S, line(1, ListedState::Draining), false);
    r.schedule_change(2 * S, line(2, ListedState::Gone), true);
    let changes = told(&mut r, 20 * S);
    let first = |i: usize| match &changes[i].update {
        EndpointUpdate::Changes(lines) => (lines[0].server, lines[0].state, changes[i].at),
        other => panic!("{other:?}"),
    };
    let (server, state, at) = first(0);
    assert_eq!((server, state), (1, ListedState::Draining));
    assert!((5 * S..5_600 * MS).contains(&at), "listed after 3 s, published at the next half second: {at}");
    let (server, state, at) = first(11);
    assert_eq!((server, state), (2, ListedState::Gone));
    assert!((11 * S..11_600 * MS).contains(&at), "a silent machine is listed as gone later: {at}");
    assert_eq!(r.list().len(), 1);
}

#[test]
fn a_discovery_service_that_goes_down_ends_watches_and_fails_calls() {
    let mut r = Discovery::new(REGISTRY, [line(1, ListedState::Serving)], 4);
    let mut out = Vec::new();
    r.watch(0, 0, &mut out);
    told(&mut r, S);
    assert!(r.is_watching(0));
    r.fail_until(S, 4 * S, &mut out);
    assert!(
        matches!(out[..], [Delivery { proxy: 0, update: EndpointUpdate::Error, .. }]) && !r.is_watching(0)
    );
    r.watch(2 * S, 0, &mut out);
    assert!(matches!(out[1], Delivery { update: EndpointUpdate::Error, at, .. } if at >= 3 * S));
    r.schedule_change(S, line(2, ListedState::Serving), false);
    assert!(told(&mut r, 5 * S).is_empty(), "no proxy watches");
    r.watch(5 * S, 0, &mut out);
    let whole = told(&mut r, 6 * S);
    assert!(
        matches!(&whole[0].update, EndpointUpdate::FullList(l) if l.len() == 2),
        "the list includes missed changes"
    );
    // A server that is back before its removal was listed is not reported as gone.
    r.schedule_change(6 * S, line(1, ListedState::Gone), true);
    r.discard_pending(1);
    assert!(told(&mut r, 60 * S).is_empty());
}

#[test]
fn connections_are_pooled_and_closed_when_idle() {
    let mut c = Connections::new(2, 10 * S);
    let takes = |c: &mut Connections, now| c.acquire(now, 0, 5);
    assert_eq!(takes(&mut c, 0), (Connection::New, 0));
    assert_eq!(takes(&mut c, 0), (Connection::Reused, 0), "two streams per connection");
    assert_eq!(takes(&mut c, 0), (Connection::New, 0));
    for _ in 0..3 {
        c.release(S, 0, 5, false);
    }
    assert_eq!(c.busy(0, 5), 0);
    assert_eq!(takes(&mut c, 5 * S), (Connection::Reused, 0));
    c.release(5 * S, 0, 5, false);
    assert_eq!(takes(&mut c, 20 * S), (Connection::New, 2), "both were closed for idleness");
    c.release(20 * S, 0, 5, true);
    assert_eq!(
        takes(&mut c, 20 * S),
        (Connection::New, 0),
        "a connection closed by its request is not reused"
    );
    c.acquire(0, 1, 5);
    assert_eq!(c.close_proxy(0), [(5, 1)]);
    c.close_server(5);
    assert_eq!(c.pools(), 0);
}

#[test]
fn a_cut_zone_reaches_itself_alone_and_a_silent_machine_nobody() {
    let mut rng = rng(1, Purpose::Network);
    let mut net = Network::new(3, 200, (8 * MS, 16 * MS), 0.2, &mut rng);
    assert!(
        net.is_reachable(0, 2)
            && net.base_delay(0, 0) == 200
            && (8 * MS..=16 * MS).contains(&net.base_delay(0, 1))
    );
    assert_eq!(net.base_delay(0, 1), net.base_delay(1, 0));
    let delay = net.delay(0, 1, &mut rng);
    assert!((net.base_delay(0, 1)..=net.base_delay(0, 1) * 6 / 5).contains(&delay));
    net.set_zone_isolated(1, true);
    assert!(
        !net.is_reachable(0, 1)
            && !net.is_reachable(1, 2)
            && net.is_reachable(1, 1)
            && net.is_reachable(0, 2)
    );
    net.set_zone_isolated(1, false);
    assert!(net.is_reachable(0, 1));
    let mut silence = SilentMachines::default();
    silence.begin(3, 5 * S);
    assert!(silence.is_silent(3, 4 * S) && !silence.is_silent(3, 5 * S) && !silence.is_silent(2, 0));
    silence.end(3);
    assert!(!silence.is_silent(3, 0));
}

#[test]
fn the_front_deals_within_the_zone_and_notices_a_dead_proxy_late() {
    let mut front = Front::new([0, 1, 0], 2 * S);
    let mut rng = rng(1, Purpose::Clients);
    let mut picks = |front: &Front, now, zone| {
        let mut all: Vec<Option<u32>> = (0..50).map(|_| front.pick(now, zone, &mut rng)).collect();
        all.sort();
        all.dedup();
        all
    };
    assert_eq!(picks(&front, 0, 0), [Some(0), Some(2)]);
    assert_eq!(picks(&front, 0, 1), [Some(1)]);
    front.set_down_since(1, Some(S));
    assert_eq!(picks(&front, 2 * S, 1), [Some(1)], "not detected yet");
    assert_eq!(picks(&front, 3 * S, 1), [Some(0), Some(2)], "proxies of other zones serve the zone");
    front.set_down_since(0, Some(S));
    front.set_down_since(2, Some(S));
    assert_eq!(picks(&front, 9 * S, 0), [None]);
    front.set_down_since(2, None);
    assert_eq!(picks(&front, 9 * S, 0), [Some(2)]);
}

/// Guards against a station that exceeds its limit right after its capacity was reduced.
#[test]
fn a_station_made_smaller_finishes_what_it_has_and_takes_nothing_more() {
    let config =
        station::Config { cores: 8.0, slots: 8, queue_capacity: 2, contention: Contention::default() };
    // With and without queued requests at the time of the reduction.
    for held in [10, 8] {
        let mut s = Station::new(config, 1.0, 0);
        assert!((0..held).all(|job| s.offer(0, job, 1_000.0) == station::Admission::Accepted));
        s.resize(1.0, 1);
        assert_eq!((s.in_flight(), s.max_in_flight()), (held as usize, held as usize));
        assert_eq!(s.offer(0, 11, 1.0), station::Admission::Full);
        let mut done = Vec::new();
        while let Some(at) = s.wake_at() {
            s.advance(at, &mut done);
            assert!(s.in_flight() <= s.max_in_flight() && s.max_in_flight() >= 3);
        }
        assert_eq!(
            (done.len(), s.max_in_flight()),
            (held as usize, 3),
            "the reduced limit applies once the excess is done"
        );
    }
}
