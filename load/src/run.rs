//! A run: threads that share the requests of one seed among them, and what they come to together.

use crate::arrivals::Arrivals;
use crate::client::{Clients, Part, Shared};
use crate::codec::Protocol;
use crate::live::Live;
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

/// Threads at the most.
pub const MOST_THREADS: usize = 64;
/// A run whose share of voided requests is over this cannot tell anything of its target.
pub const MOST_VOID: f64 = 0.01;
/// A request is voided if it would be sent so long after it was due, in microseconds, unless a run says otherwise.
pub const MOST_LATE: Time = 20_000;

/// What a run is to do.
#[derive(Clone, Debug)]
pub struct Options {
    /// The proxies; a client of the `n`-th zone asks the `n`-th of them, and so on round.
    pub targets: Vec<SocketAddr>,
    /// What is spoken.
    pub protocol: Protocol,
    /// When requests are due.
    pub arrivals: Arrivals,
    /// Connections to one target at the most.
    pub connections: usize,
    /// Threads.
    pub threads: usize,
    /// Bytes of a written value.
    pub value_bytes: usize,
    /// Whether clients try again, and leave, as the scenario has it.
    pub manners: bool,
    /// A request is voided if it would be sent so long after it was due, in microseconds.
    pub most_late: Time,
    /// No live view.
    pub quiet: bool,
}

/// How well the generator itself kept time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Kept {
    /// Requests that were due.
    pub due: u64,
    /// Of them, those that could not be sent in time and were not sent at all.
    pub voided: u64,
    /// How late requests were begun, in milliseconds: the median, the 99th percentile, the longest.
    pub late_p50_ms: f64,
    /// See above.
    pub late_p99_ms: f64,
    /// See above.
    pub late_max_ms: f64,
    /// Connections opened.
    pub opened: u64,
}

impl Kept {
    /// Whether the run tells anything of its target.
    pub fn tells(&self) -> bool {
        self.voided as f64 <= MOST_VOID * self.due as f64
    }
}

/// Plays a spec's clients against targets. The result is a day like the lab's, with what the generator itself did.
pub fn run(spec: &Spec, scenario: &str, seed: u64, options: &Options) -> Result<(Day, Kept), String> {
    let threads = options.threads.clamp(1, MOST_THREADS);
    if options.targets.is_empty() {
        return Err("no target is given".to_owned());
    }
    let mut spec = spec.clone();
    if let Some(rate) = options.arrivals.rate() {
        spec.load.rate = rate;
    }
    let (_, until) = spec.scored_interval();
    // Request ids of two runs must differ: the time tells the runs apart, and no span is measured with it.
    #[allow(clippy::disallowed_methods)]
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let shared = Arc::new(Shared {
        seed,
        targets: options.targets.clone(),
        protocol: options.protocol,
        connections: options.connections.div_ceil(threads).max(1),
        value: vec![b'v'; options.value_bytes],
        manners: options.manners.then(|| ClientBehaviour::new(&spec.clients)),
        // Time for all threads to be there.
        start: Instant::now() + Duration::from_millis(50),
        most_late: options.most_late,
        live: Live::new(spec.classes.iter().map(|c| c.name.clone())),
        nonce: (unix.as_micros() as u64) << 8,
        spec,
    });
    let running = AtomicUsize::new(threads);
    let parts: Vec<Result<Part, String>> = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads)
            .map(|i| {
                let (shared, running, arrivals) = (Arc::clone(&shared), &running, &options.arrivals);
                scope.spawn(move || {
                    let part = thread(&shared, arrivals, (i, threads), until);
                    running.fetch_sub(1, Ordering::Relaxed);
                    part
                })
            })
            .collect();
        let total = Duration::from_micros(until);
        shared.live.show(total, options.quiet, || running.load(Ordering::Relaxed) == 0);
        let gone = |_| Err("a thread of the generator panicked".to_owned());
        handles.into_iter().map(|h| h.join().unwrap_or_else(gone)).collect()
    });
    let mut all: Option<Part> = None;
    for part in parts {
        let part = part?;
        match &mut all {
            None => all = Some(part),
            Some(all) => {
                all.recorder.absorb(part.recorder);
                all.late.add(&part.late).map_err(|e| format!("cannot merge: {e}"))?;
                all.voided += part.voided;
                all.opened += part.opened;
            }
        }
    }
    let all = all.ok_or("no thread has run")?;
    let late = |q: f64| of(&all.late, q);
    let kept = Kept {
        due: all.late.len(),
        voided: all.voided,
        late_p50_ms: late(0.5),
        late_p99_ms: late(0.99),
        late_max_ms: late(1.0),
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
    Ok((day, kept))
}

fn of(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    if histogram.is_empty() {
        return 0.0;
    }
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// One thread: it draws every request of the seed, and sends each `n`-th.
fn thread(
    shared: &Arc<Shared>,
    arrivals: &Arrivals,
    (thread, threads): (usize, usize),
    until: Time,
) -> Result<Part, String> {
    let spec = &shared.spec;
    let quota = notchdoor_lab::quotas(spec).into_iter().map(|q| q / threads as f64).collect();
    let clients = Clients::new(Arc::clone(shared), thread as u64, Recorder::new(spec, quota));
    let executor = LocalExecutor::new();
    let longest = spec.classes.iter().map(|c| secs(c.deadline_ms / 1e3)).max().unwrap_or(0);
    future::block_on(executor.run(async {
        let mut demand = Workload::new(spec, spec.rate(), shared.seed);
        for (n, line) in arrivals.times(spec, shared.seed, until).enumerate() {
            let mut want = demand.generate(line.at);
            if let Some(class) = line.class {
                let deadline = secs(spec.classes[class as usize].deadline_ms / 1e3);
                (want.class, want.write) = (class, spec.classes[class as usize].write);
                want.deadline = want.requested_at + deadline;
            }
            want.key = line.key.unwrap_or(want.key);
            if n % threads != thread {
                continue;
            }
            clients.until(line.at).await;
            clients.begin(&executor, want);
        }
        // The last ones have their time still.
        let over = until + longest + secs(1.0);
        while clients.open() > 0 && shared.start.elapsed().as_micros() < u128::from(over) {
            Timer::after(Duration::from_millis(5)).await;
        }
    }));
    drop(executor);
    clients.into_part().ok_or_else(|| "a client is left when the run is over".to_owned())
}
