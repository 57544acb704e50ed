//! What the proxy counts, printed at exit and on SIGUSR1.

use crate::ending::Ending;
use std::collections::HashMap;
use std::fmt;

/// Counts since the start.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Requests taken from clients.
    pub taken: u64,
    /// Commands in a known form that were not taken.
    pub rejected: u64,
    /// Delegations begun.
    pub sent: u64,
    /// Requests answered with a value or receipt.
    pub served: u64,
    /// Requests answered with an overload reply.
    pub refused: u64,
    /// Requests answered with an error.
    pub failed: u64,
    /// Requests whose client left before the answer.
    pub left: u64,
    /// Client connections accepted.
    pub accepted: u64,
    /// Connections to workers and the origin opened.
    pub opened: u64,
    /// Delegations that went out on a connection that was there.
    pub reused: u64,
    /// Lists and changes that the registry sent.
    pub registry_updates: u64,
    /// Watches begun.
    pub watches: u64,
    /// Failures to accept a connection.
    pub accept_errors: u64,
    endings: HashMap<Ending, u64>,
}

impl Counters {
    /// Counts one ending.
    pub fn ended(&mut self, ending: Ending) {
        *self.endings.entry(ending).or_default() += 1;
    }

    /// How often a connection or a delegation ended so.
    pub fn endings(&self, ending: Ending) -> u64 {
        self.endings.get(&ending).copied().unwrap_or(0)
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "taken={} rejected={} served={} refused={} failed={} left={} sent={} accepted={} opened={} reused={} \
             registry_updates={} watches={} accept_errors={}",
            self.taken,
            self.rejected,
            self.served,
            self.refused,
            self.failed,
            self.left,
            self.sent,
            self.accepted,
            self.opened,
            self.reused,
            self.registry_updates,
            self.watches,
            self.accept_errors
        )?;
        for ending in Ending::ALL {
            write!(f, " ending_{}={}", ending.name(), self.endings(ending))?;
        }
        Ok(())
    }
}
