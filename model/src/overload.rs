//! Detects that more work was sent within a sliding window than a machine can bear. Used for warming backends
//! and for the origin.

use crate::time::{Time, MS};
use std::collections::VecDeque;

/// Resolution of the sliding window.
const BUCKET_LENGTH: Time = 50 * MS;

#[derive(Clone, Copy, Default)]
struct Bucket {
    at: Time,
    sent: f64,
    attributed: f64,
    capacity: f64,
    expected: f64,
}

/// Compares sent work with capacity over a sliding window.
pub struct OverloadDetector {
    window: Time,
    multiple: f64,
    /// Work allowed beyond the multiple of the capacity.
    slack: f64,
    buckets: VecDeque<Bucket>,
    sum: Bucket,
}

/// Sums over an overloaded window, in microseconds of a standard core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// Work sent.
    pub sent: f64,
    /// Part of `sent` that the sender is responsible for.
    pub attributed: f64,
    /// Capacity of the window, without the allowed multiple.
    pub capacity: f64,
    /// Work that was expected here, if the caller recorded any.
    pub expected: f64,
}

impl OverloadDetector {
    /// Creates a detector that reports more than `multiple` times the capacity of `window` plus `slack`.
    pub fn new(window: Time, multiple: f64, slack: f64) -> Self {
        OverloadDetector { window, multiple, slack, buckets: VecDeque::new(), sum: Bucket::default() }
    }

    fn bucket(&mut self, now: Time, capacity: f64) -> &mut Bucket {
        let at = now / BUCKET_LENGTH * BUCKET_LENGTH;
        while self.buckets.front().is_some_and(|bucket| bucket.at + self.window <= at) {
            if let Some(old) = self.buckets.pop_front() {
                self.sum.sent -= old.sent;
                self.sum.attributed -= old.attributed;
                self.sum.capacity -= old.capacity;
                self.sum.expected -= old.expected;
            }
        }
        let mut from = self.buckets.back().map_or(at, |bucket| bucket.at + BUCKET_LENGTH);
        // Time without calls counts with full capacity.
        from = from.max((at + BUCKET_LENGTH).saturating_sub(self.window).min(at));
        while from <= at {
            let added = capacity * BUCKET_LENGTH as f64;
            self.buckets.push_back(Bucket { at: from, capacity: added, ..Bucket::default() });
            self.sum.capacity += added;
            from += BUCKET_LENGTH;
        }
        self.buckets.back_mut().expect("a bucket was pushed above")
    }

    /// Records `work` sent at `now`, while `capacity` is done per microsecond; `attributed` and `expected` as
    /// in [`Overload`]. Returns the sums if the window is overloaded.
    ///
    /// The capacity of a whole window is available from the start, for bursts.
    pub fn record(
        &mut self,
        now: Time,
        capacity: f64,
        work: f64,
        attributed: f64,
        expected: f64,
    ) -> Option<Overload> {
        let bucket = self.bucket(now, capacity);
        bucket.sent += work;
        bucket.attributed += attributed;
        bucket.expected += expected;
        self.sum.sent += work;
        self.sum.attributed += attributed;
        self.sum.expected += expected;
        let granted = self.sum.capacity.max(capacity * self.window as f64);
        (self.sum.sent > self.multiple * granted + self.slack).then_some(Overload {
            sent: self.sum.sent,
            attributed: self.sum.attributed,
            capacity: granted,
            expected: self.sum.expected,
        })
    }

    /// Forgets all recorded work.
    pub fn clear(&mut self) {
        self.buckets.clear();
        self.sum = Bucket::default();
    }
}
