//! Schedules calls to discovery: when to watch the endpoint list, and when to retry after a failure.

use super::random::SplitMix64;
use crate::interface::{Discovery, Micros};

/// The initial backoff after a failed call to discovery.
const INITIAL_BACKOFF: Micros = 250_000;
/// The maximum backoff. With jitter (up to half more) and the call itself, a retry completes within the 6 s
/// in which a change counts as delivered.
const MAX_BACKOFF: Micros = 2_000_000;

/// The state of the watch on the endpoint list.
pub(super) struct DiscoverySchedule {
    discovery: Discovery,
    watching: bool,
    backoff: Micros,
}

impl DiscoverySchedule {
    pub(super) fn new(discovery: Discovery) -> Self {
        DiscoverySchedule { discovery, watching: false, backoff: INITIAL_BACKOFF }
    }

    /// Records that a list or a change arrived, and returns whether to open a watch now.
    pub(super) fn record_update(&mut self) -> bool {
        self.backoff = INITIAL_BACKOFF;
        let open = !self.watching && self.discovery != Discovery::Pushed;
        self.watching |= open;
        open
    }

    /// Records that a call or the watch failed, and returns the delay until the next call, or `None` if
    /// discovery pushes changes. Jitter of plus or minus half the backoff keeps proxies from retrying in
    /// step.
    pub(super) fn record_failure(&mut self, random: &mut SplitMix64) -> Option<Micros> {
        let Discovery::OnRequest { poll_interval } = self.discovery else { return None };
        let pause = (self.backoff as f64 * (0.5 + random.next_unit())) as Micros;
        let max_backoff = (poll_interval / 4).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
        self.backoff = (self.backoff * 2).min(max_backoff);
        Some(pause)
    }
}
