//! Loads the proxy's configuration from a JSON file and environment variables; the variables take precedence.

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

/// The configuration, an environment variable or a file that they refer to is invalid. The message is one line that names
/// the field, variable or file; a policy error has one line per problem.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `EDGE_CONFIG` is not set.
    #[error("EDGE_CONFIG: not set")]
    NotSet,
    /// The configuration file cannot be read.
    #[error("EDGE_CONFIG: cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The file is not JSON or not an object with the required fields.
    #[error("EDGE_CONFIG: {0}")]
    Malformed(serde_json::Error),
    /// A field has an invalid value.
    #[error("EDGE_CONFIG: {path}: {source}")]
    Field {
        /// The path of the field.
        path: String,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A setting is out of range; the text names it.
    #[error("EDGE_CONFIG: settings.{0}")]
    Setting(String),
    /// A field or variable is not an IP address and port.
    #[error("{source_name}: not an address and port: {text:?}")]
    InvalidAddress {
        /// The name of the field or variable.
        source_name: String,
        /// The invalid value.
        text: String,
    },
    /// The seed is not a hexadecimal number.
    #[error("EDGE_CONFIG: seed: not a hex number: {0:?}")]
    InvalidSeed(String),
    /// `limits.sockets` is below the minimum.
    #[error("EDGE_CONFIG: limits.sockets: too few: {0}, the minimum is {min}", min = RESERVED_SOCKETS + 16)]
    TooFewSockets(usize),
    /// `limits.memory_mb` is below the minimum.
    #[error("EDGE_CONFIG: limits.memory_mb: too little: {0}, the minimum is {MIN_MEMORY_MB}")]
    TooLittleMemory(f64),
    /// The policy file cannot be read.
    #[error("{path}: cannot read the policy: {source}")]
    UnreadablePolicy {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The policy file is invalid.
    #[error("{}", one_per_line(.0))]
    Policy(Vec<PolicyError>),
    /// The file with the lease group's members and the fleet tasks cannot be read.
    #[error("{path}: cannot read: {source}")]
    UnreadableTasks {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// That file is invalid; the text names the file and the position.
    #[error("{0}")]
    Tasks(String),
}

fn one_per_line(problems: &[PolicyError]) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Upper bound on `limits.sockets`, set by the platform; a larger configured value is reduced to it.
const MAX_SOCKETS: usize = 1024;
/// Descriptors reserved for listeners, admin connections, hot-restart files, discovery, the poller, signals and the
/// standard streams.
const RESERVED_SOCKETS: usize = 32;
/// Minimum of `limits.memory_mb`; less memory allows only a few dozen concurrent requests.
const MIN_MEMORY_MB: f64 = 12.0;

/// Memory in bytes that a process takes before it has clients, and that each of its sockets takes with its tasks.
const PROCESS_BYTES: usize = 6 * 1024 * 1024;
const SOCKET_BYTES: usize = 3 * 1024;
/// Share of the rest that may hold bytes for clients; the allocator needs some beside them.
const HELD_SHARE: f64 = 0.5;
/// Bytes that a process may hold for clients at least: without any it could not answer.
const MIN_HELD_BYTES: usize = 512 * 1024;

/// The files that the configuration was loaded from and its fields at startup, with which a reload is compared.
pub struct Source {
    path: String,
    policy: Option<String>,
    fields: Map<String, Value>,
}

/// The result of reloading the configuration.
#[derive(Debug, PartialEq)]
pub struct Reload {
    /// The new address of discovery.
    pub discovery: SocketAddr,
    /// Changed fields that take effect only after a restart.
    pub restart_required: Vec<String>,
    /// The new policy; `None` without a policy file.
    pub policy: Option<Arc<Policy>>,
}

/// A proxy's configuration.
pub struct Config {
    /// The proxy's name, used in log records and the hot-restart state.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The address of the admin listener; `None` to disable it.
    pub admin: Option<SocketAddr>,
    /// Limits on sockets, memory and requests for all processes together.
    pub limits: Limits,
    /// The last endpoint list known to this proxy, used until discovery sends a newer one.
    pub known_endpoints: Option<Update>,
    /// The settings of the deployment.
    pub settings: DeploymentSettings,
    /// The policy; `None` without a policy file.
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

/// Resource limits of the proxy, shared by all of its processes that run at the same time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    memory: f64,
    sockets: usize,
    max_in_flight: usize,
}

/// The share of [`Limits`] of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Maximum number of connections to backends and the origin.
    pub upstream_connections: usize,
    /// Maximum total bytes that are held for clients: commands, values and replies, in part or whole.
    pub held_bytes: usize,
    /// The part of them that requests may use that take as long as their clients do: large writes, and large values that
    /// are relayed. The rest is left to other requests.
    pub long_held_bytes: usize,
    /// Maximum number of requests without a complete answer.
    pub requests: usize,
    /// Maximum number of large values that are relayed at the same time.
    pub relayed_values: usize,
    /// Maximum total bytes of large values that are kept, beyond the size of one buffered value each.
    pub large_value_bytes: usize,
    /// Maximum total bytes of partially read commands on all client connections.
    pub partial_command_bytes: usize,
}

impl Limits {
    /// The share of one process if `processes` run at the same time, and the others hold nothing; 0 counts as 1.
    pub fn per_process(&self, processes: usize) -> ProcessLimits {
        self.share(processes, 0)
    }

    /// The share of one process if `processes` run at the same time, of which the others hold `held_by_others` bytes for
    /// clients; 0 processes count as 1. What the others hold beyond their shares is taken from this one's.
    pub fn share(&self, processes: usize, held_by_others: usize) -> ProcessLimits {
        let processes = processes.max(1);
        let sockets = (self.sockets / processes).saturating_sub(RESERVED_SOCKETS).max(16);
        let clients = sockets * 3 / 5;
        let memory = self.memory / processes as f64;
        let fixed = PROCESS_BYTES + sockets * SOCKET_BYTES;
        let held_bytes = ((memory - fixed as f64) * HELD_SHARE) as usize;
        let held_bytes = held_bytes.min((processes * held_bytes).saturating_sub(held_by_others));
        let held_bytes = held_bytes.max(MIN_HELD_BYTES);
        // Each request may buffer a value of the maximum size; one third of the memory is available for values.
        let values = memory / (3 * MAX_VALUE) as f64;
        let requests = (values as usize).min(self.max_in_flight).max(1);
        ProcessLimits {
            client_connections: clients,
            upstream_connections: sockets - clients,
            held_bytes,
            long_held_bytes: held_bytes / 4 * 3,
            requests,
            // Clients read them at their own pace; the rest is left to other requests.
            relayed_values: (requests * 3 / 4).max(1),
            large_value_bytes: ((memory / 8.0) as usize).min(held_bytes / 5 * 2),
            partial_command_bytes: ((memory / 8.0) as usize).min(held_bytes / 4),
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

/// Loads the policy file, if any. The error has a line for each problem.
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

/// Loads the file with the lease group's members and the fleet tasks.
pub fn load_tasks(path: &str) -> Result<TasksConfig, ConfigError> {
    let text = bounded_file::read_text(Path::new(path), bounded_file::MAX_AUTHORED_BYTES)
        .map_err(|source| ConfigError::UnreadableTasks { path: path.to_owned(), source })?;
    parse_tasks(path, &text).map_err(|problem| ConfigError::Tasks(problem.to_string()))
}

fn parse_fields(text: &[u8]) -> Result<Map<String, Value>, ConfigError> {
    serde_json::from_slice(text).map_err(ConfigError::Malformed)
}

impl Source {
    /// Reloads the configuration and policy files and compares the configuration with the one at startup.
    pub fn reread(&self) -> Result<Reload, ConfigError> {
        let text = read_file(&self.path)?;
        let reload = self.compare(&text)?;
        // Check the policy against the running settings, because changed settings need a restart.
        let settings = self.fields.get("settings").cloned().unwrap_or_default();
        let running: DeploymentSettings = serde_json::from_value(settings)
            .map_err(|source| ConfigError::Field { path: "settings".to_owned(), source })?;
        Ok(Reload { policy: load_policy(self.policy.as_deref(), &running)?, ..reload })
    }

    /// Compares a new text of the file with the fields at startup. Environment variables are ignored here: `discovery`
    /// is always taken from the file.
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
    /// Loads the file named by `EDGE_CONFIG`, the environment variables and, if given, the policy file.
    pub fn load(policy_file: Option<String>) -> Result<(Self, Source), ConfigError> {
        let path = std::env::var("EDGE_CONFIG").map_err(|_| ConfigError::NotSet)?;
        let text = read_file(&path)?;
        let mut config = Config::parse(&text, |name| std::env::var(name).ok())?;
        config.policy = load_policy(policy_file.as_deref(), &config.settings)?;
        Ok((config, Source { path, policy: policy_file, fields: parse_fields(&text)? }))
    }

    /// Parses the text of the file. `variable` looks up the environment variables that override its fields. The error
    /// names the invalid field or variable.
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
