//! Parsing and formatting of durations.

use notchdoor::Micros;
use std::time::Duration;

/// Parses a duration such as `300ms` or `2s`. Returns `None` if the text is invalid or the value does not fit.
pub fn parse_duration(text: &str) -> Option<Micros> {
    humantime::parse_duration(text).ok().and_then(|t| u64::try_from(t.as_micros()).ok())
}

/// Formats a duration without spaces, such as `1s500ms`.
pub fn format_duration(duration: Micros) -> String {
    humantime::format_duration(Duration::from_micros(duration)).to_string().replace(' ', "")
}
