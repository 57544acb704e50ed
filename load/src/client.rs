//! The clients of one thread: connection pools, attempts at their due times, and their results.

use crate::codec::{Codec, Protocol, Request, Response};
use crate::live::LiveCounts;
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

/// Maximum number of bytes per read.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of open requests of one thread. Further requests are voided.
const MAX_OPEN_REQUESTS: usize = 50_000;

/// Settings and state shared by all threads of a run.
pub(crate) struct Shared {
    pub spec: Spec,
    pub seed: u64,
    pub targets: Vec<SocketAddr>,
    pub protocol: Protocol,
    /// Maximum number of connections of one thread to one target.
    pub connections: usize,
    pub value: Vec<u8>,
    /// Retries and early disconnects; `None` if every request has one attempt and its whole deadline.
    pub behaviour: Option<ClientBehaviour>,
    /// Time 0 of the run.
    pub start: Instant,
    /// A request that starts later than this after it was due is voided, since the generator was too slow for it.
    pub max_lateness: Time,
    pub live: LiveCounts,
    /// Makes request ids differ from those of other runs.
    pub nonce: u64,
}

/// The results of one thread.
pub(crate) struct ThreadResults {
    pub recorder: Recorder,
    /// How long after their due times requests started, in microseconds.
    pub lateness: Histogram<u64>,
    /// Requests that were not sent, since they could not start in time.
    pub voided: u64,
    /// Number of connections opened.
    pub opened: u64,
}

struct Connection {
    stream: Async<TcpStream>,
    codec: Box<dyn Codec>,
    /// Read buffer, kept between exchanges so that it is cleared only once.
    buffer: Vec<u8>,
    /// Whether an exchange on it has succeeded.
    used: bool,
}

/// Connections to one target.
struct Pool {
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    /// Limits the number of connections.
    permits: Semaphore,
}

/// The clients of one thread.
pub(crate) struct Clients {
    shared: std::sync::Arc<Shared>,
    pools: Vec<Pool>,
    results: RefCell<ThreadResults>,
    rng: RefCell<ChaCha8Rng>,
    /// Number of ids generated.
    ids: Cell<u64>,
    thread: u64,
    /// Number of open requests.
    open: Cell<usize>,
    /// Number of open requests that have not started yet.
    unstarted: Cell<u64>,
}

/// The result of one exchange on a connection.
enum Exchange {
    Answered(Response),
    /// The connection failed.
    Broken {
        /// Whether a part of the response had arrived.
        response_begun: bool,
    },
}

/// The times of one attempt.
#[derive(Clone, Copy)]
struct AttemptTimes {
    sent: Time,
    /// The deadline that the request states.
    deadline: Time,
    /// When the client gives up.
    leaves_at: Time,
}

impl Clients {
    /// Creates the clients of the thread with this number.
    pub fn new(shared: std::sync::Arc<Shared>, thread: u64, recorder: Recorder) -> Rc<Clients> {
        let pool = |address: &SocketAddr| Pool {
            address: *address,
            idle: RefCell::default(),
            permits: Semaphore::new(shared.connections),
        };
        let lateness = Histogram::new_with_bounds(1, 600_000_000, 2).expect("bounds are in order");
        Rc::new(Clients {
            pools: shared.targets.iter().map(pool).collect(),
            results: RefCell::new(ThreadResults { recorder, lateness, voided: 0, opened: 0 }),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(shared.seed ^ (thread << 32))),
            ids: Cell::new(0),
            thread,
            open: Cell::new(0),
            unstarted: Cell::new(0),
            shared,
        })
    }

    /// Returns the results; `None` if a request still refers to the clients.
    pub fn into_results(self: Rc<Self>) -> Option<ThreadResults> {
        let clients = Rc::into_inner(self)?;
        let mut results = clients.results.into_inner();
        // The run ended before these started.
        results.voided += clients.unstarted.get();
        Some(results)
    }

    fn now(&self) -> Time {
        self.shared.start.elapsed().as_micros() as Time
    }

    /// Waits until a time of the run.
    pub async fn wait_until(&self, at: Time) {
        let at = self.shared.start + Duration::from_micros(at);
        if Instant::now() < at {
            Timer::at(at).await;
        }
    }

    /// Number of open requests.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Starts a request that is due, or voids it if that is too late.
    pub fn start(self: &Rc<Self>, executor: &LocalExecutor<'static>, request: ClientRequest) {
        let lateness = self.now().saturating_sub(request.requested_at);
        let mut results = self.results.borrow_mut();
        results.lateness.saturating_record(lateness.max(1));
        if lateness > self.shared.max_lateness || self.open.get() >= MAX_OPEN_REQUESTS {
            results.voided += 1;
            return;
        }
        drop(results);
        self.open.set(self.open.get() + 1);
        self.unstarted.set(self.unstarted.get() + 1);
        let clients = Rc::clone(self);
        let run = async move {
            clients.run_request(request).await;
            clients.open.set(clients.open.get() - 1);
        };
        executor.spawn(run).detach();
    }

    /// Runs a request with all its attempts. Voids it if the generator was so busy that it starts too late.
    async fn run_request(&self, request: ClientRequest) {
        self.unstarted.set(self.unstarted.get() - 1);
        let spec = &self.shared.spec;
        if self.now().saturating_sub(request.requested_at) > self.shared.max_lateness {
            self.results.borrow_mut().voided += 1;
            return;
        }
        let class = &spec.classes[request.class as usize];
        let slot = self.results.borrow_mut().recorder.wanted(spec, &request);
        let idempotency_key = format!("{:016x}", self.next_id());
        let (mut attempts, mut may_have_run_since) = (0, None);
        loop {
            let sent = self.now();
            let (deadline, leaves_at) = match &self.shared.behaviour {
                Some(behaviour) => behaviour.attempt_timeout(&request, sent, &mut self.rng.borrow_mut()),
                None => (request.deadline, None),
            };
            attempts += 1;
            self.count(sent, |counts| counts.tries += 1);
            self.shared.live.sent(request.class);
            let times = AttemptTimes { sent, deadline, leaves_at: leaves_at.unwrap_or(deadline) };
            let result = self.attempt(&request, times, &idempotency_key, attempts > 1).await;
            let now = self.now();
            self.shared.live.ended(request.class, result, now - request.requested_at);
            self.count(sent, |counts| match result {
                AttemptResult::Rejected(_) => counts.refused += 1,
                AttemptResult::Failed => counts.failed += 1,
                AttemptResult::TimedOut => counts.left += 1,
                AttemptResult::Unreachable => counts.unreachable += 1,
                AttemptResult::Answered => {}
            });
            if result == AttemptResult::Answered {
                return self.results.borrow_mut().recorder.served(spec, slot, now - request.requested_at);
            }
            if matches!(result, AttemptResult::Failed | AttemptResult::TimedOut) {
                may_have_run_since.get_or_insert(sent);
            }
            let retry_at = self.shared.behaviour.as_ref().and_then(|behaviour| {
                let effect: Effect = class.effect();
                let rng = &mut self.rng.borrow_mut();
                behaviour.retry_at(&request, effect, (result, attempts), may_have_run_since, now, rng)
            });
            let Some(at) = retry_at else {
                let late = now > request.requested_at + (class.latency_objective_ms * 1e3) as Time;
                return self.results.borrow_mut().recorder.lost(slot, late);
            };
            self.wait_until(at).await;
        }
    }

    fn next_id(&self) -> u64 {
        self.ids.set(self.ids.get() + 1);
        // Each thread has its own range.
        self.shared.nonce.wrapping_add(self.thread << 48).wrapping_add(self.ids.get())
    }

    fn count(&self, at: Time, update: impl FnOnce(&mut notchdoor_lab::record::Counts)) {
        update(&mut self.results.borrow_mut().recorder.at(at).counts);
    }

    /// Makes one attempt.
    async fn attempt(
        &self,
        request: &ClientRequest,
        times: AttemptTimes,
        idempotency_key: &str,
        is_retry: bool,
    ) -> AttemptResult {
        let spec = &self.shared.spec;
        let class = &spec.classes[request.class as usize];
        let (id, key) = (format!("{:016x}", self.next_id()), format!("{:016x}", request.key));
        let encoded = Request {
            id: &id,
            class: &class.name,
            tenant: &spec.tenants[request.tenant as usize].name,
            key: &key,
            value: request.write.then_some(&self.shared.value[..]),
            idempotency_key: matches!(class.effect(), Effect::Deduplicated { .. }).then_some(idempotency_key),
            // An attempt may start after the deadline if the generator is late.
            deadline_ms: (times.deadline.saturating_sub(times.sent) / 1000).max(1),
            is_retry,
        };
        let timed_out = async {
            self.wait_until(times.leaves_at).await;
            AttemptResult::TimedOut
        };
        future::or(self.send(request.zone, &encoded), timed_out).await
    }

    /// Sends an attempt to the target of a zone and waits for its result.
    async fn send(&self, zone: u32, request: &Request<'_>) -> AttemptResult {
        let pool = &self.pools[zone as usize % self.pools.len()];
        // The wait counts as latency, as it does for a client without a connection.
        let _permit = pool.permits.acquire().await;
        // A request on a connection that the target was just closing was not read, so it is sent again on a new one.
        for on_new_connection in [false, true] {
            let idle = if on_new_connection { None } else { pool.idle.borrow_mut().pop() };
            let mut connection = match idle {
                Some(connection) => connection,
                None => {
                    let Ok(stream) = Async::<TcpStream>::connect(pool.address).await else {
                        return AttemptResult::Unreachable;
                    };
                    let _ = stream.get_ref().set_nodelay(true);
                    self.results.borrow_mut().opened += 1;
                    Connection {
                        stream,
                        codec: self.shared.protocol.codec(),
                        buffer: vec![0; READ_BUFFER_BYTES],
                        used: false,
                    }
                }
            };
            match exchange(&mut connection, request).await {
                Exchange::Answered(answer) => {
                    connection.used = true;
                    pool.idle.borrow_mut().push(connection);
                    return match answer {
                        Response::Served(_) => AttemptResult::Answered,
                        Response::Rejected(ms) => {
                            AttemptResult::Rejected(ms.unwrap_or(0).saturating_mul(1000))
                        }
                        Response::Failed => AttemptResult::Failed,
                    };
                }
                Exchange::Broken { response_begun: false } if connection.used => {}
                Exchange::Broken { .. } => return AttemptResult::Failed,
            }
        }
        AttemptResult::Failed
    }
}

/// Writes a request and reads its response.
async fn exchange(connection: &mut Connection, request: &Request<'_>) -> Exchange {
    let mut bytes = Vec::with_capacity(256);
    connection.codec.encode(request, &mut bytes);
    if connection.stream.write_all(&bytes).await.is_err() {
        return Exchange::Broken { response_begun: false };
    }
    let mut response_begun = false;
    loop {
        match connection.stream.read(&mut connection.buffer).await {
            Ok(0) | Err(_) => return Exchange::Broken { response_begun },
            Ok(n) => {
                response_begun = true;
                connection.codec.feed(&connection.buffer[..n]);
            }
        }
        match connection.codec.next_response() {
            Ok(None) => {}
            Ok(Some(answer)) => return Exchange::Answered(answer),
            Err(_) => return Exchange::Broken { response_begun: true },
        }
    }
}
