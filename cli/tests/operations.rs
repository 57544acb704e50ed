//! Day-to-day operation with real sockets and processes: operators' calls, workers out by hand, upgrades.

mod common;
use common::*;
use notchdoor_proxy::wire::resp::Value;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn echo() -> Peer {
    Peer::worker(Box::new(|words| value(&words[2])))
}

fn origin() -> Peer {
    Peer::origin(Box::new(|request| http("200 OK", &request[2])))
}

fn status(proxy: &Proxy, method: &str, path: &str, body: &str) -> Option<u16> {
    proxy.call(method, path, body).map(|(status, _)| status)
}

fn out(proxy: &Proxy, worker: &str) -> Option<u16> {
    status(proxy, "POST", "/_cache-nodes/detach", worker)
}

fn back(proxy: &Proxy, worker: &str) -> Option<u16> {
    status(proxy, "POST", "/_cache-nodes/attach", worker)
}

/// Reads of so many different keys, one after the other; each is answered with its own id.
fn reads(client: &mut Client, name: &str, n: usize) {
    for i in 0..n {
        let id = format!("{name}{i}");
        assert_eq!(client.get(&format!("key{i}"), &id, 2000), bulk(&id));
    }
}

#[test]
fn calls_and_figures() {
    let (registry, worker, origin) = (Registry::start(), echo(), origin());
    let proxy =
        Proxy::start(&registry, &[line("w", &worker, "in_service", 0), line("o", &origin, "in_service", 0)]);
    assert_eq!(status(&proxy, "GET", "/_ready", ""), Some(200));
    for (method, path, body, told) in [
        ("GET", "/_nothing", "", 404),
        ("POST", "/_vars", "", 405),
        ("POST", "/_cache-nodes/detach", "", 400),
        ("POST", "/_cache-nodes/detach", "nobody", 404),
        ("POST", "/_cache-nodes/attach", "nobody", 404),
        ("POST", "/_cache-nodes/detach", "o", 404),
    ] {
        assert_eq!(status(&proxy, method, path, body), Some(told), "{method} {path} {body}");
    }
    let mut client = proxy.client();
    reads(&mut client, "a", 5);
    assert_eq!(client.ask(&["OBJ.SET", "k", "w1", "c=close,t=acme,d=600", "text"]), bulk("w1"));
    // Not taken, and so in no figure.
    assert!(matches!(client.ask(&["OBJ.GET", "k", "w2", "c=none,t=acme,d=600"]), Value::Error(_)));
    let expected = r#"{"served":{"close":1,"fix":0,"read":5},"refused":{"close":0,"fix":0,"read":0},
        "failed":{"close":0,"fix":0,"read":0},"attempts":6,"in_flight":0,"cache_nodes_known":1,"cache_nodes_excluded":0}"#;
    assert_eq!(proxy.vars(), serde_json::from_str::<serde_json::Value>(expected).unwrap());
}

#[test]
fn operators_are_answered_under_load_and_beside_idle_callers() {
    let (registry, worker, origin) = (Registry::start(), echo(), origin());
    let list = [line("w", &worker, "in_service", 0), line("o", &origin, "in_service", 0)];
    // Few descriptors: the clients below want more of them than there are.
    let proxy = Proxy::with_sockets(&registry, &list, 96);
    let idle: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(proxy.admin).unwrap()).collect();
    let half: Vec<TcpStream> = (0..10)
        .map(|_| {
            let mut stream = TcpStream::connect(proxy.admin).unwrap();
            stream.write_all(b"GET /_ready HT").unwrap();
            stream
        })
        .collect();
    let over = AtomicBool::new(false);
    let slowest = std::thread::scope(|scope| {
        for n in 0..60 {
            let (over, proxy) = (&over, &proxy);
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    if let Ok(stream) = TcpStream::connect(proxy.listen) {
                        let mut client = Client::new(stream);
                        client.send(&["OBJ.GET", "k", &format!("id{n}"), "c=read,t=acme,d=500"]);
                        let _ = client.next();
                    }
                }
            });
        }
        let slowest = (0..20).map(|_| {
            let begun = Instant::now();
            let told = status(&proxy, "GET", "/_vars", "");
            (begun.elapsed(), told)
        });
        let slowest: Vec<_> = slowest.collect();
        over.store(true, Ordering::Relaxed);
        slowest
    });
    for (took, told) in slowest {
        assert!(told == Some(200) && took < Duration::from_secs(1), "{told:?} after {took:?}");
    }
    // Those that say nothing are sent away: at the latest when their time is over.
    let begun = Instant::now();
    for mut stream in idle.into_iter().chain(half) {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        assert!(!matches!(stream.read(&mut [0]), Ok(1..)));
    }
    assert!(begun.elapsed() < Duration::from_secs(5));
}

#[test]
fn a_worker_out_by_hand_gets_nothing_whatever_the_registry_says_and_comes_back_as_cold() {
    let (registry, a, b, origin) = (Registry::start(), echo(), echo(), origin());
    let list =
        [line("a", &a, "in_service", 0), line("b", &b, "in_service", 0), line("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&registry, &list);
    let mut client = proxy.client();
    reads(&mut client, "x", 16);
    assert!(!a.seen().is_empty() && !b.seen().is_empty(), "both take part");
    assert_eq!((out(&proxy, " a\r\n"), out(&proxy, "a")), (Some(200), Some(200)));
    let before = a.seen().len();
    registry.watches.recv_timeout(PATIENCE).unwrap();
    // Gone, there again, at another start: out all the same.
    for (rev, line) in [
        (42, line("a", &a, "terminated", 0)),
        (43, line("a", &a, "in_service", 0)),
        (44, line("a", &a, "in_service", unix_ms())),
    ] {
        registry.say(rev, &[line]);
        proxy.logged(&format!("version {rev}"));
        reads(&mut client, &format!("r{rev}"), 16);
    }
    assert_eq!(a.seen().len(), before);
    let vars = proxy.vars();
    assert_eq!((&vars["cache_nodes_known"], &vars["cache_nodes_excluded"]), (&2.into(), &1.into()));
    // Once back for twice out. It counts as cold: taken for warm it would get about half.
    assert_eq!((back(&proxy, "a"), back(&proxy, "a")), (Some(200), Some(200)));
    assert_eq!(proxy.vars()["cache_nodes_excluded"], 0);
    reads(&mut client, "y", 40);
    assert!(a.seen().len() - before <= 8, "{}", a.seen().len() - before);
    let until = Instant::now() + Duration::from_secs(5);
    while a.seen().len() == before {
        assert!(Instant::now() < until, "unused for 5 s");
        reads(&mut client, &format!("z{:?}", until - Instant::now()), 16);
    }
    // All of them out: requests are answered at once, by the origin or with a refusal.
    assert_eq!((out(&proxy, "a"), out(&proxy, "b")), (Some(200), Some(200)));
    let begun = Instant::now();
    let answer = client.get("k", "last", 2000);
    assert!(answer == bulk("last") || busy(&answer), "{answer:?}");
    assert!(begun.elapsed() < Duration::from_secs(1));
}

#[test]
fn what_is_out_stays_out_over_an_upgrade_under_load_and_no_request_is_lost() {
    let (registry, a, b, c, origin) = (Registry::start(), echo(), echo(), echo(), origin());
    let worker = |uid: &str, peer: &Peer| line(uid, peer, "in_service", 0);
    let list = [worker("a", &a), worker("b", &b), worker("c", &c), worker("o", &origin)];
    let old = Proxy::start(&registry, &list);
    assert_eq!(out(&old, "a"), Some(200));
    let before = a.seen().len();
    let (over, turned, listen) = (AtomicBool::new(false), AtomicUsize::new(0), old.listen);
    let answered = Arc::new(AtomicUsize::new(0));
    let (mut current, mut sent_to_c) = (old, None);
    std::thread::scope(|scope| {
        for c in 0..8 {
            let (over, turned, answered) = (&over, &turned, Arc::clone(&answered));
            scope.spawn(move || {
                let connect = || Client::new(TcpStream::connect(listen).expect("somebody listens"));
                let mut client = connect();
                for n in 0.. {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("c{c}n{n}");
                    // One that was closed between two requests is not used, as with any client that keeps some.
                    if client.closed() {
                        client = connect();
                    }
                    client.send(&["OBJ.GET", &format!("key{n}"), &id, "c=read,t=acme,d=2000"]);
                    match client.next() {
                        Some(answer) => assert!(answer == bulk(&id) || busy(&answer), "{answer:?}"),
                        // A close that crosses a request: it is sent once more on a new connection.
                        None => {
                            turned.fetch_add(1, Ordering::Relaxed);
                            client = connect();
                            let answer = client.get(&format!("key{n}"), &id, 2000);
                            assert!(answer == bulk(&id) || busy(&answer), "{answer:?}");
                        }
                    }
                    answered.fetch_add(1, Ordering::Relaxed);
                    std::thread::sleep(Duration::from_millis(3));
                }
            });
        }
        // Twice: the second right after the first.
        for _ in 0..2 {
            let next = current.beside(&registry);
            // Either process may be asked, and both heed it before the yes.
            assert_eq!(out(&next, "c"), Some(200));
            std::thread::sleep(Duration::from_millis(100));
            sent_to_c.get_or_insert_with(|| c.seen().len());
            current.signal("TERM");
            let leaver = std::mem::replace(&mut current, next);
            let (good, log) = leaver.wait();
            assert!(good && log.contains("stopped with every request answered"), "{log}");
        }
        std::thread::sleep(Duration::from_millis(100));
        over.store(true, Ordering::Relaxed);
    });
    assert!(answered.load(Ordering::Relaxed) > 200);
    assert!(turned.load(Ordering::Relaxed) <= 4, "{} turned back", turned.load(Ordering::Relaxed));
    assert_eq!((a.seen().len(), Some(c.seen().len())), (before, sent_to_c));
    let still = a.seen().len();
    reads(&mut current.client(), "end", 16);
    assert_eq!(a.seen().len(), still);
    assert_eq!(current.vars()["cache_nodes_excluded"], 2);
}

#[test]
fn an_old_process_that_is_killed_leaves_everything_to_the_new_one() {
    let (registry, a, b, origin) = (Registry::start(), echo(), echo(), origin());
    let list =
        [line("a", &a, "in_service", 0), line("b", &b, "in_service", 0), line("o", &origin, "in_service", 0)];
    let mut old = Proxy::start(&registry, &list);
    let new = old.beside(&registry);
    assert_eq!(out(&old, "b"), Some(200));
    old.child.kill().unwrap();
    old.child.wait().unwrap();
    new.logged("1 processes, was 2");
    reads(&mut new.client(), "x", 16);
    assert!(b.seen().is_empty());
    // A new process that dies before its yes leaves the old one as it was.
    let mut third = new.beside(&registry);
    third.child.kill().unwrap();
    third.child.wait().unwrap();
    reads(&mut new.client(), "y", 16);
    assert!(b.seen().is_empty());
    assert_eq!(back(&new, "b"), Some(200));
}

#[test]
fn a_change_that_cannot_be_kept_gets_a_no() {
    let (registry, a, origin) = (Registry::start(), echo(), origin());
    let list = [line("a", &a, "in_service", 0), line("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&registry, &list);
    // A folder stands where the new state would be written.
    let state = std::fs::read_dir(&proxy.folder.0).unwrap().flatten().map(|f| f.path());
    let slot = state.into_iter().find(|p| p.extension().is_some_and(|e| e == "slot")).unwrap();
    let new = slot.with_extension("").with_extension("new");
    std::fs::create_dir(&new).unwrap();
    assert_eq!(out(&proxy, "a"), Some(500));
    assert_eq!(proxy.vars()["cache_nodes_excluded"], 0);
    reads(&mut proxy.client(), "x", 4);
    std::fs::remove_dir(&new).unwrap();
    assert_eq!(out(&proxy, "a"), Some(200));
    let told = proxy.told();
    assert!(told.contains("cannot save the drain state"), "{told}");
}

#[test]
fn a_process_that_is_leaving_says_no_and_still_answers_operators() {
    let slow = Peer::worker(Box::new(|words| {
        std::thread::sleep(Duration::from_millis(1200));
        value(&words[2])
    }));
    let (registry, origin) = (Registry::start(), origin());
    let proxy =
        Proxy::start(&registry, &[line("w", &slow, "in_service", 0), line("o", &origin, "in_service", 0)]);
    let mut held = proxy.client();
    held.send(&["OBJ.GET", "k", "id", "c=read,t=acme,d=2000"]);
    let until = Instant::now() + PATIENCE;
    while proxy.vars()["in_flight"] != 1 {
        assert!(Instant::now() < until, "never taken");
    }
    assert_eq!(status(&proxy, "GET", "/_ready", ""), Some(200));
    proxy.signal("TERM");
    proxy.logged("stopping on Term");
    assert_eq!(status(&proxy, "GET", "/_ready", ""), Some(503));
    assert_eq!((&proxy.vars()["in_flight"], out(&proxy, "w")), (&1.into(), Some(200)));
    // Out by hand, but already at work: what it has may finish.
    assert_eq!(held.next(), Some(bulk("id")));
    assert!(proxy.wait().0);
}

#[test]
fn a_full_disk_fails_a_change_and_nothing_else_and_what_was_acknowledged_outlives_a_kill() {
    let (registry, a, b, origin) = (Registry::start(), echo(), echo(), origin());
    let list =
        [line("a", &a, "in_service", 0), line("b", &b, "in_service", 0), line("o", &origin, "in_service", 0)];
    let proxy = Proxy::with_files(&registry, &list, (1024, 192), &[(MAY_FILL, "")]);
    let fill = |limit: &str| {
        let pid = proxy.child.id().to_string();
        let set = Command::new("prlimit").args(["--pid", &pid, &format!("--fsize={limit}")]).status();
        assert!(set.unwrap().success());
    };
    assert_eq!(out(&proxy, "a"), Some(200));
    fill("0:unlimited");
    assert_eq!((out(&proxy, "b"), back(&proxy, "a")), (Some(500), Some(500)));
    assert_eq!(proxy.vars()["cache_nodes_excluded"], 1, "what was said to fail is heeded");
    reads(&mut proxy.client(), "full", 16);
    assert!(a.seen().is_empty() && !b.seen().is_empty(), "one is out and the other is not");
    fill("unlimited:unlimited");
    assert_eq!(out(&proxy, "b"), Some(200));
    let folder = Arc::clone(&proxy.folder);
    // Killed: nothing is tidied up.
    drop(proxy);
    let next = Proxy::again(&registry, folder);
    assert_eq!(next.vars()["cache_nodes_excluded"], 2);
}
