//! Client side of the lease of one task, without I/O.
//!
//! The driver sends the requests that [`TaskClient::due`] returns, passes the answers to
//! [`TaskClient::answered`], and checks [`TaskClient::token`] before each action under the lease. Request
//! forwarding never waits for a lease.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::holder::Drift;
use crate::lease::{Command, Millis, Outcome, Refusal};
use crate::protocol::Answer;

/// Minimum and maximum back-off after a failed request, in milliseconds.
pub const BACKOFF_RANGE_MS: (Millis, Millis) = (100, 5_000);

/// A request to send. The number matches the answer to it; answers to earlier requests are ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// Request number, increasing.
    pub req: u64,
    /// The lease command to send.
    pub command: Command,
}

/// Acquires and renews the lease of one task.
pub struct TaskClient {
    task: String,
    holder: String,
    ttl_ms: Millis,
    drift: Drift,
    held: Option<(u64, Millis)>,
    in_flight: Option<(u64, Millis)>,
    /// Token of a grant to release before any other request is sent.
    to_release: Option<u64>,
    next_request_at: Millis,
    failures: u32,
    req: u64,
    rng: ChaCha8Rng,
}

impl TaskClient {
    /// Creates a client that acquires `task` for `holder` with a TTL of `ttl_ms`. `seed` seeds the back-off
    /// jitter.
    pub fn new(task: &str, holder: &str, ttl_ms: Millis, drift: Drift, seed: u64) -> Self {
        TaskClient {
            task: task.to_owned(),
            holder: holder.to_owned(),
            ttl_ms,
            drift,
            held: None,
            in_flight: None,
            to_release: None,
            next_request_at: 0,
            failures: 0,
            req: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the fencing token if this client may act under the lease at `now`.
    pub fn token(&self, now: Millis) -> Option<u64> {
        self.held.filter(|&(_, until)| now < until).map(|(token, _)| token)
    }

    /// Returns the name of the task.
    pub fn task(&self) -> &str {
        &self.task
    }

    /// Handles the refusal of `token` by a server that has seen a higher one. The lease is dropped and
    /// released before it is acquired again, so that the next token is higher even if the group still has
    /// the old grant in force.
    pub fn fenced(&mut self, token: u64, now: Millis) {
        if self.held.is_some_and(|(held, _)| held == token) {
            self.stop_holding(now);
        }
    }

    /// Drops the lease at once and schedules its release, if there is one.
    pub fn stop_holding(&mut self, now: Millis) {
        if let Some((token, _)) = self.held.take() {
            self.to_release = Some(token);
            self.in_flight = None;
            self.next_request_at = now;
        }
    }

    /// Returns whether the request in flight has been unanswered for a third of the TTL.
    pub fn is_timed_out(&self, now: Millis) -> bool {
        self.in_flight.is_some_and(|(_, sent)| now >= sent + self.ttl_ms / 3)
    }

    /// Returns when [`TaskClient::due`] has to be called next.
    pub fn next_due(&self) -> Millis {
        let until = self.held.map_or(Millis::MAX, |(_, until)| until);
        let next = self.in_flight.map_or(self.next_request_at, |(_, sent)| sent + self.ttl_ms / 3);
        next.min(until)
    }

    /// Returns when the lease held by this client ends, unless it is renewed.
    pub fn until(&self) -> Option<Millis> {
        self.held.map(|(_, until)| until)
    }

    /// Returns the request to send at `now`, if one is due and none is in flight. A request that has timed
    /// out is dropped, and the next one waits for the back-off.
    pub fn due(&mut self, now: Millis) -> Option<LeaseRequest> {
        if self.in_flight.is_some() {
            if !self.is_timed_out(now) {
                return None;
            }
            self.in_flight = None;
            self.back_off(now);
        }
        if self.held.is_some_and(|(_, until)| now >= until) {
            self.held = None;
        }
        if now < self.next_request_at {
            return None;
        }
        self.req += 1;
        let command = match (self.to_release, self.held) {
            (Some(token), _) => {
                Command::Release { task: self.task.clone(), holder: self.holder.clone(), token }
            }
            (None, Some((token, _))) => {
                Command::Renew { task: self.task.clone(), holder: self.holder.clone(), token }
            }
            (None, None) => {
                Command::Acquire { task: self.task.clone(), holder: self.holder.clone(), ttl_ms: self.ttl_ms }
            }
        };
        self.in_flight = Some((self.req, now));
        Some(LeaseRequest { req: self.req, command })
    }

    /// Processes the answer to request `req`, received at `now`. Answers to other requests are ignored.
    pub fn answered(&mut self, req: u64, answer: &Answer, now: Millis) {
        let Some((_, sent)) = self.in_flight.filter(|&(r, _)| r == req) else { return };
        self.in_flight = None;
        match answer {
            Answer::Done { outcome: Outcome::Released { .. }, .. } => {
                // The lease was ended on purpose. Waiting for a full TTL lets other clients acquire it
                // first, since they retry every third of a TTL.
                self.to_release = None;
                self.next_request_at = now + self.ttl_ms;
            }
            Answer::Done { outcome: Outcome::Refused(Refusal::Revoked { token }), .. } => {
                self.held = None;
                self.to_release = Some(*token);
                self.next_request_at = now;
            }
            Answer::Done { outcome: Outcome::Granted { token, ttl_ms }, .. }
            | Answer::Done { outcome: Outcome::Renewed { token, ttl_ms }, .. } => {
                self.held = Some((*token, self.drift.act_until(sent, *ttl_ms)));
                self.next_request_at = self.drift.renew_at(sent, *ttl_ms);
                self.failures = 0;
            }
            Answer::Held { again_ms, .. } => {
                // The jitter spreads the retries of clients that received the same delay.
                self.held = None;
                let wait = (*again_ms).max(BACKOFF_RANGE_MS.0);
                self.next_request_at = now.saturating_add(wait - self.rng.random_range(0..wait / 4));
            }
            Answer::Done { outcome: Outcome::Refused(Refusal::Held { .. }), left_ms } => {
                // Retry when the grant is due to expire, but after at most a third of the TTL: a release or
                // an expiry may free the task earlier than the answering member knew.
                self.held = None;
                let wait = left_ms.unwrap_or(self.ttl_ms).min(self.ttl_ms / 3).max(BACKOFF_RANGE_MS.0);
                self.next_request_at = now.saturating_add(wait - self.rng.random_range(0..wait / 4));
            }
            Answer::Done { outcome: Outcome::Refused(Refusal::NotHolder { .. }), .. } => {
                // The group has ended the grant. Stop acting and acquire it again at once.
                self.held = None;
                self.to_release = None;
                self.next_request_at = now;
            }
            Answer::Later { retry_after_ms } => self.next_request_at = now.saturating_add(*retry_after_ms),
            // The session chooses the next member and applies its own back-off.
            Answer::NotLeader { .. } => self.next_request_at = now,
            _ => self.back_off(now),
        }
    }

    /// Drops the request in flight after its connection broke. It is sent again on the next connection; the
    /// session paces reconnects.
    pub fn request_lost(&mut self, now: Millis) {
        if self.in_flight.take().is_some() {
            self.next_request_at = now;
        }
    }

    fn back_off(&mut self, now: Millis) {
        self.failures = self.failures.saturating_add(1);
        let longest = BACKOFF_RANGE_MS.0.saturating_mul(1 << self.failures.min(6)).min(BACKOFF_RANGE_MS.1);
        // Jitter keeps proxies that lost the group at the same time from retrying in lockstep.
        self.next_request_at = now + BACKOFF_RANGE_MS.0.min(longest) + self.rng.random_range(0..longest);
    }
}
