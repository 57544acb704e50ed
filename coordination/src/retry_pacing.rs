//! Retry pacing for clients that wait for a held task.
//!
//! Few clients retry every third of the TTL. The more clients wait, the longer the returned delay, so that
//! the request rate per task stays near a target.

use crate::lease::Millis;

/// Target rate of acquire requests for one held task, per second.
const TARGET_REQUESTS_PER_S: u64 = 50;
/// Period over which requests are counted before the delay is adjusted.
const COUNT_PERIOD_MS: Millis = 1_000;
/// Maximum delay, as a multiple of the TTL: some client asks by then even if all others are gone.
const MAX_DELAY_TTLS: u64 = 2;

/// Request rate and retry delay for one held task.
#[derive(Clone, Debug, Default)]
pub struct RetryPacer {
    since: Millis,
    requests: u64,
    wait: Millis,
}

impl RetryPacer {
    /// Counts a request received at `now` and returns the delay after which the client retries, in
    /// milliseconds.
    pub fn next_delay(&mut self, ttl_ms: Millis, left_ms: Millis, now: Millis) -> Millis {
        let (least, most) = (ttl_ms / 3, MAX_DELAY_TTLS * ttl_ms);
        self.wait = self.wait.clamp(least, most);
        self.requests += 1;
        let over = now.saturating_sub(self.since);
        if over >= COUNT_PERIOD_MS {
            // The delay is proportional to the rate, and moves half of the way to damp oscillation.
            let rate = self.requests * 1_000 / over;
            let target = (self.wait * rate / TARGET_REQUESTS_PER_S).clamp(least, most);
            self.wait = (self.wait + target) / 2;
            (self.since, self.requests) = (now, 0);
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
