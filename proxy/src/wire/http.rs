//! Incremental decoder of HTTP/1.1 responses.

/// Maximum size of the head, and of a chunk size or trailer line.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of headers.
const MAX_HEADERS: usize = 64;

/// A decoded part of a response.
#[derive(Debug, PartialEq)]
pub enum Part {
    /// The response head.
    Head {
        /// Status code.
        status: u16,
        /// `X-Rejected: 1` is set: the request was not executed.
        rejected: bool,
        /// Value of `Content-Length`; `None` for a chunked body.
        length: Option<u64>,
    },
    /// Bytes of the body.
    Data(Vec<u8>),
    /// End of the response.
    End {
        /// The connection can be reused: it is persistent and has no bytes after the response.
        reusable: bool,
    },
}

enum State {
    Head,
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Decoder of one response.
pub struct Decoder {
    state: State,
    buffer: Vec<u8>,
    /// Number of consumed bytes in the buffer. Removed once per feed, not per chunk, to avoid quadratic copying.
    consumed: usize,
    keep_alive: bool,
    /// The length that was declared for a chunked body, less that of the chunks received.
    chunks_add_up_to: Option<u64>,
    /// Another response may begin within the head or the trailers.
    holds_status_line: bool,
}

/// The bytes are not a valid HTTP response, or exceed a limit.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

impl Default for Decoder {
    fn default() -> Self {
        Decoder {
            state: State::Head,
            buffer: Vec::new(),
            consumed: 0,
            keep_alive: true,
            chunks_add_up_to: None,
            holds_status_line: false,
        }
    }
}

impl Decoder {
    /// Feeds received bytes and returns the parts that they complete. Bytes fed after the end are an error.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Part>, Malformed> {
        // Bytes after the end of the response would never be consumed.
        if matches!(self.state, State::Done) && !bytes.is_empty() {
            return Err(Malformed);
        }
        self.buffer.drain(..std::mem::take(&mut self.consumed));
        self.buffer.extend_from_slice(bytes);
        let mut parts = Vec::new();
        while let Some(part) = self.next_part()? {
            let end = matches!(part, Part::End { .. });
            parts.push(part);
            if end {
                break;
            }
        }
        Ok(parts)
    }

    /// Whether another response may begin within the head or the trailers received so far.
    pub fn holds_status_line(&self) -> bool {
        self.holds_status_line
    }

    /// Whether received bytes are not yet part of a decoded part.
    pub fn has_unread(&self) -> bool {
        !self.unread().is_empty()
    }

    /// Received bytes that are not consumed yet.
    fn unread(&self) -> &[u8] {
        self.buffer.get(self.consumed..).unwrap_or_default()
    }

    /// Reports that the server closed the connection, which ends a body without a declared length.
    pub fn closed(&mut self) -> Option<Part> {
        matches!(self.state, State::UntilClose).then(|| {
            self.state = State::Done;
            Part::End { reusable: false }
        })
    }

    fn finish(&mut self) -> Result<Part, Malformed> {
        if self.chunks_add_up_to.is_some_and(|left| left > 0) {
            return Err(Malformed);
        }
        self.state = State::Done;
        Ok(Part::End { reusable: self.keep_alive && self.unread().is_empty() })
    }

    fn consume(&mut self, n: usize) -> &[u8] {
        let from = self.consumed;
        self.consumed = (from + n).min(self.buffer.len());
        self.buffer.get(from..self.consumed).unwrap_or_default()
    }

    /// Length of the next line, line feed included; `None` if it is incomplete.
    fn line_length(&self) -> Result<Option<usize>, Malformed> {
        match self.unread().iter().position(|&b| b == b'\n') {
            Some(at) => Ok(Some(at + 1)),
            None if self.unread().len() > MAX_HEAD_BYTES => Err(Malformed),
            None => Ok(None),
        }
    }

    fn next_part(&mut self) -> Result<Option<Part>, Malformed> {
        loop {
            match self.state {
                State::Head => match self.parse_head()? {
                    Some(part) => return Ok(Some(part)),
                    None if matches!(self.state, State::Head) && self.skip_interim()? => {}
                    None => return Ok(None),
                },
                State::Length(0) => return Ok(Some(self.finish()?)),
                State::Length(left) | State::Chunk(left) if left > 0 => {
                    if self.unread().is_empty() {
                        return Ok(None);
                    }
                    let n = left.min(self.unread().len() as u64);
                    let chunked = matches!(self.state, State::Chunk(_));
                    self.state = if chunked { State::Chunk(left - n) } else { State::Length(left - n) };
                    return Ok(Some(Part::Data(self.consume(n as usize).to_vec())));
                }
                State::Length(_) | State::Chunk(_) => self.state = State::ChunkEnd,
                State::ChunkSize => match httparse::parse_chunk_size(self.unread()) {
                    Ok(httparse::Status::Complete((n, size))) => {
                        self.consume(n);
                        if let Some(left) = &mut self.chunks_add_up_to {
                            *left = left.checked_sub(size).ok_or(Malformed)?;
                        }
                        self.state = if size == 0 { State::Trailer } else { State::Chunk(size) };
                    }
                    Ok(httparse::Status::Partial) if self.unread().len() <= MAX_HEAD_BYTES => {
                        return Ok(None)
                    }
                    _ => return Err(Malformed),
                },
                State::ChunkEnd => match self.line_length()? {
                    Some(n) if matches!(self.consume(n), b"\r\n" | b"\n") => {
                        self.state = State::ChunkSize;
                    }
                    Some(_) => return Err(Malformed),
                    None => return Ok(None),
                },
                State::Trailer => match self.line_length()? {
                    Some(n) => {
                        let line = self.consume(n);
                        if matches!(line, b"\r\n" | b"\n") {
                            return Ok(Some(self.finish()?));
                        }
                        let holds_status_line = contains_status_line(line);
                        self.holds_status_line |= holds_status_line;
                    }
                    None => return Ok(None),
                },
                State::UntilClose if self.unread().is_empty() => return Ok(None),
                State::UntilClose => {
                    let n = self.unread().len();
                    return Ok(Some(Part::Data(self.consume(n).to_vec())));
                }
                State::Done => return Ok(None),
            }
        }
    }

    /// Skips an interim response (1xx). Returns false if the head is incomplete.
    fn skip_interim(&mut self) -> Result<bool, Malformed> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(self.buffer.get(self.consumed..).unwrap_or_default()) {
            Ok(httparse::Status::Complete(n)) if head.code.is_some_and(|c| c < 200 && c != 101) => {
                self.consume(n);
                Ok(true)
            }
            Ok(httparse::Status::Complete(_)) | Err(_) => Err(Malformed),
            Ok(httparse::Status::Partial) => Ok(false),
        }
    }

    fn parse_head(&mut self) -> Result<Option<Part>, Malformed> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let n = match head.parse(self.buffer.get(self.consumed..).unwrap_or_default()) {
            Ok(httparse::Status::Complete(n)) => n,
            Ok(httparse::Status::Partial) if self.unread().len() <= MAX_HEAD_BYTES => return Ok(None),
            _ => return Err(Malformed),
        };
        let status = head.code.ok_or(Malformed)?;
        if status < 200 {
            return Ok(None);
        }
        let (mut length, mut chunked, mut rejected) = (None, false, false);
        let mut holds_status_line = head.reason.is_some_and(|reason| contains_status_line(reason.as_bytes()));
        self.keep_alive = head.version == Some(1);
        for header in head.headers.iter() {
            let value = std::str::from_utf8(header.value).map_err(|_| Malformed)?.trim();
            holds_status_line |= contains_status_line(header.value);
            let is_header = |name: &str| header.name.eq_ignore_ascii_case(name);
            if is_header("content-length") {
                let n: u64 = value.parse().map_err(|_| Malformed)?;
                if length.is_some_and(|l| l != n) {
                    return Err(Malformed);
                }
                length = Some(n);
            } else if is_header("transfer-encoding") {
                chunked = value.to_ascii_lowercase().ends_with("chunked");
            } else if is_header("connection") {
                self.keep_alive &= !value.to_ascii_lowercase().contains("close");
            } else if is_header("x-rejected") {
                rejected = value == "1";
            }
        }
        // Chunks override a declared length, which they have to add up to.
        self.chunks_add_up_to = length.filter(|_| chunked);
        let length = length.filter(|_| !chunked);
        self.state = match length {
            _ if matches!(status, 204 | 304) => State::Length(0),
            _ if chunked => State::ChunkSize,
            Some(n) => State::Length(n),
            None => State::UntilClose,
        };
        self.consume(n);
        self.holds_status_line |= holds_status_line;
        Ok(Some(Part::Head { status, rejected, length }))
    }
}

/// Whether a status line begins in a line, as where a response was cut off within a header and another one follows.
fn contains_status_line(line: &[u8]) -> bool {
    const VERSION: &[u8] = b"HTTP/1.";
    let after_version = |at: usize| line.get(at + VERSION.len()..).unwrap_or_default();
    let is_status =
        |rest: &[u8]| matches!(rest, [b'0'..=b'9', b' ', b'1'..=b'5', b'0'..=b'9', b'0'..=b'9', ..]);
    line.windows(VERSION.len())
        .enumerate()
        .any(|(at, window)| window == VERSION && is_status(after_version(at)))
}

#[cfg(test)]
mod tests;
