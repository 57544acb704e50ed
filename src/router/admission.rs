//! Admission to the origin: which reads and writes its congestion window has room for, and for how long.

use super::congestion_window::{CongestionWindow, MEAN_SAMPLES};
use crate::interface::{Micros, Request, Settings};

/// Reads leave the rest of the window, where it is more than one attempt, to writes: a write that finds no
/// room is lost for good, a read comes again.
const MAX_READ_WINDOW_SHARE: f64 = 0.6;
/// A call to the origin is given up after so many times the delay at which the window is cut: it is lost, not
/// slow.
const GIVE_UP_DELAY_MULTIPLE: u64 = 4;

/// Whether the origin's window has room for a read or a write, and its client enough time left.
pub(super) fn admits(window: &CongestionWindow, now: Micros, request: &Request, settings: &Settings) -> bool {
    // A call that can hardly be over before the client gives up would only take the room.
    let time_left = request.deadline.saturating_sub(now) as f64;
    let too_late = window.normal_delay().unwrap_or(0.0) / 2.0 > time_left;
    let class_share = settings.class_of(request).map_or(1.0, |class| class.window_share);
    let share = class_share.min(if request.write { 1.0 } else { MAX_READ_WINDOW_SHARE });
    !too_late && window.has_capacity(now, share)
}

/// When a call to the origin is given up: a lost one must not hold its slot until the client gives up.
pub(super) fn give_up_at(window: &CongestionWindow, now: Micros, deadline: Micros) -> Micros {
    match window.delay_limit(MEAN_SAMPLES) {
        Some(limit) => deadline.min(now + GIVE_UP_DELAY_MULTIPLE * limit as Micros),
        None => deadline,
    }
}
