//! SIGTERM and SIGINT stop the proxy in order; SIGHUP reads the configuration again; SIGUSR1 prints the
//! counters.

use super::config::{Reload, Source};
use crate::wire::driver::Shell;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use notchdoor::Micros;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// New connections keep coming for up to 0.4 s after SIGTERM, and then the listener is closed.
const STILL_ACCEPTING: Duration = Duration::from_millis(450);
/// SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM.
const BEFORE_KILL: Duration = Duration::from_millis(600);

/// The longest deadline that SIGKILL waits for, and what is taken where the settings name none.
const LONGEST: Duration = Duration::from_secs(3);

/// How long a stop may take before it has to exit with what is still open.
fn answering(longest_deadline: Micros) -> Duration {
    let longest = match longest_deadline {
        0 => LONGEST,
        deadline => Duration::from_micros(deadline).min(LONGEST),
    };
    longest + BEFORE_KILL
}

/// Does what each signal asks for, and returns at the first that asks for a stop.
async fn heed(shell: &Rc<Shell>, source: &Source, signals: &mut Signals) {
    loop {
        match signals.next().await {
            Some(Ok(Signal::Usr1)) => shell.report("counters"),
            Some(Ok(Signal::Hup)) => reload(shell, source),
            Some(Ok(signal)) => return log::info!("stopping on {signal:?}"),
            Some(Err(error)) => log::warn!("signals: {error}"),
            // Without signals the proxy serves until it is killed.
            None => future::pending().await,
        }
    }
}

/// Takes up what a new configuration changes. Requests and connections stay as they are, and a file that is
/// wrong changes nothing.
fn reload(shell: &Rc<Shell>, source: &Source) {
    match source.reread() {
        Ok(Reload { registry, wants_restart, policy }) => {
            log::info!(registry:%; "configuration read again, registry at {registry}");
            if !wants_restart.is_empty() {
                log::warn!("configuration: a restart is needed for {}", wants_restart.join(", "));
            }
            let routes = policy.as_ref().map(|p| p.routes.len());
            if !shell.reload(policy) {
                log::warn!("policy: a restart is needed to begin with one, or to go on without");
            } else if let Some(routes) = routes {
                log::info!(routes; "policy: read again, {routes} routes");
            }
            shell.move_registry(registry);
        }
        Err(error) => {
            for line in error.lines() {
                log::error!("configuration not taken, the old one stays: {line}");
            }
        }
    }
}

/// Waits for a signal to stop, and then until all that was taken is answered.
pub async fn until_stopped(shell: &Rc<Shell>, source: &Source, mut signals: Signals) {
    heed(shell, source, &mut signals).await;
    // The registry may move during a stop too, and a second signal to stop changes nothing.
    let heed_on = async {
        loop {
            heed(shell, source, &mut signals).await;
        }
    };
    future::or(stop(shell), heed_on).await;
}

async fn stop(shell: &Rc<Shell>) {
    let limit = Instant::now() + answering(shell.network.longest_deadline);
    shell.begin_stop();
    // With a successor on the same address, new connections go there once the listener is closed.
    if !shell.has_successor() {
        Timer::after(STILL_ACCEPTING).await;
    }
    shell.stop_accepting().await;
    while shell.clients_open() > 0 && Instant::now() < limit {
        shell.retire_clients();
        Timer::after(Duration::from_millis(5)).await;
    }
    let (clients, owed) = (shell.clients_open(), shell.owed());
    if owed > 0 {
        log::error!(owed, clients; "stopped with {owed} requests unanswered on {clients} connections");
    } else {
        log::info!("stopped with every request answered");
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_stop_ends_before_it_is_killed() {
        // Guards against a class with a long deadline: SIGKILL comes 3.7 s after SIGTERM all the same.
        for (deadline, millis) in [(2_000_000, 2_600), (60_000_000, 3_600), (0, 3_600)] {
            assert_eq!(answering(deadline), Duration::from_millis(millis));
        }
    }
}
