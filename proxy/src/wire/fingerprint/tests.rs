use super::*;

/// Bytes at the beginning and at the end of a reply within which it is cut at every byte.
const CUT_RANGE: usize = 600;

/// Cuts a copy of each reply before each other one, and checks that whatever both are read as, together, is recognized by its
/// fingerprint. Returns how often they were read as one.
pub(in crate::wire) fn check_cut_copies(
    replies: &[Vec<u8>],
    decode: impl Fn(&[u8], &[u8]) -> Option<Fingerprint>,
) -> usize {
    let mut read_as_one = 0;
    for first in replies {
        for second in replies {
            let near_the_end = first.len().saturating_sub(CUT_RANGE);
            for cut in (1..CUT_RANGE.min(first.len())).chain(near_the_end.max(1)..first.len()) {
                let Some(fingerprint) = decode(&first[..cut], second) else { continue };
                read_as_one += 1;
                let recognized = fingerprint.reply_elsewhere || fingerprint.reply_in_value.is_some();
                let start =
                    |bytes: &[u8]| String::from_utf8_lossy(&bytes[..bytes.len().min(120)]).into_owned();
                assert!(recognized, "{:?} cut at {cut}, before {:?}", start(first), start(second));
            }
        }
    }
    read_as_one
}

fn fingerprint(parts: &[&[u8]]) -> Fingerprint {
    let mut fingerprinter = Fingerprinter::new(HTTP_REPLY_STARTS);
    for part in parts {
        fingerprinter.push_value(part);
    }
    fingerprinter.finish()
}

#[test]
fn fingerprint_of_a_value_does_not_depend_on_how_it_is_split() {
    let values: [(&[u8], Option<usize>); 6] = [
        (b"", None),
        (b"value without another reply", None),
        (b"HTTP/1.1 200 OK", Some(0)),
        (b"value of HTTP/1.1 200 OK", Some(9)),
        (b"HTTP, HTTP/2 and then HTTP/1.", Some(22)),
        (b"value that ends in HTT", Some(19)),
    ];
    for (value, expected) in values {
        let whole = fingerprint(&[value]);
        assert_eq!(whole.reply_in_value, expected, "{value:?}");
        for at in 0..value.len() {
            assert_eq!(fingerprint(&[&value[..at], &value[at..]]), whole, "{value:?} split at {at}");
        }
        let bytes: Vec<&[u8]> = value.chunks(1).collect();
        if !bytes.is_empty() {
            assert_eq!(fingerprint(&bytes), whole, "{value:?} byte by byte");
        }
    }
}

#[test]
fn different_values_and_kinds_have_different_digests() {
    let mut other = Fingerprinter::new(HTTP_REPLY_STARTS);
    other.push_kind(404);
    other.push_value(b"value");
    let digests = [fingerprint(&[b"value"]).digest, fingerprint(&[b"valuf"]).digest, other.finish().digest];
    assert!(digests[0] != digests[1] && digests[0] != digests[2]);
}

#[test]
fn prefixes_are_compared_up_to_the_length_that_both_have() {
    let prefix = |value: &[u8]| fingerprint(&[value]).prefix.unwrap();
    let (long, same, short) = (prefix(b"0123456789"), prefix(b"01234567xy"), prefix(b"012"));
    assert!(long.may_share(&same, 100), "only the first bytes are kept");
    assert!(long.may_share(&short, 3) && short.may_share(&long, 0));
    assert!(!long.may_share(&short, 4), "the other value is shorter");
    assert!(!long.may_share(&prefix(b"0x23456789"), 2));
}

#[test]
fn starts_of_replies_are_found_in_texts() {
    let found: [&[u8]; 6] = [b"rate=1*3\r\n", b"failed-BUSY", b"-ERR", b"hi*3", b"miss-", b"5-B"];
    for text in found {
        assert!(RESP_REPLY_STARTS.may_begin_in(text), "{text:?}");
    }
    let absent: [&[u8]; 5] = [b"", b"hit", b"rate=-1,fail_rate=1e-3", b"a*3b", b"BUSY 5"];
    for text in absent {
        assert!(!RESP_REPLY_STARTS.may_begin_in(text), "{text:?}");
    }
}

#[test]
fn start_of_a_large_value_is_known_once_a_reply_within_it_would_be_recognized() {
    let start_of = |value: &[u8]| {
        let mut fingerprinter = Fingerprinter::new(HTTP_REPLY_STARTS);
        fingerprinter.begin_large_value(100_000);
        for (n, byte) in value.iter().enumerate() {
            assert_eq!(fingerprinter.value_start().is_some(), n >= START_BYTES + MAX_OVERLAP, "{n}");
            fingerprinter.push_value(&[*byte]);
        }
        fingerprinter.value_start().expect("enough bytes")
    };
    let value = vec![b'v'; START_BYTES + MAX_OVERLAP];
    let with_reply_at = |at: usize| {
        let mut value = vec![b'v'; START_BYTES + 2 * MAX_OVERLAP];
        value[at..at + 7].copy_from_slice(b"HTTP/1.");
        start_of(&value)
    };
    assert!(!start_of(&value).contains_reply);
    assert!(with_reply_at(0).contains_reply && with_reply_at(START_BYTES - 1).contains_reply);
    assert!(!with_reply_at(START_BYTES).contains_reply);
    assert_eq!(with_reply_at(START_BYTES).digest, start_of(&value).digest);
    assert_ne!(with_reply_at(START_BYTES - 1).digest, start_of(&value).digest);
}
