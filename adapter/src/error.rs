//! Errors in the adapter's input, each with its position.

use notchdoor_limits::policy_file::PolicyError;
use std::fmt;

/// The position of an error in the input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// Before the first batch or between two batches.
    OutsideBatch,
    /// In the batch with this number.
    Batch(u64),
}

impl From<Option<u64>> for Position {
    fn from(batch: Option<u64>) -> Self {
        batch.map_or(Position::OutsideBatch, Position::Batch)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Position::OutsideBatch => f.write_str("outside a batch"),
            Position::Batch(number) => write!(f, "batch {number}"),
        }
    }
}

/// An input error. All of them are fatal: the adapter stops reading.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// A line is not valid JSON, or its fields do not fit its message kind.
    #[error("{position}, message '{message}': {source}")]
    InvalidMessage { position: Position, message: String, source: serde_json::Error },
    /// A line exceeds the maximum length.
    #[error("{position}: line exceeds {max_bytes} bytes")]
    LineTooLong { position: Position, max_bytes: u64 },
    /// A `sync` arrived before the previous batch ended.
    #[error("batch {open}: 'sync' of batch {next} received before 'eob'")]
    NestedBatch { open: u64, next: u64 },
    /// The time of a `sync` is out of range.
    #[error("batch {batch}, message 'sync': field `t` is out of range")]
    InvalidTime { batch: u64 },
    /// A message arrived before the `sync` that starts its batch.
    #[error("message '{message}' received outside a batch: missing 'sync'")]
    MessageOutsideBatch { message: String },
    /// The input ended before the `eob` of the current batch.
    #[error("batch {batch}: input ended before 'eob'")]
    IncompleteBatch { batch: u64 },
    /// The message kind is unknown.
    #[error("batch {batch}: unknown message '{message}'")]
    UnknownMessage { batch: u64, message: String },
    /// A `sheet` would exceed the number of stored endpoint lists.
    #[error("batch {batch}, message '{message}': field `buffer`: more than {max_lists} endpoint lists")]
    TooManyEndpointLists { batch: u64, message: String, max_lists: usize },
    /// No stored endpoint list has this number.
    #[error("batch {batch}, message '{message}': field `buffer`: no endpoint list has number {buffer}")]
    UnknownEndpointList { batch: u64, message: String, buffer: u64 },
    /// No running instance has this name.
    #[error("batch {batch}, message '{message}': field `who`: no running instance is named '{who}'")]
    UnknownInstance { batch: u64, message: String, who: String },
    /// The outcome code is unknown.
    #[error("batch {batch}, message '{message}': field `code`: unknown outcome code {code}")]
    UnknownOutcomeCode { batch: u64, message: String, code: u32 },
    /// The policy file is invalid for the instance's settings.
    #[error("{}", one_per_line(.0))]
    Policy(Vec<PolicyError>),
}

fn one_per_line(errors: &[PolicyError]) -> String {
    errors.iter().map(|error| format!("{error}\n")).collect()
}
