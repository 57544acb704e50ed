//! The client's side of a connection: commands in, answers out in the order of the commands.

use super::command::{self, BackendCommand, ClientCommand};
use super::resp::{write_bulk, Malformed, Reader, Value};
use super::streamed_value::StreamedValue;
use super::{MAX_STREAMED_VALUE, MAX_VALUE};
use crate::proxy::Answer;
use notchdoor::Micros;
use reply_queue::ReplyQueue;
use std::rc::Rc;

mod reply_queue;

/// What a client wants, by its place in the order of the connection's commands.
#[derive(Debug, PartialEq)]
pub enum SessionEvent {
    /// A request to be answered with [`ClientSession::answer`].
    Command(u64, Box<BackendCommand>),
    /// `PING`, to be answered with [`ClientSession::pong`].
    Ping(u64),
}

/// A large value that is coming in.
struct IncomingValue {
    place: u64,
    streamed: Rc<StreamedValue>,
    /// Bytes of it that have not come.
    left: usize,
}

/// Bytes behind a bulk string.
const END_OF_BULK: usize = 2;
/// Who is refused by a process that ends comes back to another one at once.
const COME_AGAIN: Micros = 1_000;
/// Words of the one command that has a value.
const WRITE_WORDS: usize = 5;

/// One client connection's protocol state.
#[derive(Default)]
pub struct ClientSession {
    reader: Reader,
    /// The large value that is coming in, if one is.
    incoming: Option<IncomingValue>,
    replies: ReplyQueue,
    /// Nothing more is read: what is owed goes out, and then the connection is closed.
    closing: bool,
    /// Nothing is read beyond the command that has begun.
    finishing: bool,
    malformed: bool,
    silent: bool,
    /// Whole commands that have come.
    asked: u64,
}

impl ClientSession {
    /// Takes what has come in.
    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.closing {
            self.reader.feed(bytes);
        }
    }

    /// The next whole command. What is none is answered here: a command in an unknown form with `-ERR`, and
    /// bytes that are no command at all with `-ERR` and the end of this connection.
    pub fn next_event(&mut self) -> Option<SessionEvent> {
        loop {
            if self.closing {
                return None;
            }
            match self.receive_streamed() {
                Ok(true) => {}
                Ok(false) => return None,
                Err(malformed) => {
                    self.abort_incoming(&format!("Protocol error: {}", malformed.0));
                    self.malformed = true;
                    return None;
                }
            }
            let value = match self.reader.next_value() {
                Ok(Some(value)) => {
                    self.asked += 1;
                    value
                }
                Ok(None) => {
                    self.close_if_between();
                    return None;
                }
                Err(malformed) => {
                    if let Some((words, length, at)) = self.reader.large_last(WRITE_WORDS, MAX_STREAMED_VALUE)
                    {
                        // A half command holds no place: so much has to come before one is taken.
                        if self.reader.pending() < at + MAX_VALUE {
                            return None;
                        }
                        self.reader.skip(at);
                        if let Some(event) = self.begin_incoming(words, length) {
                            return Some(event);
                        }
                        continue;
                    }
                    self.end_with(&format!("Protocol error: {}", malformed.0));
                    self.malformed = true;
                    return None;
                }
            };
            let place = self.replies.push();
            match command::parse(value) {
                Ok(ClientCommand::Object(call)) => return Some(SessionEvent::Command(place, call)),
                Ok(ClientCommand::Ping) => return Some(SessionEvent::Ping(place)),
                Err(error) => self.reject(place, &error.to_string()),
            }
        }
    }

    /// Takes up a command whose value passes through. One that is none is told so once all of it has been skipped.
    fn begin_incoming(&mut self, mut words: Vec<Value>, length: usize) -> Option<SessionEvent> {
        self.asked += 1;
        let place = self.replies.push();
        // It is answered behind its last byte.
        self.replies.hold(place);
        let streamed = Rc::new(StreamedValue::new(length));
        self.incoming = Some(IncomingValue { place, streamed: Rc::clone(&streamed), left: length });
        words.push(Value::Bulk(Some(Vec::new())));
        match command::parse(Value::Array(Some(words))) {
            Ok(ClientCommand::Object(mut call)) if call.value.is_some() => {
                (call.value, call.streamed) = (None, Some(streamed));
                Some(SessionEvent::Command(place, call))
            }
            Ok(_) => {
                self.reject(place, "wrong number of arguments");
                None
            }
            Err(error) => {
                self.reject(place, &error.to_string());
                None
            }
        }
    }

    /// Passes on what has come of a large value. False while there is more to come of it.
    fn receive_streamed(&mut self) -> Result<bool, Malformed> {
        let Some(incoming) = &mut self.incoming else { return Ok(true) };
        let data = self.reader.take(incoming.left.min(incoming.streamed.room()));
        incoming.streamed.push(&data);
        incoming.left -= data.len();
        if incoming.left > 0 || self.reader.end_of_bulk()?.is_none() {
            return Ok(false);
        }
        incoming.streamed.finish();
        self.incoming = None;
        self.replies.release();
        Ok(true)
    }

    /// The large value that is coming in: whoever passes it on has to make room before more of it is read.
    pub fn incoming(&self) -> Option<Rc<StreamedValue>> {
        self.incoming.as_ref().map(|i| Rc::clone(&i.streamed))
    }

    /// The place of the command whose value is coming in.
    pub fn incoming_place(&self) -> Option<u64> {
        self.incoming.as_ref().map(|i| i.place)
    }

    /// The rest of the value that is coming in will never come: its command is told so, and nothing more is read.
    pub fn abort_incoming(&mut self, text: &str) {
        if let Some(incoming) = self.incoming.take() {
            incoming.streamed.abort();
            self.reject(incoming.place, text);
            self.close();
            self.replies.release();
        }
    }

    /// Answers `PING`.
    pub fn pong(&mut self, place: u64, ready: bool) {
        let line: &[u8] = if ready { b"+PONG\r\n" } else { b"-LOADING not ready\r\n" };
        self.put(place, line.to_vec());
    }

    /// Answers a request that is not taken.
    pub fn reject(&mut self, place: u64, text: &str) {
        self.put(place, format!("-ERR {text}\r\n").into_bytes());
    }

    /// Gives the final answer to a request.
    pub fn answer(&mut self, place: u64, answer: Answer) {
        let mut bytes = Vec::new();
        match answer {
            Answer::Served(value) => {
                bytes.reserve_exact(value.len() + 16);
                write_bulk(&mut bytes, &value);
            }
            Answer::Rejected { retry_after: 0 } => bytes.extend_from_slice(b"-BUSY\r\n"),
            // Rounded up: to come back a little late is harmless.
            Answer::Rejected { retry_after } => {
                bytes.extend_from_slice(format!("-BUSY {}\r\n", retry_after.div_ceil(1000)).as_bytes());
            }
            Answer::Failed => bytes.extend_from_slice(b"-ERR failed\r\n"),
            Answer::Absent => bytes.extend_from_slice(b"$-1\r\n"),
            Answer::Streamed => return self.replies.end_relay(place),
            Answer::Truncated if self.replies.is_relaying(place) => {
                self.replies.cut_relay();
                return self.close();
            }
            // Nothing of it has gone out yet.
            Answer::Truncated => bytes.extend_from_slice(b"-ERR failed\r\n"),
        }
        self.put(place, bytes);
    }

    fn put(&mut self, place: u64, bytes: Vec<u8>) {
        // What is answered already wants no more of its value.
        if let Some(incoming) = self.incoming.as_ref().filter(|i| i.place == place) {
            incoming.streamed.skip();
        }
        self.replies.put(place, bytes);
    }

    /// The replies.
    pub fn replies(&self) -> &ReplyQueue {
        &self.replies
    }

    /// The replies, to relay one or to write them.
    pub fn replies_mut(&mut self) -> &mut ReplyQueue {
        &mut self.replies
    }

    /// Bytes that were read and are in no command yet.
    pub fn unparsed_bytes(&self) -> usize {
        self.reader.pending()
    }

    /// Ends a connection whose client took too long over a command: with an error if some of it has come.
    pub fn expire(&mut self) {
        if self.incoming.is_some() {
            self.abort_incoming("the command took too long");
        } else if self.unparsed_bytes() > 0 {
            self.end_with("the command took too long");
        }
        self.close();
        self.silent = true;
    }

    /// Ends a connection whose half-read command takes room that others need.
    pub fn evict_half_read(&mut self) {
        self.end_with("too many half-sent commands");
        self.malformed = true;
    }

    /// Tells an error in the place of what would have come next, and reads nothing more.
    fn end_with(&mut self, text: &str) {
        let place = self.replies.push();
        self.reject(place, text);
        self.close();
    }

    /// Whether the client took too long over a command.
    pub fn silent(&self) -> bool {
        self.silent
    }

    /// How many whole commands have come.
    pub fn commands_received(&self) -> u64 {
        self.asked
    }

    /// Takes no command beyond those that have come and the one that has begun: where all have come whole, nothing more
    /// is read, and else no byte beyond the end of that one.
    pub fn finish(&mut self) {
        self.finishing = true;
        self.close_if_between();
    }

    fn close_if_between(&mut self) {
        if self.finishing && self.incoming.is_none() && self.unparsed_bytes() == 0 {
            self.close();
        }
    }

    /// So many bytes may be read at once: what lies behind the last command that is taken stays in the socket, where
    /// nobody has read it.
    pub fn may_read(&self) -> usize {
        if !self.finishing {
            return usize::MAX;
        }
        if let Some(incoming) = &self.incoming {
            return (incoming.left + END_OF_BULK).saturating_sub(self.unparsed_bytes()).max(1);
        }
        match self.reader.large_last(WRITE_WORDS, MAX_STREAMED_VALUE) {
            Some((_, length, at)) => (at + length + END_OF_BULK).saturating_sub(self.unparsed_bytes()).max(1),
            None => self.reader.missing(),
        }
    }

    /// Answers all that was read and reads nothing more: the process has no more time. An answer that is being relayed
    /// goes on. How many commands were refused that way.
    pub fn refuse_rest(&mut self) -> usize {
        while self.next_event().is_some() {}
        let mut places = self.replies.pending_places();
        places.retain(|place| !self.replies.is_relaying(*place));
        for place in &places {
            self.answer(*place, Answer::Rejected { retry_after: COME_AGAIN });
        }
        self.abort_incoming("the proxy is stopping");
        self.close();
        places.len()
    }

    /// Reads nothing more; see [`ClientSession::finished`].
    pub fn close(&mut self) {
        if let Some(incoming) = &self.incoming {
            incoming.streamed.abort();
        }
        self.closing = true;
        self.reader = Reader::default();
    }

    /// Whether all that was taken is answered and nothing more will be read.
    pub fn finished(&self) -> bool {
        self.closing && (!self.replies.busy() || self.replies.was_cut() && self.replies.output().is_empty())
    }

    /// Whether anything may still be read.
    pub fn reads(&self) -> bool {
        !self.closing
    }

    /// Whether the client sent what is no command.
    pub fn malformed(&self) -> bool {
        self.malformed
    }
}

#[cfg(test)]
mod tests;
