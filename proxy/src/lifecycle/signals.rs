//! Signal handling: SIGTERM and SIGINT stop the proxy gracefully, SIGHUP reloads the configuration, SIGUSR1 logs the
//! counters.

use super::config::{Reload, Source};
use crate::wire::driver::{Runtime, LINGER_TIMEOUT};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncRead, AsyncReadExt};
use notchdoor::Micros;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, PipeReader};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A signal that the proxy handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: stop gracefully.
    Term,
    /// SIGINT: stop gracefully, as for `Term`.
    Int,
    /// SIGUSR1: write the counters to the log.
    Usr1,
    /// SIGHUP: reload the configuration.
    Hup,
}

/// Interval at which the flags are polled while the pipe cannot be read.
const PIPE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Receives signals. Each signal sets its flag and writes a byte to a pipe that wakes the executor. A pipe also works
/// on platforms that allow only TCP and UDP sockets. Repeated signals of one kind are merged until the first is returned.
pub struct Signals {
    wake: Async<PipeReader>,
    flags: [(Signal, Arc<AtomicBool>); 4],
}

impl Signals {
    /// Installs handlers that replace the default actions of the four signals.
    pub fn new() -> io::Result<Self> {
        let (reader, writer) = io::pipe()?;
        let flags =
            [(Signal::Term, SIGTERM), (Signal::Int, SIGINT), (Signal::Usr1, SIGUSR1), (Signal::Hup, SIGHUP)]
                .map(|(signal, number)| (signal, number, Arc::new(AtomicBool::new(false))));
        for (_, number, flag) in &flags {
            // Register the flag first, so that it is set when the byte is read.
            signal_hook::flag::register(*number, Arc::clone(flag))?;
            signal_hook::low_level::pipe::register(*number, writer.try_clone()?)?;
        }
        Ok(Self { wake: Async::new(reader)?, flags: flags.map(|(signal, _, flag)| (signal, flag)) })
    }

    /// Waits for the next signal. Of several pending signals, SIGTERM and SIGINT are returned first.
    pub async fn next(&mut self) -> Signal {
        next_signal(&self.flags, &mut &self.wake).await
    }
}

/// Waits for a signal whose flag is set; a byte on `wake` causes another check. If the pipe cannot be read, polls the
/// flags instead.
async fn next_signal(flags: &[(Signal, Arc<AtomicBool>)], wake: &mut (impl AsyncRead + Unpin)) -> Signal {
    loop {
        if let Some((signal, _)) = flags.iter().find(|(_, flag)| flag.swap(false, Ordering::SeqCst)) {
            return *signal;
        }
        match wake.read(&mut [0; 16]).await {
            Ok(n) if n > 0 => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            failed => {
                log::debug!("signals: cannot read the wake-up pipe, polling instead: {failed:?}");
                Timer::after(PIPE_RETRY_DELAY).await;
            }
        }
    }
}

/// How long the listener stays open after the signal: new connections arrive for up to 0.4 s after SIGTERM.
const ACCEPT_AFTER_SIGNAL: Duration = Duration::from_millis(450);
/// How long new commands are read after the signal. Only the rest of a command already begun is read afterwards, so
/// that a request with the longest deadline can still finish before the stop timeout.
const READ_AFTER_SIGNAL: Duration = Duration::from_millis(550);
/// How long replies that have begun may take after the signal. They have no deadline, but a client could take its value byte
/// by byte.
const REPLIES_AFTER_SIGNAL: Duration = Duration::from_secs(300);
/// Time allowed for a stop beyond the longest deadline. SIGKILL follows SIGTERM after that deadline plus 0.7 s, and the process
/// may be held up for 0.15 s of that.
const STOP_TIME_AFTER_DEADLINE: Duration = Duration::from_millis(550);
/// Interval between checks of what is left to do.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time before the stop timeout at which all open requests get their final answers, so that these can be sent.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(30);

/// The longest deadline that SIGKILL waits for; also the default if the settings have no deadline.
const MAX_STOP_DEADLINE: Duration = Duration::from_secs(3);

/// How long a stop may take before the process exits with requests still open, unless their replies have begun. A
/// `longest_deadline` of 0 means that none is set.
fn stop_timeout(longest_deadline: Micros) -> Duration {
    let longest = match longest_deadline {
        0 => MAX_STOP_DEADLINE,
        deadline => Duration::from_micros(deadline).min(MAX_STOP_DEADLINE),
    };
    longest + STOP_TIME_AFTER_DEADLINE
}

/// Handles signals until SIGTERM or SIGINT is received.
async fn handle_signals(runtime: &Rc<Runtime>, source: &Source, signals: &mut Signals) {
    loop {
        match signals.next().await {
            Signal::Usr1 => runtime.report("counters"),
            Signal::Hup => reload(runtime, source),
            signal => return log::info!("stopping on {signal:?}"),
        }
    }
}

/// Reloads the configuration and policy and applies the changes that need no restart. Open requests and connections are
/// unaffected. If a file is invalid, nothing changes.
fn reload(runtime: &Rc<Runtime>, source: &Source) {
    match source.reread() {
        Ok(Reload { discovery, restart_required, policy }) => {
            log::info!(discovery:%; "configuration reloaded, discovery at {discovery}");
            if !restart_required.is_empty() {
                log::warn!("configuration: a restart is needed for {}", restart_required.join(", "));
            }
            let routes = policy.as_ref().map(|p| p.routes.len());
            if !runtime.reload(policy) {
                log::warn!("policy: a restart is needed to add or remove the policy");
            } else if let Some(routes) = routes {
                log::info!(routes; "policy: reloaded, {routes} routes");
            }
            runtime.move_discovery(discovery);
        }
        Err(error) => {
            for line in error.to_string().lines() {
                log::error!("configuration rejected, keeping the current one: {line}");
            }
        }
    }
}

/// Handles signals until one requests a stop, then waits until all requests are answered or the stop timeout expires.
pub async fn until_stopped(runtime: &Rc<Runtime>, source: &Source, mut signals: Signals) {
    handle_signals(runtime, source, &mut signals).await;
    // Keep reloading during the stop. Further stop signals have no effect.
    let keep_handling_signals = async {
        loop {
            handle_signals(runtime, source, &mut signals).await;
        }
    };
    future::or(stop(runtime), keep_handling_signals).await;
}

async fn stop(runtime: &Rc<Runtime>) {
    let started = Instant::now();
    let limit = started + stop_timeout(runtime.network.max_deadline);
    runtime.begin_stop();
    // If a successor listens on the same address, it accepts new connections once this listener is closed.
    if !runtime.has_successor() {
        Timer::after(ACCEPT_AFTER_SIGNAL).await;
    }
    runtime.stop_accepting().await;
    while runtime.clients_open() > 0 && Instant::now() < limit {
        runtime.retire_clients(started.elapsed() >= READ_AFTER_SIGNAL);
        if Instant::now() + FINAL_ANSWERS_TIME >= limit {
            runtime.answer_all();
        }
        Timer::after(STOP_POLL_INTERVAL).await;
    }
    finish_replies(runtime, started + REPLIES_AFTER_SIGNAL).await;
    let (clients, unanswered) = (runtime.clients_open(), runtime.requests_in_flight());
    if unanswered > 0 {
        log::error!(owed = unanswered, clients; "stopped with {unanswered} requests unanswered on {clients} connections");
    } else {
        log::info!("stopped with every request answered");
    }
}

/// Waits until the replies that have begun are written. Only SIGKILL may cut them off. They end early if the server falls
/// silent or the client takes nothing.
async fn finish_replies(runtime: &Rc<Runtime>, limit: Instant) {
    let unwritten = runtime.clients_with_unwritten_replies();
    if unwritten > 0 {
        log::info!(clients = unwritten; "finishing the replies of {unwritten} clients");
    }
    let mut last_unwritten_at = None;
    while runtime.clients_open() > 0 && Instant::now() < limit {
        if runtime.clients_with_unwritten_replies() > 0 {
            last_unwritten_at = Some(Instant::now());
        }
        if last_unwritten_at.is_none_or(|at| at.elapsed() >= LINGER_TIMEOUT) {
            return;
        }
        // Requests whose reply broke off get their final answers.
        runtime.answer_all();
        Timer::after(STOP_POLL_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;
