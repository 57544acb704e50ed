//! Tokens of the layer's own timers, apart from those of the router within.

use notchdoor::RequestId;

/// Tokens of this layer have this bit; those from within never do.
pub(super) const LAYER_BIT: u64 = 1 << 62;
const HEDGE_BIT: u64 = 1;

/// What a timer of the layer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TimerToken {
    /// The backoff of a delayed retry is over.
    Retry(RequestId),
    /// A hedged request is due.
    Hedge(RequestId),
}

impl TimerToken {
    pub(super) fn encode(self) -> u64 {
        match self {
            TimerToken::Retry(id) => LAYER_BIT | id << 1,
            TimerToken::Hedge(id) => LAYER_BIT | id << 1 | HEDGE_BIT,
        }
    }

    /// The layer's token that a number is; `None` for one from within.
    pub(super) fn decode(token: u64) -> Option<Self> {
        let id = (token & !LAYER_BIT) >> 1;
        match (token & LAYER_BIT != 0, token & HEDGE_BIT != 0) {
            (false, _) => None,
            (true, false) => Some(TimerToken::Retry(id)),
            (true, true) => Some(TimerToken::Hedge(id)),
        }
    }

    pub(super) fn request(self) -> RequestId {
        match self {
            TimerToken::Retry(id) | TimerToken::Hedge(id) => id,
        }
    }
}
