use super::*;

#[test]
fn equal_replies_are_recognized_until_the_history_is_full() {
    let mut history = ReplyHistory::default();
    for digest in 0..MAX_REPLIES as u64 {
        assert!(!history.is_full() && history.insert(digest), "{digest}");
        assert!(!history.insert(0), "{digest}");
    }
    assert!(history.is_full());
}
