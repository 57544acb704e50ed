//! Counters since the start of the process, logged at exit and on SIGUSR1.

use crate::outcome::{AttemptOutcome, ConnectionEnd, DiscoveryEnd, COUNTER_PREFIX};
use std::collections::HashMap;
use std::hash::Hash;

/// How the requests of one class ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ByClass {
    /// Answered with a value or receipt.
    pub served: u64,
    /// Answered with an overload error.
    pub refused: u64,
    /// Answered with an error.
    pub failed: u64,
}

/// Counters since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Requests accepted from clients.
    pub taken: u64,
    /// Well-formed commands that were not accepted.
    pub rejected: u64,
    /// Attempts started.
    pub sent: u64,
    /// Attempts whose command was written completely, to a backend or to the origin.
    pub attempts: u64,
    /// How requests ended, by class in the order of the settings.
    pub classes: Vec<ByClass>,
    /// Requests whose client disconnected before the answer.
    pub left: u64,
    /// Client connections accepted.
    pub accepted: u64,
    /// Connections opened to backends and the origin.
    pub opened: u64,
    /// Attempts sent on an idle connection.
    pub reused: u64,
    /// Endpoint updates received from discovery.
    pub discovery_updates: u64,
    /// Watches started on discovery.
    pub watches: u64,
    /// Failed accepts of client connections.
    pub accept_errors: u64,
    /// Replies of backends that may have been second copies of earlier ones, and were checked by a fence.
    pub replies_checked: u64,
    /// Those of them that the fence did not confirm as the reply to the last command.
    pub replies_unconfirmed: u64,
    /// Large values that were kept until they were complete, since commands stood behind them.
    pub values_held: u64,
    /// Large values that were kept and begun before they were complete, since their time was nearly over.
    pub values_begun_at_deadline: u64,
    /// Large values that a further attempt continued after a break.
    pub values_resumed: u64,
    /// Further attempts whose value differed from the part that the client had.
    pub values_changed: u64,
    /// Replies that paused, or were in doubt, so that another attempt might be sent beside theirs.
    pub replies_stalled: u64,
    /// Requests that were refused, failed or cut off although a server had begun a reply, for lack of time.
    pub replies_given_up: u64,
    /// Requests rejected for lack of memory.
    pub rejected_no_room: u64,
    /// Large writes that were given up because their server did not take them in time.
    pub uploads_given_up: u64,
    /// Incomplete commands that were given up for lack of memory.
    pub commands_evicted: u64,
    attempt_outcomes: HashMap<AttemptOutcome, u64>,
    connection_ends: HashMap<ConnectionEnd, u64>,
    watch_ends: HashMap<DiscoveryEnd, u64>,
}

impl Counters {
    /// Counters at zero, for this number of request classes.
    pub fn new(classes: usize) -> Self {
        Counters { classes: vec![ByClass::default(); classes], ..Counters::default() }
    }

    /// The sum over all classes.
    pub fn all(&self) -> ByClass {
        self.classes.iter().fold(ByClass::default(), |all, c| ByClass {
            served: all.served + c.served,
            refused: all.refused + c.refused,
            failed: all.failed + c.failed,
        })
    }

    /// Counts the end of an attempt.
    pub fn attempt_ended(&mut self, outcome: AttemptOutcome) {
        *self.attempt_outcomes.entry(outcome).or_default() += 1;
    }

    /// Counts the end of a client connection.
    pub fn connection_ended(&mut self, end: ConnectionEnd) {
        *self.connection_ends.entry(end).or_default() += 1;
    }

    /// Counts the end of a watch on discovery.
    pub fn watch_ended(&mut self, end: DiscoveryEnd) {
        *self.watch_ends.entry(end).or_default() += 1;
    }

    /// The number of attempts that ended with this outcome.
    pub fn attempts_ended(&self, outcome: AttemptOutcome) -> u64 {
        count(&self.attempt_outcomes, outcome)
    }
}

impl Counters {
    /// All counters with their names, in the order in which they are logged.
    pub fn named(&self) -> Vec<(String, u64)> {
        let all = self.all();
        let named = [
            ("taken", self.taken),
            ("rejected", self.rejected),
            ("served", all.served),
            ("refused", all.refused),
            ("failed", all.failed),
            ("left", self.left),
            ("sent", self.sent),
            ("attempts", self.attempts),
            ("accepted", self.accepted),
            ("opened", self.opened),
            ("reused", self.reused),
            ("registry_updates", self.discovery_updates),
            ("watches", self.watches),
            ("accept_errors", self.accept_errors),
        ];
        let replies = [
            ("replies_checked".to_owned(), self.replies_checked),
            ("replies_unconfirmed".to_owned(), self.replies_unconfirmed),
            ("values_held".to_owned(), self.values_held),
            ("values_resumed".to_owned(), self.values_resumed),
            ("values_changed".to_owned(), self.values_changed),
            ("rejected_no_room".to_owned(), self.rejected_no_room),
            ("commands_evicted".to_owned(), self.commands_evicted),
            ("uploads_given_up".to_owned(), self.uploads_given_up),
            ("replies_stalled".to_owned(), self.replies_stalled),
            ("replies_given_up".to_owned(), self.replies_given_up),
            ("values_begun_at_deadline".to_owned(), self.values_begun_at_deadline),
        ];
        let attempts =
            AttemptOutcome::ALL.map(|outcome| (outcome.name(), count(&self.attempt_outcomes, outcome)));
        let connections = ConnectionEnd::ALL.map(|end| (end.name(), count(&self.connection_ends, end)));
        let watches = DiscoveryEnd::ALL.map(|end| (end.name(), count(&self.watch_ends, end)));
        let ends = attempts.into_iter().chain(connections).chain(watches);
        let ends = ends.map(|(name, n)| (format!("{COUNTER_PREFIX}{name}"), n));
        named.into_iter().map(|(name, n)| (name.to_owned(), n)).chain(ends).chain(replies).collect()
    }
}

fn count<K: Eq + Hash>(counts: &HashMap<K, u64>, key: K) -> u64 {
    counts.get(&key).copied().unwrap_or(0)
}
