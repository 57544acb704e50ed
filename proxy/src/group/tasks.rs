//! What a proxy does for the whole fleet while it holds the lease for it: one call, again and
//! again, with its token. Nothing that serves clients waits on any of this.

use super::frames::Frames;
use super::{random_id, with_timeout, MonotonicClock};
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

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A call that takes longer is given up, and so is one that its holder's time runs out on.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The status with which the side that is acted on refuses an old token.
const STALE_TOKEN_STATUS: u16 = 409;

/// The fleet-wide tasks of one process.
pub struct Tasks {
    config: TasksConfig,
    holder: String,
    session: RefCell<Session>,
    clock: MonotonicClock,
    /// Something has changed that the connection to the group should see to.
    session_changed: (Sender<()>, Receiver<()>),
    /// The group has said something about versions.
    versions_changed: (Sender<()>, Receiver<()>),
    /// Whether the group was last logged as reached; `None` before the first log line.
    group_reached: Cell<Option<bool>>,
    /// The token last logged for each task, so that each change is logged once.
    logged_tokens: RefCell<Vec<Option<u64>>>,
}

impl Tasks {
    /// Begins to want the file's tasks. The holder is this start of the process alone: an upgrade's
    /// two processes, or one before and after a crash, are two holders.
    pub fn start(config: TasksConfig, name: &str, executor: &LocalExecutor<'static>) -> Rc<Tasks> {
        let number = random_id();
        let sanitized: String =
            name.chars().filter(|c| c.is_ascii_alphanumeric() || "._-".contains(*c)).take(64).collect();
        let holder = format!("{sanitized}:{number:016x}");
        let requested: Vec<_> = config.tasks.iter().map(|t| (t.name.clone(), t.ttl_ms)).collect();
        let mut session = Session::new(config.members.clone(), &holder, &requested, config.drift, number);
        if config.guard.is_some() {
            session = session.with_versions(config.drift);
        }
        let tasks = Rc::new(Tasks {
            group_reached: Cell::new(None),
            logged_tokens: RefCell::new(vec![None; requested.len()]),
            config,
            holder,
            session: RefCell::new(session),
            clock: MonotonicClock::start(),
            session_changed: async_channel::bounded(1),
            versions_changed: async_channel::bounded(1),
        });
        let (count, holder) = (requested.len(), &tasks.holder);
        log::info!(tasks = count, holder; "leases: {count} tasks of the fleet wanted, as {holder}");
        executor.spawn(Rc::clone(&tasks).keep_connected()).detach();
        for index in 0..count {
            executor.spawn(Rc::clone(&tasks).run_task(index)).detach();
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
        let _ = self.versions_changed.1.recv().await;
        let now = self.clock.now();
        let plan = self.session.borrow_mut().versions().map(|v| v.plan(now)).unwrap_or_default();
        plan.into_iter().map(|(at, v)| (Duration::from_millis(at.saturating_sub(now)), v)).collect()
    }

    /// Gives the grants back, so that others need not wait for their end. Acting ends at once.
    pub fn leave(&self) {
        self.session.borrow_mut().release_all(self.clock.now());
        let _ = self.session_changed.0.try_send(());
    }

    /// Keeps the connection to the group.
    async fn keep_connected(self: Rc<Self>) {
        loop {
            let (endpoint, at) = self.session.borrow().current_member();
            Timer::at(self.clock.instant(at)).await;
            let ended = match with_timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(endpoint)).await {
                Ok(io) => {
                    let _ = io.get_ref().set_nodelay(true);
                    self.run_session(&io).await
                }
                Err(error) => Err(error),
            };
            if let Err(error) = ended {
                self.session.borrow_mut().connection_failed(self.clock.now());
                if self.group_reached.replace(Some(false)) != Some(false) {
                    log::warn!(endpoint:%; "leases: {endpoint} not reached, serving goes on without: {error}");
                }
            }
            self.log_lease_changes();
        }
    }

    /// Asks one member until another is to be asked, or this one is of no use.
    async fn run_session(&self, io: &Async<TcpStream>) -> io::Result<()> {
        let (mut frames, mut writer) = (Frames::new(io, MAX_CLIENT_FRAME_BYTES), io);
        loop {
            let now = self.clock.now();
            if self.session.borrow().stalled(now) {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "no answer"));
            }
            let mut bytes = Vec::new();
            for (req, request) in self.session.borrow_mut().due(now) {
                encode(&Frame::Ask { req, request }, &mut bytes);
            }
            self.log_lease_changes();
            if !bytes.is_empty() {
                with_timeout(CONNECT_TIMEOUT, writer.write_all(&bytes)).await?;
            }
            let due = self.session.borrow().next_due();
            let wake = async {
                let timer = async { _ = Timer::at(self.clock.instant(due)).await };
                let changed = async { _ = self.session_changed.1.recv().await };
                future::or(timer, changed).await;
                Ok(None)
            };
            match future::or(async { frames.next().await.map(Some) }, wake).await? {
                None => {}
                Some(Some((Frame::Answer { req, answer }, _))) => {
                    // A connection that comes up may be that of a process that does nothing.
                    if self.group_reached.replace(Some(true)) != Some(true) {
                        let endpoint = self.session.borrow().current_member().0;
                        log::info!(endpoint:%; "leases: the group is reached at {endpoint}");
                    }
                    if matches!(answer, Answer::Confirmed(_)) {
                        // Full means that the last word has not been taken up yet, and this one comes with it.
                        let _ = self.versions_changed.0.try_send(());
                    }
                    let moves = self.session.borrow_mut().answered(req, &answer, self.clock.now());
                    self.log_lease_changes();
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
    fn log_lease_changes(&self) {
        let (session, now) = (self.session.borrow(), self.clock.now());
        for (task, logged_tokens) in session.tasks().iter().zip(self.logged_tokens.borrow_mut().iter_mut()) {
            let (held, name) = (task.token(now), task.task());
            match (held, std::mem::replace(logged_tokens, held)) {
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
    async fn run_task(self: Rc<Self>, index: usize) {
        let Some(task) = self.config.tasks.get(index) else { return };
        let every = Duration::from_millis(task.every_ms);
        let mut failing = false;
        loop {
            Timer::after(every).await;
            match self.call(index, task).await {
                None => {}
                Some(Ok(STALE_TOKEN_STATUS)) => {}
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
    async fn call(&self, index: usize, task: &Task) -> Option<io::Result<u16>> {
        let held = || {
            let session = self.session.borrow();
            let client = session.tasks().get(index)?;
            Some((client.token(self.clock.now())?, client.until()?))
        };
        let (_, until) = held()?;
        let limit =
            |until| CALL_TIMEOUT.min(self.clock.instant(until).saturating_duration_since(Instant::now()));
        let io = match with_timeout(limit(until), Async::<TcpStream>::connect(task.call)).await {
            Ok(io) => io,
            Err(error) => return Some(Err(error)),
        };
        let _ = io.get_ref().set_nodelay(true);
        let (token, until) = held()?;
        let request = request(task, &self.holder, token);
        let answered = with_timeout(limit(until), exchange(&io, &request)).await;
        if let Ok(STALE_TOKEN_STATUS) = answered {
            let name = &task.name;
            log::warn!(event = "fenced", task = name, token; "leases: {name}: token {token} is refused as old");
            self.session.borrow_mut().fenced(index, token, self.clock.now());
            let _ = self.session_changed.0.try_send(());
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
