//! Deadlines and drains while the proxy process is paused repeatedly for up to 0.15 s.

mod common;
use common::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// Longest pause of the process, which is also the tolerance for forwarded deadlines.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// How long after a drain update a backend may still receive commands, including socket delays.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);

/// A command as received by a backend.
struct ReceivedCommand {
    id: String,
    deadline: Duration,
    at: Instant,
}

/// A backend that records and fails every command, so that each is retried.
fn failing_backend(commands: &Arc<Mutex<Vec<ReceivedCommand>>>) -> FakeServer {
    let commands = Arc::clone(commands);
    FakeServer::backend(Box::new(move |words| {
        let deadline =
            words[3].split(',').find_map(|word| word.strip_prefix("d=")).expect("no deadline in the command");
        let deadline = Duration::from_millis(deadline.parse().unwrap());
        commands.lock().unwrap().push(ReceivedCommand { id: words[2].clone(), deadline, at: Instant::now() });
        std::thread::sleep(10 * MS);
        Some(b"-ERR failed\r\n".to_vec())
    }))
}

/// Pauses a process repeatedly until `done`. Returns the longest pause.
fn pause_repeatedly(proxy: &Proxy, done: &AtomicBool) -> Duration {
    let mut longest = Duration::ZERO;
    while !done.load(Ordering::Relaxed) {
        let started = Instant::now();
        proxy.signal("STOP");
        std::thread::sleep(MAX_PAUSE - 20 * MS);
        proxy.signal("CONT");
        longest = longest.max(started.elapsed());
        std::thread::sleep(30 * MS);
    }
    longest
}

#[test]
fn paused_process_forwards_correct_deadlines_and_respects_the_drain_grace_period() {
    let (a_commands, b_commands) = (Arc::default(), Arc::default());
    let (discovery, a, b) =
        (FakeDiscovery::start(), failing_backend(&a_commands), failing_backend(&b_commands));
    let origin = FakeServer::origin(Box::new(|request| http_response("200 OK", &request[2])));
    let list = [
        endpoint_entry("a", &a, "in_service", 0),
        endpoint_entry("b", &b, "in_service", 0),
        endpoint_entry("o", &origin, "in_service", 0),
    ];
    let proxy = Proxy::start(&discovery, &list);
    discovery.watches.recv_timeout(TIMEOUT).unwrap();
    let done = AtomicBool::new(false);
    let deadline = Duration::from_millis(900);
    let mut sent: HashMap<String, Instant> = HashMap::new();
    let (longest, drained) = std::thread::scope(|scope| {
        let pausing = scope.spawn(|| pause_repeatedly(&proxy, &done));
        let mut clients: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
        let mut drained = None;
        let started = Instant::now();
        for n in 0.. {
            if started.elapsed() > 3 * deadline {
                break;
            }
            if drained.is_none() && started.elapsed() > deadline {
                discovery.send_update(42, &[endpoint_entry("b", &b, "terminating", 0)]);
                drained = Some(Instant::now());
            }
            for (c, client) in clients.iter_mut().enumerate() {
                let id = format!("c{c}n{n}");
                sent.insert(id.clone(), Instant::now());
                client.send(&["OBJ.GET", &format!("key{id}"), &id, "c=read,t=acme,d=900"]);
            }
            for client in &mut clients {
                assert!(client.next().is_some(), "connection closed without a response");
            }
        }
        done.store(true, Ordering::Relaxed);
        (pausing.join().unwrap(), drained.expect("the drain was not sent"))
    });
    let slack = MAX_PAUSE.max(longest);
    let take_commands =
        |commands: &Arc<Mutex<Vec<ReceivedCommand>>>| std::mem::take(&mut *commands.lock().unwrap());
    let (a_commands, b_commands) = (take_commands(&a_commands), take_commands(&b_commands));
    for command in a_commands.iter().chain(&b_commands) {
        let left = deadline.saturating_sub(command.at - sent[&command.id]);
        assert!(
            command.deadline <= left + slack,
            "{}: forwarded deadline {:?}, remaining {left:?}",
            command.id,
            command.deadline
        );
    }
    let last =
        b_commands.iter().map(|command| command.at).max().expect("the draining backend received no command");
    assert!(last < drained + DRAIN_GRACE, "received a command {:?} after the drain update", last - drained);
    println!("{} and {} commands, longest pause {longest:?}", a_commands.len(), b_commands.len());
    assert!(a_commands.len() > 20 && b_commands.len() > 5, "{} and {}", a_commands.len(), b_commands.len());
}
