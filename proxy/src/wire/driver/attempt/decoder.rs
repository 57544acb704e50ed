//! Decodes the reply of either kind of server.

use crate::outcome::AttemptOutcome;
use crate::wire::backend::{self, Reply, ReplyPart};
use crate::wire::fingerprint::{Fingerprint, ValueStart};
use crate::wire::origin;

/// Decoder of the reply of a cache or the origin.
pub(super) enum Decoder {
    Backend(backend::Decoder),
    Origin(origin::Decoder),
}

impl Decoder {
    /// Feeds received bytes and returns the parts of the reply that they complete.
    pub(super) fn feed(&mut self, bytes: &[u8]) -> Vec<ReplyPart> {
        match self {
            Decoder::Backend(decoder) => decoder.feed(bytes),
            Decoder::Origin(decoder) => decoder.feed(bytes),
        }
    }

    /// Whether part of a reply has been received.
    pub(super) fn has_partial_reply(&self) -> bool {
        match self {
            Decoder::Backend(decoder) => decoder.has_partial_reply(),
            Decoder::Origin(decoder) => decoder.has_partial_reply(),
        }
    }

    /// How a streamed value begins; `None` before enough of it was received.
    pub(super) fn value_start(&self) -> Option<ValueStart> {
        match self {
            Decoder::Backend(decoder) => decoder.value_start(),
            Decoder::Origin(decoder) => decoder.value_start(),
        }
    }

    /// Fingerprint of a complete reply.
    pub(super) fn fingerprint(&self) -> Option<Fingerprint> {
        match self {
            Decoder::Backend(decoder) => decoder.fingerprint(),
            Decoder::Origin(decoder) => decoder.fingerprint(),
        }
    }

    /// Reports that the server closed the connection, and returns the reply if that completes it.
    pub(super) fn closed(&mut self) -> Reply {
        let whole = match self {
            Decoder::Backend(_) => None,
            Decoder::Origin(decoder) => decoder.closed(),
        };
        whole.unwrap_or(Reply::without_value(AttemptOutcome::BrokenSent))
    }
}
