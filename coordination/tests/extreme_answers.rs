//! Answers with the largest possible durations must not overflow the client's timers.

use notchdoor_coordination::confirm::Confirmer;
use notchdoor_coordination::holder::Drift;
use notchdoor_coordination::lease::{Outcome, Refusal};
use notchdoor_coordination::protocol::Answer;
use notchdoor_coordination::session::Session;
use notchdoor_coordination::versioned_config::{BlockRules, Confirmation, VersionInfo};

const FOREVER: u64 = u64::MAX;

fn session() -> Session {
    let endpoint = (1, ([127, 0, 0, 1], 7201).into());
    Session::new(vec![endpoint], "p", &[("warm".into(), 3_000)], Drift::default(), 1)
        .with_versions(Drift::default())
}

#[test]
fn a_lease_client_takes_the_longest_spans_without_an_overflow() {
    let done = |outcome, left_ms| Answer::Done { outcome, left_ms };
    let held = Outcome::Refused(Refusal::Held { holder: "q".into(), token: 1 });
    let answers = [
        Answer::Later { retry_after_ms: FOREVER },
        Answer::Held { holder: "q".into(), left_ms: Some(FOREVER), again_ms: FOREVER },
        done(Outcome::Granted { token: 7, ttl_ms: FOREVER }, Some(FOREVER)),
        done(Outcome::Renewed { token: 7, ttl_ms: FOREVER }, None),
        done(held, Some(FOREVER)),
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
fn a_confirmation_good_for_ever_is_taken_without_an_overflow() {
    let version = |number| VersionInfo { number, rules: Some(BlockRules::default()) };
    let word = Confirmation { good_ms: FOREVER, current: version(1), next: Some((version(2), FOREVER)) };
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
