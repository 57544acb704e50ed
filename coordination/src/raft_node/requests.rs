//! Client requests: answered at once, refused, or proposed to the log.

use super::{Origin, Proposal, RaftNode, ReadKind};
use crate::lease::Command;
use crate::log_storage::LogStorage;
use crate::protocol::{Answer, Request};
use crate::shard_map::ShardMapChange;
use crate::state_machine::LogCommand;

impl<S: LogStorage> RaftNode<S> {
    /// Processes a client request numbered `req`. Returns an answer if there is one at once; otherwise a
    /// later [`RaftNode::advance`] returns it.
    pub fn ask(&mut self, req: u64, request: Request) -> Option<Answer> {
        if let Some(answer) = self.answer_at_once(&request) {
            return Some(answer);
        }
        if !self.leads() {
            return Some(self.not_leader());
        }
        let later = Some(Answer::Later { retry_after_ms: self.pace.tick_ms * 2 });
        let reads = self.queued_reads.len() + self.reads.values().map(|r| r.asked.len()).sum::<usize>();
        if self.waiting.len() + reads >= self.pace.max_waiting || self.waiting.contains(&req) {
            return later;
        }
        let entry = match request {
            Request::Lease(command) => {
                if let Some(refused) = self.held_by_another(&command) {
                    return Some(refused);
                }
                LogCommand::Lease(command)
            }
            Request::Enlist { id, number } => LogCommand::Enlist { id, number },
            Request::Copies(change) => LogCommand::Copies(change),
            Request::Table { node, have } => return self.read(req, ReadKind::Table(node, have)),
            Request::Propose { base, rules } => match rules.outside(&self.guard) {
                // A proxy in safe mode blocks everything the guard covers. Versions within the guard
                // therefore never block more than safe mode.
                Some((field, name)) => {
                    return Some(Answer::Refused(format!(
                        "{field}: '{name}' is not covered by versions.guard"
                    )))
                }
                None => LogCommand::Propose { base, rules },
            },
            Request::List { task } => return self.read(req, ReadKind::Grants(task)),
            Request::Versions => return self.read(req, ReadKind::Versions),
            Request::Confirm { have } => return self.read(req, ReadKind::Confirmation(have)),
            Request::Add(at) => return self.request_add(req, at),
            Request::Remove { id } => return self.request_remove(req, id),
            Request::Status | Request::Members | Request::Hello => return None,
        };
        match self.propose(self.origin, req, entry) {
            Ok(()) => {
                self.waiting.insert(req);
                None
            }
            Err(_) => later,
        }
    }

    /// Returns the answers that need no leader, and refuses commands that clients may not send.
    fn answer_at_once(&self, request: &Request) -> Option<Answer> {
        let refused = |why: &str| Some(Answer::Refused(why.to_owned()));
        match request {
            Request::Status => Some(Answer::Status(Box::new(self.status()))),
            Request::Members => {
                let members = self.state.book.members().values();
                Some(Answer::Members(members.map(|m| (m.at.id, m.at.client)).collect()))
            }
            // The host answers `Hello` during startup, because it knows the founding members.
            Request::Hello => refused("this member is already running"),
            // Only the leader may expire a grant, based on its own clock.
            Request::Lease(Command::Expire { .. }) => refused("clients may not expire leases"),
            Request::Copies(ShardMapChange::Down { .. }) => refused("only the leader may mark nodes as down"),
            _ => None,
        }
    }

    /// Returns the known leader and its client address.
    fn not_leader(&self) -> Answer {
        let leader = Some(self.leader()).filter(|&l| l != 0);
        let at = leader.and_then(|l| self.state.book.members().get(&l)).map(|m| m.at.client);
        Answer::NotLeader { leader, at }
    }

    /// Refuses an acquire of a held task without a log entry. An outdated refusal is harmless: the client
    /// only retries later. This keeps waiting clients from filling the log.
    pub(super) fn held_by_another(&mut self, command: &Command) -> Option<Answer> {
        let Command::Acquire { task, holder, .. } = command else { return None };
        let grant = self.state.leases.grants().get(task).filter(|g| g.holder != *holder)?;
        let left_ms = self.expiries.left(task, self.now);
        let pacer = self.retry_pacers.entry(task.clone()).or_default();
        let again_ms = pacer.next_delay(grant.ttl_ms, left_ms.unwrap_or(grant.ttl_ms), self.now);
        Some(Answer::Held { holder: grant.holder.clone(), left_ms, again_ms })
    }

    pub(super) fn propose(&mut self, origin: Origin, req: u64, entry: LogCommand) -> raft::Result<()> {
        let data = serde_json::to_vec(&Proposal { origin, req, entry }).unwrap_or_default();
        self.node.propose(Vec::new(), data)
    }
}
