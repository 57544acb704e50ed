//! Replicated block rules with versions: the replicated state, confirmation timing, and a proxy's view of
//! the version it may apply. See `docs/versions-design.md`.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::holder::Drift;
use crate::lease::Millis;

/// Default bound in milliseconds on how long two proxies may apply different versions.
pub const DEFAULT_WITHIN_MS: Millis = 4_000;

/// Rules of a configuration version. Also used for the guard, the set of rules that versions may contain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BlockRules {
    /// Classes whose requests are refused.
    pub classes: BTreeSet<String>,
    /// Keys whose requests are refused.
    pub keys: BTreeSet<String>,
    /// Backends that receive no new requests.
    pub workers: BTreeSet<String>,
}

/// Maximum number of names in one set of rules.
pub const MAX_NAMES: usize = 1024;
/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Maximum total length of all names, in bytes. Two versions must fit into one frame, even with every byte
/// escaped.
pub const MAX_TOTAL_BYTES: usize = 64 << 10;

impl BlockRules {
    /// Returns the sets with their field names in settings files.
    fn sets(&self) -> [(&'static str, &BTreeSet<String>); 3] {
        [("block.classes", &self.classes), ("block.keys", &self.keys), ("workers.out", &self.workers)]
    }

    /// Validates the rules. The error contains the invalid field and the reason.
    pub fn check(&self) -> Result<(), (&'static str, String)> {
        let all: usize = self.sets().iter().map(|(_, set)| set.len()).sum();
        let bytes: usize = self.sets().iter().flat_map(|(_, set)| set.iter().map(String::len)).sum();
        for (field, set) in self.sets() {
            if all > MAX_NAMES {
                return Err((field, format!("{all} names in total, at most {MAX_NAMES} are allowed")));
            }
            if bytes > MAX_TOTAL_BYTES {
                return Err((
                    field,
                    format!("{bytes} bytes in total, at most {MAX_TOTAL_BYTES} are allowed"),
                ));
            }
            if let Some(name) = set.iter().find(|n| n.is_empty() || n.len() > MAX_NAME_BYTES) {
                return Err((
                    field,
                    format!("'{name:.40}' has {} bytes, must be 1 to {MAX_NAME_BYTES}", name.len()),
                ));
            }
        }
        Ok(())
    }

    /// Returns the first name that `guard` does not cover, with its field.
    pub fn outside<'a>(&'a self, guard: &BlockRules) -> Option<(&'static str, &'a str)> {
        for ((field, set), (_, covered)) in self.sets().into_iter().zip(guard.sets()) {
            if let Some(name) = set.iter().find(|name| !covered.contains(*name)) {
                return Some((field, name.as_str()));
            }
        }
        None
    }

    /// Returns whether these rules block everything that `other` blocks.
    pub fn covers(&self, other: &BlockRules) -> bool {
        other.outside(self).is_none()
    }

    /// Returns the difference to `other` as lines that start with `+` or `-`.
    pub fn changes_to(&self, other: &BlockRules) -> Vec<String> {
        let mut lines = Vec::new();
        for ((field, old), (_, new)) in self.sets().into_iter().zip(other.sets()) {
            lines.extend(old.difference(new).map(|name| format!("- {field} {name}")));
            lines.extend(new.difference(old).map(|name| format!("+ {field} {name}")));
        }
        lines
    }
}

/// A configuration version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Number of the version, increasing. Version 0 blocks nothing.
    pub number: u64,
    /// Complete rules of the version.
    pub rules: BlockRules,
}

/// The version in force and the pending one. Replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionedConfig {
    current: Version,
    next: Option<Version>,
}

/// Result of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// The proposal was accepted and comes into force after a delay.
    Pending {
        /// Number of the new version.
        number: u64,
    },
    /// The newest version already has these rules.
    Unchanged {
        /// Number of the newest version.
        number: u64,
    },
    /// The proposal is based on a version that is no longer the newest.
    Stale {
        /// Number of the newest version.
        newest: u64,
    },
    /// Another version is pending. A new one can be proposed once it is in force.
    Busy {
        /// Number of the pending version.
        pending: u64,
    },
    /// The rules are invalid. Contains the reason.
    Invalid(String),
}

impl VersionedConfig {
    /// Returns the version in force.
    pub fn current(&self) -> &Version {
        &self.current
    }

    /// Returns the pending version, if there is one.
    pub fn next(&self) -> Option<&Version> {
        self.next.as_ref()
    }

    /// Returns the newest version, pending or in force.
    pub fn newest(&self) -> &Version {
        self.next.as_ref().unwrap_or(&self.current)
    }

    /// Applies a proposal based on version `base`.
    pub fn propose(&mut self, base: u64, rules: &BlockRules) -> ProposalOutcome {
        if let Err((field, why)) = rules.check() {
            return ProposalOutcome::Invalid(format!("{field}: {why}"));
        }
        let newest = self.newest();
        if newest.rules == *rules {
            return ProposalOutcome::Unchanged { number: newest.number };
        }
        if base != newest.number {
            return ProposalOutcome::Stale { newest: newest.number };
        }
        if let Some(pending) = &self.next {
            return ProposalOutcome::Busy { pending: pending.number };
        }
        let number = base + 1;
        self.next = Some(Version { number, rules: rules.clone() });
        ProposalOutcome::Pending { number }
    }

    /// Brings the pending version into force. Returns `false` if `number` is not pending.
    pub fn force(&mut self, number: u64) -> bool {
        match self.next.take() {
            Some(next) if next.number == number => {
                self.current = next;
                true
            }
            other => {
                self.next = other;
                false
            }
        }
    }
}

/// Timing derived from the bound on how long proxies may apply different versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmationTiming {
    /// Maximum time in milliseconds that two proxies may apply different versions.
    pub within_ms: Millis,
    /// Bounds on clock drift.
    pub drift: Drift,
}

impl Default for ConfirmationTiming {
    fn default() -> Self {
        ConfirmationTiming { within_ms: DEFAULT_WITHIN_MS, drift: Drift::default() }
    }
}

impl ConfirmationTiming {
    /// Returns the validity of a confirmation in milliseconds, counted from when it was requested.
    pub fn good_ms(&self) -> Millis {
        self.within_ms / 2
    }

    /// Returns how long a version stays pending, in milliseconds. By then, every confirmation that does not
    /// include it has expired on any clock within the drift bound.
    pub fn delay_ms(&self) -> Millis {
        let good = self.good_ms();
        good + good * 2 * self.drift.rate_ppm / 1_000_000 + self.drift.margin_ms
    }

    /// Checks that the timing fits into the bound.
    pub fn check(&self) -> Result<(), String> {
        if !(500..=600_000).contains(&self.within_ms) {
            return Err("must be from 500 to 600000".to_owned());
        }
        if self.delay_ms() > self.within_ms {
            return Err(format!(
                "too short for the drift bound: versions would stay pending for {} ms",
                self.delay_ms()
            ));
        }
        Ok(())
    }
}

/// A version in a confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionInfo {
    /// Number of the version.
    pub number: u64,
    /// Rules of the version, unless the requester already knows them.
    pub rules: Option<BlockRules>,
}

/// Confirmation of the version in force, valid for a limited time from when it was requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Validity in milliseconds.
    pub good_ms: Millis,
    /// The version in force.
    pub current: VersionInfo,
    /// The pending version, and the milliseconds until it comes into force.
    pub next: Option<(VersionInfo, Millis)>,
}

impl VersionedConfig {
    /// Returns the confirmation for a proxy that knows versions up to `have`. `pending_for` is how long the
    /// next version has been pending.
    pub fn confirm(&self, have: u64, terms: &ConfirmationTiming, pending_for: Millis) -> Confirmation {
        let named = |v: &Version| VersionInfo {
            number: v.number,
            rules: (v.number > have || v.number == 0).then(|| v.rules.clone()),
        };
        let left = terms.delay_ms().saturating_sub(pending_for);
        Confirmation {
            good_ms: terms.good_ms(),
            current: named(&self.current),
            next: self.next.as_ref().map(|v| (named(v), left)),
        }
    }
}

/// The rules that a proxy applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acting<'a> {
    /// The rules of this version.
    On(&'a Version),
    /// Safe mode: everything that the guard covers is blocked.
    Safe,
}

/// A proxy's confirmed versions, and how long it may apply them.
#[derive(Clone, Debug, Default)]
pub struct View {
    current: Option<Version>,
    next: Option<(Version, Millis)>,
    until: Millis,
    asked: Millis,
    /// Highest version ever applied. The view never returns to an older one.
    acted: u64,
    drift: Drift,
}

impl View {
    /// Creates a view without any confirmed version.
    pub fn new(drift: Drift) -> View {
        View { drift, ..View::default() }
    }

    /// Returns the number of the newest known version.
    pub fn have(&self) -> u64 {
        let next = self.next.as_ref().map(|(v, _)| v.number);
        next.or(self.current.as_ref().map(|v| v.number)).unwrap_or(0)
    }

    /// Processes a confirmation that was requested at `sent`. Confirmations requested before the last
    /// processed one are ignored.
    pub fn confirmed(&mut self, sent: Millis, told: Confirmation) {
        if sent < self.asked {
            return;
        }
        let (current, next) = match (self.known(told.current), told.next) {
            (Some(current), None) => (current, None),
            (Some(current), Some((named, left))) => match self.known(named) {
                Some(next) => (current, Some((next, sent.saturating_add(left)))),
                None => return self.forget(),
            },
            // The group omitted rules that this proxy does not have. Forget all versions, so that the next
            // confirmation includes them.
            (None, _) => return self.forget(),
        };
        (self.current, self.next) = (Some(current), next);
        (self.asked, self.until) = (sent, self.drift.act_until(sent, told.good_ms));
    }

    fn known(&self, named: VersionInfo) -> Option<Version> {
        if let Some(rules) = named.rules {
            return Some(Version { number: named.number, rules });
        }
        let held = self.current.iter().chain(self.next.as_ref().map(|(v, _)| v));
        held.into_iter().find(|v| v.number == named.number).cloned()
    }

    fn forget(&mut self) {
        (self.current, self.next, self.until) = (None, None, 0);
    }

    /// Returns the rules that the proxy applies at `now`.
    pub fn acting(&mut self, now: Millis) -> Acting<'_> {
        if now >= self.until {
            return Acting::Safe;
        }
        let switched = self.next.as_ref().filter(|(_, at)| *at <= now).map(|(v, _)| v);
        let Some(version) = switched.or(self.current.as_ref()) else { return Acting::Safe };
        // A newer version was applied on the schedule of an earlier leader. Stay in safe mode until it is in
        // force again.
        if version.number < self.acted {
            return Acting::Safe;
        }
        self.acted = version.number;
        Acting::On(version)
    }

    /// Returns the times at which the applied version changes without further confirmations, with the
    /// version from each time on. `None` is safe mode.
    pub fn plan(&mut self, now: Millis) -> Vec<(Millis, Option<Version>)> {
        let first = match self.acting(now) {
            Acting::On(version) => Some(version.clone()),
            Acting::Safe => None,
        };
        let mut steps = vec![(now, first)];
        if now < self.until {
            let next = self.next.as_ref().filter(|(_, at)| (now + 1..self.until).contains(at));
            steps.extend(next.map(|(version, at)| (*at, Some(version.clone()))));
            steps.push((self.until, None));
        }
        steps
    }
}

#[cfg(test)]
mod tests;
