//! What a layer costs an event, with no file and with all limits; and what one decision costs by the size of the
//! fleet: today's, ten times that, and after thousands of workers have come and gone.

#[path = "../tests/common/mod.rs"]
mod common;

use criterion::{criterion_group, criterion_main, Criterion};
use notchdoor::{Decide, Effect, Endpoint, Event, Micros, Outcome, Request, ServerState, Settings};
use notchdoor_limits::policy_file::{parse, PolicyContext};
use notchdoor_limits::stack::Stack;
use std::hint::black_box;
use std::sync::Arc;

const ORIGIN: u32 = 99_999;
const ALL: &str = "room = 5000\n[budget.b]\nshare = 0.2\nfloor_per_s = 1.0\n[[route]]\nname = 'r'\nclass = 'read'\n\
    attempt = '500ms'\ntotal = '1900ms'\nattempts = 3\nbackoff = { first = '10ms', most = '40ms' }\nbudget = 'b'\n\
    copies = { after = 0.95, share = 0.05 }\nconcurrency = { least = 8, most = 4000 }\nkeep_free = 0.1\n\
    breaker = { failures = 0.5, window = '5s', open = '1s' }\n[[route]]\nname = 'c'\nclass = 'close'\nattempts = 1\n";

fn settings() -> Settings {
    let (safe, once) = (Effect::Idempotent, Effect::AtMostOnce);
    common::settings(4, vec![common::class(500, 2.0, safe), common::class(500, 8.0, once)])
}

fn member(server: u32) -> Endpoint {
    Endpoint {
        server,
        kind: if server == ORIGIN { 2 } else { 0 },
        zone: 0,
        cell: 0,
        size: 1.0,
        started_at: 0,
        state: ServerState::Serving,
    }
}

fn stack(text: Option<&str>, (proxies, workers): (u32, u32)) -> Stack {
    let facts = PolicyContext {
        settings: settings(),
        classes: vec!["read".into(), "close".into()],
        deadlines: vec![2_000_000, 600_000],
        tenants: vec![],
    };
    let policy = text.map(|t| Arc::new(parse("p", t, &facts).unwrap_or_else(|p| panic!("{p:?}"))));
    let mut stack = Stack::new(Settings { proxies, ..settings() }, policy, 1, 0);
    let members: Vec<Endpoint> = (0..workers).chain([ORIGIN]).map(member).collect();
    stack.handle(0, Event::EndpointList(&members), &mut Vec::new());
    stack
}

/// Workers come and go, one by one, `n` times.
fn churn(stack: &mut Stack, n: u32, now: &mut Micros) {
    for i in 1_000_000..1_000_000 + n {
        *now += 1_000;
        let gone = Endpoint { state: ServerState::Gone, ..member(i - 1) };
        stack.handle(*now, Event::EndpointUpdate(&[member(i), gone]), &mut Vec::new());
    }
    let gone = Endpoint { state: ServerState::Gone, ..member(999_999 + n) };
    stack.handle(*now, Event::EndpointUpdate(&[gone]), &mut Vec::new());
}

/// How a request's attempts end, one after another, and what each takes.
type Ends = &'static [(Outcome, Micros)];

/// A request that arrives, and whose attempts end so, one after another, each the given time later.
fn decide(stack: &mut Stack, now: &mut Micros, id: u64, write: bool, ends: &[(Outcome, Micros)]) {
    let mut actions = Vec::with_capacity(8);
    *now += 1_000;
    let request = Request {
        id,
        class: Some(u32::from(write)),
        tenant: None,
        key: Some(id % 500),
        group: 0,
        write,
        deadline: *now + 2_000_000,
    };
    stack.handle(*now, Event::Arrived(request), &mut actions);
    for (attempt, &(outcome, took)) in (0..).zip(ends) {
        let ended = Event::AttemptEnded {
            id,
            attempt,
            outcome,
            took: Some(took),
            request_done: outcome == Outcome::Ok,
        };
        stack.handle(*now + 800, ended, &mut actions);
    }
    black_box(&actions);
}

fn decisions(c: &mut Criterion) {
    let fleets = [
        ("4 proxies, 15 workers", (4, 15), 0),
        ("40 proxies, 150 workers", (40, 150), 0),
        ("40 proxies, 150 workers after 8,000", (40, 150), 8_000),
    ];
    let kinds: [(&str, bool, Ends); 3] = [
        ("a hit", false, &[(Outcome::Ok, 800)]),
        ("a miss and its fetch", false, &[(Outcome::Miss, 800), (Outcome::Ok, 800)]),
        ("a failing worker", false, &[(Outcome::Error, 800), (Outcome::Ok, 800)]),
    ];
    for (fleet, size, gone) in fleets {
        for (kind, write, ends) in kinds {
            let (mut stack, mut now, mut id) = (stack(None, size), 0, 0);
            churn(&mut stack, gone, &mut now);
            c.bench_function(&format!("{kind}, {fleet}"), |b| {
                b.iter(|| {
                    id += 1;
                    decide(&mut stack, &mut now, id, write, ends);
                });
            });
        }
        // The window is full: what comes is refused.
        let (mut stack, mut now, mut id) = (stack(None, size), 0, 100);
        churn(&mut stack, gone, &mut now);
        (1..100).for_each(|id| decide(&mut stack, &mut now, id, true, &[]));
        c.bench_function(&format!("a refusal, {fleet}"), |b| {
            b.iter(|| {
                id += 1;
                decide(&mut stack, &mut now, id, true, &[]);
            });
        });
    }
}

fn events(c: &mut Criterion) {
    for (name, text) in
        [("no layer", None), ("a file that limits nothing", Some("")), ("all limits", Some(ALL))]
    {
        let (mut stack, mut now, mut id) = (stack(text, (4, 14)), 0, 0);
        c.bench_function(&format!("two events, {name}"), |b| {
            b.iter(|| {
                id += 1;
                decide(&mut stack, &mut now, id, false, &[(Outcome::Ok, 800)]);
            });
        });
    }
}

criterion_group!(benches, events, decisions);
criterion_main!(benches);
