//! One balancer: its decision stack, and the mapping from names on the wire to the numeric ids of the library.

use crate::error::InputError;
use crate::wire::{self, Output};
use notchdoor::{key_hash, Action, Decide, Endpoint, Event, Micros, Outcome, Request, RequestId};
use notchdoor_limits::policy_file;
use notchdoor_limits::stack::Stack;
use notchdoor_settings::{index_of, micros, DeploymentNames, DeploymentSettings, Millis};
use std::collections::HashMap;
use std::sync::Arc;

/// Stands in for the path in policy-file errors, since only the text of the file is passed in.
const POLICY_FILE_NAME: &str = "NOTCHDOOR_POLICY";
/// Set in `stateBits` for a write request.
const WRITE_BIT: u32 = 4;
const MICROS_PER_MILLI: f64 = 1000.0;

/// A balancer with its own decision stack, settings and request ids.
pub struct Instance {
    stack: Stack,
    names: DeploymentNames,
    ids: HashMap<String, RequestId>,
    requests: HashMap<RequestId, TrackedRequest>,
    next_id: RequestId,
}

/// A request that later messages may still refer to, with its name on the wire.
struct TrackedRequest {
    name: String,
    attempts_in_flight: u32,
    done: bool,
}

impl Instance {
    /// `policy` is the text of a policy file; it is validated against `settings`.
    pub fn new(
        settings: &DeploymentSettings,
        policy: Option<&str>,
        seed: u64,
        now: Micros,
    ) -> Result<Self, InputError> {
        let read = |text| policy_file::parse(POLICY_FILE_NAME, text, &settings.policy_context());
        let policy = policy.map(read).transpose().map_err(InputError::Policy)?;
        Ok(Instance {
            stack: Stack::new(settings.settings(), policy.map(Arc::new), seed, now),
            names: settings.names(),
            ids: HashMap::new(),
            requests: HashMap::new(),
            next_id: 1,
        })
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        self.stack.handle(now, event, actions);
    }

    /// The id of a tracked request; `None` for a request that is unknown or already removed.
    pub fn request_id(&self, name: &str) -> Option<RequestId> {
        self.ids.get(name).copied()
    }

    /// Converts list entries to endpoints; a kind or zone that the settings do not name becomes `u32::MAX`.
    pub fn endpoints(&self, entries: &[wire::Entry]) -> Vec<Endpoint> {
        let endpoint = |entry: &wire::Entry| Endpoint {
            server: entry.server,
            kind: index_of(&self.names.kinds, &entry.kind).unwrap_or(u32::MAX),
            zone: index_of(&self.names.zones, &entry.zone).unwrap_or(u32::MAX),
            cell: entry.cell,
            size: entry.size,
            started_at: micros(entry.started_at),
            state: entry.readiness.into(),
        };
        entries.iter().map(endpoint).collect()
    }

    /// Assigns an id to a new request and returns its arrival event.
    pub fn request_arrived(&mut self, incoming: &wire::Incoming) -> Event<'static> {
        let id = self.next_id;
        self.next_id += 1;
        let name = incoming.request.to_string();
        self.ids.insert(name.clone(), id);
        self.requests.insert(id, TrackedRequest { name, attempts_in_flight: 0, done: false });
        let tenant = match &incoming.tenant {
            Some(wire::Customer::Name(name)) => index_of(&self.names.tenants, name),
            _ => None,
        };
        let key = incoming.key.as_ref().map(|key| key.as_bytes());
        Event::Arrived(Request {
            id,
            class: index_of(&self.names.classes, &incoming.class),
            tenant,
            key: key.map(key_hash),
            group: key.map_or(0, |key| self.stack.group(key)),
            write: incoming.state_bits & WRITE_BIT != 0,
            upload: false,
            deadline: micros(incoming.deadline),
        })
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
        }
        self.remove_if_done(id);
    }

    /// Records that a request was answered or abandoned. It stays tracked while attempts are in flight. Returns whether it was
    /// open.
    pub fn finish(&mut self, id: RequestId) -> bool {
        let request = self.requests.get_mut(&id);
        let was_open = request.is_some_and(|request| !std::mem::replace(&mut request.done, true));
        self.remove_if_done(id);
        was_open
    }

    fn remove_if_done(&mut self, id: RequestId) {
        if let Some(done) = self.requests.get(&id).filter(|r| r.done && r.attempts_in_flight == 0) {
            self.ids.remove(&done.name);
            self.requests.remove(&id);
        }
    }

    /// Appends the message for an action of the balancer `who`.
    pub fn write_action(&mut self, who: &str, action: Action, now: Micros, reply: &mut Vec<u8>) {
        let name = |id: &RequestId| self.requests.get(id).map_or("", |r| r.name.as_str());
        let output = match &action {
            Action::Send { id, server, give_up_at, .. } => Output::Route {
                instance: who,
                request: name(id),
                server: *server,
                give_up_at: millis((*give_up_at).max(now)),
            },
            Action::Cancel { id, attempt } => {
                Output::Retract { instance: who, request: name(id), attempt: *attempt }
            }
            Action::Reject { id, retry_after } => {
                Output::TurnAway { instance: who, request: name(id), retry_after: millis(*retry_after) }
            }
            Action::Fail { id } => Output::FinishError { instance: who, request: name(id) },
            Action::Timer { after, token } => {
                Output::Schedule { instance: who, delay: millis(*after), token: *token }
            }
            Action::Watch => Output::StreamChanges { instance: who, enabled: true },
        };
        output.append_to(reply);
        match action {
            Action::Send { id, .. } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.attempts_in_flight += 1;
                }
            }
            Action::Reject { id, .. } | Action::Fail { id } => drop(self.finish(id)),
            Action::Cancel { .. } | Action::Timer { .. } | Action::Watch => {}
        }
    }
}

fn millis(t: Micros) -> Millis {
    t as f64 / MICROS_PER_MILLI
}

/// Maps an outcome code on the wire to an [`Outcome`]; `None` if the code is unknown.
pub fn outcome_from_code(code: u32) -> Option<Outcome> {
    Some(match code {
        0 => Outcome::Ok,
        2 => Outcome::Miss,
        5 => Outcome::Error,
        11 => Outcome::Rejected,
        104 => Outcome::Reset,
        110 => Outcome::Timeout,
        111 => Outcome::ConnectFailed,
        114 => Outcome::NotSent,
        125 => Outcome::Cancelled,
        _ => return None,
    })
}
