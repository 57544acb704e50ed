//! Parses client commands into the fields that the proxy uses and the ones that it forwards unchanged.

use super::resp::Value;
use super::streamed_value::StreamedValue;
use notchdoor::Micros;
use std::rc::Rc;

/// Maximum deadline of a request.
const MAX_DEADLINE_MS: f64 = 3_600_000.0;
/// Maximum length in bytes of a key, a request id or the list of names and values.
const MAX_ARGUMENT_BYTES: usize = 4096;

/// A parsed `OBJ.GET` or `OBJ.SET`.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendCommand {
    /// Command name, spelled as the client sent it.
    pub command: Vec<u8>,
    /// Key of the object.
    pub key: Vec<u8>,
    /// Request id.
    pub id: Vec<u8>,
    /// Comma-separated list of `name=value` pairs.
    pub info: Vec<u8>,
    /// Start and end of the value of `d` in `info`.
    deadline_range: (usize, usize),
    /// Value of a write; `None` for a read and for a streamed value.
    pub value: Option<Vec<u8>>,
    /// Streamed value of a write; `None` for a read and for a buffered value.
    pub streamed: Option<Rc<StreamedValue>>,
    /// Class name; empty if the client gave none.
    pub class: String,
    /// Tenant name; empty if the client gave none.
    pub tenant: String,
    /// How long the client waits for the answer, from `d`.
    pub wait: Micros,
}

/// A command from a client.
#[derive(Debug, PartialEq)]
pub enum ClientCommand {
    /// `OBJ.GET` or `OBJ.SET`.
    Request(Box<BackendCommand>),
    /// `PING`.
    Ping,
}

/// Why a command is invalid. The text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// Not an array of strings.
    #[error("a command is an array of strings")]
    NotStrings,
    /// The array is empty.
    #[error("empty command")]
    Empty,
    /// Unknown command name.
    #[error("unknown command")]
    UnknownCommand,
    /// Too few or too many arguments.
    #[error("wrong number of arguments")]
    ArgumentCount,
    /// An argument cannot be used in an HTTP header or path.
    #[error("key, id and list must be plain words")]
    InvalidArgument,
    /// The list contains an element without `=`.
    #[error("the list must hold names and values")]
    InvalidInfo,
    /// The list has no `d`.
    #[error("d is missing")]
    MissingDeadline,
    /// `d` is not a positive decimal number of milliseconds.
    #[error("d is not a number")]
    InvalidDeadline,
    /// `d` exceeds the maximum deadline.
    #[error("d is too long")]
    DeadlineTooLong,
}

fn into_bulk_bytes(value: Value) -> Option<Vec<u8>> {
    match value {
        Value::Bulk(bytes) => bytes,
        _ => None,
    }
}

/// Whether a word can be used in an HTTP header or path. Control characters would allow header injection at the
/// origin.
fn is_header_safe(word: &[u8]) -> bool {
    (1..=MAX_ARGUMENT_BYTES).contains(&word.len()) && word.iter().all(|&b| b > b' ' && b != 0x7f)
}

/// Parses and validates a command.
pub fn parse(value: Value) -> Result<ClientCommand, CommandError> {
    let Value::Array(Some(items)) = value else { return Err(CommandError::NotStrings) };
    let words: Option<Vec<Vec<u8>>> = items.into_iter().map(into_bulk_bytes).collect();
    let mut words = words.ok_or(CommandError::NotStrings)?.into_iter();
    let command = words.next().ok_or(CommandError::Empty)?;
    let arguments: Vec<Vec<u8>> = words.collect();
    if command.eq_ignore_ascii_case(b"PING") {
        return Ok(ClientCommand::Ping);
    }
    let is_write = command.eq_ignore_ascii_case(b"OBJ.SET");
    if !is_write && !command.eq_ignore_ascii_case(b"OBJ.GET") {
        return Err(CommandError::UnknownCommand);
    }
    let (key, id, info, value) = match <[Vec<u8>; 4]>::try_from(arguments) {
        Ok([key, id, info, value]) if is_write => (key, id, info, Some(value)),
        Err(rest) if !is_write => match <[Vec<u8>; 3]>::try_from(rest) {
            Ok([key, id, info]) => (key, id, info, None),
            Err(_) => return Err(CommandError::ArgumentCount),
        },
        _ => return Err(CommandError::ArgumentCount),
    };
    if !is_header_safe(&key) || !is_header_safe(&id) || !is_header_safe(&info) {
        return Err(CommandError::InvalidArgument);
    }
    let text = std::str::from_utf8(&info).map_err(|_| CommandError::InvalidArgument)?;
    let (mut class, mut tenant, mut deadline, mut at) = ("", "", None, 0);
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=').ok_or(CommandError::InvalidInfo)?;
        match name {
            "c" => class = value,
            "t" => tenant = value,
            "d" => deadline = Some((at + 2, value)),
            _ => {}
        }
        at += pair.len() + 1;
    }
    let (start, number) = deadline.ok_or(CommandError::MissingDeadline)?;
    // Only digits and a decimal point; rejects other forms that `f64` accepts (inf, 1e9, +5).
    let digits = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let wait =
        number.parse::<f64>().ok().filter(|d| digits && *d > 0.0).ok_or(CommandError::InvalidDeadline)?;
    if wait > MAX_DEADLINE_MS {
        return Err(CommandError::DeadlineTooLong);
    }
    let (class, tenant) = (class.to_owned(), tenant.to_owned());
    let wait = notchdoor_settings::micros(wait);
    let deadline_range = (start, start + number.len());
    let streamed = None;
    Ok(ClientCommand::Request(Box::new(BackendCommand {
        command,
        key,
        id,
        info,
        deadline_range,
        value,
        streamed,
        class,
        tenant,
        wait,
    })))
}

impl BackendCommand {
    /// Returns `info` with `d` replaced by `wait`, in whole milliseconds and at least 1.
    pub fn info_with_deadline(&self, wait: Micros) -> Vec<u8> {
        let (start, end) = self.deadline_range;
        let number = (wait / 1000).max(1).to_string();
        let (before, after) = (self.info.get(..start), self.info.get(end..));
        [before.unwrap_or_default(), number.as_bytes(), after.unwrap_or_default()].concat()
    }

    /// Length in bytes of a write's value; `None` for a read.
    pub fn value_len(&self) -> Option<usize> {
        self.streamed.as_ref().map(|s| s.length).or(self.value.as_ref().map(Vec::len))
    }

    /// Size in bytes of the buffered arguments.
    pub fn buffered_bytes(&self) -> usize {
        self.key.len() + self.id.len() + self.info.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

#[cfg(test)]
mod tests;
