//! Frames between nodes: a length, the version of the format, who sends, and the message by `postcard`.

use crate::{Message, ReplicatedState};
use notchdoor_coordination::shard_map::NodeId;
pub use notchdoor_coordination::wire::FrameError;
use serde::{Deserialize, Serialize};

/// The version of the format. Another one is refused by its number: nothing of it is guessed at.
pub const FORMAT_VERSION: u8 = 1;
/// Bytes of a frame at the most, its length aside.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

#[derive(Serialize, Deserialize)]
#[serde(bound = "")]
struct Body<C: ReplicatedState> {
    from: NodeId,
    message: Message<C>,
}

/// Writes a frame; none where the message is larger than any frame.
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

/// Frames out of a stream of bytes, fed as they come.
#[derive(Debug, Default)]
pub struct Decoder {
    buf: Vec<u8>,
    offset: u64,
}

impl Decoder {
    /// Takes bytes read from the stream: no more than [`Decoder::remaining_capacity`] at once.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// How many more bytes may be fed before a frame must be taken out.
    pub fn remaining_capacity(&self) -> usize {
        (MAX_FRAME_BYTES + 4).saturating_sub(self.buf.len())
    }

    /// The next whole message and who sent it, if one is in.
    pub fn next_message<C: ReplicatedState>(&mut self) -> Result<Option<(NodeId, Message<C>)>, FrameError> {
        let Some(length_bytes) = self.buf.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length_bytes) as usize;
        let frame_error = |why: String| FrameError { at: self.offset, why };
        if !(1..=MAX_FRAME_BYTES).contains(&length) {
            return Err(frame_error(format!("a length of {length}, where 1 to {MAX_FRAME_BYTES} are taken")));
        }
        let Some(&version) = self.buf.get(4) else { return Ok(None) };
        if version != FORMAT_VERSION {
            return Err(frame_error(format!(
                "version {version} of the format, where {FORMAT_VERSION} is spoken"
            )));
        }
        let Some(bytes) = self.buf.get(5..4 + length) else { return Ok(None) };
        let body: Body<C> = postcard::from_bytes(bytes).map_err(|e| frame_error(e.to_string()))?;
        self.buf.drain(..4 + length);
        self.offset += 4 + length as u64;
        Ok(Some((body.from, body.message)))
    }
}
