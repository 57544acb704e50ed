//! Races between two steps of the proxy: a client disconnect, request, answer, endpoint update or signal that arrives in
//! between. Each test blocks one side at that point. docs/audit-findings.md lists the races.

mod common;
use common::manual_server::{read_request, ManualServer};
use common::*;
use notchdoor_proxy::wire::resp::Value;
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

const READ: &str = "c=read,t=acme,d=2000";
/// Upper bound for cancelling an attempt after its client has disconnected; well below any request's deadline.
const MAX_CANCEL_DELAY: Duration = Duration::from_millis(900);

/// A server whose accept backlog is full: a new connection is established about a second later, once there is room.
struct FullBacklogServer {
    listener: Socket,
    endpoint: SocketAddr,
    fillers: Vec<TcpStream>,
}

impl FullBacklogServer {
    fn new() -> FullBacklogServer {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        listener.listen(0).unwrap();
        listener.set_read_timeout(Some(TIMEOUT)).unwrap();
        let endpoint = listener.local_addr().unwrap().as_socket().unwrap();
        FullBacklogServer { listener, endpoint, fillers: Vec::new() }
    }

    fn endpoint_entry(&self, uid: &str, boot_ms: u128) -> String {
        endpoint_entry_at(uid, self.endpoint, "in_service", boot_ms)
    }

    fn accept(&self) -> TcpStream {
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.into()
    }

    fn fill_backlog(&mut self) {
        while let Ok(stream) = TcpStream::connect_timeout(&self.endpoint, Duration::from_millis(100)) {
            self.fillers.push(stream);
        }
        assert!(!self.fillers.is_empty(), "the backlog accepted no connection");
    }

    /// Drains the backlog and returns the connection that is established late.
    fn accept_after_backlog(&mut self) -> TcpStream {
        for _ in 0..self.fillers.len() {
            drop(self.accept());
        }
        self.accept()
    }
}

/// Settings with a connect timeout longer than the retransmission interval of a SYN, and with this deduplication window.
fn settings_with_slow_connects(window_ms: u32) -> String {
    settings()
        .replace("\"connectTimeout\":150.0", "\"connectTimeout\":1700.0")
        .replace("\"dedupWindow\":2000.0", &format!("\"dedupWindow\":{window_ms}.0"))
}

fn with_settings(discovery: &FakeDiscovery, list: &[String], settings: &str) -> Proxy {
    Proxy::with_files(discovery, list, (1024, 192), &[("settings.json", settings)])
}

/// Waits until the proxy has started this many connections to servers. It counts a connection when its SYN is sent.
fn wait_for_connections(proxy: &Proxy, connections: u32) {
    let deadline = Instant::now() + TIMEOUT;
    while !proxy.log_and_status().contains(&format!(" opened={connections} ")) {
        assert!(Instant::now() < deadline, "the proxy did not connect");
        proxy.signal("USR1");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Waits until a connection ends without another byte. Returns the time that this took.
fn wait_for_close(stream: &mut TcpStream) -> Duration {
    let started = Instant::now();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    match stream.read(&mut [0; 64]) {
        Ok(0) => {}
        Err(e) if e.kind() == ErrorKind::ConnectionReset => {}
        other => panic!("expected the end of the connection, got {other:?}"),
    }
    started.elapsed()
}

fn deadline_ms(text: &str) -> u64 {
    let (_, rest) = text.split_once("d=").expect("no deadline in the command");
    rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap()
}

#[test]
fn second_attempt_carries_the_remaining_deadline() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), ManualServer::start(), ManualServer::start());
    let proxy = Proxy::start(&discovery, &[backend.endpoint_entry("w"), origin.endpoint_entry("o")]);
    let mut client = proxy.client();
    client.send(&["OBJ.GET", "k", "id1", READ]);
    let (first, mut backend_stream) = backend.next();
    let first_deadline_ms = deadline_ms(&first);
    // The forwarded deadline is shortened slightly, so that a final answer reaches the client before its deadline.
    assert!((1_500..=1_990).contains(&first_deadline_ms), "{first}");
    std::thread::sleep(Duration::from_millis(300));
    backend_stream.write_all(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n").unwrap();
    let (fetch, mut origin_stream) = origin.next();
    assert!(deadline_ms(&fetch) <= first_deadline_ms - 300, "{fetch}");
    origin_stream.write_all(&http_response("200 OK", "id1").unwrap()).unwrap();
    assert_eq!(client.next(), Some(bulk("id1")));
}

#[test]
fn client_disconnect_behind_queued_commands_cancels_its_attempts() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), ManualServer::start(), ManualServer::start());
    let proxy = Proxy::start(&discovery, &[backend.endpoint_entry("w"), origin.endpoint_entry("o")]);
    let mut client = proxy.client();
    // More requests than a connection may have in flight: the rest is read and queued.
    for n in 0..200 {
        client.send(&["OBJ.GET", &format!("k{n}"), &format!("id{n}"), READ]);
    }
    let (_, mut first) = backend.next();
    while !backend.received_nothing_more() {}
    while !origin.received_nothing_more() {}
    drop(client);
    assert!(wait_for_close(&mut first) < MAX_CANCEL_DELAY, "the attempt was not cancelled");
    assert!(
        backend.received_nothing_more() && origin.received_nothing_more(),
        "forwarded for a disconnected client"
    );
}

#[test]
fn client_disconnect_behind_a_malformed_command_cancels_its_attempts() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), ManualServer::start(), ManualServer::start());
    let proxy = Proxy::start(&discovery, &[backend.endpoint_entry("w"), origin.endpoint_entry("o")]);
    let mut client = proxy.client();
    client.send(&["OBJ.GET", "k", "id1", READ]);
    let (_, mut attempt) = backend.next();
    client.stream.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    proxy.signal("USR1");
    proxy.wait_for_log("counters: taken=1");
    drop(client);
    assert!(wait_for_close(&mut attempt) < MAX_CANCEL_DELAY, "the attempt was not cancelled");
    assert!(backend.received_nothing_more() && origin.received_nothing_more());
}

#[test]
fn write_is_not_sent_if_the_client_disconnects_while_connecting() {
    let (discovery, mut origin, backend) =
        (FakeDiscovery::start(), FullBacklogServer::new(), ManualServer::start());
    origin.fill_backlog();
    let list = [backend.endpoint_entry("w"), origin.endpoint_entry("o", 0)];
    let proxy = with_settings(&discovery, &list, &settings_with_slow_connects(2000));
    let mut client = proxy.client();
    client.send(&["OBJ.SET", "k", "id1", "c=fix,t=acme,d=2000,k=5c", "v"]);
    wait_for_connections(&proxy, 1);
    drop(client);
    assert_eq!(read_request(&mut origin.accept_after_backlog()), "", "sent for a disconnected client");
}

#[test]
fn retry_is_not_sent_after_the_deduplication_window() {
    let (discovery, mut origin, backend) =
        (FakeDiscovery::start(), FullBacklogServer::new(), ManualServer::start());
    let list = [backend.endpoint_entry("w"), origin.endpoint_entry("o", 0)];
    let proxy = with_settings(&discovery, &list, &settings_with_slow_connects(500));
    let mut client = proxy.client();
    // A connection that stays open shows that the origin's process is the same, so that a write may be repeated.
    client.send(&["OBJ.SET", "k", "id0", "c=fix,t=acme,d=1900,k=5b", "v"]);
    let mut kept = origin.accept();
    assert!(read_request(&mut kept).starts_with("PUT /k "));
    kept.write_all(&http_response("200 OK", "x").unwrap()).unwrap();
    assert_eq!(client.next(), Some(bulk("x")));
    // The proxy opens the connection for the next write ahead.
    let mut first = origin.accept();
    // Once this is answered, the proxy has noticed that the connection is established.
    assert_eq!(client.request(&["PING"]), Value::Simple(b"PONG".to_vec()));
    client.send(&["OBJ.SET", "k", "id1", "c=fix,t=acme,d=1900,k=5c", "v"]);
    assert!(read_request(&mut first).starts_with("PUT /k "));
    origin.fill_backlog();
    drop(first);
    wait_for_connections(&proxy, 3);
    assert_eq!(
        read_request(&mut origin.accept_after_backlog()),
        "",
        "retried after the deduplication window"
    );
    let answer = client.next().expect("connection closed without a response");
    assert!(is_busy(&answer) || matches!(answer, Value::Error(_)), "{answer:?}");
}

#[test]
fn read_is_not_sent_to_a_backend_that_restarts_while_connecting() {
    let (discovery, mut backend, origin) =
        (FakeDiscovery::start(), FullBacklogServer::new(), ManualServer::start());
    backend.fill_backlog();
    let list = [backend.endpoint_entry("w", 0), origin.endpoint_entry("o")];
    let proxy = with_settings(&discovery, &list, &settings_with_slow_connects(2000));
    let mut client = proxy.client();
    client.send(&["OBJ.GET", "k", "id1", READ]);
    wait_for_connections(&proxy, 1);
    discovery.send_update(42, &[backend.endpoint_entry("w", unix_ms())]);
    proxy.wait_for_log("version 42");
    assert_eq!(read_request(&mut backend.accept_after_backlog()), "", "sent to a backend that has restarted");
}

#[test]
fn request_sent_during_graceful_close_is_not_forwarded_and_not_reset() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), ManualServer::start(), ManualServer::start());
    let proxy = Proxy::start(&discovery, &[backend.endpoint_entry("w"), origin.endpoint_entry("o")]);
    let mut client = proxy.client();
    client.send(&["OBJ.GET", "k", "id1", READ]);
    let (_, mut attempt) = backend.next();
    attempt.write_all(&hit_response("id1").unwrap()).unwrap();
    assert_eq!(client.next(), Some(bulk("id1")));
    proxy.signal("TERM");
    assert_eq!(client.stream.peek(&mut [0]).unwrap(), 0, "the proxy has not closed its side");
    client.send(&["OBJ.GET", "k", "id2", READ]);
    assert!(backend.received_nothing_more() && origin.received_nothing_more(), "forwarded after the close");
    // After a reset this write would fail.
    client.stream.write_all(b"*4\r\n").expect("the proxy reset the connection");
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
    drop(client);
    let (exited_cleanly, log) = proxy.wait_for_exit();
    assert!(exited_cleanly && log.contains("stopped with every request answered"), "{log}");
}

#[test]
fn client_that_always_has_a_request_in_flight_does_not_delay_shutdown() {
    let slow = FakeServer::backend(Box::new(|words| {
        std::thread::sleep(Duration::from_millis(100));
        hit_response(&words[2])
    }));
    let (discovery, origin) = (FakeDiscovery::start(), ManualServer::start());
    let proxy =
        Proxy::start(&discovery, &[endpoint_entry("w", &slow, "in_service", 0), origin.endpoint_entry("o")]);
    let mut client = proxy.client();
    client.send(&["OBJ.GET", "k0", "id0", READ]);
    let (mut sent, mut answered, mut stopping) = (1, 0, None);
    loop {
        // Each request is sent before the previous one is answered, so the connection is never idle.
        client.send(&["OBJ.GET", &format!("k{sent}"), &format!("id{sent}"), READ]);
        sent += 1;
        let Some(answer) = client.next() else { break };
        assert!(answer == bulk(&format!("id{answered}")) || is_busy(&answer), "{answer:?}");
        answered += 1;
        if answered == 2 {
            proxy.signal("TERM");
            stopping = Some(Instant::now());
        }
    }
    assert!(
        stopping.expect("the proxy closed the connection before SIGTERM").elapsed() < Duration::from_secs(2),
        "shutdown took too long"
    );
    drop(client);
    let (exited_cleanly, log) = proxy.wait_for_exit();
    assert!(exited_cleanly && log.contains("stopped with every request answered"), "{log}");
}

#[test]
fn request_with_a_deadline_beyond_the_shutdown_limit_is_rejected_in_time() {
    let (discovery, backend, origin) = (FakeDiscovery::start(), ManualServer::start(), ManualServer::start());
    let long = settings().replace("\"deadline\":2000.0", "\"deadline\":30000.0");
    let proxy = with_settings(&discovery, &[backend.endpoint_entry("w"), origin.endpoint_entry("o")], &long);
    let mut client = proxy.client();
    client.send(&["OBJ.GET", "k", "id1", "c=read,t=acme,d=30000"]);
    let _held = backend.next();
    proxy.signal("TERM");
    let started = Instant::now();
    assert!(is_busy(&client.next().expect("connection closed without a response")));
    assert!(started.elapsed() < Duration::from_millis(3_700), "answered too late");
    drop(client);
    let (exited_cleanly, log) = proxy.wait_for_exit();
    assert!(exited_cleanly && log.contains("stopped with every request answered"), "{log}");
}

#[test]
fn endpoint_update_arrives_within_six_seconds_after_two_silent_watches() {
    let (backend, origin, listener) =
        (ManualServer::start(), ManualServer::start(), TcpListener::bind("127.0.0.1:0").unwrap());
    let discovery = FakeDiscovery::external(listener.local_addr().unwrap());
    let line = endpoint_entry_at("w", backend.endpoint, "terminating", 0);
    let silent_since = std::thread::spawn(move || {
        let watch = |response: &str| {
            let (mut stream, _) = listener.accept().unwrap();
            assert!(read_request(&mut stream).contains("watch=1"));
            stream.write_all(response.as_bytes()).unwrap();
            stream
        };
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
        let first = watch(head);
        let started = Instant::now();
        let second = watch("");
        let json = format!("{{\"rev\":43,\"all\":false,\"targets\":[{line}]}}\n");
        let third = watch(&format!("{head}{:x}\r\n{json}\r\n", json.len()));
        (started, [first, second, third])
    });
    let proxy = Proxy::start(&discovery, &[backend.endpoint_entry("w"), origin.endpoint_entry("o")]);
    proxy.wait_for_log("version 43");
    let (started, _open) = silent_since.join().unwrap();
    assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
}

#[test]
fn state_file_of_another_deployment_is_ignored_and_left_unchanged() {
    let (discovery, a, b, origin) =
        (FakeDiscovery::start(), ManualServer::start(), ManualServer::start(), ManualServer::start());
    let list = [a.endpoint_entry("a"), b.endpoint_entry("b"), origin.endpoint_entry("o")];
    let first = Proxy::start(&discovery, &list);
    assert_eq!(first.call("POST", "/_cache-nodes/detach", "a").map(|(status, _)| status), Some(200));
    assert_eq!(first.metrics()["cache_nodes_excluded"], 1);
    let folder = std::sync::Arc::clone(&first.folder);
    // Killed, so that the state file remains.
    drop(first);
    let (name, path) = ("notchdoor", folder.0.join("config"));
    let text = std::fs::read_to_string(&path).unwrap();
    let states = || {
        let files =
            std::fs::read_dir(&folder.0).unwrap().flatten().map(|f| f.file_name().into_string().unwrap());
        let mut states: Vec<_> = files.filter(|f| f.starts_with(name) && f.ends_with(".state")).collect();
        states.sort();
        states
    };
    let left = states();
    assert_eq!(left.len(), 1);
    let before = std::fs::read(folder.0.join(&left[0])).unwrap();
    std::fs::write(&path, text.replace("\"acme\"", "\"other\"")).unwrap();
    let other = Proxy::restart(&discovery, std::sync::Arc::clone(&folder));
    assert_eq!(other.metrics()["cache_nodes_excluded"], 0, "a backend of the other deployment is excluded");
    other.wait_for_log("which belongs to another deployment");
    drop(other);
    assert_eq!(std::fs::read(folder.0.join(&left[0])).unwrap(), before);
    // A restart with the first configuration restores the state.
    std::fs::write(&path, text).unwrap();
    assert_eq!(Proxy::restart(&discovery, folder).metrics()["cache_nodes_excluded"], 1);
}

#[test]
fn second_signal_during_shutdown_loses_no_request() {
    for signals in [["TERM", "TERM"], ["TERM", "HUP"], ["HUP", "TERM"], ["INT", "TERM"]] {
        let (discovery, backend, origin) =
            (FakeDiscovery::start(), ManualServer::start(), ManualServer::start());
        let proxy = Proxy::start(&discovery, &[backend.endpoint_entry("w"), origin.endpoint_entry("o")]);
        let mut client = proxy.client();
        client.send(&["OBJ.GET", "k", "id1", READ]);
        let (_, mut attempt) = backend.next();
        for signal in signals {
            proxy.signal(signal);
        }
        proxy.wait_for_log("stopping on");
        attempt.write_all(&hit_response("id1").unwrap()).unwrap();
        assert_eq!(client.next(), Some(bulk("id1")), "{signals:?}");
        drop(client);
        let (exited_cleanly, log) = proxy.wait_for_exit();
        assert!(exited_cleanly && log.contains("stopped with every request answered"), "{signals:?}: {log}");
    }
}

#[test]
fn shutdown_before_the_first_endpoint_list_exits_cleanly() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (backend, origin) = (ManualServer::start(), ManualServer::start());
    let discovery = FakeDiscovery::external(silent.local_addr().unwrap());
    // It becomes ready with the known list while the request to discovery is still pending.
    let first = Proxy::start(&discovery, &[backend.endpoint_entry("w"), origin.endpoint_entry("o")]);
    let folder = std::sync::Arc::clone(&first.folder);
    drop(first);
    let proxy = Proxy::restart_without_waiting(&discovery, folder);
    proxy.wait_for_log("started, listening on");
    proxy.signal("TERM");
    let (exited_cleanly, log) = proxy.wait_for_exit();
    assert!(exited_cleanly && log.contains("stopped with every request answered"), "{log}");
}

#[test]
fn idle_clients_leave_a_descriptor_for_the_discovery_watch() {
    let (backend, origin, listener) =
        (ManualServer::start(), ManualServer::start(), TcpListener::bind("127.0.0.1:0").unwrap());
    let discovery = FakeDiscovery::external(listener.local_addr().unwrap());
    let (watch_started, watches) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            read_request(&mut stream);
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n").unwrap();
            watch_started.send(stream).unwrap();
        }
    });
    let proxy =
        Proxy::with_sockets(&discovery, &[backend.endpoint_entry("w"), origin.endpoint_entry("o")], 96);
    let watch = watches.recv_timeout(TIMEOUT).unwrap();
    let _idle: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(proxy.listen).unwrap()).collect();
    drop(watch);
    let mut watch = watches.recv_timeout(TIMEOUT).expect("no new watch");
    let line = endpoint_entry_at("w", backend.endpoint, "terminating", 0);
    let json = format!("{{\"rev\":43,\"all\":false,\"targets\":[{line}]}}\n");
    write!(watch, "{:x}\r\n{json}\r\n", json.len()).unwrap();
    proxy.wait_for_log("version 43");
}

#[test]
fn large_write_in_progress_at_shutdown_is_completed() {
    let origin = FakeServer::origin(Box::new(|request| http_response("200 OK", &request[2])));
    let (discovery, backend) = (FakeDiscovery::start(), ManualServer::start());
    let proxy = Proxy::start(
        &discovery,
        &[backend.endpoint_entry("w"), endpoint_entry("o", &origin, "in_service", 0)],
    );
    let mut client = proxy.client();
    let (half, info) = ("x".repeat(100_000), "c=fix,t=acme,d=2000,k=5c");
    let head =
        format!("*5\r\n$7\r\nOBJ.SET\r\n$1\r\nk\r\n$3\r\nid1\r\n${}\r\n{info}\r\n$200000\r\n", info.len());
    client.stream.write_all(format!("{head}{half}").as_bytes()).unwrap();
    wait_for_connections(&proxy, 1);
    proxy.signal("TERM");
    proxy.wait_for_log("stopping on");
    // By now the stopping proxy reads no new requests.
    std::thread::sleep(Duration::from_millis(900));
    client.stream.write_all(format!("{half}\r\n").as_bytes()).unwrap();
    assert_eq!(client.next(), Some(bulk("id1")));
    drop(client);
    let (exited_cleanly, log) = proxy.wait_for_exit();
    assert!(exited_cleanly && log.contains("stopped with every request answered"), "{log}");
}
