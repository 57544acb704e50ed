//! The verifier: what must hold at every event, whatever happens. The four rules are worded in PROTOCOL and
//! WIRE; the rest are the host's and the model's own promises.

use notchdoor::{Effect, Micros, Outcome, Scope, Settings};
use notchdoor_model::discovery::{EndpointEntry, ListedState, ServerId};
use notchdoor_model::overload::Overload;
use notchdoor_model::slow_start::{max_requests, WindowLoad};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// What can be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Rule 1: one final answer, in time.
    OneAnswer,
    /// Rule 2: repeated only as the class allows.
    Repeats,
    /// A request was carried out more often than its class allows.
    RanTwice,
    /// Rule 3: nothing new to a draining or gone worker.
    Drain,
    /// Only servers that the proxy's own list has named.
    Unlisted,
    /// Rule 4: no cold worker pushed over.
    ColdWorker,
    /// Rule 4: no cold misses that stop the origin.
    ColdMisses,
    /// What a proxy counts as held or out is not what is.
    Counts,
    /// A queue or a map is beyond its bound.
    Bound,
    /// Something is left when the day is over.
    LeftOver,
}

impl Rule {
    /// What it demands, in a sentence.
    pub fn demand(self) -> &'static str {
        match self {
            Rule::OneAnswer => "each request taken gets exactly one final answer, in time (rule 1)",
            Rule::Repeats => "what may have run is repeated or refused only as its class allows (rule 2)",
            Rule::RanTwice => "nothing is carried out more often than its class allows (rule 2)",
            Rule::Drain => "a draining or gone worker gets nothing new after the grace (rule 3)",
            Rule::Unlisted => "only servers that the proxy's list has named are sent to",
            Rule::ColdWorker => "no cold worker is pushed over (rule 4)",
            Rule::ColdMisses => "misses at cold workers do not stop the origin (rule 4)",
            Rule::Counts => "what a proxy counts as held and out is what is",
            Rule::Bound => "every queue and map stays within its bound",
            Rule::LeftOver => "nothing is left when the day is over",
        }
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When, in microseconds from the start of the day.
    pub at: Micros,
    /// The proxy, where it is one's.
    pub proxy: Option<u32>,
    /// The request, where it is about one.
    pub request: Option<u64>,
    /// What happened.
    pub what: String,
}

/// What is known of an attempt by the rules on repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It is out.
    Out,
    /// It never ran.
    Never,
    /// It may have run.
    Maybe,
}

/// One attempt, as the rules see it.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// The server.
    pub server: ServerId,
    /// When.
    pub at: Micros,
    /// What is known.
    pub ran: Ran,
}

impl Ran {
    /// What an outcome tells.
    pub fn of(outcome: Outcome) -> Ran {
        if outcome.never_ran() {
            Ran::Never
        } else {
            Ran::Maybe
        }
    }
}

#[derive(Clone, Copy)]
struct Known {
    zone: u32,
    cell: u32,
    started: Micros,
    /// Since when the proxy has been told that it wants nothing new.
    unwanted: Option<Micros>,
}

/// What one proxy has been told of the list.
#[derive(Default)]
pub struct NotifiedList {
    known: FxHashMap<ServerId, Known>,
}

impl NotifiedList {
    /// The proxy is told these lines now.
    pub fn told(&mut self, now: Micros, lines: &[EndpointEntry], whole: bool) {
        if whole {
            let named: rustc_hash::FxHashSet<ServerId> = lines.iter().map(|l| l.server).collect();
            for (server, known) in &mut self.known {
                if !named.contains(server) {
                    known.unwanted.get_or_insert(now);
                }
            }
        }
        for line in lines {
            let fresh = Known { zone: line.zone, cell: line.cell, started: line.started, unwanted: None };
            let known = self.known.entry(line.server).or_insert(fresh);
            let unwanted =
                if line.state == ListedState::Serving { None } else { Some(known.unwanted.unwrap_or(now)) };
            *known = Known { unwanted, ..fresh };
        }
    }

    /// Whether it was told of this start of a server.
    pub fn knows_start(&self, server: ServerId, started: Micros) -> bool {
        self.known.get(&server).is_some_and(|k| k.started == started)
    }
}

/// Judges what a proxy does.
pub struct Verifier {
    settings: Settings,
    drain_grace: Micros,
}

/// From this share of what a warming backend was sent on, the proxies that had been notified of its start are to
/// blame for its fall.
const NOTIFIED_BLAMED: f64 = 2.0 / 3.0;

/// What a rule finds: the rule, and what happened.
pub type Finding = Result<(), (Rule, String)>;

fn broken(rule: Rule, what: impl Into<String>) -> Finding {
    Err((rule, what.into()))
}

impl Verifier {
    /// A verifier by these settings.
    pub fn new(settings: Settings, drain_grace: Micros) -> Self {
        Verifier { settings, drain_grace }
    }

    fn effect(&self, class: Option<u32>) -> Effect {
        let class = class.and_then(|c| self.settings.classes.get(c as usize));
        class.map_or(Effect::AtMostOnce, |c| c.effect)
    }

    /// A proxy sends an attempt for a request that is open.
    pub fn may_send(
        &self,
        now: Micros,
        class: Option<u32>,
        before: &[Sent],
        to: ServerId,
        told: &NotifiedList,
    ) -> Finding {
        let Some(known) = told.known.get(&to) else {
            return broken(Rule::Unlisted, format!("server {to} was never in its list"));
        };
        if let Some(since) = known.unwanted.filter(|since| now > since + self.drain_grace) {
            let late = (now - since) / 1000;
            return broken(
                Rule::Drain,
                format!("server {to} gets a request {late} ms after it was told to go"),
            );
        }
        if !self.settings.hedging && before.iter().any(|a| a.ran == Ran::Out) {
            return broken(Rule::Repeats, "two attempts are out at once");
        }
        let Some(risk) = before.iter().find(|a| a.ran != Ran::Never) else { return Ok(()) };
        match self.effect(class) {
            Effect::Idempotent => Ok(()),
            Effect::AtMostOnce => broken(Rule::Repeats, "an at-most-once request is sent again"),
            Effect::Deduplicated { scope, window } => {
                if now >= risk.at + window {
                    return broken(Rule::Repeats, "a keyed request is repeated after its window");
                }
                let first = told.known.get(&risk.server);
                let same = first.is_some_and(|f| match scope {
                    Scope::All => true,
                    Scope::Zone => f.zone == known.zone,
                    Scope::Cell => f.cell == known.cell,
                });
                if !same {
                    return broken(Rule::Repeats, "a keyed request is repeated outside its group");
                }
                Ok(())
            }
        }
    }

    /// A proxy refuses a request that is open.
    pub fn may_refuse(&self, class: Option<u32>, before: &[Sent]) -> Finding {
        if before.iter().all(|a| a.ran == Ran::Never) {
            return Ok(());
        }
        match self.effect(class) {
            Effect::Idempotent | Effect::Deduplicated { scope: Scope::All, .. } => Ok(()),
            Effect::Deduplicated { .. } => {
                broken(Rule::Repeats, "a keyed request that may have run is refused")
            }
            Effect::AtMostOnce => {
                broken(Rule::Repeats, "an at-most-once request that may have run is refused")
            }
        }
    }

    /// A cold worker has fallen over.
    pub fn fell(&self, server: ServerId, over: &Overload) -> Finding {
        let share = over.attributed / over.sent.max(1e-9);
        if share < NOTIFIED_BLAMED {
            return Ok(());
        }
        broken(
            Rule::ColdWorker,
            format!(
                "server {server} falls over: sent {:.0} ms of work where it could do {:.0}, {:.0}% by proxies that were told",
                over.sent / 1e3,
                over.capacity / 1e3,
                share * 100.0
            ),
        )
    }

    /// A warming backend has been sent this much in a span of the fall time.
    pub fn slow_start(&self, server: ServerId, reading: &WindowLoad) -> Finding {
        if !reading.exceeds_limit() || reading.notified < NOTIFIED_BLAMED * reading.total {
            return Ok(());
        }
        broken(
            Rule::ColdWorker,
            format!(
                "warming server {server} gets {:.1} requests of mean work where {:.1} are allowed and {:.1} the limit, {:.0}% by proxies that were told",
                reading.total,
                reading.allowed,
                max_requests(reading.allowed),
                100.0 * reading.notified / reading.total
            ),
        )
    }

    /// The origin has stopped.
    pub fn stopped(&self, over: &Overload) -> Finding {
        if over.attributed <= 0.3 * over.sent || over.attributed <= 1.25 * over.expected {
            return Ok(());
        }
        broken(
            Rule::ColdMisses,
            format!(
                "the origin stops: sent {:.0} ms of work where it could do {:.0}, {:.0} of it misses at cold workers that were due {:.0}",
                over.sent / 1e3,
                over.capacity / 1e3,
                over.attributed / 1e3,
                over.expected / 1e3
            ),
        )
    }

    /// A request has been carried out once more, so that it has run `times` in all, first at `first`.
    pub fn ran(&self, class: u32, times: u32) -> Finding {
        if times < 2 || self.effect(Some(class)) != Effect::AtMostOnce {
            return Ok(());
        }
        broken(Rule::RanTwice, format!("an at-most-once request has run {times} times"))
    }
}
