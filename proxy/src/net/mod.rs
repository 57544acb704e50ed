//! Makes sockets: the one place that opens, connects and accepts them, and that tells whose fault a failure is.
//!
//! A failed system call has one of three causes. A *local* one is a shortage or a rule of this machine, and says nothing
//! of the other side. A *path* error says that packets do not get there, which may be either side's doing. What the
//! *peer* did, such as refusing the connection, is the only kind that speaks against a backend at once.

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
