//! The log: one line a record on standard error, as text or as JSON.
//!
//! A record's text is what docs/oncall.md lists. As JSON, the figures within it stand beside it under names of
//! their own, from the record's key-values.

use env_logger::{Builder, Target, WriteStyle};
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value as Json};
use std::io::Write;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

/// How records are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Unix time in seconds, level, the proxy's name, text.
    #[default]
    Text,
    /// One JSON object a line: `ts`, `level`, `name`, `msg`, and the record's key-values.
    Json,
}

/// A text that names no format of the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is no log format: text and json are")]
pub struct UnknownFormat(String);

impl FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(text: &str) -> Result<Self, UnknownFormat> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            other => Err(UnknownFormat(other.to_owned())),
        }
    }
}

struct FieldCollector<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(n), _) => Json::from(n),
            (_, Some(b)) => Json::from(b),
            _ => Json::from(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// A record as one JSON object. The names that every record has go before a key-value's of the same name.
fn to_json(record: &Record<'_>, name: &str, seconds: f64) -> Json {
    let mut fields = Map::new();
    // Visiting only fails where the visitor does, and this one does not.
    let _ = record.key_values().visit(&mut FieldCollector(&mut fields));
    fields.insert("ts".to_owned(), Json::from(seconds));
    fields.insert("level".to_owned(), Json::from(record.level().as_str()));
    fields.insert("name".to_owned(), Json::from(name));
    fields.insert("msg".to_owned(), Json::from(record.args().to_string()));
    Json::Object(fields)
}

/// Starts the log for the proxy of this name. `level` is what `--log-level` or `NOTCHDOOR_LOG` says; where it
/// is no level, `info` is taken and the log says so.
pub fn start(name: &str, format: Format, level: Option<&str>) {
    let parsed = level.map(|l| (l, l.parse::<LevelFilter>()));
    let filter = match parsed {
        Some((_, Ok(level))) => level,
        _ => LevelFilter::Info,
    };
    let name = name.to_owned();
    let write_record = move |out: &mut env_logger::fmt::Formatter, record: &Record<'_>| {
        // The time that a reader of the log sees, and nothing else.
        #[allow(clippy::disallowed_methods)]
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        match format {
            Format::Text => {
                let (s, ms) = (now.as_secs(), now.subsec_millis());
                writeln!(out, "{s}.{ms:03} {} {name} {}", record.level(), record.args())
            }
            Format::Json => {
                let seconds = now.as_millis() as f64 / 1e3;
                writeln!(out, "{}", to_json(record, &name, seconds))
            }
        }
    };
    // Fails only where a log was started before, and then that one stays.
    let _ = Builder::new()
        .filter_module("notchdoor", filter)
        .target(Target::Stderr)
        .write_style(WriteStyle::Never)
        .format(write_record)
        .try_init();
    if let Some((text, Err(_))) = parsed {
        log::warn!("log: '{text}' is no level: error, warn, info, debug and off are; info is taken");
    }
}

#[cfg(test)]
mod tests;
