//! Answers of the origin whose lengths don't fit: `Content-Length` says one thing and the chunks another.
//!
//! Clients read sheets over connections that they keep. Some fetches come back with a `Content-Length` above 64 KiB and a
//! chunked body of another length. Each client checks that what it is served is the value made for its own request.

mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

const NODES: usize = 6;
const ROUNDS: usize = 10;
const TOLD: usize = 70_000;

fn main() {
    let case = Case::from_args();
    let (record, trouble) = (case.record.clone(), case.trouble);
    let mut targets: Vec<Target> =
        (0..NODES).map(|n| target(&format!("s-{n}"), "std", serve_with(serve_node))).collect();
    let origin_record = record.clone();
    targets.push(target("records", "origin", serve_with(move |s| serve_origin(&origin_record, trouble, s))));
    let discovery = Discovery::start(targets.clone());
    let listen = free_address();
    let config = write_config(&case, "n0", listen, discovery.address, (192, 1024), &targets, &settings(4));
    let variables = [("EDGE_CONFIG", config.display().to_string())];
    let _proxy = Process::start(&case, "n0", &case.run_command(), &variables);
    wait_ready(&case, listen, Duration::from_secs(30));
    let (mut right, mut foreign, mut other) = (0, 0, 0);
    for round in 0..ROUNDS {
        let Ok(mut client) = Client::connect(listen) else { cannot("the proxy takes no connection") };
        let mut expected = Vec::new();
        for n in 0..3 {
            let key = if n == 0 { format!("long-{round}") } else { format!("sheet-{round}-{n}") };
            let id = format!("{:016x}", round * 16 + n + 1);
            let _ = client.send(&words(&["OBJ.GET", &key, &id, "c=read-sheet,t=obras-pinar,d=2000"]));
            expected.push((key.clone(), id.clone(), value(&key, &id)));
            thread::sleep(Duration::from_millis(150));
        }
        for (key, id, value) in expected {
            match client.answer(Duration::from_secs(3)) {
                Ok(Resp::Bulk(Some(bytes))) if bytes == value => right += 1,
                Ok(Resp::Bulk(Some(bytes))) => {
                    foreign += 1;
                    let text = String::from_utf8_lossy(&bytes[..bytes.len().min(220)]).replace("\r\n", "\\r\\n");
                    record.say(format!("FOREIGN: OBJ.GET {key} {id} was served {} bytes: {text}", bytes.len()));
                }
                answer => {
                    other += 1;
                    record.line(format!("not served: OBJ.GET {key} {id}: {:?}", answer.map(|a| a.text())));
                }
            }
        }
    }
    record.say(format!("{right} requests served with their own value, {foreign} with another's, {other} not served"));
    if right == 0 && foreign == 0 {
        cannot("nothing was served");
    }
    finish(&case, foreign > 0, "a request is served only with the value made for it");
}

fn value(key: &str, id: &str) -> Vec<u8> {
    let mut value = format!("sheet {key} for request {id} ").into_bytes();
    value.resize(if key.starts_with("long") { TOLD } else { 40_000 }, b'.');
    value
}

fn serve_node(stream: TcpStream) -> std::io::Result<()> {
    let (mut writer, mut reader) = (stream.try_clone()?, BufReader::new(stream));
    loop {
        read_resp(&mut reader)?;
        writer.write_all(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")?;
    }
}

fn serve_origin(record: &Record, trouble: bool, stream: TcpStream) -> std::io::Result<()> {
    let (mut writer, mut reader) = (stream.try_clone()?, BufReader::new(stream));
    loop {
        let request = read_http(&mut reader)?;
        let id = request.headers.get("x-call-id").cloned().unwrap_or_default();
        let key = request.path.trim_start_matches('/');
        let value = value(key, &id);
        if trouble && key.starts_with("long") {
            record.line(format!("origin: {key} {id}: Content-Length {TOLD}, one chunk of 60 bytes"));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {TOLD}\r\nTransfer-Encoding: chunked\r\n\r\n3c\r\n");
            writer.write_all(&[head.as_bytes(), &value[..60], b"\r\n0\r\n\r\n"].concat())?;
        } else {
            record.line(format!("origin: {key} {id}: {} bytes", value.len()));
            writer.write_all(&http_answer(200, &value))?;
        }
    }
}
