//! Replies that have begun and are not complete: streamed to the client, kept, or paused.

use super::{is_idempotent, AttemptId, Proxy, ReplySlot, Streaming};
use notchdoor::{Event, Micros, RequestId};

/// A pause within a reply, or another reason for a further attempt beside the one that gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Whether the reply may be a copy of an earlier one on its connection.
    pub may_be_copy: bool,
    /// Whether the last attempt is kept, to continue the reply if it breaks off.
    pub keep_last_attempt: bool,
}

impl<C> Proxy<C> {
    /// The reply slot of an attempt whose reply can be streamed; `None` if the request is already answered or another attempt
    /// is being streamed. One that is only compared with what the client has gives way.
    pub fn streamable_slot(&self, attempt_id: AttemptId) -> Option<ReplySlot> {
        let (id, attempt) = self.outstanding.get(&attempt_id)?;
        let request = self.in_flight.get(id).filter(|request| !request.is_finished())?;
        let is_free = |streaming: Streaming| streaming.is_comparing || streaming.attempt == *attempt;
        request.streaming.is_none_or(is_free).then_some(request.reply_slot)
    }

    /// Starts streaming the reply of an attempt to the client. Returns the reply slot, or `None` if the request is already
    /// answered or another attempt is being streamed. `took` is as in [`super::AttemptReply::took`].
    pub fn start_streaming(
        &mut self,
        now: Micros,
        attempt_id: AttemptId,
        took: Option<Micros>,
    ) -> Option<ReplySlot> {
        self.stream(now, attempt_id, took, false)
    }

    /// Starts comparing the reply of an attempt with the part of a value that the client has, or awaiting it beyond the deadline
    /// if it has none. The attempt that gave that part may still go on, and another one may answer. Returns as [`Proxy::start_streaming`].
    pub fn start_comparing(
        &mut self,
        now: Micros,
        attempt_id: AttemptId,
        took: Option<Micros>,
    ) -> Option<ReplySlot> {
        self.stream(now, attempt_id, took, true)
    }

    fn stream(
        &mut self,
        now: Micros,
        attempt_id: AttemptId,
        took: Option<Micros>,
        is_comparing: bool,
    ) -> Option<ReplySlot> {
        let reply_slot = self.streamable_slot(attempt_id)?;
        let &(id, attempt) = self.outstanding.get(&attempt_id)?;
        self.in_flight.get_mut(&id)?.streaming = Some(Streaming { attempt, is_comparing });
        self.mark_begun(id, attempt);
        self.process_event(now, Event::ReplyStarted { id, attempt, took, exclusive: !is_comparing });
        Some(reply_slot)
    }

    /// Whether another attempt could continue the value of this one if it broke off.
    pub fn may_be_continued(&self, attempt_id: AttemptId) -> bool {
        let request = self.outstanding.get(&attempt_id).and_then(|(id, _)| self.in_flight.get(id));
        request.is_some_and(|request| {
            is_idempotent(&self.effects, request.class) && request.attempts.len() < self.max_attempts
        })
    }

    /// Records that the client has been sent the first bytes of the value that this attempt streams.
    pub fn value_begun(&mut self, attempt_id: AttemptId) {
        let request = self.outstanding.get(&attempt_id).and_then(|(id, _)| self.in_flight.get_mut(id));
        if let Some(request) = request {
            request.value_begun = true;
        }
    }

    /// Lets other attempts answer the request of an attempt that is being streamed, and goes on.
    pub fn release_stream(&mut self, now: Micros, attempt_id: AttemptId) {
        let Some(&(id, attempt)) = self.outstanding.get(&attempt_id) else { return };
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        if let Some(begun) = request.interrupt_if_streamed_by(attempt, now) {
            self.process_event(now, Event::ReplyInterrupted { id, attempt, begun });
        }
    }

    /// Records that a server has begun a reply that is kept for now. `took` is as in [`super::AttemptReply::took`].
    pub fn reply_begun(&mut self, now: Micros, attempt_id: AttemptId, took: Option<Micros>) {
        let Some(&(id, attempt)) = self.outstanding.get(&attempt_id) else { return };
        self.mark_begun(id, attempt);
        self.process_event(now, Event::ReplyBegun { id, attempt, took });
    }

    fn mark_begun(&mut self, id: RequestId, attempt: u32) {
        let request = self.in_flight.get_mut(&id);
        if let Some(attempt) = request.and_then(|request| request.attempts.get_mut(attempt as usize)) {
            attempt.reply_begun = true;
        }
    }

    /// Records that a reply pauses or is in doubt, so that another attempt may be sent beside it.
    pub fn reply_stalled(&mut self, now: Micros, attempt_id: AttemptId, stall: Stall) {
        let Some(&(id, n)) = self.outstanding.get(&attempt_id) else { return };
        let request = self.in_flight.get_mut(&id);
        let Some(attempt) = request.and_then(|request| request.attempts.get_mut(n as usize)) else { return };
        attempt.stalled = true;
        self.counters.replies_stalled += 1;
        let Stall { may_be_copy, keep_last_attempt } = stall;
        self.process_event(now, Event::ReplyStalled { id, attempt: n, may_be_copy, keep_last_attempt });
    }
}
