//! Linearizable reads. All reads received before a round share one read-index confirmation.

use super::{PendingRead, RaftNode, ReadKind};
use crate::lease::Grant;
use crate::log_storage::LogStorage;
use crate::protocol::{Answer, LeaseInfo};
use crate::shard_map::{NodeId, ShardMapConfirmation};

impl<S: LogStorage> RaftNode<S> {
    pub(super) fn read(&mut self, req: u64, what: ReadKind) -> Option<Answer> {
        // raft-rs drops read-index requests until the leader has committed an entry of its term.
        if !self.node.raft.commit_to_current_term() {
            return Some(Answer::Later { retry_after_ms: self.pace.tick_ms * 2 });
        }
        self.queued_reads.push((req, what));
        None
    }

    /// Requests one read-index confirmation for all reads received since the last round.
    pub(super) fn confirm_queued_reads(&mut self) {
        if self.queued_reads.is_empty() {
            return;
        }
        self.batch += 1;
        let until = self.now + self.pace.tick_ms * self.pace.election_ticks as u64;
        let asked = std::mem::take(&mut self.queued_reads);
        self.reads.insert(self.batch, PendingRead { asked, until, index: None });
        self.node.read_index(self.batch.to_be_bytes().to_vec());
    }

    /// Answers the reads whose index is applied, and asks clients to retry those that were not confirmed
    /// within an election timeout.
    pub(super) fn answer_reads(&mut self) {
        let (applied, now) = (self.node.raft.raft_log.applied, self.now);
        let done = |read: &PendingRead| read.index.is_some_and(|index| index <= applied) || read.until <= now;
        let ended: Vec<u64> = self.reads.iter().filter(|(_, read)| done(read)).map(|(req, _)| *req).collect();
        for req in ended {
            let Some(read) = self.reads.remove(&req) else { continue };
            let confirmed = read.index.is_some_and(|index| index <= applied);
            for (req, what) in read.asked {
                let versions = &self.state.versions;
                let answer = match what {
                    _ if !confirmed => Answer::Later { retry_after_ms: self.pace.tick_ms * 2 },
                    ReadKind::Grants(task) => Answer::Listing(self.list_grants(task.as_deref())),
                    ReadKind::Versions => Answer::Versions(versions.clone()),
                    ReadKind::Confirmation(have) => {
                        let pending = self.now.saturating_sub(self.pending_since);
                        Answer::Confirmed(versions.confirm(have, &self.terms, pending))
                    }
                    ReadKind::Table(node, have) => Answer::Table(self.shard_map_confirmation(node, have)),
                };
                self.out.answers.push((req, answer));
            }
        }
    }

    /// Returns the shard map for the requester. The requesting node is not marked down before this
    /// confirmation has expired.
    pub(super) fn shard_map_confirmation(
        &mut self,
        node: Option<(NodeId, u64)>,
        have: u64,
    ) -> ShardMapConfirmation {
        let shards = &self.state.shards;
        // A node that is proposed to be marked down is no longer confirmed and has to join again.
        let up = node.is_none_or(|n| shards.up().any(|up| up == n) && !self.proposed_down.contains(&n));
        if let Some((id, _)) = node.filter(|_| up) {
            self.confirmed.insert(id, self.now);
        }
        let newer = shards.version() > have || have == 0;
        ShardMapConfirmation {
            good_ms: self.terms.good_ms(),
            version: shards.version(),
            table: newer.then(|| Box::new(shards.clone())),
            up,
        }
    }

    pub(super) fn list_grants(&self, task: Option<&str>) -> Vec<LeaseInfo> {
        let grants = self.state.leases.grants().iter().filter(|(name, _)| task.is_none_or(|t| t == *name));
        let lease_info = |(task, grant): (&String, &Grant)| LeaseInfo {
            task: task.clone(),
            grant: grant.clone(),
            left_ms: self.expiries.left(task, self.now),
        };
        grants.map(lease_info).collect()
    }
}
