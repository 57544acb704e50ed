//! Clients that behave: each asks for small values and sends small writes, one after the other, and notes what it waited for.

use super::judge::MAX_LATENESS;
use super::{Client, TIMEOUT};
use notchdoor_proxy::wire::resp::Value;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Deadlines of reads and of writes that run at most once.
const READ_DEADLINE: Duration = Duration::from_millis(1500);
const WRITE_DEADLINE: Duration = Duration::from_millis(600);
/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(25);
/// Each so-many-th request is a write.
const REQUESTS_PER_WRITE: usize = 5;

/// What ordinary clients saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Requests sent.
    pub sent: usize,
    /// Answered with a value or receipt.
    pub served: usize,
    /// Answered late or never.
    pub lost: Vec<String>,
}

/// Running clients.
pub struct OrdinaryClients {
    done: Arc<AtomicBool>,
    /// The last process ends: connections may be closed before they are read.
    ending: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Seen>>,
}

impl OrdinaryClients {
    /// Starts so many clients.
    pub fn start(proxy: SocketAddr, count: usize) -> OrdinaryClients {
        let (done, ending) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let threads = (0..count)
            .map(|number| {
                let (done, ending) = (Arc::clone(&done), Arc::clone(&ending));
                std::thread::spawn(move || run(proxy, number, (&done, &ending)))
            })
            .collect();
        OrdinaryClients { done, ending, threads }
    }

    /// Says that the last process ends. Clients go on; what is answered must still be in time.
    pub fn expect_end(&self) {
        self.ending.store(true, Ordering::Relaxed);
    }

    /// Ends the clients and returns what they saw.
    pub fn stop(self) -> Seen {
        self.done.store(true, Ordering::Relaxed);
        let mut all = Seen::default();
        for thread in self.threads {
            let seen = thread.join().expect("a client panicked");
            all.sent += seen.sent;
            all.served += seen.served;
            all.lost.extend(seen.lost);
        }
        all
    }
}

fn connect(proxy: SocketAddr, done: &AtomicBool) -> Option<Client> {
    let give_up = Instant::now() + TIMEOUT;
    while Instant::now() < give_up && !done.load(Ordering::Relaxed) {
        if let Ok(stream) = TcpStream::connect(proxy) {
            return Some(Client::new(stream));
        }
        std::thread::sleep(PAUSE);
    }
    None
}

fn run(proxy: SocketAddr, number: usize, (done, ending): (&AtomicBool, &AtomicBool)) -> Seen {
    let mut seen = Seen::default();
    let Some(mut client) = connect(proxy, done) else { return seen };
    // A connection may be closed before the proxy has read the request, which is then sent once more on a new one.
    let mut is_new = true;
    while !done.load(Ordering::Relaxed) {
        let id = format!("ordinary-{number}-{}", seen.sent);
        let is_write = seen.sent % REQUESTS_PER_WRITE == REQUESTS_PER_WRITE - 1;
        let deadline = if is_write { WRITE_DEADLINE } else { READ_DEADLINE };
        let sent_at = Instant::now();
        let info = format!("c={},t=acme,d={}", if is_write { "close" } else { "read" }, deadline.as_millis());
        match is_write {
            true => client.send_if_open(&["OBJ.SET", &id, &id, &info, "v"]),
            false => client.send_if_open(&["OBJ.GET", &id, &id, &info]),
        }
        let answer = client.next();
        let late = sent_at.elapsed().checked_sub(deadline + MAX_LATENESS);
        match (answer, late) {
            (Some(_), Some(late)) => {
                seen.sent += 1;
                seen.lost.push(format!("{id}: {late:?} too late"));
            }
            (Some(answer), None) => {
                seen.sent += 1;
                seen.served += usize::from(matches!(answer, Value::Bulk(Some(_))));
            }
            (None, _) => {
                if is_new && !ending.load(Ordering::Relaxed) {
                    seen.sent += 1;
                    seen.lost.push(format!("{id}: no answer on a new connection"));
                }
                let Some(next) = connect(proxy, done) else { break };
                (client, is_new) = (next, true);
                continue;
            }
        }
        is_new = false;
        std::thread::sleep(PAUSE);
    }
    seen
}
