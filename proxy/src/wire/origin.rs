//! The origin's side: one HTTP request out, one answer back.

use super::backend::{Reply, ReplyPart};
use super::command::BackendCommand;
use super::http::{self, Part};
use super::{MAX_STREAMED_VALUE, MAX_UNDELIMITED_BODY, MAX_VALUE};
use crate::outcome::AttemptOutcome;
use notchdoor::Micros;

/// `GET /KEY`, or `PUT /KEY` with the value (unless that passes through and follows in reply_parts), with the id and the list
/// of names and values, in which `d` is how long the proxy will wait.
pub fn encode(call: &BackendCommand, wait: Micros, host: &str) -> Vec<u8> {
    let method = if call.value_len().is_some() { "PUT" } else { "GET" };
    let mut out = Vec::with_capacity(call.buffered_bytes() + 256);
    out.extend_from_slice(format!("{method} /").as_bytes());
    for &byte in &call.key {
        // The call's words are plain; what a path may not hold as it is goes out as its number.
        if !byte.is_ascii() || b"%?#\"<>\\^`{|}".contains(&byte) {
            out.extend_from_slice(format!("%{byte:02X}").as_bytes());
        } else {
            out.push(byte);
        }
    }
    out.extend_from_slice(format!(" HTTP/1.1\r\nHost: {host}\r\nX-Call-Id: ").as_bytes());
    out.extend_from_slice(&call.id);
    out.extend_from_slice(b"\r\nX-Call-Info: ");
    out.extend_from_slice(&call.info_with_deadline(wait));
    if let Some(length) = call.value_len() {
        out.extend_from_slice(format!("\r\nContent-Length: {length}\r\n\r\n").as_bytes());
        out.extend_from_slice(call.value.as_deref().unwrap_or_default());
    } else {
        out.extend_from_slice(b"\r\n\r\n");
    }
    out
}

/// Reads one answer.
#[derive(Default)]
pub struct Decoder {
    http: http::Decoder,
    status: u16,
    rejected: bool,
    body: Vec<u8>,
    /// The body is passed on as it comes.
    large: bool,
}

impl Decoder {
    /// Whether a reply has begun to come.
    pub fn has_partial_reply(&self) -> bool {
        self.status != 0 || self.http.begun()
    }

    /// Takes what has come in and gives what it completes.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<ReplyPart> {
        match self.http.feed(bytes) {
            Ok(parts) => {
                let mut reply_parts = Vec::new();
                for reply_part in parts.into_iter().filter_map(|part| self.part(part)) {
                    let over = matches!(reply_part, ReplyPart::Complete(_));
                    reply_parts.push(reply_part);
                    if over {
                        break;
                    }
                }
                reply_parts
            }
            Err(http::Malformed) => vec![ReplyPart::Complete(Reply::without_value(AttemptOutcome::Garbled))],
        }
    }

    /// The origin has closed the connection.
    pub fn closed(&mut self) -> Option<Reply> {
        let part = self.http.closed()?;
        match self.part(part) {
            Some(ReplyPart::Complete(reply)) => Some(reply),
            _ => None,
        }
    }

    fn part(&mut self, part: Part) -> Option<ReplyPart> {
        let garbled = || Some(ReplyPart::Complete(Reply::without_value(AttemptOutcome::Garbled)));
        match part {
            Part::Head { status, rejected, length } => {
                (self.status, self.rejected) = (status, rejected);
                match length {
                    // What claims to be larger than any value is not waited for.
                    Some(length) if length > MAX_STREAMED_VALUE as u64 => garbled(),
                    Some(length) if length > MAX_VALUE as u64 && status == 200 => {
                        self.large = true;
                        Some(ReplyPart::ValueStart(length as usize))
                    }
                    _ => None,
                }
            }
            Part::Data(data) if self.large => Some(ReplyPart::ValueData(data)),
            Part::Data(data) => {
                // What an error has to say is read by nobody.
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
                let outcome = match self.status {
                    200 => AttemptOutcome::Served,
                    404 => AttemptOutcome::Absent,
                    // Without the header it may have run, and a write would be repeated.
                    503 | 504 if self.rejected => AttemptOutcome::Rejected,
                    _ => AttemptOutcome::Errored,
                };
                let whole = outcome == AttemptOutcome::Served && !self.large;
                let value = whole.then(|| std::mem::take(&mut self.body));
                Some(ReplyPart::Complete(Reply { value, reusable, ..Reply::without_value(outcome) }))
            }
        }
    }
}

#[cfg(test)]
mod tests;
