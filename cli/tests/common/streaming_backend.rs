//! A backend that writes its replies itself, piece by piece, with a thread for each connection.

use super::read_command;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// Starts a backend that calls `answer` with each command and its words. A connection closes once that returns false.
pub fn start(answer: impl Fn(&mut TcpStream, &[String]) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            std::thread::spawn(move || {
                while let Some(words) = read_command(&mut stream) {
                    if !answer(&mut stream, &words) {
                        return;
                    }
                }
            });
        }
    });
    endpoint
}
