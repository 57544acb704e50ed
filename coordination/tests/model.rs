//! Model check of the lease protocol with fencing, using stateright.
//!
//! Models three members, two clients, one task and one fenced resource. Messages are lost, duplicated and
//! reordered; the leader crashes, and members restart with their disk. Raft is modelled as a single
//! committed order of entries. The lease table, expiries, lease validity and fence are the crate's own code.
//! Two deliberately broken variants must violate the properties.

use notchdoor_coordination::fence::Fence;
use notchdoor_coordination::holder::Drift;
use notchdoor_coordination::lease::{Bounds, Command, Expiries, LeaseTable, Millis, Outcome};
use stateright::{Checker, Model, Property};

const TICK: Millis = 200;
const TTL: Millis = 600;
const TASK: &str = "warm";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    AsBuilt,
    /// The resource admits every action, without a fence.
    NoFence,
    /// A new leader expires every grant at its election instead of restarting its TTL.
    NoFullTtlAtElection,
}

struct Leases {
    variant: Variant,
    horizon: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Msg {
    Ask { c: usize, req: u8, sent: Millis, command: Command },
    Answer { c: usize, req: u8, outcome: Outcome },
    Act { c: usize, token: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Client {
    held: Option<(u64, Millis)>,
    asking: Option<(u8, Millis)>,
    req: u8,
    acts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Millis,
    index: u64,
    table: LeaseTable,
    expiries: Expiries,
    up: [bool; 3],
    leader: Option<usize>,
    crashes: u8,
    clients: [Client; 2],
    net: Vec<Msg>,
    drops: u8,
    dups: u8,
    fence: Fence,
    last_accepted: Option<u64>,
    shrank: bool,
    handed_over: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Send(usize),
    Act(usize),
    Deliver(usize),
    Drop(usize),
    Duplicate(usize),
    CrashLeader,
    Elect(usize),
    Restart(usize),
}

impl Leases {
    fn commit(&self, s: &mut State, command: &Command) -> Outcome {
        s.index += 1;
        let outcome = s.table.apply(s.index, command, &Bounds::default());
        s.expiries.follow(TASK, &outcome, &s.table, s.now);
        outcome
    }
}

impl Model for Leases {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let client = Client { held: None, asking: None, req: 0, acts: 0 };
        vec![State {
            now: 0,
            index: 0,
            table: LeaseTable::default(),
            expiries: Expiries::default(),
            up: [true; 3],
            leader: Some(0),
            crashes: 0,
            clients: [client.clone(), client],
            net: Vec::new(),
            drops: 1,
            dups: 1,
            fence: Fence::new(4),
            last_accepted: None,
            shrank: false,
            handed_over: false,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        if s.now < self.horizon {
            actions.push(Action::Tick);
        }
        for c in 0..2 {
            let client = &s.clients[c];
            if client.asking.is_none() && client.req < 2 && s.net.len() < 4 {
                actions.push(Action::Send(c));
            }
            if client.acts < 1 && s.net.len() < 4 && client.held.is_some_and(|(_, until)| s.now < until) {
                actions.push(Action::Act(c));
            }
        }
        for i in 0..s.net.len() {
            actions.push(Action::Deliver(i));
            if s.drops > 0 {
                actions.push(Action::Drop(i));
            }
            if s.dups > 0 && s.net.len() < 4 {
                actions.push(Action::Duplicate(i));
            }
        }
        if s.leader.is_some() && s.crashes < 1 {
            actions.push(Action::CrashLeader);
        }
        let majority = s.up.iter().filter(|&&u| u).count() >= 2;
        for m in 0..3 {
            if s.leader.is_none() && s.up[m] && majority {
                actions.push(Action::Elect(m));
            }
            if !s.up[m] {
                actions.push(Action::Restart(m));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut s = last.clone();
        match action {
            Action::Tick => {
                s.now += TICK;
                if s.leader.is_some() {
                    for expire in s.expiries.expired(s.now) {
                        self.commit(&mut s, &expire);
                    }
                }
            }
            Action::Send(c) => {
                let client = &mut s.clients[c];
                client.req += 1;
                client.asking = Some((client.req, s.now));
                let holder = format!("c{c}");
                let command = match client.held {
                    Some((token, _)) => Command::Renew { task: TASK.into(), holder, token },
                    None => Command::Acquire { task: TASK.into(), holder, ttl_ms: TTL },
                };
                s.net.push(Msg::Ask { c, req: client.req, sent: s.now, command });
            }
            Action::Act(c) => {
                let token = s.clients[c].held?.0;
                s.clients[c].acts += 1;
                s.net.push(Msg::Act { c, token });
            }
            Action::Deliver(i) => match s.net.remove(i) {
                Msg::Ask { c, req, command, .. } => {
                    // Without a leader the request is lost. Client timeouts are not modelled.
                    s.leader?;
                    let outcome = self.commit(&mut s, &command);
                    s.net.push(Msg::Answer { c, req, outcome });
                }
                Msg::Answer { c, req, outcome } => {
                    let client = &mut s.clients[c];
                    let (asked, sent) = client.asking?;
                    if asked != req {
                        return Some(s);
                    }
                    client.asking = None;
                    match outcome {
                        Outcome::Granted { token, ttl_ms } | Outcome::Renewed { token, ttl_ms } => {
                            client.held = Some((token, Drift::default().act_until(sent, ttl_ms)));
                        }
                        Outcome::Refused(_) => client.held = None,
                        _ => {}
                    }
                }
                Msg::Act { token, .. } => {
                    let admitted = self.variant == Variant::NoFence || s.fence.admit(TASK, token).is_ok();
                    if admitted {
                        if s.last_accepted.is_some_and(|last| token < last) {
                            s.shrank = true;
                        }
                        if s.last_accepted.is_some_and(|last| last != token) {
                            s.handed_over = true;
                        }
                        s.last_accepted = Some(s.last_accepted.map_or(token, |l| l.max(token)));
                    }
                }
            },
            Action::Drop(i) => {
                s.net.remove(i);
                s.drops -= 1;
            }
            Action::Duplicate(i) => {
                let copy = s.net[i].clone();
                s.net.push(copy);
                s.dups -= 1;
            }
            Action::CrashLeader => {
                let l = s.leader.take()?;
                s.up[l] = false;
                s.crashes += 1;
            }
            Action::Elect(m) => {
                s.leader = Some(m);
                s.expiries.restart(&s.table, s.now);
                if self.variant == Variant::NoFullTtlAtElection {
                    for expire in s.expiries.expired(Millis::MAX) {
                        self.commit(&mut s, &expire);
                    }
                }
            }
            Action::Restart(m) => s.up[m] = true,
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one client may act at any time", |_, s: &State| {
                s.clients.iter().filter(|c| c.held.is_some_and(|(_, until)| s.now < until)).count() < 2
            }),
            Property::always("admitted tokens never decrease", |_, s: &State| !s.shrank),
            Property::sometimes("the lease moves to another client", |_, s: &State| s.handed_over),
        ]
    }
}

/// Search depth. Covers a grant, its end and a second grant, with a crash, an election, a lost and a
/// duplicated message.
const DEPTH: usize = 17;

fn check(variant: Variant) -> impl Checker<Leases> {
    let depth = std::env::var("NOTCHDOOR_MODEL_DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(DEPTH);
    Leases { variant, horizon: 1_400 }.checker().threads(4).target_max_depth(depth).spawn_dfs().join()
}

#[test]
fn protocol_keeps_one_holder_and_increasing_tokens() {
    let checker = check(Variant::AsBuilt);
    checker.assert_no_discovery("at most one client may act at any time");
    checker.assert_no_discovery("admitted tokens never decrease");
    checker.assert_any_discovery("the lease moves to another client");
    println!("states {}, depth {}", checker.unique_state_count(), checker.max_depth());
}

#[test]
fn late_action_of_the_old_holder_is_admitted_without_the_fence() {
    check(Variant::NoFence).assert_any_discovery("admitted tokens never decrease");
}

#[test]
fn two_clients_act_at_once_without_ttl_restart_at_election() {
    check(Variant::NoFullTtlAtElection).assert_any_discovery("at most one client may act at any time");
}
