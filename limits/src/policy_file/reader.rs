//! Typed reading of TOML values that takes down every error with its place.

use super::{format_duration, PolicyError};
use crate::text_position::{line_at, TextPosition};
use notchdoor::Micros;
use std::ops::{Range, RangeInclusive};
use toml_edit::{Item, TableLike, Value};

/// A name in the file is taken for a misspelt known one if they differ by this many edits, and one more for every
/// so many letters.
const BASE_EDIT_DISTANCE: usize = 1;
const CHARS_PER_EXTRA_EDIT: usize = 4;

/// A table of the file: its path, and its place for what it lacks.
pub(super) struct Section<'i> {
    pub(super) table: &'i dyn TableLike,
    pub(super) path: String,
    pub(super) span: Range<usize>,
}

impl Section<'_> {
    /// The path of a key in this table.
    pub(super) fn path(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// The place of a key's value, else of the key, else of the table.
    pub(super) fn span(&self, key: &str) -> Range<usize> {
        let value = self.table.get(key).and_then(Item::span);
        value.unwrap_or_else(|| self.key_span(key))
    }

    /// The place of a key itself, else of its value, else of the table.
    pub(super) fn key_span(&self, key: &str) -> Range<usize> {
        let key_span = self.table.key(key).and_then(|k| k.span());
        let value_span = || self.table.get(key).and_then(Item::span);
        key_span.or_else(value_span).unwrap_or_else(|| self.span.clone())
    }

    pub(super) fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Whether a key says `"none"`: what it would inherit is taken away.
    pub(super) fn is_none(&self, key: &str) -> bool {
        self.table.get(key).and_then(Item::as_str) == Some("none")
    }

    pub(super) fn keys(&self) -> Vec<String> {
        self.table.iter().map(|(key, _)| key.to_owned()).collect()
    }
}

/// An error, and the byte that it is sorted by.
struct PlacedError {
    offset: usize,
    error: PolicyError,
}

/// Reads values of one file and collects what is wrong with them.
pub(super) struct Reader<'t> {
    file: &'t str,
    text: &'t str,
    errors: Vec<PlacedError>,
}

impl<'t> Reader<'t> {
    pub(super) fn new(file: &'t str, text: &'t str) -> Self {
        Reader { file, text, errors: Vec::new() }
    }

    /// All errors, in the order of the file.
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

    /// Reports an error of a key's value.
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
            self.report(&section.span, section.path(key), "is missing");
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
            let [given, least, most] = [duration, *range.start(), *range.end()].map(format_duration);
            let message = format!("{given} is out of range; {least} to {most} is allowed");
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
                self.report_value(section, key, format!("should be a number from {allowed}"));
                return None;
            }
        };
        if number.is_nan() {
            self.report_value(section, key, format!("nan is no number; {allowed} is allowed"));
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
            self.report_value(section, key, format!("should be a whole number from {allowed}"));
            return None;
        };
        let within = u32::try_from(number).ok().filter(|number| range.contains(number));
        if within.is_none() {
            self.report_value(section, key, format!("{number} is out of range; {allowed} is allowed"));
        }
        within
    }

    pub(super) fn string(&mut self, section: &Section<'_>, key: &str) -> Option<String> {
        let text = section.table.get(key)?.as_str();
        if text.is_none() {
            self.report_value(section, key, "should be text in quotes");
        }
        text.map(str::to_owned)
    }

    /// One of some names: its place among them.
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

    /// A table within this one.
    pub(super) fn table<'i>(
        &mut self,
        section: &Section<'i>,
        key: &str,
        example: &str,
    ) -> Option<Section<'i>> {
        let table = section.table.get(key)?.as_table_like();
        if table.is_none() {
            self.report_value(section, key, format!("should be a table such as {example}"));
        }
        table.map(|table| Section { table, path: section.path(key), span: section.span(key) })
    }
}

/// The duration that a value says, or what is wrong with it.
fn parse_duration_item(item: &Item) -> Result<Micros, String> {
    match item.as_value() {
        Some(Value::String(text)) => {
            let duration = humantime::parse_duration(text.value());
            let duration = duration
                .map_err(|_| format!("'{}' is no time; \"300ms\" or \"2s\" would be", text.value()))?;
            Ok(Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX))
        }
        Some(Value::Integer(number)) => {
            let number = number.value();
            Err(format!("{number} has no unit; write \"{number}ms\" or \"{number}s\""))
        }
        Some(Value::Float(number)) => {
            Err(format!("{} has no unit; write a time such as \"1500ms\"", number.value()))
        }
        _ => Err("should be a time such as \"300ms\"".to_owned()),
    }
}

/// What is said of a name that is not known: the nearest known one, or all of them.
fn unknown_name_message(kind: &str, name: &str, known: &[&str]) -> String {
    match nearest(name, known) {
        Some(near) => format!("no {kind} is called '{name}'; did you mean '{near}'?"),
        None if known.is_empty() => format!("no {kind} is called '{name}'; there is none"),
        None => format!("no {kind} is called '{name}'; there are {}", known.join(", ")),
    }
}

fn nearest<'n>(name: &str, known: &[&'n str]) -> Option<&'n str> {
    let max_edits = BASE_EDIT_DISTANCE + name.len() / CHARS_PER_EXTRA_EDIT;
    let edits = |k: &&str| strsim::damerau_levenshtein(name, k);
    known.iter().filter(|k| edits(k) <= max_edits).min_by_key(|k| edits(k)).copied()
}
