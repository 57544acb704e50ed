//! A run of the load generator: threads that divide the requests of one seed among them, and their combined results.

use crate::arrivals::Arrivals;
use crate::client::{Clients, Shared, ThreadResults};
use crate::codec::Protocol;
use crate::live::LiveCounts;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use hdrhistogram::Histogram;
use notchdoor_lab::record::{Day, Recorder};
use notchdoor_model::clients::{ClientBehaviour, Workload};
use notchdoor_model::spec::Spec;
use notchdoor_model::time::{secs, Time};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum number of threads.
pub const MAX_THREADS: usize = 64;
/// Maximum share of voided requests of a valid run.
pub const MAX_VOIDED_SHARE: f64 = 0.01;
/// Default of [`Options::max_lateness`].
pub const MAX_LATENESS: Time = 20_000;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the proxies. Clients of zone `n` use the target with index `n` modulo the number of targets.
    pub targets: Vec<SocketAddr>,
    /// The client protocol.
    pub protocol: Protocol,
    /// When requests are due.
    pub arrivals: Arrivals,
    /// Maximum number of connections to one target.
    pub connections: usize,
    /// Number of threads, at most [`MAX_THREADS`].
    pub threads: usize,
    /// Size of written values in bytes.
    pub value_bytes: usize,
    /// Whether clients retry and leave early, as defined by the scenario.
    pub follow_client_behaviour: bool,
    /// A request is voided if it cannot start within this time after it was due, in microseconds.
    pub max_lateness: Time,
    /// Hides the progress display.
    pub quiet: bool,
}

/// How well the generator kept to the arrival times.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct GeneratorReport {
    /// Number of requests that were due.
    pub due: u64,
    /// Number of these that were not sent, since they could not start in time.
    pub voided: u64,
    /// How long after their due times requests started, in milliseconds: the median.
    pub late_p50_ms: f64,
    /// The 99th percentile of the same.
    pub late_p99_ms: f64,
    /// The maximum of the same.
    pub late_max_ms: f64,
    /// Number of connections opened.
    pub opened: u64,
}

impl GeneratorReport {
    /// Whether the results are valid: few enough requests were voided.
    pub fn is_valid(&self) -> bool {
        self.voided as f64 <= MAX_VOIDED_SHARE * self.due as f64
    }
}

/// Sends the requests of a spec's clients to the targets. Returns the results in the form of the lab's, and the generator's report.
pub fn run(
    spec: &Spec,
    scenario: &str,
    seed: u64,
    options: &Options,
) -> Result<(Day, GeneratorReport), String> {
    let threads = options.threads.clamp(1, MAX_THREADS);
    if options.targets.is_empty() {
        return Err("no targets given".to_owned());
    }
    let mut spec = spec.clone();
    if let Some(rate) = options.arrivals.rate() {
        spec.load.rate = rate;
    }
    let (_, until) = spec.scored_interval();
    // The time makes the request ids of different runs differ; no duration is measured with it.
    #[allow(clippy::disallowed_methods)]
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let shared = Arc::new(Shared {
        seed,
        targets: options.targets.clone(),
        protocol: options.protocol,
        connections: options.connections.div_ceil(threads).max(1),
        value: vec![b'v'; options.value_bytes],
        behaviour: options.follow_client_behaviour.then(|| ClientBehaviour::new(&spec.clients)),
        // Leaves time for all threads to start.
        start: Instant::now() + Duration::from_millis(50),
        max_lateness: options.max_lateness,
        live: LiveCounts::new(spec.classes.iter().map(|c| c.name.clone())),
        nonce: (unix.as_micros() as u64) << 8,
        spec,
    });
    let running = AtomicUsize::new(threads);
    let results: Vec<Result<ThreadResults, String>> = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads)
            .map(|i| {
                let (shared, running, arrivals) = (Arc::clone(&shared), &running, &options.arrivals);
                scope.spawn(move || {
                    let results = run_thread(&shared, arrivals, (i, threads), until);
                    running.fetch_sub(1, Ordering::Relaxed);
                    results
                })
            })
            .collect();
        let total = Duration::from_micros(until);
        shared.live.show(total, options.quiet, || running.load(Ordering::Relaxed) == 0);
        let panicked = |_| Err("a thread of the load generator panicked".to_owned());
        handles.into_iter().map(|h| h.join().unwrap_or_else(panicked)).collect()
    });
    let mut all: Option<ThreadResults> = None;
    for part in results {
        let part = part?;
        match &mut all {
            None => all = Some(part),
            Some(all) => {
                all.recorder.absorb(part.recorder);
                all.lateness
                    .add(&part.lateness)
                    .map_err(|e| format!("cannot merge the lateness of threads: {e}"))?;
                all.voided += part.voided;
                all.opened += part.opened;
            }
        }
    }
    let all = all.ok_or("no thread ran")?;
    let lateness = |q: f64| quantile_ms(&all.lateness, q);
    let report = GeneratorReport {
        due: all.lateness.len(),
        voided: all.voided,
        late_p50_ms: lateness(0.5),
        late_p99_ms: lateness(0.99),
        late_max_ms: lateness(1.0),
        opened: all.opened,
    };
    let day = Day {
        scenario: scenario.to_owned(),
        policy: "load".to_owned(),
        seed,
        warm_up_s: shared.spec.warm_up_s,
        took_s: shared.start.elapsed().as_secs_f64(),
        ..all.recorder.sum_up(&shared.spec, false)
    };
    Ok((day, report))
}

/// A quantile of times in microseconds, in milliseconds; 0 without any.
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    if histogram.is_empty() {
        return 0.0;
    }
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// Runs one of `threads` threads, which generates every request of the seed and sends those whose number modulo `threads` is
/// its own.
fn run_thread(
    shared: &Arc<Shared>,
    arrivals: &Arrivals,
    (thread, threads): (usize, usize),
    until: Time,
) -> Result<ThreadResults, String> {
    let spec = &shared.spec;
    let quota = notchdoor_lab::quotas(spec).into_iter().map(|q| q / threads as f64).collect();
    let clients = Clients::new(Arc::clone(shared), thread as u64, Recorder::new(spec, quota));
    let executor = LocalExecutor::new();
    let longest_deadline = spec.classes.iter().map(|c| secs(c.deadline_ms / 1e3)).max().unwrap_or(0);
    future::block_on(executor.run(async {
        let mut workload = Workload::new(spec, spec.rate(), shared.seed);
        for (n, arrival) in arrivals.times(spec, shared.seed, until).enumerate() {
            let mut request = workload.generate(arrival.at);
            if let Some(class) = arrival.class {
                let deadline = secs(spec.classes[class as usize].deadline_ms / 1e3);
                (request.class, request.write) = (class, spec.classes[class as usize].write);
                request.deadline = request.requested_at + deadline;
            }
            request.key = arrival.key.unwrap_or(request.key);
            if n % threads != thread {
                continue;
            }
            clients.wait_until(arrival.at).await;
            clients.start(&executor, request);
        }
        // The last requests may take until their deadlines.
        let ends_at = until + longest_deadline + secs(1.0);
        while clients.open() > 0 && shared.start.elapsed().as_micros() < u128::from(ends_at) {
            Timer::after(Duration::from_millis(5)).await;
        }
    }));
    drop(executor);
    clients.into_results().ok_or_else(|| "a request was still open at the end of the run".to_owned())
}
