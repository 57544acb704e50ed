//! Whether more was sent, over any window of a stated length, than could be borne: for a cold backend that
//! falls over, and for the origin that stops.

use crate::time::{Time, MS};
use std::collections::VecDeque;

/// Time is counted in steps of this length.
const BUCKET_LENGTH: Time = 50 * MS;

#[derive(Clone, Copy, Default)]
struct Bucket {
    at: Time,
    sent: f64,
    attributed: f64,
    capacity: f64,
    expected: f64,
}

/// Work sent against work that could be borne, over a sliding window.
pub struct OverloadDetector {
    window: Time,
    multiple: f64,
    /// Work beyond the multiple that chance may bring.
    slack: f64,
    buckets: VecDeque<Bucket>,
    sum: Bucket,
}

/// What a window came to when it was overdrawn. All in work, microseconds of a standard core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// Work sent within the window.
    pub sent: f64,
    /// That part of it that somebody is to blame for.
    pub attributed: f64,
    /// What could have been borne once, multiples apart.
    pub capacity: f64,
    /// The work that was due here, if the caller said how much.
    pub expected: f64,
}

impl OverloadDetector {
    /// Sent more than `multiple` times the capacity over `window`, and `slack` more, it is overdrawn.
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
        // What was not asked about was idle, but able: it counts in full.
        from = from.max((at + BUCKET_LENGTH).saturating_sub(self.window).min(at));
        while from <= at {
            let added = capacity * BUCKET_LENGTH as f64;
            self.buckets.push_back(Bucket { at: from, capacity: added, ..Bucket::default() });
            self.sum.capacity += added;
            from += BUCKET_LENGTH;
        }
        self.buckets.back_mut().expect("pushed above")
    }

    /// Counts `work` sent at `now`, while `capacity` microseconds of work are done in one; `blamed` of it is
    /// somebody's fault and `due` of it was to be expected here. Says so if that overdraws the budget. The
    /// budget of a whole window is granted from the start, as a burst may use it up at once.
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

    /// Begins anew.
    pub fn clear(&mut self) {
        self.buckets.clear();
        self.sum = Bucket::default();
    }
}
