//! Where messages end in a stream: RESP2 values, and HTTP/1.1 heads with their bodies. A byte at a time, from the
//! published specifications and not from the proxy's own readers, which are what is tested.

/// What is spoken on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// RESP2, either way.
    Resp,
    /// HTTP/1.1, either way.
    Http,
}

/// A head longer than this is taken for a message of its own.
const MOST_HEAD: usize = 64 * 1024;
/// Arrays nested deeper than this are taken for garbage: a line is a message then.
const MOST_DEPTH: usize = 32;

enum State {
    /// The next byte begins a RESP2 element.
    Element,
    /// In the line of one, which began with this byte; the number so far, and whether it has a minus.
    Line(u8, u64, bool),
    /// So many bytes of a string, or of a body, are left.
    Bytes(u64),
    /// In an HTTP head.
    Head,
    /// In the line of a chunk's size; the size so far, and whether its digits are over.
    ChunkSize(u64, bool),
    /// So many bytes of a chunk, with its line end, are left.
    Chunk(u64),
    /// In the lines behind the last chunk; the bytes of the line so far.
    Trailer(usize),
    /// A body that only the connection's end ends.
    Endless,
}

/// Follows one direction of a connection.
pub struct Frames {
    protocol: Protocol,
    state: State,
    /// Elements left of the arrays that are open, outermost first.
    open: Vec<u64>,
    head: Vec<u8>,
}

impl Frames {
    /// At the beginning of a connection.
    pub fn new(protocol: Protocol) -> Self {
        let state = if protocol == Protocol::Resp { State::Element } else { State::Head };
        Frames { protocol, state, open: Vec::new(), head: Vec::new() }
    }

    /// Takes one byte; whether a message ends with it. Every chunk of a chunked body is a message, as is its head: a
    /// watch has an event in each.
    pub fn push(&mut self, byte: u8) -> bool {
        match self.protocol {
            Protocol::Resp => self.resp(byte),
            Protocol::Http => self.http(byte),
        }
    }

    fn resp(&mut self, byte: u8) -> bool {
        match &mut self.state {
            State::Line(kind, number, minus) => {
                match byte {
                    b'0'..=b'9' => {
                        *number = number.saturating_mul(10).saturating_add(u64::from(byte - b'0'));
                        return false;
                    }
                    b'-' => {
                        *minus = true;
                        return false;
                    }
                    b'\n' => {}
                    _ => return false,
                }
                let (kind, number, null) = (*kind, *number, *minus);
                self.state = State::Element;
                match kind {
                    b'$' if !null => {
                        self.state = State::Bytes(number.saturating_add(2));
                        false
                    }
                    b'*' if !null && number > 0 && self.open.len() < MOST_DEPTH => {
                        self.open.push(number);
                        false
                    }
                    _ => self.element_ends(),
                }
            }
            State::Bytes(left) if *left > 1 => {
                *left -= 1;
                false
            }
            State::Bytes(_) => {
                self.state = State::Element;
                self.element_ends()
            }
            _ => {
                self.state = State::Line(byte, 0, false);
                // A line end alone is a line, too.
                byte == b'\n' && self.resp(byte)
            }
        }
    }

    /// One element is whole: whether the outermost one is.
    fn element_ends(&mut self) -> bool {
        while let Some(left) = self.open.last_mut() {
            *left -= 1;
            if *left > 0 {
                return false;
            }
            self.open.pop();
        }
        true
    }

    fn http(&mut self, byte: u8) -> bool {
        match &mut self.state {
            State::Bytes(left) if *left > 1 => {
                *left -= 1;
                false
            }
            State::Chunk(left) if *left > 1 => {
                *left -= 1;
                false
            }
            State::Chunk(_) => {
                self.state = State::ChunkSize(0, false);
                true
            }
            State::ChunkSize(size, over) => {
                match (byte as char).to_digit(16) {
                    _ if byte == b'\n' => {
                        self.state =
                            if *size == 0 { State::Trailer(0) } else { State::Chunk(size.saturating_add(2)) };
                    }
                    Some(digit) if !*over => {
                        *size = size.saturating_mul(16).saturating_add(u64::from(digit));
                    }
                    _ => *over = true,
                }
                false
            }
            State::Trailer(length) => {
                if byte != b'\n' {
                    *length += usize::from(byte != b'\r');
                    return false;
                }
                let over = *length == 0;
                self.state = if over { State::Head } else { State::Trailer(0) };
                over
            }
            State::Endless => false,
            State::Head => {
                self.head.push(byte);
                if !self.head.ends_with(b"\r\n\r\n") {
                    return self.head.len() >= MOST_HEAD && self.head_ends();
                }
                self.head_ends()
            }
            _ => {
                self.state = State::Head;
                true
            }
        }
    }

    /// A head is whole: whether the message ends with it.
    fn head_ends(&mut self) -> bool {
        let head = String::from_utf8_lossy(&std::mem::take(&mut self.head)).to_ascii_lowercase();
        let header = |name: &str| {
            head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(':').map(|v| v.trim().to_owned()))
        };
        let length = header("content-length").and_then(|v| v.parse::<u64>().ok());
        let answer = head.starts_with("http/");
        let bare =
            ["204", "304", "1"].iter().any(|s| head.split(' ').nth(1).is_some_and(|c| c.starts_with(s)));
        let chunked = header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        self.state = match length {
            _ if chunked => State::ChunkSize(0, false),
            Some(0) => State::Head,
            Some(n) => State::Bytes(n),
            None if answer && !bare => State::Endless,
            None => State::Head,
        };
        chunked || matches!(self.state, State::Head)
    }
}
