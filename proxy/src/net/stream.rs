//! A TCP connection.

use super::breakpoints::ConnectionName;
use super::{calls, Peer};
use async_io::{Async, Timer};
use rustix::io::Errno;
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::time::Duration;

/// Pause after a call that failed for lack of memory, which says nothing about the connection.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);

/// A TCP connection. Every system call on it is made by this module, so that tests can stop the program between two of them.
pub struct Stream {
    io: Async<TcpStream>,
    name: ConnectionName,
    /// The last read or write failed for lack of memory.
    is_short: Cell<bool>,
}

impl Drop for Stream {
    fn drop(&mut self) {
        calls::before_close(self.name);
    }
}

impl Stream {
    /// Wraps an open connection to this kind of peer.
    pub fn new(io: Async<TcpStream>, peer: Peer) -> Self {
        let name = ConnectionName::of(io.get_ref(), peer);
        Stream { io, name, is_short: Cell::new(false) }
    }

    /// Reads what the socket has, without waiting. Returns 0 at the end of the connection. A shortage of memory is reported as
    /// [`ErrorKind::WouldBlock`].
    pub fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.unless_short(calls::read(self.io.get_ref(), self.name, buffer))
    }

    /// Writes what the socket can take, without waiting. A shortage of memory is reported as [`ErrorKind::WouldBlock`].
    pub fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.unless_short(calls::write(self.io.get_ref(), self.name, bytes))
    }

    fn unless_short(&self, result: io::Result<usize>) -> io::Result<usize> {
        let Err(error) = result else { return result };
        let is_short = matches!(Errno::from_io_error(&error), Some(Errno::NOMEM | Errno::NOBUFS));
        self.is_short.set(is_short);
        Err(if is_short { ErrorKind::WouldBlock.into() } else { error })
    }

    /// Copies input, without waiting, and leaves it unread. Returns 0 at the end of the connection.
    pub fn peek(&self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            match calls::peek(self.io.get_ref(), self.name, buffer) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }

    /// Whether the socket has unread input. A failed call counts as none.
    pub fn has_unread_input(&self) -> bool {
        self.peek(&mut [0]).is_ok_and(|n| n > 0)
    }

    /// Whether the connection is open and has no unread input. A failed call counts as not.
    pub fn is_quiet(&self) -> bool {
        matches!(self.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the peer has closed its side or the connection is broken, even if input is still unread. A failed call counts as
    /// not.
    pub fn peer_has_closed(&self) -> bool {
        loop {
            match calls::poll_closed(self.io.get_ref(), self.name) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => return result.unwrap_or(false),
            }
        }
    }

    /// Whether the peer's system may not have received all output yet, as far as this one tells. The socket is slow to write to
    /// afterwards.
    pub fn has_undelivered_output(&self) -> bool {
        // With the smallest buffer, a socket can take output only if almost none is unacknowledged.
        let minimized = calls::minimize_send_buffer(self.io.get_ref());
        minimized.is_ok() && matches!(calls::poll_writable(self.io.get_ref(), self.name), Ok(false))
    }

    /// Shuts down the sending side. Fails if the connection is broken.
    pub fn shutdown_write(&self) -> io::Result<()> {
        calls::shutdown_write(self.io.get_ref(), self.name)
    }

    /// Waits until the socket has input or the connection has ended, or a shortage of memory may be over.
    pub async fn readable(&self) -> io::Result<()> {
        self.pause_if_short().await;
        self.io.readable().await
    }

    /// Waits until the socket can take output or the connection has ended, or a shortage of memory may be over.
    pub async fn writable(&self) -> io::Result<()> {
        self.pause_if_short().await;
        self.io.writable().await
    }

    async fn pause_if_short(&self) {
        if self.is_short.take() {
            Timer::after(SHORTAGE_PAUSE).await;
        }
    }

    /// Waits for input and reads it. Returns 0 at the end of the connection.
    pub async fn read_some(&self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.read(buffer) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.readable().await?,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }

    /// Writes all bytes.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.write(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => bytes = bytes.get(n..).unwrap_or_default(),
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.writable().await?,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}
