//! Closes connections of slow or idle clients, and frees descriptors and memory under pressure.

use super::Client;
use crate::proxy::ReplySlot;
use crate::wire::driver::Runtime;
use crate::wire::MAX_VALUE;
use notchdoor::Micros;
use std::cmp::Reverse;
use std::rc::Rc;

/// Timeout for a command, from its first byte, and for the first command, from connecting. Enforced by a sweep every
/// 250 ms, so it takes effect within 3 s.
const COMMAND_TIMEOUT: Micros = 2_300_000;
/// Clients that take nothing of their replies for this long are disconnected.
const STALL_TIMEOUT: Micros = 10_000_000;
/// The same while clients that do not read crowd out other requests: for one that has taken nothing since its socket was
/// full, and for any other. A slow receiver may take a whole window of 64 KiB at once, and then nothing until it has read it.
const CROWDED_NO_READ_TIMEOUT: Micros = 1_000_000;
const CROWDED_STALL_TIMEOUT: Micros = 3_000_000;
/// What a client takes within this time after its socket was full, its own system may have taken without it.
const BUFFER_FILL_TIME: Micros = 500_000;
/// Idle times after which connections without a pending request may be closed when descriptors are short: after at
/// least one command, with an incomplete command, and without any byte received.
const IDLE_TIMEOUT: Micros = 2_000_000;
const HALF_COMMAND_TIMEOUT: Micros = 1_000_000;
const FIRST_BYTE_TIMEOUT: Micros = 20_000;
/// Replaces `FIRST_BYTE_TIMEOUT` while descriptors are left.
const FIRST_BYTE_TIMEOUT_WITH_ROOM: Micros = 500_000;
/// After a shortage of this duration, connections with one command may be closed once idle for `MIN_IDLE_TIME`; after
/// ten times this duration, any connection may.
const SHORTAGE_ESCALATION_US: Micros = 20_000;
const MIN_IDLE_TIME: Micros = 100_000;
/// Maximum number of connections closed per call.
const MAX_RETIRED_AT_ONCE: usize = 8;

impl Runtime {
    /// Closes the client connections that have been idle for longest. The required idle time depends on how long
    /// descriptors have been short; `short_for` is `None` while some are left.
    pub(in crate::wire::driver) fn retire_idle(&self, short_for: Option<Micros>) {
        let (clients, now) = (self.clients.borrow(), self.clock.now());
        let idle = clients.values().filter(|c| {
            let session = c.session.borrow();
            let min_idle = match (session.unparsed_bytes(), session.commands_received()) {
                (0, 0) if short_for.is_none() => FIRST_BYTE_TIMEOUT_WITH_ROOM,
                (0, 0) => FIRST_BYTE_TIMEOUT,
                (0, 1) if short_for.is_none_or(|t| t >= SHORTAGE_ESCALATION_US) => MIN_IDLE_TIME,
                (0, _) if short_for.is_some_and(|t| t >= 10 * SHORTAGE_ESCALATION_US) => MIN_IDLE_TIME,
                (0, _) => IDLE_TIMEOUT,
                _ => HALF_COMMAND_TIMEOUT,
            };
            // Unread input excludes a connection: after a stall of this process all clients look idle.
            !c.retiring.get()
                && !session.replies().busy()
                && c.last_active.get() + min_idle <= now
                && !c.io.has_unread_input()
        });
        let mut idle: Vec<_> =
            idle.map(|c| (c.session.borrow().commands_received().min(2), c.last_active.get(), c)).collect();
        idle.sort_unstable_by_key(|&(commands, used, _)| (commands, used));
        for (_, _, client) in idle.into_iter().take(MAX_RETIRED_AT_ONCE) {
            let has_part_of_command = client.session.borrow().unparsed_bytes() > 0;
            if has_part_of_command {
                client.session.borrow_mut().expire();
                client.flush(now);
            }
            client.retire();
        }
    }

    /// Closes the connections whose clients exceeded `COMMAND_TIMEOUT`.
    pub(in crate::wire::driver) fn expire_clients(self: &Rc<Self>) {
        let (now, mut late_slots) = (self.clock.now(), Vec::new());
        for (&id, client) in self.clients.borrow().iter() {
            let session = client.session.borrow();
            let since = match client.partial_since.get() {
                0 if session.commands_received() > 0 || session.unparsed_bytes() > 0 => continue,
                0 => client.last_active.get(),
                since => since,
            };
            let late = session.is_reading() && since + COMMAND_TIMEOUT <= now;
            drop(session);
            if late {
                late_slots.extend(
                    client
                        .session
                        .borrow()
                        .incoming_sequence()
                        .map(|sequence| ReplySlot { connection: id, sequence }),
                );
                client.session.borrow_mut().expire();
                client.flush(now);
                client.wake();
            }
        }
        // Their commands are incomplete and need no answer from the proxy.
        for slot in late_slots {
            self.drive(|proxy, now| proxy.client_left(now, slot));
        }
    }

    /// Whether unsent replies use at least half of the room for requests, or all that may be held is.
    pub(super) fn unsent_replies_crowd(&self) -> bool {
        let room = self.room.get();
        let most = (room.requests * MAX_VALUE).min(room.held_bytes);
        self.unsent_reply_bytes.get() * 2 >= most || self.held_bytes() >= room.held_bytes
    }

    /// Disconnects clients that take nothing of their replies, early if these crowd out other requests.
    ///
    /// The system reports a socket as writable only once a third of its buffer is free, which a slow reader may take long
    /// for. A write succeeds as soon as any of it is, so one is tried here to see what the client has taken.
    pub(in crate::wire::driver) fn disconnect_stalled(&self) {
        let now = self.clock.now();
        let blocked: Vec<_> = self
            .clients
            .borrow()
            .values()
            .filter(|client| client.output_blocked.get())
            .map(Rc::clone)
            .collect();
        for client in blocked {
            client.flush(now);
            if client.output_blocked.get() && client.last_progress.get() + self.stall_timeout(&client) <= now
            {
                client.stalled.set(true);
                client.wake();
            }
        }
    }

    /// How long a client whose socket is full may take nothing.
    fn stall_timeout(&self, client: &Client) -> Micros {
        let has_read = client.last_progress.get() > client.blocked_since.get() + BUFFER_FILL_TIME;
        let unsent_crowd = self.unsent_replies_crowd();
        if unsent_crowd && !has_read && !client.session.borrow().replies().has_relay() {
            CROWDED_NO_READ_TIMEOUT
        } else if self.stopping.get() || unsent_crowd || self.relay_budget.used() >= self.relay_budget.limit()
        {
            CROWDED_STALL_TIMEOUT
        } else {
            STALL_TIMEOUT
        }
    }

    /// Whether incomplete commands use at least half of their memory.
    pub(super) fn is_short_of_input_memory(&self) -> bool {
        self.partial_command_bytes.get() * 2 >= self.room.get().partial_command_bytes
    }

    /// Closes the connections whose incomplete commands take the most memory, the oldest of them first, until all fit into
    /// their memory limit.
    pub(super) fn evict_partial_commands(&self) {
        while self.partial_command_bytes.get() > self.room.get().partial_command_bytes {
            let clients = self.clients.borrow();
            // Complete commands that wait for admission are excluded.
            let partial =
                clients.iter().filter(|(_, c)| c.partial_share.get() > 0 && c.partial_since.get() > 0);
            let largest =
                partial.max_by_key(|(_, c)| (c.partial_share.get(), Reverse(c.partial_since.get())));
            let Some((&id, largest)) = largest else { return };
            let bytes = largest.partial_share.get();
            log::debug!(client = id, bytes; "client {id}: its incomplete command of {bytes} bytes is given up for lack of memory");
            self.proxy.borrow_mut().counters.commands_evicted += 1;
            largest.session.borrow_mut().evict_half_read();
            largest.flush(self.clock.now());
            largest.wake();
        }
    }
}
