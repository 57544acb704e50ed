//! Model checks of every interleaving of two lookups, a write and reads of one key against a real shard: once
//! a write is acknowledged, the key is never reported missing. Two deliberate faults must be detected.

use notchdoor_negative_cache::{LocalTimes, Lookup, LookupResult, NegativeCacheShard, Operation};
use notchdoor_replication::ReplicatedState;
use std::time::Duration;

use stateright::{Checker, Model, Property};

const KEY: &[u8] = b"k";
const NOW_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Variant {
    Correct,
    /// Inserts use the current token instead of the one that the lookup began with.
    IgnoreToken,
    /// The write is acknowledged before its invalidation is committed.
    AckBeforeInvalidation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LookupState {
    Idle,
    /// The lookup has the shard's token and queries the origin.
    Querying(u64),
    /// The origin did not have the key.
    NotFound(u64),
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum WriteState {
    Idle,
    /// The origin has executed the write.
    Executed,
    Invalidated,
    Acknowledged,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    origin_has_key: bool,
    cache: NegativeCacheShard,
    times: LocalTimes,
    lookups: [LookupState; 2],
    write: WriteState,
    invalidated: bool,
    /// A read after the acknowledgement reported the key as missing.
    false_missing: bool,
}

impl State {
    fn apply(&mut self, operation: &Operation) {
        let outcome = self.cache.apply(operation);
        self.cache.record_applied(&mut self.times, operation, &outcome, NOW_MS);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    StartLookup(usize),
    OriginResponse(usize),
    InsertEntry(usize),
    /// The insert is lost, for example because the primary or the proxy stopped.
    LoseInsert(usize),
    ExecuteWrite,
    Invalidate,
    AcknowledgeWrite,
    Read,
}

impl Model for Variant {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            origin_has_key: false,
            cache: NegativeCacheShard::default(),
            times: LocalTimes::default(),
            lookups: [LookupState::Idle; 2],
            write: WriteState::Idle,
            invalidated: false,
            false_missing: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (i, lookup) in state.lookups.iter().enumerate() {
            match lookup {
                LookupState::Idle => actions.push(Action::StartLookup(i)),
                LookupState::Querying(_) => actions.push(Action::OriginResponse(i)),
                LookupState::NotFound(_) => actions.extend([Action::InsertEntry(i), Action::LoseInsert(i)]),
                LookupState::Done => {}
            }
        }
        match state.write {
            WriteState::Idle => actions.push(Action::ExecuteWrite),
            WriteState::Executed if *self == Variant::AckBeforeInvalidation => {
                actions.push(Action::AcknowledgeWrite);
            }
            WriteState::Executed => actions.push(Action::Invalidate),
            WriteState::Invalidated => actions.push(Action::AcknowledgeWrite),
            WriteState::Acknowledged if !state.invalidated => actions.push(Action::Invalidate),
            WriteState::Acknowledged => {}
        }
        actions.push(Action::Read);
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut state = state.clone();
        let lookup = Lookup { key: KEY.to_vec() };
        match action {
            Action::StartLookup(i) => {
                state.lookups[i] = match state.cache.query(&state.times, &lookup, NOW_MS) {
                    LookupResult::KnownMissing => LookupState::Done,
                    LookupResult::Unknown { token } => LookupState::Querying(token),
                }
            }
            Action::OriginResponse(i) => {
                let LookupState::Querying(token) = state.lookups[i] else { return None };
                state.lookups[i] =
                    if state.origin_has_key { LookupState::Done } else { LookupState::NotFound(token) };
            }
            Action::InsertEntry(i) => {
                let LookupState::NotFound(token) = state.lookups[i] else { return None };
                let token = match (
                    self,
                    state.cache.query(&state.times, &Lookup { key: b"another".to_vec() }, NOW_MS),
                ) {
                    (Variant::IgnoreToken, LookupResult::Unknown { token }) => token,
                    _ => token,
                };
                state.apply(&Operation::insert(KEY.to_vec(), token, Duration::ZERO, 0));
                state.lookups[i] = LookupState::Done;
            }
            Action::LoseInsert(i) => state.lookups[i] = LookupState::Done,
            Action::ExecuteWrite => (state.origin_has_key, state.write) = (true, WriteState::Executed),
            Action::Invalidate => {
                state.apply(&Operation::Invalidate { key: KEY.to_vec() });
                state.invalidated = true;
                if state.write == WriteState::Executed {
                    state.write = WriteState::Invalidated;
                }
            }
            Action::AcknowledgeWrite => state.write = WriteState::Acknowledged,
            Action::Read => {
                state.false_missing |= state.write == WriteState::Acknowledged
                    && state.cache.query(&state.times, &lookup, NOW_MS) == LookupResult::KnownMissing;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("not reported missing after acknowledgement", |_, state: &State| {
                !state.false_missing
            }),
            Property::sometimes("an entry is inserted", |_, state: &State| !state.cache.is_empty()),
        ]
    }
}

#[test]
fn key_is_never_reported_missing_after_write_is_acknowledged() {
    let checker = Variant::Correct.checker().spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 100, "{} states", checker.unique_state_count());
}

#[test]
fn checker_detects_ignored_token_and_early_acknowledgement() {
    for variant in [Variant::IgnoreToken, Variant::AckBeforeInvalidation] {
        let checker = variant.checker().spawn_bfs().join();
        let found = checker.discovery("not reported missing after acknowledgement");
        assert!(found.is_some(), "{variant:?} was not detected");
    }
}
