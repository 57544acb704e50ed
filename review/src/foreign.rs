//! Second answers that come some milliseconds late, over links between data rooms.
//!
//! Cache nodes hold every sheet. With the disruption, some of their answers are followed by a second copy, some
//! milliseconds later and only where nothing else waits on the connection. Every client checks that the value is the one
//! that a cache node made for its own request.

mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::{Duration, Instant};

const RUN_FOR: Duration = Duration::from_secs(80);
const NODES: usize = 12;
const CLIENTS: usize = 40;
/// Requests a second, over all clients.
const RATE: f64 = 320.0;
/// One way between data rooms, milliseconds: each link has its own time, and jitter of up to 0.34 of it on top, so that
/// every piece takes 8.4 to 16 ms (`cross_ms` and `jitter` of the site file).
const LINK_MS: (f64, f64) = (8.4, 11.9);
const JITTER: f64 = 0.34;
/// How late a second answer is sent, milliseconds, and the share of answers that have one.
const LATE_MS: (f64, f64) = (3.0, 7.0);
const SECOND_SHARE: f64 = 0.15;
const WORK_MS: (f64, f64) = (2.0, 6.0);

fn main() {
    let case = Case::from_args();
    let record = case.record.clone();
    let seconds: Count = Arc::new(AtomicU64::new(0));
    let mut targets = Vec::new();
    let zones = ["zona-4", "mixco", "escuintla", "xela"];
    for n in 0..NODES {
        let node = start_node(n, case.trouble, record.clone(), Arc::clone(&seconds));
        // The proxy stands in xela; a node there is near.
        let zone = zones[n % zones.len()];
        let base = Random(4000 + n as u64).between(LINK_MS.0, LINK_MS.1);
        let link = if zone == "xela" { (0.1, 0.13) } else { (base, base * (1.0 + JITTER)) };
        let relay = Relay::start(node, link, 1000 * n as u64);
        targets.push(Target {
            uid: format!("s-{n}"),
            endpoint: relay.address,
            zone: zone.to_owned(),
            model: "std".to_owned(),
            state: "in_service",
            boot_ms: 0,
        });
    }
    let discovery = Discovery::start(targets.clone());
    let listen = free_address();
    let config = write_config(&case, "n0", listen, discovery.address, (192, 1024), &targets, &settings(4));
    let variables = [("EDGE_CONFIG", config.display().to_string())];
    let _proxy = Process::start(&case, "n0", &case.run_command(), &variables);
    wait_ready(&case, listen, Duration::from_secs(30));
    let (results, outcomes) = mpsc::channel();
    let until = Instant::now() + RUN_FOR;
    for n in 0..CLIENTS {
        let results = results.clone();
        thread::spawn(move || run_client(n, listen, until, &results));
    }
    drop(results);
    let (mut right, mut other, mut foreign) = (0, 0, 0);
    for (key, id, sent, answer) in outcomes {
        let expected = value(&key, &id);
        let text = answer.text();
        match &answer {
            Resp::Bulk(Some(bytes)) if *bytes == expected.as_bytes() => right += 1,
            Resp::Bulk(Some(_)) => {
                foreign += 1;
                record.say(format!("FOREIGN: OBJ.GET {key} {id}, sent at {sent:.1}, was served '{text}'"));
            }
            _ => {
                other += 1;
                record.line(format!("not served: OBJ.GET {key} {id}, sent at {sent:.1}: {text}"));
            }
        }
    }
    record.say(format!(
        "{right} requests served with their own value, {foreign} with another's, {other} refused or failed; {} second answers",
        seconds.load(Ordering::SeqCst)
    ));
    if right < 1000 {
        cannot("too few requests were served");
    }
    finish(&case, foreign > 0, "a request is served only with the value made for it");
}

/// The value that a cache node makes for a request.
fn value(key: &str, id: &str) -> String {
    format!("sheet {key} for request {id}")
}

fn run_client(n: usize, proxy: SocketAddr, until: Instant, results: &mpsc::Sender<(String, String, f64, Resp)>) {
    let mut random = Random(77 + n as u64);
    let start = Instant::now();
    let Ok(mut client) = Client::connect(proxy) else { return };
    let mut at = start;
    let mut count = 0u64;
    loop {
        at += Duration::from_secs_f64(-(1.0 - random.unit()).ln() * CLIENTS as f64 / RATE);
        if at >= until {
            return;
        }
        thread::sleep(at.saturating_duration_since(Instant::now()));
        count += 1;
        // A few keys are far more popular than the rest.
        let key = format!("sheet-{}", (400.0 * random.unit().powi(3)) as u64);
        let id = format!("{:016x}", (n as u64) << 32 | count);
        let sent = start.elapsed().as_secs_f64() * 1e3;
        let answer = client.ask(&["OBJ.GET", &key, &id, "c=read-sheet,t=obras-pinar,d=2000"], Duration::from_secs(4));
        let Ok(answer) = answer else {
            let Ok(again) = Client::connect(proxy) else { return };
            client = again;
            continue;
        };
        if results.send((key, id, sent, answer)).is_err() {
            return;
        }
    }
}

fn start_node(n: usize, trouble: bool, record: Record, seconds: Count) -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut connection = 0u64;
        for stream in listener.incoming().flatten() {
            connection += 1;
            let (record, seconds) = (record.clone(), Arc::clone(&seconds));
            let seed = (n as u64) << 40 | connection;
            thread::spawn(move || drop(serve(stream, n, seed, trouble, &record, &seconds)));
        }
    });
    address
}

/// Serves one connection. Requests on it are answered in their order.
fn serve(stream: TcpStream, n: usize, seed: u64, trouble: bool, record: &Record, seconds: &Count) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let (commands, queue) = mpsc::channel();
    thread::spawn(move || {
        let mut reader = BufReader::new(stream);
        while let Ok(command) = read_resp(&mut reader) {
            if commands.send(command).is_err() {
                return;
            }
        }
    });
    let mut random = Random(seed);
    let mut pending: Option<(Instant, Vec<u8>, String)> = None;
    let mut served = HashMap::new();
    loop {
        // A second answer goes out once it is due, unless a command has come in the meantime.
        let command = match pending.take() {
            Some((due, bytes, what)) => match queue.recv_timeout(due.saturating_duration_since(Instant::now())) {
                Ok(command) => command,
                Err(mpsc::RecvTimeoutError::Timeout) => {
                    writer.write_all(&bytes)?;
                    seconds.fetch_add(1, Ordering::SeqCst);
                    record.line(format!("node s-{n}: second answer of {what}"));
                    continue;
                }
                Err(_) => return Ok(()),
            },
            None => match queue.recv() {
                Ok(command) => command,
                Err(_) => return Ok(()),
            },
        };
        let Resp::Array(words) = command else { return Ok(()) };
        let words: Vec<String> = words.iter().map(Resp::text).collect();
        if words.first().map(String::as_str) != Some("OBJ.GET") || words.len() != 4 {
            writer.write_all(b"+PONG\r\n")?;
            continue;
        }
        let (key, id) = (&words[1], &words[2]);
        thread::sleep(Duration::from_secs_f64(random.between(WORK_MS.0, WORK_MS.1) / 1e3));
        let value = value(key, id);
        let answer = format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes();
        writer.write_all(&answer)?;
        *served.entry(key.clone()).or_insert(0) += 1;
        record.line(format!("node s-{n}: ran OBJ.GET {key} {id}"));
        if trouble && random.unit() < SECOND_SHARE {
            let late = Duration::from_secs_f64(random.between(LATE_MS.0, LATE_MS.1) / 1e3);
            pending = Some((Instant::now() + late, answer, format!("{key} {id}")));
        }
    }
}
