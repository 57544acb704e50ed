//! Signal delivery through the pipe, and the stop timeout.

use super::*;
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

#[test]
fn stop_signal_is_returned_before_other_pending_signals() {
    let mut signals = Signals::new().unwrap();
    signal_hook::low_level::raise(SIGUSR1).unwrap();
    assert_eq!(async_io::block_on(signals.next()), Signal::Usr1);
    signal_hook::low_level::raise(SIGHUP).unwrap();
    signal_hook::low_level::raise(SIGTERM).unwrap();
    assert_eq!(async_io::block_on(signals.next()), Signal::Term);
    assert_eq!(async_io::block_on(signals.next()), Signal::Hup);
}

#[test]
fn stop_timeout_is_shorter_than_the_time_before_sigkill() {
    // SIGKILL follows SIGTERM after at most 3.7 s, even if a class has a longer deadline, and the process may be held up.
    const HELD_UP: Duration = Duration::from_millis(150);
    for (deadline, millis, kill_millis) in
        [(2_000_000, 2_550, 2_700), (60_000_000, 3_550, 3_700), (0, 3_550, 3_700)]
    {
        assert_eq!(stop_timeout(deadline), Duration::from_millis(millis));
        assert!(stop_timeout(deadline) + HELD_UP <= Duration::from_millis(kill_millis));
    }
}

/// A pipe whose reads return `failures` in order; the next read sets the signal's flag and succeeds.
struct FailingPipe {
    failures: VecDeque<io::Result<usize>>,
    flag: Arc<AtomicBool>,
}

impl AsyncRead for FailingPipe {
    fn poll_read(mut self: Pin<&mut Self>, _: &mut Context<'_>, _: &mut [u8]) -> Poll<io::Result<usize>> {
        Poll::Ready(self.failures.pop_front().unwrap_or_else(|| {
            self.flag.store(true, Ordering::SeqCst);
            Ok(1)
        }))
    }
}

#[test]
fn signal_is_returned_after_pipe_read_failures() {
    let interrupted: fn() -> io::Result<usize> = || Err(io::ErrorKind::Interrupted.into());
    let failed: fn() -> io::Result<usize> = || Err(io::Error::from_raw_os_error(5));
    for failure in [interrupted, failed, || Ok(0)] {
        let flag = Arc::new(AtomicBool::new(false));
        let flags = [(Signal::Term, Arc::clone(&flag))];
        let mut pipe = FailingPipe { failures: (0..3).map(|_| failure()).collect(), flag };
        let timeout = async {
            Timer::after(Duration::from_secs(5)).await;
            None
        };
        let next = async { Some(next_signal(&flags, &mut pipe).await) };
        assert_eq!(async_io::block_on(future::or(next, timeout)), Some(Signal::Term));
        assert!(pipe.failures.is_empty());
    }
}
