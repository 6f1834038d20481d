//! Requests for changes of functions come back as they were written, and wrong ones are turned away.

use prost::Message;
use tansy_agreement::log::Step;
use tansy_agreement::rule::Value;
use tansy_agreement::scope::{ScopeChange, ScopeRequest, CHANGES, NAME};
use tansy_fleet_wire::{of_scope_request, pb, scope_request, Bad};

fn request() -> ScopeRequest {
    let fields = [
        ("class", Value::Text("chat".into())),
        ("lanes", Value::Int(4)),
    ];
    let fields = fields.map(|(name, v)| (name.to_string(), v)).into();
    let change = |scope: &str, base, fields| ScopeChange {
        scope: scope.into(),
        base: Step(base),
        fields,
    };
    let changes = vec![change("a.b", 0, Some(fields)), change("c", u64::MAX, None)];
    ScopeRequest {
        id: u64::MAX,
        changes,
        why: "because".into(),
    }
}

#[test]
fn a_request_comes_back_as_it_was_written() {
    let bytes = scope_request(&request()).encode_to_vec();
    let read = pb::ScopeRequest::decode(&bytes[..]).expect("it reads");
    assert_eq!(of_scope_request(read), Ok(request()));
}

#[test]
fn wrong_requests_are_turned_away() {
    type Case = (&'static str, fn(&mut pb::ScopeRequest));
    let wrong: [Case; 4] = [
        ("function's name", |r| r.changes[0].scope.clear()),
        ("function's name", |r| {
            r.changes[0].scope = "x".repeat(NAME + 1)
        }),
        ("number of changes", |r| {
            r.changes = vec![r.changes[1].clone(); CHANGES + 1]
        }),
        ("reason", |r| r.why = "x".repeat(1 << 20)),
    ];
    for (part, change) in wrong {
        let mut written = scope_request(&request());
        change(&mut written);
        assert_eq!(of_scope_request(written), Err(Bad::Part(part)));
    }
    let mut nothing = scope_request(&request());
    let fields = nothing.changes[0].fields.as_mut().expect("they are set");
    fields.fields.insert("memory".into(), pb::Value::default());
    assert!(matches!(of_scope_request(nothing), Err(Bad::Part(_))));
}
