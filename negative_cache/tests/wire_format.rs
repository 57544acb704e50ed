//! Compatibility tests of wire format version 1: later builds must encode and decode the same bytes.

use notchdoor_negative_cache::{Lookup, LookupResult, NegativeCacheShard, Operation, Outcome};
use notchdoor_replication::wire::{encode, Decoder};
use notchdoor_replication::ReplicatedState;
use notchdoor_replication::{Message, Response};
use std::time::Duration;

/// Messages with their frames: length, format version, sender and message.
fn version_1_frames() -> Vec<(Message<NegativeCacheShard>, &'static str)> {
    let invalidate = Operation::Invalidate { key: b"ghost".to_vec() };
    let insert = Operation::Insert { key: b"ghost".to_vec(), token: 3, at: 1_000 };
    let tombstone = Operation::Tombstone { key: b"k".to_vec(), until: 2_000 };
    vec![
        (
            Message::Digest { shard: 5, epoch: 2, round: 1, seq: 300, digest: 7 },
            "0000000a01bc1500050201ac0207",
        ),
        (Message::SnapshotRequest { shard: 5, epoch: 2, round: 1 }, "0000000701bc1501050201"),
        (
            Message::Snapshot { shard: 5, epoch: 2, round: 2, seq: 0, content: NegativeCacheShard::default() },
            "0000000d01bc1502050202000000000000",
        ),
        (
            Message::Append { shard: 5, epoch: 2, round: 2, seq: 301, operation: invalidate },
            "0000001001bc1503050202ad02010567686f7374",
        ),
        (Message::Ack { shard: 5, epoch: 2, round: 2, seq: 301 }, "0000000901bc1504050202ad02"),
        (Message::Execute { request: 9, shard: 5, operation: insert }, "0000001001bc15050905000567686f737403e807"),
        (Message::Execute { request: 10, shard: 5, operation: tombstone }, "0000000b01bc15050a0502016bd00f"),
        (
            Message::Query { request: 11, shard: 5, query: Lookup { key: b"ghost".to_vec() } },
            "0000000c01bc15060b050567686f7374",
        ),
        (Message::Response { request: 9, response: Response::Committed(Outcome::Inserted) }, "0000000701bc1507090000"),
        (
            Message::Response { request: 11, response: Response::QueryResult(LookupResult::Unknown { token: 3 }) },
            "0000000801bc15070b010103",
        ),
        (Message::Response { request: 10, response: Response::Rejected { retry_after_ms: 100 } }, "0000000701bc15070a0264"),
        (Message::Response { request: 12, response: Response::Unknown }, "0000000601bc15070c03"),
        (
            Message::Snapshot { shard: 5, epoch: 2, round: 2, seq: 4, content: shard_with_entry_and_tombstone() },
            "0000003f01bc15020502020402010567686f756cfbd095ffbc31020567686f737480d095ffbc310567686f756cfbd095ffbc3101077772697474656eb0ba97ffbc3100",
        ),
        (
            Message::Append { shard: 5, epoch: 2, round: 2, seq: 302, operation: insert_with_wall_clock_time() },
            "0000001701bc1503050202ae02000567686f756c02fbd095ffbc31",
        ),
        (
            Message::Append {
                shard: 5,
                epoch: 2,
                round: 2,
                seq: 303,
                operation: Operation::Tombstone { key: b"written".to_vec(), until: 1_700_000_030_000 },
            },
            "0000001801bc1503050202af0202077772697474656eb0ba97ffbc31",
        ),
        (Message::Response { request: 9, response: Response::Committed(Outcome::Stale) }, "0000000701bc1507090001"),
        (Message::Response { request: 9, response: Response::Committed(Outcome::Invalidated) }, "0000000701bc1507090002"),
        // Newer entries carry their lookup duration instead of a wall clock time, and a key with a tombstone
        // gets the invalid token.
        (Message::Execute { request: 9, shard: 5, operation: insert_with_lookup_duration() }, "0000001801bc15050905000567686f737403a8808480808080808001"),
        (Message::Response { request: 11, response: Response::QueryResult(LookupResult::Unknown { token: u64::MAX }) }, "0000001101bc15070b0101ffffffffffffffffff01"),
        (Message::Response { request: 11, response: Response::QueryResult(LookupResult::KnownMissing) }, "0000000701bc15070b0100"),
    ]
}

/// An insert with wall clock times, as older builds send it.
fn insert_with_wall_clock_time() -> Operation {
    Operation::Insert { key: b"ghoul".to_vec(), token: 2, at: 1_700_000_000_123 }
}

/// An insert with a lookup duration, as current builds send it.
fn insert_with_lookup_duration() -> Operation {
    Operation::insert(b"ghost".to_vec(), 3, Duration::from_millis(40), 1)
}

/// A shard with one entry, one invalidated entry and one tombstone.
fn shard_with_entry_and_tombstone() -> NegativeCacheShard {
    let mut state = NegativeCacheShard::default();
    let insert = Operation::Insert { key: b"ghost".to_vec(), token: 0, at: 1_700_000_000_000 };
    let tombstone = Operation::Tombstone { key: b"written".to_vec(), until: 1_700_000_030_000 };
    for operation in
        [insert, Operation::Invalidate { key: b"ghost".to_vec() }, tombstone, insert_with_wall_clock_time()]
    {
        state.apply(&operation);
    }
    state
}

/// A state with a shard-wide tombstone: token, entries, insertion order, key tombstones, and end of the shard
/// tombstone.
const SHARD_TOMBSTONE_STATE: &str = "0301016bd20901016bd20900d00f";

#[test]
fn stored_state_with_shard_tombstone_round_trips_and_rejects_inserts() {
    let bytes: Vec<u8> = (0..SHARD_TOMBSTONE_STATE.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&SHARD_TOMBSTONE_STATE[at..at + 2], 16).unwrap())
        .collect();
    let state: NegativeCacheShard = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(hex(&postcard::to_stdvec(&state).unwrap()), SHARD_TOMBSTONE_STATE);
    let insert_at = |at| {
        let mut state = state.clone();
        state.apply(&Operation::Insert { key: b"other".to_vec(), token: 3, at })
    };
    assert_eq!((insert_at(1_999), insert_at(2_000)), (Outcome::Stale, Outcome::Inserted));
    assert_eq!(state.len(), 1);
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn version_1_frames_encode_and_decode_unchanged() {
    for (message, bytes) in version_1_frames() {
        let mut encoded = Vec::new();
        assert!(encode(0xabc, &message, &mut encoded));
        assert_eq!(hex(&encoded), bytes, "{message:?}");
        let mut decoder = Decoder::default();
        decoder.push_bytes(&encoded);
        assert_eq!(decoder.next_message::<NegativeCacheShard>().unwrap(), Some((0xabc, message)));
        // Frames of another version are rejected.
        encoded[4] = 2;
        let mut decoder = Decoder::default();
        decoder.push_bytes(&encoded);
        let error = decoder.next_message::<NegativeCacheShard>().unwrap_err().to_string();
        assert!(error.contains("unsupported wire format version 2 (expected 1)"), "{error}");
    }
}
