//! Reads typed TOML values and collects every error with its position.

use super::{format_duration, PolicyError};
use crate::text_position::{line_at, TextPosition};
use notchdoor::Micros;
use std::ops::{Range, RangeInclusive};
use toml_edit::{Item, TableLike, Value};

/// Edit distance up to which a known name is suggested for an unknown one, plus one edit for each
/// `CHARS_PER_EXTRA_EDIT` bytes of the unknown name.
const BASE_EDIT_DISTANCE: usize = 1;
const CHARS_PER_EXTRA_EDIT: usize = 4;

/// A table of the file, with its path and its span. The span locates errors about missing keys.
pub(super) struct Section<'i> {
    pub(super) table: &'i dyn TableLike,
    pub(super) path: String,
    pub(super) span: Range<usize>,
}

impl Section<'_> {
    /// Full path of a key in this table.
    pub(super) fn path(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Span of a key's value, or else of the key, or else of the table.
    pub(super) fn span(&self, key: &str) -> Range<usize> {
        let value = self.table.get(key).and_then(Item::span);
        value.unwrap_or_else(|| self.key_span(key))
    }

    /// Span of a key, or else of its value, or else of the table.
    pub(super) fn key_span(&self, key: &str) -> Range<usize> {
        let key_span = self.table.key(key).and_then(|k| k.span());
        let value_span = || self.table.get(key).and_then(Item::span);
        key_span.or_else(value_span).unwrap_or_else(|| self.span.clone())
    }

    pub(super) fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Whether a key is set to `"none"`, which removes an inherited limit.
    pub(super) fn is_none(&self, key: &str) -> bool {
        self.table.get(key).and_then(Item::as_str) == Some("none")
    }

    pub(super) fn keys(&self) -> Vec<String> {
        self.table.iter().map(|(key, _)| key.to_owned()).collect()
    }
}

/// An error and its byte offset, by which errors are sorted.
struct PlacedError {
    offset: usize,
    error: PolicyError,
}

/// Reads values of one file and collects errors. Methods that return `None` have reported an error, or the key is not
/// set.
pub(super) struct Reader<'t> {
    file: &'t str,
    text: &'t str,
    errors: Vec<PlacedError>,
}

impl<'t> Reader<'t> {
    pub(super) fn new(file: &'t str, text: &'t str) -> Self {
        Reader { file, text, errors: Vec::new() }
    }

    /// All errors, in file order.
    pub(super) fn into_errors(mut self) -> Vec<PolicyError> {
        self.errors.sort_by_key(|placed| placed.offset);
        self.errors.into_iter().map(|placed| placed.error).collect()
    }

    pub(super) fn report(&mut self, span: &Range<usize>, field: String, message: impl Into<String>) {
        let offset = span.start.min(self.text.len());
        let TextPosition { line, column } = TextPosition::of(self.text, offset);
        let error = PolicyError {
            file: self.file.to_owned(),
            line,
            column,
            field,
            message: message.into(),
            source_line: line_at(self.text, offset).to_owned(),
        };
        self.errors.push(PlacedError { offset, error });
    }

    /// Reports an error at a key's value.
    pub(super) fn report_value(&mut self, section: &Section<'_>, key: &str, message: impl Into<String>) {
        self.report(&section.span(key), section.path(key), message);
    }

    pub(super) fn reject_unknown_keys(&mut self, section: &Section<'_>, known: &[&str]) {
        for key in section.keys().iter().filter(|key| !known.contains(&key.as_str())) {
            self.report_unknown_key(section, key, "field", known);
        }
    }

    pub(super) fn report_unknown_key(
        &mut self,
        section: &Section<'_>,
        key: &str,
        kind: &str,
        known: &[&str],
    ) {
        self.report(&section.key_span(key), section.path(key), unknown_name_message(kind, key, known));
    }

    pub(super) fn require(&mut self, section: &Section<'_>, keys: &[&str]) {
        for key in keys.iter().filter(|key| !section.has(key)) {
            self.report(&section.span, section.path(key), "missing required field");
        }
    }

    pub(super) fn duration(
        &mut self,
        section: &Section<'_>,
        key: &str,
        range: RangeInclusive<Micros>,
    ) -> Option<Micros> {
        let duration = match parse_duration_item(section.table.get(key)?) {
            Ok(duration) => duration,
            Err(message) => {
                self.report_value(section, key, message);
                return None;
            }
        };
        if !range.contains(&duration) {
            let [value, min, max] = [duration, *range.start(), *range.end()].map(format_duration);
            let message = format!("{value} is out of range; {min} to {max} is allowed");
            self.report_value(section, key, message);
            return None;
        }
        Some(duration)
    }

    pub(super) fn number(
        &mut self,
        section: &Section<'_>,
        key: &str,
        range: RangeInclusive<f64>,
    ) -> Option<f64> {
        let allowed = format!("{} to {}", range.start(), range.end());
        let number = match section.table.get(key)?.as_value() {
            Some(Value::Float(number)) => *number.value(),
            Some(Value::Integer(number)) => *number.value() as f64,
            _ => {
                self.report_value(section, key, format!("expected a number from {allowed}"));
                return None;
            }
        };
        if number.is_nan() {
            self.report_value(section, key, format!("nan is not a number; {allowed} is allowed"));
            return None;
        }
        if !range.contains(&number) {
            self.report_value(section, key, format!("{number} is out of range; {allowed} is allowed"));
            return None;
        }
        Some(number)
    }

    pub(super) fn integer(
        &mut self,
        section: &Section<'_>,
        key: &str,
        range: RangeInclusive<u32>,
    ) -> Option<u32> {
        let allowed = format!("{} to {}", range.start(), range.end());
        let Some(number) = section.table.get(key)?.as_value().and_then(Value::as_integer) else {
            self.report_value(section, key, format!("expected an integer from {allowed}"));
            return None;
        };
        let in_range = u32::try_from(number).ok().filter(|number| range.contains(number));
        if in_range.is_none() {
            self.report_value(section, key, format!("{number} is out of range; {allowed} is allowed"));
        }
        in_range
    }

    pub(super) fn string(&mut self, section: &Section<'_>, key: &str) -> Option<String> {
        let text = section.table.get(key)?.as_str();
        if text.is_none() {
            self.report_value(section, key, "expected a string in quotes");
        }
        text.map(str::to_owned)
    }

    /// Reads one of the `known` names and returns its index. `kind` describes the names in error messages.
    pub(super) fn choice(
        &mut self,
        section: &Section<'_>,
        key: &str,
        kind: &str,
        known: &[&str],
    ) -> Option<usize> {
        let name = self.string(section, key)?;
        let index = known.iter().position(|k| *k == name);
        if index.is_none() {
            self.report_value(section, key, unknown_name_message(kind, &name, known));
        }
        index
    }

    /// Reads a nested table. `example` is shown if the value is not a table.
    pub(super) fn table<'i>(
        &mut self,
        section: &Section<'i>,
        key: &str,
        example: &str,
    ) -> Option<Section<'i>> {
        let table = section.table.get(key)?.as_table_like();
        if table.is_none() {
            self.report_value(section, key, format!("expected a table such as {example}"));
        }
        table.map(|table| Section { table, path: section.path(key), span: section.span(key) })
    }
}

/// Parses a duration, or returns an error message.
fn parse_duration_item(item: &Item) -> Result<Micros, String> {
    match item.as_value() {
        Some(Value::String(text)) => {
            let duration = humantime::parse_duration(text.value());
            let duration = duration.map_err(|_| {
                format!("invalid duration '{}'; use a value such as \"300ms\" or \"2s\"", text.value())
            })?;
            Ok(Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX))
        }
        Some(Value::Integer(number)) => {
            let number = number.value();
            Err(format!("duration {number} has no unit; use \"{number}ms\" or \"{number}s\""))
        }
        Some(Value::Float(number)) => {
            Err(format!("duration {} has no unit; use a value such as \"1500ms\"", number.value()))
        }
        _ => Err("expected a duration such as \"300ms\"".to_owned()),
    }
}

/// Error message for an unknown name. Suggests the closest known name, or else lists all of them.
fn unknown_name_message(kind: &str, name: &str, known: &[&str]) -> String {
    match nearest(name, known) {
        Some(suggestion) => format!("unknown {kind} '{name}'; did you mean '{suggestion}'?"),
        None if known.is_empty() => format!("unknown {kind} '{name}'; none is defined"),
        None => format!("unknown {kind} '{name}'; expected one of {}", known.join(", ")),
    }
}

fn nearest<'n>(name: &str, known: &[&'n str]) -> Option<&'n str> {
    let max_edits = BASE_EDIT_DISTANCE + name.len() / CHARS_PER_EXTRA_EDIT;
    let edits = |k: &&str| strsim::damerau_levenshtein(name, k);
    known.iter().filter(|k| edits(k) <= max_edits).min_by_key(|k| edits(k)).copied()
}
