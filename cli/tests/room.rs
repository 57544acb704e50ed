//! Requests when the memory for requests is used up, over real sockets: each one is answered in time.

mod common;
use common::*;
use notchdoor_proxy::wire::resp::Value;
use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Memory limit of these proxies in MiB: room for 64 requests.
const MEMORY_MIB: u32 = 12;
const VALUE_BYTES: usize = 4 * 1024 * 1024;
/// Readers of large values, more than there is room for.
const SLOW_READERS: usize = 80;
/// Requests that are sent while there is no room.
const REJECTED: usize = 20;
/// How long a rejection for lack of room may take on a busy machine; far less than any deadline here.
const PROMPT: Duration = Duration::from_millis(400);

struct Fixture {
    proxy: Proxy,
    _discovery: FakeDiscovery,
    _servers: [FakeServer; 2],
}

/// A proxy with one backend: keys that start with `long` have large values, and reads of `hang` are never answered.
fn start(settings: &str) -> Fixture {
    let discovery = FakeDiscovery::start();
    let large = "x".repeat(VALUE_BYTES);
    let backend = FakeServer::backend(Box::new(move |words| match &*words[1] {
        "hang" => {
            std::thread::sleep(TIMEOUT);
            None
        }
        key if key.starts_with("long") => hit_response(&large),
        _ => hit_response(&words[2]),
    }));
    let origin = FakeServer::origin(Box::new(|_| http_response("200 OK", "receipt")));
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let files = [("settings.json", settings)];
    let proxy = Proxy::with_files(&discovery, &list, (1024, MEMORY_MIB), &files);
    Fixture { proxy, _discovery: discovery, _servers: [backend, origin] }
}

/// Reads some bytes of a large value, so that it is under way. Returns false if it was rejected.
fn begins(stream: &mut TcpStream) -> bool {
    let mut first = [0];
    stream.read_exact(&mut first).unwrap();
    first == *b"$"
}

/// Guards against requests that wait for room, past their deadlines, while clients read large values slowly.
#[test]
fn slow_readers_of_large_values_keep_no_other_request_from_its_answer() {
    let fixture = start(settings());
    let mut readers = Vec::new();
    let mut rejected = 0;
    for n in 0..SLOW_READERS {
        let mut client = small_buffer::connect(&fixture.proxy);
        client.send(&["OBJ.GET", &format!("long{n}"), &format!("id{n}"), "c=read,t=acme,d=1500"]);
        match begins(&mut client.stream) {
            true => readers.push(client),
            false => rejected += 1,
        }
    }
    assert!(readers.len() >= 40 && rejected > 0, "{} under way, {rejected} rejected", readers.len());
    let mut client = fixture.proxy.client();
    for n in 0..40 {
        let (id, started) = (format!("small{n}"), Instant::now());
        assert_eq!(client.get(&format!("k{n}"), &id, 1000), bulk(&id));
        let write = client.request(&["OBJ.SET", "k", &format!("write{n}"), "c=close,t=acme,d=500", "v"]);
        assert_eq!(write, bulk("receipt"));
        assert!(started.elapsed() < PROMPT, "{:?}", started.elapsed());
    }
    assert_eq!(fixture.proxy.metrics()["in_flight"], readers.len());
}

/// Guards against requests that wait for room without a deadline, and against rejections that come late or do not say when
/// to return.
#[test]
fn request_without_room_is_rejected_at_once() {
    let fixture = start(&settings().replace("\"mostHeld\":20000", "\"mostHeld\":8"));
    let mut hanging = fixture.proxy.client();
    for n in 0..8 {
        hanging.send(&["OBJ.GET", "hang", &format!("id{n}"), "c=read,t=acme,d=2000"]);
    }
    let full = Instant::now() + TIMEOUT;
    while fixture.proxy.metrics()["in_flight"] != 8 {
        assert!(Instant::now() < full, "{}", fixture.proxy.metrics());
        std::thread::sleep(Duration::from_millis(2));
    }
    let mut client = fixture.proxy.client();
    for n in 0..REJECTED {
        let started = Instant::now();
        let write = client.request(&["OBJ.SET", "k", &format!("write{n}"), "c=close,t=acme,d=500", "v"]);
        assert!(is_busy(&write) && started.elapsed() < PROMPT, "{write:?} after {:?}", started.elapsed());
    }
    assert_eq!(client.request(&["PING"]), Value::Simple(b"PONG".to_vec()));
    let vars = fixture.proxy.metrics();
    assert_eq!((&vars["in_flight"], &vars["refused"]["close"]), (&8.into(), &REJECTED.into()));
    fixture.proxy.signal("USR1");
    fixture.proxy.wait_for_log(&format!("rejected_no_room={REJECTED}"));
}
