//! Creates, connects and accepts sockets, makes all system calls on their connections, and classifies the errors.
//!
//! A *local* fault is a resource shortage or rule of this machine and says nothing about the peer. A *path* fault means
//! that packets do not arrive, which either side may cause. Only a *peer* fault, such as a refused connection, counts
//! against a backend at once.

mod breakpoints;
mod calls;
mod connect;
mod fault;
mod listener;
mod reachability;
mod stream;

#[cfg(test)]
pub(crate) use calls::injection;
pub use connect::{connect, ConnectError};
pub use fault::{after_accept_error, connect_fault, lacks_descriptor, AfterAcceptError, Fault, SocketCall};
pub use listener::{Listener, TryAccept};
pub use reachability::Reachability;
pub use stream::Stream;

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// A client.
    Client,
    /// A backend or the origin.
    Server,
    /// Discovery.
    Discovery,
    /// A caller of the admin interface.
    Admin,
}

impl Peer {
    /// The name in the messages of breakpoints.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Peer::Client => "client",
            Peer::Server => "server",
            Peer::Discovery => "discovery",
            Peer::Admin => "admin",
        }
    }
}

#[cfg(test)]
mod tests;
