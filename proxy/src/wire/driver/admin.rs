//! Admin server: accepts connections, reads one request from each and answers it. Its tasks run on a separate
//! executor that takes precedence over the one for clients.

use super::Runtime;
use crate::net::{Listener, Peer, Stream};
use crate::state::hot_restart::{Change, HotRestartError, HotRestartState};
use crate::state::metrics::snapshot::Metrics;
use crate::wire::admin::{AdminRequest, Reply, RequestReader};
use async_executor::Task;
use async_io::Timer;
use blocking::unblock;
use futures_lite::future;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of open admin connections, for which descriptors are reserved. At the limit, a new connection
/// evicts the oldest one that has not sent a request.
const MAX_CONNECTIONS: usize = 12;
/// Timeout for reading a request, and for writing its reply.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Limits on reading further input after the reply. Closing a socket with unread bytes resets it, and the reply may
/// be lost.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_LINGER_BYTES: usize = 64 * 1024;
/// Maximum waits for another process to finish writing a change, and to apply this one. Callers time out after 1 s.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(500);
const APPLY_TIMEOUT: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Binds the admin address.
pub fn bind(address: SocketAddr) -> std::io::Result<Listener> {
    Listener::bind(address, Peer::Admin)
}

/// Accepts admin connections until the task is dropped.
pub async fn accept(runtime: Rc<Runtime>, listener: Listener) {
    // Oldest first. The flag is set once the request was read.
    let mut connections: Vec<(Rc<Cell<bool>>, Task<()>)> = Vec::new();
    loop {
        let io = listener.accept(|error| log::debug!("admin: cannot accept a connection: {error}")).await;
        connections.retain(|(_, task)| !task.is_finished());
        if connections.len() >= MAX_CONNECTIONS {
            let idle = connections.iter().position(|(request_read, _)| !request_read.get());
            drop(connections.remove(idle.unwrap_or(0)));
        }
        let request_read = Rc::new(Cell::new(false));
        let task = serve(Rc::clone(&runtime), io, Rc::clone(&request_read));
        connections.push((request_read, runtime.operators.spawn(task)));
    }
}

async fn with_timeout<T>(limit: Duration, work: impl std::future::Future<Output = Option<T>>) -> Option<T> {
    let timed_out = async {
        Timer::after(limit).await;
        None
    };
    future::or(work, timed_out).await
}

async fn serve(runtime: Rc<Runtime>, io: Stream, request_read: Rc<Cell<bool>>) {
    // A connection without a complete request is closed without a reply.
    let Some(request) = with_timeout(REQUEST_TIMEOUT, read_request(&io)).await else { return };
    request_read.set(true);
    let reply = match request {
        Ok(request) => handle(&runtime, request).await,
        Err(error) => error.into(),
    };
    let bytes = reply.encode();
    let written = with_timeout(REQUEST_TIMEOUT, async { io.write_all(&bytes).await.ok() }).await;
    if written.is_some() && io.shutdown_write().is_ok() {
        with_timeout(LINGER_TIMEOUT, discard_input(&io)).await;
    }
}

/// Reads one request; `None` if the connection ended before it was complete.
async fn read_request(io: &Stream) -> Option<Result<AdminRequest, crate::wire::admin::RequestError>> {
    let (mut reader, mut buffer) = (RequestReader::default(), [0; 2048]);
    loop {
        match io.read_some(&mut buffer).await {
            Ok(n) if n > 0 => {
                if let Some(result) = reader.feed(buffer.get(..n).unwrap_or_default()) {
                    return Some(result);
                }
            }
            _ => return None,
        }
    }
}

async fn discard_input(io: &Stream) -> Option<()> {
    let (mut buffer, mut read) = ([0; 2048], 0);
    while read < MAX_LINGER_BYTES {
        match io.read_some(&mut buffer).await {
            Ok(n) if n > 0 => read += n,
            _ => break,
        }
    }
    None
}

async fn handle(runtime: &Rc<Runtime>, request: AdminRequest) -> Reply {
    match request {
        AdminRequest::Ready if runtime.ready() => Reply::text(200, "ready"),
        AdminRequest::Ready => Reply::text(503, "not ready"),
        AdminRequest::Vars => metrics(runtime),
        AdminRequest::Detach(backend) => set_drained(runtime, &backend, true).await,
        AdminRequest::Attach(backend) => set_drained(runtime, &backend, false).await,
    }
}

fn metrics(runtime: &Runtime) -> Reply {
    let proxy = runtime.proxy.borrow();
    let negative_cache = runtime.negative_cache.as_ref().map(|cache| &cache.metrics);
    match serde_json::to_string(&Metrics { negative_cache, ..proxy.metrics() }) {
        Ok(body) => Reply { status: 200, body, allow: None },
        Err(error) => Reply::text(500, &error.to_string()),
    }
}

fn save_failed(backend: &str, action: &str, error: &HotRestartError) -> Reply {
    log::error!("admin: {action} {backend}: cannot save the drain state, nothing changed: {error}");
    Reply::text(500, "cannot be kept for an upgrade, nothing is changed")
}

/// Drains a backend or ends its drain. Saves the change for a later process first, then applies it here, and waits
/// for other processes of this proxy to apply it before it replies.
async fn set_drained(runtime: &Rc<Runtime>, backend: &str, drained: bool) -> Reply {
    let (action, state) = if drained { ("detach", "out") } else { ("attach", "back") };
    let warmup = runtime.network.warmup;
    if !runtime.proxy.borrow().endpoints.knows(backend) {
        log::warn!("admin: {action} {backend:.256}: no cache backend has this name");
        return Reply::text(404, "no cache worker has this name");
    }
    let mut limit_reached = false;
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    loop {
        let now = runtime.clock.unix();
        let apply = |state: &mut HotRestartState| {
            if drained {
                limit_reached = !state.drain(backend);
            } else {
                state.put_back(backend, now, warmup);
            }
        };
        let change = match runtime.hot_restart.borrow_mut().as_mut() {
            Some(hot_restart) => hot_restart.change(apply),
            None => Err(HotRestartError::Absent),
        };
        match change {
            Ok(Change::Unchanged) => break,
            // Writing may block on the disk, so it runs on another thread.
            Ok(Change::Pending(pending)) => match unblock(|| pending.write()).await {
                Ok(state) => {
                    if let Some(hot_restart) = runtime.hot_restart.borrow_mut().as_mut() {
                        hot_restart.state = state;
                    }
                    break;
                }
                Err(error) => return save_failed(backend, action, &error),
            },
            Ok(Change::Busy) if Instant::now() < deadline => {
                Timer::after(POLL_INTERVAL).await;
            }
            Ok(Change::Busy) => return Reply::text(503, "another change is being made"),
            Err(error) => return save_failed(backend, action, &error),
        }
    }
    let version = runtime.apply_state();
    if limit_reached {
        log::error!("admin: {action} {backend}: too many backends are drained");
        return Reply::text(409, "too many workers are out by hand");
    }
    log::info!(backend; "admin: {action} {backend}: done");
    let deadline = Instant::now() + APPLY_TIMEOUT;
    while runtime.other_processes().iter().any(|other| other.state_serial < version)
        && Instant::now() < deadline
    {
        Timer::after(POLL_INTERVAL).await;
    }
    Reply::text(200, state)
}
