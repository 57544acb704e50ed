//! What fleet-wide tasks act on: a stand-in for registry, origin or cache node. It keeps the highest
//! token seen for each task, refuses a lower one with 409, does one action of a task at a time, and
//! records each.

use super::links::Links;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use notchdoor_coordination::check::Action;
use notchdoor_coordination::fence::Fence;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Tasks that the fence remembers.
const MOST_TASKS: usize = 1024;
/// Actions that are recorded at the most; a run that has more is too long for its check.
pub const MOST_ACTIONS: usize = 4_000_000;
/// A request is whole within this time and this size.
const WHOLE: Duration = Duration::from_secs(5);
const MOST_HEAD: usize = 8 * 1024;

/// How a stand-in is made.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// How long an action takes.
    pub work: Duration,
    /// Whether old tokens are refused. Only a test of the checker goes without.
    pub fenced: bool,
}

/// The stand-in, on the links' thread.
pub struct Resource {
    address: SocketAddr,
    record: Arc<Mutex<Vec<Action>>>,
    began: Instant,
}

struct Inside {
    fence: Mutex<Fence>,
    /// One action of a task at a time.
    busy: async_lock::Mutex<()>,
    record: Arc<Mutex<Vec<Action>>>,
    began: Instant,
    manner: Manner,
}

impl Resource {
    /// Listens on a free port of loopback.
    pub fn start(links: &Links, manner: Manner) -> io::Result<Resource> {
        let (record, began) = (Arc::<Mutex<Vec<Action>>>::default(), Instant::now());
        let of_task = Arc::clone(&record);
        let address = links.with(move |executor| {
            let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
            let address = listener.get_ref().local_addr()?;
            let weak = Rc::downgrade(executor);
            let inside = Rc::new(Inside {
                fence: Mutex::new(Fence::new(MOST_TASKS)),
                busy: async_lock::Mutex::new(()),
                record: of_task,
                began,
                manner,
            });
            let accepting = async move {
                loop {
                    let Ok((io, _)) = listener.accept().await else {
                        Timer::after(Duration::from_millis(5)).await;
                        continue;
                    };
                    let Some(executor) = weak.upgrade() else { return };
                    let inside = Rc::clone(&inside);
                    executor.spawn(async move { inside.serve(io).await }).detach();
                }
            };
            executor.spawn(accepting).detach();
            Ok::<_, io::Error>(address)
        })??;
        Ok(Resource { address, record, began })
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All actions so far.
    pub fn record(&self) -> Vec<Action> {
        self.record.lock().map(|r| r.clone()).unwrap_or_default()
    }

    /// The actions from this place in the record on.
    pub fn since(&self, place: usize) -> Vec<Action> {
        self.record.lock().map(|r| r.get(place..).unwrap_or_default().to_vec()).unwrap_or_default()
    }

    /// Forgets all but the last action of each task, which the next check goes on from.
    pub fn forget(&self) {
        if let Ok(mut record) = self.record.lock() {
            let mut last = std::collections::BTreeMap::new();
            for action in record.drain(..).filter(|a| a.admitted) {
                last.insert(action.task.clone(), action);
            }
            record.extend(last.into_values());
        }
    }

    /// Microseconds on the record's clock.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }
}

impl Inside {
    async fn serve(&self, io: Async<TcpStream>) {
        let late = async {
            Timer::after(WHOLE).await;
            None
        };
        let Some((task, holder, token)) = future::or(read(&io), late).await else { return };
        let admitted = {
            let _one = self.busy.lock().await;
            let began = self.began.elapsed().as_micros() as u64;
            let admitted = match self.fence.lock() {
                Ok(mut fence) => fence.admit(&task, token).is_ok() || !self.manner.fenced,
                Err(_) => false,
            };
            if admitted && !self.manner.work.is_zero() {
                Timer::after(self.manner.work).await;
            }
            let ended = self.began.elapsed().as_micros() as u64;
            if let Ok(mut record) = self.record.lock() {
                if record.len() < MOST_ACTIONS {
                    record.push(Action { began, ended, task, holder, token, admitted });
                }
            }
            admitted
        };
        let status = if admitted { "200 OK" } else { "409 Conflict" };
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        let _ = (&io).write_all(answer.as_bytes()).await;
    }
}

/// The task, the holder and the token of one request.
async fn read(mut io: &Async<TcpStream>) -> Option<(String, String, u64)> {
    let (mut head, mut buffer) = (Vec::new(), [0; 1024]);
    loop {
        let n = io.read(&mut buffer).await.ok().filter(|&n| n > 0 && head.len() < MOST_HEAD)?;
        head.extend_from_slice(&buffer[..n]);
        let mut headers = [httparse::EMPTY_HEADER; 16];
        let mut request = httparse::Request::new(&mut headers);
        if request.parse(&head).ok()?.is_partial() {
            continue;
        }
        let value = |name: &str| {
            let header = request.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(header.value).ok().map(str::to_owned)
        };
        return Some((
            value("x-lease-task")?,
            value("x-lease-holder")?,
            value("x-lease-token")?.parse().ok()?,
        ));
    }
}
