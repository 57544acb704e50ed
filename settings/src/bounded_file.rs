//! Reads whole files with a size limit. All file input of the programs goes through this module.

use std::fs::File;
use std::io::{Error, Read, Result};
use std::path::Path;

/// Limit for configuration files; enough for about ten thousand endpoints.
pub const MAX_CONFIG_BYTES: u64 = 16 << 20;
/// Limit for files written by people, such as policies and scenarios.
pub const MAX_AUTHORED_BYTES: u64 = 1 << 20;
/// Limit for files written by programs, such as results and recorded arrivals.
pub const MAX_GENERATED_BYTES: u64 = 1 << 30;

/// Reads a file. Fails if it is larger than `max` bytes; the path may be a device or a pipe without an end.
pub fn read_bytes(path: &Path, max: u64) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(max + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > max {
        return Err(Error::other(format!("file exceeds {max} bytes")));
    }
    Ok(bytes)
}

/// Reads a file as UTF-8 text. Fails if it is larger than `max` bytes.
pub fn read_text(path: &Path, max: u64) -> Result<String> {
    String::from_utf8(read_bytes(path, max)?)
        .map_err(|e| Error::other(format!("invalid UTF-8 at byte {}", e.utf8_error().valid_up_to())))
}
