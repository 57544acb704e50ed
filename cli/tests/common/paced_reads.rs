//! Plays reads against servers that pause within their replies, on connections that were used before.

use super::paced_server::{self, short_value, Framing, Giving, Role, AT_ONCE_PREFIX, PACED_PREFIX};
use super::{endpoint_entry_at, settings, FakeDiscovery, Proxy};
use notchdoor_proxy::wire::resp::{Reader, Value};
use std::io::Read;
use std::time::{Duration, Instant};

const CACHES: usize = 6;
const CLIENTS: usize = 6;
const READS: usize = 3;
/// Reads of each client before the paced ones. Several at a time open as many connections to each server.
const READS_BEFORE: usize = 12;
const DEADLINE_MS: u64 = 2000;
/// How long a client waits for more of an answer.
const PATIENCE: Duration = Duration::from_secs(8);
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Which servers give the values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum From {
    Caches,
    Origin,
}

/// One row: who gives values, how, and what their clients do.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    pub from: From,
    pub giving: Giving,
    /// Each client sends a short read right behind each of its reads.
    pub commands_behind: bool,
    /// The same values were read on the connections before.
    pub equal_before: bool,
    pub clients: usize,
    /// The class of the paced reads.
    pub class: &'static str,
}

impl Row {
    /// A value of 200,000 bytes with its length, and nothing behind it.
    pub const fn of(from: From, giving: Giving) -> Row {
        Row { from, giving, commands_behind: false, equal_before: false, clients: CLIENTS, class: "read" }
    }

    pub const fn with_commands_behind(self) -> Row {
        Row { commands_behind: true, ..self }
    }

    pub const fn with_equal_before(self) -> Row {
        let giving = Giving { same: true, ..self.giving };
        Row { equal_before: true, giving, ..self }
    }

    pub const fn in_framing(self, framing: Framing) -> Row {
        let giving = Giving { framing, ..self.giving };
        Row { giving, ..self }
    }
}

/// What a client got that it should not have, with the time that took.
pub type Unserved = Vec<String>;

/// Reads one answer. Returns its text if it is not this value.
fn read_answer(client: &mut ClientStream, expected: &[u8]) -> Result<(), String> {
    let began_at = Instant::now();
    let mut buffer = vec![0; 64 * 1024];
    loop {
        match client.reader.next_value() {
            Ok(None) => {}
            Ok(Some(Value::Bulk(Some(value)))) if value == expected => return Ok(()),
            other => return Err(format!("{other:.60?} after {:?}", began_at.elapsed())),
        }
        match client.stream.read(&mut buffer) {
            Ok(n) if n > 0 => client.reader.feed(&buffer[..n]),
            end => return Err(format!("{end:?} after {:?}", began_at.elapsed())),
        }
    }
}

struct ClientStream {
    stream: std::net::TcpStream,
    reader: Reader,
}

impl ClientStream {
    fn open(proxy: &Proxy) -> ClientStream {
        let stream = proxy.client().stream;
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        ClientStream { stream, reader: Reader::with_most(MAX_REPLY_BYTES) }
    }

    /// Sends these reads at once.
    fn send(&mut self, reads: &[(&str, String, String)]) {
        let mut bytes = Vec::new();
        for (class, key, id) in reads {
            let info = format!("c={class},t=acme,d={DEADLINE_MS}");
            let words: [&[u8]; 4] = [b"OBJ.GET", key.as_bytes(), id.as_bytes(), info.as_bytes()];
            notchdoor_proxy::wire::resp::write_command(&mut bytes, &words);
        }
        std::io::Write::write_all(&mut self.stream, &bytes).unwrap();
    }
}

/// One client: reads on its own connection, one after another.
fn play_client(proxy: &Proxy, row: &Row, number: usize) -> Unserved {
    let (mut unserved, mut client) = (Vec::new(), ClientStream::open(proxy));
    for n in 0..READS_BEFORE {
        let prefix = if row.equal_before && n % 4 == 3 { AT_ONCE_PREFIX } else { "" };
        let id = format!("before-{number}-{n}");
        client.send(&[("read", format!("{prefix}key-{number}-{n}"), id.clone())]);
        let expected = if prefix.is_empty() { short_value(&id) } else { row.giving.value(&id) };
        // These are not what is tested: an equal value may be handed back.
        let _ = read_answer(&mut client, &expected);
    }
    for n in 0..READS {
        let (id, behind) = (format!("paced-id-{number}-{n}"), format!("behind-id-{number}-{n}"));
        let mut reads = vec![(row.class, format!("{PACED_PREFIX}{number}-{n}"), id.clone())];
        if row.commands_behind {
            reads.push(("read", format!("key-{number}-{n}"), behind.clone()));
        }
        client.send(&reads);
        let mut result =
            read_answer(&mut client, &row.giving.value(&id)).map_err(|text| format!("{id}: {text}"));
        if row.commands_behind && !matches!(&result, Err(text) if text.contains("Ok(0)")) {
            let answer = read_answer(&mut client, &short_value(&behind));
            result = result.and(answer.map_err(|text| format!("{behind}: {text}")));
        }
        if let Err(text) = result {
            unserved.push(text);
            client = ClientStream::open(proxy);
        }
    }
    unserved
}

/// Plays a row. Returns what was not served, with the proxy's log.
pub fn play(row: Row) -> (Unserved, String) {
    let cache_role = match row.from {
        From::Caches => Role::Cache,
        From::Origin => Role::EmptyCache,
    };
    let mut list: Vec<String> = (0..CACHES)
        .map(|n| {
            endpoint_entry_at(&format!("w{n}"), paced_server::start(cache_role, row.giving), "in_service", 0)
        })
        .collect();
    list.push(endpoint_entry_at("o", paced_server::start(Role::Origin, row.giving), "in_service", 0));
    let discovery = FakeDiscovery::start();
    let settings = settings().replace(r#""quotaPerS":100.0"#, r#""quotaPerS":5000.0"#);
    let proxy = Proxy::with_files(&discovery, &list, (1024, 192), &[("settings.json", &settings)]);
    let unserved: Unserved = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..row.clients)
            .map(|number| {
                scope.spawn({
                    let (proxy, row) = (&proxy, &row);
                    move || play_client(proxy, row, number)
                })
            })
            .collect();
        clients.into_iter().flat_map(|client| client.join().expect("a client panicked")).collect()
    });
    proxy.signal("TERM");
    let (_, log) = proxy.wait_for_exit();
    (unserved, log)
}

/// Plays rows side by side and checks that each read was served.
pub fn assert_all_served(rows: &[Row]) {
    let plays: Vec<_> = rows.iter().map(|&row| (row, std::thread::spawn(move || play(row)))).collect();
    let mut failed = String::new();
    for (row, play) in plays {
        let (unserved, log) = play.join().expect("a play panicked");
        if !unserved.is_empty() {
            let counters = log.lines().rfind(|line| line.contains("counters at exit")).unwrap_or_default();
            let (count, all, some) =
                (unserved.len(), row.clients * READS, unserved.get(..3).unwrap_or(&unserved));
            failed += &format!("{count} of {all} unserved: {row:?}: {some:#?}\n");
            failed += &format!(
                "{}\n",
                counters
                    .split(' ')
                    .filter(|w| w.starts_with("ending_") && !w.ends_with("=0"))
                    .collect::<Vec<_>>()
                    .join(" ")
            );
        }
    }
    assert!(failed.is_empty(), "{failed}");
}
