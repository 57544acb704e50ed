//! Counters of the limits layer.

/// Counters of rejected requests, of delayed and withheld attempts, and of hedged requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitsMetrics {
    /// Requests rejected on arrival.
    pub requests_shed: u64,
    /// Attempts withheld because the request had reached its route's maximum number of attempts.
    pub attempts_exhausted: u64,
    /// Attempts withheld because the retry or hedging budget was exhausted.
    pub budget_exhausted: u64,
    /// Attempts withheld because a circuit breaker was open.
    pub circuit_open: u64,
    /// Attempts withheld because too little time was left or the request must not be retried.
    pub futile_retries: u64,
    /// Retries delayed by a backoff.
    pub delayed_retries: u64,
    /// Hedged requests that the router was allowed to send.
    pub hedges: u64,
}

/// Why an attempt was withheld.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WithholdReason {
    AttemptsExhausted,
    BudgetExhausted,
    CircuitOpen,
    FutileRetry,
}

impl LimitsMetrics {
    pub(super) fn count(&mut self, reason: WithholdReason) {
        let counter = match reason {
            WithholdReason::AttemptsExhausted => &mut self.attempts_exhausted,
            WithholdReason::BudgetExhausted => &mut self.budget_exhausted,
            WithholdReason::CircuitOpen => &mut self.circuit_open,
            WithholdReason::FutileRetry => &mut self.futile_retries,
        };
        *counter += 1;
    }
}
