//! Clients that record each request and how it ended. They send several commands at once, in pieces, with little time left,
//! leave, rest, and send once more what was closed unread.

use super::random::Random;
use super::recorded_connection::{Closed, Command, Ended, RecordedConnection};
use super::recorded_sender::Pieces;
use super::recording_servers::Kind;
use super::records::{Class, SharedRecords};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// What clients do, and how likely it is for each of their pipelines unless said otherwise.
#[derive(Clone, Debug)]
pub struct Habits {
    /// The classes of requests: reads, keyed writes, writes that run at most once.
    pub classes: [Class; 3],
    /// The numbers of commands that are sent at once.
    pub pipelines: Vec<usize>,
    /// The commands come in pieces.
    pub pieces: f64,
    /// The longest pause between two pieces in milliseconds.
    pub longest_piece_pause_ms: f64,
    /// A command tells less time than its class has.
    pub little_time: f64,
    /// The client leaves before it has all answers.
    pub leave: f64,
    /// Having left, it sends the same ids once more.
    pub repeat: f64,
    /// It rests for up to [`Habits::max_rest_ms`] before it goes on.
    pub rest: f64,
    pub max_rest_ms: f64,
    /// A read asks for a large value.
    pub large_reads: f64,
    /// A write has a large value.
    pub large_writes: f64,
    /// A read asks for a key that makes servers reject or fail.
    pub failures: f64,
    /// Bytes each second that a client takes of a large value, one of these for each client; 0: as fast as they come.
    pub paces: Vec<usize>,
}

/// The shortest time that a command tells.
const MIN_TIME: Duration = Duration::from_millis(15);
/// How long a client that leaves has waited at most.
const MAX_STAY_MS: f64 = 150.0;
const MAX_PAUSE_MS: f64 = 20.0;
const CONNECT_PAUSE: Duration = Duration::from_millis(5);
/// The first kinds of [`Kind::ALL`], which servers neither reject nor fail.
const KINDS_WITHOUT_FAILURE: usize = 3;
const LARGE_VALUES: [usize; 3] = [70_000, 300_000, 1_000_000];
const LARGE_WRITES: [usize; 3] = [100_000, 400_000, 2 * 1024 * 1024];

/// A client that uses one connection after another.
pub struct RecordedClient<'a> {
    name: String,
    habits: &'a Habits,
    pace: usize,
    random: Random,
    records: &'a SharedRecords,
    commands: usize,
    closed: Vec<Closed>,
    /// The proxy to which the commands of a client that left are sent once more.
    left_proxy: Option<usize>,
}

impl<'a> RecordedClient<'a> {
    pub fn new(name: String, habits: &'a Habits, mut random: Random, records: &'a SharedRecords) -> Self {
        let pace = habits.paces.get(random.below(habits.paces.len())).copied().unwrap_or_default();
        RecordedClient {
            name,
            habits,
            pace,
            random,
            records,
            commands: 0,
            closed: Vec::new(),
            left_proxy: None,
        }
    }

    /// Sends requests to these proxies until `done`.
    pub fn run(mut self, proxies: &[SocketAddr], done: &AtomicBool) {
        let mut to_repeat = Vec::new();
        while !done.load(Ordering::Relaxed) {
            // Proxies do not know the ids of each other.
            let drawn = self.random.below(proxies.len());
            let proxy = self.left_proxy.take().unwrap_or(drawn);
            let Some(connection) = RecordedConnection::open(proxy, proxies[proxy]) else {
                std::thread::sleep(CONNECT_PAUSE);
                continue;
            };
            to_repeat = self.use_connection(connection, std::mem::take(&mut to_repeat), done);
            let (due, waiting): (Vec<Closed>, Vec<Closed>) =
                std::mem::take(&mut self.closed).into_iter().partition(Closed::is_due);
            self.closed = waiting;
            to_repeat.extend(due.into_iter().flat_map(|closed| closed.settle(self.records)));
        }
        for closed in self.closed {
            closed.settle(self.records);
        }
    }

    /// Uses a connection until it ends or `done`. Returns the commands to send once more on another one.
    fn use_connection(
        &mut self,
        mut connection: RecordedConnection,
        mut to_repeat: Vec<Command>,
        done: &AtomicBool,
    ) -> Vec<Command> {
        loop {
            let is_repeat = !to_repeat.is_empty();
            let commands = match is_repeat {
                true => std::mem::take(&mut to_repeat),
                false => self.draw_pipeline(),
            };
            let longest = commands.iter().map(|command| command.encode().len()).max().unwrap_or_default();
            let in_pieces = self.random.chance(self.habits.pieces);
            let piece_bytes = 1 + self.random.below(longest.max(2));
            let mut random = self.random.fork();
            let pieces = in_pieces.then_some(Pieces {
                bytes: piece_bytes.max(longest / 20),
                longest_pause_ms: self.habits.longest_piece_pause_ms,
                random: &mut random,
            });
            let leaves = !is_repeat && self.random.chance(self.habits.leave);
            let mut ended = connection.send_and_read(&commands, pieces, self.pace);
            if ended.is_ok() && leaves {
                return self.leave(connection);
            }
            if ended.is_ok() {
                ended = connection.read_answers(self.pace);
            }
            if let Err(ended) = ended {
                if ended == Ended::Silent {
                    connection.finish(self.records);
                    return Vec::new();
                }
                self.closed.push(connection.closed(ended));
                return Vec::new();
            }
            if self.random.chance(self.habits.rest) {
                self.random.sleep(self.habits.max_rest_ms);
            } else {
                self.random.sleep(MAX_PAUSE_MS);
            }
            if connection.is_closed_at_rest(self.records) || done.load(Ordering::Relaxed) {
                connection.finish(self.records);
                return Vec::new();
            }
        }
    }

    fn leave(&mut self, connection: RecordedConnection) -> Vec<Command> {
        self.random.sleep(MAX_STAY_MS);
        let proxy = connection.sender.proxy;
        let commands = connection.leave(self.random.chance(0.5), self.records);
        if self.random.chance(self.habits.repeat) {
            self.left_proxy = Some(proxy);
            return commands;
        }
        Vec::new()
    }

    fn draw_pipeline(&mut self) -> Vec<Command> {
        let pipelines = &self.habits.pipelines;
        let length = pipelines.get(self.random.below(pipelines.len())).copied().unwrap_or(1);
        (0..length).map(|_| self.draw_command()).collect()
    }

    fn draw_command(&mut self) -> Command {
        self.commands += 1;
        let (habits, random) = (self.habits, &mut self.random);
        let id = format!("{}n{}", self.name, self.commands);
        let class = habits.classes[[0, 0, 0, 1, 2][random.below(5)]];
        let deadline = match random.chance(habits.little_time) {
            true => {
                let most = class.deadline.saturating_sub(MIN_TIME).as_millis() as usize;
                MIN_TIME + Duration::from_millis(random.below(most) as u64)
            }
            false => class.deadline,
        };
        let is_write = class != habits.classes[0] && random.chance(0.7);
        let value = match is_write {
            true if random.chance(habits.large_writes) => Some(vec![b'v'; LARGE_WRITES[random.below(3)]]),
            true => Some(b"v".to_vec()),
            false => None,
        };
        let key = match is_write {
            false if random.chance(habits.large_reads) => {
                format!("large-{}-{id}", LARGE_VALUES[random.below(3)])
            }
            _ => {
                let fails = random.chance(habits.failures) && value.as_ref().is_none_or(|v| v.len() == 1);
                let kinds = if fails { Kind::ALL.len() } else { KINDS_WITHOUT_FAILURE };
                format!("{}{id}", Kind::ALL[random.below(kinds)].prefix())
            }
        };
        Command { id, key, class, deadline, value }
    }
}
