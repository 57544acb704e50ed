//! Clients whose receive buffer holds little of a large value, so that its rest stays with the proxy until they read it.

use super::{Client, Proxy};
use socket2::{Domain, Socket, Type};
use std::net::TcpStream;

const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// Connects a client with a small receive buffer.
pub fn connect(proxy: &Proxy) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.connect(&proxy.listen.into()).unwrap();
    Client::new(TcpStream::from(socket))
}
