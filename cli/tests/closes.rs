//! Requests that arrive while their connection is being closed. docs/audit-findings.md lists the crossings.

mod common;
use common::crossing::{play, Event, Point, Scenario};
use common::manual_server::ManualServer;
use common::*;
use notchdoor_proxy::wire::resp::{write_command, Value};
use notchdoor_proxy::wire::MAX_VALUE;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const READ: &str = "c=read,t=acme,d=2000";

/// Guards against a request that is read and dropped because it arrives between the look for input and the close of a resting
/// connection at the stop (incident 3dbf5d).
#[test]
fn request_that_arrives_at_the_close_of_a_resting_connection_is_answered_or_left_unread() {
    for is_after in [false, true] {
        let point = Point { peer: "client".to_owned(), call: "peek".to_owned(), is_after, nth: 1 };
        let result = play(Scenario::StopAtRest, Some((point.clone(), Event::Command)));
        assert!(result.was_reached && result.violations.is_empty(), "{point:?}: {:?}", result.violations);
    }
}

/// Guards against a command that is dropped without an answer after part of it was read, for lack of descriptors (incident
/// 3dbf5d).
#[test]
fn half_a_command_that_gives_way_to_other_clients_gets_an_error() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), ManualServer::start(), ManualServer::start());
    let proxy =
        Proxy::with_sockets(&discovery, &[backend.endpoint_entry("w"), origin.endpoint_entry("o")], 96);
    let mut client = proxy.client();
    client.stream.write_all(b"*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk").unwrap();
    std::thread::sleep(Duration::from_millis(1_200));
    let _crowd: Vec<TcpStream> = (0..150).map(|_| TcpStream::connect(proxy.listen).unwrap()).collect();
    let answer = client.next().expect("closed without an answer");
    assert!(matches!(answer, Value::Error(_)), "{answer:?}");
}

/// Guards against requests that a process leaves to SIGKILL because it is held up for 0.15 s shortly before (incident 3dbf5d).
#[test]
fn final_answers_come_before_the_kill_although_the_process_is_held_up() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), ManualServer::start(), ManualServer::start());
    let long = settings().replace("\"deadline\":2000.0", "\"deadline\":30000.0");
    let mut proxy = Proxy::with_files(
        &discovery,
        &[backend.endpoint_entry("w"), origin.endpoint_entry("o")],
        (1024, 192),
        &[("settings.json", &long)],
    );
    let mut client = proxy.client();
    client.send(&["OBJ.GET", "k", "id1", "c=read,t=acme,d=30000"]);
    let _held = backend.next();
    proxy.signal("TERM");
    let term_at = Instant::now();
    let until = |ms| {
        let at = term_at + Duration::from_millis(ms);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    // The longest deadline counts as 3 s, and SIGKILL comes 0.7 s after it.
    until(3_555);
    proxy.signal("STOP");
    until(3_700);
    proxy.signal("KILL");
    proxy.child.wait().unwrap();
    assert!(is_busy(&client.next().expect("killed without an answer")));
}

/// The bytes of replies that wait in the proxy for their clients.
fn unsent_bytes(proxy: &Proxy) -> usize {
    proxy.signal("USR1");
    std::thread::sleep(Duration::from_millis(20));
    let log = proxy.log_and_status();
    let last = log.rsplit("unsent_bytes=").next().and_then(|rest| rest.split_whitespace().next());
    last.and_then(|number| number.parse().ok()).unwrap_or_default()
}

/// Guards against a request that is read and dropped when no more is read at the stop while its client takes its replies
/// slowly (incident 3dbf5d).
#[test]
fn request_behind_replies_that_are_taken_late_is_answered_at_the_stop() {
    let value = "v".repeat(64_000);
    let backend = FakeServer::backend(Box::new(move |_| hit_response(&value)));
    let (discovery, origin) = (FakeDiscovery::start(), ManualServer::start());
    let list = [endpoint_entry("w", &backend, "in_service", 0), origin.endpoint_entry("o")];
    let proxy = Proxy::start(&discovery, &list);
    let mut client = small_buffer::connect(&proxy);
    // More than the system takes, in batches that a server gets at once, until the replies wait for the client.
    let mut reads = 0;
    while unsent_bytes(&proxy) <= 4 * MAX_VALUE {
        assert!(reads < 200, "the replies do not wait");
        let mut batch = Vec::new();
        for n in reads..reads + 8 {
            let (key, id) = (format!("k{n}"), format!("id{n}"));
            write_command(&mut batch, &["OBJ.GET", &key, &id, READ].map(str::as_bytes));
        }
        client.stream.write_all(&batch).unwrap();
        reads += 8;
        std::thread::sleep(Duration::from_millis(60));
    }
    client.send(&["OBJ.GET", "last", "last", READ]);
    proxy.signal("TERM");
    // Until nothing more is read.
    std::thread::sleep(Duration::from_millis(800));
    for n in 0..reads {
        // Some may be rejected: the window of the server is small at first.
        assert!(client.next().is_some(), "{n}: no answer");
        // So slowly at first that the proxy has some left when it reads again.
        if n < 4 {
            std::thread::sleep(Duration::from_millis(300));
        }
    }
    let answer = client.next().expect("read, and closed without an answer");
    assert!(is_busy(&answer), "{answer:?}");
}
