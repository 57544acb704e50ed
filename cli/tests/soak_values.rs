//! A soak of real processes with large values, slow readers and pipelines, while connections to the servers break at random.
//!
//! `NOTCHDOOR_SOAK_SEEDS=FIRST-LAST` plays other seeds than the few of the test suite:
//! `NOTCHDOOR_SOAK_SEEDS=1-200 cargo test -p notchdoor-cli --test soak_values -- --nocapture`.

mod common;

use common::random::Random;
use common::random_faults::{Faults, FaultyLink};
use common::soak::{play_all, Played};
use common::*;
use notchdoor_proxy::wire::resp::write_command;
use notchdoor_testbed::wire::frames::Protocol;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Seeds of the test suite.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=12;
const LOAD_TIME: Duration = Duration::from_secs(5);
/// An answer that begins later than this after its deadline counts as lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
const CLIENTS: usize = 12;
/// Deadlines of reads and of writes that run at most once.
const READ_DEADLINE_MS: u64 = 1500;
const WRITE_DEADLINE_MS: u64 = 500;
const LARGE_VALUE_BYTES: [usize; 3] = [70_000, 300_000, 1_000_000];
/// Bytes per second that readers take; 0: as fast as they come.
const PACES: [usize; 3] = [0, 0, 400_000];
/// A process must end this long after SIGTERM: its stop timeout, a server that is silent, and the slowest reader.
const STOP_LIMIT: Duration = Duration::from_secs(9);

/// How often each write ran, by its id.
type Runs = Arc<Mutex<HashMap<String, usize>>>;

/// The value of a key, which names its length, for the request with this id.
fn value_for(key: &str, id: &str) -> Vec<u8> {
    let length = key.split('-').nth(1).and_then(|text| text.parse().ok()).unwrap_or(id.len());
    id.bytes().cycle().take(length).collect()
}

fn start_cache() -> FakeServer {
    FakeServer::backend(Box::new(|words| {
        let value = value_for(&words[1], &words[2]);
        hit_response(std::str::from_utf8(&value).expect("text"))
    }))
}

fn start_origin(runs: &Runs) -> FakeServer {
    let runs = Arc::clone(runs);
    FakeServer::origin(Box::new(move |request| {
        let (key, id) = (request[1].trim_start_matches('/'), &request[2]);
        if request[0] == "PUT" {
            *runs.lock().unwrap().entry(id.clone()).or_default() += 1;
            return http_response("200 OK", id);
        }
        let value = value_for(key, id);
        http_response("200 OK", std::str::from_utf8(&value).expect("text"))
    }))
}

/// A command of a client.
struct Sent {
    id: String,
    key: String,
    write: bool,
}

impl Sent {
    fn new(id: String, random: &mut Random) -> Sent {
        let write = random.chance(0.3);
        let key = match write || random.chance(0.5) {
            true => format!("small-x-{id}"),
            false => format!("large-{}-{id}", LARGE_VALUE_BYTES[random.below(LARGE_VALUE_BYTES.len())]),
        };
        Sent { id, key, write }
    }

    fn deadline(&self) -> Duration {
        Duration::from_millis(if self.write { WRITE_DEADLINE_MS } else { READ_DEADLINE_MS })
    }

    fn append_to(&self, bytes: &mut Vec<u8>) {
        let class = if self.write { "close" } else { "read" };
        let info = format!("c={class},t=acme,d={}", self.deadline().as_millis());
        let mut words: Vec<&[u8]> = vec![if self.write { b"OBJ.SET" } else { b"OBJ.GET" }];
        words.extend([self.key.as_bytes(), self.id.as_bytes(), info.as_bytes()]);
        words.extend(self.write.then_some(b"v".as_slice()));
        write_command(bytes, &words);
    }
}

/// How a command ended for its client.
enum Ending {
    /// A whole answer. Contains what is wrong with it, and when it began.
    Answered(Option<String>, Instant),
    /// The connection ended within a value.
    Truncated,
    /// The connection ended before the answer.
    Unanswered,
}

/// Reads one answer at a pace.
fn read_answer(reader: &mut BufReader<TcpStream>, sent: &Sent, pace: usize) -> Ending {
    let mut line = String::new();
    if reader.read_line(&mut line).unwrap_or(0) < 3 {
        return Ending::Unanswered;
    }
    let began = Instant::now();
    let Some(length) = line.trim().strip_prefix('$').and_then(|text| text.parse::<usize>().ok()) else {
        let wrong = (!line.starts_with('-')).then(|| format!("got {line:?}"));
        return Ending::Answered(wrong, began);
    };
    let mut value = vec![0; length + 2];
    for (n, piece) in value.chunks_mut(32 * 1024).enumerate() {
        if reader.read_exact(piece).is_err() {
            return Ending::Truncated;
        }
        if pace > 0 {
            let due = Duration::from_secs_f64((n * 32 * 1024) as f64 / pace as f64);
            std::thread::sleep(due.saturating_sub(began.elapsed()));
        }
    }
    let expected = if sent.write { sent.id.clone().into_bytes() } else { value_for(&sent.key, &sent.id) };
    let wrong = (value[..length] != expected).then(|| format!("got another value of {length} bytes"));
    Ending::Answered(wrong, began)
}

/// What a client found wrong, and how many of its commands had an answer of any form.
#[derive(Default)]
struct Found {
    wrong: Vec<String>,
    ended: usize,
    served: usize,
    truncated: usize,
}

/// Sends a pipeline and reads its answers. Returns false once the connection has ended.
fn use_connection(
    reader: &mut BufReader<TcpStream>,
    (name, pace): (&str, usize),
    random: &mut Random,
    found: &mut Found,
) -> bool {
    let length = [1, 3, 3, 6][random.below(4)];
    let pipeline: Vec<Sent> = (0..length).map(|n| Sent::new(format!("{name}n{n}"), random)).collect();
    let mut bytes = Vec::new();
    pipeline.iter().for_each(|sent| sent.append_to(&mut bytes));
    if reader.get_mut().write_all(&bytes).is_err() {
        return false;
    }
    let sent_at = Instant::now();
    let mut turn = sent_at;
    for (n, sent) in pipeline.iter().enumerate() {
        let due = turn.max(sent_at + sent.deadline()) + MAX_LATENESS;
        match read_answer(reader, sent, pace) {
            Ending::Answered(wrong, began) => {
                found.ended += 1;
                found.served += usize::from(wrong.is_none());
                found.wrong.extend(wrong.map(|wrong| format!("{}: {wrong}", sent.id)));
                if began > due {
                    found.wrong.push(format!("{}: {:?} too late", sent.id, began - due));
                }
            }
            // Only a value with nothing behind it may break off.
            Ending::Truncated if n + 1 == length => {
                found.ended += 1;
                found.truncated += 1;
                return false;
            }
            Ending::Truncated => {
                let behind = length - n - 1;
                found.wrong.push(format!("{}: broke off with {behind} commands behind it", sent.id));
                return false;
            }
            // The connection was closed before the proxy read the pipeline.
            Ending::Unanswered if n == 0 => return false,
            Ending::Unanswered => {
                found.wrong.push(format!("{}: no answer behind {n} others", sent.id));
                return false;
            }
        }
        turn = Instant::now();
    }
    random.sleep(30.0);
    true
}

fn run_client(proxy: std::net::SocketAddr, seed: u64, client: usize, done: &AtomicBool) -> Found {
    let (mut random, mut found) = (Random::new(seed * 1000 + client as u64), Found::default());
    let pace = PACES[random.below(PACES.len())];
    let mut pipelines = 0;
    while !done.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect(proxy) else { break };
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut reader = BufReader::new(stream);
        loop {
            pipelines += 1;
            let name = format!("{seed}c{client}p{pipelines}");
            if !use_connection(&mut reader, (&name, pace), &mut random, &mut found)
                || done.load(Ordering::Relaxed)
            {
                break;
            }
        }
    }
    found
}

/// Plays one seed.
fn play(seed: u64) -> Played {
    let mut random = Random::new(seed);
    let mut likely = |most: f64| most * random.below(1000) as f64 / 1000.0;
    let faults = Faults {
        copy: 0.0,
        part: 0.0,
        delay: likely(0.3),
        reset: likely(0.2),
        cut: likely(0.2),
        silence: likely(0.01),
    };
    let memory = [12, 32, 192][random.below(3)];
    let (runs, discovery) = (Runs::default(), FakeDiscovery::start());
    let (caches, origin) = ([start_cache(), start_cache(), start_cache()], start_origin(&runs));
    let mut links: Vec<FaultyLink> = (0..)
        .zip(&caches)
        .map(|(n, cache)| FaultyLink::start(cache.endpoint, Protocol::Resp, faults, seed * 10 + n))
        .collect();
    links.push(FaultyLink::start(origin.endpoint, Protocol::Http, faults, seed * 10 + 9));
    let entry = |(uid, link): (&str, &FaultyLink)| endpoint_entry_at(uid, link.endpoint, "in_service", 0);
    let list: Vec<String> = ["w0", "w1", "w2", "o"].into_iter().zip(&links).map(entry).collect();
    let settings = settings().replace(r#""quotaPerS":100.0"#, r#""quotaPerS":5000.0"#);
    let proxy = Proxy::with_files(&discovery, &list, (1024, memory), &[("settings.json", &settings)]);
    let done = Arc::new(AtomicBool::new(false));
    let clients: Vec<JoinHandle<Found>> = (0..CLIENTS)
        .map(|client| {
            let (listen, done) = (proxy.listen, Arc::clone(&done));
            std::thread::spawn(move || run_client(listen, seed, client, &done))
        })
        .collect();
    std::thread::sleep(LOAD_TIME);
    let stopped = Instant::now();
    proxy.signal("TERM");
    done.store(true, Ordering::Relaxed);
    let (exited_cleanly, log) = proxy.wait_for_exit();
    let took = stopped.elapsed();
    let found: Vec<Found> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let sum = |count: fn(&Found) -> usize| found.iter().map(count).sum::<usize>();
    let (ended, served, truncated) = (sum(|f| f.ended), sum(|f| f.served), sum(|f| f.truncated));
    let mut wrong: Vec<String> = found.into_iter().flat_map(|found| found.wrong).collect();
    wrong.extend(
        runs.lock()
            .unwrap()
            .iter()
            .filter(|(_, runs)| **runs > 1)
            .map(|(id, n)| format!("{id} ran {n} times")),
    );
    if !exited_cleanly || took > STOP_LIMIT {
        wrong.push(format!("ended {took:?} after SIGTERM, exit code 0: {exited_cleanly}"));
    }
    let taken = counter(&log, "taken") + counter(&log, "rejected");
    if taken != ended || counter(&log, "left") > 0 {
        wrong.push(format!("{taken} requests read, {ended} ended, {} left", counter(&log, "left")));
    }
    let summary = format!(
        "seed {seed}: {memory} MiB, {ended} ended, {served} answered whole, {truncated} broke off, {} held, {} resumed, \
         {} without room, stop {took:?}, {} wrong",
        counter(&log, "values_held"),
        counter(&log, "values_resumed"),
        counter(&log, "rejected_no_room") + counter(&log, "ending_no_room"),
        wrong.len()
    );
    Played { wrong, summary }
}

#[test]
fn no_command_around_a_large_value_is_lost_under_random_faults() {
    play_all(SEEDS, play);
}
