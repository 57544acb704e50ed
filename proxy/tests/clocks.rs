//! The wall clock is set between two starts, or was off when the process began: the age of each backend as the router
//! is told it. No real clock is set: both are handed to the list.

use notchdoor::{Micros, ServerId};
use notchdoor_proxy::state::endpoints::{
    server_id, AdministrativeDrains, EndpointList, Target, Update, MAX_WALL_CLOCK_STEP,
};
use notchdoor_proxy::state::time::{ClockReading, UnixMicros};
use notchdoor_settings::{DeploymentNames, Readiness};
use std::collections::BTreeMap;

const S: Micros = 1_000_000;
const HOUR: Micros = 3_600 * S;
const SLOW_START: Micros = 8_100_000;
/// The monotonic clock when the process begins, and discovery's clock at that moment.
const BEGUN: Micros = 1 << 50;
const DISCOVERY: Micros = 1_800_000_000 * S;
/// How long a change takes from a start to its notification.
const NOTICE: Micros = 50_000;

/// How far the wall clock is ahead of discovery's, in microseconds.
const STEPS: [i64; 5] = [0, 3_600_000_000, -3_600_000_000, 3_000_000, -3_000_000];

fn start(step: i64) -> ClockReading {
    ClockReading { monotonic: BEGUN, wall: UnixMicros(DISCOVERY.saturating_add_signed(step)) }
}

/// When the router would be told that a backend started, from discovery's stamp.
trait Ages {
    /// Takes an update at this moment; each backend that the router is told of, and since when it runs.
    fn told(&mut self, now: Micros, update: Update) -> Vec<(ServerId, Micros)>;
    fn set_current(&mut self) {}
}

impl Ages for EndpointList {
    fn told(&mut self, now: Micros, update: Update) -> Vec<(ServerId, Micros)> {
        let members = self.apply(now, update).expect("taken").members;
        members.into_iter().map(|m| (m.server, m.started_at)).collect()
    }

    fn set_current(&mut self) {
        EndpointList::set_current(self);
    }
}

/// Takes a stamp for a monotonic moment.
struct MixesClocks;

/// Trusts the wall clock of its start, as releases up to 0.1.0 did.
struct TrustsWallClock(ClockReading);

/// Takes every start for one of this moment.
struct TakesAllForCold;

fn each(update: Update, started_at: impl Fn(UnixMicros) -> Micros) -> Vec<(ServerId, Micros)> {
    let line = |t: Target| (server_id(&t.uid), started_at(UnixMicros((t.boot_ms * 1e3) as u64)));
    update.targets.into_iter().map(line).collect()
}

impl Ages for MixesClocks {
    fn told(&mut self, _: Micros, update: Update) -> Vec<(ServerId, Micros)> {
        each(update, |stamp| stamp.0)
    }
}

impl Ages for TrustsWallClock {
    fn told(&mut self, _: Micros, update: Update) -> Vec<(ServerId, Micros)> {
        each(update, |stamp| self.0.offset().monotonic(stamp))
    }
}

impl Ages for TakesAllForCold {
    fn told(&mut self, now: Micros, update: Update) -> Vec<(ServerId, Micros)> {
        each(update, |_| now)
    }
}

fn list(step: i64) -> EndpointList {
    let names = DeploymentNames { kinds: vec!["cache".into()], ..DeploymentNames::default() };
    EndpointList::new(names, None, start(step), SLOW_START)
}

/// A backend that started so long after the process did.
fn started(uid: &str, after: i64) -> Target {
    Target {
        uid: uid.into(),
        endpoint: "127.0.0.1:1".into(),
        az: String::new(),
        model: "cache".into(),
        pod_group: 0,
        state: Readiness::InService,
        capacity_hint: 1.0,
        boot_ms: DISCOVERY.saturating_add_signed(after) as f64 / 1e3,
    }
}

fn update(rev: u64, all: bool, targets: Vec<Target>) -> Update {
    Update { rev, all, targets }
}

/// Plays one process: a list at the start, then changes while it watches. The first age that is wrong, if any.
fn play(ages: &mut dyn Ages, wall_is_right: bool) -> Result<(), String> {
    let mut since: BTreeMap<ServerId, Micros> = BTreeMap::new();
    let hours = |n: i64| n * HOUR as i64;
    let old = vec![started("old", hours(-5)), started("older", hours(-700))];
    since.extend(ages.told(BEGUN, update(1, true, old)));
    ages.set_current();
    let age = |since: &BTreeMap<ServerId, Micros>, uid: &str, now: Micros| {
        now.saturating_sub(since[&server_id(uid)])
    };
    for uid in ["old", "older"] {
        if age(&since, uid, BEGUN) < SLOW_START {
            return Err(format!("{uid}: a backend of the fleet is cold at the start of a process"));
        }
    }
    // Starts that are told while the list is watched; the last one long after the first.
    for (rev, uid, after) in [(2, "first", 20 * S), (3, "second", 40 * S), (4, "late", 5 * HOUR)] {
        let notified = BEGUN + after + NOTICE;
        since.extend(ages.told(notified, update(rev, false, vec![started(uid, after as i64)])));
        for now in [notified, notified + S, notified + SLOW_START] {
            let told = age(&since, uid, now);
            let real = now - (BEGUN + after);
            if told > real {
                return Err(format!("{uid}: taken for {told} us old, and is {real}"));
            }
            if told + NOTICE < real {
                return Err(format!("{uid}: taken for {told} us old and held back, and is {real}"));
            }
        }
    }
    if wall_is_right {
        // Told 4 s late, as after a pause of discovery's: its age is known all the same.
        let late = started("slow", 6 * HOUR as i64);
        let notified = BEGUN + 6 * HOUR + 4 * S;
        since.extend(ages.told(notified, update(5, false, vec![late])));
        let told = age(&since, "slow", notified);
        if !(4 * S - NOTICE..=4 * S).contains(&told) {
            return Err(format!("slow: taken for {told} us old, and is {} us", 4 * S));
        }
    }
    Ok(())
}

#[test]
fn a_step_of_the_wall_clock_before_the_start_makes_no_new_backend_warm_and_holds_none_back() {
    for step in STEPS {
        assert_eq!(play(&mut list(step), step == 0), Ok(()), "wall clock ahead by {step} us");
    }
}

#[test]
fn a_list_that_mixes_the_clocks_is_caught() {
    let caught = |ages: &mut dyn Ages, told: &str, step: i64| {
        let found = play(ages, step == 0).expect_err("not caught");
        assert!(found.contains(told), "{step}: {found}");
    };
    caught(&mut MixesClocks, "is cold at the start", 0);
    caught(&mut TakesAllForCold, "is cold at the start", 0);
    assert_eq!(play(&mut TrustsWallClock(start(0)), true), Ok(()), "right where the wall clock is");
    for (step, told) in [
        (STEPS[1], "taken for 3600"),
        (STEPS[2], "held back"),
        (STEPS[3], "taken for 3050000 us old"),
        (STEPS[4], "held back"),
    ] {
        caught(&mut TrustsWallClock(start(step)), told, step);
    }
}

#[test]
fn a_fresh_process_trusts_its_wall_clock_until_a_change_contradicts_it() {
    let cold = -(2 * S as i64);
    for (step, first) in [(0, BEGUN - 2 * S), (3_600_000_000, BEGUN - HOUR - 2 * S)] {
        let mut list = list(step);
        assert_eq!(
            list.told(BEGUN, update(1, true, vec![started("cold", cold)])),
            [(server_id("cold"), first)]
        );
        // What the first watch has to catch up on may have started long ago.
        let caught_up = list.told(BEGUN + S, update(2, false, vec![started("missed", -9 * S as i64)]));
        assert_eq!(caught_up, [(server_id("missed"), BEGUN.wrapping_add(step_back(step)) - 9 * S)]);
        list.set_current();
        let after = S + S / 2;
        let told = list.told(BEGUN + after + NOTICE, update(3, false, vec![started("new", after as i64)]));
        let since: BTreeMap<ServerId, Micros> = told.into_iter().collect();
        assert_eq!(since[&server_id("new")], BEGUN + after + NOTICE);
        let corrected = since.get(&server_id("cold")).copied();
        let expected = (step > 0).then_some(BEGUN - 2 * S + NOTICE);
        assert_eq!(corrected, expected, "wall clock ahead by {step} us");
    }
}

fn step_back(step: i64) -> Micros {
    0u64.wrapping_sub(step as u64)
}

#[test]
fn a_start_in_the_future_is_held_in_slow_start_from_its_notification_and_no_longer() {
    let mut list = list(0);
    let told = list.told(BEGUN, update(1, true, vec![started("ahead", HOUR as i64)]));
    assert_eq!(told, [(server_id("ahead"), BEGUN)]);
    // Told once more it is the same start, also after it was away.
    list.set_current();
    let gone = Target { state: Readiness::Terminated, ..started("ahead", HOUR as i64) };
    list.told(BEGUN + S, update(2, false, vec![gone]));
    let again = list.told(BEGUN + 9 * S, update(3, false, vec![started("ahead", HOUR as i64)]));
    assert_eq!(again, [(server_id("ahead"), BEGUN)]);
}

#[test]
fn what_discovery_stamps_never_makes_a_number_overflow() {
    let mut list = list(0);
    list.set_current();
    for (rev, boot_ms) in [0.0, 1.0, -5.0, f64::MAX, f64::INFINITY, f64::NAN].into_iter().enumerate() {
        let target = Target { boot_ms, ..started("w", 0) };
        let told = list.told(BEGUN + S, update(rev as u64 + 1, false, vec![target]));
        assert!(told[0].1 <= BEGUN + S, "{boot_ms}: {told:?}");
    }
    // A stamp of the far future moves nobody else's age.
    let told = list.told(BEGUN + 9 * S, update(9, false, vec![started("x", 8 * S as i64)]));
    assert_eq!(told, [(server_id("x"), BEGUN + 8 * S)]);
}

#[test]
fn a_backend_that_was_put_back_is_cold_for_one_slow_start_whatever_was_done_to_the_clock() {
    let put_back = |stamp: UnixMicros| AdministrativeDrains {
        put_back: BTreeMap::from([("w".to_owned(), stamp)]),
        ..AdministrativeDrains::default()
    };
    for step in STEPS {
        // Put back a second before this process began, by a process whose clock was right.
        let mut list = list(step);
        let stamp = UnixMicros(DISCOVERY - S);
        list.set_drains(BEGUN, put_back(stamp));
        let target = Target { boot_ms: 0.0, ..started("w", 0) };
        let told = list.told(BEGUN + S, update(1, true, vec![target.clone()]));
        assert_eq!(told, [(server_id("w"), BEGUN)], "wall clock ahead by {step} us");
        // The file is read over and over: it is put back no later for that.
        list.set_drains(BEGUN + 2 * S, put_back(stamp));
        let told = list.told(BEGUN + 3 * S, update(2, false, vec![target.clone()]));
        assert_eq!(told, [(server_id("w"), BEGUN)]);
        // Put back once more: another stamp.
        list.set_drains(BEGUN + 9 * S, put_back(UnixMicros(DISCOVERY + 9 * S)));
        let told = list.told(BEGUN + 9 * S, update(3, false, vec![target]));
        assert_eq!(told, [(server_id("w"), BEGUN + 9 * S)]);
    }
    // Longer ago than any step and a slow start: warm.
    let mut list = list(0);
    let stamp = UnixMicros(DISCOVERY - MAX_WALL_CLOCK_STEP - SLOW_START);
    list.set_drains(BEGUN, put_back(stamp));
    let target = Target { boot_ms: 0.0, ..started("w", 0) };
    assert_eq!(list.told(BEGUN, update(1, true, vec![target])), [(server_id("w"), 0)]);
}
