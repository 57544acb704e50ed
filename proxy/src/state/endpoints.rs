//! The endpoint list: the servers that discovery lists, their addresses and numbers, and administrative drains.

use super::boot_times::BootTimes;
use super::time::{ClockReading, UnixMicros};
use notchdoor::{Endpoint, Micros, ServerId, ServerState};
use notchdoor_settings::{index_of, DeploymentNames, Millis, Readiness};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use thiserror::Error;

/// Servers in the list; further ones are rejected.
const MAX_BACKENDS: usize = 4096;
/// Backends whose last start is recorded. Beyond that, backends that have left are forgotten.
const MAX_BOOT_TIMES: usize = 2 * MAX_BACKENDS;
/// Longest name of a backend.
const MAX_NAME_BYTES: usize = 256;
/// Unusable targets that are logged individually for one update; of further ones only the number is logged.
const MAX_LOGGED_TARGETS: usize = 4;

/// One entry of the list, as discovery sends it.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// The server's name, the same at every proxy.
    pub uid: String,
    /// The address at which this proxy reaches it.
    pub endpoint: String,
    /// The name of its zone.
    #[serde(default)]
    pub az: String,
    /// The name of its kind.
    #[serde(default)]
    pub model: String,
    /// The number of its cell.
    #[serde(default)]
    pub pod_group: u32,
    /// Its state in discovery.
    pub state: Readiness,
    /// Its size relative to the other backends; 1 if not given.
    #[serde(default = "default_capacity")]
    pub capacity_hint: f64,
    /// Its last start in Unix milliseconds; 0 if it was long ago or is unknown.
    #[serde(default)]
    pub boot_ms: Millis,
}

impl Target {
    /// Its last start by discovery's clock. The conversion keeps whole milliseconds exactly, so that different starts never
    /// look the same.
    fn boot(&self) -> UnixMicros {
        UnixMicros(notchdoor_settings::micros(self.boot_ms))
    }
}

fn default_capacity() -> f64 {
    1.0
}

/// Why a target is rejected.
#[derive(Debug, Error)]
enum UnusableTarget {
    #[error("backend name is too long: {0} bytes, at most {MAX_NAME_BYTES} are allowed")]
    NameTooLong(usize),
    #[error("backend {uid}: invalid endpoint address {start:?}")]
    NoEndpoint { uid: String, start: String },
    #[error("backend {uid} rejected: its number {server} is already used by {other}")]
    SharedNumber { uid: String, other: String, server: ServerId },
    #[error("backend {0} rejected: the list is full")]
    TooMany(String),
}

/// An endpoint update: the whole list or changes to it.
#[derive(Clone, Debug, Deserialize)]
pub struct Update {
    /// The version of the list.
    pub rev: u64,
    /// Whether `targets` is the whole list.
    #[serde(default)]
    pub all: bool,
    /// The listed or changed servers.
    pub targets: Vec<Target>,
}

/// A server in the list: a backend or the origin.
#[derive(Clone, Debug)]
pub struct Backend {
    uid: String,
    /// Its address.
    pub endpoint: SocketAddr,
    /// Whether it is the origin, which speaks HTTP.
    pub origin: bool,
    boot: UnixMicros,
    /// What discovery lists, without administrative drains.
    listed: Endpoint,
    /// Whether it may be sent requests.
    pub serving: bool,
}

impl Backend {
    /// Identifies the server's process by its address and its last start, as reported by discovery.
    pub fn process(&self) -> (SocketAddr, Micros) {
        (self.endpoint, self.boot.0)
    }
}

/// The result of applying an update or a change of drains.
#[derive(Debug, Default)]
pub struct Applied {
    /// The changed endpoints, with administrative drains applied.
    pub members: Vec<Endpoint>,
    /// Whether `members` is the whole list.
    pub all: bool,
    /// Servers whose existing connections must be closed.
    pub dropped: Vec<ServerId>,
}

/// The current endpoint list.
pub struct EndpointList {
    names: DeploymentNames,
    origin_kind: Option<u32>,
    backends: HashMap<ServerId, Backend>,
    /// Names of backends under an administrative drain, listed or not.
    drained: BTreeSet<String>,
    /// Backends whose drain was lifted recently. They go through slow start from that moment, unless discovery reports a
    /// later start: the backend may have been restarted meanwhile, and discovery reports that seconds late.
    put_back: BTreeMap<String, PutBack>,
    start: ClockReading,
    slow_start: Micros,
    boot_times: BootTimes,
    rev: u64,
}

/// Backends under an administrative drain, and those whose drain was lifted recently.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdministrativeDrains {
    /// Names of drained backends, listed or not.
    pub drained: BTreeSet<String>,
    /// For each backend whose drain was lifted, the time of that by the clock of the process that did it.
    pub put_back: BTreeMap<String, UnixMicros>,
}

/// A backend whose drain was lifted.
#[derive(Clone, Copy)]
struct PutBack {
    /// The time by the clock of the process that lifted the drain. Only compared for equality.
    stamp: UnixMicros,
    /// When this process noticed it.
    noticed_at: Micros,
}

/// Largest step of the wall clock that is tolerated between two processes. A backend whose drain was lifted longer ago
/// than this plus its slow start is warm; any other starts its slow start when the process learns of it.
pub const MAX_WALL_CLOCK_STEP: Micros = 3_600_000_000;

/// The number of a server, a hash of its name. It is the same at every proxy and after every restart.
pub fn server_id(uid: &str) -> ServerId {
    let hash = notchdoor::key_hash(uid.as_bytes());
    (hash ^ (hash >> 32)) as ServerId
}

impl EndpointList {
    /// Creates an empty list. `start` is the reading of both clocks at the start of the process.
    pub fn new(
        names: DeploymentNames,
        origin_kind: Option<u32>,
        start: ClockReading,
        slow_start: Micros,
    ) -> Self {
        EndpointList {
            names,
            origin_kind,
            start,
            slow_start,
            boot_times: BootTimes::new(start, slow_start),
            backends: HashMap::new(),
            drained: BTreeSet::new(),
            put_back: BTreeMap::new(),
            rev: 0,
        }
    }

    /// Marks the list as up to date. Starts that discovery reports from here on happened recently.
    pub fn set_current(&mut self) {
        self.boot_times.set_current();
    }

    /// The version of the list, from which a watch continues.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// The server with this number.
    pub fn backend(&self, server: ServerId) -> Option<&Backend> {
        self.backends.get(&server)
    }

    /// All servers that may be sent requests, with their numbers.
    pub fn serving(&self) -> impl Iterator<Item = (ServerId, &Backend)> {
        self.backends.iter().filter(|(_, w)| w.serving).map(|(&id, w)| (id, w))
    }

    /// All listed backends, without the origin.
    pub fn caches(&self) -> impl Iterator<Item = (ServerId, &Backend)> {
        self.backends.iter().filter(|(_, w)| !w.origin).map(|(&id, w)| (id, w))
    }

    /// Whether discovery lists a backend in service, drained by operators or not.
    pub fn lists_any(&self) -> bool {
        self.caches().any(|(_, w)| w.listed.state == ServerState::Serving)
    }

    /// Whether the backend is under an administrative drain.
    pub fn is_drained(&self, backend: &Backend) -> bool {
        self.drained.contains(&backend.uid)
    }

    /// Whether a backend of this name can be drained or put back: it is listed or drained.
    pub fn knows(&self, uid: &str) -> bool {
        self.drained.contains(uid)
            || self.backends.get(&server_id(uid)).is_some_and(|w| w.uid == uid && !w.origin)
    }

    /// Replaces the set of administrative drains.
    pub fn set_drains(&mut self, now: Micros, drains: AdministrativeDrains) -> Applied {
        let put_back = drains
            .put_back
            .into_iter()
            .filter_map(|(uid, stamp)| Some((self.put_back(now, &uid, stamp)?, uid)));
        let put_back = put_back.map(|(record, uid)| (uid, record)).collect();
        (self.drained, self.put_back) = (drains.drained, put_back);
        let mut applied = Applied::default();
        for (&server, backend) in &mut self.backends {
            let member = with_drains(&self.drained, &self.put_back, &backend.uid, &backend.listed);
            let serving = member.state == ServerState::Serving;
            if backend.serving != serving {
                backend.serving = serving;
                if !serving {
                    applied.dropped.push(server);
                }
                applied.members.push(member);
            }
        }
        applied.members.sort_by_key(|m| m.server);
        applied
    }

    /// Interprets a record of the hot-restart file; `None` if the backend is warm by now.
    fn put_back(&self, now: Micros, uid: &str, stamp: UnixMicros) -> Option<PutBack> {
        let known = self.put_back.get(uid).filter(|known| known.stamp == stamp);
        let noticed_at = known.map_or(now, |known| known.noticed_at);
        let warm_after = MAX_WALL_CLOCK_STEP.saturating_add(self.slow_start);
        let warm = stamp.0.saturating_add(warm_after) <= self.start.wall_at(now).0;
        (known.is_some() || !warm).then_some(PutBack { stamp, noticed_at })
    }

    /// Applies an endpoint update. `None` for changes that are older than the list.
    pub fn apply(&mut self, now: Micros, update: Update) -> Option<Applied> {
        if !update.all && update.rev < self.rev {
            return None;
        }
        self.rev = update.rev;
        let mut applied = Applied { all: update.all, ..Applied::default() };
        let boots = update.targets.iter().map(|target| (server_id(&target.uid), target.boot()));
        let corrected = self.boot_times.record_starts(now, boots);
        let (mut named, mut unusable) = (HashSet::new(), 0);
        for target in update.targets {
            match self.apply_target(target, &mut applied.dropped) {
                Ok(member) => {
                    named.insert(member.server);
                    applied.members.push(member);
                }
                // Limited, so that an invalid list that is sent repeatedly does not flood the log.
                Err(error) => {
                    unusable += 1;
                    if unusable <= MAX_LOGGED_TARGETS {
                        log::error!("discovery: {error}");
                    }
                }
            }
        }
        if unusable > MAX_LOGGED_TARGETS {
            log::error!(unusable; "discovery: {unusable} targets of list version {} were rejected", self.rev);
        }
        if update.all {
            for (id, backend) in &self.backends {
                if backend.serving && !named.contains(id) {
                    applied.dropped.push(*id);
                }
            }
            self.backends.retain(|id, _| named.contains(id));
        }
        self.apply_corrected_starts(&corrected, &named, &mut applied);
        self.withdraw_replaced(&mut applied);
        if self.boot_times.len() > MAX_BOOT_TIMES {
            let backends = &self.backends;
            self.boot_times.retain(|server| backends.contains_key(server));
        }
        Some(applied)
    }

    /// Stops the use of servers whose address a process has that started later: they are gone, though still listed.
    fn withdraw_replaced(&mut self, applied: &mut Applied) {
        let mut latest_boots: HashMap<SocketAddr, UnixMicros> = HashMap::new();
        for backend in self.backends.values() {
            let latest = latest_boots.entry(backend.endpoint).or_default();
            *latest = backend.boot.max(*latest);
        }
        for (&server, backend) in self.backends.iter_mut().filter(|(_, backend)| backend.serving) {
            if latest_boots.get(&backend.endpoint).is_none_or(|latest| *latest <= backend.boot) {
                continue;
            }
            log::warn!(
                "discovery: {} is listed at {}, where a later process runs",
                backend.uid,
                backend.endpoint
            );
            backend.serving = false;
            applied.dropped.push(server);
            applied.members.retain(|member| member.server != server);
            applied.members.push(Endpoint { state: ServerState::Draining, ..backend.listed.clone() });
        }
    }

    /// Adds the endpoints with corrected starts that the update itself did not contain.
    fn apply_corrected_starts(
        &mut self,
        corrected: &[(ServerId, Micros)],
        named: &HashSet<ServerId>,
        applied: &mut Applied,
    ) {
        for (server, started_at) in corrected.iter().filter(|(server, _)| !named.contains(server)) {
            if let Some(backend) = self.backends.get_mut(server) {
                backend.listed.started_at = *started_at;
                applied.members.push(with_drains(
                    &self.drained,
                    &self.put_back,
                    &backend.uid,
                    &backend.listed,
                ));
            }
        }
    }

    /// Applies one target. Adds its server to `dropped` if its connections must be closed.
    fn apply_target(
        &mut self,
        target: Target,
        dropped: &mut Vec<ServerId>,
    ) -> Result<Endpoint, UnusableTarget> {
        if target.uid.len() > MAX_NAME_BYTES {
            return Err(UnusableTarget::NameTooLong(target.uid.len()));
        }
        let server = server_id(&target.uid);
        let Ok(endpoint) = target.endpoint.parse::<SocketAddr>() else {
            let start: String = target.endpoint.chars().take(MAX_NAME_BYTES).collect();
            return Err(UnusableTarget::NoEndpoint { uid: target.uid, start });
        };
        // The router identifies servers by number only.
        if let Some(other) = self.backends.get(&server).filter(|w| w.uid != target.uid) {
            return Err(UnusableTarget::SharedNumber { uid: target.uid, other: other.uid.clone(), server });
        }
        if !self.backends.contains_key(&server) && self.backends.len() >= MAX_BACKENDS {
            return Err(UnusableTarget::TooMany(target.uid));
        }
        let gone = target.state == Readiness::Terminated;
        let kind = index_of(&self.names.kinds, &target.model).unwrap_or(u32::MAX);
        let boot = target.boot();
        let listed = Endpoint {
            server,
            kind,
            zone: index_of(&self.names.zones, &target.az).unwrap_or(u32::MAX),
            cell: target.pod_group,
            size: target.capacity_hint,
            started_at: self.boot_times.started_at(server),
            state: ServerState::from(target.state),
        };
        let member = with_drains(&self.drained, &self.put_back, &target.uid, &listed);
        let serving = member.state == ServerState::Serving;
        let origin = self.origin_kind == Some(kind);
        let new = Backend { uid: target.uid, endpoint, origin, boot, listed, serving };
        if let Some(old) = self.backends.insert(server, new) {
            if old.endpoint != endpoint || old.boot != boot || old.origin != origin || !serving {
                dropped.push(server);
            }
        }
        if gone {
            self.backends.remove(&server);
        }
        Ok(member)
    }
}

/// The endpoint as listed, with administrative drains applied.
fn with_drains(
    drained: &BTreeSet<String>,
    put_back: &BTreeMap<String, PutBack>,
    uid: &str,
    listed: &Endpoint,
) -> Endpoint {
    let mut member = listed.clone();
    if member.state == ServerState::Serving && drained.contains(uid) {
        member.state = ServerState::Draining;
    }
    if let Some(put_back) = put_back.get(uid) {
        member.started_at = member.started_at.max(put_back.noticed_at);
    }
    member
}

#[cfg(test)]
mod tests;
