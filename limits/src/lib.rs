//! Per-route and per-class limits, configured by a policy file: timeouts, attempts, hedged requests, retry budgets,
//! concurrency limits, circuit breakers and load shedding.
//!
//! [`layer::LimitsLayer`] wraps any [`notchdoor::Decide`] implementation. It handles the same events, returns the same
//! kinds of action and does no I/O. [`policy_file`] parses and validates the file into a [`policy::Policy`]. The
//! mechanisms ([`token_bucket`], [`circuit_breaker`], [`concurrency_limiter`], [`latency_quantile`]) are independent of
//! requests and of each other.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod circuit_breaker;
pub mod concurrency_limiter;
pub mod explain;
pub mod latency_quantile;
pub mod layer;
pub mod policy;
pub mod policy_file;
pub mod stack;
pub mod text_position;
pub mod token_bucket;
