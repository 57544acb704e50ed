//! Ends connections whose clients take too long, or whose descriptors and memory others need.

use crate::proxy::ReplySlot;
use crate::wire::driver::Runtime;
use crate::wire::MAX_VALUE;
use notchdoor::Micros;
use std::rc::Rc;

/// The time that a client has for a command, from its first byte, and for its first one, from connecting. A
/// sweep acts on it within a quarter of a second more: some take 2 s over it, and those who never end it are owed an
/// end within 3 s.
const COMMAND_TIMEOUT: Micros = 2_300_000;
/// A client that takes nothing off its connection for so long is cut off while answers that wait fill half of the room
/// or more.
const CROWDED_STALL_TIMEOUT: Micros = 1_000_000;
/// Where room is short, connections without an open request are closed after so long, those with half a
/// command after less, and those that never sent a byte first: who connects to ask does so at once.
const IDLE_TIMEOUT: Micros = 2_000_000;
const HALF_COMMAND_TIMEOUT: Micros = 1_000_000;
const FIRST_BYTE_TIMEOUT: Micros = 20_000;
/// Those may be slower while there still is room.
const FIRST_BYTE_TIMEOUT_WITH_ROOM: Micros = 500_000;
/// Where that makes no room for so long, any that asked once may go after a short time, and where that does not
/// help for ten times as long, any: its client opens another, and those who wait cannot even be told.
const SHUT_OUT: Micros = 20_000;
const MIN_IDLE_TIME: Micros = 100_000;
/// So many may go at once: those who wait may be hundreds, and their time is short.
const MAX_RETIRED_AT_ONCE: usize = 8;

impl Runtime {
    /// Has the client connections closed that have been idle for longest, if any have been for long enough: by how
    /// long room has been short, `None` while there still is some. Those who connect
    /// and stay must not shut others out.
    pub(in crate::wire::driver) fn retire_some(&self, short_for: Option<Micros>) {
        let (clients, now) = (self.clients.borrow(), self.clock.now());
        let idle = clients.values().filter(|c| {
            let session = c.session.borrow();
            let least = match (session.unparsed_bytes(), session.commands_received()) {
                (0, 0) if short_for.is_none() => FIRST_BYTE_TIMEOUT_WITH_ROOM,
                (0, 0) => FIRST_BYTE_TIMEOUT,
                (0, 1) if short_for.is_none_or(|t| t >= SHUT_OUT) => MIN_IDLE_TIME,
                (0, _) if short_for.is_some_and(|t| t >= 10 * SHUT_OUT) => MIN_IDLE_TIME,
                (0, _) => IDLE_TIMEOUT,
                _ => HALF_COMMAND_TIMEOUT,
            };
            // After a stall of this process all clients look idle: what they asked meanwhile lies in their sockets, and
            // is read next.
            !c.retiring.get() && !session.replies().busy() && c.used.get() + least <= now && c.unread() == 0
        });
        let mut idle: Vec<_> =
            idle.map(|c| (c.session.borrow().commands_received().min(2), c.used.get(), c)).collect();
        idle.sort_unstable_by_key(|&(asked, used, _)| (asked, used));
        for (_, _, client) in idle.into_iter().take(MAX_RETIRED_AT_ONCE) {
            // What it has begun to send is not read yet, and it will send that once more elsewhere.
            client.session.borrow_mut().close();
            client.retire();
        }
    }

    /// Ends the connections whose clients take too long over a command.
    pub(in crate::wire::driver) fn expire_clients(self: &Rc<Self>) {
        let (now, mut late_places) = (self.clock.now(), Vec::new());
        for (&id, client) in self.clients.borrow().iter() {
            let session = client.session.borrow();
            let since = match client.half_since.get() {
                0 if session.commands_received() > 0 || session.unparsed_bytes() > 0 => continue,
                0 => client.used.get(),
                since => since,
            };
            let late = session.reads() && since + COMMAND_TIMEOUT <= now;
            drop(session);
            if late {
                late_places.extend(
                    client
                        .session
                        .borrow()
                        .incoming_place()
                        .map(|sequence| ReplySlot { connection: id, sequence }),
                );
                client.session.borrow_mut().expire();
                client.flush(now);
                client.wake();
            }
        }
        // Their commands were never whole: nobody is owed an answer.
        for place in late_places {
            self.drive(|proxy, now| proxy.client_left(now, place));
        }
    }

    /// Cuts off the clients that take none of their answers while these fill most of the room. With a few that
    /// read nothing, nobody else's request would be taken for as long as one alone may stall.
    pub(in crate::wire::driver) fn cut_off_stalled(&self) {
        if self.unsent.get() / MAX_VALUE * 2 < self.room.get().requests {
            return;
        }
        let now = self.clock.now();
        for client in self.clients.borrow().values() {
            if client.counted.get() > 0 && client.moved.get() + CROWDED_STALL_TIMEOUT <= now {
                client.stalled.set(true);
                client.wake();
            }
        }
    }

    /// Ends the connections that have had half a command for longest while such take more room than there is.
    /// Hundreds that each send most of one could together take all the memory.
    pub(super) fn evict_half_read(&self) {
        while self.half_read.get() > self.room.get().partial_command_bytes {
            let clients = self.clients.borrow();
            // What waits whole for room is no half.
            let half = clients.values().filter(|c| c.counted_half.get() > 0 && c.half_since.get() > 0);
            let Some(oldest) = half.min_by_key(|c| c.half_since.get()) else { return };
            oldest.session.borrow_mut().evict_half_read();
            oldest.flush(self.clock.now());
            oldest.wake();
        }
    }
}
