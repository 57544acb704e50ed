//! Cache of one backend, and the events that invalidate cached entries.

use crate::time::Time;
use lru::LruCache;
use rustc_hash::{FxBuildHasher, FxHashMap};

/// Key of a request.
pub type Key = u64;

/// Which entry is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EvictionPolicy {
    /// Least recently used.
    Lru,
    /// First stored.
    Fifo,
}

struct Entry {
    created_at: Time,
    size: u32,
}

/// Cache of one backend.
pub struct Cache {
    entries: LruCache<Key, Entry, FxBuildHasher>,
    eviction: EvictionPolicy,
    capacity: u64,
    used: u64,
}

impl Cache {
    /// Creates an empty cache of `capacity` units of object size.
    pub fn new(capacity: u64, eviction: EvictionPolicy) -> Self {
        Cache { entries: LruCache::unbounded_with_hasher(FxBuildHasher), eviction, capacity, used: 0 }
    }

    /// Whether a valid entry is cached. Counts as a use under [`EvictionPolicy::Lru`]; removes an invalid
    /// entry.
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

    /// Like [`Cache::lookup`], without counting as a use.
    pub fn peek(&self, now: Time, key: Key, validity: &Validity) -> bool {
        self.entries.peek(&key).is_some_and(|c| !validity.is_void(now, key, c.created_at))
    }

    fn remove(&mut self, key: Key) {
        if let Some(entry) = self.entries.pop(&key) {
            self.used -= u64::from(entry.size);
        }
    }

    /// Stores an entry that the origin produced at `created_at`. An object larger than the whole cache is not
    /// stored.
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

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.used = 0;
    }

    /// Used and total capacity, in units of object size.
    pub fn used(&self) -> (u64, u64) {
        (self.used, self.capacity)
    }

    /// Number of entries, including invalid ones that have not been looked up since.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Invalidation of a random share of all keys.
#[derive(Clone, Copy, Debug)]
struct Flush {
    at: Time,
    share: f64,
    salt: u64,
}

/// Validity of cached entries, shared by all backends: writes, flushes and the time to live.
#[derive(Default)]
pub struct Validity {
    written: FxHashMap<Key, Time>,
    flushes: Vec<Flush>,
    ttl: Option<Time>,
}

/// Older flushes are forgotten.
const MAX_FLUSHES: usize = 64;

impl Validity {
    /// Creates a state without invalidations. `ttl` is the time to live of entries; `None` for unlimited.
    pub fn new(ttl: Option<Time>) -> Self {
        Validity { ttl, ..Validity::default() }
    }

    /// Records a write: entries created up to `now` are invalid.
    pub fn record_write(&mut self, now: Time, key: Key) {
        self.written.insert(key, now);
    }

    /// Invalidates the entries of a random `share` of the keys, chosen by `salt`.
    pub fn flush(&mut self, now: Time, share: f64, salt: u64) {
        if self.flushes.len() == MAX_FLUSHES {
            self.flushes.remove(0);
        }
        self.flushes.push(Flush { at: now, share, salt });
    }

    /// Whether an entry created at `created_at` is invalid at `now`.
    pub fn is_void(&self, now: Time, key: Key, created_at: Time) -> bool {
        self.ttl.is_some_and(|ttl| now >= created_at + ttl)
            || self.written.get(&key).is_some_and(|&at| created_at <= at)
            || self.flushes.iter().any(|f| created_at <= f.at && unit_hash(key ^ f.salt) < f.share)
    }
}

/// Maps a key to a uniformly distributed number in `[0, 1)` (finalizer of MurmurHash3).
pub fn unit_hash(key: u64) -> f64 {
    let mut x = key ^ (key >> 33);
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^= x >> 33;
    (x >> 11) as f64 / (1u64 << 53) as f64
}

/// Key for a text: 16 hexadecimal digits are read as a number, any other text is hashed with FNV-1a.
pub fn key_from_text(text: &str) -> Key {
    let number = if text.len() == 16 { Key::from_str_radix(text, 16).ok() } else { None };
    let hash = |h: Key, byte| (h ^ Key::from(byte)).wrapping_mul(0x0100_0000_01b3);
    number.unwrap_or_else(|| text.bytes().fold(0xcbf2_9ce4_8422_2325, hash))
}

/// Normalized Zipf-Mandelbrot weights: rank `i` of `n` has weight `1 / (i + 1 + offset)^exponent`.
pub fn zipf_shares(n: usize, exponent: f64, offset: f64) -> Vec<f64> {
    let mut shares: Vec<f64> = (0..n).map(|i| (i as f64 + 1.0 + offset).powf(-exponent)).collect();
    let sum: f64 = shares.iter().sum();
    shares.iter_mut().for_each(|s| *s /= sum);
    shares
}

/// Hit rate of an LRU cache of `capacity` objects under independent references with these shares, by Che's
/// approximation (Che, Tung, Wang, 2002): a key is cached if it was requested within the characteristic time
/// `t`, at which the expected number of entries is `capacity`.
pub fn che_hit_rate(shares: &[f64], capacity: f64) -> f64 {
    if capacity >= shares.len() as f64 {
        return 1.0;
    }
    let t = find_root(|t| expected_entries(shares, t) - capacity);
    expected_hit_rate(shares, t)
}

/// Capacity in objects at which [`che_hit_rate`] is `hit_rate`.
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

/// Root of an increasing function, by bisection.
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
