//! Configuration versions with three group members and four proxies as real processes under faults. By the proxies' own
//! records, the time for which two of them act on different versions must stay within its bound.

mod common;

use common::{bulk, endpoint_entry, hit_response, is_busy, unix_ms, FakeDiscovery, FakeServer, Proxy};
use notchdoor_coordination::check::disagreement;
use notchdoor_testbed::group::fleet::{Fleet, Plan};
use notchdoor_testbed::group::links::{Flow, Way};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::thread::sleep;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);
const PROGRAM: &str = env!("CARGO_BIN_EXE_notchdoor");
/// Longest time for which two proxies may act on different versions; the second value includes clock drift.
const MAX_DISAGREEMENT: Duration = Duration::from_millis(3_000);
const MAX_DISAGREEMENT_WITH_DRIFT_MS: u64 = 3_060;

fn plan(name: &str) -> Plan {
    let folder = std::env::temp_dir().join(format!("notchdoor-versions-{name}-{}", std::process::id()));
    Plan {
        proxies: 4,
        within_ms: Some(MAX_DISAGREEMENT.as_millis() as u64),
        guard: ["read", "fix", "close"].map(str::to_owned).into(),
        ..Plan::new(PROGRAM, folder)
    }
}

fn start_fleet(name: &str) -> Fleet {
    let mut fleet = Fleet::start(plan(name)).unwrap();
    wait_until_active(&mut fleet, &[0, 1, 2, 3], 0);
    fleet
}

/// Waits until these proxies act on a version with a current confirmation.
fn wait_until_active(fleet: &mut Fleet, proxies: &[usize], version: u64) {
    let acts = |f: &mut Fleet| {
        let periods = f.periods();
        let now = unix_ms() as u64;
        let on =
            |p: &usize| periods[*p].last().is_some_and(|last| last.version == version && last.until > now);
        proxies.iter().all(on).then_some(())
    };
    fleet.until(&format!("proxies {proxies:?} act on {version}"), TIMEOUT, acts).unwrap();
}

/// Checks the bound against the proxies' records. Returns the longest disagreement in milliseconds.
fn check_bound(fleet: &Fleet) -> u64 {
    let disagreement_ms = disagreement(&fleet.periods());
    assert!(
        disagreement_ms <= MAX_DISAGREEMENT_WITH_DRIFT_MS,
        "{disagreement_ms} ms of disagreement; logs in {}",
        fleet.folder().display()
    );
    disagreement_ms
}

fn write_rules(fleet: &Fleet, name: &str, classes: &[&str]) -> PathBuf {
    let path = fleet.folder().join(name);
    std::fs::write(&path, format!("[block]\nclasses = {classes:?}\n")).unwrap();
    path
}

fn command(fleet: &Fleet, line: &[&str]) -> Command {
    let at: Vec<String> = fleet.operators().iter().map(|(_, at)| at.to_string()).collect();
    let mut command = Command::new(PROGRAM);
    command.args(line).args(["--at", &at.join(","), "--within", "20"]).env_remove("NOTCHDOOR_COORD");
    command
}

fn run_apply(fleet: &Fleet, classes: &[&str], more: &[&str]) -> Output {
    let file = write_rules(fleet, "rules.toml", classes).display().to_string();
    let line = [&["settings", "apply", &file], more].concat();
    command(fleet, &line).output().unwrap()
}

#[test]
fn plan_apply_and_rollback_switch_all_proxies_together() {
    let mut fleet = start_fleet("switch");
    let file = write_rules(&fleet, "rules.toml", &["fix"]);
    let planned = command(&fleet, &["settings", "plan", &file.display().to_string()]).output().unwrap();
    let output = String::from_utf8_lossy(&planned.stdout).into_owned();
    assert!(output.contains("changes to version 0:") && output.contains("+ block.classes fix"), "{output}");
    let applied = run_apply(&fleet, &["fix"], &["--base", "0", "--wait"]);
    assert_eq!(String::from_utf8_lossy(&applied.stdout), "version 1 is in force\n", "{applied:?}");
    wait_until_active(&mut fleet, &[0, 1, 2, 3], 1);
    // Applying the same rules again changes nothing; other rules on an outdated base are refused.
    let unchanged = run_apply(&fleet, &["fix"], &["--base", "0"]);
    assert!(unchanged.status.success(), "{unchanged:?}");
    let stale = run_apply(&fleet, &["close"], &["--base", "0"]);
    assert_eq!(stale.status.code(), Some(1), "{stale:?}");
    let admin: Vec<String> = fleet.admin.iter().map(ToString::to_string).collect();
    let status = Command::new(PROGRAM).args(["settings", "status", "--json"]).args(&admin).output().unwrap();
    let json: serde_json::Value = serde_json::from_slice(&status.stdout).unwrap();
    let on: Vec<_> = json.as_array().unwrap().iter().map(|p| p["versions"]["version"].as_u64()).collect();
    assert_eq!(on, [Some(1); 4], "{json}");
    // A rollback creates a new version.
    let back = run_apply(&fleet, &[], &["--wait"]);
    assert!(back.status.success(), "{back:?}");
    wait_until_active(&mut fleet, &[0, 1, 2, 3], 2);
    // Without faults, proxies differ only by network and scheduling delays.
    let disagreement_ms = check_bound(&fleet);
    assert!(disagreement_ms < 1_000, "{disagreement_ms} ms");
}

#[test]
fn partitioned_proxy_enters_safe_mode_before_the_others_switch() {
    let mut fleet = start_fleet("cut-off");
    fleet.doors_of(0, Flow::Held);
    // Proxy 1 is only slow: it learns of the version long after the others.
    for id in 1..=3 {
        fleet.door(1, id).set(Way::Back, Flow::Delayed(250));
    }
    assert!(run_apply(&fleet, &["fix"], &["--wait"]).status.success());
    wait_until_active(&mut fleet, &[1, 2, 3], 1);
    let last = *fleet.periods()[0].last().unwrap();
    assert_eq!(last.version, 0);
    fleet.heal();
    wait_until_active(&mut fleet, &[0], 1);
    let disagreement_ms = check_bound(&fleet);
    assert!(disagreement_ms < 1_000, "{disagreement_ms} ms");
}

#[test]
fn version_change_during_an_election_keeps_the_bound() {
    let mut fleet = start_fleet("election");
    let leader = fleet.leader(None, TIMEOUT).unwrap();
    let file = write_rules(&fleet, "rules.toml", &["close"]);
    let mut applying = command(&fleet, &["settings", "apply", &file.display().to_string(), "--wait"])
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    sleep(Duration::from_millis(700));
    // The version is pending, and the timer for it is lost with the leader.
    fleet.members.get_mut(&leader).unwrap().kill().unwrap();
    assert!(applying.wait().unwrap().success());
    wait_until_active(&mut fleet, &[0, 1, 2, 3], 1);
    fleet.start_member(leader).unwrap();
    check_bound(&fleet);
}

#[test]
fn one_of_two_concurrent_applies_on_the_same_base_succeeds() {
    let mut fleet = start_fleet("operators");
    let files = [write_rules(&fleet, "a.toml", &["fix"]), write_rules(&fleet, "b.toml", &["close"])];
    let spawn = |file: &PathBuf| {
        let line =
            ["settings", "apply", &file.display().to_string(), "--base", "0", "--json"].map(str::to_owned);
        command(&fleet, &line.each_ref().map(String::as_str)).stdout(Stdio::piped()).spawn().unwrap()
    };
    let ended: Vec<Output> = files.iter().map(spawn).map(|c| c.wait_with_output().unwrap()).collect();
    let codes: Vec<_> = ended.iter().map(|o| o.status.code()).collect();
    assert!(codes == [Some(0), Some(1)] || codes == [Some(1), Some(0)], "{ended:?}");
    wait_until_active(&mut fleet, &[0, 1, 2, 3], 1);
    check_bound(&fleet);
}

#[test]
fn without_quorum_all_proxies_enter_safe_mode_until_confirmed() {
    let mut fleet = start_fleet("quorum");
    assert!(run_apply(&fleet, &["fix"], &["--wait"]).status.success());
    wait_until_active(&mut fleet, &[0, 1, 2, 3], 1);
    for id in [1, 2] {
        fleet.members.get_mut(&id).unwrap().kill().unwrap();
    }
    let safe = |f: &mut Fleet| {
        let in_safe_mode =
            |p: &notchdoor_testbed::group::process::Process| p.log().contains("versions: safe mode");
        f.proxies.iter().all(in_safe_mode).then_some(())
    };
    fleet.until("all are in safe mode", MAX_DISAGREEMENT + TIMEOUT, safe).unwrap();
    // A proxy that restarts without a confirmation acts on no version.
    fleet.proxies[0].kill().unwrap();
    fleet.start_proxy(0).unwrap();
    let before = fleet.periods()[0].len();
    sleep(MAX_DISAGREEMENT);
    assert_eq!(fleet.periods()[0].len(), before);
    for id in [1, 2] {
        fleet.start_member(id).unwrap();
    }
    wait_until_active(&mut fleet, &[0, 1, 2, 3], 1);
    assert!(fleet.periods()[0].len() > before);
    check_bound(&fleet);
}

/// Responses to a client under a version without rules, under one with rules, and in safe mode.
#[test]
fn requests_are_rejected_per_version_and_in_safe_mode() {
    let mut fleet = Fleet::start(Plan { proxies: 0, ..plan("requests") }).unwrap();
    fleet.leader(None, TIMEOUT).unwrap();
    let members_file = fleet.members_file();
    let guard = "[versions]\nwithin_ms = 3000\n[versions.guard]\nclasses = [\"fix\"]\nkeys = [\"k1\"]\nworkers = [\"w1\"]\n";
    let answers = |text: &'static str| FakeServer::backend(Box::new(move |_| hit_response(text)));
    let (first, second) = (answers("w1"), answers("w2"));
    let origin = FakeServer::origin(Box::new(|request| common::http_response("200 OK", &request[2])));
    let discovery = FakeDiscovery::start();
    let list = [
        endpoint_entry("w1", &first, "in_service", 0),
        endpoint_entry("w2", &second, "in_service", 0),
        endpoint_entry("o", &origin, "in_service", 0),
    ];
    let proxy = Proxy::with_files(&discovery, &list, (1024, 192), &[("coord.toml", &(members_file + guard))]);
    proxy.wait_for_log("versions: applying 0");
    let get = |key: &str, id: &str| proxy.client().get(key, id, 2_000);
    let served_by = |round: &str| {
        let answers: Vec<_> = (0..40).map(|n| get(&format!("x{n}"), &format!("{round}-{n}"))).collect();
        ["w1", "w2"].map(|w| answers.contains(&bulk(w)))
    };
    assert_eq!(served_by("free"), [true, true]);
    assert!(!is_busy(&get("k1", "free")));
    // A version that blocks a key and drains a backend.
    let file = fleet.folder().join("rules.toml");
    std::fs::write(&file, "[block]\nkeys = [\"k1\"]\n[workers]\nout = [\"w1\"]\n").unwrap();
    // The group's guard covers classes only, so the command refuses the blocked key.
    let line = ["settings", "apply", &file.display().to_string()].map(str::to_owned);
    let refused = command(&fleet, &line.each_ref().map(String::as_str)).output().unwrap();
    let output = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(
        refused.status.code() == Some(2)
            && output.contains("block.keys: 'k1' is not covered by versions.guard"),
        "{output}"
    );
    assert!(run_apply(&fleet, &["fix"], &["--wait"]).status.success());
    proxy.wait_for_log("versions: applying 1");
    let fix = |id: &str| proxy.client().request(&["OBJ.GET", "z", id, "c=fix,t=acme,d=2000"]);
    assert!(is_busy(&fix("blocked")) && !is_busy(&get("k1", "other")));
    // The proxy is paused with an unread request, and the group is killed. When the proxy resumes, the request must already
    // see safe mode even if no timer has run: everything under the guard is rejected, and its backend gets no requests.
    proxy.signal("STOP");
    let mut waiting = proxy.client();
    waiting.send(&["OBJ.GET", "k1", "paused", "c=read,t=acme,d=2000"]);
    for member in fleet.members.values_mut() {
        member.kill().unwrap();
    }
    sleep(MAX_DISAGREEMENT + Duration::from_millis(200));
    proxy.signal("CONT");
    assert!(waiting.next().is_some_and(|answer| is_busy(&answer)));
    proxy.wait_for_log("versions: safe mode");
    assert!(is_busy(&get("k1", "safe")) && is_busy(&fix("safe")));
    assert_eq!(served_by("safe"), [false, true]);
    assert_eq!(proxy.metrics()["versions"]["version"], serde_json::Value::Null);
}

#[test]
fn invalid_rules_file_exits_with_2_and_names_line_and_field() {
    let folder = std::env::temp_dir().join(format!("notchdoor-rules-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let write = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let coord = write(
        "coord.toml",
        "[[member]]\nid = 1\nclient = \"127.0.0.1:9\"\n[versions.guard]\nclasses = [\"read\"]\n",
    );
    let unknown = write("unknown.toml", "[block]\nclases = []\n");
    let outside = write("outside.toml", "[block]\nkeys = []\nclasses = [\"fix\"]\n");
    let bound =
        write("bound.toml", "[[member]]\nid = 1\nclient = \"127.0.0.1:9\"\n[versions]\nwithin_ms = 10\n");
    for (file, coord, expected) in [
        (&unknown, &coord, format!("notchdoor: {unknown}:2: unknown field `clases`")),
        (
            &outside,
            &coord,
            format!("notchdoor: {outside}:3: block.classes: 'fix' is not covered by versions.guard"),
        ),
        (&outside, &bound, format!("notchdoor: {bound}:5: versions.within_ms: must be from 500 to 600000")),
    ] {
        let out = Command::new(PROGRAM).args(["settings", "apply", file, "--coord", coord]).output().unwrap();
        let error = String::from_utf8_lossy(&out.stderr);
        assert!(out.status.code() == Some(2) && error.starts_with(&expected), "{error}");
    }
    std::fs::remove_dir_all(folder).unwrap();
}
