//! Overrides of the endpoint list and of requests: administrative drains and the configuration version in force.

use super::{AttemptId, Proxy};
use crate::outcome::AttemptOutcome;
use crate::state::endpoints::AdministrativeDrains;
use crate::state::versions::{Step, VersionInForce};
use notchdoor::{Event, Micros};

impl<C> Proxy<C> {
    /// Starts applying configuration versions. The guard applies until [`Proxy::schedule_versions`] supplies a version.
    pub fn enforce_versions(&mut self, now: Micros, version_in_force: VersionInForce) {
        self.version_in_force = Some(version_in_force);
        self.apply_drains(now);
    }

    /// Replaces the schedule of versions with the one that the lease group confirmed.
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
            log::debug!(event = "confirmed", version = number, left_ms = left; "versions: {number} confirmed for {left} ms");
        }
    }

    /// Whether the configuration version in force at `now` allows an attempt to be sent for a command with this key. A
    /// request that it blocks is answered at once: it arrived under an earlier version, and its attempt waited since.
    ///
    /// Called right before the command is written, since a process that was paused goes on here before its timers fire.
    pub fn version_allows_attempt(&mut self, now: Micros, attempt_id: AttemptId, key: &[u8]) -> bool {
        self.advance_version(now);
        let Some(versions) = &self.version_in_force else { return true };
        let Some(&(id, number)) = self.outstanding.get(&attempt_id) else { return true };
        let class =
            self.in_flight.get(&id).and_then(|request| self.names.classes.get(request.class as usize));
        if !class.is_some_and(|class| versions.forbids(class, key)) {
            return true;
        }
        self.rejected_by_version += 1;
        self.cancel(now, id, number, AttemptOutcome::NotSent);
        self.process_event(now, Event::AnswerNow(id));
        self.remove_if_done(id);
        false
    }

    /// Switches to the version or safe mode that is due at `now`.
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
                    log::info!(event = "acts", version = v.number, left_ms = left; "versions: applying {}", v.number);
                }
                None => {
                    log::warn!(event = "acts", left_ms = 0; "versions: safe mode, no version is confirmed");
                }
            }
            self.apply_drains(now);
        }
    }

    /// Replaces the set of administrative drains. Backends put back in service count as cold from that time on.
    pub fn set_drains(&mut self, now: Micros, drains: AdministrativeDrains) {
        self.drains = drains;
        self.apply_drains(now);
    }

    /// Applies the drains of operators and of the version in force to the endpoint list.
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
