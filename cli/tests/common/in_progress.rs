//! What the proxies with faults share: whole messages, and the commands that have come and are not handled yet.

use super::TIMEOUT;
use notchdoor_testbed::wire::frames::Frames;
use std::io::Read;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Reads one message; `None` if the connection ends before.
pub fn read_message(stream: &mut impl Read, frames: &mut Frames) -> Option<Vec<u8>> {
    let (mut message, mut byte) = (Vec::new(), [0]);
    loop {
        stream.read_exact(&mut byte).ok()?;
        message.push(byte[0]);
        if frames.push(byte[0]) {
            return Some(message);
        }
    }
}

/// Counts commands in progress.
#[derive(Clone, Default)]
pub struct InProgress(Arc<AtomicUsize>);

/// One command in progress, until it is dropped.
pub struct Command(InProgress);

impl InProgress {
    /// Counts a command until the returned guard is dropped.
    pub fn begin(&self) -> Command {
        self.0.fetch_add(1, Ordering::SeqCst);
        Command(self.clone())
    }

    /// Waits until no command is in progress.
    pub fn wait_until_idle(&self) {
        let deadline = Instant::now() + TIMEOUT;
        while self.0.load(Ordering::SeqCst) > 0 {
            assert!(Instant::now() < deadline, "a command was not handled");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Drop for Command {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(1, Ordering::SeqCst);
    }
}
