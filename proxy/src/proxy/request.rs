//! What passes between the proxy and whoever owns the sockets: requests, replies of attempts, and commands.

use notchdoor::{Micros, ServerId};
use std::rc::Rc;
use thiserror::Error;

/// Where an answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReplySlot {
    /// The client's connection.
    pub connection: u64,
    /// The reply_slot among its commands.
    pub sequence: u64,
}

/// One attempt, never reused.
pub type AttemptId = u64;

/// A final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The value or the receipt that a backend or the origin gave for this request.
    Served(Vec<u8>),
    /// An overload reply: trying again is harmless.
    Rejected {
        /// How long the client should stay away; 0 for no advice.
        retry_after: Micros,
    },
    /// Failed; nothing is promised about its effect.
    Failed,
    /// Failed: there is nothing under the key.
    Absent,
    /// The value has been passed on as it came, and all of it made sense.
    Streamed,
    /// The value was being passed on and does not go on; the client has to be able to tell.
    Truncated,
}

/// Why a request is not taken. The texts are part of the answer to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The settings name no such class.
    #[error("unknown class")]
    UnknownClass,
    /// Another open request has its id.
    #[error("id in use")]
    IdInUse,
}

/// A client's request, whatever protocol it came in.
pub struct ClientRequest<C> {
    /// Its id, as the client gave it.
    pub id: Vec<u8>,
    /// Where the answer goes.
    pub reply_slot: ReplySlot,
    /// The class, by its name.
    pub class: String,
    /// The tenant, by its name.
    pub tenant: String,
    /// What it is about.
    pub key: Vec<u8>,
    /// Whether it writes.
    pub write: bool,
    /// When the client gives up.
    pub deadline: Micros,
    /// What is passed on.
    pub call: C,
}

/// What an attempt brought beside its ending.
#[derive(Debug, Default)]
pub struct AttemptReply {
    /// The value or the receipt, where it was served.
    pub value: Option<Vec<u8>>,
    /// From the command to the first byte of its answer; `None` on a new connection, whose first command pays
    /// for the handshake.
    pub took: Option<Micros>,
    /// How long it was waited for, where that is not since the attempt began: a value that passes through takes its
    /// client's time before anything can be waited for.
    pub waited: Option<Micros>,
}

/// What the driver has to do, in this order.
pub enum Command<C> {
    /// Begin an attempt; [`super::Proxy::attempt_ended`] is owed for it.
    StartAttempt {
        /// Its number.
        attempt_id: AttemptId,
        /// To whom.
        server: ServerId,
        /// What is sent.
        call: Rc<C>,
        /// When to give up on it.
        give_up_at: Micros,
        /// From then on its command may not be written any more.
        begin_by: Micros,
    },
    /// Close an attempt's connection; nothing more is owed for it.
    Cancel(AttemptId),
    /// Give a final answer.
    Answer(ReplySlot, Answer),
    /// Watch discovery; [`super::Proxy::discovery_failed`] is owed when that ends.
    Watch,
    /// Drop all old connections to this server.
    DropConnections(ServerId),
}
