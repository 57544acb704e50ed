//! Dispatches input messages to one decision instance per balancer and collects their actions.
//! Instances share only the numbered endpoint lists.

use crate::error::{InputError, Position};
use crate::instance::{outcome_from_code, Instance};
use crate::wire::{self, Output};
use notchdoor::{Action, Event, Micros};
use notchdoor_settings::{micros, Millis};
use serde::Deserialize;
use std::collections::HashMap;

/// All instances of this process, and the state of the current batch.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
    endpoint_lists: HashMap<u64, Vec<wire::Entry>>,
    batch: Option<u64>,
    now: Micros,
    actions: Vec<Action>,
    policy: Option<String>,
}

/// Largest accepted distance of a time from 0. Adding a duration to a time beyond it could overflow [`Micros`].
const MAX_ABS_TIME_MS: Millis = 4e15;
/// Buffers are numbered from 0 to 15 and reused.
const MAX_ENDPOINT_LISTS: usize = 16;
/// Stands in for the message kind in errors about a line whose kind could not be parsed.
const UNKNOWN_MESSAGE_KIND: &str = "?";

/// An unparsed message within a batch.
#[derive(Clone, Copy)]
struct Message<'m> {
    line: &'m [u8],
    kind: &'m str,
    batch: u64,
}

impl<'m> Message<'m> {
    fn parse<T: Deserialize<'m>>(&self) -> Result<T, InputError> {
        parse(self.line, self.kind, Position::Batch(self.batch))
    }

    fn unknown_instance(&self, who: &str) -> InputError {
        InputError::UnknownInstance { batch: self.batch, message: self.kind.to_owned(), who: who.to_owned() }
    }
}

fn parse<'m, T: Deserialize<'m>>(line: &'m [u8], kind: &str, position: Position) -> Result<T, InputError> {
    serde_json::from_slice(line).map_err(|source| InputError::InvalidMessage {
        position,
        message: kind.to_owned(),
        source,
    })
}

impl Host {
    /// Creates a host whose instances all apply the policy file with this text.
    pub fn with_policy(policy: Option<String>) -> Self {
        Host { policy, ..Host::default() }
    }

    /// The position of the next line in the input.
    pub fn position(&self) -> Position {
        self.batch.into()
    }

    /// Handles one input line and appends its output to `reply`. Returns true at the end of a batch, when the reply is
    /// ready to be sent.
    pub fn handle_line(&mut self, line: &[u8], reply: &mut Vec<u8>) -> Result<bool, InputError> {
        let head: wire::Head = parse(line, UNKNOWN_MESSAGE_KIND, self.position())?;
        let kind = &*head.kind;
        if kind == "sync" {
            self.begin_batch(&parse(line, kind, self.position())?)?;
            return Ok(false);
        }
        let Some(batch) = self.batch else {
            return Err(InputError::MessageOutsideBatch { message: kind.to_owned() });
        };
        if kind == "eob" {
            Output::Done { batch }.append_to(reply);
            self.batch = None;
            return Ok(true);
        }
        self.dispatch(Message { line, kind, batch }, reply)?;
        Ok(false)
    }

    /// Returns an error if the input ended within a batch.
    pub fn check_batch_complete(&self) -> Result<(), InputError> {
        match self.batch {
            Some(batch) => Err(InputError::IncompleteBatch { batch }),
            None => Ok(()),
        }
    }

    fn begin_batch(&mut self, sync: &wire::Sync) -> Result<(), InputError> {
        if let Some(open) = self.batch {
            return Err(InputError::NestedBatch { open, next: sync.batch });
        }
        if !(-MAX_ABS_TIME_MS..=MAX_ABS_TIME_MS).contains(&sync.time) {
            return Err(InputError::InvalidTime { batch: sync.batch });
        }
        self.batch = Some(sync.batch);
        self.now = micros(sync.time).max(self.now);
        Ok(())
    }

    fn dispatch(&mut self, message: Message<'_>, reply: &mut Vec<u8>) -> Result<(), InputError> {
        match message.kind {
            "enlist" => self.enlist(&message.parse()?),
            "down" => {
                let down: wire::Addressed = message.parse()?;
                self.instances.remove(&*down.instance);
                Ok(())
            }
            "sheet" => self.store_endpoint_list(message, message.parse()?),
            "peersKnown" => self.peers_known(message, &message.parse()?, reply),
            "incoming" => {
                let incoming: wire::Incoming = message.parse()?;
                self.deliver_event(message, &incoming.instance, reply, |i| Some(i.request_arrived(&incoming)))
            }
            "ended" => self.ended(message, &message.parse()?, reply),
            "abandoned" => {
                let abandoned: wire::Abandoned = message.parse()?;
                self.deliver_event(message, &abandoned.instance, reply, |instance| {
                    let id = instance.request_id(&abandoned.request)?;
                    instance.finish(id);
                    Some(Event::ClientLeft(id))
                })
            }
            "started" => {
                let started: wire::Started = message.parse()?;
                self.deliver_event(message, &started.instance, reply, |instance| {
                    let id = instance.request_id(&started.request)?;
                    let attempt = started.attempt;
                    Some(Event::ReplyStarted { id, attempt, took: None, exclusive: true })
                })
            }
            "timeoutFired" => {
                let fired: wire::TimeoutFired = message.parse()?;
                self.deliver_event(message, &fired.instance, reply, |_| Some(Event::Timer(fired.token)))
            }
            // The library has no event for these; only their form is checked.
            "peerData" | "pong" => message.parse::<wire::Addressed>().map(drop),
            kind => Err(InputError::UnknownMessage { batch: message.batch, message: kind.to_owned() }),
        }
    }

    fn enlist(&mut self, enlist: &wire::Enlist) -> Result<(), InputError> {
        let policy = self.policy.as_deref();
        let instance = Instance::new(&enlist.boot_info, policy, enlist.init_seed, self.now)?;
        self.instances.insert(enlist.instance.to_string(), instance);
        Ok(())
    }

    fn store_endpoint_list(&mut self, message: Message<'_>, sheet: wire::Sheet) -> Result<(), InputError> {
        if !self.endpoint_lists.contains_key(&sheet.buffer) && self.endpoint_lists.len() >= MAX_ENDPOINT_LISTS
        {
            return Err(InputError::TooManyEndpointLists {
                batch: message.batch,
                message: message.kind.to_owned(),
                max_lists: MAX_ENDPOINT_LISTS,
            });
        }
        self.endpoint_lists.insert(sheet.buffer, sheet.members_list);
        Ok(())
    }

    fn peers_known(
        &mut self,
        message: Message<'_>,
        known: &wire::PeersKnown,
        reply: &mut Vec<u8>,
    ) -> Result<(), InputError> {
        if matches!(known.form, wire::Form::Error) {
            return self.deliver_event(message, &known.instance, reply, |_| Some(Event::DiscoveryError));
        }
        let list = self.endpoint_lists.get(&known.buffer).ok_or_else(|| InputError::UnknownEndpointList {
            batch: message.batch,
            message: message.kind.to_owned(),
            buffer: known.buffer,
        })?;
        let instance =
            self.instances.get(&*known.instance).ok_or_else(|| message.unknown_instance(&known.instance))?;
        let endpoints = instance.endpoints(list);
        let event = match known.form {
            wire::Form::Partial => Event::EndpointUpdate(&endpoints),
            _ => Event::EndpointList(&endpoints),
        };
        self.deliver_event(message, &known.instance, reply, |_| Some(event))
    }

    fn ended(
        &mut self,
        message: Message<'_>,
        ended: &wire::Ended,
        reply: &mut Vec<u8>,
    ) -> Result<(), InputError> {
        let outcome = outcome_from_code(ended.code).ok_or_else(|| InputError::UnknownOutcomeCode {
            batch: message.batch,
            message: message.kind.to_owned(),
            code: ended.code,
        })?;
        // The first reply is delivered by the simulator, and so is the break of a stream.
        self.deliver_event(message, &ended.instance, reply, |instance| {
            let id = instance.request_id(&ended.request)?;
            let is_answer = ended.request_done && instance.finish(id);
            is_answer.then_some(Event::Answered { id, attempt: ended.attempt })
        })?;
        self.deliver_event(message, &ended.instance, reply, |instance| {
            let id = instance.request_id(&ended.request)?;
            instance.attempt_ended(id);
            let took = Some(micros(ended.duration));
            Some(Event::AttemptEnded { id, attempt: ended.attempt, outcome, took })
        })
    }

    /// Passes the event that `event` returns, if any, to the instance `who` and appends the resulting actions to `reply`.
    fn deliver_event<'e>(
        &mut self,
        message: Message<'_>,
        who: &str,
        reply: &mut Vec<u8>,
        event: impl FnOnce(&mut Instance) -> Option<Event<'e>>,
    ) -> Result<(), InputError> {
        let instance = self.instances.get_mut(who).ok_or_else(|| message.unknown_instance(who))?;
        if let Some(event) = event(instance) {
            instance.handle(self.now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                instance.write_action(who, action, self.now, reply);
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
