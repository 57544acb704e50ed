//! The log says why an attempt was ended, why another one was sent, and why a request was refused or its connection closed.

mod common;
use common::paced_server::{self, Giving, Pause, Role, PACED_PREFIX};
use common::*;
use std::time::Duration;

/// A pause that is longer than the deadline.
const LONG: &[Pause] = &[Pause { before: 500, time: Duration::from_millis(1500) }];

/// Guards against a refusal of which the log does not tell that a server had begun the answer (issue 71).
#[test]
fn log_tells_why_a_paused_reply_was_given_up_and_what_was_tried() {
    let giving = Giving { pauses: LONG, ..Giving::at_once(1000) };
    let list = [
        endpoint_entry_at("w", paced_server::start(Role::Cache, giving), "in_service", 0),
        endpoint_entry_at("o", paced_server::start(Role::Origin, giving), "in_service", 0),
    ];
    let files = [(LOG_LEVEL_FILE, "debug")];
    let proxy = Proxy::with_files(&FakeDiscovery::start(), &list, (1024, 192), &files);
    let mut client = proxy.client();
    let answer = client.get(&format!("{PACED_PREFIX}key"), "id-of-paused", 600);
    assert!(is_busy(&answer), "{answer:?}");
    drop(client);
    proxy.wait_for_log("client 2: client_left");
    proxy.signal("TERM");
    let (_, log) = proxy.wait_for_exit();
    for text in [
        "its reply pauses or is in doubt",
        " after attempt 1 ended stalled",
        "received=511, reason=the request's time was over within the reply",
        "request id-of-paused: answered rejected after 3 attempts",
        " had begun its reply (1 such requests so far)",
    ] {
        assert!(log.contains(text), "not logged: {text}\n{log}");
    }
    let (stalled, given_up) = (counter(&log, "replies_stalled"), counter(&log, "replies_given_up"));
    assert!(stalled >= 2 && given_up == 1, "{stalled} and {given_up}: {log}");
}
