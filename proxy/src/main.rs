//! The proxy's program.

#![forbid(unsafe_code)]

use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::{Signal, Signals};
use notchdoor_proxy::lifecycle::{config::Config, logger, signals};
use notchdoor_proxy::wire::driver::Shell;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;

fn run() -> Result<(), String> {
    // Before anything else: a signal that nothing waits for ends the process.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])
        .map_err(|e| format!("signals: {e}"))?;
    let (config, source) = Config::load()?;
    logger::start(&config.name);
    let listener = Async::<TcpListener>::bind(config.listen)
        .map_err(|e| format!("EDGE_LISTEN: cannot listen on {}: {e}", config.listen))?;
    log::info!("started, listening on {}, registry at {}", config.listen, config.registry);
    let executor = Rc::new(LocalExecutor::new());
    let shell = Shell::start(config, listener, Rc::clone(&executor));
    async_io::block_on(executor.run(signals::until_stopped(&shell, &source, signals)));
    shell.report("counters at exit");
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("notchdoor: {message}");
            ExitCode::from(2)
        }
    }
}
