//! Framing and encoding of messages between members and clients, without I/O.
//!
//! A frame is a 4-byte big-endian length, which counts the rest of the frame, a kind byte and a body.
//! Messages between members are raft-rs's protobuf; requests and answers are JSON. The decoder checks the
//! length before it buffers the body, and buffers at most one frame.

use protobuf::Message as _;
use raft::eraftpb::MessageType;

/// A Raft message between members.
pub use raft::eraftpb::Message;
use serde::{Deserialize, Serialize};

use crate::protocol::{Answer, Request};

/// Maximum frame size between members, in bytes: kind byte and body. Fits a snapshot and a listing of the
/// largest lease table.
pub const MAX_FRAME: usize = 8 << 20;
/// Maximum frame size between a client and a member, in bytes. Fits two versions with the largest rules.
pub const MAX_CLIENT_FRAME_BYTES: usize = 1 << 20;

/// A frame.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// A Raft message between members.
    Peer(Message),
    /// A request from a client.
    Ask {
        /// Request number assigned by the client and returned with the answer.
        req: u64,
        /// The request.
        request: Request,
    },
    /// An answer from a member.
    Answer {
        /// Request number.
        req: u64,
        /// The answer.
        answer: Answer,
    },
}

#[derive(Serialize, Deserialize)]
struct AskBody {
    req: u64,
    request: Request,
}

#[derive(Serialize, Deserialize)]
struct AnswerBody {
    req: u64,
    answer: Answer,
}

const PEER: u8 = 1;
const ASK: u8 = 2;
const ANSWER: u8 = 3;

/// A framing error. The connection has to be closed.
#[derive(Debug, PartialEq, Eq)]
pub struct FrameError {
    /// Stream offset of the invalid frame.
    pub at: u64,
    /// Description of the error.
    pub why: String,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "frame at byte {}: {}", self.at, self.why)
    }
}

impl Frame {
    /// Returns whether the frame is a Raft snapshot, whose delivery has to be reported to raft-rs.
    pub fn is_snapshot(&self) -> bool {
        matches!(self, Frame::Peer(m) if m.get_msg_type() == MessageType::MsgSnapshot)
    }
}

impl std::error::Error for FrameError {}

/// Appends the encoding of `frame` to `out`.
pub fn encode(frame: &Frame, out: &mut Vec<u8>) {
    let (kind, body) = match frame {
        Frame::Peer(m) => (PEER, m.write_to_bytes().unwrap_or_default()),
        Frame::Ask { req, request } => {
            (ASK, serde_json::to_vec(&AskBody { req: *req, request: request.clone() }).unwrap_or_default())
        }
        Frame::Answer { req, answer } => (
            ANSWER,
            serde_json::to_vec(&AnswerBody { req: *req, answer: answer.clone() }).unwrap_or_default(),
        ),
    };
    out.extend_from_slice(&((body.len() + 1) as u32).to_be_bytes());
    out.push(kind);
    out.extend_from_slice(&body);
}

/// Incremental frame decoder.
#[derive(Debug)]
pub struct Decoder {
    buf: Vec<u8>,
    offset: u64,
    most: usize,
}

impl Default for Decoder {
    fn default() -> Self {
        Decoder::with_most(MAX_FRAME)
    }
}

impl Decoder {
    /// Creates a decoder that accepts frames of up to `most` bytes.
    pub fn with_most(most: usize) -> Decoder {
        Decoder { buf: Vec::new(), offset: 0, most }
    }

    /// Buffers bytes read from the stream. The caller must add at most [`Decoder::room`] bytes, and take all
    /// complete frames before adding more.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns how many bytes may be added before a frame has to be taken.
    pub fn room(&self) -> usize {
        (self.most + 4).saturating_sub(self.buf.len())
    }

    /// Returns the number of buffered bytes.
    pub fn held(&self) -> usize {
        self.buf.len()
    }

    /// Decodes and removes the next frame. Returns `None` if it is incomplete.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        if self.buf.len() < 4 {
            return Ok(None);
        }
        let at = self.offset;
        let fail = |why: String| FrameError { at, why };
        let len = u32::from_be_bytes([self.buf[0], self.buf[1], self.buf[2], self.buf[3]]) as usize;
        if len == 0 || len > self.most {
            return Err(fail(format!("frame length is {len}, must be 1 to {}", self.most)));
        }
        if self.buf.len() < 4 + len {
            return Ok(None);
        }
        let kind = self.buf[4];
        let frame = {
            let body = &self.buf[5..4 + len];
            match kind {
                PEER => Message::parse_from_bytes(body)
                    .map(Frame::Peer)
                    .map_err(|e| fail(format!("invalid Raft message: {e}")))?,
                ASK => serde_json::from_slice::<AskBody>(body)
                    .map(|b| Frame::Ask { req: b.req, request: b.request })
                    .map_err(|e| fail(format!("invalid request: {e}")))?,
                ANSWER => serde_json::from_slice::<AnswerBody>(body)
                    .map(|b| Frame::Answer { req: b.req, answer: b.answer })
                    .map_err(|e| fail(format!("invalid answer: {e}")))?,
                other => return Err(fail(format!("frame kind is {other}, must be 1 to 3"))),
            }
        };
        self.buf.drain(..4 + len);
        self.offset += 4 + len as u64;
        Ok(Some(frame))
    }
}

#[cfg(test)]
mod tests;
