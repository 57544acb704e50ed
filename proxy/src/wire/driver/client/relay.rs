//! Relays large values to clients: when a value may begin, and what of it was passed on.

use super::Client;
use crate::proxy::ReplySlot;
use crate::wire::client_session::RelayedPrefix;
use crate::wire::driver::{Runtime, READ_BUFFER_BYTES};
use crate::wire::MAX_VALUE;
use event_listener::Event;
use std::rc::Rc;

/// Limit on unsent bytes of a relayed reply; above it, no more is read from the server.
pub(super) const MAX_UNSENT_RELAYED: usize = MAX_VALUE / 8;
/// Bytes that a relayed reply takes at most: what was unsent, and one more read.
pub(super) const RELAYED_VALUE_BYTES: usize = MAX_UNSENT_RELAYED + READ_BUFFER_BYTES;

/// Whether a value that has not begun yet may be relayed to its client.
pub(in crate::wire::driver) enum RelayStart {
    /// The client has disconnected, or the request is answered.
    ClientGone,
    /// Further commands of the client stand behind this one. If the value broke off, they could not be answered any more.
    CommandsBehind,
    /// It may begin now.
    Ready,
    /// Earlier replies are not written yet. The event is notified when that may have changed.
    Waiting(Rc<Event>),
}

impl Client {
    /// Whether a reply can be relayed now: it is the next one, and the unsent output is below `MAX_UNSENT_RELAYED`.
    fn can_relay(&self, sequence: u64) -> bool {
        let session = self.session.borrow();
        session.replies().is_next(sequence) && session.replies().output().len() < MAX_UNSENT_RELAYED
    }

    /// Whether the client has sent anything behind this command, even if it is not read or not complete yet.
    fn has_commands_behind(&self, sequence: u64) -> bool {
        let read = {
            let session = self.session.borrow();
            session.replies().is_followed(sequence) || session.unparsed_bytes() > 0
        };
        read || self.io.has_unread_input()
    }

    fn relay_start(&self, sequence: u64) -> RelayStart {
        if !self.session.borrow().replies().is_missing(sequence) {
            RelayStart::ClientGone
        } else if self.has_commands_behind(sequence) {
            RelayStart::CommandsBehind
        } else if self.can_relay(sequence) {
            RelayStart::Ready
        } else {
            RelayStart::Waiting(Rc::clone(&self.relay_ready))
        }
    }
}

impl Runtime {
    /// Whether a value may begin to be relayed now.
    pub(in crate::wire::driver) fn relay_start(&self, slot: ReplySlot) -> RelayStart {
        match self.clients.borrow().get(&slot.connection) {
            Some(client) => client.relay_start(slot.sequence),
            None => RelayStart::ClientGone,
        }
    }

    /// What an earlier attempt of the same request has relayed; `None` if nothing was.
    pub(in crate::wire::driver) fn relayed_prefix(&self, slot: ReplySlot) -> Option<RelayedPrefix> {
        let clients = self.clients.borrow();
        let session = clients.get(&slot.connection)?.session.borrow();
        session.replies().relayed_prefix(slot.sequence)
    }

    /// Waits until a reply can be relayed to its client. Returns false if the client has disconnected or the reply
    /// was answered or cut off.
    pub(in crate::wire::driver) async fn relay_ready(&self, slot: ReplySlot) -> bool {
        loop {
            let Some(client) = self.clients.borrow().get(&slot.connection).map(Rc::clone) else {
                return false;
            };
            let answered = {
                let session = client.session.borrow();
                session.replies().was_cut() || !session.replies().is_missing(slot.sequence)
            };
            if answered {
                return false;
            }
            if client.can_relay(slot.sequence) {
                return true;
            }
            // Keeps only the event, so that the connection can end meanwhile.
            let relay_ready = Rc::clone(&client.relay_ready);
            drop(client);
            relay_ready.listen().await;
        }
    }
}
