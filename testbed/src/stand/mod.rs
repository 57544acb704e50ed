//! Stand-ins for what a proxy talks to, from the published pages.

pub mod host;
pub mod list;
pub mod origin;
pub mod settings;
pub mod worker;

use std::collections::BTreeMap;

/// The bytes are nothing that a proxy should send, or break a limit: the connection is of no more use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Garbage;

/// A request's list of names and values.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Info(BTreeMap<String, String>);

impl Info {
    /// Takes a list such as `c=read,t=acme,d=480` apart; `None` if it is none, or lacks its `d`.
    pub fn parse(text: &str) -> Option<Info> {
        let pairs: Option<BTreeMap<String, String>> = text
            .split(',')
            .map(|pair| pair.split_once('=').map(|(name, value)| (name.to_owned(), value.to_owned())))
            .collect();
        let info = Info(pairs?);
        info.wait_ms().is_some().then_some(info)
    }

    /// A value by its name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// How long the sender waits, in milliseconds: digits, with a fraction at the most.
    pub fn wait_ms(&self) -> Option<f64> {
        let text = self.get("d")?;
        let number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        text.parse().ok().filter(|d| number && *d > 0.0)
    }
}
