use super::*;

#[test]
fn equal_replies_are_recognized_until_the_history_is_full() {
    let mut history = ReplyHistory::default();
    for digest in 0..MAX_REPLIES as u64 {
        assert!(!history.is_full());
        let expected = if digest == 0 { Comparison::First } else { Comparison::Different };
        assert_eq!(history.record(digest), expected, "{digest}");
        assert_eq!(history.record(0), Comparison::Equal, "{digest}");
    }
    assert!(history.is_full());
}
