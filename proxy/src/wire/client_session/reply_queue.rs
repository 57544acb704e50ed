//! Queue of the replies of one client connection. Replies are written in command order.

use crate::wire::MAX_VALUE;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hasher};

/// Step in bytes in which the output of a relay grows.
const OUTPUT_STEP: usize = 4 * 1024;
/// Memory in bytes that a queued reply takes beside its bytes.
const SLOT_BYTES: usize = 64;

/// What was passed on of a value, without the value itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedPrefix {
    /// Length of the whole value in bytes.
    pub length: usize,
    /// Number of bytes passed on.
    pub bytes: usize,
    /// Their digest by `DefaultHasher`.
    pub digest: u64,
}

/// The value that is being relayed.
struct Relay {
    length: usize,
    bytes: usize,
    hasher: DefaultHasher,
}

/// Replies, addressed by the sequence number of their command on the connection.
#[derive(Default)]
pub struct ReplyQueue {
    /// Replies not yet moved to the output, oldest first; `None` until the reply is known.
    slots: VecDeque<Option<Vec<u8>>>,
    /// Sequence number of the first slot.
    first: u64,
    /// Sequence number of a reply that is held back because its command is still being received.
    held_back: Option<u64>,
    out: Vec<u8>,
    /// Bytes of `out` already written.
    written: usize,
    /// The value of the oldest reply, while it is relayed.
    relay: Option<Relay>,
    /// The relayed reply was cut off; no bytes are added to the output any more.
    cut: bool,
}

impl ReplyQueue {
    /// Adds a slot for the next command's reply and returns its sequence number.
    pub fn push(&mut self) -> u64 {
        self.slots.push_back(None);
        self.first + self.slots.len() as u64 - 1
    }

    /// Holds back the reply at `sequence`, and those behind it, until [`ReplyQueue::release`].
    pub fn hold(&mut self, sequence: u64) {
        self.held_back = Some(sequence);
    }

    /// Ends the hold of [`ReplyQueue::hold`].
    pub fn release(&mut self) {
        self.held_back = None;
        self.advance();
    }

    /// Sets the reply at `sequence`. Ignored if that reply is already set.
    pub fn set(&mut self, sequence: u64, bytes: Vec<u8>) {
        let slot = sequence.checked_sub(self.first).and_then(|i| self.slots.get_mut(i as usize));
        if let Some(slot @ None) = slot {
            *slot = Some(bytes);
        }
        self.advance();
    }

    /// Whether the reply at `sequence` is not set yet.
    pub fn is_missing(&self, sequence: u64) -> bool {
        let slot = sequence.checked_sub(self.first).and_then(|i| self.slots.get(i as usize));
        matches!(slot, Some(None))
    }

    /// Whether the reply at `sequence` is not set yet and all earlier ones are in the output.
    pub fn is_next(&self, sequence: u64) -> bool {
        sequence == self.first && matches!(self.slots.front(), Some(None))
    }

    /// Whether another command follows the one at `sequence`.
    pub fn is_followed(&self, sequence: u64) -> bool {
        sequence.saturating_add(1) < self.first + self.slots.len() as u64
    }

    /// Starts to relay the next reply, a value of `length` bytes.
    pub fn begin_relay(&mut self, length: usize) {
        self.relay = Some(Relay { length, bytes: 0, hasher: DefaultHasher::new() });
        self.append(format!("${length}\r\n").as_bytes());
    }

    /// Appends bytes of the relayed value. Ignored after [`ReplyQueue::cut_relay`].
    pub fn relay(&mut self, bytes: &[u8]) {
        let Some(relay) = self.relay.as_mut().filter(|_| !self.cut) else { return };
        relay.bytes += bytes.len();
        relay.hasher.write(bytes);
        self.append(bytes);
    }

    /// Completes the relayed reply at `sequence`.
    pub fn end_relay(&mut self, sequence: u64) {
        if self.is_relaying(sequence) {
            self.relay = None;
            self.append(b"\r\n");
            self.slots.pop_front();
            self.first += 1;
            self.advance();
        }
    }

    /// Cuts off the reply that is being relayed.
    pub fn cut_relay(&mut self) {
        self.cut = true;
    }

    /// Whether the reply at `sequence` is being relayed.
    pub fn is_relaying(&self, sequence: u64) -> bool {
        self.relay.is_some() && sequence == self.first
    }

    /// What was passed on of the reply at `sequence`; `None` if it is not being relayed.
    pub fn relayed_prefix(&self, sequence: u64) -> Option<RelayedPrefix> {
        let relay = self.relay.as_ref().filter(|_| sequence == self.first && !self.cut)?;
        Some(RelayedPrefix { length: relay.length, bytes: relay.bytes, digest: relay.hasher.finish() })
    }

    /// Whether a reply is being relayed. No further command is accepted meanwhile.
    pub fn has_relay(&self) -> bool {
        self.relay.is_some()
    }

    /// Whether a relayed reply was cut off.
    pub fn was_cut(&self) -> bool {
        self.cut
    }

    /// Appends complete replies to commands that have no slot. All slots must be written.
    pub fn append_output(&mut self, replies: &[u8]) {
        debug_assert!(self.slots.is_empty());
        self.append(replies);
    }

    fn append(&mut self, bytes: &[u8]) {
        // Frees written bytes first.
        self.out.drain(..std::mem::take(&mut self.written));
        let length = self.out.len() + bytes.len();
        if length > self.out.capacity() {
            // Doubling would take up to twice the memory.
            self.out.reserve_exact(length.next_multiple_of(OUTPUT_STEP) - self.out.len());
        }
        self.out.extend_from_slice(bytes);
    }

    /// Moves replies to the output, up to the first one that is missing or held back.
    fn advance(&mut self) {
        while let Some(Some(bytes)) = self.slots.front_mut() {
            if self.held_back == Some(self.first) {
                return;
            }
            if self.written == self.out.len() {
                (self.out, self.written) = (std::mem::take(bytes), 0);
            } else {
                self.out.append(bytes);
            }
            self.slots.pop_front();
            self.first += 1;
        }
    }

    /// Bytes to write to the client.
    pub fn output(&self) -> &[u8] {
        self.out.get(self.written..).unwrap_or_default()
    }

    /// Removes the first `n` bytes of the output, which were written.
    pub fn mark_written(&mut self, n: usize) {
        self.written = (self.written + n).min(self.out.len());
        if self.written == self.out.len() {
            (self.out, self.written) = (Vec::new(), 0);
        }
    }

    /// Whether a reply is missing or not yet written.
    pub fn busy(&self) -> bool {
        !self.slots.is_empty() || !self.output().is_empty()
    }

    /// Bytes of known replies that are not yet written.
    pub fn unsent_bytes(&self) -> usize {
        self.output().len() + self.slots.iter().flatten().map(Vec::len).sum::<usize>()
    }

    /// Memory in bytes that known replies and the slots of all replies take, but for the output of a relay, which the memory
    /// of its request in flight accounts for.
    pub fn memory_bytes(&self) -> usize {
        let output = match self.relay {
            Some(_) => self.out.capacity().saturating_sub(MAX_VALUE),
            None => self.out.capacity(),
        };
        let slots: usize =
            self.slots.iter().map(|reply| SLOT_BYTES + reply.as_ref().map_or(0, Vec::len)).sum();
        output + slots
    }

    /// Number of replies not yet moved to the output.
    pub fn pending(&self) -> usize {
        self.slots.len()
    }

    /// Positions of the replies that are not set yet.
    pub fn pending_sequences(&self) -> Vec<u64> {
        let missing = self.slots.iter().enumerate().filter(|(_, reply)| reply.is_none());
        missing.map(|(i, _)| self.first + i as u64).collect()
    }
}
