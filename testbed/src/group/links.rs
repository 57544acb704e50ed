//! Links between processes: each is a relay that passes bytes, holds them, delays them, lets them
//! trickle or resets its connections, in each direction by itself. All on one thread.

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use socket2::SockRef;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Connections that a link carries at the most; further ones are closed.
const MOST_CONNECTIONS: usize = 512;
/// How soon a change of a link is felt by what waits in it.
const LOOK: Duration = Duration::from_millis(5);
/// A link that trickles writes so many pieces a second.
const PIECES_PER_S: u64 = 50;
/// Pieces that may be under way in one direction of a connection.
const MOST_UNDER_WAY: usize = 256;
/// Jobs that may wait for the thread.
const MOST_JOBS: usize = 256;

/// What a link does in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// Bytes pass.
    Open,
    /// Bytes stay in it, and pass once it is open again: a cut as the two ends of a connection see it.
    Held,
    /// Bytes pass so many milliseconds late.
    Delayed(u32),
    /// So many bytes pass in a second: a slow reader, as its writer sees it.
    Slow(u32),
}

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From who dialled.
    There,
    /// To who dialled.
    Back,
}

impl Flow {
    fn packed(self) -> u64 {
        match self {
            Flow::Open => 0,
            Flow::Held => 1 << 32,
            Flow::Delayed(ms) => 2 << 32 | u64::from(ms),
            Flow::Slow(bytes) => 3 << 32 | u64::from(bytes),
        }
    }

    fn unpacked(packed: u64) -> Flow {
        let n = packed as u32;
        match packed >> 32 {
            0 => Flow::Open,
            1 => Flow::Held,
            2 => Flow::Delayed(n),
            _ => Flow::Slow(n),
        }
    }
}

#[derive(Default)]
struct State {
    flows: [AtomicU64; 2],
    /// Connections of an older count are reset.
    resets: AtomicU64,
}

/// A link's handle.
#[derive(Clone)]
pub struct Link {
    address: SocketAddr,
    state: Arc<State>,
}

impl Link {
    /// Where it is dialled.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets one direction.
    pub fn set(&self, way: Way, flow: Flow) {
        self.state.flows[way as usize].store(flow.packed(), Ordering::SeqCst);
    }

    /// Sets both directions.
    pub fn set_both(&self, flow: Flow) {
        self.set(Way::There, flow);
        self.set(Way::Back, flow);
    }

    /// Resets the connections that are open; what they held is lost.
    pub fn reset(&self) {
        self.state.resets.fetch_add(1, Ordering::SeqCst);
    }
}

/// What runs on the links' thread.
type Job = Box<dyn FnOnce(&Rc<LocalExecutor<'static>>) + Send>;

/// The links of a fleet and their thread, which ends when this is dropped.
pub struct Links {
    jobs: Sender<Job>,
    thread: Option<JoinHandle<()>>,
}

impl Links {
    /// Starts the thread.
    pub fn start() -> Links {
        let (jobs, taken) = async_channel::bounded::<Job>(MOST_JOBS);
        let thread = std::thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            future::block_on(executor.run(async {
                while let Ok(job) = taken.recv().await {
                    job(&executor);
                }
            }));
        });
        Links { jobs, thread: Some(thread) }
    }

    /// Has the thread do something and waits for what comes of it.
    pub fn with<T: Send + 'static>(
        &self,
        job: impl FnOnce(&Rc<LocalExecutor<'static>>) -> T + Send + 'static,
    ) -> io::Result<T> {
        let (done, came) = mpsc::channel();
        let job: Job = Box::new(move |executor| drop(done.send(job(executor))));
        let gone = |_| io::Error::other("the links' thread ended");
        self.jobs.send_blocking(job).map_err(|_| gone(mpsc::RecvError))?;
        came.recv().map_err(gone)
    }

    /// A link to this address, open.
    pub fn link(&self, target: SocketAddr) -> io::Result<Link> {
        let state = Arc::new(State::default());
        let of_task = Arc::clone(&state);
        let address = self.with(move |executor| {
            let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
            let address = listener.get_ref().local_addr()?;
            let weak = Rc::downgrade(executor);
            executor
                .spawn(async move {
                    let open = Rc::new(());
                    loop {
                        let Ok((stream, _)) = listener.accept().await else {
                            Timer::after(LOOK).await;
                            continue;
                        };
                        let Some(executor) = weak.upgrade() else { return };
                        if Rc::strong_count(&open) <= MOST_CONNECTIONS {
                            let (place, state) = (Rc::clone(&open), Arc::clone(&of_task));
                            let carried = async move {
                                carry(&state, stream, target).await;
                                drop(place);
                            };
                            executor.spawn(carried).detach();
                        }
                    }
                })
                .detach();
            Ok::<_, io::Error>(address)
        })??;
        Ok(Link { address, state })
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.jobs.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn carry(state: &State, client: Async<TcpStream>, target: SocketAddr) {
    let since = state.resets.load(Ordering::SeqCst);
    let lost = |stream: &Async<TcpStream>| {
        // With no time to linger, a close is a reset.
        let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
    };
    // A link that is cut when it is dialled has its caller wait: nothing says no.
    while state.flow(Way::There) == Flow::Held {
        if state.resets.load(Ordering::SeqCst) != since {
            return lost(&client);
        }
        Timer::after(LOOK).await;
    }
    let Ok(server) = Async::<TcpStream>::connect(target).await else { return lost(&client) };
    for stream in [&client, &server] {
        let _ = stream.get_ref().set_nodelay(true);
    }
    let there = copy(state, Way::There, &client, &server);
    let back = copy(state, Way::Back, &server, &client);
    let reset = async {
        while state.resets.load(Ordering::SeqCst) == since {
            Timer::after(LOOK).await;
        }
        lost(&client);
        lost(&server);
    };
    let carried = async { _ = future::zip(there, back).await };
    future::or(reset, carried).await;
}

impl State {
    fn flow(&self, way: Way) -> Flow {
        Flow::unpacked(self.flows[way as usize].load(Ordering::SeqCst))
    }
}

/// Copies until the end; an end in one direction is passed on, and so is a reset, as an end.
async fn copy(state: &State, way: Way, from: &Async<TcpStream>, to: &Async<TcpStream>) {
    let (mut reader, mut writer) = (from, to);
    // What is on its way, and when it was read. Guards against a delay that adds up: of two answers right behind each
    // other the second would come twice as late.
    let (under_way, arriving) = async_channel::bounded::<(Instant, Vec<u8>)>(MOST_UNDER_WAY);
    let read = async {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            // Only what is late goes on being read meanwhile: at a cut or a slow reader its writer has to wait.
            while matches!(state.flow(way), Flow::Held | Flow::Slow(_)) && !under_way.is_empty() {
                Timer::after(LOOK).await;
            }
            let most = match state.flow(way) {
                Flow::Slow(bytes) => (u64::from(bytes) / PIECES_PER_S).clamp(1, buffer.len() as u64) as usize,
                _ => buffer.len(),
            };
            let n = reader.read(&mut buffer[..most]).await.unwrap_or(0);
            if under_way.send((Instant::now(), buffer[..n].to_vec())).await.is_err() || n == 0 {
                return future::pending().await;
            }
        }
    };
    let pass = async {
        while let Ok((read_at, bytes)) = arriving.recv().await {
            // Read before the cut was made, it waits here and comes late.
            while state.flow(way) == Flow::Held {
                Timer::after(LOOK).await;
            }
            match state.flow(way) {
                Flow::Delayed(ms) => _ = Timer::at(read_at + Duration::from_millis(ms.into())).await,
                Flow::Slow(_) => _ = Timer::after(Duration::from_millis(1000 / PIECES_PER_S)).await,
                Flow::Open | Flow::Held => {}
            }
            if bytes.is_empty() || writer.write_all(&bytes).await.is_err() {
                break;
            }
        }
        let _ = to.get_ref().shutdown(std::net::Shutdown::Write);
    };
    future::or(pass, read).await;
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};

    #[test]
    fn a_link_holds_bytes_and_gives_them_late_and_a_reset_loses_them() {
        let server = TcpListener::bind("127.0.0.1:0").unwrap();
        let links = Links::start();
        let link = links.link(server.local_addr().unwrap()).unwrap();
        let mut client = TcpStream::connect(link.address()).unwrap();
        let (mut end, _) = server.accept().unwrap();
        for end in [&client, &end] {
            end.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        }
        let mut byte = [0];
        client.write_all(b"a").unwrap();
        end.read_exact(&mut byte).unwrap();
        // One way is cut: the other still carries.
        link.set(Way::There, Flow::Held);
        client.write_all(b"b").unwrap();
        end.write_all(b"c").unwrap();
        client.read_exact(&mut byte).unwrap();
        assert_eq!(byte, *b"c");
        end.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        assert!(end.read_exact(&mut byte).is_err(), "it is held");
        end.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        link.set(Way::There, Flow::Open);
        end.read_exact(&mut byte).unwrap();
        assert_eq!(byte, *b"b");
        // Late by what is said.
        link.set(Way::There, Flow::Delayed(80));
        let sent = Instant::now();
        client.write_all(b"d").unwrap();
        end.read_exact(&mut byte).unwrap();
        assert!(sent.elapsed() >= Duration::from_millis(80));
        // Each of many by as much, not by the sum.
        link.set(Way::There, Flow::Delayed(1_000));
        let sent = Instant::now();
        for _ in 0..8 {
            client.write_all(b"d").unwrap();
            std::thread::sleep(Duration::from_millis(10));
        }
        end.read_exact(&mut [0; 8]).unwrap();
        assert!((1_000..1_700).contains(&sent.elapsed().as_millis()), "{:?}", sent.elapsed());
        // What is held at a reset is gone, and so is the connection.
        link.set(Way::There, Flow::Held);
        client.write_all(b"e").unwrap();
        link.reset();
        assert!(client.read_exact(&mut byte).is_err() && end.read_exact(&mut byte).is_err());
        link.set_both(Flow::Open);
        let mut client = TcpStream::connect(link.address()).unwrap();
        client.write_all(b"f").unwrap();
        let (mut end, _) = server.accept().unwrap();
        end.read_exact(&mut byte).unwrap();
        assert_eq!(byte, *b"f");
    }
}
