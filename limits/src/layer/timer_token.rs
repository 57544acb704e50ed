//! Timer tokens of the layer, distinguishable from those of the inner router.

use notchdoor::RequestId;

/// Set in tokens of this layer and never in those of the router.
pub(super) const LAYER_BIT: u64 = 1 << 62;
const HEDGE_BIT: u64 = 1;

/// Purpose of a timer of the layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TimerToken {
    /// The backoff of a delayed retry ends.
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

    /// Decodes a token of the layer. Returns `None` for a token of the router.
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
