//! The state of a request until it is done and has no outstanding attempts.

use super::backends::BackendIndex;
use super::request_coalescing::FetchKey;
use super::tenant_quotas::QuotaStanding;
use crate::interface::{Micros, Outcome, Request};

/// Whether an attempt has ended and may have run.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// Has not ended.
    Outstanding,
    /// Ended without running.
    NeverRan,
    /// Ended and may have run.
    MayHaveRun,
}

/// The purpose of an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptKind {
    /// A read from a cache.
    CacheRead,
    /// A missed read or a write at the origin; without an origin, at a cache that fetches the value itself.
    OriginCall,
}

/// An attempt of a request.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) backend: BackendIndex,
    pub(super) sent_at: Micros,
    pub(super) state: AttemptState,
    pub(super) kind: AttemptKind,
    /// Whether the server rejected it without processing it.
    pub(super) rejected: bool,
    /// Whether the request may be sent to the same server again.
    pub(super) retry_same_server: bool,
    /// Whether its server has begun a reply whose rest does not count against the server.
    pub(super) reply_begun: bool,
    /// Whether its reply pauses and may be a copy, where no other attempt can be sent beside it.
    pub(super) awaits_replacement: bool,
    /// The shared fetch that this attempt performs, if any.
    pub(super) coalesced_fetch: Option<FetchKey>,
}

impl Attempt {
    pub(super) fn new(backend: BackendIndex, kind: AttemptKind, now: Micros) -> Self {
        Attempt {
            backend,
            sent_at: now,
            state: AttemptState::Outstanding,
            kind,
            rejected: false,
            retry_same_server: false,
            reply_begun: false,
            awaits_replacement: false,
            coalesced_fetch: None,
        }
    }

    pub(super) fn is_outstanding(&self) -> bool {
        self.state == AttemptState::Outstanding
    }

    pub(super) fn is_origin_call(&self) -> bool {
        self.kind == AttemptKind::OriginCall
    }

    /// Records how the attempt ended.
    pub(super) fn end(&mut self, outcome: Outcome) {
        self.rejected = outcome == Outcome::Rejected;
        // A malformed reply or a single broken connection must not send a read from the cache that has its
        // key to the origin. If the cache is down, the second attempt fails too and the read goes to the
        // origin.
        self.retry_same_server =
            matches!(outcome, Outcome::MalformedReply | Outcome::Reset) && !self.is_origin_call();
        self.state = if outcome.never_ran() { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
    }
}

/// What ended a request: its final answer, or its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// The host answered it with the reply of this attempt.
    AnsweredByReply(usize),
    /// The router rejected or failed it.
    AnsweredByRouter,
    /// The client left.
    ClientLeft,
}

/// A request that is open, or done with outstanding attempts.
pub(super) struct InFlightRequest {
    pub(super) request: Request,
    /// In the order of sending.
    pub(super) attempts: Vec<Attempt>,
    /// What ended it; `None` while it is open.
    end: Option<RequestEnd>,
    /// The attempt whose reply is being streamed to the client, or compared with the part that the client has.
    pub(super) streaming: Option<usize>,
    /// Until when other attempts may continue a reply that the client has in part; `None` if none was interrupted.
    pub(super) continued_until: Option<Micros>,
    /// The cache that returned the latest miss.
    pub(super) missed_at: Option<BackendIndex>,
    /// Whether the request was within its tenant's quota on arrival.
    pub(super) quota: QuotaStanding,
}

impl InFlightRequest {
    pub(super) fn new(request: Request, quota: QuotaStanding) -> Self {
        InFlightRequest {
            request,
            attempts: Vec::new(),
            end: None,
            streaming: None,
            continued_until: None,
            missed_at: None,
            quota,
        }
    }

    /// Ends the request unless it has ended already.
    pub(super) fn finish(&mut self, end: RequestEnd) {
        self.end.get_or_insert(end);
    }

    /// Whether the final answer was given or the client left.
    pub(super) fn is_done(&self) -> bool {
        self.end.is_some()
    }

    /// Whether the reply of this attempt was the final answer.
    pub(super) fn is_answered_by(&self, attempt: usize) -> bool {
        self.end == Some(RequestEnd::AnsweredByReply(attempt))
    }

    /// Returns whether the request still needs a final answer and no reply has started.
    pub(super) fn awaits_answer(&self) -> bool {
        !self.is_done() && self.streaming.is_none()
    }

    pub(super) fn has_outstanding(&self) -> bool {
        self.attempts.iter().any(Attempt::is_outstanding)
    }

    pub(super) fn has_outstanding_origin_call(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_outstanding() && attempt.is_origin_call())
    }

    /// Returns whether an outstanding attempt performs a shared fetch.
    pub(super) fn has_outstanding_coalesced_fetch(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_outstanding() && attempt.coalesced_fetch.is_some())
    }

    /// Returns how many of `max_attempts` attempts are left.
    pub(super) fn attempts_left(&self, max_attempts: u32) -> usize {
        (max_attempts as usize).saturating_sub(self.attempts.len())
    }
}
