//! The compatibility rule of each field of the schema.

use tansy_agreement::compatibility::Compatibility::{Free, Strict};
use tansy_agreement::compatibility::{
    Compatibility, ExpiredLeasePolicy, Restrictiveness, Schema, Value,
};

/// A pattern of field paths, and how these fields may differ between front ends.
type Rule = (&'static str, Compatibility);

/// The smallest share or multiple that the schema accepts.
const MIN_FACTOR: f64 = 0.000001;
/// Upper bound of all durations, microseconds.
const MAX_TIME: i64 = 1_000_000_000_000_000;

/// The smaller of two values is the stricter one; `strictest` applies without a lease.
fn smallest(strictest: Value) -> Compatibility {
    Compatibility::Joint(
        Restrictiveness::Smallest,
        ExpiredLeasePolicy::Strictest(strictest),
    )
}

/// The larger of two values is the stricter one; `strictest` applies without a lease.
fn largest(strictest: Value) -> Compatibility {
    Compatibility::Joint(
        Restrictiveness::Largest,
        ExpiredLeasePolicy::Strictest(strictest),
    )
}

/// The compatibility of all fields. The first pattern that matches a path applies.
pub fn compatibility_schema() -> Schema {
    let rules = gateway()
        .into_iter()
        .chain(classes())
        .chain(tenants())
        .chain(functions())
        .chain(workers());
    Schema::new(rules.chain(fleet()))
}

/// Rules of the gateway's fields. Most are free, including those that each front end sets for itself, such as its index and
/// addresses.
fn gateway() -> [Rule; 5] {
    [
        // All front ends must count a call under the same class and tenant.
        ("front.class_key", Strict),
        ("front.tenant_key", Strict),
        // Budgets are divided by the number of front ends: a larger number gives each of them a smaller share.
        ("front.siblings", largest(Value::Int(100_000))),
        ("front.*", Free),
        ("zones", Free),
    ]
}

/// Rules of classes.
fn classes() -> [Rule; 9] {
    let effects = Restrictiveness::Ranked(&["unsafe", "keyed", "safe"]);
    [
        // Determines whether a call may be retried.
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

/// Rules of tenants, and of the weights of calls.
fn tenants() -> [Rule; 4] {
    [
        ("tenants.*.quota_per_s", smallest(Value::Number(MIN_FACTOR))),
        ("tenants.*.fraction", smallest(Value::Number(0.0))),
        ("over_quota_worth", Free),
        ("worth_by_work", Free),
    ]
}

/// Rules of functions.
fn functions() -> [Rule; 5] {
    [
        // A function's class determines whether its calls may be retried.
        ("functions.*.class", Strict),
        ("functions.*.lanes", smallest(Value::Int(1))),
        ("functions.*.memory", Free),
        ("functions.*.load_time", Free),
        ("functions.*.versions", Free),
    ]
}

/// Rules of the fields that limit the load that all front ends together put on workers.
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

/// Rules of the fields that each front end reads from its own file.
fn fleet() -> [Rule; 2] {
    [
        // Worker lists may differ between front ends; the record with a worker's latest incarnation counts.
        ("workers", Free),
        // Each front end has its own fleet settings.
        ("fleet.*", Free),
    ]
}
