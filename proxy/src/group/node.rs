//! A member of the lease group as a process: its sockets, its disk and its clock round
//! [`RaftNode`]. One thread; whatever has come is fed, then one `advance`, so that many requests
//! share one fsync.

mod accept;
mod clients;
mod events;
mod peers;

use super::{ask, fresh_number, Ticks};
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

/// What has come and waits for its turn; whoever brings more waits with it.
const INBOX: usize = 4096;
const CONNECT: Duration = Duration::from_secs(1);
const DIAL_AGAIN: Duration = Duration::from_millis(100);
/// A new member asks the others so often how to and says so often for whom it waits.
const HELLO_AGAIN: Duration = Duration::from_millis(200);
const SAY_AGAIN: Duration = Duration::from_secs(5);
/// A leader that stops waits so long for another to take the lead.
const HANDING_OVER: Duration = Duration::from_secs(2);

enum Inbound {
    Peer(Message),
    Ask(u64, u64, Request),
    Unreachable(u64),
    Snapshot(u64, bool),
}

/// The way to a member.
struct Peer {
    /// What waits for it.
    frames: Sender<Frame>,
    /// Keeps the connection for as long as this lives.
    _connection: Task<()>,
}

/// Figures of the sockets, for `status`.
#[derive(Default)]
struct Figures {
    messages_out: Cell<u64>,
    bytes_out: Cell<u64>,
    messages_in: Cell<u64>,
    bytes_in: Cell<u64>,
    asks: Cell<u64>,
    client_bytes_in: Cell<u64>,
    client_bytes_out: Cell<u64>,
    dropped: Cell<u64>,
}

fn add(figure: &Cell<u64>, n: usize) {
    figure.set(figure.get() + n as u64);
}

/// A client's request: whose it is, and the client's own number of it.
struct ClientRequest {
    client: u64,
    req: u64,
}

/// Requests that wait for a round, by the node's number of them.
#[derive(Default)]
struct Waiting {
    requests: HashMap<u64, ClientRequest>,
    last: u64,
}

struct Host {
    config: GroupConfig,
    executor: Rc<LocalExecutor<'static>>,
    inbox: Sender<Inbound>,
    clients: RefCell<HashMap<u64, Sender<Frame>>>,
    next_client: Cell<u64>,
    peers: RefCell<BTreeMap<u64, Peer>>,
    /// What a hello is answered with.
    hello: RefCell<Handshake>,
    live: Cell<bool>,
    figures: Figures,
}

/// Runs a member until a signal asks for a stop. The error is one line.
pub fn run(config: GroupConfig, format: Format, level: Option<&str>) -> Result<(), String> {
    let signals = Signals::new().map_err(|e| format!("signals: {e}"))?;
    log::start(&format!("m{}", config.id), format, level);
    std::fs::create_dir_all(&config.data)
        .map_err(|e| format!("group.data: cannot make {}: {e}", config.data.display()))?;
    let file = config.data.join("member.redb");
    let (store, stage) = DiskStore::open(&file, config.id, fresh_number()).map_err(|e| e.to_string())?;
    let me = *config.me();
    let bind = |what: &str, at: SocketAddr| {
        Async::<TcpListener>::bind(at).map_err(|e| format!("member.{what}: cannot listen on {at}: {e}"))
    };
    let (peers, clients) = (bind("peer", me.peer)?, bind("client", me.client)?);
    info!(member = me.id, peer:% = me.peer, client:% = me.client; "started, member {} at {}, clients at {}", me.id, me.peer, me.client);
    let executor = Rc::new(LocalExecutor::new());
    let (inbox, inbound) = async_channel::bounded(INBOX);
    let host = Rc::new(Host {
        config,
        executor: Rc::clone(&executor),
        inbox,
        clients: RefCell::default(),
        next_client: Cell::new(1),
        peers: RefCell::default(),
        hello: RefCell::new(Handshake::New { at: me, number: store.number() }),
        live: Cell::new(false),
        figures: Figures::default(),
    });
    executor.spawn(Rc::clone(&host).accept_peers(peers)).detach();
    executor.spawn(Rc::clone(&host).accept_clients(clients)).detach();
    async_io::block_on(executor.run(host.live(store, stage, inbound, signals)))
}

impl Host {
    async fn live(
        self: &Rc<Self>,
        store: DiskStore,
        stage: Stage,
        inbound: Receiver<Inbound>,
        mut signals: Signals,
    ) -> Result<(), String> {
        let beginning = async {
            match stage {
                Stage::Member(founders) => Ok(Some(founders)),
                Stage::New => self.begin(&store).await.map(Some),
            }
        };
        let stopped = async {
            self.stop_asked(&mut signals).await;
            Ok(None)
        };
        let Some(founders) = future::or(beginning, stopped).await? else { return Ok(()) };
        let begin = RaftNodeConfig {
            id: self.config.id,
            start: fresh_number(),
            founders: founders.clone(),
            pace: self.config.pace,
            bounds: self.config.bounds.clone(),
            terms: self.config.terms,
            guard: self.config.guard.clone(),
        };
        let ticks = Ticks::start();
        let member = RaftNode::new(begin, store, ticks.now()).map_err(|e| format!("the store: {e}"))?;
        self.hello.replace(Handshake::Live { founders: founders.clone(), book: member.book().clone() });
        self.live.set(true);
        let applied = member.table().applied();
        info!(applied; "member of a group, state up to entry {applied}");
        self.lead_or_follow(member, founders, ticks, inbound, signals).await
    }

    /// How a new store starts: see `docs/leases-design.md`. Nothing is voted before this ends.
    async fn begin(&self, store: &DiskStore) -> Result<Membership, String> {
        let me = *self.config.me();
        let others: Vec<MemberAddr> = self.config.members.iter().filter(|m| m.id != me.id).copied().collect();
        let ids: Vec<u64> = others.iter().map(|m| m.id).collect();
        let doors: Vec<Endpoint> = others.iter().map(|m| (m.id, m.client)).collect();
        let mut said = None::<Instant>;
        loop {
            let mut heard = BTreeMap::new();
            for other in &others {
                if let Ok(Answer::Hello(hello)) = ask::once(other.client, &Request::Hello).await {
                    heard.insert(other.id, hello);
                }
            }
            let founders = match decide_start(me, store.number(), &ids, &heard) {
                StartDecision::Go(founders) => founders,
                StartDecision::Enlist(founders) => {
                    let enlist = Request::Enlist { id: me.id, number: store.number() };
                    match ask::leader(&doors, &enlist, SAY_AGAIN).await {
                        Ok(Answer::Enlisted(true)) => founders,
                        // Another store of this id was faster: the next hello says so.
                        Ok(_) => continue,
                        Err(why) => {
                            warn!("cannot enlist: {why}");
                            continue;
                        }
                    }
                }
                StartDecision::Refuse(why) => return Err(why),
                StartDecision::Wait(missing) => {
                    if said.is_none_or(|at| at.elapsed() >= SAY_AGAIN) {
                        said = Some(Instant::now());
                        info!(missing:? = missing; "a new store: waiting for members {missing:?}");
                    }
                    Timer::after(HELLO_AGAIN).await;
                    continue;
                }
            };
            store.begin(&founders).map_err(|e| e.to_string())?;
            return Ok(founders);
        }
    }

    async fn stop_asked(&self, signals: &mut Signals) {
        loop {
            match signals.next().await {
                Signal::Term | Signal::Int => return info!("stopping"),
                _ => {}
            }
        }
    }

    async fn lead_or_follow(
        self: &Rc<Self>,
        mut member: RaftNode<DiskStore>,
        founders: Membership,
        ticks: Ticks,
        inbound: Receiver<Inbound>,
        mut signals: Signals,
    ) -> Result<(), String> {
        let tick = Duration::from_millis(self.config.pace.tick_ms / 2);
        let mut waiting = Waiting::default();
        let mut stopping = None::<Instant>;
        let mut stop = Box::pin(self.stop_asked(&mut signals));
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
                // Signals before messages before the clock.
                future::or(leaving, future::or(event, tick)).await
            };
            if let Some(since) = stopping {
                if member.leads() && since.elapsed() < HANDING_OVER && member.book().members().len() > 1 {
                    member.transfer_leadership();
                } else {
                    info!("stopped");
                    return Ok(());
                }
            }
            self.feed(&mut member, &mut waiting, first, &inbound);
            self.round(&mut member, &mut waiting, &founders, ticks.now())?;
        }
    }

    /// Feeds what has come, up to a bound, so that many requests share one round and its fsync.
    fn feed(
        &self,
        member: &mut RaftNode<DiskStore>,
        waiting: &mut Waiting,
        first: Option<Inbound>,
        inbound: &Receiver<Inbound>,
    ) {
        let mut next = first;
        let mut taken = 0;
        while let Some(event) = next {
            match event {
                Inbound::Peer(message) => member.step(message),
                Inbound::Unreachable(id) => member.unreachable(id),
                Inbound::Snapshot(id, whole) => member.snapshot_sent(id, whole),
                Inbound::Ask(client, req, request) => {
                    waiting.last += 1;
                    match member.ask(waiting.last, request) {
                        Some(answer) => self.answer(client, req, answer, member),
                        None => drop(waiting.requests.insert(waiting.last, ClientRequest { client, req })),
                    }
                }
            }
            taken += 1;
            next = (taken < INBOX).then(|| inbound.try_recv().ok()).flatten();
        }
    }

    /// One round of the node: what it hands out goes to members, clients and the log.
    ///
    /// An error ends the process. A failed write or sync leaves it open what the disk has, and a member that went on
    /// could promise entries or a vote that a restart does not find; the others go on without it.
    fn round(
        self: &Rc<Self>,
        member: &mut RaftNode<DiskStore>,
        waiting: &mut Waiting,
        founders: &Membership,
        now: Millis,
    ) -> Result<(), String> {
        let leader = member.leader();
        let out = member.advance(now).map_err(|e| format!("the store failed, stopping: {e}"))?;
        if member.leader() == 0 && leader != 0 {
            warn!(term = member.status().term; "no leader");
        }
        for (number, answer) in out.answers {
            if let Some(ClientRequest { client, req }) = waiting.requests.remove(&number) {
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
