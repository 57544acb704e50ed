//! Decodes a deployment's settings: the JSON object that a simulated instance receives in its first message
//! and a proxy reads from its configuration. Unknown fields are ignored.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod bounded_file;
mod deployment;
mod names;
mod network;
mod readiness;
mod time;

pub use deployment::{DeploymentSettings, OutOfRange};
pub use names::{index_of, DeploymentNames};
pub use network::NetworkSettings;
pub use notchdoor_limits::text_position::{self, TextPosition};
pub use readiness::Readiness;
pub use time::{micros, Millis};
