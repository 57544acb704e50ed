//! Incremental RESP2 parser, and encoders for bulk strings and commands.

use super::MAX_VALUE;
use std::ops::RangeInclusive;

/// Maximum number of elements of an array.
const MAX_ARRAY_ITEMS: usize = 64;
/// Maximum nesting depth of arrays.
const MAX_DEPTH: usize = 4;
/// Maximum length in bytes of a line with a length, a status or an error.
const MAX_LINE_BYTES: usize = 1024;
/// Step in bytes in which a buffer of at least that size grows. Doubling would take up to twice the memory.
const BUFFER_STEP: usize = 4 * 1024;
/// Maximum size in bytes of a message beyond its largest bulk string.
const MAX_OVERHEAD_BYTES: usize = 16 * 1024;

/// A RESP2 value.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Value {
    /// Simple string.
    Simple(Vec<u8>),
    /// Error.
    Error(Vec<u8>),
    /// Integer.
    Int(i64),
    /// Bulk string; `None` is null.
    Bulk(Option<Vec<u8>>),
    /// Array; `None` is null.
    Array(Option<Vec<Value>>),
}

/// The bytes are not valid RESP2 or exceed a limit. Contains the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// The start of an array, as seen by [`Reader::peek_array`].
#[derive(Debug, PartialEq, Eq)]
pub enum Head {
    /// More bytes are needed.
    Unknown,
    /// Not an array of the expected length whose first element is a non-null bulk string.
    Other,
    /// The array matches; describes its first bulk string.
    Bulk {
        /// Length of the string in bytes.
        length: usize,
        /// Offset of the string in the unread input.
        at: usize,
    },
}

/// Incremental parser of RESP2 values.
#[derive(Clone)]
pub struct Reader {
    /// Maximum length of a bulk string in bytes.
    max_bulk_bytes: usize,
    buffer: Vec<u8>,
    read: usize,
    /// Minimum number of unread bytes for the next value to be complete.
    needed: usize,
}

impl Default for Reader {
    fn default() -> Self {
        Reader::with_most(MAX_VALUE)
    }
}

struct Cursor<'a> {
    max_bulk_bytes: usize,
    bytes: &'a [u8],
    at: usize,
}

enum ParseError {
    /// More bytes are needed. Contains the minimum total, 0 if unknown.
    Incomplete(usize),
    Malformed(Malformed),
}

fn malformed<T>(text: &'static str) -> Result<T, ParseError> {
    Err(ParseError::Malformed(Malformed(text)))
}

impl<'a> Cursor<'a> {
    /// Reads one line, without its CR LF.
    fn line(&mut self) -> Result<&'a [u8], ParseError> {
        let rest = self.bytes.get(self.at..).unwrap_or_default();
        let Some(end) = rest.iter().take(MAX_LINE_BYTES + 2).position(|&b| b == b'\n') else {
            return if rest.len() > MAX_LINE_BYTES + 1 {
                malformed("line too long")
            } else {
                Err(ParseError::Incomplete(0))
            };
        };
        let line = rest.get(..end).and_then(|line| line.strip_suffix(b"\r"));
        self.at += end + 1;
        line.map_or_else(|| malformed("line does not end in CR LF"), Ok)
    }

    fn number(line: &[u8]) -> Result<i64, ParseError> {
        let text = std::str::from_utf8(line).ok().filter(|t| !t.starts_with('+'));
        text.and_then(|t| t.parse().ok()).map_or_else(|| malformed("not a number"), Ok)
    }

    /// Parses a length of at most `most`; -1 (null) is `None`.
    fn length(line: &[u8], most: usize) -> Result<Option<usize>, ParseError> {
        match Self::number(line)? {
            -1 => Ok(None),
            n => match usize::try_from(n) {
                Ok(n) if n <= most => Ok(Some(n)),
                Ok(_) => malformed("too large"),
                Err(_) => malformed("negative length"),
            },
        }
    }

    fn value(&mut self, depth: usize) -> Result<Value, ParseError> {
        // Checks the type byte before the line is complete, to reject garbage early.
        match self.bytes.get(self.at) {
            None => return Err(ParseError::Incomplete(0)),
            Some(b'+' | b'-' | b':' | b'$' | b'*') => {}
            Some(_) => return malformed("unknown type"),
        }
        let Some((kind, line)) = self.line()?.split_first() else { return malformed("empty line") };
        Ok(match kind {
            b'+' => Value::Simple(line.to_vec()),
            b'-' => Value::Error(line.to_vec()),
            b':' => Value::Int(Self::number(line)?),
            b'$' => Value::Bulk(match Self::length(line, self.max_bulk_bytes)? {
                None => None,
                Some(n) => {
                    let end = self.at + n;
                    let Some(tail) = self.bytes.get(end..end + 2) else {
                        return Err(ParseError::Incomplete(end + 2));
                    };
                    if tail != b"\r\n" {
                        return malformed("string does not end in CR LF");
                    }
                    let bytes = self.bytes.get(self.at..end).unwrap_or_default().to_vec();
                    self.at = end + 2;
                    Some(bytes)
                }
            }),
            _ => Value::Array(match Self::length(line, MAX_ARRAY_ITEMS)? {
                None => None,
                Some(_) if depth >= MAX_DEPTH => return malformed("nested too deep"),
                Some(n) => Some((0..n).map(|_| self.value(depth + 1)).collect::<Result<_, _>>()?),
            }),
        })
    }
}

impl Reader {
    /// Creates a reader that accepts bulk strings of at most `most` bytes.
    pub fn with_most(most: usize) -> Self {
        Reader { max_bulk_bytes: most, buffer: Vec::new(), read: 0, needed: 0 }
    }

    /// Feeds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.read > 0 {
            self.buffer.drain(..self.read);
            self.read = 0;
        }
        let length = self.buffer.len() + bytes.len();
        if length > self.buffer.capacity() {
            let capacity = match length {
                ..BUFFER_STEP => length.next_power_of_two(),
                _ => length.next_multiple_of(BUFFER_STEP),
            };
            self.buffer.reserve_exact(capacity - self.buffer.len());
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of unread bytes in the buffer.
    pub fn pending(&self) -> usize {
        self.buffer.len() - self.read
    }

    /// Memory that the buffer takes, in bytes.
    pub fn buffer_capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Minimum number of bytes, at least 1, still needed to complete the next value, which must be incomplete.
    pub fn bytes_needed(&self) -> usize {
        self.needed.saturating_sub(self.pending()).max(1)
    }

    /// Inspects the start of the next value for an array of `items` elements whose first is a bulk string.
    pub fn peek_array(&self, items: usize) -> Result<Head, Malformed> {
        let bytes = self.buffer.get(self.read..).unwrap_or_default();
        let mut cursor = Cursor { max_bulk_bytes: usize::MAX, bytes, at: 0 };
        let mut parse = || -> Result<Head, ParseError> {
            if bytes.first().is_some_and(|&b| b != b'*') {
                return Ok(Head::Other);
            }
            let line = cursor.line()?;
            let count = Cursor::length(line.get(1..).unwrap_or_default(), MAX_ARRAY_ITEMS)?;
            if count != Some(items) {
                return Ok(Head::Other);
            }
            if bytes.get(cursor.at).is_some_and(|&b| b != b'$') {
                return Ok(Head::Other);
            }
            let line = cursor.line()?;
            let length = Cursor::length(line.get(1..).unwrap_or_default(), usize::MAX)?;
            Ok(length.map_or(Head::Other, |length| Head::Bulk { length, at: cursor.at }))
        };
        match parse() {
            Ok(head) => Ok(head),
            Err(ParseError::Incomplete(_)) => Ok(Head::Unknown),
            Err(ParseError::Malformed(malformed)) => Err(malformed),
        }
    }

    /// Inspects the next value for a command of `words` words whose last one has a length in `lengths`. Returns the words
    /// before it, its length and its offset.
    pub fn peek_last_word(
        &self,
        words: usize,
        lengths: RangeInclusive<usize>,
    ) -> Option<(Vec<Value>, usize, usize)> {
        let bytes = self.buffer.get(self.read..).unwrap_or_default();
        let mut cursor = Cursor { max_bulk_bytes: self.max_bulk_bytes, bytes, at: 0 };
        let mut parse = || -> Result<_, ParseError> {
            let line = cursor.line()?;
            if line != format!("*{words}").as_bytes() {
                return malformed("another number of words");
            }
            let before = (1..words).map(|_| cursor.value(1)).collect::<Result<Vec<Value>, ParseError>>()?;
            let line = cursor.line()?;
            let Some(rest) = line.strip_prefix(b"$") else { return malformed("no string") };
            Ok((before, Cursor::length(rest, *lengths.end())?))
        };
        match parse() {
            Ok((before, Some(length))) if lengths.contains(&length) => Some((before, length, cursor.at)),
            _ => None,
        }
    }

    /// Skips the CR LF after a bulk string; `None` while it is incomplete.
    pub fn skip_bulk_end(&mut self) -> Result<Option<()>, Malformed> {
        let ended = starts_with_crlf(self.buffer.get(self.read..).unwrap_or_default())?;
        Ok(ended.then(|| self.skip(2)))
    }

    /// Skips `n` unread bytes, or all if there are fewer. Frees the buffer once nothing is unread.
    pub fn skip(&mut self, n: usize) {
        self.read = (self.read + n).min(self.buffer.len());
        if self.read == self.buffer.len() {
            (self.buffer, self.read) = (Vec::new(), 0);
        }
    }

    /// Removes and returns `n` unread bytes, or all if there are fewer.
    pub fn take_bytes(&mut self, n: usize) -> Vec<u8> {
        let bytes = self.buffer.get(self.read..).unwrap_or_default();
        let taken = bytes.get(..n.min(bytes.len())).unwrap_or_default().to_vec();
        self.skip(taken.len());
        taken
    }

    /// Reads the CR LF after a bulk string and the next `values` values; `None` while they are incomplete.
    pub fn values_after_bulk(&mut self, values: usize) -> Result<Option<Vec<Value>>, Malformed> {
        let bytes = self.buffer.get(self.read..).unwrap_or_default();
        if !starts_with_crlf(bytes)? {
            return Ok(None);
        }
        let mut cursor = Cursor { max_bulk_bytes: self.max_bulk_bytes, bytes, at: 2 };
        match (0..values).map(|_| cursor.value(1)).collect::<Result<Vec<Value>, ParseError>>() {
            Ok(values) => {
                let at = cursor.at;
                self.skip(at);
                Ok(Some(values))
            }
            Err(ParseError::Incomplete(_)) if bytes.len() <= self.max_bulk_bytes + MAX_OVERHEAD_BYTES => {
                Ok(None)
            }
            Err(ParseError::Incomplete(_)) => Err(Malformed("message too large")),
            Err(ParseError::Malformed(malformed)) => Err(malformed),
        }
    }

    /// Returns the next complete value, `None` while it is incomplete.
    pub fn next_value(&mut self) -> Result<Option<Value>, Malformed> {
        let bytes = self.buffer.get(self.read..).unwrap_or_default();
        if bytes.len() < self.needed.max(1) {
            return Ok(None);
        }
        let mut cursor = Cursor { max_bulk_bytes: self.max_bulk_bytes, bytes, at: 0 };
        match cursor.value(0) {
            Ok(value) => {
                let at = cursor.at;
                self.needed = 0;
                self.skip(at);
                Ok(Some(value))
            }
            Err(ParseError::Incomplete(needed))
                if bytes.len().max(needed) <= self.max_bulk_bytes + MAX_OVERHEAD_BYTES =>
            {
                self.needed = needed;
                Ok(None)
            }
            Err(ParseError::Incomplete(_)) => Err(Malformed("message too large")),
            Err(ParseError::Malformed(malformed)) => Err(malformed),
        }
    }
}

/// Appends a bulk string.
pub fn write_bulk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// Whether `bytes` start with CR LF; false while these are incomplete.
fn starts_with_crlf(bytes: &[u8]) -> Result<bool, Malformed> {
    let end = bytes.get(..bytes.len().min(2)).unwrap_or_default();
    let complete = end == b"\r\n";
    let is_prefix = b"\r\n".starts_with(end);
    is_prefix.then_some(complete).ok_or(Malformed("string does not end in CR LF"))
}

/// Appends the header of an array of `count` elements, and `words` as its first elements.
fn write_array_start(out: &mut Vec<u8>, count: usize, words: &[&[u8]]) {
    out.extend_from_slice(format!("*{count}\r\n").as_bytes());
    for word in words {
        write_bulk(out, word);
    }
}

/// Appends a command: an array of bulk strings.
pub fn write_command(out: &mut Vec<u8>, words: &[&[u8]]) {
    write_array_start(out, words.len(), words);
}

/// Appends a command whose last word has `last` bytes and is sent separately, followed by CR LF.
pub fn write_command_head(out: &mut Vec<u8>, words: &[&[u8]], last: usize) {
    write_array_start(out, words.len() + 1, words);
    out.extend_from_slice(format!("${last}\r\n").as_bytes());
}

#[cfg(test)]
mod tests;
