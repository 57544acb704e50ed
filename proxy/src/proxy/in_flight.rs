//! The state of a request and its attempts, and the only place that decides whether the request is still awaited.

use super::{Answer, AttemptId, ReplySlot};
use crate::outcome::AttemptOutcome;
use crate::state::timers::TimerKey;
use notchdoor::{continuation_deadline, Micros, ServerId};
use std::borrow::Cow;
use std::rc::Rc;

/// An attempt of a request.
pub(super) struct Attempt {
    pub(super) attempt_id: AttemptId,
    pub(super) server: ServerId,
    pub(super) sent: Micros,
    /// It repeats an earlier one that may have run at the same server, whose process has to be the same.
    pub(super) is_repeat: bool,
    /// Its reply has begun.
    pub(super) reply_begun: bool,
    /// Its reply has begun and paused.
    pub(super) stalled: bool,
    /// How it ended; `None` while it is outstanding.
    pub(super) outcome: Option<AttemptOutcome>,
}

/// What ended a request. Nothing else does, whatever becomes of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// Its final answer was given.
    Answered,
    /// Its client has left.
    ClientLeft,
}

/// What is known of a request when it arrives.
pub(super) struct ArrivedRequest<C> {
    pub(super) client_id: Vec<u8>,
    pub(super) class: u32,
    pub(super) reply_slot: ReplySlot,
    pub(super) deadline: Micros,
    pub(super) call: C,
}

/// A request that is awaited, or has outstanding attempts.
pub(super) struct InFlightRequest<C> {
    pub(super) client_id: Vec<u8>,
    pub(super) class: u32,
    pub(super) reply_slot: ReplySlot,
    /// Until when a reply that has begun may be awaited.
    pub(super) deadline: Micros,
    pub(super) call: Rc<C>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) timers: Vec<TimerKey>,
    /// What ended it; `None` while it is awaited. It is kept until its outstanding attempts end.
    end: Option<RequestEnd>,
    /// The attempt whose reply is being streamed to the client, or is about to be.
    pub(super) streaming: Option<Streaming>,
    /// The client has part of a value, which only a reply with the same value can complete.
    pub(super) value_begun: bool,
}

/// An attempt whose reply is being streamed.
#[derive(Clone, Copy)]
pub(super) struct Streaming {
    pub(super) attempt: u32,
    /// It gives way to another attempt: its reply is only compared so far with the part that the client has, or is awaited beyond
    /// the deadline.
    pub(super) is_comparing: bool,
}

impl Attempt {
    /// Whether it may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.outcome().never_ran())
    }

    /// Whether its reply had begun and was not used, for lack of time or for another attempt's sake.
    pub(super) fn reply_is_given_up(&self) -> bool {
        let ends = [None, Some(AttemptOutcome::TimedOutSent), Some(AttemptOutcome::Cancelled)];
        self.reply_begun && ends.contains(&self.outcome)
    }

    /// Whether its reply may have been a copy of an earlier one on its connection.
    pub(super) fn is_doubtful(&self) -> bool {
        self.stalled || self.outcome == Some(AttemptOutcome::Garbled)
    }

    /// How it ended, for the log.
    pub(super) fn outcome_name(&self) -> &'static str {
        let outstanding = if self.stalled { "stalled" } else { "outstanding" };
        self.outcome.map_or(outstanding, AttemptOutcome::name)
    }
}

impl<C> InFlightRequest<C> {
    pub(super) fn new(arrived: ArrivedRequest<C>) -> Self {
        InFlightRequest {
            client_id: arrived.client_id,
            class: arrived.class,
            reply_slot: arrived.reply_slot,
            deadline: arrived.deadline,
            call: Rc::new(arrived.call),
            attempts: Vec::new(),
            timers: Vec::new(),
            end: None,
            streaming: None,
            value_begun: false,
        }
    }

    /// Ends the request. Returns false if it has ended before.
    pub(super) fn finish(&mut self, end: RequestEnd) -> bool {
        let is_first = self.end.is_none();
        self.end.get_or_insert(end);
        is_first
    }

    /// Whether the request was answered or its client has left.
    pub(super) fn is_finished(&self) -> bool {
        self.end.is_some()
    }

    /// Whether the request has ended, and so have all its attempts.
    pub(super) fn is_done(&self) -> bool {
        self.is_finished() && self.attempts.iter().all(|attempt| attempt.outcome.is_some())
    }

    /// Whether the reply of this attempt is streamed to the client, or compared with what the client has.
    pub(super) fn is_streamed_by(&self, attempt: u32) -> bool {
        self.streaming.is_some_and(|streaming| streaming.attempt == attempt)
    }

    /// The outcome of an attempt that counts: a whole reply that cannot continue the value of which the client has a part is of no
    /// use.
    pub(super) fn usable_outcome(&self, attempt: u32, outcome: AttemptOutcome) -> AttemptOutcome {
        let is_whole = matches!(outcome, AttemptOutcome::Served | AttemptOutcome::Absent);
        let continues_other = self.value_begun && !self.is_streamed_by(attempt);
        match is_whole && continues_other && !self.is_finished() {
            true => AttemptOutcome::Garbled,
            false => outcome,
        }
    }

    /// The answer that the reply of an attempt gives to the request; `None` if it gives none.
    pub(super) fn answer_by_reply(
        &self,
        attempt: u32,
        outcome: AttemptOutcome,
        value: Option<Vec<u8>>,
    ) -> Option<Answer> {
        let is_free = self.streaming.is_none_or(|streaming| streaming.is_comparing);
        match outcome {
            _ if self.is_finished() => None,
            AttemptOutcome::Absent => is_free.then_some(Answer::Absent),
            AttemptOutcome::Served if self.is_streamed_by(attempt) => Some(Answer::Streamed),
            AttemptOutcome::Served => is_free.then(|| Answer::Served(value.unwrap_or_default())),
            _ => None,
        }
    }

    /// Lets another attempt stream its reply if this one was streamed and the request is still awaited. Returns what
    /// [`InFlightRequest::interrupt`] does then.
    pub(super) fn interrupt_if_streamed_by(&mut self, attempt: u32, now: Micros) -> Option<bool> {
        (self.is_streamed_by(attempt) && !self.is_finished()).then(|| self.interrupt(now))
    }

    /// Lets another attempt stream its reply. Returns whether the client has part of a value, which that attempt has to
    /// continue.
    pub(super) fn interrupt(&mut self, now: Micros) -> bool {
        self.streaming = None;
        if self.value_begun {
            self.deadline = continuation_deadline(now, self.deadline);
        }
        self.value_begun
    }

    /// Whether a repeat found no connection to the process that may have run the request.
    pub(super) fn has_lost_process(&self) -> bool {
        self.attempts.iter().any(|a| a.is_repeat && a.outcome == Some(AttemptOutcome::NotSent))
    }

    /// The client's id, for the log.
    pub(super) fn name(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.client_id)
    }
}
