//! Checks the model against closed-form results of queueing and caching theory. Each test states its formula
//! and tolerance; seeds are fixed.

use notchdoor_model::cache::{che_capacity, che_hit_rate, zipf_shares, Cache, EvictionPolicy, Validity};
use notchdoor_model::clients::{
    unit_mean_lognormal, AttemptResult, ClientBehaviour, ClientRequest, Workload,
};
use notchdoor_model::overload::OverloadDetector;
use notchdoor_model::spec::{Effect, Shape, Spec};
use notchdoor_model::station::{Admission, Config, Contention, Finished, Station, Tally};
use notchdoor_model::time::{rng, Purpose, Time, MS, S};
use rand::RngExt;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Exp1, LogNormal};

/// Distribution of the work of a request, with mean 1.
#[derive(Clone, Copy)]
enum Work {
    Exponential,
    Fixed,
    LogNormal(LogNormal<f64>),
}

/// Mean work of a request, in microseconds.
const MEAN_WORK_US: f64 = 10_000.0;

/// Runs a station with Poisson arrivals at `rho` of its capacity. Returns its tally, the elapsed time and the
/// number of arrivals.
fn queue(cores: f64, slots: usize, room: usize, rho: f64, work: Work, n: u64) -> (Tally, Time, u64) {
    let config = Config { cores, slots, queue_capacity: room, contention: Contention::default() };
    let mut station = Station::new(config, 1.0, 0);
    let mut rng = rng(11, Purpose::Demand);
    let (mut now, mut done): (f64, Vec<Finished>) = (0.0, Vec::new());
    for job in 0..n {
        let gap: f64 = Exp1.sample(&mut rng);
        now += gap * MEAN_WORK_US / (rho * cores);
        let size = match work {
            Work::Exponential => Exp1.sample(&mut rng),
            Work::Fixed => 1.0,
            Work::LogNormal(d) => d.sample(&mut rng),
        };
        station.advance(now as Time, &mut done);
        let _: Admission = station.offer(now as Time, job, size * MEAN_WORK_US);
    }
    while let Some(at) = station.wake_at() {
        station.advance(at, &mut done);
        now = at as f64;
    }
    assert_eq!(station.in_flight(), 0);
    (station.tally(), now as Time, n)
}

/// Erlang C: probability that an arrival at M/M/c waits.
fn erlang_c(c: u32, rho: f64) -> f64 {
    let a = rho * f64::from(c);
    let term = |k: u32| (1..=k).fold(1.0, |t, i| t * a / f64::from(i));
    let last = term(c) / (1.0 - rho);
    last / ((0..c).map(term).sum::<f64>() + last)
}

#[test]
fn mean_sojourn_times_match_closed_forms() {
    const ROOM: usize = 1_000_000;
    let wide = Work::LogNormal(unit_mean_lognormal(1.5));
    // Pollaczek-Khinchine: W = S + rho S (1 + cv^2) / (2 (1 - rho)).
    let pk = |rho: f64, cv: f64| 1.0 + rho * (1.0 + cv * cv) / (2.0 * (1.0 - rho));
    let mmc = |c: u32, rho: f64| 1.0 + erlang_c(c, rho) / (f64::from(c) * (1.0 - rho));
    // name, cores, slots, rho, work, mean sojourn in units of the mean work, tolerance
    let cases = [
        ("M/M/1", 1.0, 1, 0.3, Work::Exponential, pk(0.3, 1.0), 0.02),
        ("M/M/1", 1.0, 1, 0.7, Work::Exponential, pk(0.7, 1.0), 0.03),
        ("M/M/1", 1.0, 1, 0.9, Work::Exponential, pk(0.9, 1.0), 0.08),
        ("M/D/1", 1.0, 1, 0.5, Work::Fixed, pk(0.5, 0.0), 0.02),
        ("M/D/1", 1.0, 1, 0.85, Work::Fixed, pk(0.85, 0.0), 0.04),
        ("M/G/1", 1.0, 1, 0.6, wide, pk(0.6, 1.5), 0.05),
        ("M/M/2", 2.0, 2, 0.8, Work::Exponential, mmc(2, 0.8), 0.04),
        ("M/M/8", 8.0, 8, 0.85, Work::Exponential, mmc(8, 0.85), 0.04),
        // Processor sharing: 1 / (1 - rho) for any distribution of the work.
        ("M/M/1-PS", 1.0, ROOM, 0.7, Work::Exponential, 1.0 / 0.3, 0.04),
        ("M/D/1-PS", 1.0, ROOM, 0.7, Work::Fixed, 1.0 / 0.3, 0.04),
        ("M/G/1-PS", 1.0, ROOM, 0.6, wide, 1.0 / 0.4, 0.05),
    ];
    for (name, cores, slots, rho, work, expected, tolerance) in cases {
        let (tally, _, n) = queue(cores, slots, ROOM, rho, work, 300_000);
        assert_eq!((tally.finished, tally.turned_away), (n, 0), "{name}");
        let mean = tally.sojourn as f64 / n as f64 / MEAN_WORK_US;
        let error = (mean / expected - 1.0).abs();
        assert!(error < tolerance, "{name} at {rho}: {mean:.3} expected {expected:.3}, off by {error:.3}");
    }
}

#[test]
fn littles_law_holds_for_bounded_queues() {
    for (cores, slots, room, rho) in
        [(1.0, 1, 5, 0.9), (2.0, 16, 3, 1.4), (4.0, 4, 0, 0.6), (1.0, 24, 3, 0.95)]
    {
        let (tally, ran, _) = queue(cores, slots, room, rho, Work::Exponential, 50_000);
        // Exact, because both sides count the same request-microseconds.
        assert_eq!(tally.held_time, tally.sojourn, "cores {cores}, slots {slots}");
        let (l, lambda) = (tally.held_time as f64 / ran as f64, tally.finished as f64 / ran as f64);
        let w = tally.sojourn as f64 / tally.finished as f64;
        assert!((l / (lambda * w) - 1.0).abs() < 1e-9);
        // The work done does not exceed the capacity of the cores.
        assert!(tally.work <= cores * ran as f64 * (1.0 + 1e-9));
    }
}

#[test]
fn bounded_queue_rejection_rate_matches_mm1k() {
    // M/M/1/K: rho^K (1 - rho) / (1 - rho^(K+1)); 1 / (K + 1) at rho = 1.
    for (k, rho) in [(1u32, 0.5f64), (3, 0.8), (5, 1.0), (4, 1.5)] {
        let power = rho.powi(k as i32);
        let expected =
            if rho == 1.0 { 1.0 / f64::from(k + 1) } else { power * (1.0 - rho) / (1.0 - power * rho) };
        let (tally, _, n) = queue(1.0, 1, k as usize - 1, rho, Work::Exponential, 200_000);
        let blocked = tally.turned_away as f64 / n as f64;
        assert!((blocked - expected).abs() < 0.006, "K {k}, rho {rho}: {blocked:.4}, expected {expected:.4}");
    }
}

#[test]
fn lru_hit_rate_matches_che_approximation() {
    // keys, exponent, offset, capacity in objects, tolerance
    for (n, exponent, offset, capacity, tolerance) in [
        (1_000, 0.8, 0.0, 100, 0.01),
        (1_000, 1.0, 3.0, 200, 0.01),
        (5_000, 1.0, 0.0, 500, 0.01),
        (20_000, 1.2, 5.0, 300, 0.01),
    ] {
        let shares = zipf_shares(n, exponent, offset);
        let pick = WeightedAliasIndex::new(shares.clone()).unwrap();
        let (mut cache, validity) = (Cache::new(capacity, EvictionPolicy::Lru), Validity::new(None));
        let mut rng = rng(5, Purpose::Demand);
        let (mut hits, warm, scored) = (0u32, 100_000u32, 300_000u32);
        for i in 0..warm + scored {
            let key = pick.sample(&mut rng) as u64;
            if cache.lookup(0, key, &validity) {
                hits += u32::from(i >= warm);
            } else {
                cache.store(key, 0, 1);
            }
        }
        let (rate, expected) = (f64::from(hits) / f64::from(scored), che_hit_rate(&shares, capacity as f64));
        assert!(
            (rate - expected).abs() < tolerance,
            "{n} keys, {capacity} cached: {rate:.4}, expected {expected:.4}"
        );
        let back = che_capacity(&shares, expected);
        assert!((back / capacity as f64 - 1.0).abs() < 1e-6, "the inverse gives {back}");
        assert!(cache.used().0 <= capacity);
    }
}

#[test]
fn lru_has_more_hits_than_fifo_for_skewed_keys() {
    let pick = WeightedAliasIndex::new(zipf_shares(2_000, 1.0, 0.0)).unwrap();
    let rate = |evict| {
        let (mut cache, validity) = (Cache::new(100, evict), Validity::new(None));
        let mut rng = rng(5, Purpose::Demand);
        let mut hits = 0;
        for _ in 0..100_000 {
            let key = pick.sample(&mut rng) as u64;
            if cache.lookup(0, key, &validity) {
                hits += 1;
            } else {
                cache.store(key, 0, 1);
            }
        }
        hits
    };
    assert!(rate(EvictionPolicy::Lru) > rate(EvictionPolicy::Fifo) + 2_000);
}

#[test]
fn entries_become_invalid_after_write_flush_and_ttl() {
    let mut validity = Validity::new(Some(10 * S));
    let mut cache = Cache::new(100, EvictionPolicy::Lru);
    for key in 0..50 {
        cache.store(key, S, 2);
    }
    assert!(cache.lookup(2 * S, 7, &validity));
    validity.record_write(2 * S, 7);
    assert!(!cache.peek(2 * S, 7, &validity), "an entry created before the write");
    cache.store(7, 3 * S, 2);
    assert!(cache.lookup(3 * S, 7, &validity), "an entry created after the write");
    validity.flush(4 * S, 0.6, 99);
    let kept = (0..50).filter(|k| cache.lookup(4 * S, *k, &validity)).count();
    assert!((10..30).contains(&kept), "about two in five remain valid: {kept}");
    assert!((0..50).all(|k| !cache.lookup(14 * S, k, &validity)), "no entry outlives its ttl");
    cache.store(1, 0, 101);
    assert_eq!(cache.used().0, 0, "an object larger than the cache is not stored");
}

#[test]
fn mean_attempts_match_closed_form() {
    // Each attempt fails with probability p: the mean number of attempts is (1 - p^(R+1)) / (1 - p).
    for (retries, p) in [(0u32, 0.5f64), (2, 0.3), (2, 0.9), (5, 0.7)] {
        let behaviour = ClientBehaviour {
            retries,
            attempt_timeout_share: (0.5, 0.8),
            backoff: (MS, MS),
            honors_retry_after_share: 0.0,
            max_retry_after: 0,
            early_leave_share: 0.0,
        };
        let mut rng = rng(3, Purpose::Clients);
        let n = 40_000;
        let mut attempts = 0u64;
        for _ in 0..n {
            let (request, mut made, mut now) = (request(0, 600 * S), 0, 0);
            loop {
                made += 1;
                attempts += 1;
                let result = if rng.random::<f64>() < p {
                    AttemptResult::Rejected(0)
                } else {
                    AttemptResult::Answered
                };
                match behaviour.retry_at(&request, Effect::Idempotent, (result, made), None, now, &mut rng) {
                    Some(at) => now = at,
                    None => break,
                }
            }
        }
        let (mean, expected) =
            (attempts as f64 / f64::from(n), (1.0 - p.powi(retries as i32 + 1)) / (1.0 - p));
        assert!(
            (mean / expected - 1.0).abs() < 0.02,
            "R {retries}, p {p}: {mean:.3}, expected {expected:.3}"
        );
    }
}

fn request(since: Time, until: Time) -> ClientRequest {
    ClientRequest {
        class: 0,
        tenant: 0,
        zone: 0,
        key: 1,
        write: false,
        work: 1.0,
        fetch_work: 1.0,
        size: 1,
        requested_at: since,
        deadline: until,
    }
}

#[test]
fn clients_retry_only_where_the_effect_allows() {
    let behaviour = ClientBehaviour {
        retries: 2,
        attempt_timeout_share: (0.5, 0.8),
        backoff: (100 * MS, 100 * MS),
        honors_retry_after_share: 1.0,
        max_retry_after: S,
        early_leave_share: 0.0,
    };
    let keyed = Effect::Deduplicated { window: 2 * S };
    // effect, result, attempts made, first risk, now, expected time of the retry
    let cases = [
        (Effect::Idempotent, AttemptResult::Failed, 1, Some(0), 0, Some(100 * MS)),
        (Effect::Idempotent, AttemptResult::TimedOut, 2, Some(0), 0, Some(200 * MS)),
        (Effect::Idempotent, AttemptResult::Failed, 3, Some(0), 0, None),
        (Effect::Idempotent, AttemptResult::Answered, 1, None, 0, None),
        (Effect::Idempotent, AttemptResult::Rejected(700 * MS), 1, None, 0, Some(700 * MS)),
        (Effect::Idempotent, AttemptResult::Rejected(5 * S), 1, None, 0, Some(S)),
        (Effect::AtMostOnce, AttemptResult::Failed, 1, Some(0), 0, None),
        (Effect::AtMostOnce, AttemptResult::TimedOut, 1, Some(0), 0, None),
        (Effect::AtMostOnce, AttemptResult::Rejected(0), 1, None, 0, Some(100 * MS)),
        (Effect::AtMostOnce, AttemptResult::Unreachable, 1, None, 0, Some(100 * MS)),
        (Effect::AtMostOnce, AttemptResult::Rejected(0), 2, Some(0), 0, None),
        (keyed, AttemptResult::Failed, 1, Some(0), S, Some(S + 100 * MS)),
        (keyed, AttemptResult::Failed, 1, Some(0), 2 * S, None),
        (keyed, AttemptResult::Failed, 1, Some(0), 1_950 * MS, None),
        // Past the client's deadline.
        (Effect::Idempotent, AttemptResult::Failed, 2, None, 3_900 * MS, None),
    ];
    let mut rng = rng(1, Purpose::Clients);
    for (effect, result, attempts, first_risk, now, expected) in cases {
        let retry =
            behaviour.retry_at(&request(0, 4 * S), effect, (result, attempts), first_risk, now, &mut rng);
        assert_eq!(retry, expected, "{effect:?} {result:?} after {attempts} attempts at {now}");
    }
}

#[test]
fn arrivals_match_configured_rate_and_write_share() {
    for shape in [Shape::Constant, Shape::Wave, Shape::Bursty] {
        let mut spec = Spec::default();
        (spec.load.shape, spec.load.swing) = (shape, 0.4);
        let mut workload = Workload::new(&spec, 500.0, 9);
        workload.scale_rate(80 * S, 160 * S, 2.0);
        let (mut now, mut n, mut scaled, mut writes) = (0, 0u32, 0u32, 0u32);
        loop {
            now = workload.next_arrival(now);
            // Both halves are whole periods of the shape.
            if now >= 160 * S {
                break;
            }
            let request = workload.generate(now);
            writes += u32::from(request.write);
            if now < 80 * S {
                n += 1;
            } else {
                scaled += 1;
            }
        }
        assert!((f64::from(n) / 40_000.0 - 1.0).abs() < 0.02, "{shape:?}: {n}");
        assert!((f64::from(scaled) / 80_000.0 - 1.0).abs() < 0.02, "{shape:?}: {scaled}");
        let share = f64::from(writes) / f64::from(n + scaled);
        assert!((share - spec.write_share()).abs() < 0.005, "{share}");
    }
}

#[test]
fn overload_is_reported_above_the_allowed_multiple_only() {
    // Sends `rate` times a capacity of 1 in steps of 10 ms; the detector allows 4 times the capacity over 2
    // s.
    for (rate, overloaded) in [(1.0, false), (3.9, false), (4.3, true), (8.0, true)] {
        let mut detector = OverloadDetector::new(2 * S, 4.0, 0.0);
        let first = (0..400u64).find_map(|i| {
            let now = i * 10 * MS;
            detector.record(now, 1.0, rate * 10.0 * MS as f64, 0.0, 0.0).map(|overload| (now, overload))
        });
        assert_eq!(first.is_some(), overloaded, "{rate}");
        if let Some((now, overload)) = first {
            // The capacity of a whole window is available from the start: 8 s of work, spent at this rate.
            let expected_at = 8.0 / rate * S as f64;
            assert!(
                (now as f64 / expected_at - 1.0).abs() < 0.06,
                "{rate}: at {now}, expected {expected_at}"
            );
            assert!(overload.sent > 4.0 * overload.capacity);
        }
    }
    // Work outside the window does not count, and attributed work is summed separately.
    let mut detector = OverloadDetector::new(2 * S, 4.0, 0.0);
    assert!(detector.record(0, 1.0, 7.9e6, 7.9e6, 0.0).is_none());
    assert!(
        detector.record(3 * S, 1.0, 7.9e6, 0.0, 0.0).is_none(),
        "a window later, the first work no longer counts"
    );
    let overload = detector.record(3 * S + 100 * MS, 1.0, 1e6, 1e6, 0.0).unwrap();
    assert!((overload.attributed - 1e6).abs() < 1.0 && (overload.sent - 8.9e6).abs() < 1.0, "{overload:?}");
}
