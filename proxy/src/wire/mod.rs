//! What is spoken. Everything but [`driver`] is fed bytes and knows no socket.

pub mod acceptor;
pub mod admin;
pub mod call;
pub mod driver;
pub mod http;
pub mod origin;
pub mod registry;
pub mod resp;
pub mod worker;

/// The largest value that a client may store, and what one is reckoned at where room is shared out.
pub const MAX_VALUE: usize = 64 * 1024;
/// The largest value that is taken for an answer. Values of some hundred KiB have been seen, though what is
/// stored today is no larger than [`MAX_VALUE`]; what claims to be larger than this is no value.
pub const MAX_ANSWER: usize = 1024 * 1024;
