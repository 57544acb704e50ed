//! The bytes of a large value that is kept until it is complete.

use crate::wire::driver::value_store::Reservation;
use crate::wire::MAX_VALUE;
use std::collections::VecDeque;

/// Size up to which received pieces are joined: at most one of two neighbouring parts is shorter than half of it.
const PART_BYTES: usize = MAX_VALUE / 4;

/// Memory to reserve for a value: that of one request is accounted for in any case.
pub(super) fn bytes_to_reserve(length: usize) -> usize {
    length.saturating_sub(MAX_VALUE)
}

/// The bytes of a value, and the memory reserved for them.
pub(super) struct HeldValue {
    parts: VecDeque<Vec<u8>>,
    /// Bytes of the value that were not taken yet, of which some may still be received.
    remaining: usize,
    reservation: Reservation,
}

impl HeldValue {
    /// An empty value that will have `length` bytes, for which memory is reserved.
    pub(super) fn new(length: usize, reservation: Reservation) -> Self {
        HeldValue { parts: VecDeque::new(), remaining: length, reservation }
    }

    /// Whether memory is reserved for the whole value.
    pub(super) fn is_reserved(&self) -> bool {
        self.reservation.bytes() >= bytes_to_reserve(self.remaining)
    }

    /// Adds received bytes. A server may send them in pieces of any size, each of which would need memory beside its bytes.
    pub(super) fn push(&mut self, data: Vec<u8>) {
        match self.parts.back_mut() {
            Some(last) if last.len() + data.len() <= PART_BYTES => {
                last.reserve_exact(PART_BYTES - last.len());
                last.extend_from_slice(&data);
            }
            _ => self.parts.push_back(data),
        }
    }

    /// Takes the next bytes, and gives back the memory of those that were taken before.
    pub(super) fn take_part(&mut self) -> Option<Vec<u8>> {
        self.reservation.resize(bytes_to_reserve(self.remaining));
        let part = self.parts.pop_front()?;
        self.remaining = self.remaining.saturating_sub(part.len());
        Some(part)
    }
}

#[cfg(test)]
mod tests;
