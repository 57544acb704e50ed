//! What comes between two steps: a client that leaves, a request, an answer, a list or a signal at the wrong moment.
//! Each test holds one side at the point. docs/audit-findings.md has the table that names them.

mod common;
use common::*;
use notchdoor_proxy::wire::resp::{Reader, Value};
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

const READ: &str = "c=read,t=acme,d=2000";
/// Soon: well before any request's time is over.
const SOON: Duration = Duration::from_millis(900);

/// A worker or an origin that the test plays: what was asked as it came, and the connection that waits for an answer.
struct Played {
    endpoint: SocketAddr,
    asked: Receiver<(String, TcpStream)>,
}

/// Whether a worker's command, or the head of a request to an origin or a registry, is whole.
fn whole(bytes: &[u8]) -> bool {
    let mut reader = Reader::default();
    reader.feed(bytes);
    bytes.windows(4).any(|w| w == b"\r\n\r\n")
        || bytes.starts_with(b"*") && matches!(reader.next_value(), Ok(Some(_)))
}

/// What comes first on a connection, if anything does before its end.
fn first_of(stream: &mut TcpStream) -> String {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    while !whole(&bytes) {
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => bytes.extend(&buffer[..n]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

impl Played {
    fn start() -> Played {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = listener.local_addr().unwrap();
        let (told, asked) = channel();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let told = told.clone();
                std::thread::spawn(move || {
                    let text = first_of(&mut stream);
                    if !text.is_empty() {
                        let _ = told.send((text, stream));
                    }
                });
            }
        });
        Played { endpoint, asked }
    }

    fn line(&self, uid: &str) -> String {
        line_at(uid, self.endpoint, "in_service", 0)
    }

    fn next(&self) -> (String, TcpStream) {
        self.asked.recv_timeout(PATIENCE).expect("asked")
    }

    fn nothing_more(&self) -> bool {
        self.asked.recv_timeout(Duration::from_millis(150)).is_err()
    }
}

/// A peer whose queue of connections is full: one that is begun now comes up about a second later, once there is room.
struct Crowded {
    listener: Socket,
    endpoint: SocketAddr,
    fillers: Vec<TcpStream>,
}

impl Crowded {
    fn new() -> Crowded {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        listener.listen(0).unwrap();
        listener.set_read_timeout(Some(PATIENCE)).unwrap();
        let endpoint = listener.local_addr().unwrap().as_socket().unwrap();
        Crowded { listener, endpoint, fillers: Vec::new() }
    }

    fn line(&self, uid: &str, boot_ms: u128) -> String {
        line_at(uid, self.endpoint, "in_service", boot_ms)
    }

    fn accept(&self) -> TcpStream {
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.into()
    }

    fn fill(&mut self) {
        while let Ok(stream) = TcpStream::connect_timeout(&self.endpoint, Duration::from_millis(100)) {
            self.fillers.push(stream);
        }
        assert!(!self.fillers.is_empty(), "the queue takes one");
    }

    /// Makes room, and gives the connection that comes up late.
    fn late(&mut self) -> TcpStream {
        for _ in 0..self.fillers.len() {
            drop(self.accept());
        }
        self.accept()
    }
}

/// Settings in which a connection may take longer to come up than the proxy's own retransmission of its first packet.
fn patient(window_ms: u32) -> String {
    settings()
        .replace("\"connectTimeout\":150.0", "\"connectTimeout\":1700.0")
        .replace("\"dedupWindow\":2000.0", &format!("\"dedupWindow\":{window_ms}.0"))
}

fn with_settings(registry: &Registry, list: &[String], settings: &str) -> Proxy {
    Proxy::with_files(registry, list, (1024, 192), &[("settings.json", settings)])
}

/// Waits until the proxy has begun so many connections to workers and the origin: it counts one in the step in which its
/// first packet goes out.
fn begun(proxy: &Proxy, connections: u32) {
    let until = Instant::now() + PATIENCE;
    while !proxy.told().contains(&format!(" opened={connections} ")) {
        assert!(Instant::now() < until, "never connects");
        proxy.signal("USR1");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Waits for the end of a connection without another byte: how long that took.
fn ends(stream: &mut TcpStream) -> Duration {
    let begun = Instant::now();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    match stream.read(&mut [0; 64]) {
        Ok(0) => {}
        Err(e) if e.kind() == ErrorKind::ConnectionReset => {}
        other => panic!("neither an end nor silence: {other:?}"),
    }
    begun.elapsed()
}

fn told_ms(text: &str) -> u64 {
    let (_, rest) = text.split_once("d=").expect("d is told");
    rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap()
}

#[test]
fn a_further_attempt_tells_the_time_that_is_left() {
    let (registry, worker, origin) = (Registry::start(), Played::start(), Played::start());
    let proxy = Proxy::start(&registry, &[worker.line("w"), origin.line("o")]);
    let mut client = proxy.client();
    client.send(&["OBJ.GET", "k", "id1", READ]);
    let (first, mut at_worker) = worker.next();
    let at_once = told_ms(&first);
    // A little is kept back, so that the answer at the end of that time is not on its way when the client gives up.
    assert!((1_500..=1_990).contains(&at_once), "{first}");
    std::thread::sleep(Duration::from_millis(300));
    at_worker.write_all(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n").unwrap();
    let (fetch, mut at_origin) = origin.next();
    assert!(told_ms(&fetch) <= at_once - 300, "{fetch}");
    at_origin.write_all(&http("200 OK", "id1").unwrap()).unwrap();
    assert_eq!(client.next(), Some(bulk("id1")));
}

#[test]
fn a_client_that_leaves_behind_commands_that_wait_is_seen_to_leave() {
    let (registry, worker, origin) = (Registry::start(), Played::start(), Played::start());
    let proxy = Proxy::start(&registry, &[worker.line("w"), origin.line("o")]);
    let mut client = proxy.client();
    // More than one connection may be owed: the rest is read and waits for its turn.
    for n in 0..200 {
        client.send(&["OBJ.GET", &format!("k{n}"), &format!("id{n}"), READ]);
    }
    let (_, mut first) = worker.next();
    while !worker.nothing_more() {}
    while !origin.nothing_more() {}
    drop(client);
    assert!(ends(&mut first) < SOON, "its attempt goes on");
    assert!(worker.nothing_more() && origin.nothing_more(), "sent on for a client that has left");
}

#[test]
fn a_client_that_leaves_behind_what_is_no_command_is_seen_to_leave() {
    let (registry, worker, origin) = (Registry::start(), Played::start(), Played::start());
    let proxy = Proxy::start(&registry, &[worker.line("w"), origin.line("o")]);
    let mut client = proxy.client();
    client.send(&["OBJ.GET", "k", "id1", READ]);
    let (_, mut asked) = worker.next();
    client.stream.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    proxy.signal("USR1");
    proxy.logged("counters: taken=1");
    drop(client);
    assert!(ends(&mut asked) < SOON, "its attempt goes on");
    assert!(worker.nothing_more() && origin.nothing_more());
}

#[test]
fn nothing_is_written_for_a_client_that_left_while_the_connection_came_up() {
    let (registry, mut origin, worker) = (Registry::start(), Crowded::new(), Played::start());
    origin.fill();
    let list = [worker.line("w"), origin.line("o", 0)];
    let proxy = with_settings(&registry, &list, &patient(2000));
    let mut client = proxy.client();
    client.send(&["OBJ.SET", "k", "id1", "c=fix,t=acme,d=2000,k=5c", "v"]);
    begun(&proxy, 1);
    drop(client);
    assert_eq!(first_of(&mut origin.late()), "", "the client has been gone for long");
}

#[test]
fn a_repeat_is_not_written_once_it_would_not_be_known_for_one() {
    let (registry, mut origin, worker) = (Registry::start(), Crowded::new(), Played::start());
    let list = [worker.line("w"), origin.line("o", 0)];
    let proxy = with_settings(&registry, &list, &patient(500));
    let mut client = proxy.client();
    client.send(&["OBJ.SET", "k", "id1", "c=fix,t=acme,d=1900,k=5c", "v"]);
    let mut first = origin.accept();
    assert!(first_of(&mut first).starts_with("PUT /k "));
    origin.fill();
    drop(first);
    begun(&proxy, 2);
    assert_eq!(first_of(&mut origin.late()), "", "a second after the first: it would be carried out twice");
    let answer = client.next().expect("an answer");
    assert!(busy(&answer) || matches!(answer, Value::Error(_)), "{answer:?}");
}

#[test]
fn nothing_is_written_to_a_worker_that_was_started_anew_while_the_connection_came_up() {
    let (registry, mut worker, origin) = (Registry::start(), Crowded::new(), Played::start());
    worker.fill();
    let list = [worker.line("w", 0), origin.line("o")];
    let proxy = with_settings(&registry, &list, &patient(2000));
    let mut client = proxy.client();
    client.send(&["OBJ.GET", "k", "id1", READ]);
    begun(&proxy, 1);
    registry.say(42, &[worker.line("w", unix_ms())]);
    proxy.logged("version 42");
    assert_eq!(first_of(&mut worker.late()), "", "it was chosen for a process that is no more");
}

#[test]
fn a_request_that_crosses_an_orderly_close_finds_an_end_and_no_reset() {
    let (registry, worker, origin) = (Registry::start(), Played::start(), Played::start());
    let proxy = Proxy::start(&registry, &[worker.line("w"), origin.line("o")]);
    let mut client = proxy.client();
    client.send(&["OBJ.GET", "k", "id1", READ]);
    let (_, mut asked) = worker.next();
    asked.write_all(&value("id1").unwrap()).unwrap();
    assert_eq!(client.next(), Some(bulk("id1")));
    proxy.signal("TERM");
    assert_eq!(client.stream.peek(&mut [0]).unwrap(), 0, "the proxy's side has ended");
    client.send(&["OBJ.GET", "k", "id2", READ]);
    assert!(worker.nothing_more() && origin.nothing_more(), "read after the end, and sent on");
    // After a reset no more could be written.
    client.stream.write_all(b"*4\r\n").expect("read on, and not reset");
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
    drop(client);
    let (good, log) = proxy.wait();
    assert!(good && log.contains("stopped with every request answered"), "{log}");
}

#[test]
fn a_client_that_always_has_a_request_open_does_not_hold_up_a_stop() {
    let slow = Peer::worker(Box::new(|words| {
        std::thread::sleep(Duration::from_millis(100));
        value(&words[2])
    }));
    let (registry, origin) = (Registry::start(), Played::start());
    let proxy = Proxy::start(&registry, &[line("w", &slow, "in_service", 0), origin.line("o")]);
    let mut client = proxy.client();
    client.send(&["OBJ.GET", "k0", "id0", READ]);
    let (mut asked, mut answered, mut stopping) = (1, 0, None);
    loop {
        // The next one is sent before the last is answered: the connection is never idle.
        client.send(&["OBJ.GET", &format!("k{asked}"), &format!("id{asked}"), READ]);
        asked += 1;
        let Some(answer) = client.next() else { break };
        assert!(answer == bulk(&format!("id{answered}")) || busy(&answer), "{answer:?}");
        answered += 1;
        if answered == 2 {
            proxy.signal("TERM");
            stopping = Some(Instant::now());
        }
    }
    assert!(stopping.expect("stopped").elapsed() < Duration::from_secs(2), "up to the kill");
    drop(client);
    let (good, log) = proxy.wait();
    assert!(good && log.contains("stopped with every request answered"), "{log}");
}

#[test]
fn a_request_with_a_longer_time_than_a_stop_has_is_answered_before_the_kill() {
    let (registry, worker, origin) = (Registry::start(), Played::start(), Played::start());
    let long = settings().replace("\"deadline\":2000.0", "\"deadline\":30000.0");
    let proxy = with_settings(&registry, &[worker.line("w"), origin.line("o")], &long);
    let mut client = proxy.client();
    client.send(&["OBJ.GET", "k", "id1", "c=read,t=acme,d=30000"]);
    let _held = worker.next();
    proxy.signal("TERM");
    let begun = Instant::now();
    assert!(busy(&client.next().expect("an answer")));
    assert!(begun.elapsed() < Duration::from_millis(3_700), "killed by now");
    drop(client);
    let (good, log) = proxy.wait();
    assert!(good && log.contains("stopped with every request answered"), "{log}");
}

#[test]
fn a_list_is_heard_within_six_seconds_also_where_the_first_new_watch_is_silent_too() {
    let (worker, origin, listener) =
        (Played::start(), Played::start(), TcpListener::bind("127.0.0.1:0").unwrap());
    let registry = Registry::at(listener.local_addr().unwrap());
    let line = line_at("w", worker.endpoint, "terminating", 0);
    let silent_since = std::thread::spawn(move || {
        let watch = |says: &str| {
            let (mut stream, _) = listener.accept().unwrap();
            assert!(first_of(&mut stream).contains("watch=1"));
            stream.write_all(says.as_bytes()).unwrap();
            stream
        };
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
        let first = watch(head);
        let begun = Instant::now();
        let second = watch("");
        let json = format!("{{\"rev\":43,\"all\":false,\"targets\":[{line}]}}\n");
        let third = watch(&format!("{head}{:x}\r\n{json}\r\n", json.len()));
        (begun, [first, second, third])
    });
    let proxy = Proxy::start(&registry, &[worker.line("w"), origin.line("o")]);
    proxy.logged("version 43");
    let (begun, _open) = silent_since.join().unwrap();
    assert!(begun.elapsed() < Duration::from_secs(6), "{:?}", begun.elapsed());
}

#[test]
fn another_deployment_s_proxy_of_the_same_name_and_address_leaves_nothing_behind() {
    let (registry, a, b, origin) = (Registry::start(), Played::start(), Played::start(), Played::start());
    let list = [a.line("a"), b.line("b"), origin.line("o")];
    let first = Proxy::start(&registry, &list);
    assert_eq!(first.call("POST", "/_cache-nodes/detach", "a").map(|(status, _)| status), Some(200));
    assert_eq!(first.vars()["cache_nodes_excluded"], 1);
    let folder = std::sync::Arc::clone(&first.folder);
    // Killed: nothing is tidied up.
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
    let other = Proxy::again(&registry, std::sync::Arc::clone(&folder));
    assert_eq!(other.vars()["cache_nodes_excluded"], 0, "the other customer's worker is out here");
    other.logged("which belongs to another deployment");
    drop(other);
    assert_eq!(std::fs::read(folder.0.join(&left[0])).unwrap(), before);
    // The first one's own next process finds what it left.
    std::fs::write(&path, text).unwrap();
    assert_eq!(Proxy::again(&registry, folder).vars()["cache_nodes_excluded"], 1);
}

#[test]
fn a_second_signal_while_the_first_is_heeded_costs_no_request() {
    for signals in [["TERM", "TERM"], ["TERM", "HUP"], ["HUP", "TERM"], ["INT", "TERM"]] {
        let (registry, worker, origin) = (Registry::start(), Played::start(), Played::start());
        let proxy = Proxy::start(&registry, &[worker.line("w"), origin.line("o")]);
        let mut client = proxy.client();
        client.send(&["OBJ.GET", "k", "id1", READ]);
        let (_, mut asked) = worker.next();
        for signal in signals {
            proxy.signal(signal);
        }
        proxy.logged("stopping on");
        asked.write_all(&value("id1").unwrap()).unwrap();
        assert_eq!(client.next(), Some(bulk("id1")), "{signals:?}");
        drop(client);
        let (good, log) = proxy.wait();
        assert!(good && log.contains("stopped with every request answered"), "{signals:?}: {log}");
    }
}

#[test]
fn a_process_told_to_end_before_it_has_heard_the_list_ends_in_order() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (worker, origin) = (Played::start(), Played::start());
    let registry = Registry::at(silent.local_addr().unwrap());
    // Ready, since nobody tells it more; the call to the registry is still out.
    let first = Proxy::start(&registry, &[worker.line("w"), origin.line("o")]);
    let folder = std::sync::Arc::clone(&first.folder);
    drop(first);
    let proxy = Proxy::begun(&registry, folder);
    proxy.logged("started, listening on");
    proxy.signal("TERM");
    let (good, log) = proxy.wait();
    assert!(good && log.contains("stopped with every request answered"), "{log}");
}

#[test]
fn idle_clients_that_fill_the_descriptors_leave_one_for_the_registry() {
    let (worker, origin, listener) =
        (Played::start(), Played::start(), TcpListener::bind("127.0.0.1:0").unwrap());
    let registry = Registry::at(listener.local_addr().unwrap());
    let (told, watches) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            first_of(&mut stream);
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n").unwrap();
            told.send(stream).unwrap();
        }
    });
    let proxy = Proxy::with_sockets(&registry, &[worker.line("w"), origin.line("o")], 96);
    let watch = watches.recv_timeout(PATIENCE).unwrap();
    let _idle: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(proxy.listen).unwrap()).collect();
    drop(watch);
    let mut watch = watches.recv_timeout(PATIENCE).expect("a new watch");
    let line = line_at("w", worker.endpoint, "terminating", 0);
    let json = format!("{{\"rev\":43,\"all\":false,\"targets\":[{line}]}}\n");
    write!(watch, "{:x}\r\n{json}\r\n", json.len()).unwrap();
    proxy.logged("version 43");
}

#[test]
fn a_large_value_that_is_coming_in_when_a_stop_reads_nothing_new_comes_in_whole() {
    let origin = Peer::origin(Box::new(|request| http("200 OK", &request[2])));
    let (registry, worker) = (Registry::start(), Played::start());
    let proxy = Proxy::start(&registry, &[worker.line("w"), line("o", &origin, "in_service", 0)]);
    let mut client = proxy.client();
    let (half, info) = ("x".repeat(100_000), "c=fix,t=acme,d=2000,k=5c");
    let head =
        format!("*5\r\n$7\r\nOBJ.SET\r\n$1\r\nk\r\n$3\r\nid1\r\n${}\r\n{info}\r\n$200000\r\n", info.len());
    client.stream.write_all(format!("{head}{half}").as_bytes()).unwrap();
    begun(&proxy, 1);
    proxy.signal("TERM");
    proxy.logged("stopping on");
    // Past the time at which a stop reads nothing new.
    std::thread::sleep(Duration::from_millis(900));
    client.stream.write_all(format!("{half}\r\n").as_bytes()).unwrap();
    assert_eq!(client.next(), Some(bulk("id1")));
    drop(client);
    let (good, log) = proxy.wait();
    assert!(good && log.contains("stopped with every request answered"), "{log}");
}
