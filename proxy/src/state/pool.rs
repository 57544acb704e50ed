//! Idle connections to backends and the origin, and the budget of sockets.

use notchdoor::{Micros, ServerId};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

/// Idle connections that are kept for one backend.
const MAX_IDLE_CONNECTIONS: usize = 24;
/// A connection rests so long after a reply before it takes another command. Something may come some
/// milliseconds behind a reply, such as a second copy of it: read too early it would be taken for the next one's.
const REUSE_DELAY: Micros = 8_000;

/// One socket of a budget: given back when it is dropped.
pub struct Ticket(Rc<Cell<usize>>);

impl Drop for Ticket {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// So many sockets and no more.
pub struct Budget {
    used: Rc<Cell<usize>>,
    limit: Cell<usize>,
}

impl Budget {
    /// A budget of which nothing is used.
    pub fn new(limit: usize) -> Self {
        Budget { used: Rc::default(), limit: Cell::new(limit) }
    }

    /// So many from here on; what is used beyond that stays until it is given back.
    pub fn resize(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// How many there may be.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// One more socket, whether there is room or not.
    pub fn overdraw(&self) -> Ticket {
        self.used.set(self.used.get() + 1);
        Ticket(Rc::clone(&self.used))
    }

    /// One more socket, if there is room.
    pub fn take(&self) -> Option<Ticket> {
        (self.used.get() < self.limit.get()).then(|| self.overdraw())
    }

    /// How many are used.
    pub fn used(&self) -> usize {
        self.used.get()
    }
}

struct ServerPool<C> {
    /// Since when each has been idle, oldest first.
    idle: Vec<(Micros, C)>,
    /// Connections of another generation are of no more use.
    generation: u64,
}

/// Idle connections by backend.
pub struct Pools<C> {
    servers: HashMap<ServerId, ServerPool<C>>,
    /// Never used twice, so that a pool that is dropped leaves nothing behind.
    next_generation: u64,
    /// Connections are closed after standing idle for so long.
    max_idle: Micros,
}

impl<C> Pools<C> {
    /// Empty pools for backends that close idle connections after `idle_close`.
    pub fn new(idle_close: Micros) -> Self {
        // A tenth earlier, and a second where that is more: a command written to a connection that the
        // backend is closing ends as a reset, and an unsafe write may then not be repeated.
        let margin = (idle_close / 10).max(1_000_000).min(idle_close / 2);
        Pools { servers: HashMap::new(), next_generation: 0, max_idle: idle_close - margin }
    }

    /// The generation that a new connection belongs to.
    pub fn generation(&mut self, server: ServerId) -> u64 {
        let next = &mut self.next_generation;
        let pool = self.servers.entry(server).or_insert_with(|| {
            *next += 1;
            ServerPool { idle: Vec::new(), generation: *next }
        });
        pool.generation
    }

    /// The connection that was used most recently among those that are rested, if it is not too old; where none is,
    /// the one that will be first. And when it is reusable.
    pub fn take(&mut self, now: Micros, server: ServerId) -> Option<(Micros, C)> {
        let max_idle = self.max_idle;
        let idle = &mut self.servers.get_mut(&server)?.idle;
        let reusable = idle.iter().rposition(|(since, _)| since + REUSE_DELAY <= now);
        if idle.is_empty() {
            return None;
        }
        let (since, connection) = idle.remove(reusable.unwrap_or(0));
        if since + max_idle > now {
            return Some((since + REUSE_DELAY, connection));
        }
        // Those before it have been idle for longer still.
        idle.drain(..reusable.unwrap_or(0));
        self.take(now, server)
    }

    /// Takes back a connection. It is dropped if its generation is over; of too many, the oldest is.
    pub fn put(&mut self, now: Micros, server: ServerId, generation: u64, connection: C) {
        let pool = self.servers.get_mut(&server).filter(|s| s.generation == generation);
        let Some(pool) = pool else { return };
        if pool.idle.len() >= MAX_IDLE_CONNECTIONS {
            pool.idle.remove(0);
        }
        pool.idle.push((now, connection));
    }

    /// Drops a backend's idle connections, and those out when they come back.
    pub fn drop_server(&mut self, server: ServerId) {
        self.servers.remove(&server);
    }

    /// Drops the connections that are too old, or that `alive` says have been closed.
    pub fn sweep(&mut self, now: Micros, alive: impl Fn(&C) -> bool) {
        for pool in self.servers.values_mut() {
            let max_idle = self.max_idle;
            pool.idle.retain(|(since, c)| since + max_idle > now && alive(c));
        }
    }

    /// Drops the connection that has been idle for longest, to make room. False if there is none.
    pub fn evict(&mut self) -> bool {
        let oldest = |s: &&mut ServerPool<C>| s.idle.first().map_or(Micros::MAX, |(since, _)| *since);
        match self.servers.values_mut().filter(|s| !s.idle.is_empty()).min_by_key(oldest) {
            Some(pool) => {
                pool.idle.remove(0);
                true
            }
            None => false,
        }
    }

    /// How many idle connections a backend has.
    pub fn idle(&self, server: ServerId) -> usize {
        self.servers.get(&server).map_or(0, |s| s.idle.len())
    }
}

#[cfg(test)]
mod tests;
