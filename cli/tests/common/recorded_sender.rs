//! The sending side of a client's connection, which records when each command was written.

use super::random::Random;
use super::recorded_connection::Command;
use super::records::{RequestEnd, RequestRecord};
use super::TIMEOUT;
use notchdoor_proxy::wire::MAX_VALUE;
use socket2::SockRef;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How commands are cut into pieces with pauses between them.
pub struct Pieces<'a> {
    /// The most bytes of a piece.
    pub bytes: usize,
    /// The longest pause in milliseconds.
    pub longest_pause_ms: f64,
    pub random: &'a mut Random,
}

static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

/// The sending side of a connection, for any thread.
#[derive(Clone)]
pub struct Sender {
    pub(super) stream: Arc<TcpStream>,
    /// What was sent, the oldest first.
    pub(super) sent: Arc<Mutex<Vec<(Command, RequestRecord)>>>,
    pub(super) number: u64,
    pub(super) proxy: usize,
    /// The rest of a command of which half was sent. Locked by the thread that writes.
    rest: Arc<Mutex<Vec<u8>>>,
    /// When the client had left.
    pub(super) left_at: Arc<Mutex<Option<Instant>>>,
}

impl Sender {
    pub(super) fn new(stream: Arc<TcpStream>, proxy: usize) -> Sender {
        let number = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed);
        Sender { stream, sent: Arc::default(), number, proxy, rest: Arc::default(), left_at: Arc::default() }
    }

    /// Sends commands, cut into pieces if asked. `None` if the connection ended.
    pub fn send(&self, commands: &[Command], pieces: Option<Pieces<'_>>) -> Option<()> {
        let mut rest = self.rest.lock().unwrap();
        self.write_rest(&mut rest);
        let first = self.record_all(commands);
        self.write_all(first, commands, pieces)
    }

    /// Writes commands whose records begin at `first`.
    pub(super) fn write_all(
        &self,
        first: usize,
        commands: &[Command],
        pieces: Option<Pieces<'_>>,
    ) -> Option<()> {
        let (mut bytes, mut ends) = (Vec::new(), Vec::new());
        for command in commands {
            bytes.extend(command.encode());
            ends.push(bytes.len());
        }
        let (piece_bytes, mut pauses) = match pieces {
            Some(pieces) => (pieces.bytes.max(1), Some((pieces.random, pieces.longest_pause_ms))),
            None => (bytes.len().max(1), None),
        };
        let mut written = 0;
        for piece in bytes.chunks(piece_bytes) {
            (&*self.stream).write_all(piece).ok()?;
            written += piece.len();
            self.record_written(first, &ends, written);
            if let Some((random, longest_ms)) = pauses.as_mut().filter(|_| written < bytes.len()) {
                random.sleep(*longest_ms);
            }
        }
        Some(())
    }

    /// Adds records of commands that are about to be written. Returns the place of the first.
    pub(super) fn record_all(&self, commands: &[Command]) -> usize {
        let mut sent = self.sent.lock().unwrap();
        let first = sent.len();
        for command in commands {
            let record = self.record(command, sent.len());
            sent.push((command.clone(), record));
        }
        first
    }

    /// Records which commands are written now, of those that begin at `first` and end at these places of their bytes.
    fn record_written(&self, first: usize, ends: &[usize], written: usize) {
        let (now, mut sent) = (Instant::now(), self.sent.lock().unwrap());
        for (end, (_, record)) in ends.iter().zip(&mut sent[first..]) {
            if *end <= written && record.written_at.is_none() {
                record.written_at = Some(now);
            }
        }
    }

    /// Sends the first half of a command. Its rest is sent by [`Sender::send_rest`], or before the next command.
    pub fn send_half(&self, command: &Command) {
        let mut rest = self.rest.lock().unwrap();
        self.write_rest(&mut rest);
        self.record_all(std::slice::from_ref(command));
        let mut half = command.encode();
        *rest = half.split_off(half.len() / 2);
        let _ = (&*self.stream).write_all(&half);
    }

    /// Whether half of a command was sent, and not its rest.
    pub fn has_rest(&self) -> bool {
        !self.rest.lock().unwrap().is_empty()
    }

    /// Sends the rest of a command of which half was sent.
    pub fn send_rest(&self) {
        self.write_rest(&mut self.rest.lock().unwrap());
    }

    fn write_rest(&self, rest: &mut Vec<u8>) {
        let rest = std::mem::take(rest);
        if rest.is_empty() || (&*self.stream).write_all(&rest).is_err() {
            return;
        }
        if let Some((_, record)) = self.sent.lock().unwrap().last_mut() {
            record.written_at = Some(Instant::now());
        }
    }

    /// Has the client leave. Returns once its reader has let go of the connection, which is then closed or reset.
    pub fn leave(self, by_reset: bool) {
        if by_reset {
            let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
        }
        let _ = self.stream.shutdown(Shutdown::Read);
        let give_up = Instant::now() + TIMEOUT;
        while Arc::strong_count(&self.stream) > 1 && Instant::now() < give_up {
            std::thread::yield_now();
        }
        let left_at = Arc::clone(&self.left_at);
        drop(self);
        *left_at.lock().unwrap() = Some(Instant::now());
    }

    fn record(&self, command: &Command, position: usize) -> RequestRecord {
        RequestRecord {
            id: command.id.clone(),
            class: command.class,
            deadline: command.deadline,
            proxy: self.proxy,
            connection: self.number,
            position,
            began_at: Instant::now(),
            written_at: None,
            turn_at: None,
            is_large: command.value.is_none() && command.expected().len() > MAX_VALUE,
            answer: None,
            end: RequestEnd::Open,
        }
    }
}
