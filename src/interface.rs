//! The interface of the decision module: settings, events and actions.
//!
//! All times are [`Micros`]: whole microseconds on one monotonic clock of the caller's. Durations are in the
//! same unit. Names are the caller's business; classes, tenants, zones, kinds, servers and keys are numbers
//! here.

/// A time on the caller's clock, or a duration, in microseconds.
pub type Micros = u64;
/// A request, numbered by the caller; never reused within one instance.
pub type RequestId = u64;
/// A server, as the endpoint list names it; the same at every proxy.
pub type ServerId = u32;
/// A request's key, hashed by [`key_hash`].
pub type Key = u64;

/// Hashes a key's bytes. Every proxy of a fleet must use this one, or they place keys differently.
pub fn key_hash(bytes: &[u8]) -> Key {
    // FNV-1a: pinned here, so that a new compiler or standard library cannot move keys about.
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

/// Which servers drop the repeats of a deduplicated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// What may be repeated once an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat at any time.
    Idempotent,
    /// Repeats are dropped within `scope`, for `window` from the sending of the attempt.
    Deduplicated {
        /// Where repeats are dropped.
        scope: Scope,
        /// For how long.
        window: Micros,
    },
    /// Must never run twice.
    AtMostOnce,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time earns the full value.
    pub latency_objective: Micros,
    /// The value of one answer within the latency objective.
    pub priority_weight: f64,
    /// The share of that value that an answer after the latency objective still earns.
    pub late_value_share: f64,
    /// Whether a request may be retried once an attempt may have run.
    pub effect: Effect,
    /// The share of the origin's congestion window that requests of this class may use; 1 for all of it.
    pub window_share: f64,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second, over all proxies, that count as within its quota.
    pub quota_per_s: f64,
}

/// How the endpoint list reaches the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive unasked.
    Pushed,
    /// Changes arrive after [`Action::Watch`]. A proxy that has not called discovery for `poll_interval` is
    /// held to know all that was listed by then.
    OnRequest {
        /// The longest time without a watch or a call.
        poll_interval: Micros,
    },
}

/// What a fleet allows and promises; handed over once, at the start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many proxies share the fleet, this one included.
    pub proxies: u32,
    /// The request classes, by [`Request::class`].
    pub classes: Vec<Class>,
    /// The tenants, by [`Request::tenant`]; empty where there are none.
    pub tenants: Vec<Tenant>,
    /// The value of a request over its tenant's quota, as a share of the class's value.
    pub over_quota_weight: f64,
    /// The kind of server that is the origin; `None` where the caches fetch for themselves.
    pub origin_kind: Option<u32>,
    /// How the endpoint list arrives.
    pub discovery: Discovery,
    /// Whether a listed size changes with the load of the moment.
    pub sizes_are_live: bool,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// Whether a request may be hedged: two attempts of it outstanding at once.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// The longest Retry-After that clients heed; 0 where they get none.
    pub max_retry_after: Micros,
    /// The most requests that the proxy may have in flight.
    pub max_in_flight: u32,
    /// The share of its full capacity that a server has when it starts, at the least.
    pub initial_capacity_share: f64,
    /// The time after its start within which a server warms up to its full capacity.
    pub warmup: Micros,
    /// Sent more than this many times its capacity of the moment, a warming server is overloaded and fails.
    pub overload_multiple: f64,
    /// The time over which that is measured.
    pub overload_window: Micros,
}

impl Settings {
    /// The class of a request; `None` if the settings do not know it.
    pub(crate) fn class_of(&self, request: &Request) -> Option<&Class> {
        request.class.and_then(|class| self.classes.get(class as usize))
    }
}

/// What the endpoint list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// In service.
    Serving,
    /// Draining: it finishes its work and takes nothing new.
    Draining,
    /// Gone.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its kind.
    pub kind: u32,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its capacity relative to the other servers'.
    pub size: f64,
    /// When it last started; 0 for long ago.
    pub started_at: Micros,
    /// Its state.
    pub state: ServerState,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class; `None` if the settings do not know it, and then it is never repeated.
    pub class: Option<u32>,
    /// Its tenant, if the settings know it.
    pub tenant: Option<u32>,
    /// What it is about.
    pub key: Option<Key>,
    /// The group that a layer of limits puts its key into; 0 for none. The host asks
    /// [`crate::Decide::group`].
    pub group: u32,
    /// Whether it writes.
    pub write: bool,
    /// When the client gives up; the final answer must have gone out by then.
    pub deadline: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered; the answer has gone to the client.
    Ok,
    /// Answered with an error; it may have run.
    Error,
    /// Rejected unseen; it never ran.
    Rejected,
    /// No answer in time; it may have run, or may still run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Answered with what cannot be parsed; it may have run. The server answers, so this tells nothing
    /// against it.
    MalformedReply,
    /// Cancelled by the proxy; it may have run.
    Cancelled,
    /// Never sent; it never ran.
    NotSent,
    /// Nothing is stored there for the key; it never ran.
    Miss,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss)
    }
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The full endpoint list; servers that it lacks are gone.
    EndpointList(&'a [Endpoint]),
    /// Changes to the endpoint list.
    EndpointUpdate(&'a [Endpoint]),
    /// A call to discovery failed, or the watch ended.
    DiscoveryError,
    /// A request has arrived; one final answer is owed.
    Arrived(Request),
    /// A reply has begun to be streamed to the client: no other attempt can answer it from here on.
    ReplyStarted {
        /// The request.
        id: RequestId,
        /// Its attempt, counted from 0 in the order of sending.
        attempt: u32,
        /// How long the server took until then; `None` where nothing tells, as in [`Event::AttemptEnded`].
        took: Option<Micros>,
    },
    /// An attempt has ended. Each [`Action::Send`] owes exactly one.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Its attempt, counted from 0 in the order of sending.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// How long the server took over it; `None` where nothing tells that from what went before, such as
        /// the handshake that a new connection's first command pays for.
        took: Option<Micros>,
        /// Whether the request is over, by this outcome or before it.
        request_done: bool,
    },
    /// The client has left; no answer is owed any more.
    ClientLeft(RequestId),
    /// A timer that was asked for has fired.
    Timer(u64),
    /// A layer has waited long enough for the one outstanding attempt, and grants a hedged request.
    HedgeGranted(RequestId),
    /// The host can wait no longer for this request: the final answer has to be given now.
    AnswerNow(RequestId),
}

/// What is to be done, at once and in this order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server.
    Send {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// When to give up on this attempt.
        give_up_at: Micros,
        /// From then on the attempt may not begin any more, wherever it has been waiting: the client's time
        /// is over, or the window of deduplication is.
        begin_by: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: u32,
    },
    /// Final answer: rejected; a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// The Retry-After for the client; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed; nothing is promised about its effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Send [`Event::Timer`] with this token after so long.
    Timer {
        /// How far from now.
        after: Micros,
        /// The token to hand back.
        token: u64,
    },
    /// Watch the endpoint list for changes.
    Watch,
}
