//! Writes a client's replies and closes its connection gracefully.

use super::Client;
use crate::outcome::ConnectionEnd;
use crate::wire::driver::Runtime;
use async_io::Timer;
use futures_lite::future;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// Limits of the lingering close: its duration, its duration while descriptors are short, and the bytes to discard.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const LINGER_TIMEOUT_CROWDED: Duration = Duration::from_millis(20);
const MAX_LINGER_BYTES: usize = 1024 * 1024;
/// Limit on the bytes of commands that arrive at a connection once it is to be closed for the end of the process.
const MAX_LATE_BYTES: usize = 64 * 1024;

/// Writes output that the socket did not accept immediately, until the connection ends.
pub(super) async fn write(runtime: &Runtime, client: &Client) -> ConnectionEnd {
    let mut late_bytes = 0;
    loop {
        if let Some(ending) = client.end() {
            if ending == ConnectionEnd::ClosedIdle && runtime.refuse_late_commands(client, &mut late_bytes) {
                continue;
            }
            return ending;
        }
        if client.session.borrow().replies().output().is_empty() {
            let _ = client.wake.1.recv().await;
            continue;
        }
        let writable = async {
            let _ = client.io.writable().await;
        };
        // A wake-up may announce another reply or the end of the connection; only the end stops the wait.
        let ended = async {
            while client.end().is_none() {
                let _ = client.wake.1.recv().await;
            }
        };
        future::or(writable, ended).await;
        client.flush(runtime.clock.now());
    }
}

impl Runtime {
    /// Rejects the commands that arrived while the last replies before the end of the process were written. Their connection is
    /// open, so they need an answer. `late_bytes` counts their bytes. Returns whether there were any.
    fn refuse_late_commands(&self, client: &Client, late_bytes: &mut usize) -> bool {
        if !self.stopping.get() || *late_bytes >= MAX_LATE_BYTES {
            return false;
        }
        let mut buffer = vec![0; MAX_LATE_BYTES - *late_bytes];
        let n = client.io.read(&mut buffer).unwrap_or(0);
        *late_bytes += n;
        let refused = client.session.borrow_mut().refuse_late(buffer.get(..n).unwrap_or_default());
        self.proxy.borrow_mut().counters.rejected += refused as u64;
        client.flush(self.clock.now());
        refused > 0
    }
}

/// Lingering close: shuts down the write side and discards input for a short time. Closing a socket with unread bytes
/// resets it, and the client could lose its last replies. Discarded requests are not answered.
pub(super) async fn linger(runtime: &Runtime, client: &Client) {
    let _ = client.io.shutdown_write();
    let drain = async {
        let mut read = 0;
        while read < MAX_LINGER_BYTES {
            // The buffer is shared, so it is not borrowed while this waits.
            let discarded = client.io.read(&mut runtime.read_buffer.borrow_mut());
            match discarded {
                Ok(n) if n > 0 => read += n,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if client.io.readable().await.is_err() {
                        return;
                    }
                }
                _ => return,
            }
        }
        // Further input stays in the socket until the timeout, so that the client can still read its replies.
        future::pending::<()>().await;
    };
    let late = async {
        let until = Instant::now() + LINGER_TIMEOUT;
        while Instant::now() < until {
            Timer::after(LINGER_TIMEOUT_CROWDED).await;
            if runtime.descriptors_short.get() {
                return;
            }
        }
    };
    future::or(drain, late).await;
}
