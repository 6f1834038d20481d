//! Tests that transactions decode to what was encoded, and that invalid ones are rejected.

use prost::Message;
use tansy_agreement::compatibility::Value;
use tansy_agreement::log::Revision;
use tansy_agreement::scope::{
    ScopeTransaction, ScopeUpdate, MAX_NAME_BYTES, MAX_UPDATES_PER_TRANSACTION,
};
use tansy_fleet_wire::{decode_scope_transaction, encode_scope_transaction, pb, DecodeError};

fn transaction() -> ScopeTransaction {
    let fields = [
        ("class", Value::Text("chat".into())),
        ("lanes", Value::Int(4)),
    ];
    let fields = fields.map(|(name, v)| (name.to_string(), v)).into();
    let update = |scope: &str, base, fields| ScopeUpdate {
        scope: scope.into(),
        base: Revision(base),
        fields,
    };
    let updates = vec![update("a.b", 0, Some(fields)), update("c", u64::MAX, None)];
    ScopeTransaction {
        id: u64::MAX,
        updates,
        reason: "because".into(),
    }
}

#[test]
fn a_transaction_decodes_to_what_was_encoded() {
    let bytes = encode_scope_transaction(&transaction()).encode_to_vec();
    let decoded = pb::ScopeTransaction::decode(&bytes[..]).expect("it decodes");
    assert_eq!(decode_scope_transaction(decoded), Ok(transaction()));
}

#[test]
fn invalid_transactions_are_rejected() {
    type Case = (&'static str, fn(&mut pb::ScopeTransaction));
    let invalid: [Case; 4] = [
        ("function's name", |transaction| {
            transaction.updates[0].scope.clear()
        }),
        ("function's name", |transaction| {
            transaction.updates[0].scope = "x".repeat(MAX_NAME_BYTES + 1)
        }),
        ("number of changes", |transaction| {
            transaction.updates =
                vec![transaction.updates[1].clone(); MAX_UPDATES_PER_TRANSACTION + 1]
        }),
        ("reason", |transaction| {
            transaction.reason = "x".repeat(1 << 20)
        }),
    ];
    for (part, change) in invalid {
        let mut encoded = encode_scope_transaction(&transaction());
        change(&mut encoded);
        assert_eq!(
            decode_scope_transaction(encoded),
            Err(DecodeError::MissingPart(part))
        );
    }
    let mut without_value = encode_scope_transaction(&transaction());
    let fields = without_value.updates[0]
        .fields
        .as_mut()
        .expect("they are set");
    fields.fields.insert("memory".into(), pb::Value::default());
    assert!(matches!(
        decode_scope_transaction(without_value),
        Err(DecodeError::MissingPart(_))
    ));
}
