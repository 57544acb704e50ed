//! The decision module, broken on purpose in one way each: what the verifier has to catch.

use crate::interface::{Load, OracleView, Policy};
use notchdoor::{Action, Effect, Event, Micros, Outcome, RequestId, Router, ServerId, ServerState, Settings};
use std::collections::{BTreeMap, BTreeSet};

/// One way to be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    /// Repeats an at-most-once class after a time-out or a broken connection.
    Repeats,
    /// Forgets to answer a request now and then.
    Forgets,
    /// Goes on sending to a worker that drains.
    IgnoresDrains,
    /// Sends everything to whichever worker started last.
    Stampedes,
    /// Loses count of an attempt now and then.
    Miscounts,
    /// Sends a warming worker what its weight draws, beyond the slow-start budget.
    NoSlowStart,
}

impl Break {
    /// All of them.
    pub const ALL: &'static [Break] = &[
        Break::Repeats,
        Break::Forgets,
        Break::IgnoresDrains,
        Break::Stampedes,
        Break::Miscounts,
        Break::NoSlowStart,
    ];

    /// Its name as a policy.
    pub fn name(self) -> &'static str {
        match self {
            Break::Repeats => "broken-repeats",
            Break::Forgets => "broken-forgets",
            Break::IgnoresDrains => "broken-ignores-drains",
            Break::Stampedes => "broken-stampedes",
            Break::Miscounts => "broken-miscounts",
            Break::NoSlowStart => "broken-no-slow-start",
        }
    }
}

/// What the decision module is told: the settings, unless it is the settings that are broken.
fn settings_of(how: Break, settings: &Settings) -> Settings {
    match how {
        // A worker that may be sent any multiple of what it can do is never beyond its budget.
        Break::NoSlowStart => Settings { overload_multiple: f64::MAX, ..settings.clone() },
        _ => settings.clone(),
    }
}

/// A proxy whose decisions are broken in one way.
pub struct Broken {
    how: Break,
    brain: Router,
    settings: Settings,
    /// Open requests of at-most-once classes, with where they went last.
    unsafe_ones: BTreeMap<RequestId, (ServerId, Micros)>,
    /// Requests without a final answer.
    open: BTreeSet<RequestId>,
    drained: BTreeSet<ServerId>,
    newest: Option<(Micros, ServerId)>,
    refusals: u32,
    lost: u64,
}

impl Broken {
    /// A broken proxy.
    pub fn new(how: Break, settings: Settings, seed: u64, now: Micros) -> Self {
        Broken {
            how,
            brain: Router::new(settings_of(how, &settings), seed, now),
            settings,
            unsafe_ones: BTreeMap::new(),
            open: BTreeSet::new(),
            drained: BTreeSet::new(),
            newest: None,
            refusals: 0,
            lost: 0,
        }
    }

    fn note(&mut self, event: &Event<'_>) {
        match event {
            Event::Answered { id, .. } | Event::ClientLeft(id) => {
                self.open.remove(id);
            }
            Event::Arrived(request) => {
                self.open.insert(request.id);
                let class = request.class.and_then(|c| self.settings.classes.get(c as usize));
                if class.is_some_and(|c| c.effect == Effect::AtMostOnce) {
                    self.unsafe_ones.insert(request.id, (0, request.deadline));
                }
            }
            Event::EndpointList(members) | Event::EndpointUpdate(members) => {
                for m in members.iter().filter(|m| Some(m.kind) != self.settings.origin_kind) {
                    if m.state == ServerState::Draining {
                        self.drained.insert(m.server);
                    }
                    if m.state == ServerState::Serving && m.started_at > self.newest.map_or(0, |n| n.0) {
                        self.newest = Some((m.started_at, m.server));
                    }
                }
            }
            _ => {}
        }
    }

    fn spoil(&mut self, actions: &mut Vec<Action>) {
        for action in actions.iter_mut() {
            if let Action::Send { id, server, .. } = action {
                if let Some(last) = self.unsafe_ones.get_mut(id) {
                    last.0 = *server;
                } else if let (Break::Stampedes, Some((_, newest))) = (self.how, self.newest) {
                    *server = newest;
                } else if let (Break::IgnoresDrains, Some(drained)) = (self.how, self.drained.first()) {
                    *server = *drained;
                }
            }
        }
        if self.how == Break::Forgets {
            let refusals = &mut self.refusals;
            actions.retain(|a| {
                let last = matches!(a, Action::Reject { .. } | Action::Fail { .. });
                *refusals += u32::from(last);
                !last || !refusals.is_multiple_of(16)
            });
        }
    }
}

impl Policy for Broken {
    fn handle(&mut self, now: Micros, event: Event<'_>, _: &dyn OracleView, actions: &mut Vec<Action>) {
        self.note(&event);
        let ended = match event {
            Event::AttemptEnded { id, outcome, .. } if self.open.contains(&id) => Some((id, outcome)),
            _ => None,
        };
        self.brain.handle(now, event, actions);
        for action in &*actions {
            if let Action::Reject { id, .. } | Action::Fail { id } = action {
                self.open.remove(id);
            }
        }
        if let (Break::Repeats, Some((id, Outcome::Reset | Outcome::Timeout))) = (self.how, ended) {
            if let Some((server, due)) = self.unsafe_ones.get(&id).copied().filter(|(_, due)| now < *due) {
                let answers = |a: &Action| matches!(a, Action::Fail { id: i } | Action::Reject { id: i, .. } if *i == id);
                actions.retain(|a| !answers(a));
                actions.push(Action::Send { id, server, give_up_at: due, begin_by: due });
            }
        }
        if self.how == Break::Miscounts && ended.is_some() {
            self.lost += 1;
        }
        self.spoil(actions);
    }

    fn load(&self) -> Option<Load> {
        let notchdoor::InFlight { requests: held, attempts: out } = self.brain.in_flight();
        // Broken as it is, what it holds is off in ways of its own; only this break is about counts.
        (self.how == Break::Miscounts).then_some(Load { held, out: out + self.lost })
    }
}
