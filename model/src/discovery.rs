//! The discovery service: the list of backends, told late, by one queue of calls, or not at all while it is down.

use crate::time::{rng, Purpose, Time};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A server's number; the same for every proxy.
pub type ServerId = u32;

/// What a line says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// In service.
    Serving,
    /// It finishes its work.
    Draining,
    /// Gone; only among changes.
    Gone,
}

/// One line of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The server.
    pub server: ServerId,
    /// Its kind of machine.
    pub kind: u32,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its listed size.
    pub size: f64,
    /// When it last started; 0 for long ago.
    pub started: Time,
    /// What it is said to be.
    pub state: ListedState,
}

/// What one proxy is told.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// The whole list.
    FullList(Rc<Vec<EndpointEntry>>),
    /// Changes.
    Changes(Rc<Vec<EndpointEntry>>),
    /// A call failed or the watch ended.
    Error,
}

/// Something on its way from the discovery service to a proxy.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// When the proxy hears it.
    pub at: Time,
    /// The proxy.
    pub proxy: u32,
    /// What it hears.
    pub update: EndpointUpdate,
}

/// The figures of the discovery service.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// From a server's start until it is listed.
    pub add_delay: Time,
    /// From a server's drain or end until that is listed.
    pub removal_delay: Time,
    /// From a machine's falling silent until that is listed.
    pub silent_removal_delay: Time,
    /// Changes are published this often.
    pub publish_period: Time,
    /// And reach each watcher within this.
    pub max_delivery_delay: Time,
    /// What a call takes, and each line of its answer.
    pub call_time: Time,
    /// What each line of an answer takes.
    pub call_time_per_endpoint: Time,
    /// A call that waits longer fails.
    pub call_timeout: Time,
}

/// The discovery service.
pub struct Discovery {
    config: Config,
    rng: ChaCha8Rng,
    endpoints: BTreeMap<ServerId, EndpointEntry>,
    /// Changes by when they are listed.
    pending: BTreeMap<(Time, u64), EndpointEntry>,
    /// Changes listed and not published.
    unpublished: Vec<EndpointEntry>,
    publish_at: Option<Time>,
    sequence: u64,
    watchers: BTreeSet<u32>,
    /// Calls by when their answer is ready.
    pending_calls: BTreeMap<(Time, u64), u32>,
    queue_free_at: Time,
    down_until: Time,
    /// When each proxy hears what it was told last: what is told later is heard later.
    last_delivery: BTreeMap<u32, Time>,
    /// The whole list as it stands, once somebody has asked for it.
    cached_list: Option<Rc<Vec<EndpointEntry>>>,
}

impl Discovery {
    /// A discovery service that holds these lines.
    pub fn new(config: Config, endpoints: impl IntoIterator<Item = EndpointEntry>, seed: u64) -> Self {
        Discovery {
            config,
            rng: rng(seed, Purpose::Discovery),
            endpoints: endpoints.into_iter().map(|l| (l.server, l)).collect(),
            pending: BTreeMap::new(),
            unpublished: Vec::new(),
            publish_at: None,
            sequence: 0,
            watchers: BTreeSet::new(),
            pending_calls: BTreeMap::new(),
            queue_free_at: 0,
            down_until: 0,
            last_delivery: BTreeMap::new(),
            cached_list: None,
        }
    }

    /// The list as it stands.
    pub fn list(&mut self) -> Rc<Vec<EndpointEntry>> {
        let endpoints = &self.endpoints;
        Rc::clone(self.cached_list.get_or_insert_with(|| Rc::new(endpoints.values().copied().collect())))
    }

    /// A server has changed; `silent` if it said nothing as it went.
    pub fn schedule_change(&mut self, now: Time, endpoint: EndpointEntry, silent: bool) {
        let delay = match endpoint.state {
            _ if silent => self.config.silent_removal_delay,
            ListedState::Serving => self.config.add_delay,
            ListedState::Draining | ListedState::Gone => self.config.removal_delay,
        };
        self.sequence += 1;
        self.pending.insert((now + delay, self.sequence), endpoint);
    }

    /// A silent machine is back before it was listed as gone: what was coming for it is not told.
    pub fn discard_pending(&mut self, server: ServerId) {
        self.pending.retain(|_, endpoint| endpoint.server != server);
    }

    /// It is down until `until`: watches end, and calls fail.
    pub fn fail_until(&mut self, now: Time, until: Time, deliveries: &mut Vec<Delivery>) {
        self.down_until = self.down_until.max(until);
        let pending_calls = std::mem::take(&mut self.pending_calls).into_values();
        for proxy in std::mem::take(&mut self.watchers).into_iter().chain(pending_calls) {
            self.deliver(now, proxy, EndpointUpdate::Error, deliveries);
        }
    }

    fn deliver(&mut self, now: Time, proxy: u32, update: EndpointUpdate, deliveries: &mut Vec<Delivery>) {
        let at = now + self.rng.random_range(0..=self.config.max_delivery_delay);
        let at = self.last_delivery.get(&proxy).map_or(at, |&last_delivery| at.max(last_delivery + 1));
        self.last_delivery.insert(proxy, at);
        deliveries.push(Delivery { at, proxy, update });
    }

    /// A proxy asks to watch. The whole list comes once its turn is over; a call that waits too long fails.
    pub fn watch(&mut self, now: Time, proxy: u32, deliveries: &mut Vec<Delivery>) {
        let begin = self.queue_free_at.max(now);
        if now < self.down_until || begin > now + self.config.call_timeout {
            self.deliver(now + self.config.call_timeout, proxy, EndpointUpdate::Error, deliveries);
            return;
        }
        let cost = self.config.call_time + self.config.call_time_per_endpoint * self.endpoints.len() as Time;
        self.queue_free_at = begin + cost;
        self.sequence += 1;
        self.pending_calls.insert((self.queue_free_at, self.sequence), proxy);
    }

    /// Whether a proxy watches or has a call out.
    pub fn is_watching(&self, proxy: u32) -> bool {
        self.watchers.contains(&proxy) || self.pending_calls.values().any(|&p| p == proxy)
    }

    /// A proxy is gone: its watch ends.
    pub fn remove_proxy(&mut self, proxy: u32) {
        self.watchers.remove(&proxy);
        self.pending_calls.retain(|_, p| *p != proxy);
        self.last_delivery.remove(&proxy);
    }

    /// When it wants to be advanced next.
    pub fn wake_at(&self) -> Option<Time> {
        let listed = self.pending.first_key_value().map(|((at, _), _)| *at);
        let answered = self.pending_calls.first_key_value().map(|((at, _), _)| *at);
        listed.into_iter().chain(answered).chain(self.publish_at).min()
    }

    /// Passes time up to `now`; appends what proxies are told.
    pub fn advance(&mut self, now: Time, deliveries: &mut Vec<Delivery>) {
        while let Some(entry) = self.pending.first_entry().filter(|e| e.key().0 <= now) {
            let endpoint = entry.remove();
            self.cached_list = None;
            if endpoint.state == ListedState::Gone {
                self.endpoints.remove(&endpoint.server);
            } else {
                self.endpoints.insert(endpoint.server, endpoint);
            }
            self.unpublished.push(endpoint);
            let publish_period = self.config.publish_period.max(1);
            self.publish_at.get_or_insert((now / publish_period + 1) * publish_period);
        }
        if self.publish_at.is_some_and(|at| at <= now) {
            self.publish_at = None;
            let changes = Rc::new(std::mem::take(&mut self.unpublished));
            for proxy in self.watchers.clone() {
                self.deliver(now, proxy, EndpointUpdate::Changes(Rc::clone(&changes)), deliveries);
            }
        }
        while let Some(entry) = self.pending_calls.first_entry().filter(|e| e.key().0 <= now) {
            let proxy = entry.remove();
            self.watchers.insert(proxy);
            let cached_list = self.list();
            self.deliver(now, proxy, EndpointUpdate::FullList(cached_list), deliveries);
        }
    }
}
