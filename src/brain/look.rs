//! What a balancer holds, to look at: for checks and charts. Nothing is decided here.

use super::Brain;
use crate::interface::{ServerId, ServerState};

/// What a balancer holds at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Look {
    /// Requests held: open, or over with attempts still out.
    pub held: usize,
    /// Attempts that it counts as out, at all servers.
    pub out: u64,
    /// Fetches that same-key misses wait for, and the reads that wait.
    pub flights: usize,
    /// Reads that wait for a flight.
    pub waiting: usize,
    /// Servers that it has a record of, gone ones included.
    pub servers: usize,
    /// Keys counted in this epoch and the one before.
    pub keys: usize,
    /// The origin's window W.
    pub window: f64,
    /// Servers passed over for now.
    pub ejected: usize,
    /// Passes over the whole fleet so far, to judge who is to be passed over.
    pub passes: u64,
}

impl Brain {
    /// Counts what this balancer holds. Costs time in proportion to it.
    pub fn look(&self) -> Look {
        Look {
            held: self.held.len(),
            out: self.servers.iter().map(|s| u64::from(s.out)).sum(),
            flights: self.flights.len(),
            waiting: self.flights.values().map(|w| w.len()).sum(),
            servers: self.servers.len(),
            keys: self.counts.iter().map(|c| c.len()).sum(),
            window: self.window.w,
            ejected: self.servers.iter().filter(|s| s.health.ejected).count(),
            passes: self.passes,
        }
    }

    /// The servers in the list that are passed over by choice, for what their own outcomes tell.
    pub fn avoided(&self) -> impl Iterator<Item = ServerId> + '_ {
        let listed = self.servers.iter().filter(|s| s.member.state != ServerState::Gone);
        listed.filter(|s| s.health.ejected).map(|s| s.member.server)
    }

    /// Requests held, and attempts that the windows count as out: what [`Brain::look`] says of these, in no time.
    pub fn load(&self) -> (usize, u64) {
        (self.held.len(), u64::from(self.window.out) + u64::from(self.pool.out))
    }
}
