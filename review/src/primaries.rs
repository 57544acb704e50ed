//! A shorter `within_ms` for the members of the lease group, rolled out one member after the other.
//!
//! Three members of a lease group and four proxies that hold replicas for each other. A few keys are known to be missing.
//! The members are restarted one by one, the leader last; with the disruption their new files have a shorter
//! `[versions] within_ms`. Before the last restart n0, the primary of all shards, is cut from the group. Once another
//! proxy is primary, the missing keys are written through n1; after each receipt the key is read through n0.

mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 12;
const PROXIES: usize = 4;
const SHARDS: usize = 4;
const WRITES: usize = 8;
const WITHIN_MS: u64 = 8000;
const NEW_WITHIN_MS: u64 = 1000;
const LINK_MS: (f64, f64) = (8.4, 16.0);

type Store = Shared<HashMap<String, String>>;

struct Fleet {
    case: Case,
    members: Vec<Process>,
    proxies: Vec<Option<Process>>,
    listen: Vec<SocketAddr>,
    configs: Vec<PathBuf>,
    group: String,
    leader: usize,
    program: String,
    to_group: Vec<Relay>,
}

fn main() {
    let case = Case::from_args();
    let record = case.record.clone();
    let store: Store = shared(HashMap::new());
    let (origin_store, origin_record) = (Arc::clone(&store), record.clone());
    let mut targets: Vec<Target> =
        (0..NODES).map(|n| target(&format!("s-{n}"), "std", serve_with(serve_node))).collect();
    targets.push(target("records", "origin", serve_with(move |s| serve_origin(&origin_record, &origin_store, s))));
    let mut fleet = start_fleet(case, &targets);
    fleet.wait_in_sync();
    let ghosts: Vec<String> = (0..WRITES).map(|n| format!("ghost-{n}")).collect();
    let known = ghosts.iter().filter(|key| fleet.make_known_missing(key)).count();
    record.line(format!("{known} of {WRITES} keys are known to be missing"));
    // The new files, one member after the other, the leader last.
    let new = if fleet.case.trouble { NEW_WITHIN_MS } else { WITHIN_MS };
    let leader = fleet.leader;
    for n in (0..3).map(|k| (leader + 1 + k) % 3) {
        let file = fleet.case.temp.join(format!("m{n}.toml"));
        let text = std::fs::read_to_string(&file).unwrap_or_else(|e| cannot(e.to_string()));
        let text = text.replace(&format!("within_ms = {WITHIN_MS}"), &format!("within_ms = {new}"));
        std::fs::write(&file, text).unwrap_or_else(|e| cannot(e.to_string()));
        if n == leader {
            for relay in &fleet.to_group {
                relay.cut();
            }
            record.line("n0 is cut from the group");
        }
        fleet.members[n].signal("TERM");
        let code = fleet.members[n].wait(Duration::from_secs(5));
        record.line(format!("member {} ended: {code:?}", n + 1));
        let command = format!("exec {} coord run --config {}", fleet.program, file.display());
        fleet.members[n] = Process::start(&fleet.case, &format!("m{n}"), &command, &[]);
        if n != leader {
            thread::sleep(Duration::from_millis(1500));
        }
    }
    let program = fleet.case.root.join("target/release/notchdoor");
    let until = Instant::now() + Duration::from_secs(4);
    while fleet.case.trouble && Instant::now() < until {
        let out = Command::new(&program).args(["copies", "show", "0", "--at", &fleet.group]).output();
        let text = out.map(|o| String::from_utf8_lossy(&o.stdout).into_owned()).unwrap_or_default();
        let primary = text.lines().find(|l| l.contains("primary")).unwrap_or_default().to_owned();
        if primary.contains('@') && !primary.contains("n0@") {
            record.line(format!("shard 0 has a new primary: {primary}"));
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let began = Instant::now();
    let (mut wrong, mut receipts) = (0, 0);
    let mut round = 0;
    while began.elapsed() < Duration::from_millis(6000) {
        round += 1;
        let writers = spawn_writes(fleet.listen[1], &ghosts, "bb", round, &record);
        for (key, writer) in ghosts.iter().zip(writers) {
            if !matches!(writer.join().ok().flatten(), Some(Resp::Bulk(Some(_)))) {
                continue;
            }
            receipts += 1;
            let answer = fleet.read(0, key, &format!("cc{round:06x}{receipts:08x}"));
            let text = answer.as_ref().map_or("no answer".to_owned(), Resp::text);
            record.line(format!("read of {key} through n0 after its receipt: {text}"));
            if answer == Some(Resp::Bulk(None)) {
                wrong += 1;
                let there = store.lock().unwrap().contains_key(key.as_str());
                record.say(format!("MISSING: {key} through n0, after its receipt through n1; at the origin: {there}"));
            }
        }
    }
    record.say(format!("{receipts} receipts through n1; {wrong} reads through n0, the primary before, were told that the key is missing"));
    drop(fleet.members.drain(..));
    finish(&fleet.case, wrong > 0, "no old primary answers beside a new one");
}

fn start_fleet(case: Case, targets: &[Target]) -> Fleet {
    let addresses: Vec<(SocketAddr, SocketAddr)> = (0..3).map(|_| (free_address(), free_address())).collect();
    let listed = |of: &dyn Fn(usize) -> String| (0..3).map(of).collect::<Vec<_>>().join("\n");
    let in_group = listed(&|n| {
        format!("[[member]]\nid = {}\npeer = \"{}\"\nclient = \"{}\"", n + 1, addresses[n].0, addresses[n].1)
    });
    let program = case.run_command().trim_start_matches("exec ").to_owned();
    let mut members = Vec::new();
    for n in 0..3 {
        let file = case.temp.join(format!("m{n}.toml"));
        let data = case.temp.join(format!("m{n}"));
        let text = format!("[group]\nid = {}\ndata = {:?}\n{in_group}\n[versions]\nwithin_ms = {WITHIN_MS}\n", n + 1, data.display().to_string());
        std::fs::write(&file, text).unwrap_or_else(|e| cannot(e.to_string()));
        let command = format!("exec {program} coord run --config {}", file.display());
        members.push(Process::start(&case, &format!("m{n}"), &command, &[]));
    }
    let group = addresses.iter().map(|a| a.1.to_string()).collect::<Vec<_>>().join(",");
    // The proxies' files list the leader first, so that they reach it at once.
    let leader = wait_for_leader(&case, &group);
    let listing = |of: &dyn Fn(usize) -> SocketAddr| {
        let lines: Vec<String> =
            (0..3).map(|n| format!("[[member]]\nid = {}\nclient = \"{}\"", n + 1, of(n))).collect();
        lines.join("\n")
    };
    let to_group: Vec<Relay> = (0..3).map(|n| Relay::start(addresses[n].1, (0.1, 0.2), 7 + n as u64)).collect();
    let discovery = Discovery::start(targets.to_vec());
    let (mut listen, mut configs) = (Vec::new(), Vec::new());
    for n in 0..PROXIES {
        listen.push(free_address());
        let name = format!("n{n}");
        configs.push(write_config(&case, &name, listen[n], discovery.address, (192, 1024), targets, &settings(4)));
        let copies = free_address();
        let relay = Relay::start(copies, LINK_MS, 50 + n as u64);
        let data = case.temp.join(format!("copies{n}")).display().to_string();
        let asked = listing(&|m| if n == 0 { to_group[m].address } else { addresses[m].1 });
        let text = format!(
            "{asked}\n[copies]\nmachine = \"box-{n}\"\nlisten = \"{copies}\"\npeer = \"{}\"\ndata = {data:?}\nshards = {SHARDS}\ncopies = 3\nleast = 2\n",
            relay.address
        );
        std::fs::write(case.temp.join(format!("{name}.toml")), text).unwrap_or_else(|e| cannot(e.to_string()));
    }
    let mut fleet = Fleet { case, members, proxies: Vec::new(), listen, configs, group, leader, program, to_group };
    // n0 comes first, and so is the primary of the shards.
    for n in 0..PROXIES {
        fleet.proxies.push(None);
        fleet.start_proxy(n);
        wait_ready(&fleet.case, fleet.listen[n], Duration::from_secs(30));
        thread::sleep(Duration::from_millis(if n == 0 { 1500 } else { 0 }));
    }
    fleet
}

/// The place of the leader among the members.
fn wait_for_leader(case: &Case, group: &str) -> usize {
    let program = case.root.join("target/release/notchdoor");
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        let out = Command::new(&program).args(["coord", "status", "--at", group]).output();
        let text = out.map(|out| String::from_utf8_lossy(&out.stdout).into_owned()).unwrap_or_default();
        // Columns: address, id, role, ...
        let leads = |l: &str| {
            let columns: Vec<&str> = l.split_whitespace().collect();
            (columns.get(2) == Some(&"leader")).then(|| columns[1].parse::<usize>().ok()).flatten()
        };
        if let Some(id) = text.lines().filter_map(leads).find(|id| (1..=3).contains(id)) {
            case.record.line(format!("member {id} leads the group"));
            return id - 1;
        }
        thread::sleep(Duration::from_millis(200));
    }
    cannot("the group has no leader")
}

impl Fleet {
    fn start_proxy(&mut self, n: usize) {
        let coord = self.case.temp.join(format!("n{n}.toml")).display().to_string();
        let variables =
            [("EDGE_CONFIG", self.configs[n].display().to_string()), ("NOTCHDOOR_COORD", coord)];
        let command = self.case.run_command();
        self.proxies[n] = Some(Process::start(&self.case, &format!("n{n}"), &command, &variables));
    }

    /// Waits until every shard has three replicas in sync, by the operators' command.
    fn wait_in_sync(&self) {
        let program = self.case.root.join("target/release/notchdoor");
        let until = Instant::now() + Duration::from_secs(25);
        let shard_in_sync = |shard: usize| {
            let out = Command::new(&program).args(["copies", "show", &shard.to_string(), "--at", &self.group]).output();
            out.is_ok_and(|out| {
                let text = String::from_utf8_lossy(&out.stdout).into_owned();
                self.case.record.line(format!("copies show {shard}: {}", text.replace('\n', "; ")));
                let line = text.lines().find(|l| l.contains("in sync")).unwrap_or_default();
                let primary = text.lines().find(|l| l.contains("primary")).unwrap_or_default();
                primary.contains("n0@") && line.matches('@').count() == 3
            })
        };
        while Instant::now() < until {
            if (0..SHARDS).all(&shard_in_sync) {
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
        cannot("the replicas are not in sync")
    }

    fn read(&self, via: usize, key: &str, id: &str) -> Option<Resp> {
        let mut client = Client::connect(self.listen[via]).ok()?;
        client.ask(&["OBJ.GET", key, id, "c=read-sheet,t=obras-pinar,d=2000"], Duration::from_secs(4)).ok()
    }

    /// Reads a key twice through n0; the second time its shard knows it to be missing.
    fn make_known_missing(&self, key: &str) -> bool {
        let reads = (0..6).map(|n| {
            thread::sleep(Duration::from_millis(40));
            self.read(0, key, &format!("dd{n:02x}{:012x}", fnv(key) & 0xffff_ffff_ffff)) == Some(Resp::Bulk(None))
        });
        reads.filter(|missing| *missing).count() >= 2
    }
}

fn fnv(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}

type Writer = thread::JoinHandle<Option<Resp>>;

/// Writes these keys through a proxy at the same time.
fn spawn_writes(proxy: SocketAddr, keys: &[String], tag: &str, cycle: usize, record: &Record) -> Vec<Writer> {
    let together = Arc::new(Barrier::new(keys.len()));
    let write = |(n, key): (usize, &String)| {
        let (together, key, record) = (Arc::clone(&together), key.clone(), record.clone());
        let id = format!("{tag}{cycle:06x}{n:08x}");
        thread::spawn(move || {
            let client = Client::connect(proxy);
            together.wait();
            let list = format!("c=fix-hours,t=obras-pinar,d=2000,k=k{id}");
            let answer = client.and_then(|mut c| c.ask(&["OBJ.SET", &key, &id, &list, "hours"], Duration::from_secs(4)));
            let text = answer.as_ref().map_or_else(|e| format!("no answer ({e})"), Resp::text);
            record.line(format!("write of {key}, {id}: {text}"));
            answer.ok()
        })
    };
    keys.iter().enumerate().map(write).collect()
}

/// The cache nodes lack every key.
fn serve_node(stream: TcpStream) -> std::io::Result<()> {
    let (mut writer, mut reader) = (stream.try_clone()?, BufReader::new(stream));
    loop {
        read_resp(&mut reader)?;
        writer.write_all(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")?;
    }
}

fn serve_origin(record: &Record, store: &Mutex<HashMap<String, String>>, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut writer, mut reader) = (stream.try_clone()?, BufReader::new(stream));
    loop {
        let request = read_http(&mut reader)?;
        let id = request.headers.get("x-call-id").cloned().unwrap_or_default();
        let key = request.path.trim_start_matches('/').to_owned();
        let answer = if request.method == "PUT" {
            thread::sleep(Duration::from_millis(60));
            store.lock().unwrap().insert(key.clone(), String::from_utf8_lossy(&request.body).into_owned());
            http_answer(200, format!("receipt for {id}").as_bytes())
        } else {
            thread::sleep(Duration::from_millis(10));
            match store.lock().unwrap().get(&key) {
                Some(value) => http_answer(200, format!("{value} for {id}").as_bytes()),
                None => http_answer(404, b""),
            }
        };
        let status = String::from_utf8_lossy(&answer[9..12]).into_owned();
        record.line(format!("origin: {} {key} {id}: {status}", request.method));
        writer.write_all(&answer)?;
    }
}
