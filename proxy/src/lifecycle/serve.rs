//! The proxy from its start to its stop.

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

/// Why the proxy cannot serve.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The system gives no signals.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The configuration, a variable or a file that they name is wrong.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An address cannot be listened on.
    #[error("{variable}: cannot listen on {address}: {source}")]
    Listen {
        /// The variable that goes before the configuration's address.
        variable: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The store of what this process holds for others cannot be opened or served.
    #[error("{0}")]
    Replication(String),
}

/// Serves until a signal asks for a stop; `policy` is the operators' file of limits. The error names the field or
/// the variable at fault, in one line, or each of a policy file's problems in one.
///
/// `coord` is a file of the lease group's members and of the tasks to do for the fleet; none by default.
pub fn serve(
    format: log::Format,
    level: Option<&str>,
    policy: Option<String>,
    coord: Option<String>,
) -> Result<(), ServeError> {
    // Before anything else: a signal that nothing waits for ends the process.
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
            ::log::error!("hot restart: the state is of no use, no backend is out by hand: {error}");
            Some(hot_restart)
        }
        Err(error) => {
            ::log::error!("hot restart: none, an upgrade will not know of this process: {error}");
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
        info!(admin:%; "operators call at {admin}");
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
    let fleet = Fleet { tasks, missing };
    let runtime =
        Runtime::start(config, Sockets { clients, operators }, hot_restart, fleet, executors.clone());
    let operators = executors.operators.run(future::pending());
    // A task among the others: what the executor is run for gets a turn only after some hundred of their steps, and
    // under a flood of commands these take a tenth of a second.
    let stopped = {
        let runtime = Rc::clone(&runtime);
        executors.clients.spawn(async move { signals::until_stopped(&runtime, &source, signals).await })
    };
    let clients = executors.clients.run(stopped);
    // Operators' calls first: each turn of the clients' executor ends after some hundred steps.
    async_io::block_on(future::or(operators, clients));
    runtime.report("counters at exit");
    Ok(())
}
