//! SIGTERM and SIGINT stop the proxy in order; SIGUSR1 prints the counters.

use crate::wire::driver::Shell;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
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

/// Waits for a signal to stop, and then until all that was taken is answered.
pub async fn until_stopped(shell: &Rc<Shell>, mut signals: Signals) {
    loop {
        match signals.next().await {
            Some(Ok(Signal::Usr1)) => shell.report("counters"),
            Some(Ok(signal)) => {
                log::info!("stopping on {signal:?}");
                break;
            }
            Some(Err(error)) => log::warn!("signals: {error}"),
            // Without signals the proxy serves until it is killed.
            None => futures_lite::future::pending().await,
        }
    }
    let limit = Instant::now() + answering(shell.network.longest_deadline);
    shell.begin_stop();
    Timer::after(STILL_ACCEPTING).await;
    shell.stop_accepting();
    while shell.clients_open() > 0 && Instant::now() < limit {
        shell.retire_clients();
        Timer::after(Duration::from_millis(5)).await;
    }
    let (clients, owed) = (shell.clients_open(), shell.owed());
    if owed > 0 {
        log::error!("stopped with {owed} requests unanswered on {clients} connections");
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
