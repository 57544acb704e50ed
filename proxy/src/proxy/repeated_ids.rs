//! Requests whose id came before: what may have run does not run again, unless its class allows a repeat.

use super::{ClientRequest, Command, InFlightRequest, Proxy, RequestError};
use crate::state::request_ids::IdDigest;
use notchdoor::{Effect, Micros, Scope};
use notchdoor_settings::index_of;

impl<C> Proxy<C> {
    /// Whether a request of this class must not run again under the same id. Unknown classes are never run.
    pub fn must_not_repeat(&self, class: &str) -> bool {
        let effect = index_of(&self.names.classes, class).and_then(|class| self.effects.get(class as usize));
        effect.is_some_and(|effect| *effect != Effect::Idempotent)
    }

    /// Checks whether a request may be started under its id. A repeat within the deduplication window of its first run may, up
    /// to the end of that window.
    pub fn check_id(&self, now: Micros, request: &mut ClientRequest<C>) -> Result<(), RequestError> {
        let class = index_of(&self.names.classes, &request.class).ok_or(RequestError::UnknownClass)?;
        // Backends identify a request by its id, so a second one with the same id would end the first.
        if self.open_client_ids.contains(&request.id) {
            return Err(RequestError::IdInUse);
        }
        let Some(sent_at) = self.used_ids.sent_at(IdDigest::of(&request.id)) else { return Ok(()) };
        match self.effects.get(class as usize) {
            Some(Effect::Idempotent) => Ok(()),
            Some(Effect::Deduplicated { scope: Scope::All, window }) if now < sent_at + window => {
                request.deadline = request.deadline.min(sent_at + window);
                Ok(())
            }
            _ => Err(RequestError::IdWasUsed),
        }
    }

    /// Remembers the id of a request that has ended, if it may have run and must not run again.
    pub(super) fn remember_id(&mut self, request: &InFlightRequest<C>) {
        if self.effects.get(request.class as usize) == Some(&Effect::Idempotent) {
            return;
        }
        let id = IdDigest::of(&request.client_id);
        match request.attempts.iter().find(|attempt| attempt.may_have_run()) {
            Some(attempt) => self.used_ids.remember(id, attempt.sent),
            None if self.used_ids.contains(id) => {}
            None => self.commands.push(Command::ReleaseId(id)),
        }
    }
}
