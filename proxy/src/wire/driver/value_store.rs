//! Bounded memory for large values that are kept in the proxy: replies without a declared length, and values that are not
//! passed on before they are complete.

use event_listener::Event;
use std::cell::Cell;
use std::rc::Rc;

/// Memory for large values, shared by all attempts of a process.
#[derive(Default)]
pub(super) struct ValueStore {
    limit: Cell<usize>,
    used: Cell<usize>,
    freed: Event,
}

impl ValueStore {
    /// Sets the limit in bytes. Values that are already kept stay.
    pub(super) fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        self.freed.notify(usize::MAX);
    }

    /// Whether a value of this size can ever be kept.
    pub(super) fn can_hold(&self, bytes: usize) -> bool {
        bytes <= self.limit.get()
    }

    /// Bytes in use.
    pub(super) fn used(&self) -> usize {
        self.used.get()
    }

    fn fits(&self, bytes: usize) -> bool {
        self.used.get().saturating_add(bytes) <= self.limit.get()
    }
}

/// The part of a [`ValueStore`] that one value uses. Freed on drop.
pub(super) struct Reservation {
    store: Rc<ValueStore>,
    bytes: usize,
}

impl Reservation {
    /// An empty reservation.
    pub(super) fn new(store: &Rc<ValueStore>) -> Self {
        Reservation { store: Rc::clone(store), bytes: 0 }
    }

    /// Its size in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Waits until this many bytes are free and reserves them. Has no deadline of its own: the attempt that waits has one.
    pub(super) async fn wait_for(&mut self, bytes: usize) {
        while !self.store.fits(bytes) {
            self.store.freed.listen().await;
        }
        self.resize(self.bytes + bytes);
    }

    /// Changes the size. Returns false if the store is over its limit afterwards.
    pub(super) fn resize(&mut self, bytes: usize) -> bool {
        let others = self.store.used.get().saturating_sub(self.bytes);
        self.store.used.set(others.saturating_add(bytes));
        if bytes < self.bytes {
            self.store.freed.notify(usize::MAX);
        }
        self.bytes = bytes;
        bytes == 0 || self.store.fits(0)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
