use super::*;

fn at(id: u64) -> MemberAddr {
    let port = 7000 + id as u16;
    MemberAddr { id, peer: ([127, 0, 0, 1], port).into(), client: ([127, 0, 0, 1], port + 100).into() }
}

#[test]
fn group_is_founded_by_all_members_and_an_emptied_disk_is_refused() {
    let new = |id| (id, Handshake::New { at: at(id), number: id * 10 });
    let mut heard = BTreeMap::from([new(2)]);
    assert_eq!(decide_start(at(1), 10, &[2, 3], &heard), StartDecision::Wait(vec![3]));
    heard.extend([new(3)]);
    let StartDecision::Go(book) = decide_start(at(1), 10, &[2, 3], &heard) else {
        panic!("all members are new")
    };
    assert_eq!(book, Membership::founding([(at(1), 10), (at(2), 20), (at(3), 30)]));
    // The third member starts late, with its own store, and finds a running group.
    let live = |book: &Membership| {
        BTreeMap::from([(1, Handshake::Live { founders: book.clone(), book: book.clone() })])
    };
    assert_eq!(decide_start(at(3), 30, &[1, 2], &live(&book)), StartDecision::Go(book.clone()));
    // With an emptied disk, it has another store number and is refused.
    let refused = decide_start(at(3), 31, &[1, 2], &live(&book));
    assert!(
        matches!(&refused, StartDecision::Refuse(why) if why.contains("enlisted with a different store")),
        "{refused:?}"
    );
    // Without any answer it has to wait.
    assert_eq!(decide_start(at(3), 31, &[1, 2], &BTreeMap::new()), StartDecision::Wait(vec![1, 2]));
    // An added member enlists. A removed member and one that was never added are refused.
    let founders = book.clone();
    let mut book = book;
    assert!(book.add(at(4)) && !book.add(at(2)));
    let of = |book: &Membership| {
        BTreeMap::from([(1, Handshake::Live { founders: founders.clone(), book: book.clone() })])
    };
    assert_eq!(decide_start(at(4), 40, &[1], &of(&book)), StartDecision::Enlist(founders.clone()));
    assert!(book.enlist(4, 40) && !book.enlist(4, 41));
    book.remove(4);
    assert!(
        matches!(decide_start(at(4), 40, &[1], &of(&book)), StartDecision::Refuse(why) if why.contains("was removed from this group"))
    );
    assert!(
        matches!(decide_start(at(5), 50, &[1], &of(&book)), StartDecision::Refuse(why) if why.contains("is not part of the group; add it first"))
    );
}
