//! Accepting connections, and which of its errors are worth a pause.

use ::log::debug;
use async_io::{Async, Timer};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// The pause after an accept that failed for want of descriptors or memory.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The next connection; `None` where there is none yet.
pub(super) async fn accept(listener: &Async<TcpListener>) -> Option<Async<TcpStream>> {
    match listener.accept().await {
        Ok((io, _)) => {
            let _ = io.get_ref().set_nodelay(true);
            Some(io)
        }
        Err(error) => {
            debug!("cannot accept: {error}");
            if !is_connection_error(&error) {
                // Out of descriptors or memory: the next try does better once some are given back.
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
            None
        }
    }
}

/// Whether an error of accept is that of one connection, or no error at all: others wait behind it.
fn is_connection_error(error: &std::io::Error) -> bool {
    /// A protocol error of the connection, as Linux passes it on.
    const EPROTO: i32 = 71;
    matches!(error.kind(), std::io::ErrorKind::Interrupted | std::io::ErrorKind::ConnectionAborted)
        || error.raw_os_error() == Some(EPROTO)
}
