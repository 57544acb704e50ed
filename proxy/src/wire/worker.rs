//! A worker's side: one command out, one reply back.

use super::call::Call;
use super::resp::{write_command, Malformed, Reader, Value};
use super::MAX_ANSWER;
use crate::ending::Ending;
use notchdoor::Micros;

/// What came back for a delegation.
#[derive(Debug, PartialEq)]
pub struct Reply {
    /// How it ended.
    pub ending: Ending,
    /// The value or the receipt, where it was served.
    pub value: Option<Vec<u8>>,
    /// Whether the connection can take another command.
    pub reusable: bool,
}

impl Reply {
    /// A reply that brought nothing.
    pub fn bare(ending: Ending) -> Self {
        Reply { ending, value: None, reusable: false }
    }
}

/// The command as the client sent it, but for how long the proxy will wait.
pub fn encode(call: &Call, wait: Micros) -> Vec<u8> {
    let info = call.info_with_deadline(wait);
    let mut out = Vec::with_capacity(call.size() + 128);
    let mut words: Vec<&[u8]> = vec![&call.command, &call.key, &call.id, &info];
    words.extend(call.value.as_deref());
    write_command(&mut out, &words);
    out
}

/// Reads one reply.
pub struct Decoder {
    reader: Reader,
}

impl Default for Decoder {
    fn default() -> Self {
        Decoder { reader: Reader::with_most(MAX_ANSWER) }
    }
}

impl Decoder {
    /// Whether a reply has begun to come.
    pub fn begun(&self) -> bool {
        self.reader.pending() > 0
    }

    /// Takes what has come in; a reply once it is whole.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Reply> {
        self.reader.feed(bytes);
        let mut reply = match self.reader.next_value() {
            Ok(value) => judge(value?),
            Err(Malformed(_)) => Reply::bare(Ending::Garbled),
        };
        // Guards against bytes that nobody asked for: they would be taken for the next command's answer.
        reply.reusable = reply.ending != Ending::Garbled && self.reader.pending() == 0;
        Some(reply)
    }
}

fn judge(value: Value) -> Reply {
    match value {
        // The value, how it went, the load report. The report may be anything: it is not read.
        Value::Array(Some(items)) => match <[Value; 3]>::try_from(items) {
            Ok([Value::Bulk(Some(value)), Value::Bulk(_), _]) => {
                Reply { value: Some(value), ..Reply::bare(Ending::Served) }
            }
            Ok([Value::Bulk(None), Value::Bulk(_), _]) => Reply::bare(Ending::Missed),
            _ => Reply::bare(Ending::Garbled),
        },
        Value::Error(line) => Reply::bare(match line.split(|&b| b == b' ').next() {
            Some(b"BUSY") => Ending::TurnedAway,
            Some(b"ERR") => Ending::Errored,
            _ => Ending::Garbled,
        }),
        // Guards against noise that happens to be RESP: no other form is an answer.
        _ => Reply::bare(Ending::Garbled),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn replies_are_told_apart_however_they_are_split() {
        type Case = (&'static [u8], Ending, Option<&'static [u8]>, bool);
        let cases: &[Case] = &[
            (b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$6\r\nutil=1\r\n", Ending::Served, Some(b"v"), true),
            (b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", Ending::Served, Some(b""), true),
            (b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n", Ending::Missed, None, true),
            (b"*3\r\n$-1\r\n$7\r\npending\r\n$-1\r\n", Ending::Missed, None, true),
            (b"-ERR failed util=0.5\r\n", Ending::Errored, None, true),
            (b"-SYNTAX\r\n", Ending::Garbled, None, false),
            (b"$1\r\nv\r\n", Ending::Garbled, None, false),
            (b"$-1\r\n", Ending::Garbled, None, false),
            (b"*1\r\n$1\r\nv\r\n", Ending::Garbled, None, false),
            (b"*3\r\n$1\r\nv\r\n$-1\r\n:7\r\n", Ending::Served, Some(b"v"), true),
            (b"-BUSY\r\n", Ending::TurnedAway, None, true),
            (b"-BUSY util=0.5\r\n", Ending::TurnedAway, None, true),
            (b"-BUSYBODY\r\n", Ending::Garbled, None, false),
            (b"*0\r\n", Ending::Garbled, None, false),
            (b"*-1\r\n", Ending::Garbled, None, false),
            (b"+OK\r\n", Ending::Garbled, None, false),
            (b"*1\r\n*1\r\n$1\r\nv\r\n", Ending::Garbled, None, false),
        ];
        for &(bytes, ending, value, reusable) in cases {
            for at in 0..bytes.len() {
                let mut decoder = Decoder::default();
                assert_eq!(decoder.feed(&bytes[..at]), None, "{bytes:?} split at {at}");
                let value = value.map(<[u8]>::to_vec);
                let expected = Reply { ending, value, reusable };
                assert_eq!(decoder.feed(&bytes[at..]), Some(expected), "{bytes:?} split at {at}");
            }
        }
        let large = [b"*3\r\n$400000\r\n".as_slice(), &[b'v'; 400_000], b"\r\n$3\r\nhit\r\n$-1\r\n"].concat();
        assert_eq!(Decoder::default().feed(&large).map(|r| r.value.map(|v| v.len())), Some(Some(400_000)));
        assert_eq!(
            Decoder::default().feed(b"*3\r\n$3000000000\r\n").map(|r| r.ending),
            Some(Ending::Garbled)
        );
        assert_eq!(Decoder::default().feed(b"HTTP").map(|r| r.ending), Some(Ending::Garbled));
        let behind = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n+late\r\n";
        assert_eq!(
            Decoder::default().feed(behind).map(|r| (r.ending, r.reusable)),
            Some((Ending::Served, false))
        );
    }
}
