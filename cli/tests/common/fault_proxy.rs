//! A proxy between the program and one of its servers that forwards one command at a time and inserts surplus bytes. The
//! order is forced: what is inserted is sent once the next command is on its way and before the server has it.

use super::in_progress::{read_message, InProgress};
use notchdoor_testbed::wire::frames::{Frames, Protocol};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

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
    pub in_progress: InProgress,
}

/// Inserts nothing.
pub fn nothing() -> Insertion {
    Arc::new(|_: &Carried| Vec::new())
}

/// Inserts a whole copy of the last reply on the connection, if it contains this text.
pub fn copy_of_replies_with(text: &'static str) -> Insertion {
    Arc::new(move |carried: &Carried| {
        let holds = carried.last().windows(text.len()).any(|window| window == text.as_bytes());
        if holds {
            carried.last().to_vec()
        } else {
            Vec::new()
        }
    })
}

impl FaultProxy {
    /// Starts a fault proxy in front of `target`.
    pub fn start(target: SocketAddr, protocol: Protocol, insert: &Insertion) -> FaultProxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = listener.local_addr().unwrap();
        let in_progress = InProgress::default();
        let (count, insert) = (in_progress.clone(), Arc::clone(insert));
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let (count, insert) = (count.clone(), Arc::clone(&insert));
                let carried = Carried { replies: Vec::new() };
                std::thread::spawn(move || forward(client, (target, protocol), carried, (&insert, &count)));
            }
        });
        FaultProxy { endpoint, in_progress }
    }
}

fn forward(
    mut client: TcpStream,
    (target, protocol): (SocketAddr, Protocol),
    mut carried: Carried,
    (insert, in_progress): (&Insertion, &InProgress),
) -> Option<()> {
    let mut server = TcpStream::connect(target).ok()?;
    for stream in [&client, &server] {
        stream.set_nodelay(true).ok()?;
    }
    let (mut commands, mut replies) = (Frames::new(protocol), Frames::new(protocol));
    loop {
        client.peek(&mut [0]).ok().filter(|n| *n > 0)?;
        let _in_progress = in_progress.begin();
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
