//! The generator against peers that do what a test says, and its arrivals without any.

use notchdoor_lab::record::Day;
use notchdoor_lab::scenario;
use notchdoor_load::arrivals::{Arrivals, Line};
use notchdoor_load::codec::Protocol;
use notchdoor_load::run::{run, Kept, Options};
use notchdoor_model::spec::Spec;
use notchdoor_proxy::wire::resp::{Reader, Value};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a peer does with a request, by its number on its connection: an answer, or `None` to close.
type Way = dyn Fn(usize) -> Option<&'static str> + Send + Sync;

/// A proxy's stand-in, and the keys and ids that it was asked for.
struct Peer {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<(String, String)>>>,
}

fn peer(way: Box<Way>) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = Peer { address: listener.local_addr().unwrap(), seen: Arc::default() };
    let (seen, way) = (Arc::clone(&peer.seen), Arc::new(way));
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (seen, way) = (Arc::clone(&seen), Arc::clone(&way));
            std::thread::spawn(move || {
                let (mut reader, mut buffer) = (Reader::default(), [0; 4096]);
                let mut numbers = 0..;
                loop {
                    match stream.read(&mut buffer) {
                        Ok(n) if n > 0 => reader.feed(&buffer[..n]),
                        _ => return,
                    }
                    while let Some(Value::Array(Some(words))) = reader.next_value().unwrap() {
                        let word = |i: usize| match &words[i] {
                            Value::Bulk(Some(w)) => String::from_utf8_lossy(w).into_owned(),
                            other => panic!("no word: {other:?}"),
                        };
                        seen.lock().unwrap().push((word(1), word(2)));
                        match way(numbers.next().unwrap()) {
                            Some(answer) if stream.write_all(answer.as_bytes()).is_ok() => {}
                            _ => return,
                        }
                    }
                }
            });
        }
    });
    peer
}

const OK: &str = "$2\r\nok\r\n";

fn spec(set: &[&str]) -> Spec {
    let set: Vec<String> = ["warm_up_s=0", "length_s=1"].iter().chain(set).map(|s| (*s).to_owned()).collect();
    scenario::load("calm", &set).unwrap().spec
}

fn options(address: SocketAddr, arrivals: Arrivals) -> Options {
    Options {
        targets: vec![address],
        protocol: Protocol::Resp,
        arrivals,
        connections: 64,
        threads: 1,
        value_bytes: 10,
        manners: false,
        // A busy machine must not change what a test sees.
        most_late: 5_000_000,
        quiet: true,
    }
}

fn played(way: Box<Way>, arrivals: Arrivals, seconds: &str) -> (Day, Kept, Peer) {
    let peer = peer(way);
    let (day, kept) = run(&spec(&[seconds]), "calm", 3, &options(peer.address, arrivals)).unwrap();
    (day, kept, peer)
}

#[test]
fn arrivals_come_when_they_should() {
    let spec = spec(&["length_s=100", "load.rate=50"]);
    let (_, until) = spec.scored_interval();
    let rate = |arrivals: &Arrivals, from: f64, to: f64| {
        let at = |l: &Line| l.at as f64 / until as f64;
        let n = arrivals.times(&spec, 9, until).filter(|l| (from..to).contains(&at(l))).count();
        n as f64 / (100.0 * (to - from))
    };
    let cases: &[(&str, f64, f64, f64)] = &[
        ("scenario", 0.0, 1.0, 50.0),
        ("constant:80", 0.0, 1.0, 80.0),
        ("poisson:80", 0.0, 1.0, 80.0),
        ("steps:20,100,40", 0.0, 0.333, 20.0),
        ("steps:20,100,40", 0.334, 0.666, 100.0),
        ("steps:20,100,40", 0.667, 1.0, 40.0),
        ("ramp:10..110", 0.0, 0.5, 35.0),
        ("ramp:10..110", 0.5, 1.0, 85.0),
    ];
    for (text, from, to, wanted) in cases {
        let got = rate(&Arrivals::parse(text).unwrap(), *from, *to);
        assert!((got / wanted - 1.0).abs() < 0.12, "{text} from {from} to {to}: {got}, not {wanted}");
    }
    let even: Vec<u64> = Arrivals::Constant(3.0).times(&spec, 1, 1_100_000).map(|l| l.at).collect();
    assert_eq!(even, [333_333, 666_666, 1_000_000]);
    for (text, told) in [
        ("poisson", "'' is no rate"),
        ("constant:-1", "'-1' is no rate"),
        ("steps:5,x", "'x' is no rate"),
        ("ramp:5", "a ramp is ramp:RATE..RATE"),
        ("often", "'often' is none of scenario"),
    ] {
        assert!(Arrivals::parse(text).unwrap_err().contains(told), "{text}");
    }
    let classes = ["read".to_owned(), "close".to_owned()];
    let record = Arrivals::record("r", "# a record\n0.5\n\n0.75 close k1\n0.75 read\n", &classes).unwrap();
    let lines: Vec<(u64, Option<u32>)> = record.times(&spec, 1, until).map(|l| (l.at, l.class)).collect();
    assert_eq!(lines, [(500_000, None), (750_000, Some(1)), (750_000, Some(0))]);
    for (text, told) in [
        ("x\n", "r:1: the time should be in seconds"),
        ("1\n0.5\n", "r:2: is earlier than the line before"),
        ("1 open\n", "r:1: no class is called 'open'; there are read, close"),
        ("# none\n", "r: holds no request"),
    ] {
        assert_eq!(
            Arrivals::record("r", text, &classes).map(|_| ()).unwrap_err().split(", from").next(),
            Some(told)
        );
    }
}

#[test]
fn every_answer_counts_as_what_it_is() {
    type Count = fn(&Day) -> u64;
    let sum = |day: &Day, of: Count| (of(day), day.counts.wanted);
    let cases: &[(&'static str, Count)] = &[
        (OK, |d| d.counts.served),
        ("*3\r\n$2\r\nok\r\n$3\r\nhit\r\n$-1\r\n", |d| d.counts.served),
        ("-BUSY\r\n", |d| d.counts.refused),
        ("-BUSY 250\r\n", |d| d.counts.refused),
        ("-ERR failed\r\n", |d| d.counts.failed),
        ("$-1\r\n", |d| d.counts.failed),
        ("nonsense\r\n", |d| d.counts.failed),
    ];
    for (answer, count) in cases {
        let (day, kept, _) = played(Box::new(move |_| Some(answer)), Arrivals::Constant(100.0), "length_s=1");
        let (counted, wanted) = sum(&day, *count);
        assert_eq!(counted, wanted, "{answer:?}: {:?}", day.counts);
        assert_eq!(wanted + kept.voided, 99, "{answer:?}");
    }
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (day, _) = run(&spec(&[]), "calm", 3, &options(nobody, Arrivals::Constant(50.0))).unwrap();
    assert_eq!(day.counts.unreachable, day.counts.wanted);
}

/// What is written on a connection that is closed just then was not read: clients send it again, once.
#[test]
fn a_request_that_crosses_a_close_is_sent_once_more() {
    // Each connection is closed with nothing said at its third request: one that has been answered on it is sent
    // again, and a new connection answers it, however many requests are out at once.
    let (day, kept, peer) =
        played(Box::new(|n| (n < 2).then_some(OK)), Arrivals::Constant(100.0), "length_s=1");
    assert_eq!(day.counts.served, day.counts.wanted, "{:?}", day.counts);
    let seen = peer.seen.lock().unwrap();
    let ids: BTreeSet<&String> = seen.iter().map(|(_, id)| id).collect();
    assert_eq!(ids.len() as u64, day.counts.wanted, "the repeat has its first one's id");
    assert!(seen.len() > ids.len() && kept.opened > 5);
}

/// Coordinated omission: a target that stalls is asked all the same, and everyone who waited is counted.
#[test]
fn a_stall_is_felt_by_all_who_were_due_in_it() {
    let began = Instant::now();
    let stalls = Duration::from_millis(800)..Duration::from_millis(1400);
    let way = move |_| {
        // Whoever asks in the stall is answered at its end.
        if stalls.contains(&began.elapsed()) {
            std::thread::sleep(stalls.end - began.elapsed().min(stalls.end));
        }
        Some(OK)
    };
    let (day, kept, _) = played(Box::new(way), Arrivals::Constant(200.0), "length_s=2");
    assert!(kept.tells(), "{kept:?}");
    let reads = &day.classes[0];
    // 0.6 s of 2 are stalled: a closed loop of one client would have counted a single request of them.
    assert!(reads.p90_ms > 250.0 && reads.p50_ms < 100.0, "{reads:?}");
}

#[test]
fn the_requests_are_the_same_on_any_number_of_threads() {
    let keys = |threads: usize| {
        let peer = peer(Box::new(|_| Some(OK)));
        let options = Options { threads, ..options(peer.address, Arrivals::Poisson(300.0)) };
        let (day, kept) = run(&spec(&[]), "calm", 5, &options).unwrap();
        let mut keys: Vec<String> = peer.seen.lock().unwrap().iter().map(|(key, _)| key.clone()).collect();
        keys.sort();
        (kept.due, day.counts.wanted + kept.voided, keys)
    };
    let (one, three) = (keys(1), keys(3));
    assert_eq!((one.0, one.1), (three.0, three.1));
    assert_eq!(one.2, three.2);
}

#[test]
fn what_cannot_be_played_in_time_is_void_and_said_to_be() {
    let peer = peer(Box::new(|_| Some(OK)));
    let spec = spec(&[]);
    let options = Options { most_late: 20_000, ..options(peer.address, Arrivals::Constant(1e6)) };
    let (day, kept) = run(&spec, "calm", 1, &options).unwrap();
    assert!(!kept.tells() && kept.voided > kept.due / 10, "{kept:?}");
    assert_eq!(day.counts.wanted + kept.voided, kept.due, "what is void was not wanted of the target");
}

/// Guards against a crash of the generator when it sends a request only after that request's deadline.
#[test]
fn request_that_is_sent_after_its_deadline_does_not_end_the_run() {
    let peer = peer(Box::new(|_| Some(OK)));
    let mut spec = spec(&[]);
    for class in &mut spec.classes {
        class.deadline_ms = 1.0;
    }
    let (day, kept) = run(&spec, "calm", 1, &options(peer.address, Arrivals::Constant(1e6))).unwrap();
    assert!(kept.late_p99_ms > 1.0, "no request was late: {kept:?}");
    assert_eq!(day.counts.wanted + kept.voided, kept.due);
}
