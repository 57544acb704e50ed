//! Read-only views of a router's state, for checks, metrics and charts.

use super::Router;
use crate::interface::{RequestId, ServerId, ServerState};

/// The state of a router at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouterSnapshot {
    /// Requests that are open, or done with outstanding attempts.
    pub in_flight_requests: usize,
    /// Outstanding attempts at all servers.
    pub in_flight_attempts: u64,
    /// Shared fetches in flight.
    pub coalesced_fetches: usize,
    /// Reads that wait for a shared fetch.
    pub coalesced_waiters: usize,
    /// Server records, including those of gone servers.
    pub servers: usize,
    /// Keys counted in the current and the previous epoch.
    pub counted_keys: usize,
    /// The origin's congestion window, in attempts.
    pub window: f64,
    /// Servers ejected by outlier detection.
    pub ejected: usize,
    /// Evaluations of the whole fleet by outlier detection since the start.
    pub fleet_evaluations: u64,
    /// Requests of known tenants admitted within quota since the start.
    pub admitted_within_quota: u64,
    /// Requests of known tenants admitted beyond quota since the start.
    pub admitted_beyond_quota: u64,
    /// Requests rejected on arrival because they were beyond quota, since the start.
    pub rejected_by_quota: u64,
}

/// The requests and attempts in flight at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Requests that are open, or done with outstanding attempts.
    pub requests: usize,
    /// Attempts that occupy a slot of a congestion window.
    pub attempts: u64,
}

impl Router {
    /// Returns the current state. Takes time linear in the number of servers and of shared fetches.
    pub fn snapshot(&self) -> RouterSnapshot {
        let quota_counts = self.quotas.counts();
        RouterSnapshot {
            in_flight_requests: self.in_flight.len(),
            in_flight_attempts: self.backends.iter().map(|backend| u64::from(backend.outstanding)).sum(),
            coalesced_fetches: self.coalesced_fetches.len(),
            coalesced_waiters: self.coalesced_fetches.waiters(),
            servers: self.backends.len(),
            counted_keys: self.key_counts.len(),
            window: self.origin_window.size(),
            ejected: self.backends.iter().filter(|backend| backend.health.is_ejected()).count(),
            fleet_evaluations: self.outliers.evaluations(),
            admitted_within_quota: quota_counts.admitted_within,
            admitted_beyond_quota: quota_counts.admitted_beyond,
            rejected_by_quota: quota_counts.rejected,
        }
    }

    /// Whether a request still needs its final answer.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.in_flight.get(&id).is_some_and(|request| !request.is_done())
    }

    /// Whether a reply is being streamed to the client of a request, or compared with the part that the client has.
    pub fn is_streaming(&self, id: RequestId) -> bool {
        self.in_flight.get(&id).is_some_and(|request| request.streaming.is_some())
    }

    /// Returns the listed servers that are ejected by outlier detection.
    pub fn ejected_servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        let listed = self.backends.iter().filter(|backend| backend.endpoint.state != ServerState::Gone);
        listed.filter(|backend| backend.health.is_ejected()).map(|backend| backend.endpoint.server)
    }

    /// Returns the requests and attempts in flight, in constant time.
    pub fn in_flight(&self) -> InFlight {
        let attempts =
            u64::from(self.origin_window.in_flight()) + u64::from(self.all_caches_window.in_flight());
        InFlight { requests: self.in_flight.len(), attempts }
    }
}
