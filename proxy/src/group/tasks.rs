//! Fleet-wide tasks: an HTTP call that the holder of a task's lease makes at an interval, with its fencing token.
//! Requests of clients never wait for this module.

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
/// Timeout of a call. A call also ends when the lease does.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The HTTP status by which the called service rejects a fencing token older than one that it has seen.
const STALE_TOKEN_STATUS: u16 = 409;

/// The fleet-wide tasks of one process.
pub struct Tasks {
    config: TasksConfig,
    holder: String,
    session: RefCell<Session>,
    clock: MonotonicClock,
    /// Wakes the connection to the group after a change of the session.
    session_changed: (Sender<()>, Receiver<()>),
    /// Notified when the group confirms the configuration versions.
    versions_changed: (Sender<()>, Receiver<()>),
    /// Whether the group was last logged as reached; `None` before the first log line.
    group_reached: Cell<Option<bool>>,
    /// The token last logged for each task, so that each change is logged once.
    logged_tokens: RefCell<Vec<Option<u64>>>,
}

impl Tasks {
    /// Starts to request the leases of the configured tasks. The holder's name is unique to this start of the process, so
    /// that the two processes of a hot restart, or one before and after a crash, are different holders.
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
        log::info!(tasks = count, holder; "leases: requesting {count} tasks as holder {holder}");
        executor.spawn(Rc::clone(&tasks).keep_connected()).detach();
        for index in 0..count {
            executor.spawn(Rc::clone(&tasks).run_task(index)).detach();
        }
        tasks
    }

    /// The rules that apply while no configuration version is confirmed; `None` if versions are not in use.
    pub fn guard(&self) -> Option<&BlockRules> {
        self.config.guard.as_ref()
    }

    /// Waits for the next confirmation of the configuration versions. Returns which version applies from when on, as the
    /// time from now; `None` stands for the guard rules.
    pub async fn planned(&self) -> Vec<(Duration, Option<Version>)> {
        // Cannot fail: `self` owns the sender.
        let _ = self.versions_changed.1.recv().await;
        let now = self.clock.now();
        let plan = self.session.borrow_mut().versions().map(|v| v.plan(now)).unwrap_or_default();
        plan.into_iter().map(|(at, v)| (Duration::from_millis(at.saturating_sub(now)), v)).collect()
    }

    /// Releases all leases, so that other proxies need not wait for their expiry. No further calls are made.
    pub fn leave(&self) {
        self.session.borrow_mut().release_all(self.clock.now());
        let _ = self.session_changed.0.try_send(());
    }

    /// Keeps a connection to the group, moving to another member when the session asks for it.
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
                    log::warn!(door:% = endpoint; "leases: cannot reach group member {endpoint}, requests are served without leases: {error}");
                }
            }
            self.log_lease_changes();
        }
    }

    /// Exchanges requests and answers with one member. Returns when the session moves to another member; the error says
    /// why the connection cannot be used any longer.
    async fn run_session(&self, io: &Async<TcpStream>) -> io::Result<()> {
        let (mut frames, mut writer) = (Frames::new(io, MAX_CLIENT_FRAME_BYTES), io);
        loop {
            let now = self.clock.now();
            if self.session.borrow().stalled(now) {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "the member did not answer"));
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
                    // Logged at the first answer: a process that accepts connections may still not answer.
                    if self.group_reached.replace(Some(true)) != Some(true) {
                        let endpoint = self.session.borrow().current_member().0;
                        log::info!(door:% = endpoint; "leases: connected to group member {endpoint}");
                    }
                    if matches!(answer, Answer::Confirmed(_)) {
                        // If the channel is full, the receiver has yet to wake and will read this confirmation too.
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

    /// Logs each lease that was acquired or lost since the last call.
    fn log_lease_changes(&self) {
        let (session, now) = (self.session.borrow(), self.clock.now());
        for (task, logged) in session.tasks().iter().zip(self.logged_tokens.borrow_mut().iter_mut()) {
            let (held, name) = (task.token(now), task.task());
            match (held, std::mem::replace(logged, held)) {
                (Some(token), before) if before != Some(token) => {
                    log::info!(event = "holds", task = name, token; "leases: acquired {name}, token {token}");
                }
                (None, Some(token)) => {
                    log::info!(event = "ends", task = name, token; "leases: no longer holds {name}, token {token}");
                }
                _ => {}
            }
        }
    }

    /// Makes the call of a task at its interval, whenever the lease is held.
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
                // A series of failures is logged once.
                Some(ended) if !std::mem::replace(&mut failing, true) => {
                    let (name, at) = (&task.name, task.call);
                    log::warn!(task = name, at:%; "leases: call of task {name} to {at} failed: {ended:?}");
                }
                Some(_) => {}
            }
        }
    }

    /// Makes one call if the lease is held; `None` if it is not. The lease is checked again right before sending, since
    /// connecting takes time.
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
            log::warn!(event = "fenced", task = name, token; "leases: token {token} of task {name} was rejected as stale");
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

/// Sends an HTTP request and returns the status of the response.
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
