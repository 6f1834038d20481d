//! Requests for changes of functions come back as they were written, and wrong ones are turned away.

use prost::Message;
use tansy_agreement::compatibility::Value;
use tansy_agreement::log::Revision;
use tansy_agreement::scope::{
    ScopeTransaction, ScopeUpdate, MAX_NAME_BYTES, MAX_UPDATES_PER_TRANSACTION,
};
use tansy_fleet_wire::{of_scope_request, pb, scope_request, DecodeError};

fn request() -> ScopeTransaction {
    let fields = [
        ("class", Value::Text("chat".into())),
        ("lanes", Value::Int(4)),
    ];
    let fields = fields.map(|(name, v)| (name.to_string(), v)).into();
    let change = |scope: &str, base, fields| ScopeUpdate {
        scope: scope.into(),
        base: Revision(base),
        fields,
    };
    let changes = vec![change("a.b", 0, Some(fields)), change("c", u64::MAX, None)];
    ScopeTransaction {
        id: u64::MAX,
        updates: changes,
        reason: "because".into(),
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
            r.changes[0].scope = "x".repeat(MAX_NAME_BYTES + 1)
        }),
        ("number of changes", |r| {
            r.changes = vec![r.changes[1].clone(); MAX_UPDATES_PER_TRANSACTION + 1]
        }),
        ("reason", |r| r.why = "x".repeat(1 << 20)),
    ];
    for (part, change) in wrong {
        let mut written = scope_request(&request());
        change(&mut written);
        assert_eq!(
            of_scope_request(written),
            Err(DecodeError::MissingPart(part))
        );
    }
    let mut nothing = scope_request(&request());
    let fields = nothing.changes[0].fields.as_mut().expect("they are set");
    fields.fields.insert("memory".into(), pb::Value::default());
    assert!(matches!(
        of_scope_request(nothing),
        Err(DecodeError::MissingPart(_))
    ));
}
