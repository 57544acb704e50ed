//! The cases of this review: `stand CASE FOLDER`, with `TROUBLE=0` for the same without the disruption.
//! Exit code 1: the rule was broken, 0: it held, 2: the case could not run.

#[allow(dead_code)]
mod stand;

use stand::*;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ZONES: [&str; 4] = ["zona-4", "mixco", "escuintla", "xela"];

/// A small deployment: cache nodes, the origin, discovery and the folder of a proxy.
struct Site {
    root: PathBuf,
    folder: PathBuf,
    targets: Vec<String>,
    discovery: Arc<Discovery>,
    settings: String,
}

impl Site {
    fn new(name: &str, caches: usize, cache: CacheHandler, origin_handler: OriginHandler) -> Site {
        let root = std::env::current_dir().unwrap();
        let mut targets: Vec<String> = (0..caches)
            .map(|i| target(&format!("s-{i:08x}"), cache_node(Arc::clone(&cache)), ZONES[i % 4], "std", "in_service"))
            .collect();
        targets.push(target("s-origin", origin(origin_handler), "xela", "origin", "in_service"));
        let discovery = Discovery::start(5, &targets);
        let settings = std::fs::read_to_string(root.join("review/stand-2/settings.json")).expect("settings");
        Site { folder: temp_folder(name), root, targets, discovery, settings: settings.trim().to_owned() }
    }

    fn known(&self) -> String {
        format!("{{\"rev\":5,\"all\":true,\"targets\":[{}]}}", self.targets.join(","))
    }

    fn start(&self, name: &str, memory_mb: u32, sockets: u32) -> Proxy {
        let known = self.known();
        let file = ProxyFile {
            name,
            listen: free_address(),
            discovery: self.discovery.address,
            memory_mb,
            sockets,
            known: &known,
            settings: &self.settings,
        };
        let log = format!("{name}.log");
        let proxy = start_proxy(&self.root, &self.folder, &log, &file, &[]);
        if !wait_ready(proxy.listen, 10_000.0) {
            rec!("the proxy was not ready in time");
            finish(2);
        }
        proxy
    }

    /// Copies the end of a proxy's log into the record.
    fn log(&self, name: &str) {
        let text = std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
        for line in text.lines().rev().take(12).collect::<Vec<_>>().into_iter().rev() {
            rec!("log of {name}: {line}");
        }
    }
}

fn origin_that_serves(ran: Arc<Mutex<Vec<String>>>) -> OriginHandler {
    Arc::new(move |call, s| {
        let id = call.headers.get("x-call-id").cloned().unwrap_or_default();
        sleep_ms(60);
        if call.method == "PUT" {
            rec!("origin ran the write {id} of {}", call.path);
            ran.lock().unwrap().push(id.clone());
        }
        let _ = s.write_all(&http_ok(format!("receipt-{id}").as_bytes()));
    })
}

/// A value of this length that names the request that it was made for.
fn value_for(id: &str, length: usize) -> Vec<u8> {
    let mut value = Vec::with_capacity(length + 64);
    while value.len() < length {
        value.extend_from_slice(format!("{id}-{:07}|", value.len()).as_bytes());
    }
    value.truncate(length);
    value
}

fn get(key: &str, id: &str, info: &str) -> Vec<u8> {
    words(&[b"OBJ.GET", key.as_bytes(), id.as_bytes(), info.as_bytes()])
}

fn set(key: &str, id: &str, info: &str, value: &[u8]) -> Vec<u8> {
    words(&[b"OBJ.SET", key.as_bytes(), id.as_bytes(), info.as_bytes(), value])
}

// ------------------------------------------------------------------ cut

/// Commands behind a long value whose cache connection breaks in the middle of it.
fn cut(trouble: bool) -> i32 {
    const LONG: usize = 1024 * 1024;
    let ran = Arc::new(Mutex::new(Vec::new()));
    let cache: CacheHandler = Arc::new(move |r, s| {
        sleep_ms(40);
        let (key, id) = (r.word(1), r.word(2));
        if !key.starts_with("item/long") {
            let _ = s.write_all(&hit(&value_for(&id, 200)));
            return;
        }
        let reply = hit(&value_for(&id, LONG));
        let pieces: Vec<&[u8]> = reply.chunks(64 * 1024).collect();
        for (i, piece) in pieces.iter().enumerate() {
            if trouble && i == pieces.len() / 2 {
                rec!("cache node breaks the connection in the middle of its answer to {id}");
                let _ = s.shutdown(std::net::Shutdown::Both);
                return;
            }
            if s.write_all(piece).is_err() {
                return;
            }
            sleep_ms(5);
        }
    });
    let site = Site::new("cut", 12, cache, origin_that_serves(Arc::clone(&ran)));
    let proxy = site.start("n0", 192, 1024);
    let mut lost = 0;
    for n in 0..10 {
        let (a, b, c) = (new_id(), new_id(), new_id());
        let mut bytes = get(&format!("item/long{n}"), &a, "c=read-sheet,t=obras-pinar,d=1500");
        bytes.extend(set(&format!("item/week{n}"), &b, "c=close-week,t=obras-pinar,d=450", b"closed"));
        bytes.extend(get(&format!("item/small{n}"), &c, "c=read-sheet,t=obras-pinar,d=1500"));
        let mut s = TcpStream::connect(proxy.listen).unwrap();
        s.write_all(&bytes).unwrap();
        rec!("client {n} sent read {a} of a long value, write {b} (close-week) and read {c} at once");
        let sent = ms();
        let mut buffer = Vec::new();
        for (id, what) in [(&a, "long read"), (&b, "write"), (&c, "read")] {
            let reply = read_reply(&mut s, &mut buffer, sent + 6000.0);
            rec!("client {n}: {what} {id}: {} after {:.0} ms, {} bytes of an answer that is not whole", reply.name(), ms() - sent, buffer.len());
            let whole = matches!(reply, Reply::Served(_) | Reply::Busy | Reply::Failed(_));
            // The long value that the cache node did not finish has failed; that is allowed.
            if !whole && what != "long read" {
                lost += 1;
                let has_run = ran.lock().unwrap().contains(id);
                rec!("LOST: {what} {id} was taken and its connection was ended without an answer; at the origin it has {}run", if has_run { "" } else { "not " });
            }
        }
        sleep_ms(200);
    }
    signal(proxy.pid, "USR1");
    sleep_ms(200);
    site.log("n0");
    rec!("{lost} requests lost");
    i32::from(lost > 0)
}

// ------------------------------------------------------------------ room

/// Long values that are read slowly, beside small requests of others.
fn room(trouble: bool) -> i32 {
    const LONG: usize = 4 * 1024 * 1024;
    const READERS: usize = 160;
    /// Bytes a second of each reader.
    const PACE: usize = 200 * 1024;
    let filling = vec![b'x'; LONG];
    let cache: CacheHandler = Arc::new(move |r, s| {
        sleep_ms(15);
        let mut value = value_for(&r.word(2), 200);
        if r.word(1).starts_with("item/long") {
            value.extend_from_slice(&filling[200..]);
        }
        let _ = s.write_all(&hit(&value));
    });
    let site = Site::new("room", 12, cache, origin_that_serves(Arc::default()));
    let proxy = site.start("n0", 32, 1024);
    let stop = Arc::new(AtomicBool::new(false));
    let (reading, whole) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let listen = proxy.listen;
    for n in 0..READERS {
        let (stop, reading, whole) = (Arc::clone(&stop), Arc::clone(&reading), Arc::clone(&whole));
        let reader = move || {
            sleep_ms(n as u64 * 15);
            let connected = if trouble { connect_small(listen) } else { TcpStream::connect(listen) };
            let Ok(mut s) = connected else { return };
            while !stop.load(Ordering::SeqCst) {
                let id = new_id();
                if s.write_all(&get(&format!("item/long{n}"), &id, "c=read-sheet,t=obras-pinar,d=1500")).is_err() {
                    return;
                }
                let (mut got, began) = (0, ms());
                let mut chunk = vec![0; 16 * 1024];
                let mut begun = false;
                loop {
                    let _ = s.set_read_timeout(Some(Duration::from_secs(20)));
                    match s.read(&mut chunk) {
                        Ok(k) if k > 0 => {
                            if !begun && chunk[0] != b'$' {
                                break;
                            }
                            if !begun {
                                begun = true;
                                reading.fetch_add(1, Ordering::SeqCst);
                            }
                            got += k;
                        }
                        _ => {
                            if begun {
                                reading.fetch_sub(1, Ordering::SeqCst);
                            }
                            return;
                        }
                    }
                    if got >= LONG {
                        whole.fetch_add(1, Ordering::SeqCst);
                        break;
                    }
                    wait_for_pace(began, got, if trouble { PACE } else { 0 });
                }
                if begun {
                    reading.fetch_sub(1, Ordering::SeqCst);
                }
                // Refused: comes again soon. Read: one value in 20 s, as at the slow pace.
                sleep_ms(if begun { (began + 20_000.0 - ms()).max(0.0) as u64 } else { 200 });
            }
        };
        let _ = thread::Builder::new().stack_size(256 * 1024).spawn(reader);
    }
    let (lost, asked, late) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let end = ms() + 25_000.0;
    let mut clients = Vec::new();
    for n in 0..20u64 {
        let (lost, asked, late) = (Arc::clone(&lost), Arc::clone(&asked), Arc::clone(&late));
        clients.push(thread::spawn(move || {
            let mut random = Random(n + 1);
            let Ok(mut s) = TcpStream::connect(listen) else { return };
            let mut buffer = Vec::new();
            while ms() < end {
                let id = new_id();
                let key = format!("item/k{}", random.below(500));
                let (message, d, what) = if random.below(10) == 0 {
                    (set(&key, &id, "c=close-week,t=constructora-ceiba,d=450", b"closed"), 450.0, "close-week")
                } else {
                    (get(&key, &id, "c=read-sheet,t=constructora-ceiba,d=1200"), 1200.0, "read-sheet")
                };
                if s.write_all(&message).is_err() {
                    let Ok(new) = TcpStream::connect(listen) else { return };
                    (s, buffer) = (new, Vec::new());
                    continue;
                }
                asked.fetch_add(1, Ordering::SeqCst);
                let sent = ms();
                let reply = read_reply(&mut s, &mut buffer, sent + d + 3000.0);
                let took = ms() - sent;
                // A final answer up to half a second (and 50 ms) after its time only earns nothing.
                if took > d + 550.0 {
                    lost.fetch_add(1, Ordering::SeqCst);
                    rec!("LOST: {what} {id} with {d} ms: {} after {took:.0} ms", reply.name());
                    late.fetch_add(1, Ordering::SeqCst);
                }
                if matches!(reply, Reply::None(_)) {
                    // The client gives the connection up.
                    let Ok(new) = TcpStream::connect(listen) else { return };
                    (s, buffer) = (new, Vec::new());
                }
                sleep_ms(60 + random.below(60));
            }
        }));
    }
    while ms() < end {
        sleep_ms(1000);
        rec!("{} long values are being read, {} were read whole; {} small requests sent, {} lost; memory {} kB", reading.load(Ordering::SeqCst), whole.load(Ordering::SeqCst), asked.load(Ordering::SeqCst), lost.load(Ordering::SeqCst), status_kb(proxy.pid, "VmRSS"));
    }
    for client in clients {
        let _ = client.join();
    }
    stop.store(true, Ordering::SeqCst);
    signal(proxy.pid, "USR1");
    sleep_ms(200);
    site.log("n0");
    rec!("{} of {} small requests lost", lost.load(Ordering::SeqCst), asked.load(Ordering::SeqCst));
    i32::from(lost.load(Ordering::SeqCst) > 0)
}

// ------------------------------------------------------------------ stop and slow

/// Reads a long value steadily with `pace` bytes a second (0: as fast as it comes). Returns how many bytes came, and
/// why it ended.
fn read_long(listen: SocketAddr, key: &str, length: usize, pace: usize) -> (usize, String) {
    let id = new_id();
    let mut s = connect_small(listen).unwrap();
    s.write_all(&get(key, &id, "c=read-sheet,t=obras-pinar,d=1500")).unwrap();
    rec!("client sent read {id} of {key}");
    let (mut got, mut chunk, began) = (0, vec![0; 16 * 1024], ms());
    let whole = length + format!("${length}\r\n").len() + 2;
    let _ = s.set_read_timeout(Some(Duration::from_secs(30)));
    loop {
        match s.read(&mut chunk) {
            Ok(0) => return (got, "closed by the proxy".into()),
            Ok(n) => got += n,
            Err(e) => return (got, format!("{}", e.kind())),
        }
        if got >= whole {
            return (got, "whole".into());
        }
        wait_for_pace(began, got, pace);
    }
}

/// Waits until `got` bytes are due at this pace.
fn wait_for_pace(began: f64, got: usize, pace: usize) {
    if pace > 0 {
        let due = began + got as f64 / pace as f64 * 1000.0;
        sleep_ms((due - ms()).max(0.0) as u64);
    }
}

/// A planned restart while long values are being passed on.
fn stop(trouble: bool) -> i32 {
    const LONG: usize = 4 * 1024 * 1024;
    // The cache node gives 64 KiB in 125 ms, so the value takes 8 s.
    let cache: CacheHandler = Arc::new(move |r, s| {
        sleep_ms(20);
        let id = r.word(2);
        let reply = hit(&value_for(&id, LONG));
        let mut given = 0;
        for piece in reply.chunks(64 * 1024) {
            if let Err(e) = s.write_all(piece) {
                rec!("cache node still gave its answer to {id}, {given} of {} bytes were taken: {}", reply.len(), e.kind());
                return;
            }
            given += piece.len();
            sleep_ms(125);
        }
        rec!("cache node gave its whole answer to {id}");
    });
    let site = Site::new("stop", 12, cache, origin_that_serves(Arc::default()));
    let mut proxy = site.start("n0", 192, 1024);
    let listen = proxy.listen;
    let clients: Vec<_> = (0..6)
        .map(|n| thread::spawn(move || read_long(listen, &format!("item/long{n}"), LONG, 0)))
        .collect();
    sleep_ms(1500);
    if trouble {
        signal(proxy.pid, "TERM");
    }
    // The platform sends SIGKILL no sooner than 2.7 s after SIGTERM; here it never has to.
    let watch = thread::spawn(move || {
        let began = ms();
        while ms() < began + 12_000.0 {
            if let Ok(Some(status)) = proxy.child.try_wait() {
                rec!("the proxy ended by itself {:.0} ms after SIGTERM: {status}", ms() - began);
                return;
            }
            sleep_ms(5);
        }
    });
    let mut lost = 0;
    for client in clients {
        let (got, end) = client.join().unwrap();
        rec!("client got {got} bytes: {end}");
        if end != "whole" {
            lost += 1;
            rec!("LOST: a request taken 1.5 s before SIGTERM was not answered whole; the cache node still gave");
        }
    }
    if trouble {
        let _ = watch.join();
    }
    site.log("n0");
    rec!("{lost} requests lost");
    i32::from(lost > 0)
}

/// Long values that are read slowly and steadily.
fn slow(trouble: bool) -> i32 {
    const LONG: usize = 4 * 1024 * 1024;
    let cache: CacheHandler = Arc::new(move |r, s| {
        sleep_ms(20);
        let id = r.word(2);
        let written = s.write_all(&hit(&value_for(&id, LONG)));
        rec!("cache node gave its answer to {id}: {written:?}");
    });
    let site = Site::new("slow", 12, cache, origin_that_serves(Arc::default()));
    let proxy = site.start("n0", 192, 1024);
    let listen = proxy.listen;
    let pace: usize = std::env::var("PACE").ok().and_then(|p| p.parse().ok()).unwrap_or(64) * 1024;
    let clients: Vec<_> = (0..4).map(|n| thread::spawn(move || read_long(listen, &format!("item/long{n}"), LONG, if trouble { pace } else { 0 }))).collect();
    let mut lost = 0;
    for client in clients {
        let (got, end) = client.join().unwrap();
        rec!("client got {got} bytes: {end}");
        if end != "whole" {
            lost += 1;
            rec!("LOST: a value that the cache node still gave was cut off");
        }
    }
    signal(proxy.pid, "USR1");
    sleep_ms(200);
    site.log("n0");
    rec!("{lost} requests lost");
    i32::from(lost > 0)
}

// ------------------------------------------------------------------ push

/// Lists are pushed. Discovery is down for a while, cache nodes begin to drain meanwhile, and it returns.
fn push(trouble: bool) -> i32 {
    const GRACE_MS: f64 = 250.0;
    const SLACK_MS: f64 = 50.0;
    const OUTAGE_MS: u64 = 20_000;
    const PROXIES: usize = 3;
    const CACHES: usize = 12;
    // When the agents were told that each cache node drains.
    let told: Arc<Mutex<HashMap<usize, f64>>> = Arc::default();
    let broken = Arc::new(AtomicUsize::new(0));
    let sends: Arc<Vec<AtomicU64>> = Arc::new((0..CACHES).map(|_| AtomicU64::new(0)).collect());
    let root = std::env::current_dir().unwrap();
    let settings = std::fs::read_to_string(root.join("review/stand-2/settings-pushed.json")).expect("settings");
    let folder = temp_folder("push");
    let mut nodes = Vec::new();
    for n in 0..CACHES {
        let (told, broken, sends) = (Arc::clone(&told), Arc::clone(&broken), Arc::clone(&sends));
        nodes.push(cache_node(Arc::new(move |r, s| {
            sends[n].fetch_add(1, Ordering::SeqCst);
            if let Some(at) = told.lock().unwrap().get(&n) {
                let late = r.first_byte - at;
                if late > GRACE_MS + SLACK_MS {
                    broken.fetch_add(1, Ordering::SeqCst);
                    rec!("BROKEN: cache node {n} got {} {late:.0} ms after its drain was told", r.word(2));
                }
            }
            sleep_ms(20);
            let _ = s.write_all(&hit(&value_for(&r.word(2), 200)));
        })));
    }
    let origin_at = origin(origin_that_serves(Arc::default()));
    let entry = |n: usize, state: &str| target(&format!("s-{n:08x}"), nodes[n], ZONES[n % 4], "std", state);
    let mut targets: Vec<String> = (0..CACHES).map(|n| entry(n, "in_service")).collect();
    targets.push(target("s-origin", origin_at, "xela", "origin", "in_service"));
    let known = format!("{{\"rev\":5,\"all\":true,\"targets\":[{}]}}", targets.join(","));
    // Each proxy has an agent on its own machine.
    let agents: Vec<Arc<Discovery>> = (0..PROXIES).map(|_| Discovery::start(5, &targets)).collect();
    let mut proxies = Vec::new();
    for (n, agent) in agents.iter().enumerate() {
        let name = format!("n{n}");
        let file = ProxyFile {
            name: &name,
            listen: free_address(),
            discovery: agent.address,
            memory_mb: 192,
            sockets: 1024,
            known: &known,
            settings: settings.trim(),
        };
        let own = folder.join(&name);
        std::fs::create_dir_all(&own).unwrap();
        let proxy = start_proxy(&root, &own, "log", &file, &[]);
        if !wait_ready(proxy.listen, 10_000.0) {
            rec!("the proxy was not ready in time");
            return 2;
        }
        proxies.push(proxy);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    for (p, proxy) in proxies.iter().enumerate() {
        for c in 0..10u64 {
            let (listen, stop, served) = (proxy.listen, Arc::clone(&stop), Arc::clone(&served));
            thread::spawn(move || {
                let mut random = Random(1000 * p as u64 + c);
                sleep_ms(random.below(100));
                let Ok(mut s) = TcpStream::connect(listen) else { return };
                let mut buffer = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let message = get(&format!("item/r{}", random.below(2000)), &new_id(), "c=route-read,d=1300");
                    let sent = ms();
                    if s.write_all(&message).is_err() || matches!(read_reply(&mut s, &mut buffer, sent + 3000.0), Reply::None(_)) {
                        let Ok(new) = TcpStream::connect(listen) else { return };
                        (s, buffer) = (new, Vec::new());
                    }
                    served.fetch_add(1, Ordering::SeqCst);
                    sleep_ms((sent + 97.0 - ms()).max(0.0) as u64);
                }
            });
        }
    }
    sleep_ms(4000);
    for round in 0..3 {
        if trouble {
            rec!("discovery is down: the agents are silent");
            agents.iter().for_each(|agent| agent.set_silent(true));
            sleep_ms(OUTAGE_MS);
        } else {
            sleep_ms(3000);
        }
        let drained = [2 * round, 2 * round + 1];
        let entries: Vec<String> = drained.iter().map(|n| entry(*n, "terminating")).collect();
        for agent in &agents {
            agent.change(&entries);
            agent.set_silent(false);
        }
        let now = ms();
        told.lock().unwrap().extend(drained.iter().map(|n| (*n, now)));
        rec!("discovery is there, and the agents have: cache nodes {drained:?} drain");
        sleep_ms(5000);
    }
    stop.store(true, Ordering::SeqCst);
    sleep_ms(300);
    for (n, proxy) in proxies.iter().enumerate() {
        let text = std::fs::read_to_string(proxy.folder.join("log")).unwrap_or_default();
        text.lines().filter(|l| l.contains("discovery")).for_each(|l| rec!("log of n{n}: {l}"));
    }
    let counts: Vec<u64> = sends.iter().map(|n| n.load(Ordering::SeqCst)).collect();
    rec!("{} requests; sent to each cache node: {counts:?}; {} sends too late", served.load(Ordering::SeqCst), broken.load(Ordering::SeqCst));
    i32::from(broken.load(Ordering::SeqCst) > 0)
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("stand CASE FOLDER");
        std::process::exit(2);
    };
    open_record(Path::new(folder));
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    rec!("case {case}, {}", if trouble { "with the disruption" } else { "without the disruption" });
    let run = match case.as_str() {
        "cut" => cut,
        "room" => room,
        "stop" => stop,
        "slow" => slow,
        "push" => push,
        _ => finish(2),
    };
    // No case may run for longer than 120 s.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        rec!("the case took too long");
        finish(2);
    });
    std::panic::set_hook(Box::new(|info| {
        rec!("the stand-in failed: {info}");
        finish(2);
    }));
    finish(run(trouble));
}
