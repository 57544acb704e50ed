//! The negative cache on a proxy's way to the origin: queried before a lookup, filled after one, and invalidated before
//! a write's receipt.

use crate::group::unix_ms;
use crate::replication::{time_left, ReplicationRuntime};
use async_executor::LocalExecutor;
use async_io::Timer;
use notchdoor_negative_cache::{Lookup, LookupResult, NegativeCacheShard, Operation, Outcome, MAX_KEY_LEN};
use notchdoor_replication::shard_of;
use notchdoor_replication::Response;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The longest that a lookup waits for the cache: then the origin is asked as without it.
const QUERY_TIMEOUT: Duration = Duration::from_millis(100);
/// An insertion is tried once, for this long: an entry only saves work.
const INSERT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between attempts of an invalidation while its shard is in a failover.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long a tombstone is retried, for which nobody waits.
const TOMBSTONE_TIMEOUT: Duration = Duration::from_secs(10);

/// What the cache knows of a key.
pub enum KeyLookup {
    /// The origin does not have the key: it is not asked.
    KnownMissing,
    /// The origin has to be asked.
    AskOrigin(OriginLookup),
}

/// A lookup at the origin, with the shard's token if the shard could be asked.
pub struct OriginLookup {
    token: Option<u64>,
    began: Instant,
}

/// Counters for operators.
#[derive(Default)]
pub struct Metrics {
    /// Lookups at the origin that the cache saved.
    pub hits: Cell<u64>,
    /// Lookups made without the cache, which did not respond in time.
    pub unavailable: Cell<u64>,
    /// Entries inserted.
    pub inserted: Cell<u64>,
    /// Invalidations committed.
    pub invalidated: Cell<u64>,
    /// Writes whose receipt was withheld since their invalidation was not committed in time.
    pub receipts_withheld: Cell<u64>,
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// The cache as one proxy uses it.
pub struct NegativeCache {
    replicas: Rc<ReplicationRuntime<NegativeCacheShard>>,
    executor: Rc<LocalExecutor<'static>>,
    /// Insertions begun so far, to number them.
    insertions: Cell<u32>,
    /// Its counters.
    pub metrics: Metrics,
}

impl NegativeCache {
    /// The cache over these replicas.
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

    /// What is known of a key before the origin is asked for it.
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

    /// The origin did not have the key. Nobody waits for this.
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

    /// The origin has carried out a write: whether the invalidation of its key is committed in time. Without it no receipt
    /// may be given.
    pub async fn invalidate(&self, key: &[u8], until: Instant) -> bool {
        let invalidated = self.commit(key, Operation::Invalidate { key: key.to_vec() }, until).await;
        increment(if invalidated { &self.metrics.invalidated } else { &self.metrics.receipts_withheld });
        invalidated
    }

    /// A write may have run, or may yet. Nobody waits for this: its client has no receipt.
    pub fn add_tombstone(self: &Rc<Self>, key: &[u8]) {
        let (cache, key) = (Rc::clone(self), key.to_vec());
        let addition = async move {
            let operation = Operation::tombstone(key.clone(), unix_ms());
            if !cache.commit(&key, operation, Instant::now() + TOMBSTONE_TIMEOUT).await {
                log::warn!("negative cache: a write may have run and its tombstone could not be committed");
            }
        };
        self.executor.spawn(addition).detach();
    }

    /// Retries an operation, which may be applied twice without harm, until it is committed or the time is up.
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
