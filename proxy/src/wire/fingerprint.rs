//! Fingerprints of replies, by which a reply is told from a copy of an earlier one or from the beginning of such a copy.
//!
//! The beginning of a copy that was cut off runs into the reply behind it, and both can be read as one reply: a value that
//! is too long by the copy's length, or a word that ends in the other reply's first bytes. So besides its digest a
//! fingerprint says where another reply may begin inside of it, and how its value starts.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Length in bytes of the start of a value that is compared.
const PREFIX_BYTES: usize = 8;
/// Length in bytes of the longest text that begins a reply, less one: so much of a value is kept between its parts.
const MAX_OVERLAP: usize = 6;

/// The texts that replies of a protocol begin with.
#[derive(Clone, Copy, Debug)]
pub struct ReplyStarts {
    texts: &'static [&'static [u8]],
    /// The first bytes of all texts, the same one twice if they share it.
    first_bytes: [u8; 2],
}

/// The starts of replies in RESP2: a value or a miss, a rejection and an error.
pub const RESP_REPLY_STARTS: ReplyStarts =
    ReplyStarts { texts: &[b"*3\r\n", b"-BUSY", b"-ERR"], first_bytes: *b"*-" };
/// The start of a response in HTTP/1.x.
pub const HTTP_REPLY_STARTS: ReplyStarts = ReplyStarts { texts: &[b"HTTP/1."], first_bytes: *b"HH" };

impl ReplyStarts {
    /// The first position at which a reply may begin in `bytes`. At the end of the text, part of a start is enough if
    /// `is_end`.
    fn find(self, bytes: &[u8], is_end: bool) -> Option<usize> {
        let begins_at = |at: usize| {
            let rest = bytes.get(at..).unwrap_or_default();
            self.texts.iter().any(|start| rest.starts_with(start) || is_end && start.starts_with(rest))
        };
        let [a, b] = self.first_bytes;
        memchr::memchr2_iter(a, b, bytes).find(|&at| begins_at(at))
    }

    /// Whether a reply may begin anywhere in this text.
    pub fn may_begin_in(self, text: &[u8]) -> bool {
        self.find(text, true).is_some()
    }
}

/// The first bytes of a value, eight at most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ValuePrefix {
    bytes: [u8; PREFIX_BYTES],
    length: u8,
}

impl ValuePrefix {
    fn push(&mut self, data: &[u8]) {
        for &byte in data {
            let Some(free) = self.bytes.get_mut(usize::from(self.length)) else { return };
            *free = byte;
            self.length += 1;
        }
    }

    /// The first bytes, `length` of them at most.
    fn first(&self, length: usize) -> &[u8] {
        self.bytes.get(..length.min(usize::from(self.length))).unwrap_or_default()
    }

    /// Whether the values may share their first `length` bytes.
    pub fn may_share(&self, other: &ValuePrefix, length: usize) -> bool {
        let length = length.min(PREFIX_BYTES);
        self.first(length).len() == length && self.first(length) == other.first(length)
    }
}

/// Length in bytes of the start by which large values of the same length are told apart.
const START_BYTES: usize = 256;

/// How a large value begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ValueStart {
    /// Length of the value in bytes, as its reply announces it.
    pub length: usize,
    /// Digest of its first 256 bytes.
    pub digest: u64,
    /// Whether another reply may begin within them.
    pub contains_reply: bool,
}

/// The fingerprint of a complete reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint {
    /// Digest of the value, or of the whole reply if it has none. Equal ones have equal digests.
    pub digest: u64,
    /// The start of the value; `None` for a reply without one.
    pub prefix: Option<ValuePrefix>,
    /// The first position in the value at which another reply may begin.
    pub reply_in_value: Option<usize>,
    /// Whether another reply may begin outside of the value.
    pub reply_elsewhere: bool,
    /// How its value begins; `None` unless the value is large.
    pub value_start: Option<ValueStart>,
}

/// Computes the fingerprint of a reply while it is received.
pub struct Fingerprinter {
    starts: ReplyStarts,
    hasher: DefaultHasher,
    prefix: Option<ValuePrefix>,
    /// The last bytes of the value, which may be part of a start.
    tail: Vec<u8>,
    value_bytes: usize,
    reply_in_value: Option<usize>,
    reply_elsewhere: bool,
    large_value: Option<LargeValue>,
}

/// What is computed of a large value besides.
struct LargeValue {
    /// Its length in bytes, as its reply announces it.
    length: usize,
    /// Digest of its first bytes, [`START_BYTES`] at most.
    start: DefaultHasher,
}

impl Fingerprinter {
    /// Starts with no reply received.
    pub fn new(starts: ReplyStarts) -> Self {
        Fingerprinter {
            starts,
            hasher: DefaultHasher::new(),
            prefix: None,
            tail: Vec::new(),
            value_bytes: 0,
            reply_in_value: None,
            reply_elsewhere: false,
            large_value: None,
        }
    }

    /// Records that a large value of this length in bytes follows.
    pub fn begin_large_value(&mut self, length: usize) {
        self.large_value = Some(LargeValue { length, start: DefaultHasher::new() });
    }

    /// How the large value begins; `None` before enough of it was received.
    pub fn value_start(&self) -> Option<ValueStart> {
        let value = self.large_value.as_ref()?;
        // A reply that begins at the end of the start must have been received far enough to be recognized.
        (self.value_bytes >= START_BYTES + MAX_OVERLAP).then(|| ValueStart {
            length: value.length,
            digest: value.start.finish(),
            contains_reply: self.reply_in_value.is_some_and(|at| at < START_BYTES),
        })
    }

    /// Adds the next bytes of the value.
    pub fn push_value(&mut self, data: &[u8]) {
        self.hasher.write(data);
        self.prefix.get_or_insert_default().push(data);
        if let Some(value) = &mut self.large_value {
            let missing = START_BYTES.saturating_sub(self.value_bytes);
            value.start.write(data.get(..missing).unwrap_or(data));
        }
        if self.reply_in_value.is_none() {
            self.reply_in_value = self.find_reply(data);
        }
        self.value_bytes += data.len();
    }

    /// The first position in the value at which a reply begins that ends in `data`, the next bytes of the value.
    fn find_reply(&mut self, data: &[u8]) -> Option<usize> {
        let before = self.value_bytes - self.tail.len();
        // A start that is split between the last bytes and these.
        self.tail.extend(data.iter().take(MAX_OVERLAP));
        let split = self.starts.find(&self.tail, false).map(|at| before + at);
        if data.len() < MAX_OVERLAP {
            self.tail.drain(..self.tail.len().saturating_sub(MAX_OVERLAP));
            return split;
        }
        self.tail.clear();
        self.tail.extend_from_slice(data.get(data.len() - MAX_OVERLAP..).unwrap_or_default());
        split.or_else(|| self.starts.find(data, false).map(|at| self.value_bytes + at))
    }

    /// Adds to the digest what tells replies apart besides their values, such as their kind.
    pub fn push_kind(&mut self, kind: impl Hash) {
        kind.hash(&mut self.hasher);
    }

    /// Records a text beside the value, in which no other reply should begin.
    pub fn check(&mut self, text: &[u8]) {
        self.reply_elsewhere |= self.starts.may_begin_in(text);
    }

    /// Records that something beside the value is what another reply begins with.
    pub fn mark_reply_elsewhere(&mut self) {
        self.reply_elsewhere = true;
    }

    /// The fingerprint of the reply, which is complete.
    pub fn finish(&self) -> Fingerprint {
        let at_end = || {
            let before = self.value_bytes - self.tail.len();
            self.starts.find(&self.tail, true).map(|at| before + at)
        };
        Fingerprint {
            digest: self.hasher.finish(),
            prefix: self.prefix,
            reply_in_value: self.reply_in_value.or_else(at_end),
            reply_elsewhere: self.reply_elsewhere,
            value_start: self.value_start(),
        }
    }
}

#[cfg(test)]
pub(super) mod tests;
