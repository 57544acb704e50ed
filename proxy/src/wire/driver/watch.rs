//! Watches discovery for endpoint updates.

use super::Runtime;
use crate::net::{self, Peer};
use crate::outcome::DiscoveryEnd;
use crate::wire::discovery::{self, WatchEnded};
use async_io::Timer;
use futures_lite::future;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

// A silent watch must be replaced within 6 s, even if the first call after it is silent as well. The timeouts below
// and the pauses between calls add up to less.

/// Timeout for the first bytes of the response. Discovery itself fails calls after 1 s.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout between reads. Discovery sends a heartbeat every 2 s; a partitioned connection stays open without data.
const READ_TIMEOUT: Duration = Duration::from_millis(2750);
/// Timeout between complete lines, for a discovery service that sends single bytes but no lines.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum interval between warnings about failed watches; an unreachable agent fails many a second.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Runs one watch until it ends and reports the reason to the proxy.
pub async fn run(runtime: Rc<Runtime>) {
    let (ending, reason) = run_watch(&runtime).await;
    log::log!(failure_log_level(&runtime), ending = ending.name(); "discovery: watch ended, {}: {reason}", ending.name());
    if let Some(task) = runtime.watch.borrow_mut().take() {
        task.detach();
    }
    runtime.discovery_ready.set(true);
    runtime.drive(|proxy, now| proxy.discovery_failed(now, ending));
}

/// The level at which the end of a watch is logged: a warning, unless another was logged just before.
fn failure_log_level(runtime: &Runtime) -> log::Level {
    let logged_at = &runtime.watch_failure_logged_at;
    if logged_at.get().is_some_and(|at| at.elapsed() < FAILURE_LOG_INTERVAL) {
        return log::Level::Debug;
    }
    logged_at.set(Some(Instant::now()));
    log::Level::Warn
}

async fn with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = std::io::Result<T>>,
) -> Result<T, (DiscoveryEnd, String)> {
    let timed_out = async {
        Timer::after(limit).await;
        Err((DiscoveryEnd::Silent, format!("no data for {} ms", limit.as_millis())))
    };
    future::or(async { work.await.map_err(|e| (DiscoveryEnd::Broken, e.to_string())) }, timed_out).await
}

async fn run_watch(runtime: &Rc<Runtime>) -> (DiscoveryEnd, String) {
    match receive_updates(runtime).await {
        Ok(()) => (DiscoveryEnd::Broken, "connection closed".to_owned()),
        Err(end) => end,
    }
}

async fn receive_updates(runtime: &Rc<Runtime>) -> Result<(), (DiscoveryEnd, String)> {
    let discovery = runtime.discovery.get();
    let rev = {
        let mut proxy = runtime.proxy.borrow_mut();
        proxy.counters.watches += 1;
        proxy.endpoints.rev()
    };
    let mut decoder = discovery::Decoder::default();
    let mut buffer = vec![0; 16 * 1024];
    let (mut lines, mut last_line_at) = (0, Instant::now());
    let response = async {
        let io = net::connect(discovery, Peer::Discovery).await.map_err(std::io::Error::other)?;
        io.write_all(&discovery::encode(&discovery.to_string(), rev)).await?;
        let n = io.read_some(&mut buffer).await?;
        Ok((io, n))
    };
    let (io, mut n) = with_timeout(FIRST_RESPONSE_TIMEOUT, response).await?;
    loop {
        if n == 0 {
            return Ok(());
        }
        let updates = decoder.feed(buffer.get(..n).unwrap_or_default());
        for update in updates.map_err(|WatchEnded(reason)| (DiscoveryEnd::Broken, reason))? {
            // Updates without endpoints are heartbeats.
            let level = if update.targets.is_empty() { log::Level::Debug } else { log::Level::Info };
            let (rev, lines) = (update.rev, update.targets.len());
            log::log!(level, version = rev, lines, all = update.all; "discovery: version {rev}, {lines} lines, all={}", update.all);
            runtime.drive(|proxy, now| proxy.update(now, update));
        }
        // Any complete line, even a heartbeat, shows that the endpoint list is current.
        if decoder.lines_received() > lines {
            (lines, last_line_at) = (decoder.lines_received(), Instant::now());
            runtime.discovery_ready.set(true);
            runtime.proxy.borrow_mut().endpoints.set_current();
        }
        n = with_timeout(
            READ_TIMEOUT.min(LINE_TIMEOUT.saturating_sub(last_line_at.elapsed())),
            io.read_some(&mut buffer),
        )
        .await?;
    }
}
