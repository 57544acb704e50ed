//! The runtime of a process's replica node: its store, its connections to other nodes, its client of the lease group, and
//! the requests of this process. The protocol itself is in `notchdoor-replication`.

mod group_client;
mod links;
mod restart;
mod store;

use crate::group::MonotonicClock;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use blocking::unblock;
use group_client::{ChangeKey, ChangeProgress};
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
use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::{OpenedStore, Store};

/// Bits of a request's number that count the requests of one start of a node.
const REQUEST_NUMBER_BITS: u32 = 32;
/// Interval of the node's clock ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Writes queued for the store. While the queue is full the node accepts no operations, neither from its own process nor
/// from a primary, but still delivers responses.
const MAX_QUEUED_WRITES: usize = 16 * 1024;
/// Retry delay in the rejection of an operation while the write queue is full.
const RETRY_AFTER_MS: Millis = 100;
/// Shard map changes queued for the group. Further ones are dropped, and the node asks for them again.
const MAX_QUEUED_CHANGES: usize = 256;
/// Longest node name that the group accepts.
const MAX_NODE_NAME_BYTES: usize = 64;

/// Writes that are committed together.
#[derive(Default)]
struct WriteBatch<C: ReplicatedState> {
    writes: Vec<StoreWrite<C>>,
    /// The node's number of the last write.
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
    /// `None` while a failed store is being reopened.
    store: RefCell<Option<Arc<Store<C>>>>,
    links: RefCell<BTreeMap<NodeId, Link<C>>>,
    /// Number of open connections from other nodes.
    accepted_links: Cell<usize>,
    /// Writes for the next commit.
    queued_writes: RefCell<WriteBatch<C>>,
    /// Notifies the committing task of queued writes.
    wake_store: Sender<()>,
    change_queue: Sender<ShardMapChange>,
    /// Changes that were requested and whose result the shard map does not show yet: a few for each replica of the shards
    /// whose primary this node is.
    requested_changes: RefCell<BTreeMap<ChangeKey, ChangeProgress>>,
    /// Where the response to each request is sent.
    waiting: RefCell<HashMap<u64, Sender<Response<C>>>>,
    /// Number of the next request, not used by any earlier start of this node.
    next_request: Cell<u64>,
    /// Result of the last request to the group; `None` before the first.
    group_reached: Cell<Option<bool>>,
    /// Whether a batch is being committed.
    writing: Cell<bool>,
    /// Whether a write has failed. Nothing is written until the store is reopened.
    store_failed: Cell<bool>,
    /// Whether the node takes part in replication; false while it waits for its restart.
    participating: Cell<bool>,
    restart: RefCell<Restart<C>>,
}

/// The number of the first request of a start of a node. Other nodes know requests by the number of the node, which
/// stays the same, so a response to an earlier start must not have the number of a request of this one.
fn first_request(start: u64) -> u64 {
    (start << REQUEST_NUMBER_BITS) + 1
}

impl<C: ReplicatedState> ReplicationRuntime<C> {
    /// Opens the store and starts the node's tasks on `executor`. The error is a single line that names the setting.
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
        log::info!(node = id, start, shards = stored; "copies: node {id:016x} started, start number {start}, {stored} of {configured} shards in its store");
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
            requested_changes: RefCell::default(),
            waiting: RefCell::default(),
            next_request: Cell::new(first_request(start)),
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

    /// The number of shards.
    pub fn shards(&self) -> u32 {
        self.config.shards
    }

    /// Sends an operation to the primary of a shard and waits at most `limit` for the response.
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

    /// Sends a query to the primary of a shard and waits at most `limit` for the response.
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

    /// Whether the queue of writes is full.
    fn is_store_behind(&self) -> bool {
        self.queued_writes.borrow().writes.len() >= MAX_QUEUED_WRITES
    }

    /// Takes the node's output and sends its messages, queues its writes and map changes, and delivers its responses.
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
            // If the channel is full, the task has yet to wake and will see these writes too.
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

    /// Commits queued writes on a blocking thread. Writes that are queued meanwhile form the next batch.
    async fn commit_writes(self: Rc<Self>, woken: Receiver<()>) {
        while woken.recv().await.is_ok() {
            let WriteBatch { writes, last_write } = self.queued_writes.take();
            let store = self.store.borrow().clone();
            // After a failure queued writes are dropped: the node restarts from the reopened store.
            let Some(store) = store.filter(|_| !self.store_failed.get() && !writes.is_empty()) else {
                continue;
            };
            self.writing.set(true);
            let committed = unblock(move || store.commit(&writes)).await;
            self.writing.set(false);
            match committed {
                Ok(()) => self.node.borrow_mut().writes_durable(last_write),
                Err(error) => {
                    log::error!(event = "disk"; "copies: write to the store failed, this node takes no part until the store is recovered: {error}");
                    self.fail_store();
                }
            }
            self.process_output();
        }
    }

    /// Takes the node out of replication until its store is reopened.
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

/// The node's entry in the shard map. Its name is reduced to the characters that the group accepts.
fn node_address(id: NodeId, name: &str, config: &CopiesConfig) -> NodeInfo {
    let is_allowed = |c: &char| c.is_ascii_alphanumeric() || "._-".contains(*c);
    let sanitized: String = name.chars().filter(is_allowed).take(MAX_NODE_NAME_BYTES).collect();
    NodeInfo {
        id,
        name: if sanitized.is_empty() { "-".to_owned() } else { sanitized },
        machine: config.machine.clone(),
        zone: config.zone.clone(),
        peer: config.peer.unwrap_or(config.listen),
    }
}

fn log_event(event: &NodeEvent) {
    match event {
        NodeEvent::RoleChanged { shard, epoch, role } => {
            let role = role.name();
            log::info!(event = "epoch", shard, epoch, role; "copies: this node is {role} of shard {shard} in epoch {epoch}");
        }
        NodeEvent::Diverged { shard, node } => {
            log::warn!(event = "differs", shard, node; "copies: the state of shard {shard} on node {node:016x} differs, sending a snapshot");
        }
    }
}

/// The time left until `until`; zero once it has passed.
pub(crate) fn time_left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}

#[cfg(test)]
mod tests;
