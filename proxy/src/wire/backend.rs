//! Encodes commands to backends and decodes their replies.

use super::command::BackendCommand;
use super::fingerprint::{Fingerprint, Fingerprinter, ValueStart, RESP_REPLY_STARTS};
use super::resp::{write_command, write_command_head, Head, Malformed, Reader, Value};
use super::{MAX_STREAMED_VALUE, MAX_VALUE};
use crate::outcome::AttemptOutcome;
use notchdoor::Micros;

/// The decoded reply to one attempt.
#[derive(Debug, PartialEq)]
pub struct Reply {
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// The value of a read or the receipt of a write; `None` unless served, and for a streamed value.
    pub value: Option<Vec<u8>>,
    /// Whether the connection can be used for another command.
    pub reusable: bool,
}

impl Reply {
    /// A reply without a value, on a connection that cannot be reused.
    pub fn without_value(outcome: AttemptOutcome) -> Self {
        Reply { outcome, value: None, reusable: false }
    }
}

/// A decoded part of a reply.
#[derive(Debug, PartialEq)]
pub enum ReplyPart {
    /// Start of a value larger than [`MAX_VALUE`], which is streamed. Contains its length in bytes.
    ValueStart(usize),
    /// The next bytes of the streamed value.
    ValueData(Vec<u8>),
    /// End of the reply. A streamed value is not repeated in it.
    Complete(Reply),
}

/// What follows the value of a write.
pub const VALUE_END: &[u8] = b"\r\n";

/// Encodes the client's command up to its value, with `wait` as its deadline. The caller sends the value afterwards, followed
/// by [`VALUE_END`].
pub fn encode(command: &BackendCommand, wait: Micros) -> Vec<u8> {
    let info = command.info_with_deadline(wait);
    let args: [&[u8]; 4] = [&command.command, &command.key, &command.id, &info];
    let mut out = Vec::new();
    match command.value_len() {
        Some(length) => write_command_head(&mut out, &args, length),
        None => write_command(&mut out, &args),
    }
    out
}

/// Incremental decoder of one reply.
pub struct Decoder {
    reader: Reader,
    state: State,
    fingerprinter: Fingerprinter,
    /// Fingerprint of the reply, once it is complete and valid.
    fingerprint: Option<Fingerprint>,
}

impl Default for Decoder {
    fn default() -> Self {
        Decoder {
            reader: Reader::default(),
            state: State::default(),
            fingerprinter: Fingerprinter::new(RESP_REPLY_STARTS),
            fingerprint: None,
        }
    }
}

#[derive(Default)]
enum State {
    /// It is not known yet whether the reply contains a large value.
    #[default]
    Unknown,
    /// The reply is buffered until it is complete.
    Buffered,
    /// A large value is streamed; contains the number of bytes still to receive.
    Streaming(usize),
    /// The elements after a large value are read.
    AfterValue,
}

impl Decoder {
    /// Whether part of a reply has been received.
    pub fn has_partial_reply(&self) -> bool {
        self.reader.pending() > 0
    }

    /// Fingerprint of the reply; `None` unless it is complete and valid.
    pub fn fingerprint(&self) -> Option<Fingerprint> {
        self.fingerprint
    }

    /// How a streamed value begins; `None` before enough of it was received.
    pub fn value_start(&self) -> Option<ValueStart> {
        self.fingerprinter.value_start()
    }

    /// Feeds received bytes and returns the parts of the reply that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<ReplyPart> {
        let mut parts = Vec::new();
        match self.decode(bytes, &mut parts) {
            Ok(()) => {}
            Err(Malformed(_)) => {
                parts.push(ReplyPart::Complete(Reply::without_value(AttemptOutcome::Garbled)));
            }
        }
        parts
    }

    fn decode(&mut self, bytes: &[u8], parts: &mut Vec<ReplyPart>) -> Result<(), Malformed> {
        let rest = match self.state {
            State::Streaming(left) => {
                let (data, rest) = bytes.split_at(left.min(bytes.len()));
                self.push_value_data(left, data.to_vec(), parts);
                rest
            }
            _ => bytes,
        };
        if matches!(self.state, State::Streaming(_)) {
            return Ok(());
        }
        self.reader.feed(rest);
        if matches!(self.state, State::Unknown) {
            match self.reader.peek_array(3)? {
                Head::Unknown => return Ok(()),
                Head::Other => self.state = State::Buffered,
                Head::Bulk { length, .. } if length <= MAX_VALUE => self.state = State::Buffered,
                Head::Bulk { length, .. } if length > MAX_STREAMED_VALUE => {
                    return Err(Malformed("too large"))
                }
                Head::Bulk { length, at } => {
                    self.fingerprinter.begin_large_value(length);
                    parts.push(ReplyPart::ValueStart(length));
                    self.reader.skip(at);
                    let data = self.reader.take_bytes(length);
                    self.push_value_data(length, data, parts);
                }
            }
        }
        let reply = match self.state {
            State::Streaming(_) => return Ok(()),
            State::AfterValue => {
                let Some(values) = self.reader.values_after_bulk(2)? else { return Ok(()) };
                values.iter().for_each(|value| check_element(value, &mut self.fingerprinter));
                // The load report is not interpreted.
                let [Value::Bulk(_), _] = values.as_slice() else { return Err(Malformed("no reply")) };
                Reply::without_value(AttemptOutcome::Served)
            }
            _ => {
                let Some(value) = self.reader.next_value()? else { return Ok(()) };
                push_reply(&value, &mut self.fingerprinter);
                classify_reply(value)
            }
        };
        // Surplus bytes would be taken for the reply to the next command.
        let valid = reply.outcome != AttemptOutcome::Garbled;
        let reusable = valid && self.reader.pending() == 0;
        self.fingerprint = valid.then(|| self.fingerprinter.finish());
        parts.push(ReplyPart::Complete(Reply { reusable, ..reply }));
        Ok(())
    }

    fn push_value_data(&mut self, left: usize, data: Vec<u8>, parts: &mut Vec<ReplyPart>) {
        let left = left - data.len();
        self.state = if left > 0 { State::Streaming(left) } else { State::AfterValue };
        if !data.is_empty() {
            self.fingerprinter.push_value(&data);
            parts.push(ReplyPart::ValueData(data));
        }
    }
}

/// Adds a reply that was buffered to its fingerprint.
fn push_reply(reply: &Value, fingerprinter: &mut Fingerprinter) {
    match reply {
        Value::Array(Some(items)) => match items.split_first() {
            Some((Value::Bulk(Some(value)), rest)) => {
                fingerprinter.push_value(value);
                rest.iter().for_each(|element| check_element(element, fingerprinter));
            }
            _ => {
                fingerprinter.push_kind(reply);
                items.iter().for_each(|element| check_element(element, fingerprinter));
            }
        },
        Value::Error(line) => {
            fingerprinter.push_kind(reply);
            fingerprinter.check(line);
        }
        other => fingerprinter.push_kind(other),
    }
}

/// Checks that no other reply begins in an element beside the value.
fn check_element(element: &Value, fingerprinter: &mut Fingerprinter) {
    match element {
        Value::Array(_) | Value::Error(_) => fingerprinter.mark_reply_elsewhere(),
        Value::Bulk(Some(text)) | Value::Simple(text) => fingerprinter.check(text),
        Value::Bulk(None) | Value::Int(_) => {}
    }
}

fn classify_reply(value: Value) -> Reply {
    match value {
        // Value, status and load report. The load report is not interpreted.
        Value::Array(Some(items)) => match <[Value; 3]>::try_from(items) {
            Ok([Value::Bulk(Some(value)), Value::Bulk(_), _]) => {
                Reply { value: Some(value), ..Reply::without_value(AttemptOutcome::Served) }
            }
            Ok([Value::Bulk(None), Value::Bulk(_), _]) => Reply::without_value(AttemptOutcome::Missed),
            _ => Reply::without_value(AttemptOutcome::Garbled),
        },
        Value::Error(line) => Reply::without_value(match line.split(|&b| b == b' ').next() {
            Some(b"BUSY") => AttemptOutcome::Rejected,
            Some(b"ERR") => AttemptOutcome::Errored,
            _ => AttemptOutcome::Garbled,
        }),
        // Valid RESP of any other form is not a reply.
        _ => Reply::without_value(AttemptOutcome::Garbled),
    }
}

#[cfg(test)]
mod tests;
