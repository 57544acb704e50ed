//! Encodes commands to backends and decodes their replies.

use super::command::BackendCommand;
use super::resp::{write_command, write_command_head, Head, Malformed, Reader, Value};
use super::{MAX_STREAMED_VALUE, MAX_VALUE};
use crate::outcome::AttemptOutcome;
use notchdoor::Micros;

/// The decoded reply to one attempt.
#[derive(Debug, PartialEq)]
pub struct Reply {
    /// Outcome of the attempt.
    pub ending: AttemptOutcome,
    /// The value of a read or the receipt of a write; `None` unless served, and for a streamed value.
    pub value: Option<Vec<u8>>,
    /// Whether the connection can be used for another command.
    pub reusable: bool,
}

impl Reply {
    /// A reply without a value, on a connection that cannot be reused.
    pub fn bare(ending: AttemptOutcome) -> Self {
        Reply { ending, value: None, reusable: false }
    }
}

/// A decoded part of a reply.
#[derive(Debug, PartialEq)]
pub enum Piece {
    /// Start of a value larger than [`MAX_VALUE`], which is streamed. Contains its length in bytes.
    Begun(usize),
    /// The next bytes of the streamed value.
    Data(Vec<u8>),
    /// End of the reply. A streamed value is not repeated in it.
    Over(Reply),
}

/// Encodes the client's command with `wait` as its deadline. A streamed value is not included: the caller sends it
/// afterwards, followed by CR LF.
pub fn encode(call: &BackendCommand, wait: Micros) -> Vec<u8> {
    let info = call.info_with_deadline(wait);
    let mut out = Vec::with_capacity(call.size() + 128);
    let mut words: Vec<&[u8]> = vec![&call.command, &call.key, &call.id, &info];
    words.extend(call.value.as_deref());
    match &call.streamed {
        Some(streamed) => write_command_head(&mut out, &words, streamed.length),
        None => write_command(&mut out, &words),
    }
    out
}

/// Incremental decoder of one reply.
#[derive(Default)]
pub struct Decoder {
    reader: Reader,
    state: State,
}

#[derive(Default)]
enum State {
    /// It is not known yet whether the reply contains a large value.
    #[default]
    Unknown,
    /// The reply is buffered until it is complete.
    Whole,
    /// A large value is streamed; contains the number of bytes still to receive.
    Large(usize),
    /// The elements after a large value are read.
    Tail,
}

impl Decoder {
    /// Whether part of a reply has been received.
    pub fn begun(&self) -> bool {
        self.reader.pending() > 0
    }

    /// Feeds received bytes and returns the parts of the reply that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Piece> {
        let mut pieces = Vec::new();
        match self.take(bytes, &mut pieces) {
            Ok(()) => {}
            Err(Malformed(_)) => pieces.push(Piece::Over(Reply::bare(AttemptOutcome::Garbled))),
        }
        pieces
    }

    fn take(&mut self, bytes: &[u8], pieces: &mut Vec<Piece>) -> Result<(), Malformed> {
        let rest = match self.state {
            State::Large(left) => {
                let (data, rest) = bytes.split_at(left.min(bytes.len()));
                self.data(left, data.to_vec(), pieces);
                rest
            }
            _ => bytes,
        };
        if matches!(self.state, State::Large(_)) {
            return Ok(());
        }
        self.reader.feed(rest);
        if matches!(self.state, State::Unknown) {
            match self.reader.head(3)? {
                Head::Unknown => return Ok(()),
                Head::Other => self.state = State::Whole,
                Head::Bulk { length, .. } if length <= MAX_VALUE => self.state = State::Whole,
                Head::Bulk { length, .. } if length > MAX_STREAMED_VALUE => {
                    return Err(Malformed("too large"))
                }
                Head::Bulk { length, at } => {
                    pieces.push(Piece::Begun(length));
                    self.reader.skip(at);
                    let data = self.reader.take(length);
                    self.data(length, data, pieces);
                }
            }
        }
        let ending = match self.state {
            State::Large(_) => return Ok(()),
            State::Tail => match self.reader.after_bulk(2)?.as_deref() {
                // The load report is not interpreted.
                Some([Value::Bulk(_), _]) => Reply::bare(AttemptOutcome::Served),
                Some(_) => return Err(Malformed("no reply")),
                None => return Ok(()),
            },
            _ => match self.reader.next_value()? {
                Some(value) => judge(value),
                None => return Ok(()),
            },
        };
        // Surplus bytes would be taken for the reply to the next command.
        let reusable = ending.ending != AttemptOutcome::Garbled && self.reader.pending() == 0;
        pieces.push(Piece::Over(Reply { reusable, ..ending }));
        Ok(())
    }

    fn data(&mut self, left: usize, data: Vec<u8>, pieces: &mut Vec<Piece>) {
        let left = left - data.len();
        self.state = if left > 0 { State::Large(left) } else { State::Tail };
        if !data.is_empty() {
            pieces.push(Piece::Data(data));
        }
    }
}

fn judge(value: Value) -> Reply {
    match value {
        // Value, status and load report. The load report is not interpreted.
        Value::Array(Some(items)) => match <[Value; 3]>::try_from(items) {
            Ok([Value::Bulk(Some(value)), Value::Bulk(_), _]) => {
                Reply { value: Some(value), ..Reply::bare(AttemptOutcome::Served) }
            }
            Ok([Value::Bulk(None), Value::Bulk(_), _]) => Reply::bare(AttemptOutcome::Missed),
            _ => Reply::bare(AttemptOutcome::Garbled),
        },
        Value::Error(line) => Reply::bare(match line.split(|&b| b == b' ').next() {
            Some(b"BUSY") => AttemptOutcome::Rejected,
            Some(b"ERR") => AttemptOutcome::Errored,
            _ => AttemptOutcome::Garbled,
        }),
        // Valid RESP of any other form is not a reply.
        _ => Reply::bare(AttemptOutcome::Garbled),
    }
}

#[cfg(test)]
mod tests;
