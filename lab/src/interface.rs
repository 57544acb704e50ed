//! What the lab asks of whatever decides for a proxy, and what a policy may look at; the decision module behind it.

use notchdoor::{Action, Decide, Event, Key, Micros, ServerId};
use notchdoor_limits::layer::LimitsMetrics;
use notchdoor_limits::policy::Policy as LimitsFile;
use notchdoor_limits::stack::Stack;
use std::sync::Arc;

/// What a policy that sees everything may look at. The decision module looks at none of it.
pub trait OracleView {
    /// How long a request of `work` microseconds would take at a worker, from what it has now; `None` if it
    /// does not run or cannot be reached.
    fn wait(&self, server: ServerId, work: f64) -> Option<f64>;
    /// Whether a worker keeps a copy for this key.
    fn holds(&self, server: ServerId, key: Key) -> bool;
    /// Work that a worker does in a microsecond now; 0 if it does not run or cannot be reached.
    fn capacity(&self, server: ServerId) -> f64;
    /// How long a fetch would take at the origin, from what it has now; `None` while it is stopped.
    fn origin_wait(&self) -> Option<f64>;
    /// How busy a worker said it was, in the latest report that is out.
    fn reported(&self, server: ServerId) -> Option<f64>;
}

/// What a policy holds, to be compared with what is really out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests held.
    pub held: usize,
    /// Attempts out.
    pub out: u64,
}

/// One proxy's decisions.
pub trait Policy {
    /// Takes one event and appends what is to be done at once.
    fn handle(&mut self, now: Micros, event: Event<'_>, oracle: &dyn OracleView, actions: &mut Vec<Action>);

    /// The group of a key; see [`notchdoor::Request::group`]. A key's text here is its number in hex.
    fn group(&self, _key: Key) -> u32 {
        0
    }

    /// What limits round it have done, and how often their breakers opened; `None` where there are none.
    fn limited(&self) -> Option<(LimitsMetrics, u64)> {
        None
    }

    /// Takes up another file of limits; false if it cannot.
    fn reload(&mut self, _limits: Arc<LimitsFile>, _now: Micros) -> bool {
        false
    }

    /// What it holds; `None` if it does not say.
    fn load(&self) -> Option<Load> {
        None
    }

    /// The origin's window, if it has one.
    fn window(&self) -> Option<f64> {
        None
    }

    /// Whatever it still keeps that should be gone once every request is over, in words.
    fn left_over(&self) -> Option<String> {
        None
    }
}

impl Policy for Stack {
    fn handle(&mut self, now: Micros, event: Event<'_>, _: &dyn OracleView, actions: &mut Vec<Action>) {
        Decide::handle(self, now, event, actions);
    }

    fn group(&self, key: Key) -> u32 {
        match self {
            Stack::Plain(_) => 0,
            Stack::Limited(limits) => limits.group(format!("{key:016x}").as_bytes()),
        }
    }

    fn limited(&self) -> Option<(LimitsMetrics, u64)> {
        match self {
            Stack::Plain(_) => None,
            Stack::Limited(limits) => Some((limits.metrics(), limits.breaker_openings())),
        }
    }

    fn reload(&mut self, limits: Arc<LimitsFile>, now: Micros) -> bool {
        Stack::reload(self, Some(limits), now)
    }

    fn load(&self) -> Option<Load> {
        let (held, out) = Stack::load(self);
        Some(Load { held, out })
    }

    fn window(&self) -> Option<f64> {
        Some(self.router().snapshot().window)
    }

    fn left_over(&self) -> Option<String> {
        Stack::leaked_state(self)
    }
}
