//! Metrics and state inspection for operators and tests.

use super::Proxy;
use crate::state::endpoints::Backend;
use crate::state::metrics::counters::ByClass;
use crate::state::metrics::snapshot::{Metrics, VersionMetrics};
use notchdoor::{Decide, ServerId};
use std::collections::HashSet;

impl<C> Proxy<C> {
    /// Number of requests without a final answer.
    pub fn unanswered_requests(&self) -> usize {
        self.reply_slots.len()
    }

    /// Number of requests in flight: unanswered ones, and finished ones with outstanding attempts such as an origin fetch.
    pub fn requests_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Describes a request on which the proxy and the layers below it disagree: whether it is awaited, or whether a reply is being
    /// streamed. `None` if there is none. Takes time linear in the requests in flight.
    pub fn disagreement(&self) -> Option<String> {
        self.in_flight.iter().find_map(|(&id, request)| {
            let is_awaited = !request.is_finished();
            match self.stack.is_open(id) {
                Err(description) => return Some(description),
                Ok(by_stack) if by_stack != is_awaited => {
                    return Some(format!(
                        "request {id} is awaited by the proxy: {is_awaited}, below: {by_stack}"
                    ));
                }
                Ok(_) => {}
            }
            let is_streaming = request.streaming.is_some();
            let by_router = self.stack.router().is_streaming(id);
            (is_awaited && is_streaming != by_router).then(|| {
                format!("request {id} is streamed by the proxy: {is_streaming}, by the router: {by_router}")
            })
        })
    }

    /// Describes state that remains although all requests should have ended; `None` if there is none.
    pub fn leaked_state(&self) -> Option<String> {
        let timed = self.timers.tokens().filter(|t| self.stack.timer_request(*t).is_some()).count();
        let remaining = [
            self.in_flight.len(),
            self.open_client_ids.len(),
            self.reply_slots.len(),
            self.outstanding.len(),
            timed,
        ];
        let description = || format!("in flight, client ids, reply slots, attempts, timers: {remaining:?}");
        self.stack.leaked_state().or_else(|| (remaining != [0; 5]).then(description))
    }

    /// A snapshot of the metrics for operators.
    pub fn metrics(&self) -> Metrics<'_> {
        let ejected: HashSet<ServerId> = self.stack.router().ejected_servers().collect();
        let excluded = |(id, w): &(ServerId, &Backend)| self.endpoints.is_drained(w) || ejected.contains(id);
        let by_class = |n: fn(&ByClass) -> u64| {
            self.names.classes.iter().map(String::as_str).zip(self.counters.classes.iter().map(n)).collect()
        };
        Metrics {
            served: by_class(|c| c.served),
            refused: by_class(|c| c.refused),
            failed: by_class(|c| c.failed),
            attempts: self.counters.attempts,
            in_flight: self.unanswered_requests(),
            cache_nodes_known: self.endpoints.caches().count(),
            cache_nodes_excluded: self.endpoints.caches().filter(excluded).count(),
            versions: self.version_in_force.as_ref().map(|versions| VersionMetrics {
                version: versions.acting().on.as_ref().map(|v| v.number),
                since_ms: self.start.wall_at(versions.acting().from).millis(),
                until_ms: self.start.wall_at(versions.until()).millis(),
                refused: self.rejected_by_version,
            }),
            negative_cache: None,
        }
    }
}
