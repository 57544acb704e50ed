//! Tests of the timer queue.

use super::*;

#[test]
fn due_timers_are_popped_in_order_without_removed_ones() {
    let mut timers = Timers::default();
    for (due, token) in [(30, 1), (10, 2), (20, 3), (10, 4)] {
        assert!(timers.set(due, token).is_some());
    }
    let removed = timers.set(15, 5).unwrap();
    timers.remove(removed);
    assert_eq!((timers.next_due(), timers.pop(9)), (Some(10), None));
    let fired: Vec<u64> = std::iter::from_fn(|| timers.pop(25)).collect();
    assert_eq!(fired, [2, 4, 3]);
    assert_eq!(timers.next_due(), Some(30));
}
