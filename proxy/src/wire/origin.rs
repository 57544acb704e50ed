//! Encodes HTTP requests to the origin and decodes its responses.

use super::backend::{Reply, ReplyPart};
use super::command::BackendCommand;
use super::fingerprint::{Fingerprint, Fingerprinter, ValueStart, HTTP_REPLY_STARTS};
use super::http::{self, Part};
use super::{MAX_STREAMED_VALUE, MAX_UNDELIMITED_BODY, MAX_VALUE};
use crate::outcome::AttemptOutcome;
use notchdoor::Micros;

/// Size of most heads of requests in bytes.
const HEAD_BYTES: usize = 256;

/// Encodes `GET /KEY`, or the head of `PUT /KEY`, with the request id and the list of names and values, in which `d` is
/// `wait`. The caller sends the value afterwards.
pub fn encode(command: &BackendCommand, wait: Micros, host: &str) -> Vec<u8> {
    let method = if command.value_len().is_some() { "PUT" } else { "GET" };
    let mut out = Vec::with_capacity(HEAD_BYTES);
    out.extend_from_slice(format!("{method} /").as_bytes());
    for &byte in &command.key {
        // Percent-encodes bytes that are not allowed in a path. The key contains no control characters.
        if !byte.is_ascii() || b"%?#\"<>\\^`{|}".contains(&byte) {
            out.extend_from_slice(format!("%{byte:02X}").as_bytes());
        } else {
            out.push(byte);
        }
    }
    out.extend_from_slice(format!(" HTTP/1.1\r\nHost: {host}\r\nX-Call-Id: ").as_bytes());
    out.extend_from_slice(&command.id);
    out.extend_from_slice(b"\r\nX-Call-Info: ");
    out.extend_from_slice(&command.info_with_deadline(wait));
    if let Some(length) = command.value_len() {
        out.extend_from_slice(format!("\r\nContent-Length: {length}\r\n\r\n").as_bytes());
    } else {
        out.extend_from_slice(b"\r\n\r\n");
    }
    out
}

/// Decoder of one response.
pub struct Decoder {
    http: http::Decoder,
    status: u16,
    rejected: bool,
    body: Vec<u8>,
    /// The body is streamed.
    streaming: bool,
    fingerprinter: Fingerprinter,
    /// Fingerprint of the response, once it is complete.
    fingerprint: Option<Fingerprint>,
}

impl Default for Decoder {
    fn default() -> Self {
        Decoder {
            http: http::Decoder::default(),
            status: 0,
            rejected: false,
            body: Vec::new(),
            streaming: false,
            fingerprinter: Fingerprinter::new(HTTP_REPLY_STARTS),
            fingerprint: None,
        }
    }
}

impl Decoder {
    /// Whether part of a response has been received.
    pub fn has_partial_reply(&self) -> bool {
        self.status != 0 || self.http.has_unread()
    }

    /// Fingerprint of the response; `None` before its end.
    pub fn fingerprint(&self) -> Option<Fingerprint> {
        self.fingerprint
    }

    /// How a streamed value begins; `None` before enough of it was received.
    pub fn value_start(&self) -> Option<ValueStart> {
        self.fingerprinter.value_start()
    }

    /// Feeds received bytes and returns the parts of the reply that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<ReplyPart> {
        match self.http.feed(bytes) {
            Ok(parts) => {
                let mut reply_parts = Vec::new();
                for reply_part in parts.into_iter().filter_map(|part| self.convert(part)) {
                    let complete = matches!(reply_part, ReplyPart::Complete(_));
                    reply_parts.push(reply_part);
                    if complete {
                        break;
                    }
                }
                reply_parts
            }
            Err(http::Malformed) => vec![ReplyPart::Complete(Reply::without_value(AttemptOutcome::Garbled))],
        }
    }

    /// Reports that the origin closed the connection. Returns the reply if that completes it.
    pub fn closed(&mut self) -> Option<Reply> {
        let part = self.http.closed()?;
        match self.convert(part) {
            Some(ReplyPart::Complete(reply)) => Some(reply),
            _ => None,
        }
    }

    fn convert(&mut self, part: Part) -> Option<ReplyPart> {
        let garbled = || Some(ReplyPart::Complete(Reply::without_value(AttemptOutcome::Garbled)));
        match part {
            Part::Head { status, rejected, length } => {
                (self.status, self.rejected) = (status, rejected);
                self.fingerprinter.push_kind(status);
                match length {
                    // A length above the maximum is rejected before the body arrives.
                    Some(length) if length > MAX_STREAMED_VALUE as u64 => garbled(),
                    Some(length) if length > MAX_VALUE as u64 && status == 200 => {
                        self.streaming = true;
                        self.fingerprinter.begin_large_value(length as usize);
                        Some(ReplyPart::ValueStart(length as usize))
                    }
                    _ => None,
                }
            }
            Part::Data(data) => {
                self.fingerprinter.push_value(&data);
                if self.streaming {
                    return Some(ReplyPart::ValueData(data));
                }
                // Bodies of error responses are discarded.
                if self.status == 200 {
                    self.body.extend_from_slice(&data);
                }
                if self.body.len() > MAX_UNDELIMITED_BODY {
                    garbled()
                } else {
                    None
                }
            }
            Part::End { reusable } => {
                if self.http.holds_status_line() {
                    self.fingerprinter.mark_reply_elsewhere();
                }
                self.fingerprint = Some(self.fingerprinter.finish());
                let outcome = match self.status {
                    200 => AttemptOutcome::Served,
                    404 => AttemptOutcome::Absent,
                    // Without the header, the request may have been executed and must not be retried as rejected.
                    503 | 504 if self.rejected => AttemptOutcome::Rejected,
                    _ => AttemptOutcome::Errored,
                };
                let buffered = outcome == AttemptOutcome::Served && !self.streaming;
                let value = buffered.then(|| std::mem::take(&mut self.body));
                Some(ReplyPart::Complete(Reply { value, reusable, ..Reply::without_value(outcome) }))
            }
        }
    }
}

#[cfg(test)]
mod tests;
