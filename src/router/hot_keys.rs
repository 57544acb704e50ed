//! Counts reads by key and computes the number of caches that serve a hot key.

use crate::interface::{Key, Micros};
use std::collections::BTreeMap;

/// The minimum length of a counting epoch: a key turns hot within a second or two.
pub(super) const EPOCH_LENGTH: Micros = 1_000_000;
/// A key gets one more cache for each multiple of this share of its first cache's fair share of all reads:
/// beside its even share of the other keys, a cache gets half of that again from one key.
const SHARE_PER_REPLICA: f64 = 0.5;
/// The minimum number of reads of a key within two epochs before it counts as hot.
const MIN_HOT_READS: u32 = 4;
/// The same for a proxy with sparse reads.
const MIN_HOT_READS_SPARSE: u32 = 2;

/// Reads counted in one epoch.
#[derive(Default)]
struct Epoch {
    reads_by_key: BTreeMap<Key, u32>,
    reads: u32,
}

/// Read counts of the current and the previous epoch.
pub(super) struct KeyCounts {
    current: Epoch,
    previous: Epoch,
    started_at: Micros,
    /// The maximum number of distinct keys counted per epoch.
    max_keys: usize,
}

impl KeyCounts {
    pub(super) fn new(now: Micros, max_keys: usize) -> Self {
        KeyCounts { current: Epoch::default(), previous: Epoch::default(), started_at: now, max_keys }
    }

    /// Starts a new epoch if the current one is long enough and has at least `min_reads` reads.
    pub(super) fn start_epoch_if_due(&mut self, now: Micros, min_reads: usize) {
        let enough = self.current.reads as usize >= min_reads;
        if enough && now.saturating_sub(self.started_at) >= EPOCH_LENGTH {
            // The current epoch becomes the previous one, whose counts are dropped.
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reads_by_key.clear();
            self.current.reads = 0;
            self.started_at = now;
        }
    }

    /// Counts a read. Keys first seen after `max_keys` others in the epoch are not counted individually.
    pub(super) fn record_read(&mut self, key: Key) {
        let keys = &mut self.current.reads_by_key;
        if keys.len() < self.max_keys || keys.contains_key(&key) {
            *keys.entry(key).or_insert(0) += 1;
        }
        self.current.reads += 1;
    }

    /// Returns the number of caches that serve a key. `fair_share` is the share of all reads that the key's
    /// first cache should get by its weight; `sparse` is whether this proxy has sparse reads.
    pub(super) fn replica_count(
        &self,
        key: Key,
        fair_share: Option<f64>,
        sparse: bool,
        caches: usize,
    ) -> usize {
        let epochs = [&self.current, &self.previous];
        let count: u32 = epochs.iter().map(|epoch| epoch.reads_by_key.get(&key).copied().unwrap_or(0)).sum();
        let reads: u32 = epochs.iter().map(|epoch| epoch.reads).sum();
        let min_reads = if sparse { MIN_HOT_READS_SPARSE } else { MIN_HOT_READS };
        let Some(fair_share) = fair_share.filter(|_| count >= min_reads) else { return 1 };
        let extra = f64::from(count) / f64::from(reads) / (fair_share * SHARE_PER_REPLICA);
        // A cache with a tiny size makes this value huge, so it is limited to the number of caches.
        1 + extra.min(caches as f64) as usize
    }

    /// Returns the number of keys counted in both epochs.
    pub(super) fn len(&self) -> usize {
        self.current.reads_by_key.len() + self.previous.reads_by_key.len()
    }
}
