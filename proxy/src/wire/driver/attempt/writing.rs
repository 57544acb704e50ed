//! Writes the command of an attempt.

use super::RELAY_STALL_TIMEOUT;
use crate::outcome::AttemptOutcome;
use crate::wire::driver::connection::Connection;
use crate::wire::streamed_value::{NextChunk, StreamedValue};
use async_io::Timer;
use futures_lite::future;
use std::cell::Cell;
use std::io::{ErrorKind, Write};
use std::time::{Duration, Instant};

/// Pause after which a write is tried again, even if the socket is not reported as writable: the system does that only once
/// a third of the socket's buffer is free, which a slow server may take long for.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Writes a command with a streamed value, followed by `tail`. The last byte is written, and `sent` set, only after the
/// client's command was received to its end: a client that stops before has sent no request.
pub(super) async fn write_streamed(
    connection: &Connection,
    head: &[u8],
    streamed: &StreamedValue,
    tail: &[u8],
    sent: &Cell<bool>,
) -> Result<(), AttemptOutcome> {
    let unfinished = Cell::new(false);
    write_or_stall(connection, head, &unfinished).await?;
    loop {
        let changed = streamed.changed();
        match streamed.next() {
            NextChunk::Bytes(bytes) => write_or_stall(connection, &bytes, &unfinished).await?,
            NextChunk::Last(mut bytes) => {
                bytes.extend_from_slice(tail);
                return write_or_stall(connection, &bytes, sent).await;
            }
            NextChunk::Wait => changed.await,
            NextChunk::Aborted => return Err(AttemptOutcome::NotSent),
        }
    }
}

/// Like [`write`], but fails if the server takes nothing for `RELAY_STALL_TIMEOUT`.
async fn write_or_stall(
    connection: &Connection,
    bytes: &[u8],
    sent: &Cell<bool>,
) -> Result<(), AttemptOutcome> {
    let last_progress = Cell::new(Instant::now());
    let stalled = async {
        while last_progress.get().elapsed() < RELAY_STALL_TIMEOUT {
            Timer::at(last_progress.get() + RELAY_STALL_TIMEOUT).await;
        }
        Err(AttemptOutcome::BrokenUnsent)
    };
    let written = write_with_progress(connection, bytes, sent, || last_progress.set(Instant::now()));
    future::or(written, stalled).await
}

/// Writes `bytes` and sets `sent` once the last byte is written.
pub(super) async fn write(
    connection: &Connection,
    bytes: &[u8],
    sent: &Cell<bool>,
) -> Result<(), AttemptOutcome> {
    write_with_progress(connection, bytes, sent, || {}).await
}

/// Like [`write`], and calls `on_progress` whenever the server has taken some bytes.
async fn write_with_progress(
    connection: &Connection,
    mut bytes: &[u8],
    sent: &Cell<bool>,
    on_progress: impl Fn(),
) -> Result<(), AttemptOutcome> {
    while !bytes.is_empty() {
        match connection.io.get_ref().write(bytes) {
            Ok(0) => return Err(AttemptOutcome::BrokenUnsent),
            Ok(n) => {
                bytes = bytes.get(n..).unwrap_or_default();
                on_progress();
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                let retry = async {
                    Timer::after(WRITE_RETRY_INTERVAL).await;
                    Ok(())
                };
                let writable = future::or(connection.io.writable(), retry).await;
                writable.map_err(|_| AttemptOutcome::BrokenUnsent)?;
            }
            Err(_) => return Err(AttemptOutcome::BrokenUnsent),
        }
    }
    sent.set(true);
    Ok(())
}
