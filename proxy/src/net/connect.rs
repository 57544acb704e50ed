//! Establishes outgoing TCP connections.

use super::fault::{connect_fault, lacks_descriptor};
use super::{calls, Fault, Peer, SocketCall, Stream};
use async_io::Async;
use rustix::io::Errno;
use socket2::Socket;
use std::io;
use std::net::{SocketAddr, TcpStream};

/// A connection could not be established.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", call.name())]
pub struct ConnectError {
    /// The call that failed.
    pub call: SocketCall,
    /// The error that it returned.
    pub source: io::Error,
}

impl ConnectError {
    /// Classifies the error by its cause.
    pub fn fault(&self) -> Fault {
        connect_fault(self.call, &self.source)
    }

    /// Returns whether the process or system is out of file descriptors, so that closing an idle connection may help.
    pub fn lacks_descriptor(&self) -> bool {
        lacks_descriptor(&self.source)
    }
}

/// Connects to an address of this kind of peer. There is no timeout other than the system's; the caller must set one.
pub async fn connect(address: SocketAddr, peer: Peer) -> Result<Stream, ConnectError> {
    let connect_error = |call| move |source| ConnectError { call, source };
    let socket = calls::socket(address).map_err(connect_error(SocketCall::Socket))?;
    start_connect(&socket, address, peer).map_err(connect_error(SocketCall::Connect))?;
    let stream =
        Async::new_nonblocking(TcpStream::from(socket)).map_err(connect_error(SocketCall::Register))?;
    stream.writable().await.map_err(connect_error(SocketCall::Register))?;
    match stream.get_ref().take_error() {
        Ok(None) => {}
        Ok(Some(e)) | Err(e) => return Err(connect_error(SocketCall::Connect)(e)),
    }
    disable_write_delay(&stream);
    Ok(Stream::new(stream, peer))
}

/// Starts the TCP handshake, repeating an interrupted call.
fn start_connect(socket: &Socket, address: SocketAddr, peer: Peer) -> io::Result<()> {
    loop {
        let Err(error) = calls::connect(socket, address, peer) else { return Ok(()) };
        match Errno::from_io_error(&error) {
            Some(Errno::INPROGRESS) => return Ok(()),
            // The repeated call reports that the interrupted one is still in progress or has succeeded.
            Some(Errno::ALREADY | Errno::ISCONN) => return Ok(()),
            Some(Errno::INTR) => {}
            _ => return Err(error),
        }
    }
}

/// Sets `TCP_NODELAY`. A failure is only logged, because the connection remains usable with delayed small writes.
pub(super) fn disable_write_delay(stream: &Async<TcpStream>) {
    if let Err(error) = calls::set_nodelay(stream.get_ref()) {
        log::debug!("socket: small writes may be delayed: {error}");
    }
}
