//! Servers that handle each connection on its own thread, for tests that force the order of bytes on it.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Starts a server that handles each connection on its own thread. Returns its address.
pub fn start_server(serve: impl Fn(TcpStream) -> Option<()> + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    endpoint
}

/// Waits for the first byte of the next command: from then on the proxy cannot see what is sent before it has written the
/// command. `None` if the connection ends.
pub fn wait_for_next_command(stream: &TcpStream) -> Option<()> {
    stream.peek(&mut [0]).ok().filter(|n| *n > 0).map(drop)
}

/// Reads an HTTP request with a body of one byte at most, byte by byte, and returns its path and id.
pub fn read_http_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.extend(byte);
    }
    let head = String::from_utf8(head).unwrap();
    if head.starts_with("PUT") {
        stream.read_exact(&mut byte).ok()?;
    }
    let path = head.split(' ').nth(1)?.to_owned();
    let id = head.lines().find_map(|line| line.strip_prefix("X-Call-Id: "))?;
    Some((path, id.to_owned()))
}

/// A value of this length that a server makes for a request.
pub fn value_of_length(id: &str, length: usize) -> Vec<u8> {
    id.bytes().cycle().take(length).collect()
}
