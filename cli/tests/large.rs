//! Large values with real sockets: passed on as they come, whole or visibly cut, in bounded memory.

mod common;
use common::*;
use notchdoor_proxy::wire::resp::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const LARGE: usize = 4 * 1024 * 1024;

/// A byte of a value, by its place and its value's key.
fn byte(key: u8, at: usize) -> u8 {
    key.wrapping_mul(31).wrapping_add((at % 251) as u8)
}

/// A worker that answers each read with a value of `LARGE` bytes made from its key, in uneven pieces; a key that begins
/// with `b` breaks half way, one with `s` then says nothing more, and one with `x` ends in what is no reply.
fn worker() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut buffer = [0; 4096];
                while let Ok(n) = stream.read(&mut buffer) {
                    let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
                    let Some(key) = text.split("\r\n").nth(4).filter(|k| !k.is_empty()) else { return };
                    let key = key.as_bytes()[0];
                    let value: Vec<u8> = (0..LARGE).map(|at| byte(key, at)).collect();
                    let mut bytes = format!("*3\r\n${LARGE}\r\n").into_bytes();
                    bytes.extend(&value);
                    bytes.extend(if key == b'x' { b"noise".as_slice() } else { b"\r\n$3\r\nhit\r\n$-1\r\n" });
                    let end = if matches!(key, b'b' | b's') { LARGE / 2 } else { bytes.len() };
                    for piece in bytes[..end].chunks(77_777) {
                        if stream.write_all(piece).is_err() {
                            return;
                        }
                    }
                    match key {
                        b's' => std::thread::sleep(2 * PATIENCE),
                        b'b' => return,
                        _ => {}
                    }
                }
            });
        }
    });
    endpoint
}

fn start(registry: &Registry, memory: u32) -> Proxy {
    let origin = Peer::origin(Box::new(|_| http("500 x", "")));
    let list = [line_at("w", worker(), "in_service", 0), line("o", &origin, "in_service", 0)];
    Proxy::within(registry, &list, (1024, memory), None)
}

fn ask(proxy: &Proxy, key: &str, id: &str) -> TcpStream {
    let mut client = proxy.client();
    client.send(&["OBJ.GET", key, id, "c=read,t=acme,d=400"]);
    client.stream
}

/// Reads what comes until the value's last byte or the end: how many bytes of the value came, and whether all.
fn value(stream: &mut TcpStream, key: u8, pause: Duration) -> (usize, bool) {
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; 300_000]);
    let head = format!("${LARGE}\r\n").into_bytes();
    let whole = head.len() + LARGE + 2;
    while bytes.len() < whole {
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => bytes.extend(&buffer[..n]),
            _ => break,
        }
        std::thread::sleep(pause);
    }
    assert!(bytes.starts_with(&head), "{:?}", String::from_utf8_lossy(&bytes[..bytes.len().min(40)]));
    let end = bytes.len().min(head.len() + LARGE);
    let value = &bytes[head.len()..end];
    assert!(value.iter().enumerate().all(|(at, b)| *b == byte(key, at)), "the bytes that the worker gave");
    (value.len(), bytes.len() == whole && bytes.ends_with(b"\r\n"))
}

/// The most memory that the process has had, in MiB.
fn peak(proxy: &Proxy) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").trim().parse::<usize>().unwrap() / 1024
}

#[test]
fn many_large_values_at_once_come_whole_in_little_memory_and_hold_nobody_back() {
    let registry = Registry::start();
    let proxy = start(&registry, 32);
    // 40 values are 160 MiB, five times the limit. Few at a time, so that the module refuses none.
    let mut readers = Vec::new();
    for n in 0..40 {
        let (mut stream, key) = (ask(&proxy, &format!("k{n}"), &format!("id{n}")), b'k');
        // The first byte is there before the next one asks; the client reads the rest when it likes.
        stream.peek(&mut [0]).unwrap();
        readers.push(std::thread::spawn(move || value(&mut stream, key, Duration::from_millis(40))));
        if n == 20 {
            // A quick client beside the slow ones.
            let begun = Instant::now();
            assert_eq!(value(&mut ask(&proxy, "quick", "quick"), b'q', Duration::ZERO), (LARGE, true));
            assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
        }
    }
    for reader in readers {
        // Slower than the 400 ms that a request's head may wait: once begun, no time ends it.
        assert_eq!(reader.join().unwrap(), (LARGE, true));
    }
    assert!(peak(&proxy) < 16, "{} MiB", peak(&proxy));
    let vars = proxy.vars();
    assert_eq!((&vars["served"]["read"], &vars["in_flight"]), (&41.into(), &0.into()));
}

#[test]
fn what_cannot_be_passed_on_to_its_end_is_cut_and_counted_once_as_failed() {
    let registry = Registry::start();
    let proxy = start(&registry, 192);
    for (n, (key, came)) in [("b", LARGE / 2), ("s", LARGE / 2), ("x", LARGE)].into_iter().enumerate() {
        let begun = Instant::now();
        let (got, whole) = value(&mut ask(&proxy, key, key), key.as_bytes()[0], Duration::ZERO);
        // All that the worker gave, but for the head of its reply, and then the end of the connection.
        assert!(!whole && got <= came && got + 64 >= came, "{key}: {got} of {came}, whole={whole}");
        assert!(begun.elapsed() < Duration::from_secs(6), "{key}: {:?}", begun.elapsed());
        let vars = proxy.vars();
        assert_eq!((&vars["failed"]["read"], &vars["in_flight"]), (&(n + 1).into(), &0.into()), "{key}");
    }
    // A client that leaves in the middle holds nothing up, and is in no figure.
    let mut leaver = ask(&proxy, "k", "leaver");
    leaver.read_exact(&mut [0; 1000]).unwrap();
    drop(leaver);
    assert_eq!(value(&mut ask(&proxy, "k", "next"), b'k', Duration::ZERO), (LARGE, true));
    assert_eq!((&proxy.vars()["served"]["read"], &proxy.vars()["in_flight"]), (&1.into(), &0.into()));
    proxy.signal("TERM");
    let (good, log) = proxy.wait();
    assert!(good && log.contains(" ending_answer_cut=3 "), "{log}");
}

/// The path and the length of each write that came whole.
type Written = Arc<Mutex<Vec<(String, usize)>>>;

/// An origin that takes writes and checks and remembers each one that came whole. It reads slowly
/// where the path begins with `/slow`.
fn writable() -> (Peer, Written) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = listener.local_addr().unwrap();
    let whole = Written::default();
    let told = Arc::clone(&whole);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let told = Arc::clone(&told);
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                loop {
                    let (mut lines, mut length) = (Vec::new(), 0);
                    loop {
                        let mut line = String::new();
                        if reader.read_line(&mut line).unwrap_or(0) == 0 {
                            return;
                        }
                        if let Some(n) = line.strip_prefix("Content-Length: ") {
                            length = n.trim().parse().unwrap();
                        }
                        if line.trim().is_empty() {
                            break;
                        }
                        lines.push(line);
                    }
                    let path = lines[0].split(' ').nth(1).unwrap().to_owned();
                    let mut value = vec![0; length];
                    for piece in value.chunks_mut(100_000) {
                        if reader.read_exact(piece).is_err() {
                            return;
                        }
                        if path.starts_with("/slow") {
                            std::thread::sleep(Duration::from_millis(20));
                        }
                    }
                    assert!(
                        value.iter().enumerate().all(|(at, b)| *b == byte(7, at)),
                        "{path}: as it was written"
                    );
                    told.lock().unwrap().push((path, length));
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                    reader.get_mut().write_all(answer).unwrap();
                }
            });
        }
    });
    (Peer::at(endpoint), whole)
}

fn write_head(key: &str, id: &str, class: &str, length: usize) -> Vec<u8> {
    let info = format!("c={class},t=acme,d=1500");
    let (k, i, n) = (key.len(), id.len(), info.len());
    format!("*5\r\n$7\r\nOBJ.SET\r\n${k}\r\n{key}\r\n${i}\r\n{id}\r\n${n}\r\n{info}\r\n${length}\r\n")
        .into_bytes()
}

/// Sends a write in pieces with a pause between any two; gives the answer's line.
fn write(proxy: &Proxy, (key, id, class): (&str, &str, &str), length: usize, pause: Duration) -> String {
    let mut client = proxy.client().stream;
    let mut bytes = write_head(key, id, class, length);
    bytes.extend((0..length).map(|at| byte(7, at)));
    bytes.extend(b"\r\n");
    for piece in bytes.chunks(300_001) {
        client.write_all(piece).unwrap();
        std::thread::sleep(pause);
    }
    let mut line = String::new();
    BufReader::new(client).read_line(&mut line).unwrap();
    line.trim().to_owned()
}

#[test]
fn large_writes_come_whole_in_little_memory_however_slowly_they_are_sent_or_taken() {
    let (registry, (origin, whole)) = (Registry::start(), writable());
    let cache = Peer::worker(Box::new(|_| None));
    let list = [line("w", &cache, "in_service", 0), line("o", &origin, "in_service", 0)];
    let proxy = Proxy::within(&registry, &list, (1024, 32), None);
    // One whose sending takes longer than the 1.5 s that its client waits for the answer: that time begins behind it.
    assert_eq!(write(&proxy, ("k", "id", "close"), LARGE, Duration::from_millis(130)), "$2");
    std::thread::scope(|scope| {
        for round in 0..6 {
            // Six at once, within the window of a start; 36 are 144 MiB, over four times the limit.
            let writers: Vec<_> = (0..6)
                .map(|n| {
                    let (proxy, key) = (&proxy, format!("{}{n}", if n % 2 == 0 { "slow" } else { "k" }));
                    scope.spawn(move || {
                        // The module may refuse one while the origin is slow: it comes again, as clients do.
                        let tries = (0..50).map(|t| {
                            std::thread::sleep(Duration::from_millis(if t > 0 { 50 } else { 0 }));
                            write(proxy, (&key, &format!("r{round}n{n}t{t}"), "fix"), LARGE, Duration::ZERO)
                        });
                        tries.into_iter().find(|told| !told.starts_with("-BUSY")).expect("taken in the end")
                    })
                })
                .collect();
            for writer in writers {
                assert_eq!(writer.join().unwrap(), "$2");
            }
        }
    });
    let whole = whole.lock().unwrap();
    assert!(whole.len() == 37 && whole.iter().all(|(_, length)| *length == LARGE), "{}", whole.len());
    assert!(peak(&proxy) < 16, "{} MiB", peak(&proxy));
    let vars = proxy.vars();
    assert_eq!(
        (&vars["served"]["fix"], &vars["served"]["close"], &vars["in_flight"]),
        (&36.into(), &1.into(), &0.into())
    );
}

#[test]
fn a_large_write_that_is_not_finished_never_runs_and_one_that_is_not_taken_is_skipped() {
    let (registry, (origin, whole)) = (Registry::start(), writable());
    let cache = Peer::worker(Box::new(|_| None));
    let list = [line("w", &cache, "in_service", 0), line("o", &origin, "in_service", 0)];
    let proxy = Proxy::within(&registry, &list, (1024, 192), None);
    let half: Vec<u8> = (0..LARGE / 2).map(|at| byte(7, at)).collect();
    // One that goes away, and one that stays and says nothing more.
    for stays in [false, true] {
        let mut client = proxy.client().stream;
        client.write_all(&write_head("k", if stays { "a" } else { "b" }, "close", LARGE)).unwrap();
        client.write_all(&half).unwrap();
        std::thread::sleep(Duration::from_millis(100));
        if stays {
            let mut line = String::new();
            client.set_read_timeout(Some(PATIENCE)).unwrap();
            BufReader::new(client).read_line(&mut line).unwrap();
            assert_eq!(line, "-ERR the command took too long\r\n");
        }
    }
    // One of a class that nobody knows, of a length that nobody takes, and in a form that is none.
    let told = write(&proxy, ("k", "c", "none"), LARGE, Duration::ZERO);
    assert_eq!(told, "-ERR unknown class");
    let mut client = proxy.client();
    client.stream.write_all(&write_head("k", "d", "close", LARGE + 1)).unwrap();
    assert!(matches!(client.next(), Some(Value::Error(line)) if line.starts_with(b"ERR Protocol error")));
    // One without an origin is refused behind its last byte, and its connection takes the next command.
    registry.watches.recv_timeout(PATIENCE).unwrap();
    registry.say(42, &[line("o", &origin, "terminated", 0)]);
    proxy.logged("version 42");
    let mut client = proxy.client();
    let mut bytes = write_head("k", "e", "close", LARGE);
    bytes.extend((0..LARGE).map(|at| byte(7, at)));
    bytes.extend(b"\r\n*1\r\n$4\r\nPING\r\n");
    client.stream.write_all(&bytes).unwrap();
    let refused = client.next().unwrap();
    assert!(busy(&refused), "{refused:?}");
    assert_eq!(client.next(), Some(Value::Simple(b"PONG".to_vec())));
    assert_eq!(*whole.lock().unwrap(), []);
    let vars = proxy.vars();
    assert_eq!(
        (&vars["served"]["close"], &vars["in_flight"], &vars["refused"]["close"]),
        (&0.into(), &0.into(), &1.into())
    );
}

#[test]
fn a_head_that_takes_two_seconds_is_served() {
    let registry = Registry::start();
    let proxy = start(&registry, 192);
    let mut client = proxy.client();
    let head = b"*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$20\r\nc=read,t=acme,d=1500\r\n";
    for piece in head.chunks(head.len() / 4) {
        client.stream.write_all(piece).unwrap();
        std::thread::sleep(Duration::from_millis(490));
    }
    assert_eq!(value(&mut client.stream, b'k', Duration::ZERO), (LARGE, true));
}
