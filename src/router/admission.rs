//! Admission of reads and writes to the origin, by its congestion window.

use super::congestion_window::{CongestionWindow, MEAN_SAMPLES};
use crate::interface::{Micros, Request, Settings};

/// The share of the origin's window that reads may use. The rest is reserved for writes, which cannot be
/// served from a cache: a write without a slot is lost for good, while a read is retried.
const MAX_READ_WINDOW_SHARE: f64 = 0.6;
/// The share of the origin's window that writes may use whose values are still being received. They take as long as their
/// clients do, and other writes must not wait for that.
const MAX_UPLOAD_WINDOW_SHARE: f64 = 0.5;
/// A call to the origin times out after this multiple of the delay at which the window is cut: by then it is
/// lost, not slow.
const GIVE_UP_DELAY_MULTIPLE: u64 = 4;

/// Returns whether the origin's window has capacity for the request and the client can be answered in time.
pub(super) fn admits(window: &CongestionWindow, now: Micros, request: &Request, settings: &Settings) -> bool {
    // A call that is unlikely to finish before the deadline would only occupy a slot.
    let time_left = request.deadline.saturating_sub(now) as f64;
    let too_late = window.normal_delay().unwrap_or(0.0) / 2.0 > time_left;
    let class_share = settings.class_of(request).map_or(1.0, |class| class.window_share);
    let kind_share = match (request.write, request.upload) {
        (true, true) => MAX_UPLOAD_WINDOW_SHARE,
        (true, false) => 1.0,
        (false, _) => MAX_READ_WINDOW_SHARE,
    };
    let share = class_share.min(kind_share);
    !too_late && window.has_capacity(now, share)
}

/// Returns when a call to the origin times out. A lost call must not occupy its slot until the client's
/// deadline.
pub(super) fn give_up_at(window: &CongestionWindow, now: Micros, deadline: Micros) -> Micros {
    match window.delay_limit(MEAN_SAMPLES) {
        Some(limit) => deadline.min(now + GIVE_UP_DELAY_MULTIPLE * limit as Micros),
        None => deadline,
    }
}
