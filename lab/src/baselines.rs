//! What the decision module is held against: textbook choices without windows, and one that sees everything.
//!
//! All share the same surroundings: a miss is fetched, writes go to the origin, a failed attempt is tried
//! again where the class allows it, and draining workers are left alone.

use crate::interface::{Load, OracleView, Policy};
use notchdoor::{
    Action, Decide, Effect, Event, Key, Micros, Outcome, Request, RequestId, ServerId, ServerState, Settings,
};
use notchdoor_limits::layer::{LimitsLayer, LimitsMetrics};
use notchdoor_model::cache::unit_hash;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// How a baseline chooses a worker for a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Any, by chance.
    Random,
    /// One after another.
    RoundRobin,
    /// By rendezvous hashing: every key has its worker.
    Rendezvous,
    /// Of the key's two best by rendezvous hashing, the one with fewer own requests out and less reported load.
    TwoChoices,
    /// The worker that will answer soonest, by a look at all of them, the origin and every memory.
    AllSeeing,
}

impl Choice {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Choice::Random => "random",
            Choice::RoundRobin => "round-robin",
            Choice::Rendezvous => "rendezvous",
            Choice::TwoChoices => "two-choices",
            Choice::AllSeeing => "all-seeing",
        }
    }
}

struct Held {
    request: Request,
    attempts: u32,
    out: u32,
    /// When the first attempt that may have run was sent.
    risked: Option<Micros>,
    sent: Vec<(ServerId, Micros)>,
    missed: bool,
    /// A reply answered it; its attempt has not ended yet.
    answered: bool,
}

/// One proxy under a baseline.
pub struct Baseline {
    choice: Choice,
    settings: Settings,
    rng: ChaCha8Rng,
    workers: Vec<ServerId>,
    origin: Option<ServerId>,
    listed: BTreeMap<ServerId, (ServerState, bool)>,
    out: BTreeMap<ServerId, u32>,
    held: BTreeMap<RequestId, Held>,
    turn: usize,
    asked: bool,
}

const WATCH: u64 = 1 << 60;
/// What the all-seeing policy takes a read for, in microseconds of a standard core.
const MEAN_WORK: f64 = 40_000.0;
/// It leaves a key's home for a worker that answers sooner by so many microseconds.
const WORTH_LEAVING: f64 = 100_000.0;
/// It fetches for a read only while the origin would answer within so many: sign-offs wait there too.
const FETCH_WAIT: f64 = 150_000.0;

impl Baseline {
    /// A proxy that holds no list yet.
    pub fn new(choice: Choice, settings: Settings, seed: u64) -> Self {
        Baseline {
            choice,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            workers: Vec::new(),
            origin: None,
            listed: BTreeMap::new(),
            out: BTreeMap::new(),
            held: BTreeMap::new(),
            turn: 0,
            asked: false,
        }
    }

    fn rendezvous(&self, key: Key) -> Option<(ServerId, Option<ServerId>)> {
        let rank = |s: ServerId| unit_hash(key ^ u64::from(s).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut best: Option<(f64, ServerId)> = None;
        let mut second: Option<(f64, ServerId)> = None;
        for &server in &self.workers {
            let r = rank(server);
            if best.is_none_or(|(b, _)| r > b) {
                second = best;
                best = Some((r, server));
            } else if second.is_none_or(|(b, _)| r > b) {
                second = Some((r, server));
            }
        }
        best.map(|(_, s)| (s, second.map(|(_, s)| s)))
    }

    fn choose(&mut self, request: &Request, oracle: &dyn OracleView) -> Option<ServerId> {
        let key = request.key.unwrap_or(request.id);
        match self.choice {
            Choice::Random => self.workers.choose(&mut self.rng).copied(),
            Choice::RoundRobin => {
                self.turn += 1;
                self.workers.get(self.turn % self.workers.len().max(1)).copied()
            }
            Choice::Rendezvous => self.rendezvous(key).map(|(first, _)| first),
            Choice::TwoChoices => {
                let (first, second) = self.rendezvous(key)?;
                let second = second.unwrap_or(first);
                let load = |s: ServerId| {
                    let own = f64::from(self.out.get(&s).copied().unwrap_or(0));
                    own + oracle.reported(s).unwrap_or(0.0)
                };
                // A tie, and nearly one, stays with the first: its memory has the key.
                Some(if load(second) + 1.0 < load(first) { second } else { first })
            }
            Choice::AllSeeing => self.soonest(key, oracle),
        }
    }

    /// Every key has its home by rendezvous hashing on true capacities. It is left only for a worker that has
    /// the key too and answers much sooner, or where the home is so crowded that a fetch elsewhere is sooner:
    /// copies of one key at many workers would push others out.
    fn soonest(&self, key: Key, oracle: &dyn OracleView) -> Option<ServerId> {
        let mut home: Option<(f64, ServerId)> = None;
        let mut holder: Option<(f64, ServerId)> = None;
        for &server in &self.workers {
            let u = unit_hash(key ^ u64::from(server).wrapping_mul(0x9e37_79b9_7f4a_7c15)).max(1e-12);
            let rank = oracle.capacity(server) / -u.ln();
            if home.is_none_or(|(best, _)| rank > best) {
                home = Some((rank, server));
            }
            let wait = oracle.wait(server, MEAN_WORK).filter(|_| oracle.holds(server, key));
            if let Some(wait) = wait.filter(|w| holder.is_none_or(|(best, _)| *w < best)) {
                holder = Some((wait, server));
            }
        }
        let home = home?.1;
        let at_home = oracle.wait(home, MEAN_WORK).unwrap_or(f64::INFINITY);
        let fetch = if oracle.holds(home, key) { 0.0 } else { oracle.origin_wait().unwrap_or(1e7) };
        match holder {
            Some((wait, server)) if wait + WORTH_LEAVING < at_home + fetch => Some(server),
            // A home that takes nothing now is asked all the same: what it turns away never ran.
            _ => Some(home),
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        let held = self.held.get_mut(&id).expect("only open requests are sent");
        held.attempts += 1;
        held.out += 1;
        held.sent.push((server, now));
        *self.out.entry(server).or_insert(0) += 1;
        let due = held.request.deadline;
        actions.push(Action::Send { id, server, give_up_at: due, begin_by: due });
    }

    fn may_send(&self, now: Micros, held: &Held) -> bool {
        let class = held.request.class.and_then(|c| self.settings.classes.get(c as usize));
        let allowed = match (held.risked, class.map(|c| c.effect)) {
            (None, _) | (Some(_), Some(Effect::Idempotent)) => true,
            (Some(at), Some(Effect::Deduplicated { window, .. })) => now < at + window,
            _ => false,
        };
        allowed && held.attempts < self.settings.max_attempts && now < held.request.deadline && held.out == 0
    }

    fn go_on(&mut self, now: Micros, id: RequestId, oracle: &dyn OracleView, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get(&id) else { return };
        if held.out > 0 {
            return;
        }
        let request = held.request.clone();
        let may = self.may_send(now, held);
        let fetch = request.write || held.missed;
        let worth_it = self.choice != Choice::AllSeeing
            || !fetch
            || oracle.origin_wait().is_some_and(|wait| {
                now as f64 + wait < request.deadline as f64 && (request.write || wait < FETCH_WAIT)
            });
        let server = match (may && worth_it, fetch) {
            (false, _) => None,
            (true, true) => self.origin,
            (true, false) => self.choose(&request, oracle),
        };
        match server {
            Some(server) => self.send(now, id, server, actions),
            None => self.finish(id, actions),
        }
    }

    fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(held) = self.held.remove(&id) else { return };
        let class = held.request.class.and_then(|c| self.settings.classes.get(c as usize));
        let harmless = held.risked.is_none() && held.out == 0;
        let repeatable = class.is_some_and(|c| c.effect != Effect::AtMostOnce);
        actions.push(if harmless || repeatable {
            Action::Reject { id, retry_after: 0 }
        } else {
            Action::Fail { id }
        });
    }

    fn list(&mut self, members: &[notchdoor::Endpoint], whole: bool, actions: &mut Vec<Action>) {
        if whole {
            self.listed.clear();
        }
        for m in members {
            let origin = self.settings.origin_kind == Some(m.kind);
            self.listed.insert(m.server, (m.state, origin));
        }
        let serving = |origin: bool| {
            let fits = move |(_, (state, o)): &(&ServerId, &(ServerState, bool))| {
                *state == ServerState::Serving && *o == origin
            };
            self.listed.iter().filter(fits).map(|(s, _)| *s)
        };
        self.workers = serving(false).collect();
        self.origin = serving(true).next();
        if !std::mem::replace(&mut self.asked, true) {
            actions.push(Action::Watch);
        }
    }

    fn ended(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.out -= 1;
        let Some(&(server, sent)) = held.sent.get(attempt as usize) else { return };
        if let Some(out) = self.out.get_mut(&server) {
            *out = out.saturating_sub(1);
        }
        held.missed |= outcome == Outcome::Miss;
        if !outcome.never_ran() && outcome != Outcome::Ok {
            held.risked.get_or_insert(sent);
        }
    }
}

/// What a baseline sees that is driven without a lab round it: nothing.
struct NoOracle;

impl OracleView for NoOracle {
    fn wait(&self, _: ServerId, _: f64) -> Option<f64> {
        None
    }

    fn holds(&self, _: ServerId, _: Key) -> bool {
        false
    }

    fn capacity(&self, _: ServerId) -> f64 {
        0.0
    }

    fn origin_wait(&self) -> Option<f64> {
        None
    }

    fn reported(&self, _: ServerId) -> Option<f64> {
        None
    }
}

impl Decide for Baseline {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        Policy::handle(self, now, event, &NoOracle, actions);
    }

    fn timer_request(&self, token: u64) -> Option<RequestId> {
        (token != WATCH).then_some(token)
    }
}

impl Policy for Baseline {
    fn handle(&mut self, now: Micros, event: Event<'_>, oracle: &dyn OracleView, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(members) => self.list(members, true, actions),
            Event::EndpointUpdate(members) => self.list(members, false, actions),
            Event::DiscoveryError => {
                let after = 250_000 + self.rng.random_range(0..250_000);
                actions.push(Action::Timer { after, token: WATCH });
            }
            Event::Arrived(request) => {
                let (id, due) = (request.id, request.deadline);
                let held = Held {
                    request,
                    attempts: 0,
                    out: 0,
                    risked: None,
                    sent: Vec::new(),
                    missed: false,
                    answered: false,
                };
                self.held.insert(id, held);
                actions.push(Action::Timer { after: due.saturating_sub(now), token: id });
                self.go_on(now, id, oracle, actions);
            }
            Event::Answered { id, .. } => {
                if let Some(held) = self.held.get_mut(&id) {
                    held.answered = true;
                }
            }
            Event::AttemptEnded { id, attempt, outcome, .. } => {
                self.ended(id, attempt, outcome);
                if self.held.get(&id).is_some_and(|held| held.answered) {
                    self.held.remove(&id);
                } else {
                    self.go_on(now, id, oracle, actions);
                }
            }
            Event::ClientLeft(id) => {
                self.held.remove(&id);
            }
            Event::Timer(WATCH) => actions.push(Action::Watch),
            Event::Timer(id) | Event::AnswerNow(id) => {
                // Its attempts are given up at the same moment, and may have run.
                if let Some(held) = self.held.get_mut(&id) {
                    if held.out > 0 {
                        held.risked.get_or_insert(now);
                    }
                    self.finish(id, actions);
                }
            }
            Event::ReplyStarted { .. }
            | Event::ReplyBegun { .. }
            | Event::ReplyStalled { .. }
            | Event::ReplyInterrupted { .. }
            | Event::HedgeGranted(_) => {}
        }
    }
}

impl Policy for LimitsLayer<Baseline> {
    fn handle(&mut self, now: Micros, event: Event<'_>, _: &dyn OracleView, actions: &mut Vec<Action>) {
        Decide::handle(self, now, event, actions);
    }

    fn limited(&self) -> Option<(LimitsMetrics, u64)> {
        Some((self.metrics(), self.breaker_openings()))
    }

    fn load(&self) -> Option<Load> {
        let (held, out) = LimitsLayer::load(self);
        Some(Load { held, out })
    }

    fn left_over(&self) -> Option<String> {
        LimitsLayer::leaked_state(self)
    }
}
