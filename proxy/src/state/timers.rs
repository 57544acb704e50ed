//! The module's timers: one queue in the order in which they fall due.

use notchdoor::Micros;
use std::collections::BTreeMap;

/// The most timers that are kept; the module sets a few for each request that it holds.
const MAX_TIMERS: usize = 200_000;

/// One timer's place in the queue.
pub type TimerKey = (Micros, u64);

/// Timers by due time, those of one time in the order in which they were set.
#[derive(Default)]
pub struct Timers {
    queue: BTreeMap<TimerKey, u64>,
    next_serial: u64,
}

impl Timers {
    /// Sets a timer. `None` if the queue is full.
    pub fn set(&mut self, due: Micros, token: u64) -> Option<TimerKey> {
        let key = (due, self.next_serial);
        (self.queue.len() < MAX_TIMERS).then(|| {
            self.queue.insert(key, token);
            self.next_serial += 1;
            key
        })
    }

    /// Takes back a timer that nobody waits for any more.
    pub fn remove(&mut self, key: TimerKey) {
        self.queue.remove(&key);
    }

    /// The tokens of all that are set, in the order in which they fall due.
    pub fn tokens(&self) -> impl Iterator<Item = u64> + '_ {
        self.queue.values().copied()
    }

    /// How many are set.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether none is set.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// When the next one falls due.
    pub fn next_due(&self) -> Option<Micros> {
        self.queue.first_key_value().map(|(&(due, _), _)| due)
    }

    /// Takes the next one that has fallen due.
    pub fn pop(&mut self, now: Micros) -> Option<u64> {
        if self.next_due()? > now {
            return None;
        }
        self.queue.pop_first().map(|(_, token)| token)
    }
}

#[cfg(test)]
mod tests;
