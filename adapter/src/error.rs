//! What is wrong with the input, with its place.

use notchdoor_limits::policy_file::PolicyError;
use std::fmt;

/// Where in the input an error stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// Outside a batch, before the first one or between two.
    OutsideBatch,
    /// In the batch of this number.
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
            Position::OutsideBatch => f.write_str("before the first batch"),
            Position::Batch(number) => write!(f, "batch {number}"),
        }
    }
}

/// An error of the input. None of them is mended by reading on.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// A line is no message of its kind.
    #[error("{position}, message '{message}': {source}")]
    InvalidMessage { position: Position, message: String, source: serde_json::Error },
    /// A line is longer than any message.
    #[error("{position}: a line of more than {max_bytes} bytes")]
    LineTooLong { position: Position, max_bytes: u64 },
    /// A batch begins within another one.
    #[error("batch {open}: 'sync' of batch {next} before 'eob'")]
    NestedBatch { open: u64, next: u64 },
    /// A batch's time is none.
    #[error("batch {batch}, message 'sync': field `t` is not a time")]
    InvalidTime { batch: u64 },
    /// A message stands outside a batch.
    #[error("message '{message}' outside a batch: 'sync' is missing")]
    MessageOutsideBatch { message: String },
    /// The input ends within a batch.
    #[error("batch {batch}: the input ends before 'eob'")]
    IncompleteBatch { batch: u64 },
    /// There is no message of this kind.
    #[error("batch {batch}: unknown message '{message}'")]
    UnknownMessage { batch: u64, message: String },
    /// More lists are kept than there are numbers for.
    #[error("batch {batch}, message '{message}': field `buffer`: more than {max_lists}")]
    TooManyEndpointLists { batch: u64, message: String, max_lists: usize },
    /// There is no list of this number.
    #[error("batch {batch}, message '{message}': field `buffer` names no sheet: {buffer}")]
    UnknownEndpointList { batch: u64, message: String, buffer: u64 },
    /// There is no instance of this name.
    #[error("batch {batch}, message '{message}': field `who` names no running instance: '{who}'")]
    UnknownInstance { batch: u64, message: String, who: String },
    /// There is no outcome of this code.
    #[error("batch {batch}, message '{message}': field `code` is unknown: {code}")]
    UnknownOutcomeCode { batch: u64, message: String, code: u32 },
    /// The policy file does not fit the instance's settings.
    #[error("{}", one_per_line(.0))]
    Policy(Vec<PolicyError>),
}

fn one_per_line(errors: &[PolicyError]) -> String {
    errors.iter().map(|error| format!("{error}\n")).collect()
}
