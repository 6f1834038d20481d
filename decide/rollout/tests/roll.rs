//! Steps that are past, of who steers no more, or not to be taken now, change nothing.

use tansy_rollout::{Entry, Fallen, Phase, Place, Plan, Refused, Roll, What};

fn place(n: usize, zone: &str, seat: bool) -> Place {
    Place {
        name: format!("f{n}"),
        zone: zone.into(),
        seat,
    }
}

fn roll(what: What) -> Roll {
    let stages = vec![
        vec![
            place(0, "a", true),
            place(1, "a", false),
            place(2, "b", true),
        ],
        vec![place(3, "b", false)],
    ];
    let mut r = Roll::begin(
        1,
        what,
        Plan {
            stages,
            ..Plan::default()
        },
        "a test".into(),
    )
    .expect("a plan");
    r.apply(Entry::Steer {
        fence: 1,
        who: "s".into(),
    })
    .expect("nobody steers");
    r
}

fn program() -> What {
    What::Program {
        label: "new".into(),
        path: "new".into(),
    }
}

fn step(r: &mut Roll, make: impl Fn(u64, u64) -> Entry) -> Result<(), Refused> {
    r.apply(make(r.at, r.fence))
}

fn let_go(r: &mut Roll, name: &str) -> Result<(), Refused> {
    step(r, |at, fence| Entry::Let {
        at,
        fence,
        name: name.into(),
    })
}

fn moved(r: &mut Roll, name: &str) -> Result<(), Refused> {
    step(r, |at, fence| Entry::Moved {
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
        Err(Refused::NotNow),
        "it is of a later stage"
    );
    assert_eq!(
        let_go(&mut r, "f9"),
        Err(Refused::NotNow),
        "it is of no stage"
    );
    assert_eq!(let_go(&mut r, "f0"), Ok(()));
    assert_eq!(let_go(&mut r, "f1"), Err(Refused::NotNow), "the same zone");
    assert_eq!(let_go(&mut r, "f2"), Err(Refused::NotNow), "another seat");
    assert_eq!(moved(&mut r, "f0"), Ok(()));
    assert_eq!(moved(&mut r, "f0"), Err(Refused::NotNow));
    assert_eq!(
        (let_go(&mut r, "f1"), let_go(&mut r, "f2")),
        (Ok(()), Ok(()))
    );
    // Settings take nothing away.
    let mut r = roll(What::Settings);
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
        r.apply(Entry::Let {
            at,
            fence,
            name: "f2".into()
        }),
        Err(Refused::Past)
    );
    assert_eq!(
        r.apply(Entry::Steer {
            fence: 3,
            who: "t".into()
        }),
        Err(Refused::Fenced)
    );
    assert_eq!(
        r.apply(Entry::Steer {
            fence: 2,
            who: "t".into()
        }),
        Ok(())
    );
    assert_eq!(
        r.apply(Entry::Steer {
            fence: 2,
            who: "u".into()
        }),
        Err(Refused::Fenced),
        "one was first"
    );
    let at = r.at;
    assert_eq!(
        r.apply(Entry::Moved {
            at,
            fence,
            name: "f0".into()
        }),
        Err(Refused::Fenced)
    );
    assert_eq!(
        r.apply(Entry::Beat { fence, seen: None }),
        Err(Refused::Fenced)
    );
    assert_eq!(moved(&mut r, "f0"), Ok(()));
}

#[test]
fn an_abort_as_the_last_stage_passes_is_one_or_the_other() {
    let mut r = roll(What::Settings);
    for name in ["f0", "f1", "f2"] {
        (let_go(&mut r, name), moved(&mut r, name))
            .0
            .expect("it may");
    }
    assert_eq!(step(&mut r, |at, fence| Entry::Judge { at, fence }), Ok(()));
    let pass = |at, fence| Entry::Pass {
        at,
        fence,
        why: "well".into(),
    };
    assert_eq!(step(&mut r, pass), Ok(()));
    (let_go(&mut r, "f3"), moved(&mut r, "f3"))
        .1
        .expect("it moves");
    step(&mut r, |at, fence| Entry::Judge { at, fence }).expect("it stands");
    let mut first = r.clone();
    assert_eq!(step(&mut first, pass), Ok(()));
    assert_eq!(
        first.apply(Entry::Abort {
            id: 1,
            why: "no".into()
        }),
        Err(Refused::Over),
        "it is done"
    );
    assert_eq!(first.phase, Phase::Done);
    let (at, fence) = (r.at, r.fence);
    assert_eq!(
        r.apply(Entry::Abort {
            id: 1,
            why: "no".into()
        }),
        Ok(())
    );
    assert_eq!(
        r.apply(Entry::Pass {
            at,
            fence,
            why: "well".into()
        }),
        Err(Refused::Past)
    );
    assert_eq!(step(&mut r, pass), Err(Refused::NotNow));
    assert_eq!(
        r.apply(Entry::Abort {
            id: 1,
            why: "again".into()
        }),
        Err(Refused::NotNow),
        "it goes back already"
    );
    assert_eq!(
        r.apply(Entry::Abort {
            id: 2,
            why: "another".into()
        }),
        Err(Refused::Over)
    );
    for name in ["f0", "f1", "f2", "f3"] {
        (let_go(&mut r, name), moved(&mut r, name))
            .0
            .expect("it may");
    }
    assert_eq!(r.phase, Phase::Stopped);
}

#[test]
fn a_second_roll_waits_for_the_first_and_a_wrong_plan_is_told() {
    let mut r = roll(program());
    let begin = |plan: Plan| Entry::Begin {
        id: 2,
        what: What::Settings,
        plan,
        why: String::new(),
    };
    let plan = Plan {
        stages: vec![vec![place(0, "a", false)]],
        ..Plan::default()
    };
    assert_eq!(r.apply(begin(plan.clone())), Err(Refused::Busy));
    r.apply(Entry::Abort {
        id: 1,
        why: "no".into(),
    })
    .expect("it goes on");
    assert_eq!(r.phase, Phase::Stopped, "nothing had changed");
    let twice = Plan {
        stages: vec![vec![place(0, "a", false)], vec![place(0, "a", false)]],
        ..plan.clone()
    };
    for wrong in [
        Plan::default(),
        twice,
        Plan {
            at_once: 0,
            ..plan.clone()
        },
        Plan {
            error: 0.0,
            ..plan.clone()
        },
    ] {
        assert!(matches!(r.apply(begin(wrong)), Err(Refused::Plan(_))));
    }
    assert_eq!(r.apply(begin(plan)), Ok(()));
    assert_eq!((r.id, r.phase, r.at), (2, Phase::Moving, 1));
}

#[test]
fn a_pause_holds_what_goes_forward_and_not_what_goes_back() {
    let mut r = roll(program());
    r.apply(Entry::Pause {
        id: 1,
        why: "a look".into(),
    })
    .expect("it goes on");
    assert_eq!(let_go(&mut r, "f0"), Err(Refused::NotNow));
    r.apply(Entry::Resume { id: 1 }).expect("it is paused");
    let_go(&mut r, "f0").expect("it may");
    let fell = Fallen {
        name: "f0".into(),
        process: 3,
        sort: "signal 6".into(),
        again: 1,
    };
    assert_eq!(r.apply(Entry::Fell(fell.clone())), Ok(()));
    assert_eq!(
        r.apply(Entry::Fell(fell)),
        Err(Refused::NotNow),
        "told twice it is one"
    );
    r.apply(Entry::Pause {
        id: 1,
        why: "a look".into(),
    })
    .expect("it goes on");
    r.apply(Entry::Abort {
        id: 1,
        why: "no".into(),
    })
    .expect("it goes on");
    assert_eq!(
        (let_go(&mut r, "f0"), moved(&mut r, "f0")),
        (Ok(()), Ok(()))
    );
    assert_eq!(r.phase, Phase::Stopped);
}
