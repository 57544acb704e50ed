//! A relay between two parties that does to their connections what a script says. One task for each direction, all
//! on the executor of the thread that starts it.

use crate::wire::frames::Protocol;
use crate::wire::pipe::{Op, Pipe};
use crate::wire::script::{Link, Script, Way};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};
use std::time::Duration;

/// Bytes that are read at once. What is read is written before more is read: a slow reader is felt by the writer.
const READ: usize = 16 * 1024;
/// Connections that one relay carries at the most; further ones are closed.
const MOST_CONNECTIONS: usize = 1024;

/// What becomes of new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// They are relayed.
    Open,
    /// They are reset as soon as they are up.
    Refuses,
    /// They are never accepted: they come up, and nothing is ever read.
    NeverAccepts,
}

/// What a relay has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Connections accepted.
    pub accepted: u64,
    /// Messages to which something was done.
    pub hits: u64,
    /// Bytes read from those who dialled, and from the other side.
    pub bytes: (u64, u64),
}

struct State {
    target: SocketAddr,
    link: Link,
    script: RefCell<Script>,
    seed: u64,
    gate: Cell<Gate>,
    gate_moved: RefCell<Vec<Waker>>,
    seen: Cell<Seen>,
    open: Cell<usize>,
}

/// A relay: it ends, with all its connections, when it is dropped.
pub struct Relay {
    address: SocketAddr,
    state: Rc<State>,
    _accepting: Task<()>,
}

/// Gives a place back when its connection is over.
struct Place(Rc<State>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

impl Relay {
    /// Listens on a free port of loopback, and relays to `target`.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        link: Link,
        target: SocketAddr,
        script: Script,
        seed: u64,
    ) -> io::Result<Relay> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        let state = Rc::new(State {
            target,
            link,
            script: RefCell::new(script),
            seed,
            gate: Cell::new(Gate::Open),
            gate_moved: RefCell::default(),
            seen: Cell::default(),
            open: Cell::new(0),
        });
        let accepting = accept(Rc::downgrade(executor), listener, Rc::clone(&state));
        Ok(Relay { address, state, _accepting: executor.spawn(accepting) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What becomes of new connections from now on.
    pub fn set_gate(&self, gate: Gate) {
        self.state.gate.set(gate);
        self.state.gate_moved.take().into_iter().for_each(Waker::wake);
    }

    /// Another script, for connections from now on. They are counted on.
    pub fn set_script(&self, script: Script) {
        *self.state.script.borrow_mut() = script;
    }

    /// What it has seen so far.
    pub fn seen(&self) -> Seen {
        self.state.seen.get()
    }
}

impl State {
    fn count(&self, what: impl FnOnce(&mut Seen)) {
        let mut seen = self.seen.get();
        what(&mut seen);
        self.seen.set(seen);
    }

    async fn gate_accepts(&self) {
        future::poll_fn(|context| {
            if self.gate.get() == Gate::NeverAccepts {
                self.gate_moved.borrow_mut().push(context.waker().clone());
                return Poll::Pending;
            }
            Poll::Ready(())
        })
        .await;
    }
}

fn reset(stream: &Async<TcpStream>) {
    // With no time to linger, a close is a reset.
    let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
}

/// Holds the executor weakly: it holds this task, and neither would ever be dropped.
async fn accept(executor: Weak<LocalExecutor<'static>>, listener: Async<TcpListener>, state: Rc<State>) {
    let mut connections: Vec<Task<()>> = Vec::new();
    loop {
        state.gate_accepts().await;
        let Ok((stream, _)) = listener.accept().await else {
            // No descriptors left, for one: the next try may do better.
            Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        // It may have moved while nobody came.
        state.gate_accepts().await;
        connections.retain(|c| !c.is_finished());
        let n = state.seen.get().accepted;
        state.count(|seen| seen.accepted += 1);
        if state.gate.get() == Gate::Refuses || state.open.get() >= MOST_CONNECTIONS {
            reset(&stream);
            continue;
        }
        state.open.set(state.open.get() + 1);
        let place = Place(Rc::clone(&state));
        let Some(executor) = executor.upgrade() else { return };
        connections.push(executor.spawn(carry(Rc::clone(&state), stream, n, place)));
    }
}

async fn carry(state: Rc<State>, client: Async<TcpStream>, n: u64, _place: Place) {
    let Ok(server) = Async::<TcpStream>::connect(state.target).await else {
        return reset(&client);
    };
    for stream in [&client, &server] {
        let _ = stream.get_ref().set_nodelay(true);
    }
    let protocol = match state.link {
        Link::ClientProxy | Link::ProxyWorker => Protocol::Resp,
        Link::ProxyOrigin | Link::ProxyRegistry => Protocol::Http,
    };
    let pipe = |way: Way, salt: u64| {
        let rules = state.script.borrow().rules_of(state.link, n, way);
        Pipe::new(protocol, rules, state.seed ^ (n << 1 | salt))
    };
    let there = copy(&state, &client, &server, pipe(Way::There, 0), |seen, n| seen.bytes.0 += n);
    let back = copy(&state, &server, &client, pipe(Way::Back, 1), |seen, n| seen.bytes.1 += n);
    // A direction that has ended in good order leaves the other alone; any other end is that of both.
    let mut ends = [None, None];
    let mut directions: [Direction<'_>; 2] = [Box::pin(there), Box::pin(back)];
    let end = future::poll_fn(|context| {
        for (direction, end) in directions.iter_mut().zip(&mut ends) {
            if end.is_none() {
                if let Poll::Ready(ended) = direction.as_mut().poll(context) {
                    *end = Some(ended);
                }
            }
        }
        let hard = ends.iter().flatten().find(|end| **end != End::Closed);
        match (hard, ends) {
            (Some(end), _) => Poll::Ready(*end),
            (None, [Some(_), Some(_)]) => Poll::Ready(End::Closed),
            _ => Poll::Pending,
        }
    });
    if end.await == End::Reset {
        reset(&client);
        reset(&server);
    }
}

type Direction<'a> = Pin<Box<dyn Future<Output = End> + 'a>>;

/// How a direction has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Closed,
    Both,
    Reset,
}

async fn copy(
    state: &State,
    from: &Async<TcpStream>,
    to: &Async<TcpStream>,
    mut pipe: Pipe,
    counted: fn(&mut Seen, u64),
) -> End {
    let (mut reader, mut writer) = (from, to);
    let mut buffer = vec![0; READ];
    loop {
        let read = match reader.read(&mut buffer).await {
            Ok(n) => n,
            Err(_) => return End::Reset,
        };
        let before = pipe.hits();
        match read {
            0 => pipe.end(),
            n => pipe.feed(&buffer[..n]),
        }
        state.count(|seen| {
            counted(seen, read as u64);
            seen.hits += pipe.hits() - before;
        });
        while let Some(op) = pipe.next_op() {
            match op {
                Op::Send(bytes) => {
                    if writer.write_all(&bytes).await.is_err() {
                        return End::Reset;
                    }
                }
                Op::Wait(us) => {
                    Timer::after(Duration::from_micros(us)).await;
                }
                Op::Close => {
                    let _ = to.get_ref().shutdown(Shutdown::Write);
                }
                Op::CloseBoth => return End::Both,
                Op::Reset => return End::Reset,
            }
        }
        if read == 0 {
            return End::Closed;
        }
    }
}
