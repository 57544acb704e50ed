//! The ids of requests that may have run and must not run again.
//!
//! A client gives each request an id of its own. One that comes again would run again: servers know an id only while its
//! request is open.

use notchdoor::Micros;
use std::collections::{HashMap, VecDeque};

/// Ids that are remembered, the latest ones.
pub const MAX_REQUEST_IDS: usize = 4096;

/// The digest of a request id, the same in every process and version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdDigest(pub u64);

impl IdDigest {
    /// The digest of this id.
    pub fn of(id: &[u8]) -> Self {
        IdDigest(notchdoor::key_hash(id))
    }
}

/// A remembered id.
struct Entry {
    /// When the first attempt that may have run was sent.
    sent_at: Micros,
    /// Tells this entry from earlier ones of the same id.
    serial: u64,
}

/// The latest [`MAX_REQUEST_IDS`] ids.
#[derive(Default)]
pub struct RequestIds {
    entries: HashMap<IdDigest, Entry>,
    /// The oldest first, with those that were forgotten since.
    order: VecDeque<(IdDigest, u64)>,
    next_serial: u64,
}

impl RequestIds {
    /// Remembers an id, whose first attempt that may have run was sent at `sent_at`. Keeps the time of an id that is known.
    pub fn remember(&mut self, id: IdDigest, sent_at: Micros) {
        if self.entries.contains_key(&id) {
            return;
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        self.entries.insert(id, Entry { sent_at, serial });
        self.order.push_back((id, serial));
        if self.order.len() > MAX_REQUEST_IDS {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((id, serial)) = self.order.pop_front() else { return };
        if self.entries.get(&id).is_some_and(|entry| entry.serial == serial) {
            self.entries.remove(&id);
        }
    }

    /// Forgets an id.
    pub fn forget(&mut self, id: IdDigest) {
        self.entries.remove(&id);
    }

    /// When the first attempt that may have run was sent under this id; `None` if the id is not remembered.
    pub fn sent_at(&self, id: IdDigest) -> Option<Micros> {
        self.entries.get(&id).map(|entry| entry.sent_at)
    }

    /// Whether the id is remembered.
    pub fn contains(&self, id: IdDigest) -> bool {
        self.entries.contains_key(&id)
    }
}

#[cfg(test)]
mod tests;
