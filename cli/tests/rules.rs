//! One test with real sockets for each rule: the program as a process, and peers on loopback.

mod common;
use common::*;
use notchdoor_proxy::wire::resp::Value;
use socket2::{Domain, Socket, Type};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A worker that answers each read with the id it came with.
fn echo_backend() -> FakeServer {
    FakeServer::backend(Box::new(|words| hit_response(&words[2])))
}

/// An origin that answers everything with the id it came with.
fn echo_origin() -> FakeServer {
    FakeServer::origin(Box::new(|request| http_response("200 OK", &request[2])))
}

fn is_failed(value: &Value) -> bool {
    *value == Value::Error(b"ERR failed".to_vec())
}

#[test]
fn read_is_forwarded_unchanged_except_for_its_deadline() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), echo_backend(), echo_origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    let info = "c=read,t=acme,d=480,size=7,r=1";
    assert_eq!(proxy.client().request(&["OBJ.GET", "key", "id1", info]), bulk("id1"));
    let seen = backend.requests();
    let passed: u64 = seen[0][3]["c=read,t=acme,d=".len()..].split(',').next().unwrap().parse().unwrap();
    assert!((1..=480).contains(&passed));
    assert_eq!(seen[0], ["OBJ.GET", "key", "id1", &info.replace("480", &passed.to_string())]);
    assert!(discovery.watches.recv_timeout(TIMEOUT).unwrap().contains("watch=1&from=41 "));
}

#[test]
fn miss_is_fetched_from_the_origin_and_pipelined_answers_keep_their_order() {
    let backend = FakeServer::backend(Box::new(|words| match words[1].as_str() {
        "missing" => Some(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n".to_vec()),
        _ => hit_response(&words[2]),
    }));
    let (discovery, origin) = (FakeDiscovery::start(), echo_origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    let mut client = proxy.client();
    client.send(&["OBJ.GET", "missing", "id1", "c=read,t=acme,d=900"]);
    client.send(&["OBJ.GET", "there", "id2", "c=read,t=acme,d=900"]);
    client.send(&["OBJ.SET", "there", "id3", "c=close,t=acme,d=900", "text"]);
    for id in ["id1", "id2", "id3"] {
        assert_eq!(client.next(), Some(bulk(id)));
    }
    let mut seen = origin.requests();
    seen.sort();
    assert_eq!(seen, [["GET", "/missing", "id1"], ["PUT", "/there", "id3"]]);
}

#[test]
fn read_is_answered_by_its_deadline_if_the_backend_is_silent() {
    let silent = FakeServer::backend(Box::new(|_| {
        std::thread::sleep(TIMEOUT);
        None
    }));
    let (discovery, origin) = (FakeDiscovery::start(), echo_origin());
    let list = [endpoint_entry("w", &silent, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    let started = Instant::now();
    let answer = proxy.client().get("k", "id1", 300);
    assert!(is_busy(&answer) || is_failed(&answer) || answer == bulk("id1"), "{answer:?}");
    assert!(started.elapsed() >= Duration::from_millis(290), "not before its time");
    assert!(started.elapsed() < Duration::from_secs(2), "its deadline and some room for a busy machine");
}

#[test]
fn shutdown_answers_accepted_requests_and_exits_with_0() {
    let slow = FakeServer::backend(Box::new(|words| {
        std::thread::sleep(Duration::from_millis(800));
        hit_response(&words[2])
    }));
    let (discovery, origin) = (FakeDiscovery::start(), echo_origin());
    let list = [endpoint_entry("w", &slow, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    let (mut client, mut idle) = (proxy.client(), proxy.client());
    client.send(&["OBJ.GET", "k", "id1", "c=read,t=acme,d=2000"]);
    proxy.signal("TERM");
    // New connections keep coming for a while, and are served.
    assert_eq!(proxy.client().get("k", "id2", 2000), bulk("id2"));
    assert_eq!(client.next(), Some(bulk("id1")));
    assert_eq!(idle.next(), None, "closed");
    let (exited_cleanly, log) = proxy.wait_for_exit();
    assert!(exited_cleanly && log.contains("stopped with every request answered"), "{log}");
    assert!(log.contains("counters at exit: taken=2 rejected=0 served=2 "), "{log}");
}

#[test]
fn unsafe_write_that_may_have_run_is_neither_retried_nor_rejected() {
    // What the origin does is in the key; each case has a proxy of its own, whose window nothing has cut.
    for (key, expected, sends) in [("break", "failed", 1), ("error", "failed", 1), ("reject", "busy", 1)] {
        let origin = FakeServer::origin(Box::new(|request| match request[1].as_str() {
            "/break" => None,
            "/error" => http_response("503 x", ""),
            _ => http_response("503 x\r\nX-Rejected: 1", ""),
        }));
        let (discovery, backend) = (FakeDiscovery::start(), echo_backend());
        let list =
            [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
        let proxy = Proxy::start(&discovery, &list);
        let answer = proxy.client().request(&["OBJ.SET", key, "id1", "c=close,t=acme,d=600", "text"]);
        assert!(if expected == "busy" { is_busy(&answer) } else { is_failed(&answer) }, "{key}: {answer:?}");
        assert_eq!(origin.requests().len(), sends, "{key}");
    }
}

#[test]
fn drain_takes_effect_within_a_second_and_survives_a_silent_watch() {
    let (discovery, a, b, origin) = (FakeDiscovery::start(), echo_backend(), echo_backend(), echo_origin());
    let state = |state: &str| endpoint_entry("a", &a, state, 0);
    let list = [
        state("in_service"),
        endpoint_entry("b", &b, "in_service", 0),
        endpoint_entry("o", &origin, "in_service", 0),
    ];
    let proxy = Proxy::start(&discovery, &list);
    let mut client = proxy.client();
    let mut read_sixteen_keys = |round: &str| {
        for n in 0..16 {
            let id = format!("{round}{n}");
            assert_eq!(client.get(&format!("k{n}"), &id, 2000), bulk(&id));
        }
    };
    read_sixteen_keys("x");
    let before = a.requests().len();
    assert!(before > 0 && !b.requests().is_empty(), "both take part");
    discovery.watches.recv_timeout(TIMEOUT).unwrap();
    discovery.send_update(42, &[state("terminating")]);
    std::thread::sleep(Duration::from_millis(900));
    read_sixteen_keys("y");
    assert_eq!(a.requests().len(), before, "nothing new within the second that the rule allows");
    // A watch that is silent past its beat is dropped, and the next one goes on from the list held.
    discovery.stop_responding();
    assert!(discovery.watches.recv_timeout(TIMEOUT).unwrap().contains("from=42 "));
    discovery.send_update(43, &[state("in_service")]);
    std::thread::sleep(Duration::from_millis(900));
    read_sixteen_keys("z");
    assert!(a.requests().len() > before);
}

#[test]
fn backend_that_has_just_started_gets_few_requests() {
    let (discovery, cold, warm, origin) =
        (FakeDiscovery::start(), echo_backend(), echo_backend(), echo_origin());
    let list = [
        endpoint_entry("a", &cold, "in_service", unix_ms()),
        endpoint_entry("b", &warm, "in_service", 0),
        endpoint_entry("o", &origin, "in_service", 0),
    ];
    let proxy = Proxy::start(&discovery, &list);
    let mut client = proxy.client();
    for n in 0..40 {
        let id = format!("id{n}");
        assert_eq!(client.get(&format!("k{n}"), &id, 2000), bulk(&id));
    }
    // Its start is read on the module's clock: taken for long ago, it would get about half.
    assert!(cold.requests().len() <= 3 && warm.requests().len() >= 37, "{}", cold.requests().len());
}

#[test]
fn late_answer_is_not_matched_to_another_request() {
    let backend = FakeServer::backend(Box::new(|words| {
        let late = words[2] == "late";
        std::thread::sleep(Duration::from_millis(if late { 400 } else { 0 }));
        hit_response(&words[2])
    }));
    let (discovery, origin) =
        (FakeDiscovery::start(), FakeServer::origin(Box::new(|_| http_response("500 x", ""))));
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    let mut client = proxy.client();
    let answer = client.get("k", "late", 200);
    assert!(is_busy(&answer) || is_failed(&answer), "{answer:?}");
    for n in 0..50 {
        let id = format!("id{n}");
        assert_eq!(client.get("k", &id, 2000), bulk(&id));
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn malformed_command_and_client_disconnect_do_not_affect_other_clients() {
    let silent = FakeServer::backend(Box::new(|words| {
        std::thread::sleep(Duration::from_millis(if words[1] == "k" { 0 } else { 300 }));
        hit_response(&words[2])
    }));
    let (discovery, origin) = (FakeDiscovery::start(), echo_origin());
    let list = [endpoint_entry("w", &silent, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    let mut good = proxy.client();
    for garbage in [b"GET / HTTP/1.1\r\n\r\n".as_slice(), b"*1\r\n$99999999\r\n", b"*-1\r\n*1\r\n:1\r\n"] {
        let mut bad = proxy.client();
        bad.stream.write_all(garbage).unwrap();
        assert!(matches!(bad.next(), Some(Value::Error(line)) if line.starts_with(b"ERR ")));
    }
    let mut disconnecting = proxy.client();
    disconnecting.send(&["OBJ.GET", "slow", "id0", "c=read,t=acme,d=2000"]);
    proxy.signal("USR1");
    std::thread::sleep(Duration::from_millis(50));
    drop(disconnecting);
    assert_eq!(good.get("k", "id1", 2000), bulk("id1"));
    proxy.signal("TERM");
    let (exited_cleanly, log) = proxy.wait_for_exit();
    assert!(exited_cleanly && log.contains(" left=1 ") && log.contains(" counters: taken="), "{log}");
    // The third was well-formed RESP and no command: it is told, and its connection stays open.
    assert!(log.contains(" ending_client_malformed=2 "), "{log}");
}

#[test]
fn missing_configuration_is_reported_in_one_line() {
    let run = |path: Option<&str>| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_notchdoor"));
        command.env_remove("EDGE_CONFIG");
        command.envs(path.map(|p| ("EDGE_CONFIG", p)));
        let output = command.output().unwrap();
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    for (path, expected) in [(None, "EDGE_CONFIG: not set"), (Some("/nowhere"), "EDGE_CONFIG: cannot read")] {
        let (code, text) = run(path);
        assert!(code == Some(2) && text.contains(expected) && text.lines().count() == 1, "{text}");
    }
}

#[test]
fn write_is_not_sent_on_a_connection_that_the_origin_has_closed() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), echo_backend(), echo_origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    let mut client = proxy.client();
    for n in 0..4 {
        // An unsafe write that ended as a reset could not be sent again.
        let id = format!("id{n}");
        assert_eq!(client.request(&["OBJ.SET", "once", &id, "c=close,t=acme,d=600", "text"]), bulk(&id));
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(origin.requests().len(), 4);
}

#[test]
fn idle_clients_are_closed_to_admit_new_ones() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), echo_backend(), echo_origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::with_sockets(&discovery, &list, 96);
    // Room for 38 clients; those that come after them close the ones that say nothing.
    let mut clients: Vec<Client> = (0..38).map(|_| proxy.client()).collect();
    clients.extend((0..10).map(|n| proxy.client_after_request(&format!("id{n}"))));
    assert_eq!(clients[0].next(), None, "closed, with nothing owed");
}

#[test]
fn client_that_reads_nothing_does_not_block_others_in_bounded_memory() {
    let large = "x".repeat(60_000);
    let backend = FakeServer::backend(Box::new(move |words| {
        hit_response(if words[1] == "large" { &large } else { &words[2] })
    }));
    let (discovery, origin) = (FakeDiscovery::start(), echo_origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    let mut non_reading = proxy.client();
    // Few at a time, so that the module refuses none; 900 answers are 54 MB, far beyond the kernel's buffers.
    for n in 0..900 {
        non_reading.send(&["OBJ.GET", "large", &format!("d{n}"), "c=read,t=acme,d=2000"]);
        if n % 4 == 3 {
            std::thread::sleep(Duration::from_millis(8));
        }
    }
    let mut other = proxy.client();
    assert_eq!(other.get("k", "id1", 2000), bulk("id1"));
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
    let peak = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    let kilobytes: u64 = peak.split_whitespace().nth(1).unwrap().parse().unwrap();
    assert!(kilobytes < 24_000, "{peak}");
}

#[test]
fn unreachable_backend_fails_no_read() {
    let (discovery, a, b, origin) = (FakeDiscovery::start(), echo_backend(), echo_backend(), echo_origin());
    // Nobody listens on the port that the list gives for the first.
    let dead = endpoint_entry("a", &a, "in_service", 0).replace("127.0.0.1", "127.77.0.1");
    let list =
        [dead, endpoint_entry("b", &b, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    let mut client = proxy.client();
    for n in 0..16 {
        let id = format!("id{n}");
        assert_eq!(client.get(&format!("k{n}"), &id, 2000), bulk(&id));
    }
    proxy.signal("TERM");
    let (exited_cleanly, log) = proxy.wait_for_exit();
    assert!(
        exited_cleanly && log.contains(" served=16 ") && !log.contains(" ending_connect_refused=0 "),
        "{log}"
    );
}

/// Guards against a proxy that SIGHUP ends, that goes on with a registry which has moved, or that drops
/// what it holds on the way.
#[test]
fn reload_changes_the_discovery_address_and_ends_no_request() {
    let slow = FakeServer::backend(Box::new(|words| {
        std::thread::sleep(Duration::from_millis(if words[1] == "slow" { 700 } else { 0 }));
        hit_response(&words[2])
    }));
    let (old, new, other, origin) =
        (FakeDiscovery::start(), FakeDiscovery::start(), echo_backend(), echo_origin());
    let state = |state: &str| endpoint_entry("a", &slow, state, 0);
    let list = [
        state("in_service"),
        endpoint_entry("b", &other, "in_service", 0),
        endpoint_entry("o", &origin, "in_service", 0),
    ];
    let proxy = Proxy::start(&old, &list);
    assert!(old.watches.recv_timeout(TIMEOUT).unwrap().contains("from=41 "));
    let mut client = proxy.client();
    client.send(&["OBJ.GET", "slow", "id0", "c=read,t=acme,d=2000"]);
    proxy.reload_config("{\"name\":");
    proxy.wait_for_log("the old one stays: EDGE_CONFIG: EOF");
    proxy.reload_config(&proxy.config(&new).replace("\"memory_mb\":192", "\"memory_mb\":48"));
    // The list held and its version stay, whatever `known` says, and the file goes before the variable.
    assert!(new.watches.recv_timeout(TIMEOUT).unwrap().contains("from=41 "));
    new.send_update(42, &[state("terminating")]);
    assert_eq!(client.next(), Some(bulk("id0")), "no request is ended");
    proxy.wait_for_log("discovery: version 42");
    let before = slow.requests().len();
    for n in 0..16 {
        let id = format!("id{n}");
        assert_eq!(client.get(&format!("k{n}"), &id, 2000), bulk(&id));
    }
    assert_eq!(slow.requests().len(), before, "the new registry's word counts");
    proxy.signal("HUP");
    proxy.signal("TERM");
    proxy.signal("HUP");
    let (exited_cleanly, log) = proxy.wait_for_exit();
    assert!(exited_cleanly && log.contains("a restart is needed for limits.memory_mb\n"), "{log}");
}

/// Guards against those who connect and say nothing, or half a command, and hold a descriptor for good.
#[test]
fn idle_client_and_incomplete_command_time_out() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), echo_backend(), echo_origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    let (mut silent, mut half, mut later, mut good) =
        (proxy.client(), proxy.client(), proxy.client(), proxy.client());
    half.stream.write_all(b"*4\r\n$7\r\nOBJ.GET\r\n$1\r").unwrap();
    assert_eq!(later.get("k", "id1", 2000), bulk("id1"));
    later.stream.write_all(b"*4\r\n").unwrap();
    assert_eq!(good.get("k", "id2", 2000), bulk("id2"));
    let late = Some(Value::Error(b"ERR the command took too long".to_vec()));
    assert_eq!((half.next(), half.next()), (late.clone(), None), "{}", proxy.log_and_status());
    assert_eq!((later.next(), later.next()), (late, None));
    assert_eq!(silent.next(), None);
    assert_eq!(good.get("k", "id3", 2000), bulk("id3"), "who has asked may stay");
}

/// Guards against values that are read on for as long as their client sends, and against a reset that takes
/// the error line with it.
#[test]
fn oversized_value_is_rejected_by_its_declared_length() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), echo_backend(), echo_origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    let mut bad = proxy.client();
    let head = "*5\r\n$7\r\nOBJ.SET\r\n$1\r\nk\r\n$3\r\nid1\r\n$12\r\nc=close,d=90\r\n$60000000\r\n";
    bad.stream.write_all(&[head.as_bytes(), &[b'x'; 400_000]].concat()).unwrap();
    assert_eq!(bad.next(), Some(Value::Error(b"ERR Protocol error: too large".to_vec())));
    assert_eq!(bad.next(), None);
    assert!(backend.requests().is_empty() && origin.requests().is_empty());
}

/// Guards against a request that waits until its client gives up for the rest of an answer that never comes.
#[test]
fn incomplete_answer_is_retried() {
    let asked = AtomicUsize::new(0);
    let backend = FakeServer::backend(Box::new(move |words| match asked.fetch_add(1, Ordering::Relaxed) {
        0 => Some(b"*3\r\n$90\r\nshort\r\n$3\r\nhit\r\n$-1\r\n".to_vec()),
        _ => hit_response(&words[2]),
    }));
    let (discovery, origin) = (FakeDiscovery::start(), echo_origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    assert_eq!(proxy.client().get("k", "id1", 2000), bulk("id1"));
    assert_eq!((backend.requests().len(), origin.requests().len()), (2, 0));
}

/// Guards against a second copy that comes right behind an answer and is taken for the next command's: no
/// connection takes another command at once.
#[test]
fn connection_is_not_reused_immediately_after_an_answer() {
    let gaps = Arc::new(Mutex::new((None::<Instant>, Vec::new())));
    let recorded = Arc::clone(&gaps);
    let backend = FakeServer::backend(Box::new(move |words| {
        let mut gaps = recorded.lock().unwrap();
        if let Some(before) = gaps.0 {
            gaps.1.push(before.elapsed());
        }
        gaps.0 = Some(Instant::now());
        hit_response(&words[2])
    }));
    let (discovery, origin) = (FakeDiscovery::start(), echo_origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    let mut client = proxy.client();
    for n in 0..20 {
        let id = format!("id{n}");
        assert_eq!(client.get("k", &id, 2000), bulk(&id));
    }
    let gaps = gaps.lock().unwrap();
    assert!(gaps.1.len() == 19 && gaps.1.iter().all(|g| *g >= Duration::from_millis(2)), "{:?}", gaps.1);
}

/// Guards against a crowd of clients that ask once and stay: they give way, and not those who go on asking.
#[test]
fn clients_with_one_request_are_closed_before_active_ones() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), echo_backend(), echo_origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::with_sockets(&discovery, &list, 96);
    let mut regular = proxy.client();
    for id in ["a", "b"] {
        assert_eq!(regular.get("k", id, 2000), bulk(id));
    }
    let mut crowd = Vec::new();
    for n in 0..60 {
        crowd.push(proxy.client_after_request(&format!("id{n}")));
        // What asked once is idle for long enough; who asks on would not be.
        if n == 36 {
            std::thread::sleep(Duration::from_millis(300));
        }
    }
    assert_eq!(regular.get("k", "c", 2000), bulk("c"));
    assert_eq!(crowd[0].next(), None);
}

/// Guards against a front that may hold fewer connections than there is room for here: those that asked once and
/// stay are closed when half of the room is used, not when the last of it is.
#[test]
fn clients_with_one_request_are_closed_from_half_of_the_capacity() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), echo_backend(), echo_origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    // Room for 38 clients.
    let proxy = Proxy::with_sockets(&discovery, &list, 96);
    let mut crowd: Vec<Client> = (0..24).map(|n| proxy.client_after_request(&format!("id{n}"))).collect();
    std::thread::sleep(Duration::from_millis(150));
    let _late = [proxy.client_after_request("id98"), proxy.client_after_request("id99")];
    assert_eq!(crowd[0].next(), None);
}

/// A process that was stalled (its disk, its core) finds clients idle for long whose requests lie in their sockets:
/// they are read and answered, however short room is, and not closed with those who have nothing to ask.
#[test]
fn requests_received_during_a_stall_are_answered() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), echo_backend(), echo_origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    // Room for 38 clients.
    let proxy = Proxy::with_sockets(&discovery, &list, 96);
    let mut clients: Vec<Client> = (0..18).map(|n| proxy.client_after_request(&format!("id{n}"))).collect();
    proxy.signal("STOP");
    // With the crowd over half of the room is used, and those that asked once make room. The crowd is heard of first.
    let _crowd: Vec<Client> = (0..8).map(|_| proxy.client()).collect();
    for (n, client) in clients.iter_mut().take(6).enumerate() {
        client.send(&["OBJ.GET", "k", &format!("late{n}"), "c=read,t=acme,d=2000"]);
    }
    std::thread::sleep(Duration::from_millis(300));
    proxy.signal("CONT");
    for (n, client) in clients.iter_mut().take(6).enumerate() {
        // The stall looked like a slow worker: some may be refused, and none is left without an answer.
        let answer = client.next();
        let served = answer == Some(bulk(&format!("late{n}")));
        assert!(served || answer.as_ref().is_some_and(is_busy), "client {n}: {answer:?}");
    }
    assert_eq!(clients[8].next(), None, "with nothing to ask it makes room");
}

/// Finding 8: each connection could hold most of a command, and nothing bounded them all together.
#[test]
fn incomplete_commands_have_a_total_bound_and_the_oldest_are_dropped_first() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), echo_backend(), echo_origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    // An eighth of 12 MiB is room for 25 such halves.
    let proxy = Proxy::with_limits(&discovery, &list, (1024, 12), None);
    let half = format!("*5\r\n$7\r\nOBJ.SET\r\n$65536\r\n{}", "x".repeat(60_000));
    let mut clients: Vec<Client> = (0..80).map(|_| proxy.client()).collect();
    let mut other = proxy.client();
    for client in &mut clients {
        client.stream.write_all(half.as_bytes()).unwrap();
        // One after the other: what comes at once is read in no order of its own.
        assert_eq!(other.request(&["PING"]), Value::Simple(b"PONG".to_vec()));
    }
    assert_eq!(other.get("k", "id1", 2000), bulk("id1"));
    let error_line = |client: &mut Client| match client.next() {
        Some(Value::Error(line)) => String::from_utf8(line).unwrap(),
        other => panic!("{other:?}"),
    };
    let answers: Vec<String> = clients.iter_mut().map(error_line).collect();
    let dropped_for_room = answers.iter().filter(|a| *a == "ERR too many half-sent commands").count();
    assert!(
        (30..80).contains(&dropped_for_room),
        "{dropped_for_room} of 80 were cut off for room, the rest for their time"
    );
    // The oldest first, though on a busy machine some of them are out of time before it comes to that.
    let count_dropped =
        |part: &[String]| part.iter().filter(|a| *a == "ERR too many half-sent commands").count();
    assert!(count_dropped(&answers[..40]) + 10 >= count_dropped(&answers[40..]), "{answers:?}");
}

/// Finding 10: a dozen clients that read nothing kept everybody's requests from being taken for ten seconds.
#[test]
fn clients_that_read_nothing_are_disconnected_early_under_memory_pressure() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), echo_backend(), echo_origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::with_limits(&discovery, &list, (1024, 12), None);
    let non_reading: Vec<TcpStream> = (0..18)
        .map(|_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_recv_buffer_size(4096).unwrap();
            socket.connect(&proxy.listen.into()).unwrap();
            let mut stream = TcpStream::from(socket);
            stream.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
            // Each is told an error of five times its length.
            let _ = stream.write_all("*0\r\n".repeat(400_000).as_bytes());
            stream
        })
        .collect();
    let started = Instant::now();
    assert_eq!(proxy.client().get("k", "id1", 2000), bulk("id1"));
    assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
    // What is cut off is told by the counters.
    std::thread::sleep(Duration::from_millis(2_500));
    drop(non_reading);
    proxy.signal("TERM");
    let (exited_cleanly, log) = proxy.wait_for_exit();
    let stalled = log.split("ending_client_stalled=").nth(1).and_then(|t| t.split(' ').next());
    assert!(exited_cleanly && stalled.is_some_and(|n| n != "0"), "none was cut off for it: {log}");
}

/// Finding 12: a request whose client names an hour was held as long by a worker that says nothing.
#[test]
fn client_deadline_is_capped_by_the_longest_class_deadline() {
    let silent = FakeServer::backend(Box::new(|_| {
        std::thread::sleep(2 * TIMEOUT);
        None
    }));
    let (discovery, origin) = (FakeDiscovery::start(), echo_origin());
    let list = [endpoint_entry("w", &silent, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    let started = Instant::now();
    let answer = proxy.client().get("k", "id1", 3_600_000);
    assert!(is_busy(&answer) || is_failed(&answer) || answer == bulk("id1"), "{answer:?}");
    assert!(started.elapsed() < Duration::from_secs(8), "{:?}", started.elapsed());
}

/// Finding 15: a registry that sent a byte now and then passed for one that lives, and drains went unheard.
#[test]
fn watch_that_never_completes_a_line_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = FakeDiscovery::external(listener.local_addr().unwrap());
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
                let mut open = stream.write_all(head).is_ok();
                while open {
                    std::thread::sleep(Duration::from_millis(200));
                    open = stream.write_all(b"1\r\n \r\n").is_ok();
                }
            });
        }
    });
    let (backend, origin) = (echo_backend(), echo_origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    std::thread::sleep(Duration::from_secs(10));
    proxy.wait_for_log("discovery: watch ended, registry_silent");
}

/// A signal while requests are at every stage: half read, at a slow worker, fetched, waiting for that fetch, written.
#[test]
fn signal_at_any_request_stage_loses_no_request() {
    for signal in ["HUP", "TERM"] {
        let slow = |answer: Option<Vec<u8>>| {
            std::thread::sleep(Duration::from_millis(250));
            answer
        };
        let backend = FakeServer::backend(Box::new(move |words| match words[1].as_str() {
            "miss" => Some(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n".to_vec()),
            _ => slow(hit_response(&words[2])),
        }));
        let origin = FakeServer::origin(Box::new(move |request| slow(http_response("200 OK", &request[2]))));
        let discovery = FakeDiscovery::start();
        let list =
            [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
        let proxy = Proxy::start(&discovery, &list);
        let mut clients: Vec<Client> = (0..5).map(|_| proxy.client()).collect();
        let read = "c=read,t=acme,d=2000";
        clients[0].send(&["OBJ.GET", "k", "id0", read]);
        clients[1].send(&["OBJ.GET", "miss", "id1", read]);
        clients[2].send(&["OBJ.SET", "k", "id2", "c=close,t=acme,d=600", "v"]);
        let half = b"*4\r\n$7\r\nOBJ.GET\r\n$2\r\nk2\r\n$3\r\nid3\r\n$20\r\nc=read,t=a";
        clients[3].stream.write_all(half).unwrap();
        std::thread::sleep(Duration::from_millis(60));
        // Its worker has missed by now, and the fetch is out.
        clients[4].send(&["OBJ.GET", "miss", "id4", read]);
        std::thread::sleep(Duration::from_millis(30));
        proxy.signal(signal);
        clients[3].stream.write_all(b"cme,d=2000\r\n").unwrap();
        for (n, client) in clients.iter_mut().enumerate() {
            let id = format!("id{n}");
            let answer = client.next();
            // Behind a fetch a read finds its key missing here all the same: it may be fetched, or refused.
            let refused = n == 4 && answer.as_ref().is_some_and(is_busy);
            assert!(answer == Some(bulk(&id)) || refused, "{signal}, {id}: {answer:?}");
        }
        assert_eq!(origin.requests().iter().filter(|r| r[2] == "id2").count(), 1);
        if signal == "HUP" {
            assert_eq!(proxy.client().get("k", "id9", 2000), bulk("id9"));
            proxy.signal("TERM");
        }
        drop(clients);
        let (exited_cleanly, log) = proxy.wait_for_exit();
        assert!(exited_cleanly && log.contains("stopped with every request answered"), "{signal}: {log}");
        assert!(log.contains(" owed=0 "), "{log}");
    }
}

/// A client may leave at every byte of a command, and with answers owed: nothing is held, and the next is served.
#[test]
fn client_disconnect_at_any_byte_leaves_nothing_in_flight() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), echo_backend(), echo_origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    let whole = b"*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk\r\n$3\r\nid0\r\n$20\r\nc=read,t=acme,d=2000\r\n";
    for at in 0..=whole.len() {
        let mut client = proxy.client();
        client.stream.write_all(&whole[..at]).unwrap();
    }
    let mut pipelining = proxy.client();
    for n in 0..20 {
        pipelining.send(&["OBJ.GET", "k", &format!("o{n}"), "c=read,t=acme,d=2000"]);
    }
    drop(pipelining);
    assert_eq!(proxy.client().get("k", "id1", 2000), bulk("id1"));
    proxy.signal("TERM");
    let (exited_cleanly, log) = proxy.wait_for_exit();
    assert!(exited_cleanly && log.contains("stopped with every request answered"), "{log}");
    assert!(log.contains(" owed=0 clients=0 "), "{log}");
}
