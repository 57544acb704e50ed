//! A program between two others that breaks a rule on purpose, to show that the judge reports it.

use super::in_progress::read_message;
use super::TIMEOUT;
use notchdoor_testbed::wire::frames::{Frames, Protocol};
use socket2::SockRef;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// What a stand-in does after a command.
pub enum Reply {
    /// Sends these bytes.
    Bytes(Vec<u8>),
    /// Sends these bytes and closes the connection.
    ThenClose(Vec<u8>),
    /// Resets the connection, as a system does that has unread bytes of the client.
    Reset,
    /// Nothing; the connection stays open.
    Nothing,
}

/// Starts a stand-in that handles each command by `answer`. Returns its address.
pub fn start(protocol: Protocol, answer: impl Fn(&[u8]) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            std::thread::spawn(move || serve(stream, protocol, &*answer));
        }
    });
    endpoint
}

fn serve(mut stream: TcpStream, protocol: Protocol, answer: &dyn Fn(&[u8]) -> Reply) -> Option<()> {
    let mut frames = Frames::new(protocol);
    loop {
        let command = read_message(&mut stream, &mut frames)?;
        match answer(&command) {
            Reply::Bytes(bytes) => stream.write_all(&bytes).ok()?,
            Reply::ThenClose(bytes) => return stream.write_all(&bytes).ok(),
            Reply::Reset => return SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok(),
            Reply::Nothing => {}
        }
    }
}

/// Sends a command on a connection of its own and returns the reply; empty if there is none.
pub fn exchange(target: SocketAddr, protocol: Protocol, command: &[u8]) -> Vec<u8> {
    let reply = || {
        let mut stream = TcpStream::connect(target).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).ok()?;
        stream.write_all(command).ok()?;
        read_message(&mut stream, &mut Frames::new(protocol))
    };
    reply().unwrap_or_default()
}
