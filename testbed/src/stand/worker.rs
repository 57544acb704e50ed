//! A worker's side of RESP2: commands in, answers out. Strict, as the pages have it: a command in a form that no client
//! sent is answered `-SYNTAX`, which says that whatever sent it is wrong.

use super::{Garbage, Info};
use notchdoor_proxy::wire::resp::{write_bulk, Reader, Value};

/// What a worker is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// A read.
    Get {
        /// The key.
        key: String,
        /// The request's id.
        id: String,
        /// The list of names and values.
        info: Info,
    },
    /// A write, which is not for a worker: it does nothing but store.
    Set {
        /// The key.
        key: String,
        /// The request's id.
        id: String,
        /// The list of names and values.
        info: Info,
        /// What is written.
        value: Vec<u8>,
    },
    /// `PING`.
    Ping,
    /// `INFO load`.
    Load,
    /// `CLIENT` and `SELECT`, which libraries send.
    Fine,
    /// Another command.
    Unknown,
    /// A known command in a form that no client sent.
    Syntax,
}

/// How a read went, where workers tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Went {
    /// The key was there.
    Hit,
    /// It was not.
    Miss,
    /// It was not, and another fetch of it is out.
    Pending,
}

/// What a worker says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Say {
    /// A value, with how it went and the load report where they are told.
    Value(Vec<u8>, Option<Went>, Option<String>),
    /// No value.
    Miss(Option<Went>, Option<String>),
    /// It failed.
    Failed,
    /// Turned away.
    Busy,
    /// `+PONG`.
    Pong,
    /// `+OK`.
    Ok,
    /// The load report by itself.
    Report(String),
    /// `INFO load` where probes are not allowed.
    NoPerm,
    /// Another command.
    Unknown,
    /// A form that no client sent.
    Syntax,
}

/// Reads a connection's commands.
#[derive(Default)]
pub struct Commands(Reader);

impl Commands {
    /// Takes what has come in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.0.feed(bytes);
    }

    /// The next whole command, `None` while there is none.
    pub fn next_ask(&mut self) -> Result<Option<Ask>, Garbage> {
        let Some(value) = self.0.next_value().map_err(|_| Garbage)? else { return Ok(None) };
        let Value::Array(Some(items)) = value else { return Err(Garbage) };
        let word = |value: Value| match value {
            Value::Bulk(Some(bytes)) => Ok(bytes),
            _ => Err(Garbage),
        };
        let words = items.into_iter().map(word).collect::<Result<Vec<_>, _>>()?;
        Ok(Some(ask(&words)))
    }
}

fn ask(words: &[Vec<u8>]) -> Ask {
    let text = |i: usize| words.get(i).and_then(|w| std::str::from_utf8(w).ok());
    let Some(name) = text(0).map(str::to_ascii_uppercase) else { return Ask::Unknown };
    let request = || {
        let plain = |w: &&str| !w.is_empty() && w.bytes().all(|b| b > b' ' && b != 0x7f);
        let (key, id) = (text(1).filter(plain)?, text(2).filter(plain)?);
        Some((key.to_owned(), id.to_owned(), Info::parse(text(3)?)?))
    };
    match (name.as_str(), words.len()) {
        ("OBJ.GET", 4) => request().map_or(Ask::Syntax, |(key, id, info)| Ask::Get { key, id, info }),
        ("OBJ.SET", 5) => request().map_or(Ask::Syntax, |(key, id, info)| Ask::Set {
            key,
            id,
            info,
            value: words[4].clone(),
        }),
        ("OBJ.GET" | "OBJ.SET", _) => Ask::Syntax,
        ("PING", _) => Ask::Ping,
        ("INFO", 2) if text(1).is_some_and(|w| w.eq_ignore_ascii_case("load")) => Ask::Load,
        ("CLIENT" | "SELECT", _) => Ask::Fine,
        _ => Ask::Unknown,
    }
}

impl Say {
    /// Appends it as bytes.
    pub fn write(&self, out: &mut Vec<u8>) {
        let went = |out: &mut Vec<u8>, went: &Option<Went>| match went {
            None => out.extend_from_slice(b"$-1\r\n"),
            Some(Went::Hit) => write_bulk(out, b"hit"),
            Some(Went::Miss) => write_bulk(out, b"miss"),
            Some(Went::Pending) => write_bulk(out, b"pending"),
        };
        let report = |out: &mut Vec<u8>, report: &Option<String>| match report {
            None => out.extend_from_slice(b"$-1\r\n"),
            Some(text) => write_bulk(out, text.as_bytes()),
        };
        match self {
            Say::Value(value, how, load) => {
                out.extend_from_slice(b"*3\r\n");
                write_bulk(out, value);
                went(out, how);
                report(out, load);
            }
            Say::Miss(how, load) => {
                out.extend_from_slice(b"*3\r\n$-1\r\n");
                went(out, how);
                report(out, load);
            }
            Say::Failed => out.extend_from_slice(b"-ERR failed\r\n"),
            Say::Busy => out.extend_from_slice(b"-BUSY\r\n"),
            Say::Pong => out.extend_from_slice(b"+PONG\r\n"),
            Say::Ok => out.extend_from_slice(b"+OK\r\n"),
            Say::Report(text) => write_bulk(out, text.as_bytes()),
            Say::NoPerm => out.extend_from_slice(b"-NOPERM\r\n"),
            Say::Unknown => out.extend_from_slice(b"-ERR unknown command\r\n"),
            Say::Syntax => out.extend_from_slice(b"-SYNTAX\r\n"),
        }
    }
}
