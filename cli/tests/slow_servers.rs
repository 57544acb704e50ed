//! Sound servers that are slower than a time limit of the program at other places than within a short pause: at a fence, within a
//! value under way, while they read a large write, and on a connection whose order is in doubt.

mod common;
use common::connection_server::start_server;
use common::judge::MAX_LATENESS;
use common::paced_server::{self, Giving, Pause, Role, PACED_PREFIX};
use common::small_buffer_origin::{Reading, SmallBufferOrigin};
use common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const LARGE_BYTES: usize = 200_000;
/// More than the buffers of the system take.
const LARGE_WRITE_BYTES: usize = 4 * 1024 * 1024;

/// Reads a value of this length and the end of its line. Returns how many bytes came.
fn read_large(stream: &mut TcpStream) -> usize {
    let mut got = vec![0; format!("${LARGE_BYTES}\r\n").len() + LARGE_BYTES + 2];
    let mut length = 0;
    while length < got.len() {
        match stream.read(&mut got[length..]) {
            Ok(n) if n > 0 => length += n,
            _ => break,
        }
    }
    length
}

const WHOLE_REPLY: usize = "$200000\r\n".len() + LARGE_BYTES + 2;

/// Lines of a read on the wire.
const COMMAND_LINES: usize = 9;

/// Serves short values that are all the same. The reply to a fence takes longer than the program once waited for it.
fn serve_with_slow_fence(mut stream: TcpStream) -> Option<()> {
    const FENCE_TIME: Duration = Duration::from_millis(1200);
    let (mut buffer, mut received) = ([0; 4096], Vec::new());
    loop {
        let n = stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
        received.extend_from_slice(&buffer[..n]);
        if received.ends_with(b"PING\r\n") {
            std::thread::sleep(FENCE_TIME);
            stream.write_all(b"+PONG\r\n").ok()?;
            received.clear();
        } else if received.iter().filter(|byte| **byte == b'\n').count() == COMMAND_LINES {
            stream.write_all(&hit_response("same")?).ok()?;
            received.clear();
        }
    }
}

/// A proxy with one cache, whose replies to fences come late.
fn start_with_slow_fence() -> Proxy {
    let cache = start_server(serve_with_slow_fence);
    let origin = FakeServer::origin(Box::new(|_| None));
    let list =
        [endpoint_entry_at("w", cache, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    Proxy::start(&FakeDiscovery::start(), &list)
}

/// Guards against a whole value that is not used because the reply to the fence behind it comes late.
#[test]
fn value_is_served_although_its_fence_is_answered_slowly() {
    let proxy = start_with_slow_fence();
    let mut client = proxy.client();
    for id in ["first", "second"] {
        let answer = client.request(&["OBJ.GET", "k", id, "c=close,t=acme,d=2000"]);
        assert_eq!(answer, bulk("same"), "{id}: {}", proxy.log_and_status());
        // The connection rests before it is used again.
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against a read that is refused because its deadline comes before the reply to a fence, although its cache has given
/// the value: another attempt needs no fence.
#[test]
fn short_deadline_is_met_although_a_fence_is_answered_slowly() {
    let proxy = start_with_slow_fence();
    let mut client = proxy.client();
    for id in ["first", "second"] {
        assert_eq!(client.get("k", id, 400), bulk("same"), "{id}: {}", proxy.log_and_status());
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against a value under way that is cut off after 3 s of silence although its class allows no other attempt.
#[test]
fn value_under_way_is_not_cut_off_by_a_pause_of_its_server() {
    const PAUSES: &[Pause] = &[Pause { before: 1000, time: Duration::from_millis(3500) }];
    let giving = Giving { pauses: PAUSES, ..Giving::at_once(LARGE_BYTES) };
    let mut list: Vec<String> = (0..3)
        .map(|n| {
            endpoint_entry_at(&format!("w{n}"), paced_server::start(Role::Cache, giving), "in_service", 0)
        })
        .collect();
    list.push(endpoint_entry_at("o", paced_server::start(Role::Origin, giving), "in_service", 0));
    let proxy = Proxy::start(&FakeDiscovery::start(), &list);
    std::thread::scope(|scope| {
        for class in ["read", "fix", "close"] {
            let proxy = &proxy;
            scope.spawn(move || {
                let mut client = proxy.client();
                let (key, info) = (format!("{PACED_PREFIX}{class}"), format!("c={class},t=acme,d=600"));
                client.send(&["OBJ.GET", &key, &format!("id-{class}"), &info]);
                assert_eq!(
                    read_large(&mut client.stream),
                    WHOLE_REPLY,
                    "{class}: {}",
                    proxy.log_and_status()
                );
            });
        }
    });
}

/// Guards against a value that is dropped with its first byte because the connection's order is in doubt.
#[test]
fn large_value_behind_equal_misses_is_used() {
    let large_reads = Arc::new(AtomicUsize::new(0));
    let reads = Arc::clone(&large_reads);
    let cache = FakeServer::backend(Box::new(move |words| match words[1].as_str() {
        "large" => {
            reads.fetch_add(1, Ordering::SeqCst);
            hit_response(&"v".repeat(LARGE_BYTES))
        }
        _ => Some(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n".to_vec()),
    }));
    let origin = FakeServer::origin(Box::new(|words| http_response("200 OK", &words[2])));
    let list = [endpoint_entry("w", &cache, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&FakeDiscovery::start(), &list);
    let mut client = proxy.client();
    for n in 0..3 {
        assert_eq!(client.get("missing", &format!("missing-{n}"), 600), bulk(&format!("missing-{n}")));
        std::thread::sleep(Duration::from_millis(20));
    }
    client.send(&["OBJ.GET", "large", "large-id", "c=read,t=acme,d=2000"]);
    assert_eq!(read_large(&mut client.stream), WHOLE_REPLY);
    assert_eq!(large_reads.load(Ordering::SeqCst), 1, "{}", proxy.log_and_status());
}

/// Sends a write of [`LARGE_WRITE_BYTES`]. Returns the beginning of its answer, and the time from its last byte to that.
fn write_large(proxy: &Proxy, class: &str, deadline_ms: u64) -> (String, Duration) {
    let mut stream = proxy.client().stream;
    let (id, info) = (format!("write-{class}"), format!("c={class},t=acme,d={deadline_ms}"));
    let head = format!(
        "*5\r\n$7\r\nOBJ.SET\r\n$1\r\nk\r\n${}\r\n{id}\r\n${}\r\n{info}\r\n${LARGE_WRITE_BYTES}\r\n",
        id.len(),
        info.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'v'; LARGE_WRITE_BYTES]).unwrap();
    stream.write_all(b"\r\n").unwrap();
    let (sent_at, mut buffer) = (Instant::now(), [0; 16]);
    let n = stream.read(&mut buffer).unwrap();
    (String::from_utf8_lossy(&buffer[..n]).into_owned(), sent_at.elapsed())
}

/// Guards against a large write that is given up because its server reads nothing for 3 s, although its client waits for 6 s.
#[test]
fn large_write_has_its_whole_time_while_its_server_reads_nothing() {
    let long = settings().replace(
        r#""deadline":2000.0,"effect":"deduplicated""#,
        r#""deadline":6000.0,"effect":"deduplicated""#,
    );
    let cache = FakeServer::backend(Box::new(|words| hit_response(&words[2])));
    let origin = SmallBufferOrigin::start(Reading::StartsAfter(Duration::from_secs(4)));
    let list = [
        endpoint_entry("w", &cache, "in_service", 0),
        endpoint_entry_at("o", origin.endpoint, "in_service", 0),
    ];
    let proxy = Proxy::with_files(&FakeDiscovery::start(), &list, (1024, 192), &[("settings.json", &long)]);
    let (answer, _) = write_large(&proxy, "fix", 6000);
    assert_eq!(answer, "$2\r\nok\r\n", "{}", proxy.log_and_status());
}

/// Reads the head of a command and then its value at 200 KB/s. There is no reply before the whole of it.
fn serve_writes_slowly(mut stream: TcpStream) -> Option<()> {
    let (mut buffer, mut received) = (vec![0; 10_000], 0);
    while received < LARGE_WRITE_BYTES {
        received += stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
        std::thread::sleep(Duration::from_millis(50));
    }
    stream.write_all(&hit_response("receipt")?).ok()
}

/// A deployment without an origin sends writes to caches. Their answers are in time too.
#[test]
fn large_write_that_a_cache_reads_slowly_is_answered_in_time() {
    let without_origin = settings().replace(r#"{"mode":"aside","originKind":2}"#, r#"{"mode":"through"}"#);
    let list: Vec<String> = (0..3)
        .map(|n| endpoint_entry_at(&format!("w{n}"), start_server(serve_writes_slowly), "in_service", 0))
        .collect();
    let files = [("settings.json", without_origin.as_str())];
    let proxy = Proxy::with_files(&FakeDiscovery::start(), &list, (1024, 192), &files);
    for (class, deadline_ms) in [("close", 600), ("fix", 2000)] {
        let (answer, took) = write_large(&proxy, class, deadline_ms);
        assert!(
            took <= Duration::from_millis(deadline_ms) + MAX_LATENESS,
            "{class}: {answer:?} after {took:?}"
        );
    }
}

/// Guards against a large write that is given up a few usual delays after its last byte although its origin still reads it.
#[test]
fn large_write_is_served_while_its_origin_still_reads_it() {
    const BYTES_PER_SECOND: usize = 2_600_000;
    let cache = FakeServer::backend(Box::new(|words| hit_response(&words[2])));
    let origin = SmallBufferOrigin::start(Reading::Paced(BYTES_PER_SECOND));
    let list = [
        endpoint_entry("w", &cache, "in_service", 0),
        endpoint_entry_at("o", origin.endpoint, "in_service", 0),
    ];
    let proxy = Proxy::start(&FakeDiscovery::start(), &list);
    let mut client = proxy.client();
    for n in 0..20 {
        let answer = client.request(&["OBJ.SET", "k", &format!("short-{n}"), "c=fix,t=acme,d=2000", "v"]);
        assert_eq!(answer, bulk("ok"));
    }
    let (answer, _) = write_large(&proxy, "fix", 2000);
    assert_eq!(answer, "$2\r\nok\r\n", "{}", proxy.log_and_status());
}
