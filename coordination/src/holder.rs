//! Lease validity as seen by the lease holder.
//!
//! A holder counts the TTL from when it *sent* its request and subtracts the drift bound and a margin. The
//! group counts from when it applied the entry, or from the election of a new leader. A lease therefore
//! always ends at the holder before the group frees the task.

use crate::lease::Millis;

/// Bounds on clock drift and on the delivery time of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drift {
    /// Maximum rate difference between the clocks of two processes, in parts per million.
    pub rate_ppm: u64,
    /// Maximum time in milliseconds for an action to reach the server it acts on.
    pub margin_ms: Millis,
}

impl Default for Drift {
    fn default() -> Self {
        Drift { rate_ppm: 10_000, margin_ms: 100 }
    }
}

impl Drift {
    /// Returns when, on the holder's clock, a lease of `ttl_ms` requested at `sent` ends. The drift counts
    /// twice, because the holder's clock may be slow and the leader's fast.
    pub fn act_until(&self, sent: Millis, ttl_ms: Millis) -> Millis {
        let shrink = ttl_ms.saturating_mul(self.rate_ppm.saturating_mul(2)) / 1_000_000;
        sent.saturating_add(ttl_ms.saturating_sub(shrink).saturating_sub(self.margin_ms))
    }

    /// Returns when to renew a lease requested at `sent`. A third of the TTL leaves time for two lost
    /// renewals.
    pub fn renew_at(&self, sent: Millis, ttl_ms: Millis) -> Millis {
        sent.saturating_add(ttl_ms / 3)
    }
}

#[cfg(test)]
mod tests;
