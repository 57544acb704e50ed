//! Session of one process with the lease group, without I/O: which member to connect to, which requests to
//! send, and how to handle the answers. The driver owns the connection and the clock.

use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::client::{TaskClient, BACKOFF_RANGE_MS};
use crate::confirm::Confirmer;
use crate::holder::Drift;
use crate::lease::Millis;
use crate::membership::MAX_MEMBERS;
use crate::protocol::{Answer, Request};

/// Flag in the request numbers of confirmations. Request numbers of tasks never reach this bit.
const CONFIRMATION_FLAG: u64 = 1 << 63;
/// Request number of the members request. Request numbers of tasks are greater.
const MEMBERS_REQUEST: u64 = 0;
/// Interval between requests for the member list, in milliseconds.
const MEMBERS_INTERVAL_MS: Millis = 30_000;

/// Id and client address of a group member.
pub type Endpoint = (u64, SocketAddr);

/// Returns the address of the member to try after `from`: the configured address of the known leader, else
/// its advertised address, else the next member in the list. The configured address comes first because it
/// may lead through a relay.
pub fn next_endpoint(
    members: &[Endpoint],
    from: SocketAddr,
    leader: Option<u64>,
    at: Option<SocketAddr>,
) -> SocketAddr {
    let listed = leader.and_then(|id| members.iter().find(|(d, _)| *d == id)).map(|&(_, address)| address);
    // A leader hint that points back to `from` is ignored.
    if let Some(address) = listed.or(at).filter(|&address| address != from) {
        return address;
    }
    let place = members.iter().position(|&(_, address)| address == from).map_or(0, |p| p + 1);
    members[place % members.len()].1
}

/// Leases and configuration version of one process, and its current group member.
pub struct Session {
    tasks: Vec<TaskClient>,
    /// Set if the process applies configuration versions.
    versions: Option<Confirmer>,
    /// Configured members, followed by members learnt from the group.
    members: Vec<Endpoint>,
    configured_members: usize,
    current_address: SocketAddr,
    /// When to request the member list again.
    members_due_at: Millis,
    connect_at: Millis,
    failures: u32,
    rng: ChaCha8Rng,
}

impl Session {
    /// Creates a session that acquires the lease of each of `tasks`, given by name and TTL, for `holder`.
    /// `members` must not be empty. `seed` seeds the choice of the first member and the jitter.
    pub fn new(
        members: Vec<Endpoint>,
        holder: &str,
        tasks: &[(String, Millis)],
        drift: Drift,
        seed: u64,
    ) -> Session {
        let clients = tasks.iter().zip(0u64..);
        let tasks = clients.map(|((t, ttl), n)| TaskClient::new(t, holder, *ttl, drift, seed ^ n)).collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let current_address = members[rng.random_range(0..members.len())].1;
        Session {
            tasks,
            versions: None,
            configured_members: members.len(),
            members,
            current_address,
            members_due_at: 0,
            connect_at: 0,
            failures: 0,
            rng,
        }
    }

    /// Adds a confirmer for configuration versions.
    pub fn with_versions(mut self, drift: Drift) -> Session {
        self.versions = Some(Confirmer::new(drift));
        self
    }

    /// Returns the confirmer, if the process applies configuration versions.
    pub fn versions(&mut self) -> Option<&mut Confirmer> {
        self.versions.as_mut()
    }

    /// Returns the address of the current member and the earliest time to connect to it.
    pub fn current_member(&self) -> (SocketAddr, Millis) {
        (self.current_address, self.connect_at)
    }

    /// Returns the lease clients, in the order of the tasks passed to [`Session::new`].
    pub fn tasks(&self) -> &[TaskClient] {
        &self.tasks
    }

    /// Returns the requests to send now, with their request numbers.
    pub fn due(&mut self, now: Millis) -> Vec<(u64, Request)> {
        let count = self.tasks.len() as u64;
        let clients = self.tasks.iter_mut().zip(0u64..);
        let asks = clients.filter_map(|(task, n)| task.due(now).map(|ask| (ask, n)));
        let mut due: Vec<_> =
            asks.map(|(ask, n)| (ask.req * count + n, Request::Lease(ask.command))).collect();
        if let Some((number, have)) = self.versions.as_mut().and_then(|v| v.due(now)) {
            due.push((CONFIRMATION_FLAG | number, Request::Confirm { have }));
        }
        // Refreshed along with other requests, because all configured members may have been replaced.
        if now >= self.members_due_at && !due.is_empty() {
            self.members_due_at = now + MEMBERS_INTERVAL_MS;
            due.push((MEMBERS_REQUEST, Request::Members));
        }
        due
    }

    /// Returns when [`Session::due`] has to be called next.
    pub fn next_due(&self) -> Millis {
        let versions = self.versions.as_ref().map(Confirmer::next_due);
        self.tasks.iter().map(TaskClient::next_due).chain(versions).min().unwrap_or(Millis::MAX)
    }

    /// Returns whether a request to the current member has timed out.
    pub fn stalled(&self, now: Millis) -> bool {
        self.versions.as_ref().is_some_and(|v| v.is_timed_out(now))
            || self.tasks.iter().any(|t| t.is_timed_out(now))
    }

    /// Processes an answer. Returns `true` if the driver has to connect to another member.
    pub fn answered(&mut self, number: u64, answer: &Answer, now: Millis) -> bool {
        let no_leader = matches!(answer, Answer::NotLeader { leader: None, .. });
        self.failures = if no_leader { self.failures.saturating_add(1) } else { 0 };
        if let Answer::Members(members) = answer {
            self.members.truncate(self.configured_members);
            let learnt = members.iter().filter(|(id, _)| !self.members.iter().any(|(d, _)| d == id));
            let learnt: Vec<Endpoint> = learnt.take(MAX_MEMBERS).copied().collect();
            self.members.extend(learnt);
            return false;
        }
        let count = self.tasks.len().max(1) as u64;
        if number & CONFIRMATION_FLAG != 0 {
            if let Some(versions) = &mut self.versions {
                match answer {
                    Answer::Confirmed(told) => versions.answered(number & !CONFIRMATION_FLAG, told, now),
                    Answer::Later { retry_after_ms } => {
                        versions.retry_at(number & !CONFIRMATION_FLAG, now.saturating_add(*retry_after_ms));
                    }
                    Answer::NotLeader { .. } => versions.retry_at(number & !CONFIRMATION_FLAG, now),
                    _ => versions.retry_at(number & !CONFIRMATION_FLAG, now + BACKOFF_RANGE_MS.1),
                }
            }
        } else if let Some(task) = self.tasks.get_mut((number % count) as usize) {
            task.answered(number / count, answer, now);
        }
        let Answer::NotLeader { leader, at } = answer else { return false };
        let to = next_endpoint(&self.members, self.current_address, *leader, *at);
        if leader.is_none() {
            // No leader is elected yet: wait before trying the next member.
            self.wait(now);
        }
        let moved = self.move_to(to);
        if moved {
            // Other requests in flight to the old member are sent again to the new one.
            self.requests_lost(now);
        }
        moved
    }

    fn requests_lost(&mut self, now: Millis) {
        self.tasks.iter_mut().for_each(|t| t.request_lost(now));
        if let Some(versions) = &mut self.versions {
            versions.request_lost(now);
        }
    }

    fn move_to(&mut self, to: SocketAddr) -> bool {
        self.members_due_at = 0;
        std::mem::replace(&mut self.current_address, to) != to
    }

    /// Selects the next member and a delay before connecting, after the current one was unreachable or did
    /// not answer in time.
    pub fn connection_failed(&mut self, now: Millis) {
        self.requests_lost(now);
        self.move_to(next_endpoint(&self.members, self.current_address, None, None));
        self.failures = self.failures.saturating_add(1);
        self.wait(now);
    }

    fn wait(&mut self, now: Millis) {
        // The back-off grows once all members have been tried.
        let rounds = self.failures / self.members.len() as u32;
        let longest = (BACKOFF_RANGE_MS.0 << rounds.min(6)).min(BACKOFF_RANGE_MS.1);
        self.connect_at = now + self.rng.random_range(BACKOFF_RANGE_MS.0 / 4..=longest);
    }

    /// Handles the refusal of the fencing token of the task at index `place`.
    pub fn fenced(&mut self, place: usize, token: u64, now: Millis) {
        if let Some(task) = self.tasks.get_mut(place) {
            task.fenced(token, now);
        }
    }

    /// Releases all leases, before the process exits.
    pub fn release_all(&mut self, now: Millis) {
        self.tasks.iter_mut().for_each(|t| t.stop_holding(now));
    }
}

#[cfg(test)]
mod tests;
