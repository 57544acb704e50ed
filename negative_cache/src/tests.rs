//! Unit tests of a shard's state and expiry times.

use super::*;

/// A state with its expiry times, as one replica has them.
#[derive(Default)]
struct Replica {
    state: NegativeCacheShard,
    times: LocalTimes,
}

impl Replica {
    fn apply(&mut self, operation: &Operation, now: Millis) -> Outcome {
        let outcome = self.state.apply(operation);
        self.state.record_applied(&mut self.times, operation, &outcome, now);
        outcome
    }
}

fn insert_operation(key: &[u8], token: u64, at: Millis) -> Operation {
    Operation::Insert { key: key.to_vec(), token, at }
}

fn query(replica: &Replica, key: &[u8], now: Millis) -> LookupResult {
    replica.state.query(&replica.times, &Lookup { key: key.to_vec() }, now)
}

#[test]
fn insert_with_token_from_before_invalidation_or_tombstone_is_stale() {
    let mut replica = Replica::default();
    let LookupResult::Unknown { token } = query(&replica, b"k", 1_000) else {
        panic!("expected no entry in an empty shard")
    };
    assert_eq!(replica.apply(&insert_operation(b"k", token, 1_000), 1_000), Outcome::Inserted);
    assert_eq!(
        (query(&replica, b"k", 1_001), query(&replica, b"k", 1_000 + ENTRY_TTL_MS)),
        (LookupResult::KnownMissing, LookupResult::Unknown { token })
    );
    assert_eq!(replica.apply(&Operation::Invalidate { key: b"k".to_vec() }, 1_001), Outcome::Invalidated);
    assert_eq!(replica.apply(&insert_operation(b"k", token, 1_000), 1_000), Outcome::Stale);
    assert_eq!(query(&replica, b"k", 1_002), LookupResult::Unknown { token: token + 1 });
    // A tombstone of an older version rejects inserts with a wall clock time before its `until`.
    replica.apply(&Operation::Tombstone { key: b"k".to_vec(), until: 5_000 }, 1_003);
    assert_eq!(replica.apply(&insert_operation(b"k", token + 2, 4_999), 4_999), Outcome::Stale);
    assert_eq!(replica.apply(&insert_operation(b"other", token + 2, 4_999), 4_999), Outcome::Inserted);
    assert_eq!(replica.apply(&insert_operation(b"k", token + 2, 5_000), 5_000), Outcome::Inserted);
}

#[test]
fn entries_order_and_tombstones_stay_within_their_limits() {
    let mut replica = Replica::default();
    for n in 0..3 * MAX_ENTRIES as u64 {
        replica.apply(&insert_operation(&n.to_be_bytes(), 0, n), n);
    }
    assert_eq!((replica.state.len(), replica.state.order.len() <= 2 * MAX_ENTRIES), (MAX_ENTRIES, true));
    let last = 3 * MAX_ENTRIES as u64 - 1;
    assert_eq!(query(&replica, &last.to_be_bytes(), last), LookupResult::KnownMissing);
    // Inserting the same key repeatedly leaves one entry, which its own earlier insertions do not evict.
    for n in 0..3 * MAX_ENTRIES as u64 {
        replica.apply(&insert_operation(b"k", 0, last + n), last + n);
    }
    assert!(
        replica.state.order.len() <= 2 * MAX_ENTRIES
            && query(&replica, b"k", last + 3 * MAX_ENTRIES as u64) == LookupResult::KnownMissing
    );
    assert_eq!(replica.apply(&insert_operation(&[0; MAX_KEY_LEN + 1], 0, last), last), Outcome::Stale);
    for n in 0..=MAX_TOMBSTONES as u64 {
        replica.apply(&Operation::Tombstone { key: n.to_be_bytes().to_vec(), until: 9_000_000 + n }, 50_000);
    }
    assert!(
        replica.state.tombstones.len() <= MAX_TOMBSTONES
            && replica.times.tombstone_expiry.len() <= MAX_TOMBSTONES
    );
    assert!(replica.times.entry_expiry.len() <= 2 * MAX_ENTRIES);
    // Beyond the limit the tombstone covers every key, including keys with an earlier tombstone.
    let token = replica.state.token;
    assert_eq!(
        replica.apply(&insert_operation(&0u64.to_be_bytes(), token, 9_000_000), 50_000),
        Outcome::Stale
    );
    let result = query(&replica, b"x", 50_000 + TOMBSTONE_TTL_MS - 1);
    assert_eq!(result, LookupResult::Unknown { token: INVALID_TOKEN });
    assert_eq!(query(&replica, b"x", 50_000 + TOMBSTONE_TTL_MS), LookupResult::Unknown { token });
}

#[test]
fn entry_ttl_counts_from_the_start_of_its_lookup() {
    let mut replica = Replica::default();
    replica.apply(&Operation::insert(b"k".to_vec(), 0, Duration::from_millis(400), 7), 1_000);
    let expiry = 1_000 + ENTRY_TTL_MS - 400;
    assert_eq!(
        (query(&replica, b"k", expiry - 1), query(&replica, b"k", expiry)),
        (LookupResult::KnownMissing, LookupResult::Unknown { token: 0 })
    );
    // An entry whose lookup took longer than the TTL is already expired.
    replica.apply(&Operation::insert(b"slow".to_vec(), 0, Duration::from_secs(3_600), 8), 1_000);
    assert_eq!(query(&replica, b"slow", 1_000), LookupResult::Unknown { token: 0 });
}

/// The freshness check of older versions, which compares an entry's `at` with the wall clock.
fn older_version_reports_missing(state: &NegativeCacheShard, key: &[u8], unix_ms: Millis) -> bool {
    let unexpired =
        |at: &&Millis| unix_ms.saturating_sub(**at) < ENTRY_TTL_MS && **at <= unix_ms + ENTRY_TTL_MS;
    state.entries.get(key).filter(unexpired).is_some()
}

#[test]
fn older_primary_ignores_new_entries_and_applies_new_tombstones() {
    const UNIX_MS: Millis = 1_700_000_000_000;
    let mut replica = Replica::default();
    replica.apply(&Operation::insert(b"k".to_vec(), 0, Duration::ZERO, 1), 0);
    for unix_ms in [0, UNIX_MS, UNIX_MS + ENTRY_TTL_MS, UNIX_MS + 3_600_000] {
        assert!(!older_version_reports_missing(&replica.state, b"k", unix_ms));
    }
    // Inserts of older versions stay blocked until the tombstone's `until`.
    replica.apply(&Operation::tombstone(b"k".to_vec(), UNIX_MS), 0);
    let tombstone_end = UNIX_MS + TOMBSTONE_TTL_MS;
    assert_eq!(replica.state.clone().apply(&insert_operation(b"k", 1, tombstone_end - 1)), Outcome::Stale);
    assert_eq!(replica.state.clone().apply(&insert_operation(b"k", 1, tombstone_end)), Outcome::Inserted);
    assert!(older_version_reports_missing(
        &{
            let mut state = replica.state.clone();
            state.apply(&insert_operation(b"k", 1, tombstone_end));
            state
        },
        b"k",
        tombstone_end
    ));
}

#[test]
fn entry_accepted_by_older_primary_during_tombstone_is_not_used() {
    let mut replica = Replica::default();
    replica.apply(&Operation::tombstone(b"k".to_vec(), 0), 0);
    // An older primary hands out the token and accepts the entry despite the tombstone.
    let outcome = replica.apply(&Operation::insert(b"k".to_vec(), 1, Duration::ZERO, 1), 20_000);
    assert_eq!(outcome, Outcome::Inserted);
    for now in (20_000..20_000 + 2 * ENTRY_TTL_MS).step_by(1_000) {
        assert!(matches!(query(&replica, b"k", now), LookupResult::Unknown { .. }), "{now} ms");
    }
    // The same holds after the state was restored from a disk or a snapshot.
    let mut restored = Replica { times: replica.state.restored_times(100_000), state: replica.state };
    for now in (100_000..100_000 + 2 * ENTRY_TTL_MS).step_by(1_000) {
        assert!(matches!(query(&restored, b"k", now), LookupResult::Unknown { .. }), "{now} ms");
    }
    restored.apply(&Operation::insert(b"k".to_vec(), 1, Duration::ZERO, 2), 200_000);
    assert_eq!(query(&restored, b"k", 200_000), LookupResult::KnownMissing);
}
