//! What is held of a request until it is over and none of its attempts is outstanding.

use super::backends::BackendIndex;
use super::request_coalescing::FetchKey;
use super::tenant_quotas::QuotaStanding;
use crate::interface::{Micros, Outcome, Request};

/// What is known of whether an attempt has run.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// It has not ended.
    Outstanding,
    /// It ended, and never ran.
    NeverRan,
    /// It ended, and may have run.
    MayHaveRun,
}

/// What an attempt is for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptKind {
    /// A read of a cache.
    CacheRead,
    /// A read that missed, or a write, at the origin; where there is no origin, at a cache that fetches for
    /// itself.
    OriginCall,
}

/// One attempt at a request.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) backend: BackendIndex,
    pub(super) sent_at: Micros,
    pub(super) state: AttemptState,
    pub(super) kind: AttemptKind,
    /// The server rejected it unseen.
    pub(super) rejected: bool,
    /// The same server may be tried again for this request.
    pub(super) retry_same_server: bool,
    /// Its reply is being streamed to the client.
    pub(super) streaming: bool,
    /// The fetch that others wait for, if this attempt is it.
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
            streaming: false,
            coalesced_fetch: None,
        }
    }

    pub(super) fn is_outstanding(&self) -> bool {
        self.state == AttemptState::Outstanding
    }

    pub(super) fn is_origin_call(&self) -> bool {
        self.kind == AttemptKind::OriginCall
    }

    /// Notes how the attempt ended.
    pub(super) fn end(&mut self, outcome: Outcome) {
        self.rejected = outcome == Outcome::Rejected;
        // A malformed reply, or one connection that broke, must not drive a read from the cache that holds
        // its key to the origin. A cache that is down fails again, and the origin is asked then.
        self.retry_same_server =
            matches!(outcome, Outcome::MalformedReply | Outcome::Reset) && !self.is_origin_call();
        self.state = if outcome.never_ran() { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
    }
}

/// A request that is open, or over with attempts outstanding.
pub(super) struct InFlightRequest {
    pub(super) request: Request,
    /// In the order of sending.
    pub(super) attempts: Vec<Attempt>,
    /// The final answer has been given, or the client has left.
    pub(super) done: bool,
    /// A reply is being streamed to the client.
    pub(super) streaming: bool,
    /// The cache at which the latest miss was seen.
    pub(super) missed_at: Option<BackendIndex>,
    /// How it stood to its tenant's quota when it arrived.
    pub(super) quota: QuotaStanding,
}

impl InFlightRequest {
    pub(super) fn new(request: Request, quota: QuotaStanding) -> Self {
        InFlightRequest {
            request,
            attempts: Vec::new(),
            done: false,
            streaming: false,
            missed_at: None,
            quota,
        }
    }

    /// Whether it waits for a final answer that has not begun.
    pub(super) fn awaits_answer(&self) -> bool {
        !self.done && !self.streaming
    }

    pub(super) fn has_outstanding(&self) -> bool {
        self.attempts.iter().any(Attempt::is_outstanding)
    }

    pub(super) fn has_outstanding_origin_call(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_outstanding() && attempt.is_origin_call())
    }

    /// Whether others wait for one of its outstanding attempts.
    pub(super) fn has_outstanding_coalesced_fetch(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_outstanding() && attempt.coalesced_fetch.is_some())
    }

    /// Attempts left of so many.
    pub(super) fn attempts_left(&self, max_attempts: u32) -> usize {
        (max_attempts as usize).saturating_sub(self.attempts.len())
    }
}
