//! The types exchanged between the proxy and its driver: requests, attempt replies, answers and commands.

use crate::state::request_ids::IdDigest;
use notchdoor::{Micros, ServerId};
use std::rc::Rc;
use thiserror::Error;

/// Identifies the command of a client session that an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReplySlot {
    /// The number of the client connection.
    pub connection: u64,
    /// The position among the commands of that connection.
    pub sequence: u64,
}

/// Identifies an attempt; never reused.
pub type AttemptId = u64;

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The value, or the confirmation of a write, returned by a backend or the origin.
    Served(Vec<u8>),
    /// Rejected because of overload or a block rule; the request may safely be retried.
    Rejected {
        /// How long the client should wait before a retry, in microseconds; 0 to send none.
        retry_after: Micros,
    },
    /// Failed; the request may have taken effect.
    Failed,
    /// The key does not exist; counted as failed.
    Absent,
    /// The whole value was already streamed to the client.
    Streamed,
    /// Streaming the value stopped before its end; the client must be able to detect that.
    Truncated,
}

impl Answer {
    /// The name in the log.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Rejected { .. } => "rejected",
            Answer::Failed => "failed",
            Answer::Absent => "absent",
            Answer::Streamed => "streamed",
            Answer::Truncated => "truncated",
        }
    }
}

/// Why a request was not accepted. The message is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The settings have no class of this name.
    #[error("unknown class")]
    UnknownClass,
    /// Another request in flight has the same id.
    #[error("id in use")]
    IdInUse,
    /// A request with this id may have run, and must not run again.
    #[error("id was used")]
    IdWasUsed,
}

/// A client's request, independent of the protocol.
pub struct ClientRequest<C> {
    /// The id assigned by the client.
    pub id: Vec<u8>,
    /// Where to send the answer.
    pub reply_slot: ReplySlot,
    /// The name of the class.
    pub class: String,
    /// The name of the tenant.
    pub tenant: String,
    /// The key to read or write.
    pub key: Vec<u8>,
    /// Whether the request is a write.
    pub write: bool,
    /// Whether the value of a write is still being received.
    pub upload: bool,
    /// The time until which the client waits for the answer.
    pub deadline: Micros,
    /// The command to forward, opaque to the proxy.
    pub call: C,
}

/// The reply of an attempt and its timing, in addition to its outcome.
#[derive(Debug, Default)]
pub struct AttemptReply {
    /// The value or write confirmation, if the attempt was served.
    pub value: Option<Vec<u8>>,
    /// The time from the command to the first byte of its reply; `None` on a new connection, where it would include the
    /// handshake.
    pub took: Option<Micros>,
    /// How long the reply was awaited, if not since the start of the attempt. While a value is streamed from the client,
    /// the attempt depends on the client's speed, and the wait starts only afterwards.
    pub waited: Option<Micros>,
}

/// A command for the driver. Commands must be executed in order.
pub enum Command<C> {
    /// Start an attempt. The driver must report its end with [`super::Proxy::attempt_ended`].
    StartAttempt {
        /// The id of the attempt.
        attempt_id: AttemptId,
        /// The server to send it to.
        server: ServerId,
        /// The command to send.
        call: Rc<C>,
        /// Whether the request may be repeated at any time, even if an attempt may have run.
        idempotent: bool,
        /// When to stop waiting for the reply.
        give_up_at: Micros,
        /// The time from which the command must not be sent any more.
        begin_by: Micros,
        /// Until when a reply that has begun may be awaited.
        deadline: Micros,
        /// If set, the command may be sent only to the process that ran at this time: it drops a repeat of what it got then,
        /// and a new one at its address would not.
        process_of: Option<Micros>,
        /// Whether the command must be sent on a connection that carried none before: an earlier reply may have been a copy.
        on_unused_connection: bool,
    },
    /// Cancel an attempt by closing its connection. The driver need not report its end.
    Cancel(AttemptId),
    /// Send a final answer to the client.
    Answer(ReplySlot, Answer),
    /// Start a discovery watch. The driver must report its end with [`super::Proxy::discovery_failed`].
    Watch,
    /// Close all existing connections to this server.
    DropConnections(ServerId),
    /// Let other processes take this id: its request never ran.
    ReleaseId(IdDigest),
}
