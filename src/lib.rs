#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod brain;
pub mod interface;
mod stack;

pub use brain::{Brain, Look};
pub use interface::*;
pub use stack::Decide;
