//! The replicated lease table and the leader's expiry timers.
//!
//! The table contains no times: all members apply the same entries in the same order and reach the same
//! state. Only the leader's [`Expiries`] measures time, on a monotonic clock, and proposes an `Expire` entry
//! for each lease that has run out.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Milliseconds on a monotonic clock, or on the virtual clock of a simulation.
pub type Millis = u64;

/// A command on the lease table. Each is one log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Grants `task` to `holder`, or renews the grant if `holder` already has it.
    Acquire {
        /// Name of the task.
        task: String,
        /// Name of the requesting holder.
        holder: String,
        /// TTL in milliseconds. The holder counts it from when it sent the request.
        ttl_ms: Millis,
    },
    /// Extends a grant by another TTL.
    Renew {
        /// Name of the task.
        task: String,
        /// Name of the requesting holder.
        holder: String,
        /// Token of the grant to renew.
        token: u64,
    },
    /// Ends a grant before its TTL runs out.
    Release {
        /// Name of the task.
        task: String,
        /// Name of the requesting holder.
        holder: String,
        /// Token of the grant to release.
        token: u64,
    },
    /// Stops renewals of a grant, on an operator's request. The task is not free until the holder releases
    /// it or its TTL runs out.
    Revoke {
        /// Name of the task.
        task: String,
        /// Token of the grant to revoke.
        token: u64,
    },
    /// Ends a grant whose TTL has run out. Proposed only by the leader.
    Expire {
        /// Name of the task.
        task: String,
        /// Token of the expired grant.
        token: u64,
        /// Log index of the grant or renewal that the leader counted the TTL from. If the grant was renewed
        /// since, the entry has no effect.
        as_of: u64,
    },
}

/// Returns the name of the task that a command applies to.
pub fn task_of(command: &Command) -> &str {
    match command {
        Command::Acquire { task, .. }
        | Command::Renew { task, .. }
        | Command::Release { task, .. }
        | Command::Revoke { task, .. }
        | Command::Expire { task, .. } => task,
    }
}

/// A lease in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Name of the lease holder.
    pub holder: String,
    /// Fencing token: the log index of the entry that granted the lease.
    pub token: u64,
    /// TTL in milliseconds, as requested.
    pub ttl_ms: Millis,
    /// Log index of the entry that granted or last renewed the lease.
    pub renewed_at: u64,
    /// Whether the grant was revoked and accepts no more renewals.
    #[serde(default)]
    pub revoked: bool,
}

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The holder has the task. A repeated acquire returns the existing token.
    Granted {
        /// Fencing token.
        token: u64,
        /// TTL in milliseconds.
        ttl_ms: Millis,
    },
    /// The grant was extended by another TTL.
    Renewed {
        /// Fencing token, unchanged by the renewal.
        token: u64,
        /// TTL in milliseconds.
        ttl_ms: Millis,
    },
    /// The grant was released by its holder.
    Released {
        /// Token of the released grant.
        token: u64,
    },
    /// The grant expired.
    Expired {
        /// Token of the expired grant.
        token: u64,
    },
    /// The grant was revoked and accepts no more renewals.
    Revoked {
        /// Token of the revoked grant.
        token: u64,
    },
    /// The command was refused and changed nothing.
    Refused(Refusal),
}

/// Reason why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// Another holder has the task.
    Held {
        /// Name of the current holder.
        holder: String,
        /// Token of the current grant.
        token: u64,
    },
    /// The named grant is not in force: it has ended, or belongs to another holder.
    NotHolder {
        /// Token of the grant in force, if there is one.
        current: Option<u64>,
    },
    /// The grant was revoked. Its holder must stop acting and release it.
    Revoked {
        /// Token of the revoked grant.
        token: u64,
    },
    /// The command is outdated: the grant was renewed or replaced since the `Expire` was proposed, or the
    /// entry was already applied.
    Overtaken,
    /// The table contains the maximum number of tasks.
    Full,
    /// A name or a TTL is out of bounds. Contains the reason.
    Invalid(String),
}

/// Limits of the lease table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of tasks with a grant.
    pub max_tasks: usize,
    /// Maximum length of a task's or a holder's name, in bytes.
    pub max_name: usize,
    /// Minimum TTL, in milliseconds.
    pub min_ttl_ms: Millis,
    /// Maximum TTL, in milliseconds.
    pub max_ttl_ms: Millis,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { max_tasks: 4096, max_name: 128, min_ttl_ms: 500, max_ttl_ms: 60_000 }
    }
}

/// Grants in force, by task. A deterministic function of the applied entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    grants: BTreeMap<String, Grant>,
    applied: u64,
}

impl LeaseTable {
    /// Returns the grants in force, by task.
    pub fn grants(&self) -> &BTreeMap<String, Grant> {
        &self.grants
    }

    /// Returns the log index of the last applied lease entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Applies the entry at `index`. Indexes must increase; an entry that was already applied, as in a
    /// replay after a restart, changes nothing and returns [`Refusal::Overtaken`].
    pub fn apply(&mut self, index: u64, command: &Command, bounds: &Bounds) -> Outcome {
        if index <= self.applied {
            return Outcome::Refused(Refusal::Overtaken);
        }
        self.applied = index;
        match command {
            Command::Acquire { task, holder, ttl_ms } => {
                if let Err(why) = check(task, holder, *ttl_ms, bounds) {
                    return Outcome::Refused(Refusal::Invalid(why));
                }
                let full = self.grants.len() >= bounds.max_tasks;
                match self.grants.get_mut(task) {
                    // A repeated acquire, for example after a lost answer, renews the existing grant and
                    // keeps its token.
                    Some(grant) if grant.holder == *holder && grant.revoked => {
                        Outcome::Refused(Refusal::Revoked { token: grant.token })
                    }
                    Some(grant) if grant.holder == *holder => {
                        grant.renewed_at = index;
                        grant.ttl_ms = *ttl_ms;
                        Outcome::Granted { token: grant.token, ttl_ms: *ttl_ms }
                    }
                    Some(grant) => {
                        Outcome::Refused(Refusal::Held { holder: grant.holder.clone(), token: grant.token })
                    }
                    None if full => Outcome::Refused(Refusal::Full),
                    None => {
                        let grant = Grant {
                            holder: holder.clone(),
                            token: index,
                            ttl_ms: *ttl_ms,
                            renewed_at: index,
                            revoked: false,
                        };
                        self.grants.insert(task.clone(), grant);
                        Outcome::Granted { token: index, ttl_ms: *ttl_ms }
                    }
                }
            }
            Command::Renew { task, holder, token } => match self.grants.get_mut(task) {
                Some(grant) if grant.holder == *holder && grant.token == *token && grant.revoked => {
                    Outcome::Refused(Refusal::Revoked { token: *token })
                }
                Some(grant) if grant.holder == *holder && grant.token == *token => {
                    grant.renewed_at = index;
                    Outcome::Renewed { token: *token, ttl_ms: grant.ttl_ms }
                }
                other => Outcome::Refused(Refusal::NotHolder { current: other.map(|g| g.token) }),
            },
            Command::Release { task, holder, token } => match self.grants.get(task) {
                Some(grant) if grant.holder == *holder && grant.token == *token => {
                    self.grants.remove(task);
                    Outcome::Released { token: *token }
                }
                other => Outcome::Refused(Refusal::NotHolder { current: other.map(|g| g.token) }),
            },
            Command::Revoke { task, token } => match self.grants.get_mut(task) {
                Some(grant) if grant.token == *token => {
                    grant.revoked = true;
                    Outcome::Revoked { token: *token }
                }
                other => Outcome::Refused(Refusal::NotHolder { current: other.map(|g| g.token) }),
            },
            Command::Expire { task, token, as_of } => match self.grants.get(task) {
                Some(grant) if grant.token == *token && grant.renewed_at == *as_of => {
                    self.grants.remove(task);
                    Outcome::Expired { token: *token }
                }
                _ => Outcome::Refused(Refusal::Overtaken),
            },
        }
    }
}

/// Returns whether `name` is valid for a task or a holder. Names are written unescaped to headers, logs and
/// snapshots.
pub fn is_name(name: &str, most: usize) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"._:/@-".contains(&b);
    (1..=most).contains(&name.len()) && name.bytes().all(plain)
}

fn check(task: &str, holder: &str, ttl_ms: Millis, bounds: &Bounds) -> Result<(), String> {
    for (what, name) in [("task", task), ("holder", holder)] {
        if !is_name(name, bounds.max_name) {
            return Err(format!("{what}: must be 1 to {} bytes of A-Z a-z 0-9 . _ : / @ -", bounds.max_name));
        }
    }
    if !(bounds.min_ttl_ms..=bounds.max_ttl_ms).contains(&ttl_ms) {
        return Err(format!("ttl_ms: must be from {} to {}", bounds.min_ttl_ms, bounds.max_ttl_ms));
    }
    Ok(())
}

/// Expiry times of all grants on one member's monotonic clock.
///
/// Every member tracks them from when it applied a grant or renewal, but only the leader proposes expiries.
/// A new leader restarts every TTL at its election, because it does not know how much time its predecessor
/// had counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Expiries {
    due: BTreeMap<String, Due>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Due {
    token: u64,
    as_of: u64,
    at: Millis,
}

impl Due {
    /// Returns the expiry of a grant whose TTL starts at `now`.
    fn of(grant: &Grant, now: Millis) -> Due {
        Due { token: grant.token, as_of: grant.renewed_at, at: now + grant.ttl_ms }
    }
}

impl Expiries {
    /// Updates the expiry of `task` after an entry was applied at `now`.
    pub fn follow(&mut self, task: &str, outcome: &Outcome, table: &LeaseTable, now: Millis) {
        match outcome {
            Outcome::Granted { .. } | Outcome::Renewed { .. } => {
                if let Some(grant) = table.grants().get(task) {
                    self.due.insert(task.to_owned(), Due::of(grant, now));
                }
            }
            Outcome::Released { .. } | Outcome::Expired { .. } => {
                self.due.remove(task);
            }
            Outcome::Revoked { .. } | Outcome::Refused(_) => {}
        }
    }

    /// Restarts the TTL of every grant in `table` at `now`, for a newly elected leader.
    pub fn restart(&mut self, table: &LeaseTable, now: Millis) {
        self.due = table.grants().iter().map(|(task, grant)| (task.clone(), Due::of(grant, now))).collect();
    }

    /// Returns the `Expire` commands that the leader has to propose at `now`.
    pub fn expired(&self, now: Millis) -> Vec<Command> {
        self.due
            .iter()
            .filter(|(_, due)| due.at <= now)
            .map(|(task, due)| Command::Expire { task: task.clone(), token: due.token, as_of: due.as_of })
            .collect()
    }

    /// Returns the time until the grant of `task` expires, as measured by this member.
    pub fn left(&self, task: &str, now: Millis) -> Option<Millis> {
        self.due.get(task).map(|due| due.at.saturating_sub(now))
    }
}

#[cfg(test)]
mod tests;
