//! Network protocols of the proxy. All modules except [`driver`] are sans-I/O: they process bytes and use no sockets.

pub mod admin;
pub mod backend;
pub mod client_session;
pub mod command;
pub mod discovery;
pub mod driver;
pub mod fingerprint;
pub mod http;
pub mod origin;
pub mod resp;
pub mod streamed_value;

/// Maximum size in bytes of a buffered value, and the size that each request counts as in memory limits.
pub const MAX_VALUE: usize = 64 * 1024;
/// Maximum size in bytes of any value. Values larger than [`MAX_VALUE`] are streamed.
pub const MAX_STREAMED_VALUE: usize = 4 * 1024 * 1024;
/// Maximum size in bytes of a buffered HTTP body without a declared length.
pub const MAX_UNDELIMITED_BODY: usize = 1024 * 1024;
