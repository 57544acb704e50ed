//! The node's next start, where the group took this one to be gone or the store has failed. It is made in the background:
//! the group's client goes on to ask where the other nodes are, however long the disk takes.

use super::store::{self, OpenedStore, Store, StoreError};
use super::{ReplicationRuntime, TICK_INTERVAL};
use async_io::Timer;
use blocking::unblock;
use notchdoor_coordination::lease::Millis;
use notchdoor_replication::{ReplicaNode, ReplicatedState, Response, ShardState, Variant};
use std::rc::Rc;
use std::sync::Arc;

/// How often a store that has failed is tried again.
pub(super) const RECOVERY_INTERVAL_MS: Millis = 1_000;

/// How far the next start of a node that is out has come.
pub(super) enum Restart<C: ReplicatedState> {
    DueAt(Millis),
    Running,
    Done(NewStart<C>),
}

/// Another start of the node, and what the store holds.
pub(super) struct NewStart<C: ReplicatedState> {
    number: u64,
    shards: Vec<ShardState<C>>,
}

impl<C: ReplicatedState> ReplicationRuntime<C> {
    /// Takes the node out: it promises nothing more until its next start, which is begun after this time. What it has
    /// promised since the group took it to be gone is not known to anybody.
    pub(super) fn leave(&self, restart_after_ms: Millis) {
        self.node.borrow_mut().store_failed();
        self.participating.set(false);
        let mut restart = self.restart.borrow_mut();
        if !matches!(*restart, Restart::Running) {
            *restart = Restart::DueAt(self.clock.now() + restart_after_ms);
        }
    }

    /// Begins the next start of a node that is out once it is due, and gives its number once it is made.
    pub(super) fn drive_restart(self: &Rc<Self>) -> Option<u64> {
        if self.participating.get() {
            return None;
        }
        match self.restart.replace(Restart::Running) {
            Restart::DueAt(at) if at <= self.clock.now() => {
                self.executor.spawn(Rc::clone(self).restart()).detach();
                None
            }
            Restart::Done(NewStart { number, shards }) => {
                self.replace_node(number, shards);
                self.participating.set(true);
                Some(number)
            }
            unchanged => {
                self.restart.replace(unchanged);
                None
            }
        }
    }

    async fn restart(self: Rc<Self>) {
        let failed_before = self.store_failed.get();
        let restarted = if failed_before { self.recover_store().await } else { self.start_again().await };
        let next = match restarted {
            Ok(new_start) => Restart::Done(new_start),
            Err(error) => {
                if failed_before {
                    log::debug!("copies: the store is tried again later: {error}");
                } else {
                    log::error!(event = "disk"; "copies: the store failed, this node takes no part: {error}");
                }
                self.store_failed.set(true);
                Restart::DueAt(self.clock.now() + RECOVERY_INTERVAL_MS)
            }
        };
        self.restart.replace(next);
    }

    /// Counts another start in the store, which is in order, and reads what it holds.
    async fn start_again(&self) -> Result<NewStart<C>, StoreError> {
        self.store_idle().await;
        let store = self.store.borrow().clone().filter(|_| !self.store_failed.get());
        let store = store.ok_or(StoreError::Failed)?;
        unblock(move || Ok(NewStart { number: store.begin_start()?, shards: store.load()? })).await
    }

    /// Opens a store again that has failed.
    async fn recover_store(&self) -> Result<NewStart<C>, StoreError> {
        self.store_idle().await;
        let (failed, folder, id) = (self.store.take(), self.config.data.clone(), self.address.id);
        let reopen = move || {
            // Its file is locked for as long as it is open.
            drop::<Option<Arc<Store<C>>>>(failed);
            store::recover::<C>(&folder, id)
        };
        let OpenedStore { store, start, shards, .. } = unblock(reopen).await?;
        self.store.replace(Some(Arc::new(store)));
        self.store_failed.set(false);
        log::info!(event = "recovered", start; "copies: the store is well again, the node joins as start {start}");
        Ok(NewStart { number: start, shards })
    }

    /// Waits until the store has nothing more to do.
    async fn store_idle(&self) {
        while self.writing.get() || !self.queued_writes.borrow().writes.is_empty() {
            Timer::after(TICK_INTERVAL).await;
        }
    }

    /// Goes on with another start of the node.
    fn replace_node(&self, start: u64, shards: Vec<ShardState<C>>) {
        let (id, now) = (self.address.id, self.clock.now());
        self.node.replace(ReplicaNode::new(id, start, self.drift, shards, now, Variant::Correct));
        // The operations of waiting callers may or may not have been applied.
        for (_, response_sender) in self.waiting.borrow_mut().drain() {
            let _ = response_sender.try_send(Response::Unknown);
        }
        self.unanswered_changes.borrow_mut().clear();
    }
}
