//! The time of large writes, over real sockets: what the server holds up counts against the request, what its client takes to
//! send it does not.

mod common;
use common::judge::MAX_LATENESS;
use common::small_buffer_origin::{Reading, SmallBufferOrigin};
use common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// More than the buffers of the system take.
const LARGE_BYTES: usize = 4 * 1024 * 1024;
/// Bytes that a slow client sends at once, and its pause between them.
const SLOW_PIECE_BYTES: usize = 8 * 1024;
const SLOW_PAUSE: Duration = Duration::from_millis(40);

struct Fixture {
    proxy: Proxy,
    origin: SmallBufferOrigin,
    _discovery: FakeDiscovery,
    _cache: FakeServer,
}

fn start(reading: Reading) -> Fixture {
    let discovery = FakeDiscovery::start();
    let cache = FakeServer::backend(Box::new(|words| hit_response(&words[2])));
    let origin = SmallBufferOrigin::start(reading);
    let list = [
        endpoint_entry("w", &cache, "in_service", 0),
        endpoint_entry_at("o", origin.endpoint, "in_service", 0),
    ];
    Fixture { proxy: Proxy::start(&discovery, &list), origin, _discovery: discovery, _cache: cache }
}

/// A whole write with a value of this many bytes.
fn write_command(id: &str, class: &str, deadline_ms: u64, value_bytes: usize) -> Vec<u8> {
    let info = format!("c={class},t=acme,d={deadline_ms}");
    let (i, n) = (id.len(), info.len());
    let mut bytes =
        format!("*5\r\n$7\r\nOBJ.SET\r\n$1\r\nk\r\n${i}\r\n{id}\r\n${n}\r\n{info}\r\n${value_bytes}\r\n")
            .into_bytes();
    bytes.resize(bytes.len() + value_bytes, b'v');
    bytes.extend(b"\r\n");
    bytes
}

/// Sends a write at full speed. Returns the first bytes of its answer, and the time from its first byte to that.
fn send_at_once(
    proxy: &Proxy,
    id: &str,
    class: &str,
    deadline_ms: u64,
    value_bytes: usize,
) -> (String, Duration) {
    let mut stream = proxy.client().stream;
    let started = Instant::now();
    stream.write_all(&write_command(id, class, deadline_ms, value_bytes)).unwrap();
    first_bytes(&mut stream, started)
}

/// Sends a write in pieces with pauses. Returns the first bytes of its answer, and the time from its last byte to that.
fn send_slowly(proxy: &Proxy, id: &str, deadline_ms: u64, value_bytes: usize) -> (String, Duration) {
    let mut stream = proxy.client().stream;
    for piece in write_command(id, "fix", deadline_ms, value_bytes).chunks(SLOW_PIECE_BYTES) {
        stream.write_all(piece).unwrap();
        std::thread::sleep(SLOW_PAUSE);
    }
    first_bytes(&mut stream, Instant::now())
}

fn first_bytes(stream: &mut TcpStream, since: Instant) -> (String, Duration) {
    let mut buffer = [0; 16];
    let n = stream.read(&mut buffer).unwrap();
    (String::from_utf8_lossy(&buffer[..n]).into_owned(), since.elapsed())
}

/// Sends writes of each class with each deadline at once, side by side, and checks that all are answered in time.
fn check_answered_in_time(reading: Reading, value_bytes: usize) {
    let fixture = start(reading);
    let answers: Vec<(String, u64, (String, Duration))> = std::thread::scope(|scope| {
        let writes: Vec<_> = [("fix", 600), ("close", 600), ("fix", 800), ("fix", 2000)]
            .into_iter()
            .map(|(class, deadline_ms)| {
                let (proxy, id) = (&fixture.proxy, format!("{class}-{deadline_ms}"));
                scope.spawn(move || {
                    let answer = send_at_once(proxy, &id, class, deadline_ms, value_bytes);
                    (id, deadline_ms, answer)
                })
            })
            .collect();
        writes.into_iter().map(|write| write.join().unwrap()).collect()
    });
    for (id, deadline_ms, (answer, took)) in &answers {
        let due = Duration::from_millis(*deadline_ms) + MAX_LATENESS;
        assert!(*took <= due, "{id}: {answer:?} after {took:?}: {answers:?}");
        // A refusal says that it never ran.
        let ran = fixture.origin.completed().contains(id);
        assert!(!(answer.starts_with("-BUSY") && ran), "{id}: refused and ran");
    }
}

/// Guards against large writes that wait for a server that has stopped reading, past their deadlines.
#[test]
fn large_write_to_a_server_that_stops_reading_is_answered_in_time() {
    check_answered_in_time(Reading::StopsAfter(20_000), LARGE_BYTES);
}

/// Guards against large writes that wait for a server that reads slowly, past their deadlines.
#[test]
fn large_write_to_a_server_that_reads_slowly_is_answered_in_time() {
    check_answered_in_time(Reading::Paced(400 * 1024), LARGE_BYTES);
    check_answered_in_time(Reading::Paced(1000 * 1024), LARGE_BYTES);
}

/// Guards against large writes that are given up although their server takes them in time.
#[test]
fn large_write_to_a_server_that_reads_late_but_in_time_is_served() {
    let fixture = start(Reading::StartsAfter(Duration::from_millis(1000)));
    let (answer, took) = send_at_once(&fixture.proxy, "id", "fix", 2000, LARGE_BYTES);
    assert!(
        answer.starts_with("$2\r\nok") && took < Duration::from_millis(2000),
        "{answer:?} after {took:?}"
    );
}

/// Guards against a client's own slowness that counts against its request.
#[test]
fn large_write_of_a_slow_client_is_served_however_long_it_takes() {
    let fixture = start(Reading::AtOnce);
    // Five seconds, with 0.6 s for the answer.
    let (answer, took) = send_slowly(&fixture.proxy, "id", 600, 1024 * 1024);
    assert!(answer.starts_with("$2\r\nok") && took < Duration::from_millis(600), "{answer:?} after {took:?}");
}

/// Guards against a steady transfer between a slow client and a server that takes it at the same pace, that is cut off.
#[test]
fn large_write_of_a_slow_client_to_an_equally_slow_server_is_served() {
    let pace = SLOW_PIECE_BYTES * 1000 / SLOW_PAUSE.as_millis() as usize;
    let fixture = start(Reading::Paced(pace));
    let (answer, took) = send_slowly(&fixture.proxy, "id", 600, 1024 * 1024);
    assert!(answer.starts_with("$2\r\nok") && took < Duration::from_millis(600), "{answer:?} after {took:?}");
}

/// Guards against a client that stops in the middle of a large write and waits for ever, whatever its server does.
#[test]
fn client_that_stops_in_the_middle_of_a_large_write_gets_an_error_within_three_seconds() {
    for reading in [Reading::AtOnce, Reading::StopsAfter(20_000)] {
        let fixture = start(reading);
        let mut stream = fixture.proxy.client().stream;
        let bytes = write_command("id", "fix", 600, LARGE_BYTES);
        stream.write_all(&bytes[..bytes.len() / 2]).unwrap();
        let (answer, took) = first_bytes(&mut stream, Instant::now());
        assert!(answer.is_empty() || answer.starts_with('-'), "{reading:?}: {answer:?}");
        assert!(took < Duration::from_secs(3), "{reading:?}: {took:?}");
        assert!(fixture.origin.completed().is_empty());
    }
}
