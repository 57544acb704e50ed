//! Sound servers that pause within their replies or give them slowly, and always give them whole.

use super::connection_server::{read_http_request, start_server};
use super::read_command;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::time::Duration;

/// The beginning of the keys whose values are given at a pace. Values of other keys are short and given at once.
pub const PACED_PREFIX: &str = "paced-";
/// The beginning of the keys of the same values, given at once.
pub const AT_ONCE_PREFIX: &str = "at-once-";
/// Length of the value of any other key.
const SHORT_BYTES: usize = 16;
/// Bytes of a chunk of a value without pauses.
const CHUNK_BYTES: usize = 32 * 1024;

/// How the length of a value is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// Its length comes first.
    Length,
    /// It comes in chunks, from an origin only.
    Chunks,
    /// It ends with its connection, from an origin only.
    UntilClose,
}

/// A pause before this byte of the value; 0 is right behind the head.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    pub before: usize,
    pub time: Duration,
}

/// How a server gives values.
#[derive(Clone, Copy, Debug)]
pub struct Giving {
    pub bytes: usize,
    pub framing: Framing,
    /// In the order of their places.
    pub pauses: &'static [Pause],
    /// All values of this length are the same, whatever their request is.
    pub same: bool,
}

impl Giving {
    /// A value of this length, with its length and no pause.
    pub const fn at_once(bytes: usize) -> Giving {
        Giving { bytes, framing: Framing::Length, pauses: &[], same: false }
    }

    /// The value that is made for a request.
    pub fn value(&self, id: &str) -> Vec<u8> {
        let seed = if self.same { "the-same-each-time" } else { id };
        seed.bytes().cycle().take(self.bytes).collect()
    }

    /// The ranges of the value between its pauses, each with the pause before it.
    fn pieces(&self) -> Vec<(Duration, Range<usize>)> {
        let (mut pieces, mut at, mut pause) = (Vec::new(), 0, Duration::ZERO);
        for next in self.pauses {
            pieces.push((pause, at..next.before));
            (at, pause) = (next.before, next.time);
        }
        pieces.push((pause, at..self.bytes));
        pieces
    }
}

/// The value of a key that is given at once and short.
pub fn short_value(id: &str) -> Vec<u8> {
    id.bytes().cycle().take(SHORT_BYTES).collect()
}

/// What a server is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    /// A cache that has every key.
    Cache,
    /// A cache that has no key.
    EmptyCache,
    Origin,
}

/// Starts a server that gives values like this.
pub fn start(role: Role, giving: Giving) -> SocketAddr {
    start_server(move |stream| serve(stream, role, giving))
}

fn serve(mut stream: TcpStream, role: Role, giving: Giving) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    loop {
        let (key, id) = match role {
            Role::Origin => read_http_request(&mut stream)?,
            _ => read_command(&mut stream).map(|words| (words[1].clone(), words[2].clone()))?,
        };
        let key = key.trim_start_matches('/');
        let reply = match key {
            _ if role == Role::EmptyCache => {
                stream.write_all(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n").ok()?;
                continue;
            }
            _ if key.starts_with(PACED_PREFIX) => giving,
            _ if key.starts_with(AT_ONCE_PREFIX) => Giving { pauses: &[], ..giving },
            _ => Giving { same: false, ..Giving::at_once(SHORT_BYTES) },
        };
        let closes = write_reply(&mut stream, role, reply, &id)?;
        if closes {
            return Some(());
        }
    }
}

/// Writes a whole reply. Returns whether the connection ends with it.
fn write_reply(stream: &mut TcpStream, role: Role, giving: Giving, id: &str) -> Option<bool> {
    let (value, length) = (giving.value(id), giving.bytes);
    let (head, tail) = match (role, giving.framing) {
        (Role::Origin, Framing::Length) => {
            (format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"), "")
        }
        (Role::Origin, Framing::Chunks) => {
            ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(), "0\r\n\r\n")
        }
        (Role::Origin, Framing::UntilClose) => ("HTTP/1.1 200 OK\r\n\r\n".to_owned(), ""),
        _ => (format!("*3\r\n${length}\r\n"), "\r\n$3\r\nhit\r\n$-1\r\n"),
    };
    stream.write_all(head.as_bytes()).ok()?;
    for (pause, range) in giving.pieces() {
        std::thread::sleep(pause);
        let piece = &value[range];
        match giving.framing {
            Framing::Chunks => {
                for chunk in piece.chunks(CHUNK_BYTES) {
                    stream.write_all(format!("{:x}\r\n", chunk.len()).as_bytes()).ok()?;
                    stream.write_all(chunk).ok()?;
                    stream.write_all(b"\r\n").ok()?;
                }
            }
            _ => stream.write_all(piece).ok()?,
        }
    }
    stream.write_all(tail.as_bytes()).ok()?;
    Some(giving.framing == Framing::UntilClose && role == Role::Origin)
}
