//! Time-based proposals of the leader, and the state reset when the leader changes.

use super::{Event, Origin, RaftNode};
use crate::log_storage::LogStorage;
use crate::protocol::Answer;
use crate::shard_map::{NodeId, ShardMapChange};
use crate::state_machine::LogCommand;
use rand::RngExt;

impl<S: LogStorage> RaftNode<S> {
    /// Proposes to bring the pending version into force once its delay has passed.
    pub(super) fn propose_force(&mut self) {
        let Some(number) = self.state.versions.next().map(|v| v.number) else { return };
        if !self.forced && self.now >= self.pending_since + self.terms.delay_ms() {
            self.forced = self.propose(Origin::default(), 0, LogCommand::Force { number }).is_ok();
        }
    }

    /// Draws the election timeout from the node's own generator. raft-rs uses the thread's generator, which
    /// would make simulations irreproducible.
    pub(super) fn randomize_election_timeout(&mut self) {
        let (term, role) = (self.node.raft.term, self.node.raft.state);
        if (self.election_timeout.1, self.election_timeout.2) != (term, role) {
            let least = self.pace.election_ticks;
            self.election_timeout = (self.rng.random_range(least..2 * least), term, role);
        }
        self.node.raft.set_randomized_election_timeout(self.election_timeout.0);
    }

    pub(super) fn role_changed(&mut self, leader: u64) {
        if leader == self.leader {
            return;
        }
        self.leader = leader;
        if leader != 0 {
            self.out.events.push(Event::Leader { id: leader, term: self.node.raft.term });
        }
        if leader == self.id() {
            // The elapsed time of the last leader is unknown, so every grant gets a full TTL.
            self.expiries.restart(&self.state.leases, self.now);
            self.proposed_expiries.clear();
            self.retry_pacers.clear();
            (self.pending_since, self.forced) = (self.now, false);
            // The confirmations given by the last leader are unknown, too.
            self.leads_since = self.now;
            self.confirmed.clear();
            self.proposed_down.clear();
        } else {
            // Entries proposed here may still commit under the new leader. Clients retry, and every request
            // is idempotent.
            let lost = std::mem::take(&mut self.waiting);
            let queued_reads = std::mem::take(&mut self.queued_reads);
            let reads = std::mem::take(&mut self.reads).into_values().flat_map(|r| r.asked);
            let reads = reads.chain(queued_reads).map(|(req, _)| req);
            let change = self.changing.take().map(|(req, _)| req).filter(|&req| req != 0);
            let wait = self.pace.tick_ms * self.pace.election_ticks as u64;
            let later = |req| (req, Answer::Later { retry_after_ms: wait });
            self.out.answers.extend(lost.into_iter().chain(reads).chain(change).map(later));
        }
    }

    /// Proposes to mark nodes as down that were not confirmed for longer than any confirmation is valid.
    pub(super) fn propose_down(&mut self) {
        let (since, now, silent) = (self.leads_since, self.now, self.terms.delay_ms());
        let heard = |id: &NodeId| self.confirmed.get(id).copied().unwrap_or(since).max(since);
        let gone: Vec<_> = self.state.shards.up().filter(|(id, _)| now >= heard(id) + silent).collect();
        for (id, start) in gone {
            if self.proposed_down.insert((id, start)) {
                // Proposed without an origin: no client waits for this entry.
                let down = LogCommand::Copies(ShardMapChange::Down { id, start });
                if self.propose(Origin::default(), 0, down).is_err() {
                    self.proposed_down.remove(&(id, start));
                }
            }
        }
    }
}
