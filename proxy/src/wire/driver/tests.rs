//! Tests of the runtime on loopback sockets, with injected system call failures.

use super::{hot_restart, Executors, Fleet, Runtime, Sockets};
use crate::lifecycle::config::Config;
use crate::net::injection::{clear, fail, left};
use crate::net::SocketCall;
use crate::outcome::AttemptOutcome;
use crate::proxy::ReplySlot;
use crate::wire::resp::{write_command, Reader, Value};
use crate::wire::MAX_VALUE;
use blocking::unblock;
use futures_lite::future;
use rustix::io::Errno;
use std::cell::Cell;
use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Timeout of every read, so that a hanging test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const LARGE_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// Most bytes of a value that are handled before other tasks have their turn: one read from a socket.
const MAX_BYTES_PER_TURN: usize = MAX_VALUE / 4;
const SETTINGS: &str = r#"{"balancers":1,"me":0,"grades":[
    {"name":"read","aim":750.0,"deadline":2000.0,"effect":"idempotent","points":2.0},
    {"name":"close","aim":300.0,"deadline":600.0,"effect":"at_most_once","points":8.0}],
    "tenants":[],"dcs":["a"],"skus":["std","origin"],
    "discovery":"on_request","familyInfo":{"mode":"aside","originKind":1},"weightKind":"rough",
    "limits":{"connectTimeout":150.0,"idleClose":30000.0,"maxAttempts":3,"maxRetryAfter":1000.0,"mayCancel":true,
    "mostHeld":20000,"retryAfter":true,"secondCopies":true},
    "obligations":{"askEvery":10000.0,"cold":8100.0,"coldFrom":0.31,"fallMultiple":4.0,"tipAfter":2000.0}}"#;

/// Starts a server that handles each connection on its own thread.
fn start_server(serve: impl Fn(TcpStream) + Copy + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Starts a backend that answers each read with the same value, and `PING` with `+PONG`.
fn start_cache() -> SocketAddr {
    start_server(|mut stream| {
        let (mut reader, mut buffer) = (Reader::default(), [0; 4096]);
        while let Ok(n) = stream.read(&mut buffer) {
            reader.feed(&buffer[..n]);
            while let Some(command) = reader.next_value().unwrap() {
                let reply: &[u8] = match command {
                    Value::Array(Some(words)) if words[0] == Value::Bulk(Some(b"OBJ.GET".to_vec())) => {
                        b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n"
                    }
                    _ => b"+PONG\r\n",
                };
                if stream.write_all(reply).is_err() {
                    return;
                }
            }
            if n == 0 {
                return;
            }
        }
    })
}

/// Starts a backend that answers each command with a value of this length, as fast as it is taken.
fn start_large_cache() -> SocketAddr {
    start_server(|mut stream| {
        let mut reply = format!("*3\r\n${LARGE_VALUE_BYTES}\r\n").into_bytes();
        reply.resize(reply.len() + LARGE_VALUE_BYTES, b'v');
        reply.extend_from_slice(b"\r\n$3\r\nhit\r\n$-1\r\n");
        let (mut reader, mut buffer) = (Reader::default(), [0; 4096]);
        while let Ok(n) = stream.read(&mut buffer) {
            reader.feed(&buffer[..n]);
            while reader.next_value().unwrap().is_some() {
                if stream.write_all(&reply).is_err() {
                    return;
                }
            }
            if n == 0 {
                return;
            }
        }
    })
}

/// Starts an origin that answers each request with the same value.
fn start_origin() -> SocketAddr {
    start_server(|mut stream| {
        let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
        while let Ok(n) = stream.read(&mut buffer) {
            bytes.extend(&buffer[..n]);
            let whole = bytes.ends_with(b"\r\n\r\n") || bytes.ends_with(b"\r\n\r\nv");
            let reply = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue";
            if n == 0 || whole && stream.write_all(reply).is_err() {
                return;
            }
            if whole {
                bytes.clear();
            }
        }
    })
}

fn config(caches: &[SocketAddr], origin: SocketAddr, discovery: SocketAddr) -> Config {
    let line = |(n, (endpoint, model)): (usize, (&SocketAddr, &str))| {
        format!(
            r#"{{"uid":"{model}-{n}","endpoint":"{endpoint}","az":"a","model":"{model}","pod_group":1,"state":"in_service","capacity_hint":1.0,"boot_ms":0}}"#
        )
    };
    let servers = caches.iter().map(|c| (c, "std")).chain([(&origin, "origin")]);
    let lines: Vec<String> = servers.enumerate().map(line).collect();
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"7","known":{{"rev":1,"all":true,"targets":[{}]}},"settings":{SETTINGS}}}"#,
        lines.join(",")
    );
    Config::parse(text.as_bytes(), |_| None).ok().unwrap()
}

/// Runs `test` against a proxy. The proxy runs on this thread, since failures are injected per thread.
fn with_proxy<F: Future<Output = ()>>(
    caches: &[SocketAddr],
    origin: SocketAddr,
    test: impl FnOnce(Rc<Runtime>, SocketAddr) -> F,
) {
    // Accepts the watch and sends nothing.
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let config = config(caches, origin, discovery.local_addr().unwrap());
    clear();
    let clients = hot_restart::bind(config.listen).unwrap();
    let address = clients.local_addr().unwrap().as_socket().unwrap();
    let executors = Executors::default();
    let sockets = Sockets { clients, operators: None };
    let runtime = Runtime::start(config, sockets, None, Fleet::default(), executors.clone());
    async_io::block_on(executors.clients.run(async {
        // Waits for the watch to connect, so that no injected failure hits it.
        unblock(move || discovery.accept().unwrap()).await;
        test(runtime, address).await;
    }));
    clear();
}

/// A connection to the proxy.
struct Client {
    stream: TcpStream,
    reader: Reader,
}

impl Client {
    fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        Client { stream, reader: Reader::default() }
    }

    fn send(&mut self, words: &[&str]) {
        let mut bytes = Vec::new();
        write_command(&mut bytes, &words.iter().map(|w| w.as_bytes()).collect::<Vec<_>>());
        self.stream.write_all(&bytes).unwrap();
    }

    fn next(&mut self) -> Option<Value> {
        let mut buffer = [0; 4096];
        loop {
            if let Some(value) = self.reader.next_value().unwrap() {
                return Some(value);
            }
            match self.stream.read(&mut buffer) {
                Ok(n) if n > 0 => self.reader.feed(&buffer[..n]),
                _ => return None,
            }
        }
    }
}

/// Sends a request on a new connection and returns the answer.
async fn send_request(address: SocketAddr, write: bool) -> Option<Value> {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let id = format!("id{}", NEXT.fetch_add(1, Ordering::Relaxed));
    unblock(move || {
        let mut client = Client::connect(address);
        match write {
            true => client.send(&["OBJ.SET", "key", &id, "c=close,d=600", "v"]),
            false => client.send(&["OBJ.GET", "key", &id, "c=read,d=2000"]),
        }
        client.next()
    })
    .await
}

fn served_value() -> Option<Value> {
    Some(Value::Bulk(Some(b"value".to_vec())))
}

fn is_rejected(answer: &Option<Value>) -> bool {
    matches!(answer, Some(Value::Error(line)) if line.starts_with(b"BUSY"))
}

/// Follows the value that is relayed to the only client as its first reply. Returns the most bytes of it that were relayed
/// between two turns of another task, once `done` is set.
async fn longest_step(runtime: Rc<Runtime>, done: Rc<Cell<bool>>) -> usize {
    let (mut relayed, mut longest) = (0, 0);
    while !done.get() {
        let connection = runtime.clients.borrow().keys().next().copied().unwrap_or_default();
        let prefix = runtime.relayed_prefix(ReplySlot { connection, sequence: 0 });
        let bytes = prefix.map_or(0, |prefix| prefix.bytes);
        longest = longest.max(bytes.saturating_sub(relayed));
        relayed = bytes;
        future::yield_now().await;
    }
    longest
}

impl Runtime {
    fn attempts_with(&self, outcome: AttemptOutcome) -> u64 {
        self.proxy.borrow().counters.attempts_ended(outcome)
    }

    /// Number of attempts that counted as connect failures of the server.
    fn connect_failures(&self) -> u64 {
        self.attempts_with(AttemptOutcome::ConnectRefused)
            + self.attempts_with(AttemptOutcome::ConnectTimedOut)
    }
}

/// Local errors, with the system call that returns them.
const LOCAL_ERRORS: [(SocketCall, Errno); 13] = [
    (SocketCall::Socket, Errno::MFILE),
    (SocketCall::Socket, Errno::NFILE),
    (SocketCall::Socket, Errno::NOBUFS),
    (SocketCall::Socket, Errno::NOMEM),
    (SocketCall::Socket, Errno::ACCESS),
    (SocketCall::Socket, Errno::AFNOSUPPORT),
    (SocketCall::Connect, Errno::NOBUFS),
    (SocketCall::Connect, Errno::NOMEM),
    (SocketCall::Connect, Errno::ADDRNOTAVAIL),
    (SocketCall::Connect, Errno::AGAIN),
    (SocketCall::Connect, Errno::ACCESS),
    (SocketCall::Connect, Errno::PERM),
    (SocketCall::Connect, Errno::INTR),
];
/// Network path errors.
const PATH_ERRORS: [(SocketCall, Errno); 4] = [
    (SocketCall::Connect, Errno::NETUNREACH),
    (SocketCall::Connect, Errno::HOSTUNREACH),
    (SocketCall::Connect, Errno::NETDOWN),
    (SocketCall::Connect, Errno::HOSTDOWN),
];

#[test]
fn short_local_or_path_errors_fail_no_request_and_count_against_no_server() {
    for (call, error) in LOCAL_ERRORS.into_iter().chain(PATH_ERRORS) {
        for write in [false, true] {
            with_proxy(&[start_cache()], start_origin(), |runtime, address| async move {
                fail(call, error, super::connection::MAX_CONNECT_RETRIES as usize);
                let answer = send_request(address, write).await;
                let context = format!("{call:?} {error:?}, write: {write}");
                assert_eq!((answer, left(call)), (served_value(), 0), "{context}");
                assert_eq!(
                    (runtime.connect_failures(), runtime.attempts_with(AttemptOutcome::NotSent)),
                    (0, 0),
                    "{context}"
                );
            });
        }
    }
}

#[test]
fn lasting_local_or_path_errors_reject_requests_and_count_against_no_server() {
    for (call, error) in
        LOCAL_ERRORS.into_iter().chain(PATH_ERRORS).filter(|(_, error)| *error != Errno::INTR)
    {
        with_proxy(&[start_cache()], start_origin(), |runtime, address| async move {
            let context = format!("{call:?} {error:?}");
            // Every connect fails.
            fail(call, error, 10_000);
            for n in 0..12 {
                let write = n % 2 == 1;
                let answer = send_request(address, write).await;
                assert!(is_rejected(&answer), "{context}: expected a rejection: {answer:?}");
            }
            assert_eq!(runtime.connect_failures(), 0, "{context}");
            assert!(runtime.attempts_with(AttemptOutcome::NotSent) >= 12, "{context}");
            clear();
            // The congestion windows are unchanged and no backend is ejected.
            for _ in 0..4 {
                assert_eq!(send_request(address, false).await, served_value(), "{context}");
                assert_eq!(send_request(address, true).await, served_value(), "{context}");
            }
        });
    }
}

#[test]
fn connect_errors_of_the_server_count_against_it() {
    for error in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::TIMEDOUT] {
        with_proxy(&[start_cache()], start_origin(), |runtime, address| async move {
            fail(SocketCall::Connect, error, 1);
            assert_eq!(
                send_request(address, false).await,
                served_value(),
                "{error:?}: expected a successful retry"
            );
            assert_eq!((runtime.connect_failures(), left(SocketCall::Connect)), (1, 0), "{error:?}");
            assert_eq!(
                runtime.attempts_with(AttemptOutcome::ConnectTimedOut),
                u64::from(error == Errno::TIMEDOUT)
            );
        });
    }
}

#[test]
fn accepting_continues_after_aborted_connections_and_short_shortages() {
    for (error, times) in [(Errno::CONNABORTED, 40), (Errno::PROTO, 40), (Errno::MFILE, 2), (Errno::NOMEM, 2)]
    {
        with_proxy(&[start_cache()], start_origin(), |runtime, address| async move {
            // The accept that is already waiting is not affected by the injected failure.
            assert_eq!(send_request(address, false).await, served_value());
            fail(SocketCall::Accept, error, times);
            let started_at = Instant::now();
            assert_eq!(send_request(address, false).await, served_value(), "{error:?}");
            assert!(
                started_at.elapsed() < Duration::from_millis(600),
                "{error:?}: {:?}",
                started_at.elapsed()
            );
            assert_eq!(runtime.proxy.borrow().counters.accept_errors, times as u64, "{error:?}");
        });
    }
}

#[test]
fn stop_accepting_serves_queued_connections_despite_accept_errors() {
    let errors = [Errno::INTR, Errno::CONNABORTED, Errno::PROTO, Errno::MFILE, Errno::NFILE, Errno::NOBUFS];
    for error in errors {
        with_proxy(&[start_cache()], start_origin(), |runtime, address| async move {
            assert_eq!(send_request(address, false).await, served_value());
            // The proxy runs on this thread, so all connections are still queued when the stop begins.
            let clients: Vec<Client> = (0..6)
                .map(|n| {
                    let mut client = Client::connect(address);
                    client.send(&["OBJ.GET", &format!("key{n}"), &format!("queued{n}"), "c=read,d=2000"]);
                    client
                })
                .collect();
            runtime.begin_stop();
            fail(SocketCall::Accept, error, 3);
            runtime.stop_accepting().await;
            let answers =
                unblock(move || clients.into_iter().map(|mut c| c.next()).collect::<Vec<_>>()).await;
            assert_eq!(answers, vec![served_value(); 6], "{error:?}");
            assert_eq!(left(SocketCall::Accept), 0, "{error:?}");
        });
    }
}

/// Guards against a value that comes and goes without a pause and keeps all other tasks waiting meanwhile.
#[test]
fn value_that_never_blocks_leaves_turns_to_other_tasks() {
    for commands in [1, 2] {
        with_proxy(&[start_large_cache()], start_origin(), |runtime, address| async move {
            let done = Rc::new(Cell::new(false));
            let step = runtime.executor.spawn(longest_step(Rc::clone(&runtime), Rc::clone(&done)));
            let received = unblock(move || {
                let (mut client, mut bytes) = (Client::connect(address), Vec::new());
                for n in 0..commands {
                    let id = format!("id{n}");
                    let words = ["OBJ.GET", "key", &id, "c=read,d=2000"].map(str::as_bytes);
                    write_command(&mut bytes, &words);
                }
                client.stream.write_all(&bytes).unwrap();
                let mut buffer = vec![0; LARGE_VALUE_BYTES];
                client.stream.read_exact(&mut buffer).map(|()| buffer.ends_with(b"vv"))
            })
            .await;
            done.set(true);
            assert!(received.unwrap(), "{commands} commands");
            assert_eq!(runtime.proxy.borrow().counters.values_held, commands - 1);
            let step = step.await;
            assert!((1..=MAX_BYTES_PER_TURN).contains(&step), "{commands} commands: {step} bytes");
        });
    }
}
