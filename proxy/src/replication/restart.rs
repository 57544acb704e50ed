//! Restarts the node within the process after the lease group has declared it gone or its store has failed.
//!
//! The restart runs in the background, so that the client of the group keeps the shard map current however long the disk
//! takes.

use super::store::{self, OpenedStore, Store, StoreError};
use super::{ReplicationRuntime, TICK_INTERVAL};
use async_io::Timer;
use blocking::unblock;
use notchdoor_coordination::lease::Millis;
use notchdoor_replication::{ReplicaNode, ReplicatedState, Response, ShardState, Variant};
use std::rc::Rc;
use std::sync::Arc;

/// Interval of attempts to reopen a failed store.
pub(super) const RECOVERY_INTERVAL_MS: Millis = 1_000;

/// Progress of a restart.
pub(super) enum Restart<C: ReplicatedState> {
    DueAt(Millis),
    Running,
    Done(NewStart<C>),
}

/// The number of the new start and the shards in the store.
pub(super) struct NewStart<C: ReplicatedState> {
    number: u64,
    shards: Vec<ShardState<C>>,
}

impl<C: ReplicatedState> ReplicationRuntime<C> {
    /// Takes the node out of replication and schedules its restart. Until then it acknowledges nothing: the other nodes may
    /// not know what it acknowledged after the group declared it gone.
    pub(super) fn leave(&self, restart_after_ms: Millis) {
        self.node.borrow_mut().store_failed();
        self.participating.set(false);
        let mut restart = self.restart.borrow_mut();
        if !matches!(*restart, Restart::Running) {
            *restart = Restart::DueAt(self.clock.now() + restart_after_ms);
        }
    }

    /// Begins the restart once it is due, and puts the new node in place once it is done. Returns the new start's number in
    /// that case.
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
        let restarted =
            if failed_before { self.recover_store().await } else { self.begin_next_start().await };
        let next = match restarted {
            Ok(new_start) => Restart::Done(new_start),
            Err(error) => {
                if failed_before {
                    log::debug!("copies: cannot reopen the store, trying again later: {error}");
                } else {
                    log::error!(event = "disk"; "copies: the store failed during a restart, this node takes no part until it is recovered: {error}");
                }
                self.store_failed.set(true);
                Restart::DueAt(self.clock.now() + RECOVERY_INTERVAL_MS)
            }
        };
        self.restart.replace(next);
    }

    /// Records another start in the store and loads its shards. The store must not have failed.
    async fn begin_next_start(&self) -> Result<NewStart<C>, StoreError> {
        self.store_idle().await;
        let store = self.store.borrow().clone().filter(|_| !self.store_failed.get());
        let store = store.ok_or(StoreError::Failed)?;
        unblock(move || Ok(NewStart { number: store.begin_start()?, shards: store.load()? })).await
    }

    /// Reopens a failed store.
    async fn recover_store(&self) -> Result<NewStart<C>, StoreError> {
        self.store_idle().await;
        let (failed, folder, id) = (self.store.take(), self.config.data.clone(), self.address.id);
        let reopen = move || {
            // The file is locked until the old store is dropped.
            drop::<Option<Arc<Store<C>>>>(failed);
            store::recover::<C>(&folder, id)
        };
        let OpenedStore { store, start, shards, .. } = unblock(reopen).await?;
        self.store.replace(Some(Arc::new(store)));
        self.store_failed.set(false);
        log::info!(event = "recovered", start; "copies: store recovered, this node rejoins with start number {start}");
        Ok(NewStart { number: start, shards })
    }

    /// Waits until no write is queued or being committed.
    async fn store_idle(&self) {
        while self.writing.get() || !self.queued_writes.borrow().writes.is_empty() {
            Timer::after(TICK_INTERVAL).await;
        }
    }

    /// Replaces the node with its new start.
    fn replace_node(&self, start: u64, shards: Vec<ShardState<C>>) {
        let (id, now) = (self.address.id, self.clock.now());
        self.node.replace(ReplicaNode::new(id, start, self.drift, shards, now, Variant::Correct));
        // Operations that callers wait for may or may not have been applied.
        for (_, response_sender) in self.waiting.borrow_mut().drain() {
            let _ = response_sender.try_send(Response::Unknown);
        }
        self.requested_changes.borrow_mut().clear();
    }
}
