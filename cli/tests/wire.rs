//! Faults at chosen bytes of the proxy's connections to servers: unsafe writes run at most once and later requests are
//! served. Faults are triggered by byte and message counts, so each case is deterministic.

mod common;
use common::*;
use notchdoor_proxy::wire::resp::Value;
use notchdoor_testbed::hosted::Hosted;
use notchdoor_testbed::wire::script::{Link, Script};
use std::net::SocketAddr;

/// Starts a relay in front of a server that applies a fault rule to its connections.
fn start_relay(link: &str, target: &FakeServer, rule: &str) -> Hosted {
    let text = format!("[[wire]]\nbetween = '{link}'\n{rule}\n");
    let script = Script::parse("test", &text).unwrap();
    let link = if link == "proxy-worker" { Link::ProxyWorker } else { Link::ProxyOrigin };
    Hosted::start(link, target.endpoint, script, 1).unwrap()
}

/// The endpoint list of one backend and the origin.
fn endpoint_list(backend: SocketAddr, origin: SocketAddr) -> [String; 2] {
    [endpoint_entry_at("s-1", backend, "in_service", 0), endpoint_entry_at("o-1", origin, "in_service", 0)]
}

fn is_refused(value: &Value) -> bool {
    matches!(value, Value::Error(line) if line.starts_with(b"BUSY"))
}

fn is_failed(value: &Value) -> bool {
    matches!(value, Value::Error(line) if !line.starts_with(b"BUSY"))
}

/// The client gets the origin's response only if the write ran, and a rejection only if it did not. The fault is placed
/// throughout the origin's response and the request.
#[test]
fn unsafe_write_runs_at_most_once_if_its_connection_breaks_at_any_byte() {
    let receipt = http_response("200 OK", "receipt").unwrap();
    let request = 200;
    for (way, last_byte) in [("back", receipt.len()), ("there", request)] {
        for fault in ["reset", "truncate"] {
            for byte in (0..=last_byte).step_by(7) {
                let origin = FakeServer::origin(Box::new(|_| http_response("200 OK", "receipt")));
                let backend = FakeServer::backend(Box::new(|_| hit_response("v")));
                let rule = format!("way = '{way}'\nfault = '{fault}'\nbyte = {byte}\nconnections = 1");
                let relay = start_relay("proxy-origin", &origin, &rule);
                let discovery = FakeDiscovery::start();
                let proxy = Proxy::start(&discovery, &endpoint_list(backend.endpoint, relay.address()));
                let write = |id: &str| {
                    proxy.client().request(&["OBJ.SET", "week", id, "c=close,t=acme,d=600", "signed"])
                };
                let answer = write("first");
                let ran = origin.requests().iter().filter(|r| r.iter().any(|w| w == "first")).count();
                let context = format!("{way}, {fault} at {byte}: {answer:?}, ran {ran} times");
                assert!(ran <= 1, "{context}");
                if answer == bulk("receipt") {
                    assert_eq!(ran, 1, "{context}");
                } else {
                    assert!(is_failed(&answer) || is_refused(&answer) && ran == 0, "{context}");
                }
                assert_eq!(relay.with(|r| r.seen().hits), Some(1), "{context}");
                // Later writes may be rejected until the proxy has recovered from the fault.
                let deadline = std::time::Instant::now() + TIMEOUT;
                let mut n = 0;
                while write(&format!("later-{n}")) != bulk("receipt") {
                    assert!(std::time::Instant::now() < deadline, "{context}: no later write was served");
                    n += 1;
                }
            }
        }
    }
}

/// The fault hits one connection to the backend; the read is retried and answered with an intact value.
#[test]
fn read_is_served_if_one_backend_answer_is_corrupted_at_any_byte() {
    let answer = hit_response("from the worker").unwrap();
    let mut rules = Vec::new();
    for byte in (0..answer.len()).step_by(5) {
        for fault in ["reset", "truncate", "half-close"] {
            rules.push(format!("fault = '{fault}'\nbyte = {byte}"));
        }
        rules.push(format!("fault = 'noise'\nplace = 'within'\nbyte = {byte}"));
    }
    for rest in ["noise'\nplace = 'behind", "noise", "twice", "split", "lie'\nby = -3\n#", "lie'\nby = 5\n#"]
    {
        rules.push(format!("fault = '{rest}'"));
    }
    for rule in rules {
        let backend = FakeServer::backend(Box::new(|_| hit_response("from the worker")));
        let origin = FakeServer::origin(Box::new(|_| http_response("200 OK", "from the origin")));
        let relay = start_relay("proxy-worker", &backend, &format!("{rule}\nconnections = 1"));
        let discovery = FakeDiscovery::start();
        let proxy = Proxy::start(&discovery, &endpoint_list(relay.address(), origin.endpoint));
        let mut client = proxy.client();
        for n in 0..3 {
            let got = client.get("k", &format!("read-{n}"), 2000);
            let intact = [bulk("from the worker"), bulk("from the origin")].contains(&got);
            assert!(intact, "{rule}, read {n}: {got:?}");
        }
        assert!(relay.with(|r| r.seen().hits).unwrap() > 0, "{rule}: the fault was not applied");
    }
}
