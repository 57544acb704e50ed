//! The system calls themselves. Tests have them fail as they choose.

use super::SocketCall;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Opens a socket that does not block.
pub(super) fn socket(address: SocketAddr) -> io::Result<Socket> {
    injected_failure(SocketCall::Socket)?;
    Socket::new(Domain::for_address(address), Type::STREAM.nonblocking(), Some(Protocol::TCP))
}

/// Begins to connect. `EINPROGRESS` is the usual end of it.
pub(super) fn connect(socket: &Socket, address: SocketAddr) -> io::Result<()> {
    injected_failure(SocketCall::Connect)?;
    socket.connect(&address.into())
}

/// Takes a connection out of the queue.
pub(super) fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    injected_failure(SocketCall::Accept)?;
    listener.accept().map(|(stream, _)| stream)
}

/// Has small writes sent at once.
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

/// Failures that a test has its own thread's calls end with.
#[cfg(test)]
pub(crate) mod injection {
    use super::SocketCall;
    use rustix::io::Errno;
    use std::cell::RefCell;
    use std::collections::{HashMap, VecDeque};

    thread_local! {
        static FAILURES: RefCell<HashMap<SocketCall, VecDeque<Errno>>> = RefCell::default();
    }

    /// Has the next so many calls of this kind fail.
    pub(crate) fn fail(call: SocketCall, error: Errno, times: usize) {
        let failures = std::iter::repeat_n(error, times);
        FAILURES.with_borrow_mut(|all| all.entry(call).or_default().extend(failures));
    }

    /// How many calls of this kind are still to fail.
    pub(crate) fn left(call: SocketCall) -> usize {
        FAILURES.with_borrow(|all| all.get(&call).map_or(0, VecDeque::len))
    }

    /// Has nothing fail any more.
    pub(crate) fn clear() {
        FAILURES.with_borrow_mut(HashMap::clear);
    }

    pub(super) fn next(call: SocketCall) -> Option<Errno> {
        FAILURES.with_borrow_mut(|all| all.get_mut(&call)?.pop_front())
    }
}
