//! A model of the platform that the proxies serve: the other side of every decision.
//!
//! Each part is a state machine that is told the time with each call and does no I/O. None knows whether the
//! time is real: the lab drives them in virtual time, and stand-ins on sockets can drive them by the clock.
//! Nothing here knows the decision module.
//!
//! - [`station`]: cores shared by the requests in work, with a waiting room; a backend's and the origin's heart.
//! - [`cache`]: what a backend keeps, and which kept copies are void.
//! - [`overload`]: whether more was sent, over a window of time, than could be borne. [`slow_start`]: what the
//!   settings allow a warming backend.
//! - [`backend`] and [`origin`]: the machines. [`report`]: what they tell of their load, late and noisily.
//! - [`discovery`]: the list of backends, as it is told: late, in turn, or not at all.
//! - [`network`]: zones, links that may be cut, connections. [`front`]: which proxy a client reaches.
//! - [`clients`]: who asks for what, when, for how long, and how often again.
//! - [`faults`]: what goes wrong, as data, and random days of it.
//! - [`spec`]: the figures of a whole world.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod backend;
pub mod cache;
pub mod clients;
pub mod discovery;
pub mod faults;
pub mod front;
pub mod network;
pub mod origin;
pub mod overload;
pub mod report;
pub mod slow_start;
pub mod spec;
pub mod station;
pub mod time;
