//! A client's connection that records each command that it sends and how that ended.

use super::recorded_sender::{Pieces, Sender};
use super::recording_servers::{value_of, Kind};
use super::records::{AnswerForm, AnswerRecord, Class, Effect, RequestEnd, RequestRecord, SharedRecords};
use super::TIMEOUT;
use notchdoor_proxy::wire::resp::write_command;
use std::io::{BufRead, BufReader, ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a client that sends waits for input before it looks whether all is sent.
const INPUT_WAIT: Duration = Duration::from_millis(2);
/// How long after the end of a connection its system has said whether bytes were left unread.
const VERDICT_TIME: Duration = Duration::from_millis(900);
/// Bytes of a large value that are read between two looks at the pace.
const PACED_BYTES: usize = 32 * 1024;

/// A command as a client sends it.
#[derive(Clone)]
pub struct Command {
    pub id: String,
    pub key: String,
    pub class: Class,
    pub deadline: Duration,
    /// The value of a write.
    pub value: Option<Vec<u8>>,
}

impl Command {
    /// A read of a key that is there, or a small write.
    pub fn new(id: &str, class: Class, is_write: bool) -> Command {
        Command {
            id: id.to_owned(),
            key: format!("{}{id}", Kind::Value.prefix()),
            class,
            deadline: class.deadline,
            value: is_write.then(|| b"v".to_vec()),
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let info = format!("c={},t=acme,d={}", self.class.name, self.deadline.as_millis());
        let mut words: Vec<&[u8]> = vec![if self.value.is_some() { b"OBJ.SET" } else { b"OBJ.GET" }];
        words.extend([self.key.as_bytes(), self.id.as_bytes(), info.as_bytes()]);
        words.extend(self.value.as_deref());
        let mut bytes = Vec::new();
        write_command(&mut bytes, &words);
        bytes
    }

    pub(super) fn expected(&self) -> Vec<u8> {
        value_of(&self.key, &self.id)
    }
}

/// A connection of a client, with the records of what it sent.
pub struct RecordedConnection {
    reader: BufReader<ReadHalf>,
    pub(super) sender: Sender,
    /// How many of the commands were answered.
    answered: usize,
    last_answer_at: Option<Instant>,
}

/// The reading side of a connection.
struct ReadHalf(Arc<TcpStream>);

impl Read for ReadHalf {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        (&*self.0).read(buffer)
    }
}

/// A connection that the program closed; whether it had read everything shows a little later.
pub struct Closed {
    connection: RecordedConnection,
    at: Instant,
    /// Its system has reported a reset.
    is_reset: bool,
}

impl RecordedConnection {
    /// Connects to a proxy.
    pub fn open(proxy: usize, address: SocketAddr) -> Option<RecordedConnection> {
        let stream = TcpStream::connect(address).ok()?;
        Some(RecordedConnection::on(stream.into(), proxy))
    }

    /// Uses a socket that is going to be connected.
    pub fn on(socket: socket2::Socket, proxy: usize) -> RecordedConnection {
        let stream = Arc::new(TcpStream::from(socket));
        let _ = stream.set_read_timeout(Some(TIMEOUT));
        let _ = stream.set_write_timeout(Some(TIMEOUT));
        let _ = stream.set_nodelay(true);
        let reader = BufReader::new(ReadHalf(Arc::clone(&stream)));
        RecordedConnection { reader, sender: Sender::new(stream, proxy), answered: 0, last_answer_at: None }
    }

    pub fn stream(&self) -> &TcpStream {
        &self.reader.get_ref().0
    }

    /// Its sending side, for another thread.
    pub fn sender(&self) -> Sender {
        self.sender.clone()
    }

    /// Like [`Sender::send`].
    pub fn send(&self, commands: &[Command], pieces: Option<Pieces<'_>>) -> Option<()> {
        self.sender.send(commands, pieces)
    }

    /// Sends commands and reads the answers that come meanwhile, at a pace.
    pub fn send_and_read(
        &mut self,
        commands: &[Command],
        pieces: Option<Pieces<'_>>,
        pace: usize,
    ) -> Result<(), Ended> {
        let sender = self.sender();
        let first = sender.record_all(commands);
        let (sent, read) = std::thread::scope(|scope| {
            let sending = scope.spawn(move || sender.write_all(first, commands, pieces));
            let mut read = Ok(());
            while read.is_ok() && !sending.is_finished() {
                read = self.read_answer_that_came(pace);
            }
            (sending.join().expect("the sending thread panicked"), read)
        });
        if sent.is_some() {
            return read;
        }
        // The write has taken the error of the socket, so that a read sees the end only.
        match read.and_then(|()| self.read_answers(pace)) {
            Err(Ended::Closed) => Err(Ended::Reset),
            other => other,
        }
    }

    /// Reads the answers to all commands that were sent, at a pace.
    pub fn read_answers(&mut self, pace: usize) -> Result<(), Ended> {
        while self.unanswered() > 0 {
            self.read_answer(pace)?;
        }
        Ok(())
    }

    /// Reads an answer if its first bytes come within a short time.
    fn read_answer_that_came(&mut self, pace: usize) -> Result<(), Ended> {
        if self.unanswered() == 0 {
            return Ok(());
        }
        if self.reader.buffer().is_empty() {
            let _ = self.stream().set_read_timeout(Some(INPUT_WAIT));
            let peeked = self.stream().peek(&mut [0]);
            let _ = self.stream().set_read_timeout(Some(TIMEOUT));
            match peeked {
                Ok(_) => {}
                Err(error) if is_timeout(&error) => return Ok(()),
                Err(_) => return Err(Ended::Reset),
            }
        }
        self.read_answer(pace)
    }

    /// Length of the commands that were answered, in bytes.
    pub fn answered_bytes(&self) -> usize {
        let sent = self.sender.sent.lock().unwrap();
        sent[..self.answered].iter().map(|(command, _)| command.encode().len()).sum()
    }

    /// Number of commands without an answer.
    pub fn unanswered(&self) -> usize {
        self.sender.sent.lock().unwrap().len() - self.answered
    }

    /// Reads the answer to the oldest command without one, at a pace. Returns whether the connection goes on.
    pub fn read_answer(&mut self, pace: usize) -> Result<(), Ended> {
        let (position, turn_at) = (self.answered, self.last_answer_at);
        let command = {
            let mut sent = self.sender.sent.lock().unwrap();
            let (command, record) = &mut sent[position];
            record.turn_at = turn_at;
            command.clone()
        };
        let mut line = Vec::new();
        match self.reader.read_until(b'\n', &mut line) {
            Ok(_) if line.ends_with(b"\n") => {}
            Ok(_) => return Err(Ended::Closed),
            Err(error) if is_timeout(&error) => return Err(Ended::Silent),
            Err(_) => return Err(Ended::Reset),
        }
        let (began_at, mut ended) = (Instant::now(), None);
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        let form = match line.strip_prefix('$').and_then(|text| text.parse::<usize>().ok()) {
            Some(length) => match read_value(&mut self.reader, length, pace) {
                Ok(value) if value == command.expected() => AnswerForm::MadeForIt,
                Ok(value) => AnswerForm::Other(String::from_utf8_lossy(&value[..value.len().min(80)]).into()),
                Err(end) => {
                    ended = Some(end);
                    AnswerForm::Truncated
                }
            },
            None => match line.strip_prefix("-BUSY") {
                Some(rest) => AnswerForm::Busy(rest.trim().parse().ok()),
                None if line.starts_with('-') => AnswerForm::Failed,
                None => AnswerForm::Other(line),
            },
        };
        let completed_at = Instant::now();
        let answer = AnswerRecord { form, began_at, completed_at };
        self.sender.sent.lock().unwrap()[position].1.answer = Some(answer);
        self.last_answer_at = Some(completed_at);
        self.answered += 1;
        ended.map_or(Ok(()), Err)
    }

    /// Whether the program has closed a connection on which nothing is asked. Records bytes that nobody asked for.
    pub fn is_closed_at_rest(&mut self, records: &SharedRecords) -> bool {
        let surplus = String::from_utf8_lossy(self.reader.buffer()).into_owned();
        let stream = self.stream();
        let _ = stream.set_nonblocking(true);
        let mut buffer = [0; 80];
        let peeked = stream.peek(&mut buffer);
        let _ = stream.set_nonblocking(false);
        let (ended, more) = match peeked {
            Ok(0) => (true, String::new()),
            Ok(n) => (false, String::from_utf8_lossy(&buffer[..n]).into_owned()),
            Err(error) => (error.kind() != ErrorKind::WouldBlock, String::new()),
        };
        if !surplus.is_empty() || !more.is_empty() {
            records.lock().surplus.push((self.sender.number, surplus + &more));
        }
        ended
    }

    /// Closes or resets the connection as a client that leaves. Returns the commands without an answer.
    pub fn leave(self, by_reset: bool, records: &SharedRecords) -> Vec<Command> {
        let (answered, sent, left_at) =
            (self.answered, Arc::clone(&self.sender.sent), Arc::clone(&self.sender.left_at));
        let sender = self.sender;
        drop(self.reader);
        sender.leave(by_reset);
        let left_at = left_at.lock().unwrap().unwrap_or_else(Instant::now);
        hand_on(&sent, answered, RequestEnd::ClientLeft(left_at), records)
    }

    /// Hands the records on while the connection is open.
    pub fn finish(self, records: &SharedRecords) {
        hand_on(&self.sender.sent, self.answered, RequestEnd::Open, records);
    }

    pub fn closed(self, ended: Ended) -> Closed {
        Closed { connection: self, at: Instant::now(), is_reset: ended == Ended::Reset }
    }

    /// Lets a client go that has left by [`Sender::leave`], and hands the records on.
    pub fn let_go(self, records: &SharedRecords) {
        let (sent, left_at) = (Arc::clone(&self.sender.sent), Arc::clone(&self.sender.left_at));
        let answered = self.answered;
        drop(self);
        loop {
            let left_at = *left_at.lock().unwrap();
            if let Some(left_at) = left_at {
                hand_on(&sent, answered, RequestEnd::ClientLeft(left_at), records);
                return;
            }
            std::thread::yield_now();
        }
    }

    /// Waits until it shows whether the program, which has closed this connection, had read everything, and hands the
    /// records on. Returns the commands to send once more.
    pub fn settle(self, ended: Ended, records: &SharedRecords) -> Vec<Command> {
        if ended == Ended::Silent {
            self.finish(records);
            return Vec::new();
        }
        self.closed(ended).settle(records)
    }
}

/// Hands the records of a connection on. Those without an answer have this end. Returns their commands.
fn hand_on(
    sent: &Mutex<Vec<(Command, RequestRecord)>>,
    answered: usize,
    end: RequestEnd,
    records: &SharedRecords,
) -> Vec<Command> {
    let mut sent = std::mem::take(&mut *sent.lock().unwrap());
    sent[answered..].iter_mut().for_each(|(_, record)| record.end = end);
    records.requests(sent.iter().map(|(_, record)| record.clone()));
    sent.into_iter()
        .skip(answered)
        .filter(|(_, record)| record.written_at.is_some())
        .map(|(c, _)| c)
        .collect()
}

impl Closed {
    pub fn is_due(&self) -> bool {
        self.at.elapsed() >= VERDICT_TIME
    }

    /// Hands the records on. Returns the commands to send once more: those that were left unread. Of several commands, whole
    /// or in part, some may have been read: of those, only the ones that may run again.
    pub fn settle(mut self, records: &SharedRecords) -> Vec<Command> {
        if self.connection.unanswered() > 0 && !self.is_reset {
            std::thread::sleep((self.at + VERDICT_TIME).saturating_duration_since(Instant::now()));
            self.is_reset = !matches!(self.connection.stream().take_error(), Ok(None));
        }
        let end = match self.is_reset {
            true => RequestEnd::ClosedUnread(self.at),
            false => RequestEnd::ClosedRead(self.at),
        };
        let is_only = self.connection.unanswered() == 1;
        let mut commands = hand_on(&self.connection.sender.sent, self.connection.answered, end, records);
        commands.retain(|command| self.is_reset && (is_only || command.class.effect == Effect::Idempotent));
        commands
    }
}

/// Why no answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The program closed the connection.
    Closed,
    /// The connection was reset.
    Reset,
    /// Nothing came for longer than any deadline.
    Silent,
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Reads a value and the end of its line.
fn read_value(reader: &mut impl Read, length: usize, pace: usize) -> Result<Vec<u8>, Ended> {
    let (began_at, mut value) = (Instant::now(), vec![0; length + 2]);
    for (n, piece) in value.chunks_mut(PACED_BYTES).enumerate() {
        reader.read_exact(piece).map_err(|error| match error.kind() {
            ErrorKind::UnexpectedEof => Ended::Closed,
            _ if is_timeout(&error) => Ended::Silent,
            _ => Ended::Reset,
        })?;
        if pace > 0 {
            let due = Duration::from_secs_f64((n * PACED_BYTES) as f64 / pace as f64);
            std::thread::sleep(due.saturating_sub(began_at.elapsed()));
        }
    }
    value.truncate(length);
    Ok(value)
}
