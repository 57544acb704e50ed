//! The proxy from its start to its stop.

use super::config::Config;
use super::{log, signals};
use crate::wire::driver::Shell;
use ::log::info;
use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::{Signal, Signals};
use std::net::TcpListener;
use std::rc::Rc;

/// Serves until a signal asks for a stop; `policy` is the operators' file of limits. The error names the field or
/// the variable at fault, in one line, or each of a policy file's problems in one.
pub fn serve(format: log::Format, level: Option<&str>, policy: Option<String>) -> Result<(), String> {
    // Before anything else: a signal that nothing waits for ends the process.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])
        .map_err(|e| format!("signals: {e}"))?;
    let (config, source) = Config::load(policy)?;
    log::start(&config.name, format, level);
    let listener = Async::<TcpListener>::bind(config.listen)
        .map_err(|e| format!("EDGE_LISTEN: cannot listen on {}: {e}", config.listen))?;
    if let Some(policy) = &config.policy {
        let (routes, budgets) = (policy.routes.len(), policy.budgets.len());
        info!(routes, budgets; "policy: {routes} routes, {budgets} budgets");
    }
    let (listen, registry) = (config.listen, config.registry);
    info!(listen:%, registry:%; "started, listening on {listen}, registry at {registry}");
    let executor = Rc::new(LocalExecutor::new());
    let shell = Shell::start(config, listener, Rc::clone(&executor));
    async_io::block_on(executor.run(signals::until_stopped(&shell, &source, signals)));
    shell.report("counters at exit");
    Ok(())
}
