//! The log: one line a record on standard error.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

struct Logger {
    name: String,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level() && metadata.target().starts_with("notchdoor")
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let t = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let line = format!(
                "{}.{:03} {} {} {}\n",
                t.as_secs(),
                t.subsec_millis(),
                record.level(),
                self.name,
                record.args()
            );
            // A log that cannot be written must not stop the proxy.
            let _ = std::io::stderr().write_all(line.as_bytes());
        }
    }

    fn flush(&self) {}
}

/// Starts the log for the proxy of this name, at the level that `NOTCHDOOR_LOG` names, `info` otherwise.
pub fn start(name: &str) {
    let level = std::env::var("NOTCHDOOR_LOG").ok().and_then(|l| l.parse().ok());
    log::set_max_level(level.unwrap_or(LevelFilter::Info));
    // Fails only where a log was started before, and then that one stays.
    let _ = log::set_boxed_logger(Box::new(Logger { name: name.to_owned() }));
}
