//! A process's replica node on sockets: its store, its links to other nodes, its client of the group and the requests of
//! this process. What is decided is in `notchdoor-replication`; serving waits on it only for what needs a promise.

mod group_client;
mod links;
mod restart;
mod store;

use crate::group::MonotonicClock;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use blocking::unblock;
use group_client::ChangeKey;
use links::Link;
use notchdoor_coordination::config::CopiesConfig;
use notchdoor_coordination::holder::Drift;
use notchdoor_coordination::lease::Millis;
use notchdoor_coordination::session::Endpoint;
use notchdoor_coordination::shard_map::{NodeId, NodeInfo, ShardMapChange};
use notchdoor_replication::ReplicatedState;
use notchdoor_replication::{NodeEvent, Output, ReplicaNode, Response, StoreWrite, Variant};
use restart::{Restart, RECOVERY_INTERVAL_MS};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::{OpenedStore, Store};

/// How often the node's time passes.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Writes that wait for the store. Beyond that the node takes no more operations, its own or a primary's, until there is
/// room; what it owes its clients goes on.
const MAX_QUEUED_WRITES: usize = 16 * 1024;
/// When a client that was rejected for want of room may ask again.
const RETRY_AFTER_MS: Millis = 100;
/// Changes that wait to be asked of the group; what is left out is asked again.
const MAX_QUEUED_CHANGES: usize = 256;
/// Bytes of a node's name that the group takes.
const MAX_NODE_NAME_BYTES: usize = 64;

/// Writes that are made durable together.
#[derive(Default)]
struct WriteBatch<C: ReplicatedState> {
    writes: Vec<StoreWrite<C>>,
    /// The node's number for the last of them.
    last_write: u64,
}

/// This process's replica node.
pub struct ReplicationRuntime<C: ReplicatedState> {
    node: RefCell<ReplicaNode<C>>,
    address: NodeInfo,
    config: CopiesConfig,
    group_endpoints: Vec<Endpoint>,
    drift: Drift,
    clock: MonotonicClock,
    executor: Rc<LocalExecutor<'static>>,
    /// None while a store that has failed is opened again.
    store: RefCell<Option<Arc<Store<C>>>>,
    links: RefCell<BTreeMap<NodeId, Link<C>>>,
    /// Connections that other nodes have open to this one.
    accepted_links: Cell<usize>,
    /// Writes that the store has not begun with.
    queued_writes: RefCell<WriteBatch<C>>,
    /// Something has been queued.
    wake_store: Sender<()>,
    change_queue: Sender<ShardMapChange>,
    /// Changes that the group has not answered yet.
    unanswered_changes: RefCell<BTreeSet<ChangeKey>>,
    /// Who waits for the response to each request.
    waiting: RefCell<HashMap<u64, Sender<Response<C>>>>,
    next_request: Cell<u64>,
    group_reached: Cell<Option<bool>>,
    /// A batch is on its way to the disk.
    writing: Cell<bool>,
    /// A write failed: nothing more is written until the store was opened again.
    store_failed: Cell<bool>,
    /// Whether the node takes part in the group, or waits for its next start.
    participating: Cell<bool>,
    restart: RefCell<Restart<C>>,
}

impl<C: ReplicatedState> ReplicationRuntime<C> {
    /// Opens the store and begins. The error names the field at fault, in one line.
    pub fn start(
        config: CopiesConfig,
        group_endpoints: Vec<Endpoint>,
        drift: Drift,
        name: &str,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Result<Rc<Self>, String> {
        let OpenedStore { store, node: id, start, shards } = store::open::<C>(&config.data)?;
        let listener = Async::<TcpListener>::bind(config.listen)
            .map_err(|e| format!("copies.listen: cannot listen on {}: {e}", config.listen))?;
        let (configured, stored) = (config.shards, shards.len());
        log::info!(node = id, start, shards = stored; "copies: node {id:016x}, start {start}, {stored} of {configured} shards on its disk");
        let clock = MonotonicClock::start();
        let (wake_store, woken) = async_channel::bounded(1);
        let (change_queue, changes) = async_channel::bounded(MAX_QUEUED_CHANGES);
        let runtime = Rc::new(ReplicationRuntime {
            node: RefCell::new(ReplicaNode::new(id, start, drift, shards, clock.now(), Variant::Correct)),
            address: node_address(id, name, &config),
            config,
            group_endpoints,
            drift,
            clock,
            executor: Rc::clone(executor),
            store: RefCell::new(Some(Arc::new(store))),
            links: RefCell::default(),
            accepted_links: Cell::new(0),
            queued_writes: RefCell::default(),
            wake_store,
            change_queue,
            unanswered_changes: RefCell::default(),
            waiting: RefCell::default(),
            next_request: Cell::new(1),
            group_reached: Cell::new(None),
            writing: Cell::new(false),
            store_failed: Cell::new(false),
            participating: Cell::new(true),
            restart: RefCell::new(Restart::DueAt(0)),
        });
        executor.spawn(Rc::clone(&runtime).accept_links(listener)).detach();
        executor.spawn(Rc::clone(&runtime).commit_writes(woken)).detach();
        executor.spawn(Rc::clone(&runtime).send_changes(changes)).detach();
        executor.spawn(Rc::clone(&runtime).confirm_shard_map(start)).detach();
        executor.spawn(Rc::clone(&runtime).tick_node()).detach();
        Ok(runtime)
    }

    /// How many shards there are.
    pub fn shards(&self) -> u32 {
        self.config.shards
    }

    /// Has a shard's primary carry an operation out, within a time.
    pub async fn execute(
        self: &Rc<Self>,
        shard: u32,
        operation: C::Operation,
        limit: Duration,
    ) -> Response<C> {
        if self.is_store_behind() {
            return Response::Rejected { retry_after_ms: RETRY_AFTER_MS };
        }
        let (request, response) = self.register_request();
        let now = self.clock.now();
        let until = now + limit.as_millis() as Millis;
        self.node.borrow_mut().execute(now, until, request, shard, operation);
        self.response(request, response).await
    }

    /// Asks a shard's primary something, within a time.
    pub async fn query(self: &Rc<Self>, shard: u32, query: C::Query, limit: Duration) -> Response<C> {
        let (request, response) = self.register_request();
        let now = self.clock.now();
        let until = now + limit.as_millis() as Millis;
        self.node.borrow_mut().query(now, until, request, shard, query);
        self.response(request, response).await
    }

    fn register_request(&self) -> (u64, Receiver<Response<C>>) {
        let (sender, receiver) = async_channel::bounded(1);
        let request = self.next_request.replace(self.next_request.get() + 1);
        self.waiting.borrow_mut().insert(request, sender);
        (request, receiver)
    }

    async fn response(self: &Rc<Self>, request: u64, response: Receiver<Response<C>>) -> Response<C> {
        self.process_output();
        let response = response.recv().await.unwrap_or(Response::Unknown);
        self.waiting.borrow_mut().remove(&request);
        response
    }

    /// Whether so much waits for the store that nothing more may be added.
    fn is_store_behind(&self) -> bool {
        self.queued_writes.borrow().writes.len() >= MAX_QUEUED_WRITES
    }

    /// Carries out what the node wants done.
    fn process_output(self: &Rc<Self>) {
        let Output { messages, writes, last_write, responses, map_changes, events } =
            self.node.borrow_mut().take_output();
        for (to, message) in messages {
            self.send(to, message);
        }
        if !writes.is_empty() {
            let mut queued = self.queued_writes.borrow_mut();
            queued.writes.extend(writes);
            queued.last_write = last_write;
            // Full means that the store is to be woken already.
            let _ = self.wake_store.try_send(());
        }
        for (request, response) in responses {
            if let Some(response_sender) = self.waiting.borrow_mut().remove(&request) {
                let _ = response_sender.try_send(response);
            }
        }
        for change in map_changes {
            self.queue_change(change);
        }
        for event in events {
            log_event(&event);
        }
    }

    /// Commits what is queued on a thread of its own; what comes meanwhile goes together.
    async fn commit_writes(self: Rc<Self>, woken: Receiver<()>) {
        while woken.recv().await.is_ok() {
            let WriteBatch { writes, last_write } = self.queued_writes.take();
            let store = self.store.borrow().clone();
            // After a failure nothing is written: the store is opened again first, and the node begins anew with it.
            let Some(store) = store.filter(|_| !self.store_failed.get() && !writes.is_empty()) else {
                continue;
            };
            self.writing.set(true);
            let committed = unblock(move || store.commit(&writes)).await;
            self.writing.set(false);
            match committed {
                Ok(()) => self.node.borrow_mut().writes_durable(last_write),
                Err(error) => {
                    log::error!(event = "disk"; "copies: the disk failed, this node promises nothing more: {error}");
                    self.fail_store();
                }
            }
            self.process_output();
        }
    }

    /// The store has failed: the node is out until it was opened again.
    fn fail_store(&self) {
        self.store_failed.set(true);
        self.leave(RECOVERY_INTERVAL_MS);
    }

    async fn tick_node(self: Rc<Self>) {
        loop {
            Timer::after(TICK_INTERVAL).await;
            self.node.borrow_mut().tick(self.clock.now());
            self.process_output();
        }
    }
}

/// Where other nodes find this one, under a name of which every byte is plain.
fn node_address(id: NodeId, name: &str, config: &CopiesConfig) -> NodeInfo {
    let plain = |c: &char| c.is_ascii_alphanumeric() || "._-".contains(*c);
    let plain: String = name.chars().filter(plain).take(MAX_NODE_NAME_BYTES).collect();
    NodeInfo {
        id,
        name: if plain.is_empty() { "-".to_owned() } else { plain },
        machine: config.machine.clone(),
        zone: config.zone.clone(),
        peer: config.peer.unwrap_or(config.listen),
    }
}

fn log_event(event: &NodeEvent) {
    match event {
        NodeEvent::RoleChanged { shard, epoch, role } => {
            let role = role.name();
            log::info!(event = "epoch", shard, epoch, role; "copies: {role} of shard {shard} in epoch {epoch}");
        }
        NodeEvent::Diverged { shard, node } => {
            log::warn!(event = "differs", shard, node; "copies: node {node:016x} has another state of shard {shard}, it is brought anew");
        }
    }
}

/// The time left until an instant.
pub(crate) fn time_left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}

#[cfg(test)]
mod tests;
