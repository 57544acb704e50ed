//! Keeps the configuration version of a proxy confirmed by the group, without I/O.

use crate::holder::Drift;
use crate::lease::Millis;
use crate::versioned_config::{Acting, Confirmation, Version, View};

/// Validity assumed for the first confirmation, used for the timeout of the first request. Later
/// confirmations state their own.
const INITIAL_VALIDITY_MS: Millis = 1_500;

/// Sends confirmation requests and updates a [`View`] from the answers.
#[derive(Clone, Debug)]
pub struct Confirmer {
    view: View,
    in_flight: Option<(u64, Millis)>,
    next_request_at: Millis,
    good_ms: Millis,
    last_request: u64,
}

impl Confirmer {
    /// Creates a confirmer in safe mode, without any confirmed version.
    pub fn new(drift: Drift) -> Confirmer {
        Confirmer {
            view: View::new(drift),
            in_flight: None,
            next_request_at: 0,
            good_ms: INITIAL_VALIDITY_MS,
            last_request: 0,
        }
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
        if self.in_flight.is_some() || now < self.next_request_at {
            return None;
        }
        self.last_request += 1;
        self.in_flight = Some((self.last_request, now));
        Some((self.last_request, self.view.have()))
    }

    /// Processes the confirmation in answer to request `number`, received at `now`.
    pub fn answered(&mut self, number: u64, confirmation: &Confirmation, now: Millis) {
        let Some((_, sent)) = self.in_flight.filter(|&(sent_number, _)| sent_number == number) else {
            return;
        };
        // Record the version applied until now: a proxy must never return to an older one.
        self.view.acting(now);
        self.in_flight = None;
        self.good_ms = confirmation.good_ms.max(1);
        self.view.confirmed(sent, confirmation.clone());
        self.next_request_at = sent.saturating_add(self.good_ms / 3);
    }

    /// Reschedules request `number` for `at`, after an answer that was not a confirmation.
    pub fn retry_at(&mut self, number: u64, at: Millis) {
        if self.in_flight.is_some_and(|(sent_number, _)| sent_number == number) {
            self.in_flight = None;
            self.next_request_at = at;
        }
    }

    /// Drops the request in flight after its connection broke. It is sent again on the next connection.
    pub fn request_lost(&mut self, now: Millis) {
        if self.in_flight.take().is_some() {
            self.next_request_at = now;
        }
    }

    /// Returns whether the request in flight has been unanswered for a third of the confirmation's validity.
    pub fn is_timed_out(&self, now: Millis) -> bool {
        self.in_flight.is_some_and(|(_, sent)| now >= sent.saturating_add(self.good_ms / 3))
    }

    /// Returns when [`Confirmer::due`] has to be called next, or when the request in flight times out.
    pub fn next_due(&self) -> Millis {
        self.in_flight.map_or(self.next_request_at, |(_, sent)| sent.saturating_add(self.good_ms / 3))
    }
}
