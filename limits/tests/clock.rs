//! Times that stand still, step back or jump ahead, in random orders: no limit panics, leaks or outlasts a client.

mod common;

use notchdoor::{
    Action, Decide, Effect, Endpoint, Event, Micros, Outcome, Request, RequestId, Scope, ServerState,
};
use notchdoor_limits::circuit_breaker::{Admission, AttemptResult, CircuitBreaker, CircuitBreakerConfig};
use notchdoor_limits::concurrency_limiter::{ConcurrencyBounds, ConcurrencyLimiter};
use notchdoor_limits::latency_quantile::LatencyQuantile;
use notchdoor_limits::layer::LimitsLayer;
use notchdoor_limits::policy_file::{parse, PolicyContext};
use notchdoor_limits::token_bucket::{TokenBucket, TokenBucketConfig};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const HOUR: Micros = 3_600 * S;
/// The last time that is ever stepped to: the jumps end there.
const END: Micros = Micros::MAX;
const SEEDS: u64 = 40;
const ATTEMPTS: u32 = 5;
const SERVERS: u32 = 5;

const EVERY_LIMIT: &str = "room = 60\n[budget.b]\nshare = 0.2\nfloor_per_s = 1.0\n\
    [default]\nbudget = 'b'\nattempts = 3\nbackoff = { first = '5ms', most = '40ms' }\n\
    breaker = { failures = 0.3, slow = 0.5, slow_after = '300ms', window = '2s', least = 2, open = '1s' }\n\
    [[route]]\nname = 'r'\nclass = 'read'\nattempt = '400ms'\ntotal = '1600ms'\n\
    copies = { after = 0.9, share = 0.3 }\nconcurrency = { least = 4, most = 64 }\nkeep_free = 0.1\n";

/// The next time: mostly a little later, at times the same, long after, or before.
fn step(rng: &mut ChaCha8Rng, now: Micros) -> Micros {
    match rng.random_range(0..20) {
        0..4 => now,
        4 => now.saturating_add(HOUR * rng.random_range(1..1_000_000)),
        5 => now.saturating_sub(rng.random_range(0..HOUR)),
        6 => END - rng.random_range(0..2 * S),
        7 => rng.random_range(0..10 * S),
        _ => now.saturating_add(rng.random_range(0..50 * MS)),
    }
}

fn outcome(rng: &mut ChaCha8Rng) -> Outcome {
    let all = [
        Outcome::Ok,
        Outcome::Miss,
        Outcome::Rejected,
        Outcome::Error,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
    ];
    all[rng.random_range(0..all.len())]
}

/// Sends what arrives, and again whatever fails, to one server after another.
#[derive(Default)]
struct Retrying {
    /// Attempts so far, by request; none once it is over.
    open: BTreeMap<RequestId, u32>,
}

impl Retrying {
    fn attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(sent) = self.open.get_mut(&id).filter(|sent| **sent < ATTEMPTS) {
            *sent += 1;
            actions.push(Action::Send { id, server: *sent % SERVERS, give_up_at: 0, begin_by: Micros::MAX });
        } else if self.open.remove(&id).is_some() {
            actions.push(Action::Fail { id });
        }
    }
}

impl Decide for Retrying {
    fn handle(&mut self, _: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(request) => {
                self.open.insert(request.id, 0);
                self.attempt(request.id, actions);
            }
            Event::AttemptEnded { id, request_done: true, .. } | Event::ClientLeft(id) => {
                self.open.remove(&id);
            }
            Event::AttemptEnded { id, .. } | Event::HedgeGranted(id) => self.attempt(id, actions),
            _ => {}
        }
    }

    fn timer_request(&self, _: u64) -> Option<RequestId> {
        None
    }
}

fn member(server: u32, started_at: Micros, state: ServerState) -> Endpoint {
    Endpoint { server, kind: 0, zone: 0, cell: 0, size: 1.0, started_at, state }
}

fn layer(seed: u64, now: Micros) -> LimitsLayer<Retrying> {
    let keyed = Effect::Deduplicated { scope: Scope::All, window: 3 * S };
    let settings = common::settings(
        4,
        vec![common::class(500, 2.0, Effect::Idempotent), common::class(500, 3.0, keyed)],
    );
    let facts = PolicyContext {
        settings: settings.clone(),
        classes: vec!["read".to_owned(), "fix".to_owned()],
        deadlines: vec![2 * S; 2],
        tenants: Vec::new(),
    };
    let facts = PolicyContext {
        settings: notchdoor::Settings {
            tenants: vec![notchdoor::Tenant { quota_per_s: 400.0 }],
            ..facts.settings.clone()
        },
        ..facts
    };
    let policy = parse("p", EVERY_LIMIT, &facts).unwrap_or_else(|p| panic!("{p:?}"));
    LimitsLayer::new(Retrying::default(), settings, Arc::new(policy), seed, now)
}

/// The layer and what a host knows of it.
struct Host {
    limits: LimitsLayer<Retrying>,
    /// Attempts out, by request and number.
    out: Vec<(RequestId, u32)>,
    sent: BTreeMap<RequestId, u32>,
    due: BTreeMap<RequestId, Micros>,
    timers: Vec<u64>,
}

impl Host {
    fn tell(&mut self, now: Micros, event: Event<'_>) {
        let mut actions = Vec::new();
        self.limits.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, give_up_at, .. } => {
                    assert!(give_up_at <= self.due[&id], "{id} is waited for beyond its client's time");
                    let number = self.sent.entry(id).or_default();
                    self.out.push((id, *number));
                    *number += 1;
                    assert!(*number <= 3, "{id} has more attempts than the policy allows");
                }
                Action::Timer { token, .. } => self.timers.push(token),
                Action::Cancel { .. } | Action::Reject { .. } | Action::Fail { .. } | Action::Watch => {}
            }
        }
    }

    fn random_event(&mut self, rng: &mut ChaCha8Rng, now: Micros, id: RequestId) {
        match rng.random_range(0..10) {
            0..4 => {
                let class = rng.random_range(0..2);
                let due = now.saturating_add(rng.random_range(0..2 * S));
                self.due.insert(id, due);
                let write = class > 0;
                self.tell(
                    now,
                    Event::Arrived(Request {
                        id,
                        class: Some(class),
                        tenant: None,
                        key: Some(id),
                        group: 0,
                        write,
                        deadline: due,
                    }),
                );
            }
            4..8 if !self.out.is_empty() => {
                let (id, attempt) = self.out.swap_remove(rng.random_range(0..self.out.len()));
                let outcome = outcome(rng);
                let took = rng.random::<bool>().then(|| rng.random_range(0..2 * S));
                self.tell(
                    now,
                    Event::AttemptEnded { id, attempt, outcome, took, request_done: outcome == Outcome::Ok },
                );
            }
            8 if !self.timers.is_empty() => {
                let token = self.timers.swap_remove(rng.random_range(0..self.timers.len()));
                self.tell(now, Event::Timer(token));
            }
            9 => {
                let state = [ServerState::Serving, ServerState::Draining][rng.random_range(0..2)];
                let members = [member(rng.random_range(0..SERVERS), rng.random_range(0..3), state)];
                self.tell(now, Event::EndpointUpdate(&members));
            }
            _ => self.tell(now, Event::ClientLeft(rng.random_range(1..=id))),
        }
    }
}

#[test]
fn the_layer_stands_any_order_of_events_at_any_times() {
    let (mut sent, mut refused_or_withheld) = (0, 0);
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut now = S;
        let limits = layer(seed, now);
        let mut host =
            Host { limits, out: Vec::new(), sent: BTreeMap::new(), due: BTreeMap::new(), timers: Vec::new() };
        let members: Vec<Endpoint> = (0..SERVERS).map(|s| member(s, 0, ServerState::Serving)).collect();
        host.tell(now, Event::EndpointList(&members));
        for id in 1..2_000 {
            now = step(&mut rng, now);
            host.random_event(&mut rng, now, id);
        }
        for id in 1..2_000 {
            host.tell(now, Event::ClientLeft(id));
        }
        while let Some((id, attempt)) = host.out.pop() {
            host.tell(
                now,
                Event::AttemptEnded { id, attempt, outcome: Outcome::Reset, took: None, request_done: true },
            );
        }
        assert_eq!(host.limits.left_over(), None, "seed {seed}");
        sent += host.sent.values().sum::<u32>();
        let done = host.limits.metrics();
        refused_or_withheld += done.requests_shed
            + done.attempts_exhausted
            + done.budget_exhausted
            + done.circuit_open
            + done.futile_retries;
    }
    assert!(sent > 10_000 && refused_or_withheld > 1_000, "{sent} sent, {refused_or_withheld} not");
}

#[test]
fn a_token_bucket_stays_within_its_bounds_at_any_times() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut now = S;
        let mut budget =
            TokenBucket::new(TokenBucketConfig { tokens_per_request: 0.1, tokens_per_s: 2.0 }, now);
        for _ in 0..1_000 {
            now = step(&mut rng, now);
            budget.deposit(now);
            let before = budget.tokens();
            // While the time stands still, nothing comes but for requests.
            let spent = budget.try_acquire(now, 0.0);
            assert_eq!(budget.tokens(), before - f64::from(u8::from(spent)));
            assert!((0.0..=budget.capacity()).contains(&budget.tokens()));
        }
    }
}

#[test]
fn a_breaker_opens_and_closes_at_any_times() {
    let rule = CircuitBreakerConfig {
        failure_ratio: 0.5,
        slow_ratio: 2.0,
        slow_after: S,
        window: S,
        min_attempts: 2,
        open_for: S,
        probes_to_close: 1,
    };
    let mut opened = 0;
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut now = S;
        let mut breaker = CircuitBreaker::new(rule);
        for _ in 0..1_000 {
            now = step(&mut rng, now);
            match breaker.try_acquire(now) {
                Admission::Rejected => assert!(!breaker.is_closed()),
                verdict => {
                    let failed = rng.random::<bool>();
                    breaker.record(
                        now,
                        AttemptResult { probe: verdict == Admission::Probe, failed, took: 0 },
                        Some(rng.random_range(0..S)),
                    );
                }
            }
        }
        opened += breaker.times_opened();
        // It opens at a time near the last one that there is, and closes by a trial at that.
        breaker.reset();
        (0..2).for_each(|_| {
            breaker.record(END - 1, AttemptResult { probe: false, failed: true, took: 0 }, Some(S));
        });
        assert_eq!((breaker.is_closed(), breaker.try_acquire(END)), (false, Admission::Probe));
    }
    assert!(opened > 1_000, "{opened}");
}

#[test]
fn latencies_of_any_length_keep_the_limiter_within_its_bounds() {
    let mut gradient = ConcurrencyLimiter::new(ConcurrencyBounds { min: 4, max: 64 });
    let mut latency = LatencyQuantile::new(0.95);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..10_000 {
        let took = step(&mut rng, 0);
        gradient.record_success(took as f64, rng.random_range(0..100));
        latency.record(took);
        assert!((4..=64).contains(&gradient.limit()));
        assert!(latency.estimate().is_none_or(|known| known <= HOUR + HOUR / 50));
    }
}
