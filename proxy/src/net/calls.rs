//! Wraps the socket system calls, so that tests can inject failures.

use super::breakpoints::{around, ConnectionName};
use super::{Peer, SocketCall};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// Creates a non-blocking TCP socket for the address family of `address`.
pub(super) fn socket(address: SocketAddr) -> io::Result<Socket> {
    injected_failure(SocketCall::Socket)?;
    Socket::new(Domain::for_address(address), Type::STREAM.nonblocking(), Some(Protocol::TCP))
}

/// Starts connecting to this kind of peer. On a non-blocking socket this usually fails with `EINPROGRESS`.
pub(super) fn connect(socket: &Socket, address: SocketAddr, peer: Peer) -> io::Result<()> {
    injected_failure(SocketCall::Connect)?;
    around(
        SocketCall::Connect,
        ConnectionName::without_port(peer),
        || socket.connect(&address.into()),
        |()| 0,
    )
}

/// Accepts a connection of this kind of peer from the listener's queue.
pub(super) fn accept(listener: &TcpListener, peer: Peer) -> io::Result<TcpStream> {
    injected_failure(SocketCall::Accept)?;
    let accept = || listener.accept().map(|(stream, _)| stream);
    let port = |stream: &TcpStream| stream.peer_addr().map_or(0, |address| usize::from(address.port()));
    around(SocketCall::Accept, ConnectionName::without_port(peer), accept, port)
}

/// Sets `TCP_NODELAY`, so that small writes are sent without delay.
pub(super) fn set_nodelay(stream: &TcpStream) -> io::Result<()> {
    injected_failure(SocketCall::SetNoDelay)?;
    stream.set_nodelay(true)
}

/// Reads from a connection.
pub(super) fn read(mut stream: &TcpStream, name: ConnectionName, buffer: &mut [u8]) -> io::Result<usize> {
    injected_failure(SocketCall::Read)?;
    around(SocketCall::Read, name, || stream.read(buffer), |n| *n)
}

/// Writes to a connection.
pub(super) fn write(mut stream: &TcpStream, name: ConnectionName, bytes: &[u8]) -> io::Result<usize> {
    injected_failure(SocketCall::Write)?;
    around(SocketCall::Write, name, || stream.write(bytes), |n| *n)
}

/// Copies input without taking it from the socket. Returns 0 at the end of the connection.
pub(super) fn peek(stream: &TcpStream, name: ConnectionName, buffer: &mut [u8]) -> io::Result<usize> {
    injected_failure(SocketCall::Peek)?;
    around(SocketCall::Peek, name, || stream.peek(buffer), |n| *n)
}

/// Whether the peer has closed its side, or the connection is broken.
pub(super) fn poll_closed(stream: &TcpStream, name: ConnectionName) -> io::Result<bool> {
    poll_once(stream, name, PollFlags::RDHUP)
}

/// Whether the socket can take output, or the connection is broken.
pub(super) fn poll_writable(stream: &TcpStream, name: ConnectionName) -> io::Result<bool> {
    poll_once(stream, name, PollFlags::OUT)
}

/// Whether any of these events, an error or the end of the connection has occurred.
fn poll_once(stream: &TcpStream, name: ConnectionName, events: PollFlags) -> io::Result<bool> {
    injected_failure(SocketCall::Poll)?;
    let poll_now = || {
        let mut fds = [PollFd::new(stream, events)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        Ok(poll(&mut fds, Some(&at_once))? > 0)
    };
    around(SocketCall::Poll, name, poll_now, |occurred| usize::from(*occurred))
}

/// Shrinks the send buffer to the system's minimum.
pub(super) fn minimize_send_buffer(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_send_buffer_size(1)
}

/// Shuts down the sending side of a connection.
pub(super) fn shutdown_write(stream: &TcpStream, name: ConnectionName) -> io::Result<()> {
    injected_failure(SocketCall::Shutdown)?;
    around(SocketCall::Shutdown, name, || stream.shutdown(Shutdown::Write), |()| 0)
}

/// Called before a connection is closed.
pub(super) fn before_close(name: ConnectionName) {
    let _ = around(SocketCall::Close, name, || Ok(()), |()| 0);
}

#[cfg(not(test))]
fn injected_failure(_: SocketCall) -> io::Result<()> {
    Ok(())
}

#[cfg(test)]
fn injected_failure(call: SocketCall) -> io::Result<()> {
    injection::next(call).map_or(Ok(()), |error| Err(error.into()))
}

/// Failures injected by a test into the calls of its own thread.
#[cfg(test)]
pub(crate) mod injection {
    use super::SocketCall;
    use rustix::io::Errno;
    use std::cell::RefCell;
    use std::collections::{HashMap, VecDeque};

    thread_local! {
        static FAILURES: RefCell<HashMap<SocketCall, VecDeque<Errno>>> = RefCell::default();
    }

    /// Makes the next `times` calls of this kind fail with `error`.
    pub(crate) fn fail(call: SocketCall, error: Errno, times: usize) {
        let failures = std::iter::repeat_n(error, times);
        FAILURES.with_borrow_mut(|all| all.entry(call).or_default().extend(failures));
    }

    /// Returns the number of injected failures left for this kind of call.
    pub(crate) fn left(call: SocketCall) -> usize {
        FAILURES.with_borrow(|all| all.get(&call).map_or(0, VecDeque::len))
    }

    /// Removes all injected failures.
    pub(crate) fn clear() {
        FAILURES.with_borrow_mut(HashMap::clear);
    }

    pub(super) fn next(call: SocketCall) -> Option<Errno> {
        FAILURES.with_borrow_mut(|all| all.get_mut(&call)?.pop_front())
    }
}
