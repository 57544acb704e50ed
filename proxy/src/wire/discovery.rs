//! Encodes the watch request to discovery and decodes the endpoint updates of its response.

use super::http::{self, Part};
use crate::state::endpoints::Update;

/// Maximum length in bytes of one update, which may contain a full endpoint list. White space between its parts counts as
/// one byte.
const MAX_UPDATE_BYTES: usize = 1024 * 1024;

/// Encodes the request for a watch on all changes after version `rev`.
pub fn encode(host: &str, rev: u64) -> Vec<u8> {
    format!("GET /discovery/hosts?watch=1&from={rev} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}

/// Incremental decoder of a watch response.
#[derive(Default)]
pub struct Decoder {
    http: http::Decoder,
    /// The update that is being received. White space between its parts is one space.
    update: Vec<u8>,
    nesting: Nesting,
    /// Whether the current line has more than white space.
    line_has_text: bool,
    /// Number of complete updates and of heartbeats received.
    lines_received: u64,
}

/// How deep the bytes so far are nested in JSON objects and arrays, which tells where an update over several lines ends.
#[derive(Default)]
struct Nesting {
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Nesting {
    /// Advances by one byte. Returns whether the byte is white space between the parts of an update.
    fn advance(&mut self, byte: u8) -> bool {
        if self.in_string {
            self.in_string = byte != b'"' || self.escaped;
            self.escaped = byte == b'\\' && !self.escaped;
            return false;
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        byte.is_ascii_whitespace()
    }

    /// Whether an update has begun and not ended.
    fn is_open(&self) -> bool {
        self.depth > 0
    }
}

/// The watch ended or its response is invalid. Contains the reason.
#[derive(Debug, PartialEq)]
pub struct WatchEnded(pub String);

impl Decoder {
    /// Feeds received bytes and returns the updates that they complete. Empty lines are heartbeats.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Update>, WatchEnded> {
        let parts =
            self.http.feed(bytes).map_err(|http::Malformed| WatchEnded("response is not HTTP".into()))?;
        let mut updates = Vec::new();
        for part in parts {
            match part {
                Part::Head { status: 200, .. } => {}
                Part::Head { status, .. } => return Err(WatchEnded(format!("HTTP status {status}"))),
                Part::Data(data) => {
                    for line in data.split_inclusive(|&b| b == b'\n') {
                        updates.extend(self.feed_line(line)?);
                    }
                }
                Part::End { .. } => {
                    updates.extend(self.parse_update()?);
                    if updates.is_empty() {
                        return Err(WatchEnded("response ended".into()));
                    }
                }
            }
        }
        Ok(updates)
    }

    /// Number of complete updates and of heartbeats received.
    pub fn lines_received(&self) -> u64 {
        self.lines_received
    }

    /// Feeds a line or a part of one. Returns the update that it completes.
    fn feed_line(&mut self, line: &[u8]) -> Result<Option<Update>, WatchEnded> {
        for &byte in line {
            if !self.nesting.advance(byte) {
                self.update.push(byte);
                self.line_has_text = true;
            } else if self.update.last() != Some(&b' ') {
                self.update.push(b' ');
            }
        }
        if self.update.len() > MAX_UPDATE_BYTES {
            return Err(WatchEnded("update exceeds the size limit".into()));
        }
        if !line.ends_with(b"\n") {
            return Ok(None);
        }
        let is_heartbeat = !std::mem::take(&mut self.line_has_text);
        if self.nesting.is_open() {
            // No update has an empty line or a line break within a string: its rest does not come.
            let is_cut_off = is_heartbeat || self.nesting.in_string;
            return if is_cut_off {
                Err(WatchEnded("invalid endpoint update: cut off".into()))
            } else {
                Ok(None)
            };
        }
        self.lines_received += 1;
        self.parse_update()
    }

    /// Parses the update that was received. `None` after an empty line, which is a heartbeat.
    fn parse_update(&mut self) -> Result<Option<Update>, WatchEnded> {
        let update = std::mem::take(&mut self.update);
        if update.trim_ascii().is_empty() {
            return Ok(None);
        }
        serde_json::from_slice(&update)
            .map(Some)
            .map_err(|e| WatchEnded(format!("invalid endpoint update: {e}")))
    }
}

#[cfg(test)]
mod tests;
