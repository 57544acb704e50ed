//! A request from its arrival to its answer, through the router, with nothing open.

use super::*;
use crate::state::endpoints::Target;
use crate::state::time::UnixMicros;
use notchdoor::{Class, Discovery, Effect};
use notchdoor_settings::Readiness;

const S: Micros = 1_000_000;
const T: Micros = 1_000 * S;

fn proxy() -> Proxy<()> {
    let class = Class {
        latency_objective: S / 2,
        priority_weight: 1.0,
        late_value_share: 0.5,
        effect: Effect::Idempotent,
        window_share: 1.0,
    };
    let settings = Settings {
        proxies: 1,
        classes: vec![class],
        tenants: vec![],
        over_quota_weight: 0.1,
        origin_kind: Some(1),
        discovery: Discovery::OnRequest { poll_interval: 10 * S },
        sizes_vary_with_load: false,
        max_attempts: 3,
        hedging: true,
        may_cancel: true,
        max_retry_after: S,
        max_in_flight: 1_000,
        initial_capacity_share: 0.3,
        warmup: 8 * S,
        overload_multiple: 4.0,
        overload_window: 2 * S,
    };
    let names = DeploymentNames {
        classes: vec!["read".into()],
        kinds: vec!["std".into(), "origin".into()],
        ..DeploymentNames::default()
    };
    let mut proxy = Proxy::new(settings, names, None, 7, ClockReading { monotonic: T, wall: UnixMicros(T) });
    let target = |uid: &str, model: &str| Target {
        uid: uid.into(),
        endpoint: "127.0.0.1:1".into(),
        az: String::new(),
        model: model.into(),
        pod_group: 0,
        state: Readiness::InService,
        capacity_hint: 1.0,
        boot_ms: 0.0,
    };
    let targets = vec![target("w", "std"), target("o", "origin")];
    proxy.update(T, Update { rev: 1, all: true, targets });
    assert!(matches!(proxy.take_commands().as_slice(), [Command::Watch]));
    proxy
}

fn slot(sequence: u64) -> ReplySlot {
    ReplySlot { connection: 1, sequence }
}

fn take(proxy: &mut Proxy<()>, place: u64, now: Micros) -> Vec<AttemptId> {
    proxy.taken(now, request(place, "read", now)).unwrap();
    upstream(proxy.take_commands())
}

fn request(place: u64, class: &str, now: Micros) -> ClientRequest<()> {
    ClientRequest {
        id: place.to_string().into_bytes(),
        place: slot(place),
        class: class.into(),
        tenant: String::new(),
        key: b"k".to_vec(),
        write: false,
        due: now + S,
        call: (),
    }
}

#[test]
fn what_cannot_be_carried_out_is_not_taken() {
    let mut proxy = proxy();
    assert_eq!(proxy.taken(T, request(0, "none", T)), Err(RequestError::UnknownClass));
    let out = take(&mut proxy, 0, T);
    assert_eq!(proxy.taken(T, request(0, "read", T)), Err(RequestError::IdInUse));
    assert!(proxy.take_commands().is_empty(), "the first is not disturbed");
    proxy.ended(T + 10, out[0], AttemptOutcome::Served, served());
    assert_eq!(answers(proxy.take_commands()), [(slot(0), Answer::Served(b"v".to_vec()))]);
    assert!(proxy.open_ids.is_empty());
}

fn upstream(commands: Vec<Command<()>>) -> Vec<AttemptId> {
    let attempt_id = |c: Command<()>| match c {
        Command::StartAttempt { attempt_id, .. } => Some(attempt_id),
        _ => None,
    };
    commands.into_iter().filter_map(attempt_id).collect()
}

fn served() -> AttemptReply {
    AttemptReply { value: Some(b"v".to_vec()), ..AttemptReply::default() }
}

fn answers(commands: Vec<Command<()>>) -> Vec<(ReplySlot, Answer)> {
    let answer = |c: Command<()>| match c {
        Command::Answer(place, answer) => Some((place, answer)),
        _ => None,
    };
    commands.into_iter().filter_map(answer).collect()
}

#[test]
fn a_request_gets_one_answer_and_leaves_nothing_behind() {
    let mut proxy = proxy();
    let out = take(&mut proxy, 0, T);
    assert_eq!((out.len(), proxy.owed()), (1, 1));
    assert!(!proxy.timers.is_empty());
    proxy.ended(T + 10, out[0], AttemptOutcome::Served, served());
    let served = vec![(slot(0), Answer::Served(b"v".to_vec()))];
    assert_eq!(answers(proxy.take_commands()), served);
    proxy.ended(T + 20, out[0], AttemptOutcome::Served, AttemptReply::default());
    assert!(proxy.take_commands().is_empty(), "an ending that was told already is nobody's");
    assert_eq!((proxy.owed(), proxy.in_flight.len(), proxy.timers.len()), (0, 0, 0));
}

#[test]
fn a_client_that_leaves_has_its_delegation_called_off() {
    let mut proxy = proxy();
    let out = take(&mut proxy, 0, T);
    proxy.left(T + 10, slot(0));
    let commands = proxy.take_commands();
    assert!(matches!(commands.as_slice(), [Command::Cancel(d)] if *d == out[0]));
    assert_eq!((proxy.in_flight.len(), proxy.outstanding.len(), proxy.timers.len()), (0, 0, 0));
    assert_eq!((proxy.counters.left, proxy.counters.attempts_ended(AttemptOutcome::Cancelled)), (1, 1));
}

/// Finding 11: a client that left with a fetch out freed its room, though its request was still in flight.
#[test]
fn what_a_client_left_behind_is_held_until_its_fetch_has_ended() {
    let mut proxy = proxy();
    let out = take(&mut proxy, 0, T);
    proxy.ended(T + 10, out[0], AttemptOutcome::Missed, AttemptReply::default());
    let fetch = upstream(proxy.take_commands());
    proxy.left(T + 20, slot(0));
    assert_eq!((proxy.owed(), proxy.holds(), upstream(proxy.take_commands()).len()), (0, 1, 0));
    proxy.ended(T + 30, fetch[0], AttemptOutcome::Served, served());
    assert!(answers(proxy.take_commands()).is_empty(), "nobody waits for it");
    assert_eq!((proxy.holds(), proxy.left_over()), (0, None));
}

#[test]
fn a_request_that_nothing_answers_is_answered_when_it_is_due() {
    let mut proxy = proxy();
    assert_eq!(take(&mut proxy, 0, T).len(), 1);
    proxy.tick(T + S - 1);
    assert!(answers(proxy.take_commands()).is_empty());
    proxy.tick(T + S);
    assert!(matches!(
        answers(proxy.take_commands()).as_slice(),
        [(ReplySlot { connection: 1, sequence: 0 }, Answer::Refused { .. })]
    ));
    assert_eq!((proxy.owed(), proxy.in_flight.len(), proxy.timers.len()), (0, 0, 0));
}

#[test]
fn a_failed_watch_is_asked_for_again() {
    let mut proxy = proxy();
    proxy.discovery_failed(T, DiscoveryEnd::Silent);
    let due = proxy.next_due().unwrap();
    proxy.tick(due);
    assert!(matches!(proxy.take_commands().as_slice(), [Command::Watch]));
}
