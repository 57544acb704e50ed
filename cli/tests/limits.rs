//! Limits on sockets, one by one: each is seen to act with its file, and not to without.

mod common;
use common::*;
use notchdoor_proxy::wire::resp::Value;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const READS: &str = "[[route]]\nname = 'r'\nclass = 'read'\n";

fn origin() -> Peer {
    Peer::origin(Box::new(|request| http("200 OK", &request[2])))
}

/// A worker that says nothing to a read for so long, and then answers it.
fn slow(wait: Duration) -> Peer {
    Peer::worker(Box::new(move |words| {
        std::thread::sleep(wait);
        value(&words[2])
    }))
}

/// A worker that breaks the connection `n` times, and then answers.
fn breaks(n: usize) -> Peer {
    let left = AtomicUsize::new(n);
    Peer::worker(Box::new(move |words| {
        let broken = left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |l| l.checked_sub(1)).is_ok();
        if broken {
            None
        } else {
            value(&words[2])
        }
    }))
}

/// A proxy, its worker and the origin.
struct Set {
    proxy: Proxy,
    worker: Peer,
    origin: Peer,
    _registry: Registry,
}

fn set(worker: Peer, policy: Option<&str>) -> Set {
    let (registry, origin) = (Registry::start(), origin());
    let list = [line("w", &worker, "in_service", 0), line("o", &origin, "in_service", 0)];
    let proxy = Proxy::with(&registry, &list, 1024, policy);
    Set { proxy, worker, origin, _registry: registry }
}

/// What a read of one client gets, and after how long.
fn read(set: &Set, id: &str, wait: u64) -> (Value, Duration) {
    let begun = Instant::now();
    let answer = set.proxy.client().get("k", id, wait);
    (answer, begun.elapsed())
}

#[test]
fn an_attempt_is_given_up_after_its_time() {
    let policy = format!("{READS}attempt = '150ms'\nattempts = 2\n");
    let with = set(slow(PATIENCE), Some(&policy));
    let (answer, took) = read(&with, "id1", 1_500);
    assert_eq!(answer, bulk("id1"), "from the origin, as the worker is silent");
    assert!(took < 1_200 * MS, "{took:?}");
    let (answer, took) = read(&set(slow(PATIENCE), None), "id1", 1_500);
    assert!(answer != bulk("id1") && took > 1_400 * MS, "{answer:?} {took:?}");
}

#[test]
fn the_whole_is_over_in_its_time() {
    let with = set(slow(PATIENCE), Some(&format!("{READS}total = '300ms'\n")));
    let (answer, took) = read(&with, "id1", 1_500);
    assert!(busy(&answer) && (290 * MS..1_200 * MS).contains(&took), "{answer:?} {took:?}");
}

#[test]
fn attempts_budgets_and_what_is_never_repeated_withhold_repeats() {
    let none = "[budget.b]\nshare = 0.0\nfloor_per_s = 0.0\n[default]\nbudget = 'b'\n";
    for policy in [&format!("{READS}repeat = 'never'\n"), none] {
        let with = set(breaks(9), Some(policy));
        let (answer, _) = read(&with, "id1", 1_000);
        assert!(busy(&answer) && with.worker.seen().len() == 1 && with.origin.seen().is_empty(), "{policy}");
    }
    // Two attempts, of which the module keeps the last for a fetch.
    let two = set(breaks(9), Some(&format!("{READS}attempts = 2\n")));
    read(&two, "id1", 1_000);
    assert!(two.worker.seen().len() + two.origin.seen().len() <= 2);
    let without = set(breaks(1), None);
    assert_eq!(read(&without, "id1", 1_000).0, bulk("id1"));
    assert!(without.worker.seen().len() + without.origin.seen().len() > 1);
}

#[test]
fn a_repeat_waits() {
    let policy = format!("{READS}backoff = {{ first = '300ms', jitter = 0.0 }}\n");
    let (answer, took) = read(&set(breaks(1), Some(&policy)), "id1", 1_500);
    assert!(answer == bulk("id1") && took >= 300 * MS, "{answer:?} {took:?}");
    let (answer, took) = read(&set(breaks(1), None), "id1", 1_500);
    assert!(answer == bulk("id1") && took < 300 * MS, "{answer:?} {took:?}");
}

#[test]
fn only_so_many_are_in_flight_and_sign_offs_keep_their_room() {
    let two = |set: &Set| {
        let (mut first, mut second) = (set.proxy.client(), set.proxy.client());
        first.send(&["OBJ.GET", "a", "id1", "c=read,t=acme,d=1900"]);
        // The first has reached the worker before the second is sent.
        let until = Instant::now() + PATIENCE;
        while set.worker.seen().is_empty() {
            assert!(Instant::now() < until);
            std::thread::sleep(MS);
        }
        let answer = second.get("b", "id2", 1_900);
        let sign_off = second.ask(&["OBJ.SET", "c", "id3", "c=close,t=acme,d=600", "x"]);
        assert_eq!((first.next(), sign_off), (Some(bulk("id1")), bulk("id3")));
        answer
    };
    let fixed = format!("{READS}concurrency = 1\nretry_after = '70ms'\n");
    let shed = format!("room = 2\n{READS}keep_free = 0.5\nretry_after = '70ms'\n");
    for policy in [fixed, shed] {
        let answer = two(&set(slow(400 * MS), Some(&policy)));
        assert_eq!(answer, Value::Error(b"BUSY 70".to_vec()), "{policy}");
    }
    assert_eq!(two(&set(slow(400 * MS), None)), bulk("id2"));
}

#[test]
fn a_breaker_leaves_a_failing_worker_alone() {
    let failing = || Peer::worker(Box::new(|_| Some(b"-ERR failed\r\n".to_vec())));
    let policy = format!("{READS}breaker = {{ failures = 1.0, window = '60s', least = 3, open = '60s' }}\n");
    let asked = |set: &Set| {
        (0..10).for_each(|n| drop(read(set, &format!("id{n}"), 900)));
        set.worker.seen().len()
    };
    assert_eq!(asked(&set(failing(), Some(&policy))), 3);
    assert!(asked(&set(failing(), None)) >= 10);
}

#[test]
fn second_copies_are_sent_or_not_as_the_file_says() {
    // Whichever worker is asked for the key first takes a second over it; the other one answers at once.
    let copies = |policy: &str| {
        let asked = Arc::new(AtomicUsize::new(0));
        let worker = || {
            let asked = Arc::clone(&asked);
            Peer::worker(Box::new(move |words| {
                if words[1] == "slow" && asked.fetch_add(1, Ordering::SeqCst) == 0 {
                    std::thread::sleep(1_000 * MS);
                }
                value(&words[2])
            }))
        };
        let (registry, a, b, origin) = (Registry::start(), worker(), worker(), origin());
        let list = [
            line("wa", &a, "in_service", 0),
            line("wb", &b, "in_service", 0),
            line("o", &origin, "in_service", 0),
        ];
        let proxy = Proxy::with(&registry, &list, 1024, Some(policy));
        let mut client = proxy.client();
        for n in 0..80 {
            let id = format!("id{n}");
            assert_eq!(client.get(&format!("k{n}"), &id, 1_900), bulk(&id));
        }
        let begun = Instant::now();
        assert_eq!(client.get("slow", "last", 1_900), bulk("last"));
        (asked.load(Ordering::SeqCst), begun.elapsed())
    };
    let (asked, took) = copies(&format!("{READS}copies = {{ after = 0.5, share = 0.5 }}\n"));
    assert!(asked == 2 && took < 900 * MS, "{asked} {took:?}");
    let (asked, took) = copies(&format!("{READS}copies = 'never'\n"));
    assert!(asked == 1 && took >= 1_000 * MS, "{asked} {took:?}");
}

#[test]
fn a_file_is_read_again_on_sighup_and_a_bad_one_changes_nothing() {
    let with = set(breaks(0), Some(&format!("{READS}concurrency = 5\n")));
    with.proxy.logged("policy: 2 routes, 0 budgets");
    with.proxy.reload_policy(&format!("{READS}concurrency = 0\nattempts = 9\n"));
    with.proxy.logged("configuration not taken, the old one stays");
    with.proxy.logged(".toml:4:15: route.r.concurrency: 0 is out of range; 1 to 100000 is allowed");
    with.proxy.logged(".toml:5:12: route.r.attempts: 9 is out of range; 1 to 3 is allowed");
    assert_eq!(read(&with, "id1", 1_000).0, bulk("id1"));
    // `total` over at once: a new request goes by the new file.
    with.proxy.reload_policy(&format!("room = 1\n{READS}keep_free = 0.9\nretry_after = '30ms'\n"));
    with.proxy.logged("policy: read again, 2 routes");
    assert_eq!(read(&with, "id2", 1_000).0, Value::Error(b"BUSY 30".to_vec()));
}

#[test]
fn a_bad_file_is_told_whole_and_nothing_starts() {
    let folder = std::env::temp_dir().join(format!("notchdoor-limits-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let bad = file("bad.toml", "[default]\nattempts = 9\n[[route]]\nname = 'c'\nclass = 'close'\ncopies = { after = 0.9, share = 0.1 }\n");
    let good = file("good.toml", "[[route]]\nname = 'c'\nclass = 'close'\nattempt = '200ms'\nattempts = 2\n");
    let settings = file("settings.json", settings());
    let run = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_notchdoor")).args(args).output().unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&text).into_owned())
    };
    let (code, text) = run(&["check", "policy", &bad, "--settings", &settings]);
    assert_eq!(code, Some(2));
    for told in [
        "bad.toml:2:12: default.attempts: 9 is out of range",
        "bad.toml:6:10: route.c.copies: hedged requests are not allowed for class 'close'",
        "6 | copies = { after",
    ] {
        assert!(text.contains(told), "{told}: {text}");
    }
    let (code, text) =
        run(&["check", "policy", &good, "--settings", &settings, "--explain", "class=close,d=300ms"]);
    assert_eq!(code, Some(0), "{text}");
    for told in [
        "OK: 2 routes",
        "selected route 'c'",
        "attempt 1, times out at 200ms",
        "no retry: the previous attempt may have run",
        "300ms  final answer",
    ] {
        assert!(text.contains(told), "{told}: {text}");
    }
    let (code, text) = run(&["check", "policy", &good, "--settings", &settings, "--explain", "class=clos"]);
    assert!(code == Some(2) && text.contains("unknown class 'clos'; available: read, fix, close"), "{text}");
    let (code, text) = run(&["lab", "run", "calm", "--policies", "limited"]);
    assert!(code == Some(2) && text.contains("use --policy FILE"), "{text}");
    std::fs::remove_dir_all(folder).unwrap();
}
