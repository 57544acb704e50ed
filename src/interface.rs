//! Settings, events and actions: the interface between the router and its host.
//!
//! All times are [`Micros`] on one monotonic clock that the host provides; durations have the same unit.
//! Classes, tenants, zones, cells, kinds, servers and keys are plain numbers; the host maps them to names.

/// A point in time on the host's monotonic clock, or a duration, in microseconds.
pub type Micros = u64;
/// Identifies a request. Assigned by the host and never reused within one router instance.
pub type RequestId = u64;
/// Identifies a server in the endpoint list. All proxies use the same id for the same server.
pub type ServerId = u32;
/// The hash of a request's key, computed by [`key_hash`].
pub type Key = u64;

/// Hashes the bytes of a key. All proxies of a fleet must use this function, since placement depends on it.
pub fn key_hash(bytes: &[u8]) -> Key {
    // FNV-1a, implemented here so that placement cannot change with a compiler or library version.
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

/// The set of servers that share deduplication state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Whether a request may be repeated once an attempt of it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat at any time.
    Idempotent,
    /// Servers within `scope` drop repeats for `window` after an attempt was sent.
    Deduplicated {
        /// The servers that drop repeats.
        scope: Scope,
        /// How long repeats are dropped, counted from the sending of the first attempt that may have run.
        window: Micros,
    },
    /// Must never run twice.
    AtMostOnce,
}

/// A class of requests with the same objectives and retry rules.
#[derive(Clone, Debug)]
pub struct Class {
    /// The time from arrival within which an answer earns its full value.
    pub latency_objective: Micros,
    /// The value of an answer within the latency objective.
    pub priority_weight: f64,
    /// The share of [`Class::priority_weight`] that an answer after the latency objective earns.
    pub late_value_share: f64,
    /// Whether requests of this class may be repeated once an attempt may have run.
    pub effect: Effect,
    /// The share of the origin's congestion window that requests of this class may use, up to 1.
    pub window_share: f64,
}

/// A tenant whose requests are counted against a quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The tenant's quota in requests per second, summed over all proxies.
    pub quota_per_s: f64,
}

/// How the proxy receives the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Discovery sends changes without being asked.
    Pushed,
    /// An agent on the proxy's machine holds the list and sends changes after [`Action::Watch`]. Calls to it cost
    /// nothing, and the proxy is expected to know a change as soon as the agent has it.
    LocalAgent {
        /// How long requests may still be sent to a server after the agent knows that it drains.
        drain_grace: Micros,
    },
    /// Discovery sends changes after [`Action::Watch`]. A proxy that has made no call to discovery for
    /// `poll_interval` is expected to know every change listed before that.
    OnRequest {
        /// The longest time without a watch or a call to discovery.
        poll_interval: Micros,
    },
}

/// The configuration of a fleet. Fixed for the lifetime of a router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of proxies of the fleet, including this one.
    pub proxies: u32,
    /// The request classes, indexed by [`Request::class`].
    pub classes: Vec<Class>,
    /// The tenants, indexed by [`Request::tenant`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// The value of a request beyond its tenant's quota, as a share of its class's value.
    pub over_quota_weight: f64,
    /// The [`Endpoint::kind`] of origin servers; `None` if the caches fetch missing values themselves.
    pub origin_kind: Option<u32>,
    /// How the proxy receives the endpoint list.
    pub discovery: Discovery,
    /// Whether listed sizes vary with the current load. If so, the router uses the largest size seen for a
    /// server.
    pub sizes_vary_with_load: bool,
    /// The maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether hedged requests are allowed, that is, two outstanding attempts of one request.
    pub hedging: bool,
    /// Whether the router may cancel attempts.
    pub may_cancel: bool,
    /// The upper bound on Retry-After; 0 if clients get no Retry-After.
    pub max_retry_after: Micros,
    /// The maximum number of requests in flight at this proxy.
    pub max_in_flight: u32,
    /// The minimum share of its full capacity that a server has right after it starts.
    pub initial_capacity_share: f64,
    /// How long a server takes to warm up from `initial_capacity_share` to its full capacity.
    pub warmup: Micros,
    /// A warming server fails when its load exceeds its current capacity by more than this factor.
    pub overload_multiple: f64,
    /// The time over which that load is measured.
    pub overload_window: Micros,
}

impl Settings {
    /// Returns the class of a request, or `None` if it is not in the settings.
    pub(crate) fn class_of(&self, request: &Request) -> Option<&Class> {
        request.class.and_then(|class| self.classes.get(class as usize))
    }
}

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// In service.
    Serving,
    /// Finishes its current work and must get no new attempts.
    Draining,
    /// Removed from the list; must get no new attempts.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server that this entry describes.
    pub server: ServerId,
    /// The kind of server; see [`Settings::origin_kind`].
    pub kind: u32,
    /// The zone that the server runs in.
    pub zone: u32,
    /// The cell that the server belongs to.
    pub cell: u32,
    /// The server's capacity relative to other servers.
    pub size: f64,
    /// When the server process started; 0 if it was running before the clock started. A new value means a new
    /// process.
    pub started_at: Micros,
    /// Whether the server takes new attempts.
    pub state: ServerState,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id of the request, unique within one router instance.
    pub id: RequestId,
    /// The index of its class; `None` if the settings do not contain it. Such a request is never repeated
    /// once an attempt may have run.
    pub class: Option<u32>,
    /// The index of its tenant, if the settings contain it.
    pub tenant: Option<u32>,
    /// The hash of the key that it reads or writes, if any.
    pub key: Option<Key>,
    /// The group that a limits layer assigns to the key, as returned by [`crate::Decide::group`]; 0 for none.
    pub group: u32,
    /// Whether the request is a write.
    pub write: bool,
    /// Whether the value of a write is still being received from the client, so that an attempt takes as long as the client
    /// does.
    pub upload: bool,
    /// The time by which the final answer must have been sent.
    pub deadline: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server gave a whole reply.
    Ok,
    /// The server replied with an error. The attempt may have run.
    Error,
    /// The server rejected the attempt before processing it. The attempt never ran.
    Rejected,
    /// No reply arrived in time. The attempt may have run, or may still be running.
    Timeout,
    /// No connection could be established. The attempt never ran.
    ConnectFailed,
    /// The connection broke. The attempt may have run.
    Reset,
    /// The reply could not be parsed. The attempt may have run. The server counts as reachable and healthy.
    MalformedReply,
    /// The proxy has no memory for the reply, nor for that of another attempt. The attempt may have run. The server counts as
    /// reachable and healthy.
    NoCapacity,
    /// The proxy cancelled the attempt. The attempt may have run.
    Cancelled,
    /// The attempt was not sent, and never ran.
    NotSent,
    /// The cache has no value for the key. The attempt never ran.
    Miss,
}

impl Outcome {
    /// Returns whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss)
    }
}

/// How long other attempts may take to continue a reply that the client has received in part, in microseconds.
const CONTINUATION_TIME: Micros = 2_000_000;

/// Returns the deadline of a request whose reply has begun and was interrupted now. A reply that has begun has no
/// deadline, but the attempt that continues it needs one.
pub fn continuation_deadline(now: Micros, deadline: Micros) -> Micros {
    deadline.max(now.saturating_add(CONTINUATION_TIME))
}

/// An input of the router.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// A full endpoint list. Servers that it does not contain are gone.
    EndpointList(&'a [Endpoint]),
    /// Changed entries of the endpoint list. Other servers are unchanged.
    EndpointUpdate(&'a [Endpoint]),
    /// A call to discovery failed, or the watch ended.
    DiscoveryError,
    /// A request arrived. It gets exactly one final answer unless its client leaves first.
    Arrived(Request),
    /// The proxy started to stream a reply to the client. The deadline of the request no longer applies.
    ReplyStarted {
        /// The request that the reply belongs to.
        id: RequestId,
        /// The attempt that replied, counted from 0 in the order of sending.
        attempt: u32,
        /// How long the server took to start the reply; `None` if unknown, as in [`Event::AttemptEnded`].
        took: Option<Micros>,
        /// Whether the other attempts are no longer needed: false while the reply is only compared with what an earlier attempt
        /// has given, which may still go on, or is awaited beyond the deadline.
        exclusive: bool,
    },
    /// The server has begun a reply that cannot be passed on yet. It was quick enough for its window, whatever the rest of the
    /// reply takes, and other attempts may still answer the request.
    ReplyBegun {
        /// The request that the reply belongs to.
        id: RequestId,
        /// The attempt that replied.
        attempt: u32,
        /// How long the server took to begin the reply; `None` if unknown, as in [`Event::AttemptEnded`].
        took: Option<Micros>,
    },
    /// A reply that has begun pauses, or cannot be told from a copy of an earlier one. That proves nothing: the attempt goes on,
    /// and another one may be sent beside it.
    ReplyStalled {
        /// The request that the reply belongs to.
        id: RequestId,
        /// The attempt whose reply it is.
        attempt: u32,
        /// Whether the reply may be a copy of an earlier one, so that another one of the same server may differ.
        may_be_copy: bool,
        /// Whether the last attempt is kept, to continue the reply if it breaks off.
        keep_last_attempt: bool,
    },
    /// The reply that was being streamed ended before it was complete, and another attempt may continue it. Sent before
    /// the end of its attempt.
    ReplyInterrupted {
        /// The request that the reply belongs to.
        id: RequestId,
        /// The attempt whose reply it was.
        attempt: u32,
        /// Whether the client has received part of the reply. The request's deadline then no longer applies; see
        /// [`continuation_deadline`].
        begun: bool,
    },
    /// The host has given the final answer with the reply of this attempt, whole or cut off. Sent before the end of the attempt.
    Answered {
        /// The request that was answered.
        id: RequestId,
        /// The attempt whose reply it was, counted from 0 in the order of sending.
        attempt: u32,
    },
    /// An attempt ended. The host reports exactly one end for each [`Action::Send`]. It does not end its request: only
    /// [`Event::Answered`], [`Event::ClientLeft`], [`Action::Reject`] and [`Action::Fail`] do.
    AttemptEnded {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The attempt, counted from 0 in the order of sending.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// How long the server took; `None` if that cannot be separated from other delays, such as the
        /// handshake of a new connection.
        took: Option<Micros>,
    },
    /// The client disconnected and needs no final answer.
    ClientLeft(RequestId),
    /// A timer that was set by [`Action::Timer`] fired; carries its token.
    Timer(u64),
    /// A layer allows one hedged request for a read with one slow outstanding attempt.
    HedgeGranted(RequestId),
    /// The host cannot wait for this request any longer, for example during shutdown: give the final answer
    /// now.
    AnswerNow(RequestId),
}

/// An output of the router. The host executes actions immediately and in order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request to a server.
    Send {
        /// The request to send.
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// When the host must stop waiting for the reply and report [`Outcome::Timeout`].
        give_up_at: Micros,
        /// The latest time at which the attempt may start, for example after waiting for a connection: the
        /// client's deadline or the end of the deduplication window, whichever is earlier.
        begin_by: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The attempt, counted from 0 in the order of sending.
        attempt: u32,
    },
    /// Send the final answer "rejected", after which the client may safely retry.
    Reject {
        /// The request to answer.
        id: RequestId,
        /// The Retry-After to send; 0 to send none.
        retry_after: Micros,
    },
    /// Send the final answer "failed". The request may have taken effect.
    Fail {
        /// The request to answer.
        id: RequestId,
    },
    /// Send [`Event::Timer`] with `token` after a delay.
    Timer {
        /// The delay from now.
        after: Micros,
        /// The token to return in [`Event::Timer`].
        token: u64,
    },
    /// Watch the endpoint list for changes.
    Watch,
}
