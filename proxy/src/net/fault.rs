//! Classifies the errors of socket system calls by cause.

use rustix::io::Errno;
use std::io;

/// A system call on a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SocketCall {
    /// Creating a socket.
    Socket,
    /// Setting `TCP_NODELAY`.
    SetNoDelay,
    /// Connecting, including the handshake.
    Connect,
    /// Accepting a connection.
    Accept,
    /// Registering the socket with the event queue (epoll).
    Register,
    /// Reading.
    Read,
    /// Writing.
    Write,
    /// Looking for input without reading it.
    Peek,
    /// Asking whether the peer has closed its side.
    Poll,
    /// Shutting down the sending side.
    Shutdown,
    /// Closing.
    Close,
}

impl SocketCall {
    /// The name of the call in error messages and the log.
    pub fn name(self) -> &'static str {
        match self {
            SocketCall::Socket => "socket",
            SocketCall::SetNoDelay => "set_nodelay",
            SocketCall::Connect => "connect",
            SocketCall::Accept => "accept",
            SocketCall::Register => "register",
            SocketCall::Read => "read",
            SocketCall::Write => "write",
            SocketCall::Peek => "peek",
            SocketCall::Poll => "poll",
            SocketCall::Shutdown => "shutdown",
            SocketCall::Close => "close",
        }
    }
}

/// The cause of a failed connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// This machine is short of a resource or forbids the connection.
    Local,
    /// The network path to the peer does not work.
    Path,
    /// The peer did not complete the handshake before the system's timeout.
    PeerTimedOut,
    /// The peer refused or reset the connection, or the cause is unknown.
    Peer,
}

/// Classifies the error of a call made while connecting.
///
/// Unknown errors of `connect` count as [`Fault::Peer`], so that an endpoint with repeated failures is avoided.
pub fn connect_fault(call: SocketCall, error: &io::Error) -> Fault {
    match call {
        SocketCall::Connect => match Errno::from_io_error(error) {
            Some(
                Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
                // No free local port or no usable local address.
                | Errno::ADDRNOTAVAIL
                | Errno::ADDRINUSE
                | Errno::AGAIN
                // A local packet filter rejected the packet.
                | Errno::ACCESS
                | Errno::PERM
                | Errno::AFNOSUPPORT
                | Errno::INTR,
            ) => Fault::Local,
            Some(
                Errno::NETUNREACH | Errno::HOSTUNREACH | Errno::NETDOWN | Errno::HOSTDOWN | Errno::NONET,
            ) => Fault::Path,
            Some(Errno::TIMEDOUT) => Fault::PeerTimedOut,
            _ => Fault::Peer,
        },
        // No packet has been sent.
        _ => Fault::Local,
    }
}

/// Returns whether the process or system is out of file descriptors, so that closing an idle connection may help.
pub fn lacks_descriptor(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE))
}

/// What an accept loop does after `accept` failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAcceptError {
    /// Wait until the listener is readable; its queue is empty.
    Wait,
    /// Accept again at once; the failed connection, if any, has left the queue.
    AcceptNext,
    /// Pause before accepting again; a resource is short and the connection is still in the queue.
    Pause,
}

/// Decides what an accept loop does after `accept` failed.
///
/// Linux returns pending network errors of a new connection from `accept` and removes that connection from the queue.
/// Pausing after them would only delay the other connections.
pub fn after_accept_error(error: &io::Error) -> AfterAcceptError {
    match Errno::from_io_error(error) {
        Some(Errno::AGAIN) => AfterAcceptError::Wait,
        Some(
            Errno::INTR
            | Errno::CONNABORTED
            | Errno::CONNRESET
            | Errno::PROTO
            | Errno::NETDOWN
            | Errno::NOPROTOOPT
            | Errno::HOSTDOWN
            | Errno::NONET
            | Errno::HOSTUNREACH
            | Errno::OPNOTSUPP
            | Errno::NETUNREACH
            | Errno::TIMEDOUT
            // A local packet filter rejected the connection.
            | Errno::PERM,
        ) => AfterAcceptError::AcceptNext,
        _ => AfterAcceptError::Pause,
    }
}
