//! The layer round something that decides by rote, limit by limit; and round the module itself.

mod common;

use notchdoor::{
    Action, Decide, Effect, Endpoint, Event, Micros, Outcome, Request, RequestId, Router, Scope, ServerState,
    Settings,
};
use notchdoor_limits::layer::LimitsLayer;
use notchdoor_limits::policy::Policy;
use notchdoor_limits::policy_file::{parse, PolicyContext};
use notchdoor_limits::stack::Stack;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const ORIGIN: u32 = 99;
const DUE: u64 = 7;

fn settings() -> Settings {
    let keyed = Effect::Deduplicated { scope: Scope::All, window: S };
    common::settings(
        100,
        vec![
            common::class(500, 2.0, Effect::Idempotent),
            common::class(500, 3.0, keyed),
            common::class(500, 8.0, Effect::AtMostOnce),
        ],
    )
}

fn policy(text: &str) -> Arc<Policy> {
    let facts = PolicyContext {
        settings: settings(),
        classes: ["read", "fix", "close"].map(str::to_owned).to_vec(),
        deadlines: vec![2 * S; 3],
        tenants: vec![],
    };
    Arc::new(parse("p", text, &facts).unwrap_or_else(|p| panic!("{p:?}")))
}

/// Decides by rote: a read goes to server 0, after a failure to the next one, after a miss to the origin; writes
/// go to the origin and are not repeated. Six attempts at most. It answers when its time is over.
#[derive(Default)]
struct Rote {
    /// Sends so far, attempts out, whether it is over.
    held: BTreeMap<RequestId, (u32, u32, bool)>,
    heard: Vec<String>,
}

impl Decide for Rote {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        let send = |id, server| Action::Send { id, server, give_up_at: 0, begin_by: Micros::MAX };
        match event {
            Event::Arrived(r) => {
                self.held.insert(r.id, (1, 1, false));
                actions.push(Action::Timer { after: r.deadline - now, token: r.id << 3 | DUE });
                actions.push(send(r.id, if r.write { ORIGIN } else { 0 }));
            }
            Event::AttemptEnded { id, attempt, outcome, request_done: last, .. } => {
                self.heard.push(format!("{id}.{attempt} {outcome:?}"));
                let held = self.held.get_mut(&id).expect("an attempt of something held");
                held.1 -= 1;
                held.2 |= last;
                if !held.2 && held.0 < 6 && outcome != Outcome::Cancelled {
                    let server = if outcome == Outcome::Miss { ORIGIN } else { held.0 };
                    (held.0, held.1) = (held.0 + 1, held.1 + 1);
                    actions.push(send(id, server));
                } else if !held.2 && held.1 == 0 {
                    held.2 = true;
                    actions.push(Action::Reject { id, retry_after: 5 * MS });
                }
            }
            Event::Timer(token) => {
                let id = token >> 3;
                if let Some(held) = self.held.get_mut(&id).filter(|h| !h.2) {
                    held.2 = true;
                    actions.push(Action::Fail { id });
                }
            }
            Event::HedgeGranted(id) => {
                let held = self.held.get_mut(&id).expect("a copy of something held");
                (held.0, held.1) = (held.0 + 1, held.1 + 1);
                actions.push(send(id, 1));
            }
            _ => {}
        }
    }

    fn timer_request(&self, token: u64) -> Option<RequestId> {
        Some(token >> 3)
    }
}

/// A layer round [`Rote`], and a host that does what it says.
struct Host {
    limits: LimitsLayer<Rote>,
    now: Micros,
    actions: Vec<Action>,
    timers: Vec<(Micros, u64)>,
}

impl Host {
    fn new(text: &str) -> Host {
        let limits = LimitsLayer::new(Rote::default(), settings(), policy(text), 3, 0);
        let mut host = Host { limits, now: 0, actions: Vec::new(), timers: Vec::new() };
        let members: Vec<Endpoint> = (0..10).chain([ORIGIN]).map(|s| member(s, 0)).collect();
        host.tell(Event::EndpointList(&members));
        host
    }

    fn tell(&mut self, event: Event<'_>) -> Vec<Action> {
        self.limits.handle(self.now, event, &mut self.actions);
        let mut rest = Vec::new();
        for action in self.actions.drain(..) {
            match action {
                Action::Timer { after, token } => self.timers.push((self.now + after, token)),
                other => rest.push(other),
            }
        }
        rest
    }

    fn arrive(&mut self, id: RequestId, class: u32, wait: Micros) -> Vec<Action> {
        let request = Request {
            id,
            class: Some(class),
            tenant: None,
            key: Some(id),
            group: 0,
            write: class > 0,
            deadline: self.now + wait,
        };
        self.tell(Event::Arrived(request))
    }

    fn end(&mut self, id: RequestId, attempt: u32, outcome: Outcome, took: Micros) -> Vec<Action> {
        self.now += took;
        let last = outcome == Outcome::Ok;
        self.tell(Event::AttemptEnded { id, attempt, outcome, took: Some(took), request_done: last })
    }

    /// Fires timers up to `until`; what came of them.
    fn wait(&mut self, until: Micros) -> Vec<Action> {
        let mut all = Vec::new();
        while let Some(i) =
            (0..self.timers.len()).filter(|&i| self.timers[i].0 <= until).min_by_key(|&i| self.timers[i].0)
        {
            let (at, token) = self.timers.remove(i);
            self.now = self.now.max(at);
            all.extend(self.tell(Event::Timer(token)));
        }
        self.now = until;
        all
    }

    fn heard(&mut self) -> Vec<String> {
        std::mem::take(&mut self.limits_inner().heard)
    }

    fn limits_inner(&mut self) -> &mut Rote {
        self.limits.inner_mut()
    }
}

fn member(server: u32, started_at: Micros) -> Endpoint {
    let kind = if server == ORIGIN { 2 } else { 0 };
    Endpoint { server, kind, zone: 0, cell: 0, size: 1.0, started_at, state: ServerState::Serving }
}

fn servers(actions: &[Action]) -> Vec<u32> {
    let server = |a: &Action| if let Action::Send { server, .. } = a { Some(*server) } else { None };
    actions.iter().filter_map(server).collect()
}

fn refused(actions: &[Action]) -> Option<Micros> {
    let refused =
        |a: &Action| if let Action::Reject { retry_after, .. } = a { Some(*retry_after) } else { None };
    actions.iter().find_map(refused)
}

const READS: &str = "[[route]]\nname = 'r'\nclass = 'read'\n";

#[test]
fn an_attempt_is_given_up_after_its_time_and_shrinks_with_the_client_s() {
    let text = format!("{READS}attempt = '400ms'\nattempts = 3\ntotal = '1600ms'\n");
    let give_up = |wait: Micros| {
        let mut host = Host::new(&text);
        match host.arrive(1, 0, wait)[..] {
            [Action::Send { give_up_at, .. }] => give_up_at,
            ref other => panic!("{other:?}"),
        }
    };
    assert_eq!((give_up(2 * S), give_up(1_600 * MS)), (400 * MS, 400 * MS));
    assert_eq!(
        (give_up(800 * MS), give_up(80 * MS)),
        (200 * MS, 20 * MS),
        "a short wait has a short timetable"
    );
    // Other routes' attempts go on to the client's time.
    let mut host = Host::new(&text);
    assert_eq!(
        host.arrive(1, 2, S),
        [Action::Send { id: 1, server: ORIGIN, give_up_at: S, begin_by: Micros::MAX }]
    );
}

#[test]
fn the_whole_is_over_in_its_time() {
    let mut host = Host::new(&format!("{READS}total = '700ms'\n"));
    host.arrive(1, 0, 2 * S);
    assert_eq!(host.wait(699 * MS), []);
    assert_eq!(host.wait(700 * MS), [Action::Fail { id: 1 }]);
    host.end(1, 0, Outcome::Timeout, 0);
    assert_eq!(host.limits.left_over(), None);
}

#[test]
fn attempts_are_counted_and_numbered_as_they_are_sent() {
    let mut host = Host::new(&format!(
        "{READS}attempts = 2\nbreaker = {{ failures = 1.0, window = '3s', least = 1, open = '9s' }}\n"
    ));
    host.arrive(1, 0, 2 * S);
    // Server 0's breaker opens; the next request is withheld from it and goes to server 1 as its first attempt.
    assert_eq!(servers(&host.end(1, 0, Outcome::Reset, MS)), [1]);
    assert_eq!(servers(&host.end(1, 1, Outcome::Miss, MS)), [] as [u32; 0], "both attempts are used up");
    // Told that the rest was never sent, it goes on until it has no more to ask for, and answers.
    assert_eq!(
        host.heard(),
        ["1.0 Reset", "1.1 Miss", "1.2 NotSent", "1.3 NotSent", "1.4 NotSent", "1.5 NotSent"]
    );
    let actions = host.arrive(2, 0, 2 * S);
    assert_eq!(servers(&actions), [1]);
    host.end(2, 0, Outcome::Ok, MS);
    assert_eq!(host.heard(), ["2.0 NotSent", "2.1 Ok"], "within, it is the second attempt");
    assert_eq!(host.limits.left_over(), None);
}

#[test]
fn a_repeat_waits_and_is_not_sent_if_that_is_not_true_any_more() {
    let text = format!("{READS}backoff = {{ first = '40ms', most = '60ms', jitter = 0.0 }}\n");
    let mut host = Host::new(&text);
    host.arrive(1, 0, 2 * S);
    assert_eq!(host.end(1, 0, Outcome::Reset, MS), []);
    assert_eq!(host.wait(40 * MS), []);
    assert_eq!(servers(&host.wait(41 * MS)), [1]);
    host.end(1, 1, Outcome::Reset, MS);
    assert_eq!(servers(&host.wait(101 * MS)), [] as [u32; 0], "twice as long, but no longer than the most");
    assert_eq!(servers(&host.wait(102 * MS)), [2]);
    assert_eq!(servers(&host.end(1, 2, Outcome::Miss, MS)), [ORIGIN], "a fetch for a miss is no repeat");
    host.end(1, 3, Outcome::Ok, MS);
    // Drained while it was held back; the request answered while it was.
    host.arrive(2, 0, 2 * S);
    host.end(2, 0, Outcome::Reset, MS);
    let drained = Endpoint { state: ServerState::Draining, ..member(1, 0) };
    host.tell(Event::EndpointUpdate(&[drained]));
    assert_eq!(servers(&host.wait(host.now + 200 * MS)), [2], "the next one, after a wait of its own");
    host.end(2, 1, Outcome::Ok, MS);
    host.arrive(3, 0, 2 * S);
    host.end(3, 0, Outcome::Reset, MS);
    host.tell(Event::ClientLeft(3));
    assert_eq!(servers(&host.wait(host.now + 3 * S)), [] as [u32; 0]);
    // One whose wait would outlast the client is not begun.
    host.arrive(4, 0, 30 * MS);
    let actions = host.end(4, 0, Outcome::Reset, MS);
    assert!(refused(&actions).is_some(), "{actions:?}");
    assert_eq!((host.limits.left_over(), host.limits.metrics().delayed_retries), (None, 5));
}

#[test]
fn repeats_come_from_a_budget_of_which_some_is_left_to_others() {
    let text = "[budget.b]\nshare = 0.1\nfloor_per_s = 0\n\
        [default]\nbudget = 'b'\n[[route]]\nname = 'r'\nclass = 'read'\nbudget_leave = 0.5\n";
    let mut host = Host::new(text);
    let repeats = |host: &mut Host, ids: std::ops::Range<u64>, class: u32| -> usize {
        let mut sent = 0;
        for id in ids {
            host.arrive(id, class, 2 * S);
            // A write that was turned away never ran: it may be sent again whatever its class.
            sent += servers(&host.end(id, 0, Outcome::Rejected, MS)).len();
        }
        sent
    };
    // 100 requests bring ten tokens, of which five are left to others.
    let reads = repeats(&mut host, 1..101, 0);
    assert!((4..=5).contains(&reads), "{reads}");
    let writes = repeats(&mut host, 200..210, 2);
    assert!((5..=6).contains(&writes), "{writes}: what reads had to leave");
    assert!(host.limits.metrics().budget_exhausted > 90);
    // Misses are no repeats, whatever the budget.
    host.arrive(300, 0, 2 * S);
    assert_eq!(servers(&host.end(300, 0, Outcome::Miss, MS)), [ORIGIN]);
}

#[test]
fn a_floor_grants_repeats_in_quiet_times() {
    let text = "[budget.b]\nshare = 0.0\nfloor_per_s = 0.5\n[default]\nbudget = 'b'\n";
    let facts_text = policy(text);
    assert_eq!(facts_text.retry_budgets.len(), 1);
    let mut host = Host::new(text);
    let mut sent = 0;
    for n in 0..40 {
        host.now = n * S;
        host.arrive(n + 1, 0, 2 * S);
        sent += servers(&host.end(n + 1, 0, Outcome::Reset, 0)).len();
    }
    // Five saved up at the start, and 20 in 40 seconds; what a repeat that fails asks for again is one more.
    assert!((20..=26).contains(&sent), "{sent}");
}

#[test]
fn what_may_have_run_is_not_repeated_where_a_route_says_so() {
    let mut host = Host::new(&format!("{READS}repeat = 'never'\n"));
    host.arrive(1, 0, 2 * S);
    assert_eq!(servers(&host.end(1, 0, Outcome::Rejected, MS)), [1], "turned away, it never ran");
    let actions = host.end(1, 1, Outcome::Error, MS);
    assert!(servers(&actions).is_empty() && refused(&actions).is_some(), "{actions:?}");
}

#[test]
fn only_so_many_are_in_flight_and_a_lower_limit_lets_the_rest_run_out() {
    let limit = |n: u32| format!("{READS}concurrency = {n}\nretry_after = '70ms'\n");
    let mut host = Host::new(&limit(3));
    let admitted = |host: &mut Host, ids: std::ops::Range<u64>| -> Vec<u64> {
        ids.filter(|id| servers(&host.arrive(*id, 0, 2 * S)).len() == 1).collect()
    };
    assert_eq!(admitted(&mut host, 1..6), [1, 2, 3]);
    assert_eq!(refused(&host.arrive(9, 0, 2 * S)), Some(70 * MS));
    assert_eq!(servers(&host.arrive(10, 2, 2 * S)), [ORIGIN], "another route has room of its own");
    host.limits.reload(policy(&limit(1)), host.now);
    host.end(1, 0, Outcome::Ok, MS);
    assert_eq!(admitted(&mut host, 11..13), [] as [u64; 0], "two are still out");
    host.end(2, 0, Outcome::Ok, MS);
    host.end(3, 0, Outcome::Ok, MS);
    assert_eq!(admitted(&mut host, 13..16), [13]);
    host.end(13, 0, Outcome::Ok, MS);
    host.end(10, 0, Outcome::Ok, MS);
    assert_eq!(host.limits.left_over(), None);
}

#[test]
fn when_room_runs_out_what_is_worth_less_is_shed_first() {
    let mut host = Host::new(&format!("room = 10\n{READS}keep_free = 0.4\n"));
    let taken = |host: &mut Host, ids: std::ops::Range<u64>, class| {
        ids.filter(|id| refused(&host.arrive(*id, class, 2 * S)).is_none()).count()
    };
    assert_eq!(taken(&mut host, 0..20, 0), 6);
    assert_eq!(taken(&mut host, 20..40, 2), 4);
    assert_eq!(host.limits.metrics().requests_shed, 30);
}

/// Finding 7: what the layer itself turned away was told no time to come back, unless the file named one.
#[test]
fn a_refusal_of_the_layer_says_when_to_come_back() {
    let mut host = Host::new(&format!("room = 1\n{READS}"));
    assert_eq!(refused(&host.arrive(1, 0, 2 * S)), None);
    assert!(refused(&host.arrive(2, 0, 2 * S)).is_some_and(|after| (MS..=S).contains(&after)));
    // Once it is known how long a request takes, that is what room takes to come back.
    host.end(1, 0, Outcome::Ok, 20 * MS);
    for id in 10..100 {
        host.arrive(id, 0, 2 * S);
        host.end(id, 0, Outcome::Ok, 20 * MS);
    }
    host.arrive(200, 0, 2 * S);
    let after = refused(&host.arrive(201, 0, 2 * S));
    assert!(after.is_some_and(|after| (19 * MS..=21 * MS).contains(&after)), "{after:?}");
}

#[test]
fn an_adaptive_limit_falls_with_a_rising_latency_and_recovers() {
    let mut host = Host::new(&format!("{READS}concurrency = {{ least = 4, most = 100 }}\n"));
    // As many as it lets in are in flight at a time; each round takes `took`.
    let mut id = 0;
    let mut round = |host: &mut Host, took: Micros| {
        let first = id + 1;
        loop {
            id += 1;
            if refused(&host.arrive(id, 0, 60 * S)).is_some() {
                break;
            }
        }
        host.now += took;
        (first..id).for_each(|id| drop(host.end(id, 0, Outcome::Ok, 0)));
        id - first
    };
    let usual = (0..60).map(|_| round(&mut host, 20 * MS)).last().unwrap();
    let jammed = (0..10).map(|_| round(&mut host, 200 * MS)).last().unwrap();
    let after = (0..60).map(|_| round(&mut host, 20 * MS)).last().unwrap();
    assert!(usual > 60 && jammed < usual / 2 && jammed >= 4 && after > 60, "{usual}, {jammed}, {after}");
}

const BREAKER: &str = "breaker = { failures = 0.5, window = '2s', least = 4, open = '1s', trials = 2 }\n";

#[test]
fn a_breaker_leaves_a_failing_server_alone_and_comes_back_by_trials() {
    let mut host = Host::new(&format!("{READS}attempts = 2\n{BREAKER}"));
    for id in 1..=4 {
        host.arrive(id, 0, 60 * S);
        host.end(id, 0, Outcome::ConnectFailed, MS);
        host.end(id, 1, Outcome::Ok, MS);
    }
    assert_eq!(host.limits.breaker_openings(), 1);
    assert_eq!(servers(&host.arrive(5, 0, 60 * S)), [1], "server 0 is left alone");
    host.end(5, 0, Outcome::Ok, MS);
    // 100 proxies try again within 1 s and 4 s more, each at its own time, and one request at a time.
    host.now += 5 * S;
    assert_eq!(servers(&host.arrive(6, 0, 60 * S)), [0], "a trial");
    assert_eq!(servers(&host.arrive(7, 0, 60 * S)), [1], "no second one beside it");
    host.end(6, 0, Outcome::Ok, MS);
    assert_eq!(servers(&host.arrive(8, 0, 60 * S)), [0]);
    host.end(8, 0, Outcome::Ok, MS);
    assert_eq!(
        (servers(&host.arrive(9, 0, 60 * S)), servers(&host.arrive(10, 0, 60 * S))),
        (vec![0], vec![0])
    );
    // A reload keeps it; a trial that fails opens it again; a new start of the server closes it.
    for id in 11..=14 {
        host.arrive(id, 0, 60 * S);
        host.end(id, 0, Outcome::ConnectFailed, MS);
    }
    assert_eq!(host.limits.breaker_openings(), 2);
    host.now += 5 * S;
    assert_eq!(servers(&host.arrive(20, 0, 60 * S)), [0]);
    host.limits.reload(policy(&format!("{READS}attempts = 2\n{BREAKER}")), host.now);
    host.end(20, 0, Outcome::ConnectFailed, MS);
    assert_eq!(host.limits.breaker_openings(), 3, "reloaded in the middle of a trial");
    assert_eq!(servers(&host.arrive(21, 0, 60 * S)), [1]);
    let started = host.now;
    host.tell(Event::EndpointUpdate(&[member(0, started)]));
    assert_eq!(servers(&host.arrive(22, 0, 60 * S)), [0]);
}

/// Guards the fourth rule: breakers that opened together must not all try at once.
#[test]
fn a_hundred_proxies_do_not_try_a_server_together() {
    let mut times: Vec<Micros> = (0..100u64)
        .map(|seed| {
            let text = format!("{READS}attempts = 2\n{BREAKER}");
            let limits = LimitsLayer::new(Rote::default(), settings(), policy(&text), seed, 0);
            let mut host = Host { limits, now: 0, actions: Vec::new(), timers: Vec::new() };
            for id in 1..=4 {
                host.arrive(id, 0, 60 * S);
                host.end(id, 0, Outcome::ConnectFailed, 0);
            }
            let tries = |id: &u64| {
                host.now = id * 10 * MS;
                servers(&host.arrive(*id, 0, 60 * S)) == [0]
            };
            (10..1_000).find(tries).unwrap() * 10 * MS
        })
        .collect();
    times.sort_unstable();
    let most =
        (0..100).map(|i| times.iter().filter(|t| (times[i]..times[i] + 100 * MS).contains(t)).count()).max();
    assert!(times[0] >= S && times[99] <= 5 * S + 10 * MS, "{} to {}", times[0], times[99]);
    assert!(most.unwrap() <= 12, "{most:?} within 100 ms");
}

#[test]
fn second_copies_come_after_the_route_s_own_quantile_and_within_their_share() {
    let mut host = Host::new(&format!("{READS}copies = {{ after = 0.9, share = 0.1 }}\n"));
    for id in 1..=200 {
        host.arrive(id, 0, 2 * S);
        host.end(id, 0, Outcome::Ok, id % 10 * MS + MS);
    }
    host.timers.clear();
    let begun = host.now;
    let first: Vec<u64> = (1_000..1_100).filter(|id| servers(&host.arrive(*id, 0, 2 * S)) == [0]).collect();
    assert_eq!(first.len(), 100);
    assert_eq!(servers(&host.wait(begun + 7 * MS)), [] as [u32; 0], "nine in ten take up to 9 ms");
    let copies = servers(&host.wait(begun + 12 * MS));
    assert!((10..=20).contains(&copies.len()) && copies.iter().all(|s| *s == 1), "{copies:?}");
    assert_eq!(host.limits.metrics().hedges, copies.len() as u64);
    // Reloaded in the middle of a copy: it ends as it began.
    host.limits.reload(policy(&format!("{READS}copies = 'never'\n")), host.now);
    first.iter().for_each(|id| drop(host.end(*id, 0, Outcome::Ok, 0)));
    let late = |id: &&u64| host.limits_inner().held[*id].1 == 1;
    let out: Vec<u64> = first.iter().filter(late).copied().collect();
    assert_eq!(out.len(), copies.len());
    for id in out {
        host.tell(Event::AttemptEnded {
            id,
            attempt: 1,
            outcome: Outcome::Ok,
            took: None,
            request_done: true,
        });
    }
    assert_eq!(host.limits.left_over(), None);
    // Writes and classes that must not run twice never have one.
    host.limits.reload(policy("[default]\ncopies = 'never'\n"), host.now);
    host.arrive(5_000, 2, 2 * S);
    assert_eq!(host.wait(host.now + S), []);
}

#[test]
fn a_request_keeps_the_limits_that_it_began_with() {
    let text = |attempts| format!("{READS}attempts = {attempts}\nattempt = '300ms'\n");
    let mut host = Host::new(&text(3));
    host.arrive(1, 0, 2 * S);
    // Ten reloads a second, for a while.
    for n in 0..20 {
        host.now += 100 * MS / 20;
        host.limits.reload(policy(&text(2 + n % 2)), host.now);
    }
    assert_eq!(servers(&host.end(1, 0, Outcome::Reset, MS)), [1]);
    assert_eq!(servers(&host.end(1, 1, Outcome::Reset, MS)), [2], "three attempts, as when it began");
    host.limits.reload(policy(&text(2)), host.now);
    host.arrive(2, 0, 2 * S);
    assert_eq!(servers(&host.end(2, 0, Outcome::Reset, MS)), [1]);
    assert_eq!(servers(&host.end(2, 1, Outcome::Reset, MS)), [] as [u32; 0]);
}

/// With no file the stack is the module, action for action; with a file that limits nothing, too.
#[test]
fn no_limits_change_nothing() {
    let run = |policy: Option<Arc<Policy>>| {
        let mut stack = Stack::new(settings(), policy, 5, 0);
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(9);
        let (mut now, mut all, mut actions) = (0, Vec::new(), Vec::new());
        let members: Vec<Endpoint> = (0..6).chain([ORIGIN]).map(|s| member(s, 0)).collect();
        stack.handle(now, Event::EndpointList(&members), &mut actions);
        let mut out: Vec<(RequestId, u32)> = Vec::new();
        let mut sent: BTreeMap<RequestId, u32> = BTreeMap::new();
        for n in 1..2_000u64 {
            now += rng.random_range(0..5 * MS);
            let event = if out.is_empty() || rng.random::<f64>() < 0.5 {
                let class = rng.random_range(0..3);
                Event::Arrived(Request {
                    id: n,
                    class: Some(class),
                    tenant: None,
                    key: Some(rng.random_range(0..40)),
                    group: 0,
                    write: class > 0,
                    deadline: now + 2 * S,
                })
            } else {
                let (id, attempt) = out.swap_remove(rng.random_range(0..out.len()));
                let outcomes =
                    [Outcome::Ok, Outcome::Miss, Outcome::Rejected, Outcome::Error, Outcome::Reset];
                let outcome = outcomes[rng.random_range(0..5)];
                let last = outcome == Outcome::Ok;
                Event::AttemptEnded { id, attempt, outcome, took: Some(9 * MS), request_done: last }
            };
            stack.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                if let Action::Send { id, .. } = action {
                    let n = sent.entry(id).or_default();
                    out.push((id, *n));
                    *n += 1;
                }
                if let Action::Reject { id, .. } | Action::Fail { id } = action {
                    out.retain(|(i, _)| *i != id);
                }
                all.push(action);
            }
        }
        all
    };
    let plain = run(None);
    assert!(plain.len() > 2_000);
    assert_eq!(run(Some(policy(""))), plain);
    let brain = Router::new(settings(), 1, 0);
    assert_eq!(Decide::group(&brain, b"sheet/1"), 0);
}

/// Guards the fourth rule: random files on random days pushed a cold worker over, all others being left alone.
#[test]
fn breakers_never_leave_most_servers_alone() {
    let mut host = Host::new(&format!("{READS}{BREAKER}"));
    // Whatever is asked fails: ten workers and the origin serve, four of these may be left alone.
    for id in 1..=300 {
        let mut asked = servers(&host.arrive(id, 0, 60 * S)).len() as u32;
        let mut n = 0;
        while asked > n {
            asked += servers(&host.end(id, n, Outcome::ConnectFailed, 0)).len() as u32;
            n += 1;
        }
    }
    assert_eq!(host.limits.breaker_openings(), 4);
}

/// Sends a read to server 0, retries a failure there, and cancels that retry when the client is told to be late.
#[derive(Default)]
struct Cancelling {
    attempts: u32,
}

impl Decide for Cancelling {
    fn handle(&mut self, _: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(Request { id, .. })
            | Event::AttemptEnded { id, request_done: false, outcome: Outcome::Reset, .. } => {
                self.attempts += 1;
                actions.push(Action::Send { id, server: 0, give_up_at: 0, begin_by: Micros::MAX });
            }
            Event::AnswerNow(id) => actions.push(Action::Cancel { id, attempt: 1 }),
            _ => {}
        }
    }

    fn timer_request(&self, _: u64) -> Option<RequestId> {
        None
    }
}

/// A probe that is cancelled while a backoff delays it was never sent: the breaker may send another one.
#[test]
fn a_delayed_probe_that_is_cancelled_does_not_block_the_next_one() {
    let text = format!(
        "{READS}backoff = {{ first = '300ms', jitter = 0.0 }}\nattempts = 3\n\
        breaker = {{ failures = 1.0, window = '9s', least = 1, open = '100ms', trials = 1 }}\n"
    );
    let settings = Settings { proxies: 1, ..settings() };
    let mut limits = LimitsLayer::new(Cancelling::default(), settings, policy(&text), 3, 0);
    let mut tell = |now: Micros, event: Event<'_>| {
        let mut actions = Vec::new();
        limits.handle(now, event, &mut actions);
        actions
    };
    let arrive = |id: RequestId, due: Micros| {
        Event::Arrived(Request {
            id,
            class: Some(0),
            tenant: None,
            key: None,
            group: 0,
            write: false,
            deadline: due,
        })
    };
    let ended = |id, attempt| Event::AttemptEnded {
        id,
        attempt,
        outcome: Outcome::Reset,
        took: None,
        request_done: false,
    };
    tell(0, Event::EndpointList(&[member(0, 0), member(1, 0), member(2, 0)]));
    // The second request is out when the first one's failure opens the breaker. Its own retry comes after that is
    // over, and is the probe, which a backoff delays.
    assert_eq!(servers(&tell(0, arrive(2, 60 * S))), [0]);
    assert_eq!(servers(&tell(0, arrive(1, 60 * S))), [0]);
    assert_eq!(servers(&tell(MS, ended(1, 0))), [] as [u32; 0], "the breaker is open");
    let delayed = tell(S, ended(2, 0));
    assert!(matches!(delayed[..], [Action::Timer { .. }]), "{delayed:?}");
    assert_eq!(servers(&tell(S, arrive(3, 60 * S))), [] as [u32; 0], "its probe is delayed");
    tell(S, Event::AnswerNow(2));
    assert_eq!(servers(&tell(S, arrive(4, 60 * S))), [0], "another probe");
}
