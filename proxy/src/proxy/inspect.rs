//! What is held and counted, as operators and checks see it.

use super::Proxy;
use crate::state::endpoints::Backend;
use crate::state::metrics::counters::ByClass;
use crate::state::metrics::snapshot::{Metrics, VersionMetrics};
use notchdoor::{Decide, ServerId};
use std::collections::HashSet;

impl<C> Proxy<C> {
    /// Requests whose answer is owed.
    pub fn owed(&self) -> usize {
        self.reply_slots.len()
    }

    /// Requests that are held: their answer is owed, or their client has left and a fetch is still out.
    pub fn holds(&self) -> usize {
        self.in_flight.len()
    }

    /// What is still kept that should be gone once every request is over.
    pub fn left_over(&self) -> Option<String> {
        let timed = self.timers.tokens().filter(|t| self.stack.timer_request(*t).is_some()).count();
        let kept = [
            self.in_flight.len(),
            self.open_ids.len(),
            self.reply_slots.len(),
            self.outstanding.len(),
            timed,
        ];
        let told = || format!("held, open, places, attempts, timers: {kept:?}");
        self.stack.leaked_state().or_else(|| (kept != [0; 5]).then(told))
    }

    /// What operators are shown.
    pub fn metrics(&self) -> Metrics<'_> {
        let avoided: HashSet<ServerId> = self.stack.router().ejected_servers().collect();
        let excluded = |(id, w): &(ServerId, &Backend)| self.endpoints.is_drained(w) || avoided.contains(id);
        let by_class = |n: fn(&ByClass) -> u64| {
            self.names.classes.iter().map(String::as_str).zip(self.counters.classes.iter().map(n)).collect()
        };
        Metrics {
            served: by_class(|c| c.served),
            refused: by_class(|c| c.refused),
            failed: by_class(|c| c.failed),
            attempts: self.counters.attempts,
            in_flight: self.owed(),
            cache_nodes_known: self.endpoints.caches().count(),
            cache_nodes_excluded: self.endpoints.caches().filter(excluded).count(),
            versions: self.version_in_force.as_ref().map(|o| VersionMetrics {
                version: o.acting().on.as_ref().map(|v| v.number),
                since_ms: self.start.wall_at(o.acting().from).millis(),
                until_ms: self.start.wall_at(o.until()).millis(),
                refused: self.refused_by_version,
            }),
        }
    }
}
