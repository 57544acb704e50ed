use super::*;

#[test]
fn replies_are_told_apart_however_they_are_split() {
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
    for &(bytes, ending, value, reusable) in cases {
        for at in 0..bytes.len() {
            let mut decoder = Decoder::default();
            assert_eq!(decoder.feed(&bytes[..at]), [], "{bytes:?} split at {at}");
            let value = value.map(<[u8]>::to_vec);
            let expected = Reply { ending, value, reusable };
            assert_eq!(decoder.feed(&bytes[at..]), [Piece::Over(expected)], "{bytes:?} split at {at}");
        }
    }
    let over = |bytes: &[u8]| match Decoder::default().feed(bytes).pop() {
        Some(Piece::Over(reply)) => Some((reply.ending, reply.reusable)),
        _ => None,
    };
    assert_eq!(over(b"*3\r\n$3000000000\r\n"), Some((AttemptOutcome::Garbled, false)));
    assert_eq!(over(b"HTTP"), Some((AttemptOutcome::Garbled, false)));
    let behind = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n+late\r\n";
    assert_eq!(over(behind), Some((AttemptOutcome::Served, false)));
}

/// Decodes a reply with a large value that is fed in parts ending at `ends`. Returns the streamed bytes, and the outcome
/// and `reusable` if the reply is complete.
fn passed(bytes: &[u8], ends: &[usize]) -> (Vec<u8>, Option<(AttemptOutcome, bool)>) {
    let (mut decoder, mut data, mut over, mut at) = (Decoder::default(), Vec::new(), None, 0);
    for &end in ends.iter().chain([&bytes.len()]) {
        for piece in decoder.feed(&bytes[at..end]) {
            match piece {
                Piece::Begun(length) => assert_eq!(length, MAX_VALUE + 9),
                Piece::Data(piece) => data.extend(piece),
                Piece::Over(reply) => over = Some((reply.ending, reply.reusable)),
            }
        }
        assert!(decoder.reader.pending() < 64, "a large value must not be buffered");
        at = end;
    }
    (data, over)
}

#[test]
fn a_large_value_is_passed_on_as_it_comes_and_is_over_only_if_all_makes_sense() {
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
    for (tail, over) in tails {
        let bytes = reply(tail);
        assert_eq!(passed(&bytes, &[]), (value.clone(), over), "{tail:?}");
        if tail.ends_with("late\r\n") {
            continue; // A complete reply ends the decoding, so later bytes cannot be fed separately.
        }
        let body = head.len() + value.len();
        for at in (0..head.len() + 3).chain(body - 3..bytes.len()) {
            // A malformed reply may be detected before all of it is fed.
            let (data, end) = passed(&bytes, &[at]);
            assert!(data == value && end == over, "{tail:?} split at {at}: {end:?}");
        }
    }
    let every: Vec<usize> = (1..reply(tails[0].0).len()).collect();
    assert_eq!(passed(&reply(tails[0].0), &every), (value, tails[0].1), "byte by byte");
}
