//! Writes log records to standard error, one line per record, as text or JSON.
//!
//! docs/oncall.md lists the messages. A JSON record also contains the record's key-value pairs as separate fields.

use env_logger::{Builder, Target, WriteStyle};
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value as Json};
use std::io::Write;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

/// The output format of log records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Unix time in seconds, level, proxy name and message.
    #[default]
    Text,
    /// One JSON object per line: `ts`, `level`, `name`, `msg` and the record's key-value pairs.
    Json,
}

/// The given text is not the name of a log format.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown log format '{0}': expected text or json")]
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

/// Converts a record to a JSON object. The common fields replace key-value pairs of the same name.
fn to_json(record: &Record<'_>, name: &str, seconds: f64) -> Json {
    let mut fields = Map::new();
    // Visiting fails only if the visitor fails, and `FieldCollector` never does.
    let _ = record.key_values().visit(&mut FieldCollector(&mut fields));
    fields.insert("ts".to_owned(), Json::from(seconds));
    fields.insert("level".to_owned(), Json::from(record.level().as_str()));
    fields.insert("name".to_owned(), Json::from(name));
    fields.insert("msg".to_owned(), Json::from(record.args().to_string()));
    Json::Object(fields)
}

/// Starts logging for the proxy with the given name. `level` is the value of `--log-level` or `NOTCHDOOR_LOG`; an
/// invalid level is logged as a warning and `info` is used instead.
pub fn start(name: &str, format: Format, level: Option<&str>) {
    let parsed = level.map(|l| (l, l.parse::<LevelFilter>()));
    let filter = match parsed {
        Some((_, Ok(level))) => level,
        _ => LevelFilter::Info,
    };
    let name = name.to_owned();
    let write_record = move |out: &mut env_logger::fmt::Formatter, record: &Record<'_>| {
        // Used only as the timestamp of the log record.
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
    // Fails only if a logger is already installed, which then stays in use.
    let _ = Builder::new()
        .filter_module("notchdoor", filter)
        .target(Target::Stderr)
        .write_style(WriteStyle::Never)
        .format(write_record)
        .try_init();
    if let Some((text, Err(_))) = parsed {
        log::warn!("log: unknown level '{text}': expected error, warn, info, debug or off; using info");
    }
}

#[cfg(test)]
mod tests;
