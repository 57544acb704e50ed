//! Caches and an origin that make a value of its own for each request and record how often each one ran.

use super::connection_server::value_of_length;
use super::{hit_response, http_response, FakeServer, Handler};
use notchdoor_proxy::wire::resp::Value;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// How often each request ran, by its id.
pub type Runs = Arc<Mutex<HashMap<String, usize>>>;

/// What a server replies to requests for a key, by the prefix of the key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// The value, or a write's receipt.
    Value,
    /// The same, many times as long.
    LongValue,
    /// The cache does not have the key until the origin has returned the value.
    Miss,
    /// The cache rejects the read, or the origin the request.
    Busy,
    /// The server fails; the request has run.
    Error,
}

impl Kind {
    pub const ALL: [Kind; 5] = [Kind::Value, Kind::LongValue, Kind::Miss, Kind::Busy, Kind::Error];

    /// The kind of a key.
    pub fn of(key: &str) -> Kind {
        Kind::find(key).expect("a key of a kind")
    }

    /// The kind of a key, if it has one.
    pub fn find(key: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| key.starts_with(kind.prefix()))
    }

    /// The start of keys of this kind.
    pub fn prefix(self) -> &'static str {
        match self {
            Kind::Value => "value-",
            Kind::LongValue => "long-",
            Kind::Miss => "miss-",
            Kind::Busy => "busy-",
            Kind::Error => "error-",
        }
    }
}

/// The beginning of keys of large values, which is followed by their length in bytes.
pub const LARGE_PREFIX: &str = "large-";

/// The value or receipt that a server makes for a request, by its key.
pub fn value_of(key: &str, id: &str) -> Vec<u8> {
    match large_value_bytes(key) {
        Some(length) => value_of_length(id, length),
        None => value_for(id, Kind::of(key)).into_bytes(),
    }
}

/// The value of a key of clients that do not check it: 1 MiB if the key begins with `long`.
fn other_value(key: &str) -> String {
    "x".repeat(if key.starts_with("long") { 1024 * 1024 } else { 2 })
}

/// The length of the value of a key that asks for a large one.
fn large_value_bytes(key: &str) -> Option<usize> {
    key.strip_prefix(LARGE_PREFIX)?.split('-').next()?.parse().ok()
}

/// The value or receipt that a server makes for a request.
pub fn value_for(id: &str, kind: Kind) -> String {
    if kind == Kind::LongValue {
        id.repeat(40)
    } else {
        format!("made-for-{id}")
    }
}

/// What is wrong with the answer to a request that ran so often, if anything.
pub fn wrong_answer(id: &str, kind: Kind, at_most_once: bool, answer: &Value, runs: usize) -> Option<String> {
    match answer {
        _ if at_most_once && runs > 1 => Some(format!("ran {runs} times")),
        Value::Bulk(Some(value)) if *value == value_for(id, kind).into_bytes() => None,
        Value::Error(line) if line.starts_with(b"BUSY") && at_most_once && runs > 0 => {
            Some("refused after it ran".to_owned())
        }
        Value::Error(_) => None,
        Value::Bulk(Some(value)) => Some(format!("got {}", String::from_utf8_lossy(value))),
        other => Some(format!("got {other:?}")),
    }
}

const LOAD_REPORT: &str = "rate=12.5,fail_rate=0.1,busy=0.42";

/// A cache's reply to a read.
pub fn cache_reply(kind: Kind, id: &str) -> Vec<u8> {
    let report = format!("${}\r\n{LOAD_REPORT}\r\n", LOAD_REPORT.len());
    match kind {
        Kind::Value | Kind::LongValue => {
            let value = value_for(id, kind);
            format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n{report}", value.len())
        }
        Kind::Miss => format!("*3\r\n$-1\r\n$4\r\nmiss\r\n{report}"),
        Kind::Busy => "-BUSY 5\r\n".to_owned(),
        Kind::Error => "-ERR failed\r\n".to_owned(),
    }
    .into_bytes()
}

/// The origin's response.
pub fn origin_reply(kind: Kind, id: &str) -> Vec<u8> {
    let report = format!("\r\nX-Load-Report: {LOAD_REPORT}");
    match kind {
        Kind::Busy => http_response(&format!("503 Service Unavailable\r\nX-Rejected: 1{report}"), ""),
        Kind::Error => http_response(&format!("500 Internal Server Error{report}"), ""),
        _ => http_response(&format!("200 OK{report}"), &value_for(id, kind)),
    }
    .unwrap()
}

/// Counts a run of the request unless the reply says that it did not run.
fn record(runs: &Runs, id: &str, ran: bool) {
    if ran {
        *runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
    }
}

/// Starts a cache.
pub fn start_cache(runs: &Runs) -> FakeServer {
    FakeServer::backend(cache_handler(runs))
}

/// Starts an origin.
pub fn start_origin(runs: &Runs) -> FakeServer {
    FakeServer::origin(origin_handler(runs))
}

/// The replies of a cache.
pub fn cache_handler(runs: &Runs) -> Handler {
    let runs = Arc::clone(runs);
    Box::new(move |words| {
        if large_value_bytes(&words[1]).is_some() {
            record(&runs, &words[2], true);
            return hit_response(&String::from_utf8(value_of(&words[1], &words[2])).expect("text"));
        }
        let Some(mut kind) = Kind::find(&words[1]) else { return hit_response(&other_value(&words[1])) };
        if kind == Kind::Miss && runs.lock().unwrap().contains_key(&words[2]) {
            kind = Kind::Value;
        }
        record(&runs, &words[2], matches!(kind, Kind::Value | Kind::LongValue | Kind::Error));
        Some(cache_reply(kind, &words[2]))
    })
}

/// The responses of an origin.
pub fn origin_handler(runs: &Runs) -> Handler {
    let runs = Arc::clone(runs);
    Box::new(move |request| {
        let key = request[1].trim_start_matches('/');
        if large_value_bytes(key).is_some() {
            record(&runs, &request[2], true);
            let value = String::from_utf8(value_of(key, &request[2])).expect("text");
            return http_response("200 OK", &value);
        }
        let Some(kind) = Kind::find(key) else { return http_response("200 OK", "ok") };
        record(&runs, &request[2], kind != Kind::Busy);
        Some(origin_reply(kind, &request[2]))
    })
}
