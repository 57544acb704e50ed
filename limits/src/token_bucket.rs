//! A token bucket that limits retries and hedged requests to a ratio of recent requests, plus a fixed minimum rate.

use notchdoor::Micros;

/// Refill rates of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucketConfig {
    /// Tokens added by each request.
    pub tokens_per_request: f64,
    /// Tokens added per second, regardless of requests.
    pub tokens_per_s: f64,
}

/// Seconds of `tokens_per_s` that the bucket can accumulate.
const MAX_ACCUMULATION_S: f64 = 10.0;
/// Smallest capacity of a bucket, in tokens.
const MIN_CAPACITY: f64 = 10.0;
const MICROS_PER_S: f64 = 1e6;

/// A token bucket. It starts with the tokens that `tokens_per_s` accumulates, so that a proxy may retry right after
/// its start.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    config: TokenBucketConfig,
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a bucket with the given refill rates.
    pub fn new(config: TokenBucketConfig, now: Micros) -> Self {
        let tokens = (config.tokens_per_s * MAX_ACCUMULATION_S).min(MIN_CAPACITY);
        TokenBucket { config, tokens, refilled_at: now }
    }

    /// Maximum number of tokens.
    pub fn capacity(&self) -> f64 {
        (self.config.tokens_per_s * MAX_ACCUMULATION_S).max(MIN_CAPACITY)
    }

    /// Replaces the refill rates. Tokens above the new capacity are discarded.
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

    /// Adds the tokens for one incoming request.
    pub fn deposit(&mut self, now: Micros) {
        self.refill(now);
        self.add_tokens(self.config.tokens_per_request);
    }

    /// Takes one token unless that would leave less than `reserve`, a share of the capacity, for other users of the
    /// bucket. Returns whether a token was taken.
    pub fn try_acquire(&mut self, now: Micros, reserve: f64) -> bool {
        self.refill(now);
        if self.tokens < 1.0 + reserve * self.capacity() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Tokens available as of the latest refill.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
