//! Large values over real sockets: streamed in bounded memory, and delivered whole or visibly truncated.

mod common;
use common::*;
use notchdoor_proxy::wire::resp::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const VALUE_BYTES: usize = 4 * 1024 * 1024;

/// Returns the expected byte at this offset of a key's value.
fn byte_at(key: u8, at: usize) -> u8 {
    key.wrapping_mul(31).wrapping_add((at % 251) as u8)
}

/// A backend that answers each read with a value of `VALUE_BYTES` derived from its key, in uneven pieces. A key that starts
/// with `b` closes the connection half way, `s` stalls half way, and `x` sends garbage after the value.
fn backend() -> std::net::SocketAddr {
    streaming_backend::start(|stream, words| {
        let key = words[1].as_bytes()[0];
        let value: Vec<u8> = (0..VALUE_BYTES).map(|at| byte_at(key, at)).collect();
        let mut bytes = format!("*3\r\n${VALUE_BYTES}\r\n").into_bytes();
        bytes.extend(&value);
        bytes.extend(if key == b'x' { b"noise".as_slice() } else { b"\r\n$3\r\nhit\r\n$-1\r\n" });
        let end = if matches!(key, b'b' | b's') { VALUE_BYTES / 2 } else { bytes.len() };
        for piece in bytes[..end].chunks(77_777) {
            if stream.write_all(piece).is_err() {
                return false;
            }
        }
        if key == b's' {
            std::thread::sleep(2 * TIMEOUT);
        }
        key != b'b'
    })
}

fn start_proxy(discovery: &FakeDiscovery, memory: u32) -> Proxy {
    let origin = FakeServer::origin(Box::new(|_| http_response("500 x", "")));
    let list =
        [endpoint_entry_at("w", backend(), "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    Proxy::with_limits(discovery, &list, (1024, memory), None)
}

fn send_read(proxy: &Proxy, key: &str, id: &str) -> TcpStream {
    let mut client = proxy.client();
    client.send(&["OBJ.GET", key, id, "c=read,t=acme,d=400"]);
    client.stream
}

/// Reads a value up to its end or the end of the connection. Returns the number of its bytes received, and whether the
/// response was complete.
fn read_value(stream: &mut TcpStream, key: u8, pause: Duration) -> (usize, bool) {
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; 300_000]);
    let head = format!("${VALUE_BYTES}\r\n").into_bytes();
    let response_bytes = head.len() + VALUE_BYTES + 2;
    while bytes.len() < response_bytes {
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => bytes.extend(&buffer[..n]),
            _ => break,
        }
        std::thread::sleep(pause);
    }
    assert!(bytes.starts_with(&head), "{:?}", String::from_utf8_lossy(&bytes[..bytes.len().min(40)]));
    let end = bytes.len().min(head.len() + VALUE_BYTES);
    let value = &bytes[head.len()..end];
    assert!(
        value.iter().enumerate().all(|(at, b)| *b == byte_at(key, at)),
        "the value differs from what the backend sent"
    );
    (value.len(), bytes.len() == response_bytes && bytes.ends_with(b"\r\n"))
}

#[test]
fn concurrent_large_reads_are_streamed_in_bounded_memory_without_delaying_others() {
    let discovery = FakeDiscovery::start();
    let proxy = start_proxy(&discovery, 32);
    // 40 values are 160 MiB, five times the limit. Started one by one, so that none is rejected.
    let mut readers = Vec::new();
    for n in 0..40 {
        let (mut stream, key) = (send_read(&proxy, &format!("k{n}"), &format!("id{n}")), b'k');
        // Wait for the first byte before the next request; the client reads the rest slowly.
        stream.peek(&mut [0]).unwrap();
        readers.push(std::thread::spawn(move || read_value(&mut stream, key, Duration::from_millis(40))));
        if n == 20 {
            // A fast client among the slow ones.
            let started = Instant::now();
            assert_eq!(
                read_value(&mut send_read(&proxy, "quick", "quick"), b'q', Duration::ZERO),
                (VALUE_BYTES, true)
            );
            assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
        }
    }
    for reader in readers {
        // The transfer takes longer than the 400 ms deadline, which applies only until the response begins.
        assert_eq!(reader.join().unwrap(), (VALUE_BYTES, true));
    }
    assert!(proxy.peak_memory_kib() < 16 * 1024, "{} KiB", proxy.peak_memory_kib());
    let vars = proxy.metrics();
    assert_eq!((&vars["served"]["read"], &vars["in_flight"]), (&41.into(), &0.into()));
}

#[test]
fn interrupted_large_read_closes_the_connection_and_counts_as_failed_once() {
    let discovery = FakeDiscovery::start();
    let proxy = start_proxy(&discovery, 192);
    for (n, (key, sent)) in
        [("b", VALUE_BYTES / 2), ("s", VALUE_BYTES / 2), ("x", VALUE_BYTES)].into_iter().enumerate()
    {
        let started = Instant::now();
        let (got, complete) = read_value(&mut send_read(&proxy, key, key), key.as_bytes()[0], Duration::ZERO);
        // Everything that the backend sent, except for its response header, and then the end of the connection.
        assert!(!complete && got <= sent && got + 64 >= sent, "{key}: {got} of {sent}, complete={complete}");
        assert!(started.elapsed() < Duration::from_secs(6), "{key}: {:?}", started.elapsed());
        let vars = proxy.metrics();
        assert_eq!((&vars["failed"]["read"], &vars["in_flight"]), (&(n + 1).into(), &0.into()), "{key}");
    }
    // A client that disconnects half way blocks nothing and is not counted.
    let mut disconnecting = send_read(&proxy, "k", "leaver");
    disconnecting.read_exact(&mut [0; 1000]).unwrap();
    drop(disconnecting);
    assert_eq!(read_value(&mut send_read(&proxy, "k", "next"), b'k', Duration::ZERO), (VALUE_BYTES, true));
    assert_eq!((&proxy.metrics()["served"]["read"], &proxy.metrics()["in_flight"]), (&1.into(), &0.into()));
    proxy.signal("TERM");
    let (exited_cleanly, log) = proxy.wait_for_exit();
    assert!(exited_cleanly && log.contains(" ending_answer_cut=3 "), "{log}");
}

/// Path and length of each write that was received completely.
type CompletedWrites = Arc<Mutex<Vec<(String, usize)>>>;

/// An origin that verifies and records each write that it receives completely. It reads slowly if the path starts with
/// `/slow`.
fn recording_origin() -> (FakeServer, CompletedWrites) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = listener.local_addr().unwrap();
    let completed = CompletedWrites::default();
    let writes = Arc::clone(&completed);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let writes = Arc::clone(&writes);
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
                        value.iter().enumerate().all(|(at, b)| *b == byte_at(7, at)),
                        "{path}: the value differs from what the client wrote"
                    );
                    writes.lock().unwrap().push((path, length));
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                    reader.get_mut().write_all(answer).unwrap();
                }
            });
        }
    });
    (FakeServer::external(endpoint), completed)
}

fn write_head(key: &str, id: &str, class: &str, length: usize) -> Vec<u8> {
    let info = format!("c={class},t=acme,d=1500");
    let (k, i, n) = (key.len(), id.len(), info.len());
    format!("*5\r\n$7\r\nOBJ.SET\r\n${k}\r\n{key}\r\n${i}\r\n{id}\r\n${n}\r\n{info}\r\n${length}\r\n")
        .into_bytes()
}

/// Sends a write in pieces with a pause after each. Returns the first line of the response.
fn send_write(proxy: &Proxy, (key, id, class): (&str, &str, &str), length: usize, pause: Duration) -> String {
    let mut client = proxy.client().stream;
    let mut bytes = write_head(key, id, class, length);
    bytes.extend((0..length).map(|at| byte_at(7, at)));
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
fn large_writes_with_slow_clients_or_origins_complete_in_bounded_memory() {
    let (discovery, (origin, completed)) = (FakeDiscovery::start(), recording_origin());
    let cache = FakeServer::backend(Box::new(|_| None));
    let list = [endpoint_entry("w", &cache, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::with_limits(&discovery, &list, (1024, 32), None);
    // Sending takes longer than the 1.5 s deadline, which starts only after the last byte of the value.
    assert_eq!(send_write(&proxy, ("k", "id", "close"), VALUE_BYTES, Duration::from_millis(130)), "$2");
    std::thread::scope(|scope| {
        for round in 0..6 {
            // Six at once fit in the initial congestion window; 36 are 144 MiB, over four times the memory limit.
            let writers: Vec<_> = (0..6)
                .map(|n| {
                    let (proxy, key) = (&proxy, format!("{}{n}", if n % 2 == 0 { "slow" } else { "k" }));
                    scope.spawn(move || {
                        // A write may be rejected while the origin is slow and is then retried, as clients do.
                        let tries = (0..50).map(|t| {
                            std::thread::sleep(Duration::from_millis(if t > 0 { 50 } else { 0 }));
                            send_write(
                                proxy,
                                (&key, &format!("r{round}n{n}t{t}"), "fix"),
                                VALUE_BYTES,
                                Duration::ZERO,
                            )
                        });
                        tries
                            .into_iter()
                            .find(|answer| !answer.starts_with("-BUSY"))
                            .expect("every try was rejected")
                    })
                })
                .collect();
            for writer in writers {
                assert_eq!(writer.join().unwrap(), "$2");
            }
        }
    });
    let completed = completed.lock().unwrap();
    assert!(
        completed.len() == 37 && completed.iter().all(|(_, length)| *length == VALUE_BYTES),
        "{}",
        completed.len()
    );
    assert!(proxy.peak_memory_kib() < 16 * 1024, "{} KiB", proxy.peak_memory_kib());
    let vars = proxy.metrics();
    assert_eq!(
        (&vars["served"]["fix"], &vars["served"]["close"], &vars["in_flight"]),
        (&36.into(), &1.into(), &0.into())
    );
}

#[test]
fn unfinished_large_write_is_not_executed_and_rejected_one_is_skipped() {
    let (discovery, (origin, completed)) = (FakeDiscovery::start(), recording_origin());
    let cache = FakeServer::backend(Box::new(|_| None));
    let list = [endpoint_entry("w", &cache, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::with_limits(&discovery, &list, (1024, 192), None);
    let half: Vec<u8> = (0..VALUE_BYTES / 2).map(|at| byte_at(7, at)).collect();
    // One client disconnects half way, the other one stays connected and sends nothing more.
    for stays_connected in [false, true] {
        let mut client = proxy.client().stream;
        client
            .write_all(&write_head("k", if stays_connected { "a" } else { "b" }, "close", VALUE_BYTES))
            .unwrap();
        client.write_all(&half).unwrap();
        std::thread::sleep(Duration::from_millis(100));
        if stays_connected {
            let mut line = String::new();
            client.set_read_timeout(Some(TIMEOUT)).unwrap();
            BufReader::new(client).read_line(&mut line).unwrap();
            assert_eq!(line, "-ERR the command took too long\r\n");
        }
    }
    // A write with an unknown class, and one beyond the size limit.
    let answer = send_write(&proxy, ("k", "c", "none"), VALUE_BYTES, Duration::ZERO);
    assert_eq!(answer, "-ERR unknown class");
    let mut client = proxy.client();
    client.stream.write_all(&write_head("k", "d", "close", VALUE_BYTES + 1)).unwrap();
    assert!(matches!(client.next(), Some(Value::Error(line)) if line.starts_with(b"ERR Protocol error")));
    // Without an origin, a write is rejected after its last byte, and its connection accepts the next command.
    discovery.watches.recv_timeout(TIMEOUT).unwrap();
    discovery.send_update(42, &[endpoint_entry("o", &origin, "terminated", 0)]);
    proxy.wait_for_log("version 42");
    let mut client = proxy.client();
    let mut bytes = write_head("k", "e", "close", VALUE_BYTES);
    bytes.extend((0..VALUE_BYTES).map(|at| byte_at(7, at)));
    bytes.extend(b"\r\n*1\r\n$4\r\nPING\r\n");
    client.stream.write_all(&bytes).unwrap();
    let refused = client.next().unwrap();
    assert!(is_busy(&refused), "{refused:?}");
    assert_eq!(client.next(), Some(Value::Simple(b"PONG".to_vec())));
    assert_eq!(*completed.lock().unwrap(), []);
    let vars = proxy.metrics();
    assert_eq!(
        (&vars["served"]["close"], &vars["in_flight"], &vars["refused"]["close"]),
        (&0.into(), &0.into(), &1.into())
    );
}

/// How a client ends a write that it has not sent completely.
#[derive(Clone, Copy, Debug)]
enum ClientEnd {
    /// It closes its connection.
    Closes,
    /// It resets its connection.
    Resets,
    /// It stays connected and sends nothing more.
    Stays,
    /// It sends other bytes than CR LF after the value.
    SendsOther,
}

/// Sends a write without its last `missing` bytes, and waits until the proxy has given it up.
fn send_incomplete_write(proxy: &Proxy, key: &str, (length, missing): (usize, usize), end: ClientEnd) {
    let mut client = proxy.client().stream;
    let mut bytes = write_head(key, &format!("cut-{key}"), "close", length);
    bytes.extend((0..length).map(|at| byte_at(7, at)));
    bytes.extend(b"\r\n");
    bytes.truncate(bytes.len() - missing);
    client.write_all(&bytes).unwrap();
    // Gives the origin time to receive and run what the proxy passes on.
    std::thread::sleep(Duration::from_millis(60));
    match end {
        ClientEnd::Closes => drop(client),
        ClientEnd::Resets => {
            socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
            drop(client);
        }
        ClientEnd::Stays | ClientEnd::SendsOther => {
            if matches!(end, ClientEnd::SendsOther) {
                client.write_all(&vec![b'x'; missing]).unwrap();
            }
            let mut line = String::new();
            client.set_read_timeout(Some(TIMEOUT)).unwrap();
            BufReader::new(client).read_line(&mut line).unwrap();
            assert!(line.starts_with("-ERR"), "{key}: {line}");
        }
    }
}

/// Guards against the origin running a write whose command the client never sent to its end (review case 3).
#[test]
fn large_write_without_the_end_of_its_command_never_runs() {
    let (discovery, (origin, completed)) = (FakeDiscovery::start(), recording_origin());
    let cache = FakeServer::backend(Box::new(|_| None));
    let list = [endpoint_entry("w", &cache, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::with_limits(&discovery, &list, (1024, 192), None);
    let mut sent_again = Vec::new();
    for (n, length) in [64 * 1024 + 1, 160 * 1024, VALUE_BYTES].into_iter().enumerate() {
        for missing in [1, 2, 3, 1000] {
            for end in [ClientEnd::Closes, ClientEnd::Resets, ClientEnd::Stays, ClientEnd::SendsOther] {
                // Other bytes in place of missing ones of the value are a value. A client that stays takes 2 s.
                let skipped = match end {
                    ClientEnd::SendsOther => missing > 2,
                    ClientEnd::Stays => length != 160 * 1024,
                    ClientEnd::Closes | ClientEnd::Resets => false,
                };
                if skipped {
                    continue;
                }
                // An at-most-once write runs once, although its client has to send it again.
                let key = format!("k{n}-{missing}-{end:?}");
                send_incomplete_write(&proxy, &key, (length, missing), end);
                sent_again.push((key, length));
            }
        }
    }
    for (key, length) in &sent_again {
        let id = format!("whole-{key}");
        assert_eq!(send_write(&proxy, (key, &id, "close"), *length, Duration::ZERO), "$2", "{key}");
    }
    let expected: Vec<_> = sent_again.into_iter().map(|(key, length)| (format!("/{key}"), length)).collect();
    assert_eq!(*completed.lock().unwrap(), expected);
}

#[test]
fn command_received_over_two_seconds_is_served() {
    let discovery = FakeDiscovery::start();
    let proxy = start_proxy(&discovery, 192);
    let mut client = proxy.client();
    let head = b"*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$20\r\nc=read,t=acme,d=1500\r\n";
    for piece in head.chunks(head.len() / 4) {
        client.stream.write_all(piece).unwrap();
        std::thread::sleep(Duration::from_millis(490));
    }
    assert_eq!(read_value(&mut client.stream, b'k', Duration::ZERO), (VALUE_BYTES, true));
}
