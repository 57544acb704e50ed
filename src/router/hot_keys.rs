//! Counts reads by key, and says over how many caches a hot key is spread.

use crate::interface::{Key, Micros};
use std::collections::BTreeMap;

/// The least length of an epoch in which keys are counted, in microseconds: a key turns hot within a second
/// or two.
pub(super) const EPOCH_LENGTH: Micros = 1_000_000;
/// A key gets one more cache for each of these shares of a cache's fair share of all reads: beside its even
/// share of the other keys, a cache gets half of that again from one key.
const SHARE_PER_REPLICA: f64 = 0.5;
/// Requests for a key within two epochs before its share is believed.
const MIN_HOT_READS: u32 = 4;
/// The same at a proxy with so little traffic that it never sees a hot key often.
const MIN_HOT_READS_SPARSE: u32 = 2;

/// Reads counted in one epoch.
#[derive(Default)]
struct Epoch {
    reads_by_key: BTreeMap<Key, u32>,
    reads: u32,
}

/// Counts of the current epoch and the one before it.
pub(super) struct KeyCounts {
    current: Epoch,
    previous: Epoch,
    started_at: Micros,
    /// Keys that are counted in one epoch at the most.
    max_keys: usize,
}

impl KeyCounts {
    pub(super) fn new(now: Micros, max_keys: usize) -> Self {
        KeyCounts { current: Epoch::default(), previous: Epoch::default(), started_at: now, max_keys }
    }

    /// Begins a new epoch if the current one is long enough and has at least so many reads.
    pub(super) fn start_epoch_if_due(&mut self, now: Micros, min_reads: usize) {
        let enough = self.current.reads as usize >= min_reads;
        if enough && now.saturating_sub(self.started_at) >= EPOCH_LENGTH {
            // The current epoch becomes the previous one; what that held is dropped.
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reads_by_key.clear();
            self.current.reads = 0;
            self.started_at = now;
        }
    }

    /// Counts one read. A key that first comes after `max_keys` others in one epoch is not hot.
    pub(super) fn record_read(&mut self, key: Key) {
        let keys = &mut self.current.reads_by_key;
        if keys.len() < self.max_keys || keys.contains_key(&key) {
            *keys.entry(key).or_insert(0) += 1;
        }
        self.current.reads += 1;
    }

    /// Over how many caches a key is spread, so that a hot key is no more than one cache can serve.
    /// `fair_share` is the share of all reads that the key's first cache has by its weight, `sparse` whether
    /// this proxy reads seldom.
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
        // A cache that is listed with next to no size makes this huge: there are no more than all caches.
        1 + extra.min(caches as f64) as usize
    }

    /// Keys counted in both epochs.
    pub(super) fn len(&self) -> usize {
        self.current.reads_by_key.len() + self.previous.reads_by_key.len()
    }
}
