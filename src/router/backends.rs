//! Server records, the endpoint list, and the weights used by placement.

use super::congestion_window::{CongestionWindow, Target};
use super::outlier_detection::Health;
use super::placement::PlacementTable;
use super::slow_start::{self, SlowStartBudget};
use crate::interface::{Endpoint, Key, Micros, ServerId, ServerState, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// The minimum time between two weight updates of a fleet of up to [`SERVERS_PER_UPDATE_INTERVAL`] servers. A
/// warming cache gains a little weight in each.
const WEIGHT_UPDATE_INTERVAL: Micros = 100_000;
/// The update interval grows by [`WEIGHT_UPDATE_INTERVAL`] for each this many servers, to bound the CPU time.
const SERVERS_PER_UPDATE_INTERVAL: u64 = 256;
/// The minimum size assumed for a listed server.
const MIN_SIZE: f64 = 1e-3;

/// The index of a server's record.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct BackendIndex(usize);

/// Whether an update contains all servers or only changed ones.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ListUpdate {
    /// Servers that the update does not contain are gone.
    Full,
    /// Servers that the update does not contain are unchanged.
    Incremental,
}

/// The state kept for one server.
pub(super) struct Backend {
    pub(super) endpoint: Endpoint,
    pub(super) health: Health,
    pub(super) window: CongestionWindow,
    pub(super) slow_start: SlowStartBudget,
    /// Since when the process that now runs is known. One that is known since later may have started since.
    pub(super) process_known_since: Micros,
    /// Attempts that have not ended.
    pub(super) outstanding: u32,
    /// Attempts of in-flight requests that refer to this record. It can be reused only if there are none.
    references: u32,
    /// Its placement weight: size multiplied by the current share of full capacity; 0 if it takes no reads.
    pub(super) weight: f64,
}

impl Backend {
    fn new(now: Micros, endpoint: Endpoint, settings: &Settings) -> Self {
        Backend {
            endpoint,
            health: Health::default(),
            window: CongestionWindow::new(Target::Cache, settings),
            slow_start: SlowStartBudget::new(now),
            process_known_since: now,
            outstanding: 0,
            references: 0,
            weight: 0.0,
        }
    }

    pub(super) fn is_serving(&self) -> bool {
        self.endpoint.state == ServerState::Serving
    }

    pub(super) fn is_warming_up(&self, settings: &Settings, now: Micros) -> bool {
        slow_start::capacity_share(settings, self.endpoint.started_at, now) < 1.0
    }

    pub(super) fn record_sent(&mut self) {
        self.outstanding += 1;
        self.references += 1;
    }

    /// Releases the reference of an attempt whose request has been removed.
    pub(super) fn release_reference(&mut self) {
        self.references -= 1;
    }

    fn is_origin(&self, settings: &Settings) -> bool {
        settings.origin_kind == Some(self.endpoint.kind)
    }

    fn update(&mut self, now: Micros, endpoint: &Endpoint, settings: &Settings) {
        // A new start time means a new process, so statistics of the old one do not apply.
        if endpoint.started_at != self.endpoint.started_at {
            self.health = Health::default();
            self.window.reset_for_new_process(settings);
            self.slow_start = SlowStartBudget::new(now);
            self.process_known_since = now;
        }
        let size = self.endpoint.size;
        self.endpoint = endpoint.clone();
        // Use the peak of sizes that vary with load, or keys would move with every list.
        if settings.sizes_vary_with_load {
            self.endpoint.size = size.max(endpoint.size);
        }
    }

    fn compute_weight(&self, now: Micros, settings: &Settings) -> f64 {
        if !self.is_serving() || self.is_origin(settings) {
            return 0.0;
        }
        let capacity = slow_start::capacity_share(settings, self.endpoint.started_at, now);
        self.endpoint.size.max(MIN_SIZE) * capacity
    }
}

/// All servers that are listed or referred to by an attempt of an in-flight request.
#[derive(Default)]
pub(super) struct Backends {
    records: Vec<Backend>,
    by_id: BTreeMap<ServerId, BackendIndex>,
    origins: Vec<BackendIndex>,
    placement: PlacementTable,
    total_weight: f64,
    weights_updated_at: Micros,
}

impl Index<BackendIndex> for Backends {
    type Output = Backend;

    fn index(&self, index: BackendIndex) -> &Backend {
        &self.records[index.0]
    }
}

impl IndexMut<BackendIndex> for Backends {
    fn index_mut(&mut self, index: BackendIndex) -> &mut Backend {
        &mut self.records[index.0]
    }
}

impl Backends {
    /// Applies a full endpoint list or an incremental update.
    pub(super) fn apply(
        &mut self,
        now: Micros,
        endpoints: &[Endpoint],
        update: ListUpdate,
        settings: &Settings,
    ) {
        if update == ListUpdate::Full {
            for backend in &mut self.records {
                backend.endpoint.state = ServerState::Gone;
            }
        }
        let mut reusable = self.reusable_records(endpoints);
        for endpoint in endpoints {
            match self.by_id.get(&endpoint.server) {
                Some(&index) => self[index].update(now, endpoint, settings),
                None if endpoint.state == ServerState::Gone => {}
                None => self.insert(Backend::new(now, endpoint.clone(), settings), reusable.pop()),
            }
        }
    }

    /// Recomputes the weights and the placement table.
    pub(super) fn update_weights(&mut self, now: Micros, settings: &Settings) {
        self.weights_updated_at = now;
        self.total_weight = 0.0;
        for backend in &mut self.records {
            backend.weight = backend.compute_weight(now, settings);
            self.total_weight += backend.weight;
        }
        let caches = self.records.iter().enumerate().filter(|(_, backend)| backend.weight > 0.0);
        self.placement
            .rebuild(caches.map(|(i, backend)| (backend.endpoint.server, backend.weight, BackendIndex(i))));
        let origins = self.records.iter().enumerate().filter(|(_, backend)| backend.is_origin(settings));
        self.origins = origins.map(|(i, _)| BackendIndex(i)).collect();
    }

    /// Returns whether the weights are due for an update.
    pub(super) fn weights_are_stale(&self, now: Micros) -> bool {
        let interval =
            WEIGHT_UPDATE_INTERVAL * (self.records.len() as u64).div_ceil(SERVERS_PER_UPDATE_INTERVAL);
        now.saturating_sub(self.weights_updated_at) >= interval
    }

    /// Returns the caches for a key, best first.
    pub(super) fn rank(&self, key: Key) -> Vec<BackendIndex> {
        self.placement.rank(key)
    }

    /// Returns the serving origin server with the fewest outstanding attempts.
    pub(super) fn origin(&self) -> Option<BackendIndex> {
        let serving = self.origins.iter().copied().filter(|&index| self[index].is_serving());
        serving.min_by_key(|&index| self[index].outstanding)
    }

    /// Returns the number of caches that take reads.
    pub(super) fn cache_count(&self) -> usize {
        self.placement.len()
    }

    /// Returns the sum of the weights of all caches that take reads.
    pub(super) fn total_weight(&self) -> f64 {
        self.total_weight
    }

    /// Returns a cache's share of the total weight; `None` if the total weight is 0.
    pub(super) fn fair_share(&self, index: BackendIndex) -> Option<f64> {
        (self.total_weight > 0.0).then(|| self[index].weight / self.total_weight)
    }

    /// Iterates over all records, including those of gone servers.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.records.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        self.records.iter_mut()
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the records that new servers can reuse, so that the number of records does not grow with every
    /// replaced server.
    fn reusable_records(&self, endpoints: &[Endpoint]) -> Vec<BackendIndex> {
        let listed: BTreeSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
        let unused = |backend: &Backend| {
            backend.endpoint.state == ServerState::Gone
                && backend.references == 0
                && !listed.contains(&backend.endpoint.server)
        };
        let records = self.records.iter().enumerate();
        records.filter(|(_, backend)| unused(backend)).map(|(i, _)| BackendIndex(i)).collect()
    }

    fn insert(&mut self, backend: Backend, reused: Option<BackendIndex>) {
        let server = backend.endpoint.server;
        let index = match reused {
            Some(index) => {
                let replaced = std::mem::replace(&mut self[index], backend);
                self.by_id.remove(&replaced.endpoint.server);
                index
            }
            None => {
                self.records.push(backend);
                BackendIndex(self.records.len() - 1)
            }
        };
        self.by_id.insert(server, index);
    }
}
