//! Routes requests to caches and to the origin: consumes events and returns actions, as defined in
//! `interface.rs`.
//!
//! A read goes to the cache that placement selects for its key. A miss or a write goes to the origin if the
//! origin's congestion window has capacity, and is rejected otherwise. `docs/design.md` describes the
//! exceptions. Each submodule owns the state of one concern:
//!
//! | module | concern |
//! | --- | --- |
//! | `dispatch` | sends attempts and final answers |
//! | `attempt_results` | records the results of attempts, and retries |
//! | `cache_selection` | chooses the cache for a read |
//! | `admission` | admits calls to the origin by its congestion window |
//! | `tenant_quotas` | rejects requests beyond their tenant's quota under contention |
//! | `retries` | which further attempts and answers a class allows |
//! | `congestion_window`, `normal_delay` | adaptive window and its estimate of the uncongested delay |
//! | `backends`, `placement` | server records, their weights, and weighted rendezvous hashing |
//! | `hot_keys` | number of caches that serve a hot key |
//! | `slow_start` | read budget of warming caches |
//! | `outlier_detection` | ejects caches that fail or are slow |
//! | `request_coalescing` | shares one fetch among reads that miss the same key |
//! | `discovery_schedule` | when to call discovery |
//! | `in_flight`, `timer_token`, `random`, `snapshot` | requests, timer tokens, random numbers, views |

mod admission;
mod attempt_results;
mod backends;
mod cache_selection;
mod congestion_window;
mod discovery_schedule;
mod dispatch;
mod hot_keys;
mod in_flight;
mod normal_delay;
mod outlier_detection;
mod placement;
mod random;
mod request_coalescing;
mod retries;
mod slow_start;
mod snapshot;
mod tenant_quotas;
mod timer_token;

pub use snapshot::{InFlight, RouterSnapshot};

use crate::interface::{Action, Endpoint, Event, Micros, Request, RequestId, Settings};
use attempt_results::{AttemptEnd, Stall};
use backends::{Backends, ListUpdate};
use congestion_window::{CongestionWindow, Target};
use discovery_schedule::DiscoverySchedule;
use hot_keys::KeyCounts;
use in_flight::{InFlightRequest, RequestEnd};
use outlier_detection::OutlierDetector;
use random::SplitMix64;
use request_coalescing::CoalescedFetches;
use slow_start::HitRate;
use std::collections::BTreeMap;
use tenant_quotas::{QuotaDecision, TenantQuotas};
use timer_token::RouterTimer;

/// The routing state of one proxy. Performs no I/O and reads no clock.
pub struct Router {
    settings: Settings,
    random: SplitMix64,
    backends: Backends,
    in_flight: BTreeMap<RequestId, InFlightRequest>,
    coalesced_fetches: CoalescedFetches,
    /// Bounds the attempts in flight at the origin.
    origin_window: CongestionWindow,
    /// Bounds the attempts in flight at all caches together.
    all_caches_window: CongestionWindow,
    key_counts: KeyCounts,
    hit_rate: HitRate,
    outliers: OutlierDetector,
    discovery: DiscoverySchedule,
    quotas: TenantQuotas,
}

impl Router {
    /// Creates a router with an empty endpoint list. `seed` determines all random decisions.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let origin_window = CongestionWindow::new(Target::Origin, &settings);
        Router {
            random: SplitMix64::new(seed),
            backends: Backends::default(),
            in_flight: BTreeMap::new(),
            coalesced_fetches: CoalescedFetches::default(),
            outliers: OutlierDetector::new(origin_window.latency_objective()),
            origin_window,
            all_caches_window: CongestionWindow::new(Target::AllCaches, &settings),
            key_counts: KeyCounts::new(now, settings.max_in_flight as usize),
            hit_rate: HitRate::new(now),
            discovery: DiscoverySchedule::new(settings.discovery),
            quotas: TenantQuotas::new(&settings, now),
            settings,
        }
    }

    /// Returns the request that a timer token refers to. The host may drop the timer once that request is
    /// done and has no outstanding attempts.
    pub fn timer_request(token: u64) -> Option<RequestId> {
        RouterTimer::request(token)
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(endpoints) => self.apply_endpoints(now, endpoints, ListUpdate::Full, actions),
            Event::EndpointUpdate(endpoints) => {
                self.apply_endpoints(now, endpoints, ListUpdate::Incremental, actions);
            }
            Event::DiscoveryError => self.handle_discovery_error(actions),
            Event::Arrived(request) => self.handle_arrival(now, request, actions),
            Event::ReplyStarted { id, attempt, took, exclusive } => {
                self.reply_started(now, (id, attempt as usize), took, exclusive, actions);
            }
            Event::ReplyBegun { id, attempt, took } => {
                self.reply_begun(now, id, attempt as usize, took, actions);
            }
            Event::ReplyStalled { id, attempt, may_be_copy, keep_last_attempt } => {
                let stall = Stall { id, attempt: attempt as usize, may_be_copy, keep_last_attempt };
                self.reply_stalled(now, stall, actions);
            }
            Event::ReplyInterrupted { id, attempt, begun } => {
                self.reply_interrupted(now, id, attempt as usize, begun, actions);
            }
            Event::Answered { id, attempt } => {
                self.close(id, RequestEnd::AnsweredByReply(attempt as usize), actions);
            }
            Event::AttemptEnded { id, attempt, outcome, took } => {
                let end = AttemptEnd { id, attempt: attempt as usize, outcome, took };
                self.attempt_ended(now, end, actions);
            }
            Event::ClientLeft(id) => self.close(id, RequestEnd::ClientLeft, actions),
            Event::HedgeGranted(id) => self.handle_slow_read(now, id, true, actions),
            Event::AnswerNow(id) => self.answer_now(now, id, actions),
            Event::Timer(token) => self.handle_timer(now, token, actions),
        }
    }

    fn handle_timer(&mut self, now: Micros, token: u64, actions: &mut Vec<Action>) {
        match RouterTimer::from_token(token) {
            Some(RouterTimer::SlowRead(id)) => self.handle_slow_read(now, id, false, actions),
            Some(RouterTimer::Deadline(id)) => self.handle_deadline(now, id, actions),
            Some(RouterTimer::Stalled(id)) => self.replace_stalled_attempt(now, id, actions),
            Some(RouterTimer::Discovery) => actions.push(Action::Watch),
            None => {}
        }
    }

    fn apply_endpoints(
        &mut self,
        now: Micros,
        endpoints: &[Endpoint],
        update: ListUpdate,
        actions: &mut Vec<Action>,
    ) {
        self.backends.apply(now, endpoints, update, &self.settings);
        if self.discovery.record_update() {
            actions.push(Action::Watch);
        }
        self.update_weights(now);
    }

    fn handle_discovery_error(&mut self, actions: &mut Vec<Action>) {
        if let Some(after) = self.discovery.record_failure(&mut self.random) {
            actions.push(Action::Timer { after, token: RouterTimer::Discovery.token() });
        }
    }

    fn update_weights(&mut self, now: Micros) {
        self.backends.update_weights(now, &self.settings);
        self.outliers.evaluate(now, &mut self.backends);
    }

    fn handle_arrival(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        self.key_counts.start_epoch_if_due(now, self.backends.len());
        self.hit_rate.update(now);
        if let Some(key) = request.key.filter(|_| !request.write) {
            self.key_counts.record_read(key);
        }
        if self.backends.weights_are_stale(now) {
            self.update_weights(now);
        }
        let Request { id, tenant, deadline, write, .. } = request;
        let standing = match self.quotas.decide(now, tenant, &mut self.random) {
            QuotaDecision::Admit(standing) => standing,
            QuotaDecision::Reject { next_token } => return self.reject_for_quota(id, next_token, actions),
        };
        self.in_flight.insert(id, InFlightRequest::new(request, standing));
        if deadline <= now {
            return self.give_final_answer(now, id, actions);
        }
        actions.push(Action::Timer { after: deadline - now, token: RouterTimer::Deadline(id).token() });
        if write {
            self.dispatch_origin_call(now, id, actions);
        } else {
            self.dispatch_read(now, id, true, actions);
        }
    }
}
