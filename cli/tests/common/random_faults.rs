//! A proxy between the program and one of its servers that does random things to the replies: copies that come late, whole
//! or in part, delays, and connections that are reset or end within a reply.

use super::in_progress::{read_message, InProgress};
use super::random::Random;
use notchdoor_testbed::wire::frames::{Frames, Protocol};
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How likely each fault is for a reply.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// A copy of an earlier reply comes later.
    pub copy: f64,
    /// Such a copy is cut off.
    pub part: f64,
    /// The reply is delayed.
    pub delay: f64,
    /// The connection is reset within the reply.
    pub reset: f64,
    /// The connection ends within the reply.
    pub cut: f64,
    /// Nothing more comes on the connection, which stays open.
    pub silence: f64,
}

/// The longest delay of a reply.
const MAX_DELAY_MS: f64 = 60.0;
/// How late a copy comes at most.
const MAX_COPY_DELAY_MS: f64 = 40.0;

/// How long a silent connection stays open; longer than a run.
const SILENCE: Duration = Duration::from_secs(20);

/// A running proxy with faults.
pub struct FaultyLink {
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// The copies sent.
    pub copies: Arc<AtomicUsize>,
    /// Commands that are being forwarded or handled by the server.
    pub in_progress: InProgress,
    /// Once set, all connections fall silent with their next reply.
    pub silent: Arc<AtomicBool>,
}

impl FaultyLink {
    /// Starts a link to `target`.
    pub fn start(target: SocketAddr, protocol: Protocol, faults: Faults, seed: u64) -> FaultyLink {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = listener.local_addr().unwrap();
        let (copies, in_progress) = (Arc::new(AtomicUsize::new(0)), InProgress::default());
        let silent = Arc::new(AtomicBool::new(false));
        let counts = (Arc::clone(&copies), in_progress.clone(), Arc::clone(&silent));
        std::thread::spawn(move || {
            for (number, client) in listener.incoming().flatten().enumerate() {
                let random = Random::new(seed ^ (number as u64 + 1).wrapping_mul(0x9e37_79b9));
                let (copies, in_progress, silent) = counts.clone();
                std::thread::spawn(move || {
                    let Ok(server) = TcpStream::connect(target) else { return };
                    let mut connection =
                        Connection::new((client, server), protocol, (faults, random), silent);
                    while connection.forward_one(&copies, &in_progress).is_some() {}
                });
            }
        });
        FaultyLink { endpoint, copies, in_progress, silent }
    }
}

struct Connection {
    client: TcpStream,
    /// The same connection; a copy and a reply are never written at the same time.
    writer: Arc<Mutex<TcpStream>>,
    /// Buffered, since a large reply is read byte by byte.
    server: BufReader<TcpStream>,
    commands: Frames,
    replies: Frames,
    earlier: Vec<Vec<u8>>,
    faults: Faults,
    random: Random,
    silent: Arc<AtomicBool>,
}

impl Connection {
    fn new(
        (client, server): (TcpStream, TcpStream),
        protocol: Protocol,
        (faults, random): (Faults, Random),
        silent: Arc<AtomicBool>,
    ) -> Self {
        for stream in [&client, &server] {
            let _ = stream.set_nodelay(true);
        }
        let writer = Arc::new(Mutex::new(client.try_clone().expect("a second handle")));
        let server = BufReader::new(server);
        let (commands, replies) = (Frames::new(protocol), Frames::new(protocol));
        Connection { client, writer, server, commands, replies, earlier: Vec::new(), faults, random, silent }
    }

    fn forward_one(&mut self, copies: &Arc<AtomicUsize>, in_progress: &InProgress) -> Option<()> {
        let command = read_message(&mut self.client, &mut self.commands)?;
        let reply = {
            let _in_progress = in_progress.begin();
            self.server.get_mut().write_all(&command).ok()?;
            read_message(&mut self.server, &mut self.replies)?
        };
        if self.silent.load(Ordering::SeqCst) || self.random.chance(self.faults.silence) {
            std::thread::sleep(SILENCE);
            return None;
        }
        if self.random.chance(self.faults.delay) {
            self.random.sleep(MAX_DELAY_MS);
        }
        if self.random.chance(self.faults.reset) || self.random.chance(self.faults.cut) {
            return self.end_within(&reply);
        }
        self.writer.lock().unwrap().write_all(&reply).ok()?;
        self.earlier.push(reply);
        if self.random.chance(self.faults.copy) {
            self.send_copy(copies);
        }
        Some(())
    }

    /// Sends part of a reply and ends the connection.
    fn end_within(&mut self, reply: &[u8]) -> Option<()> {
        let length = self.random.below(reply.len());
        let reset = self.random.chance(0.5);
        let mut writer = self.writer.lock().unwrap();
        writer.write_all(&reply[..length]).ok()?;
        if reset {
            SockRef::from(&*writer).set_linger(Some(Duration::ZERO)).ok()?;
        }
        writer.shutdown(Shutdown::Both).ok()?;
        None
    }

    /// Sends a copy of an earlier reply after a while, whatever the connection does meanwhile.
    fn send_copy(&mut self, copies: &Arc<AtomicUsize>) {
        let mut copy = self.earlier[self.random.below(self.earlier.len())].clone();
        if self.random.chance(self.faults.part) {
            copy.truncate(1 + self.random.below(copy.len()));
        }
        let (writer, copies, mut random) = (Arc::clone(&self.writer), Arc::clone(copies), self.random.fork());
        std::thread::spawn(move || {
            random.sleep(MAX_COPY_DELAY_MS);
            if writer.lock().unwrap().write_all(&copy).is_ok() {
                copies.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
}
