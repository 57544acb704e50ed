//! Protocol state of one client connection: parses commands and queues the replies in command order.

use super::command::{self, BackendCommand, ClientCommand};
use super::resp::{write_bulk, Malformed, Reader, Value};
use super::streamed_value::StreamedValue;
use super::{MAX_STREAMED_VALUE, MAX_VALUE};
use crate::proxy::Answer;
use notchdoor::Micros;
pub use reply_queue::RelayedPrefix;
use reply_queue::ReplyQueue;
use std::rc::Rc;

mod reply_queue;

/// A command for the caller to handle. Contains the command's sequence number on the connection, starting at 0.
#[derive(Debug, PartialEq)]
pub enum SessionEvent {
    /// A request to be answered with [`ClientSession::answer`].
    Command(u64, Box<BackendCommand>),
    /// `PING`, to be answered with [`ClientSession::pong`].
    Ping(u64),
}

/// A large value that is being received.
struct IncomingValue {
    sequence: u64,
    streamed: Rc<StreamedValue>,
    /// Bytes still to receive.
    remaining: usize,
}

/// Invalid commands that are answered in one call of [`ClientSession::next_event`].
const MAX_INVALID_AT_ONCE: usize = 16;
/// Length of the CR LF after a bulk string.
const BULK_TERMINATOR_BYTES: usize = 2;
/// Retry delay given to clients when this process stops; another process can serve them.
const STOPPING_RETRY_AFTER_US: Micros = 1_000;
/// Number of words of `OBJ.SET`, the only command with a value.
const SET_COMMAND_WORDS: usize = 5;

/// Protocol state of one client connection.
pub struct ClientSession {
    reader: Reader,
    /// Values above this length in bytes are streamed once this many of their bytes were received.
    stream_above: usize,
    /// The large value that is being received, if any.
    incoming: Option<IncomingValue>,
    replies: ReplyQueue,
    /// No more input is read; the connection closes once all replies are written.
    closing: bool,
    /// No input is read beyond the end of the command in progress.
    finishing: bool,
    malformed: bool,
    timed_out: bool,
    /// The last call of [`ClientSession::next_event`] left input that it could have parsed.
    has_more_input: bool,
    /// Number of complete commands received.
    commands_received: u64,
    /// The beginning of the command that follows the last one that was answered, once the session was closed for the end
    /// of the process.
    late_reader: Option<Reader>,
}

impl Default for ClientSession {
    fn default() -> Self {
        ClientSession {
            reader: Reader::default(),
            stream_above: MAX_VALUE,
            incoming: None,
            replies: ReplyQueue::default(),
            closing: false,
            finishing: false,
            malformed: false,
            timed_out: false,
            has_more_input: false,
            commands_received: 0,
            late_reader: None,
        }
    }
}

impl ClientSession {
    /// Sets the length in bytes, at most [`MAX_VALUE`], above which values are streamed instead of buffered.
    pub fn stream_values_above(&mut self, length: usize) {
        self.stream_above = length.min(MAX_VALUE);
    }

    /// Feeds received bytes. Ignored once the session is closing. Bytes of a large value are passed on at once.
    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.closing {
            self.reader.feed(bytes);
            // What is malformed is found again, and answered, in the next event.
            let _ = self.receive_streamed();
        }
    }

    /// Returns the next complete command. Invalid commands are answered with `-ERR` here; after bytes that are not
    /// RESP, the session closes as well. Returns `None` also after some invalid commands, so that a client that sends many
    /// does not hold up others; see [`ClientSession::has_more_input`].
    pub fn next_event(&mut self) -> Option<SessionEvent> {
        self.has_more_input = false;
        for _ in 0..MAX_INVALID_AT_ONCE {
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
                    self.commands_received += 1;
                    value
                }
                // A value that could be buffered is streamed only while memory is short.
                Ok(None) if self.stream_above < MAX_VALUE && self.peek_streamed_value().is_some() => {
                    match self.try_start_streaming()? {
                        Some(event) => return Some(event),
                        None => continue,
                    }
                }
                Ok(None) => {
                    self.close_if_no_partial_command();
                    return None;
                }
                Err(malformed) => {
                    if self.peek_streamed_value().is_some() {
                        match self.try_start_streaming()? {
                            Some(event) => return Some(event),
                            None => continue,
                        }
                    }
                    self.reject_and_close(&format!("Protocol error: {}", malformed.0));
                    self.malformed = true;
                    return None;
                }
            };
            let sequence = self.replies.push();
            match command::parse(value) {
                Ok(ClientCommand::Request(command)) => return Some(SessionEvent::Command(sequence, command)),
                Ok(ClientCommand::Ping) => return Some(SessionEvent::Ping(sequence)),
                Err(error) => self.reject(sequence, &error.to_string()),
            }
        }
        self.has_more_input = true;
        None
    }

    /// Whether [`ClientSession::next_event`] has to be called again before more input is read, although it returned `None`.
    pub fn has_more_input(&self) -> bool {
        self.has_more_input
    }

    /// Inspects the incomplete command for a value to be streamed: the words before it, its length and its offset.
    fn peek_streamed_value(&self) -> Option<(Vec<Value>, usize, usize)> {
        self.reader.peek_last_word(SET_COMMAND_WORDS, self.stream_above + 1..=MAX_STREAMED_VALUE)
    }

    /// Starts the command of a value to be streamed. `None` while too little of it has arrived: an incomplete command takes
    /// no reply slot before. `Some(None)` if the command is invalid and was answered.
    fn try_start_streaming(&mut self) -> Option<Option<SessionEvent>> {
        let (words, length, at) = self.peek_streamed_value()?;
        if self.reader.pending() < at + self.stream_above {
            return None;
        }
        self.reader.skip(at);
        Some(self.start_streamed_command(words, length))
    }

    /// Starts a command with a streamed value. An invalid one is answered with an error after its value was skipped.
    fn start_streamed_command(&mut self, mut words: Vec<Value>, length: usize) -> Option<SessionEvent> {
        self.commands_received += 1;
        let sequence = self.replies.push();
        // The reply is held back until the whole value has been received.
        self.replies.hold(sequence);
        let streamed = Rc::new(StreamedValue::new(length));
        let data = self.reader.take_bytes(length);
        streamed.push(&data);
        let remaining = length - data.len();
        self.incoming = Some(IncomingValue { sequence, streamed: Rc::clone(&streamed), remaining });
        words.push(Value::Bulk(Some(Vec::new())));
        match command::parse(Value::Array(Some(words))) {
            Ok(ClientCommand::Request(mut command)) if command.value.is_some() => {
                (command.value, command.streamed) = (None, Some(streamed));
                Some(SessionEvent::Command(sequence, command))
            }
            Ok(_) => {
                self.reject(sequence, "wrong number of arguments");
                None
            }
            Err(error) => {
                self.reject(sequence, &error.to_string());
                None
            }
        }
    }

    /// Moves received bytes into the streamed value. Returns false until the value is complete.
    fn receive_streamed(&mut self) -> Result<bool, Malformed> {
        let Some(incoming) = &mut self.incoming else { return Ok(true) };
        let data = self.reader.take_bytes(incoming.remaining.min(incoming.streamed.available()));
        incoming.streamed.push(&data);
        incoming.remaining -= data.len();
        if incoming.remaining > 0 || self.reader.skip_bulk_end()?.is_none() {
            return Ok(false);
        }
        incoming.streamed.finish();
        self.incoming = None;
        self.replies.release();
        Ok(true)
    }

    /// The large value that is being received. No more of it is read while [`StreamedValue::available`] is 0.
    pub fn incoming(&self) -> Option<Rc<StreamedValue>> {
        self.incoming.as_ref().map(|i| Rc::clone(&i.streamed))
    }

    /// Sequence number of the command whose value is being received.
    pub fn incoming_sequence(&self) -> Option<u64> {
        self.incoming.as_ref().map(|i| i.sequence)
    }

    /// Aborts the value that is being received: answers its command with the error `text` and closes the session.
    pub fn abort_incoming(&mut self, text: &str) {
        if let Some(incoming) = self.incoming.take() {
            incoming.streamed.abort();
            self.reject(incoming.sequence, text);
            self.close();
            self.replies.release();
        }
    }

    /// Answers `PING` with `+PONG`, or with `-LOADING` if the proxy is not ready.
    pub fn pong(&mut self, sequence: u64, ready: bool) {
        let line: &[u8] = if ready { b"+PONG\r\n" } else { b"-LOADING not ready\r\n" };
        self.queue_reply(sequence, line.to_vec());
    }

    /// Answers a command with the error `text`.
    pub fn reject(&mut self, sequence: u64, text: &str) {
        self.queue_reply(sequence, format!("-ERR {text}\r\n").into_bytes());
    }

    /// Queues the final answer to a request.
    pub fn answer(&mut self, sequence: u64, answer: Answer) {
        let mut bytes = Vec::new();
        match answer {
            Answer::Served(value) => {
                bytes.reserve_exact(value.len() + 16);
                write_bulk(&mut bytes, &value);
            }
            Answer::Rejected { retry_after: 0 } => bytes.extend_from_slice(b"-BUSY\r\n"),
            // Whole milliseconds, rounded up.
            Answer::Rejected { retry_after } => {
                bytes.extend_from_slice(format!("-BUSY {}\r\n", retry_after.div_ceil(1000)).as_bytes());
            }
            Answer::Failed => bytes.extend_from_slice(b"-ERR failed\r\n"),
            Answer::Absent => bytes.extend_from_slice(b"$-1\r\n"),
            Answer::Streamed => return self.replies.end_relay(sequence),
            Answer::Truncated if self.replies.is_relaying(sequence) => {
                self.replies.cut_relay();
                return self.close();
            }
            // No part of the value has been sent, so an error can still be returned.
            Answer::Truncated => bytes.extend_from_slice(b"-ERR failed\r\n"),
        }
        self.queue_reply(sequence, bytes);
    }

    fn queue_reply(&mut self, sequence: u64, bytes: Vec<u8>) {
        // The rest of the value is not needed once the command is answered.
        if let Some(incoming) = self.incoming.as_ref().filter(|i| i.sequence == sequence) {
            incoming.streamed.skip();
        }
        self.replies.set(sequence, bytes);
    }

    /// The queued replies.
    pub fn replies(&self) -> &ReplyQueue {
        &self.replies
    }

    /// The queued replies, to relay a value or to mark output as written.
    pub fn replies_mut(&mut self) -> &mut ReplyQueue {
        &mut self.replies
    }

    /// Number of received bytes that are not yet part of a parsed command.
    pub fn unparsed_bytes(&self) -> usize {
        self.reader.pending()
    }

    /// Memory that received bytes take that are not yet part of a parsed command, in bytes.
    pub fn unparsed_capacity(&self) -> usize {
        self.reader.buffer_capacity()
    }

    /// Memory that received bytes take, in bytes: of incomplete commands, and of the large value that is being received.
    pub fn input_capacity(&self) -> usize {
        let incoming = self.incoming.as_ref().map_or(0, |incoming| incoming.streamed.buffer_capacity());
        self.reader.buffer_capacity() + incoming
    }

    /// Closes the session because the client did not complete a command in time. Replies with an error if part of a
    /// command was received.
    pub fn expire(&mut self) {
        if self.incoming.is_some() {
            self.abort_incoming("the command took too long");
        } else if self.unparsed_bytes() > 0 {
            self.reject_and_close("the command took too long");
        }
        self.close();
        self.timed_out = true;
    }

    /// Closes the session to free the memory of its incomplete command.
    pub fn evict_half_read(&mut self) {
        self.reject_and_close("too many half-sent commands");
        self.malformed = true;
    }

    /// Queues an error as the next reply and closes the session.
    fn reject_and_close(&mut self, text: &str) {
        let sequence = self.replies.push();
        self.reject(sequence, text);
        self.close();
    }

    /// Whether the session was closed by [`ClientSession::expire`].
    pub fn timed_out(&self) -> bool {
        self.timed_out
    }

    /// Number of complete commands received.
    pub fn commands_received(&self) -> u64 {
        self.commands_received
    }

    /// Accepts no further commands. A command that was received in part is still completed, but no byte after it is
    /// read.
    pub fn finish(&mut self) {
        self.finishing = true;
        self.close_if_no_partial_command();
    }

    fn close_if_no_partial_command(&mut self) {
        if self.finishing && self.incoming.is_none() && self.unparsed_bytes() == 0 && !self.closing {
            self.close();
            self.late_reader = Some(Reader::default());
        }
    }

    /// Maximum number of bytes to read from the socket next. After [`ClientSession::finish`], bytes behind the last
    /// accepted command stay in the socket.
    pub fn max_read_bytes(&self) -> usize {
        if let Some(incoming) = &self.incoming {
            let to_end = (incoming.remaining + BULK_TERMINATOR_BYTES).saturating_sub(self.unparsed_bytes());
            // What the value's buffer cannot take stays in the socket.
            return match incoming.streamed.available() {
                available if available < incoming.remaining => available.max(1),
                _ if self.finishing => to_end.max(1),
                _ => usize::MAX,
            };
        }
        if !self.finishing {
            return usize::MAX;
        }
        match self.peek_streamed_value() {
            Some((_, length, at)) => {
                (at + length + BULK_TERMINATOR_BYTES).saturating_sub(self.unparsed_bytes()).max(1)
            }
            None => self.reader.bytes_needed(),
        }
    }

    /// Rejects all pending commands and closes the session, for the end of the process. A reply that is being relayed
    /// continues. Returns the number of rejected commands.
    pub fn refuse_rest(&mut self) -> usize {
        while self.next_event().is_some() || self.has_more_input {}
        let mut sequences = self.replies.pending_sequences();
        sequences.retain(|sequence| !self.replies.is_relaying(*sequence));
        for sequence in &sequences {
            self.answer(*sequence, Answer::Rejected { retry_after: STOPPING_RETRY_AFTER_US });
        }
        // Within a value it is not known where the next command begins.
        let unparsed = self.incoming.is_none().then(|| std::mem::take(&mut self.reader));
        self.abort_incoming("the proxy is stopping");
        if !self.closing {
            self.close();
            self.late_reader = unparsed;
        }
        sequences.len()
    }

    /// Number of these bytes, which arrived after the session was closed for the end of the process, that belong to commands
    /// which they complete.
    pub fn late_command_bytes(&self, input: &[u8]) -> usize {
        let Some(mut reader) = self.late_reader.clone() else { return 0 };
        reader.feed(input);
        let mut whole = 0;
        while let Ok(Some(_)) = reader.next_value() {
            whole = input.len().saturating_sub(reader.pending());
        }
        whole
    }

    /// Rejects a command that was read in part before the session was closed for the end of the process. Returns whether there
    /// was one. No further command is accepted then.
    pub fn refuse_late_part(&mut self) -> bool {
        if self.late_reader.take_if(|reader| reader.pending() > 0).is_none() {
            return false;
        }
        let sequence = self.replies.push();
        self.answer(sequence, Answer::Rejected { retry_after: STOPPING_RETRY_AFTER_US });
        true
    }

    /// Rejects the commands that this input completes. It arrived after the session was closed for the end of the process.
    /// Returns the number of rejected commands. Ignored if it is not known where a command begins.
    pub fn refuse_late(&mut self, input: &[u8]) -> usize {
        let Some(reader) = self.late_reader.take() else { return 0 };
        let mut late = ClientSession { reader, ..ClientSession::default() };
        late.feed(input);
        let refused = late.refuse_rest();
        self.late_reader = late.late_reader.filter(|_| !late.malformed);
        self.replies.append_output(late.replies.output());
        refused
    }

    /// Stops reading and discards unparsed input; queued replies are still written.
    pub fn close(&mut self) {
        if let Some(incoming) = &self.incoming {
            incoming.streamed.abort();
        }
        self.closing = true;
        self.reader = Reader::default();
    }

    /// Whether the session is closing and all replies are written, or a reply was cut off and its output is written.
    pub fn finished(&self) -> bool {
        self.closing && (!self.replies.busy() || self.replies.was_cut() && self.replies.output().is_empty())
    }

    /// Whether input is still read.
    pub fn is_reading(&self) -> bool {
        !self.closing
    }

    /// Whether the session was closed because of malformed input, or of too much incomplete input.
    pub fn malformed(&self) -> bool {
        self.malformed
    }
}

#[cfg(test)]
mod tests;
