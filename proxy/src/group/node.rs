//! The process of a lease group member: drives a [`RaftNode`] with sockets, a store on disk and a clock.
//!
//! It runs on one thread. Each iteration passes all queued events to the node and then calls `advance` once, so that many
//! requests share one fsync.

mod accept;
mod clients;
mod events;
mod peers;

use super::{ask, random_id, MonotonicClock};
use crate::lifecycle::log::{self, Format};
use crate::lifecycle::signals::{Signal, Signals};
use ::log::{info, warn};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use events::log_event;
use futures_lite::future;
use notchdoor_coordination::config::GroupConfig;
use notchdoor_coordination::lease::Millis;
use notchdoor_coordination::membership::{decide_start, Handshake, MemberAddr, Membership, StartDecision};
use notchdoor_coordination::protocol::{Answer, Request};
use notchdoor_coordination::raft_node::{Event, RaftNode, RaftNodeConfig};
use notchdoor_coordination::session::Endpoint;
use notchdoor_coordination::store::{DiskStore, Stage};
use notchdoor_coordination::wire::{Frame, Message};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Events that are queued for the node, and handled in one iteration; connections stop reading while the queue is full.
const MAX_QUEUED_EVENTS: usize = 4096;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before another attempt to connect to a member.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// How often a starting member asks the others how to start.
const HELLO_INTERVAL: Duration = Duration::from_millis(200);
/// How often a starting member logs which members it waits for. Also the timeout of its request to be enlisted.
const WAIT_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// How long a stopping leader waits for another member to become the leader.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// An event for the node.
enum Inbound {
    Peer(Message),
    /// The connection's number, the client's number of the request, and the request.
    Request(u64, u64, Request),
    /// A member to which messages were lost.
    Unreachable(u64),
    /// A member, and whether the snapshot for it was written completely.
    SnapshotSent(u64, bool),
}

/// The outbound queue of another member.
struct PeerQueue {
    frames: Sender<Frame>,
    /// Writes the queue to the member; dropping it closes the connection.
    _connection: Task<()>,
}

/// Traffic counters that the answer to a status request contains.
#[derive(Default)]
struct SocketCounters {
    messages_out: Cell<u64>,
    bytes_out: Cell<u64>,
    messages_in: Cell<u64>,
    bytes_in: Cell<u64>,
    asks: Cell<u64>,
    client_bytes_in: Cell<u64>,
    client_bytes_out: Cell<u64>,
    dropped: Cell<u64>,
}

fn add_to_counter(counter: &Cell<u64>, n: usize) {
    counter.set(counter.get() + n as u64);
}

/// Identifies a request: the connection that it came on, and the client's number of it.
struct ClientRequest {
    client: u64,
    req: u64,
}

/// Requests that the node has not answered yet, by the number that the node knows them by.
#[derive(Default)]
struct PendingRequests {
    requests: HashMap<u64, ClientRequest>,
    last: u64,
}

struct MemberRuntime {
    config: GroupConfig,
    executor: Rc<LocalExecutor<'static>>,
    inbox: Sender<Inbound>,
    clients: RefCell<HashMap<u64, Sender<Frame>>>,
    next_client: Cell<u64>,
    peers: RefCell<BTreeMap<u64, PeerQueue>>,
    /// The answer to a hello.
    hello: RefCell<Handshake>,
    /// Whether the node has started; before that only hellos are answered.
    live: Cell<bool>,
    counters: SocketCounters,
}

/// Runs a member until SIGTERM or SIGINT. The error is a single line.
pub fn run(config: GroupConfig, format: Format, level: Option<&str>) -> Result<(), String> {
    let signals = Signals::new().map_err(|e| format!("signals: {e}"))?;
    log::start(&format!("m{}", config.id), format, level);
    std::fs::create_dir_all(&config.data)
        .map_err(|e| format!("group.data: cannot create directory {}: {e}", config.data.display()))?;
    let file = config.data.join("member.redb");
    let (store, stage) = DiskStore::open(&file, config.id, random_id()).map_err(|e| e.to_string())?;
    let me = *config.me();
    let bind = |what: &str, at: SocketAddr| {
        Async::<TcpListener>::bind(at).map_err(|e| format!("member.{what}: cannot listen on {at}: {e}"))
    };
    let (peers, clients) = (bind("peer", me.peer)?, bind("client", me.client)?);
    info!(member = me.id, peer:% = me.peer, client:% = me.client; "member {} started, listening on {} for members and on {} for clients", me.id, me.peer, me.client);
    let executor = Rc::new(LocalExecutor::new());
    let (inbox, inbound) = async_channel::bounded(MAX_QUEUED_EVENTS);
    let runtime = Rc::new(MemberRuntime {
        config,
        executor: Rc::clone(&executor),
        inbox,
        clients: RefCell::default(),
        next_client: Cell::new(1),
        peers: RefCell::default(),
        hello: RefCell::new(Handshake::New { at: me, number: store.number() }),
        live: Cell::new(false),
        counters: SocketCounters::default(),
    });
    executor.spawn(Rc::clone(&runtime).accept_peers(peers)).detach();
    executor.spawn(Rc::clone(&runtime).accept_clients(clients)).detach();
    async_io::block_on(executor.run(runtime.run(store, stage, inbound, signals)))
}

impl MemberRuntime {
    async fn run(
        self: &Rc<Self>,
        store: DiskStore,
        stage: Stage,
        inbound: Receiver<Inbound>,
        mut signals: Signals,
    ) -> Result<(), String> {
        let bootstrap = async {
            match stage {
                Stage::Member(founders) => Ok(Some(founders)),
                Stage::New => self.bootstrap(&store).await.map(Some),
            }
        };
        let stopped = async {
            self.stop_signal(&mut signals).await;
            Ok(None)
        };
        let Some(founders) = future::or(bootstrap, stopped).await? else { return Ok(()) };
        let begin = RaftNodeConfig {
            id: self.config.id,
            start: random_id(),
            founders: founders.clone(),
            pace: self.config.pace,
            bounds: self.config.bounds.clone(),
            terms: self.config.terms,
            guard: self.config.guard.clone(),
        };
        let clock = MonotonicClock::start();
        let member = RaftNode::new(begin, store, clock.now())
            .map_err(|e| format!("cannot load the member's store: {e}"))?;
        self.hello.replace(Handshake::Live { founders: founders.clone(), book: member.book().clone() });
        self.live.set(true);
        let applied = member.table().applied();
        info!(applied; "joined the group, state restored up to log entry {applied}");
        self.run_member(member, founders, clock, inbound, signals).await
    }

    /// Determines the founding members for a new store, by asking the other members; see `docs/leases-design.md`. The member
    /// neither votes nor accepts entries before this returns.
    async fn bootstrap(&self, store: &DiskStore) -> Result<Membership, String> {
        let me = *self.config.me();
        let others: Vec<MemberAddr> = self.config.members.iter().filter(|m| m.id != me.id).copied().collect();
        let ids: Vec<u64> = others.iter().map(|m| m.id).collect();
        let endpoints: Vec<Endpoint> = others.iter().map(|m| (m.id, m.client)).collect();
        let mut last_logged = None::<Instant>;
        loop {
            let mut hellos = BTreeMap::new();
            for other in &others {
                if let Ok(Answer::Hello(hello)) = ask::once(other.client, &Request::Hello).await {
                    hellos.insert(other.id, hello);
                }
            }
            let founders = match decide_start(me, store.number(), &ids, &hellos) {
                StartDecision::Go(founders) => founders,
                StartDecision::Enlist(founders) => {
                    let enlist = Request::Enlist { id: me.id, number: store.number() };
                    match ask::leader(&endpoints, &enlist, WAIT_LOG_INTERVAL).await {
                        Ok(Answer::Enlisted(true)) => founders,
                        // Another store with this id was enlisted first; the next hello reports it.
                        Ok(_) => continue,
                        Err(why) => {
                            warn!("cannot enlist with the group: {why}");
                            continue;
                        }
                    }
                }
                StartDecision::Refuse(why) => return Err(why),
                StartDecision::Wait(missing) => {
                    if last_logged.is_none_or(|at| at.elapsed() >= WAIT_LOG_INTERVAL) {
                        last_logged = Some(Instant::now());
                        info!(missing:? = missing; "new store: waiting for members {missing:?} to answer");
                    }
                    Timer::after(HELLO_INTERVAL).await;
                    continue;
                }
            };
            store.begin(&founders).map_err(|e| e.to_string())?;
            return Ok(founders);
        }
    }

    async fn stop_signal(&self, signals: &mut Signals) {
        loop {
            match signals.next().await {
                Signal::Term | Signal::Int => return info!("stopping"),
                _ => {}
            }
        }
    }

    async fn run_member(
        self: &Rc<Self>,
        mut member: RaftNode<DiskStore>,
        founders: Membership,
        clock: MonotonicClock,
        inbound: Receiver<Inbound>,
        mut signals: Signals,
    ) -> Result<(), String> {
        let tick = Duration::from_millis(self.config.pace.tick_ms / 2);
        let mut pending = PendingRequests::default();
        let mut stopping = None::<Instant>;
        let mut stop = Box::pin(self.stop_signal(&mut signals));
        loop {
            let first = {
                let event = async { inbound.recv().await.ok() };
                let tick = async {
                    Timer::after(tick).await;
                    None
                };
                let leaving = async {
                    if stopping.is_none() {
                        (&mut stop).await;
                        stopping = Some(Instant::now());
                    } else {
                        future::pending::<()>().await;
                    }
                    None
                };
                // `or` polls in order: signals come before events, and events before the timer.
                future::or(leaving, future::or(event, tick)).await
            };
            if let Some(since) = stopping {
                if member.leads()
                    && since.elapsed() < LEADERSHIP_TRANSFER_TIMEOUT
                    && member.book().members().len() > 1
                {
                    member.transfer_leadership();
                } else {
                    info!("stopped");
                    return Ok(());
                }
            }
            self.process_inbound(&mut member, &mut pending, first, &inbound);
            self.advance(&mut member, &mut pending, &founders, clock.now())?;
        }
    }

    /// Passes queued events to the node, up to `MAX_QUEUED_EVENTS` of them.
    fn process_inbound(
        &self,
        member: &mut RaftNode<DiskStore>,
        pending: &mut PendingRequests,
        first: Option<Inbound>,
        inbound: &Receiver<Inbound>,
    ) {
        let mut next = first;
        let mut processed = 0;
        while let Some(event) = next {
            match event {
                Inbound::Peer(message) => member.step(message),
                Inbound::Unreachable(id) => member.unreachable(id),
                Inbound::SnapshotSent(id, whole) => member.snapshot_sent(id, whole),
                Inbound::Request(client, req, request) => {
                    pending.last += 1;
                    match member.ask(pending.last, request) {
                        Some(answer) => self.answer(client, req, answer, member),
                        None => drop(pending.requests.insert(pending.last, ClientRequest { client, req })),
                    }
                }
            }
            processed += 1;
            next = (processed < MAX_QUEUED_EVENTS).then(|| inbound.try_recv().ok()).flatten();
        }
    }

    /// Advances the node and sends its output to members, clients and the log.
    ///
    /// An error ends the process: after a failed write or sync the contents of the disk are unknown, and a member that
    /// continued could acknowledge entries or a vote that are lost by a restart.
    fn advance(
        self: &Rc<Self>,
        member: &mut RaftNode<DiskStore>,
        pending: &mut PendingRequests,
        founders: &Membership,
        now: Millis,
    ) -> Result<(), String> {
        let leader = member.leader();
        let out = member.advance(now).map_err(|e| format!("stopping, the member's store failed: {e}"))?;
        if member.leader() == 0 && leader != 0 {
            warn!(term = member.status().term; "the group has no leader");
        }
        for (number, answer) in out.answers {
            if let Some(ClientRequest { client, req }) = pending.requests.remove(&number) {
                self.answer(client, req, answer, member);
            }
        }
        for event in &out.events {
            log_event(event, member.leads());
            if matches!(event, Event::Members { .. }) {
                let book = member.book().clone();
                self.hello.replace(Handshake::Live { founders: founders.clone(), book });
            }
        }
        self.send(out.messages, member.book());
        Ok(())
    }
}
