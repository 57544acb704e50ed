use super::*;

fn reply(digest: u64) -> Fingerprint {
    Fingerprint { digest, prefix: None, reply_in_value: None, reply_elsewhere: false, value_start: None }
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

#[test]
fn large_value_that_begins_like_an_earlier_one_of_its_length_may_be_a_copy() {
    let start = |length, digest, contains_reply| ValueStart { length, digest, contains_reply };
    let mut history = ReplyHistory::default();
    history.record(&Fingerprint { value_start: Some(start(100_000, 1, false)), ..reply(1) });
    assert!(history.may_be_copy(&start(100_000, 1, false)));
    assert!(history.may_be_copy(&start(100_000, 2, true)), "a part of it into which a reply ran");
    assert!(!history.may_be_copy(&start(100_000, 2, false)));
    assert!(!history.may_be_copy(&start(100_001, 1, true)), "a copy announces the same length");
}

#[test]
fn reply_within_a_large_value_is_no_copy_unless_the_value_begins_like_an_earlier_one() {
    let large = |digest, start_digest| Fingerprint {
        prefix: Some(ValuePrefix::default()),
        reply_in_value: Some(0),
        value_start: Some(ValueStart { length: 100_000, digest: start_digest, contains_reply: false }),
        ..reply(digest)
    };
    let mut history = ReplyHistory::default();
    assert_eq!(history.record(&large(1, 1)), Comparison::First);
    assert_eq!(history.record(&large(2, 2)), Comparison::Different);
    assert_eq!(history.record(&large(3, 1)), Comparison::MayContainCopy);
}
