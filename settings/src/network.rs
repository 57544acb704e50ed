//! What only a program with sockets of its own has to know of a deployment.

use notchdoor::Micros;

/// What only a program with sockets of its own has to know.
#[derive(Clone, Copy, Debug)]
pub struct NetworkSettings {
    /// A connection that is not up by then never comes up.
    pub connect_timeout: Micros,
    /// Workers close a connection that has stood idle for so long.
    pub idle_close: Micros,
    /// The longest deadline of any class.
    pub max_deadline: Micros,
    /// The time within which a started server is warm.
    pub warmup: Micros,
}

impl NetworkSettings {
    /// The longest that a request is held, whatever its client says: no client waits longer over all its attempts. A
    /// client that names an hour would have a silent worker hold its requests for as long.
    pub fn max_request_time(&self) -> Micros {
        if self.max_deadline == 0 {
            return Micros::MAX;
        }
        self.max_deadline.saturating_mul(DEADLINE_TOLERANCE_FACTOR)
    }
}

/// Clients' clocks and their own settings may differ from the deployment's by so much.
const DEADLINE_TOLERANCE_FACTOR: u64 = 2;
