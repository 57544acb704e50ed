//! Pools of idle connections to servers, and limits on the number of open sockets.

use notchdoor::{Micros, ServerId};
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Idle connections that are kept for each server.
const MAX_IDLE_CONNECTIONS: usize = 24;
/// Connections that are open or being opened for attempts that require an unused one, for each server.
const MAX_UNUSED_CONNECTIONS: usize = 4;
/// Pause after a reply before a connection is used again. Most stray bytes, such as a second copy of the reply, arrive
/// within it, and the connection is then dropped before it costs an attempt.
const REUSE_DELAY: Micros = 8_000;

/// The right to one socket, or one other place, of a budget; returned on drop.
pub struct Ticket(Rc<Cell<usize>>);

impl Drop for Ticket {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A limit on the number of open sockets, or of other things that each take one place.
pub struct Budget {
    used: Rc<Cell<usize>>,
    limit: Cell<usize>,
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(limit: usize) -> Self {
        Budget { used: Rc::default(), limit: Cell::new(limit) }
    }

    /// Changes the limit. Sockets in use beyond it stay open.
    pub fn resize(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// The limit.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Takes one socket, even beyond the limit.
    pub fn overdraw(&self) -> Ticket {
        self.used.set(self.used.get() + 1);
        Ticket(Rc::clone(&self.used))
    }

    /// Takes one socket; `None` if the limit is reached.
    pub fn take(&self) -> Option<Ticket> {
        (self.used.get() < self.limit.get()).then(|| self.overdraw())
    }

    /// The number of sockets in use.
    pub fn used(&self) -> usize {
        self.used.get()
    }
}

/// Whether replies may be outstanding on a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplyOrder {
    /// No reply is outstanding.
    #[default]
    Certain,
    /// A reply may have been a second copy of an earlier one, so that the real one may be outstanding.
    Doubtful,
}

/// Which connection an attempt requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// Any open connection.
    Any,
    /// One on which no reply may be outstanding.
    CertainOrder,
    /// One on which no command was sent before. Whatever reply comes on it is the reply to the attempt.
    Unused,
}

/// An idle connection.
struct Idle<C> {
    since: Micros,
    order: ReplyOrder,
    connection: C,
}

struct ServerPool<C> {
    /// Idle connections, the one that is idle for longest first.
    idle: Vec<Idle<C>>,
    /// Connections without a command so far, the oldest first.
    unused: VecDeque<(Micros, C)>,
    /// Number of unused connections that are being opened.
    opening: usize,
    /// Connections of earlier generations are not returned to the pool.
    generation: u64,
}

/// Idle connections by server.
pub struct Pools<C> {
    servers: HashMap<ServerId, ServerPool<C>>,
    /// The last generation used. Generations are not reused, so that connections of a dropped pool never return to a new one.
    next_generation: u64,
    /// Connections that have been idle for longer are closed.
    max_idle: Micros,
}

impl<C> Pools<C> {
    /// Creates empty pools for servers that close idle connections after `idle_close`.
    pub fn new(idle_close: Micros) -> Self {
        // Closes connections before the server does: a command on a connection that the server is closing fails with a
        // reset, after which a non-idempotent write cannot be retried.
        let margin = (idle_close / 10).max(1_000_000).min(idle_close / 2);
        Pools { servers: HashMap::new(), next_generation: 0, max_idle: idle_close - margin }
    }

    /// The current generation of a server's connections.
    pub fn generation(&mut self, server: ServerId) -> u64 {
        let next = &mut self.next_generation;
        let pool = self.servers.entry(server).or_insert_with(|| {
            *next += 1;
            ServerPool { idle: Vec::new(), unused: VecDeque::new(), opening: 0, generation: *next }
        });
        pool.generation
    }

    /// Takes a connection that meets the requirement. Returns it with the time from which it may be used.
    pub fn take(&mut self, now: Micros, server: ServerId, requirement: Requirement) -> Option<(Micros, C)> {
        self.take_if(now, server, requirement, |_| true)
    }

    /// Like [`Pools::take`], for connections for which `usable` returns true.
    pub fn take_if(
        &mut self,
        now: Micros,
        server: ServerId,
        requirement: Requirement,
        usable: impl Fn(&C) -> bool,
    ) -> Option<(Micros, C)> {
        match requirement {
            Requirement::Any => self.take_used(now, server, true, usable),
            Requirement::CertainOrder => self.take_used(now, server, false, usable),
            Requirement::Unused => self.take_unused(now, server, usable).map(|connection| (now, connection)),
        }
    }

    /// Takes the connection without a command that has been open for longest.
    fn take_unused(&mut self, now: Micros, server: ServerId, usable: impl Fn(&C) -> bool) -> Option<C> {
        let max_idle = self.max_idle;
        let unused = &mut self.servers.get_mut(&server)?.unused;
        unused.retain(|(since, _)| since + max_idle > now);
        let index = unused.iter().position(|(_, connection)| usable(connection))?;
        unused.remove(index).map(|(_, connection)| connection)
    }

    /// Whether another unused connection to a server should be opened. If so, it counts as being opened until
    /// [`Pools::put_unused`].
    pub fn begin_unused(&mut self, server: ServerId) -> bool {
        let Some(pool) = self.servers.get_mut(&server) else { return false };
        let wanted = pool.unused.len() + pool.opening < MAX_UNUSED_CONNECTIONS;
        pool.opening += usize::from(wanted);
        wanted
    }

    /// Adds a connection that was opened after [`Pools::begin_unused`], or records that it could not be opened.
    pub fn put_unused(&mut self, now: Micros, server: ServerId, generation: u64, connection: Option<C>) {
        let pool = self.servers.get_mut(&server).filter(|pool| pool.generation == generation);
        let Some(pool) = pool else { return };
        pool.opening = pool.opening.saturating_sub(1);
        pool.unused.extend(connection.map(|connection| (now, connection)));
    }

    /// Takes the most recently used connection whose `REUSE_DELAY` has passed, one whose reply order is certain if there is
    /// any, or else the connection for which it passes first. Returns it with the time from which it may be used.
    fn take_used(
        &mut self,
        now: Micros,
        server: ServerId,
        allow_doubtful: bool,
        usable: impl Fn(&C) -> bool,
    ) -> Option<(Micros, C)> {
        let max_idle = self.max_idle;
        let idle = &mut self.servers.get_mut(&server)?.idle;
        idle.retain(|connection| connection.since + max_idle > now);
        let usable =
            |i: &Idle<C>| usable(&i.connection) && (allow_doubtful || i.order == ReplyOrder::Certain);
        let reusable =
            |order| idle.iter().rposition(|i| i.since + REUSE_DELAY <= now && i.order == order && usable(i));
        let index = reusable(ReplyOrder::Certain)
            .or_else(|| reusable(ReplyOrder::Doubtful))
            .or_else(|| idle.iter().position(usable));
        let Idle { since, connection, .. } = idle.remove(index?);
        Some((since + REUSE_DELAY, connection))
    }

    /// Returns a connection to its pool. It is dropped if its generation has ended; a full pool drops its oldest one.
    pub fn put(
        &mut self,
        now: Micros,
        server: ServerId,
        generation: u64,
        (connection, order): (C, ReplyOrder),
    ) {
        let pool = self.servers.get_mut(&server).filter(|s| s.generation == generation);
        let Some(pool) = pool else { return };
        if pool.idle.len() >= MAX_IDLE_CONNECTIONS {
            pool.idle.remove(0);
        }
        pool.idle.push(Idle { since: now, order, connection });
    }

    /// Drops a server's idle connections, and those in use once they are returned.
    pub fn drop_server(&mut self, server: ServerId) {
        self.servers.remove(&server);
    }

    /// Drops connections that have been idle for too long or for which `alive` returns false.
    pub fn sweep(&mut self, now: Micros, alive: impl Fn(&C) -> bool) {
        for pool in self.servers.values_mut() {
            let max_idle = self.max_idle;
            pool.idle.retain(|idle| idle.since + max_idle > now && alive(&idle.connection));
            pool.unused.retain(|(since, connection)| since + max_idle > now && alive(connection));
        }
    }

    /// Drops the connection that has been idle for longest, or else an unused one. Returns false if there is none.
    pub fn evict(&mut self) -> bool {
        let oldest = |s: &&mut ServerPool<C>| s.idle.first().map_or(Micros::MAX, |idle| idle.since);
        match self.servers.values_mut().filter(|s| !s.idle.is_empty()).min_by_key(oldest) {
            Some(pool) => {
                pool.idle.remove(0);
                true
            }
            None => self.servers.values_mut().any(|pool| pool.unused.pop_front().is_some()),
        }
    }

    /// Whether any connection to a server that is idle or was not used yet meets `condition`.
    pub fn has(&self, server: ServerId, condition: impl Fn(&C) -> bool) -> bool {
        self.servers.get(&server).is_some_and(|pool| {
            pool.idle.iter().any(|idle| condition(&idle.connection))
                || pool.unused.iter().any(|(_, connection)| condition(connection))
        })
    }

    /// The number of idle connections to a server.
    pub fn idle(&self, server: ServerId) -> usize {
        self.servers.get(&server).map_or(0, |s| s.idle.len())
    }
}

#[cfg(test)]
mod tests;
