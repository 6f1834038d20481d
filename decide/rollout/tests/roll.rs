//! Steps that are past, of who steers no more, or not to be taken now, change nothing.

use tansy_rollout::{
    Crash, Rollout, RolloutChange, RolloutEntry, RolloutPhase, RolloutPlan, RolloutRejection,
    Target,
};

fn place(n: usize, zone: &str, seat: bool) -> Target {
    Target {
        name: format!("f{n}"),
        zone: zone.into(),
        seat,
    }
}

fn roll(what: RolloutChange) -> Rollout {
    let stages = vec![
        vec![
            place(0, "a", true),
            place(1, "a", false),
            place(2, "b", true),
        ],
        vec![place(3, "b", false)],
    ];
    let mut r = Rollout::begin(
        1,
        what,
        RolloutPlan {
            stages,
            ..RolloutPlan::default()
        },
        "a test".into(),
    )
    .expect("a plan");
    r.apply(RolloutEntry::Steer {
        fence: 1,
        who: "s".into(),
    })
    .expect("nobody steers");
    r
}

fn program() -> RolloutChange {
    RolloutChange::Program {
        label: "new".into(),
        path: "new".into(),
    }
}

fn step(r: &mut Rollout, make: impl Fn(u64, u64) -> RolloutEntry) -> Result<(), RolloutRejection> {
    r.apply(make(r.at, r.fence))
}

fn let_go(r: &mut Rollout, name: &str) -> Result<(), RolloutRejection> {
    step(r, |at, fence| RolloutEntry::Let {
        at,
        fence,
        name: name.into(),
    })
}

fn moved(r: &mut Rollout, name: &str) -> Result<(), RolloutRejection> {
    step(r, |at, fence| RolloutEntry::Moved {
        at,
        fence,
        name: name.into(),
    })
}

#[test]
fn no_two_of_a_zone_and_no_two_seats_are_away_at_once() {
    let mut r = roll(program());
    assert_eq!(
        let_go(&mut r, "f3"),
        Err(RolloutRejection::NotNow),
        "it is of a later stage"
    );
    assert_eq!(
        let_go(&mut r, "f9"),
        Err(RolloutRejection::NotNow),
        "it is of no stage"
    );
    assert_eq!(let_go(&mut r, "f0"), Ok(()));
    assert_eq!(
        let_go(&mut r, "f1"),
        Err(RolloutRejection::NotNow),
        "the same zone"
    );
    assert_eq!(
        let_go(&mut r, "f2"),
        Err(RolloutRejection::NotNow),
        "another seat"
    );
    assert_eq!(moved(&mut r, "f0"), Ok(()));
    assert_eq!(moved(&mut r, "f0"), Err(RolloutRejection::NotNow));
    assert_eq!(
        (let_go(&mut r, "f1"), let_go(&mut r, "f2")),
        (Ok(()), Ok(()))
    );
    // Settings take nothing away.
    let mut r = roll(RolloutChange::Settings);
    assert_eq!(
        (
            let_go(&mut r, "f0"),
            let_go(&mut r, "f1"),
            let_go(&mut r, "f2")
        ),
        (Ok(()), Ok(()), Ok(()))
    );
}

#[test]
fn who_steers_no_more_and_who_has_slept_changes_nothing() {
    let mut r = roll(program());
    let (at, fence) = (r.at, r.fence);
    let_go(&mut r, "f0").expect("it may");
    assert_eq!(
        r.apply(RolloutEntry::Let {
            at,
            fence,
            name: "f2".into()
        }),
        Err(RolloutRejection::Past)
    );
    assert_eq!(
        r.apply(RolloutEntry::Steer {
            fence: 3,
            who: "t".into()
        }),
        Err(RolloutRejection::Fenced)
    );
    assert_eq!(
        r.apply(RolloutEntry::Steer {
            fence: 2,
            who: "t".into()
        }),
        Ok(())
    );
    assert_eq!(
        r.apply(RolloutEntry::Steer {
            fence: 2,
            who: "u".into()
        }),
        Err(RolloutRejection::Fenced),
        "one was first"
    );
    let at = r.at;
    assert_eq!(
        r.apply(RolloutEntry::Moved {
            at,
            fence,
            name: "f0".into()
        }),
        Err(RolloutRejection::Fenced)
    );
    assert_eq!(
        r.apply(RolloutEntry::Beat { fence, seen: None }),
        Err(RolloutRejection::Fenced)
    );
    assert_eq!(moved(&mut r, "f0"), Ok(()));
}

#[test]
fn an_abort_as_the_last_stage_passes_is_one_or_the_other() {
    let mut r = roll(RolloutChange::Settings);
    for name in ["f0", "f1", "f2"] {
        (let_go(&mut r, name), moved(&mut r, name))
            .0
            .expect("it may");
    }
    assert_eq!(
        step(&mut r, |at, fence| RolloutEntry::Judge { at, fence }),
        Ok(())
    );
    let pass = |at, fence| RolloutEntry::Pass {
        at,
        fence,
        why: "well".into(),
    };
    assert_eq!(step(&mut r, pass), Ok(()));
    (let_go(&mut r, "f3"), moved(&mut r, "f3"))
        .1
        .expect("it moves");
    step(&mut r, |at, fence| RolloutEntry::Judge { at, fence }).expect("it stands");
    let mut first = r.clone();
    assert_eq!(step(&mut first, pass), Ok(()));
    assert_eq!(
        first.apply(RolloutEntry::Abort {
            id: 1,
            why: "no".into()
        }),
        Err(RolloutRejection::Over),
        "it is done"
    );
    assert_eq!(first.phase, RolloutPhase::Done);
    let (at, fence) = (r.at, r.fence);
    assert_eq!(
        r.apply(RolloutEntry::Abort {
            id: 1,
            why: "no".into()
        }),
        Ok(())
    );
    assert_eq!(
        r.apply(RolloutEntry::Pass {
            at,
            fence,
            why: "well".into()
        }),
        Err(RolloutRejection::Past)
    );
    assert_eq!(step(&mut r, pass), Err(RolloutRejection::NotNow));
    assert_eq!(
        r.apply(RolloutEntry::Abort {
            id: 1,
            why: "again".into()
        }),
        Err(RolloutRejection::NotNow),
        "it goes back already"
    );
    assert_eq!(
        r.apply(RolloutEntry::Abort {
            id: 2,
            why: "another".into()
        }),
        Err(RolloutRejection::Over)
    );
    for name in ["f0", "f1", "f2", "f3"] {
        (let_go(&mut r, name), moved(&mut r, name))
            .0
            .expect("it may");
    }
    assert_eq!(r.phase, RolloutPhase::Stopped);
}

#[test]
fn a_second_roll_waits_for_the_first_and_a_wrong_plan_is_told() {
    let mut r = roll(program());
    let begin = |plan: RolloutPlan| RolloutEntry::Begin {
        id: 2,
        what: RolloutChange::Settings,
        plan,
        why: String::new(),
    };
    let plan = RolloutPlan {
        stages: vec![vec![place(0, "a", false)]],
        ..RolloutPlan::default()
    };
    assert_eq!(r.apply(begin(plan.clone())), Err(RolloutRejection::Busy));
    r.apply(RolloutEntry::Abort {
        id: 1,
        why: "no".into(),
    })
    .expect("it goes on");
    assert_eq!(r.phase, RolloutPhase::Stopped, "nothing had changed");
    let twice = RolloutPlan {
        stages: vec![vec![place(0, "a", false)], vec![place(0, "a", false)]],
        ..plan.clone()
    };
    for wrong in [
        RolloutPlan::default(),
        twice,
        RolloutPlan {
            at_once: 0,
            ..plan.clone()
        },
        RolloutPlan {
            error: 0.0,
            ..plan.clone()
        },
    ] {
        assert!(matches!(
            r.apply(begin(wrong)),
            Err(RolloutRejection::Plan(_))
        ));
    }
    assert_eq!(r.apply(begin(plan)), Ok(()));
    assert_eq!((r.id, r.phase, r.at), (2, RolloutPhase::Moving, 1));
}

#[test]
fn a_pause_holds_what_goes_forward_and_not_what_goes_back() {
    let mut r = roll(program());
    r.apply(RolloutEntry::Pause {
        id: 1,
        why: "a look".into(),
    })
    .expect("it goes on");
    assert_eq!(let_go(&mut r, "f0"), Err(RolloutRejection::NotNow));
    r.apply(RolloutEntry::Resume { id: 1 })
        .expect("it is paused");
    let_go(&mut r, "f0").expect("it may");
    let fell = Crash {
        name: "f0".into(),
        process: 3,
        sort: "signal 6".into(),
        again: 1,
    };
    assert_eq!(r.apply(RolloutEntry::Fell(fell.clone())), Ok(()));
    assert_eq!(
        r.apply(RolloutEntry::Fell(fell)),
        Err(RolloutRejection::NotNow),
        "told twice it is one"
    );
    r.apply(RolloutEntry::Pause {
        id: 1,
        why: "a look".into(),
    })
    .expect("it goes on");
    r.apply(RolloutEntry::Abort {
        id: 1,
        why: "no".into(),
    })
    .expect("it goes on");
    assert_eq!(
        (let_go(&mut r, "f0"), moved(&mut r, "f0")),
        (Ok(()), Ok(()))
    );
    assert_eq!(r.phase, RolloutPhase::Stopped);
}
