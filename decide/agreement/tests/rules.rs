//! Kinds of fields: what holds while two versions are about, and what a front end does that knows neither.

use proptest::prelude::*;
use tansy_agreement::compatibility::*;
use tansy_agreement::log::{
    ApplyOutcome, ChangePhase, EntryRejection, Log, LogEntry, Revision, Version,
};

fn values() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        any::<bool>().prop_map(Value::Flag),
        (-3i64..4).prop_map(Value::Int),
        any::<i64>().prop_map(Value::Int),
        any::<f64>().prop_map(Value::Number),
        "[a-c]{0,2}".prop_map(Value::Text),
        Just(Value::Text("keyed".into())),
        Just(Value::Text("safe".into())),
    ];
    leaf.prop_recursive(2, 8, 3, |inner| {
        proptest::collection::vec(inner, 0..3).prop_map(Value::List)
    })
}

fn orders() -> impl Strategy<Value = Restrictiveness> {
    prop_oneof![
        Just(Restrictiveness::Smallest),
        Just(Restrictiveness::Largest),
        Just(Restrictiveness::Ranked(&["unsafe", "keyed", "safe"])),
    ]
}

fn schema() -> Schema {
    Schema::new([
        (
            "limit",
            Compatibility::Joint(
                Restrictiveness::Smallest,
                ExpiredLeasePolicy::Strictest(Value::Int(0)),
            ),
        ),
        (
            "count",
            Compatibility::Joint(
                Restrictiveness::Largest,
                ExpiredLeasePolicy::Strictest(Value::Int(1000)),
            ),
        ),
        ("classes.*.aim", Compatibility::Free),
        ("classes.*.group", Compatibility::Strict),
        (
            "tenants.*.quota",
            Compatibility::Joint(Restrictiveness::Smallest, ExpiredLeasePolicy::Reject),
        ),
    ])
}

/// Versions over the schema's fields and one that it doesn't know.
fn versions() -> impl Strategy<Value = Fields> {
    let field = prop_oneof![
        (Just("limit"), 0i64..5),
        (Just("count"), 0i64..5),
        (Just("classes.a.aim"), 0i64..3),
        (Just("classes.a.group"), 0i64..3),
        (Just("classes.b.group"), 0i64..3),
        (Just("tenants.t.quota"), 0i64..3),
        (Just("tenants.u.quota"), 0i64..3),
        (Just("novel"), 0i64..3),
    ];
    let named = field.prop_map(|(p, n)| (p.to_string(), Value::Int(n)));
    proptest::collection::btree_map("x", Just(Value::Int(0)), 0).prop_flat_map(move |_: Fields| {
        proptest::collection::vec(named.clone(), 0..10).prop_map(|v| v.into_iter().collect())
    })
}

proptest! {
    #[test]
    fn stricter_is_commutative_idempotent_associative_and_binds_both(
        by in orders(),
        a in proptest::option::of(values()),
        b in proptest::option::of(values()),
        c in proptest::option::of(values()),
    ) {
        let (a, b, c) = (a.as_ref(), b.as_ref(), c.as_ref());
        let ab = by.stricter(a, b);
        prop_assert_eq!(ab, by.stricter(b, a));
        prop_assert_eq!(by.stricter(a, a), a);
        prop_assert_eq!(by.stricter(ab, c), by.stricter(a, by.stricter(b, c)));
        prop_assert!(by.at_least_as_strict(ab, a) && by.at_least_as_strict(ab, b), "looser than one of the two");
    }

    #[test]
    fn joint_rules_contradict_neither_version(old in versions(), new in versions()) {
        let rules = joint_rules(&schema(), &old, &new);
        prop_assert_eq!(contradictions(&schema(), &old, &rules), vec![]);
        prop_assert_eq!(contradictions(&schema(), &new, &rules), vec![]);
    }

    #[test]
    fn who_holds_no_lease_contradicts_no_version_at_all(known in versions(), force in versions()) {
        let rules = rules_after_expiry(&schema(), &known);
        // A strict field that it has never heard of, and that stands for all calls, is beyond what it can know.
        let found = contradictions(&schema(), &force, &rules);
        prop_assert!(found.iter().all(|(p, _)| p == "novel" && !known.contains_key("novel")), "{:?}", found);
    }

    #[test]
    fn a_version_that_changes_nothing_strict_interrupts_no_call(old in versions(), aim in 0i64..9) {
        let mut new = old.clone();
        new.insert("classes.a.aim".into(), Value::Int(aim));
        new.insert("limit".into(), Value::Int(aim));
        let rules = joint_rules(&schema(), &old, &new);
        prop_assert!(rules.rejected.is_empty());
    }

    #[test]
    fn the_log_never_jumps_and_forgets_no_version(entries in proptest::collection::vec((0u8..4, versions(), 0u64..6), 0..60)) {
        let mut log = Log::new(Fields::new(), []);
        let (mut step, mut force) = (Revision(1), Version(1));
        for (sort, fields, n) in entries {
            let latest = log.state().latest();
            let entry = match sort {
                0 | 1 => LogEntry::Propose { id: 0, base: latest, fields, reason: String::new() },
                2 => LogEntry::Advance { from: Revision(n.max(1)).max(if n > 2 { log.state().revision } else { Revision(1) }) },
                _ => LogEntry::Abandon { version: Version(n) },
            };
            let known = log.history().count();
            let before = log.clone();
            match log.apply(entry) {
                Ok(ApplyOutcome::Duplicate(_)) => {}
                Ok(_) => prop_assert_eq!(log.state().revision, step.next()),
                Err(_) => prop_assert_eq!(&before, &log, "a refused entry changed something"),
            }
            prop_assert!(log.history().count() >= known);
            prop_assert!(log.state().in_force.version >= force, "an older version came back");
            (step, force) = (log.state().revision, log.state().in_force.version);
        }
    }
}

#[test]
fn calls_that_no_contested_field_touches_go_on() {
    let with = |group: &str| -> Fields {
        [("classes.pay.group".to_string(), Value::Text(group.into()))].into()
    };
    let rules = joint_rules(&schema(), &with("zone"), &with("cell"));
    let call = |class| CallAttributes {
        class,
        tenant: "",
        function: "",
    };
    assert!(rules.rejects(call("pay")) && !rules.rejects(call("chat")));
}

#[test]
fn a_version_goes_by_told_and_joint_into_force() {
    let one = |n: i64| -> Fields { [("limit".to_string(), Value::Int(n))].into() };
    let mut log = Log::new(one(4), []);
    let propose = |id, base, n| LogEntry::Propose {
        id,
        base: Version(base),
        fields: one(n),
        reason: "less".into(),
    };
    assert_eq!(
        log.apply(propose(7, 1, 2)),
        Ok(ApplyOutcome::Announced(Version(2)))
    );
    assert_eq!(
        log.state().rules(&schema()).fields["limit"],
        Value::Int(4),
        "told is not acted on"
    );
    assert_eq!(
        log.apply(propose(7, 1, 2)),
        Ok(ApplyOutcome::Duplicate(Version(2))),
        "told twice is one"
    );
    assert_eq!(
        log.apply(propose(8, 1, 3)),
        Err(EntryRejection::ChangeInProgress { with: Version(2) })
    );
    log.apply(LogEntry::Advance { from: Revision(2) })
        .expect("joint");
    assert_eq!(
        log.state().rules(&schema()).fields["limit"],
        Value::Int(2),
        "the stricter holds"
    );
    assert_eq!(
        log.apply(LogEntry::Advance { from: Revision(2) }),
        Err(EntryRejection::StaleRevision),
        "a step is taken once"
    );
    log.apply(LogEntry::Advance { from: Revision(3) })
        .expect("in force");
    assert_eq!(log.state().in_force.version, Version(2));
    assert_eq!(
        log.apply(propose(9, 1, 3)),
        Err(EntryRejection::StaleBase { latest: Version(2) }),
        "a lost update"
    );
    assert_eq!(log.apply(propose(10, 2, 2)), Err(EntryRejection::NoChange));
}

#[test]
fn a_change_given_up_while_joint_goes_back_by_a_step_of_its_own() {
    let one = |n: i64| -> Fields { [("limit".to_string(), Value::Int(n))].into() };
    let mut log = Log::new(one(4), []);
    log.apply(LogEntry::Propose {
        id: 1,
        base: Version(1),
        fields: one(9),
        reason: String::new(),
    })
    .expect("told");
    log.apply(LogEntry::Advance { from: Revision(2) })
        .expect("joint");
    log.apply(LogEntry::Abandon {
        version: Version(2),
    })
    .expect("back");
    assert!(
        matches!(log.state().next, Some((_, ChangePhase::RolledBack))),
        "another change has to wait for all to be back"
    );
    assert_eq!(log.state().rules(&schema()).fields["limit"], Value::Int(4));
    log.apply(LogEntry::Advance { from: Revision(4) })
        .expect("over");
    assert_eq!(
        (log.state().in_force.version, log.has_open_changes()),
        (Version(1), false)
    );
    log.apply(LogEntry::Propose {
        id: 2,
        base: Version(1),
        fields: one(5),
        reason: String::new(),
    })
    .expect("the next");
    assert_eq!(
        log.state().latest(),
        Version(3),
        "numbers are not used twice"
    );
}

#[test]
fn a_roll_that_is_refused_leaves_the_log_as_it_was() {
    use tansy_rollout::{RolloutChange, RolloutEntry as Step, RolloutPlan, Target};
    let one = |n| Fields::from([("worker.max_attempts".to_string(), Value::Int(n))]);
    let mut log = Log::new(one(4), []);
    let place = Target {
        name: "f0".into(),
        zone: "a".into(),
        seat: false,
    };
    let right = RolloutPlan {
        stages: vec![vec![place]],
        ..RolloutPlan::default()
    };
    let begin = |id, plan: &RolloutPlan| {
        let entry = Step::Begin {
            id,
            what: RolloutChange::Settings,
            plan: plan.clone(),
            why: String::new(),
        };
        LogEntry::Rollout {
            entry: Box::new(entry),
            fields: Some(one(3)),
        }
    };
    let abort = LogEntry::Rollout {
        entry: Box::new(Step::Abort {
            id: 1,
            why: String::new(),
        }),
        fields: None,
    };
    for entry in [begin(1, &right), abort] {
        log.apply(entry).expect("it may");
    }
    let before = log.clone();
    // Wrong though another roll has been; the same one again.
    for entry in [begin(2, &RolloutPlan::default()), begin(1, &right)] {
        assert!(matches!(
            log.apply(entry),
            Err(tansy_agreement::log::EntryRejection::Rollout(_))
        ));
        assert_eq!(log, before);
    }
}
