//! Handles started replies, ended attempts and slow reads: updates windows and health, and retries.

use super::congestion_window::{Completion, MEAN_SAMPLES, MIN_WINDOW, MIN_WINDOW_WHILE_DOWN};
use super::in_flight::{Attempt, AttemptKind};
use super::timer_token::RouterTimer;
use super::Router;
use crate::interface::{continuation_deadline, Action, Effect, Micros, Outcome, RequestId};

/// The end of an attempt as reported by the host; see [`crate::Event::AttemptEnded`].
pub(super) struct AttemptEnd {
    pub(super) id: RequestId,
    /// Counted from 0 in the order of sending.
    pub(super) attempt: usize,
    pub(super) outcome: Outcome,
    /// How long the server took, if known.
    pub(super) took: Option<Micros>,
}

/// A pause within a reply as reported by the host; see [`crate::Event::ReplyStalled`].
#[derive(Clone, Copy)]
pub(super) struct Stall {
    pub(super) id: RequestId,
    /// Counted from 0 in the order of sending.
    pub(super) attempt: usize,
    pub(super) may_be_copy: bool,
    pub(super) keep_last_attempt: bool,
}

/// Returns whether the outcome can mean that the server is congested or down.
fn is_server_failure(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Error | Outcome::Rejected | Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset
    )
}

/// Returns whether the server sent any reply, valid or not.
fn is_reply(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Ok | Outcome::Miss | Outcome::MalformedReply | Outcome::NoCapacity)
}

impl Router {
    /// Handles the start of a streamed reply. The attempt frees its window slot, since the remaining time
    /// depends on the network and the client.
    pub(super) fn reply_started(
        &mut self,
        now: Micros,
        (id, attempt): (RequestId, usize),
        took: Option<Micros>,
        exclusive: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        if !request.attempts.get(attempt).is_some_and(Attempt::is_outstanding) {
            return;
        }
        request.streaming = Some(attempt);
        for (index, state) in request.attempts.iter().enumerate() {
            let is_surplus = exclusive && index != attempt && state.is_outstanding();
            if is_surplus && self.settings.may_cancel {
                actions.push(Action::Cancel { id, attempt: index as u32 });
            }
        }
        self.reply_begun(now, id, attempt, took, actions);
    }

    /// Handles the first bytes of a reply that is streamed, or kept for longer than its server took to begin it.
    pub(super) fn reply_begun(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: usize,
        took: Option<Micros>,
        actions: &mut Vec<Action>,
    ) {
        let request = self.in_flight.get_mut(&id);
        let Some(attempt) = request.and_then(|request| request.attempts.get_mut(attempt)) else { return };
        if !attempt.is_outstanding() || attempt.reply_begun {
            return;
        }
        attempt.reply_begun = true;
        let started = *attempt;
        attempt.coalesced_fetch = None;
        self.record_result(now, &started, Outcome::Ok, took);
        if let Some(fetch) = started.coalesced_fetch {
            self.finish_fetch(now, fetch, true, actions);
        }
    }

    /// Handles a pause within a reply: sends another attempt beside it, if the class and the limits allow one. A read of a cache
    /// goes to the same cache once more, where its key is. Another call to the origin helps only if the reply may be a copy; a
    /// value that the client has in part is read from the cache that missed it, which may store it by now.
    pub(super) fn reply_stalled(&mut self, now: Micros, stall: Stall, actions: &mut Vec<Action>) {
        let max_attempts = self.settings.max_attempts;
        let Some(request) = self.in_flight.get_mut(&stall.id).filter(|request| request.awaits_answer())
        else {
            return;
        };
        let is_kept = stall.keep_last_attempt && request.attempts_left(max_attempts) <= 1;
        if is_kept || request.request.upload {
            return;
        }
        let stored_at = request.missed_at.filter(|_| request.continued_until.is_some());
        let deadline = request.request.deadline;
        let attempt = request.attempts.get_mut(stall.attempt);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_outstanding()) else { return };
        if !self.settings.hedging {
            if stall.may_be_copy && self.settings.may_cancel {
                attempt.awaits_replacement = true;
                let after = deadline.saturating_sub(now) / 2;
                actions.push(Action::Timer { after, token: RouterTimer::Stalled(stall.id).token() });
            }
            return;
        }
        if attempt.is_origin_call() {
            if stall.may_be_copy {
                self.dispatch_origin_call(now, stall.id, actions);
            } else if let Some(cache) = stored_at {
                self.start_attempt(now, stall.id, cache, AttemptKind::CacheRead, actions);
            }
        } else {
            attempt.retry_same_server = true;
            self.dispatch_read(now, stall.id, false, actions);
        }
    }

    /// Handles the break of a streamed reply: the request waits for an answer again, so that another attempt
    /// can continue the value. If the client has part of it, that attempt has a deadline of its own.
    pub(super) fn reply_interrupted(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: usize,
        begun: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        if request.streaming.take_if(|streaming| *streaming == attempt).is_none() {
            return;
        }
        if begun {
            let deadline = continuation_deadline(now, request.request.deadline);
            request.request.deadline = deadline;
            request.continued_until = Some(deadline);
        }
        // Its timer may have fired while the reply was streamed.
        if begun || request.request.deadline <= now {
            self.handle_deadline(now, id, actions);
        }
    }

    /// Handles the deadline of a request: gives its final answer, unless a reply that has begun may still be continued.
    pub(super) fn handle_deadline(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let continued_until = self.in_flight.get(&id).and_then(|request| request.continued_until);
        match continued_until.and_then(|until| until.checked_sub(now)) {
            Some(after @ 1..) => {
                actions.push(Action::Timer { after, token: RouterTimer::Deadline(id).token() });
            }
            _ => self.give_final_answer(now, id, actions),
        }
    }

    /// Handles a read that its cache has not answered for a while, so that a server that accepts requests
    /// without answering is detected before its requests time out. Sends a hedged request only if a layer
    /// granted it: hedging every such read costs more than it saves.
    pub(super) fn handle_slow_read(
        &mut self,
        now: Micros,
        id: RequestId,
        hedge_granted: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.in_flight.get(&id).filter(|request| request.awaits_answer()) else { return };
        let outstanding_cache_read =
            |attempt: &&Attempt| attempt.is_outstanding() && !attempt.is_origin_call();
        let Some(&Attempt { backend, sent_at, .. }) = request.attempts.iter().find(outstanding_cache_read)
        else {
            return;
        };
        let class = self.settings.class_of(&request.request);
        let idempotent = class.is_some_and(|class| class.effect == Effect::Idempotent);
        let may_hedge = idempotent && !request.request.write && request.attempts.len() == 1;
        let health = &mut self.backends[backend].health;
        if !hedge_granted && !health.has_answered_since(sent_at) {
            health.record_latency((now - sent_at) as f64);
        }
        self.outliers.evaluate_if_suspect(now, backend, &mut self.backends);
        if hedge_granted && may_hedge && self.settings.hedging {
            self.dispatch_read(now, id, false, actions);
        }
    }

    /// Ends a stalled attempt whose reply may be a copy, where two attempts must not be outstanding at once, so that another one
    /// has the other half of the time that was left.
    pub(super) fn replace_stalled_attempt(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.in_flight.get(&id).filter(|request| request.awaits_answer()) else { return };
        let is_stalled = |attempt: &Attempt| attempt.awaits_replacement && attempt.is_outstanding();
        let Some(index) = request.attempts.iter().position(is_stalled) else { return };
        let effect =
            self.settings.class_of(&request.request).map_or(Effect::AtMostOnce, |class| class.effect);
        let has_attempts = request.attempts_left(self.settings.max_attempts) > 0;
        if effect != Effect::AtMostOnce && has_attempts && now < request.request.deadline {
            actions.push(Action::Cancel { id, attempt: index as u32 });
        }
    }

    /// Handles the end of an attempt: records its result, continues the request, and resumes reads that
    /// waited for it.
    pub(super) fn attempt_ended(&mut self, now: Micros, end: AttemptEnd, actions: &mut Vec<Action>) {
        let AttemptEnd { id, outcome, .. } = end;
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let attempt = request.attempts.get_mut(end.attempt);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_outstanding()) else { return };
        // As if its reply were malformed, which it may be.
        let is_replaced = attempt.awaits_replacement && outcome == Outcome::Cancelled;
        let outcome = if is_replaced { Outcome::MalformedReply } else { outcome };
        attempt.end(outcome);
        let ended = *attempt;
        let is_answer = outcome == Outcome::Ok && request.is_answered_by(end.attempt);
        if outcome == Outcome::Miss && !ended.is_origin_call() {
            request.missed_at = Some(ended.backend);
        }
        let backend = &mut self.backends[ended.backend];
        backend.outstanding = backend.outstanding.saturating_sub(1);
        if !ended.reply_begun {
            self.record_result(now, &ended, outcome, end.took);
        }
        if is_answer {
            self.quotas.record_success(self.in_flight[&id].quota);
        }
        if outcome != Outcome::Ok && !self.in_flight[&id].is_done() {
            self.retry(now, id, ended.kind, outcome, actions);
        }
        self.release_if_done(id);
        let request = self.in_flight.get(&id);
        let fetch_restarted = request.is_some_and(|request| request.has_outstanding_coalesced_fetch());
        if let Some(fetch) = ended.coalesced_fetch.filter(|_| !fetch_restarted) {
            // A reply that was malformed in transit has still been stored in the cache.
            let stored = matches!(outcome, Outcome::Ok | Outcome::MalformedReply | Outcome::NoCapacity);
            self.finish_fetch(now, fetch, stored, actions);
        }
    }

    /// Continues an open request after an attempt that returned no value.
    fn retry(
        &mut self,
        now: Micros,
        id: RequestId,
        kind: AttemptKind,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let request = &self.in_flight[&id];
        if outcome == Outcome::NoCapacity {
            if !request.has_outstanding() {
                self.send_final_answer(now, id, actions);
            }
        } else if kind == AttemptKind::OriginCall {
            self.retry_origin_call(now, id, outcome, actions);
        } else if outcome == Outcome::Miss && !request.has_outstanding_origin_call() {
            self.dispatch_origin_call(now, id, actions);
        } else if !request.has_outstanding() {
            self.dispatch_read(now, id, false, actions);
        }
    }

    /// Continues a request after a call to the origin that returned no value. A malformed reply means that
    /// the call was executed: a read retries the cache that missed, and a write is repeated if its class
    /// allows. A broken or refused connection is retried. Any other outcome ends the request, so as not to
    /// add load to the origin.
    fn retry_origin_call(&mut self, now: Micros, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) {
        let request = &self.in_flight[&id];
        match outcome {
            Outcome::MalformedReply if !request.request.write => {
                let sent = match request.missed_at {
                    Some(cache) => self.start_attempt(now, id, cache, AttemptKind::CacheRead, actions),
                    None => false,
                };
                if !sent {
                    self.answer_unless_outstanding(now, id, actions);
                }
            }
            Outcome::MalformedReply | Outcome::Reset | Outcome::ConnectFailed => {
                self.dispatch_origin_call(now, id, actions);
            }
            _ => self.answer_unless_outstanding(now, id, actions),
        }
    }

    /// Updates the windows and the server's health after an attempt ended or its reply started.
    fn record_result(&mut self, now: Micros, attempt: &Attempt, outcome: Outcome, took: Option<Micros>) {
        let failed = is_server_failure(outcome);
        let timed_out_early = self.timed_out_early(now, attempt, outcome);
        let failed_to_serve = failed && !timed_out_early && outcome != Outcome::Rejected;
        let window = match attempt.kind {
            AttemptKind::OriginCall => &mut self.origin_window,
            AttemptKind::CacheRead => &mut self.backends[attempt.backend].window,
        };
        let isolated_failure = !window.record_failure(failed_to_serve) && failed_to_serve;
        let unreachable = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
        let min_window = if unreachable { MIN_WINDOW_WHILE_DOWN } else { MIN_WINDOW };
        let conclusive = !timed_out_early && !matches!(outcome, Outcome::Cancelled | Outcome::NotSent);
        // Use the server's own time if known, so that large values and connection setup do not count as
        // congestion. For an attempt without a reply, use the time waited.
        let replied = is_reply(outcome);
        let completion = Completion {
            sent_at: attempt.sent_at,
            delay: took.filter(|_| replied).unwrap_or(now - attempt.sent_at),
            forced_cut_floor: (failed && !timed_out_early && !isolated_failure).then_some(min_window),
            conclusive: conclusive && !isolated_failure && (took.is_some() || !replied),
        };
        match attempt.kind {
            AttemptKind::OriginCall => self.origin_window.record_completion(now, completion),
            AttemptKind::CacheRead => {
                self.record_in_cache_windows(now, attempt, outcome, completion);
                self.record_in_cache_health(now, attempt, outcome, took, conclusive);
            }
        }
    }

    /// Returns whether a timeout occurred before the attempt could be considered slow, because the client's
    /// deadline was short.
    fn timed_out_early(&self, now: Micros, attempt: &Attempt, outcome: Outcome) -> bool {
        let min_wait = match attempt.kind {
            AttemptKind::OriginCall => self.origin_window.delay_limit(MEAN_SAMPLES),
            AttemptKind::CacheRead => Some(self.outliers.late_threshold()),
        };
        let min_wait = min_wait.unwrap_or(self.origin_window.latency_objective());
        outcome == Outcome::Timeout && ((now - attempt.sent_at) as f64) < min_wait
    }

    fn record_in_cache_windows(
        &mut self,
        now: Micros,
        attempt: &Attempt,
        outcome: Outcome,
        completion: Completion,
    ) {
        // A miss is fast for any cache, so its delay says nothing about congestion.
        let conclusive = completion.conclusive && outcome != Outcome::Miss;
        let completion = Completion { conclusive, ..completion };
        self.backends[attempt.backend].window.record_completion(now, completion);
        // For the window over all caches, a congestion signal of one cache counts as one slow answer.
        let limit = self
            .all_caches_window
            .delay_limit(MEAN_SAMPLES)
            .filter(|_| completion.forced_cut_floor.is_some());
        let delay = limit.map_or(completion.delay, |limit| completion.delay.max(limit as Micros));
        let completion = Completion { delay, forced_cut_floor: None, ..completion };
        self.all_caches_window.record_completion(now, completion);
    }

    fn record_in_cache_health(
        &mut self,
        now: Micros,
        attempt: &Attempt,
        outcome: Outcome,
        took: Option<Micros>,
        conclusive: bool,
    ) {
        if outcome == Outcome::Ok {
            self.hit_rate.record_hit();
        }
        let health = &mut self.backends[attempt.backend].health;
        if is_reply(outcome) {
            health.record_answered(attempt.sent_at);
        }
        // If the cache has answered attempts sent later, only the connection of this one stalled.
        let only_connection_stalled =
            outcome == Outcome::Timeout && health.has_answered_since(attempt.sent_at);
        if conclusive && !only_connection_stalled {
            let took = took.map(|took| took as f64);
            self.outliers.record(now, attempt.backend, outcome, took, &mut self.backends);
        }
    }
}
