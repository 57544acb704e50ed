//! Every fault at every stage of a request, through the real proxy and module: events are fed at chosen times, no
//! socket is open. docs/audit-findings.md has the table that names these cells.

use notchdoor::*;
use notchdoor_limits::policy_file::{parse, PolicyContext};
use notchdoor_proxy::outcome::{AttemptOutcome, DiscoveryEnd};
use notchdoor_proxy::proxy::{Answer, AttemptId, AttemptReply, ClientRequest, Command, Proxy, ReplySlot};
use notchdoor_proxy::state::endpoints::{server_id, Target, Update};
use notchdoor_proxy::state::time::{ClockReading, UnixMicros};
use notchdoor_settings::{DeploymentNames, Readiness};
use std::collections::BTreeMap;
use std::sync::Arc;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const START: Micros = 1_800_000_000 * S;
const CLOCKS: ClockReading = ClockReading { monotonic: START, wall: UnixMicros(START) };
const CLASSES: [&str; 3] = ["read", "fix", "close"];
const WORKERS: [&str; 4] = ["w0", "w1", "w2", "w3"];
/// What well-behaved peers take over an answer.
const QUICK: Micros = 5 * MS;

/// One way in which decisions or the proxy could be wrong; the checks have to notice each.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    No,
    AnswersTwice,
    NeverAnswers,
    AnswersLate,
    RepeatsWrites,
    RefusesWhatRan,
    RefusesInSilence,
    HoldsBack,
    IgnoresDrains,
    Stampedes,
    LosesCancels,
}

/// A request's number and its class.
type Call = (u64, usize);

struct Sent {
    call: Call,
    server: ServerId,
    at: Micros,
    ended: Option<AttemptOutcome>,
}

struct Asked {
    class: usize,
    at: Micros,
    due: Micros,
    left: bool,
    /// Since when nothing is out for it and it waits for nobody's fetch.
    idle: Option<Micros>,
    answers: Vec<(Micros, Answer)>,
}

struct Day {
    proxy: Proxy<Call>,
    broken: Broken,
    now: Micros,
    sent: Vec<Sent>,
    out: BTreeMap<AttemptId, (usize, Micros)>,
    asked: BTreeMap<u64, Asked>,
    unwanted: BTreeMap<ServerId, Micros>,
    newest: Option<ServerId>,
    held_back: Vec<(u64, Answer)>,
    /// A request that is over, and still has a backend at work.
    stray: Option<u64>,
    /// The longest that a request may have nothing out and no answer.
    patience: Micros,
    rev: u64,
    home: ServerId,
}

fn target(uid: &str, state: Readiness, boot: Micros) -> Target {
    Target {
        uid: uid.into(),
        endpoint: "127.0.0.1:1".into(),
        az: String::new(),
        model: if uid == "o" { "origin" } else { "std" }.into(),
        pod_group: 0,
        state,
        capacity_hint: 1.0,
        boot_ms: boot as f64 / 1e3,
    }
}

fn answered(ending: AttemptOutcome) -> bool {
    matches!(
        ending,
        AttemptOutcome::Served | AttemptOutcome::Missed | AttemptOutcome::Errored | AttemptOutcome::Rejected
    )
}

impl Day {
    fn new(broken: Broken, policy: Option<&str>) -> Day {
        let class = |aim, effect| Class {
            latency_objective: aim * MS,
            priority_weight: 1.0,
            late_value_share: 0.5,
            effect,
            window_share: 1.0,
        };
        let settings = Settings {
            proxies: 1,
            classes: vec![
                class(750, Effect::Idempotent),
                class(800, Effect::Deduplicated { scope: Scope::All, window: 2 * S }),
                class(300, Effect::AtMostOnce),
            ],
            tenants: vec![],
            over_quota_weight: 0.05,
            origin_kind: Some(1),
            discovery: Discovery::OnRequest { poll_interval: 10 * S },
            sizes_vary_with_load: false,
            max_attempts: 3,
            hedging: true,
            may_cancel: true,
            max_retry_after: S,
            max_in_flight: 1_000,
            initial_capacity_share: 0.31,
            warmup: 8_100 * MS,
            overload_multiple: 4.0,
            overload_window: 2 * S,
        };
        let names = DeploymentNames {
            classes: CLASSES.map(str::to_owned).to_vec(),
            kinds: vec!["std".into(), "origin".into()],
            ..DeploymentNames::default()
        };
        let facts = PolicyContext {
            settings: settings.clone(),
            classes: names.classes.clone(),
            deadlines: vec![2 * S, 2 * S, 600 * MS],
            tenants: vec![],
        };
        let policy = policy.map(|text| Arc::new(parse("policy", text, &facts).expect("a good file")));
        let mut day = Day {
            proxy: Proxy::new(settings, names, policy, 7, CLOCKS),
            broken: Broken::No,
            now: START,
            sent: vec![],
            out: BTreeMap::new(),
            asked: BTreeMap::new(),
            unwanted: BTreeMap::new(),
            newest: None,
            held_back: vec![],
            stray: None,
            patience: 10 * MS,
            rev: 0,
            home: 0,
        };
        let all = WORKERS.iter().chain(["o"].iter());
        day.tell(true, all.map(|uid| target(uid, Readiness::InService, 0)).collect());
        // The home of the key that the cells are about.
        day.ask(1, 0, "k", 2 * S);
        day.home = day.sent[0].server;
        day.run(10 * S, |_| Some(AttemptOutcome::Served));
        day.broken = broken;
        day
    }

    fn tell(&mut self, all: bool, targets: Vec<Target>) {
        self.rev += 1;
        for t in &targets {
            let server = server_id(&t.uid);
            match t.state {
                Readiness::InService => _ = self.unwanted.remove(&server),
                _ => _ = self.unwanted.entry(server).or_insert(self.now),
            }
            if t.boot_ms > 0.0 {
                self.newest = Some(server);
            }
        }
        self.proxy.update(self.now, Update { rev: self.rev, all, targets });
        self.settle();
    }

    fn home_is(&mut self, state: Readiness, boot: Micros) {
        let uid = WORKERS.iter().find(|uid| server_id(uid) == self.home).expect("a worker");
        self.tell(false, vec![target(uid, state, boot)]);
    }

    fn ask(&mut self, n: u64, class: usize, key: &str, wait: Micros) {
        let due = self.now + wait;
        let asked = Asked { class, at: self.now, due, left: false, idle: None, answers: vec![] };
        self.asked.insert(n, asked);
        let taken = ClientRequest {
            id: n.to_string().into_bytes(),
            place: ReplySlot { connection: 1, sequence: n },
            class: CLASSES[class].into(),
            tenant: String::new(),
            key: key.into(),
            write: class > 0,
            due,
            call: (n, class),
        };
        self.proxy.taken(self.now, taken).expect("taken");
        self.settle();
    }

    fn leave(&mut self, n: u64) {
        self.asked.get_mut(&n).expect("asked").left = true;
        self.proxy.left(self.now, ReplySlot { connection: 1, sequence: n });
        self.settle();
    }

    /// Takes down what the proxy wants done, or what a broken one would.
    fn settle(&mut self) {
        for command in self.proxy.take_commands() {
            match command {
                Command::StartAttempt { attempt_id, server, call, give_up_at, .. } => {
                    let server = match self.broken {
                        Broken::IgnoresDrains if !self.unwanted.is_empty() => self.home,
                        Broken::Stampedes if call.1 == 0 => self.newest.unwrap_or(server),
                        _ => server,
                    };
                    self.out.insert(attempt_id, (self.sent.len(), give_up_at));
                    self.sent.push(Sent { call: *call, server, at: self.now, ended: None });
                }
                Command::Cancel(_) if self.broken == Broken::LosesCancels => {}
                Command::Cancel(attempt_id) => {
                    let (i, _) = self.out.remove(&attempt_id).expect("out");
                    self.sent[i].ended = Some(AttemptOutcome::Cancelled);
                }
                Command::Answer(ReplySlot { sequence: n, .. }, answer) => match (self.broken, answer) {
                    (Broken::NeverAnswers, _) => {}
                    (Broken::HoldsBack | Broken::AnswersLate, Answer::Served(v)) => {
                        self.answer(n, Answer::Served(v));
                    }
                    (Broken::HoldsBack | Broken::AnswersLate, other) => self.held_back.push((n, other)),
                    (Broken::RefusesInSilence, Answer::Refused { .. }) => {
                        self.answer(n, Answer::Refused { retry_after: 0 });
                    }
                    (Broken::RefusesWhatRan, Answer::Failed) => {
                        self.answer(n, Answer::Refused { retry_after: MS });
                    }
                    (Broken::AnswersTwice, answer) => {
                        self.answer(n, answer.clone());
                        self.answer(n, answer);
                    }
                    (_, answer) => self.answer(n, answer),
                },
                Command::Watch | Command::DropConnections(_) => {}
            }
        }
        let over = |n: &u64| self.asked[n].left || !self.asked[n].answers.is_empty();
        let at_work = |s: &&Sent| s.ended.is_none() && s.server != server_id("o");
        let stray = self.sent.iter().filter(at_work).map(|s| s.call.0).find(over);
        self.stray = self.stray.or(stray);
        let fetching = self.sent.iter().any(|s| s.ended.is_none() && s.server == server_id("o"));
        for (n, asked) in self.asked.iter_mut().filter(|(_, a)| a.answers.is_empty()) {
            let out = self.sent.iter().any(|s| s.call.0 == *n && s.ended.is_none());
            asked.idle = if out || fetching { None } else { asked.idle.or(Some(self.now)) };
        }
    }

    fn answer(&mut self, n: u64, answer: Answer) {
        self.asked.get_mut(&n).expect("asked").answers.push((self.now, answer));
    }

    fn end(&mut self, attempt_id: AttemptId, ending: AttemptOutcome) {
        let (i, _) = self.out.remove(&attempt_id).expect("out");
        self.sent[i].ended = Some(ending);
        let value = (ending == AttemptOutcome::Served).then(|| b"v".to_vec());
        let took = answered(ending).then(|| self.now - self.sent[i].at);
        self.proxy.ended(self.now, attempt_id, ending, AttemptReply { value, took, waited: None });
        self.settle();
        let call = self.sent[i].call;
        if self.broken == Broken::RepeatsWrites && call.1 > 0 && ending != AttemptOutcome::Served {
            self.sent.push(Sent { call, server: server_id("o"), at: self.now, ended: Some(ending) });
        }
    }

    /// Lets time pass. Peers do as `way` says, after a moment; one that says nothing is given up on.
    fn run(&mut self, time: Micros, way: impl Fn(&Sent) -> Option<AttemptOutcome>) {
        let until = self.now + time;
        loop {
            let ends = |(d, (i, give_up_at)): (&AttemptId, &(usize, Micros))| {
                let sent = &self.sent[*i];
                match way(sent).filter(|_| sent.at + QUICK < *give_up_at) {
                    Some(ending) => (sent.at + QUICK, Some((*d, ending))),
                    None => (*give_up_at, Some((*d, AttemptOutcome::TimedOutSent))),
                }
            };
            let ended = self.out.iter().map(ends);
            let due = self.proxy.next_due().map(|due| (due, None));
            let back = self.held_back.first().map(|(n, _)| {
                let late = if self.broken == Broken::AnswersLate { 100 * MS } else { 0 };
                (self.asked[n].due + late, None)
            });
            let next = ended.chain(due).chain(back).min_by_key(|(at, _)| *at).filter(|(at, _)| *at <= until);
            let Some((at, what)) = next else { break };
            self.now = self.now.max(at);
            if back.is_some_and(|(due, _)| due <= self.now) {
                let (n, answer) = self.held_back.remove(0);
                self.answer(n, answer);
            }
            match what {
                Some((attempt_id, ending)) => self.end(attempt_id, ending),
                None => {
                    self.proxy.tick(self.now);
                    self.settle();
                }
            }
        }
        self.now = until;
    }

    /// What a request has out.
    fn out_of(&self, n: u64) -> Vec<AttemptId> {
        self.out.iter().filter(|(_, (i, _))| self.sent[*i].call.0 == n).map(|(d, _)| *d).collect()
    }

    /// Every rule, at the end of a cell; the first that is broken.
    fn check(&self) -> Result<(), String> {
        for (n, a) in &self.asked {
            if a.answers.len() != usize::from(!a.left) {
                return Err(format!("{n}: {} answers", a.answers.len()));
            }
            let sends: Vec<&Sent> = self.sent.iter().filter(|s| s.call.0 == *n).collect();
            let ran = |s: &&&Sent| s.ended.is_none_or(|e| !e.outcome().never_ran());
            let risks: Vec<&Sent> = sends.iter().filter(ran).copied().collect();
            if let (2, Some(first)) = (a.class, risks.first()) {
                if sends.iter().any(|s| s.at > first.at || risks.len() > 1) {
                    return Err(format!("{n}: a write that may have run is sent again"));
                }
            }
            if let (1, Some(first)) = (a.class, risks.first()) {
                if sends.iter().any(|s| s.at >= first.at + 2 * S) {
                    return Err(format!("{n}: repeated after its window"));
                }
            }
            if sends.len() > 3 {
                return Err(format!("{n}: {} attempts", sends.len()));
            }
            let Some((at, answer)) = a.answers.first() else { continue };
            if *at > a.due {
                return Err(format!("{n}: answered {} us late", at - a.due));
            }
            match answer {
                Answer::Served(_) if !sends.iter().any(|s| s.ended == Some(AttemptOutcome::Served)) => {
                    return Err(format!("{n}: served by nobody"));
                }
                Answer::Refused { .. } if a.class == 2 && !risks.is_empty() => {
                    return Err(format!("{n}: refused though it may have run"));
                }
                Answer::Refused { retry_after } if *retry_after < MS => {
                    return Err(format!("{n}: refused without a word on when to come back"));
                }
                _ => {}
            }
            if a.idle.is_some_and(|since| *at > since.max(a.at) + self.patience) {
                return Err(format!("{n}: given up and answered {} us later", at - a.idle.unwrap_or(0)));
            }
        }
        if let Some(n) = self.stray {
            return Err(format!("{n}: over, and not called off"));
        }
        for s in &self.sent {
            if self.unwanted.get(&s.server).is_some_and(|told| s.at > told + S) {
                return Err(format!("{}: sent to a drained worker", s.call.0));
            }
        }
        if let Some(new) = self.newest {
            let reads: Vec<&Sent> = self.sent.iter().filter(|s| s.call.0 >= 1_000).collect();
            let cold = reads.iter().filter(|s| s.server == new).count();
            if cold * 6 > reads.len() {
                return Err(format!("a cold worker was sent {cold} of {}", reads.len()));
            }
        }
        self.proxy.left_over().map_or(Ok(()), Err)
    }
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Out at its backend: connecting, half written, written or half answered, as the ending says.
    AtWorker,
    /// Missed, and the fetch is out.
    Fetching,
    /// It waits for another's fetch of its key.
    Waiting,
    /// Its backend is silent and a second copy is out.
    Copied,
    /// Its backend has failed, and the layer holds the next attempt back for a moment.
    Between,
    /// A keyed write, and one that must not be repeated, out at the origin.
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Ends(AttemptOutcome),
    Leaves,
    /// Nobody answers any more.
    Silence,
    OriginStops,
    Drains,
    Goes,
    Restarts,
    RegistryLost,
    RegistryStale,
}

/// What can happen whether anything is out or not.
fn faults() -> Vec<Fault> {
    let of_request = [Fault::Leaves, Fault::Silence, Fault::OriginStops];
    let of_list = [Fault::Drains, Fault::Goes, Fault::Restarts, Fault::RegistryLost, Fault::RegistryStale];
    of_request.into_iter().chain(of_list).collect()
}

fn cells() -> Vec<(Stage, Fault)> {
    use AttemptOutcome::*;
    let unsent = [ConnectRefused, ConnectTimedOut, BrokenUnsent, TimedOutUnsent, NotSent];
    let sent = [BrokenSent, Garbled, NoCapacity, Errored, Rejected];
    let ends = unsent.into_iter().chain(sent).map(Fault::Ends);
    let all: Vec<Fault> = ends.chain(faults()).collect();
    let stages =
        [Stage::AtWorker, Stage::Fetching, Stage::Waiting, Stage::Copied, Stage::Keyed, Stage::Unsafe];
    let mut cells: Vec<_> = stages.iter().flat_map(|s| all.iter().map(move |f| (*s, *f))).collect();
    let waits = faults().into_iter().map(|f| (Stage::Between, f));
    cells.extend(waits);
    cells.push((Stage::AtWorker, Fault::Ends(Missed)));
    cells.push((Stage::Copied, Fault::Ends(Missed)));
    cells
}

/// Plays one cell and says what rule was broken, if any.
fn play((stage, fault): (Stage, Fault), broken: Broken) -> Result<(), String> {
    // Second copies are a layer's to grant, once it knows how long reads take.
    let route = "[[route]]\nname = 'r'\nclass = 'read'\n";
    let policy = match stage {
        Stage::Copied => Some(format!("{route}copies = {{ after = 0.5, share = 0.5 }}\n")),
        Stage::Between => Some(format!("{route}backoff = {{ first = '100ms', most = '100ms' }}\n")),
        _ => None,
    };
    let mut day = Day::new(broken, policy.as_deref());
    // A wait that a layer asks for is no answer held back.
    day.patience = if stage == Stage::Between { 110 * MS } else { 10 * MS };
    let class = match stage {
        Stage::Keyed => 1,
        Stage::Unsafe => 2,
        _ => 0,
    };
    if matches!(stage, Stage::Waiting | Stage::Copied) {
        // Among so many the key is no hot one, which would be read elsewhere too.
        for n in 100..160 {
            day.ask(n, 0, &format!("x{n}"), 2 * S);
            day.run(10 * MS, |_| Some(AttemptOutcome::Served));
        }
    }
    if stage == Stage::Waiting {
        day.ask(10, 0, "k", 2 * S);
        let first = day.out_of(10)[0];
        day.end(first, AttemptOutcome::Missed);
    }
    day.ask(11, class, "k", if class == 2 { 600 * MS } else { 2 * S });
    match stage {
        Stage::Fetching => {
            let first = day.out_of(11)[0];
            day.end(first, AttemptOutcome::Missed);
        }
        Stage::Copied => day.run(20 * MS, |_| None),
        Stage::Between => {
            let first = day.out_of(11)[0];
            day.end(first, AttemptOutcome::Errored);
        }
        _ => {}
    }
    let wanted = match stage {
        Stage::Waiting | Stage::Between => 0,
        Stage::Copied => 2,
        _ => 1,
    };
    assert_eq!(day.out_of(11).len(), wanted, "{stage:?} is not reached");
    day.now += QUICK / 2;
    let (mut silent, mut stopped) = (false, false);
    match fault {
        // Whom it waits for is who has something out.
        Fault::Ends(ending) => {
            let n = if stage == Stage::Waiting { 10 } else { 11 };
            let first = day.out_of(n)[0];
            day.end(first, ending);
        }
        Fault::Leaves => day.leave(11),
        Fault::Silence => silent = true,
        Fault::OriginStops => stopped = true,
        Fault::Drains => day.home_is(Readiness::Terminating, 0),
        Fault::Goes => day.home_is(Readiness::Terminated, 0),
        Fault::Restarts => {
            let now = day.now;
            day.home_is(Readiness::InService, now);
        }
        Fault::RegistryLost => {
            day.proxy.discovery_failed(day.now, DiscoveryEnd::Silent);
            day.settle();
        }
        Fault::RegistryStale => {
            let rev = std::mem::replace(&mut day.rev, 0);
            day.tell(false, vec![target("w9", Readiness::InService, 0)]);
            day.rev = rev;
        }
    }
    let origin = server_id("o");
    day.run(2 * S + S / 2, |s| match () {
        () if silent => None,
        () if stopped && s.server == origin => Some(AttemptOutcome::ConnectRefused),
        () => Some(AttemptOutcome::Served),
    });
    // What comes next is served, at the same backend too: at once or, where a balancer that asks so seldom took two
    // silent backends for a jam of all, within a second.
    for n in 0..120 {
        day.ask(1_000 + n, 0, &format!("k{n}"), 2 * S);
        day.run(10 * MS, |_| Some(AttemptOutcome::Served));
    }
    day.run(3 * S, |_| Some(AttemptOutcome::Served));
    let served = |a: &Asked| matches!(a.answers.first(), Some((_, Answer::Served(_))));
    let unserved = day.asked.range(1_080..).filter(|(_, a)| !served(a)).count();
    if unserved > 0 && broken == Broken::No {
        return Err(format!("{unserved} of those that came later were not served"));
    }
    day.check()
}

#[test]
fn every_fault_at_every_stage_keeps_the_rules_and_leaves_nothing() {
    let broken: Vec<String> = cells()
        .into_iter()
        .filter_map(|cell| play(cell, Broken::No).err().map(|why| format!("{cell:?}: {why}")))
        .collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn a_broken_proxy_is_caught() {
    for (broken, told) in [
        (Broken::AnswersTwice, "2 answers"),
        (Broken::NeverAnswers, "0 answers"),
        (Broken::AnswersLate, " us late"),
        (Broken::RepeatsWrites, "is sent again"),
        (Broken::RefusesWhatRan, "refused though it may have run"),
        (Broken::RefusesInSilence, "without a word"),
        (Broken::HoldsBack, "given up and answered"),
        (Broken::IgnoresDrains, "to a drained worker"),
        (Broken::Stampedes, "a cold worker was sent"),
        (Broken::LosesCancels, "not called off"),
    ] {
        let caught: Vec<String> = cells().into_iter().filter_map(|cell| play(cell, broken).err()).collect();
        assert!(caught.iter().any(|why| why.contains(told)), "{broken:?} is not caught: {caught:?}");
    }
}
