//! Backends that send a reply twice, the second copy at any time: no client gets what was made for another request.

mod common;
use common::connection_server::{read_http_request, start_server, value_of_length, wait_for_next_command};
use common::*;
use notchdoor_proxy::wire::resp::{Reader, Value};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Sizes of values: one that the proxy buffers and one that it streams.
const VALUE_BYTES: [usize; 2] = [16, 200_000];

/// When the copy of the first reply on a connection is sent, seen from the backend.
#[derive(Clone, Copy, Debug)]
enum CopySent {
    /// While the next command is on its way: the proxy has written it, the backend has not read it to its end.
    BeforeNextCommand,
    /// The same, and the reply to that command is only sent while the command after it is on its way.
    BeforeNextCommandAndReplyHeld,
    /// After the next command was read, and before the reply to it.
    BeforeNextReply,
    /// Right after the reply to the next command.
    AfterNextReply,
}

/// What the backend replies to the first command on a connection, and sends a copy of.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstReply {
    Value,
    Miss,
}

fn hit(id: &str, length: usize) -> Vec<u8> {
    hit_response(&text(&value_of_length(id, length))).expect("a reply")
}

/// Serves one connection. Every second reply is followed by a copy of the one before it.
fn serve(mut stream: TcpStream, (first, copy, length): (FirstReply, CopySent, usize)) -> Option<()> {
    loop {
        let words = read_command(&mut stream)?;
        let reply = match first {
            FirstReply::Value => hit(&words[2], length),
            FirstReply::Miss => b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n".to_vec(),
        };
        stream.write_all(&reply).ok()?;
        if matches!(copy, CopySent::BeforeNextCommand | CopySent::BeforeNextCommandAndReplyHeld) {
            wait_for_next_command(&stream)?;
            stream.write_all(&reply).ok()?;
        }
        let words = read_command(&mut stream)?;
        if matches!(copy, CopySent::BeforeNextCommandAndReplyHeld) {
            wait_for_next_command(&stream)?;
        }
        if matches!(copy, CopySent::BeforeNextReply) {
            stream.write_all(&reply).ok()?;
        }
        stream.write_all(&hit(&words[2], length)).ok()?;
        if matches!(copy, CopySent::AfterNextReply) {
            stream.write_all(&reply).ok()?;
        }
    }
}

/// Serves one connection to an origin. A copy of every second response is sent while the next request is on its way.
fn serve_origin(mut stream: TcpStream) -> Option<()> {
    loop {
        let response = http_response("200 OK", &read_http_request(&mut stream)?.1)?;
        stream.write_all(&response).ok()?;
        wait_for_next_command(&stream)?;
        stream.write_all(&response).ok()?;
        let (_, id) = read_http_request(&mut stream)?;
        stream.write_all(&http_response("200 OK", &id)?).ok()?;
    }
}

/// Sends a read on a connection of its own and returns its answer; `None` if the answer is cut off.
fn read(proxy: &Proxy, id: &str) -> Option<Value> {
    let mut stream = {
        let mut client = proxy.client();
        client.send(&["OBJ.GET", &format!("key-{id}"), id, "c=read,t=acme,d=2000"]);
        client.stream
    };
    let (mut reader, mut buffer) = (Reader::with_most(1 << 20), vec![0; 64 * 1024]);
    loop {
        if let Some(value) = reader.next_value().unwrap() {
            return Some(value);
        }
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => reader.feed(&buffer[..n]),
            _ => return None,
        }
    }
}

/// Guards against a late copy of a reply being served to the next request on its connection (review case 1): the time
/// between the reply and its copy does not matter, since the order is forced.
#[test]
fn copy_of_an_earlier_reply_is_never_served_to_another_request() {
    for length in VALUE_BYTES {
        for copy in [
            CopySent::BeforeNextCommand,
            CopySent::BeforeNextCommandAndReplyHeld,
            CopySent::BeforeNextReply,
            CopySent::AfterNextReply,
        ] {
            for first in [FirstReply::Value, FirstReply::Miss] {
                let context = format!("{length} bytes, {first:?}, {copy:?}");
                let backend = start_server(move |stream| serve(stream, (first, copy, length)));
                let origin = FakeServer::origin(Box::new(move |request| {
                    let value = value_of_length(&request[2], length);
                    http_response("200 OK", std::str::from_utf8(&value).unwrap())
                }));
                let discovery = FakeDiscovery::start();
                let list = [
                    endpoint_entry_at("w", backend, "in_service", 0),
                    endpoint_entry("o", &origin, "in_service", 0),
                ];
                let proxy = Proxy::start(&discovery, &list);
                let mut served = 0;
                for n in 0..24 {
                    let id = format!("id-{n:02}");
                    match read(&proxy, &id) {
                        Some(Value::Bulk(Some(value))) => {
                            assert!(
                                value == value_of_length(&id, length),
                                "{context}, {id}: got {:.20}",
                                text(&value)
                            );
                            served += 1;
                        }
                        // A reply that cannot be told apart has failed, and a streamed one is cut off.
                        None | Some(Value::Error(_)) => {}
                        other => panic!("{context}, {id}: {other:?}"),
                    }
                }
                assert!(served >= 12, "{context}: only {served} of 24 were served");
            }
        }
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Backends that return the same value to every request send no copies: each repeated reply is confirmed by the one fence of
/// its connection, which is replaced then, and no request fails or is sent twice.
#[test]
fn equal_replies_are_confirmed_by_one_fence_on_each_connection() {
    let backend = FakeServer::backend(Box::new(|_| hit_response("the same")));
    let origin = FakeServer::origin(Box::new(|_| None));
    let discovery = FakeDiscovery::start();
    let list =
        [endpoint_entry("w", &backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    let mut client = proxy.client();
    for n in 0..20 {
        assert_eq!(client.get("k", &format!("id{n}"), 2000), bulk("the same"));
    }
    assert_eq!((backend.requests().len(), origin.requests().len()), (20, 0));
    proxy.signal("TERM");
    let (exited_cleanly, log) = proxy.wait_for_exit();
    assert!(exited_cleanly && log.contains(" opened=10 reused=10 "), "{log}");
    assert!(log.contains(" replies_checked=10 replies_unconfirmed=0"), "{log}");
}

/// Starts a proxy whose backend has no key and whose origin sends copies of its responses.
fn start_proxy_with_repeating_origin(discovery: &FakeDiscovery) -> (Proxy, FakeServer) {
    let miss = FakeServer::backend(Box::new(|_| Some(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n".to_vec())));
    let list = [
        endpoint_entry("w", &miss, "in_service", 0),
        endpoint_entry_at("o", start_server(serve_origin), "in_service", 0),
    ];
    (Proxy::start(discovery, &list), miss)
}

/// Guards against a late copy of the origin's response being served to the next read on its connection.
#[test]
fn copy_of_an_earlier_response_of_the_origin_is_never_served_to_another_read() {
    let discovery = FakeDiscovery::start();
    let (proxy, _backend) = start_proxy_with_repeating_origin(&discovery);
    let mut served = 0;
    for n in 0..24 {
        let id = format!("id-{n:02}");
        match read(&proxy, &id) {
            Some(Value::Bulk(Some(value))) => {
                assert_eq!(text(&value), id);
                served += 1;
            }
            Some(Value::Error(_)) => {}
            other => panic!("{id}: {other:?}"),
        }
    }
    assert!(served >= 8, "only {served} of 24 were served");
}

/// Guards against a late copy of a receipt being given for the next write on its connection.
#[test]
fn copy_of_an_earlier_receipt_is_never_given_for_another_write() {
    let discovery = FakeDiscovery::start();
    let (proxy, _backend) = start_proxy_with_repeating_origin(&discovery);
    for n in 0..24 {
        let id = format!("id-{n:02}");
        let receipt = proxy.client().request(&["OBJ.SET", "k", &id, "c=close,t=acme,d=600", "v"]);
        assert!(receipt == bulk(&id) || matches!(receipt, Value::Error(_)), "{id}: {receipt:?}");
    }
}

/// Serves one connection: two values, of which the second is confirmed by a fence if it equals the first; then a copy of it
/// before the next reply, and, once the fence for that is on its way, a copy of the reply to the first fence.
fn serve_with_copy_of_fence_reply(mut stream: TcpStream) -> Option<()> {
    let mut last = Vec::new();
    for _ in 0..2 {
        last = hit(&read_command(&mut stream)?[2], VALUE_BYTES[0]);
        stream.write_all(&last).ok()?;
    }
    let words = read_command(&mut stream)?;
    stream.write_all(&last).ok()?;
    wait_for_next_command(&stream)?;
    stream.write_all(b"+PONG\r\n").ok()?;
    stream.write_all(&hit(&words[2], VALUE_BYTES[0])).ok()?;
    read_command(&mut stream).map(drop)
}

/// Guards against a copy of an earlier fence's reply confirming a copy of a value.
#[test]
fn copy_of_a_fence_reply_never_confirms_a_copy_of_a_value() {
    let backend = start_server(serve_with_copy_of_fence_reply);
    let origin = FakeServer::origin(Box::new(|_| None));
    let discovery = FakeDiscovery::start();
    let list =
        [endpoint_entry_at("w", backend, "in_service", 0), endpoint_entry("o", &origin, "in_service", 0)];
    let proxy = Proxy::start(&discovery, &list);
    for n in 0..8 {
        for id in ["same".to_owned(), "same".to_owned(), format!("own-{n}")] {
            match read(&proxy, &id) {
                Some(Value::Bulk(Some(value))) => {
                    assert_eq!(text(&value), text(&value_of_length(&id, VALUE_BYTES[0])), "round {n}");
                }
                Some(Value::Error(_)) => {}
                other => panic!("{id}: {other:?}"),
            }
        }
    }
}
