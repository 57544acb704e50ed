//! Bounded buffer for a large value that is streamed from a client to a server.

use super::MAX_VALUE;
use event_listener::Event;
use notchdoor::Micros;
use std::cell::{Cell, RefCell};

/// Maximum number of bytes that are buffered or being sent; no more is read from the client at this limit. With
/// [`BUFFER_STEP`] it is the memory that each request counts as.
const MAX_BUFFERED_BYTES: usize = MAX_VALUE - BUFFER_STEP;
/// Step in bytes in which the buffer grows.
const BUFFER_STEP: usize = 8 * 1024;

/// Wait for a client, in microseconds, after which it has not sent more. In less, what it had sent may be under way, as when
/// its system was told that there is room again.
const CAUGHT_UP_AFTER: Micros = 30_000;

/// Bytes of the value that are withheld until the client's command is complete. Where the value ends the request to the
/// server, its last byte makes the server run the request.
const WITHHELD_BYTES: usize = 1;

/// Result of [`StreamedValue::next`].
#[derive(Debug, PartialEq, Eq)]
pub enum NextChunk {
    /// Bytes to send. The value does not end with them.
    Bytes(Vec<u8>),
    /// The last bytes of the value. The client has sent its command completely.
    Last(Vec<u8>),
    /// Nothing can be sent now; more will arrive.
    Wait,
    /// The value was aborted or skipped.
    Aborted,
}

/// A value that is received and sent in parts.
#[derive(Debug)]
pub struct StreamedValue {
    /// Length of the value in bytes.
    pub length: usize,
    buffered: RefCell<Vec<u8>>,
    received: Cell<usize>,
    /// Bytes that the last call of `next` returned; they are sent once it is called again.
    being_sent: Cell<usize>,
    /// Bytes were returned by `next` and cannot be sent again.
    started: Cell<bool>,
    /// The client's command was received to its end.
    complete: Cell<bool>,
    /// The rest of the value is discarded.
    skipped: Cell<bool>,
    /// For how long the value and its answer may be held up.
    time_limit: Cell<Micros>,
    /// For how long the value was held up since its client was last waited for.
    held_up: Cell<Micros>,
    changed: Event,
}

impl PartialEq for StreamedValue {
    fn eq(&self, other: &Self) -> bool {
        std::ptr::eq(self, other)
    }
}

impl StreamedValue {
    /// Creates a value of `length` bytes, none received yet.
    pub fn new(length: usize) -> Self {
        StreamedValue {
            length,
            buffered: RefCell::default(),
            received: Cell::new(0),
            being_sent: Cell::new(0),
            started: Cell::new(false),
            complete: Cell::new(false),
            skipped: Cell::new(false),
            time_limit: Cell::new(Micros::MAX),
            held_up: Cell::new(0),
            changed: Event::new(),
        }
    }

    fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Number of bytes that can be pushed now; unlimited once skipped.
    pub fn available(&self) -> usize {
        match self.skipped.get() {
            true => usize::MAX,
            false => MAX_BUFFERED_BYTES.saturating_sub(self.buffered.borrow().len() + self.being_sent.get()),
        }
    }

    /// Sets for how long the value and its answer may be held up.
    pub fn set_time_limit(&self, limit: Micros) {
        self.time_limit.set(limit);
    }

    /// Records that the client could not go on for this long, because the server took no more.
    pub fn record_held_up(&self, time: Micros) {
        self.held_up.set(self.held_up.get().saturating_add(time));
    }

    /// Records that the client was waited for. If the server had taken all that the client had sent, the client has not sent its
    /// last byte so far, and nothing is late.
    pub fn record_client_wait(&self, time: Micros) {
        let outstanding = self.buffered.borrow().len() > WITHHELD_BYTES || self.being_sent.get() > 0;
        if !outstanding && time >= CAUGHT_UP_AFTER {
            self.held_up.set(0);
        }
    }

    /// For how long the value and its answer may be held up in all.
    pub fn time_limit(&self) -> Micros {
        self.time_limit.get()
    }

    /// For how long the value and its answer may still be held up.
    pub fn time_left(&self) -> Micros {
        self.time_limit.get().saturating_sub(self.held_up.get())
    }

    /// Number of bytes received so far.
    pub fn received(&self) -> usize {
        self.received.get()
    }

    /// Memory that the value takes, in bytes.
    pub fn buffer_capacity(&self) -> usize {
        self.buffered.borrow().capacity() + self.being_sent.get()
    }

    /// Appends received bytes. They are discarded once skipped.
    pub fn push(&self, bytes: &[u8]) {
        self.received.set(self.received.get() + bytes.len());
        if !self.skipped.get() {
            let mut buffered = self.buffered.borrow_mut();
            let length = buffered.len() + bytes.len();
            if length > buffered.capacity() {
                let additional = length.next_multiple_of(BUFFER_STEP) - buffered.len();
                buffered.reserve_exact(additional);
            }
            buffered.extend_from_slice(bytes);
            self.notify();
        }
    }

    /// Marks the value and the end of its command as completely received.
    pub fn finish(&self) {
        self.complete.set(true);
        self.notify();
    }

    /// Marks the value as never to be completed, and discards buffered bytes.
    pub fn abort(&self) {
        self.skip();
    }

    /// Discards buffered bytes and those that follow.
    pub fn skip(&self) {
        self.skipped.set(true);
        self.buffered.take();
        self.notify();
    }

    /// Whether the value can still be sent from its first byte.
    pub fn is_unsent(&self) -> bool {
        !self.started.get() && !self.skipped.get()
    }

    /// Removes and returns the bytes that can be sent, or the state of the value if there are none. The bytes returned before
    /// are sent.
    pub fn next(&self) -> NextChunk {
        if self.being_sent.take() > 0 {
            self.notify();
        }
        if self.skipped.get() {
            return NextChunk::Aborted;
        }
        let mut buffered = self.buffered.borrow_mut();
        let sendable = match self.complete.get() {
            true => buffered.len(),
            false => buffered.len().saturating_sub(WITHHELD_BYTES),
        };
        if sendable == 0 {
            return NextChunk::Wait;
        }
        let withheld = buffered.split_off(sendable);
        let bytes = std::mem::replace(&mut *buffered, withheld);
        self.started.set(true);
        self.being_sent.set(bytes.len());
        match self.complete.get() {
            true => NextChunk::Last(bytes),
            false => NextChunk::Bytes(bytes),
        }
    }

    /// Waits for the next state change.
    pub async fn changed(&self) {
        self.changed.listen().await;
    }

    /// Waits until the client's command is completely received.
    pub async fn wait_complete(&self) {
        while !self.complete.get() {
            self.changed.listen().await;
        }
    }
}

#[cfg(test)]
mod tests;
