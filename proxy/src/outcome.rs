//! How attempts, client connections and discovery watches end, with the counter name of each.

use notchdoor::Outcome;

/// Prefix of the counter names. Operators' scripts read the names from the log, so they stay the same even if a variant
/// is renamed.
pub const COUNTER_PREFIX: &str = "ending_";

/// How an attempt at a backend or the origin ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AttemptOutcome {
    /// The backend or origin returned a value or confirmed a write.
    Served,
    /// The backend does not have the key.
    Missed,
    /// The origin does not have the key, according to its reply or the negative cache.
    Absent,
    /// The backend or origin returned an error.
    Errored,
    /// The backend or origin rejected the command without executing it.
    Rejected,
    /// The connection was refused, or reset during the handshake.
    ConnectRefused,
    /// The connection was not established before its timeout.
    ConnectTimedOut,
    /// The connection broke before the command's last byte was written.
    BrokenUnsent,
    /// The connection broke after the command's last byte was written.
    BrokenSent,
    /// The reply was malformed.
    Garbled,
    /// A large reply began, but the memory limit for large replies was reached.
    NoCapacity,
    /// The attempt timed out after the whole command was written.
    TimedOutSent,
    /// The attempt timed out before the whole command was written.
    TimedOutUnsent,
    /// The router cancelled the attempt.
    Cancelled,
    /// No connection or endpoint was available.
    NotSent,
}

impl AttemptOutcome {
    /// All variants, in the order of the counters.
    pub const ALL: [AttemptOutcome; 15] = [
        AttemptOutcome::Served,
        AttemptOutcome::Missed,
        AttemptOutcome::Absent,
        AttemptOutcome::Errored,
        AttemptOutcome::Rejected,
        AttemptOutcome::ConnectRefused,
        AttemptOutcome::ConnectTimedOut,
        AttemptOutcome::BrokenUnsent,
        AttemptOutcome::BrokenSent,
        AttemptOutcome::Garbled,
        AttemptOutcome::NoCapacity,
        AttemptOutcome::TimedOutSent,
        AttemptOutcome::TimedOutUnsent,
        AttemptOutcome::Cancelled,
        AttemptOutcome::NotSent,
    ];

    /// The name in the log and, after [`COUNTER_PREFIX`], of the counter.
    pub fn name(self) -> &'static str {
        match self {
            AttemptOutcome::Served => "served",
            AttemptOutcome::Missed => "missed",
            AttemptOutcome::Absent => "absent",
            AttemptOutcome::Errored => "errored",
            AttemptOutcome::Rejected => "turned_away",
            AttemptOutcome::ConnectRefused => "connect_refused",
            AttemptOutcome::ConnectTimedOut => "connect_timed_out",
            AttemptOutcome::BrokenUnsent => "broken_unsent",
            AttemptOutcome::BrokenSent => "broken_sent",
            AttemptOutcome::Garbled => "garbled",
            AttemptOutcome::NoCapacity => "no_room",
            AttemptOutcome::TimedOutSent => "timed_out_sent",
            AttemptOutcome::TimedOutUnsent => "timed_out_unsent",
            AttemptOutcome::Cancelled => "cancelled",
            AttemptOutcome::NotSent => "not_sent",
        }
    }

    /// Whether the server has replied, so that the time until its first byte may be known.
    pub fn is_reply(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Served
                | AttemptOutcome::Missed
                | AttemptOutcome::Garbled
                | AttemptOutcome::NoCapacity
        )
    }

    /// The outcome reported to the router.
    ///
    /// Once the last byte of a command is written, the command counts as possibly executed unless the server says
    /// otherwise. The router decides by this whether the request may be retried.
    pub fn outcome(self) -> Outcome {
        match self {
            // A missing key is a valid reply of the origin.
            AttemptOutcome::Served | AttemptOutcome::Absent => Outcome::Ok,
            AttemptOutcome::Missed => Outcome::Miss,
            AttemptOutcome::Errored => Outcome::Error,
            AttemptOutcome::Rejected => Outcome::Rejected,
            AttemptOutcome::ConnectRefused
            | AttemptOutcome::ConnectTimedOut
            | AttemptOutcome::BrokenUnsent => Outcome::ConnectFailed,
            AttemptOutcome::BrokenSent => Outcome::Reset,
            AttemptOutcome::Garbled => Outcome::MalformedReply,
            AttemptOutcome::NoCapacity => Outcome::NoCapacity,
            AttemptOutcome::TimedOutSent => Outcome::Timeout,
            AttemptOutcome::Cancelled => Outcome::Cancelled,
            // The client's deadline left no time to connect, which says nothing about the backend.
            AttemptOutcome::NotSent | AttemptOutcome::TimedOutUnsent => Outcome::NotSent,
        }
    }
}

/// How a client connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ConnectionEnd {
    /// The client closed or reset the connection.
    ClientLeft,
    /// The client did not read its replies for too long.
    ClientStalled,
    /// The client sent a malformed command; the connection was closed after all earlier commands were answered.
    ClientMalformed,
    /// A streamed reply could not be completed, so the connection was closed in the middle of it.
    ReplyCut,
    /// The client did not complete a command before the timeout.
    ClientSilent,
    /// The connection was idle and was closed to free a slot or to stop the proxy.
    ClosedIdle,
}

impl ConnectionEnd {
    /// All variants, in the order of the counters.
    pub const ALL: [ConnectionEnd; 6] = [
        ConnectionEnd::ClientLeft,
        ConnectionEnd::ClientStalled,
        ConnectionEnd::ClientMalformed,
        ConnectionEnd::ReplyCut,
        ConnectionEnd::ClientSilent,
        ConnectionEnd::ClosedIdle,
    ];

    /// The name in the log and, after [`COUNTER_PREFIX`], of the counter.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionEnd::ClientLeft => "client_left",
            ConnectionEnd::ClientStalled => "client_stalled",
            ConnectionEnd::ClientMalformed => "client_malformed",
            ConnectionEnd::ReplyCut => "answer_cut",
            ConnectionEnd::ClientSilent => "client_silent",
            ConnectionEnd::ClosedIdle => "closed_idle",
        }
    }
}

/// How a discovery watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DiscoveryEnd {
    /// The call to discovery failed, its reply was malformed, or the watch was closed.
    Broken,
    /// The watch received no data, not even a heartbeat, for too long.
    Silent,
}

impl DiscoveryEnd {
    /// All variants, in the order of the counters.
    pub const ALL: [DiscoveryEnd; 2] = [DiscoveryEnd::Broken, DiscoveryEnd::Silent];

    /// The name in the log and, after [`COUNTER_PREFIX`], of the counter.
    pub fn name(self) -> &'static str {
        match self {
            DiscoveryEnd::Broken => "registry_broken",
            DiscoveryEnd::Silent => "registry_silent",
        }
    }
}
