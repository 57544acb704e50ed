//! One thread's clients: connections that are kept, tries that are due at a time, and what becomes of them.

use crate::codec::{Answer, Ask, Codec, Protocol};
use crate::live::Live;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_lock::Semaphore;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use hdrhistogram::Histogram;
use notchdoor_lab::record::Recorder;
use notchdoor_model::clients::{AttemptResult, ClientBehaviour, ClientRequest};
use notchdoor_model::spec::{Effect, Spec};
use notchdoor_model::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bytes read at once.
const READ: usize = 64 * 1024;
/// Orders of one thread that are open at the most; what is due beyond is voided.
const MOST_OPEN: usize = 50_000;

/// What all threads of a run share.
pub(crate) struct Shared {
    pub spec: Spec,
    pub seed: u64,
    pub targets: Vec<SocketAddr>,
    pub protocol: Protocol,
    /// Connections to one target, of one thread.
    pub connections: usize,
    pub value: Vec<u8>,
    pub manners: Option<ClientBehaviour>,
    /// When the run's time is 0.
    pub start: Instant,
    /// A try that would be sent later than this after it was due is voided: the rig could not play it.
    pub most_late: Time,
    pub live: Live,
    /// What tells this run's ids from those of others.
    pub nonce: u64,
}

/// What one thread has taken down.
pub(crate) struct Part {
    pub recorder: Recorder,
    /// How late tries were sent, in microseconds.
    pub late: Histogram<u64>,
    /// Requests that could not be sent in time, and were not.
    pub voided: u64,
    /// Connections opened.
    pub opened: u64,
}

struct Connection {
    stream: Async<TcpStream>,
    codec: Box<dyn Codec>,
    /// What is read goes through here: one for each exchange would be cleared for each.
    buffer: Vec<u8>,
    used: bool,
}

/// Connections to one target.
struct Pool {
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    places: Semaphore,
}

pub(crate) struct Clients {
    shared: std::sync::Arc<Shared>,
    pools: Vec<Pool>,
    part: RefCell<Part>,
    rng: RefCell<ChaCha8Rng>,
    ids: Cell<u64>,
    thread: u64,
    open: Cell<usize>,
    /// Open requests that have not started yet.
    unstarted: Cell<u64>,
}

/// How one exchange ended.
enum Exchange {
    Answered(Answer),
    /// The connection broke, before anything of an answer had come or after.
    Broke(bool),
}

impl Clients {
    pub fn new(shared: std::sync::Arc<Shared>, thread: u64, recorder: Recorder) -> Rc<Clients> {
        let pool = |address: &SocketAddr| Pool {
            address: *address,
            idle: RefCell::default(),
            places: Semaphore::new(shared.connections),
        };
        let late = Histogram::new_with_bounds(1, 600_000_000, 2).expect("bounds are in order");
        Rc::new(Clients {
            pools: shared.targets.iter().map(pool).collect(),
            part: RefCell::new(Part { recorder, late, voided: 0, opened: 0 }),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(shared.seed ^ (thread << 32))),
            ids: Cell::new(0),
            thread,
            open: Cell::new(0),
            unstarted: Cell::new(0),
            shared,
        })
    }

    pub fn into_part(self: Rc<Self>) -> Option<Part> {
        let clients = Rc::into_inner(self)?;
        let mut part = clients.part.into_inner();
        // The run ended before the generator got to them.
        part.voided += clients.unstarted.get();
        Some(part)
    }

    fn now(&self) -> Time {
        self.shared.start.elapsed().as_micros() as Time
    }

    /// Waits for a time of the run.
    pub async fn until(&self, at: Time) {
        let at = self.shared.start + Duration::from_micros(at);
        if Instant::now() < at {
            Timer::at(at).await;
        }
    }

    /// Orders that are not over.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// A request is due: an order is begun, or voided where it is too late for that.
    pub fn begin(self: &Rc<Self>, executor: &LocalExecutor<'static>, want: ClientRequest) {
        let late = self.now().saturating_sub(want.requested_at);
        let mut part = self.part.borrow_mut();
        part.late.saturating_record(late.max(1));
        if late > self.shared.most_late || self.open.get() >= MOST_OPEN {
            part.voided += 1;
            return;
        }
        drop(part);
        self.open.set(self.open.get() + 1);
        self.unstarted.set(self.unstarted.get() + 1);
        let clients = Rc::clone(self);
        let order = async move {
            clients.order(want).await;
            clients.open.set(clients.open.get() - 1);
        };
        executor.spawn(order).detach();
    }

    /// One request, with all its tries. It is void if the generator was so busy that it starts too late.
    async fn order(&self, want: ClientRequest) {
        self.unstarted.set(self.unstarted.get() - 1);
        let spec = &self.shared.spec;
        if self.now().saturating_sub(want.requested_at) > self.shared.most_late {
            self.part.borrow_mut().voided += 1;
            return;
        }
        let class = &spec.classes[want.class as usize];
        let claim = self.part.borrow_mut().recorder.wanted(spec, &want);
        let once = format!("{:016x}", self.id());
        let (mut tries, mut risked) = (0, None);
        loop {
            let sent = self.now();
            let (due, leaves) = match &self.shared.manners {
                Some(manners) => manners.attempt_timeout(&want, sent, &mut self.rng.borrow_mut()),
                None => (want.deadline, None),
            };
            tries += 1;
            self.count(sent, |counts| counts.tries += 1);
            self.shared.live.sent(want.class);
            let until = leaves.unwrap_or(due);
            let heard = self.attempt(&want, (sent, due, until), &once, tries > 1).await;
            let now = self.now();
            self.shared.live.ended(want.class, heard, now - want.requested_at);
            self.count(sent, |counts| match heard {
                AttemptResult::Rejected(_) => counts.refused += 1,
                AttemptResult::Failed => counts.failed += 1,
                AttemptResult::TimedOut => counts.left += 1,
                AttemptResult::Unreachable => counts.unreachable += 1,
                AttemptResult::Answered => {}
            });
            if heard == AttemptResult::Answered {
                return self.part.borrow_mut().recorder.served(spec, claim, now - want.requested_at);
            }
            if matches!(heard, AttemptResult::Failed | AttemptResult::TimedOut) {
                risked.get_or_insert(sent);
            }
            let again = self.shared.manners.as_ref().and_then(|manners| {
                let effect: Effect = class.effect();
                manners.retry_at(&want, effect, (heard, tries), risked, now, &mut self.rng.borrow_mut())
            });
            let Some(at) = again else {
                let late = now > want.requested_at + (class.latency_objective_ms * 1e3) as Time;
                return self.part.borrow_mut().recorder.lost(claim, late);
            };
            self.until(at).await;
        }
    }

    fn id(&self) -> u64 {
        self.ids.set(self.ids.get() + 1);
        // Threads count in ranges of their own.
        self.shared.nonce.wrapping_add(self.thread << 48).wrapping_add(self.ids.get())
    }

    fn count(&self, at: Time, what: impl FnOnce(&mut notchdoor_lab::record::Counts)) {
        what(&mut self.part.borrow_mut().recorder.at(at).counts);
    }

    /// One try: sent at `sent`, given up by its client at `until`, and told to be wanted until `due`.
    async fn attempt(
        &self,
        want: &ClientRequest,
        (sent, due, until): (Time, Time, Time),
        once: &str,
        again: bool,
    ) -> AttemptResult {
        let spec = &self.shared.spec;
        let class = &spec.classes[want.class as usize];
        let (id, key) = (format!("{:016x}", self.id()), format!("{:016x}", want.key));
        let ask = Ask {
            id: &id,
            class: &class.name,
            tenant: &spec.tenants[want.tenant as usize].name,
            key: &key,
            value: want.write.then_some(&self.shared.value[..]),
            once: matches!(class.effect(), Effect::Deduplicated { .. }).then_some(once),
            // A try may start after the deadline if the generator is late.
            wait_ms: (due.saturating_sub(sent) / 1000).max(1),
            again,
        };
        let waits = async {
            self.until(until).await;
            AttemptResult::TimedOut
        };
        future::or(self.exchanged(want, &ask), waits).await
    }

    async fn exchanged(&self, want: &ClientRequest, ask: &Ask<'_>) -> AttemptResult {
        let pool = &self.pools[want.zone as usize % self.pools.len()];
        // Whoever waits here waits in order; the time counts, as it would for a client that has no connection.
        let _place = pool.places.acquire().await;
        // What is written on a connection that the other side was just closing was never read: once more, anew.
        for fresh in [false, true] {
            let idle = if fresh { None } else { pool.idle.borrow_mut().pop() };
            let mut connection = match idle {
                Some(connection) => connection,
                None => {
                    let Ok(stream) = Async::<TcpStream>::connect(pool.address).await else {
                        return AttemptResult::Unreachable;
                    };
                    let _ = stream.get_ref().set_nodelay(true);
                    self.part.borrow_mut().opened += 1;
                    Connection {
                        stream,
                        codec: self.shared.protocol.codec(),
                        buffer: vec![0; READ],
                        used: false,
                    }
                }
            };
            match exchange(&mut connection, ask).await {
                Exchange::Answered(answer) => {
                    connection.used = true;
                    pool.idle.borrow_mut().push(connection);
                    return match answer {
                        Answer::Served(_) => AttemptResult::Answered,
                        Answer::Refused(ms) => AttemptResult::Rejected(ms.unwrap_or(0).saturating_mul(1000)),
                        Answer::Failed => AttemptResult::Failed,
                    };
                }
                Exchange::Broke(false) if connection.used => {}
                Exchange::Broke(_) => return AttemptResult::Failed,
            }
        }
        AttemptResult::Failed
    }
}

async fn exchange(connection: &mut Connection, ask: &Ask<'_>) -> Exchange {
    let mut bytes = Vec::with_capacity(256);
    connection.codec.encode(ask, &mut bytes);
    if connection.stream.write_all(&bytes).await.is_err() {
        return Exchange::Broke(false);
    }
    let mut begun = false;
    loop {
        match connection.stream.read(&mut connection.buffer).await {
            Ok(0) | Err(_) => return Exchange::Broke(begun),
            Ok(n) => {
                begun = true;
                connection.codec.feed(&connection.buffer[..n]);
            }
        }
        match connection.codec.next_answer() {
            Ok(None) => {}
            Ok(Some(answer)) => return Exchange::Answered(answer),
            Err(_) => return Exchange::Broke(true),
        }
    }
}
