//! Distinguishes an unreachable endpoint from a network failure of this machine.

use std::collections::HashMap;
use std::net::SocketAddr;

/// Maximum number of unreachable endpoints tracked; all are forgotten when another one would exceed it.
const MAX_ENDPOINTS: usize = 4096;

/// Tracks the endpoints whose network path failed recently.
///
/// "No route" and "host unreachable" occur if an endpoint is gone, but also, for every endpoint, if this machine's network
/// fails. To avoid ejecting the whole fleet in the latter case, a path failure counts against an endpoint only if the path
/// failed twice in a row and another endpoint was reached in between.
#[derive(Debug, Default)]
pub struct Reachability {
    /// The endpoints whose last attempt failed, with whether another endpoint has been reached since.
    unreachable: HashMap<SocketAddr, bool>,
}

impl Reachability {
    /// Records that an endpoint was reached: it accepted a connection or replied on one.
    pub fn reached(&mut self, endpoint: SocketAddr) {
        if self.unreachable.is_empty() {
            return;
        }
        self.unreachable.remove(&endpoint);
        for other_reached in self.unreachable.values_mut() {
            *other_reached = true;
        }
    }

    /// Records a path failure to an endpoint. Returns whether it counts against the endpoint rather than this machine.
    pub fn failed(&mut self, endpoint: SocketAddr) -> bool {
        if let Some(&other_reached) = self.unreachable.get(&endpoint) {
            return other_reached;
        }
        if self.unreachable.len() >= MAX_ENDPOINTS {
            self.unreachable.clear();
        }
        self.unreachable.insert(endpoint, false);
        false
    }
}
