//! Keeps one decision instance for each balancer and translates between the wire and the library.
//! Instances share nothing but the numbered lists that the wire itself shares.

use crate::wire::{self, Millis, Output};
use notchdoor::{
    key_hash, Action, Brain, Class, Discovery, Effect, Event, Member, Micros, Outcome, Request, RequestId,
    Scope, ServerState, Settings, Tenant,
};
use serde::Deserialize;
use std::collections::HashMap;

/// One balancer: its decisions, and the names that the library knows as numbers.
struct Instance {
    brain: Brain,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    numbers: HashMap<String, RequestId>,
    tickets: HashMap<RequestId, Ticket>,
    next: RequestId,
}

/// A request's name on the wire, kept for as long as the wire may still speak of it.
struct Ticket {
    name: String,
    out: u32,
    over: bool,
}

/// Every instance in this process, and the batch being read.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
    sheets: HashMap<u64, Vec<wire::Entry>>,
    batch: Option<u64>,
    now: Micros,
    actions: Vec<Action>,
}

fn micros(t: Millis) -> Micros {
    (t * 1000.0).round().max(0.0) as Micros
}

fn millis(t: Micros) -> Millis {
    t as f64 / 1000.0
}

fn position(names: &[String], name: &str) -> Option<u32> {
    names.iter().position(|n| n == name).map(|i| i as u32)
}

fn parse<'a, T: Deserialize<'a>>(line: &'a [u8], m: &str, batch: Option<u64>) -> Result<T, String> {
    serde_json::from_slice(line).map_err(|e| match batch {
        Some(batch) => format!("batch {batch}, message '{m}': {e}"),
        None => format!("before the first batch, message '{m}': {e}"),
    })
}

fn outcome(code: u32) -> Option<Outcome> {
    Some(match code {
        0 => Outcome::Ok,
        5 => Outcome::Error,
        11 => Outcome::Full,
        110 => Outcome::Timeout,
        111 => Outcome::ConnectFailed,
        104 => Outcome::Reset,
        125 => Outcome::Cancelled,
        114 => Outcome::Moot,
        2 => Outcome::Miss,
        _ => return None,
    })
}

fn settings(boot: &wire::BootInfo) -> Settings {
    let class = |g: &wire::Grade| Class {
        aim: micros(g.aim),
        worth: g.points,
        late_share: g.late_share,
        effect: match g.effect {
            wire::Effect::Idempotent => Effect::Idempotent,
            wire::Effect::AtMostOnce => Effect::AtMostOnce,
            wire::Effect::Deduplicated => Effect::Deduplicated {
                window: micros(g.dedup_window),
                scope: match g.dedup_scope {
                    wire::DedupScope::All => Scope::All,
                    wire::DedupScope::Zone => Scope::Zone,
                    wire::DedupScope::Cell => Scope::Cell,
                },
            },
        },
    };
    let (limits, rules) = (&boot.limits, &boot.obligations);
    Settings {
        balancers: boot.balancers,
        classes: boot.grades.iter().map(class).collect(),
        tenants: boot.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
        over_share_worth: boot.over_share_worth,
        origin_kind: boot.family_info.origin_kind.and_then(|k| u32::try_from(k).ok()),
        discovery: match boot.discovery {
            wire::Discovery::Pushed => Discovery::Pushed,
            wire::Discovery::OnRequest => Discovery::OnRequest { ask_every: micros(rules.ask_every) },
        },
        sizes_are_live: boot.weight_kind == "live",
        max_attempts: limits.max_attempts,
        second_copies: limits.second_copies,
        may_cancel: limits.may_cancel,
        max_retry_after: if limits.retry_after { micros(limits.max_retry_after) } else { 0 },
        most_held: limits.most_held,
        cold_from: rules.cold_from,
        cold: micros(rules.cold),
        fall_multiple: rules.fall_multiple,
        fall_time: micros(rules.tip_after),
    }
}

impl Instance {
    fn new(boot: wire::BootInfo, seed: u64, now: Micros) -> Self {
        Instance {
            brain: Brain::new(settings(&boot), seed, now),
            classes: boot.grades.into_iter().map(|g| g.name).collect(),
            tenants: boot.tenants.into_iter().map(|t| t.name).collect(),
            zones: boot.dcs,
            kinds: boot.skus,
            numbers: HashMap::new(),
            tickets: HashMap::new(),
            next: 1,
        }
    }

    fn members(&self, entries: &[wire::Entry]) -> Vec<Member> {
        let member = |e: &wire::Entry| Member {
            server: e.node,
            kind: position(&self.kinds, &e.flavor).unwrap_or(u32::MAX),
            zone: position(&self.zones, &e.campus).unwrap_or(u32::MAX),
            cell: e.cohort,
            size: e.size,
            up_since: micros(e.up_since),
            state: match e.readiness {
                wire::Readiness::InService => ServerState::Serving,
                wire::Readiness::Terminating => ServerState::Draining,
                wire::Readiness::Terminated => ServerState::Gone,
            },
        };
        entries.iter().map(member).collect()
    }

    fn arrived(&mut self, r: &wire::Incoming) -> Event<'static> {
        let id = self.next;
        self.next += 1;
        self.numbers.insert(r.ticket.to_string(), id);
        self.tickets.insert(id, Ticket { name: r.ticket.to_string(), out: 0, over: false });
        let tenant = match &r.customer {
            Some(wire::Customer::Name(name)) => position(&self.tenants, name),
            _ => None,
        };
        Event::Arrived(Request {
            id,
            class: position(&self.classes, &r.band),
            tenant,
            key: r.item.as_ref().map(|k| key_hash(k.as_bytes())),
            write: r.state_bits & 4 != 0,
            due: micros(r.due),
            cost_hint: if r.state_bits & 1 != 0 { r.weight_hint } else { None },
        })
    }

    /// Notes that one attempt fewer is out, or that the request is over, and forgets it when both hold.
    fn settle(&mut self, id: RequestId, ended: bool, over: bool) {
        if let Some(ticket) = self.tickets.get_mut(&id) {
            ticket.out -= u32::from(ended && ticket.out > 0);
            ticket.over |= over;
            if ticket.over && ticket.out == 0 {
                self.numbers.remove(&ticket.name);
                self.tickets.remove(&id);
            }
        }
    }

    fn write(&mut self, who: &str, action: Action, now: Micros, reply: &mut Vec<u8>) {
        let name = |id: &RequestId| self.tickets.get(id).map_or("", |t| t.name.as_str());
        let output = match &action {
            Action::Send { id, server, give_up_at } => Output::Route {
                who,
                ticket: name(id),
                node: *server,
                not_past: millis((*give_up_at).max(now)),
            },
            Action::Cancel { id, attempt } => Output::Retract { who, ticket: name(id), attempt: *attempt },
            Action::Refuse { id, retry_after } => {
                Output::TurnAway { who, ticket: name(id), come_back: millis(*retry_after) }
            }
            Action::Fail { id } => Output::FinishError { who, ticket: name(id) },
            Action::Timer { after, token } => Output::Schedule { who, from_now: millis(*after), ctx: *token },
            Action::Watch => Output::StreamChanges { who, want: true },
        };
        push(reply, &output);
        match action {
            Action::Send { id, .. } => {
                if let Some(ticket) = self.tickets.get_mut(&id) {
                    ticket.out += 1;
                }
            }
            Action::Refuse { id, .. } | Action::Fail { id } => self.settle(id, false, true),
            _ => {}
        }
    }
}

fn push(reply: &mut Vec<u8>, output: &Output) {
    serde_json::to_writer(&mut *reply, output).expect("plain values always serialise");
    reply.push(b'\n');
}

impl Host {
    /// Takes one line. True when the batch is complete and `reply` holds its answer.
    pub fn line(&mut self, line: &[u8], reply: &mut Vec<u8>) -> Result<bool, String> {
        let head: wire::Head = parse(line, "?", self.batch)?;
        let m = &*head.m;
        if m == "sync" {
            let sync: wire::Sync = parse(line, m, self.batch)?;
            if let Some(open) = self.batch {
                return Err(format!("batch {open}: 'sync' of batch {} before 'eob'", sync.round));
            }
            if !sync.t.is_finite() {
                return Err(format!("batch {}, message 'sync': field `t` is not a time", sync.round));
            }
            self.batch = Some(sync.round);
            self.now = micros(sync.t).max(self.now);
            return Ok(false);
        }
        let Some(round) = self.batch else {
            return Err(format!("message '{m}' outside a batch: 'sync' is missing"));
        };
        if m == "eob" {
            push(reply, &Output::Done { round });
            self.batch = None;
            return Ok(true);
        }
        self.event(line, m, round, reply)?;
        Ok(false)
    }

    /// Called at the end of the input.
    pub fn at_end(&self) -> Result<(), String> {
        match self.batch {
            Some(batch) => Err(format!("batch {batch}: the input ends before 'eob'")),
            None => Ok(()),
        }
    }

    fn event(&mut self, line: &[u8], m: &str, round: u64, reply: &mut Vec<u8>) -> Result<(), String> {
        let batch = Some(round);
        match m {
            "enlist" => {
                let e: wire::Enlist = parse(line, m, batch)?;
                self.instances.insert(e.who.into_owned(), Instance::new(e.boot_info, e.init_seed, self.now));
            }
            "down" => {
                let e: wire::Addressed = parse(line, m, batch)?;
                self.instances.remove(&*e.who);
            }
            "sheet" => {
                let e: wire::Sheet = parse(line, m, batch)?;
                self.sheets.insert(e.buffer, e.members_list);
            }
            "peersKnown" => {
                let e: wire::PeersKnown = parse(line, m, batch)?;
                if matches!(e.form, wire::Form::Error) {
                    return self.feed(&e.who, m, round, reply, |_| Some(Event::ListError));
                }
                let sheet = self.sheets.get(&e.buffer).ok_or_else(|| {
                    format!("batch {round}, message '{m}': field `buffer` names no sheet: {}", e.buffer)
                })?;
                let instance = self.instances.get(&*e.who).ok_or_else(|| unknown(round, m, &e.who))?;
                let members = instance.members(sheet);
                let whole = !matches!(e.form, wire::Form::Partial);
                return self.feed(&e.who, m, round, reply, |_| {
                    Some(if whole { Event::WholeList(&members) } else { Event::ListChange(&members) })
                });
            }
            "incoming" => {
                let e: wire::Incoming = parse(line, m, batch)?;
                return self.feed(&e.who, m, round, reply, |i| Some(i.arrived(&e)));
            }
            "ended" => {
                let e: wire::Ended = parse(line, m, batch)?;
                let outcome = outcome(e.code).ok_or_else(|| {
                    format!("batch {round}, message '{m}': field `code` is unknown: {}", e.code)
                })?;
                return self.feed(&e.who, m, round, reply, |i| {
                    let id = *i.numbers.get(&*e.ticket)?;
                    i.settle(id, true, e.last);
                    Some(Event::Ended {
                        id,
                        attempt: e.attempt,
                        outcome,
                        took: micros(e.took),
                        last: e.last,
                        being_fetched: e.info == 3,
                    })
                });
            }
            "abandoned" => {
                let e: wire::Abandoned = parse(line, m, batch)?;
                return self.feed(&e.who, m, round, reply, |i| {
                    let id = *i.numbers.get(&*e.ticket)?;
                    i.settle(id, false, true);
                    Some(Event::Left(id))
                });
            }
            "started" => {
                let e: wire::Started = parse(line, m, batch)?;
                return self.feed(&e.who, m, round, reply, |i| {
                    Some(Event::Started { id: *i.numbers.get(&*e.ticket)?, attempt: e.attempt })
                });
            }
            "timeoutFired" => {
                let e: wire::TimeoutFired = parse(line, m, batch)?;
                return self.feed(&e.who, m, round, reply, |_| Some(Event::Timer(e.ctx)));
            }
            // Nothing is decided on these.
            "peerData" | "pong" => {
                let _: wire::Addressed = parse(line, m, batch)?;
            }
            _ => return Err(format!("batch {round}: unknown message '{m}'")),
        }
        Ok(())
    }

    /// Hands one event to an instance and writes what it wants done.
    fn feed<'e>(
        &mut self,
        who: &str,
        m: &str,
        round: u64,
        reply: &mut Vec<u8>,
        event: impl FnOnce(&mut Instance) -> Option<Event<'e>>,
    ) -> Result<(), String> {
        let instance = self.instances.get_mut(who).ok_or_else(|| unknown(round, m, who))?;
        if let Some(event) = event(instance) {
            instance.brain.handle(self.now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                instance.write(who, action, self.now, reply);
            }
        }
        Ok(())
    }
}

fn unknown(round: u64, m: &str, who: &str) -> String {
    format!("batch {round}, message '{m}': field `who` names no running instance: '{who}'")
}
