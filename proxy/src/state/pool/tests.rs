//! Tests of connection pools and socket budgets.

use super::*;

const SECOND: Micros = 1_000_000;

#[test]
fn take_returns_the_most_recently_used_connection_and_old_ones_are_dropped() {
    let mut pools = Pools::new(30 * SECOND);
    let generation = pools.generation(1);
    for (now, c) in [(0, 'a'), (SECOND, 'b'), (2 * SECOND, 'c')] {
        pools.put(now, 1, generation, (c, ReplyOrder::Certain));
    }
    assert_eq!(pools.take(3 * SECOND, 1, Requirement::Any), Some((2 * SECOND + REUSE_DELAY, 'c')));
    assert_eq!(pools.take(3 * SECOND, 2, Requirement::Any), None);
    pools.sweep(27 * SECOND, |_| true);
    assert_eq!(pools.idle(1), 1, "dropped a tenth of the time before the server closes it");
    assert_eq!(pools.take(28 * SECOND, 1, Requirement::Any), None, "too old, although not swept yet");
    pools.put(40 * SECOND, 1, generation, ('d', ReplyOrder::Certain));
    pools.sweep(40 * SECOND, |&c| c != 'd');
    assert_eq!(pools.idle(1), 0, "closed by the server");
}

#[test]
fn connections_of_an_ended_generation_are_not_pooled() {
    let mut pools = Pools::new(30 * SECOND);
    let generation = pools.generation(1);
    pools.put(0, 1, generation, ('a', ReplyOrder::Certain));
    pools.drop_server(1);
    pools.put(0, 1, generation, ('b', ReplyOrder::Certain));
    assert_eq!(pools.take(0, 1, Requirement::Any), None);
    assert_ne!(pools.generation(1), generation);
    pools.put(0, 1, generation, ('c', ReplyOrder::Certain));
    assert_eq!(pools.take(0, 1, Requirement::Any), None);
}

#[test]
fn idle_connections_and_budgets_are_limited() {
    let mut pools = Pools::new(30 * SECOND);
    let budget = Budget::new(MAX_IDLE_CONNECTIONS + 1);
    let generation = pools.generation(1);
    for now in 0..=MAX_IDLE_CONNECTIONS as u64 {
        pools.put(now, 1, generation, (budget.take(), ReplyOrder::Certain));
    }
    assert_eq!((pools.idle(1), budget.used()), (MAX_IDLE_CONNECTIONS, MAX_IDLE_CONNECTIONS));
    let _last = budget.take();
    assert!(budget.take().is_none());
    assert!(pools.evict() && budget.take().is_some());
    while pools.evict() {}
    assert_eq!(pools.idle(1), 0);
}

#[test]
fn connections_whose_reply_order_is_certain_are_taken_first() {
    let mut pools = Pools::new(30 * SECOND);
    let generation = pools.generation(1);
    let idle = [
        (0, 'a', ReplyOrder::Certain),
        (1, 'b', ReplyOrder::Doubtful),
        (2, 'c', ReplyOrder::Certain),
        (SECOND, 'd', ReplyOrder::Certain),
    ];
    for (now, connection, order) in idle {
        pools.put(now, 1, generation, (connection, order));
    }
    assert_eq!(pools.take(0, 2, Requirement::CertainOrder), None, "no connection");
    // The connection 'd' has only just become idle.
    let taken: Vec<char> =
        (0..4).filter_map(|_| pools.take(SECOND, 1, Requirement::Any)).map(|(_, c)| c).collect();
    assert_eq!(taken, ['c', 'a', 'b', 'd']);
    pools.put(2 * SECOND, 1, generation, ('e', ReplyOrder::Doubtful));
    assert_eq!(pools.take(3 * SECOND, 1, Requirement::CertainOrder), None, "a doubtful one");
    pools.put(4 * SECOND, 1, generation, ('f', ReplyOrder::Certain));
    let soon = 4 * SECOND + REUSE_DELAY;
    assert_eq!(pools.take(4 * SECOND, 1, Requirement::CertainOrder), Some((soon, 'f')));
}

#[test]
fn unused_connections_are_kept_apart_and_limited() {
    let mut pools = Pools::new(30 * SECOND);
    let generation = pools.generation(1);
    pools.put(0, 1, generation, ('a', ReplyOrder::Certain));
    assert_eq!(pools.take(SECOND, 1, Requirement::Unused), None, "a used connection");
    for name in ['u', 'v', 'w', 'x'] {
        assert!(pools.begin_unused(1));
        pools.put_unused(0, 1, generation, Some(name));
    }
    assert!(!pools.begin_unused(1), "the limit");
    assert_eq!(pools.take(SECOND, 1, Requirement::Unused), Some((SECOND, 'u')));
    pools.sweep(SECOND, |c| *c != 'v');
    assert_eq!(pools.take(SECOND, 1, Requirement::Unused), Some((SECOND, 'w')), "closed by the server");
    assert!(pools.evict() && pools.evict() && !pools.evict(), "used ones first, then unused ones");
    assert!(pools.begin_unused(1));
    pools.put_unused(0, 1, generation, None);
    assert!(pools.begin_unused(1));
    pools.put_unused(0, 1, generation, Some('y'));
    assert_eq!(pools.take(28 * SECOND, 1, Requirement::Unused), None, "too old");
    pools.drop_server(1);
    pools.put_unused(SECOND, 1, generation, Some('z'));
    pools.generation(1);
    assert_eq!(pools.take(SECOND, 1, Requirement::Unused), None, "of an ended generation");
}
