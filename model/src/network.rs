//! Zones and links, silent machines, and connections from proxies to servers.

use crate::time::Time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// Delays and partitions between zones.
pub struct Network {
    delay_within_zone: Time,
    delays: Vec<Vec<Time>>,
    jitter: f64,
    cut_links: BTreeSet<(u32, u32)>,
}

impl Network {
    /// Creates `zones` zones. One-way delays are fixed within a zone and drawn from `cross_range` between
    /// two.
    pub fn new(
        zones: u32,
        delay_within_zone: Time,
        cross_range: (Time, Time),
        jitter: f64,
        rng: &mut ChaCha8Rng,
    ) -> Self {
        let n = zones as usize;
        let mut delays = vec![vec![delay_within_zone; n]; n];
        for (a, b) in (0..n).flat_map(|a| (a + 1..n).map(move |b| (a, b))) {
            let delay = rng.random_range(cross_range.0..=cross_range.1.max(cross_range.0));
            delays[a][b] = delay;
            delays[b][a] = delay;
        }
        Network { delay_within_zone, delays, jitter, cut_links: BTreeSet::new() }
    }

    /// Cuts all links of a zone to other zones, or restores them.
    pub fn set_zone_isolated(&mut self, zone: u32, isolated: bool) {
        for other in (0..self.delays.len() as u32).filter(|&o| o != zone) {
            let link = (zone.min(other), zone.max(other));
            if isolated {
                self.cut_links.insert(link);
            } else {
                self.cut_links.remove(&link);
            }
        }
    }

    /// Whether messages from one zone arrive in the other.
    pub fn is_reachable(&self, a: u32, b: u32) -> bool {
        a == b || !self.cut_links.contains(&(a.min(b), a.max(b)))
    }

    /// One-way delay without jitter.
    pub fn base_delay(&self, a: u32, b: u32) -> Time {
        self.delays
            .get(a as usize)
            .and_then(|row| row.get(b as usize))
            .copied()
            .unwrap_or(self.delay_within_zone)
    }

    /// Draws the one-way delay of one message.
    pub fn delay(&self, a: u32, b: u32, rng: &mut ChaCha8Rng) -> Time {
        let base_delay = self.base_delay(a, b) as f64;
        (base_delay * (1.0 + self.jitter * rng.random::<f64>())) as Time
    }
}

/// How a request obtains its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// An open connection has a free stream.
    Reused,
    /// A new connection has to be opened.
    New,
}

#[derive(Clone, Copy, Default)]
struct Pool {
    open: u32,
    busy: u32,
    last_used: Time,
}

/// Connection pools of the proxies, one per server. A server closes the connections of a pool that is unused
/// for the idle timeout.
pub struct Connections {
    streams_per_connection: u32,
    idle_timeout: Time,
    pools: FxHashMap<(u32, u32), Pool>,
}

impl Connections {
    /// Creates empty pools for connections with this many concurrent streams and this idle timeout.
    pub fn new(streams_per_connection: u32, idle_timeout: Time) -> Self {
        Connections {
            streams_per_connection: streams_per_connection.max(1),
            idle_timeout,
            pools: FxHashMap::default(),
        }
    }

    /// Takes a stream for a request. Returns whether its connection is new, and how many connections the
    /// server had closed for idleness.
    pub fn acquire(&mut self, now: Time, proxy: u32, server: u32) -> (Connection, u32) {
        let pool = self.pools.entry((proxy, server)).or_default();
        let mut closed = 0;
        if pool.busy == 0 && pool.open > 0 && now.saturating_sub(pool.last_used) >= self.idle_timeout {
            closed = std::mem::take(&mut pool.open);
        }
        pool.busy += 1;
        pool.last_used = now;
        if pool.busy <= pool.open.saturating_mul(self.streams_per_connection) {
            return (Connection::Reused, closed);
        }
        pool.open += 1;
        (Connection::New, closed)
    }

    /// Returns a stream; `closed` if its connection was closed with it.
    pub fn release(&mut self, now: Time, proxy: u32, server: u32, closed: bool) {
        if let Some(pool) = self.pools.get_mut(&(proxy, server)) {
            pool.busy = pool.busy.saturating_sub(1);
            pool.open -= u32::from(closed && pool.open > 0);
            pool.last_used = now;
        }
    }

    /// Closes all connections to a stopped server.
    pub fn close_server(&mut self, server: u32) {
        self.pools.retain(|(_, m), _| *m != server);
    }

    /// Closes all connections of a stopped proxy. Returns the affected servers with their connection counts,
    /// sorted by server.
    pub fn close_proxy(&mut self, proxy: u32) -> Vec<(u32, u32)> {
        let mut lost: Vec<(u32, u32)> = Vec::new();
        self.pools.retain(|(p, m), pool| {
            if *p == proxy {
                lost.push((*m, pool.open));
            }
            *p != proxy
        });
        lost.sort_unstable();
        lost
    }

    /// Streams in use from this proxy to this server.
    pub fn streams_in_use(&self, proxy: u32, server: u32) -> u32 {
        self.pools.get(&(proxy, server)).map_or(0, |p| p.busy)
    }

    /// Number of pools.
    pub fn pool_count(&self) -> usize {
        self.pools.len()
    }
}

/// Machines that neither send nor receive, with the end of their silence.
#[derive(Default)]
pub struct SilentMachines {
    until: FxHashMap<u32, Time>,
}

impl SilentMachines {
    /// Silences a machine until `until`, or longer if it already is.
    pub fn begin(&mut self, server: u32, until: Time) {
        let entry = self.until.entry(server).or_insert(0);
        *entry = (*entry).max(until);
    }

    /// Ends the silence of a machine.
    pub fn end(&mut self, server: u32) {
        self.until.remove(&server);
    }

    /// Whether a machine is silent at `now`.
    pub fn is_silent(&self, server: u32, now: Time) -> bool {
        self.until.get(&server).copied().unwrap_or(0) > now
    }
}
