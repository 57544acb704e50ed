//! Counts of what the layer has done.

/// What the layer has done, for counters and charts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitsMetrics {
    /// Requests rejected before anything was sent.
    pub requests_shed: u64,
    /// Attempts withheld because a route's attempts were used up.
    pub attempts_exhausted: u64,
    /// Attempts withheld because the retry or hedging budget was used up.
    pub budget_exhausted: u64,
    /// Attempts withheld because a circuit breaker was open.
    pub circuit_open: u64,
    /// Attempts withheld because there was no time for them, or they must not be repeated.
    pub futile_retries: u64,
    /// Retries delayed by a backoff.
    pub delayed_retries: u64,
    /// Hedged requests granted.
    pub hedges: u64,
}

/// Why an attempt that the router wants is never sent.
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
