//! The rules for repeating a request: what its class allows once an attempt may have run.

use super::backends::{Backend, Backends};
use super::in_flight::{AttemptState, InFlightRequest};
use crate::interface::{Effect, Endpoint, Micros, Scope, ServerState, Settings};

/// The servers that share deduplication state with the first attempt that may have run.
#[derive(Clone, Copy)]
enum DedupGroup {
    All,
    Zone(u32),
    Cell(u32),
}

impl DedupGroup {
    fn of(scope: Scope, endpoint: &Endpoint) -> Self {
        match scope {
            Scope::All => DedupGroup::All,
            Scope::Zone => DedupGroup::Zone(endpoint.zone),
            Scope::Cell => DedupGroup::Cell(endpoint.cell),
        }
    }

    fn contains(self, endpoint: &Endpoint) -> bool {
        match self {
            DedupGroup::All => true,
            DedupGroup::Zone(zone) => endpoint.zone == zone,
            DedupGroup::Cell(cell) => endpoint.cell == cell,
        }
    }
}

/// What a request may do next.
pub(super) struct AttemptPermission {
    /// Whether a further attempt may be sent to a server of `dedup_group`.
    may_send: bool,
    dedup_group: DedupGroup,
    /// Only processes that are known since then drop a repeat: later ones may have started after the first attempt.
    process_known_by: Micros,
    /// Whether the final answer may be a rejection, which tells the client that a retry is safe.
    pub(super) may_reject: bool,
    /// The latest time at which a further attempt may start.
    pub(super) begin_by: Micros,
}

impl AttemptPermission {
    /// Returns what a request may do next. All retry rules are applied here.
    pub(super) fn of(
        request: &InFlightRequest,
        settings: &Settings,
        backends: &Backends,
        now: Micros,
    ) -> Self {
        let mut permission = AttemptPermission {
            may_send: true,
            dedup_group: DedupGroup::All,
            process_known_by: Micros::MAX,
            may_reject: true,
            begin_by: request.request.deadline,
        };
        permission.restrict_by_effect(request, settings, backends);
        let attempts_exhausted = request.attempts_left(settings.max_attempts) == 0;
        let hedge_forbidden = request.has_outstanding() && !settings.hedging;
        permission.may_send &= !(attempts_exhausted
            || hedge_forbidden
            || !request.awaits_answer()
            || now >= permission.begin_by);
        permission
    }

    /// Returns whether a further attempt may be sent to this server.
    pub(super) fn allows(&self, backend: &Backend) -> bool {
        self.may_send
            && self.dedup_group.contains(&backend.endpoint)
            && backend.process_known_since <= self.process_known_by
    }

    /// Applies the effect of the class, based on the first attempt that may have run. A request of unknown
    /// class is never repeated.
    fn restrict_by_effect(&mut self, request: &InFlightRequest, settings: &Settings, backends: &Backends) {
        let may_have_run = |state| state != AttemptState::NeverRan;
        let Some(risky) = request.attempts.iter().find(|attempt| may_have_run(attempt.state)) else { return };
        match settings.class_of(&request.request).map_or(Effect::AtMostOnce, |class| class.effect) {
            Effect::Idempotent => {}
            Effect::AtMostOnce => {
                self.may_send = false;
                self.may_reject = false;
            }
            Effect::Deduplicated { scope, window } => {
                let backend = &backends[risky.backend];
                self.dedup_group = DedupGroup::of(scope, &backend.endpoint);
                self.process_known_by = risky.sent_at;
                self.begin_by = self.begin_by.min(risky.sent_at + window);
                // Where its process is gone, nobody may know that a further one is a repeat.
                let is_same_process = backend.process_known_since <= risky.sent_at
                    && backend.endpoint.state != ServerState::Gone;
                self.may_reject = scope == Scope::All && is_same_process;
            }
        }
    }
}
