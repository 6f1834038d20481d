//! The compatibility of each field of the schema between front ends of a fleet.

use tansy_agreement::compatibility::Compatibility::{Free, Strict};
use tansy_agreement::compatibility::{
    Compatibility, ExpiredLeasePolicy, Restrictiveness, Schema, Value,
};

/// A pattern of paths, and how the fields of these paths may differ.
type Rule = (&'static str, Compatibility);

/// The least share or multiple that the schema accepts.
const MIN_FACTOR: f64 = 0.000001;
/// A time longer than any, microseconds.
const MAX_TIME: i64 = 1_000_000_000_000_000;

/// The smaller value is the stricter one; `strictest` holds without a lease.
fn smallest(strictest: Value) -> Compatibility {
    Compatibility::Joint(
        Restrictiveness::Smallest,
        ExpiredLeasePolicy::Strictest(strictest),
    )
}

/// The larger value is the stricter one; `strictest` holds without a lease.
fn largest(strictest: Value) -> Compatibility {
    Compatibility::Joint(
        Restrictiveness::Largest,
        ExpiredLeasePolicy::Strictest(strictest),
    )
}

/// The compatibility of all fields. The first pattern that a path matches counts.
pub fn compatibility_schema() -> Schema {
    let rules = gateway()
        .into_iter()
        .chain(classes())
        .chain(tenants())
        .chain(functions())
        .chain(workers());
    Schema::new(rules.chain(fleet()))
}

/// Of the gateway. A front end's own fields are free: its number, its addresses, its sizes.
fn gateway() -> [Rule; 5] {
    [
        // All front ends must count a call under the same class and tenant.
        ("front.class_key", Strict),
        ("front.tenant_key", Strict),
        // Budgets are divided by it: the larger number leaves the smaller parts.
        ("front.siblings", largest(Value::Int(100_000))),
        ("front.*", Free),
        ("zones", Free),
    ]
}

/// Of classes.
fn classes() -> [Rule; 9] {
    let effects = Restrictiveness::Ranked(&["unsafe", "keyed", "safe"]);
    [
        // Whether a call may be repeated.
        (
            "classes.*.effect",
            Compatibility::Joint(
                effects,
                ExpiredLeasePolicy::Strictest(Value::Text("unsafe".into())),
            ),
        ),
        ("classes.*.window", smallest(Value::Span(0))),
        ("classes.*.group", Strict),
        ("classes.*.deadline", Free),
        ("classes.*.aim", Free),
        ("classes.*.aim_stretch", Free),
        ("classes.*.worth", Free),
        ("classes.*.late_worth", Free),
        ("classes.*.streamed", Free),
    ]
}

/// Of tenants, and the weights of calls.
fn tenants() -> [Rule; 4] {
    [
        ("tenants.*.quota_per_s", smallest(Value::Number(MIN_FACTOR))),
        ("tenants.*.fraction", smallest(Value::Number(0.0))),
        ("over_quota_worth", Free),
        ("worth_by_work", Free),
    ]
}

/// Of functions.
fn functions() -> [Rule; 5] {
    [
        // A function's class determines whether its calls may be repeated.
        ("functions.*.class", Strict),
        ("functions.*.lanes", smallest(Value::Int(1))),
        ("functions.*.memory", Free),
        ("functions.*.load_time", Free),
        ("functions.*.versions", Free),
    ]
}

/// Of workers: limits of the load on them, by all front ends together.
fn workers() -> [Rule; 13] {
    [
        ("worker.max_attempts", smallest(Value::Int(1))),
        ("worker.may_order", smallest(Value::Flag(false))),
        ("worker.may_probe", smallest(Value::Flag(false))),
        ("worker.cold_from", smallest(Value::Number(MIN_FACTOR))),
        ("worker.warm_up", largest(Value::Span(MAX_TIME))),
        ("worker.fall_multiple", smallest(Value::Number(MIN_FACTOR))),
        ("worker.fall_after", smallest(Value::Span(1))),
        ("worker.drain_grace", smallest(Value::Span(0))),
        ("worker.ration.free", smallest(Value::Number(0.0))),
        ("worker.ration.part", smallest(Value::Number(0.0))),
        ("worker.ration.period", largest(Value::Span(MAX_TIME))),
        ("worker.*", Free),
        ("prices.*", Free),
    ]
}

/// Of what each front end reads by itself.
fn fleet() -> [Rule; 2] {
    [
        // Lists of workers have incarnations of their own.
        ("workers", Free),
        // Each front end has its own settings of the fleet.
        ("fleet.*", Free),
    ]
}
