//! Encoding of messages between nodes. A frame consists of a 4-byte big-endian length, the format version,
//! and the sender and message encoded with `postcard`.

use crate::{Message, ReplicatedState};
use notchdoor_coordination::shard_map::NodeId;
pub use notchdoor_coordination::wire::FrameError;
use serde::{Deserialize, Serialize};

/// The version of the wire format. Frames with any other version are rejected.
pub const FORMAT_VERSION: u8 = 1;
/// Maximum length of a frame in bytes, without the length field.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

#[derive(Serialize, Deserialize)]
#[serde(bound = "")]
struct Body<C: ReplicatedState> {
    from: NodeId,
    message: Message<C>,
}

/// Appends a frame to `out`. Returns false and leaves `out` unchanged if the message cannot be encoded or
/// exceeds [`MAX_FRAME_BYTES`].
pub fn encode<C: ReplicatedState>(from: NodeId, message: &Message<C>, out: &mut Vec<u8>) -> bool {
    let body = Body { from, message: message.clone() };
    let Ok(bytes) = postcard::to_stdvec(&body) else { return false };
    if bytes.len() + 1 > MAX_FRAME_BYTES {
        return false;
    }
    out.extend_from_slice(&(bytes.len() as u32 + 1).to_be_bytes());
    out.push(FORMAT_VERSION);
    out.extend_from_slice(&bytes);
    true
}

/// Decodes frames from a stream of bytes.
#[derive(Debug, Default)]
pub struct Decoder {
    buf: Vec<u8>,
    offset: u64,
}

impl Decoder {
    /// Appends bytes read from the stream. The caller passes at most [`Decoder::remaining_capacity`] bytes.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns how many more bytes fit before [`Decoder::next_message`] must consume a frame.
    pub fn remaining_capacity(&self) -> usize {
        (MAX_FRAME_BYTES + 4).saturating_sub(self.buf.len())
    }

    /// Returns the next complete message with its sender, or `None` if more bytes are needed.
    pub fn next_message<C: ReplicatedState>(&mut self) -> Result<Option<(NodeId, Message<C>)>, FrameError> {
        let Some(length_bytes) = self.buf.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length_bytes) as usize;
        let frame_error = |why: String| FrameError { at: self.offset, why };
        if !(1..=MAX_FRAME_BYTES).contains(&length) {
            return Err(frame_error(format!(
                "invalid frame length {length} (expected 1 to {MAX_FRAME_BYTES})"
            )));
        }
        let Some(&version) = self.buf.get(4) else { return Ok(None) };
        if version != FORMAT_VERSION {
            return Err(frame_error(format!(
                "unsupported wire format version {version} (expected {FORMAT_VERSION})"
            )));
        }
        let Some(bytes) = self.buf.get(5..4 + length) else { return Ok(None) };
        let body: Body<C> = postcard::from_bytes(bytes).map_err(|e| frame_error(e.to_string()))?;
        self.buf.drain(..4 + length);
        self.offset += 4 + length as u64;
        Ok(Some((body.from, body.message)))
    }
}
