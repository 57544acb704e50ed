//! What goes over discovery's list and over requests: backends drained by operators, and the version in force.

use super::Proxy;
use crate::state::endpoints::AdministrativeDrains;
use crate::state::versions::{Step, VersionInForce};
use notchdoor::Micros;

impl<C> Proxy<C> {
    /// Acts on the group's versions from here on: on the guard, until a plan says otherwise.
    pub fn enforce_versions(&mut self, now: Micros, version_in_force: VersionInForce) {
        self.version_in_force = Some(version_in_force);
        self.apply_drains(now);
    }

    /// The group has confirmed what is acted on from when to when.
    pub fn schedule_versions(&mut self, now: Micros, steps: Vec<Step>) {
        if let Some(version_in_force) = &mut self.version_in_force {
            version_in_force.plan(steps);
        }
        self.advance_version(now);
        if let Some((version_in_force, version)) = self
            .version_in_force
            .as_ref()
            .and_then(|versions| Some((versions, versions.acting().on.as_ref()?)))
        {
            let (number, left) = (version.number, version_in_force.until().saturating_sub(now) / 1000);
            log::debug!(event = "confirmed", version = number, left_ms = left; "versions: {number} for {left} ms");
        }
    }

    /// Goes on to the version, or the safe mode, that is due.
    pub(super) fn advance_version(&mut self, now: Micros) {
        let Some(version_in_force) = self
            .version_in_force
            .as_mut()
            .filter(|versions| versions.next_due().is_some_and(|due| due <= now))
        else {
            return;
        };
        if version_in_force.step(now) {
            let left = version_in_force.until().saturating_sub(now) / 1000;
            match &version_in_force.acting().on {
                Some(v) => {
                    log::info!(event = "acts", version = v.number, left_ms = left; "versions: acts on {}", v.number);
                }
                None => log::warn!(event = "acts", left_ms = 0; "versions: safe mode, nothing is confirmed"),
            }
            self.apply_drains(now);
        }
    }

    /// These backends are drained by operators from here on and no others; those put back lately count as cold from then.
    pub fn set_drains(&mut self, now: Micros, drains: AdministrativeDrains) {
        self.drains = drains;
        self.apply_drains(now);
    }

    /// Lays what operators and the version in force drain over the list.
    fn apply_drains(&mut self, now: Micros) {
        let mut drains = self.drains.clone();
        if let Some(version_in_force) = &self.version_in_force {
            drains.drained.extend(version_in_force.rules().workers.iter().cloned());
        }
        let applied = self.endpoints.set_drains(now, drains);
        if !applied.members.is_empty() {
            self.send_endpoint_event(now, applied);
        }
    }
}
