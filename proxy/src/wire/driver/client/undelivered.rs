//! Estimates whether a client may still have to receive some of what was written to its socket.

use notchdoor::Micros;
use std::cell::Cell;

/// Output up to this length in bytes fits into any client's receive buffer, and is delivered at once.
const DELIVERED_AT_ONCE: usize = 16 * 1024;
/// The slowest rate at which a client is expected to receive, in bytes per second.
const MIN_RECEIVE_RATE: usize = 64 * 1024;
const MICROS_PER_SECOND: Micros = 1_000_000;

/// The estimate for one connection. Its system tells only what the socket took, not what the client has.
#[derive(Default)]
pub(super) struct UndeliveredOutput {
    bytes: Cell<usize>,
    at: Cell<Micros>,
}

impl UndeliveredOutput {
    /// Records that the socket took `n` bytes.
    pub(super) fn written(&self, now: Micros, n: usize) {
        self.bytes.set(self.bytes_at(now) + n);
        self.at.set(now);
    }

    /// Whether some of the output may still be on its way.
    pub(super) fn is_likely(&self, now: Micros) -> bool {
        self.bytes_at(now) > DELIVERED_AT_ONCE
    }

    fn bytes_at(&self, now: Micros) -> usize {
        let elapsed = now.saturating_sub(self.at.get());
        let received = elapsed.saturating_mul(MIN_RECEIVE_RATE as Micros) / MICROS_PER_SECOND;
        self.bytes.get().saturating_sub(received as usize)
    }
}

#[cfg(test)]
mod tests;
