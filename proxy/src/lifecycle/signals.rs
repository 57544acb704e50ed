//! SIGTERM and SIGINT stop the proxy in order; SIGHUP reads the configuration again; SIGUSR1 prints the
//! counters.

use super::config::{Reload, Source};
use crate::wire::driver::Runtime;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncRead, AsyncReadExt};
use notchdoor::Micros;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, PipeReader};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A signal that the proxy heeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Stop in order.
    Term,
    /// Stop in order, as for `Term`.
    Int,
    /// Write the counters to the log.
    Usr1,
    /// Read the configuration again.
    Hup,
}

/// How often the flags are looked at where the pipe cannot be read.
const PIPE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The signals as they come. Each sets its flag and writes a byte to a pipe that the executor reads: a pipe,
/// not a pair of Unix sockets, for platforms that take TCP and UDP alone. Two of one kind before the first is
/// read are one.
pub struct Signals {
    wake: Async<PipeReader>,
    flags: [(Signal, Arc<AtomicBool>); 4],
}

impl Signals {
    /// Takes the four signals over from their defaults.
    pub fn new() -> io::Result<Self> {
        let (reader, writer) = io::pipe()?;
        let flags =
            [(Signal::Term, SIGTERM), (Signal::Int, SIGINT), (Signal::Usr1, SIGUSR1), (Signal::Hup, SIGHUP)]
                .map(|(signal, number)| (signal, number, Arc::new(AtomicBool::new(false))));
        for (_, number, flag) in &flags {
            // The flag first: a byte read finds it set.
            signal_hook::flag::register(*number, Arc::clone(flag))?;
            signal_hook::low_level::pipe::register(*number, writer.try_clone()?)?;
        }
        Ok(Self { wake: Async::new(reader)?, flags: flags.map(|(signal, _, flag)| (signal, flag)) })
    }

    /// The next signal; one to stop comes before the others that came with it.
    pub async fn next(&mut self) -> Signal {
        next_signal(&self.flags, &mut &self.wake).await
    }
}

/// The next signal whose flag is set, woken by `wake`. A pipe that cannot be read ends nothing: the flags are set all the
/// same, and are looked at now and then.
async fn next_signal(flags: &[(Signal, Arc<AtomicBool>)], wake: &mut (impl AsyncRead + Unpin)) -> Signal {
    loop {
        if let Some((signal, _)) = flags.iter().find(|(_, flag)| flag.swap(false, Ordering::SeqCst)) {
            return *signal;
        }
        match wake.read(&mut [0; 16]).await {
            Ok(n) if n > 0 => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            failed => {
                log::debug!("signals: the pipe cannot be read: {failed:?}");
                Timer::after(PIPE_RETRY_DELAY).await;
            }
        }
    }
}

/// New connections keep coming for up to 0.4 s after SIGTERM, and then the listener is closed.
const ACCEPT_AFTER_SIGNAL: Duration = Duration::from_millis(450);
/// Connections that are still owed an answer then are not read any further: the longest of the requests that were
/// taken before has its time until the stop is over.
const READ_AFTER_SIGNAL: Duration = Duration::from_millis(550);
/// SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM.
const STOP_TIME_AFTER_DEADLINE: Duration = Duration::from_millis(600);
/// What is still open so long before the stop has to be over is answered as it is, and the answers go out.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(30);

/// The longest deadline that SIGKILL waits for, and what is taken where the settings name none.
const MAX_STOP_DEADLINE: Duration = Duration::from_secs(3);

/// How long a stop may take before it has to exit with what is still open.
fn stop_timeout(longest_deadline: Micros) -> Duration {
    let longest = match longest_deadline {
        0 => MAX_STOP_DEADLINE,
        deadline => Duration::from_micros(deadline).min(MAX_STOP_DEADLINE),
    };
    longest + STOP_TIME_AFTER_DEADLINE
}

/// Does what each signal asks for, and returns at the first that asks for a stop.
async fn handle_signals(runtime: &Rc<Runtime>, source: &Source, signals: &mut Signals) {
    loop {
        match signals.next().await {
            Signal::Usr1 => runtime.report("counters"),
            Signal::Hup => reload(runtime, source),
            signal => return log::info!("stopping on {signal:?}"),
        }
    }
}

/// Takes up what a new configuration changes. Requests and connections stay as they are, and a file that is
/// wrong changes nothing.
fn reload(runtime: &Rc<Runtime>, source: &Source) {
    match source.reread() {
        Ok(Reload { discovery, restart_required, policy }) => {
            log::info!(discovery:%; "configuration read again, discovery at {discovery}");
            if !restart_required.is_empty() {
                log::warn!("configuration: a restart is needed for {}", restart_required.join(", "));
            }
            let routes = policy.as_ref().map(|p| p.routes.len());
            if !runtime.reload(policy) {
                log::warn!("policy: a restart is needed to begin with one, or to go on without");
            } else if let Some(routes) = routes {
                log::info!(routes; "policy: read again, {routes} routes");
            }
            runtime.move_discovery(discovery);
        }
        Err(error) => {
            for line in error.to_string().lines() {
                log::error!("configuration not taken, the old one stays: {line}");
            }
        }
    }
}

/// Waits for a signal to stop, and then until all that was taken is answered.
pub async fn until_stopped(runtime: &Rc<Runtime>, source: &Source, mut signals: Signals) {
    handle_signals(runtime, source, &mut signals).await;
    // discovery may move during a stop too, and a second signal to stop changes nothing.
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
    // With a successor on the same address, new connections go there once the listener is closed.
    if !runtime.has_successor() {
        Timer::after(ACCEPT_AFTER_SIGNAL).await;
    }
    runtime.stop_accepting().await;
    while runtime.clients_open() > 0 && Instant::now() < limit {
        runtime.retire_clients(started.elapsed() >= READ_AFTER_SIGNAL);
        if Instant::now() + FINAL_ANSWERS_TIME >= limit {
            runtime.answer_all();
        }
        Timer::after(Duration::from_millis(5)).await;
    }
    let (clients, unanswered) = (runtime.clients_open(), runtime.owed());
    if unanswered > 0 {
        log::error!(owed = unanswered, clients; "stopped with {unanswered} requests unanswered on {clients} connections");
    } else {
        log::info!("stopped with every request answered");
    }
}

#[cfg(test)]
mod tests;
