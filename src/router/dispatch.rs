//! Sends attempts and final answers.

use super::admission;
use super::backends::BackendIndex;
use super::cache_selection::Selection;
use super::in_flight::{Attempt, AttemptKind, RequestEnd};
use super::request_coalescing::FetchKey;
use super::retries::AttemptPermission;
use super::timer_token::RouterTimer;
use super::Router;
use crate::interface::{Action, Micros, RequestId};

impl Router {
    /// Sends a read to its cache, or makes it wait for a fetch in flight that stores its key there.
    pub(super) fn dispatch_read(
        &mut self,
        now: Micros,
        id: RequestId,
        allow_trial: bool,
        actions: &mut Vec<Action>,
    ) {
        let request = &self.in_flight[&id];
        let key = request.request.key;
        // The last attempt is reserved for a call to the origin.
        if request.attempts_left(self.settings.max_attempts) <= 1 && self.backends.origin().is_some() {
            return self.dispatch_origin_call(now, id, actions);
        }
        let cache = match self.select_cache(now, id, allow_trial) {
            Selection::Cache(cache) => cache,
            Selection::Overloaded => return self.answer_unless_outstanding(now, id, actions),
            Selection::NoCache => return self.dispatch_origin_call(now, id, actions),
        };
        if key.is_some_and(|key| self.join_fetch(id, FetchKey { key, cache })) {
            return;
        }
        if !self.start_attempt(now, id, cache, AttemptKind::CacheRead, actions) {
            return self.answer_unless_outstanding(now, id, actions);
        }
        let high_latency = if self.reads_are_sparse() { 0.0 } else { self.outliers.high_read_latency() };
        let after = self.outliers.late_threshold().max(high_latency) as Micros;
        actions.push(Action::Timer { after, token: RouterTimer::SlowRead(id).token() });
    }

    /// Sends a miss or a write to the origin if its window has capacity. A miss may wait for another read's
    /// fetch instead.
    pub(super) fn dispatch_origin_call(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let request = &self.in_flight[&id];
        let fetch = match (request.request.write, request.request.key, request.missed_at) {
            (false, Some(key), Some(cache)) => Some(FetchKey { key, cache }),
            _ => None,
        };
        // A waiting read needs two attempts: a read of the cache after the fetch, and its own fetch if that
        // misses.
        let attempts_left = request.attempts_left(self.settings.max_attempts);
        if attempts_left >= 2 && fetch.is_some_and(|fetch| self.join_fetch(id, fetch)) {
            return;
        }
        let target = self.origin_call_target(now, id);
        self.origin_window.record_demand(now);
        let request = &self.in_flight[&id].request;
        let admitted = admission::admits(&self.origin_window, now, request, &self.settings);
        let sent = match target.filter(|_| admitted) {
            Some(target) => self.start_attempt(now, id, target, AttemptKind::OriginCall, actions),
            None => false,
        };
        if !sent {
            return self.answer_unless_outstanding(now, id, actions);
        }
        if let Some(fetch) = fetch {
            self.coalesced_fetches.start(fetch);
            let attempt = self.in_flight.get_mut(&id).and_then(|request| request.attempts.last_mut());
            attempt.expect("sent above").coalesced_fetch = Some(fetch);
        }
    }

    /// Returns the origin server to call, or without an origin the cache that fetches the value itself.
    fn origin_call_target(&mut self, now: Micros, id: RequestId) -> Option<BackendIndex> {
        if self.settings.origin_kind.is_some() {
            return self.backends.origin();
        }
        match self.select_cache(now, id, false) {
            Selection::Cache(cache) => Some(cache),
            Selection::Overloaded | Selection::NoCache => None,
        }
    }

    /// Sends an attempt if the retry rules allow it and the target is serving; returns whether it was sent.
    /// All attempts are sent here.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        target: BackendIndex,
        kind: AttemptKind,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(request) = self.in_flight.get_mut(&id) else { return false };
        let permission = AttemptPermission::of(request, &self.settings, &self.backends, now);
        let backend = &mut self.backends[target];
        if !permission.allows(backend) || !backend.is_serving() {
            return false;
        }
        let deadline = request.request.deadline;
        let give_up_at = match kind {
            AttemptKind::OriginCall => {
                let give_up_at = admission::give_up_at(&self.origin_window, now, deadline);
                self.origin_window.record_sent(now);
                give_up_at
            }
            AttemptKind::CacheRead => {
                backend.window.record_sent(now);
                self.all_caches_window.record_sent(now);
                deadline
            }
        };
        backend.record_sent();
        request.attempts.push(Attempt::new(target, kind, now));
        let server = backend.endpoint.server;
        actions.push(Action::Send { id, server, give_up_at, begin_by: permission.begin_by });
        true
    }

    /// Gives the final answer unless an attempt is outstanding. Called when nothing more can be sent.
    pub(super) fn answer_unless_outstanding(
        &mut self,
        now: Micros,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        if self.in_flight.get(&id).is_some_and(|request| !request.has_outstanding()) {
            self.give_final_answer(now, id, actions);
        }
    }

    /// Gives the final answer to a request that could not be served, and counts it as lost for its tenant's
    /// quota.
    pub(super) fn give_final_answer(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(request) = self.in_flight.get(&id).filter(|request| request.awaits_answer()) {
            self.quotas.record_loss(request.quota);
            self.send_final_answer(now, id, actions);
        }
    }

    /// Sends the final answer unless one was sent or a reply has started: a rejection if it is safe to retry,
    /// a failure otherwise. A host that shuts down calls this directly, since that is no sign of contention.
    pub(super) fn send_final_answer(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.in_flight.get(&id).filter(|request| request.awaits_answer()) else { return };
        if AttemptPermission::of(request, &self.settings, &self.backends, now).may_reject {
            let retry_after = self.origin_window.retry_after().min(self.settings.max_retry_after);
            actions.push(Action::Reject { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.close(id, RequestEnd::AnsweredByRouter, actions);
    }

    /// Gives the final answer to a request that the host cannot wait for, unless its client has part of a reply that an attempt
    /// may still complete.
    pub(super) fn answer_now(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let is_under_way = self.in_flight.get(&id).is_some_and(|request| {
            request.continued_until.is_some_and(|until| until > now) && request.has_outstanding()
        });
        if !is_under_way {
            self.send_final_answer(now, id, actions);
        }
    }

    /// Rejects an arriving request that is beyond its tenant's quota. No attempt was sent, so a rejection is
    /// valid for every class. Retry-After is at least the time until the next token.
    pub(super) fn reject_for_quota(
        &self,
        id: RequestId,
        next_token: Option<Micros>,
        actions: &mut Vec<Action>,
    ) {
        let max_retry_after = self.settings.max_retry_after;
        let retry_after =
            next_token.unwrap_or(max_retry_after).max(self.origin_window.retry_after()).min(max_retry_after);
        actions.push(Action::Reject { id, retry_after });
    }

    /// Ends the request and cancels its outstanding cache reads, but for the one that answered it.
    pub(super) fn close(&mut self, id: RequestId, end: RequestEnd, actions: &mut Vec<Action>) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        request.finish(end);
        for (n, attempt) in request.attempts.iter().enumerate() {
            // The origin executes a call even if it is cancelled, and its real outcome is more useful to the
            // window.
            let is_read = attempt.is_outstanding() && !attempt.is_origin_call();
            if is_read && !request.is_answered_by(n) && self.settings.may_cancel {
                actions.push(Action::Cancel { id, attempt: n as u32 });
            }
        }
        self.release_if_done(id);
    }

    /// Removes a request that is done and has no outstanding attempts.
    pub(super) fn release_if_done(&mut self, id: RequestId) {
        if !self.in_flight.get(&id).is_some_and(|request| request.is_done() && !request.has_outstanding()) {
            return;
        }
        for attempt in self.in_flight.remove(&id).into_iter().flat_map(|request| request.attempts) {
            self.backends[attempt.backend].release_reference();
        }
    }

    /// Makes a read wait for a fetch if that is in flight; returns whether it waits.
    fn join_fetch(&mut self, id: RequestId, fetch: FetchKey) -> bool {
        let in_flight = &self.in_flight;
        self.coalesced_fetches.join(fetch, id, in_flight.len(), |id| in_flight.contains_key(&id))
    }

    /// Handles the end of a shared fetch: the waiting reads read the cache, or fetch the value themselves.
    pub(super) fn finish_fetch(
        &mut self,
        now: Micros,
        fetch: FetchKey,
        stored: bool,
        actions: &mut Vec<Action>,
    ) {
        for id in self.coalesced_fetches.finish(fetch) {
            let Some(request) = self.in_flight.get(&id).filter(|request| !request.is_done()) else {
                continue;
            };
            // A read that has not missed yet must try the cache first: the origin's reply is stored only in
            // the cache that missed.
            if stored || request.missed_at.is_none() {
                self.dispatch_read(now, id, false, actions);
            } else {
                self.dispatch_origin_call(now, id, actions);
            }
        }
    }
}
