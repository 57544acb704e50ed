//! What the platform tells a proxy: a JSON file, and variables that go before it.

use crate::state::registry::Update;
use notchdoor_settings::BootInfo;
use serde::Deserialize;
use std::net::SocketAddr;

/// The platform's limit on sockets; what the file allows beyond it is not used.
const MOST_SOCKETS: usize = 1024;
/// Descriptors for the listener, the registry, the poller, signals, the standard streams and chance.
const OTHER_SOCKETS: usize = 64;

/// A proxy's configuration.
pub struct Config {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The registry.
    pub registry: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// The most client connections.
    pub most_clients: usize,
    /// The most connections to workers and the origin.
    pub most_delegated: usize,
    /// The most requests that are taken and not answered whole.
    pub most_taken: usize,
    /// The list as this proxy had it last.
    pub known: Option<Update>,
    /// The deployment's settings.
    pub settings: BootInfo,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<Update>,
    settings: BootInfo,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192.0, sockets: MOST_SOCKETS }
    }
}

fn address(text: &str, field: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{field}: not an address and port: {text:?}"))
}

impl Config {
    /// Reads the file that `EDGE_CONFIG` names, and the variables.
    pub fn load() -> Result<Self, String> {
        let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG: not set".to_owned())?;
        let text = std::fs::read(&path).map_err(|e| format!("EDGE_CONFIG: cannot read {path}: {e}"))?;
        Config::parse(&text, |name| std::env::var(name).ok())
    }

    /// Takes the file's text; `variable` looks up what goes before it. The error names the field or the
    /// variable at fault.
    pub fn parse(text: &[u8], variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let file: File = serde_json::from_slice(text).map_err(|e| format!("EDGE_CONFIG: {e}"))?;
        let place = |name: &str, field: &str, text: String| match variable(name) {
            Some(text) => address(&text, name),
            None => address(&text, field),
        };
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("EDGE_CONFIG: seed: not a hex number: {:?}", file.seed))?;
        let sockets = file.limits.sockets.min(MOST_SOCKETS).saturating_sub(OTHER_SOCKETS);
        if sockets < 16 {
            return Err(format!("EDGE_CONFIG: limits.sockets: too few: {}", file.limits.sockets));
        }
        let most_clients = sockets * 3 / 5;
        // A request may hold a value of the largest size; a third of the memory may go to such.
        let values = file.limits.memory_mb * 16.0 / 3.0;
        if values.is_nan() || values < 64.0 {
            return Err(format!("EDGE_CONFIG: limits.memory_mb: too little: {}", file.limits.memory_mb));
        }
        let most_held = file.settings.settings().most_held as usize;
        Ok(Config {
            name: variable("EDGE_NAME").unwrap_or(file.name),
            listen: place("EDGE_LISTEN", "EDGE_CONFIG: listen", file.listen)?,
            registry: place("EDGE_DISCOVERY", "EDGE_CONFIG: discovery", file.discovery)?,
            seed,
            most_clients,
            most_delegated: sockets - most_clients,
            most_taken: (values as usize).min(most_held).max(1),
            known: file.known,
            settings: file.settings,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str = r#"{"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.2:8500",
        "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":4096},
        "known":{"rev":41,"all":true,"targets":[]},"settings":{"balancers":1,"grades":[],
        "discovery":"on_request","limits":{"maxAttempts":3,"mostHeld":20000},
        "obligations":{"cold":8100.0,"coldFrom":0.3,"fallMultiple":4.0,"tipAfter":2000.0}}}"#;

    #[test]
    fn the_file_is_read_and_variables_go_before_it() {
        let config = Config::parse(TEXT.as_bytes(), |_| None).ok().unwrap();
        assert_eq!((config.name.as_str(), config.listen.port(), config.seed >> 56), ("n3", 6379, 0x8c));
        assert!(config.most_clients + config.most_delegated + OTHER_SOCKETS <= MOST_SOCKETS);
        let listen = |name: &str| (name == "EDGE_LISTEN").then(|| "127.0.0.9:1".to_owned());
        assert_eq!(Config::parse(TEXT.as_bytes(), listen).ok().unwrap().listen.port(), 1);
    }

    #[test]
    fn what_is_wrong_is_named_in_one_line() {
        let cases = [
            ("\"seed\":\"8c1f30d27a5be964\",", "", "missing field `seed`"),
            ("8c1f30d27a5be964", "xyz", "seed: not a hex number"),
            ("127.0.0.1:6379", "nowhere", "listen: not an address"),
            ("127.0.0.2:8500", "127.0.0.2", "discovery: not an address"),
            ("\"sockets\":4096", "\"sockets\":70", "limits.sockets: too few"),
            ("\"memory_mb\":192", "\"memory_mb\":1", "limits.memory_mb: too little"),
            ("\"mostHeld\":20000", "\"mostHeld\":\"x\"", "invalid type"),
            ("\"maxAttempts\":3,", "", "missing field `maxAttempts`"),
            ("{\"name\"", "[", "EDGE_CONFIG: "),
        ];
        for (from, to, told) in cases {
            let error = Config::parse(TEXT.replacen(from, to, 1).as_bytes(), |_| None).err().unwrap();
            assert!(error.contains(told) && !error.contains('\n'), "{told}: {error}");
        }
        let variable = |name: &str| (name == "EDGE_DISCOVERY").then(|| "here".to_owned());
        let error = Config::parse(TEXT.as_bytes(), variable).err().unwrap();
        assert!(error.starts_with("EDGE_DISCOVERY: "), "{error}");
    }
}
