//! Requests from this node's own clients, and routing of responses to their requesters.

use super::ReplicaNode;
use crate::{Message, ReplicatedState, Response};
use notchdoor_coordination::lease::Millis;
use notchdoor_coordination::shard_map::{NodeId, NodeRecord};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of outstanding requests from this node's own clients. Further requests are rejected.
pub const MAX_OUTSTANDING_REQUESTS: usize = 8192;
/// Number of recent requests that are remembered for each other node, to avoid executing one twice.
const MAX_RECENT_REQUESTS: usize = 1024;
/// Delay after which the client of a rejected request may retry.
const RETRY_AFTER_MS: Millis = 100;

/// The sender of an operation or a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Requester {
    /// A client of this node, with the number of its request.
    Local(u64),
    /// Another node, with that node's number for the request.
    Remote(NodeId, u64),
}

/// An unanswered request from a client of this node.
pub(super) struct OutstandingRequest {
    deadline: Millis,
    is_operation: bool,
}

/// The numbers of the latest requests from each other node.
#[derive(Default)]
pub(super) struct RecentRequests(BTreeMap<NodeId, VecDeque<u64>>);

impl RecentRequests {
    /// Records a request. Returns false if it was already recorded.
    pub(super) fn insert(&mut self, from: NodeId, request: u64) -> bool {
        let recent = self.0.entry(from).or_default();
        if recent.contains(&request) {
            return false;
        }
        if recent.len() >= MAX_RECENT_REQUESTS {
            recent.pop_front();
        }
        recent.push_back(request);
        true
    }

    /// Removes the requests of nodes that are no longer in the shard map.
    pub(super) fn retain_nodes(&mut self, nodes: &BTreeMap<NodeId, NodeRecord>) {
        self.0.retain(|id, _| nodes.contains_key(id));
    }
}

impl<C: ReplicatedState> ReplicaNode<C> {
    /// Executes an operation for a client of this node. The response follows by `deadline`, in a later
    /// [`crate::Output`] and with the number `request`.
    pub fn execute(
        &mut self,
        now: Millis,
        deadline: Millis,
        request: u64,
        shard: u32,
        operation: C::Operation,
    ) {
        if !self.register(request, OutstandingRequest { deadline, is_operation: true }) {
            return;
        }
        match self.primary_of(shard) {
            Some(id) if id == self.id => self.propose(now, shard, operation, Requester::Local(request)),
            Some(id) => self.output.messages.push((id, Message::Execute { request, shard, operation })),
            None => self.reject(Requester::Local(request)),
        }
    }

    /// Answers a query for a client of this node. The response follows by `deadline`, in a later
    /// [`crate::Output`] and with the number `request`.
    pub fn query(&mut self, now: Millis, deadline: Millis, request: u64, shard: u32, query: C::Query) {
        if !self.register(request, OutstandingRequest { deadline, is_operation: false }) {
            return;
        }
        match self.primary_of(shard) {
            Some(id) if id == self.id => self.answer_query(now, shard, &query, Requester::Local(request)),
            Some(id) => self.output.messages.push((id, Message::Query { request, shard, query })),
            None => self.reject(Requester::Local(request)),
        }
    }

    fn primary_of(&self, shard: u32) -> Option<NodeId> {
        self.shard_map.shards().get(shard as usize)?.primary
    }

    /// Adds a request to the outstanding ones, or rejects it and returns false if there are too many.
    fn register(&mut self, number: u64, request: OutstandingRequest) -> bool {
        let has_capacity = self.outstanding.len() < MAX_OUTSTANDING_REQUESTS;
        if has_capacity {
            self.outstanding.insert(number, request);
        } else {
            self.output.responses.push((number, rejected()));
        }
        has_capacity
    }

    pub(super) fn respond(&mut self, requester: Requester, response: Response<C>) {
        match requester {
            Requester::Local(request) => {
                if self.outstanding.remove(&request).is_some() {
                    self.output.responses.push((request, response));
                }
            }
            Requester::Remote(id, request) => {
                self.output.messages.push((id, Message::Response { request, response }));
            }
        }
    }

    pub(super) fn reject(&mut self, requester: Requester) {
        self.respond(requester, rejected());
    }

    /// Ends the requests that have reached their deadline. Operations end with an unknown outcome, queries
    /// are rejected.
    pub(super) fn expire_requests(&mut self, now: Millis) {
        let expired = self.outstanding.iter().filter(|(_, request)| request.deadline <= now);
        let expired: Vec<_> = expired.map(|(number, request)| (*number, request.is_operation)).collect();
        for (number, is_operation) in expired {
            let response = if is_operation { Response::Unknown } else { rejected() };
            self.respond(Requester::Local(number), response);
        }
    }
}

fn rejected<C: ReplicatedState>() -> Response<C> {
    Response::Rejected { retry_after_ms: RETRY_AFTER_MS }
}
