//! Keeps the configuration version of a proxy confirmed by the group, without I/O.

use crate::holder::Drift;
use crate::lease::Millis;
use crate::versioned_config::{Acting, Confirmation, Version, View};

/// Validity assumed for the first confirmation, used for the timeout of the first request. Later
/// confirmations state their own.
const FIRST_GOOD_MS: Millis = 1_500;

/// Sends confirmation requests and updates a [`View`] from the answers.
#[derive(Clone, Debug)]
pub struct Confirmer {
    view: View,
    asking: Option<(u64, Millis)>,
    next_ask: Millis,
    good_ms: Millis,
    asked: u64,
}

impl Confirmer {
    /// Creates a confirmer in safe mode, without any confirmed version.
    pub fn new(drift: Drift) -> Confirmer {
        Confirmer { view: View::new(drift), asking: None, next_ask: 0, good_ms: FIRST_GOOD_MS, asked: 0 }
    }

    /// Returns the rules that the proxy applies at `now`.
    pub fn acting(&mut self, now: Millis) -> Acting<'_> {
        self.view.acting(now)
    }

    /// Returns the times at which the applied version changes if no further answer arrives, with the version
    /// from each time on. `None` is safe mode.
    pub fn plan(&mut self, now: Millis) -> Vec<(Millis, Option<Version>)> {
        self.view.plan(now)
    }

    /// Returns the number and the newest known version of a request that is due. Numbers are never reused,
    /// because the validity of a confirmation counts from when its own request was sent.
    pub fn due(&mut self, now: Millis) -> Option<(u64, u64)> {
        if self.asking.is_some() || now < self.next_ask {
            return None;
        }
        self.asked += 1;
        self.asking = Some((self.asked, now));
        Some((self.asked, self.view.have()))
    }

    /// Processes the confirmation in answer to request `number`, received at `now`.
    pub fn answered(&mut self, number: u64, told: &Confirmation, now: Millis) {
        let Some((_, sent)) = self.asking.filter(|&(asked, _)| asked == number) else { return };
        // Record the version applied until now: a proxy must never return to an older one.
        self.view.acting(now);
        self.asking = None;
        self.good_ms = told.good_ms.max(1);
        self.view.confirmed(sent, told.clone());
        self.next_ask = sent.saturating_add(self.good_ms / 3);
    }

    /// Reschedules request `number` for `at`, after an answer that was not a confirmation.
    pub fn again(&mut self, number: u64, at: Millis) {
        if self.asking.is_some_and(|(asked, _)| asked == number) {
            self.asking = None;
            self.next_ask = at;
        }
    }

    /// Drops the request in flight after its connection broke. It is sent again on the next connection.
    pub fn lost(&mut self, now: Millis) {
        if self.asking.take().is_some() {
            self.next_ask = now;
        }
    }

    /// Returns whether the request in flight has been unanswered for a third of the confirmation's validity.
    pub fn is_timed_out(&self, now: Millis) -> bool {
        self.asking.is_some_and(|(_, sent)| now >= sent.saturating_add(self.good_ms / 3))
    }

    /// Returns when [`Confirmer::due`] has to be called next, or when the request in flight times out.
    pub fn next_due(&self) -> Millis {
        self.asking.map_or(self.next_ask, |(_, sent)| sent.saturating_add(self.good_ms / 3))
    }
}
