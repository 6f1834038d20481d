//! The settings of a simulated fleet: schema, first version and random changes.

use tansy_agreement::compatibility::{
    Compatibility, ExpiredLeasePolicy, Fields, Restrictiveness, Schema, Value,
};

const QUOTA: &str = "tenants.acme.quota";

/// The schema of the simulated settings.
pub(super) fn schema() -> Schema {
    schema_with(Compatibility::Strict)
}

/// The schema with the given compatibility for the field `classes.*.group`, which is normally strict.
pub(super) fn schema_with(strict: Compatibility) -> Schema {
    let smallest = |expired| {
        Compatibility::Joint(
            Restrictiveness::Smallest,
            ExpiredLeasePolicy::Strictest(expired),
        )
    };
    let largest = Compatibility::Joint(
        Restrictiveness::Largest,
        ExpiredLeasePolicy::Strictest(Value::Int(100_000)),
    );
    let ranked = Compatibility::Joint(
        Restrictiveness::Ranked(&["unsafe", "keyed", "safe"]),
        ExpiredLeasePolicy::Strictest(Value::Text("unsafe".into())),
    );
    let rejecting = Compatibility::Joint(Restrictiveness::Smallest, ExpiredLeasePolicy::Reject);
    Schema::new([
        ("worker.max_attempts", smallest(Value::Int(1))),
        ("worker.fall_multiple", smallest(Value::Number(1.0))),
        ("front.siblings", largest),
        ("classes.*.effect", ranked),
        ("classes.*.aim", Compatibility::Free),
        ("classes.*.group", strict),
        ("functions.*.class", Compatibility::Strict),
        ("functions.*.lanes", smallest(Value::Int(1))),
        ("functions.*.memory", Compatibility::Free),
        ("tenants.*.quota", rejecting),
    ])
}

/// The first version of the settings, with two fields for each function.
pub(super) fn initial_fields(functions: usize) -> Fields {
    let text = |value: &str| Value::Text(value.into());
    let shared = [
        ("worker.max_attempts", Value::Int(4)),
        ("worker.fall_multiple", Value::Number(2.0)),
        ("front.siblings", Value::Int(300)),
        ("classes.chat.effect", text("safe")),
        ("classes.chat.aim", Value::Int(800_000)),
        ("classes.chat.group", text("all")),
        ("classes.pay.effect", text("keyed")),
        ("classes.pay.aim", Value::Int(900_000)),
        ("classes.pay.group", text("zone")),
        (QUOTA, Value::Int(100)),
    ];
    let of_function = |number: usize| {
        let class = (format!("functions.f{number:06}.class"), text("chat"));
        let memory = Value::Bytes(128 << 20);
        [class, (format!("functions.f{number:06}.memory"), memory)]
    };
    let shared = shared
        .into_iter()
        .map(|(path, value)| (path.to_string(), value));
    shared.chain((0..functions).flat_map(of_function)).collect()
}

/// Draws a new version with one to three changed fields; occasionally a quota is also removed or added.
pub(super) fn change_fields(rng: &mut fastrand::Rng, from: &Fields) -> Fields {
    let mut fields = from.clone();
    for _ in 0..rng.usize(1..4) {
        let paths: Vec<String> = fields.keys().cloned().collect();
        let path = paths[rng.usize(0..paths.len())].clone();
        let value = match path.rsplit('.').next().unwrap_or("") {
            "effect" => Value::Text(["safe", "keyed", "unsafe"][rng.usize(0..3)].into()),
            "group" => Value::Text(["all", "zone", "cell"][rng.usize(0..3)].into()),
            "fall_multiple" => Value::Number(1.0 + rng.f64() * 3.0),
            _ => Value::Int(rng.i64(1..500)),
        };
        fields.insert(path, value);
    }
    if rng.u32(0..6) == 0 && fields.remove(QUOTA).is_none() {
        fields.insert(QUOTA.into(), Value::Int(rng.i64(1..100)));
    }
    fields
}
