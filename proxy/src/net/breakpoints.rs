//! Stops a debug build before and after each system call on a connection, for tests.
//!
//! If [`VARIABLE`] names an address, the program connects to it and writes a line for each call:
//! `before read client:PORT` or `after read client:PORT RESULT`, with the port at the peer's side of an accepted connection
//! and at the program's side of any other. It stops until a line answers: `go`, or before a call `fail ERRNO`, in place of
//! the call. Release builds have none of this.

use super::Peer;
use super::SocketCall;
use std::fmt;
use std::io;
use std::net::TcpStream;

/// The connection that a call is made on.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionName {
    peer: Peer,
    port: u16,
}

impl ConnectionName {
    /// Names an open connection.
    pub(super) fn of(stream: &TcpStream, peer: Peer) -> Self {
        let address = match peer {
            Peer::Client | Peer::Admin => stream.peer_addr(),
            Peer::Server | Peer::Discovery => stream.local_addr(),
        };
        ConnectionName { peer, port: address.map_or(0, |address| address.port()) }
    }

    /// Names a connection that has no port yet.
    pub(super) fn without_port(peer: Peer) -> Self {
        ConnectionName { peer, port: 0 }
    }
}

impl fmt::Display for ConnectionName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.peer.name(), self.port)
    }
}

/// Makes a system call between two stops.
#[cfg(debug_assertions)]
pub(super) fn around<T>(
    call: SocketCall,
    connection: ConnectionName,
    make: impl FnOnce() -> io::Result<T>,
    result: impl FnOnce(&T) -> usize,
) -> io::Result<T> {
    controlled::before(call, connection)?;
    let made = make();
    controlled::after(call, connection, made.as_ref().map(result));
    made
}

/// Makes a system call.
#[cfg(not(debug_assertions))]
pub(super) fn around<T>(
    _: SocketCall,
    _: ConnectionName,
    make: impl FnOnce() -> io::Result<T>,
    _: impl FnOnce(&T) -> usize,
) -> io::Result<T> {
    make()
}

#[cfg(debug_assertions)]
mod controlled {
    use super::{ConnectionName, SocketCall};
    use std::io::{self, BufRead, BufReader, Write};
    use std::net::TcpStream;
    use std::sync::{Mutex, OnceLock};

    /// The environment variable with the address of the test.
    const VARIABLE: &str = "NOTCHDOOR_BREAKPOINTS";

    fn control() -> Option<&'static Mutex<BufReader<TcpStream>>> {
        static CONTROL: OnceLock<Option<Mutex<BufReader<TcpStream>>>> = OnceLock::new();
        let connect = || {
            let stream = TcpStream::connect(std::env::var(VARIABLE).ok()?).ok()?;
            stream.set_nodelay(true).ok()?;
            Some(Mutex::new(BufReader::new(stream)))
        };
        CONTROL.get_or_init(connect).as_ref()
    }

    /// Tells the test of a stop and waits for its answer; empty if there is no test.
    fn stop(line: impl FnOnce() -> String) -> String {
        let Some(mut control) = control().and_then(|control| control.lock().ok()) else {
            return String::new();
        };
        let mut answer = String::new();
        if control.get_mut().write_all(line().as_bytes()).is_ok() {
            let _ = control.read_line(&mut answer);
        }
        answer
    }

    pub(super) fn before(call: SocketCall, connection: ConnectionName) -> io::Result<()> {
        let answer = stop(|| format!("before {} {connection}\n", call.name()));
        match answer.trim().strip_prefix("fail ").and_then(|errno| errno.parse().ok()) {
            Some(errno) => Err(io::Error::from_raw_os_error(errno)),
            None => Ok(()),
        }
    }

    pub(super) fn after(call: SocketCall, connection: ConnectionName, result: Result<usize, &io::Error>) {
        let result = match result {
            Ok(n) => n as i64,
            Err(error) => -i64::from(error.raw_os_error().unwrap_or(i32::MAX)),
        };
        stop(|| format!("after {} {connection} {result}\n", call.name()));
    }
}
