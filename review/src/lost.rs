//! Large values that are read slowly, and sign-offs with a short deadline.
//!
//! Some clients read values of 4 MiB, together far above the proxy's memory limit. With the disruption they read them
//! slowly, at a steady pace; without it at once. Other clients send sign-offs, one at a time each, which have 600 ms. Each
//! sign-off has to get its final answer in its time; half a second later it is lost.

mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 12;
const DEADLINE: Duration = Duration::from_millis(600);
/// A request answered later than this after its time is lost: half a second, and each time limit is 50 ms longer on
/// sockets.
const LOST_AFTER: Duration = Duration::from_millis(500 + 50);
const LARGE: usize = 4 << 20;
/// Clients that read large values: fewer than a third of the descriptors. They begin one after another.
const READERS: usize = 220;
const READERS_BEGIN_OVER: Duration = Duration::from_secs(4);
/// What a slow client reads in a second. A value takes it 32 s.
const SLOW_BYTES_A_SECOND: usize = 128 * 1024;
const SIGNERS: usize = 8;
const QUIET: Duration = Duration::from_secs(2);
const RUN_FOR: Duration = Duration::from_secs(26);
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1024;

fn main() {
    let case = Case::from_args();
    let record = case.record.clone();
    let value = Arc::new(vec![b'v'; LARGE]);
    let mut targets = Vec::new();
    for n in 0..NODES {
        let (record, value) = (record.clone(), Arc::clone(&value));
        targets.push(target(&format!("s-{n}"), "std", serve_with(move |s| serve_node(&record, &value, s, n))));
    }
    let runs: Shared<HashMap<String, u32>> = shared(HashMap::new());
    let (ran, origin_record) = (Arc::clone(&runs), record.clone());
    targets.push(target("records", "origin", serve_with(move |s| serve_origin(&origin_record, &ran, s))));
    let discovery = Discovery::start(targets.clone());
    let listen = free_address();
    let config =
        write_config(&case, "n0", listen, discovery.address, (MEMORY_MB, SOCKETS), &targets, &settings(4));
    let variables = [("EDGE_CONFIG", config.display().to_string())];
    let mut proxy = Process::start(&case, "n0", &case.run_command(), &variables);
    wait_ready(&case, listen, Duration::from_secs(30));
    let (results, outcomes) = mpsc::channel();
    let start = Instant::now();
    for n in 0..SIGNERS {
        let results = results.clone();
        thread::spawn(move || sign_off(n, listen, start, &results));
    }
    drop(results);
    let readers: Shared<(u32, u32)> = shared((0, 0));
    for n in 0..READERS {
        let (record, trouble, readers) = (record.clone(), case.trouble, Arc::clone(&readers));
        thread::spawn(move || {
            thread::sleep(QUIET + READERS_BEGIN_OVER * n as u32 / READERS as u32);
            let whole = read_large(n, listen, trouble, &record);
            record.line(format!("reader {n}: {whole:?}"));
            let mut readers = readers.lock().unwrap();
            if whole.is_ok_and(|whole| whole) {
                readers.0 += 1;
            } else {
                readers.1 += 1;
            }
        });
    }
    let (mut in_time, mut late, mut lost) = (0, 0, 0);
    for SignOff { id, sent, after, answer } in outcomes {
        let text = answer.as_ref().map_or_else(|e| format!("no answer ({e})"), Resp::text);
        let ran = runs.lock().unwrap().get(&id).copied().unwrap_or(0);
        let (sent, ms) = (sent.as_secs_f64(), after.as_secs_f64() * 1e3);
        let line = format!("close-week {id}, sent at {sent:.2} s: after {ms:.0} ms {text}; ran {ran} times");
        if answer.is_err() || after > DEADLINE + LOST_AFTER {
            lost += 1;
            record.say(format!("LOST: {line}"));
        } else if after > DEADLINE {
            late += 1;
            record.line(line);
        } else {
            in_time += 1;
            record.line(line);
        }
    }
    let (whole, not_whole) = *readers.lock().unwrap();
    record.say(format!("large values read whole: {whole}, ended otherwise: {not_whole}, of {READERS}"));
    record.say(format!("sign-offs: {in_time} answered in their 600 ms, {late} up to half a second later, {lost} lost"));
    if in_time < 20 || !proxy.running() {
        cannot("too few sign-offs were answered, or the proxy has ended");
    }
    finish(&case, lost > 0, "each request taken gets its final answer in its time");
}

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// A small receive buffer, as of a tablet on a weak link: what the client has not read stays with the proxy.
fn shrink_receive_buffer(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let size = 32 * 1024;
    // The call only reads the integer.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &size, 4) };
}

/// Reads one large value. Returns whether it came whole.
fn read_large(n: usize, proxy: SocketAddr, slowly: bool, record: &Record) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(proxy)?;
    shrink_receive_buffer(&stream);
    let (key, id) = (format!("large-{}", n % 40), format!("dd{n:014x}"));
    record.line(format!("reader {n}: OBJ.GET {key} {id}"));
    stream.write_all(&words(&["OBJ.GET", &key, &id, "c=read-sheet,t=constructora-ceiba,d=2000"]))?;
    let expected = format!("${LARGE}\r\n").len() + LARGE + 2;
    let (mut read, mut buffer, began) = (0, vec![0; 16 * 1024], Instant::now());
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    while read < expected {
        let got = stream.read(&mut buffer)?;
        if got == 0 {
            return Ok(false);
        }
        if read == 0 && buffer[0] != b'$' {
            record.line(format!("reader {n}: {}", String::from_utf8_lossy(&buffer[..got]).trim()));
            return Ok(false);
        }
        read += got;
        if slowly {
            let due = began + Duration::from_secs_f64(read as f64 / SLOW_BYTES_A_SECOND as f64);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    }
    Ok(true)
}

struct SignOff {
    id: String,
    sent: Duration,
    after: Duration,
    answer: std::io::Result<Resp>,
}

/// Sends sign-offs, each once the one before it is answered.
fn sign_off(n: usize, proxy: SocketAddr, start: Instant, results: &mpsc::Sender<SignOff>) {
    let Ok(mut client) = Client::connect(proxy) else { return };
    let mut count = 0;
    while start.elapsed() < RUN_FOR {
        count += 1;
        let id = format!("cc{n:02x}{count:012x}");
        let key = format!("week-{n}-{count}");
        let sent = start.elapsed();
        let answer = client.ask(
            &["OBJ.SET", &key, &id, "c=close-week,t=hermanos-ajuc,d=600", "signed"],
            Duration::from_secs(12),
        );
        let failed = answer.is_err();
        if results.send(SignOff { id, sent, after: start.elapsed() - sent, answer }).is_err() {
            return;
        }
        if failed {
            let Ok(other) = Client::connect(proxy) else { return };
            client = other;
        }
        thread::sleep(Duration::from_millis(200));
    }
}

/// A cache node that holds every large value.
fn serve_node(record: &Record, value: &[u8], stream: TcpStream, n: usize) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut writer, mut reader) = (stream.try_clone()?, BufReader::new(stream));
    loop {
        let Resp::Array(words) = read_resp(&mut reader)? else { return Ok(()) };
        let words: Vec<String> = words.iter().map(Resp::text).collect();
        if words[0] != "OBJ.GET" || words.len() != 4 {
            writer.write_all(b"+PONG\r\n")?;
            continue;
        }
        record.line(format!("node s-{n}: {} {}", words[1], words[2]));
        writer.write_all(format!("*3\r\n${}\r\n", value.len()).as_bytes())?;
        writer.write_all(value)?;
        writer.write_all(b"\r\n$3\r\nhit\r\n$-1\r\n")?;
    }
}

fn serve_origin(record: &Record, runs: &Mutex<HashMap<String, u32>>, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut writer, mut reader) = (stream.try_clone()?, BufReader::new(stream));
    loop {
        let request = read_http(&mut reader)?;
        let id = request.headers.get("x-call-id").cloned().unwrap_or_default();
        *runs.lock().unwrap().entry(id.clone()).or_insert(0) += 1;
        record.line(format!("origin: {} {} {id}", request.method, request.path));
        thread::sleep(Duration::from_millis(50));
        writer.write_all(&http_answer(200, format!("receipt for {id}").as_bytes()))?;
    }
}
