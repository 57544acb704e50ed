//! Pauses within a reply.
//!
//! A pause proves nothing about the server: a copy of an earlier reply that was cut off ends in silence, and so does what a sound
//! server is still giving. So after a while another attempt may be sent beside the one that pauses, and the first reply that
//! is whole and proven answers the request. The attempt that pauses has its time all the same.

use crate::proxy::{AttemptId, Stall};
use crate::wire::driver::Runtime;
use notchdoor::Micros;
use std::rc::Rc;

/// Reports the pauses within the reply to one attempt.
pub(super) struct StallWatch<'a> {
    runtime: &'a Rc<Runtime>,
    attempt_id: AttemptId,
    /// The router knows that the reply has begun.
    is_begun: bool,
    /// Another attempt was asked for already.
    is_reported: bool,
}

impl<'a> StallWatch<'a> {
    pub(super) fn new(runtime: &'a Rc<Runtime>, attempt_id: AttemptId) -> Self {
        StallWatch { runtime, attempt_id, is_begun: false, is_reported: false }
    }

    /// Whether another attempt was asked for already.
    pub(super) fn is_reported(&self) -> bool {
        self.is_reported
    }

    /// Reports that the server has begun a reply that takes long, once. `took` is the time until its first byte.
    pub(super) fn report_begun(&mut self, took: Option<Micros>) {
        if !std::mem::replace(&mut self.is_begun, true) {
            self.runtime.drive(|proxy, now| proxy.reply_begun(now, self.attempt_id, took));
        }
    }

    /// Asks for another attempt beside this one, once. `took` is the time until the first byte of the reply.
    pub(super) fn report(&mut self, stall: Stall, took: Option<Micros>) {
        if std::mem::replace(&mut self.is_reported, true) {
            return;
        }
        let attempt_id = self.attempt_id;
        log::debug!(attempt_id, may_be_copy = stall.may_be_copy; "attempt {attempt_id}: its reply pauses or is in doubt");
        self.report_begun(took);
        self.runtime.drive(|proxy, now| proxy.reply_stalled(now, attempt_id, stall));
    }
}
