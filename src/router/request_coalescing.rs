//! Coalesces reads: those that miss the same key at the same cache share one fetch, and then read the cache.

use super::backends::BackendIndex;
use crate::interface::{Key, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a shared fetch.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FetchKey {
    /// The key that was missed.
    pub(super) key: Key,
    /// The cache that missed it and stores the fetched value.
    pub(super) cache: BackendIndex,
}

/// The shared fetches in flight and the reads that wait for each.
#[derive(Default)]
pub(super) struct CoalescedFetches {
    waiters: BTreeMap<FetchKey, BTreeSet<RequestId>>,
}

impl CoalescedFetches {
    /// Registers a fetch in flight, so that other reads can wait for it.
    pub(super) fn start(&mut self, fetch: FetchKey) {
        self.waiters.entry(fetch).or_default();
    }

    /// Makes a read wait for a fetch if that is in flight; returns whether it waits. Drops waiters that are
    /// no longer open when at least half of them must be, so that clients that leave do not accumulate.
    pub(super) fn join(
        &mut self,
        fetch: FetchKey,
        id: RequestId,
        open_requests: usize,
        is_open: impl Fn(RequestId) -> bool,
    ) -> bool {
        let Some(waiters) = self.waiters.get_mut(&fetch) else { return false };
        if waiters.len() >= 2 * open_requests {
            waiters.retain(|&id| is_open(id));
        }
        waiters.insert(id);
        true
    }

    /// Removes a fetch and returns the reads that waited for it.
    pub(super) fn finish(&mut self, fetch: FetchKey) -> BTreeSet<RequestId> {
        self.waiters.remove(&fetch).unwrap_or_default()
    }

    /// Returns the number of fetches in flight.
    pub(super) fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns the number of waiting reads over all fetches.
    pub(super) fn waiters(&self) -> usize {
        self.waiters.values().map(BTreeSet::len).sum()
    }
}
