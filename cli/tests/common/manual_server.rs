//! Servers whose responses the test writes itself.

use super::{endpoint_entry_at, TIMEOUT};
use notchdoor_proxy::wire::resp::Reader;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// A backend or an origin whose responses the test writes itself. `requests` receives the first request of each connection
/// and the connection.
pub struct ManualServer {
    pub endpoint: SocketAddr,
    pub requests: Receiver<(String, TcpStream)>,
}

/// Returns whether these bytes contain a whole backend command or the whole head of an HTTP request.
fn is_complete(bytes: &[u8]) -> bool {
    let mut reader = Reader::default();
    reader.feed(bytes);
    bytes.windows(4).any(|w| w == b"\r\n\r\n")
        || bytes.starts_with(b"*") && matches!(reader.next_value(), Ok(Some(_)))
}

/// Reads the first request of a connection; empty if the connection ends before it.
pub fn read_request(stream: &mut TcpStream) -> String {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    while !is_complete(&bytes) {
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => bytes.extend(&buffer[..n]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

impl ManualServer {
    pub fn start() -> ManualServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = listener.local_addr().unwrap();
        let (sender, requests) = channel();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || {
                    let text = read_request(&mut stream);
                    if !text.is_empty() {
                        let _ = sender.send((text, stream));
                    }
                });
            }
        });
        ManualServer { endpoint, requests }
    }

    pub fn endpoint_entry(&self, uid: &str) -> String {
        endpoint_entry_at(uid, self.endpoint, "in_service", 0)
    }

    pub fn next(&self) -> (String, TcpStream) {
        self.requests.recv_timeout(TIMEOUT).expect("no request received")
    }

    pub fn received_nothing_more(&self) -> bool {
        self.requests.recv_timeout(Duration::from_millis(150)).is_err()
    }
}
