//! Degradation of a backend after sustained overload, and its recovery.

use notchdoor_model::backend::{Admission, Backend, Config, Degradation, OnCancel};
use notchdoor_model::cache::{EvictionPolicy, Validity};
use notchdoor_model::report::Reporter;
use notchdoor_model::station::{self, Contention};
use notchdoor_model::time::{Time, MS, S};

fn new_backend() -> Backend {
    let degradation = Degradation {
        in_flight_per_core: 2.0,
        after: S,
        slowdown: 3.0,
        recovery_utilization: 0.25,
        recovery_time: 2 * S,
        max_duration: 20 * S,
    };
    let config = Config {
        station: station::Config {
            cores: 4.0,
            slots: 4,
            queue_capacity: 1_000,
            contention: Contention::default(),
        },
        speed: 1.0,
        initial_capacity_share: 0.5,
        warmup: S,
        overload_multiple: 3.0,
        overload_window: S,
        cache_capacity: 1_000,
        eviction: EvictionPolicy::Lru,
        error_rate: 0.0,
        on_cancel: OnCancel::Continue,
        max_connections: 10,
        max_connection_overhead: 0.0,
        degradation: Some(degradation),
    };
    let mut backend = Backend::new(config, Reporter::new(500 * MS, 300 * MS, 0.0, 0), 40_000.0);
    backend.store(1, 0, 1);
    backend
}

/// Offers reads of 100 ms at a fixed interval. Returns the time at which the last one finished.
fn offer_reads(backend: &mut Backend, from: Time, every: Time, length: Time) -> Time {
    let (mut done, validity) = (Vec::new(), Validity::new(None));
    for n in 0..length / every {
        let now = from + n * every;
        backend.advance(now, &mut done);
        let job = from + n;
        assert_eq!(backend.offer(now, job, 1, 100_000.0, true, &validity), Admission::Accepted);
    }
    while let Some(at) = backend.wake_at() {
        backend.advance(at, &mut done);
    }
    done.last().map_or(from, |d| d.at)
}

#[test]
fn backend_degrades_under_sustained_overload_and_recovers_after_idling() {
    let mut backend = new_backend();
    // Four cores process 40 reads per second, so 25 per second never wait.
    offer_reads(&mut backend, S, 40 * MS, 5 * S);
    assert!(!backend.is_degraded());
    // 100 per second quickly exceed two per core, and stay there for more than a second.
    let end = offer_reads(&mut backend, 10 * S, 10 * MS, 2 * S);
    assert!(backend.is_degraded());
    // 200 reads take 5 s at full speed; after about one second the remainder takes three times as long.
    assert!((20 * S..26 * S).contains(&end), "done at {end}");
    let mut done = Vec::new();
    backend.advance(end + S, &mut done);
    assert!(backend.is_degraded(), "idle for less than the recovery time");
    backend.advance(end + 4 * S, &mut done);
    backend.advance(end + 7 * S, &mut done);
    assert!(!backend.is_degraded());
}
