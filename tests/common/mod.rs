//! What the tests share: settings, a server list, and short ways to drive a brain.
#![allow(dead_code)]

use notchdoor::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const START: Micros = 100 * S;
pub const ORIGIN: ServerId = 99;

pub fn settings() -> Settings {
    let class = |effect| Class { aim: 500 * MS, worth: 1.0, late_share: 0.5, effect, window_share: 1.0 };
    Settings {
        balancers: 2,
        classes: vec![
            class(Effect::Idempotent),
            class(Effect::Deduplicated { scope: Scope::All, window: 800 * MS }),
            class(Effect::Deduplicated { scope: Scope::Zone, window: 800 * MS }),
            class(Effect::AtMostOnce),
        ],
        tenants: vec![],
        over_share_worth: 0.1,
        origin_kind: Some(1),
        discovery: Discovery::Pushed,
        sizes_are_live: false,
        max_attempts: 3,
        second_copies: true,
        may_cancel: true,
        max_retry_after: S,
        most_held: 10_000,
        cold_from: 0.1,
        cold: 20 * S,
        fall_multiple: 3.0,
        fall_time: S,
    }
}

pub fn member(server: ServerId) -> Member {
    let kind = u32::from(server == ORIGIN);
    let zone = server % 2;
    Member { server, kind, zone, cell: server / 4, size: 1.0, up_since: 0, state: ServerState::Serving }
}

/// Caches 0..n and the origin.
pub fn members(n: u32) -> Vec<Member> {
    (0..n).chain([ORIGIN]).map(member).collect()
}

/// As many balancers as `count`, each with its own seed, told of the same list at the start.
pub fn fleet(count: u32, members: &[Member]) -> Vec<Brain> {
    let settings = Settings { balancers: count, ..settings() };
    (0..count)
        .map(|seed| {
            let mut brain = Brain::new(settings.clone(), u64::from(seed), START);
            handle(&mut brain, START, Event::WholeList(members));
            brain
        })
        .collect()
}

pub fn brain(settings: Settings, members: &[Member]) -> Brain {
    let mut brain = Brain::new(settings, 7, START);
    brain.handle(START, Event::WholeList(members), &mut Vec::new());
    brain
}

pub fn read(id: RequestId, key: Key, now: Micros) -> Request {
    Request { id, class: Some(0), tenant: None, key: Some(key), group: 0, write: false, due: now + 2 * S }
}

pub fn handle(brain: &mut Brain, now: Micros, event: Event<'_>) -> Vec<Action> {
    let mut actions = Vec::new();
    brain.handle(now, event, &mut actions);
    actions
}

pub fn arrive(brain: &mut Brain, now: Micros, request: Request) -> Vec<Action> {
    handle(brain, now, Event::Arrived(request))
}

pub fn end(
    brain: &mut Brain,
    now: Micros,
    id: RequestId,
    attempt: u32,
    outcome: Outcome,
    took: Micros,
) -> Vec<Action> {
    let last = outcome == Outcome::Ok;
    handle(brain, now, Event::Ended { id, attempt, outcome, took: Some(took), last })
}

/// The servers that the actions send to.
pub fn sent(actions: &[Action]) -> Vec<ServerId> {
    let server = |a: &Action| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(server).collect()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

/// Sends a write at `now` and ends it `took` later; says where it went, if anywhere.
pub fn write(brain: &mut Brain, id: RequestId, now: Micros, took: Micros, outcome: Outcome) -> bool {
    let request = Request { write: true, class: Some(3), ..read(id, id, now) };
    let there = !sent(&arrive(brain, now, request)).is_empty();
    if there {
        end(brain, now + took, id, 0, outcome, took);
    }
    there
}
