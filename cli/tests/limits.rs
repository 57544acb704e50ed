//! Each limit of a policy file over real sockets: it takes effect with the policy and not without it.

mod common;
use common::*;
use notchdoor_proxy::wire::resp::Value;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const READ_ROUTE: &str = "[[route]]\nname = 'r'\nclass = 'read'\n";

fn origin() -> FakeServer {
    FakeServer::origin(Box::new(|request| http_response("200 OK", &request[2])))
}

/// A backend that answers each command after this time.
fn slow_backend(wait: Duration) -> FakeServer {
    FakeServer::backend(Box::new(move |words| {
        std::thread::sleep(wait);
        hit_response(&words[2])
    }))
}

/// A backend that closes the connection on the first `n` commands and answers the rest.
fn disconnecting_backend(n: usize) -> FakeServer {
    let left = AtomicUsize::new(n);
    FakeServer::backend(Box::new(move |words| {
        let broken = left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |l| l.checked_sub(1)).is_ok();
        if broken {
            None
        } else {
            hit_response(&words[2])
        }
    }))
}

/// A proxy with one backend and an origin.
struct Setup {
    proxy: Proxy,
    backend: FakeServer,
    origin: FakeServer,
    _discovery: FakeDiscovery,
}

fn start(backend: FakeServer, policy: Option<&str>) -> Setup {
    let (discovery, origin) = (FakeDiscovery::start(), origin());
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::with_policy(&discovery, &list, 1024, policy);
    Setup { proxy, backend, origin, _discovery: discovery }
}

/// Reads a key on a new connection. Returns the response and the time that it took.
fn timed_read(setup: &Setup, id: &str, wait: u64) -> (Value, Duration) {
    let started = Instant::now();
    let answer = setup.proxy.client().get("k", id, wait);
    (answer, started.elapsed())
}

#[test]
fn attempt_timeout_applies_only_with_a_policy() {
    let policy = format!("{READ_ROUTE}attempt = '150ms'\nattempts = 2\n");
    let limited = start(slow_backend(TIMEOUT), Some(&policy));
    let (answer, took) = timed_read(&limited, "id1", 1_500);
    assert_eq!(answer, bulk("id1"), "not answered by the origin while the backend is silent");
    assert!(took < 1_200 * MS, "{took:?}");
    let (answer, took) = timed_read(&start(slow_backend(TIMEOUT), None), "id1", 1_500);
    assert!(answer != bulk("id1") && took > 1_400 * MS, "{answer:?} {took:?}");
}

#[test]
fn total_timeout_rejects_the_request() {
    let limited = start(slow_backend(TIMEOUT), Some(&format!("{READ_ROUTE}total = '300ms'\n")));
    let (answer, took) = timed_read(&limited, "id1", 1_500);
    assert!(is_busy(&answer) && (290 * MS..1_200 * MS).contains(&took), "{answer:?} {took:?}");
}

#[test]
fn retry_ban_retry_budget_and_attempt_limit_withhold_retries() {
    let none = "[budget.b]\nshare = 0.0\nfloor_per_s = 0.0\n[default]\nbudget = 'b'\n";
    for policy in [&format!("{READ_ROUTE}repeat = 'never'\n"), none] {
        let limited = start(disconnecting_backend(9), Some(policy));
        let (answer, _) = timed_read(&limited, "id1", 1_000);
        assert!(
            is_busy(&answer) && limited.backend.requests().len() == 1 && limited.origin.requests().is_empty(),
            "{policy}"
        );
    }
    // The last of the two attempts is reserved for a read from the origin.
    let limited = start(disconnecting_backend(9), Some(&format!("{READ_ROUTE}attempts = 2\n")));
    timed_read(&limited, "id1", 1_000);
    assert!(limited.backend.requests().len() + limited.origin.requests().len() <= 2);
    let unlimited = start(disconnecting_backend(1), None);
    assert_eq!(timed_read(&unlimited, "id1", 1_000).0, bulk("id1"));
    assert!(unlimited.backend.requests().len() + unlimited.origin.requests().len() > 1);
}

#[test]
fn backoff_delays_the_retry() {
    let policy = format!("{READ_ROUTE}backoff = {{ first = '300ms', jitter = 0.0 }}\n");
    let (answer, took) = timed_read(&start(disconnecting_backend(1), Some(&policy)), "id1", 1_500);
    assert!(answer == bulk("id1") && took >= 300 * MS, "{answer:?} {took:?}");
    let (answer, took) = timed_read(&start(disconnecting_backend(1), None), "id1", 1_500);
    assert!(answer == bulk("id1") && took < 300 * MS, "{answer:?} {took:?}");
}

#[test]
fn concurrency_limit_rejects_reads_and_keep_free_serves_unsafe_writes() {
    let second_answer = |setup: &Setup| {
        let (mut first, mut second) = (setup.proxy.client(), setup.proxy.client());
        first.send(&["OBJ.GET", "a", "id1", "c=read,t=acme,d=1900"]);
        // Wait until the first read has reached the backend before sending the second.
        let deadline = Instant::now() + TIMEOUT;
        while setup.backend.requests().is_empty() {
            assert!(Instant::now() < deadline);
            std::thread::sleep(MS);
        }
        let answer = second.get("b", "id2", 1_900);
        let write = second.request(&["OBJ.SET", "c", "id3", "c=close,t=acme,d=600", "x"]);
        assert_eq!((first.next(), write), (Some(bulk("id1")), bulk("id3")));
        answer
    };
    let fixed = format!("{READ_ROUTE}concurrency = 1\nretry_after = '70ms'\n");
    let shed = format!("room = 2\n{READ_ROUTE}keep_free = 0.5\nretry_after = '70ms'\n");
    for policy in [fixed, shed] {
        let answer = second_answer(&start(slow_backend(400 * MS), Some(&policy)));
        assert_eq!(answer, Value::Error(b"BUSY 70".to_vec()), "{policy}");
    }
    assert_eq!(second_answer(&start(slow_backend(400 * MS), None)), bulk("id2"));
}

#[test]
fn circuit_breaker_stops_attempts_at_a_failing_backend() {
    let failing = || FakeServer::backend(Box::new(|_| Some(b"-ERR failed\r\n".to_vec())));
    let policy =
        format!("{READ_ROUTE}breaker = {{ failures = 1.0, window = '60s', least = 3, open = '60s' }}\n");
    let attempts = |setup: &Setup| {
        (0..10).for_each(|n| drop(timed_read(setup, &format!("id{n}"), 900)));
        setup.backend.requests().len()
    };
    assert_eq!(attempts(&start(failing(), Some(&policy))), 3);
    assert!(attempts(&start(failing(), None)) >= 10);
}

#[test]
fn hedged_requests_are_sent_only_if_the_policy_allows_them() {
    // The first backend to receive the key answers after a second, the other one immediately.
    let hedge = |policy: &str| {
        let received = Arc::new(AtomicUsize::new(0));
        let backend = || {
            let received = Arc::clone(&received);
            FakeServer::backend(Box::new(move |words| {
                if words[1] == "slow" && received.fetch_add(1, Ordering::SeqCst) == 0 {
                    std::thread::sleep(1_000 * MS);
                }
                hit_response(&words[2])
            }))
        };
        let (discovery, a, b, origin) = (FakeDiscovery::start(), backend(), backend(), origin());
        let list = [
            endpoint_entry("wa", &a, "in_service", 0),
            endpoint_entry("wb", &b, "in_service", 0),
            endpoint_entry("o", &origin, "in_service", 0),
        ];
        let proxy = Proxy::with_policy(&discovery, &list, 1024, Some(policy));
        let mut client = proxy.client();
        for n in 0..80 {
            let id = format!("id{n}");
            assert_eq!(client.get(&format!("k{n}"), &id, 1_900), bulk(&id));
        }
        let started = Instant::now();
        assert_eq!(client.get("slow", "last", 1_900), bulk("last"));
        (received.load(Ordering::SeqCst), started.elapsed())
    };
    let (received, took) = hedge(&format!("{READ_ROUTE}copies = {{ after = 0.5, share = 0.5 }}\n"));
    assert!(received == 2 && took < 900 * MS, "{received} {took:?}");
    let (received, took) = hedge(&format!("{READ_ROUTE}copies = 'never'\n"));
    assert!(received == 1 && took >= 1_000 * MS, "{received} {took:?}");
}

#[test]
fn sighup_reloads_the_policy_and_keeps_the_old_one_if_invalid() {
    let limited = start(disconnecting_backend(0), Some(&format!("{READ_ROUTE}concurrency = 5\n")));
    limited.proxy.wait_for_log("policy: 2 routes, 0 budgets");
    limited.proxy.reload_policy(&format!("{READ_ROUTE}concurrency = 0\nattempts = 9\n"));
    limited.proxy.wait_for_log("configuration rejected, keeping the current one");
    limited.proxy.wait_for_log(".toml:4:15: route.r.concurrency: 0 is out of range; 1 to 100000 is allowed");
    limited.proxy.wait_for_log(".toml:5:12: route.r.attempts: 9 is out of range; 1 to 3 is allowed");
    assert_eq!(timed_read(&limited, "id1", 1_000).0, bulk("id1"));
    // New requests use the new policy immediately.
    limited.proxy.reload_policy(&format!("room = 1\n{READ_ROUTE}keep_free = 0.9\nretry_after = '30ms'\n"));
    limited.proxy.wait_for_log("policy: reloaded, 2 routes");
    assert_eq!(timed_read(&limited, "id2", 1_000).0, Value::Error(b"BUSY 30".to_vec()));
}

#[test]
fn check_policy_reports_every_error_and_explains_a_valid_file() {
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
    for expected in [
        "bad.toml:2:12: default.attempts: 9 is out of range",
        "bad.toml:6:10: route.c.copies: hedged requests are not allowed for class 'close'",
        "6 | copies = { after",
    ] {
        assert!(text.contains(expected), "{expected}: {text}");
    }
    let (code, text) =
        run(&["check", "policy", &good, "--settings", &settings, "--explain", "class=close,d=300ms"]);
    assert_eq!(code, Some(0), "{text}");
    for expected in [
        "OK: 2 routes",
        "selected route 'c'",
        "attempt 1, times out at 200ms",
        "no retry: the previous attempt may have run",
        "300ms  final answer",
    ] {
        assert!(text.contains(expected), "{expected}: {text}");
    }
    let (code, text) = run(&["check", "policy", &good, "--settings", &settings, "--explain", "class=clos"]);
    assert!(code == Some(2) && text.contains("unknown class 'clos'; available: read, fix, close"), "{text}");
    let (code, text) = run(&["lab", "run", "calm", "--policies", "limited"]);
    assert!(code == Some(2) && text.contains("use --policy FILE"), "{text}");
    std::fs::remove_dir_all(folder).unwrap();
}
