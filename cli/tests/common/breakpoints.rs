//! Controls the program between its socket calls: it stops before and after each of them until the test has acted.

use rustix::io::Errno;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};

/// The environment variable with the address to which a debug build of the program reports its calls.
pub const VARIABLE: &str = "NOTCHDOOR_BREAKPOINTS";
/// The file in a proxy's folder with that address.
pub const FILE: &str = "breakpoints";

/// Where the program has stopped.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Stop {
    pub is_after: bool,
    /// The call: `read`, `write`, `peek`, `poll`, `shutdown`, `close`, `connect` or `accept`.
    pub call: String,
    /// `client`, `server`, `discovery` or `admin`.
    pub peer: String,
    /// The port at the peer's side of an accepted connection, at the program's side of any other; 0 before there is one.
    pub port: u16,
    /// The result of the call, after it; a negative error number if it failed.
    pub result: i64,
}

/// How the program goes on.
pub enum GoOn {
    /// It makes the call.
    Call,
    /// The call fails with this error instead.
    Fail(Errno),
}

impl Stop {
    fn parse(line: &str) -> Option<Stop> {
        let mut words = line.split_whitespace();
        let is_after = words.next()? == "after";
        let call = words.next()?.to_owned();
        let (peer, port) = words.next()?.split_once(':')?;
        let result = words.next().and_then(|word| word.parse().ok()).unwrap_or_default();
        Some(Stop { is_after, call, peer: peer.to_owned(), port: port.parse().ok()?, result })
    }
}

/// Waits for the program and calls `act` at each stop. Returns the address for [`FILE`].
pub fn control(mut act: impl FnMut(&Stop) -> GoOn + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let Ok((stream, _)) = listener.accept() else { return };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
            let go_on = Stop::parse(&line).map_or(GoOn::Call, |stop| act(&stop));
            let answer = match go_on {
                GoOn::Call => "go\n".to_owned(),
                GoOn::Fail(errno) => format!("fail {}\n", errno.raw_os_error()),
            };
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
            line.clear();
        }
    });
    address
}
