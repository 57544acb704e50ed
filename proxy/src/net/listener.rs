//! Accepts connections: one policy for every listener.

use super::calls;
use super::connect::disable_write_delay;
use super::fault::{after_accept_error, AfterAcceptError};
use async_io::{Async, Timer};
use futures_lite::future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Pause after an error that leaves the connection in the queue: what is short comes back when a connection ends.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(20);
/// After so many errors in a row a pause follows whatever they are, so that no error can make the loop spin.
const MAX_CONSECUTIVE_ERRORS: u32 = 64;

/// What is at the head of a listener's queue.
#[derive(Debug)]
pub enum TryAccept {
    /// A connection.
    Connection(Async<TcpStream>),
    /// Nothing.
    Empty,
    /// A connection that went while it was queued, or an interrupted call: the next one may be there.
    Lost(io::Error),
    /// A connection that cannot be taken for now, since something is short.
    Shortage(io::Error),
}

/// A listening socket.
pub struct Listener {
    io: Async<TcpListener>,
}

impl Listener {
    /// Listens on an address.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Listener { io: Async::<TcpListener>::bind(address)? })
    }

    /// Takes over a socket that listens.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        Ok(Listener { io: Async::new(listener)? })
    }

    /// The next connection. Errors are told to `failed` and never end the loop: connections that went while they were
    /// queued are passed over, and a shortage is waited out.
    pub async fn accept(&self, mut on_error: impl FnMut(&io::Error)) -> Async<TcpStream> {
        let mut consecutive_errors = 0;
        loop {
            match self.try_accept() {
                TryAccept::Connection(stream) => return stream,
                TryAccept::Empty => {
                    // An error of the event queue itself passes like a shortage.
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

    /// Takes what is at the head of the queue, without a wait.
    pub fn try_accept(&self) -> TryAccept {
        let accepted = calls::accept(self.io.get_ref());
        let error = match accepted.and_then(Async::new) {
            Ok(stream) => {
                disable_write_delay(&stream);
                return TryAccept::Connection(stream);
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
