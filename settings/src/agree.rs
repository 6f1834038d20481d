//! How each field of the schema agrees over a fleet, and a text's fields in the form that agreement works on.
//!
//! `tests/agree.rs` goes through the schema and finds every field of it here.

use crate::value::{Kind as Sort, Node, Scalar};
use tansy_agree::rule::{Fields, Kind, Lapsed, Schema, Stricter, Value};

fn least(v: Value) -> Kind {
    Kind::Joint(Stricter::Least, Lapsed::Strictest(v))
}

fn most(v: Value) -> Kind {
    Kind::Joint(Stricter::Most, Lapsed::Strictest(v))
}

/// The kinds of all fields. Fields that are a front end's own are free: `front.me`, its addresses, what it holds.
pub fn agreement() -> Schema {
    use Kind::{Free, Strict};
    let refuse = || Kind::Joint(Stricter::Least, Lapsed::Refuse);
    let effects = Stricter::First(&["unsafe", "keyed", "safe"]);
    Schema::new([
        // What a call is counted as must be one thing over all.
        ("front.class_key", Strict),
        ("front.tenant_key", Strict),
        // Budgets are divided by it: the larger number leaves the smaller parts.
        ("front.siblings", most(Value::Int(100_000))),
        ("front.longest", least(Value::Int(1))),
        ("front.answer_slack", least(Value::Int(0))),
        ("front.*", Free),
        ("zones", Free),
        // What a repeat may do.
        ("classes.*.effect", Kind::Joint(effects, Lapsed::Strictest(Value::Text("unsafe".into())))),
        ("classes.*.window", least(Value::Int(0))),
        ("classes.*.group", Strict),
        ("classes.*.deadline", Free),
        ("classes.*.aim", Free),
        ("classes.*.aim_stretch", Free),
        ("classes.*.worth", Free),
        ("classes.*.late_worth", Free),
        ("classes.*.streamed", Free),
        ("tenants.*.quota_per_s", refuse()),
        ("tenants.*.fraction", refuse()),
        ("over_quota_worth", Free),
        ("worth_by_work", Free),
        // A function's class says what a repeat of its calls may do.
        ("functions.*.class", Strict),
        ("functions.*.lanes", least(Value::Int(1))),
        ("functions.*.memory", Free),
        ("functions.*.load_time", Free),
        ("functions.*.versions", Free),
        // What workers bear, by all front ends together.
        ("worker.max_attempts", least(Value::Int(1))),
        ("worker.may_order", least(Value::Flag(false))),
        ("worker.may_probe", least(Value::Flag(false))),
        ("worker.cold_from", least(Value::Number(0.0))),
        ("worker.warm_up", most(Value::Int(i64::MAX))),
        ("worker.fall_multiple", least(Value::Number(0.0))),
        ("worker.fall_after", least(Value::Int(0))),
        ("worker.drain_grace", least(Value::Int(0))),
        ("worker.ration.free", least(Value::Number(0.0))),
        ("worker.ration.part", least(Value::Number(0.0))),
        ("worker.ration.period", most(Value::Int(i64::MAX))),
        ("worker.*", Free),
        ("prices.*", Free),
        // Lists of workers are versioned by themselves.
        ("workers", Free),
    ])
}

/// A text's fields by their paths, with the schema's defaults filled in; all errors at once.
pub fn fields(name: &str, text: &str) -> Result<Fields, crate::Errors> {
    crate::checked(name, text, "#Settings", |node, _| {
        let mut fields = Fields::new();
        flatten(node, String::new(), &mut fields);
        Some(fields)
    })
}

fn flatten(node: &Node, path: String, into: &mut Fields) {
    let Sort::Record(record) = &node.kind else {
        into.extend(value(node).map(|v| (path, v)));
        return;
    };
    for (name, field) in &record.fields {
        let under = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        flatten(&field.node, under, into);
    }
}

fn value(node: &Node) -> Option<Value> {
    match &node.kind {
        Sort::Scalar(Scalar::Bool(b)) => Some(Value::Flag(*b)),
        Sort::Scalar(Scalar::Int(n) | Scalar::Duration(n) | Scalar::Size(n)) => Some(Value::Int(*n)),
        Sort::Scalar(Scalar::Float(x)) => Some(Value::Number(*x)),
        Sort::Scalar(Scalar::Text(t)) => Some(Value::Text(t.clone())),
        Sort::List(all, _) => Some(Value::List(all.iter().filter_map(value).collect())),
        // A record within a list, as a line of a list of workers: its fields, each with its name.
        Sort::Record(r) => {
            let named = r
                .fields
                .iter()
                .filter_map(|(n, f)| Some(Value::List(vec![Value::Text(n.clone()), value(&f.node)?])));
            Some(Value::List(named.collect()))
        }
        _ => None,
    }
}
