//! Operators' calls: accepting, reading one call, answering it. Their tasks run on an executor of their own, which
//! gets its turn before the clients' one.

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

/// Callers at once; their descriptors are set aside. Of more, the one that has kept its call back for longest goes:
/// idle callers must not shut out those who have something to ask.
const MOST_CALLERS: usize = 12;
/// The time for a call to come in whole, and for its answer to be taken.
const TIME: Duration = Duration::from_secs(2);
/// For so long after the answer the rest of what a caller sends is read: a socket that is closed with unread bytes
/// is reset, and the answer may be lost.
const LINGER: Duration = Duration::from_millis(200);
const LINGER_BYTES: usize = 64 * 1024;
/// The longest wait for the other process to write, and to heed, a change. Callers wait a second.
const WRITING: Duration = Duration::from_millis(500);
const HEEDING: Duration = Duration::from_millis(300);
const LOOK_AGAIN: Duration = Duration::from_millis(5);

/// Opens the address where operators call.
pub fn bind(address: SocketAddr) -> std::io::Result<Listener> {
    Listener::bind(address)
}

/// Takes calls until the task is dropped.
pub async fn accept(runtime: Rc<Runtime>, listener: Listener) {
    // Oldest first; those whose call is being carried out are not sent away.
    let mut callers: Vec<(Rc<Cell<bool>>, Task<()>)> = Vec::new();
    loop {
        let io = listener.accept(|error| log::debug!("operators: cannot accept: {error}")).await;
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
    // A caller that says nothing in its time is owed nothing.
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

/// One call or error; `None` if the caller has gone.
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
        AdminRequest::Ready if runtime.ready() => Reply::line(200, "ready"),
        AdminRequest::Ready => Reply::line(503, "not ready"),
        AdminRequest::Vars => match serde_json::to_string(&runtime.proxy.borrow().metrics()) {
            Ok(body) => Reply { status: 200, body, allow: None },
            Err(error) => Reply::line(500, &error.to_string()),
        },
        AdminRequest::Detach(backend) => change(runtime, &backend, true).await,
        AdminRequest::Attach(backend) => change(runtime, &backend, false).await,
    }
}

fn not_kept(backend: &str, what: &str, why: &HotRestartError) -> Reply {
    log::error!("operators: {backend} {what}: cannot be kept for an upgrade, nothing is changed: {why}");
    Reply::line(500, "cannot be kept for an upgrade, nothing is changed")
}

/// Takes a backend out or puts it back: kept for a successor first, then carried out here, then heeded by the other
/// process if there is one; then the yes.
async fn change(runtime: &Rc<Runtime>, backend: &str, out: bool) -> Reply {
    let (what, cold) = (if out { "out" } else { "back" }, runtime.network.warmup);
    if !runtime.proxy.borrow().endpoints.knows(backend) {
        log::warn!("operators: {backend:.256} {what}: no cache backend has this name");
        return Reply::line(404, "no cache worker has this name");
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
            // The disk's time is no client's: it is waited for on a thread of its own.
            Ok(Change::Pending(begun)) => match unblock(|| begun.write()).await {
                Ok(state) => {
                    if let Some(hot_restart) = runtime.hot_restart.borrow_mut().as_mut() {
                        hot_restart.state = state;
                    }
                    break;
                }
                Err(why) => return not_kept(backend, what, &why),
            },
            Ok(Change::Busy) if Instant::now() < until => {
                Timer::after(LOOK_AGAIN).await;
            }
            Ok(Change::Busy) => return Reply::line(503, "another change is being made"),
            Err(why) => return not_kept(backend, what, &why),
        }
    }
    let serial = runtime.heed();
    if full {
        log::error!("operators: {backend} {what}: too many backends are out by hand");
        return Reply::line(409, "too many workers are out by hand");
    }
    log::info!(backend; "operators: {backend} {what} by hand");
    let until = Instant::now() + HEEDING;
    while runtime.others().iter().any(|other| other.state_serial < serial) && Instant::now() < until {
        Timer::after(LOOK_AGAIN).await;
    }
    Reply::line(200, what)
}
