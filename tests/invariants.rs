//! The rules of the proxy as properties, over random but fixed sequences of events.

mod common;
use common::*;
use notchdoor::*;
use std::collections::BTreeMap;

struct Rng(u64);

impl Rng {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

enum Due {
    Timer(u64),
    AttemptEnded { id: RequestId, attempt: u32, outcome: Outcome, sent_at: Micros },
}

/// How attempts end: a hit and a miss are three times as likely as each failure.
const OUTCOMES: [Outcome; 11] = [
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Miss,
    Outcome::Miss,
    Outcome::Miss,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
];

struct SeenAttempt {
    server: ServerId,
    sent_at: Micros,
    /// Known once it has ended.
    outcome: Option<Outcome>,
}

impl SeenAttempt {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

struct Seen {
    class: usize,
    deadline: Micros,
    answered: bool,
    attempts: Vec<SeenAttempt>,
}

/// A simulated fleet that keeps what the rules speak of and asserts them at each action.
struct World {
    settings: Settings,
    router: Router,
    rng: Rng,
    now: Micros,
    queue: BTreeMap<(Micros, u64), Due>,
    serial: u64,
    seen: BTreeMap<RequestId, Seen>,
    states: BTreeMap<ServerId, ServerState>,
    answers: u32,
}

impl World {
    fn new(seed: u64) -> Self {
        let list = endpoints(6);
        let states = list.iter().map(|m| (m.server, m.state)).collect();
        World {
            settings: settings(),
            router: router(settings(), &list),
            rng: Rng(seed),
            now: START,
            queue: BTreeMap::new(),
            serial: 0,
            seen: BTreeMap::new(),
            states,
            answers: 0,
        }
    }

    fn feed(&mut self, event: Event<'_>) {
        for action in handle(&mut self.router, self.now, event) {
            self.check(action);
        }
    }

    fn push(&mut self, at: Micros, due: Due) {
        self.serial += 1;
        self.queue.insert((at, self.serial), due);
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send { id, server, give_up_at, .. } => self.check_send(id, server, give_up_at),
            Action::Reject { id, .. } => {
                let seen = &self.seen[&id];
                let risky = seen.attempts.iter().any(SeenAttempt::may_have_run);
                let allowed = match self.settings.classes[seen.class].effect {
                    Effect::Idempotent | Effect::Deduplicated { scope: Scope::All, .. } => true,
                    _ => !risky,
                };
                assert!(allowed, "effects: refused what may have run");
                self.answer(id);
            }
            Action::Fail { id } => self.answer(id),
            Action::Timer { after, token } => self.push(self.now + after, Due::Timer(token)),
            Action::Cancel { .. } | Action::Watch => {}
        }
    }

    fn check_send(&mut self, id: RequestId, server: ServerId, give_up_at: Micros) {
        let now = self.now;
        assert_eq!(
            self.states[&server],
            ServerState::Serving,
            "drains: sent to a server that does not serve any more"
        );
        let seen = self.seen.get_mut(&id).expect("sent for an unknown request");
        assert!(!seen.answered, "answers: sent after the final answer");
        assert!(give_up_at <= seen.deadline);
        assert_may_send(&self.settings, seen, server, now);
        seen.attempts.push(SeenAttempt { server, sent_at: now, outcome: None });
        let attempt = seen.attempts.len() as u32 - 1;
        let mut outcome = OUTCOMES[self.rng.below(OUTCOMES.len() as u64) as usize];
        if server == ORIGIN && outcome == Outcome::Miss {
            outcome = Outcome::Ok;
        }
        let took = 1 + self.rng.below(900 * MS);
        let at = if outcome == Outcome::Timeout { give_up_at } else { (now + took).min(give_up_at) };
        let outcome = if at == give_up_at { Outcome::Timeout } else { outcome };
        self.push(at, Due::AttemptEnded { id, attempt, outcome, sent_at: now });
    }

    fn answer(&mut self, id: RequestId) {
        let seen = self.seen.get_mut(&id).expect("answered an unknown request");
        assert!(!seen.answered, "answers: two final answers");
        assert!(self.now <= seen.deadline, "answers: too late");
        seen.answered = true;
        self.answers += 1;
    }

    /// Everything that falls due before `until`.
    fn run(&mut self, until: Micros) {
        while let Some((&(at, serial), _)) = self.queue.iter().next().filter(|(k, _)| k.0 <= until) {
            self.now = at;
            match self.queue.remove(&(at, serial)).expect("just seen") {
                Due::Timer(token) => self.feed(Event::Timer(token)),
                Due::AttemptEnded { id, attempt, outcome, sent_at } => {
                    let seen = self.seen.get_mut(&id).expect("sent for it");
                    seen.attempts[attempt as usize].outcome = Some(outcome);
                    if outcome == Outcome::Ok && !seen.answered {
                        seen.answered = true;
                        self.answers += 1;
                    }
                    let request_done = seen.answered;
                    let took = Some(at - sent_at);
                    self.feed(Event::AttemptEnded { id, attempt, outcome, took, request_done });
                }
            }
        }
        self.now = until;
    }
}

fn assert_may_send(settings: &Settings, seen: &Seen, server: ServerId, now: Micros) {
    assert!(seen.attempts.len() < settings.max_attempts as usize, "more attempts than allowed");
    let Some(risk) = seen.attempts.iter().find(|attempt| attempt.may_have_run()) else { return };
    match settings.classes[seen.class].effect {
        Effect::Idempotent => {}
        Effect::AtMostOnce => panic!("effects: an unsafe request sent again"),
        Effect::Deduplicated { scope, window } => {
            assert!(now < risk.sent_at + window, "effects: sent again after the window");
            let same = match scope {
                Scope::All => true,
                Scope::Zone => endpoint(server).zone == endpoint(risk.server).zone,
                Scope::Cell => endpoint(server).cell == endpoint(risk.server).cell,
            };
            assert!(same, "effects: sent again outside the group");
        }
    }
}

fn random_world(seed: u64) -> World {
    let mut world = World::new(seed);
    for id in 1..=1500 {
        let until = world.now + world.rng.below(20 * MS);
        world.run(until);
        if world.rng.below(60) == 0 {
            let server = world.rng.below(6) as u32;
            let states = [ServerState::Serving, ServerState::Draining, ServerState::Gone];
            let state = states[world.rng.below(3) as usize];
            world.states.insert(server, state);
            world.feed(Event::EndpointUpdate(&[Endpoint { state, ..endpoint(server) }]));
        }
        let class = world.rng.below(4) as usize;
        let deadline = world.now + world.rng.below(1500 * MS);
        let write = class > 0 && world.rng.below(2) == 0;
        world.seen.insert(id, Seen { class, deadline, answered: false, attempts: vec![] });
        let request = Request {
            class: Some(class as u32),
            write,
            deadline,
            key: (world.rng.below(20) > 0).then(|| key_hash(&[world.rng.below(40) as u8])),
            ..read(id, 0, world.now)
        };
        world.feed(Event::Arrived(request));
    }
    let end = world.now + 3 * S;
    world.run(end);
    world
}

#[test]
fn every_request_gets_one_answer_in_time_and_no_effect_twice_and_drains_are_kept() {
    let mut longest = 0;
    for seed in 0..40 {
        let world = random_world(seed);
        assert_eq!(world.answers, 1500, "answers: a request was lost (seed {seed})");
        longest = longest.max(world.seen.values().map(|s| s.attempts.len()).max().unwrap_or(0));
    }
    assert_eq!(longest, 3, "the sequences are too tame to show anything");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let trace = |seed| -> Vec<(usize, bool)> {
        random_world(seed).seen.values().map(|s| (s.attempts.len(), s.answered)).collect()
    };
    assert_eq!(trace(3), trace(3));
    assert_ne!(trace(3), trace(4));
}
