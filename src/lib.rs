#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod interface;
mod router;
mod stack;

pub use interface::*;
pub use router::{InFlight, Router, RouterSnapshot};
pub use stack::Decide;
