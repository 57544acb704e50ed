//! Backends, load reports, discovery service, network, front load balancer and station.

use notchdoor_model::backend::{Admission, Backend, Config, OnCancel, State};
use notchdoor_model::cache::{EvictionPolicy, Validity};
use notchdoor_model::discovery::{self, Delivery, Discovery, EndpointEntry, EndpointUpdate, ListedState};
use notchdoor_model::front::FrontBalancer;
use notchdoor_model::network::{Connection, Connections, Network, SilentMachines};
use notchdoor_model::report::Reporter;
use notchdoor_model::station::{self, Contention, Station};
use notchdoor_model::time::{rng, Purpose, Time, MS, S};

fn new_backend(slots: usize, room: usize) -> Backend {
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
        cache_capacity: 100,
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
fn run_until_idle(backend: &mut Backend) -> Vec<(u64, Time)> {
    let mut done = Vec::new();
    while let Some(at) = backend.wake_at() {
        backend.advance(at, &mut done);
    }
    done.iter().map(|f| (f.job, f.at)).collect()
}

#[test]
fn backend_misses_uncached_keys_and_rejects_when_full() {
    let (mut backend, validity) = (new_backend(1, 1), Validity::new(None));
    assert_eq!(backend.offer(0, 1, 7, 10_000.0, false, &validity), Admission::Miss);
    backend.store(7, 0, 8);
    assert_eq!(backend.offer(0, 1, 7, 10_000.0, false, &validity), Admission::Accepted);
    assert_eq!(backend.offer(0, 2, 7, 10_000.0, false, &validity), Admission::Accepted);
    // Rejected before the key is looked up.
    assert_eq!(backend.offer(0, 3, 8, 10_000.0, false, &validity), Admission::Full);
    // Half the speed of a standard core, one request after the other.
    assert_eq!(run_until_idle(&mut backend), [(1, 20_000), (2, 40_000)]);
}

#[test]
fn cancel_drops_queued_request_and_keeps_running_one() {
    let (mut backend, validity) = (new_backend(1, 2), Validity::new(None));
    backend.store(7, 0, 8);
    for job in 1..=3 {
        backend.offer(0, job, 7, 10_000.0, false, &validity);
    }
    assert!(!backend.cancel(0, 1), "running requests are not dropped");
    assert!(backend.cancel(0, 2) && !backend.cancel(0, 2));
    assert_eq!(run_until_idle(&mut backend), [(1, 20_000), (3, 40_000)]);
}

#[test]
fn restarted_backend_is_cold_and_empty_and_crashes_when_overloaded() {
    let (mut backend, validity) = (new_backend(16, 3), Validity::new(None));
    backend.store(7, 0, 8);
    assert_eq!(backend.kill(S), []);
    assert_eq!(backend.state(), State::Down);
    backend.start(2 * S);
    let mut done = Vec::new();
    backend.advance(2 * S, &mut done);
    assert!(
        (backend.capacity_share(2 * S) - 0.4).abs() < 1e-9
            && (backend.capacity_share(6 * S) - 0.7).abs() < 1e-9
    );
    assert_eq!(backend.capacity_share(10 * S), 1.0);
    assert_eq!(
        backend.offer(2 * S, 1, 7, 1_000.0, true, &validity),
        Admission::Miss,
        "the cache is empty after a start"
    );
    // Capacity 0.5 x 0.4 of a core over 2 s, times 4, is 1.6 s of work; the slack is 0.16 s.
    let sent = (0..).map(|n| (n, backend.offer(2 * S, 10 + n, 7, 40_000.0, n % 4 != 0, &validity)));
    let (n, over) = sent
        .filter_map(|(n, taken)| if let Admission::Overloaded(over) = taken { Some((n, over)) } else { None })
        .next()
        .unwrap();
    assert!((42..46).contains(&n), "overloaded at request {n}");
    assert!((over.attributed / over.sent - 0.75).abs() < 0.03, "three in four came from notified proxies");
}

#[test]
fn warming_backend_speeds_up_while_processing() {
    let (mut backend, validity) = (new_backend(16, 3), Validity::new(None));
    backend.kill(0);
    backend.start(S);
    backend.store(7, S, 8);
    let mut done = Vec::new();
    backend.advance(S, &mut done);
    backend.offer(S, 1, 7, 1_000_000.0, false, &validity);
    let (_, at) = run_until_idle(&mut backend)[0];
    // Work done by t is 0.5 (0.4 t + 0.6 t^2 / 16); 1 s of work takes 3.710 s.
    let took = (at - S) as f64 / 1e6;
    assert!((took - 3.710).abs() < 0.02, "{took}");
}

#[test]
fn stolen_cpu_slows_backend_and_connection_limit_is_enforced() {
    let (mut backend, validity) = (new_backend(4, 0), Validity::new(None));
    backend.store(7, 0, 8);
    backend.set_stolen_cpu_share(0, 0.5);
    backend.offer(0, 1, 7, 10_000.0, false, &validity);
    assert_eq!(run_until_idle(&mut backend), [(1, 40_000)]);
    assert!(backend.connect(true) && backend.connect(true) && !backend.connect(true));
    backend.connect(false);
    assert!(backend.connect(true));
    backend.drain();
    assert_eq!(backend.offer(40_000, 2, 7, 1.0, false, &validity), Admission::Full);
}

#[test]
fn reports_are_delayed_and_further_under_delay_fault() {
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
    assert!(reporter.latest_visible(3_300 * MS).is_some_and(|report| report.created_at == S));
}

fn entry(server: u32, state: ListedState) -> EndpointEntry {
    EndpointEntry { server, kind: 0, zone: 0, cell: 0, size: 1.0, started: 0, state }
}

const DISCOVERY_CONFIG: discovery::Config = discovery::Config {
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
fn run_until(discovery: &mut Discovery, until: Time) -> Vec<Delivery> {
    let mut deliveries = Vec::new();
    while let Some(at) = discovery.wake_at().filter(|at| *at <= until) {
        discovery.advance(at, &mut deliveries);
    }
    deliveries
}

#[test]
fn discovery_answers_calls_in_turn_and_publishes_changes_after_delay() {
    let mut discovery =
        Discovery::new(DISCOVERY_CONFIG, [entry(1, ListedState::Serving), entry(2, ListedState::Serving)], 4);
    let mut deliveries = Vec::new();
    for proxy in 0..15 {
        discovery.watch(0, proxy, &mut deliveries);
    }
    // Calls are answered one by one: the eleventh waits a full second, the twelfth would wait longer.
    assert_eq!(deliveries.iter().filter(|t| matches!(t.update, EndpointUpdate::Error)).count(), 4);
    let lists = run_until(&mut discovery, 2 * S);
    assert_eq!(lists.len(), 11);
    assert!(lists.iter().all(|t| matches!(&t.update, EndpointUpdate::FullList(l) if l.len() == 2)));
    assert!(lists.windows(2).all(|pair| pair[0].at < pair[1].at + 50 * MS));
    discovery.schedule_change(2 * S, entry(1, ListedState::Draining), false);
    discovery.schedule_change(2 * S, entry(2, ListedState::Gone), true);
    let changes = run_until(&mut discovery, 20 * S);
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
    assert_eq!(discovery.list().len(), 1);
}

#[test]
fn discovery_outage_ends_watches_and_fails_calls() {
    let mut discovery = Discovery::new(DISCOVERY_CONFIG, [entry(1, ListedState::Serving)], 4);
    let mut deliveries = Vec::new();
    discovery.watch(0, 0, &mut deliveries);
    run_until(&mut discovery, S);
    assert!(discovery.is_watching(0));
    discovery.fail_until(S, 4 * S, &mut deliveries);
    assert!(
        matches!(deliveries[..], [Delivery { proxy: 0, update: EndpointUpdate::Error, .. }])
            && !discovery.is_watching(0)
    );
    discovery.watch(2 * S, 0, &mut deliveries);
    assert!(matches!(deliveries[1], Delivery { update: EndpointUpdate::Error, at, .. } if at >= 3 * S));
    discovery.schedule_change(S, entry(2, ListedState::Serving), false);
    assert!(run_until(&mut discovery, 5 * S).is_empty(), "no proxy watches");
    discovery.watch(5 * S, 0, &mut deliveries);
    let whole = run_until(&mut discovery, 6 * S);
    assert!(
        matches!(&whole[0].update, EndpointUpdate::FullList(l) if l.len() == 2),
        "the list includes missed changes"
    );
    // A server that is back before its removal was listed is not reported as gone.
    discovery.schedule_change(6 * S, entry(1, ListedState::Gone), true);
    discovery.discard_pending(1);
    assert!(run_until(&mut discovery, 60 * S).is_empty());
}

#[test]
fn connections_are_pooled_and_closed_when_idle() {
    let mut connections = Connections::new(2, 10 * S);
    let acquire = |connections: &mut Connections, now| connections.acquire(now, 0, 5);
    assert_eq!(acquire(&mut connections, 0), (Connection::New, 0));
    assert_eq!(acquire(&mut connections, 0), (Connection::Reused, 0), "two streams per connection");
    assert_eq!(acquire(&mut connections, 0), (Connection::New, 0));
    for _ in 0..3 {
        connections.release(S, 0, 5, false);
    }
    assert_eq!(connections.streams_in_use(0, 5), 0);
    assert_eq!(acquire(&mut connections, 5 * S), (Connection::Reused, 0));
    connections.release(5 * S, 0, 5, false);
    assert_eq!(acquire(&mut connections, 20 * S), (Connection::New, 2), "both were closed for idleness");
    connections.release(20 * S, 0, 5, true);
    assert_eq!(
        acquire(&mut connections, 20 * S),
        (Connection::New, 0),
        "a connection closed by its request is not reused"
    );
    connections.acquire(0, 1, 5);
    assert_eq!(connections.close_proxy(0), [(5, 1)]);
    connections.close_server(5);
    assert_eq!(connections.pool_count(), 0);
}

#[test]
fn isolated_zone_reaches_only_itself_and_silence_ends_on_time() {
    let mut rng = rng(1, Purpose::Network);
    let mut network = Network::new(3, 200, (8 * MS, 16 * MS), 0.2, &mut rng);
    assert!(
        network.is_reachable(0, 2)
            && network.base_delay(0, 0) == 200
            && (8 * MS..=16 * MS).contains(&network.base_delay(0, 1))
    );
    assert_eq!(network.base_delay(0, 1), network.base_delay(1, 0));
    let delay = network.delay(0, 1, &mut rng);
    assert!((network.base_delay(0, 1)..=network.base_delay(0, 1) * 6 / 5).contains(&delay));
    network.set_zone_isolated(1, true);
    assert!(
        !network.is_reachable(0, 1)
            && !network.is_reachable(1, 2)
            && network.is_reachable(1, 1)
            && network.is_reachable(0, 2)
    );
    network.set_zone_isolated(1, false);
    assert!(network.is_reachable(0, 1));
    let mut silence = SilentMachines::default();
    silence.begin(3, 5 * S);
    assert!(silence.is_silent(3, 4 * S) && !silence.is_silent(3, 5 * S) && !silence.is_silent(2, 0));
    silence.end(3);
    assert!(!silence.is_silent(3, 0));
}

#[test]
fn front_balancer_prefers_local_zone_and_detects_stopped_proxy_after_delay() {
    let mut front = FrontBalancer::new([0, 1, 0], 2 * S);
    let mut rng = rng(1, Purpose::Clients);
    let mut picks = |front: &FrontBalancer, now, zone| {
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
fn resized_station_finishes_excess_requests_and_accepts_no_new_ones() {
    let config =
        station::Config { cores: 8.0, slots: 8, queue_capacity: 2, contention: Contention::default() };
    // With and without queued requests at the time of the reduction.
    for held in [10, 8] {
        let mut station = Station::new(config, 1.0, 0);
        assert!((0..held).all(|job| station.offer(0, job, 1_000.0) == station::Admission::Accepted));
        station.resize(1.0, 1);
        assert_eq!((station.in_flight(), station.max_in_flight()), (held as usize, held as usize));
        assert_eq!(station.offer(0, 11, 1.0), station::Admission::Full);
        let mut done = Vec::new();
        while let Some(at) = station.wake_at() {
            station.advance(at, &mut done);
            assert!(station.in_flight() <= station.max_in_flight() && station.max_in_flight() >= 3);
        }
        assert_eq!(
            (done.len(), station.max_in_flight()),
            (held as usize, 3),
            "the reduced limit applies once the excess is done"
        );
    }
}
