//! A token bucket for retries and hedged requests: a ratio of recent requests, with a floor for quiet times.

use notchdoor::Micros;

/// What fills a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucketConfig {
    /// Tokens that each request brings.
    pub tokens_per_request: f64,
    /// Tokens that each second brings, whatever is asked.
    pub tokens_per_s: f64,
}

/// So many seconds of the floor may be saved up.
const MAX_ACCUMULATION_S: f64 = 10.0;
/// The least capacity of a bucket.
const MIN_CAPACITY: f64 = 10.0;
const MICROS_PER_S: f64 = 1e6;

/// A token bucket. It starts with what its floor saves up: a proxy that has just started may retry.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    config: TokenBucketConfig,
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// A bucket that is filled so.
    pub fn new(config: TokenBucketConfig, now: Micros) -> Self {
        let tokens = (config.tokens_per_s * MAX_ACCUMULATION_S).min(MIN_CAPACITY);
        TokenBucket { config, tokens, refilled_at: now }
    }

    /// The most tokens that it holds.
    pub fn capacity(&self) -> f64 {
        (self.config.tokens_per_s * MAX_ACCUMULATION_S).max(MIN_CAPACITY)
    }

    /// Is filled otherwise from now on; what was saved up stays, up to the new capacity.
    pub fn reconfigure(&mut self, config: TokenBucketConfig) {
        self.config = config;
        self.tokens = self.tokens.min(self.capacity());
    }

    fn refill(&mut self, now: Micros) {
        let seconds = now.saturating_sub(self.refilled_at) as f64 / MICROS_PER_S;
        self.refilled_at = now.max(self.refilled_at);
        self.add_tokens(seconds * self.config.tokens_per_s);
    }

    fn add_tokens(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity());
    }

    /// A request has come.
    pub fn deposit(&mut self, now: Micros) {
        self.refill(now);
        self.add_tokens(self.config.tokens_per_request);
    }

    /// Takes a token, if one is there beyond `reserve`, the share of the capacity that is kept for others.
    pub fn try_acquire(&mut self, now: Micros, reserve: f64) -> bool {
        self.refill(now);
        if self.tokens < 1.0 + reserve * self.capacity() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Tokens there now.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
