//! Retry pacing for clients that wait for a held task.
//!
//! Few clients retry every third of the TTL. The more clients wait, the longer the returned delay, so that
//! the request rate per task stays near a target.

use crate::lease::Millis;

/// Target rate of acquire requests for one held task, per second.
const WANTED_PER_S: u64 = 50;
/// Period over which requests are counted before the delay is adjusted.
const SPAN: Millis = 1_000;
/// Maximum delay, as a multiple of the TTL.
const MOST_TTLS: u64 = 2;

/// Request rate and retry delay for one held task.
#[derive(Clone, Debug, Default)]
pub struct RetryPacer {
    since: Millis,
    asks: u64,
    wait: Millis,
}

impl RetryPacer {
    /// Counts a request received at `now` and returns the delay after which the client retries, in
    /// milliseconds.
    pub fn again(&mut self, ttl_ms: Millis, left_ms: Millis, now: Millis) -> Millis {
        let (least, most) = (ttl_ms / 3, MOST_TTLS * ttl_ms);
        self.wait = self.wait.clamp(least, most);
        self.asks += 1;
        let over = now.saturating_sub(self.since);
        if over >= SPAN {
            // The delay is proportional to the rate, and moves half of the way to damp oscillation.
            let rate = self.asks * 1_000 / over;
            let right = (self.wait * rate / WANTED_PER_S).clamp(least, most);
            self.wait = (self.wait + right) / 2;
            (self.since, self.asks) = (now, 0);
        }
        if self.wait == least {
            // With few clients, all of them may retry as soon as the grant is due to expire.
            return least.min(left_ms);
        }
        self.wait
    }
}

#[cfg(test)]
mod tests;
