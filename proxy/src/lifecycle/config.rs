//! What the platform tells a proxy: a JSON file, and variables that go before it.

use crate::state::endpoints::Update;
use crate::wire::MAX_VALUE;
use notchdoor_coordination::config::{parse_tasks, TasksConfig};
use notchdoor_limits::policy::Policy;
use notchdoor_limits::policy_file::PolicyError;
use notchdoor_settings::{bounded_file, DeploymentSettings};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use thiserror::Error;

/// What is wrong with the configuration, the variables or the files that they name: in one line that names the place, or
/// one line for each problem of a policy.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// No file is named.
    #[error("EDGE_CONFIG: not set")]
    NotSet,
    /// The configuration cannot be read.
    #[error("EDGE_CONFIG: cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// It is no JSON, or not an object of the fields that a configuration has.
    #[error("EDGE_CONFIG: {0}")]
    Malformed(serde_json::Error),
    /// One field of it is wrong.
    #[error("EDGE_CONFIG: {path}: {source}")]
    Field {
        /// Where it stands.
        path: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A setting is out of its bounds; the text names it.
    #[error("EDGE_CONFIG: settings.{0}")]
    Setting(String),
    /// A field or a variable is no address.
    #[error("{source_name}: not an address and port: {text:?}")]
    InvalidAddress {
        /// The field or the variable.
        source_name: String,
        /// What it says.
        text: String,
    },
    /// The seed is no number.
    #[error("EDGE_CONFIG: seed: not a hex number: {0:?}")]
    InvalidSeed(String),
    /// Too few descriptors are allowed to serve with.
    #[error("EDGE_CONFIG: limits.sockets: too few: {0}")]
    TooFewSockets(usize),
    /// Too little memory is allowed to serve with.
    #[error("EDGE_CONFIG: limits.memory_mb: too little: {0}")]
    TooLittleMemory(f64),
    /// The policy cannot be read.
    #[error("{path}: cannot read the policy: {source}")]
    UnreadablePolicy {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The policy has problems.
    #[error("{}", one_per_line(.0))]
    Policy(Vec<PolicyError>),
    /// The file of the group's members cannot be read.
    #[error("{path}: cannot read: {source}")]
    UnreadableTasks {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The file of the group's members is wrong; the text names the place.
    #[error("{0}")]
    Tasks(String),
}

fn one_per_line(problems: &[PolicyError]) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// The platform's limit on sockets; what the file allows beyond it is not used.
const MAX_SOCKETS: usize = 1024;
/// Descriptors for the two listeners, operators' calls, the hot restart's files, discovery, the poller, signals, the
/// standard streams and chance.
const RESERVED_SOCKETS: usize = 32;
/// With less memory than this there would be limits for a few dozen requests only.
const MIN_MEMORY_MB: f64 = 12.0;

/// Where the configuration came from and what it said: what a later reading of the file is held against.
pub struct Source {
    path: String,
    policy: Option<String>,
    fields: Map<String, Value>,
}

/// What a later reading of the file comes to.
#[derive(Debug, PartialEq)]
pub struct Reload {
    /// discovery from here on.
    pub discovery: SocketAddr,
    /// Fields that differ from those the proxy started with and that only a restart takes up.
    pub restart_required: Vec<String>,
    /// The policy from here on, where there is a file of one.
    pub policy: Option<Arc<Policy>>,
}

/// A proxy's configuration.
pub struct Config {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// discovery.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Where operators call, if anywhere.
    pub admin: Option<SocketAddr>,
    /// The limits on what is held.
    pub limits: Limits,
    /// The list as this proxy had it last.
    pub known_endpoints: Option<Update>,
    /// The deployment's settings.
    pub settings: DeploymentSettings,
    /// The operators' limits, where there is a file of them.
    pub policy: Option<Arc<Policy>>,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    #[serde(default)]
    admin_addr: Option<String>,
    discovery: String,
    seed: String,
    #[serde(default)]
    limits: LimitsFields,
    #[serde(default)]
    known: Option<Update>,
    settings: DeploymentSettings,
}

#[derive(Deserialize)]
#[serde(default)]
struct LimitsFields {
    memory_mb: f64,
    sockets: usize,
}

impl Default for LimitsFields {
    fn default() -> Self {
        LimitsFields { memory_mb: 192.0, sockets: MAX_SOCKETS }
    }
}

/// What the proxy may hold, however many processes it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    memory: f64,
    sockets: usize,
    max_in_flight: usize,
}

/// One process's part of the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// The most client connections.
    pub client_connections: usize,
    /// The most connections to backends and the origin.
    pub upstream_connections: usize,
    /// The most requests that are taken and not answered whole.
    pub requests: usize,
    /// The most bytes of answers that are read at once, beyond one value's size each.
    pub large_value_bytes: usize,
    /// The most bytes of commands that are half read, on all client connections together.
    pub partial_command_bytes: usize,
}

impl Limits {
    /// The part of one of so many processes that live at once.
    pub fn per_process(&self, processes: usize) -> ProcessLimits {
        let processes = processes.max(1);
        let sockets = (self.sockets / processes).saturating_sub(RESERVED_SOCKETS).max(16);
        let clients = sockets * 3 / 5;
        let memory = self.memory / processes as f64;
        // A request may hold a value of the largest size; a third of the memory may go to such.
        let values = memory / (3 * MAX_VALUE) as f64;
        ProcessLimits {
            client_connections: clients,
            upstream_connections: sockets - clients,
            requests: (values as usize).min(self.max_in_flight).max(1),
            large_value_bytes: (memory / 8.0) as usize,
            partial_command_bytes: (memory / 8.0) as usize,
        }
    }
}

fn parse_address(text: &str, field: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|_| ConfigError::InvalidAddress { source_name: field.to_owned(), text: text.to_owned() })
}

fn read_file(path: &str) -> Result<Vec<u8>, ConfigError> {
    bounded_file::read_bytes(Path::new(path), bounded_file::MAX_CONFIG_BYTES)
        .map_err(|source| ConfigError::Unreadable { path: path.to_owned(), source })
}

/// Reads the operators' limits. The error has a line for each problem.
fn load_policy(
    path: Option<&str>,
    settings: &DeploymentSettings,
) -> Result<Option<Arc<Policy>>, ConfigError> {
    let Some(path) = path else { return Ok(None) };
    let text = bounded_file::read_text(Path::new(path), bounded_file::MAX_AUTHORED_BYTES)
        .map_err(|source| ConfigError::UnreadablePolicy { path: path.to_owned(), source })?;
    let policy = notchdoor_limits::policy_file::parse(path, &text, &settings.policy_context())
        .map_err(ConfigError::Policy)?;
    Ok(Some(Arc::new(policy)))
}

/// Reads a file of the lease group's members and the fleet's tasks.
pub fn load_tasks(path: &str) -> Result<TasksConfig, ConfigError> {
    let text = bounded_file::read_text(Path::new(path), bounded_file::MAX_AUTHORED_BYTES)
        .map_err(|source| ConfigError::UnreadableTasks { path: path.to_owned(), source })?;
    parse_tasks(path, &text).map_err(|problem| ConfigError::Tasks(problem.to_string()))
}

fn parse_fields(text: &[u8]) -> Result<Map<String, Value>, ConfigError> {
    serde_json::from_slice(text).map_err(ConfigError::Malformed)
}

impl Source {
    /// Reads the file again.
    pub fn reread(&self) -> Result<Reload, ConfigError> {
        let text = read_file(&self.path)?;
        let reload = self.compare(&text)?;
        // Checked against the settings in force: new ones wait for a restart.
        let settings = self.fields.get("settings").cloned().unwrap_or_default();
        let running: DeploymentSettings = serde_json::from_value(settings)
            .map_err(|source| ConfigError::Field { path: "settings".to_owned(), source })?;
        Ok(Reload { policy: load_policy(self.policy.as_deref(), &running)?, ..reload })
    }

    /// Holds a later text of the file against the one that the proxy started with. The variables went before
    /// the file at the start; now `discovery` is what the file says.
    fn compare(&self, text: &[u8]) -> Result<Reload, ConfigError> {
        let discovery = Config::parse(text, |_| None)?.discovery;
        let mut restart_required = Vec::new();
        let new = parse_fields(text)?;
        for name in ["name", "listen", "admin_addr", "seed", "limits", "settings"] {
            match (self.fields.get(name), new.get(name)) {
                (Some(Value::Object(a)), Some(Value::Object(b))) => {
                    let mut inner: Vec<&String> =
                        a.keys().chain(b.keys()).filter(|k| a.get(*k) != b.get(*k)).collect();
                    inner.sort();
                    inner.dedup();
                    restart_required.extend(inner.into_iter().map(|k| format!("{name}.{k}")));
                }
                (a, b) if a != b => restart_required.push(name.to_owned()),
                _ => {}
            }
        }
        Ok(Reload { discovery, restart_required, policy: None })
    }
}

impl Config {
    /// Reads the file that `EDGE_CONFIG` names, the variables, and the policy file if there is one.
    pub fn load(policy_file: Option<String>) -> Result<(Self, Source), ConfigError> {
        let path = std::env::var("EDGE_CONFIG").map_err(|_| ConfigError::NotSet)?;
        let text = read_file(&path)?;
        let mut config = Config::parse(&text, |name| std::env::var(name).ok())?;
        config.policy = load_policy(policy_file.as_deref(), &config.settings)?;
        Ok((config, Source { path, policy: policy_file, fields: parse_fields(&text)? }))
    }

    /// Takes the file's text; `variable` looks up what goes before it. The error names the field or the
    /// variable at fault.
    pub fn parse(text: &[u8], variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        parse_fields(text)?;
        let mut json = serde_json::Deserializer::from_slice(text);
        let file: File =
            serde_path_to_error::deserialize(&mut json).map_err(|e| match e.path().to_string() {
                path if path == "." => ConfigError::Malformed(e.into_inner()),
                path => ConfigError::Field { path, source: e.into_inner() },
            })?;
        file.settings.validate().map_err(|problem| ConfigError::Setting(problem.to_string()))?;
        let address = |name: &str, field: &str, text: String| match variable(name) {
            Some(text) => parse_address(&text, name),
            None => parse_address(&text, field),
        };
        let seed =
            u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::InvalidSeed(file.seed.clone()))?;
        let sockets = file.limits.sockets.min(MAX_SOCKETS);
        if sockets < RESERVED_SOCKETS + 16 {
            return Err(ConfigError::TooFewSockets(file.limits.sockets));
        }
        if file.limits.memory_mb.is_nan() || file.limits.memory_mb < MIN_MEMORY_MB {
            return Err(ConfigError::TooLittleMemory(file.limits.memory_mb));
        }
        let limits = Limits {
            memory: file.limits.memory_mb * 1024.0 * 1024.0,
            sockets,
            max_in_flight: file.settings.settings().max_in_flight as usize,
        };
        let admin = match (variable("EDGE_ADMIN_ADDR"), file.admin_addr) {
            (Some(text), _) => Some(parse_address(&text, "EDGE_ADMIN_ADDR")?),
            (None, Some(text)) => Some(parse_address(&text, "EDGE_CONFIG: admin_addr")?),
            (None, None) => None,
        };
        Ok(Config {
            name: variable("EDGE_NAME").unwrap_or(file.name),
            listen: address("EDGE_LISTEN", "EDGE_CONFIG: listen", file.listen)?,
            discovery: address("EDGE_DISCOVERY", "EDGE_CONFIG: discovery", file.discovery)?,
            seed,
            admin,
            limits,
            known_endpoints: file.known,
            settings: file.settings,
            policy: None,
        })
    }
}

#[cfg(test)]
mod tests;
