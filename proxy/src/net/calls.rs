//! Wraps the socket system calls, so that tests can inject failures.

use super::SocketCall;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Creates a non-blocking TCP socket for the address family of `address`.
pub(super) fn socket(address: SocketAddr) -> io::Result<Socket> {
    injected_failure(SocketCall::Socket)?;
    Socket::new(Domain::for_address(address), Type::STREAM.nonblocking(), Some(Protocol::TCP))
}

/// Starts connecting. On a non-blocking socket this usually fails with `EINPROGRESS`.
pub(super) fn connect(socket: &Socket, address: SocketAddr) -> io::Result<()> {
    injected_failure(SocketCall::Connect)?;
    socket.connect(&address.into())
}

/// Accepts a connection from the listener's queue.
pub(super) fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    injected_failure(SocketCall::Accept)?;
    listener.accept().map(|(stream, _)| stream)
}

/// Sets `TCP_NODELAY`, so that small writes are sent without delay.
pub(super) fn set_nodelay(stream: &TcpStream) -> io::Result<()> {
    injected_failure(SocketCall::SetNoDelay)?;
    stream.set_nodelay(true)
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
