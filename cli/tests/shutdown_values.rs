//! Shutdown of real processes while large values are passed on: a value that its server still gives is not cut off.

mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const VALUE_BYTES: usize = 4 * 1024 * 1024;
const PIECE_BYTES: usize = 64 * 1024;
/// Pieces that a server gives before it falls silent.
const SILENT_AFTER_PIECES: usize = 10;
/// Pause between the pieces of a value, which takes 5 s with it: twice as long as a stop may take without it.
const PIECE_PAUSE: Duration = Duration::from_millis(80);
/// The time of a stop with requests that get no answer: the longest deadline and 0.6 s.
const STOP_TIMEOUT: Duration = Duration::from_millis(2600);
/// Time after which a silent server is given up, and the close of the connection.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Time after a stop signal from which on no new command is accepted.
const NO_NEW_COMMANDS_AFTER: Duration = Duration::from_millis(1000);
/// Bound for slow machines.
const SLACK: Duration = Duration::from_millis(1500);

/// A backend that gives large values piece by piece. Those of keys that start with `silent` end after a few pieces,
/// while the connection stays open; that of `fast` is given at once.
fn slow_backend() -> SocketAddr {
    let reply = hit_response(&"x".repeat(VALUE_BYTES)).unwrap();
    streaming_backend::start(move |stream, words| {
        let is_silent = words[1].starts_with("silent");
        for piece in reply.chunks(PIECE_BYTES).take(if is_silent { SILENT_AFTER_PIECES } else { usize::MAX })
        {
            if stream.write_all(piece).is_err() {
                return false;
            }
            if words[1] != "fast" {
                std::thread::sleep(PIECE_PAUSE);
            }
        }
        if is_silent {
            std::thread::sleep(2 * TIMEOUT);
        }
        !is_silent
    })
}

struct Fixture {
    discovery: FakeDiscovery,
    proxy: Proxy,
    _origin: FakeServer,
}

fn start() -> Fixture {
    let discovery = FakeDiscovery::start();
    let origin = FakeServer::origin(Box::new(|_| http_response("500 x", "")));
    let list = [
        endpoint_entry_at("w", slow_backend(), "in_service", 0),
        endpoint_entry("o", &origin, "in_service", 0),
    ];
    let proxy = Proxy::start(&discovery, &list);
    Fixture { discovery, proxy, _origin: origin }
}

/// Length of the whole answer to a read of a large value.
fn answer_bytes() -> usize {
    format!("${VALUE_BYTES}\r\n").len() + VALUE_BYTES + 2
}

/// Starts reads of large values and waits until all have begun. Each thread returns whether its value was whole.
fn begin_reads(proxy: &Proxy, key: &str) -> Vec<std::thread::JoinHandle<bool>> {
    let begin = |n: usize| {
        let mut client = proxy.client();
        client.send(&["OBJ.GET", &format!("{key}{n}"), &format!("{key}{n}"), "c=read,t=acme,d=1500"]);
        client.stream.peek(&mut [0]).unwrap();
        client.stream
    };
    let streams: Vec<TcpStream> = (0..3).map(begin).collect();
    let read_all = |mut stream: TcpStream| {
        let mut bytes = Vec::new();
        let ended = stream.read_to_end(&mut bytes).is_ok();
        ended && bytes.len() == answer_bytes()
    };
    streams.into_iter().map(|stream| std::thread::spawn(move || read_all(stream))).collect()
}

fn assert_whole(readers: Vec<std::thread::JoinHandle<bool>>, proxy: Proxy) {
    for reader in readers {
        assert!(reader.join().unwrap(), "a value was cut off: {}", proxy.log_and_status());
    }
    let (exited_cleanly, log) = proxy.wait_for_exit();
    assert!(exited_cleanly && log.contains("stopped with every request answered"), "{log}");
}

/// Guards against values that the proxy's own end cuts off, also at a second signal.
#[test]
fn values_under_way_are_finished_after_a_stop_signal() {
    for signals in [1, 2] {
        let fixture = start();
        let readers = begin_reads(&fixture.proxy, "long");
        for _ in 0..signals {
            fixture.proxy.signal("TERM");
            std::thread::sleep(Duration::from_millis(300));
        }
        assert_whole(readers, fixture.proxy);
    }
}

/// Guards against commands that the proxy's own end loses, because they arrived behind a value that is finished after a stop
/// signal. They are on a connection that is still open.
#[test]
fn commands_behind_a_value_that_is_finished_after_a_stop_signal_are_answered() {
    let fixture = start();
    let mut client = fixture.proxy.client();
    client.send(&["OBJ.GET", "long", "id", "c=read,t=acme,d=1500"]);
    client.stream.peek(&mut [0]).unwrap();
    fixture.proxy.signal("TERM");
    std::thread::sleep(NO_NEW_COMMANDS_AFTER);
    client.send(&["OBJ.SET", "k", "write", "c=close,t=acme,d=500", "closed"]);
    client.send(&["OBJ.GET", "k", "read", "c=read,t=acme,d=1500"]);
    let mut value = vec![0; answer_bytes()];
    client.stream.read_exact(&mut value).unwrap();
    for command in ["write", "read"] {
        let answer = client.next();
        assert!(answer.as_ref().is_some_and(is_busy), "{command}: {answer:?}");
    }
    assert_eq!(client.next(), None);
    assert!(fixture.proxy.wait_for_exit().0);
}

/// Guards against values that the old process of a hot restart cuts off.
#[test]
fn values_under_way_are_finished_in_a_hot_restart() {
    let fixture = start();
    let readers = begin_reads(&fixture.proxy, "long");
    let successor = fixture.proxy.start_successor(&fixture.discovery);
    fixture.proxy.signal("TERM");
    assert_whole(readers, fixture.proxy);
    assert!(successor.call("GET", "/_ready", "").is_some_and(|(status, _)| status == 200));
}

/// Guards against a stop that waits for values that will never be finished.
#[test]
fn value_of_a_silent_server_does_not_hold_up_a_stop() {
    let fixture = start();
    let readers = begin_reads(&fixture.proxy, "silent");
    let stopped = Instant::now();
    fixture.proxy.signal("TERM");
    let (exited_cleanly, log) = fixture.proxy.wait_for_exit();
    let limit = STOP_TIMEOUT + SILENCE_TIMEOUT + SLACK;
    assert!(exited_cleanly && stopped.elapsed() < limit, "{:?}: {log}", stopped.elapsed());
    assert_eq!(counter(&log, "ending_answer_cut"), 3, "{log}");
    for reader in readers {
        assert!(!reader.join().unwrap(), "a value that was not given looks whole");
    }
}

/// Guards against a stop that waits for clients without a request, or for ones that take nothing.
#[test]
fn stop_waits_neither_for_idle_clients_nor_for_those_that_take_nothing() {
    let fixture = start();
    let _idle = fixture.proxy.client();
    let stopped = Instant::now();
    fixture.proxy.signal("TERM");
    assert!(fixture.proxy.wait_for_exit().0 && stopped.elapsed() < STOP_TIMEOUT, "{:?}", stopped.elapsed());

    let fixture = start();
    // The system of a client that reads nothing takes part of the value, and the proxy keeps the rest.
    let mut client = small_buffer::connect(&fixture.proxy);
    client.send(&["OBJ.GET", "fast", "id", "c=read,t=acme,d=1500"]);
    client.stream.peek(&mut [0]).unwrap();
    let stopped = Instant::now();
    fixture.proxy.signal("TERM");
    let (exited_cleanly, log) = fixture.proxy.wait_for_exit();
    // The system of such a client may take a few more bytes once, and the time begins anew.
    let limit = 2 * SILENCE_TIMEOUT + SLACK;
    assert!(exited_cleanly && stopped.elapsed() < limit, "{:?}: {log}", stopped.elapsed());
}
