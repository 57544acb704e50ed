//! Settings of the proxy's connections.

use notchdoor::Micros;

/// Settings that only a program with its own sockets uses.
#[derive(Clone, Copy, Debug)]
pub struct NetworkSettings {
    /// Connect timeout.
    pub connect_timeout: Micros,
    /// Idle timeout after which backends close a connection.
    pub idle_close: Micros,
    /// Longest deadline of any class; 0 if no class has one.
    pub max_deadline: Micros,
    /// Time within which a started server is warm.
    pub warmup: Micros,
    /// Time after the notice of a drain in which the server may still be sent requests.
    pub drain_grace: Micros,
}

impl NetworkSettings {
    /// Longest time that a request may stay in flight, whatever deadline its client sends. Bounds how long a
    /// silent backend can block requests; unlimited if no class has a deadline.
    pub fn max_request_time(&self) -> Micros {
        if self.max_deadline == 0 {
            return Micros::MAX;
        }
        self.max_deadline.saturating_mul(DEADLINE_TOLERANCE_FACTOR)
    }
}

/// Tolerance for clients whose clocks or deadlines differ from the deployment's.
const DEADLINE_TOLERANCE_FACTOR: u64 = 2;
