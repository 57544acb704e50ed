//! Decides whether the last reply on a connection was made for the last command on it.
//!
//! A reply names no command, and a server may send copies of a reply any time later. So nothing that matters is concluded
//! from a reply without a proof: neither that it has the value that was asked for nor that the command never ran.

use super::connection::{Connection, Process};
use super::reply_history::Comparison;
use super::Runtime;
use crate::outcome::AttemptOutcome;
use crate::state::pool::ReplyOrder;
use crate::wire::backend::Reply;
use crate::wire::fingerprint::Fingerprint;
use notchdoor::ServerId;

/// Why a reply is taken for the one to the last command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplyProof {
    /// The connection carried no command before, so there is no reply that could be copied.
    FirstReply,
    /// It differs from all earlier replies, so it is no copy of one, and it does not begin like one that was cut off.
    DiffersFromEarlier,
    /// The reply to a fence followed it, so no other reply is outstanding.
    Fence,
    /// Not proven, but the request goes on the same whichever command it replies to.
    NotNeeded,
}

impl ReplyProof {
    /// The name in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            ReplyProof::FirstReply => "first",
            ReplyProof::DiffersFromEarlier => "differs",
            ReplyProof::Fence => "fence",
            ReplyProof::NotNeeded => "not needed",
        }
    }
}

/// What is concluded from a reply if it is taken for the one to the command.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Conclusion {
    /// The value of the key, or that it does not exist.
    Value,
    /// The command never ran, in a class where this decides what may be done next.
    NeverRan,
    /// Nothing that matters: the command may have run, or may be repeated in any case.
    Nothing,
}

impl Conclusion {
    fn of(outcome: AttemptOutcome, idempotent: bool) -> Self {
        match outcome {
            AttemptOutcome::Served | AttemptOutcome::Absent => Conclusion::Value,
            AttemptOutcome::Missed | AttemptOutcome::Rejected if !idempotent => Conclusion::NeverRan,
            _ => Conclusion::Nothing,
        }
    }
}

/// The server and the class of the command that a reply has to be made for.
#[derive(Clone, Copy)]
pub(super) struct Asked {
    pub(super) server: ServerId,
    pub(super) process: Process,
    /// The server is the origin. HTTP has no command that could serve as a fence.
    pub(super) is_origin: bool,
    /// The request may be repeated even if the command has run.
    pub(super) idempotent: bool,
}

impl Runtime {
    /// Records a reply in the history of its connection and returns its proof; `None` if it has none and must not be
    /// used. May send a fence.
    pub(super) async fn prove_reply(
        &self,
        connection: &mut Connection,
        reply: &Reply,
        fingerprint: Option<Fingerprint>,
        asked: Asked,
    ) -> Option<ReplyProof> {
        let comparison = fingerprint.map(|fingerprint| connection.history.record(&fingerprint));
        match comparison {
            Some(Comparison::First) => return Some(ReplyProof::FirstReply),
            Some(Comparison::MayContainCopy) => return None,
            // It may be a copy, and then the real reply is outstanding.
            Some(Comparison::Equal) => connection.order = ReplyOrder::Doubtful,
            Some(Comparison::Different) | None => {}
        }
        match Conclusion::of(reply.outcome, asked.idempotent) {
            Conclusion::Nothing => return Some(ReplyProof::NotNeeded),
            Conclusion::Value
                if comparison == Some(Comparison::Different) && connection.order == ReplyOrder::Certain =>
            {
                return Some(ReplyProof::DiffersFromEarlier);
            }
            Conclusion::Value | Conclusion::NeverRan => {}
        }
        let fence_is_possible = !asked.is_origin && reply.reusable;
        let confirmed =
            fence_is_possible && self.confirm_last_reply(connection, (asked.server, asked.process)).await;
        confirmed.then_some(ReplyProof::Fence)
    }
}
