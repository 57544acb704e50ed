//! Bounded buffer for a large value that is streamed from a client to a server.

use event_listener::Event;
use std::cell::{Cell, RefCell};

/// Maximum number of buffered bytes; no more is read from the client at this limit.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Result of [`StreamedValue::next`].
#[derive(Debug, PartialEq, Eq)]
pub enum NextChunk {
    /// Bytes to send.
    Bytes(Vec<u8>),
    /// No bytes are buffered; more will arrive.
    Wait,
    /// The whole value has been returned.
    End,
    /// The value was aborted or skipped.
    Aborted,
}

/// A value that is received and sent in parts.
#[derive(Debug)]
pub struct StreamedValue {
    /// Length of the value in bytes.
    pub length: usize,
    buffered: RefCell<Vec<u8>>,
    /// Bytes were returned by `next` and cannot be sent again.
    started: Cell<bool>,
    complete: Cell<bool>,
    aborted: Cell<bool>,
    /// The rest of the value is discarded.
    skipped: Cell<bool>,
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
            started: Cell::new(false),
            complete: Cell::new(false),
            aborted: Cell::new(false),
            skipped: Cell::new(false),
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
            false => MAX_BUFFERED_BYTES.saturating_sub(self.buffered.borrow().len()),
        }
    }

    /// Appends received bytes. They are discarded once skipped.
    pub fn push(&self, bytes: &[u8]) {
        if !self.skipped.get() {
            self.buffered.borrow_mut().extend_from_slice(bytes);
            self.notify();
        }
    }

    /// Marks the value as completely received.
    pub fn finish(&self) {
        self.complete.set(true);
        self.notify();
    }

    /// Marks the value as never to be completed, and discards buffered bytes.
    pub fn abort(&self) {
        self.aborted.set(true);
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

    /// Removes and returns the buffered bytes, or the state of the value if there are none.
    pub fn next(&self) -> NextChunk {
        let bytes = self.buffered.take();
        if !bytes.is_empty() {
            self.started.set(true);
            self.notify();
            return NextChunk::Bytes(bytes);
        }
        if self.aborted.get() || self.skipped.get() {
            return NextChunk::Aborted;
        }
        if self.complete.get() {
            NextChunk::End
        } else {
            NextChunk::Wait
        }
    }

    /// Waits for the next state change.
    pub async fn changed(&self) {
        self.changed.listen().await;
    }

    /// Waits until the value is completely received.
    pub async fn wait_complete(&self) {
        while !self.complete.get() {
            self.changed.listen().await;
        }
    }
}

#[cfg(test)]
mod tests;
