//! Limits by route and class: time-outs, attempts, second copies, retry budgets, concurrency, breakers and
//! shedding, from a checked file.
//!
//! [`layer::Limits`] wraps the decisions ([`notchdoor::Decide`]): the same events in, the same actions out. It
//! does no I/O. [`mod@file`] reads and checks what the operators write; [`policy`] is what it means; the mechanisms
//! ([`budget`], [`breaker`], [`concurrency`], [`latency`]) know nothing of requests or of one another.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod breaker;
pub mod budget;
pub mod concurrency;
pub mod explain;
pub mod file;
pub mod latency;
pub mod layer;
pub mod policy;
pub mod stack;
