//! A proxy between the program and one of its servers that forwards one command at a time and inserts surplus bytes. The
//! order is forced: what is inserted is sent once the next command is on its way and before the server has it.

// Not every test file waits for the servers.
#![allow(dead_code)]

use crate::common::read_message;
use notchdoor_testbed::wire::frames::{Frames, Protocol};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Upper bound of the wait for commands that are still being forwarded.
const TIMEOUT: Duration = Duration::from_secs(10);

/// What a connection has carried so far.
pub struct Carried {
    /// The replies forwarded, oldest first.
    pub replies: Vec<Vec<u8>>,
}

impl Carried {
    /// The last reply forwarded; empty if there is none.
    pub fn last(&self) -> &[u8] {
        self.replies.last().map_or(&[], Vec::as_slice)
    }
}

/// Returns the bytes to insert before the reply to the next command. Called when the first byte of that command has come.
pub type Insertion = Arc<dyn Fn(&Carried) -> Vec<u8> + Send + Sync>;

/// A running fault proxy.
pub struct FaultProxy {
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Commands that have begun to come and are not answered.
    in_progress: Arc<AtomicUsize>,
}

/// Counts a command while it is in progress.
struct InProgress<'a>(&'a AtomicUsize);

impl<'a> InProgress<'a> {
    fn begin(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        InProgress(count)
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl FaultProxy {
    /// Starts a fault proxy in front of `target`.
    pub fn start(target: SocketAddr, protocol: Protocol, insert: &Insertion) -> FaultProxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = listener.local_addr().unwrap();
        let in_progress = Arc::new(AtomicUsize::new(0));
        let (count, insert) = (Arc::clone(&in_progress), Arc::clone(insert));
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let (count, insert) = (Arc::clone(&count), Arc::clone(&insert));
                let carried = Carried { replies: Vec::new() };
                std::thread::spawn(move || forward(client, (target, protocol), carried, (&insert, &count)));
            }
        });
        FaultProxy { endpoint, in_progress }
    }

    /// Waits until every command that has begun to come was handled by the server.
    pub fn wait_until_idle(&self) {
        let deadline = Instant::now() + TIMEOUT;
        while self.in_progress.load(Ordering::SeqCst) > 0 {
            assert!(Instant::now() < deadline, "a command was not handled");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

fn forward(
    mut client: TcpStream,
    (target, protocol): (SocketAddr, Protocol),
    mut carried: Carried,
    (insert, in_progress): (&Insertion, &AtomicUsize),
) -> Option<()> {
    let mut server = TcpStream::connect(target).ok()?;
    for stream in [&client, &server] {
        stream.set_nodelay(true).ok()?;
    }
    let (mut commands, mut replies) = (Frames::new(protocol), Frames::new(protocol));
    loop {
        client.peek(&mut [0]).ok().filter(|n| *n > 0)?;
        let _in_progress = InProgress::begin(in_progress);
        let surplus = insert(&carried);
        client.write_all(&surplus).ok()?;
        let command = read_message(&mut client, &mut commands)?;
        server.write_all(&command).ok()?;
        let reply = read_message(&mut server, &mut replies)?;
        // The client may have closed the connection over the surplus; the server has run the command all the same.
        client.write_all(&reply).ok()?;
        carried.replies.push(reply);
    }
}
