//! Negative cache: a replicated state machine that stores which keys the origin does not have. One
//! [`NegativeCacheShard`] holds one shard's entries and its lookup token; the crate does no I/O.
//!
//! A lookup reads the shard's token before it queries the origin, and may insert an entry only under that
//! token. After the origin has executed a write, and before the write is acknowledged to the client, the
//! proxy invalidates the key: the entry is removed and the token changes, so lookups that started earlier can
//! no longer insert. A write whose outcome is unknown adds a tombstone; until it expires, lookups of that key
//! get no valid token. See `docs/copies-design.md` for the interleavings.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use notchdoor_coordination::lease::Millis;
use notchdoor_replication::ReplicatedState;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Lifetime of an entry, counted from the start of its lookup.
pub const ENTRY_TTL_MS: Millis = 30_000;
/// Lifetime of a tombstone: the longest time for which the origin may still execute a write after the proxy
/// stopped waiting for it.
pub const TOMBSTONE_TTL_MS: Millis = 30_000;
// Restoring a state restarts the lifetimes of its tombstones and entries. An entry that an older primary
// accepted during a tombstone must expire no later than the tombstone.
const _: () = assert!(TOMBSTONE_TTL_MS >= ENTRY_TTL_MS);
/// Bit of an entry's `at` that marks it as a packed lookup duration instead of a Unix time. The value exceeds
/// every Unix time in milliseconds, so older versions, which compare `at` with the wall clock, store such an
/// entry but never answer from it.
const LOOKUP_DURATION_FLAG: Millis = 1 << 63;
/// Low bits of a packed `at` that store the lookup duration in milliseconds. The bits above store a nonce
/// that distinguishes the sender's entries.
const LOOKUP_DURATION_BITS: u32 = 16;
const _: () = assert!(ENTRY_TTL_MS < 1 << LOOKUP_DURATION_BITS);
/// A token that is never valid: an insert with it is always stale.
const INVALID_TOKEN: u64 = u64::MAX;
/// Maximum number of entries in a shard. Inserting beyond it evicts the oldest entry.
pub const MAX_ENTRIES: usize = 4096;
/// Maximum number of tombstones in a shard. Adding one more replaces them with a tombstone of the whole
/// shard.
pub const MAX_TOMBSTONES: usize = 256;
/// Maximum length of a key, in bytes.
pub const MAX_KEY_LEN: usize = 512;

/// The replicated state of one shard of the negative cache.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NegativeCacheShard {
    /// Incremented by every invalidation and every tombstone.
    token: u64,
    /// Cached keys, each with the `at` of its [`Operation::Insert`].
    entries: BTreeMap<Vec<u8>, Millis>,
    /// Insertions from oldest to newest. Includes insertions whose entry has since been removed or replaced.
    order: VecDeque<(Vec<u8>, Millis)>,
    /// Keys with a tombstone, each with its latest `until` in Unix milliseconds. These times only reject
    /// inserts of older versions; [`LocalTimes`] determines when a tombstone expires.
    tombstones: BTreeMap<Vec<u8>, Millis>,
    /// The latest `until` of a tombstone that covers the whole shard, in Unix milliseconds; 0 if there is
    /// none.
    shard_tombstone: Millis,
}

/// When the entries and tombstones of one replica expire, in milliseconds of that replica's monotonic clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LocalTimes {
    /// Expiry of each entry. Queries ignore entries that are not listed here.
    entry_expiry: BTreeMap<Vec<u8>, Millis>,
    /// Expiry of each key's tombstone.
    tombstone_expiry: BTreeMap<Vec<u8>, Millis>,
    /// Expiry of the tombstone of the whole shard.
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
            // All existing tombstones were added earlier and expire before this one.
            self.shard_tombstone_expiry = expiry;
            self.tombstone_expiry.clear();
        }
    }
}

/// An operation that changes a shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Operation {
    /// Adds an entry after a lookup found that the origin does not have the key.
    Insert {
        /// The missing key.
        key: Vec<u8>,
        /// The shard's token at the start of the lookup.
        token: u64,
        /// The packed lookup duration ([`Operation::insert`]). Older versions send the lookup's start in Unix
        /// milliseconds.
        at: Millis,
    },
    /// Removes the entry of a key after the origin has executed a write of it.
    Invalidate {
        /// The written key.
        key: Vec<u8>,
    },
    /// Removes the entry of a key and blocks new ones, because a write of the key has an unknown outcome or
    /// may still be executed.
    Tombstone {
        /// The key of the write.
        key: Vec<u8>,
        /// End of the tombstone in Unix milliseconds. Only older versions act on it; this version counts
        /// [`TOMBSTONE_TTL_MS`] on its own monotonic clock.
        until: Millis,
    },
}

impl Operation {
    /// Builds the insert of a key whose lookup took `lookup_duration`. `nonce` must differ between the
    /// inserts of one sender.
    pub fn insert(key: Vec<u8>, token: u64, lookup_duration: Duration, nonce: u32) -> Operation {
        let lookup_duration_ms = lookup_duration.as_millis().min(u128::from(ENTRY_TTL_MS)) as Millis;
        Operation::Insert {
            key,
            token,
            at: LOOKUP_DURATION_FLAG | u64::from(nonce) << LOOKUP_DURATION_BITS | lookup_duration_ms,
        }
    }

    /// Builds the tombstone of a key. Only older versions use `unix_ms`, the current wall clock time.
    pub fn tombstone(key: Vec<u8>, unix_ms: Millis) -> Operation {
        Operation::Tombstone { key, until: unix_ms + TOMBSTONE_TTL_MS }
    }
}

/// Unpacks the lookup duration from an entry's `at`; 0 if `at` is the Unix time of an older version.
fn lookup_duration_ms(at: Millis) -> Millis {
    // Another machine's Unix time says nothing about this replica's clock.
    at.checked_sub(LOOKUP_DURATION_FLAG).map_or(0, |packed| packed & ((1 << LOOKUP_DURATION_BITS) - 1))
}

/// The result of applying an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The entry was inserted.
    Inserted,
    /// The entry was not inserted: the token has changed since the lookup, a tombstone covers the key, or the
    /// key is longer than [`MAX_KEY_LEN`].
    Stale,
    /// The entry was removed, and lookups that started earlier can no longer insert one.
    Invalidated,
}

/// A query whether a key is known to be missing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lookup {
    /// The key to look up.
    pub key: Vec<u8>,
}

/// The result of a [`Lookup`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LookupResult {
    /// The origin does not have the key.
    KnownMissing,
    /// The cache has no usable entry. If the origin does not have the key either, an entry may be inserted
    /// with this token.
    Unknown {
        /// The shard's token, or one that is never valid while a tombstone covers the key.
        token: u64,
    },
}

impl NegativeCacheShard {
    /// Returns the number of entries, including expired ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the shard has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, key: &[u8], at: Millis) {
        self.entries.insert(key.to_vec(), at);
        self.order.push_back((key.to_vec(), at));
        // Removed and replaced entries keep their place in `order`, so its length is limited too.
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
                    // The replicated state has no clock and cannot tell which tombstones have expired.
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
                // An older primary accepts inserts during a tombstone. They must not be used to answer
                // queries.
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
