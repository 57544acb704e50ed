//! Versions as processes, with faults between them: three members of a group and four proxies, and after each fault the
//! longest time that two proxies acted on different versions, by their own records.

mod common;

use common::{bulk, busy, line, unix_ms, value, Peer, Proxy, Registry};
use notchdoor_coordination::check::disagreement;
use notchdoor_testbed::group::fleet::{Fleet, Plan};
use notchdoor_testbed::group::links::{Flow, Way};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::thread::sleep;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(30);
const PROGRAM: &str = env!("CARGO_BIN_EXE_notchdoor");
/// The stated bound, and it with the drift that is stated beside it.
const WITHIN: Duration = Duration::from_millis(3_000);
const BOUND_MS: u64 = 3_060;

fn plan(name: &str) -> Plan {
    let folder = std::env::temp_dir().join(format!("notchdoor-versions-{name}-{}", std::process::id()));
    Plan {
        proxies: 4,
        within_ms: Some(WITHIN.as_millis() as u64),
        guard: ["read", "fix", "close"].map(str::to_owned).into(),
        ..Plan::new(PROGRAM, folder)
    }
}

fn start(name: &str) -> Fleet {
    let mut fleet = Fleet::start(plan(name)).unwrap();
    act_on(&mut fleet, &[0, 1, 2, 3], 0);
    fleet
}

/// Waits until these proxies act on a version, confirmed.
fn act_on(fleet: &mut Fleet, proxies: &[usize], version: u64) {
    let acts = |f: &mut Fleet| {
        let periods = f.periods();
        let now = unix_ms() as u64;
        let on =
            |p: &usize| periods[*p].last().is_some_and(|last| last.version == version && last.until > now);
        proxies.iter().all(on).then_some(())
    };
    fleet.until(&format!("proxies {proxies:?} act on {version}"), PATIENCE, acts).unwrap();
}

/// Ends a play: the record keeps the bound.
fn keeps_the_bound(fleet: &Fleet) -> u64 {
    let apart = disagreement(&fleet.periods());
    assert!(apart <= BOUND_MS, "{apart} ms apart; the logs are in {}", fleet.folder().display());
    apart
}

fn rules(fleet: &Fleet, name: &str, classes: &[&str]) -> PathBuf {
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

fn apply(fleet: &Fleet, classes: &[&str], more: &[&str]) -> Output {
    let file = rules(fleet, "rules.toml", classes).display().to_string();
    let line = [&["settings", "apply", &file], more].concat();
    command(fleet, &line).output().unwrap()
}

#[test]
fn a_version_is_planned_applied_and_rolled_back_and_the_proxies_switch_together() {
    let mut fleet = start("switch");
    let file = rules(&fleet, "rules.toml", &["fix"]);
    let planned = command(&fleet, &["settings", "plan", &file.display().to_string()]).output().unwrap();
    let told = String::from_utf8_lossy(&planned.stdout).into_owned();
    assert!(told.contains("changes to version 0:") && told.contains("+ block.classes fix"), "{told}");
    let applied = apply(&fleet, &["fix"], &["--base", "0", "--wait"]);
    assert_eq!(String::from_utf8_lossy(&applied.stdout), "version 1 is in force\n", "{applied:?}");
    act_on(&mut fleet, &[0, 1, 2, 3], 1);
    // The same again changes nothing, and a plan that is out of date stops.
    let again = apply(&fleet, &["fix"], &["--base", "0"]);
    assert!(again.status.success(), "{again:?}");
    let stale = apply(&fleet, &["close"], &["--base", "0"]);
    assert_eq!(stale.status.code(), Some(1), "{stale:?}");
    let admin: Vec<String> = fleet.admin.iter().map(ToString::to_string).collect();
    let status = Command::new(PROGRAM).args(["settings", "status", "--json"]).args(&admin).output().unwrap();
    let json: serde_json::Value = serde_json::from_slice(&status.stdout).unwrap();
    let on: Vec<_> = json.as_array().unwrap().iter().map(|p| p["versions"]["version"].as_u64()).collect();
    assert_eq!(on, [Some(1); 4], "{json}");
    // Back is a new version.
    let back = apply(&fleet, &[], &["--wait"]);
    assert!(back.status.success(), "{back:?}");
    act_on(&mut fleet, &[0, 1, 2, 3], 2);
    // Nothing failed: they differ by no more than the way of an answer and the turn of a busy machine.
    let apart = keeps_the_bound(&fleet);
    assert!(apart < 1_000, "{apart} ms");
}

#[test]
fn a_proxy_that_a_change_finds_cut_off_is_in_safe_mode_before_the_others_switch() {
    let mut fleet = start("cut-off");
    fleet.doors_of(0, Flow::Held);
    // One is only late: it hears of the version long after the others.
    for id in 1..=3 {
        fleet.door(1, id).set(Way::Back, Flow::Delayed(250));
    }
    assert!(apply(&fleet, &["fix"], &["--wait"]).status.success());
    act_on(&mut fleet, &[1, 2, 3], 1);
    let last = *fleet.periods()[0].last().unwrap();
    assert_eq!(last.version, 0);
    fleet.heal();
    act_on(&mut fleet, &[0], 1);
    let apart = keeps_the_bound(&fleet);
    assert!(apart < 1_000, "{apart} ms");
}

#[test]
fn a_change_during_an_election_keeps_the_bound() {
    let mut fleet = start("election");
    let leader = fleet.leader(None, PATIENCE).unwrap();
    let file = rules(&fleet, "rules.toml", &["close"]);
    let mut applying = command(&fleet, &["settings", "apply", &file.display().to_string(), "--wait"])
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    sleep(Duration::from_millis(700));
    // The version is pending, some of its time is gone, and its clock is gone with the leader.
    fleet.members.get_mut(&leader).unwrap().kill().unwrap();
    assert!(applying.wait().unwrap().success());
    act_on(&mut fleet, &[0, 1, 2, 3], 1);
    fleet.start_member(leader).unwrap();
    keeps_the_bound(&fleet);
}

#[test]
fn of_two_operators_on_one_base_exactly_one_wins() {
    let mut fleet = start("operators");
    let files = [rules(&fleet, "a.toml", &["fix"]), rules(&fleet, "b.toml", &["close"])];
    let spawn = |file: &PathBuf| {
        let line =
            ["settings", "apply", &file.display().to_string(), "--base", "0", "--json"].map(str::to_owned);
        command(&fleet, &line.each_ref().map(String::as_str)).stdout(Stdio::piped()).spawn().unwrap()
    };
    let ended: Vec<Output> = files.iter().map(spawn).map(|c| c.wait_with_output().unwrap()).collect();
    let codes: Vec<_> = ended.iter().map(|o| o.status.code()).collect();
    assert!(codes == [Some(0), Some(1)] || codes == [Some(1), Some(0)], "{ended:?}");
    act_on(&mut fleet, &[0, 1, 2, 3], 1);
    keeps_the_bound(&fleet);
}

#[test]
fn without_a_quorum_all_are_in_safe_mode_and_a_restarted_proxy_is_until_it_is_confirmed() {
    let mut fleet = start("quorum");
    assert!(apply(&fleet, &["fix"], &["--wait"]).status.success());
    act_on(&mut fleet, &[0, 1, 2, 3], 1);
    for id in [1, 2] {
        fleet.members.get_mut(&id).unwrap().kill().unwrap();
    }
    let safe = |f: &mut Fleet| {
        let told = |p: &notchdoor_testbed::group::process::Process| p.log().contains("versions: safe mode");
        f.proxies.iter().all(told).then_some(())
    };
    fleet.until("all are in safe mode", WITHIN + PATIENCE, safe).unwrap();
    // Started anew while nobody confirms: it acts on nothing.
    fleet.proxies[0].kill().unwrap();
    fleet.start_proxy(0).unwrap();
    let before = fleet.periods()[0].len();
    sleep(WITHIN);
    assert_eq!(fleet.periods()[0].len(), before);
    for id in [1, 2] {
        fleet.start_member(id).unwrap();
    }
    act_on(&mut fleet, &[0, 1, 2, 3], 1);
    assert!(fleet.periods()[0].len() > before);
    keeps_the_bound(&fleet);
}

/// What a client gets: in safe mode, under a version, and when the group is gone.
#[test]
fn requests_are_refused_as_the_version_or_the_safe_mode_says() {
    let mut fleet = Fleet::start(Plan { proxies: 0, ..plan("requests") }).unwrap();
    fleet.leader(None, PATIENCE).unwrap();
    let doors = fleet.members_file();
    let guard = "[versions]\nwithin_ms = 3000\n[versions.guard]\nclasses = [\"fix\"]\nkeys = [\"k1\"]\nworkers = [\"w1\"]\n";
    let answers = |text: &'static str| Peer::worker(Box::new(move |_| value(text)));
    let (first, second) = (answers("w1"), answers("w2"));
    let origin = Peer::origin(Box::new(|request| common::http("200 OK", &request[2])));
    let registry = Registry::start();
    let list = [
        line("w1", &first, "in_service", 0),
        line("w2", &second, "in_service", 0),
        line("o", &origin, "in_service", 0),
    ];
    let proxy = Proxy::with_files(&registry, &list, (1024, 192), &[("coord.toml", &(doors + guard))]);
    proxy.logged("versions: acts on 0");
    let get = |key: &str, id: &str| proxy.client().get(key, id, 2_000);
    let workers = |round: &str| {
        let answers: Vec<_> = (0..40).map(|n| get(&format!("x{n}"), &format!("{round}-{n}"))).collect();
        ["w1", "w2"].map(|w| answers.contains(&bulk(w)))
    };
    assert_eq!(workers("free"), [true, true]);
    assert!(!busy(&get("k1", "free")));
    // The version blocks a key and drains a worker.
    let file = fleet.folder().join("rules.toml");
    std::fs::write(&file, "[block]\nkeys = [\"k1\"]\n[workers]\nout = [\"w1\"]\n").unwrap();
    // Its guard is not the group's: that knows of classes only.
    let line = ["settings", "apply", &file.display().to_string()].map(str::to_owned);
    let refused = command(&fleet, &line.each_ref().map(String::as_str)).output().unwrap();
    let told = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(
        refused.status.code() == Some(2)
            && told.contains("block.keys: 'k1' is not covered by versions.guard"),
        "{told}"
    );
    assert!(apply(&fleet, &["fix"], &["--wait"]).status.success());
    proxy.logged("versions: acts on 1");
    let fix = |id: &str| proxy.client().ask(&["OBJ.GET", "z", id, "c=fix,t=acme,d=2000"]);
    assert!(busy(&fix("blocked")) && !busy(&get("k1", "other")));
    // Paused with a request in its hand, and nobody confirms any more when it goes on: the request finds it in safe
    // mode, whatever its timers have not done yet. All of the guard is refused, and nothing new goes to its worker.
    proxy.signal("STOP");
    let mut waiting = proxy.client();
    waiting.send(&["OBJ.GET", "k1", "paused", "c=read,t=acme,d=2000"]);
    for member in fleet.members.values_mut() {
        member.kill().unwrap();
    }
    sleep(WITHIN + Duration::from_millis(200));
    proxy.signal("CONT");
    assert!(waiting.next().is_some_and(|answer| busy(&answer)));
    proxy.logged("versions: safe mode");
    assert!(busy(&get("k1", "safe")) && busy(&fix("safe")));
    assert_eq!(workers("safe"), [false, true]);
    assert_eq!(proxy.vars()["versions"]["version"], serde_json::Value::Null);
}

#[test]
fn a_wrong_file_is_refused_with_its_line_and_field_before_anything_is_proposed() {
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
    for (file, coord, told) in [
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
        assert!(out.status.code() == Some(2) && error.starts_with(&told), "{error}");
    }
    std::fs::remove_dir_all(folder).unwrap();
}
