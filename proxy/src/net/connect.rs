//! Connects to a peer.

use super::fault::{connect_fault, lacks_descriptor};
use super::{calls, Fault, SocketCall};
use async_io::Async;
use rustix::io::Errno;
use socket2::Socket;
use std::io;
use std::net::{SocketAddr, TcpStream};

/// A connection could not be made.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", call.name())]
pub struct ConnectError {
    /// The call that failed.
    pub call: SocketCall,
    /// Its error.
    pub source: io::Error,
}

impl ConnectError {
    /// Whose fault it is.
    pub fn fault(&self) -> Fault {
        connect_fault(self.call, &self.source)
    }

    /// Whether the process or the system has no descriptor left: closing an idle connection helps.
    pub fn lacks_descriptor(&self) -> bool {
        lacks_descriptor(&self.source)
    }
}

/// Connects to an address. It waits for as long as the system does: the caller bounds that.
pub async fn connect(address: SocketAddr) -> Result<Async<TcpStream>, ConnectError> {
    let connect_error = |call| move |source| ConnectError { call, source };
    let socket = calls::socket(address).map_err(connect_error(SocketCall::Socket))?;
    start_connect(&socket, address).map_err(connect_error(SocketCall::Connect))?;
    let stream =
        Async::new_nonblocking(TcpStream::from(socket)).map_err(connect_error(SocketCall::Register))?;
    stream.writable().await.map_err(connect_error(SocketCall::Register))?;
    match stream.get_ref().take_error() {
        Ok(None) => {}
        Ok(Some(e)) | Err(e) => return Err(connect_error(SocketCall::Connect)(e)),
    }
    disable_write_delay(&stream);
    Ok(stream)
}

/// Begins the handshake.
fn start_connect(socket: &Socket, address: SocketAddr) -> io::Result<()> {
    loop {
        let Err(error) = calls::connect(socket, address) else { return Ok(()) };
        match Errno::from_io_error(&error) {
            Some(Errno::INPROGRESS) => return Ok(()),
            // Whether an interrupted call goes on by itself is told by the next one: these two say that it does.
            Some(Errno::ALREADY | Errno::ISCONN) => return Ok(()),
            Some(Errno::INTR) => {}
            _ => return Err(error),
        }
    }
}

/// Has small writes sent at once. A connection where that fails is used all the same: its writes may come some
/// milliseconds later, and the bytes are the same.
pub(super) fn disable_write_delay(stream: &Async<TcpStream>) {
    if let Err(error) = calls::set_nodelay(stream.get_ref()) {
        log::debug!("socket: small writes may be delayed: {error}");
    }
}
