//! The trait shared by the router and the layers around it. A layer takes the same events and returns the
//! same actions as the router that it wraps; the host only sees the outermost layer.

use crate::{Action, Event, Micros, RequestId, Router};

/// Makes routing decisions: the router, or a layer around it.
pub trait Decide {
    /// Handles one event and appends the resulting actions to `actions`.
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>);

    /// Returns the request that a timer token refers to; see [`Router::timer_request`].
    fn timer_request(&self, token: u64) -> Option<RequestId>;

    /// Returns the value of [`crate::Request::group`] for a key; 0 for none.
    fn group(&self, _key: &[u8]) -> u32 {
        0
    }
}

impl Decide for Router {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        Router::handle(self, now, event, actions);
    }

    fn timer_request(&self, token: u64) -> Option<RequestId> {
        Router::timer_request(token)
    }
}
