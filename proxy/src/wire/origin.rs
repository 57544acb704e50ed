//! The origin's side: one HTTP request out, one answer back.

use super::call::Call;
use super::http::{self, Part};
use super::worker::Reply;
use super::MAX_ANSWER;
use crate::ending::Ending;

/// `GET /KEY`, or `PUT /KEY` with the value, with the id and the list of names and values as it came.
pub fn encode(call: &Call, host: &str) -> Vec<u8> {
    let method = if call.value.is_some() { "PUT" } else { "GET" };
    let mut out = Vec::with_capacity(call.size() + 256);
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
    out.extend_from_slice(&call.info);
    if let Some(value) = &call.value {
        out.extend_from_slice(format!("\r\nContent-Length: {}\r\n\r\n", value.len()).as_bytes());
        out.extend_from_slice(value);
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
}

impl Decoder {
    /// Whether a reply has begun to come.
    pub fn begun(&self) -> bool {
        self.status != 0 || self.http.begun()
    }

    /// Takes what has come in; a reply once it is whole.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Reply> {
        match self.http.feed(bytes) {
            Ok(parts) => parts.into_iter().find_map(|part| self.part(part)),
            Err(http::Malformed) => Some(Reply::bare(Ending::Garbled)),
        }
    }

    /// The origin has closed the connection.
    pub fn closed(&mut self) -> Option<Reply> {
        let part = self.http.closed()?;
        self.part(part)
    }

    fn part(&mut self, part: Part) -> Option<Reply> {
        match part {
            Part::Head { status, rejected, length } => {
                (self.status, self.rejected) = (status, rejected);
                // What claims to be larger than any value is not waited for.
                (length > Some(MAX_ANSWER as u64)).then(|| Reply::bare(Ending::Garbled))
            }
            Part::Data(data) => {
                self.body.extend_from_slice(&data);
                (self.body.len() > MAX_ANSWER).then(|| Reply::bare(Ending::Garbled))
            }
            Part::End { reusable } => {
                let ending = match self.status {
                    200 => Ending::Served,
                    // Guards against a write that is repeated though it ran: without the header it may have.
                    503 | 504 if self.rejected => Ending::TurnedAway,
                    _ => Ending::Errored,
                };
                let value = (ending == Ending::Served).then(|| std::mem::take(&mut self.body));
                Some(Reply { value, reusable, ..Reply::bare(ending) })
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::call::{parse, Command};
    use crate::wire::resp::Value;

    fn call(words: &[&str]) -> Box<Call> {
        let words = words.iter().map(|w| Value::Bulk(Some(w.as_bytes().to_vec()))).collect();
        match parse(Value::Array(Some(words))) {
            Ok(Command::Call(call)) => call,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn requests_carry_the_call_as_it_came() {
        let get = encode(&call(&["OBJ.GET", "a/b?é", "id1", "c=read,d=480"]), "h:1");
        let text =
            "GET /a/b%3F%C3%A9 HTTP/1.1\r\nHost: h:1\r\nX-Call-Id: id1\r\nX-Call-Info: c=read,d=480\r\n\r\n";
        assert_eq!(String::from_utf8_lossy(&get), text);
        let put = encode(&call(&["OBJ.SET", "k", "id2", "c=put,d=1", "vv"]), "h:1");
        assert!(put.starts_with(b"PUT /k HTTP/1.1\r\n") && put.ends_with(b"\r\nContent-Length: 2\r\n\r\nvv"));
    }

    #[test]
    fn only_what_is_marked_as_rejected_never_ran() {
        let large = format!("HTTP/1.1 200 x\r\n\r\n{}", "x".repeat(MAX_ANSWER + 1));
        let whole = format!("HTTP/1.1 200 x\r\nContent-Length: 400000\r\n\r\n{}", "x".repeat(400_000));
        let cases: &[(&str, Ending)] = &[
            ("HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nvv", Ending::Served),
            ("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", Ending::Errored),
            ("HTTP/1.1 500 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", Ending::Errored),
            ("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", Ending::Errored),
            ("HTTP/1.1 504 x\r\nContent-Length: 0\r\n\r\n", Ending::Errored),
            ("HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", Ending::TurnedAway),
            ("HTTP/1.1 504 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", Ending::TurnedAway),
            ("+OK\r\n", Ending::Garbled),
            ("HTTP/1.1 200 x\r\nContent-Length: 3000000000\r\n\r\n", Ending::Garbled),
            (&large, Ending::Garbled),
            (&whole, Ending::Served),
        ];
        for (text, ending) in cases {
            let reply = Decoder::default().feed(text.as_bytes());
            assert_eq!(reply.map(|r| r.ending), Some(*ending), "{text:.60}");
        }
    }
}
