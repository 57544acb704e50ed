//! What a proxy does for the whole fleet while it holds the lease for it: one call, again and
//! again, with its token. Nothing that serves clients waits on any of this.

use super::frames::Frames;
use super::{fresh_number, within, Ticks};
use crate::wire::http::{Decoder, Part};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use notchdoor_coordination::config::{Task, TasksConfig};
use notchdoor_coordination::protocol::Answer;
use notchdoor_coordination::session::Session;
use notchdoor_coordination::versioned_config::{BlockRules, Version};
use notchdoor_coordination::wire::{encode, Frame, MAX_CLIENT_FRAME_BYTES};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

const CONNECT: Duration = Duration::from_secs(1);
/// A call that takes longer is given up, and so is one that its holder's time runs out on.
const CALL: Duration = Duration::from_secs(2);
/// The status with which the side that is acted on refuses an old token.
const FENCED: u16 = 409;

/// The fleet-wide tasks of one process.
pub struct Tasks {
    config: TasksConfig,
    holder: String,
    session: RefCell<Session>,
    ticks: Ticks,
    /// Something has changed that the connection to the group should see to.
    poke: (Sender<()>, Receiver<()>),
    /// The group has said something about versions.
    planned: (Sender<()>, Receiver<()>),
    /// Whether the group was last told to be reached, once it was told at all.
    reached: Cell<Option<bool>>,
    /// What each task was last told to be, for one log line a change.
    told: RefCell<Vec<Option<u64>>>,
}

impl Tasks {
    /// Begins to want the file's tasks. The holder is this start of the process alone: an upgrade's
    /// two processes, or one before and after a crash, are two holders.
    pub fn start(config: TasksConfig, name: &str, executor: &LocalExecutor<'static>) -> Rc<Tasks> {
        let number = fresh_number();
        let plain: String =
            name.chars().filter(|c| c.is_ascii_alphanumeric() || "._-".contains(*c)).take(64).collect();
        let holder = format!("{plain}:{number:016x}");
        let wanted: Vec<_> = config.tasks.iter().map(|t| (t.name.clone(), t.ttl_ms)).collect();
        let mut session = Session::new(config.members.clone(), &holder, &wanted, config.drift, number);
        if config.guard.is_some() {
            session = session.with_versions(config.drift);
        }
        let tasks = Rc::new(Tasks {
            reached: Cell::new(None),
            told: RefCell::new(vec![None; wanted.len()]),
            config,
            holder,
            session: RefCell::new(session),
            ticks: Ticks::start(),
            poke: async_channel::bounded(1),
            planned: async_channel::bounded(1),
        });
        let (count, holder) = (wanted.len(), &tasks.holder);
        log::info!(tasks = count, holder; "leases: {count} tasks of the fleet wanted, as {holder}");
        executor.spawn(Rc::clone(&tasks).keep()).detach();
        for place in 0..count {
            executor.spawn(Rc::clone(&tasks).act(place)).detach();
        }
        tasks
    }

    /// What versions may forbid, where this process acts on them.
    pub fn guard(&self) -> Option<&BlockRules> {
        self.config.guard.as_ref()
    }

    /// Waits for the group's next word on versions: what is acted on from when to when, each time as how far
    /// off it is.
    pub async fn planned(&self) -> Vec<(Duration, Option<Version>)> {
        // The sender lives as long as this does.
        let _ = self.planned.1.recv().await;
        let now = self.ticks.now();
        let plan = self.session.borrow_mut().versions().map(|v| v.plan(now)).unwrap_or_default();
        plan.into_iter().map(|(at, v)| (Duration::from_millis(at.saturating_sub(now)), v)).collect()
    }

    /// Gives the grants back, so that others need not wait for their end. Acting ends at once.
    pub fn leave(&self) {
        self.session.borrow_mut().release_all(self.ticks.now());
        let _ = self.poke.0.try_send(());
    }

    /// Keeps the connection to the group.
    async fn keep(self: Rc<Self>) {
        loop {
            let (door, at) = self.session.borrow().current_member();
            Timer::at(self.ticks.instant(at)).await;
            let ended = match within(CONNECT, Async::<TcpStream>::connect(door)).await {
                Ok(io) => {
                    let _ = io.get_ref().set_nodelay(true);
                    self.talk(&io).await
                }
                Err(error) => Err(error),
            };
            if let Err(error) = ended {
                self.session.borrow_mut().connection_failed(self.ticks.now());
                if self.reached.replace(Some(false)) != Some(false) {
                    log::warn!(door:%; "leases: {door} not reached, serving goes on without: {error}");
                }
            }
            self.tell();
        }
    }

    /// Asks one member until another is to be asked, or this one is of no use.
    async fn talk(&self, io: &Async<TcpStream>) -> io::Result<()> {
        let (mut frames, mut writer) = (Frames::new(io, MAX_CLIENT_FRAME_BYTES), io);
        loop {
            let now = self.ticks.now();
            if self.session.borrow().stalled(now) {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "no answer"));
            }
            let mut bytes = Vec::new();
            for (req, request) in self.session.borrow_mut().due(now) {
                encode(&Frame::Ask { req, request }, &mut bytes);
            }
            self.tell();
            if !bytes.is_empty() {
                within(CONNECT, writer.write_all(&bytes)).await?;
            }
            let due = self.session.borrow().next_due();
            let wake = async {
                let timer = async { _ = Timer::at(self.ticks.instant(due)).await };
                let poked = async { _ = self.poke.1.recv().await };
                future::or(timer, poked).await;
                Ok(None)
            };
            match future::or(async { frames.next().await.map(Some) }, wake).await? {
                None => {}
                Some(Some((Frame::Answer { req, answer }, _))) => {
                    // A connection that comes up may be that of a process that does nothing.
                    if self.reached.replace(Some(true)) != Some(true) {
                        let door = self.session.borrow().current_member().0;
                        log::info!(door:%; "leases: the group is reached at {door}");
                    }
                    if matches!(answer, Answer::Confirmed(_)) {
                        // Full means that the last word has not been taken up yet, and this one comes with it.
                        let _ = self.planned.0.try_send(());
                    }
                    let moves = self.session.borrow_mut().answered(req, &answer, self.ticks.now());
                    self.tell();
                    if moves {
                        return Ok(());
                    }
                }
                Some(Some(_)) => return Err(io::ErrorKind::InvalidData.into()),
                Some(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
            }
        }
    }

    /// One log line for each task that is held anew, or no more.
    fn tell(&self) {
        let (session, now) = (self.session.borrow(), self.ticks.now());
        for (task, told) in session.tasks().iter().zip(self.told.borrow_mut().iter_mut()) {
            let (held, name) = (task.token(now), task.task());
            match (held, std::mem::replace(told, held)) {
                (Some(token), before) if before != Some(token) => {
                    log::info!(event = "holds", task = name, token; "leases: holds {name}, token {token}");
                }
                (None, Some(token)) => {
                    log::info!(event = "ends", task = name, token; "leases: holds {name} no more, token {token}");
                }
                _ => {}
            }
        }
    }

    /// Does a task for as long as it is held.
    async fn act(self: Rc<Self>, place: usize) {
        let Some(task) = self.config.tasks.get(place) else { return };
        let every = Duration::from_millis(task.every_ms);
        let mut failing = false;
        loop {
            Timer::after(every).await;
            match self.call(place, task).await {
                None => {}
                Some(Ok(FENCED)) => {}
                Some(Ok(status)) if (200..300).contains(&status) => failing = false,
                // Told once for as long as it lasts.
                Some(ended) if !std::mem::replace(&mut failing, true) => {
                    let (name, at) = (&task.name, task.call);
                    log::warn!(task = name, at:%; "leases: {name} at {at}: {ended:?}");
                }
                Some(_) => {}
            }
        }
    }

    /// One call, if the task is held: the holder's clock is asked last, right before the send.
    async fn call(&self, place: usize, task: &Task) -> Option<io::Result<u16>> {
        let held = || {
            let session = self.session.borrow();
            let client = session.tasks().get(place)?;
            Some((client.token(self.ticks.now())?, client.until()?))
        };
        let (_, until) = held()?;
        let limit = |until| CALL.min(self.ticks.instant(until).saturating_duration_since(Instant::now()));
        let io = match within(limit(until), Async::<TcpStream>::connect(task.call)).await {
            Ok(io) => io,
            Err(error) => return Some(Err(error)),
        };
        let _ = io.get_ref().set_nodelay(true);
        let (token, until) = held()?;
        let request = request(task, &self.holder, token);
        let answered = within(limit(until), exchange(&io, &request)).await;
        if let Ok(FENCED) = answered {
            let name = &task.name;
            log::warn!(event = "fenced", task = name, token; "leases: {name}: token {token} is refused as old");
            self.session.borrow_mut().fenced(place, token, self.ticks.now());
            let _ = self.poke.0.try_send(());
        }
        Some(answered)
    }
}

fn request(task: &Task, holder: &str, token: u64) -> Vec<u8> {
    let Task { name, call, path, .. } = task;
    format!(
        "POST {path} HTTP/1.1\r\nHost: {call}\r\nX-Lease-Task: {name}\r\nX-Lease-Token: {token}\r\n\
         X-Lease-Holder: {holder}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    )
    .into_bytes()
}

/// Sends the request and reads the status of its answer.
async fn exchange(io: &Async<TcpStream>, request: &[u8]) -> io::Result<u16> {
    let (mut stream, mut decoder, mut buffer) = (io, Decoder::default(), [0; 2048]);
    stream.write_all(request).await?;
    loop {
        let n = stream.read(&mut buffer).await?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let parts = decoder.feed(&buffer[..n]).map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        for part in parts {
            if let Part::Head { status, .. } = part {
                return Ok(status);
            }
        }
    }
}
