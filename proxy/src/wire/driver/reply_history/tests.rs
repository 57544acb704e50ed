use super::*;

fn reply(digest: u64) -> Fingerprint {
    Fingerprint { digest, prefix: None, reply_in_value: None, reply_elsewhere: false }
}

#[test]
fn equal_replies_are_recognized_until_the_history_is_full() {
    let mut history = ReplyHistory::default();
    for digest in 0..MAX_REPLIES as u64 {
        assert!(!history.is_full());
        let expected = if digest == 0 { Comparison::First } else { Comparison::Different };
        assert_eq!(history.record(&reply(digest)), expected, "{digest}");
        assert_eq!(history.record(&reply(0)), Comparison::Equal, "{digest}");
    }
    assert!(history.is_full());
}

#[test]
fn reply_that_may_contain_a_copy_is_recognized_unless_it_is_the_first() {
    let elsewhere = Fingerprint { reply_elsewhere: true, ..reply(1) };
    let mut history = ReplyHistory::default();
    assert_eq!(history.record(&elsewhere), Comparison::First);
    assert_eq!(history.record(&Fingerprint { digest: 2, ..elsewhere }), Comparison::MayContainCopy);
    // Without an earlier value there is none that could have been cut off.
    let in_value = Fingerprint { reply_in_value: Some(0), prefix: Some(ValuePrefix::default()), ..reply(3) };
    assert_eq!(history.record(&in_value), Comparison::Different);
    assert_eq!(history.record(&Fingerprint { digest: 4, ..in_value }), Comparison::MayContainCopy);
}
