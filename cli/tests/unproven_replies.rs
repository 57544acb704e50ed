//! Surplus replies behind a fault proxy, at caches and the origin: nothing is concluded for a request, neither a value nor
//! that it never ran, from bytes that were made for another one. The order is forced, so no time is part of a test.

mod common;

use common::fault_proxy::{copy_of_replies_with, nothing, Carried, FaultProxy, Insertion};
use common::recording_servers::{cache_reply, start_cache, start_origin, wrong_answer, Kind, Runs};
use common::*;
use notchdoor_proxy::wire::resp::Value;
use notchdoor_testbed::wire::frames::Protocol;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Two caches and an origin, each behind a fault proxy, with a proxy in front of them.
struct Fleet {
    proxy: Proxy,
    runs: Runs,
    caches: Vec<FakeServer>,
    origin: FakeServer,
    fault_proxies: Vec<FaultProxy>,
    _discovery: FakeDiscovery,
}

impl Fleet {
    fn start(at_caches: &Insertion, at_origin: &Insertion) -> Fleet {
        Fleet::with_settings((at_caches, at_origin), settings(), &["w0", "w1", "o"])
    }

    /// A fleet whose caches fetch what they lack and forward writes; the origin is not listed.
    fn with_caches_alone(at_caches: &Insertion) -> Fleet {
        let text =
            settings().replace(r#""mode":"aside","originKind":2"#, r#""mode":"through","originKind":-1"#);
        Fleet::with_settings((at_caches, &nothing()), &text, &["w0", "w1"])
    }

    /// A fleet of two caches and an origin that lists these of them.
    fn with_settings(
        (at_caches, at_origin): (&Insertion, &Insertion),
        settings: &str,
        listed: &[&str],
    ) -> Fleet {
        let runs = Runs::default();
        let (caches, origin) = (vec![start_cache(&runs), start_cache(&runs)], start_origin(&runs));
        let mut fault_proxies: Vec<FaultProxy> =
            caches.iter().map(|cache| FaultProxy::start(cache.endpoint, Protocol::Resp, at_caches)).collect();
        fault_proxies.push(FaultProxy::start(origin.endpoint, Protocol::Http, at_origin));
        let entry = |(uid, at): (&&str, &FaultProxy)| endpoint_entry_at(uid, at.endpoint, "in_service", 0);
        let list: Vec<String> = listed.iter().zip(&fault_proxies).map(entry).collect();
        let discovery = FakeDiscovery::start();
        let proxy = Proxy::with_files(&discovery, &list, (1024, 192), &[("settings.json", settings)]);
        Fleet { proxy, runs, caches, origin, fault_proxies, _discovery: discovery }
    }

    /// How often each request ran, once every command that was sent has been handled.
    fn runs(&self) -> HashMap<String, usize> {
        self.fault_proxies.iter().for_each(|proxy| proxy.in_progress.wait_until_idle());
        self.runs.lock().unwrap().clone()
    }
}

/// One request of a test.
#[derive(Clone, Copy, Debug)]
struct Ask {
    write: bool,
    class: &'static str,
    kind: Kind,
}

const fn read(class: &'static str, kind: Kind) -> Ask {
    Ask { write: false, class, kind }
}

const fn write(class: &'static str, kind: Kind) -> Ask {
    Ask { write: true, class, kind }
}

impl Ask {
    fn at_most_once(&self) -> bool {
        self.class == "close"
    }

    /// Sends the request on a connection of its own and returns its answer.
    fn send(&self, proxy: &Proxy, id: &str) -> Value {
        let key = format!("{}{id}", self.kind.prefix());
        let info = format!("c={},t=acme,d={}", self.class, if self.at_most_once() { 600 } else { 2000 });
        match self.write {
            true => proxy.client().request(&["OBJ.SET", &key, id, &info, "v"]),
            false => proxy.client().request(&["OBJ.GET", &key, id, &info]),
        }
    }
}

/// Sends the requests `rounds` times, one after another, and checks each answer against what ran. Returns how many were
/// served.
fn check(fleet: &Fleet, context: &str, asks: &[Ask], rounds: usize) -> usize {
    let mut answers = Vec::new();
    for round in 0..rounds {
        for (n, ask) in asks.iter().enumerate() {
            let id = format!("{round:03}{n}");
            let answer = ask.send(&fleet.proxy, &id);
            answers.push((ask, id, answer));
        }
    }
    let runs = fleet.runs();
    let runs_of = |id: &str| runs.get(id).copied().unwrap_or(0);
    let violations: Vec<String> = answers
        .iter()
        .filter_map(|(ask, id, answer)| {
            let wrong = wrong_answer(id, ask.kind, ask.at_most_once(), answer, runs_of(id))?;
            Some(format!("{ask:?} {id}: {wrong}"))
        })
        .collect();
    let some = violations.get(..4).unwrap_or(&violations);
    assert!(violations.is_empty(), "{context}: {} of {} wrong: {some:#?}", violations.len(), answers.len());
    answers.iter().filter(|(_, _, answer)| matches!(answer, Value::Bulk(_))).count()
}

/// The beginning of a copy of the last reply on the connection, one byte longer each time.
fn growing_part_of_a_copy() -> Insertion {
    let length = AtomicUsize::new(0);
    Arc::new(move |carried: &Carried| {
        let last = carried.last();
        if last.is_empty() {
            return Vec::new();
        }
        let length = length.fetch_add(1, Ordering::Relaxed) % last.len();
        last[..length].to_vec()
    })
}

/// Guards against a late copy of a miss sending a read that ran at its cache to the origin, where it runs again.
#[test]
fn copy_of_a_miss_never_makes_an_at_most_once_read_run_twice() {
    let fleet = Fleet::start(&copy_of_replies_with("miss"), &nothing());
    let served = check(&fleet, "miss", &[read("close", Kind::Miss), read("close", Kind::Value)], 32);
    assert!(served >= 32, "only {served} of 64 were served");
}

/// Guards against a late copy of `-BUSY` sending a read that ran at its cache to another cache, where it runs again.
#[test]
fn copy_of_a_rejection_never_makes_an_at_most_once_read_run_twice() {
    let fleet = Fleet::start(&copy_of_replies_with("-BUSY"), &nothing());
    let asks = [read("read", Kind::Busy), read("close", Kind::Value)];
    let served = check(&fleet, "rejection", &asks, 32);
    assert!(served >= 16, "only {served} of 32 were served");
}

/// Guards against a late copy of a receipt being given for another write, keyed or at most once.
#[test]
fn copy_of_a_receipt_is_never_given_for_another_write() {
    for class in ["fix", "close"] {
        let fleet = Fleet::start(&nothing(), &copy_of_replies_with("200 OK"));
        let served = check(&fleet, class, &[write(class, Kind::Value)], 32);
        assert_eq!(served, 32, "{class}");
    }
}

/// The same where writes go to the caches.
#[test]
fn copy_of_a_reply_of_a_cache_never_decides_a_write() {
    for (text, first) in [("made-for", Kind::Value), ("-BUSY", Kind::Busy)] {
        let fleet = Fleet::with_caches_alone(&copy_of_replies_with(text));
        let asks = [read("read", first), write("close", Kind::Value), write("fix", Kind::Value)];
        let served = check(&fleet, text, &asks, 24);
        assert!(served >= 48, "{text}: only {served} of 72 were served");
    }
}

/// Guards against a late copy of a read's response being given for a write, and of a receipt for a read.
#[test]
fn copies_of_origin_responses_are_never_given_across_reads_and_writes() {
    let fleet = Fleet::start(&nothing(), &copy_of_replies_with("200 OK"));
    let asks = [
        read("read", Kind::Miss),
        write("close", Kind::Value),
        read("read", Kind::Miss),
        write("fix", Kind::Value),
    ];
    let served = check(&fleet, "reads and writes", &asks, 24);
    assert!(served >= 72, "only {served} of 96 were served");
}

/// Guards against a late copy of the origin's 503 having a write refused after it ran.
#[test]
fn copy_of_a_rejection_of_the_origin_never_has_a_write_refused_that_ran() {
    // A rejection shrinks the origin's window for seconds, so each fleet is used for one.
    for _ in 0..8 {
        let fleet = Fleet::start(&nothing(), &copy_of_replies_with("503"));
        let asks = [read("read", Kind::Miss), write("close", Kind::Busy), write("close", Kind::Value)];
        check(&fleet, "503", &asks, 1);
    }
}

/// Guards against a copy of a miss of a read at the origin: the read has run there and must not be refused or repeated.
#[test]
fn copies_of_origin_responses_never_repeat_or_refuse_an_at_most_once_read() {
    for text in ["503", "200 OK", "500"] {
        for _ in 0..8 {
            let fleet = Fleet::start(&nothing(), &copy_of_replies_with(text));
            let asks = [read("read", Kind::Miss), write("close", Kind::Busy), read("close", Kind::Miss)];
            check(&fleet, text, &asks, 2);
        }
    }
}

/// An origin that gives the same receipt to every write sends no copies: all writes are served.
#[test]
fn equal_receipts_of_an_honest_origin_are_served() {
    let miss = FakeServer::backend(Box::new(|_| Some(cache_reply(Kind::Miss, ""))));
    let origin = FakeServer::origin(Box::new(|_| http_response("200 OK", "stored")));
    let discovery = FakeDiscovery::start();
    let list = [endpoint_entry("w", &miss, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    let mut client = proxy.client();
    for n in 0..24 {
        for (class, wait) in [("close", 600), ("fix", 2000), ("read", 2000)] {
            let info = format!("c={class},t=acme,d={wait}");
            let answer = client.request(&["OBJ.SET", "k", &format!("{class}{n}"), &info, "v"]);
            assert_eq!(answer, bulk("stored"), "{class}{n}");
        }
    }
    assert_eq!(origin.requests().len(), 72, "each write is sent once");
}

/// Guards against the beginning of a copy, of any length, running into the reply behind it: neither a value made of both
/// nor a conclusion of either is used.
#[test]
fn part_of_a_copy_never_decides_a_read_at_a_cache() {
    for first in Kind::ALL {
        for class in ["read", "close"] {
            for second in [Kind::Value, Kind::Miss, Kind::Error] {
                let fleet = Fleet::start(&growing_part_of_a_copy(), &nothing());
                let asks = [read("read", first), read(class, second)];
                check(&fleet, &format!("{first:?} before {class} {second:?}"), &asks, 24);
            }
        }
    }
}

/// The same at the origin.
#[test]
fn part_of_a_copy_never_decides_a_request_at_the_origin() {
    for first in [write("fix", Kind::LongValue), write("fix", Kind::Busy), read("read", Kind::Miss)] {
        for second in [write("close", Kind::Value), write("fix", Kind::Value), read("close", Kind::Miss)] {
            let fleet = Fleet::start(&nothing(), &growing_part_of_a_copy());
            check(
                &fleet,
                &format!("{first:?} before {second:?}"),
                &[read("read", Kind::Miss), first, second],
                40,
            );
        }
    }
}

/// The same for reads that may be repeated, which share connections to the origin.
#[test]
fn part_of_a_copy_never_decides_a_read_at_the_origin() {
    let fleet = Fleet::start(&nothing(), &growing_part_of_a_copy());
    check(&fleet, "reads", &[read("read", Kind::Miss)], 250);
}

#[test]
fn servers_of_this_file_are_reached_without_faults() {
    let fleet = Fleet::start(&nothing(), &nothing());
    let asks = [
        read("read", Kind::Value),
        read("close", Kind::Miss),
        write("close", Kind::Value),
        write("fix", Kind::LongValue),
    ];
    assert_eq!(check(&fleet, "no faults", &asks, 8), 32);
    assert!(fleet.caches.iter().all(|cache| !cache.requests().is_empty()));
    assert_eq!(fleet.origin.requests().len(), 24);
}
