#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod brain;
pub mod interface;

pub use brain::{Brain, Look};
pub use interface::*;
