//! Passes events to the router and turns its actions into commands for the driver.
//!
//! This module is independent of protocols and sockets. The contents of a request are passed through unread, except for
//! its class, tenant, key, kind and deadline.

use crate::outcome::{AttemptOutcome, DiscoveryEnd};
use crate::state::endpoints::{AdministrativeDrains, Applied, EndpointList, Update};
use crate::state::metrics::counters::Counters;
use crate::state::request_ids::RequestIds;
use crate::state::time::ClockReading;
use crate::state::timers::Timers;
use crate::state::versions::VersionInForce;
use in_flight::{Attempt, InFlightRequest, Streaming};
use notchdoor::{Action, Decide, Effect, Event, Micros, RequestId, ServerId, Settings};
use notchdoor_limits::policy::Policy;
use notchdoor_limits::stack::Stack;
use notchdoor_settings::DeploymentNames;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

mod answers;
mod arrivals;
mod begun_replies;
mod in_flight;
mod inspect;
mod overrides;
mod repeated_ids;
mod request;

pub use begun_replies::Stall;
pub use request::{Answer, AttemptId, AttemptReply, ClientRequest, Command, ReplySlot, RequestError};

/// The router with the state needed to run it: endpoints, requests in flight, timers and counters.
pub struct Proxy<C> {
    stack: Stack,
    /// The readings of both clocks at startup.
    start: ClockReading,
    names: DeploymentNames,
    /// Whether requests of a class may be repeated, by class.
    effects: Vec<Effect>,
    /// The maximum number of attempts of a request.
    max_attempts: usize,
    /// Retry-After of requests for which there is no memory.
    no_room_retry_after: Micros,
    /// The endpoint list from discovery.
    pub endpoints: EndpointList,
    in_flight: HashMap<RequestId, InFlightRequest<C>>,
    /// The client-assigned ids of all requests in flight.
    open_client_ids: HashSet<Vec<u8>>,
    /// The ids of requests that may have run and must not run again.
    used_ids: RequestIds,
    reply_slots: HashMap<ReplySlot, RequestId>,
    outstanding: HashMap<AttemptId, (RequestId, u32)>,
    timers: Timers,
    /// Counters for the log and metrics.
    pub counters: Counters,
    next_request: RequestId,
    next_attempt_id: AttemptId,
    commands: Vec<Command<C>>,
    pending_events: VecDeque<Event<'static>>,
    actions: Vec<Action>,
    /// The block rules of the configuration version in force; `None` if this proxy does not apply versions.
    version_in_force: Option<VersionInForce>,
    /// Number of requests rejected by these rules.
    rejected_by_version: u64,
    /// Backends drained by operators and backends recently put back in service.
    drains: AdministrativeDrains,
}

impl<C> Proxy<C> {
    /// Creates a proxy with an empty endpoint list.
    pub fn new(
        settings: Settings,
        names: DeploymentNames,
        policy: Option<Arc<Policy>>,
        seed: u64,
        start: ClockReading,
    ) -> Self {
        let endpoints = EndpointList::new(names.clone(), settings.origin_kind, start, settings.warmup);
        Proxy {
            effects: settings.classes.iter().map(|class| class.effect).collect(),
            used_ids: RequestIds::default(),
            max_attempts: settings.max_attempts as usize,
            no_room_retry_after: arrivals::NO_ROOM_RETRY_AFTER.min(settings.max_retry_after),
            stack: Stack::new(settings, policy, seed, start.monotonic),
            start,
            endpoints,
            in_flight: HashMap::new(),
            open_client_ids: HashSet::new(),
            reply_slots: HashMap::new(),
            outstanding: HashMap::new(),
            timers: Timers::default(),
            counters: Counters::new(names.classes.len()),
            next_request: 1,
            next_attempt_id: 1,
            commands: Vec::new(),
            pending_events: VecDeque::new(),
            names,
            actions: Vec::new(),
            version_in_force: None,
            rejected_by_version: 0,
            drains: AdministrativeDrains::default(),
        }
    }

    /// Returns and clears the pending commands, in the order in which they must be executed.
    pub fn take_commands(&mut self) -> Vec<Command<C>> {
        std::mem::take(&mut self.commands)
    }

    /// The time at which [`Proxy::tick`] must be called next, if any.
    pub fn next_due(&self) -> Option<Micros> {
        let step = self.version_in_force.as_ref().and_then(VersionInForce::next_due);
        self.timers.next_due().into_iter().chain(step).min()
    }

    /// Replaces the policy; open requests keep the limits that they started with. Returns false if the change requires a
    /// restart, because it would add or remove the policy altogether.
    pub fn reload(&mut self, now: Micros, policy: Option<Arc<Policy>>) -> bool {
        self.stack.reload(policy, now)
    }

    /// The reply slot of the request that an attempt belongs to; `None` if the request no longer needs an answer.
    pub fn reply_slot(&self, attempt_id: AttemptId) -> Option<ReplySlot> {
        let (id, _) = self.outstanding.get(&attempt_id)?;
        self.in_flight.get(id).filter(|request| !request.is_finished()).map(|request| request.reply_slot)
    }

    /// Records the end of an attempt and answers its request if its reply is the final answer.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        attempt_id: AttemptId,
        outcome: AttemptOutcome,
        reply: AttemptReply,
    ) {
        // Ignore late replies of attempts that were cancelled.
        let Some((id, n)) = self.outstanding.remove(&attempt_id) else { return };
        let request = self.in_flight.get(&id);
        let outcome = request.map_or(outcome, |request| request.usable_outcome(n, outcome));
        self.counters.attempt_ended(outcome);
        let mut waited = 0;
        let (mut answer, mut interrupted) = (None, None);
        if let Some(request) = self.in_flight.get_mut(&id) {
            if let Some(attempt) = request.attempts.get_mut(n as usize) {
                attempt.outcome = Some(outcome);
                waited = reply.waited.unwrap_or(now.saturating_sub(attempt.sent));
            }
            answer = request.answer_by_reply(n, outcome, reply.value);
            if answer.is_none() {
                interrupted = request.interrupt_if_streamed_by(n, now);
            }
        }
        if let Some(answer) = answer {
            self.answer(id, answer);
            self.process_event(now, Event::Answered { id, attempt: n });
        }
        if let Some(begun) = interrupted {
            self.process_event(now, Event::ReplyInterrupted { id, attempt: n, begun });
        }
        let took = if outcome.is_reply() { reply.took } else { Some(waited) };
        self.process_event(now, Event::AttemptEnded { id, attempt: n, outcome: outcome.outcome(), took });
        self.remove_if_done(id);
    }

    /// Applies an endpoint list or endpoint update from discovery.
    pub fn update(&mut self, now: Micros, update: Update) {
        self.counters.discovery_updates += 1;
        let rev = update.rev;
        let Some(applied) = self.endpoints.apply(now, update) else {
            log::warn!(version = rev; "discovery: ignored update of version {rev}, the current version is {}", self.endpoints.rev());
            return;
        };
        self.send_endpoint_event(now, applied);
    }

    fn send_endpoint_event(&mut self, now: Micros, applied: Applied) {
        for server in applied.dropped {
            self.commands.push(Command::DropConnections(server));
        }
        let event = if applied.all {
            Event::EndpointList(&applied.members)
        } else {
            Event::EndpointUpdate(&applied.members)
        };
        self.stack.handle(now, event, &mut self.actions);
        self.perform_actions(now);
        self.process_events(now);
    }

    /// Records that the discovery watch could not be started or has ended.
    pub fn discovery_failed(&mut self, now: Micros, end: DiscoveryEnd) {
        self.counters.watch_ended(end);
        self.process_event(now, Event::DiscoveryError);
    }

    /// Asks the router for the final answers of all requests now, except those whose reply is being streamed.
    pub fn answer_all(&mut self, now: Micros) {
        let mut unanswered: Vec<RequestId> = self.reply_slots.values().copied().collect();
        unanswered.sort_unstable();
        for id in unanswered {
            self.process_event(now, Event::AnswerNow(id));
        }
    }

    /// Applies the configuration version that is due and fires expired timers.
    pub fn tick(&mut self, now: Micros) {
        self.advance_version(now);
        while let Some(token) = self.timers.pop(now) {
            self.process_event(now, Event::Timer(token));
        }
    }

    fn process_event(&mut self, now: Micros, event: Event<'static>) {
        self.pending_events.push_back(event);
        self.process_events(now);
    }

    /// Passes pending events to the router, including those that its actions cause, until none is left.
    fn process_events(&mut self, now: Micros) {
        while let Some(event) = self.pending_events.pop_front() {
            let ended = match event {
                Event::AttemptEnded { id, .. } => Some(id),
                _ => None,
            };
            self.stack.handle(now, event, &mut self.actions);
            self.perform_actions(now);
            if let Some(id) = ended {
                self.remove_if_done(id);
            }
        }
    }

    fn perform_actions(&mut self, now: Micros) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { id, server, give_up_at, begin_by } => {
                    self.send(now, id, server, (give_up_at, begin_by));
                }
                Action::Cancel { id, attempt } => self.cancel(now, id, attempt, AttemptOutcome::Cancelled),
                Action::Reject { id, retry_after } => self.finish(id, Answer::Rejected { retry_after }),
                Action::Fail { id } => self.finish(id, Answer::Failed),
                Action::Timer { after, token } => self.set_timer(now.saturating_add(after), token),
                Action::Watch => self.commands.push(Command::Watch),
            }
        }
        self.actions = actions;
    }

    fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        server: ServerId,
        (give_up_at, begin_by): (Micros, Micros),
    ) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let attempt_id = self.next_attempt_id;
        self.next_attempt_id += 1;
        self.counters.sent += 1;
        self.outstanding.insert(attempt_id, (id, request.attempts.len() as u32));
        if let Some(last) = request.attempts.last() {
            log::debug!(
                attempt_id, after = last.attempt_id, server, last = last.outcome_name();
                "request {}: attempt {attempt_id} to {server} after attempt {} ended {}",
                request.name(), last.attempt_id, last.outcome_name()
            );
        }
        let idempotent = is_idempotent(&self.effects, request.class);
        let earlier = request.attempts.iter().find(|a| a.server == server && a.may_have_run());
        let process_of = earlier.filter(|_| !idempotent).map(|attempt| attempt.sent);
        let is_repeat = process_of.is_some();
        // A connection without an earlier reply has none that could be copied once more.
        let on_unused_connection = idempotent && request.attempts.iter().any(Attempt::is_doubtful);
        request.attempts.push(Attempt {
            attempt_id,
            server,
            sent: now,
            is_repeat,
            reply_begun: false,
            stalled: false,
            outcome: None,
        });
        let (call, deadline) = (Rc::clone(&request.call), request.deadline);
        self.commands.push(Command::StartAttempt {
            attempt_id,
            server,
            call,
            idempotent,
            give_up_at,
            begin_by,
            deadline,
            process_of,
            on_unused_connection,
        });
    }

    /// Closes the connection of an outstanding attempt, and queues its end for the router.
    fn cancel(&mut self, now: Micros, id: RequestId, n: u32, outcome: AttemptOutcome) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(n as usize).filter(|a| a.outcome.is_none()) else {
            return;
        };
        attempt.outcome = Some(outcome);
        self.outstanding.remove(&attempt.attempt_id);
        self.commands.push(Command::Cancel(attempt.attempt_id));
        self.counters.attempt_ended(outcome);
        let took = (outcome == AttemptOutcome::Cancelled).then(|| now.saturating_sub(attempt.sent));
        if let Some(begun) = request.interrupt_if_streamed_by(n, now) {
            self.pending_events.push_back(Event::ReplyInterrupted { id, attempt: n, begun });
        }
        self.pending_events.push_back(Event::AttemptEnded {
            id,
            attempt: n,
            outcome: outcome.outcome(),
            took,
        });
    }

    fn set_timer(&mut self, due: Micros, token: u64) {
        let request = self.stack.timer_request(token);
        // The request has ended.
        if request.is_some_and(|id| !self.in_flight.contains_key(&id)) {
            return;
        }
        let Some(key) = self.timers.set(due, token) else {
            return log::error!("timer limit reached, a timer was not set");
        };
        if let Some(request) = request.and_then(|id| self.in_flight.get_mut(&id)) {
            request.timers.push(key);
        }
    }

    /// Removes a finished request without outstanding attempts, and its timers. Timers of finished requests with long
    /// deadlines would otherwise fill the queue, and open requests could not set theirs.
    fn remove_if_done(&mut self, id: RequestId) {
        if self.in_flight.get(&id).is_some_and(InFlightRequest::is_done) {
            let Some(request) = self.in_flight.remove(&id) else { return };
            self.open_client_ids.remove(&request.client_id);
            self.remember_id(&request);
            for key in request.timers {
                self.timers.remove(key);
            }
        }
    }
}

/// Whether requests of a class may be repeated at any time.
fn is_idempotent(effects: &[Effect], class: u32) -> bool {
    effects.get(class as usize) == Some(&Effect::Idempotent)
}

#[cfg(test)]
mod tests;
