//! Entries that were made for an older revision, by a former controller, or out of turn change nothing.

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
    .expect("a plan");
    rollout
        .apply(RolloutEntry::TakeControl {
            fence: 1,
            controller: "s".into(),
        })
        .expect("nobody has control");
    rollout
}

fn apply_now(
    rollout: &mut Rollout,
    make: impl Fn(u64, u64) -> RolloutEntry,
) -> Result<(), RolloutRejection> {
    rollout.apply(make(rollout.revision, rollout.fence))
}

fn release(rollout: &mut Rollout, name: &str) -> Result<(), RolloutRejection> {
    apply_now(rollout, |revision, fence| RolloutEntry::Release {
        revision,
        fence,
        name: name.into(),
    })
}

fn mark_ready(rollout: &mut Rollout, name: &str) -> Result<(), RolloutRejection> {
    apply_now(rollout, |revision, fence| RolloutEntry::MarkReady {
        revision,
        fence,
        name: name.into(),
    })
}

fn begin_analysis(rollout: &mut Rollout) -> Result<(), RolloutRejection> {
    apply_now(rollout, |revision, fence| RolloutEntry::BeginAnalysis {
        revision,
        fence,
    })
}

/// Lets a front end change, and records that it has changed.
fn change(rollout: &mut Rollout, name: &str) {
    release(rollout, name).expect("it may change");
    mark_ready(rollout, name).expect("it was released");
}

#[test]
fn no_two_of_a_zone_and_no_two_voters_are_unavailable_at_once() {
    let mut rollout = controlled_rollout(program("new", "new"));
    assert_eq!(
        release(&mut rollout, "f3"),
        Err(RolloutRejection::NotAllowed),
        "it is of a later stage"
    );
    assert_eq!(
        release(&mut rollout, "f9"),
        Err(RolloutRejection::NotAllowed),
        "it is of no stage"
    );
    assert_eq!(release(&mut rollout, "f0"), Ok(()));
    assert_eq!(
        release(&mut rollout, "f1"),
        Err(RolloutRejection::NotAllowed),
        "the same zone"
    );
    assert_eq!(
        release(&mut rollout, "f2"),
        Err(RolloutRejection::NotAllowed),
        "another voter"
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
    // New settings make nothing unavailable.
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
fn a_former_controller_and_a_suspended_one_change_nothing() {
    let mut rollout = controlled_rollout(program("new", "new"));
    let (revision, fence) = (rollout.revision, rollout.fence);
    release(&mut rollout, "f0").expect("it may");
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
        "one was first"
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
#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
fn an_abort_as_the_last_stage_passes_is_one_or_the_other() {
    let mut rollout = controlled_rollout(RolloutChange::Settings);
    for name in ["f0", "f1", "f2"] {
        change(&mut rollout, name);
    }
    assert_eq!(begin_analysis(&mut rollout), Ok(()));
    let pass = |revision, fence| RolloutEntry::Pass {
        revision,
        fence,
        reason: "well".into(),
    };
    assert_eq!(apply_now(&mut rollout, pass), Ok(()));
    change(&mut rollout, "f3");
    begin_analysis(&mut rollout).expect("the stage has changed");
    let mut first = rollout.clone();
    assert_eq!(apply_now(&mut first, pass), Ok(()));
    assert_eq!(
        first.apply(RolloutEntry::Abort {
            id: 1,
            reason: "no".into()
        }),
        Err(RolloutRejection::Ended),
        "it is done"
    );
    assert_eq!(first.phase, RolloutPhase::Completed);
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
            reason: "well".into()
        }),
        Err(RolloutRejection::StaleRevision)
    );
    assert_eq!(
        apply_now(&mut rollout, pass),
        Err(RolloutRejection::NotAllowed)
    );
    assert_eq!(
        rollout.apply(RolloutEntry::Abort {
            id: 1,
            reason: "again".into()
        }),
        Err(RolloutRejection::NotAllowed),
        "it goes back already"
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
        .expect("it goes on");
    assert_eq!(
        rollout.phase,
        RolloutPhase::RolledBack,
        "nothing had changed"
    );
    let twice = RolloutPlan {
        stages: vec![
            vec![target("f0", "a", false)],
            vec![target("f0", "a", false)],
        ],
        ..plan.clone()
    };
    for wrong in [
        RolloutPlan::default(),
        twice,
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
            rollout.apply(begin(wrong)),
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
        .expect("it goes on");
    assert_eq!(
        release(&mut rollout, "f0"),
        Err(RolloutRejection::NotAllowed)
    );
    rollout
        .apply(RolloutEntry::Resume { id: 1 })
        .expect("it is paused");
    release(&mut rollout, "f0").expect("it may");
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
        "reported twice it is one"
    );
    rollout
        .apply(RolloutEntry::Pause {
            id: 1,
            reason: "a look".into(),
        })
        .expect("it goes on");
    rollout
        .apply(RolloutEntry::Abort {
            id: 1,
            reason: "no".into(),
        })
        .expect("it goes on");
    assert_eq!(
        (release(&mut rollout, "f0"), mark_ready(&mut rollout, "f0")),
        (Ok(()), Ok(()))
    );
    assert_eq!(rollout.phase, RolloutPhase::RolledBack);
}
