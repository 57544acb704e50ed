//! Schedules the calls to discovery: when to watch the endpoint list, and when to try again after a failure.

use super::random::SplitMix64;
use crate::interface::{Discovery, Micros};

/// The first pause before discovery is called again after a failure, in microseconds.
const INITIAL_BACKOFF: Micros = 250_000;
/// The longest such pause, in microseconds. With half as much again as jitter and the call itself it is over
/// within the 6 s in which a change counts as delivered.
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

    /// A list or a change has arrived; whether a watch is to be opened now.
    pub(super) fn record_update(&mut self) -> bool {
        self.backoff = INITIAL_BACKOFF;
        let open = !self.watching && self.discovery != Discovery::Pushed;
        self.watching |= open;
        open
    }

    /// A call or the watch has failed; the pause until the next call, if calls are made at all. Jitter
    /// spreads it over half to one and a half of the backoff: proxies that failed together should not call
    /// together.
    pub(super) fn record_failure(&mut self, random: &mut SplitMix64) -> Option<Micros> {
        let Discovery::OnRequest { poll_interval } = self.discovery else { return None };
        let pause = (self.backoff as f64 * (0.5 + random.next_unit())) as Micros;
        let max_backoff = (poll_interval / 4).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
        self.backoff = (self.backoff * 2).min(max_backoff);
        Some(pause)
    }
}
