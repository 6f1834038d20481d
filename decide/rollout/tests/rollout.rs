//! Rejection of entries that are for an older revision, by a former controller, or not allowed in the current state.

mod support;

use support::{program, target};
use tansy_rollout::{
    Crash, Rollout, RolloutChange, RolloutEntry, RolloutPhase, RolloutPlan, RolloutRejection,
};

fn controlled_rollout(change: RolloutChange) -> Rollout {
    let stages = vec![
        vec![
            target("f0", "a", true),
            target("f1", "a", false),
            target("f2", "b", true),
        ],
        vec![target("f3", "b", false)],
    ];
    let mut rollout = Rollout::begin(
        1,
        change,
        RolloutPlan {
            stages,
            ..RolloutPlan::default()
        },
        "a test".into(),
    )
    .expect("the plan is valid");
    rollout
        .apply(RolloutEntry::TakeControl {
            fence: 1,
            controller: "s".into(),
        })
        .expect("there is no controller yet");
    rollout
}

fn apply_current(
    rollout: &mut Rollout,
    make: impl Fn(u64, u64) -> RolloutEntry,
) -> Result<(), RolloutRejection> {
    rollout.apply(make(rollout.revision, rollout.fence))
}

fn release(rollout: &mut Rollout, name: &str) -> Result<(), RolloutRejection> {
    apply_current(rollout, |revision, fence| RolloutEntry::Release {
        revision,
        fence,
        name: name.into(),
    })
}

fn mark_ready(rollout: &mut Rollout, name: &str) -> Result<(), RolloutRejection> {
    apply_current(rollout, |revision, fence| RolloutEntry::MarkReady {
        revision,
        fence,
        name: name.into(),
    })
}

fn begin_analysis(rollout: &mut Rollout) -> Result<(), RolloutRejection> {
    apply_current(rollout, |revision, fence| RolloutEntry::BeginAnalysis {
        revision,
        fence,
    })
}

/// Releases a front end and marks it ready.
fn change(rollout: &mut Rollout, name: &str) {
    release(rollout, name).expect("the front end may be released");
    mark_ready(rollout, name).expect("the front end was released");
}

#[test]
fn no_two_of_a_zone_and_no_two_voters_are_unavailable_at_once() {
    let mut rollout = controlled_rollout(program("new", "new"));
    assert_eq!(
        release(&mut rollout, "f3"),
        Err(RolloutRejection::NotAllowed),
        "the front end belongs to a later stage"
    );
    assert_eq!(
        release(&mut rollout, "f9"),
        Err(RolloutRejection::NotAllowed),
        "the front end is not in the plan"
    );
    assert_eq!(release(&mut rollout, "f0"), Ok(()));
    assert_eq!(
        release(&mut rollout, "f1"),
        Err(RolloutRejection::NotAllowed),
        "another front end of the zone is released"
    );
    assert_eq!(
        release(&mut rollout, "f2"),
        Err(RolloutRejection::NotAllowed),
        "another voter is released"
    );
    assert_eq!(mark_ready(&mut rollout, "f0"), Ok(()));
    assert_eq!(
        mark_ready(&mut rollout, "f0"),
        Err(RolloutRejection::NotAllowed)
    );
    assert_eq!(
        (release(&mut rollout, "f1"), release(&mut rollout, "f2")),
        (Ok(()), Ok(()))
    );
    // Applying settings makes no front end unavailable.
    let mut rollout = controlled_rollout(RolloutChange::Settings);
    assert_eq!(
        (
            release(&mut rollout, "f0"),
            release(&mut rollout, "f1"),
            release(&mut rollout, "f2")
        ),
        (Ok(()), Ok(()), Ok(()))
    );
}

#[test]
fn entries_of_a_former_controller_and_for_an_older_revision_are_rejected() {
    let mut rollout = controlled_rollout(program("new", "new"));
    let (revision, fence) = (rollout.revision, rollout.fence);
    release(&mut rollout, "f0").expect("the front end may be released");
    assert_eq!(
        rollout.apply(RolloutEntry::Release {
            revision,
            fence,
            name: "f2".into()
        }),
        Err(RolloutRejection::StaleRevision)
    );
    assert_eq!(
        rollout.apply(RolloutEntry::TakeControl {
            fence: 3,
            controller: "t".into()
        }),
        Err(RolloutRejection::Fenced)
    );
    assert_eq!(
        rollout.apply(RolloutEntry::TakeControl {
            fence: 2,
            controller: "t".into()
        }),
        Ok(())
    );
    assert_eq!(
        rollout.apply(RolloutEntry::TakeControl {
            fence: 2,
            controller: "u".into()
        }),
        Err(RolloutRejection::Fenced),
        "another controller has already used the fencing token"
    );
    let revision = rollout.revision;
    assert_eq!(
        rollout.apply(RolloutEntry::MarkReady {
            revision,
            fence,
            name: "f0".into()
        }),
        Err(RolloutRejection::Fenced)
    );
    assert_eq!(
        rollout.apply(RolloutEntry::Heartbeat {
            fence,
            observation: None
        }),
        Err(RolloutRejection::Fenced)
    );
    assert_eq!(mark_ready(&mut rollout, "f0"), Ok(()));
}

#[test]
#[expect(clippy::too_many_lines, reason = "one sequence of entries")]
fn an_abort_and_the_pass_of_the_last_stage_exclude_each_other() {
    let mut rollout = controlled_rollout(RolloutChange::Settings);
    for name in ["f0", "f1", "f2"] {
        change(&mut rollout, name);
    }
    assert_eq!(begin_analysis(&mut rollout), Ok(()));
    let pass = |revision, fence| RolloutEntry::Pass {
        revision,
        fence,
        reason: "no worse".into(),
    };
    assert_eq!(apply_current(&mut rollout, pass), Ok(()));
    change(&mut rollout, "f3");
    begin_analysis(&mut rollout).expect("all front ends of the stage are changed");
    let mut passed = rollout.clone();
    assert_eq!(apply_current(&mut passed, pass), Ok(()));
    assert_eq!(
        passed.apply(RolloutEntry::Abort {
            id: 1,
            reason: "no".into()
        }),
        Err(RolloutRejection::Ended),
        "the rollout is complete"
    );
    assert_eq!(passed.phase, RolloutPhase::Completed);
    let (revision, fence) = (rollout.revision, rollout.fence);
    assert_eq!(
        rollout.apply(RolloutEntry::Abort {
            id: 1,
            reason: "no".into()
        }),
        Ok(())
    );
    assert_eq!(
        rollout.apply(RolloutEntry::Pass {
            revision,
            fence,
            reason: "no worse".into()
        }),
        Err(RolloutRejection::StaleRevision)
    );
    assert_eq!(
        apply_current(&mut rollout, pass),
        Err(RolloutRejection::NotAllowed)
    );
    assert_eq!(
        rollout.apply(RolloutEntry::Abort {
            id: 1,
            reason: "again".into()
        }),
        Err(RolloutRejection::NotAllowed),
        "the rollout is already being rolled back"
    );
    assert_eq!(
        rollout.apply(RolloutEntry::Abort {
            id: 2,
            reason: "another".into()
        }),
        Err(RolloutRejection::Ended)
    );
    for name in ["f0", "f1", "f2", "f3"] {
        change(&mut rollout, name);
    }
    assert_eq!(rollout.phase, RolloutPhase::RolledBack);
}

#[test]
fn a_second_rollout_waits_for_the_first_and_an_invalid_plan_is_rejected() {
    let mut rollout = controlled_rollout(program("new", "new"));
    let begin = |plan: RolloutPlan| RolloutEntry::Begin {
        id: 2,
        change: RolloutChange::Settings,
        plan,
        reason: String::new(),
    };
    let plan = RolloutPlan {
        stages: vec![vec![target("f0", "a", false)]],
        ..RolloutPlan::default()
    };
    assert_eq!(
        rollout.apply(begin(plan.clone())),
        Err(RolloutRejection::Busy)
    );
    rollout
        .apply(RolloutEntry::Abort {
            id: 1,
            reason: "no".into(),
        })
        .expect("the rollout is in progress");
    assert_eq!(
        rollout.phase,
        RolloutPhase::RolledBack,
        "no front end was changed"
    );
    let duplicate = RolloutPlan {
        stages: vec![
            vec![target("f0", "a", false)],
            vec![target("f0", "a", false)],
        ],
        ..plan.clone()
    };
    for invalid in [
        RolloutPlan::default(),
        duplicate,
        RolloutPlan {
            max_unavailable: 0,
            ..plan.clone()
        },
        RolloutPlan {
            error_probability: 0.0,
            ..plan.clone()
        },
    ] {
        assert!(matches!(
            rollout.apply(begin(invalid)),
            Err(RolloutRejection::Plan(_))
        ));
    }
    assert_eq!(rollout.apply(begin(plan)), Ok(()));
    assert_eq!(
        (rollout.id, rollout.phase, rollout.revision),
        (2, RolloutPhase::Changing, 1)
    );
}

#[test]
fn a_pause_stops_progress_but_not_a_rollback() {
    let mut rollout = controlled_rollout(program("new", "new"));
    rollout
        .apply(RolloutEntry::Pause {
            id: 1,
            reason: "a look".into(),
        })
        .expect("the rollout is in progress");
    assert_eq!(
        release(&mut rollout, "f0"),
        Err(RolloutRejection::NotAllowed)
    );
    rollout
        .apply(RolloutEntry::Resume { id: 1 })
        .expect("the rollout is paused");
    release(&mut rollout, "f0").expect("the front end may be released");
    let crash = Crash {
        name: "f0".into(),
        process: 3,
        kind: "signal 6".into(),
        consecutive: 1,
    };
    assert_eq!(rollout.apply(RolloutEntry::Crashed(crash.clone())), Ok(()));
    assert_eq!(
        rollout.apply(RolloutEntry::Crashed(crash)),
        Err(RolloutRejection::NotAllowed),
        "the crash was already reported"
    );
    rollout
        .apply(RolloutEntry::Pause {
            id: 1,
            reason: "a look".into(),
        })
        .expect("the rollout is in progress");
    rollout
        .apply(RolloutEntry::Abort {
            id: 1,
            reason: "no".into(),
        })
        .expect("the rollout is in progress");
    assert_eq!(
        (release(&mut rollout, "f0"), mark_ready(&mut rollout, "f0")),
        (Ok(()), Ok(()))
    );
    assert_eq!(rollout.phase, RolloutPhase::RolledBack);
}
