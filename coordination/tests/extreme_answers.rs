//! Answers with the largest possible durations must not overflow the client's timers.

use notchdoor_coordination::confirm::Confirmer;
use notchdoor_coordination::holder::Drift;
use notchdoor_coordination::lease::{Outcome, Refusal};
use notchdoor_coordination::protocol::Answer;
use notchdoor_coordination::session::Session;
use notchdoor_coordination::versioned_config::{BlockRules, Confirmation, VersionInfo};

const MAX_MS: u64 = u64::MAX;

fn session() -> Session {
    let endpoint = (1, ([127, 0, 0, 1], 7201).into());
    Session::new(vec![endpoint], "p", &[("warm".into(), 3_000)], Drift::default(), 1)
        .with_versions(Drift::default())
}

#[test]
fn lease_client_handles_maximum_durations_without_overflow() {
    let done = |outcome, left_ms| Answer::Done { outcome, left_ms };
    let held = Outcome::Refused(Refusal::Held { holder: "q".into(), token: 1 });
    let answers = [
        Answer::Later { retry_after_ms: MAX_MS },
        Answer::Held { holder: "q".into(), left_ms: Some(MAX_MS), again_ms: MAX_MS },
        done(Outcome::Granted { token: 7, ttl_ms: MAX_MS }, Some(MAX_MS)),
        done(Outcome::Renewed { token: 7, ttl_ms: MAX_MS }, None),
        done(held, Some(MAX_MS)),
    ];
    for answer in answers {
        let mut session = session();
        let due = session.due(10_000);
        assert!(!due.is_empty());
        for (number, _) in due {
            session.answered(number, &answer, 10_005);
        }
        assert!(session.next_due() > 10_005, "{answer:?}");
    }
}

#[test]
fn confirmer_handles_maximum_validity_without_overflow() {
    let version = |number| VersionInfo { number, rules: Some(BlockRules::default()) };
    let word = Confirmation { good_ms: MAX_MS, current: version(1), next: Some((version(2), MAX_MS)) };
    let mut confirmer = Confirmer::new(Drift::default());
    let (number, _) = confirmer.due(10_000).expect("the first is due at once");
    confirmer.answered(number, &word, 10_005);
    assert!(confirmer.next_due() > 10_005);
    assert_eq!(
        confirmer.plan(10_010).len(),
        2,
        "the version in force, then safe mode; the pending version never starts"
    );
}
