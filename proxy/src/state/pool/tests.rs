//! Pools and budgets of connections.

use super::*;

const S: Micros = 1_000_000;

#[test]
fn the_most_recently_used_connection_is_reused_and_old_ones_retire() {
    let mut pools = Pools::new(30 * S);
    let generation = pools.generation(1);
    for (now, c) in [(0, 'a'), (S, 'b'), (2 * S, 'c')] {
        pools.put(now, 1, generation, c);
    }
    assert_eq!(pools.take(3 * S, 1), Some((2 * S + REUSE_DELAY, 'c')));
    assert_eq!(pools.take(3 * S, 2), None);
    pools.sweep(27 * S, |_| true);
    assert_eq!(pools.idle(1), 1, "retired a tenth before the backend closes it");
    assert_eq!(pools.take(28 * S, 1), None, "too old though no sweep came by");
    pools.put(40 * S, 1, generation, 'd');
    pools.sweep(40 * S, |&c| c != 'd');
    assert_eq!(pools.idle(1), 0, "closed by the backend");
}

#[test]
fn a_generation_that_is_over_does_not_come_back() {
    let mut pools = Pools::new(30 * S);
    let generation = pools.generation(1);
    pools.put(0, 1, generation, 'a');
    pools.drop_server(1);
    pools.put(0, 1, generation, 'b');
    assert_eq!(pools.take(0, 1), None);
    assert_ne!(pools.generation(1), generation);
    pools.put(0, 1, generation, 'c');
    assert_eq!(pools.take(0, 1), None);
}

#[test]
fn idle_connections_and_budgets_are_bounded() {
    let mut pools = Pools::new(30 * S);
    let budget = Budget::new(MAX_IDLE_CONNECTIONS + 1);
    let generation = pools.generation(1);
    for now in 0..=MAX_IDLE_CONNECTIONS as u64 {
        pools.put(now, 1, generation, budget.take());
    }
    assert_eq!((pools.idle(1), budget.used()), (MAX_IDLE_CONNECTIONS, MAX_IDLE_CONNECTIONS));
    let _last = budget.take();
    assert!(budget.take().is_none());
    assert!(pools.evict() && budget.take().is_some());
    while pools.evict() {}
    assert_eq!(pools.idle(1), 0);
}
