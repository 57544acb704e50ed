//! Hosts decision instances behind a line-based JSON protocol: reads batches of events from standard input and
//! writes one reply per batch to standard output. All decisions are made by the library.

#![forbid(unsafe_code)]

mod error;
mod host;
mod instance;
mod wire;

use error::{InputError, Position};
use host::Host;
use notchdoor_settings::bounded_file;
use std::io::{self, BufRead, BufWriter, Read, Write};
use std::path::Path;
use std::process::ExitCode;

/// Maximum length of an input line; an endpoint list with 100,000 servers fits.
const MAX_LINE_BYTES: u64 = 16 << 20;
const OUTPUT_BUFFER_BYTES: usize = 1 << 16;
/// Path of an optional policy file, in the same format as for a proxy.
const POLICY_ENV_VAR: &str = "NOTCHDOOR_POLICY";

/// A fatal error of the adapter.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    #[error("{path}: cannot read: {source}")]
    Policy { path: String, source: io::Error },
    #[error("cannot read standard input: {0}")]
    Read(io::Error),
    #[error("cannot write standard output: {0}")]
    Write(io::Error),
    #[error(transparent)]
    Input(#[from] InputError),
}

fn run() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    let mut host = Host::with_policy(read_policy()?);
    let mut reply = Vec::new();
    let mut line = Vec::new();
    while read_line(&mut input, &mut line, host.position())? {
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        if host.handle_line(&line, &mut reply)? {
            output.write_all(&reply).and_then(|()| output.flush()).map_err(AdapterError::Write)?;
            reply.clear();
        }
    }
    Ok(host.check_batch_complete()?)
}

/// Returns the text of the policy file, or `None` if the environment variable is unset.
fn read_policy() -> Result<Option<String>, AdapterError> {
    let Ok(path) = std::env::var(POLICY_ENV_VAR) else { return Ok(None) };
    match bounded_file::read_text(Path::new(&path), bounded_file::MAX_AUTHORED_BYTES) {
        Ok(text) => Ok(Some(text)),
        Err(source) => Err(AdapterError::Policy { path, source }),
    }
}

/// Reads the next line into `line`; returns false at the end of the input.
fn read_line(input: &mut impl BufRead, line: &mut Vec<u8>, position: Position) -> Result<bool, AdapterError> {
    line.clear();
    let read = input.take(MAX_LINE_BYTES + 1).read_until(b'\n', line).map_err(AdapterError::Read)?;
    if line.len() as u64 > MAX_LINE_BYTES {
        return Err(InputError::LineTooLong { position, max_bytes: MAX_LINE_BYTES }.into());
    }
    Ok(read > 0)
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("notchdoor-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
