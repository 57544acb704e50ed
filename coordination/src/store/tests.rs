use super::*;
use crate::membership::MemberAddr;

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, data: vec![index as u8].into(), ..Default::default() }
}

#[test]
fn reopened_store_has_its_log_and_votes_and_refuses_another_member() {
    let dir = std::env::temp_dir().join(format!("notchdoor-store-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("member.redb");
    let at =
        |id: u64| MemberAddr { id, peer: ([127, 0, 0, 1], 1).into(), client: ([127, 0, 0, 1], 2).into() };
    let founders = Membership::founding([1, 2, 3].map(|id| (at(id), 100 + id)));
    {
        let (store, stage) = DiskStore::open(&file, 2, 102).unwrap();
        assert_eq!(stage, Stage::New);
        drop(store);
        // Reopened after a crash before startup was decided: the store number must not change.
        let (store, stage) = DiskStore::open(&file, 2, 999).unwrap();
        assert_eq!((stage, store.number()), (Stage::New, 102));
        store.begin(&founders).unwrap();
        let hard = HardState { term: 4, vote: 1, commit: 3, ..Default::default() };
        store.keep(None, &[entry(1, 1), entry(2, 1), entry(3, 4), entry(4, 4)], Some(&hard)).unwrap();
        // Entry 3 of term 5 replaces the uncommitted entries 3 and 4.
        store.keep(None, &[entry(3, 5)], None).unwrap();
        // A new commit index alone needs no fsync; a vote does.
        let syncs = store.syncs();
        let committed = HardState { commit: 2, ..hard.clone() };
        store.keep(None, &[], Some(&committed)).unwrap();
        assert_eq!(store.syncs(), syncs);
        store.keep(None, &[], Some(&HardState { vote: 3, ..committed })).unwrap();
        assert_eq!(store.syncs(), syncs + 1);
    }
    let (store, stage) = DiskStore::open(&file, 2, 999).unwrap();
    assert_eq!(stage, Stage::Member(founders.clone()));
    let state = store.initial_state().unwrap();
    assert_eq!((state.hard_state.term, state.hard_state.vote, state.hard_state.commit), (4, 3, 2));
    assert_eq!(state.conf_state.voters, vec![1, 2, 3]);
    assert_eq!((store.last_index().unwrap(), store.term(3).unwrap()), (3, 5));
    // Compaction keeps the snapshot data and the entries after it.
    store.keep(None, &[entry(4, 5), entry(5, 5)], None).unwrap();
    store.compact(4, b"table".to_vec()).unwrap();
    assert_eq!(store.entries_kept().unwrap(), 1);
    drop(store);
    let (store, _) = DiskStore::open(&file, 2, 999).unwrap();
    let snap = store.snapshot(4, 0).unwrap();
    assert_eq!((snap.get_metadata().index, snap.get_metadata().term, snap.get_data()), (4, 5, &b"table"[..]));
    assert_eq!((store.first_index().unwrap(), store.last_index().unwrap()), (5, 5));
    drop(store);
    let other = DiskStore::open(&file, 7, 999).err().expect("the store of another member must be refused");
    assert!(other.to_string().contains("store belongs to member 2, not to member 7"), "{other}");
    std::fs::remove_dir_all(&dir).unwrap();
}
