//! The proxy's client of the negative cache, which records keys that the origin does not have: queried before a lookup at
//! the origin, filled after a miss, and invalidated before a write is acknowledged.

use crate::group::unix_ms;
use crate::replication::{time_left, ReplicationRuntime};
use async_executor::LocalExecutor;
use async_io::Timer;
use notchdoor_negative_cache::{Lookup, LookupResult, NegativeCacheShard, Operation, Outcome, MAX_KEY_LEN};
use notchdoor_replication::shard_of;
use notchdoor_replication::Response;
use serde::Serialize;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time that a lookup waits for the cache before the origin is asked without it.
const QUERY_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of an insertion. It is not retried, since a missing entry only costs a lookup.
const INSERT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between attempts to commit an invalidation or a tombstone, for example during a failover of the shard.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long adding a tombstone is retried, in the background.
const TOMBSTONE_TIMEOUT: Duration = Duration::from_secs(10);

/// The result of a cache lookup.
pub enum KeyLookup {
    /// The origin does not have the key and need not be asked.
    KnownMissing,
    /// The origin has to be asked.
    AskOrigin(OriginLookup),
}

/// Context of a lookup at the origin, which a later insertion needs: the token from the shard, `None` if the shard did
/// not answer, and the start of the lookup.
pub struct OriginLookup {
    token: Option<u64>,
    began: Instant,
}

/// Counters for operators. The field names are an interface: `GET /_vars` shows them.
#[derive(Debug, Default, PartialEq, Serialize)]
pub struct Metrics {
    /// Lookups that the cache answered in place of the origin.
    pub hits: Cell<u64>,
    /// Lookups for which the cache did not respond in time.
    pub unavailable: Cell<u64>,
    /// Entries inserted.
    pub inserted: Cell<u64>,
    /// Invalidations committed.
    pub invalidated: Cell<u64>,
    /// Writes that were not acknowledged because their invalidation was not committed in time.
    pub receipts_withheld: Cell<u64>,
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// A proxy's access to the replicated cache.
pub struct NegativeCache {
    replicas: Rc<ReplicationRuntime<NegativeCacheShard>>,
    executor: Rc<LocalExecutor<'static>>,
    /// Number of the next insertion; wraps around.
    insertions: Cell<u32>,
    /// Counters for operators.
    pub metrics: Metrics,
}

impl NegativeCache {
    /// Creates a client that queries and updates these replicas. Background updates run on `executor`.
    pub fn new(
        replicas: Rc<ReplicationRuntime<NegativeCacheShard>>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Rc<NegativeCache> {
        Rc::new(NegativeCache {
            replicas,
            executor: Rc::clone(executor),
            insertions: Cell::new(0),
            metrics: Metrics::default(),
        })
    }

    fn shard(&self, key: &[u8]) -> u32 {
        shard_of(key, self.replicas.shards())
    }

    fn next_number(&self) -> u32 {
        self.insertions.replace(self.insertions.get().wrapping_add(1))
    }

    /// Looks a key up before the origin is asked for it. Keys longer than `MAX_KEY_LEN` are never cached.
    pub async fn lookup(&self, key: &[u8]) -> KeyLookup {
        let began = Instant::now();
        if key.len() > MAX_KEY_LEN {
            return KeyLookup::AskOrigin(OriginLookup { token: None, began });
        }
        match self.replicas.query(self.shard(key), Lookup { key: key.to_vec() }, QUERY_TIMEOUT).await {
            Response::QueryResult(LookupResult::KnownMissing) => {
                increment(&self.metrics.hits);
                KeyLookup::KnownMissing
            }
            Response::QueryResult(LookupResult::Unknown { token }) => {
                KeyLookup::AskOrigin(OriginLookup { token: Some(token), began })
            }
            _ => {
                increment(&self.metrics.unavailable);
                KeyLookup::AskOrigin(OriginLookup { token: None, began })
            }
        }
    }

    /// Records in the background that the origin does not have the key. Does nothing without a token.
    pub fn insert(self: &Rc<Self>, key: &[u8], lookup: OriginLookup) {
        let OriginLookup { token: Some(token), began } = lookup else { return };
        let (cache, key) = (Rc::clone(self), key.to_vec());
        let insertion = async move {
            let operation = Operation::insert(key.clone(), token, began.elapsed(), cache.next_number());
            if cache.replicas.execute(cache.shard(&key), operation, INSERT_TIMEOUT).await
                == Response::Committed(Outcome::Inserted)
            {
                increment(&cache.metrics.inserted);
            }
        };
        self.executor.spawn(insertion).detach();
    }

    /// Removes the entry of a key that the origin has written. Returns whether this was committed by `until`; otherwise the
    /// write must not be acknowledged, since the cache may still report the key as missing.
    pub async fn invalidate(&self, key: &[u8], until: Instant) -> bool {
        let invalidated = self.commit(key, Operation::Invalidate { key: key.to_vec() }, until).await;
        increment(if invalidated { &self.metrics.invalidated } else { &self.metrics.receipts_withheld });
        invalidated
    }

    /// Adds a tombstone in the background for a key whose write has an unknown outcome. The write was not acknowledged, so
    /// no request waits for this.
    pub fn add_tombstone(self: &Rc<Self>, key: &[u8]) {
        let (cache, key) = (Rc::clone(self), key.to_vec());
        let addition = async move {
            let operation = Operation::tombstone(key.clone(), unix_ms());
            if !cache.commit(&key, operation, Instant::now() + TOMBSTONE_TIMEOUT).await {
                log::warn!("negative cache: cannot commit the tombstone of a write with unknown outcome");
            }
        };
        self.executor.spawn(addition).detach();
    }

    /// Retries an idempotent operation until it is committed or `until` has passed. Returns whether it was committed.
    async fn commit(&self, key: &[u8], operation: Operation, until: Instant) -> bool {
        while !time_left(until).is_zero() {
            let response = self.replicas.execute(self.shard(key), operation.clone(), time_left(until)).await;
            if response == Response::Committed(Outcome::Invalidated) {
                return true;
            }
            Timer::after(RETRY_DELAY.min(time_left(until))).await;
        }
        false
    }
}
