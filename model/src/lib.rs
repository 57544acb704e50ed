//! Simulation model of the platform around the proxies: clients, network, discovery service, cache backends
//! and the origin.
//!
//! Each part is a state machine without I/O that receives the time with each call, so it runs in virtual
//! time (the lab) as well as in real time (the testbed). The crate does not depend on the router.
//!
//! - [`station`]: a multi-core server with a bounded queue, the basis of backends and the origin.
//! - [`cache`]: the cache of a backend, and the validity of its entries.
//! - [`overload`]: detects that more work was sent within a window than a machine can bear.
//! - [`slow_start`]: the load that a warming backend may receive.
//! - [`backend`] and [`origin`]: the servers. [`report`]: their load reports.
//! - [`discovery`]: the endpoint list and its updates.
//! - [`network`]: zones, links and pooled connections. [`front`]: the load balancer in front of the proxies.
//! - [`clients`]: arrivals, timeouts and retries.
//! - [`faults`]: kinds of faults and random schedules of them.
//! - [`spec`]: the configuration of a simulated world.

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
