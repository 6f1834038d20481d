//! Versions of the settings: the rules while two versions are in use, and the phases of a version in the log.

mod compatibility;
mod log;

use proptest::prelude::*;
use tansy_agreement::compatibility::{
    Compatibility, ExpiredLeasePolicy, Fields, Restrictiveness, Schema, Value,
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

fn restrictiveness() -> impl Strategy<Value = Restrictiveness> {
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

/// Versions with fields of the schema and one field that it does not contain.
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
    let fields = field.prop_map(|(path, n)| (path.to_string(), Value::Int(n)));
    proptest::collection::btree_map("x", Just(Value::Int(0)), 0).prop_flat_map(move |_: Fields| {
        proptest::collection::vec(fields.clone(), 0..10).prop_map(|all| all.into_iter().collect())
    })
}
