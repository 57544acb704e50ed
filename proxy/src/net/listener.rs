//! Accepts connections, with the same error handling for every listener.

use super::connect::disable_write_delay;
use super::fault::{after_accept_error, AfterAcceptError};
use super::{calls, Peer, Stream};
use async_io::{Async, Timer};
use futures_lite::future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Delay before accepting again after a resource shortage, which usually ends when another connection closes.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Number of consecutive errors of any kind after which the accept loop pauses instead of spinning.
const MAX_CONSECUTIVE_ERRORS: u32 = 64;

/// The result of [`Listener::try_accept`].
pub enum TryAccept {
    /// An accepted connection.
    Connection(Stream),
    /// The queue is empty.
    Empty,
    /// A queued connection was lost or the call was interrupted; another connection may be available at once.
    Lost(io::Error),
    /// A resource shortage prevents accepting; the connection stays in the queue.
    Shortage(io::Error),
}

/// A listening TCP socket.
pub struct Listener {
    io: Async<TcpListener>,
    peer: Peer,
}

impl Listener {
    /// Binds a new socket to an address and listens on it for this kind of peer.
    pub fn bind(address: SocketAddr, peer: Peer) -> io::Result<Self> {
        Ok(Listener { io: Async::<TcpListener>::bind(address)?, peer })
    }

    /// Uses a socket that is already listening for this kind of peer.
    pub fn new(listener: TcpListener, peer: Peer) -> io::Result<Self> {
        Ok(Listener { io: Async::new(listener)?, peer })
    }

    /// Waits for the next connection. Errors are passed to `on_error` and never returned: lost connections are skipped,
    /// and after a resource shortage the call is repeated with a delay.
    pub async fn accept(&self, mut on_error: impl FnMut(&io::Error)) -> Stream {
        let mut consecutive_errors = 0;
        loop {
            match self.try_accept() {
                TryAccept::Connection(stream) => return stream,
                TryAccept::Empty => {
                    // Treat an error of the event queue as a resource shortage.
                    if let Err(error) = self.io.readable().await {
                        on_error(&error);
                        Timer::after(SHORTAGE_RETRY_DELAY).await;
                    }
                }
                TryAccept::Lost(error) => {
                    on_error(&error);
                    consecutive_errors += 1;
                    if consecutive_errors < MAX_CONSECUTIVE_ERRORS {
                        future::yield_now().await;
                    } else {
                        consecutive_errors = 0;
                        Timer::after(SHORTAGE_RETRY_DELAY).await;
                    }
                }
                TryAccept::Shortage(error) => {
                    on_error(&error);
                    Timer::after(SHORTAGE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts a connection without waiting.
    pub fn try_accept(&self) -> TryAccept {
        let accepted = calls::accept(self.io.get_ref(), self.peer);
        let error = match accepted.and_then(Async::new) {
            Ok(stream) => {
                disable_write_delay(&stream);
                return TryAccept::Connection(Stream::new(stream, self.peer));
            }
            Err(error) => error,
        };
        match after_accept_error(&error) {
            AfterAcceptError::Wait => TryAccept::Empty,
            AfterAcceptError::AcceptNext => TryAccept::Lost(error),
            AfterAcceptError::Pause => TryAccept::Shortage(error),
        }
    }
}
