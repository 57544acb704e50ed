//! Tracks which servers of the endpoint list serve new requests and when they started.

use notchdoor::{Endpoint, Micros, ServerId, ServerState};
use rustc_hash::FxHashMap;

/// Servers that no longer serve are removed once they exceed half of the known servers by this number.
const GONE_ENDPOINT_MARGIN: usize = 64;

struct KnownEndpoint {
    serving: bool,
    started_at: Micros,
}

/// Known servers, including recently listed ones that no longer serve.
#[derive(Default)]
pub(super) struct Endpoints {
    known: FxHashMap<ServerId, KnownEndpoint>,
    /// Number of servers that accept new requests.
    serving: usize,
}

/// Changes by an endpoint list or update that affect circuit breakers.
#[derive(Default)]
pub(super) struct EndpointChanges {
    /// Servers whose start time changed.
    pub(super) restarted: Vec<ServerId>,
    /// Servers that are no longer tracked.
    pub(super) removed: Vec<ServerId>,
}

impl Endpoints {
    /// Number of servers that accept new requests.
    pub(super) fn serving(&self) -> usize {
        self.serving
    }

    /// Whether a server accepts new requests.
    pub(super) fn is_serving(&self, server: ServerId) -> bool {
        self.known.get(&server).is_some_and(|endpoint| endpoint.serving)
    }

    /// Applies an endpoint list (`is_full_list`) or an endpoint update.
    pub(super) fn update(&mut self, endpoints: &[Endpoint], is_full_list: bool) -> EndpointChanges {
        if is_full_list {
            self.known.values_mut().for_each(|endpoint| endpoint.serving = false);
        }
        let mut changes = EndpointChanges::default();
        for endpoint in endpoints {
            let serving = endpoint.state == ServerState::Serving;
            let entry = KnownEndpoint { serving, started_at: endpoint.started_at };
            let previous = self.known.insert(endpoint.server, entry);
            if previous.is_some_and(|previous| previous.started_at != endpoint.started_at) {
                changes.restarted.push(endpoint.server);
            }
        }
        self.serving = self.known.values().filter(|endpoint| endpoint.serving).count();
        // Bounds the size of the map while servers are replaced.
        let not_serving: Vec<ServerId> =
            self.known.iter().filter(|(_, endpoint)| !endpoint.serving).map(|(server, _)| *server).collect();
        if not_serving.len() > self.known.len() / 2 + GONE_ENDPOINT_MARGIN {
            self.known.retain(|_, endpoint| endpoint.serving);
            changes.removed = not_serving;
        }
        changes
    }
}
