//! The servers of the endpoint list, as far as the layer needs them.

use notchdoor::{Endpoint, Micros, ServerId, ServerState};
use rustc_hash::FxHashMap;

/// Servers that are gone are forgotten once they are half of all and so many more.
const GONE_ENDPOINT_MARGIN: usize = 64;

struct KnownEndpoint {
    serving: bool,
    started_at: Micros,
}

/// Every server that was listed lately.
#[derive(Default)]
pub(super) struct Endpoints {
    known: FxHashMap<ServerId, KnownEndpoint>,
    /// How many of them take what is new.
    serving: usize,
}

/// What a list says that circuit breakers have to know.
#[derive(Default)]
pub(super) struct EndpointChanges {
    /// Servers that have started anew.
    pub(super) restarted: Vec<ServerId>,
    /// Servers that are forgotten.
    pub(super) removed: Vec<ServerId>,
}

impl Endpoints {
    /// How many servers take new requests.
    pub(super) fn serving(&self) -> usize {
        self.serving
    }

    /// Whether a server takes new requests.
    pub(super) fn is_serving(&self, server: ServerId) -> bool {
        self.known.get(&server).is_some_and(|endpoint| endpoint.serving)
    }

    /// A whole list or a change of it.
    pub(super) fn update(&mut self, endpoints: &[Endpoint], is_full_list: bool) -> EndpointChanges {
        if is_full_list {
            self.known.values_mut().for_each(|endpoint| endpoint.serving = false);
        }
        let mut update = EndpointChanges::default();
        for endpoint in endpoints {
            let serving = endpoint.state == ServerState::Serving;
            let entry = KnownEndpoint { serving, started_at: endpoint.started_at };
            let previous = self.known.insert(endpoint.server, entry);
            if previous.is_some_and(|previous| previous.started_at != endpoint.started_at) {
                update.restarted.push(endpoint.server);
            }
        }
        self.serving = self.known.values().filter(|endpoint| endpoint.serving).count();
        // Without this the map would keep every server that there ever was.
        let not_serving: Vec<ServerId> =
            self.known.iter().filter(|(_, endpoint)| !endpoint.serving).map(|(server, _)| *server).collect();
        if not_serving.len() > self.known.len() / 2 + GONE_ENDPOINT_MARGIN {
            self.known.retain(|_, endpoint| endpoint.serving);
            update.removed = not_serving;
        }
        update
    }
}
