//! Encodes timers as tokens: the two lowest bits are the kind, the others the request id.

use crate::interface::RequestId;

const KIND_BITS: u32 = 2;
const KIND_MASK: u64 = (1 << KIND_BITS) - 1;
const SLOW_READ: u64 = 0;
const DEADLINE: u64 = 1;
const DISCOVERY: u64 = 2;
const STALLED: u64 = 3;

/// A timer set by the router.
#[derive(Clone, Copy)]
pub(super) enum RouterTimer {
    /// Checks whether the cache has answered this read.
    SlowRead(RequestId),
    /// The deadline of this request.
    Deadline(RequestId),
    /// Calls discovery again.
    Discovery,
    /// Ends the stalled attempt of this request in favour of another one.
    Stalled(RequestId),
}

impl RouterTimer {
    pub(super) fn token(self) -> u64 {
        match self {
            RouterTimer::SlowRead(id) => id << KIND_BITS | SLOW_READ,
            RouterTimer::Deadline(id) => id << KIND_BITS | DEADLINE,
            RouterTimer::Discovery => DISCOVERY,
            RouterTimer::Stalled(id) => id << KIND_BITS | STALLED,
        }
    }

    /// Returns `None` for a token that the router did not create.
    pub(super) fn from_token(token: u64) -> Option<Self> {
        match token & KIND_MASK {
            SLOW_READ => Some(RouterTimer::SlowRead(token >> KIND_BITS)),
            DEADLINE => Some(RouterTimer::Deadline(token >> KIND_BITS)),
            DISCOVERY => Some(RouterTimer::Discovery),
            STALLED => Some(RouterTimer::Stalled(token >> KIND_BITS)),
            _ => None,
        }
    }

    /// Returns the request id in a token; `None` for a timer without a request.
    pub(super) fn request(token: u64) -> Option<RequestId> {
        (token & KIND_MASK != DISCOVERY).then_some(token >> KIND_BITS)
    }
}
