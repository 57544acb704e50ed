//! Large values with real sockets: passed on as they come, whole or visibly cut, in bounded memory.

mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
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
