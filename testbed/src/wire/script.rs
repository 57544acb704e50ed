//! The script of a connection's faults, as a file gives it.

use notchdoor_settings::TextPosition;
use serde::Deserialize;

/// Which two parties a connection is between: the one that dials first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Link {
    /// Clients to a proxy.
    ClientProxy,
    /// A proxy to a worker.
    ProxyWorker,
    /// A proxy to the origin.
    ProxyOrigin,
    /// A proxy to the registry.
    ProxyRegistry,
}

/// A direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// From the one that dialled: requests.
    There,
    /// To it: answers.
    #[default]
    Back,
}

/// Where noise goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Place {
    /// Before the message.
    #[default]
    Before,
    /// At `byte` of it.
    Within,
    /// Behind it.
    Behind,
}

/// What is done to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// It comes in pieces of `size` bytes, each by itself.
    Split,
    /// It is held back until `messages` of them are there, and they come at once.
    Join,
    /// It comes `ms` later, and what is behind it waits.
    Delay,
    /// It comes at `bytes_per_s`.
    Throttle,
    /// Up to `byte` of it comes, then the connection is reset.
    Reset,
    /// Up to `byte` of it comes, then this direction ends in good order.
    HalfClose,
    /// Up to `byte` of it comes, then both directions end in good order.
    Truncate,
    /// Up to `byte` of it comes, then nothing ever again, and the connection stays open.
    Silence,
    /// `bytes` random bytes come before, within or behind it.
    Noise,
    /// The first length in it is off `by` so much.
    Lie,
    /// It comes twice.
    Twice,
}

/// One entry of a script: which messages of which connections, and what is done to them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// On connections between these.
    pub between: Link,
    /// Of messages that go this way.
    #[serde(default)]
    pub way: Way,
    /// From this connection of the link on, counted from 0 as they are accepted.
    #[serde(default)]
    pub first: u64,
    /// Every so many connections.
    #[serde(default = "one")]
    pub every: u64,
    /// On so many connections at the most; on all where it is missing.
    #[serde(default)]
    pub connections: Option<u64>,
    /// From this message of the direction on, counted from 0.
    #[serde(default)]
    pub message: u64,
    /// So many messages; for `join` that come at once.
    #[serde(default = "one")]
    pub messages: u64,
    /// Only messages that hold this text.
    #[serde(default)]
    pub holding: Option<String>,
    /// What is done.
    pub fault: Fault,
    /// The byte of the message at which it is done; beyond the message: at its end.
    #[serde(default)]
    pub byte: usize,
    /// Bytes of a piece.
    #[serde(default = "piece")]
    pub size: usize,
    /// Milliseconds.
    #[serde(default)]
    pub ms: f64,
    /// Bytes a second.
    #[serde(default)]
    pub bytes_per_s: f64,
    /// Where noise goes.
    #[serde(default)]
    pub place: Place,
    /// Bytes of noise.
    #[serde(default = "noise")]
    pub bytes: usize,
    /// What a length is off by.
    #[serde(default)]
    pub by: i64,
}

fn one() -> u64 {
    1
}

fn piece() -> usize {
    1
}

fn noise() -> usize {
    16
}

/// The longest that a script may hold a message back.
const MOST_MS: f64 = 60_000.0;
/// The most noise.
const MOST_NOISE: usize = 1 << 20;
/// The most messages that are joined: they are held.
const MOST_JOINED: u64 = 1024;

/// A script: its rules, in the order in which they are done to a message.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The rules.
    #[serde(default, rename = "wire")]
    pub rules: Vec<Rule>,
}

impl Script {
    /// Reads and checks a script. The error has every problem, one a line, each with its entry and field.
    pub fn parse(file: &str, text: &str) -> Result<Script, String> {
        let script: Script = toml::from_str(text).map_err(|e| {
            let line = TextPosition::of(text, e.span().map_or(0, |s| s.start)).line;
            format!("{file}:{line}: {}", e.message().replace('\n', "; "))
        })?;
        let problems: Vec<String> = script
            .rules
            .iter()
            .enumerate()
            .flat_map(|(i, r)| r.problems().into_iter().map(move |p| format!("wire.{i}.{p}")))
            .collect();
        if problems.is_empty() {
            Ok(script)
        } else {
            Err(problems.iter().map(|p| format!("{file}: {p}")).collect::<Vec<_>>().join("\n"))
        }
    }

    /// The rules of the `n`-th connection of a link, one way.
    pub fn rules_of(&self, link: Link, n: u64, way: Way) -> Vec<Rule> {
        self.rules.iter().filter(|r| r.between == link && r.way == way && r.takes(n)).cloned().collect()
    }
}

impl Rule {
    fn takes(&self, n: u64) -> bool {
        let Some(past) = n.checked_sub(self.first) else { return false };
        past.is_multiple_of(self.every) && self.connections.is_none_or(|most| past / self.every < most)
    }

    /// Whether a direction's `n`-th message is one that it takes, whatever it holds.
    pub fn hits(&self, n: u64) -> bool {
        n >= self.message && n - self.message < self.messages
    }

    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut demand = |good: bool, text: &str| {
            if !good {
                problems.push(text.to_owned());
            }
        };
        demand(self.every > 0, "every: should be 1 or more");
        demand(self.messages > 0, "messages: should be 1 or more");
        match self.fault {
            Fault::Split => demand(self.size > 0, "size: should be 1 or more"),
            Fault::Join => demand(self.messages <= MOST_JOINED, "messages: should be 1024 at the most"),
            Fault::Delay => demand(
                self.ms > 0.0 && self.ms <= MOST_MS,
                "ms: should be over 0 and 60000 at the most for a delay",
            ),
            Fault::Throttle => demand(
                self.bytes_per_s >= 1.0 && self.bytes_per_s <= 1e9,
                "bytes_per_s: should be from 1 to 1e9 for a throttle",
            ),
            Fault::Noise => {
                demand((1..=MOST_NOISE).contains(&self.bytes), "bytes: should be from 1 to 1048576");
            }
            Fault::Lie => demand(self.by != 0, "by: a lie needs a figure other than 0"),
            Fault::Reset | Fault::HalfClose | Fault::Truncate | Fault::Silence | Fault::Twice => {}
        }
        problems
    }
}
