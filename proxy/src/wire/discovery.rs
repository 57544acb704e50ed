//! Encodes the watch request to discovery and decodes the endpoint updates of its response.

use super::http::{self, Part};
use crate::state::endpoints::Update;

/// Maximum length in bytes of one line, which may contain a full endpoint list.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// Encodes the request for a watch on all changes after version `rev`.
pub fn encode(host: &str, rev: u64) -> Vec<u8> {
    format!("GET /discovery/hosts?watch=1&from={rev} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}

/// Incremental decoder of a watch response.
#[derive(Default)]
pub struct Decoder {
    http: http::Decoder,
    line: Vec<u8>,
    /// Number of complete lines received, empty ones included.
    lines_received: u64,
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
                    for piece in data.split_inclusive(|&b| b == b'\n') {
                        self.line.extend_from_slice(piece);
                        if self.line.len() > MAX_LINE_BYTES {
                            return Err(WatchEnded("line exceeds the size limit".into()));
                        }
                        if piece.ends_with(b"\n") {
                            self.lines_received += 1;
                            updates.extend(self.parse_line()?);
                        }
                    }
                }
                Part::End { .. } => {
                    updates.extend(self.parse_line()?);
                    if updates.is_empty() {
                        return Err(WatchEnded("response ended".into()));
                    }
                }
            }
        }
        Ok(updates)
    }

    /// Number of complete lines received, heartbeats included.
    pub fn lines_received(&self) -> u64 {
        self.lines_received
    }

    fn parse_line(&mut self) -> Result<Option<Update>, WatchEnded> {
        let line = std::mem::take(&mut self.line);
        if line.trim_ascii().is_empty() {
            return Ok(None);
        }
        serde_json::from_slice(&line)
            .map(Some)
            .map_err(|e| WatchEnded(format!("invalid endpoint update: {e}")))
    }
}

#[cfg(test)]
mod tests;
