//! Accepts connections, with a pause after errors that affect all of them.

use ::log::debug;
use async_io::{Async, Timer};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Pause after an accept that failed for lack of file descriptors or memory.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts the next connection. `None` after an error, which is logged at debug level.
pub(super) async fn accept(listener: &Async<TcpListener>) -> Option<Async<TcpStream>> {
    match listener.accept().await {
        Ok((io, _)) => {
            let _ = io.get_ref().set_nodelay(true);
            Some(io)
        }
        Err(error) => {
            debug!("cannot accept a connection: {error}");
            if !is_connection_error(&error) {
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
            None
        }
    }
}

/// Whether an error of `accept` concerns a single connection only, so that the next one can be accepted at once.
fn is_connection_error(error: &std::io::Error) -> bool {
    /// Linux reports pending network errors of the new connection by `accept`.
    const EPROTO: i32 = 71;
    matches!(error.kind(), std::io::ErrorKind::Interrupted | std::io::ErrorKind::ConnectionAborted)
        || error.raw_os_error() == Some(EPROTO)
}
