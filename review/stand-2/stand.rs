//! Stand-ins for the platform, clients, cache nodes, origin and discovery, for the cases of this review.
//! Standard library only. Everything is on loopback addresses.

use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Milliseconds since the case began.
pub fn ms() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1000.0
}

pub fn sleep_ms(n: u64) {
    thread::sleep(Duration::from_millis(n));
}

/// Opens `record.txt` in the folder of the case.
pub fn open_record(folder: &Path) {
    ms();
    let file = File::create(folder.join("record.txt")).expect("record.txt");
    let _ = RECORD.set(Mutex::new(file));
}

pub fn record(line: &str) {
    if let Some(file) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:10.1} {line}", ms());
    }
}

#[macro_export]
macro_rules! rec { ($($arg:tt)*) => { $crate::stand::record(&format!($($arg)*)) } }

/// Ends every process that was started, and this one.
pub fn finish(code: i32) -> ! {
    let pids: Vec<u32> = PIDS.lock().unwrap().drain(..).collect();
    for pid in pids {
        // Only processes that still run as children of this one.
        if std::fs::read_to_string(format!("/proc/{pid}/stat")).is_ok_and(|stat| stat.contains(&format!(" {} ", std::process::id()))) {
            signal(pid, "KILL");
        }
    }
    for folder in FOLDERS.lock().unwrap().drain(..) {
        let _ = std::fs::remove_dir_all(folder);
    }
    record(&format!("exit {code}"));
    std::process::exit(code);
}

pub fn signal(pid: u32, name: &str) {
    record(&format!("signal {name} to process {pid}"));
    let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).stderr(Stdio::null()).status();
}

/// A new temporary folder.
pub fn temp_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("temporary folder");
    FOLDERS.lock().unwrap().push(folder.clone());
    folder
}

/// A free port of the loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The value of a key in the deploy file.
pub fn deploy(root: &Path, key: &str) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml");
    let line = text.lines().find(|l| l.starts_with(&format!("{key} ="))).expect("key of the deploy file");
    line.split('"').nth(1).expect("a string").to_owned()
}

/// One proxy process, started with the `run` command of the deploy file.
pub struct Proxy {
    pub child: Child,
    pub pid: u32,
    pub listen: SocketAddr,
    pub folder: PathBuf,
}

pub struct ProxyFile<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    pub known: &'a str,
    pub settings: &'a str,
}

pub fn write_config(path: &Path, c: &ProxyFile) {
    let text = format!(
        "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
        c.name, c.listen, c.discovery, c.memory_mb, c.sockets, c.known, c.settings
    );
    std::fs::write(path, text).expect("config.json");
}

pub fn start_proxy(root: &Path, folder: &Path, log: &str, c: &ProxyFile, env: &[(&str, String)]) -> Proxy {
    let config = folder.join(format!("{}.json", c.name));
    write_config(&config, c);
    let tmp = folder.join("tmp");
    std::fs::create_dir_all(&tmp).unwrap();
    let out = File::create(folder.join(log)).unwrap();
    let mut command = Command::new("/bin/sh");
    // PR_SET_PDEATHSIG: the proxy ends with this process, however that ends.
    unsafe { std::os::unix::process::CommandExt::pre_exec(&mut command, || {
            prctl(1, 9);
            Ok(())
        }) };
    let child = command
        .arg("-c")
        .arg(deploy(root, "run"))
        .current_dir(root)
        .env("EDGE_NAME", c.name)
        .env("EDGE_LISTEN", c.listen.to_string())
        .env("EDGE_DISCOVERY", c.discovery.to_string())
        .env("EDGE_CONFIG", &config)
        .env("TMPDIR", &tmp)
        .envs(env.iter().map(|(k, v)| (*k, v.clone())))
        .stdin(Stdio::null())
        .stdout(Stdio::from(out.try_clone().unwrap()))
        .stderr(Stdio::from(out))
        .spawn()
        .expect("the proxy");
    let pid = child.id();
    PIDS.lock().unwrap().push(pid);
    rec!("proxy {} started as process {pid} on {}", c.name, c.listen);
    Proxy { child, pid, listen: c.listen, folder: folder.to_owned() }
}

/// Waits until the proxy answers `PING` with `+PONG`.
pub fn wait_ready(listen: SocketAddr, limit_ms: f64) -> bool {
    let end = ms() + limit_ms;
    while ms() < end {
        if let Ok(mut s) = TcpStream::connect(listen) {
            let _ = s.set_read_timeout(Some(Duration::from_millis(500)));
            let mut buffer = [0; 64];
            if s.write_all(b"*1\r\n$4\r\nPING\r\n").is_ok() {
                if let Ok(n) = s.read(&mut buffer) {
                    if buffer[..n].starts_with(b"+PONG") {
                        return true;
                    }
                }
            }
        }
        sleep_ms(20);
    }
    false
}

/// A figure of /proc/PID/status in kB.
pub fn status_kb(pid: u32, field: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with(field)).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

// ---------------------------------------------------------------- cache nodes

/// A command that a cache node has received to its last byte.
pub struct Received {
    pub words: Vec<Vec<u8>>,
    pub first_byte: f64,
    pub last_byte: f64,
}

impl Received {
    pub fn word(&self, i: usize) -> String {
        self.words.get(i).map(|w| String::from_utf8_lossy(w).into_owned()).unwrap_or_default()
    }
}

/// Reads RESP commands from a stream.
pub struct Commands {
    buffer: Vec<u8>,
    first: f64,
}

impl Commands {
    pub fn new() -> Self {
        Commands { buffer: Vec::new(), first: 0.0 }
    }

    fn parse(&self) -> Option<(Vec<Vec<u8>>, usize)> {
        let b = &self.buffer;
        let line = |at: usize| -> Option<(i64, usize)> {
            let end = b.get(at..)?.windows(2).position(|w| w == b"\r\n")? + at;
            Some((std::str::from_utf8(&b[at + 1..end]).ok()?.parse().ok()?, end + 2))
        };
        let (count, mut at) = line(0)?;
        let mut words = Vec::new();
        for _ in 0..count {
            let (n, next) = line(at)?;
            let end = next + n as usize;
            if b.len() < end + 2 {
                return None;
            }
            words.push(b[next..end].to_vec());
            at = end + 2;
        }
        Some((words, at))
    }

    pub fn next(&mut self, s: &mut TcpStream) -> Option<Received> {
        loop {
            if let Some((words, n)) = self.parse() {
                self.buffer.drain(..n);
                let first = self.first;
                self.first = ms();
                return Some(Received { words, first_byte: first, last_byte: ms() });
            }
            let mut chunk = [0; 65536];
            let n = s.read(&mut chunk).ok().filter(|n| *n > 0)?;
            if self.buffer.is_empty() {
                self.first = ms();
            }
            self.buffer.extend_from_slice(&chunk[..n]);
        }
    }
}

pub type CacheHandler = Arc<dyn Fn(&Received, &mut TcpStream) + Send + Sync>;

/// Starts a cache node. `PING` is answered at once; everything else goes to the handler.
pub fn cache_node(handler: CacheHandler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            let serve = move || {
                let _ = stream.set_nodelay(true);
                let mut commands = Commands::new();
                while let Some(received) = commands.next(&mut stream) {
                    if received.word(0).eq_ignore_ascii_case("PING") {
                        let _ = stream.write_all(b"+PONG\r\n");
                    } else {
                        handler(&received, &mut stream);
                    }
                }
            };
            let _ = thread::Builder::new().stack_size(256 * 1024).spawn(serve);
        }
    });
    address
}

/// The reply of a cache node that has the value.
pub fn hit(value: &[u8]) -> Vec<u8> {
    let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n$3\r\nhit\r\n$-1\r\n");
    out
}

// ---------------------------------------------------------------- origin

pub struct HttpCall {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    pub last_byte: f64,
}

pub fn read_http(s: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<HttpCall> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut first = lines.next()?.split(' ');
            let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
            let headers: HashMap<String, String> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(k, v)| (k.trim().to_ascii_lowercase(), v.trim().to_owned()))
                .collect();
            let length: usize = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some(HttpCall { method, path, headers, body, last_byte: ms() });
            }
        }
        let mut chunk = [0; 65536];
        let n = s.read(&mut chunk).ok().filter(|n| *n > 0)?;
        buffer.extend_from_slice(&chunk[..n]);
    }
}

pub type OriginHandler = Arc<dyn Fn(&HttpCall, &mut TcpStream) + Send + Sync>;

pub fn origin(handler: OriginHandler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some(call) = read_http(&mut stream, &mut buffer) {
                    handler(&call, &mut stream);
                }
            });
        }
    });
    address
}

pub fn http_ok(body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    out
}

// ---------------------------------------------------------------- discovery

/// The list and its changes, for any number of watches.
pub struct Discovery {
    pub address: SocketAddr,
    /// Versions in order: number, whether it is the whole list, the entries.
    log: Mutex<Vec<(u64, bool, String)>>,
    /// Says nothing while set: open watches and new calls stay open and are silent.
    silent: AtomicBool,
    pub calls: AtomicU64,
}

impl Discovery {
    pub fn start(rev: u64, targets: &[String]) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let d = Arc::new(Discovery {
            address: listener.local_addr().unwrap(),
            log: Mutex::new(vec![(rev, true, targets.join(","))]),
            silent: AtomicBool::new(false),
            calls: AtomicU64::new(0),
        });
        let shared = Arc::clone(&d);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(stream));
            }
        });
        d
    }

    /// Adds changes of the list.
    pub fn change(&self, entries: &[String]) {
        let mut log = self.log.lock().unwrap();
        let rev = log.last().unwrap().0 + 1;
        log.push((rev, false, entries.join(",")));
    }

    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    fn newer(&self, from: u64) -> Vec<(u64, bool, String)> {
        let log = self.log.lock().unwrap();
        if from < log[0].0 {
            return log.clone();
        }
        log.iter().filter(|(rev, _, _)| *rev > from).cloned().collect()
    }

    fn serve(&self, mut s: TcpStream) {
        let _ = s.set_nodelay(true);
        let mut buffer = Vec::new();
        let Some(call) = read_http(&mut s, &mut buffer) else { return };
        self.calls.fetch_add(1, Ordering::SeqCst);
        let mut from: u64 = call.path.split("from=").nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
        let _ = s.set_nonblocking(true);
        let mut begun = false;
        let mut beat = f64::NEG_INFINITY;
        loop {
            let mut byte = [0; 16];
            match s.read(&mut byte) {
                Ok(0) => return,
                Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => return,
                _ => {}
            }
            if !self.silent.load(Ordering::SeqCst) {
                let _ = s.set_nonblocking(false);
                if !begun {
                    begun = true;
                    if s.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
                        return;
                    }
                }
                let mut text = String::new();
                for (rev, all, entries) in self.newer(from) {
                    text += &format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[{entries}]}}\n");
                    from = rev;
                }
                if text.is_empty() && ms() >= beat + 2000.0 {
                    text.push('\n');
                }
                if !text.is_empty() {
                    beat = ms();
                    if s.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
                        return;
                    }
                }
                let _ = s.set_nonblocking(true);
            }
            sleep_ms(2);
        }
    }
}

pub fn target(uid: &str, at: SocketAddr, zone: &str, kind: &str, state: &str) -> String {
    format!("{{\"uid\":\"{uid}\",\"endpoint\":\"{at}\",\"az\":\"{zone}\",\"model\":\"{kind}\",\"pod_group\":0,\"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":0}}")
}

// ---------------------------------------------------------------- clients

/// Connects as a client with a small receive buffer, as behind a slow link.
pub fn connect_small(to: SocketAddr) -> std::io::Result<TcpStream> {
    use std::os::fd::AsRawFd;
    let s = TcpStream::connect(to)?;
    let bytes: i32 = 16 * 1024;
    // SOL_SOCKET, SO_RCVBUF.
    unsafe { setsockopt(s.as_raw_fd(), 1, 8, &bytes, 4) };
    Ok(s)
}

#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    Served(Vec<u8>),
    Busy,
    Failed(String),
    /// Nothing whole came: why.
    None(String),
}

impl Reply {
    pub fn name(&self) -> String {
        match self {
            Reply::Served(v) => format!("served {} bytes", v.len()),
            Reply::Busy => "busy".into(),
            Reply::Failed(t) => format!("failed {t}"),
            Reply::None(t) => format!("nothing ({t})"),
        }
    }
}

pub fn words(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Reads one reply.
pub fn read_reply(s: &mut TcpStream, buffer: &mut Vec<u8>, until: f64) -> Reply {
    loop {
        if let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") {
            let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
            match line.as_bytes().first() {
                Some(b'$') => match line[1..].parse::<i64>() {
                    Ok(-1) => {
                        buffer.drain(..end + 2);
                        return Reply::Failed("null".into());
                    }
                    Ok(n) => {
                        let n = n as usize;
                        if buffer.len() >= end + 2 + n + 2 {
                            let value = buffer[end + 2..end + 2 + n].to_vec();
                            buffer.drain(..end + 4 + n);
                            return Reply::Served(value);
                        }
                    }
                    Err(_) => return Reply::Failed(line),
                },
                _ => {
                    buffer.drain(..end + 2);
                    return if line.starts_with("-BUSY") { Reply::Busy } else { Reply::Failed(line) };
                }
            }
        }
        let left = until - ms();
        if left <= 0.0 {
            return Reply::None("no answer in time".into());
        }
        let _ = s.set_read_timeout(Some(Duration::from_secs_f64((left / 1000.0).max(0.001))));
        let mut chunk = [0; 65536];
        match s.read(&mut chunk) {
            Ok(0) => return Reply::None("closed".into()),
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(e) => return Reply::None(format!("{}", e.kind())),
        }
    }
}

static IDS: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst) * 0x9e37_79b9 + u64::from(std::process::id()) * 0x1_0000_0000_00)
}

/// A small generator of random numbers.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
}
