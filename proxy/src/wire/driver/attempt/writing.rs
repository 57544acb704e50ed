//! Writes the command of an attempt.

use super::RELAY_STALL_TIMEOUT;
use crate::outcome::AttemptOutcome;
use crate::wire::driver::connection::Connection;
use crate::wire::streamed_value::{NextChunk, StreamedValue};
use async_io::Timer;
use futures_lite::future;
use std::cell::Cell;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// Pause after which a write is tried again, even if the socket is not reported as writable: the system does that only once
/// a third of the socket's buffer is free, which a slow server may take long for.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Values up to this length in bytes are copied behind the head, to be sent with it in one write.
const MAX_JOINED_VALUE: usize = 4 * 1024;

/// A command to a server, but for the value of a write.
pub(super) struct Message {
    /// The whole command of a read, or what comes before the value of a write.
    pub(super) head: Vec<u8>,
    /// What comes after the value of a write.
    pub(super) value_end: &'static [u8],
}

impl Message {
    /// Writes the command, with the value of a write. `sent` is set once the last byte is written.
    pub(super) async fn write(
        &self,
        connection: &Connection,
        value: Option<&[u8]>,
        sent: &Cell<bool>,
    ) -> Result<(), AttemptOutcome> {
        let unfinished = Cell::new(false);
        match value {
            None => write(connection, &self.head, sent).await,
            Some(value) if value.len() <= MAX_JOINED_VALUE => {
                write(connection, &[&self.head, value, self.value_end].concat(), sent).await
            }
            Some(value) => {
                write(connection, &self.head, &unfinished).await?;
                // What ends the command may be empty, so the value's last byte goes with it.
                let (value, last) = value.split_at(value.len() - 1);
                write(connection, value, &unfinished).await?;
                write(connection, &[last, self.value_end].concat(), sent).await
            }
        }
    }

    /// Writes a command with a streamed value. The last byte is written, and `sent` set, only after the client's command was
    /// received to its end: a client that stops before has sent no request.
    pub(super) async fn write_streamed(
        &self,
        connection: &Connection,
        streamed: &StreamedValue,
        sent: &Cell<bool>,
    ) -> Result<(), AttemptOutcome> {
        let unfinished = Cell::new(false);
        // The client waits as long for its answer, and what it cannot send meanwhile counts against its request.
        let limit = RELAY_STALL_TIMEOUT.max(Duration::from_micros(streamed.time_limit()));
        write_or_stall(connection, &self.head, &unfinished, limit).await?;
        loop {
            let changed = streamed.changed();
            match streamed.next() {
                NextChunk::Bytes(bytes) => write_or_stall(connection, &bytes, &unfinished, limit).await?,
                NextChunk::Last(mut bytes) => {
                    bytes.extend_from_slice(self.value_end);
                    return write_or_stall(connection, &bytes, sent, limit).await;
                }
                NextChunk::Wait => changed.await,
                NextChunk::Aborted => return Err(AttemptOutcome::NotSent),
            }
        }
    }
}

/// Time after a large write before an attempt looks whether its server has taken it: most replies come before.
const DELIVERY_CHECK_DELAY: Duration = Duration::from_millis(250);
/// Interval at which it looks again.
const DELIVERY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the server's system has taken everything that was written, or a reply begins.
pub(super) async fn wait_until_taken(connection: &mut Connection) {
    if connection.is_readable_within(DELIVERY_CHECK_DELAY).await {
        return;
    }
    connection.retired = Some("its send buffer was made small");
    while connection.io.has_undelivered_output() {
        if connection.is_readable_within(DELIVERY_POLL_INTERVAL).await {
            return;
        }
    }
}

impl Connection {
    /// Whether there is something to read, or the connection has ended, within this time.
    async fn is_readable_within(&self, time: Duration) -> bool {
        let readable = async {
            let _ = self.io.readable().await;
            true
        };
        let timed_out = async {
            Timer::after(time).await;
            false
        };
        future::or(readable, timed_out).await
    }
}

/// Like [`write`], but fails if the server takes nothing for `limit`.
async fn write_or_stall(
    connection: &Connection,
    bytes: &[u8],
    sent: &Cell<bool>,
    limit: Duration,
) -> Result<(), AttemptOutcome> {
    let last_progress = Cell::new(Instant::now());
    let stalled = async {
        while last_progress.get().elapsed() < limit {
            Timer::after(limit.saturating_sub(last_progress.get().elapsed())).await;
        }
        Err(AttemptOutcome::BrokenUnsent)
    };
    let written = write_with_progress(connection, bytes, sent, || last_progress.set(Instant::now()));
    future::or(written, stalled).await
}

/// Writes `bytes` and sets `sent` once the last byte is written.
async fn write(connection: &Connection, bytes: &[u8], sent: &Cell<bool>) -> Result<(), AttemptOutcome> {
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
        match connection.io.write(bytes) {
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
