//! Runs the proxy process from startup to exit.

use super::config::{self, Config, ConfigError};
use super::log;
use super::signals::{self, Signals};
use crate::group::tasks::Tasks;
use crate::negative_cache::NegativeCache;
use crate::replication::ReplicationRuntime;
use crate::state::hot_restart::HotRestart;
use crate::wire::driver::{admin, hot_restart, Executors, Fleet, Runtime, Sockets};
use ::log::info;
use futures_lite::future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;

/// Why the proxy could not start.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The signal handlers could not be installed.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The configuration, an environment variable or a file that they refer to is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The proxy could not listen on an address.
    #[error("{variable}: cannot listen on {address}: {source}")]
    Listen {
        /// The environment variable that overrides the address in the configuration.
        variable: &'static str,
        /// The address to listen on.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The replica node could not open its store or start serving.
    #[error("{0}")]
    Replication(String),
}

/// Runs the proxy until a signal stops it.
///
/// `policy` is the path of the policy file. `coord` is the path of the file with the lease group's members and the fleet
/// tasks; without it, the proxy runs no fleet tasks and holds no replicas. The error names the invalid field or variable
/// in one line; each problem of a policy file has its own line.
pub fn serve(
    format: log::Format,
    level: Option<&str>,
    policy: Option<String>,
    coord: Option<String>,
) -> Result<(), ServeError> {
    // First, because a signal without a handler kills the process.
    let signals = Signals::new().map_err(ServeError::Signals)?;
    let (config, source) = Config::load(policy)?;
    let fleet = coord.as_deref().map(config::load_tasks).transpose()?;
    log::start(&config.name, format, level);
    let listen_error = |variable, address| move |source| ServeError::Listen { variable, address, source };
    let clients = hot_restart::bind(config.listen).map_err(listen_error("EDGE_LISTEN", config.listen))?;
    let operators = config
        .admin
        .map(|address| admin::bind(address).map_err(listen_error("EDGE_ADMIN_ADDR", address)))
        .transpose()?;
    let state_dir = std::env::temp_dir();
    let deployment = config.settings.names().fingerprint();
    let hot_restart = match HotRestart::join(&state_dir, &config.name, &config.listen.to_string(), deployment)
    {
        Ok((hot_restart, None)) => Some(hot_restart),
        Ok((hot_restart, Some(error))) => {
            ::log::error!(
                "hot restart: invalid stored state, starting without administrative drains: {error}"
            );
            Some(hot_restart)
        }
        Err(error) => {
            ::log::error!("hot restart: unavailable, other processes will not find this one: {error}");
            None
        }
    };
    if let Some(policy) = &config.policy {
        let (routes, budgets) = (policy.routes.len(), policy.retry_budgets.len());
        info!(routes, budgets; "policy: {routes} routes, {budgets} budgets");
    }
    let (listen, discovery) = (config.listen, config.discovery);
    info!(listen:%, discovery:%; "started, listening on {listen}, discovery at {discovery}");
    if let Some(admin) = config.admin {
        info!(admin:%; "admin listener on {admin}");
    }
    let executors = Executors::default();
    let missing = match fleet.as_ref().and_then(|f| f.copies.clone().map(|c| (c, f))) {
        Some((copies, file)) => {
            let (members, executor) = (file.members.clone(), &executors.clients);
            let copies = ReplicationRuntime::start(copies, members, file.drift, &config.name, executor)
                .map_err(|problem| ServeError::Replication(problem.to_string()))?;
            Some(NegativeCache::new(copies, executor))
        }
        None => None,
    };
    let tasks = fleet.map(|file| Tasks::start(file, &config.name, &executors.clients));
    let fleet = Fleet { tasks, negative_cache: missing };
    let runtime =
        Runtime::start(config, Sockets { clients, operators }, hot_restart, fleet, executors.clone());
    let operators = executors.operators.run(future::pending());
    // Spawned as a task because the future passed to `run` is polled only after several hundred task steps, which
    // delays it by about 0.1 s under load.
    let stopped = {
        let runtime = Rc::clone(&runtime);
        executors.clients.spawn(async move { signals::until_stopped(&runtime, &source, signals).await })
    };
    let clients = executors.clients.run(stopped);
    // Poll the admin executor first; each poll of the clients' executor ends after several hundred steps.
    async_io::block_on(future::or(operators, clients));
    runtime.report("counters at exit");
    Ok(())
}
