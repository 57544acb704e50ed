//! Admin server: accepts connections, reads one request from each and answers it. Its tasks run on a separate executor
//! that takes precedence over the one for clients.

use super::Runtime;
use crate::net::Listener;
use crate::state::hot_restart::{Change, HotRestartError, HotRestartState};
use crate::wire::admin::{AdminRequest, Reply, RequestReader};
use async_executor::Task;
use async_io::{Async, Timer};
use blocking::unblock;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::cell::Cell;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of open admin connections, for which descriptors are reserved. At the limit, a new connection evicts
/// the oldest one that has not sent a request.
const MOST_CALLERS: usize = 12;
/// Timeout for reading a request, and for writing its reply.
const TIME: Duration = Duration::from_secs(2);
/// Limits on reading further input after the reply. Closing a socket with unread bytes resets it, and the reply may be
/// lost.
const LINGER: Duration = Duration::from_millis(200);
const LINGER_BYTES: usize = 64 * 1024;
/// Maximum waits for another process to finish writing a change, and to apply this one. Callers time out after 1 s.
const WRITING: Duration = Duration::from_millis(500);
const HEEDING: Duration = Duration::from_millis(300);
const LOOK_AGAIN: Duration = Duration::from_millis(5);

/// Binds the admin address.
pub fn bind(address: SocketAddr) -> std::io::Result<Listener> {
    Listener::bind(address)
}

/// Accepts admin connections until the task is dropped.
pub async fn accept(runtime: Rc<Runtime>, listener: Listener) {
    // Oldest first. The flag is set once the request was read.
    let mut callers: Vec<(Rc<Cell<bool>>, Task<()>)> = Vec::new();
    loop {
        let io = listener.accept(|error| log::debug!("admin: cannot accept a connection: {error}")).await;
        callers.retain(|(_, task)| !task.is_finished());
        if callers.len() >= MOST_CALLERS {
            let idle = callers.iter().position(|(called, _)| !called.get());
            drop(callers.remove(idle.unwrap_or(0)));
        }
        let called = Rc::new(Cell::new(false));
        let serving = serve(Rc::clone(&runtime), io, Rc::clone(&called));
        callers.push((called, runtime.operators.spawn(serving)));
    }
}

async fn within<T>(limit: Duration, work: impl std::future::Future<Output = Option<T>>) -> Option<T> {
    let late = async {
        Timer::after(limit).await;
        None
    };
    future::or(work, late).await
}

async fn serve(runtime: Rc<Runtime>, mut io: Async<TcpStream>, called: Rc<Cell<bool>>) {
    // A connection without a complete request is closed without a reply.
    let Some(call) = within(TIME, read(&mut io)).await else { return };
    called.set(true);
    let reply = match call {
        Ok(call) => carry_out(&runtime, call).await,
        Err(error) => error.into(),
    };
    let bytes = reply.encode();
    let written = within(TIME, async { io.write_all(&bytes).await.ok() }).await;
    if written.is_some() && io.get_ref().shutdown(Shutdown::Write).is_ok() {
        within(LINGER, rest(&mut io)).await;
    }
}

/// Reads one request; `None` if the connection ended before it was complete.
async fn read(io: &mut Async<TcpStream>) -> Option<Result<AdminRequest, crate::wire::admin::RequestError>> {
    let (mut reader, mut buffer) = (RequestReader::default(), [0; 2048]);
    loop {
        match io.read(&mut buffer).await {
            Ok(n) if n > 0 => {
                if let Some(told) = reader.feed(buffer.get(..n).unwrap_or_default()) {
                    return Some(told);
                }
            }
            _ => return None,
        }
    }
}

async fn rest(io: &mut Async<TcpStream>) -> Option<()> {
    let (mut buffer, mut read) = ([0; 2048], 0);
    while read < LINGER_BYTES {
        match io.read(&mut buffer).await {
            Ok(n) if n > 0 => read += n,
            _ => break,
        }
    }
    None
}

async fn carry_out(runtime: &Rc<Runtime>, call: AdminRequest) -> Reply {
    match call {
        AdminRequest::Ready if runtime.ready() => Reply::text(200, "ready"),
        AdminRequest::Ready => Reply::text(503, "not ready"),
        AdminRequest::Vars => match serde_json::to_string(&runtime.proxy.borrow().metrics()) {
            Ok(body) => Reply { status: 200, body, allow: None },
            Err(error) => Reply::text(500, &error.to_string()),
        },
        AdminRequest::Detach(backend) => change(runtime, &backend, true).await,
        AdminRequest::Attach(backend) => change(runtime, &backend, false).await,
    }
}

fn save_failed(backend: &str, action: &str, why: &HotRestartError) -> Reply {
    log::error!("admin: {action} {backend}: cannot save the drain state, nothing changed: {why}");
    Reply::text(500, "cannot save the drain state, nothing changed")
}

/// Drains a backend or ends its drain. Saves the change for a later process first, then applies it here, and waits for
/// other processes of this proxy to apply it before it replies.
async fn change(runtime: &Rc<Runtime>, backend: &str, out: bool) -> Reply {
    let (action, state) = if out { ("detach", "out") } else { ("attach", "back") };
    let cold = runtime.network.warmup;
    if !runtime.proxy.borrow().endpoints.knows(backend) {
        log::warn!("admin: {action} {backend:.256}: no cache backend has this name");
        return Reply::text(404, "no cache backend has this name");
    }
    let mut full = false;
    let until = Instant::now() + WRITING;
    loop {
        let now = runtime.clock.unix();
        let make = |state: &mut HotRestartState| {
            if out {
                full = !state.drain(backend);
            } else {
                state.put_back(backend, now, cold);
            }
        };
        let change = match runtime.hot_restart.borrow_mut().as_mut() {
            Some(hot_restart) => hot_restart.change(make),
            None => Err(HotRestartError::Absent),
        };
        match change {
            Ok(Change::Unchanged) => break,
            // Writing may block on the disk, so it runs on another thread.
            Ok(Change::Pending(begun)) => match unblock(|| begun.keep()).await {
                Ok(state) => {
                    if let Some(hot_restart) = runtime.hot_restart.borrow_mut().as_mut() {
                        hot_restart.state = state;
                    }
                    break;
                }
                Err(why) => return save_failed(backend, action, &why),
            },
            Ok(Change::Busy) if Instant::now() < until => {
                Timer::after(LOOK_AGAIN).await;
            }
            Ok(Change::Busy) => return Reply::text(503, "another change is in progress"),
            Err(why) => return save_failed(backend, action, &why),
        }
    }
    let serial = runtime.heed();
    if full {
        log::error!("admin: {action} {backend}: too many backends are drained");
        return Reply::text(409, "too many backends are drained");
    }
    log::info!(backend; "admin: {action} {backend}: done");
    let until = Instant::now() + HEEDING;
    while runtime.others().iter().any(|other| other.heeded < serial) && Instant::now() < until {
        Timer::after(LOOK_AGAIN).await;
    }
    Reply::text(200, state)
}
