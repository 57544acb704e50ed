//! What a backend keeps, and which kept copies are void.

use crate::time::Time;
use lru::LruCache;
use rustc_hash::{FxBuildHasher, FxHashMap};

/// A request's key, as a number.
pub type Key = u64;

/// Which copy is dropped when room is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EvictionPolicy {
    /// The one used longest ago.
    Lru,
    /// The one stored longest ago.
    Fifo,
}

struct Entry {
    created_at: Time,
    size: u32,
}

/// The copies that one backend keeps.
pub struct Cache {
    entries: LruCache<Key, Entry, FxBuildHasher>,
    eviction: EvictionPolicy,
    capacity: u64,
    used: u64,
}

impl Cache {
    /// An empty memory of so many units of room. An object takes one or more.
    pub fn new(capacity: u64, eviction: EvictionPolicy) -> Self {
        Cache { entries: LruCache::unbounded_with_hasher(FxBuildHasher), eviction, capacity, used: 0 }
    }

    /// Whether a copy that is not void is kept; a use of it, under [`EvictionPolicy::Lru`].
    pub fn lookup(&mut self, now: Time, key: Key, validity: &Validity) -> bool {
        let entry = match self.eviction {
            EvictionPolicy::Lru => self.entries.get(&key),
            EvictionPolicy::Fifo => self.entries.peek(&key),
        };
        let Some(created_at) = entry.map(|c| c.created_at) else { return false };
        if validity.is_void(now, key, created_at) {
            self.remove(key);
            return false;
        }
        true
    }

    /// Whether a copy that is not void is kept, without using it.
    pub fn peek(&self, now: Time, key: Key, validity: &Validity) -> bool {
        self.entries.peek(&key).is_some_and(|c| !validity.is_void(now, key, c.created_at))
    }

    fn remove(&mut self, key: Key) {
        if let Some(entry) = self.entries.pop(&key) {
            self.used -= u64::from(entry.size);
        }
    }

    /// Keeps a copy that the origin made at `made`. One larger than the whole memory is not kept.
    pub fn store(&mut self, key: Key, created_at: Time, size: u32) {
        self.remove(key);
        if u64::from(size) > self.capacity {
            return;
        }
        while self.used + u64::from(size) > self.capacity {
            let Some((_, entry)) = self.entries.pop_lru() else { break };
            self.used -= u64::from(entry.size);
        }
        self.used += u64::from(size);
        self.entries.put(key, Entry { created_at, size });
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.used = 0;
    }

    /// Units of room in use, and in all.
    pub fn used(&self) -> (u64, u64) {
        (self.used, self.capacity)
    }

    /// Copies kept, void ones that nobody asked for included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// One spell in which a share of all keys went void.
#[derive(Clone, Copy, Debug)]
struct Flush {
    at: Time,
    share: f64,
    salt: u64,
}

/// What makes kept copies void: writes, their time, and flushes. Common to all backends.
#[derive(Default)]
pub struct Validity {
    written: FxHashMap<Key, Time>,
    flushes: Vec<Flush>,
    ttl: Option<Time>,
}

/// At most so many flushes are remembered: the oldest go, and with them what they voided long ago.
const MAX_FLUSHES: usize = 64;

impl Validity {
    /// Copies last for `keep`, or for ever.
    pub fn new(ttl: Option<Time>) -> Self {
        Validity { ttl, ..Validity::default() }
    }

    /// The key's value has changed: copies made before are void.
    pub fn record_write(&mut self, now: Time, key: Key) {
        self.written.insert(key, now);
    }

    /// The copies of this share of the keys go void at once.
    pub fn flush(&mut self, now: Time, share: f64, salt: u64) {
        if self.flushes.len() == MAX_FLUSHES {
            self.flushes.remove(0);
        }
        self.flushes.push(Flush { at: now, share, salt });
    }

    /// Whether a copy made at `made` is void at `now`.
    pub fn is_void(&self, now: Time, key: Key, created_at: Time) -> bool {
        self.ttl.is_some_and(|ttl| now >= created_at + ttl)
            || self.written.get(&key).is_some_and(|&at| created_at <= at)
            || self.flushes.iter().any(|f| created_at <= f.at && unit_hash(key ^ f.salt) < f.share)
    }
}

/// A number from 0 to 1 that a key stands for, evenly spread (the finisher of MurmurHash3).
pub fn unit_hash(key: u64) -> f64 {
    let mut x = key ^ (key >> 33);
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^= x >> 33;
    (x >> 11) as f64 / (1u64 << 53) as f64
}

/// The number of a key's text: 16 hexadecimal digits, as the lab's clients write a number, are that number; any other
/// text is hashed (FNV-1a).
pub fn key_from_text(text: &str) -> Key {
    let number = if text.len() == 16 { Key::from_str_radix(text, 16).ok() } else { None };
    let hash = |h: Key, byte| (h ^ Key::from(byte)).wrapping_mul(0x0100_0000_01b3);
    number.unwrap_or_else(|| text.bytes().fold(0xcbf2_9ce4_8422_2325, hash))
}

/// The popularity of keys: the `i`-th of `n` is asked for with a weight of `1 / (i + 1 + offset)^exponent`.
pub fn zipf_shares(n: usize, exponent: f64, offset: f64) -> Vec<f64> {
    let mut shares: Vec<f64> = (0..n).map(|i| (i as f64 + 1.0 + offset).powf(-exponent)).collect();
    let sum: f64 = shares.iter().sum();
    shares.iter_mut().for_each(|s| *s /= sum);
    shares
}

/// Che's approximation for LRU: the hit rate of a memory of `capacity` objects under independent references
/// with these shares. A key is kept if it was asked for within the characteristic time `t`, at which the
/// expected number kept is `capacity` (Che, Tung, Wang, 2002).
pub fn che_hit_rate(shares: &[f64], capacity: f64) -> f64 {
    if capacity >= shares.len() as f64 {
        return 1.0;
    }
    let t = find_root(|t| expected_entries(shares, t) - capacity);
    expected_hit_rate(shares, t)
}

/// The capacity at which Che's approximation gives this hit rate: its inverse, in objects.
pub fn che_capacity(shares: &[f64], hit_rate: f64) -> f64 {
    if hit_rate >= 1.0 {
        return shares.len() as f64;
    }
    let t = find_root(|t| expected_hit_rate(shares, t) - hit_rate);
    expected_entries(shares, t)
}

fn expected_entries(shares: &[f64], t: f64) -> f64 {
    shares.iter().map(|p| 1.0 - (-p * t).exp()).sum()
}

fn expected_hit_rate(shares: &[f64], t: f64) -> f64 {
    shares.iter().map(|p| p * (1.0 - (-p * t).exp())).sum()
}

/// The root of a rising function on times counted in requests.
fn find_root(f: impl Fn(f64) -> f64) -> f64 {
    let (mut low, mut high) = (0.0, 1.0);
    while f(high) < 0.0 && high < 1e15 {
        high *= 2.0;
    }
    for _ in 0..100 {
        let mid = (low + high) / 2.0;
        if f(mid) < 0.0 {
            low = mid;
        } else {
            high = mid;
        }
    }
    (low + high) / 2.0
}
