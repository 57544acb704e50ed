//! Stand-ins and process control for the cases, with the standard library alone.
//!
//! Everything listens on free ports of 127.0.0.1. Clients, cache nodes, the origin and discovery speak what the protocol
//! page says. Each event is written to the record with its time in milliseconds since the start of the run.
#![allow(dead_code)]

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{self, BufReader, BufRead, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The record of a run. Cloned freely; all copies write to one file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<io::BufWriter<File>>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        let file = io::BufWriter::new(File::create(path)?);
        Ok(Record { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:10.1} {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}

/// What every case needs: the repository's root, a private folder, the record and whether the disruption is on.
pub struct Case {
    pub root: PathBuf,
    pub temp: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

impl Case {
    /// Arguments: the root of the repository, the temporary folder, the record's path.
    pub fn from_args() -> Case {
        let args: Vec<String> = std::env::args().collect();
        if args.len() != 4 {
            eprintln!("usage: {} ROOT TEMP RECORD", args[0]);
            std::process::exit(COULD_NOT_RUN);
        }
        // A run takes 120 s at most.
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(116));
            cannot("it took too long")
        });
        let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
        let record = Record::create(Path::new(&args[3])).unwrap_or_else(|e| cannot(format!("record: {e}")));
        Case { root: PathBuf::from(&args[1]), temp: PathBuf::from(&args[2]), record, trouble }
    }

    /// The value of `run` in the deploy file.
    pub fn run_command(&self) -> String {
        let text = std::fs::read_to_string(self.root.join("deploy/balancer.toml"))
            .unwrap_or_else(|e| cannot(format!("deploy/balancer.toml: {e}")));
        let line = text.lines().find_map(|l| l.strip_prefix("run = "));
        line.map(|l| l.trim().trim_matches('"').to_owned()).unwrap_or_else(|| cannot("deploy file: no run"))
    }
}

/// Ends the run because it could not be played.
pub fn cannot(why: impl AsRef<str>) -> ! {
    eprintln!("cannot run: {}", why.as_ref());
    KILL_ALL.lock().unwrap().iter().for_each(|pid| kill(*pid, "KILL"));
    std::process::exit(COULD_NOT_RUN)
}

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

static KILL_ALL: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills whatever this program has started and not ended yet.
pub fn kill_all() {
    KILL_ALL.lock().unwrap().drain(..).for_each(|pid| kill(pid, "KILL"));
}

fn kill(pid: u32, signal: &str) {
    let _ = Command::new("kill").args([format!("-{signal}"), pid.to_string()]).stderr(Stdio::null()).status();
}

/// A process that the case started.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    /// Starts a shell command from the root of the repository, with these variables and a private `TMPDIR`.
    pub fn start(case: &Case, name: &str, command: &str, variables: &[(&str, String)]) -> Process {
        let tmp = case.temp.join(format!("{name}.tmp"));
        std::fs::create_dir_all(&tmp).unwrap_or_else(|e| cannot(format!("{}: {e}", tmp.display())));
        let log = case.temp.join(format!("{name}.log"));
        let open = || std::fs::OpenOptions::new().create(true).append(true).open(&log);
        let (out, err) = match (open(), open()) {
            (Ok(out), Ok(err)) => (out, err),
            _ => cannot(format!("{}: cannot be written", log.display())),
        };
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(command).current_dir(&case.root).env("TMPDIR", &tmp);
        shell.envs(variables.iter().map(|(k, v)| (*k, v.as_str())));
        shell.stdin(Stdio::null()).stdout(out).stderr(err);
        // The process ends with this one, however this one ends. `prctl` only sets a flag of the new process.
        unsafe { shell.pre_exec(|| if prctl(PR_SET_PDEATHSIG, SIGKILL) == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }) };
        let child = shell.spawn().unwrap_or_else(|e| cannot(format!("{command}: {e}")));
        KILL_ALL.lock().unwrap().push(child.id());
        case.record.line(format!("started {name}: {command}"));
        Process { name: name.to_owned(), child }
    }

    pub fn signal(&self, signal: &str) {
        kill(self.child.id(), signal);
    }

    /// Kills the process outright and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id();
        KILL_ALL.lock().unwrap().retain(|p| *p != pid);
    }

    pub fn running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process to end by itself; its exit code.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                let pid = self.child.id();
                KILL_ALL.lock().unwrap().retain(|p| *p != pid);
                return status.code();
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An address whose port was free a moment ago.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap_or_else(|e| cannot(format!("port: {e}")))
}

/// A small reproducible generator (SplitMix64).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Uniform in [0, 1).
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }
}

// ---- RESP ------------------------------------------------------------------------------------------------------------

/// A RESP2 value, as far as clients and cache nodes exchange them.
#[derive(Clone, Debug, PartialEq)]
pub enum Resp {
    Line(String),
    Bulk(Option<Vec<u8>>),
    Array(Vec<Resp>),
}

impl Resp {
    pub fn text(&self) -> String {
        match self {
            Resp::Line(line) => line.clone(),
            Resp::Bulk(None) => "null".to_owned(),
            Resp::Bulk(Some(bytes)) if bytes.len() > 200 => format!("value of {} bytes", bytes.len()),
            Resp::Bulk(Some(bytes)) => String::from_utf8_lossy(bytes).into_owned(),
            Resp::Array(items) => items.iter().map(Resp::text).collect::<Vec<_>>().join(" "),
        }
    }
}

fn read_line(from: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    from.read_until(b'\n', &mut line)?;
    if !line.ends_with(b"\r\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    line.truncate(line.len() - 2);
    Ok(String::from_utf8_lossy(&line).into_owned())
}

pub fn read_resp(from: &mut impl BufRead) -> io::Result<Resp> {
    let line = read_line(from)?;
    let number = || line[1..].parse::<i64>().map_err(|_| io::Error::from(io::ErrorKind::InvalidData));
    match line.as_bytes().first() {
        Some(b'$') => {
            let n = number()?;
            if n < 0 {
                return Ok(Resp::Bulk(None));
            }
            let mut bytes = vec![0; n as usize + 2];
            from.read_exact(&mut bytes)?;
            bytes.truncate(n as usize);
            Ok(Resp::Bulk(Some(bytes)))
        }
        Some(b'*') => {
            let n = number()?;
            Ok(Resp::Array((0..n.max(0)).map(|_| read_resp(from)).collect::<io::Result<_>>()?))
        }
        Some(b'+' | b'-' | b':') => Ok(Resp::Line(line)),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// A command as an array of bulk strings.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

pub fn words(words: &[&str]) -> Vec<u8> {
    command(&words.iter().map(|w| w.as_bytes()).collect::<Vec<_>>())
}

/// A connection of a client to a proxy.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(to: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// The next answer; an error once `limit` has passed.
    pub fn answer(&mut self, limit: Duration) -> io::Result<Resp> {
        self.stream.set_read_timeout(Some(limit.max(Duration::from_millis(1))))?;
        read_resp(&mut self.reader)
    }

    pub fn ask(&mut self, words_: &[&str], limit: Duration) -> io::Result<Resp> {
        self.send(&words(words_))?;
        self.answer(limit)
    }
}

/// Waits until a proxy answers `PING` with `+PONG`.
pub fn wait_ready(case: &Case, at: SocketAddr, limit: Duration) {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        let pong = Client::connect(at).and_then(|mut c| c.ask(&["PING"], Duration::from_secs(1)));
        if pong.is_ok_and(|p| p == Resp::Line("+PONG".to_owned())) {
            return case.record.line(format!("proxy at {at} is ready"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    cannot(format!("proxy at {at} is not ready"))
}

// ---- HTTP ------------------------------------------------------------------------------------------------------------

/// A request read from an HTTP connection.
pub struct HttpRequest {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

pub fn read_http(from: &mut impl BufRead) -> io::Result<HttpRequest> {
    let first = read_line(from)?;
    let mut parts = first.split(' ');
    let method = parts.next().unwrap_or_default().to_owned();
    let path = parts.next().unwrap_or_default().to_owned();
    let mut headers = HashMap::new();
    loop {
        let line = read_line(from)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    Ok(HttpRequest { method, path, headers, body })
}

pub fn http_answer(status: u16, body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    out
}

// ---- Discovery -------------------------------------------------------------------------------------------------------

/// One line of the list.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub model: String,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Target {
    pub fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"{}","pod_group":0,"state":"{}","capacity_hint":1.0,"boot_ms":{}}}"#,
            self.uid, self.endpoint, self.zone, self.model, self.state, self.boot_ms
        )
    }
}

pub fn list_json(rev: u64, all: bool, targets: &[Target]) -> String {
    let lines: Vec<String> = targets.iter().map(Target::json).collect();
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, lines.join(","))
}

/// Discovery with a list that does not change: the whole list to whoever asks, a heartbeat each 2 s on a watch.
pub struct Discovery {
    pub address: SocketAddr,
}

impl Discovery {
    pub fn start(targets: Vec<Target>) -> Discovery {
        let listener = listen();
        let address = listener.local_addr().unwrap();
        let list = Arc::new(list_json(1, true, &targets));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = Arc::clone(&list);
                thread::spawn(move || drop(serve_discovery(stream, &list)));
            }
        });
        Discovery { address }
    }
}

fn serve_discovery(mut stream: TcpStream, list: &str) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let request = read_http(&mut reader)?;
    if !request.path.contains("watch=1") {
        return stream.write_all(&http_answer(200, list.as_bytes()));
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let chunk = |line: &str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    stream.write_all(chunk(list).as_bytes())?;
    loop {
        thread::sleep(Duration::from_secs(2));
        stream.write_all(chunk("").as_bytes())?;
    }
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot(format!("port: {e}")))
}

/// Serves each connection to a new listener on a thread of its own.
pub fn serve_with(serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static) -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || drop(serve(stream)));
        }
    });
    address
}

/// An entry of the list, in service for long, in the proxy's own room.
pub fn target(uid: &str, model: &str, endpoint: SocketAddr) -> Target {
    Target {
        uid: uid.to_owned(),
        endpoint,
        zone: "xela".to_owned(),
        model: model.to_owned(),
        state: "in_service",
        boot_ms: 0,
    }
}

// ---- Relay -----------------------------------------------------------------------------------------------------------

/// A relay in front of a server: every piece of bytes is passed on after a delay between two bounds, in order.
pub struct Relay {
    pub address: SocketAddr,
    gone: Flag,
    open: Shared<Vec<TcpStream>>,
}

impl Relay {
    pub fn start(to: SocketAddr, delay_ms: (f64, f64), seed: u64) -> Relay {
        let listener = listen();
        let address = listener.local_addr().unwrap();
        let (gone, open) = (Flag::default(), shared(Vec::new()));
        let (cut, kept): (Flag, Shared<Vec<TcpStream>>) = (Arc::clone(&gone), Arc::clone(&open));
        thread::spawn(move || {
            let mut n = seed;
            for stream in listener.incoming().flatten() {
                if cut.load(ORDER) {
                    continue;
                }
                kept.lock().unwrap().extend(stream.try_clone());
                let Ok(server) = TcpStream::connect(to) else { continue };
                let _ = (stream.set_nodelay(true), server.set_nodelay(true));
                let (Ok(a), Ok(b)) = (stream.try_clone(), server.try_clone()) else { continue };
                n = n.wrapping_add(2);
                pass(stream, server, delay_ms, n);
                pass(b, a, delay_ms, n.wrapping_add(1));
            }
        });
        Relay { address, gone, open }
    }

    /// Resets the open connections and takes no new one.
    pub fn cut(&self) {
        self.gone.store(true, ORDER);
        self.open.lock().unwrap().drain(..).for_each(|s| drop(s.shutdown(Shutdown::Both)));
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, (low, high): (f64, f64), seed: u64) {
    let (pieces, queue) = mpsc::channel::<(Instant, Vec<u8>)>();
    let Ok(ended) = from.try_clone() else { return };
    thread::spawn(move || {
        let (mut random, mut buffer) = (Random(seed.wrapping_mul(0x9e37_79b9)), vec![0; 65536]);
        while let Ok(n) = from.read(&mut buffer) {
            if n == 0 {
                break;
            }
            let due = Instant::now() + Duration::from_secs_f64(random.between(low, high) / 1e3);
            if pieces.send((due, buffer[..n].to_vec())).is_err() {
                break;
            }
        }
    });
    thread::spawn(move || {
        for (due, bytes) in queue {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        // One end has gone: so has the connection.
        let _ = (to.shutdown(Shutdown::Both), ended.shutdown(Shutdown::Both));
    });
}

// ---- Settings --------------------------------------------------------------------------------------------------------

/// The settings of the first site, as the interface page shows them, and its classes.
pub fn settings(balancers: u32) -> String {
    format!(
        r#"{{"balancers":{balancers},"me":0,"family":"cache","layer":0,"layers":["cache-hojas"],"zone":"xela",
 "clients":{{"marksRetry":true}},"countedBy":"request","dcs":["zona-4","mixco","escuintla","xela"],"discovery":"on_request",
 "familyInfo":{{"mode":"aside","originKind":2,"originFall":3000.0,"originFallMultiple":3.0}},
 "grades":[{{"aim":750.0,"deadline":2000.0,"dedupScope":"all","dedupWindow":5000.0,"effect":"idempotent","lateShare":0.2,"name":"read-sheet","points":2.0,"stream":false}},
  {{"aim":800.0,"deadline":2000.0,"dedupScope":"all","dedupWindow":2000.0,"effect":"deduplicated","lateShare":0.5,"name":"fix-hours","points":3.0,"stream":false}},
  {{"aim":300.0,"deadline":600.0,"dedupScope":"all","dedupWindow":5000.0,"effect":"at_most_once","lateShare":0.25,"name":"close-week","points":8.0,"stream":false}}],
 "limits":{{"connectTimeout":150.0,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"idleClose":30000.0,"maxAttempts":3,"maxRetryAfter":1000.0,"mayCancel":true,"mostHeld":20000,"peers":false,"probes":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":32}},
 "obligations":{{"answerSlack":20.0,"askEvery":10000.0,"cold":8100.0,"coldFrom":0.31,"drainGrace":1000.0,"fallMultiple":4.0,"tipAfter":2000.0}},
 "overShareWorth":0.05,"report":{{"fields":["rate","fail_rate","busy","x1"],"how":"inline"}},"skus":["std","slow","origin"],
 "tenants":[{{"name":"constructora-ceiba","portion":0.45,"quotaPerS":930.0}},{{"name":"obras-pinar","portion":0.4,"quotaPerS":830.0}},{{"name":"hermanos-ajuc","portion":0.15,"quotaPerS":310.0}}],
 "tick":5.0,"weightKind":"rough"}}"#
    )
}

/// Writes a proxy's configuration file and returns its path.
pub fn write_config(
    case: &Case,
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    (memory_mb, sockets): (u32, u32),
    known: &[Target],
    settings: &str,
) -> PathBuf {
    let path = case.temp.join(format!("{name}.json"));
    let known = list_json(0, true, known);
    let text = format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
    );
    std::fs::write(&path, text).unwrap_or_else(|e| cannot(format!("{}: {e}", path.display())));
    path
}

/// Ends the run with a verdict.
pub fn finish(case: &Case, broken: bool, text: &str) -> ! {
    let verdict = if broken { "BROKEN" } else { "held" };
    case.record.say(format!("{verdict}: {text}"));
    case.record.flush();
    kill_all();
    std::process::exit(if broken { BROKEN } else { HELD })
}

pub type Shared<T> = Arc<Mutex<T>>;

pub fn shared<T>(value: T) -> Shared<T> {
    Arc::new(Mutex::new(value))
}

pub type Flag = Arc<AtomicBool>;
pub type Count = Arc<AtomicU64>;
pub type Names = HashSet<String>;
pub const ORDER: Ordering = Ordering::SeqCst;
