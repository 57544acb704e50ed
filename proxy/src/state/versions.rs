//! What the group's versions forbid here, from moment to moment: fed the plan that a confirmation gives,
//! asked by the clock alone, so that a process that stood still obeys what is due when it goes on.

use notchdoor::Micros;
use notchdoor_coordination::versioned_config::{BlockRules, Version};

/// From when on something is acted on: a version, or without one the guard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// From then on.
    pub from: Micros,
    /// What is acted on.
    pub on: Option<Version>,
}

/// See the module.
pub struct VersionInForce {
    guard: BlockRules,
    /// What is acted on now, and since when.
    current: Step,
    /// What comes, in order; the last is the guard.
    steps: Vec<Step>,
}

impl VersionInForce {
    /// Nothing is confirmed yet.
    pub fn new(guard: BlockRules, now: Micros) -> VersionInForce {
        VersionInForce { guard, current: Step { from: now, on: None }, steps: Vec::new() }
    }

    /// Takes another plan in the old one's place.
    pub fn plan(&mut self, steps: Vec<Step>) {
        self.steps = steps;
        self.steps.sort_by_key(|s| s.from);
    }

    /// Goes on to what is due at `now`; whether that is another version.
    pub fn step(&mut self, now: Micros) -> bool {
        let due = self.steps.partition_point(|s| s.from <= now);
        let Some(step) = self.steps.drain(..due).next_back() else { return false };
        let number = |s: &Step| s.on.as_ref().map(|v| v.number);
        let changed = number(&step) != number(&self.current);
        if changed {
            self.current = step;
        }
        changed
    }

    /// When the next step is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.steps.first().map(|s| s.from)
    }

    /// What is acted on, and since when.
    pub fn acting(&self) -> &Step {
        &self.current
    }

    /// Until when that is confirmed.
    pub fn until(&self) -> Micros {
        self.steps.last().map_or(self.current.from, |s| s.from)
    }

    /// What is forbidden.
    pub fn rules(&self) -> &BlockRules {
        self.current.on.as_ref().map_or(&self.guard, |v| &v.rules)
    }

    /// Whether requests of this class, or for this key, are refused.
    pub fn forbids(&self, class: &str, key: &[u8]) -> bool {
        let rules = self.rules();
        let named = |key: &[u8]| std::str::from_utf8(key).is_ok_and(|key| rules.keys.contains(key));
        rules.classes.contains(class) || (!rules.keys.is_empty() && named(key))
    }
}

#[cfg(test)]
mod tests;
