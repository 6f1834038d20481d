//! Kinds of fields: what holds while two versions are about, and what a front end does that knows neither.

use proptest::prelude::*;
use tansy_agreement::log::{Applied, Entry, Log, Phase, Refused, Step, Version};
use tansy_agreement::rule::*;

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

fn orders() -> impl Strategy<Value = Stricter> {
    prop_oneof![
        Just(Stricter::Least),
        Just(Stricter::Most),
        Just(Stricter::First(&["unsafe", "keyed", "safe"])),
    ]
}

fn schema() -> Schema {
    Schema::new([
        (
            "limit",
            Kind::Joint(Stricter::Least, Lapsed::Strictest(Value::Int(0))),
        ),
        (
            "count",
            Kind::Joint(Stricter::Most, Lapsed::Strictest(Value::Int(1000))),
        ),
        ("classes.*.aim", Kind::Free),
        ("classes.*.group", Kind::Strict),
        (
            "tenants.*.quota",
            Kind::Joint(Stricter::Least, Lapsed::Refuse),
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
        let ab = by.of(a, b);
        prop_assert_eq!(ab, by.of(b, a));
        prop_assert_eq!(by.of(a, a), a);
        prop_assert_eq!(by.of(ab, c), by.of(a, by.of(b, c)));
        prop_assert!(by.binds(ab, a) && by.binds(ab, b), "looser than one of the two");
    }

    #[test]
    fn joint_rules_contradict_neither_version(old in versions(), new in versions()) {
        let rules = joint(&schema(), &old, &new);
        prop_assert_eq!(contradictions(&schema(), &old, &rules), vec![]);
        prop_assert_eq!(contradictions(&schema(), &new, &rules), vec![]);
    }

    #[test]
    fn who_holds_no_lease_contradicts_no_version_at_all(known in versions(), force in versions()) {
        let rules = lapsed(&schema(), &known);
        // A strict field that it has never heard of, and that stands for all calls, is beyond what it can know.
        let found = contradictions(&schema(), &force, &rules);
        prop_assert!(found.iter().all(|(p, _)| p == "novel" && !known.contains_key("novel")), "{:?}", found);
    }

    #[test]
    fn a_version_that_changes_nothing_strict_interrupts_no_call(old in versions(), aim in 0i64..9) {
        let mut new = old.clone();
        new.insert("classes.a.aim".into(), Value::Int(aim));
        new.insert("limit".into(), Value::Int(aim));
        let rules = joint(&schema(), &old, &new);
        prop_assert!(rules.refused.is_empty());
    }

    #[test]
    fn the_log_never_jumps_and_forgets_no_version(entries in proptest::collection::vec((0u8..4, versions(), 0u64..6), 0..60)) {
        let mut log = Log::new(Fields::new(), []);
        let (mut step, mut force) = (Step(1), Version(1));
        for (sort, fields, n) in entries {
            let latest = log.state().latest();
            let entry = match sort {
                0 | 1 => Entry::Propose { id: 0, base: latest, fields, why: String::new() },
                2 => Entry::Advance { from: Step(n.max(1)).max(if n > 2 { log.state().step } else { Step(1) }) },
                _ => Entry::Abandon { version: Version(n) },
            };
            let known = log.history().count();
            let before = log.clone();
            match log.apply(entry) {
                Ok(Applied::Again(_)) => {}
                Ok(_) => prop_assert_eq!(log.state().step, step.next()),
                Err(_) => prop_assert_eq!(&before, &log, "a refused entry changed something"),
            }
            prop_assert!(log.history().count() >= known);
            prop_assert!(log.state().force.version >= force, "an older version came back");
            (step, force) = (log.state().step, log.state().force.version);
        }
    }
}

#[test]
fn calls_that_no_contested_field_touches_go_on() {
    let with = |group: &str| -> Fields {
        [("classes.pay.group".to_string(), Value::Text(group.into()))].into()
    };
    let rules = joint(&schema(), &with("zone"), &with("cell"));
    let call = |class| Call {
        class,
        tenant: "",
        function: "",
    };
    assert!(rules.refuses(call("pay")) && !rules.refuses(call("chat")));
}

#[test]
fn a_version_goes_by_told_and_joint_into_force() {
    let one = |n: i64| -> Fields { [("limit".to_string(), Value::Int(n))].into() };
    let mut log = Log::new(one(4), []);
    let propose = |id, base, n| Entry::Propose {
        id,
        base: Version(base),
        fields: one(n),
        why: "less".into(),
    };
    assert_eq!(log.apply(propose(7, 1, 2)), Ok(Applied::Told(Version(2))));
    assert_eq!(
        log.state().rules(&schema()).fields["limit"],
        Value::Int(4),
        "told is not acted on"
    );
    assert_eq!(
        log.apply(propose(7, 1, 2)),
        Ok(Applied::Again(Version(2))),
        "told twice is one"
    );
    assert_eq!(
        log.apply(propose(8, 1, 3)),
        Err(Refused::Busy { with: Version(2) })
    );
    log.apply(Entry::Advance { from: Step(2) }).expect("joint");
    assert_eq!(
        log.state().rules(&schema()).fields["limit"],
        Value::Int(2),
        "the stricter holds"
    );
    assert_eq!(
        log.apply(Entry::Advance { from: Step(2) }),
        Err(Refused::Past),
        "a step is taken once"
    );
    log.apply(Entry::Advance { from: Step(3) })
        .expect("in force");
    assert_eq!(log.state().force.version, Version(2));
    assert_eq!(
        log.apply(propose(9, 1, 3)),
        Err(Refused::Base { latest: Version(2) }),
        "a lost update"
    );
    assert_eq!(log.apply(propose(10, 2, 2)), Err(Refused::Same));
}

#[test]
fn a_change_given_up_while_joint_goes_back_by_a_step_of_its_own() {
    let one = |n: i64| -> Fields { [("limit".to_string(), Value::Int(n))].into() };
    let mut log = Log::new(one(4), []);
    log.apply(Entry::Propose {
        id: 1,
        base: Version(1),
        fields: one(9),
        why: String::new(),
    })
    .expect("told");
    log.apply(Entry::Advance { from: Step(2) }).expect("joint");
    log.apply(Entry::Abandon {
        version: Version(2),
    })
    .expect("back");
    assert!(
        matches!(log.state().next, Some((_, Phase::Back))),
        "another change has to wait for all to be back"
    );
    assert_eq!(log.state().rules(&schema()).fields["limit"], Value::Int(4));
    log.apply(Entry::Advance { from: Step(4) }).expect("over");
    assert_eq!(
        (log.state().force.version, log.unsettled()),
        (Version(1), false)
    );
    log.apply(Entry::Propose {
        id: 2,
        base: Version(1),
        fields: one(5),
        why: String::new(),
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
    use tansy_rollout::{Entry as Step, Place, Plan, What};
    let one = |n| Fields::from([("worker.max_attempts".to_string(), Value::Int(n))]);
    let mut log = Log::new(one(4), []);
    let place = Place {
        name: "f0".into(),
        zone: "a".into(),
        seat: false,
    };
    let right = Plan {
        stages: vec![vec![place]],
        ..Plan::default()
    };
    let begin = |id, plan: &Plan| {
        let entry = Step::Begin {
            id,
            what: What::Settings,
            plan: plan.clone(),
            why: String::new(),
        };
        Entry::Roll {
            entry: Box::new(entry),
            fields: Some(one(3)),
        }
    };
    let abort = Entry::Roll {
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
    for entry in [begin(2, &Plan::default()), begin(1, &right)] {
        assert!(matches!(
            log.apply(entry),
            Err(tansy_agreement::log::Refused::Roll(_))
        ));
        assert_eq!(log, before);
    }
}
