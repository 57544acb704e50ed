//! The registry's list as it is written: whole, and as a watch's lines in chunks.

use serde::Serialize;

/// One line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Target {
    /// The worker's name, the same for every proxy.
    pub uid: String,
    /// Where this proxy reaches it.
    pub endpoint: String,
    /// Its zone.
    pub az: String,
    /// Its kind.
    pub model: String,
    /// Its cell.
    pub pod_group: u32,
    /// `in_service`, `terminating`, or among changes `terminated`.
    pub state: &'static str,
    /// Its size beside the others'.
    pub capacity_hint: f64,
    /// Its last start in Unix milliseconds; 0 for long ago.
    pub boot_ms: u64,
}

/// The whole list, or what has changed in it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Update {
    /// The version.
    pub rev: u64,
    /// Whether it is whole.
    pub all: bool,
    /// The lines.
    pub targets: Vec<Target>,
}

/// The head of a watch, whose body stays open.
pub const WATCH: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
/// What comes every two seconds while nothing changes: an empty line.
pub const BEAT: &[u8] = b"1\r\n\n\r\n";
/// A call that failed.
pub const UNAVAILABLE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

impl Update {
    /// As the answer to a call for the whole list.
    pub fn answer(&self) -> Vec<u8> {
        let body = self.text();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        [head.as_bytes(), body.as_bytes()].concat()
    }

    /// As a line of a watch: one chunk.
    pub fn chunk(&self) -> Vec<u8> {
        let line = self.text() + "\n";
        format!("{:x}\r\n{line}\r\n", line.len()).into_bytes()
    }

    fn text(&self) -> String {
        serde_json::to_string(self).expect("lines of texts and numbers can always be written")
    }
}

/// What a call wants, by its path: the whole list, or a watch from a version on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// The list, once.
    Whole,
    /// All changes after this version.
    Watch(u64),
}

impl Call {
    /// Reads a path; `None` if it is none of the registry's.
    pub fn parse(path: &str) -> Option<Call> {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        if path != "/discovery/hosts" {
            return None;
        }
        let field = |name: &str| query.split('&').filter_map(|p| p.split_once('=')).find(|p| p.0 == name);
        match field("watch") {
            None => Some(Call::Whole),
            Some((_, "1")) => field("from").map_or(Some(0), |f| f.1.parse().ok()).map(Call::Watch),
            Some(_) => None,
        }
    }
}
