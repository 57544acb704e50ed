//! The queue of timers, ordered by due time.

use notchdoor::Micros;
use std::collections::BTreeMap;

/// Timers in the queue. Each request in flight sets a few.
const MAX_TIMERS: usize = 200_000;

/// Identifies a timer: its due time and its serial number.
pub type TimerKey = (Micros, u64);

/// Timers in order of due time. Timers of the same time are ordered as they were set.
#[derive(Default)]
pub struct Timers {
    queue: BTreeMap<TimerKey, u64>,
    next_serial: u64,
}

impl Timers {
    /// Adds a timer that returns `token` when due. `None` if the queue is full.
    pub fn set(&mut self, due: Micros, token: u64) -> Option<TimerKey> {
        let key = (due, self.next_serial);
        (self.queue.len() < MAX_TIMERS).then(|| {
            self.queue.insert(key, token);
            self.next_serial += 1;
            key
        })
    }

    /// Cancels a timer.
    pub fn remove(&mut self, key: TimerKey) {
        self.queue.remove(&key);
    }

    /// The tokens of all timers, in order of due time.
    pub fn tokens(&self) -> impl Iterator<Item = u64> + '_ {
        self.queue.values().copied()
    }

    /// The number of timers.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether there are no timers.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The due time of the first timer.
    pub fn next_due(&self) -> Option<Micros> {
        self.queue.first_key_value().map(|(&(due, _), _)| due)
    }

    /// Removes the first timer if it is due and returns its token.
    pub fn pop(&mut self, now: Micros) -> Option<u64> {
        if self.next_due()? > now {
            return None;
        }
        self.queue.pop_first().map(|(_, token)| token)
    }
}

#[cfg(test)]
mod tests;
