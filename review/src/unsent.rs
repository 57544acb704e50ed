//! Sign-offs with a large value whose clients leave before the command's last byte.
//!
//! A client writes an `OBJ.SET` of the class that must never run twice, with a value above 64 KiB, in pieces. With the
//! disruption its link breaks when the value has been written, but not the CR LF that ends the command. It has not sent
//! the request, so it sends the sign-off once more, under a new id, on a new connection. The origin counts what it runs.

mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 12;
const SIGN_OFFS: usize = 24;
const VALUE: usize = 160 * 1024;
/// Size of a piece and the pause after it.
const PIECE: usize = 16 * 1024;
const PAUSE: Duration = Duration::from_millis(4);
/// How long the link is silent before it breaks, and before the client comes again.
const SILENT: Duration = Duration::from_millis(150);
const AWAY: Duration = Duration::from_millis(500);
/// Where the cut lies: bytes of the command that are never written. 2 is the CR LF, 3 takes the value's last byte along.
const MISSING: [usize; 3] = [2, 1, 3];

fn main() {
    let case = Case::from_args();
    let record = case.record.clone();
    let runs: Shared<HashMap<String, u32>> = shared(HashMap::new());
    let mut targets: Vec<Target> =
        (0..NODES).map(|n| target(&format!("s-{n}"), "std", serve_with(serve_node))).collect();
    let (ran, origin_record) = (Arc::clone(&runs), record.clone());
    targets.push(target("records", "origin", serve_with(move |s| serve_origin(&origin_record, &ran, s))));
    let discovery = Discovery::start(targets.clone());
    let listen = free_address();
    let config = write_config(&case, "n0", listen, discovery.address, (192, 1024), &targets, &settings(4));
    let variables = [("EDGE_CONFIG", config.display().to_string())];
    let mut proxy = Process::start(&case, "n0", &case.run_command(), &variables);
    wait_ready(&case, listen, Duration::from_secs(30));
    let (mut never_sent, mut unsent_runs, mut twice, mut served) = (0, 0, 0, 0);
    for n in 0..SIGN_OFFS {
        let missing = MISSING[n % MISSING.len()];
        let key = format!("week-{n}");
        let first = format!("ee00{n:012x}");
        let again = format!("ee01{n:012x}");
        let mut ids = vec![again.clone()];
        if case.trouble {
            ids.insert(0, first.clone());
            never_sent += 1;
            if let Err(error) = write_all_but(listen, &key, &first, missing) {
                cannot(format!("sign-off {key}: {error}"));
            }
            record.line(format!("client: OBJ.SET {key} {first}: {missing} bytes before its end the link broke"));
            thread::sleep(AWAY);
        }
        let answer = write_whole(listen, &key, &again);
        let text = answer.as_ref().map_or_else(|e| format!("no answer ({e})"), Resp::text);
        record.line(format!("client: OBJ.SET {key} {again}: sent whole, answered '{text}'"));
        served += u32::from(matches!(answer, Ok(Resp::Bulk(Some(_)))));
        let runs = runs.lock().unwrap();
        let of = |id: &String| runs.get(id).copied().unwrap_or(0);
        let all: u32 = ids.iter().map(of).sum();
        if case.trouble && of(&first) > 0 {
            unsent_runs += 1;
            record.say(format!("RAN: {key} {first}, of which the last {missing} bytes were never sent"));
        }
        if all > 1 {
            twice += 1;
            record.say(format!("TWICE: the sign-off of {key} ran {all} times; its client sent it whole once ({again}: {text})"));
        }
    }
    record.say(format!(
        "{SIGN_OFFS} sign-offs: {served} served; {never_sent} requests were never sent whole, the origin ran {unsent_runs} of them; {twice} sign-offs ran twice"
    ));
    if served == 0 || !proxy.running() {
        cannot("no sign-off was served, or the proxy has ended");
    }
    finish(&case, unsent_runs > 0 || twice > 0, "what was never sent whole never runs, and a sign-off never runs twice");
}

fn sign_off(key: &str, id: &str) -> Vec<u8> {
    let value = vec![b's'; VALUE];
    command(&[b"OBJ.SET", key.as_bytes(), id.as_bytes(), b"c=close-week,t=hermanos-ajuc,d=600", &value])
}

fn write_pieces(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    for piece in bytes.chunks(PIECE) {
        stream.write_all(piece)?;
        thread::sleep(PAUSE);
    }
    Ok(())
}

/// Writes a sign-off but for its last bytes, and leaves.
fn write_all_but(proxy: SocketAddr, key: &str, id: &str, missing: usize) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(proxy)?;
    stream.set_nodelay(true)?;
    let bytes = sign_off(key, id);
    write_pieces(&mut stream, &bytes[..bytes.len() - missing])?;
    thread::sleep(SILENT);
    stream.shutdown(Shutdown::Both)
}

fn write_whole(proxy: SocketAddr, key: &str, id: &str) -> std::io::Result<Resp> {
    let mut client = Client::connect(proxy)?;
    write_pieces(&mut client.stream, &sign_off(key, id))?;
    client.answer(Duration::from_secs(3))
}

/// Cache nodes get no writes; they answer that they lack the key.
fn serve_node(stream: TcpStream) -> std::io::Result<()> {
    let (mut writer, mut reader) = (stream.try_clone()?, BufReader::new(stream));
    loop {
        read_resp(&mut reader)?;
        writer.write_all(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")?;
    }
}

/// Runs a request once its last byte has come, and not before.
fn serve_origin(record: &Record, runs: &Mutex<HashMap<String, u32>>, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut writer, mut reader) = (stream.try_clone()?, BufReader::new(stream));
    loop {
        let request = read_http(&mut reader)?;
        let id = request.headers.get("x-call-id").cloned().unwrap_or_default();
        let began = Instant::now();
        thread::sleep(Duration::from_millis(40));
        *runs.lock().unwrap().entry(id.clone()).or_insert(0) += 1;
        let (method, path, bytes) = (&request.method, &request.path, request.body.len());
        record.line(format!("origin: ran {method} {path} {id}, {bytes} bytes, in {:?}", began.elapsed()));
        writer.write_all(&http_answer(200, format!("receipt for {id}").as_bytes()))?;
    }
}
