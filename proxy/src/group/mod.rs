//! The lease group on sockets: a member's driver, what a proxy or an operator asks of the group,
//! and the tasks that a proxy does for the fleet while it holds them. What is decided is in
//! `notchdoor-coordination`; here are sockets, the disk and the clock.

pub mod ask;
mod frames;
pub mod node;
pub mod tasks;

use notchdoor_coordination::lease::Millis;
use std::future::Future;
use std::io;
use std::time::{Duration, Instant};

/// A monotonic clock in milliseconds, from the start of the process's part in the group.
#[derive(Clone, Copy)]
pub(crate) struct MonotonicClock(Instant);

impl MonotonicClock {
    pub(crate) fn start() -> MonotonicClock {
        MonotonicClock(Instant::now())
    }

    pub(crate) fn now(&self) -> Millis {
        self.0.elapsed().as_millis() as Millis
    }

    pub(crate) fn instant(&self, at: Millis) -> Instant {
        // What is never due is due in an hour, and looked at again.
        self.0.checked_add(Duration::from_millis(at.min(self.now() + 3_600_000))).unwrap_or(self.0)
    }
}

/// The work, or an error once the time is up.
pub(crate) async fn with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let late = async {
        async_io::Timer::after(limit).await;
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("nothing for {} ms", limit.as_millis())))
    };
    futures_lite::future::or(work, late).await
}

/// The time that all machines read, in Unix milliseconds.
pub(crate) fn unix_ms() -> Millis {
    // Shared by all machines of the fleet: entries of the negative cache are stamped with it.
    #[allow(clippy::disallowed_methods)]
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as Millis
}

/// A number that no earlier start of this process had, as far as chance goes.
pub(crate) fn random_id() -> u64 {
    rand::random()
}
