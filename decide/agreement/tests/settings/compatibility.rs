//! Rules while two versions are in use, and rules of a front end that doesn't know the version in force.

use super::{restrictiveness, schema, values, versions};
use proptest::prelude::*;
use tansy_agreement::compatibility::{
    contradictions, joint_rules, rules_after_expiry, CallAttributes, Fields, Value,
};

proptest! {
    #[test]
    fn stricter_is_commutative_idempotent_associative_and_as_strict_as_both(
        order in restrictiveness(),
        first in proptest::option::of(values()),
        second in proptest::option::of(values()),
        third in proptest::option::of(values()),
    ) {
        let (first, second, third) = (first.as_ref(), second.as_ref(), third.as_ref());
        let both = order.stricter(first, second);
        prop_assert_eq!(both, order.stricter(second, first));
        prop_assert_eq!(order.stricter(first, first), first);
        prop_assert_eq!(order.stricter(both, third), order.stricter(first, order.stricter(second, third)));
        prop_assert!(order.at_least_as_strict(both, first) && order.at_least_as_strict(both, second), "less strict than one of the two");
    }

    #[test]
    fn joint_rules_contradict_neither_version(old in versions(), new in versions()) {
        let rules = joint_rules(&schema(), &old, &new);
        prop_assert_eq!(contradictions(&schema(), &old, &rules), vec![]);
        prop_assert_eq!(contradictions(&schema(), &new, &rules), vec![]);
    }

    #[test]
    fn rules_after_expiry_contradict_no_version(known in versions(), in_force in versions()) {
        let rules = rules_after_expiry(&schema(), &known);
        // A member can't know of a strict field that affects all calls and that its version doesn't have.
        let contradictions = contradictions(&schema(), &in_force, &rules);
        prop_assert!(contradictions.iter().all(|(path, _)| path == "novel" && !known.contains_key("novel")), "{:?}", contradictions);
    }

    #[test]
    fn a_change_without_strict_fields_rejects_no_call(old in versions(), limit in 0i64..9) {
        let mut new = old.clone();
        new.insert("classes.a.aim".into(), Value::Int(limit));
        new.insert("limit".into(), Value::Int(limit));
        let rules = joint_rules(&schema(), &old, &new);
        prop_assert!(rules.rejected.is_empty());
    }
}

#[test]
fn calls_that_no_conflicting_field_affects_are_not_rejected() {
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
