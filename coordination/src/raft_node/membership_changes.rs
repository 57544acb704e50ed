//! Membership changes: request checks, proposals (one at a time) and their application.

use super::{Event, RaftNode, MAX_PROMOTION_LAG_ENTRIES};
use crate::log_storage::LogStorage;
use crate::membership::{MemberAddr, MAX_MEMBERS};
use crate::protocol::Answer;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2, Entry};
use raft_proto::ConfChangeI;

impl<S: LogStorage> RaftNode<S> {
    pub(super) fn request_add(&mut self, req: u64, at: MemberAddr) -> Option<Answer> {
        let book = &self.state.book;
        if book.members().get(&at.id).is_some_and(|m| m.at == at) {
            // A retry of a change that was already applied.
            return Some(Answer::Changed);
        }
        if at.id <= book.highest() {
            let told = format!("id {}: the id of a new member must be above {}", at.id, book.highest());
            return Some(Answer::Refused(told));
        }
        if book.members().len() >= MAX_MEMBERS {
            return Some(Answer::Refused(format!("a group may have at most {MAX_MEMBERS} members")));
        }
        let context = serde_json::to_vec(&at).unwrap_or_default();
        self.change(req, at.id, ConfChangeType::AddLearnerNode, context)
    }

    pub(super) fn request_remove(&mut self, req: u64, id: u64) -> Option<Answer> {
        let members = self.state.book.members();
        if !members.contains_key(&id) {
            return Some(Answer::Changed);
        }
        if !members.values().any(|m| m.voter && m.at.id != id) {
            return Some(Answer::Refused(format!("member {id} is the last voter and cannot be removed")));
        }
        if id == self.id() {
            // Transfer leadership first; the caller retries at the new leader.
            self.transfer_leadership();
            return Some(Answer::Later { retry_after_ms: self.pace.tick_ms * 5 });
        }
        self.change(req, id, ConfChangeType::RemoveNode, Vec::new())
    }

    /// Proposes a change of one member. Returns `Later` while another change is in progress.
    pub(super) fn change(
        &mut self,
        req: u64,
        id: u64,
        kind: ConfChangeType,
        context: Vec<u8>,
    ) -> Option<Answer> {
        let later = Some(Answer::Later { retry_after_ms: self.pace.tick_ms * 5 });
        if self.node.raft.has_pending_conf() {
            return later;
        }
        let mut single = ConfChangeSingle::default();
        single.set_change_type(kind);
        single.node_id = id;
        let change =
            ConfChangeV2 { changes: vec![single].into(), context: context.into(), ..Default::default() };
        match self.node.propose_conf_change(Vec::new(), change) {
            Ok(()) => {
                self.changing = Some((req, id));
                None
            }
            Err(_) => later,
        }
    }

    /// Proposes to make a learner a voter if it has caught up.
    pub(super) fn promote(&mut self) {
        if self.node.raft.has_pending_conf() {
            return;
        }
        let last = self.node.raft.raft_log.last_index();
        let ready = |id: u64| {
            self.node
                .raft
                .prs()
                .get(id)
                .is_some_and(|p| p.recent_active && p.matched + MAX_PROMOTION_LAG_ENTRIES >= last)
        };
        // Learners without an enlisted store are not running yet.
        let mut learners = self.state.book.members().values().filter(|m| !m.voter && m.number.is_some());
        if let Some(id) = learners.find(|m| ready(m.at.id)).map(|m| m.at.id) {
            let _ = self.change(0, id, ConfChangeType::AddNode, Vec::new());
        }
    }

    /// Applies a membership change in either of raft-rs's encodings, and stores the new configuration.
    pub(super) fn apply_change<C: ConfChangeI + protobuf::Message>(
        &mut self,
        entry: &Entry,
    ) -> raft::Result<()> {
        self.update_membership::<C>(entry);
        // raft-rs replaces a change with an empty entry if another one was in progress.
        let Ok(change) = C::parse_from_bytes(entry.get_data()) else { return Ok(()) };
        let goes = |c: &ConfChangeSingle| {
            c.get_change_type() == ConfChangeType::RemoveNode && c.node_id == self.node.raft.id
        };
        if self.leads() && change.as_v2().changes.iter().any(goes) {
            // This member was elected while its removal was in progress. raft-rs panics on a leader that is
            // not a member. As a follower, it still votes for members that have not applied the removal.
            let term = self.node.raft.term;
            self.node.raft.become_follower(term, raft::INVALID_ID);
        }
        if let Ok(conf) = self.node.apply_conf_change(&change) {
            self.changed = true;
            self.node.store().set_conf_state_at(conf, entry.index)?;
        }
        let ids: Vec<u64> = change.as_v2().changes.iter().map(|c| c.node_id).collect();
        match self.changing {
            Some((req, id)) if ids.contains(&id) => {
                self.changing = None;
                if req != 0 {
                    self.out.answers.push((req, Answer::Changed));
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Updates the replicated membership from a membership change.
    pub(super) fn update_membership<C: ConfChangeI + protobuf::Message>(&mut self, entry: &Entry) {
        let Ok(change) = C::parse_from_bytes(entry.get_data()) else { return };
        let change = change.as_v2();
        for single in &change.changes {
            let id = single.node_id;
            let now = match single.get_change_type() {
                ConfChangeType::AddLearnerNode => {
                    if let Ok(at) = serde_json::from_slice::<MemberAddr>(change.get_context()) {
                        self.state.book.add(at);
                    }
                    "learner"
                }
                ConfChangeType::AddNode => {
                    self.state.book.promote(id);
                    "voter"
                }
                ConfChangeType::RemoveNode => {
                    self.state.book.remove(id);
                    "removed"
                }
            };
            self.out.events.push(Event::Members { id, now });
        }
    }
}
