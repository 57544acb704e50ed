//! Disk faults of a member's store: failed writes and syncs, and power failures at every call. Acknowledged
//! data must survive, and every failure must be reported.

mod common;

use common::{acquire, at, founders, member, Group};
use notchdoor_coordination::lease::Outcome;
use notchdoor_coordination::log_storage::LogStorage;
use notchdoor_coordination::protocol::{Answer, Request};
use notchdoor_coordination::store::{DiskStore, Stage};
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, Storage};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

/// A modification of the file.
#[derive(Clone, Debug)]
enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    Length(usize),
}

impl Change {
    fn make(&self, file: &mut Vec<u8>) {
        match self {
            Change::Length(length) => file.resize(*length, 0),
            Change::Write { offset, bytes } => {
                let end = offset + bytes.len();
                if file.len() < end {
                    file.resize(end, 0);
                }
                file[*offset..end].copy_from_slice(bytes);
            }
        }
    }
}

/// Calls that fail: `count` calls, starting with number `first`.
#[derive(Clone, Copy, Debug)]
struct Fault {
    first: usize,
    count: usize,
    error: io::ErrorKind,
    /// Whether a failing write still writes its first half.
    torn: bool,
}

#[derive(Debug, Default)]
struct File {
    /// Contents as read by the process.
    current: Vec<u8>,
    /// Contents guaranteed to survive a power failure.
    durable: Vec<u8>,
    /// Modifications since the last sync. A power failure keeps any subset of them.
    unsynced: Vec<Change>,
    calls: usize,
    fault: Option<Fault>,
}

impl File {
    fn fails(&mut self) -> Option<Fault> {
        self.calls += 1;
        let call = self.calls;
        self.fault.filter(|f| call >= f.first && call - f.first < f.count)
    }

    fn change(&mut self, change: Change) {
        change.make(&mut self.current);
        self.unsynced.push(change);
    }

    /// Returns possible contents after a power failure, with none, all or some of the unsynced
    /// modifications.
    fn cuts(&self) -> Vec<Vec<u8>> {
        let last = self.unsynced.len().saturating_sub(1);
        let keeps: [&dyn Fn(usize) -> bool; 5] =
            [&|_| false, &|_| true, &|n| n % 2 == 0, &|n| n % 2 == 1, &|n| n != last];
        let image = |keep: &dyn Fn(usize) -> bool| {
            let mut file = self.durable.clone();
            self.unsynced.iter().enumerate().filter(|(n, _)| keep(*n)).for_each(|(_, c)| c.make(&mut file));
            file
        };
        keeps.map(image).to_vec()
    }
}

/// An in-memory disk. Clones share their contents.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<File>>);

impl Disk {
    fn of(image: Vec<u8>) -> Disk {
        let file = File { current: image.clone(), durable: image, ..File::default() };
        Disk(Arc::new(Mutex::new(file)))
    }

    fn file(&self) -> MutexGuard<'_, File> {
        self.0.lock().unwrap()
    }

    /// Makes `count` calls fail, the first of them `after` calls from now.
    fn fail(&self, after: usize, count: usize, error: io::ErrorKind, torn: bool) {
        let mut file = self.file();
        file.fault = Some(Fault { first: file.calls + after, count, error, torn });
    }

    fn open(&self) -> Result<(DiskStore, Stage), String> {
        DiskStore::open_backend(self.clone(), "disk", 1, 101).map_err(|e| e.to_string())
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.file().current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let file = self.file();
        let offset = offset as usize;
        let from = file.current.get(offset..offset + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(from);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut file = self.file();
        if let Some(fault) = file.fails() {
            return Err(fault.error.into());
        }
        file.change(Change::Length(len as usize));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut file = self.file();
        if let Some(fault) = file.fails() {
            // A failed sync marks the pages as clean, so that no later sync writes them.
            file.unsynced.clear();
            return Err(fault.error.into());
        }
        let unsynced = std::mem::take(&mut file.unsynced);
        unsynced.iter().for_each(|change| change.make(&mut file.durable));
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut file = self.file();
        let offset = offset as usize;
        if let Some(fault) = file.fails() {
            if fault.torn {
                let bytes = data[..data.len() / 2].to_vec();
                file.change(Change::Write { offset, bytes });
            }
            return Err(fault.error.into());
        }
        file.change(Change::Write { offset, bytes: data.to_vec() });
        Ok(())
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, data: vec![index as u8; 100].into(), ..Default::default() }
}

fn hard(term: u64, vote: u64, commit: u64) -> HardState {
    HardState { term, vote, commit, ..Default::default() }
}

type Step = fn(&DiskStore) -> raft::Result<()>;

/// Each kind of write that a member performs on its store.
const STEPS: [Step; 9] = [
    |s| s.keep(None, &[entry(1, 1), entry(2, 1)], Some(&hard(1, 1, 0))),
    |s| s.keep(None, &[entry(3, 1), entry(4, 1), entry(5, 1)], Some(&hard(1, 1, 2))),
    |s| s.keep(None, &[], Some(&hard(2, 3, 2))),
    |s| s.keep(None, &[entry(4, 2)], None),
    |s| s.set_conf_state_at(ConfState::from((vec![1, 2, 3], vec![4])), 2),
    |s| s.keep(None, &[entry(5, 2), entry(6, 2)], Some(&hard(2, 3, 5))),
    |s| s.compact(4, vec![7; 5_000]),
    |s| s.keep(None, &[entry(7, 2)], Some(&hard(2, 3, 6))),
    |s| {
        let mut snapshot = Snapshot { data: vec![9; 9_000].into(), ..Default::default() };
        snapshot.mut_metadata().index = 20;
        snapshot.mut_metadata().term = 3;
        snapshot.mut_metadata().set_conf_state(ConfState::from((vec![1, 2, 3, 4], vec![])));
        s.keep(Some(&snapshot), &[entry(21, 3)], Some(&hard(3, 0, 20)))
    },
];

/// Durable contents of a store: everything except the commit index, which a restarted member learns from the
/// leader.
#[derive(Clone, Debug, PartialEq)]
struct Held {
    vote: (u64, u64),
    conf: ConfState,
    entries: Vec<Entry>,
    snapshot: (u64, Vec<u8>),
}

fn held(store: &DiskStore) -> Held {
    let state = store.initial_state().unwrap();
    let snapshot = store.snapshot(0, 0).unwrap();
    // Without a stored snapshot, raft-rs returns an empty one.
    let index = if snapshot.get_data().is_empty() { 0 } else { snapshot.get_metadata().index };
    let (first, last) = (store.first_index().unwrap().max(index + 1), store.last_index().unwrap());
    let all = GetEntriesContext::empty(false);
    let entries = if first > last { Vec::new() } else { store.entries(first, last + 1, None, all).unwrap() };
    Held {
        vote: (state.hard_state.term, state.hard_state.vote),
        conf: state.conf_state,
        entries,
        snapshot: (index, snapshot.get_data().to_vec()),
    }
}

/// Creates a store on a disk without faults. Returns the disk contents before the steps and the store
/// contents after each step.
fn begun() -> (Vec<u8>, Vec<Held>) {
    let disk = Disk::default();
    let (store, stage) = disk.open().unwrap();
    assert_eq!(stage, Stage::New);
    store.begin(&founders(3)).unwrap();
    drop(store);
    let image = disk.file().durable.clone();
    let (store, _) = disk.open().unwrap();
    let mut reference = vec![held(&store)];
    for step in STEPS {
        step(&store).unwrap();
        reference.push(held(&store));
    }
    (image, reference)
}

fn reopened(image: Vec<u8>) -> Held {
    let (store, stage) = Disk::of(image).open().unwrap_or_else(|e| panic!("after a cut: {e}"));
    assert_eq!((stage, store.number()), (Stage::Member(founders(3)), 101));
    held(&store)
}

#[test]
fn failed_writes_and_syncs_are_reported_and_acknowledged_data_survives() {
    let (image, reference) = begun();
    let mut places = 0;
    for (error, count, torn) in [
        (io::ErrorKind::StorageFull, 1, false),
        (io::ErrorKind::StorageFull, 3, true),
        (io::ErrorKind::Other, 1, true),
        (io::ErrorKind::Other, usize::MAX, false),
    ] {
        for after in 1.. {
            let disk = Disk::of(image.clone());
            let (store, _) = disk.open().unwrap();
            disk.fail(after, count, error, torn);
            let mut results = STEPS.iter().map(|step| step(&store)).enumerate();
            let Some((failed, _)) = results.find(|(_, result)| result.is_err()) else {
                assert!(after > STEPS.len(), "every step must write at least once");
                break;
            };
            places += 1;
            // All later writes must fail too, even on a recovered disk, because the failed sync may have
            // lost pages.
            assert!(
                results.all(|(_, result)| result.is_err()),
                "call {after}: a step after the failed one was acknowledged"
            );
            // Reads must still work, as other members depend on them.
            assert_eq!(held(&store), reference[failed], "call {after}: reads after the failure");
            let cuts = disk.file().cuts();
            drop(store);
            let cuts = cuts.into_iter().chain(disk.file().cuts());
            for (kind, cut) in cuts.enumerate() {
                let found = reopened(cut);
                let whole = found == reference[failed] || found == reference[failed + 1];
                assert!(whole, "call {after}, cut {kind}: {found:?} after step {failed}");
            }
        }
    }
    assert!(places > 4 * STEPS.len(), "only {places} failing calls");
}

#[test]
fn acknowledged_data_survives_a_power_failure_at_any_call() {
    let (image, reference) = begun();
    let disk = Disk::of(image);
    let (store, _) = disk.open().unwrap();
    let mut calls = vec![disk.file().calls];
    for step in STEPS {
        step(&store).unwrap();
        calls.push(disk.file().calls);
    }
    // Repeat the steps, and fail every call after the first `after` ones.
    let (image, _) = begun();
    for after in 1..=calls[STEPS.len()] - calls[0] {
        let disk = Disk::of(image.clone());
        let (store, _) = disk.open().unwrap();
        disk.fail(after + 1, usize::MAX, io::ErrorKind::Other, false);
        let acknowledged = STEPS.iter().take_while(|step| step(&store).is_ok()).count();
        for cut in disk.file().cuts() {
            let found = reopened(cut);
            let next = reference.get(acknowledged + 1);
            assert!(found == reference[acknowledged] || Some(&found) == next, "call {after}: {found:?}");
        }
    }
}

#[test]
fn failure_while_opening_a_store_loses_no_data() {
    let (image, reference) = begun();
    let disk = Disk::of(image);
    let (store, _) = disk.open().unwrap();
    STEPS.iter().for_each(|step| step(&store).unwrap());
    // Use the contents after an unclean shutdown, so that opening the store writes repairs.
    let image = disk.file().cuts().swap_remove(0);
    for after in 1.. {
        let disk = Disk::of(image.clone());
        disk.fail(after, 2, io::ErrorKind::StorageFull, true);
        let opened = disk.open();
        for cut in disk.file().cuts() {
            assert_eq!(reopened(cut), reference[STEPS.len()], "call {after}");
        }
        if opened.is_ok() {
            assert!(after > 1, "opening the store must write");
            break;
        }
    }
}

#[test]
fn answered_grant_survives_every_disk_failure() {
    let granted = |answers: &[(u64, Answer)]| -> Vec<u64> {
        let token = |(_, answer): &(u64, Answer)| match answer {
            Answer::Done { outcome: Outcome::Granted { token, .. }, .. } => Some(*token),
            _ => None,
        };
        answers.iter().filter_map(token).collect()
    };
    for after in 1.. {
        let disk = Disk::default();
        let (store, _) = disk.open().unwrap();
        store.begin(&founders(1)).unwrap();
        let mut alone = member(1, 1, founders(1), store, 0);
        let (mut now, mut answers, mut failed) = (0, Vec::new(), false);
        disk.fail(after, 4, io::ErrorKind::StorageFull, false);
        for round in 0..300u64 {
            now += 10;
            let _ = alone.ask(round, acquire(&format!("task-{round}"), "p"));
            match alone.advance(now) {
                Ok(out) => answers.extend(out.answers),
                Err(_) => failed = true,
            }
            if failed {
                break;
            }
        }
        let promised = granted(&answers);
        for cut in disk.file().cuts() {
            let (store, _) = Disk::of(cut).open().unwrap();
            let mut again = member(1, 2, founders(1), store, now);
            for later in (now..now + 3_000).step_by(10) {
                again.advance(later).unwrap();
            }
            let tokens: Vec<u64> = again.table().grants().values().map(|g| g.token).collect();
            assert!(
                promised.iter().all(|token| tokens.contains(token)),
                "call {after}: {promised:?} {tokens:?}"
            );
        }
        // Stop once enough rounds succeeded to have covered each kind of call.
        if !failed || promised.len() > 40 {
            assert!(promised.len() > 40 && after > 100, "{} calls, {} grants", after, promised.len());
            break;
        }
    }
}

#[test]
fn member_has_the_group_configuration_after_a_power_failure_at_any_call() {
    let mut cut_at = 0;
    for after in 1.. {
        let disks: BTreeMap<u64, Disk> = (1..=4).map(|id| (id, Disk::default())).collect();
        let open = |id: u64| {
            let opened = DiskStore::open_backend(disks[&id].clone(), "disk", id, 100 + id);
            let (store, stage) = opened.unwrap_or_else(|e| panic!("member {id}: {e}"));
            if stage == Stage::New {
                store.begin(&founders(3)).unwrap();
            }
            store
        };
        let mut group = Group::of((1..=3).map(|id| member(id, 1, founders(3), open(id), 0)));
        let leader = group.leader();
        let victim = if leader == 1 { 2 } else { 1 };
        disks[&victim].fail(after, usize::MAX, io::ErrorKind::Other, false);
        let mut cut = None;
        let mut asked = 1_000;
        let mut added = false;
        for round in 0..12u64 {
            // One request per step, so that later entries carry a commit index.
            asked += 1;
            let one = group.members.get_mut(&leader).unwrap();
            let _ = one.ask(asked, acquire(&format!("task-{round}"), "p"));
            if round >= 2 && !added {
                added = one.ask(1_000_000 + round, Request::Add(at(4))).is_none();
            }
            let failed = group.step_with_failures();
            if failed.contains(&victim) {
                cut = Some(disks[&victim].file().cuts());
                break;
            }
        }
        let Some(cuts) = cut else {
            assert!(added, "the leader must accept the membership change");
            break;
        };
        cut_at = after;
        let files: BTreeMap<u64, Vec<u8>> =
            disks.iter().map(|(id, disk)| (*id, disk.file().current.clone())).collect();
        let (now, wire) = (group.now, group.wire.clone());
        drop(group);
        for image in cuts.into_iter().skip(after % 2).take(1) {
            let disk = |id: &u64| if *id == victim { image.clone() } else { files[id].clone() };
            let members = [1, 2, 3].map(|id| {
                let opened = DiskStore::open_backend(Disk::of(disk(&id)), "disk", id, 100 + id);
                member(id, 2, founders(3), opened.unwrap().0, now)
            });
            let mut group = Group::of(members);
            (group.now, group.wire) = (now, wire.clone());
            group.leader();
            assert!(matches!(group.acquire("last", "p"), Outcome::Granted { .. }));
            (0..100).for_each(|_| group.step());
            for (id, one) in &group.members {
                let conf = one.store().initial_state().unwrap().conf_state;
                let learners: Vec<u64> =
                    one.book().members().values().filter(|m| !m.voter).map(|m| m.at.id).collect();
                assert_eq!(conf.learners, learners, "member {id}, cut at call {after} of member {victim}");
                assert!(one.table().grants().contains_key("last"));
            }
        }
    }
    assert!(cut_at > 30, "{cut_at} calls");
}

#[test]
fn partially_created_store_is_created_again() {
    let folder = std::env::temp_dir().join(format!("notchdoor-half-made-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("member.redb");
    let mut halves = 0;
    for after in 1.. {
        let disk = Disk::default();
        disk.fail(after, usize::MAX, io::ErrorKind::Other, true);
        if disk.open().is_ok() {
            break;
        }
        halves += 1;
        for half in disk.file().cuts() {
            std::fs::write(file.with_extension("redb.new"), half).unwrap();
            let (store, stage) = DiskStore::open(&file, 1, 101).unwrap();
            assert_eq!((stage, store.number()), (Stage::New, 101), "call {after}");
            drop(store);
            std::fs::remove_file(&file).unwrap();
        }
    }
    assert!(halves > 3, "{halves}");
    std::fs::remove_dir_all(&folder).unwrap();
}
