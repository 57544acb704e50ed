//! Shutdown of real processes between SIGTERM and SIGKILL: every request that was read is answered.

mod common;
use common::*;
use notchdoor_proxy::wire::resp::{write_command, Reader};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// Time between SIGTERM and SIGKILL in excess of the longest deadline.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);

/// Settings in which every class has at most this deadline.
fn settings_with_deadline(ms: u32) -> String {
    let short = |name: &str, from: &str| (format!("\"{name}\":{from}.0"), format!("\"{name}\":{ms}.0"));
    let mut text = settings().to_owned();
    for (from, to) in [short("deadline", "2000"), short("deadline", "600")] {
        text = text.replace(&from, &to);
    }
    text.replace("\"aim\":750.0", "\"aim\":100.0").replace("\"aim\":800.0", "\"aim\":100.0")
}

/// A backend and an origin that accept requests and never answer.
fn hanging_servers() -> (FakeServer, FakeServer) {
    let hang = || {
        std::thread::sleep(Duration::from_secs(20));
        None
    };
    (FakeServer::backend(Box::new(move |_| hang())), FakeServer::origin(Box::new(move |_| hang())))
}

/// What a client sent and received on one connection.
#[derive(Default)]
struct Received {
    /// Commands written, completely or in part.
    sent: usize,
    /// Answers received completely.
    answers: usize,
    /// Whether the last answer was incomplete.
    truncated: bool,
}

/// Spawns a thread that counts answers until the connection ends.
fn spawn_receiver(mut stream: TcpStream) -> JoinHandle<Received> {
    std::thread::spawn(move || {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let (mut reader, mut buffer, mut received) = (Reader::default(), [0; 16 * 1024], Received::default());
        loop {
            while let Some(_answer) = reader.next_value().expect("malformed answer") {
                received.answers += 1;
            }
            match stream.read(&mut buffer) {
                Ok(n) if n > 0 => reader.feed(&buffer[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => break,
            }
        }
        received.truncated = reader.pending() > 0;
        received
    })
}

/// How a client sends its commands.
#[derive(Clone, Copy)]
struct SendPattern {
    /// Number of commands in each write.
    batch: usize,
    /// Bytes of the last command that are withheld until the next write.
    withheld_bytes: usize,
    pause: Duration,
    deadline_ms: u32,
}

/// Spawns a client that sends on one connection until it ends or `done`, regardless of the answers.
fn spawn_sender(
    listen: SocketAddr,
    name: String,
    pattern: SendPattern,
    done: &Arc<AtomicBool>,
) -> JoinHandle<Option<Received>> {
    let done = Arc::clone(done);
    std::thread::spawn(move || {
        let mut stream = TcpStream::connect(listen).ok()?;
        let receiving = spawn_receiver(stream.try_clone().unwrap());
        let (mut sent, mut waiting) = (0, Vec::new());
        while !done.load(Ordering::Relaxed) && !receiving.is_finished() {
            for _ in 0..pattern.batch {
                let id = format!("{name}n{sent}");
                let info = format!("c=read,t=acme,d={}", pattern.deadline_ms);
                let words = ["OBJ.GET", &format!("key{id}"), &id, &info];
                write_command(&mut waiting, &words.map(|word| word.as_bytes()));
                sent += 1;
            }
            let now = waiting.len() - pattern.withheld_bytes;
            if stream.write_all(&waiting[..now]).is_err() {
                break;
            }
            waiting.drain(..now);
            std::thread::sleep(pattern.pause);
        }
        let mut received = receiving.join().unwrap();
        received.sent = sent;
        Some(received)
    })
}

/// Spawns a client that opens new connections with one request each until they are refused.
fn spawn_connector(
    listen: SocketAddr,
    name: String,
    deadline_ms: u32,
    done: &Arc<AtomicBool>,
) -> JoinHandle<Vec<Received>> {
    let done = Arc::clone(done);
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for n in 0.. {
            if done.load(Ordering::Relaxed) {
                break;
            }
            let Ok(mut stream) = TcpStream::connect(listen) else { break };
            let mut bytes = Vec::new();
            let (id, info) = (format!("{name}c{n}"), format!("c=read,t=acme,d={deadline_ms}"));
            write_command(&mut bytes, &["OBJ.GET", &id, &id, &info].map(|word| word.as_bytes()));
            if stream.write_all(&bytes).is_ok() {
                let received = spawn_receiver(stream.try_clone().unwrap());
                open.push((received, stream));
            }
            std::thread::sleep(5 * MS);
        }
        let join = |(receiving, stream): (JoinHandle<Received>, TcpStream)| {
            let received = receiving.join().unwrap();
            let _ = stream.shutdown(Shutdown::Both);
            Received { sent: 1, ..received }
        };
        open.into_iter().map(join).collect()
    })
}

/// Stops a proxy while its servers hang and clients send with these patterns, and checks that it exits in time with every
/// read request answered.
fn check_shutdown(deadline_ms: u32, patterns: &[SendPattern], connecting: usize) {
    let (discovery, (backend, origin)) = (FakeDiscovery::start(), hanging_servers());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let settings = settings_with_deadline(deadline_ms);
    let proxy = Proxy::with_files(&discovery, &list, (1024, 192), &[("settings.json", &settings)]);
    let done = Arc::new(AtomicBool::new(false));
    let sending: Vec<_> = patterns
        .iter()
        .enumerate()
        .flat_map(|(index, pattern)| (0..4).map(move |n| (format!("w{index}x{n}"), *pattern)))
        .map(|(name, pattern)| spawn_sender(proxy.listen, name, pattern, &done))
        .collect();
    let connecting: Vec<_> =
        (0..connecting).map(|n| spawn_connector(proxy.listen, format!("x{n}"), deadline_ms, &done)).collect();
    std::thread::sleep(400 * MS);
    let kill_after = Duration::from_millis(deadline_ms.into()) + KILL_AFTER_DEADLINE;
    proxy.signal("TERM");
    let started = Instant::now();
    let (exited_cleanly, log) = proxy.wait_for_exit();
    let took = started.elapsed();
    done.store(true, Ordering::Relaxed);
    let mut received: Vec<Received> = sending.into_iter().filter_map(|s| s.join().unwrap()).collect();
    received.extend(connecting.into_iter().flat_map(|c| c.join().unwrap()));
    let answers: usize = received.iter().map(|r| r.answers).sum();
    let sent: usize = received.iter().map(|r| r.sent).sum();
    let (taken, rejected) = (counter(&log, "taken"), counter(&log, "rejected"));
    println!("{sent} sent, {taken} taken, {rejected} rejected, {answers} answers, {took:?}");
    assert!(took < kill_after, "took {took:?}, limit {kill_after:?}: {log}");
    assert!(exited_cleanly && log.contains("stopped with every request answered"), "{log}");
    assert!(received.iter().all(|r| !r.truncated), "a client received a truncated answer");
    assert_eq!(counter(&log, "left"), 0, "a client disconnected early");
    assert_eq!(answers, taken + rejected, "answers received differ from requests read");
    assert!(sent > 50 && taken > 20, "{sent} sent, {taken} taken");
}

/// Single requests without waiting for answers.
fn steady(deadline_ms: u32) -> SendPattern {
    SendPattern { batch: 1, withheld_bytes: 0, pause: 10 * MS, deadline_ms }
}

/// Several requests per write, always followed by an incomplete command.
fn incomplete(deadline_ms: u32) -> SendPattern {
    SendPattern { batch: 5, withheld_bytes: 11, pause: 10 * MS, deadline_ms }
}

/// More requests per write than a connection may have in flight.
fn flood(deadline_ms: u32) -> SendPattern {
    SendPattern { batch: 300, withheld_bytes: 11, pause: MS, deadline_ms }
}

#[test]
fn shutdown_with_a_short_deadline_answers_all_read_requests() {
    check_shutdown(250, &[steady(250)], 4);
}

#[test]
fn shutdown_answers_all_read_requests_of_clients_with_incomplete_commands() {
    check_shutdown(250, &[incomplete(250)], 0);
}

#[test]
fn shutdown_answers_all_read_requests_of_clients_beyond_the_pipeline_limit() {
    check_shutdown(250, &[flood(250)], 0);
}

#[test]
fn shutdown_with_default_deadlines_answers_all_read_requests() {
    check_shutdown(2000, &[steady(2000), incomplete(2000)], 2);
}

#[test]
fn drain_during_shutdown_is_respected_and_all_requests_are_answered() {
    let command_times = Arc::new(Mutex::new(Vec::new()));
    let failing_backend = |command_times: Option<Arc<Mutex<Vec<Instant>>>>| {
        FakeServer::backend(Box::new(move |_| {
            if let Some(command_times) = &command_times {
                command_times.lock().unwrap().push(Instant::now());
            }
            std::thread::sleep(30 * MS);
            Some(b"-ERR failed\r\n".to_vec())
        }))
    };
    let (a, b, origin) =
        (failing_backend(None), failing_backend(Some(Arc::clone(&command_times))), hanging_servers().1);
    let discovery = FakeDiscovery::start();
    let list = [
        endpoint_entry("a", &a, "in_service", 0),
        endpoint_entry("b", &b, "in_service", 0),
        endpoint_entry("o", &origin, "in_service", 0),
    ];
    let proxy = Proxy::start(&discovery, &list);
    discovery.watches.recv_timeout(TIMEOUT).unwrap();
    let done = Arc::new(AtomicBool::new(false));
    let sending: Vec<_> =
        (0..4).map(|n| spawn_sender(proxy.listen, format!("w{n}"), steady(2000), &done)).collect();
    std::thread::sleep(300 * MS);
    discovery.send_update(42, &[endpoint_entry("b", &b, "terminating", 0)]);
    let drained = Instant::now();
    proxy.signal("TERM");
    let (exited_cleanly, log) = proxy.wait_for_exit();
    done.store(true, Ordering::Relaxed);
    assert!(exited_cleanly && log.contains("stopped with every request answered"), "{log}");
    assert!(log.contains("version 42"), "the drain was not applied: {log}");
    let answers: usize = sending.into_iter().filter_map(|s| s.join().unwrap()).map(|r| r.answers).sum();
    assert_eq!(answers, counter(&log, "taken") + counter(&log, "rejected"));
    let last =
        command_times.lock().unwrap().last().copied().expect("the draining backend received no command");
    assert!(
        last < drained + Duration::from_millis(1_050),
        "received a command {:?} after the drain update",
        last - drained
    );
}
