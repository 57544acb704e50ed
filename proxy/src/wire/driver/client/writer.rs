//! Writes a client's replies and closes its connection gracefully.

use super::{Client, PRESENCE_CHECK_INTERVAL};
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
/// Maximum time that a connection stays open for its client to receive its last replies, and how often this is looked at.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(3);
const DELIVERY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Limit on the bytes of commands that arrive at a connection once it is to be closed for the end of the process.
const MAX_LATE_BYTES: usize = 64 * 1024;

/// Writes output that the socket did not accept immediately, until the connection ends.
pub(super) async fn write(runtime: &Runtime, client: &Client) -> ConnectionEnd {
    let (mut late_bytes, mut ended_at) = (0, None);
    loop {
        if let Some(ending) = client.end() {
            if ending != ConnectionEnd::ClosedIdle {
                return ending;
            }
            if runtime.refuse_late_commands(client, &mut late_bytes) {
                continue;
            }
            // A reset because of input that comes at the close would cut off what is not delivered.
            let waits_until = *ended_at.get_or_insert_with(Instant::now) + DELIVERY_TIMEOUT;
            if Instant::now() < waits_until && runtime.is_delivering(client) {
                Timer::after(DELIVERY_POLL_INTERVAL).await;
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
    /// Whether a client is still receiving some of its replies.
    fn is_delivering(&self, client: &Client) -> bool {
        !self.descriptors_short.get()
            && client.undelivered.is_likely(self.clock.now())
            && client.io.has_undelivered_output()
    }

    /// Rejects the commands that arrived while the last replies before the end of the process were written. Their connection is
    /// open, so they need an answer. `late_bytes` counts their bytes. Returns whether there were any.
    fn refuse_late_commands(&self, client: &Client, late_bytes: &mut usize) -> bool {
        // An open session reads for itself; what is read here would be missing there.
        let is_closed = !client.session.borrow().is_reading();
        if !self.stopping.get() || !is_closed || *late_bytes >= MAX_LATE_BYTES {
            return false;
        }
        let mut buffer = vec![0; MAX_LATE_BYTES - *late_bytes];
        let available = client.io.peek(&mut buffer).unwrap_or(0);
        let input = buffer.get(..available).unwrap_or_default();
        // A command that is not whole stays unread, so that its client sends it again.
        let whole = client.session.borrow().late_command_bytes(input);
        let n = match whole {
            0 => 0,
            _ => client.io.read(buffer.get_mut(..whole).unwrap_or_default()).unwrap_or(0),
        };
        *late_bytes += n;
        let refused = client.session.borrow_mut().refuse_late(buffer.get(..n).unwrap_or_default());
        let refused = refused + usize::from(client.session.borrow_mut().refuse_late_part());
        self.proxy.borrow_mut().counters.rejected += refused as u64;
        client.flush(self.clock.now());
        refused > 0
    }
}

/// Closes the sending side and waits for the client to close its own, so that it receives its last replies.
///
/// Requests that arrive from now on cannot be answered. They stay unread: the system resets a connection that is closed with
/// unread input, which tells the client to send them again. After malformed input nothing is a request, and all is discarded.
pub(super) async fn linger(runtime: &Runtime, client: &Client, ending: ConnectionEnd) {
    let _ = client.io.shutdown_write();
    if ending == ConnectionEnd::ClientMalformed {
        return future::or(discard_input(runtime, client), wait_at_most(runtime, LINGER_TIMEOUT)).await;
    }
    future::or(client.closed_by_peer(), wait_at_most(runtime, LINGER_TIMEOUT)).await;
}

/// Reads and discards input until the client closes its side, or for ever once that is too much.
async fn discard_input(runtime: &Runtime, client: &Client) {
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
}

/// Waits for this long, or a short time while descriptors are short.
async fn wait_at_most(runtime: &Runtime, timeout: Duration) {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        Timer::after(LINGER_TIMEOUT_CROWDED).await;
        if runtime.descriptors_short.get() {
            return;
        }
    }
}

impl Client {
    /// Waits until the client has closed its side.
    async fn closed_by_peer(&self) {
        // Also returns for input, which would not wake this again.
        let _ = self.io.readable().await;
        while !self.io.peer_has_closed() {
            Timer::after(PRESENCE_CHECK_INTERVAL).await;
        }
    }
}
