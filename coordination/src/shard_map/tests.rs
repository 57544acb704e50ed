use super::*;

const SHAPE: ShardMapParameters = ShardMapParameters { shards: 8, copies: 3, least: 2 };

fn at(id: NodeId, machine: &str, zone: &str) -> NodeInfo {
    let peer = ([127, 0, 0, 1], 9000 + id as u16).into();
    NodeInfo { id, name: format!("p{id}"), machine: machine.into(), zone: zone.into(), peer }
}

fn join(t: &mut ShardMap, id: NodeId, machine: &str, start: u64) -> ShardMapOutcome {
    t.apply(&ShardMapChange::Join { at: at(id, machine, "z"), start, shape: SHAPE })
}

/// Marks every joining replica as in sync.
fn settle(t: &mut ShardMap) {
    for n in 0..SHAPE.shards {
        while let Some(node) = t.shards()[n as usize].joining.first().copied() {
            let Shard { epoch, primary, .. } = t.shards()[n as usize].clone();
            let by = primary.unwrap();
            assert_eq!(t.apply(&ShardMapChange::Caught { shard: n, epoch, by, node }), ShardMapOutcome::Done);
        }
    }
}

fn four() -> ShardMap {
    let mut t = ShardMap::default();
    for (id, machine) in [(1, "a"), (2, "b"), (3, "c"), (4, "d")] {
        assert_eq!(join(&mut t, id, machine, 1), ShardMapOutcome::Done);
        settle(&mut t);
    }
    t
}

#[test]
fn replicas_are_on_different_machines_and_a_lost_node_changes_only_its_shards() {
    let mut t = four();
    // A second proxy on the same machine gets no replica of the same shard.
    join(&mut t, 5, "a", 1);
    settle(&mut t);
    for s in t.shards() {
        assert!(s.in_sync.len() == 3 && s.primary.is_some(), "{s:?}");
        assert!(!(s.in_sync.contains(&1) && s.in_sync.contains(&5)), "{s:?}");
    }
    let before = t.clone();
    let lost = t.shards().iter().filter(|s| s.in_sync.contains(&2)).count();
    assert!(lost > 0);
    assert_eq!(t.apply(&ShardMapChange::Down { id: 2, start: 1 }), ShardMapOutcome::Done);
    for (old, new) in before.shards().iter().zip(t.shards()) {
        if old.in_sync.contains(&2) {
            let left: BTreeSet<_> = old.in_sync.iter().copied().filter(|n| *n != 2).collect();
            assert!(new.epoch > old.epoch && new.in_sync == left && new.joining.len() == 1, "{new:?}");
            assert!(new.primary.is_some_and(|p| left.contains(&p)));
        } else {
            assert_eq!(old, new);
        }
    }
    // Marking the same start as down again has no effect.
    assert_eq!(t.apply(&ShardMapChange::Down { id: 2, start: 1 }), ShardMapOutcome::Stale);
}

#[test]
fn drop_with_an_old_epoch_or_below_the_minimum_in_sync_changes_nothing() {
    let mut t = four();
    let Shard { epoch, primary, in_sync, .. } = t.shards()[0].clone();
    let by = primary.unwrap();
    let others: Vec<_> = in_sync.iter().copied().filter(|n| *n != by).collect();
    let drop = |epoch, node| ShardMapChange::Drop { shard: 0, epoch, by, node };
    assert_eq!(t.apply(&drop(epoch - 1, others[0])), ShardMapOutcome::Stale);
    assert_eq!(
        t.apply(&ShardMapChange::Drop { shard: 0, epoch, by: others[0], node: by }),
        ShardMapOutcome::Stale
    );
    assert_eq!(t.apply(&drop(epoch, others[0])), ShardMapOutcome::Done);
    let (epoch, version) = (t.shards()[0].epoch, t.version());
    assert!(matches!(t.apply(&drop(epoch, others[1])), ShardMapOutcome::Refused(_)));
    assert_eq!(t.version(), version);
}

#[test]
fn emptied_disk_joins_as_a_new_node_and_a_restored_backup_is_refused() {
    let mut t = four();
    let was = t.shards().to_vec();
    // A node restarted with its disk stays in sync, with a new epoch where it is primary.
    assert_eq!(join(&mut t, 1, "a", 2), ShardMapOutcome::Done);
    for (old, new) in was.iter().zip(t.shards()) {
        assert_eq!(old.in_sync, new.in_sync);
        assert_eq!(new.epoch - old.epoch, u64::from(old.primary == Some(1)));
    }
    let restored = join(&mut t, 1, "a", 2 - 1);
    assert!(
        matches!(&restored, ShardMapOutcome::Refused(why) if why.contains("restored from a backup")),
        "{restored:?}"
    );
    // With an emptied disk, the node has a new id and stores no replica until it has caught up.
    assert_eq!(t.apply(&ShardMapChange::Down { id: 1, start: 2 }), ShardMapOutcome::Done);
    assert_eq!(join(&mut t, 9, "a", 1), ShardMapOutcome::Done);
    assert!(t.shards().iter().all(|s| !s.in_sync.contains(&9)));
}

#[test]
fn shard_without_available_replicas_waits_for_one_or_for_an_operator_reset() {
    let mut t = four();
    for id in 1..=4 {
        assert_eq!(t.apply(&ShardMapChange::Down { id, start: 1 }), ShardMapOutcome::Done);
    }
    assert!(t.shards().iter().all(|s| s.primary.is_none() && s.in_sync.len() >= SHAPE.least));
    // A new machine gets no replica, because there is no source to copy from.
    assert_eq!(join(&mut t, 7, "x", 1), ShardMapOutcome::Done);
    assert!(t.shards().iter().all(|s| s.primary.is_none() && s.joining.is_empty()));
    let kept = t.shards()[0].in_sync.clone();
    let first = *kept.first().unwrap();
    // A returning node that was in sync makes its shards available.
    assert_eq!(join(&mut t, first, "m", 2), ShardMapOutcome::Done);
    assert_eq!(t.shards()[0].primary, Some(first));
    let epoch = t.shards()[0].epoch;
    let gives_up = t.apply(&ShardMapChange::GiveUp { shard: 0, epoch });
    assert!(
        matches!(&gives_up, ShardMapOutcome::Refused(why) if why.contains("has an in-sync replica that is up")),
        "{gives_up:?}"
    );
    let lost = t.shards().iter().position(|s| s.primary.is_none());
    if let Some(lost) = lost {
        let epoch = t.shards()[lost].epoch;
        assert_eq!(t.apply(&ShardMapChange::GiveUp { shard: lost as u32, epoch }), ShardMapOutcome::Done);
        assert!(t.shards()[lost].primary.is_some() && t.shards()[lost].epoch > epoch);
    }
}

/// Guards against shards that keep more replicas than configured, once nodes have returned that were replaced.
#[test]
fn replicas_beyond_the_number_of_copies_are_named_one_by_one_and_never_the_primary() {
    let mut t = four();
    let on_four =
        |t: &ShardMap| (0..SHAPE.shards).find(|n| t.shards()[*n as usize].in_sync.len() > SHAPE.copies);
    assert_eq!((0..SHAPE.shards).find_map(|n| t.surplus_replica(n)), None);
    // One node is replaced; another is kept in the in-sync set while it is down, since too few would remain without it.
    t.apply(&ShardMapChange::Down { id: 1, start: 1 });
    t.apply(&ShardMapChange::Down { id: 2, start: 1 });
    join(&mut t, 1, "a", 2);
    join(&mut t, 2, "b", 2);
    settle(&mut t);
    let n = on_four(&t).expect("no shard has four replicas");
    while let Some(node) = t.surplus_replica(n) {
        let Shard { epoch, primary, .. } = t.shards()[n as usize].clone();
        assert_ne!(Some(node), primary);
        let by = primary.unwrap();
        assert_eq!(t.apply(&ShardMapChange::Drop { shard: n, epoch, by, node }), ShardMapOutcome::Done);
    }
    let shard = &t.shards()[n as usize];
    assert!(shard.in_sync.len() == SHAPE.copies && shard.joining.is_empty(), "{shard:?}");
}
