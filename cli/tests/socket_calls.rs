//! Every event at every socket call of a connection, one after the other: the program is stopped before and after the call,
//! the peer acts, and the judge of the soaks looks at the run. docs/audit-findings.md has the table.

mod common;

use common::crossing::{play, Event, Point, Scenario};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Plays at the same time. Most of them wait.
const PARALLEL_PLAYS: usize = 24;
/// Times that one call is stopped at in a scenario; later ones repeat the same state.
const MAX_TIMES: usize = 3;
/// Plays of one event at one point until the program comes to it.
const MAX_TRIES: usize = 2;

type Job = (Scenario, Option<(Point, Event)>);

/// What the plays of a call and an event showed.
#[derive(Default)]
struct Cell {
    played: usize,
    broken: Vec<String>,
    not_reached: usize,
    impossible: Option<&'static str>,
}

/// A call: peer, name and whether the program stops after it.
type Call = (String, String, bool);

fn run_all(jobs: Vec<Job>, handle: impl Fn(Job, common::crossing::CrossingResult) + Send + Sync) {
    let jobs = Arc::new(Mutex::new(jobs.into_iter()));
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_PLAYS {
            let (jobs, handle) = (Arc::clone(&jobs), &handle);
            scope.spawn(move || loop {
                let Some(job) = jobs.lock().unwrap().next() else { return };
                let mut result = play(job.0, job.1.clone());
                for _ in 1..MAX_TRIES {
                    if job.1.is_some() && !result.was_reached && result.violations.is_empty() {
                        result = play(job.0, job.1.clone());
                    }
                }
                handle(job, result);
            });
        }
    });
}

fn print_table(table: &BTreeMap<(Call, Event), Cell>) {
    let mut rows: Vec<&Call> = table.keys().map(|(call, _)| call).collect();
    rows.dedup();
    for call in rows {
        let (peer, name, is_after) = call;
        print!("| {peer} | {} {name} |", if *is_after { "after" } else { "before" });
        for event in Event::ALL {
            let text = match table.get(&(call.clone(), event)) {
                Some(cell) if cell.impossible.is_some() => "-".to_owned(),
                Some(cell) if !cell.broken.is_empty() => {
                    format!("**{}** of {}", cell.broken.len(), cell.played)
                }
                Some(cell) => cell.played.to_string(),
                None => String::new(),
            };
            print!(" {text} |");
        }
        println!();
    }
}

/// Guards against requests that are lost, or forwarded after their client left, because something comes between two calls.
#[test]
fn no_event_at_any_socket_call_loses_a_request() {
    let started = Instant::now();
    let points: Mutex<Vec<(Scenario, Point)>> = Mutex::default();
    let table: Mutex<BTreeMap<(Call, Event), Cell>> = Mutex::default();
    let first_plays = Scenario::ALL.into_iter().map(|scenario| (scenario, None)).collect();
    let broken_without_event: Mutex<Vec<String>> = Mutex::default();
    run_all(first_plays, |(scenario, _), result| {
        let violations = result.violations.into_iter().map(|violation| format!("{scenario:?}: {violation}"));
        broken_without_event.lock().unwrap().extend(violations);
        let mut found: Vec<Point> =
            result.points.into_iter().filter(|point| point.nth <= MAX_TIMES).collect();
        found.sort();
        found.dedup();
        points.lock().unwrap().extend(found.into_iter().map(|point| (scenario, point)));
    });
    let mut jobs: Vec<Job> = Vec::new();
    for (scenario, point) in points.into_inner().unwrap() {
        let call: Call = (point.peer.clone(), point.call.clone(), point.is_after);
        for event in Event::ALL {
            let mut table = table.lock().unwrap();
            let cell = table.entry((call.clone(), event)).or_default();
            match event.impossible_at(&point) {
                Some(why) => cell.impossible = Some(why),
                None => jobs.push((scenario, Some((point.clone(), event)))),
            }
        }
    }
    let plays = jobs.len();
    run_all(jobs, |(scenario, wanted), result| {
        let Some((point, event)) = wanted else { return };
        let mut table = table.lock().unwrap();
        let call: Call = (point.peer.clone(), point.call.clone(), point.is_after);
        let cell = table.entry((call, event)).or_default();
        cell.played += usize::from(result.was_reached);
        cell.not_reached += usize::from(!result.was_reached);
        if !result.violations.is_empty() {
            cell.broken.push(format!("{scenario:?} {point:?} {event:?}: {:?}", result.violations));
        }
    });
    let table = table.into_inner().unwrap();
    print_table(&table);
    let not_reached: usize = table.values().map(|cell| cell.not_reached).sum();
    let mut broken: Vec<&String> = table.values().flat_map(|cell| &cell.broken).collect();
    let without_event = broken_without_event.into_inner().unwrap();
    broken.extend(&without_event);
    println!(
        "{plays} plays in {:?}, {not_reached} did not come to their point, {} broken",
        started.elapsed(),
        broken.len()
    );
    let never: Vec<String> = table
        .iter()
        .filter(|(_, cell)| cell.impossible.is_none() && cell.played == 0)
        .map(|((call, event), _)| format!("{call:?} {event:?}"))
        .collect();
    assert!(never.is_empty(), "never played: {never:#?}");
    assert!(broken.is_empty(), "{} broken: {broken:#?}", broken.len());
}
