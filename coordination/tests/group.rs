//! Groups of members in virtual time: restart, compaction, membership change and reads at a deposed leader.
//! Fault schedules are covered by `lab/tests/group.rs`.

mod common;

use common::{acquire, at, founders, member, Group, STEP};
use notchdoor_coordination::lease::{Command, Outcome};
use notchdoor_coordination::membership::{MemberAddr, Membership};
use notchdoor_coordination::protocol::{Answer, Request};
use notchdoor_coordination::store::{founding_conf, DiskStore, Stage};
use raft::storage::MemStorage;
use std::path::{Path, PathBuf};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("notchdoor-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn disk(folder: &Path, id: u64, founders: &Membership) -> DiskStore {
    let (store, stage) = DiskStore::open(&folder.join(format!("m{id}.redb")), id, 100 + id).unwrap();
    if stage == Stage::New {
        store.begin(founders).unwrap();
    }
    store
}

#[test]
fn restarted_member_has_its_grants_after_compaction() {
    let folder = Folder::new("compact");
    let mut group = Group::of([member(1, 1, founders(1), disk(&folder.0, 1, &founders(1)), 0)]);
    let Outcome::Granted { token, .. } = group.acquire("registry", "p1") else {
        panic!("the task must be free")
    };
    for _ in 0..1_200 {
        // A repeated acquire must keep the token.
        assert_eq!(group.acquire("registry", "p1"), Outcome::Granted { token, ttl_ms: 5_000 });
    }
    let now = group.now;
    drop(group);
    let store = disk(&folder.0, 1, &founders(1));
    assert!(store.entries_kept().unwrap() < 1_000, "the log was not compacted");
    let m = member(1, 2, founders(1), store, now);
    assert_eq!(m.table().grants()["registry"].token, token);
    assert_eq!(m.book(), &founders(1));
}

#[test]
fn entry_of_an_earlier_run_answers_no_request_of_this_run() {
    let book = founders(3);
    let led_again = (2..40).filter(|start| {
        let stores: Vec<_> = (0..3).map(|_| MemStorage::new_with_conf_state(founding_conf(&book))).collect();
        let members = (1..=3).map(|id| member(id, 1, book.clone(), stores[id as usize - 1].clone(), 0));
        let mut group = Group::of(members);
        let leader = group.leader();
        group.ask(Request::List { task: None });
        // The followers receive the entry, and the leader crashes before it receives their acknowledgements.
        assert_eq!(group.members.get_mut(&leader).unwrap().ask(1, acquire("warm", "a")), None);
        group.step();
        group.step();
        group.wire.clear();
        let store = stores[leader as usize - 1].clone();
        group.members.insert(leader, member(leader, *start, book.clone(), store, group.now));
        if group.leader() != leader {
            return false;
        }
        // The restarted leader receives a request of holder b with the number of a's old request.
        assert_eq!(group.members.get_mut(&leader).unwrap().ask(1, acquire("warm", "b")), None);
        group.answers.clear();
        (0..50).for_each(|_| group.step());
        let told: Vec<_> = group.answers.iter().filter(|(n, _)| *n == 1).collect();
        let refused = matches!(told[..], [(_, Answer::Done { outcome: Outcome::Refused(_), .. })]);
        assert!(refused, "the request of b must be refused, because a holds the lease: {told:?}");
        true
    });
    assert!(led_again.count() > 3, "too few runs in which the same member was elected again");
}

#[test]
fn added_member_votes_once_caught_up_and_a_leader_can_be_removed() {
    let folder = Folder::new("change");
    let book = founders(3);
    let mut group = Group::of((1..=3).map(|id| member(id, 1, book.clone(), disk(&folder.0, id, &book), 0)));
    let Outcome::Granted { token, .. } = group.acquire("warm", "a") else { panic!("the task must be free") };
    // Compact the log first, so that the new member receives a snapshot.
    for _ in 0..1_100 {
        group.acquire("warm", "a");
    }
    assert_eq!(group.ask(Request::Add(at(4))), Answer::Changed);
    assert!(
        matches!(group.ask(Request::Add(at(2))), Answer::Changed),
        "adding the same member again must succeed"
    );
    let moved = MemberAddr { id: 2, ..at(9) };
    assert!(matches!(group.ask(Request::Add(moved)), Answer::Refused(why) if why.contains("above 4")));
    group.members.insert(4, member(4, 1, book.clone(), disk(&folder.0, 4, &book), group.now));
    for _ in 0..200 {
        group.step();
    }
    let votes = |group: &Group<DiskStore>, id: u64| {
        let members = group.members[&id].book().members();
        members.get(&4).map(|m| m.voter)
    };
    assert_eq!(votes(&group, 1), Some(false), "a learner must not vote before its store is enlisted");
    assert_eq!(group.ask(Request::Enlist { id: 4, number: 104 }), Answer::Enlisted(true));
    assert_eq!(group.ask(Request::Enlist { id: 4, number: 999 }), Answer::Enlisted(false));
    for _ in 0..200 {
        group.step();
    }
    assert_eq!((votes(&group, 1), votes(&group, 4)), (Some(true), Some(true)));
    assert_eq!(group.members[&4].table().grants()["warm"].token, token);
    // Remove the leader, which has to transfer its leadership first.
    let leader = group.leader();
    assert_eq!(group.ask(Request::Remove { id: leader }), Answer::Changed);
    group.members.remove(&leader);
    assert_ne!(group.leader(), leader);
    let held = group.ask(acquire("warm", "b"));
    assert!(
        matches!(held, Answer::Held { .. }),
        "the grant of a must survive the membership change: {held:?}"
    );
    // Three voters remain, so the group tolerates the loss of one.
    let leader = group.leader();
    group.members.remove(&leader);
    assert_ne!(group.leader(), leader);
    assert!(matches!(group.acquire("probe", "b"), Outcome::Granted { .. }));
}

#[test]
fn isolated_leader_answers_no_reads_and_clients_cannot_expire_grants() {
    let book = founders(3);
    let stores = (1..=3).map(|id| (id, MemStorage::new_with_conf_state(founding_conf(&book))));
    let mut group = Group::of(stores.map(|(id, store)| member(id, 1, book.clone(), store, 0)));
    assert!(matches!(group.acquire("warm", "a"), Outcome::Granted { .. }));
    let Answer::Listing(told) = group.ask(Request::List { task: None }) else { panic!("a listing") };
    assert_eq!((told.len(), told[0].grant.holder.as_str()), (1, "a"));
    let expire =
        Request::Lease(Command::Expire { task: "warm".into(), token: told[0].grant.token, as_of: 0 });
    assert!(matches!(group.ask(expire), Answer::Refused(_)));
    let leader = group.leader();
    let mut alone = group.members.remove(&leader).unwrap();
    assert_eq!(
        alone.ask(900, Request::List { task: None }),
        None,
        "the isolated member still considers itself the leader"
    );
    let mut answers = Vec::new();
    for now in (group.now..group.now + 3_000).step_by(STEP as usize) {
        answers.extend(alone.advance(now).unwrap().answers);
    }
    assert!(matches!(answers[..], [(900, Answer::Later { .. })]), "{answers:?}");
    assert!(!alone.leads(), "a leader without a majority must step down");
}
