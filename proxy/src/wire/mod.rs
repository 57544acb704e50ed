//! What is spoken. Everything but [`driver`] is fed bytes and knows no socket.

pub mod acceptor;
pub mod call;
pub mod driver;
pub mod http;
pub mod origin;
pub mod registry;
pub mod resp;
pub mod worker;

/// The largest value that is stored or answered.
pub const MAX_VALUE: usize = 64 * 1024;
