//! Applies committed entries to the replicated state, at startup and after each round.

use super::{decoded, Event, Proposal, RaftNode, RoundOutput};
use crate::lease::{task_of, Command};
use crate::log_storage::LogStorage;
use crate::protocol::Answer;
use crate::shard_map::{ShardMapChange, ShardMapOutcome};
use crate::state_machine::LogCommand;
use crate::versioned_config::ProposalOutcome;
use raft::eraftpb::{ConfChange, ConfChangeV2, Entry, EntryType};

impl<S: LogStorage> RaftNode<S> {
    /// Restores the state at startup: the stored snapshot first, then the committed entries after it. The
    /// Raft configuration is stored separately and already loaded by raft-rs.
    pub(super) fn replay(&mut self, upto: u64) -> raft::Result<()> {
        let snapshot = self.node.store().snapshot(0, 0)?;
        if !snapshot.get_data().is_empty() {
            self.state = decoded(&snapshot)?;
        }
        let first = self.node.store().first_index()?;
        if upto >= first {
            let entries =
                self.node.store().entries(first, upto + 1, None, raft::GetEntriesContext::empty(false))?;
            for entry in entries {
                match entry.get_entry_type() {
                    EntryType::EntryNormal => self.apply_normal(&entry),
                    EntryType::EntryConfChange => self.update_membership::<ConfChange>(&entry),
                    EntryType::EntryConfChangeV2 => self.update_membership::<ConfChangeV2>(&entry),
                }
            }
        }
        self.out = RoundOutput::default();
        Ok(())
    }

    pub(super) fn apply(&mut self, entries: Vec<Entry>) -> raft::Result<()> {
        for entry in entries {
            match entry.get_entry_type() {
                EntryType::EntryNormal => self.apply_normal(&entry),
                EntryType::EntryConfChange => self.apply_change::<ConfChange>(&entry)?,
                EntryType::EntryConfChangeV2 => self.apply_change::<ConfChangeV2>(&entry)?,
            }
        }
        Ok(())
    }

    pub(super) fn apply_normal(&mut self, entry: &Entry) {
        // The first entry of a new leader is empty.
        let Ok(proposal) = serde_json::from_slice::<Proposal>(entry.get_data()) else { return };
        let answer = match proposal.entry {
            LogCommand::Lease(command) => self.apply_lease(entry.index, command),
            LogCommand::Enlist { id, number } => Answer::Enlisted(self.state.book.enlist(id, number)),
            LogCommand::Copies(change) => {
                if let ShardMapChange::Down { id, start } = change {
                    self.proposed_down.remove(&(id, start));
                }
                if let ShardMapChange::Join { at, .. } = &change {
                    self.confirmed.insert(at.id, self.now);
                }
                let changed = self.state.shards.apply(&change);
                if changed == ShardMapOutcome::Done {
                    self.out.events.push(Event::Copies { index: entry.index, change });
                }
                Answer::Copies(changed)
            }
            LogCommand::Propose { base, rules } => {
                let outcome = self.state.versions.propose(base, &rules);
                if matches!(outcome, ProposalOutcome::Pending { .. }) {
                    (self.pending_since, self.forced) = (self.now, false);
                }
                self.out.events.push(Event::Proposed { index: entry.index, outcome: outcome.clone() });
                Answer::Proposed(outcome)
            }
            LogCommand::Force { number } => {
                if self.state.versions.force(number) {
                    self.out.events.push(Event::InForce { number });
                }
                return;
            }
        };
        if proposal.origin == self.origin && self.waiting.remove(&proposal.req) {
            self.out.answers.push((proposal.req, answer));
        }
    }

    pub(super) fn apply_lease(&mut self, index: u64, command: Command) -> Answer {
        let outcome = self.state.leases.apply(index, &command, &self.bounds);
        let task = task_of(&command);
        self.expiries.follow(task, &outcome, &self.state.leases, self.now);
        if !self.state.leases.grants().contains_key(task) {
            self.retry_pacers.remove(task);
        }
        let left_ms = self.expiries.left(task, self.now);
        if let Command::Expire { task, token, as_of } = &command {
            self.proposed_expiries.remove(&(task.clone(), *token, *as_of));
        }
        self.out.events.push(Event::Applied { index, command, outcome: outcome.clone() });
        Answer::Done { outcome, left_ms }
    }

    /// Returns the replicated state serialized for a snapshot.
    pub fn snapshot_data(&self) -> Vec<u8> {
        serde_json::to_vec(&self.state).unwrap_or_default()
    }
}
