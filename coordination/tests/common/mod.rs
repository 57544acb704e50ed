//! Groups of members in virtual time. Messages are delivered in the step after they were sent.
#![allow(dead_code)] // No test file uses all of these helpers.

use notchdoor_coordination::lease::{Bounds, Command, Outcome};
use notchdoor_coordination::log_storage::LogStorage;
use notchdoor_coordination::membership::{MemberAddr, Membership};
use notchdoor_coordination::protocol::{Answer, Request};
use notchdoor_coordination::raft_node::{RaftNode, RaftNodeConfig, RaftTiming};
use notchdoor_coordination::versioned_config::{BlockRules, ConfirmationTiming};
use raft::eraftpb::Message;
use std::collections::BTreeMap;

/// Milliseconds per step.
pub const STEP: u64 = 10;

pub fn at(id: u64) -> MemberAddr {
    let port = 7000 + id as u16;
    MemberAddr { id, peer: ([127, 0, 0, 1], port).into(), client: ([127, 0, 0, 1], port + 100).into() }
}

pub fn founders(count: u64) -> Membership {
    Membership::founding((1..=count).map(|id| (at(id), 100 + id)))
}

pub fn member<S: LogStorage>(id: u64, start: u64, founders: Membership, store: S, now: u64) -> RaftNode<S> {
    let begin = RaftNodeConfig {
        id,
        start,
        founders,
        pace: RaftTiming::default(),
        bounds: Bounds::default(),
        terms: ConfirmationTiming::default(),
        guard: BlockRules::default(),
    };
    RaftNode::new(begin, store, now).expect("the member must start")
}

pub struct Group<S: LogStorage> {
    pub members: BTreeMap<u64, RaftNode<S>>,
    pub wire: Vec<Message>,
    pub answers: Vec<(u64, Answer)>,
    pub now: u64,
    pub next: u64,
}

impl<S: LogStorage> Group<S> {
    pub fn of(members: impl IntoIterator<Item = RaftNode<S>>) -> Group<S> {
        let members = members.into_iter().map(|m| (m.id(), m)).collect();
        Group { members, wire: Vec::new(), answers: Vec::new(), now: 0, next: 0 }
    }

    pub fn step(&mut self) {
        let failed = self.step_with_failures();
        assert!(failed.is_empty(), "members failed: {failed:?}");
    }

    /// Like [`Group::step`], but removes members whose round fails, and returns their ids.
    pub fn step_with_failures(&mut self) -> Vec<u64> {
        self.now += STEP;
        for message in std::mem::take(&mut self.wire) {
            if let Some(to) = self.members.get_mut(&message.to) {
                to.step(message);
            }
        }
        let mut failed = Vec::new();
        for (id, member) in &mut self.members {
            match member.advance(self.now) {
                Ok(out) => {
                    self.wire.extend(out.messages);
                    self.answers.extend(out.answers);
                }
                Err(_) => failed.push(*id),
            }
        }
        self.members.retain(|id, _| !failed.contains(id));
        failed
    }

    pub fn leader(&mut self) -> u64 {
        for _ in 0..1_000 {
            if let Some(m) = self.members.values().find(|m| m.leads()) {
                return m.id();
            }
            self.step();
        }
        panic!("no leader was elected");
    }

    /// Sends a request to the current leader until it returns a final answer.
    pub fn ask(&mut self, request: Request) -> Answer {
        for _ in 0..200 {
            self.next += 1;
            let (leader, number) = (self.leader(), self.next);
            let at_once = self.members.get_mut(&leader).unwrap().ask(number, request.clone());
            let mut answer = at_once;
            for _ in 0..100 {
                if answer.is_some() {
                    break;
                }
                self.step();
                answer = self.answers.iter().find(|(n, _)| *n == number).map(|(_, a)| a.clone());
            }
            match answer {
                Some(Answer::Later { .. } | Answer::NotLeader { .. }) | None => {
                    (0..20).for_each(|_| self.step());
                }
                Some(answer) => return answer,
            }
        }
        panic!("no answer to {request:?}");
    }

    pub fn acquire(&mut self, task: &str, holder: &str) -> Outcome {
        match self.ask(acquire(task, holder)) {
            Answer::Done { outcome, .. } => outcome,
            other => panic!("{other:?}"),
        }
    }
}

pub fn acquire(task: &str, holder: &str) -> Request {
    Request::Lease(Command::Acquire { task: task.into(), holder: holder.into(), ttl_ms: 5_000 })
}
