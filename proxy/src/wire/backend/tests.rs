use super::*;
use crate::wire::fingerprint::tests::check_cut_copies;

#[test]
fn classifies_replies_split_at_any_byte() {
    type Case = (&'static [u8], AttemptOutcome, Option<&'static [u8]>, bool);
    let cases: &[Case] = &[
        (b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$6\r\nutil=1\r\n", AttemptOutcome::Served, Some(b"v"), true),
        (b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", AttemptOutcome::Served, Some(b""), true),
        (b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n", AttemptOutcome::Missed, None, true),
        (b"*3\r\n$-1\r\n$7\r\npending\r\n$-1\r\n", AttemptOutcome::Missed, None, true),
        (b"-ERR failed util=0.5\r\n", AttemptOutcome::Errored, None, true),
        (b"-SYNTAX\r\n", AttemptOutcome::Garbled, None, false),
        (b"$1\r\nv\r\n", AttemptOutcome::Garbled, None, false),
        (b"$-1\r\n", AttemptOutcome::Garbled, None, false),
        (b"*1\r\n$1\r\nv\r\n", AttemptOutcome::Garbled, None, false),
        (b"*3\r\n$1\r\nv\r\n$-1\r\n:7\r\n", AttemptOutcome::Served, Some(b"v"), true),
        (b"-BUSY\r\n", AttemptOutcome::Rejected, None, true),
        (b"-BUSY util=0.5\r\n", AttemptOutcome::Rejected, None, true),
        (b"-BUSYBODY\r\n", AttemptOutcome::Garbled, None, false),
        (b"*0\r\n", AttemptOutcome::Garbled, None, false),
        (b"*-1\r\n", AttemptOutcome::Garbled, None, false),
        (b"+OK\r\n", AttemptOutcome::Garbled, None, false),
        (b"*1\r\n*1\r\n$1\r\nv\r\n", AttemptOutcome::Garbled, None, false),
    ];
    for &(bytes, outcome, value, reusable) in cases {
        for at in 0..bytes.len() {
            let mut decoder = Decoder::default();
            assert_eq!(decoder.feed(&bytes[..at]), [], "{bytes:?} split at {at}");
            let value = value.map(<[u8]>::to_vec);
            let expected = Reply { outcome, value, reusable };
            assert_eq!(
                decoder.feed(&bytes[at..]),
                [ReplyPart::Complete(expected)],
                "{bytes:?} split at {at}"
            );
        }
    }
    let outcome_of = |bytes: &[u8]| match Decoder::default().feed(bytes).pop() {
        Some(ReplyPart::Complete(reply)) => Some((reply.outcome, reply.reusable)),
        _ => None,
    };
    assert_eq!(outcome_of(b"*3\r\n$3000000000\r\n"), Some((AttemptOutcome::Garbled, false)));
    assert_eq!(outcome_of(b"HTTP"), Some((AttemptOutcome::Garbled, false)));
    let with_surplus = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n+late\r\n";
    assert_eq!(outcome_of(with_surplus), Some((AttemptOutcome::Served, false)));
}

/// Decodes a reply with a large value that is fed in parts ending at `ends`. Returns the streamed bytes, and the
/// outcome and `reusable` if the reply is complete.
fn decode_large_reply(bytes: &[u8], ends: &[usize]) -> (Vec<u8>, Option<(AttemptOutcome, bool)>) {
    let (mut decoder, mut data, mut outcome, mut at) = (Decoder::default(), Vec::new(), None, 0);
    for &end in ends.iter().chain([&bytes.len()]) {
        for part in decoder.feed(&bytes[at..end]) {
            match part {
                ReplyPart::ValueStart(length) => assert_eq!(length, MAX_VALUE + 9),
                ReplyPart::ValueData(part) => data.extend(part),
                ReplyPart::Complete(reply) => outcome = Some((reply.outcome, reply.reusable)),
            }
        }
        assert!(decoder.reader.pending() < 64, "a large value must not be buffered");
        at = end;
    }
    (data, outcome)
}

#[test]
fn streams_a_large_value_and_completes_only_if_the_whole_reply_is_valid() {
    let value: Vec<u8> = (0..MAX_VALUE + 9).map(|n| n as u8).collect();
    let head = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    let reply = |tail: &str| [&head, value.as_slice(), tail.as_bytes()].concat();
    let tails = [
        ("\r\n$3\r\nhit\r\n$6\r\nutil=1\r\n", Some((AttemptOutcome::Served, true))),
        ("\r\n$-1\r\n:7\r\n", Some((AttemptOutcome::Served, true))),
        ("\r\n$3\r\nhit\r\n$-1\r\n+late\r\n", Some((AttemptOutcome::Served, false))),
        ("\r\n$3\r\nhi", None),
        ("xx$3\r\nhit\r\n$-1\r\n", Some((AttemptOutcome::Garbled, false))),
        ("\r\n:3\r\n$-1\r\n", Some((AttemptOutcome::Garbled, false))),
        ("\r\nnoise", Some((AttemptOutcome::Garbled, false))),
    ];
    for (tail, outcome) in tails {
        let bytes = reply(tail);
        assert_eq!(decode_large_reply(&bytes, &[]), (value.clone(), outcome), "{tail:?}");
        if tail.ends_with("late\r\n") {
            continue; // A complete reply ends the decoding, so later bytes cannot be fed separately.
        }
        let body = head.len() + value.len();
        for at in (0..head.len() + 3).chain(body - 3..bytes.len()) {
            // A malformed reply may be detected before all of it is fed.
            let (data, end) = decode_large_reply(&bytes, &[at]);
            assert!(data == value && end == outcome, "{tail:?} split at {at}: {end:?}");
        }
    }
    let every_byte: Vec<usize> = (1..reply(tails[0].0).len()).collect();
    assert_eq!(decode_large_reply(&reply(tails[0].0), &every_byte), (value, tails[0].1), "byte by byte");
}

fn fingerprint(bytes: &[u8], at: usize) -> Option<Fingerprint> {
    let mut decoder = Decoder::default();
    decoder.feed(&bytes[..at]);
    assert_eq!(decoder.fingerprint(), None, "an incomplete reply has a fingerprint");
    decoder.feed(&bytes[at..]);
    decoder.fingerprint()
}

#[test]
fn equal_replies_have_equal_fingerprints_however_they_are_split() {
    let large = |byte: &str| {
        let length = MAX_VALUE + 9;
        format!("*3\r\n${length}\r\n{}\r\n$3\r\nhit\r\n$-1\r\n", byte.repeat(length)).into_bytes()
    };
    let replies = [
        b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n".to_vec(),
        b"*3\r\n$1\r\nw\r\n$3\r\nhit\r\n$-1\r\n".to_vec(),
        b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n".to_vec(),
        b"*3\r\n$-1\r\n$4\r\nmiss\r\n$6\r\nutil=1\r\n".to_vec(),
        b"-BUSY\r\n".to_vec(),
        b"-ERR failed\r\n".to_vec(),
        large("v"),
        large("w"),
    ];
    let mut digests: Vec<_> = replies.iter().map(|reply| fingerprint(reply, 0).unwrap().digest).collect();
    for reply in &replies {
        let whole = fingerprint(reply, 0);
        assert!(whole.is_some_and(|whole| whole.reply_in_value.is_none() && !whole.reply_elsewhere));
        for at in [1, 4, reply.len() / 2, reply.len() - 1] {
            assert_eq!(fingerprint(reply, at), whole, "split at {at}");
        }
    }
    digests.sort_unstable();
    digests.dedup();
    assert_eq!(digests.len(), replies.len(), "different replies have equal digests");
    let mut garbled = Decoder::default();
    garbled.feed(b"+OK\r\n");
    assert_eq!(garbled.fingerprint(), None);
    // A copy may be sent with another load report than the first time.
    let with_report = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$6\r\nutil=1\r\n";
    assert_eq!(fingerprint(with_report, 0), fingerprint(&replies[0], 0), "the value alone is compared");
}

/// Every reply that the beginning of a copy and the reply behind it can be read as, together, is recognized.
#[test]
fn part_of_a_copy_and_the_reply_behind_it_are_recognized_as_one() {
    let value = |length: usize, byte: &str| {
        let report = "$20\r\nrate=12.5,busy=0.420\r\n";
        format!("*3\r\n${length}\r\n{}\r\n$3\r\nhit\r\n{report}", byte.repeat(length)).into_bytes()
    };
    let others = [
        b"*3\r\n$-1\r\n$4\r\nmiss\r\n$20\r\nrate=12.5,busy=0.420\r\n".to_vec(),
        b"-BUSY 5\r\n".to_vec(),
        b"-ERR failed\r\n".to_vec(),
    ];
    let lengths = [1, 7, 16, 64, 90, 120, 200, MAX_VALUE + 100];
    let replies: Vec<Vec<u8>> = lengths.iter().map(|&n| value(n, "v")).chain(others).collect();
    let read_as_one = check_cut_copies(&replies, |first, second| {
        let mut decoder = Decoder::default();
        decoder.feed(first);
        decoder.feed(second);
        decoder.fingerprint()
    });
    assert!(read_as_one > 100, "{read_as_one}");
}
