//! The configuration version in force at this proxy and the requests that it blocks.
//!
//! Each confirmation by the lease group replaces the schedule of versions. Which one is in force then depends on the clock
//! alone, so that a process that was paused applies the right one when it continues.

use notchdoor::Micros;
use notchdoor_coordination::versioned_config::{BlockRules, Version};

/// A step of the schedule: what is in force from a given time on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// When the step takes effect.
    pub from: Micros,
    /// The version in force, or `None` for the guard rules.
    pub on: Option<Version>,
}

/// The version in force, and the schedule of the following ones.
pub struct VersionInForce {
    /// The rules that apply while no version is confirmed.
    guard: BlockRules,
    /// The step in force.
    current: Step,
    /// Future steps in order; the last one returns to the guard rules.
    steps: Vec<Step>,
}

impl VersionInForce {
    /// Starts with the guard rules in force, as no version is confirmed yet.
    pub fn new(guard: BlockRules, now: Micros) -> VersionInForce {
        VersionInForce { guard, current: Step { from: now, on: None }, steps: Vec::new() }
    }

    /// Replaces the schedule.
    pub fn plan(&mut self, steps: Vec<Step>) {
        self.steps = steps;
        self.steps.sort_by_key(|s| s.from);
    }

    /// Applies the steps that are due at `now`. Returns whether another version is in force.
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

    /// When the next step takes effect; `None` without one.
    pub fn next_due(&self) -> Option<Micros> {
        self.steps.first().map(|s| s.from)
    }

    /// The step in force.
    pub fn acting(&self) -> &Step {
        &self.current
    }

    /// When the confirmation ends.
    pub fn until(&self) -> Micros {
        self.steps.last().map_or(self.current.from, |s| s.from)
    }

    /// The rules in force.
    pub fn rules(&self) -> &BlockRules {
        self.current.on.as_ref().map_or(&self.guard, |v| &v.rules)
    }

    /// Whether the rules in force block requests of this class or for this key.
    pub fn forbids(&self, class: &str, key: &[u8]) -> bool {
        let rules = self.rules();
        let named = |key: &[u8]| std::str::from_utf8(key).is_ok_and(|key| rules.keys.contains(key));
        rules.classes.contains(class) || (!rules.keys.is_empty() && named(key))
    }
}

#[cfg(test)]
mod tests;
