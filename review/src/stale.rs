//! A paused proxy and a configuration version that drains a cache node.
//!
//! Three members of a lease group and two proxies that act on configuration versions, with a bound of 500 ms on how long two
//! of them may act on versions that contradict each other. Clients of n0 read sheets of the cache node s-0, each as soon as
//! its last read was answered. n0 is paused; a version is applied that sends nothing more to s-0; once n1 has acted on it
//! for longer than the bound, n0 goes on. From then on s-0 may get no new command.

mod common;

use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 6;
const CLIENTS: usize = 8;
const CYCLES: usize = 12;
const WITHIN_MS: u64 = 500;

fn main() {
    let case = Case::from_args();
    let record = case.record.clone();
    // When s-0 got each command, in milliseconds of the run.
    let arrivals: Shared<Vec<(f64, String)>> = shared(Vec::new());
    let mut targets = Vec::new();
    for n in 0..NODES {
        let (record, arrivals) = (record.clone(), Arc::clone(&arrivals));
        targets.push(target(&format!("s-{n}"), "std", serve_with(move |s| serve_node(&record, &arrivals, s, n))));
    }
    targets.push(target("records", "origin", serve_with(serve_origin)));
    let addresses: Vec<(SocketAddr, SocketAddr)> = (0..3).map(|_| (free_address(), free_address())).collect();
    let group = addresses.iter().map(|a| a.1.to_string()).collect::<Vec<_>>().join(",");
    let program = case.run_command().trim_start_matches("exec ").to_owned();
    let versions = format!("[versions]\nwithin_ms = {WITHIN_MS}\n[versions.guard]\nworkers = [\"s-0\"]\n");
    let in_group: Vec<String> = (0..3)
        .map(|n| format!("[[member]]\nid = {}\npeer = \"{}\"\nclient = \"{}\"\n", n + 1, addresses[n].0, addresses[n].1))
        .collect();
    let asked: Vec<String> =
        (0..3).map(|n| format!("[[member]]\nid = {}\nclient = \"{}\"\n", n + 1, addresses[n].1)).collect();
    let mut processes = Vec::new();
    for n in 0..3 {
        let file = case.temp.join(format!("m{n}.toml"));
        let data = case.temp.join(format!("m{n}")).display().to_string();
        let text = format!("[group]\nid = {}\ndata = {data:?}\n{}{versions}", n + 1, in_group.concat());
        std::fs::write(&file, text).unwrap_or_else(|e| cannot(e.to_string()));
        let command = format!("exec {program} coord run --config {}", file.display());
        processes.push(Process::start(&case, &format!("m{n}"), &command, &[]));
    }
    let coord = case.temp.join("coord.toml");
    std::fs::write(&coord, format!("{}{versions}", asked.concat())).unwrap_or_else(|e| cannot(e.to_string()));
    let discovery = Discovery::start(targets.clone());
    let (mut listen, mut admin, mut proxies) = (Vec::new(), Vec::new(), Vec::new());
    for n in 0..2 {
        listen.push(free_address());
        admin.push(free_address());
        let name = format!("n{n}");
        let config = write_config(&case, &name, listen[n], discovery.address, (192, 1024), &targets, &settings(4));
        let variables = [
            ("EDGE_CONFIG", config.display().to_string()),
            ("EDGE_ADMIN_ADDR", admin[n].to_string()),
            ("NOTCHDOOR_COORD", coord.display().to_string()),
        ];
        proxies.push(Process::start(&case, &name, &case.run_command(), &variables));
    }
    for n in 0..2 {
        wait_ready(&case, listen[n], Duration::from_secs(30));
    }
    let apply = |out: bool| {
        let file = case.temp.join("rules.toml");
        let names = if out { "\"s-0\"" } else { "" };
        std::fs::write(&file, format!("[workers]\nout = [{names}]\n")).unwrap_or_else(|e| cannot(e.to_string()));
        let done = Command::new(case.root.join("target/release/notchdoor"))
            .args(["settings", "apply", &file.display().to_string(), "--at", &group, "--wait"])
            .output();
        let text = done.map(|d| format!("{}{}", String::from_utf8_lossy(&d.stdout), String::from_utf8_lossy(&d.stderr)));
        record.line(format!("apply out = [{names}]: {}", text.unwrap_or_default().trim()));
    };
    let version_of = |n: usize| {
        let text = http_get(admin[n], "/_vars").unwrap_or_default();
        text.split("\"version\":").nth(1).and_then(|t| t.split([',', '}']).next().and_then(|t| t.parse::<u64>().ok()))
    };
    let wait_for = |n: usize, version: u64| {
        let until = Instant::now() + Duration::from_secs(10);
        while version_of(n) != Some(version) {
            if Instant::now() > until {
                cannot(format!("n{n} does not act on version {version}: {:?}", version_of(n)));
            }
            thread::sleep(Duration::from_millis(5));
        }
    };
    wait_for(0, 0);
    wait_for(1, 0);
    // Keys that n0 reads from s-0.
    let mut keys = Vec::new();
    let mut probe = Client::connect(listen[0]).unwrap_or_else(|e| cannot(e.to_string()));
    for n in 0..300 {
        let (key, id) = (format!("sheet-{n}"), format!("aa{n:014x}"));
        let answer = probe.ask(&["OBJ.GET", &key, &id, "c=read-sheet,t=obras-pinar,d=2000"], Duration::from_secs(4));
        if answer.is_ok_and(|a| a.text().contains("from s-0")) {
            keys.push(key);
        }
    }
    record.line(format!("{} keys are read from s-0", keys.len()));
    if keys.len() < CLIENTS {
        cannot("too few keys are read from s-0");
    }
    let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    for n in 0..CLIENTS {
        let keys: Vec<String> = keys.iter().skip(n).step_by(CLIENTS).cloned().collect();
        let (stop, served, proxy) = (Arc::clone(&stop), Arc::clone(&served), listen[0]);
        thread::spawn(move || read_on(n, &keys, proxy, &stop, &served));
    }
    let (mut late, mut cycles_broken) = (0, 0);
    let mut version = 0;
    for cycle in 0..CYCLES {
        thread::sleep(Duration::from_millis(700 + 37 * cycle as u64));
        let before = arrivals.lock().unwrap().len();
        if before == 0 {
            cannot("s-0 gets nothing");
        }
        if case.trouble {
            proxies[0].signal("STOP");
            record.line("n0 paused");
        }
        thread::sleep(Duration::from_millis(30));
        apply(true);
        version += 1;
        wait_for(1, version);
        let acts = record.now();
        record.line(format!("n1 acts on version {version}"));
        thread::sleep(Duration::from_millis(WITHIN_MS + 300));
        let resumed = record.now();
        if case.trouble {
            record.line("n0 goes on");
            proxies[0].signal("CONT");
        }
        thread::sleep(Duration::from_millis(400));
        let got: Vec<(f64, String)> =
            arrivals.lock().unwrap().iter().filter(|(at, _)| *at > resumed).cloned().collect();
        if !got.is_empty() {
            cycles_broken += 1;
        }
        for (at, what) in &got {
            late += 1;
            record.say(format!(
                "STALE: s-0 got {what} {:.0} ms after n1 began to act on version {version}, which sends it nothing (bound {WITHIN_MS} ms)",
                at - acts
            ));
        }
        apply(false);
        version += 1;
        wait_for(0, version);
        wait_for(1, version);
    }
    stop.store(true, Ordering::SeqCst);
    record.say(format!(
        "{} reads served; {late} commands to s-0 later than the bound, in {cycles_broken} of {CYCLES} cycles",
        served.load(Ordering::SeqCst)
    ));
    finish(&case, late > 0, "no two proxies act on versions that contradict each other for longer than the bound");
}

fn http_get(at: SocketAddr, path: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

fn read_on(n: usize, keys: &[String], proxy: SocketAddr, stop: &AtomicBool, served: &AtomicU64) {
    let mut count = 0u64;
    let mut client = None;
    while !stop.load(Ordering::SeqCst) {
        let Some(open) = client.as_mut() else {
            client = Client::connect(proxy).ok();
            continue;
        };
        count += 1;
        let key = &keys[count as usize % keys.len()];
        let id = format!("bb{n:02x}{count:012x}");
        match open.ask(&["OBJ.GET", key, &id, "c=read-sheet,t=obras-pinar,d=2000"], Duration::from_secs(5)) {
            Ok(Resp::Bulk(Some(_))) => _ = served.fetch_add(1, Ordering::SeqCst),
            Ok(_) => thread::sleep(Duration::from_millis(20)),
            Err(_) => client = None,
        }
    }
}

/// Every cache node holds every sheet.
fn serve_node(record: &Record, arrivals: &Mutex<Vec<(f64, String)>>, stream: TcpStream, n: usize) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut writer, mut reader) = (stream.try_clone()?, BufReader::new(stream));
    loop {
        let Resp::Array(words) = read_resp(&mut reader)? else { return Ok(()) };
        let words: Vec<String> = words.iter().map(Resp::text).collect();
        if words[0] != "OBJ.GET" || words.len() != 4 {
            writer.write_all(b"+PONG\r\n")?;
            continue;
        }
        if n == 0 {
            arrivals.lock().unwrap().push((record.now(), words[1..].join(" ")));
            record.line(format!("node s-0: {}", words.join(" ")));
        }
        thread::sleep(Duration::from_millis(4));
        let value = format!("sheet {} for {} from s-{n}", words[1], words[2]);
        writer.write_all(format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).as_bytes())?;
    }
}

fn serve_origin(stream: TcpStream) -> std::io::Result<()> {
    let (mut writer, mut reader) = (stream.try_clone()?, BufReader::new(stream));
    loop {
        let request = read_http(&mut reader)?;
        thread::sleep(Duration::from_millis(40));
        writer.write_all(&http_answer(200, format!("sheet {}", request.path).as_bytes()))?;
    }
}
