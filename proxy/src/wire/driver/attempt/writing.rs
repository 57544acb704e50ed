//! Writes the command of an attempt.

use super::RELAY_STALL_TIMEOUT;
use crate::outcome::AttemptOutcome;
use crate::wire::driver::connection::Connection;
use crate::wire::streamed_value::{NextChunk, StreamedValue};
use async_io::Timer;
use futures_lite::future;
use std::cell::Cell;
use std::io::{ErrorKind, Write};

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

/// Like [`write`], but fails if the server does not accept all bytes within `RELAY_STALL_TIMEOUT`.
async fn write_or_stall(
    connection: &Connection,
    bytes: &[u8],
    sent: &Cell<bool>,
) -> Result<(), AttemptOutcome> {
    let stalled = async {
        Timer::after(RELAY_STALL_TIMEOUT).await;
        Err(AttemptOutcome::BrokenUnsent)
    };
    future::or(write(connection, bytes, sent), stalled).await
}

/// Writes `bytes` and sets `sent` once the last byte is written.
pub(super) async fn write(
    connection: &Connection,
    mut bytes: &[u8],
    sent: &Cell<bool>,
) -> Result<(), AttemptOutcome> {
    while !bytes.is_empty() {
        match connection.io.get_ref().write(bytes) {
            Ok(0) => return Err(AttemptOutcome::BrokenUnsent),
            Ok(n) => bytes = bytes.get(n..).unwrap_or_default(),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                connection.io.writable().await.map_err(|_| AttemptOutcome::BrokenUnsent)?;
            }
            Err(_) => return Err(AttemptOutcome::BrokenUnsent),
        }
    }
    sent.set(true);
    Ok(())
}
