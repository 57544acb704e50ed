//! A budget as a token bucket: a share of recent requests, with a floor for quiet times.

use notchdoor::Micros;

/// What a budget grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// Tokens that each request brings.
    pub share: f64,
    /// Tokens that each second brings, whatever is asked.
    pub floor_per_s: f64,
}

/// Seconds of the floor that may be saved up, and the least that may.
const SAVED: f64 = 10.0;
const LEAST: f64 = 10.0;

/// A token bucket. It starts with what its floor saves up: a proxy that has just started may retry.
#[derive(Clone, Debug)]
pub struct Budget {
    grant: Grant,
    tokens: f64,
    at: Micros,
}

impl Budget {
    /// A bucket with this grant.
    pub fn new(grant: Grant, now: Micros) -> Self {
        Budget { grant, tokens: (grant.floor_per_s * SAVED).min(LEAST), at: now }
    }

    /// The most tokens that it holds.
    pub fn most(&self) -> f64 {
        (self.grant.floor_per_s * SAVED).max(LEAST)
    }

    /// Another grant from now on; what was saved up stays, up to the new most.
    pub fn regrant(&mut self, grant: Grant) {
        self.grant = grant;
        self.tokens = self.tokens.min(self.most());
    }

    fn pass(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        self.at = now.max(self.at);
        self.tokens = (self.tokens + passed * self.grant.floor_per_s).min(self.most());
    }

    /// A request has come.
    pub fn earn(&mut self, now: Micros) {
        self.pass(now);
        self.tokens = (self.tokens + self.grant.share).min(self.most());
    }

    /// Takes a token, if one is there beyond `leave`, the share of the most that is kept for others.
    pub fn spend(&mut self, now: Micros, leave: f64) -> bool {
        self.pass(now);
        let there = self.tokens >= 1.0 + leave * self.most();
        self.tokens -= f64::from(u8::from(there));
        there
    }

    /// Tokens there now.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
