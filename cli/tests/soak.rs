//! A soak of real processes under random faults: clients use their open connections until the proxy is killed, as early as
//! the protocol page allows, after a series of signals; some runs have a crowd of idle clients.
//!
//! `NOTCHDOOR_SOAK_SEEDS=FIRST-LAST` plays other seeds than the few of the test suite:
//! `NOTCHDOOR_SOAK_SEEDS=1-60 cargo test -p notchdoor-cli --test soak -- --nocapture`.

mod common;

use common::random::Random;
use common::random_faults::{Faults, FaultyLink};
use common::recording_servers::{start_cache, start_origin, wrong_answer, Kind, Runs};
use common::soak::{play_all, Played};
use common::*;
use notchdoor_proxy::wire::resp::{write_command, Reader, Value};
use notchdoor_testbed::wire::frames::Protocol;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Seeds of the test suite.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=24;
/// How long clients send before SIGTERM.
const LOAD_TIME: Duration = Duration::from_millis(2500);
/// SIGKILL comes this long after SIGTERM, besides the longest deadline.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// An answer that is later than this after its deadline counts as lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
const CLIENTS: usize = 16;
/// The first kinds of [`Kind::ALL`], which servers neither reject nor fail.
const KINDS_WITHOUT_FAILURE: usize = 3;
/// Idle clients of a crowd.
const CROWD: usize = 200;

/// A class of the settings as a run has it.
#[derive(Clone, Copy, Debug)]
struct Class {
    name: &'static str,
    effect: &'static str,
    deadline_ms: u64,
}

/// What a seed stands for.
#[derive(Debug)]
struct Plan {
    seed: u64,
    classes: [Class; 3],
    faults: Faults,
    crowd: bool,
    /// All servers fall silent with SIGTERM.
    silent_stop: bool,
    /// Commands that a client sends at once.
    pipeline: usize,
}

impl Plan {
    fn new(seed: u64) -> Plan {
        let mut random = Random::new(seed);
        let effects = ["idempotent", "at_most_once", "deduplicated"];
        let deadlines = [[250, 250], [600, 400], [2000, 600]][random.below(3)];
        let class = |name, effect, deadline_ms| Class { name, effect, deadline_ms };
        let mut likely = |most: f64| most * random.below(1000) as f64 / 1000.0;
        let faults = Faults {
            copy: likely(0.4),
            part: likely(0.5),
            delay: likely(0.3),
            reset: likely(0.02),
            cut: likely(0.02),
            silence: likely(0.01),
        };
        Plan {
            seed,
            classes: [
                class("read", effects[random.below(3)], deadlines[0]),
                class("fix", "deduplicated", deadlines[0]),
                class("close", "at_most_once", deadlines[1]),
            ],
            faults,
            crowd: random.chance(0.3),
            silent_stop: random.chance(0.4),
            pipeline: [1, 1, 1, 6][random.below(4)],
        }
    }

    fn settings(&self) -> String {
        let [read, _, close] = self.classes;
        let dedup = r#""dedupScope":"all","dedupWindow":2000.0,"#;
        let read_dedup = if read.effect == "deduplicated" { dedup } else { "" };
        settings()
            .replace(r#""quotaPerS":100.0"#, r#""quotaPerS":5000.0"#)
            .replace(
                r#""aim":750.0,"deadline":2000.0,"effect":"idempotent","#,
                &format!(
                    r#""aim":150.0,"deadline":{}.0,{read_dedup}"effect":"{}","#,
                    read.deadline_ms, read.effect
                ),
            )
            .replace(
                r#""aim":800.0,"deadline":2000.0"#,
                &format!(r#""aim":150.0,"deadline":{}.0"#, read.deadline_ms),
            )
            .replace(
                r#""aim":300.0,"deadline":600.0"#,
                &format!(r#""aim":150.0,"deadline":{}.0"#, close.deadline_ms),
            )
    }

    fn longest_deadline(&self) -> Duration {
        let longest = self.classes.iter().map(|class| class.deadline_ms).max();
        Duration::from_millis(longest.unwrap_or_default())
    }
}

/// A request that was answered, or not.
struct Asked {
    id: String,
    class: Class,
    kind: Kind,
    sent: Instant,
    /// When the request before it on its connection was answered. Answers come in order, and the time spent waiting for
    /// earlier ones does not count.
    turn: Instant,
    answer: Option<(Value, Instant)>,
}

impl Asked {
    /// What is wrong with the answer to a request that ran so often, if anything.
    fn violation(&self, runs: usize) -> Option<String> {
        let at_most_once = self.class.effect == "at_most_once";
        let deadline = self.turn.max(self.sent + Duration::from_millis(self.class.deadline_ms));
        let wrong = match &self.answer {
            _ if at_most_once && runs > 1 => format!("ran {runs} times"),
            None => return None,
            Some((_, at)) if *at > deadline + MAX_LATENESS => format!("answered {:?} late", *at - deadline),
            Some((answer, _)) => wrong_answer(&self.id, self.kind, at_most_once, answer, runs)?,
        };
        Some(format!("{} {:?} {:?}: {wrong}", self.id, self.class, self.kind))
    }
}

/// Sends requests on one connection after another, and on an open one until it ends.
fn run_client(listen: SocketAddr, plan: &Plan, client: usize, done: &AtomicBool) -> Vec<Asked> {
    let (mut random, mut asked) = (Random::new(plan.seed * 1000 + client as u64), Vec::new());
    while !done.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect(listen) else { break };
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let (mut stream, mut reader) = (stream, Reader::default());
        while use_connection(&mut stream, &mut reader, (plan, client), &mut random, &mut asked).is_some() {}
    }
    asked
}

/// Sends some requests at once and reads their answers; `None` once the connection has ended.
fn use_connection(
    stream: &mut TcpStream,
    reader: &mut Reader,
    (plan, client): (&Plan, usize),
    random: &mut Random,
    asked: &mut Vec<Asked>,
) -> Option<()> {
    let (mut bytes, first) = (Vec::new(), asked.len());
    for _ in 0..plan.pipeline {
        let id = format!("{}c{client}n{}", plan.seed, asked.len());
        let class = plan.classes[[0, 0, 0, 1, 2][random.below(5)]];
        let kinds = if random.chance(0.05) { Kind::ALL.len() } else { KINDS_WITHOUT_FAILURE };
        let kind = Kind::ALL[random.below(kinds)];
        let write = class.name != "read" && random.chance(0.7);
        let (key, info) =
            (format!("{}{id}", kind.prefix()), format!("c={},t=acme,d={}", class.name, class.deadline_ms));
        let mut words: Vec<&[u8]> =
            vec![if write { b"OBJ.SET" } else { b"OBJ.GET" }, key.as_bytes(), id.as_bytes()];
        words.push(info.as_bytes());
        words.extend(write.then_some(b"v".as_slice()));
        write_command(&mut bytes, &words);
        let now = Instant::now();
        asked.push(Asked { id: id.clone(), class, kind, sent: now, turn: now, answer: None });
    }
    let sent = stream.write_all(&bytes);
    asked[first..].iter_mut().for_each(|request| request.sent = Instant::now());
    sent.ok()?;
    let mut buffer = [0; 4096];
    let mut turn = Instant::now();
    for request in &mut asked[first..] {
        request.turn = turn;
        let value = loop {
            if let Some(value) = reader.next_value().expect("a malformed answer") {
                break value;
            }
            let n = stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
            reader.feed(&buffer[..n]);
        };
        turn = Instant::now();
        request.answer = Some((value, turn));
    }
    random.sleep(20.0);
    Some(())
}

fn spawn_clients(proxy: &Proxy, plan: &Arc<Plan>, done: &Arc<AtomicBool>) -> Vec<JoinHandle<Vec<Asked>>> {
    (0..CLIENTS)
        .map(|client| {
            let (listen, plan, done) = (proxy.listen, Arc::clone(plan), Arc::clone(done));
            std::thread::spawn(move || run_client(listen, &plan, client, &done))
        })
        .collect()
}

/// Plays one seed.
fn play(seed: u64) -> Played {
    let (plan, runs) = (Arc::new(Plan::new(seed)), Runs::default());
    let (caches, origin) =
        ([start_cache(&runs), start_cache(&runs), start_cache(&runs)], start_origin(&runs));
    let mut links: Vec<FaultyLink> = (0..)
        .zip(&caches)
        .map(|(n, cache)| FaultyLink::start(cache.endpoint, Protocol::Resp, plan.faults, seed * 10 + n))
        .collect();
    links.push(FaultyLink::start(origin.endpoint, Protocol::Http, plan.faults, seed * 10 + 9));
    let entry = |(uid, link): (&str, &FaultyLink)| endpoint_entry_at(uid, link.endpoint, "in_service", 0);
    let list: Vec<String> = ["w0", "w1", "w2", "o"].into_iter().zip(&links).map(entry).collect();
    let discovery = FakeDiscovery::start();
    let proxy = Proxy::with_files(&discovery, &list, (1024, 192), &[("settings.json", &plan.settings())]);
    let done = Arc::new(AtomicBool::new(false));
    let clients = spawn_clients(&proxy, &plan, &done);
    let crowd: Vec<TcpStream> = match plan.crowd {
        true => (0..CROWD).filter_map(|_| TcpStream::connect(proxy.listen).ok()).collect(),
        false => Vec::new(),
    };
    std::thread::sleep(LOAD_TIME);
    for signal in ["HUP", "USR1", "HUP", "HUP"] {
        proxy.signal(signal);
    }
    std::thread::sleep(Duration::from_millis(300));
    links.iter().for_each(|link| link.silent.store(plan.silent_stop, Ordering::SeqCst));
    let kill_at = Instant::now() + plan.longest_deadline() + KILL_AFTER_DEADLINE;
    for signal in ["HUP", "TERM", "TERM", "USR1", "TERM"] {
        proxy.signal(signal);
    }
    let mut proxy = proxy;
    let mut exited = None;
    while exited.is_none() && Instant::now() < kill_at {
        exited = proxy.child.try_wait().unwrap();
        std::thread::sleep(Duration::from_millis(2));
    }
    if exited.is_none() {
        proxy.child.kill().unwrap();
    }
    let left = kill_at.saturating_duration_since(Instant::now());
    done.store(true, Ordering::Relaxed);
    let (_, log) = proxy.wait_for_exit();
    let asked: Vec<Asked> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    drop(crowd);
    links.iter().for_each(|link| link.in_progress.wait_until_idle());
    let runs = runs.lock().unwrap().clone();
    let runs_of = |request: &Asked| runs.get(&request.id).copied().unwrap_or(0);
    let mut wrong: Vec<String> =
        asked.iter().filter_map(|request| request.violation(runs_of(request))).collect();
    let answers = asked.iter().filter(|request| request.answer.is_some()).count();
    match exited {
        None => wrong.push("had not ended when it was killed".to_owned()),
        Some(status) if !status.success() => wrong.push(format!("ended with {status}")),
        Some(_) => {
            let read = counter(&log, "taken") + counter(&log, "rejected");
            if read != answers || counter(&log, "left") > 0 {
                wrong.push(format!(
                    "{read} requests read, {answers} answered, {} left",
                    counter(&log, "left")
                ));
            }
        }
    }
    let served = asked.iter().filter(|request| matches!(request.answer, Some((Value::Bulk(_), _)))).count();
    let copies: usize = links.iter().map(|link| link.copies.load(Ordering::Relaxed)).sum();
    let summary = format!(
        "seed {seed}: read {}, longest deadline {:?}, {} asked, {answers} answered, {served} served, {copies} copies, \
         crowd {}, silent stop {}, pipeline {}, ended {left:?} before the kill, {} wrong",
        plan.classes[0].effect,
        plan.longest_deadline(),
        asked.len(),
        plan.crowd,
        plan.silent_stop,
        plan.pipeline,
        wrong.len()
    );
    Played { wrong, summary }
}

#[test]
fn no_request_is_lost_repeated_or_given_a_reply_of_another_under_random_faults() {
    play_all(SEEDS, play);
}
