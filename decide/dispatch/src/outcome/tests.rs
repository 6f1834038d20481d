//! The table of outcomes, row by row.

use super::*;

const STAGES: [ResponseStage; 4] = [
    ResponseStage::Nothing,
    ResponseStage::Headers,
    ResponseStage::Messages,
    ResponseStage::Last,
];

fn never_ran(outcome: AttemptOutcome, trailers: &Trailers) -> bool {
    classify(outcome, trailers).outcome.never_ran()
}

#[test]
fn only_proof_says_that_an_attempt_never_ran() {
    let unstated = Trailers::default();
    for outcome in [
        AttemptOutcome::ConnectRefused,
        AttemptOutcome::ConnectTimedOut,
        AttemptOutcome::NeverLeft,
        AttemptOutcome::GoawayBelow,
    ] {
        assert!(never_ran(outcome, &unstated), "{outcome:?}");
    }
    for stage in STAGES {
        for code in 0..=20 {
            let proof = code == 7 && stage == ResponseStage::Nothing;
            assert_eq!(
                never_ran(AttemptOutcome::Reset { code, stage }, &unstated),
                proof,
                "code {code} {stage:?}"
            );
            assert!(
                !never_ran(
                    AttemptOutcome::Status {
                        code: code as u8,
                        stage
                    },
                    &unstated
                ),
                "{code} {stage:?}"
            );
        }
        for outcome in [
            AttemptOutcome::ConnectionCut { stage },
            AttemptOutcome::NoTrailers { stage },
            AttemptOutcome::InvalidResponse { stage },
        ] {
            assert!(!never_ran(outcome, &unstated), "{outcome:?}");
        }
    }
    assert!(!never_ran(AttemptOutcome::Cancelled, &unstated));
}

#[test]
fn a_promise_counts_only_with_an_error_and_before_any_piece() {
    for promise in [NeverRan::NotLoaded, NeverRan::TurnedAway, NeverRan::Expired] {
        let trailers = Trailers {
            never_ran: Some(promise),
            ..Trailers::default()
        };
        for stage in STAGES {
            let early = matches!(stage, ResponseStage::Nothing | ResponseStage::Headers);
            assert_eq!(
                never_ran(AttemptOutcome::Status { code: 14, stage }, &trailers),
                early,
                "{stage:?}"
            );
            assert!(
                !never_ran(AttemptOutcome::Status { code: 0, stage }, &trailers),
                "{stage:?}"
            );
            assert!(!never_ran(
                AttemptOutcome::ConnectionCut { stage },
                &trailers
            ));
        }
    }
}

#[test]
fn an_ok_without_an_answer_is_an_error() {
    let ok = |stage| {
        classify(
            AttemptOutcome::Status { code: 0, stage },
            &Trailers::default(),
        )
        .outcome
    };
    assert_eq!(ok(ResponseStage::Headers), Outcome::Error);
    assert_eq!(ok(ResponseStage::Messages), Outcome::Served);
}

#[test]
fn statuses_of_the_function_itself_are_not_tried_again() {
    let own: Vec<u8> = (0..=16)
        .filter(|code| {
            let outcome = AttemptOutcome::Status {
                code: *code,
                stage: ResponseStage::Headers,
            };
            classify(outcome, &Trailers::default()).final_status
        })
        .collect();
    assert_eq!(own, FUNCTION_STATUSES);
}
