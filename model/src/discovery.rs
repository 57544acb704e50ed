//! Discovery service: publishes endpoint updates with a delay, answers calls from a single queue and has
//! outages.

use crate::time::{rng, Purpose, Time};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Server number, the same for all proxies.
pub type ServerId = u32;

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// In service.
    Serving,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Removed; occurs only in updates.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Server number.
    pub server: ServerId,
    /// Index of the machine kind.
    pub kind: u32,
    /// Zone of the server.
    pub zone: u32,
    /// Cell of the server.
    pub cell: u32,
    /// Listed size, a relative capacity.
    pub size: f64,
    /// Time of the last start; 0 if it was running before the simulation began.
    pub started: Time,
    /// Listed state.
    pub state: ListedState,
}

/// A message from the discovery service to a proxy.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// The complete endpoint list, in answer to a call.
    FullList(Rc<Vec<EndpointEntry>>),
    /// Changed entries.
    Changes(Rc<Vec<EndpointEntry>>),
    /// A call failed or a watch ended.
    Error,
}

/// An endpoint update on its way to a proxy.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// Time at which the proxy receives it.
    pub at: Time,
    /// Receiving proxy.
    pub proxy: u32,
    /// The update.
    pub update: EndpointUpdate,
}

/// Configuration of the discovery service.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Delay from a server's start until it is listed.
    pub add_delay: Time,
    /// Delay from a server's drain or stop until that is listed.
    pub removal_delay: Time,
    /// Delay from a machine going silent until that is listed.
    pub silent_removal_delay: Time,
    /// Interval at which changes are published.
    pub publish_period: Time,
    /// Longest delay from publication to a watching proxy.
    pub max_delivery_delay: Time,
    /// Time to answer a call, without the entries.
    pub call_time: Time,
    /// Additional time to answer a call, per entry.
    pub call_time_per_endpoint: Time,
    /// Longest time that a call may wait before it fails.
    pub call_timeout: Time,
}

/// The discovery service.
pub struct Discovery {
    config: Config,
    rng: ChaCha8Rng,
    endpoints: BTreeMap<ServerId, EndpointEntry>,
    /// Changes by the time at which they are listed.
    pending: BTreeMap<(Time, u64), EndpointEntry>,
    /// Listed changes that have not been published yet.
    unpublished: Vec<EndpointEntry>,
    publish_at: Option<Time>,
    sequence: u64,
    watchers: BTreeSet<u32>,
    /// Calls by the time at which they are answered.
    pending_calls: BTreeMap<(Time, u64), u32>,
    queue_free_at: Time,
    down_until: Time,
    /// Time of the latest delivery to each proxy; later updates are delivered after it.
    last_delivery: BTreeMap<u32, Time>,
    /// The current list, once it has been requested.
    cached_list: Option<Rc<Vec<EndpointEntry>>>,
}

impl Discovery {
    /// Creates a service that lists `endpoints`.
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

    /// The current endpoint list.
    pub fn list(&mut self) -> Rc<Vec<EndpointEntry>> {
        let endpoints = &self.endpoints;
        Rc::clone(self.cached_list.get_or_insert_with(|| Rc::new(endpoints.values().copied().collect())))
    }

    /// Schedules the listing of a changed server. `silent` selects the delay of a machine that went silent.
    pub fn schedule_change(&mut self, now: Time, endpoint: EndpointEntry, silent: bool) {
        let delay = match endpoint.state {
            _ if silent => self.config.silent_removal_delay,
            ListedState::Serving => self.config.add_delay,
            ListedState::Draining | ListedState::Gone => self.config.removal_delay,
        };
        self.sequence += 1;
        self.pending.insert((now + delay, self.sequence), endpoint);
    }

    /// Discards the unlisted changes of a server that is back before its removal was listed.
    pub fn discard_pending(&mut self, server: ServerId) {
        self.pending.retain(|_, endpoint| endpoint.server != server);
    }

    /// Starts an outage until `until`: watches end, and calls fail.
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

    /// A proxy calls to watch the list. It receives the full list once its call is answered; a call that
    /// would wait too long fails.
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

    /// Whether a proxy watches or waits for the answer to a call.
    pub fn is_watching(&self, proxy: u32) -> bool {
        self.watchers.contains(&proxy) || self.pending_calls.values().any(|&p| p == proxy)
    }

    /// Ends the watch and the calls of a stopped proxy.
    pub fn remove_proxy(&mut self, proxy: u32) {
        self.watchers.remove(&proxy);
        self.pending_calls.retain(|_, p| *p != proxy);
        self.last_delivery.remove(&proxy);
    }

    /// Time of the next call to [`Discovery::advance`], if one is due.
    pub fn wake_at(&self) -> Option<Time> {
        let listed = self.pending.first_key_value().map(|((at, _), _)| *at);
        let answered = self.pending_calls.first_key_value().map(|((at, _), _)| *at);
        listed.into_iter().chain(answered).chain(self.publish_at).min()
    }

    /// Advances the clock to `now` and appends the updates sent to proxies.
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
