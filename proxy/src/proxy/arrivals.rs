//! Requests that arrive from clients, and clients that leave.

use super::in_flight::{ArrivedRequest, InFlightRequest, RequestEnd};
use super::{Answer, ClientRequest, Command, Proxy, ReplySlot, RequestError};
use crate::outcome::AttemptOutcome;
use notchdoor::{key_hash, Decide, Event, Micros, Request};
use notchdoor_settings::index_of;

/// Retry-After, in microseconds, of requests for which there is no memory.
pub(super) const NO_ROOM_RETRY_AFTER: Micros = 100_000;
/// Retry-After, in microseconds, of requests rejected by the configuration version in force.
const FORBIDDEN_RETRY_AFTER: Micros = 1_000_000;

impl<C> Proxy<C> {
    /// Starts a request that was read completely. An invalid request returns an error and is never sent, since its failure
    /// would count against the servers that receive it.
    pub fn start_request(&mut self, now: Micros, mut request: ClientRequest<C>) -> Result<(), RequestError> {
        self.check_id(now, &mut request)?;
        let class = index_of(&self.names.classes, &request.class).ok_or(RequestError::UnknownClass)?;
        self.advance_version(now);
        let forbidden = self
            .version_in_force
            .as_ref()
            .is_some_and(|versions| versions.forbids(&request.class, &request.key));
        self.open_client_ids.insert(request.id.clone());
        let id = self.next_request;
        self.next_request += 1;
        self.counters.taken += 1;
        let arrival = Request {
            id,
            class: Some(class),
            tenant: index_of(&self.names.tenants, &request.tenant),
            key: Some(key_hash(&request.key)),
            group: self.stack.group(&request.key),
            write: request.write,
            upload: request.upload,
            deadline: request.deadline,
        };
        self.reply_slots.insert(request.reply_slot, id);
        let arrived = ArrivedRequest {
            client_id: request.id,
            class,
            reply_slot: request.reply_slot,
            deadline: request.deadline,
            call: request.call,
        };
        self.in_flight.insert(id, InFlightRequest::new(arrived));
        if forbidden {
            self.rejected_by_version += 1;
            self.finish(id, Answer::Rejected { retry_after: FORBIDDEN_RETRY_AFTER });
        } else {
            self.process_event(now, Event::Arrived(arrival));
        }
        Ok(())
    }

    /// Rejects a request that was read completely, for lack of memory.
    pub fn reject_for_room(&mut self, request: &ClientRequest<C>) -> Result<(), RequestError> {
        let class = index_of(&self.names.classes, &request.class).ok_or(RequestError::UnknownClass)?;
        self.counters.taken += 1;
        self.counters.rejected_no_room += 1;
        log::debug!("request {}: rejected for lack of memory", String::from_utf8_lossy(&request.id));
        if let Some(class) = self.counters.classes.get_mut(class as usize) {
            class.refused += 1;
        }
        let answer = Answer::Rejected { retry_after: self.no_room_retry_after };
        self.commands.push(Command::Answer(request.reply_slot, answer));
        Ok(())
    }

    /// Answers a request whose value was held up for as long as its client waits, before all of it was received. No attempt was
    /// sent to its end, so none has run.
    pub fn give_up_upload(&mut self, now: Micros, reply_slot: ReplySlot) {
        let Some(&id) = self.reply_slots.get(&reply_slot) else { return };
        self.counters.uploads_given_up += 1;
        let Some(request) = self.in_flight.get(&id) else { return };
        log::debug!("request {}: its value was not taken in time", request.name());
        for n in 0..request.attempts.len() as u32 {
            self.cancel(now, id, n, AttemptOutcome::TimedOutUnsent);
        }
        self.process_event(now, Event::AnswerNow(id));
        self.remove_if_done(id);
    }

    /// Records that the client disconnected before it was answered.
    pub fn client_left(&mut self, now: Micros, reply_slot: ReplySlot) {
        if let Some(id) = self.reply_slots.remove(&reply_slot) {
            self.counters.left += 1;
            if let Some(request) = self.in_flight.get_mut(&id) {
                request.finish(RequestEnd::ClientLeft);
                let attempts = request.attempts.len();
                log::debug!(attempts; "request {}: the client left after {attempts} attempts", request.name());
            }
            self.process_event(now, Event::ClientLeft(id));
            self.remove_if_done(id);
        }
    }
}
