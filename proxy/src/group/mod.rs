//! Network I/O of the lease group: the process of a member, requests to the group, and the fleet-wide tasks that a proxy
//! runs while it holds their leases. The protocol itself is in `notchdoor-coordination`; this module adds sockets, the
//! disk and the clock.

pub mod ask;
mod frames;
pub mod node;
pub mod tasks;

use notchdoor_coordination::lease::Millis;
use std::future::Future;
use std::io;
use std::time::{Duration, Instant};

/// A monotonic clock that counts milliseconds from its creation.
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
        // Limited to one hour from now: `Millis::MAX` stands for never, and callers recompute the time when woken.
        self.0.checked_add(Duration::from_millis(at.min(self.now() + 3_600_000))).unwrap_or(self.0)
    }
}

/// Runs `work` for at most `limit`, then returns a `TimedOut` error.
pub(crate) async fn with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let timeout = async {
        async_io::Timer::after(limit).await;
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("timed out after {} ms", limit.as_millis())))
    };
    futures_lite::future::or(work, timeout).await
}

/// The wall clock in Unix milliseconds.
pub(crate) fn unix_ms() -> Millis {
    // Tombstones of the negative cache carry a timestamp that other machines compare with their own clock.
    #[allow(clippy::disallowed_methods)]
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as Millis
}

/// A random number that tells this start of the process, or a new store, from every other one.
pub(crate) fn random_id() -> u64 {
    rand::random()
}
