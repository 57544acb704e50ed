//! What the proxy counts, printed at exit and on SIGUSR1.

use crate::ending::Ending;
use std::collections::HashMap;

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

impl Counters {
    /// Every count with its name, in the order in which they are printed.
    pub fn figures(&self) -> Vec<(String, u64)> {
        let named = [
            ("taken", self.taken),
            ("rejected", self.rejected),
            ("served", self.served),
            ("refused", self.refused),
            ("failed", self.failed),
            ("left", self.left),
            ("sent", self.sent),
            ("accepted", self.accepted),
            ("opened", self.opened),
            ("reused", self.reused),
            ("registry_updates", self.registry_updates),
            ("watches", self.watches),
            ("accept_errors", self.accept_errors),
        ];
        let endings = Ending::ALL.iter().map(|e| (format!("ending_{}", e.name()), self.endings(*e)));
        named.into_iter().map(|(name, n)| (name.to_owned(), n)).chain(endings).collect()
    }
}
