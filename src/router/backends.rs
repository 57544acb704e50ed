//! The record of each server, the fleet's endpoint list, and the weights that placement goes by.

use super::congestion_window::{CongestionWindow, Target};
use super::outlier_detection::Health;
use super::placement::PlacementTable;
use super::slow_start::{self, SlowStartBudget};
use crate::interface::{Endpoint, Key, Micros, ServerId, ServerState, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// The least time between two computations of the weights of a small fleet, in microseconds: a warming cache
/// gains a little weight in each.
const WEIGHT_UPDATE_INTERVAL: Micros = 100_000;
/// A fleet of more servers is weighed less often in proportion: it takes the same time however many there
/// are.
const SERVERS_PER_UPDATE_INTERVAL: u64 = 256;
/// The least size that a listed server counts with.
const MIN_SIZE: f64 = 1e-3;

/// The place of a server's record.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct BackendIndex(usize);

/// Whether an update names all servers or the changed ones alone.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ListUpdate {
    /// Servers that it lacks are gone.
    Full,
    /// Servers that it lacks are unchanged.
    Incremental,
}

/// What is known of one server.
pub(super) struct Backend {
    pub(super) endpoint: Endpoint,
    pub(super) health: Health,
    pub(super) window: CongestionWindow,
    pub(super) slow_start: SlowStartBudget,
    /// Attempts that have not ended.
    pub(super) outstanding: u32,
    /// Attempts of in-flight requests that name it: its record is another's only once there are none.
    references: u32,
    /// Its weight in placement: its size by its share of its full capacity; 0 if it takes no reads.
    pub(super) weight: f64,
}

impl Backend {
    fn new(now: Micros, endpoint: Endpoint, settings: &Settings) -> Self {
        Backend {
            endpoint,
            health: Health::default(),
            window: CongestionWindow::new(Target::Cache, settings),
            slow_start: SlowStartBudget::new(now),
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

    /// Notes that an attempt has been sent.
    pub(super) fn record_sent(&mut self) {
        self.outstanding += 1;
        self.references += 1;
    }

    /// Notes that a request is forgotten one of whose attempts was sent here.
    pub(super) fn release_reference(&mut self) {
        self.references -= 1;
    }

    fn is_origin(&self, settings: &Settings) -> bool {
        settings.origin_kind == Some(self.endpoint.kind)
    }

    fn update(&mut self, now: Micros, endpoint: &Endpoint, settings: &Settings) {
        // A new start is a new process: what was learnt of the old one is void.
        if endpoint.started_at != self.endpoint.started_at {
            self.health = Health::default();
            self.window.reset_for_new_process(settings);
            self.slow_start = SlowStartBudget::new(now);
        }
        let size = self.endpoint.size;
        self.endpoint = endpoint.clone();
        // A size that follows the load of the moment counts by its peak, or keys would move with every list.
        if settings.sizes_are_live {
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

/// All servers that are listed, or that an attempt of an in-flight request names.
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
    /// Takes an endpoint list, or changes to it.
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

    /// Computes the weights and the placement table anew.
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

    /// Whether the weights are old enough to be computed anew.
    pub(super) fn weights_are_stale(&self, now: Micros) -> bool {
        let interval =
            WEIGHT_UPDATE_INTERVAL * (self.records.len() as u64).div_ceil(SERVERS_PER_UPDATE_INTERVAL);
        now.saturating_sub(self.weights_updated_at) >= interval
    }

    /// The caches for a key, best first.
    pub(super) fn rank(&self, key: Key) -> Vec<BackendIndex> {
        self.placement.rank(key)
    }

    /// The origin's instance that is in service with the fewest attempts outstanding.
    pub(super) fn origin(&self) -> Option<BackendIndex> {
        let serving = self.origins.iter().copied().filter(|&index| self[index].is_serving());
        serving.min_by_key(|&index| self[index].outstanding)
    }

    /// Caches that take reads.
    pub(super) fn cache_count(&self) -> usize {
        self.placement.len()
    }

    /// The weight of all caches that take reads.
    pub(super) fn total_weight(&self) -> f64 {
        self.total_weight
    }

    /// The share of all reads that a cache has by its weight; `None` if there is no weight.
    pub(super) fn fair_share(&self, index: BackendIndex) -> Option<f64> {
        (self.total_weight > 0.0).then(|| self[index].weight / self.total_weight)
    }

    /// All records, those of servers that are gone included.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.records.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        self.records.iter_mut()
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Records of servers that are gone for good: without reuse there would be one for every server that ever
    /// was.
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
