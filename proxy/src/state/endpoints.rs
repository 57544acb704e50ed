//! discovery's list: which backends there are, where, and under which number the module knows them.

use super::boot_times::BootTimes;
use super::time::{ClockReading, UnixMicros};
use notchdoor::{Endpoint, Micros, ServerId, ServerState};
use notchdoor_settings::{index_of, DeploymentNames, Millis, Readiness};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use thiserror::Error;

/// The most backends that are kept, those that are gone included.
const MAX_BACKENDS: usize = 4096;
/// The most backends whose last start is remembered, those that have left included.
const MAX_BOOT_TIMES: usize = 2 * MAX_BACKENDS;
/// The longest name of a backend: it is kept, and stands in log lines.
const MAX_NAME_BYTES: usize = 256;
/// Lines of one update that are told when they cannot be used; of more, the log has their number.
const MAX_LOGGED_TARGETS: usize = 4;

/// One line of the list, as discovery writes it.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// The backend's name, the same at every proxy.
    pub uid: String,
    /// Where this proxy reaches it.
    pub endpoint: String,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its kind.
    #[serde(default)]
    pub model: String,
    /// Its cell.
    #[serde(default)]
    pub pod_group: u32,
    /// Its state.
    pub state: Readiness,
    /// Its size beside the others'.
    #[serde(default = "default_capacity")]
    pub capacity_hint: f64,
    /// Its last start in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub boot_ms: Millis,
}

impl Target {
    /// Its last start by discovery's clock. Whole milliseconds come through without loss: a new start must never look
    /// like the old one.
    fn boot(&self) -> UnixMicros {
        UnixMicros(notchdoor_settings::micros(self.boot_ms))
    }
}

fn default_capacity() -> f64 {
    1.0
}

/// Why a line of the list cannot be used.
#[derive(Debug, Error)]
enum UnusableTarget {
    #[error("a backend's name of {0} bytes, {MAX_NAME_BYTES} at the most")]
    NameTooLong(usize),
    #[error("{uid} has no usable endpoint: {start:?}")]
    NoEndpoint { uid: String, start: String },
    #[error("{uid} and {other} share the number {server}")]
    SharedNumber { uid: String, other: String, server: ServerId },
    #[error("no room for {0}")]
    TooMany(String),
}

/// The whole list, or what has changed in it.
#[derive(Clone, Debug, Deserialize)]
pub struct Update {
    /// The list's version.
    pub rev: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub all: bool,
    /// The lines.
    pub targets: Vec<Target>,
}

/// A backend or the origin, as the proxy reaches it.
#[derive(Clone, Debug)]
pub struct Backend {
    uid: String,
    /// Its address.
    pub endpoint: SocketAddr,
    /// Whether it is the origin, which speaks HTTP.
    pub origin: bool,
    boot: UnixMicros,
    /// The list's line for the module, before operators' drains.
    listed: Endpoint,
    /// Whether it may be sent anything.
    pub serving: bool,
}

impl Backend {
    /// Where it is and discovery's stamp of its start: a backend of which this has changed is another process.
    pub fn process(&self) -> (SocketAddr, Micros) {
        (self.endpoint, self.boot.0)
    }
}

/// What an update comes to.
#[derive(Debug, Default)]
pub struct Applied {
    /// The lines for the module.
    pub members: Vec<Endpoint>,
    /// Whether they are the whole list.
    pub all: bool,
    /// Servers whose old connections are of no more use.
    pub dropped: Vec<ServerId>,
}

/// The list held.
pub struct EndpointList {
    names: DeploymentNames,
    origin_kind: Option<u32>,
    backends: HashMap<ServerId, Backend>,
    /// Backends drained by operators, by name, whether they are listed or not.
    drained: BTreeSet<String>,
    /// Those put back lately: they are taken for started when this process learnt of it, unless the list names a later
    /// start. A backend that was restarted meanwhile must not get a full share: discovery tells of it seconds late.
    put_back: BTreeMap<String, PutBack>,
    start: ClockReading,
    slow_start: Micros,
    boot_times: BootTimes,
    rev: u64,
}

/// Backends that operators have drained, and those that they have put back lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdministrativeDrains {
    /// Drained, by name, whether they are listed or not.
    pub drained: BTreeSet<String>,
    /// Put back, by name, with the stamp of whoever did it.
    pub put_back: BTreeMap<String, UnixMicros>,
}

/// A backend that was put back.
#[derive(Clone, Copy)]
struct PutBack {
    /// The stamp of whoever put it back: it tells one time from another, and no more.
    stamp: UnixMicros,
    /// When this process learnt of it.
    noticed_at: Micros,
}

/// The wall clock may be set by so much between two processes. A backend that was put back longer ago than this and its
/// slow start is warm, whatever the clock says; any other counts as put back when the process learns of it.
pub const MAX_WALL_CLOCK_STEP: Micros = 3_600_000_000;

/// A backend's number: pinned, so that it is the same at every proxy and after every restart.
pub fn server_id(uid: &str) -> ServerId {
    let hash = notchdoor::key_hash(uid.as_bytes());
    (hash ^ (hash >> 32)) as ServerId
}

impl EndpointList {
    /// An empty list.
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

    /// Discovery has been heard: what the list holds is up to date, and a start told from here on is news.
    pub fn set_current(&mut self) {
        self.boot_times.set_current();
    }

    /// The version held, from which a watch goes on.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// The backend of this number.
    pub fn backend(&self, server: ServerId) -> Option<&Backend> {
        self.backends.get(&server)
    }

    /// All backends that serve, with their numbers.
    pub fn serving(&self) -> impl Iterator<Item = (ServerId, &Backend)> {
        self.backends.iter().filter(|(_, w)| w.serving).map(|(&id, w)| (id, w))
    }

    /// The caches in the list; the origin is none.
    pub fn caches(&self) -> impl Iterator<Item = (ServerId, &Backend)> {
        self.backends.iter().filter(|(_, w)| !w.origin).map(|(&id, w)| (id, w))
    }

    /// Whether the list has a cache in service, drained by operators or not.
    pub fn lists_any(&self) -> bool {
        self.caches().any(|(_, w)| w.listed.state == ServerState::Serving)
    }

    /// Whether operators have drained this backend.
    pub fn is_drained(&self, backend: &Backend) -> bool {
        self.drained.contains(&backend.uid)
    }

    /// Whether a cache of this name can be taken out or put back: it is listed, or it is out.
    pub fn knows(&self, uid: &str) -> bool {
        self.drained.contains(uid)
            || self.backends.get(&server_id(uid)).is_some_and(|w| w.uid == uid && !w.origin)
    }

    /// Drains these backends and no others, whatever discovery says.
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

    /// What a stamp in the hot-restart file comes to; `None` for a backend that is warm by now.
    fn put_back(&self, now: Micros, uid: &str, stamp: UnixMicros) -> Option<PutBack> {
        let known = self.put_back.get(uid).filter(|known| known.stamp == stamp);
        let noticed_at = known.map_or(now, |known| known.noticed_at);
        let warm_after = MAX_WALL_CLOCK_STEP.saturating_add(self.slow_start);
        let warm = stamp.0.saturating_add(warm_after) <= self.start.wall_at(now).0;
        (known.is_some() || !warm).then_some(PutBack { stamp, noticed_at })
    }

    /// Takes a list or changes. `None` for changes older than what is held.
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
                // One bad list, sent over and over, would fill the log.
                Err(error) => {
                    unusable += 1;
                    if unusable <= MAX_LOGGED_TARGETS {
                        log::error!("discovery: {error}");
                    }
                }
            }
        }
        if unusable > MAX_LOGGED_TARGETS {
            log::error!(unusable; "discovery: {unusable} lines of version {} cannot be used", self.rev);
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
        if self.boot_times.len() > MAX_BOOT_TIMES {
            let backends = &self.backends;
            self.boot_times.retain(|server| backends.contains_key(server));
        }
        Some(applied)
    }

    /// Tells other starts of backends that this update did not name.
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

    /// Takes up one line; the error says why it cannot be used.
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
        // The router would take the two for one.
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
            if old.endpoint != endpoint || old.boot != boot || !serving {
                dropped.push(server);
            }
        }
        if gone {
            self.backends.remove(&server);
        }
        Ok(member)
    }
}

/// What the module is told of a backend: the stricter of the list's line and operators' drains.
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
