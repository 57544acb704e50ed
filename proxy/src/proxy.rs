//! Events in, the module's decisions, commands out. No protocol and no socket is known here: a request is
//! what it is about and how long its client waits, and whatever else was said travels along unread.

use crate::outcome::{AttemptOutcome, DiscoveryEnd};
use crate::state::endpoints::{AdministrativeDrains, Applied, EndpointList, Update};
use crate::state::metrics::counters::Counters;
use crate::state::time::ClockReading;
use crate::state::timers::{TimerKey, Timers};
use crate::state::versions::VersionInForce;
use notchdoor::{key_hash, Action, Decide, Event, Micros, Outcome, Request, RequestId, ServerId, Settings};
use notchdoor_limits::policy::Policy;
use notchdoor_limits::stack::Stack;
use notchdoor_settings::{index_of, DeploymentNames};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

mod inspect;
mod overrides;
mod request;

pub use request::{Answer, AttemptId, AttemptReply, ClientRequest, Command, ReplySlot, RequestError};

struct Attempt {
    attempt_id: AttemptId,
    sent: Micros,
    outstanding: bool,
}

struct InFlightRequest<C> {
    client_id: Vec<u8>,
    class: u32,
    reply_slot: ReplySlot,
    call: Rc<C>,
    attempts: Vec<Attempt>,
    timers: Vec<TimerKey>,
    /// Answered, or its client has left: only what is still out keeps it.
    finished: bool,
    /// The attempt whose reply is being streamed to the client, or is about to be.
    streaming: Option<u32>,
}

/// The module with what it needs round it.
pub struct Proxy<C> {
    stack: Stack,
    /// What the clocks showed when the process began.
    start: ClockReading,
    names: DeploymentNames,
    /// Discovery's list.
    pub endpoints: EndpointList,
    in_flight: HashMap<RequestId, InFlightRequest<C>>,
    /// The clients' ids of all requests in flight.
    open_client_ids: HashSet<Vec<u8>>,
    reply_slots: HashMap<ReplySlot, RequestId>,
    outstanding: HashMap<AttemptId, (RequestId, u32)>,
    timers: Timers,
    /// What has been counted.
    pub counters: Counters,
    next_request: RequestId,
    next_attempt_id: AttemptId,
    commands: Vec<Command<C>>,
    pending_events: VecDeque<Event<'static>>,
    actions: Vec<Action>,
    /// What the group's versions forbid, where they are acted on.
    version_in_force: Option<VersionInForce>,
    /// Requests refused by it.
    rejected_by_version: u64,
    /// What operators took out of service, and put back lately.
    drains: AdministrativeDrains,
}

/// Who is refused by a version comes back after so long: a version lasts longer.
const FORBIDDEN_RETRY_AFTER: Micros = 1_000_000;

impl<C> Proxy<C> {
    /// A proxy that holds no list yet.
    pub fn new(
        settings: Settings,
        names: DeploymentNames,
        policy: Option<Arc<Policy>>,
        seed: u64,
        start: ClockReading,
    ) -> Self {
        let endpoints = EndpointList::new(names.clone(), settings.origin_kind, start, settings.warmup);
        Proxy {
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

    /// What is to be done now.
    pub fn take_commands(&mut self) -> Vec<Command<C>> {
        std::mem::take(&mut self.commands)
    }

    /// When [`Proxy::tick`] is next wanted.
    pub fn next_due(&self) -> Option<Micros> {
        let step = self.version_in_force.as_ref().and_then(VersionInForce::next_due);
        self.timers.next_due().into_iter().chain(step).min()
    }

    /// Takes up another policy; requests that are open keep the limits they began with. False where that takes a
    /// restart: limits cannot be put round a module that is at work, nor taken away from it.
    pub fn reload(&mut self, now: Micros, policy: Option<Arc<Policy>>) -> bool {
        self.stack.reload(policy, now)
    }

    /// A request was read whole. One that cannot be carried out is not taken, and the error says why: guards
    /// against backends and the origin that are asked, and judged, for what no backend could answer.
    pub fn start_request(&mut self, now: Micros, request: ClientRequest<C>) -> Result<(), RequestError> {
        let class = index_of(&self.names.classes, &request.class).ok_or(RequestError::UnknownClass)?;
        self.advance_version(now);
        let forbidden = self
            .version_in_force
            .as_ref()
            .is_some_and(|versions| versions.forbids(&request.class, &request.key));
        // Backends know a request by its id: another of the same id would end the one that is open.
        if !self.open_client_ids.insert(request.id.clone()) {
            return Err(RequestError::IdInUse);
        }
        let id = self.next_request;
        self.next_request += 1;
        self.counters.taken += 1;
        let arrival = Request {
            id,
            class: Some(class),
            tenant: index_of(&self.names.tenants, &request.tenant),
            key: Some(key_hash(&request.key)),
            group: self.stack.group(&request.key),
            write: request.write,
            deadline: request.deadline,
        };
        self.reply_slots.insert(request.reply_slot, id);
        let in_flight = InFlightRequest {
            client_id: request.id,
            class,
            reply_slot: request.reply_slot,
            call: Rc::new(request.call),
            attempts: Vec::new(),
            timers: Vec::new(),
            finished: false,
            streaming: None,
        };
        self.in_flight.insert(id, in_flight);
        if forbidden {
            self.rejected_by_version += 1;
            self.finish(id, Answer::Rejected { retry_after: FORBIDDEN_RETRY_AFTER });
        } else {
            self.process_event(now, Event::Arrived(arrival));
        }
        Ok(())
    }

    /// The client has gone before the answer.
    pub fn client_left(&mut self, now: Micros, reply_slot: ReplySlot) {
        if let Some(id) = self.reply_slots.remove(&reply_slot) {
            self.counters.left += 1;
            if let Some(request) = self.in_flight.get_mut(&id) {
                request.finished = true;
            }
            self.process_event(now, Event::ClientLeft(id));
            self.remove_if_done(id);
        }
    }

    /// Where the answer goes for which an attempt is out; `None` once nobody waits for it any more.
    pub fn reply_slot(&self, attempt_id: AttemptId) -> Option<ReplySlot> {
        let (id, _) = self.outstanding.get(&attempt_id)?;
        self.in_flight.get(id).filter(|request| !request.finished).map(|request| request.reply_slot)
    }

    /// An attempt brings a value that is passed on as it comes: from here on the answer is its. Where that goes;
    /// `None` if nobody waits for it any more. The time is that from the command to its first byte, as
    /// [`AttemptReply::took`].
    pub fn start_streaming(
        &mut self,
        now: Micros,
        attempt_id: AttemptId,
        took: Option<Micros>,
    ) -> Option<ReplySlot> {
        let &(id, attempt) = self.outstanding.get(&attempt_id)?;
        let request = self.in_flight.get_mut(&id)?;
        if request.finished || request.streaming.is_some() {
            return None;
        }
        request.streaming = Some(attempt);
        let reply_slot = request.reply_slot;
        self.process_event(now, Event::ReplyStarted { id, attempt, took });
        Some(reply_slot)
    }

    /// An attempt has ended.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        attempt_id: AttemptId,
        outcome: AttemptOutcome,
        reply: AttemptReply,
    ) {
        // What was called off has ended already: its late answer is nobody's.
        let Some((id, n)) = self.outstanding.remove(&attempt_id) else { return };
        self.counters.attempt_ended(outcome);
        let router_outcome = outcome.outcome();
        let (mut waited, mut request_done) = (0, true);
        if let Some(request) = self.in_flight.get_mut(&id) {
            if let Some(attempt) = request.attempts.get_mut(n as usize) {
                attempt.outstanding = false;
                waited = reply.waited.unwrap_or(now.saturating_sub(attempt.sent));
            }
            let streamed = request.streaming == Some(n);
            let answer = match router_outcome {
                Outcome::Ok if outcome == AttemptOutcome::Absent => {
                    request.streaming.is_none().then_some(Answer::Absent)
                }
                Outcome::Ok if streamed => Some(Answer::Streamed),
                Outcome::Ok if request.streaming.is_none() => {
                    Some(Answer::Served(reply.value.unwrap_or_default()))
                }
                // Some of it is with the client: no other attempt can be joined to that.
                _ if streamed => Some(Answer::Truncated),
                _ => None,
            };
            if let Some(answer) = answer {
                self.answer(id, answer);
            }
            request_done = self.in_flight.get(&id).is_none_or(|request| request.finished);
        }
        let answered = matches!(
            outcome,
            AttemptOutcome::Served
                | AttemptOutcome::Missed
                | AttemptOutcome::Garbled
                | AttemptOutcome::NoCapacity
        );
        let took = if answered { reply.took } else { Some(waited) };
        self.process_event(
            now,
            Event::AttemptEnded { id, attempt: n, outcome: router_outcome, took, request_done },
        );
        self.remove_if_done(id);
    }

    /// discovery sent the list or changes.
    pub fn update(&mut self, now: Micros, update: Update) {
        self.counters.discovery_updates += 1;
        let rev = update.rev;
        let Some(applied) = self.endpoints.apply(now, update) else {
            log::warn!(version = rev; "discovery: changes up to {rev} came after {}", self.endpoints.rev());
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

    /// A watch could not be begun, or has ended.
    pub fn discovery_failed(&mut self, now: Micros, end: DiscoveryEnd) {
        self.counters.watch_ended(end);
        self.process_event(now, Event::DiscoveryError);
    }

    /// Gives every request its final answer now, but for those whose answer is being passed on.
    pub fn answer_all(&mut self, now: Micros) {
        let mut unanswered: Vec<RequestId> = self.reply_slots.values().copied().collect();
        unanswered.sort_unstable();
        for id in unanswered {
            self.process_event(now, Event::AnswerNow(id));
        }
    }

    /// Fires the timers that have fallen due.
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

    /// Hands what has happened to the module until nothing more comes of it.
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
                Action::Cancel { id, attempt } => self.cancel(now, id, attempt),
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
        request.attempts.push(Attempt { attempt_id, sent: now, outstanding: true });
        let call = Rc::clone(&request.call);
        self.commands.push(Command::StartAttempt { attempt_id, server, call, give_up_at, begin_by });
    }

    fn cancel(&mut self, now: Micros, id: RequestId, n: u32) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(n as usize).filter(|a| a.outstanding) else { return };
        attempt.outstanding = false;
        self.outstanding.remove(&attempt.attempt_id);
        self.commands.push(Command::Cancel(attempt.attempt_id));
        self.counters.attempt_ended(AttemptOutcome::Cancelled);
        let took = Some(now.saturating_sub(attempt.sent));
        let (outcome, request_done) = (AttemptOutcome::Cancelled.outcome(), request.finished);
        let event = Event::AttemptEnded { id, attempt: n, outcome, took, request_done };
        self.pending_events.push_back(event);
    }

    fn finish(&mut self, id: RequestId, answer: Answer) {
        self.answer(id, answer);
        self.remove_if_done(id);
    }

    /// Gives a request its final answer, unless it has one: the one reply_slot where how it ended is counted.
    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(request) = self.in_flight.get_mut(&id).filter(|request| !request.finished) else { return };
        request.finished = true;
        self.reply_slots.remove(&request.reply_slot);
        if let Some(class) = self.counters.classes.get_mut(request.class as usize) {
            match answer {
                Answer::Served(_) | Answer::Streamed => class.served += 1,
                Answer::Rejected { .. } => class.refused += 1,
                Answer::Failed | Answer::Absent | Answer::Truncated => class.failed += 1,
            }
        }
        self.commands.push(Command::Answer(request.reply_slot, answer));
    }

    fn set_timer(&mut self, due: Micros, token: u64) {
        let request = self.stack.timer_request(token);
        // A request that has ended wants no more timers.
        if request.is_some_and(|id| !self.in_flight.contains_key(&id)) {
            return;
        }
        let Some(key) = self.timers.set(due, token) else {
            return log::error!("no room for another timer");
        };
        if let Some(request) = request.and_then(|id| self.in_flight.get_mut(&id)) {
            request.timers.push(key);
        }
    }

    /// Drops a request that is over and has nothing out, and its timers with it. Clients may wait for an hour:
    /// the timers of what was answered long ago would fill the queue, and then a request could go unanswered.
    fn remove_if_done(&mut self, id: RequestId) {
        if self
            .in_flight
            .get(&id)
            .is_some_and(|request| request.finished && request.attempts.iter().all(|a| !a.outstanding))
        {
            let Some(request) = self.in_flight.remove(&id) else { return };
            self.open_client_ids.remove(&request.client_id);
            for key in request.timers {
                self.timers.remove(key);
            }
        }
    }
}

#[cfg(test)]
mod tests;
