//! A negative cache of keys that the origin does not have, as a replicated state machine: one shard's entries and its
//! lookup token, without I/O.
//!
//! An entry says that the origin did not have a key, by a lookup that began under the shard's token. A write invalidates
//! once the origin has carried it out and before its receipt is given: the entry goes and the token changes, so that no
//! lookup that began before can insert an entry any more. A write that may still run leaves a tombstone: for as long as
//! it may run, lookups of its key get no token. `docs/copies-design.md` has the interleavings.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use notchdoor_coordination::lease::Millis;
use notchdoor_replication::ReplicatedState;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How long an entry lives.
pub const ENTRY_TTL_MS: Millis = 30_000;
/// For how long the origin may still carry out a write that nobody waits for any more.
pub const TOMBSTONE_TTL_MS: Millis = 30_000;
// In a state whose age is not known, tombstones and entries begin anew together: an entry that an older primary accepted
// beside a tombstone must have expired when the tombstone does.
const _: () = assert!(TOMBSTONE_TTL_MS >= ENTRY_TTL_MS);
/// Marks an entry's `at` as no clock's time. It lies above every Unix time: an older program, which compares both, stores
/// such an entry and never answers from it.
const LOOKUP_DURATION_FLAG: Millis = 1 << 63;
/// Bits of an undated `at` that say how long the lookup took; above them is a number that tells entries apart.
const LOOKUP_DURATION_BITS: u32 = 16;
const _: () = assert!(ENTRY_TTL_MS < 1 << LOOKUP_DURATION_BITS);
/// A token that no shard ever has: a lookup under it inserts no entry.
const INVALID_TOKEN: u64 = u64::MAX;
/// Entries of one shard; of more, the oldest is evicted.
pub const MAX_ENTRIES: usize = 4096;
/// Tombstones of one shard; beyond that all its keys have one for as long.
pub const MAX_TOMBSTONES: usize = 256;
/// The longest key of an entry, in bytes.
pub const MAX_KEY_LEN: usize = 512;

/// One shard of the cache.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NegativeCacheShard {
    /// Changes with every invalidation.
    token: u64,
    /// Entries, each with the `at` of its operation.
    entries: BTreeMap<Vec<u8>, Millis>,
    /// Insertions in their order, those of entries that are gone or were inserted anew included.
    order: VecDeque<(Vec<u8>, Millis)>,
    /// Keys with a tombstone, and the latest `until` of each. That is a wall clock's time and decides over entries of older
    /// programs alone; how long a tombstone lasts is in [`LocalTimes`].
    tombstones: BTreeMap<Vec<u8>, Millis>,
    /// The latest `until` where all keys have a tombstone, or 0.
    shard_tombstone: Millis,
}

/// The times of one replica's state, by its own monotonic clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LocalTimes {
    /// When each entry expires; one that is not here is not answered from.
    entry_expiry: BTreeMap<Vec<u8>, Millis>,
    /// When each key's tombstone expires.
    tombstone_expiry: BTreeMap<Vec<u8>, Millis>,
    /// When the tombstone of all keys expires.
    shard_tombstone_expiry: Millis,
}

impl LocalTimes {
    fn has_tombstone(&self, key: &[u8], now: Millis) -> bool {
        now < self.shard_tombstone_expiry
            || self.tombstone_expiry.get(key).is_some_and(|expiry| now < *expiry)
    }

    fn add_tombstone(&mut self, key: &[u8], now: Millis) {
        let expiry = now + TOMBSTONE_TTL_MS;
        if self.tombstone_expiry.len() >= MAX_TOMBSTONES {
            self.tombstone_expiry.retain(|_, expiry| now < *expiry);
        }
        if self.tombstone_expiry.len() < MAX_TOMBSTONES {
            self.tombstone_expiry.insert(key.to_vec(), expiry);
        } else {
            // Every tombstone so far was added before this one and expires before it.
            self.shard_tombstone_expiry = expiry;
            self.tombstone_expiry.clear();
        }
    }
}

/// An operation on a shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Operation {
    /// A lookup found that the origin does not have this key.
    Insert {
        /// The key.
        key: Vec<u8>,
        /// The token that the lookup began under.
        token: u64,
        /// How long the lookup took ([`Operation::insert`]); of an older program, when it began in Unix milliseconds.
        at: Millis,
    },
    /// The origin has carried out a write of this key.
    Invalidate {
        /// The key.
        key: Vec<u8>,
    },
    /// It is not known whether the origin has carried out, or may yet, a write of this key.
    Tombstone {
        /// The key.
        key: Vec<u8>,
        /// Until when it may, in Unix milliseconds. Read by older programs alone: a primary of this one counts
        /// [`TOMBSTONE_TTL_MS`] on its own clock.
        until: Millis,
    },
}

impl Operation {
    /// The entry of a key, by a lookup that took this long. The number tells it from the sender's other entries.
    pub fn insert(key: Vec<u8>, token: u64, lookup_duration: Duration, nonce: u32) -> Operation {
        let lookup_duration_ms = lookup_duration.as_millis().min(u128::from(ENTRY_TTL_MS)) as Millis;
        Operation::Insert {
            key,
            token,
            at: LOOKUP_DURATION_FLAG | u64::from(nonce) << LOOKUP_DURATION_BITS | lookup_duration_ms,
        }
    }

    /// The tombstone of a key. The wall clock's time is for older programs.
    pub fn tombstone(key: Vec<u8>, unix_ms: Millis) -> Operation {
        Operation::Tombstone { key, until: unix_ms + TOMBSTONE_TTL_MS }
    }
}

/// How long the lookup of an entry took, as far as its `at` says so.
fn lookup_duration_ms(at: Millis) -> Millis {
    // An older program says when it began, by a clock that is not ours.
    at.checked_sub(LOOKUP_DURATION_FLAG).map_or(0, |packed| packed & ((1 << LOOKUP_DURATION_BITS) - 1))
}

/// The outcome of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The entry is inserted.
    Inserted,
    /// Something in the shard was written since the lookup began, or may be yet: no entry is inserted.
    Stale,
    /// No entry of the key is left, and no lookup that began before can insert one.
    Invalidated,
}

/// A lookup of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lookup {
    /// The key.
    pub key: Vec<u8>,
}

/// What the cache knows of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LookupResult {
    /// The origin does not have it.
    KnownMissing,
    /// The origin has to be asked; if it does not have the key, an entry may be inserted under this token.
    Unknown {
        /// The token.
        token: u64,
    },
}

impl NegativeCacheShard {
    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, key: &[u8], at: Millis) {
        self.entries.insert(key.to_vec(), at);
        self.order.push_back((key.to_vec(), at));
        // Entries that were invalidated or inserted anew leave their place in the order behind.
        while self.entries.len() > MAX_ENTRIES || self.order.len() > 2 * MAX_ENTRIES {
            let Some((oldest, oldest_at)) = self.order.pop_front() else { return };
            if self.entries.get(&oldest) == Some(&oldest_at) {
                self.entries.remove(&oldest);
            }
        }
    }
}

impl ReplicatedState for NegativeCacheShard {
    type Operation = Operation;
    type Outcome = Outcome;
    type Query = Lookup;
    type QueryResult = LookupResult;
    type LocalTimes = LocalTimes;

    fn apply(&mut self, operation: &Operation) -> Outcome {
        match operation {
            Operation::Insert { key, token, at } => {
                let tombstone_until =
                    self.tombstones.get(key).copied().unwrap_or(0).max(self.shard_tombstone);
                if *token != self.token || *at < tombstone_until || key.len() > MAX_KEY_LEN {
                    return Outcome::Stale;
                }
                self.insert(key, *at);
                Outcome::Inserted
            }
            Operation::Invalidate { key } => {
                self.entries.remove(key);
                self.token += 1;
                Outcome::Invalidated
            }
            Operation::Tombstone { key, until } => {
                self.entries.remove(key);
                self.token += 1;
                if self.tombstones.len() >= MAX_TOMBSTONES {
                    // The state has no clock of its own to tell which of them have expired.
                    let latest = self.tombstones.values().copied().max().unwrap_or(0);
                    self.shard_tombstone = self.shard_tombstone.max(latest).max(*until);
                    self.tombstones.clear();
                } else {
                    let tombstone = self.tombstones.entry(key.clone()).or_default();
                    *tombstone = (*tombstone).max(*until);
                }
                Outcome::Invalidated
            }
        }
    }

    fn record_applied(&self, times: &mut LocalTimes, operation: &Operation, outcome: &Outcome, now: Millis) {
        match operation {
            Operation::Insert { key, at, .. } if *outcome == Outcome::Inserted => {
                // An older primary accepts inserts beside a tombstone. It does not answer from them, and nor may this.
                if times.has_tombstone(key, now) {
                    times.entry_expiry.remove(key);
                    return;
                }
                times
                    .entry_expiry
                    .insert(key.clone(), (now + ENTRY_TTL_MS).saturating_sub(lookup_duration_ms(*at)));
                if times.entry_expiry.len() > 2 * MAX_ENTRIES {
                    times.entry_expiry.retain(|key, _| self.entries.contains_key(key));
                }
            }
            Operation::Insert { .. } => {}
            Operation::Invalidate { key } => {
                times.entry_expiry.remove(key);
            }
            Operation::Tombstone { key, .. } => {
                times.entry_expiry.remove(key);
                times.add_tombstone(key, now);
            }
        }
    }

    fn restored_times(&self, now: Millis) -> LocalTimes {
        let mut times = LocalTimes::default();
        for key in self.tombstones.keys() {
            times.add_tombstone(key, now);
        }
        if self.shard_tombstone > 0 {
            times.shard_tombstone_expiry = now + TOMBSTONE_TTL_MS;
        }
        times.entry_expiry = self.entries.keys().map(|key| (key.clone(), now + ENTRY_TTL_MS)).collect();
        times
    }

    fn query(&self, times: &LocalTimes, lookup: &Lookup, now: Millis) -> LookupResult {
        if times.has_tombstone(&lookup.key, now) {
            return LookupResult::Unknown { token: INVALID_TOKEN };
        }
        let unexpired = times.entry_expiry.get(&lookup.key).is_some_and(|expiry| now < *expiry);
        if unexpired && self.entries.contains_key(&lookup.key) {
            LookupResult::KnownMissing
        } else {
            LookupResult::Unknown { token: self.token }
        }
    }
}

#[cfg(test)]
mod tests;
