//! Creates, connects and accepts sockets, and classifies the errors of doing so.
//!
//! A *local* fault is a resource shortage or rule of this machine and says nothing about the peer. A *path* fault means
//! that packets do not arrive, which either side may cause. Only a *peer* fault, such as a refused connection, counts
//! against a backend at once.

mod calls;
mod connect;
mod fault;
mod listener;
mod reachability;

#[cfg(test)]
pub(crate) use calls::injection;
pub use connect::{connect, ConnectError};
pub use fault::{after_accept_error, connect_fault, lacks_descriptor, AfterAcceptError, Fault, SocketCall};
pub use listener::{Listener, TryAccept};
pub use reachability::Reachability;

#[cfg(test)]
mod tests;
