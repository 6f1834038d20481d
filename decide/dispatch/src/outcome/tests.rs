//! Checks the rows of the outcome table.

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
fn an_attempt_may_have_run_unless_its_end_proves_otherwise() {
    let no_trailers = Trailers::default();
    for outcome in [
        AttemptOutcome::ConnectRefused,
        AttemptOutcome::ConnectTimedOut,
        AttemptOutcome::NeverLeft,
        AttemptOutcome::GoawayBelow,
    ] {
        assert!(never_ran(outcome, &no_trailers), "{outcome:?}");
    }
    for stage in STAGES {
        for code in 0..=20 {
            let proves_not_run = code == 7 && stage == ResponseStage::Nothing;
            assert_eq!(
                never_ran(AttemptOutcome::Reset { code, stage }, &no_trailers),
                proves_not_run,
                "code {code} {stage:?}"
            );
            assert!(
                !never_ran(
                    AttemptOutcome::Status {
                        code: code as u8,
                        stage
                    },
                    &no_trailers
                ),
                "status {code} {stage:?}"
            );
        }
        for outcome in [
            AttemptOutcome::ConnectionCut { stage },
            AttemptOutcome::NoTrailers { stage },
            AttemptOutcome::InvalidResponse { stage },
        ] {
            assert!(!never_ran(outcome, &no_trailers), "{outcome:?}");
        }
    }
    assert!(!never_ran(AttemptOutcome::Cancelled, &no_trailers));
}

#[test]
fn a_guarantee_counts_only_with_an_error_status_before_any_message() {
    for guarantee in [NeverRan::NotLoaded, NeverRan::TurnedAway, NeverRan::Expired] {
        let trailers = Trailers {
            never_ran: Some(guarantee),
            ..Trailers::default()
        };
        for stage in STAGES {
            let before_messages = matches!(stage, ResponseStage::Nothing | ResponseStage::Headers);
            assert_eq!(
                never_ran(AttemptOutcome::Status { code: 14, stage }, &trailers),
                before_messages,
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
fn ok_without_a_message_is_an_error() {
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
fn statuses_of_the_function_itself_are_final() {
    let final_codes: Vec<u8> = (0..=16)
        .filter(|code| {
            let outcome = AttemptOutcome::Status {
                code: *code,
                stage: ResponseStage::Headers,
            };
            classify(outcome, &Trailers::default()).final_status
        })
        .collect();
    assert_eq!(final_codes, FUNCTION_STATUSES);
}
