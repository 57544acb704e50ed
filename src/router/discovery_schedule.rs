//! Schedules calls to discovery: when to watch the endpoint list, and when to retry after a failure.

use super::random::SplitMix64;
use crate::interface::{Discovery, Micros};

/// The initial backoff after a failed call to discovery.
const INITIAL_BACKOFF: Micros = 250_000;
/// The maximum backoff. With jitter (up to half more) and the call itself, a retry completes within the 6 s
/// in which a change counts as delivered.
const MAX_BACKOFF: Micros = 2_000_000;
/// The drain grace divided by the backoff of calls to an agent on this machine. With jitter and the time that a
/// process may be held up, a drain that the agent learns of between two calls is known within its grace.
const GRACE_PER_AGENT_BACKOFF: Micros = 5;
/// The minimum backoff of calls to an agent, for deployments without a drain grace.
const MIN_AGENT_BACKOFF: Micros = 10_000;

/// The state of the watch on the endpoint list.
pub(super) struct DiscoverySchedule {
    discovery: Discovery,
    watching: bool,
    backoff: Micros,
}

impl DiscoverySchedule {
    pub(super) fn new(discovery: Discovery) -> Self {
        DiscoverySchedule { discovery, watching: false, backoff: backoff_range(discovery).0 }
    }

    /// Records that a list or a change arrived, and returns whether to open a watch now.
    pub(super) fn record_update(&mut self) -> bool {
        self.backoff = backoff_range(self.discovery).0;
        let open = !self.watching && self.discovery != Discovery::Pushed;
        self.watching |= open;
        open
    }

    /// Records that a call or the watch failed, and returns the delay until the next call, or `None` if
    /// discovery pushes changes. Jitter of plus or minus half the backoff keeps proxies from retrying in
    /// step.
    pub(super) fn record_failure(&mut self, random: &mut SplitMix64) -> Option<Micros> {
        if self.discovery == Discovery::Pushed {
            return None;
        }
        let pause = (self.backoff as f64 * (0.5 + random.next_unit())) as Micros;
        self.backoff = (self.backoff * 2).min(backoff_range(self.discovery).1);
        Some(pause)
    }
}

/// The initial and the maximum backoff after a failed call. A service that many proxies share is spared; an agent on
/// this machine is not, since its changes bind as soon as it has them.
fn backoff_range(discovery: Discovery) -> (Micros, Micros) {
    match discovery {
        Discovery::Pushed => (INITIAL_BACKOFF, INITIAL_BACKOFF),
        Discovery::LocalAgent { drain_grace } => {
            let backoff = (drain_grace / GRACE_PER_AGENT_BACKOFF).clamp(MIN_AGENT_BACKOFF, INITIAL_BACKOFF);
            (backoff, backoff)
        }
        Discovery::OnRequest { poll_interval } => {
            (INITIAL_BACKOFF, (poll_interval / 4).clamp(INITIAL_BACKOFF, MAX_BACKOFF))
        }
    }
}
