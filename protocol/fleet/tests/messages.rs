//! Tests that messages decode to what was encoded, also by earlier programs, and that invalid messages are rejected.

#[path = "../../../tests/compatibility/src/fleet/messages.rs"]
mod samples;

use samples::{
    bodies, delta, sender, state, state_with_scopes, subscribe_reply, subscribe_request, FLEET,
    LEADER,
};
use tansy_agreement::compatibility::Value;
use tansy_agreement::lease::{LeaseGrant, Member};
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::{FleetState, Revision};
use tansy_agreement::scope::StateDelta;
use tansy_agreement::subscription::{SubscribeReply, SubscribeRequest, MAX_SCOPES_PER_REQUEST};
use tansy_fleet_node::MessageBody;
use tansy_fleet_wire::{decode_message, encode_message, pb, DecodeError, FORMAT_VERSION};

fn encode(body: MessageBody) -> Vec<u8> {
    encode_message(FLEET, &sender(), LEADER, body)
}

#[test]
fn every_message_decodes_to_what_was_encoded() {
    for body in bodies() {
        let bytes = encode(body.clone());
        assert_eq!(decode_message(FLEET, &bytes), Ok((sender(), LEADER, body)));
    }
}

/// Guards against changes of the format: messages recorded with this format version must still decode. `RECORD=1` records
/// them anew, which is correct only together with a new format version.
#[test]
fn messages_recorded_by_an_earlier_program_decode() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join(format!("tests/recorded/form-{FORMAT_VERSION}"));
    for (number, body) in bodies().into_iter().enumerate() {
        let path = folder.join(format!("{number:02}.bin"));
        if std::env::var_os("RECORD").is_some() {
            std::fs::create_dir_all(&folder).expect("a folder");
            std::fs::write(&path, encode(body.clone())).expect("a file");
        }
        let bytes = std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        assert_eq!(
            decode_message(FLEET, &bytes),
            Ok((sender(), LEADER, body)),
            "{}",
            path.display()
        );
    }
}

#[test]
fn messages_of_another_fleet_or_format_are_rejected_with_the_reason() {
    use prost::Message as _;
    let bytes = encode(bodies().remove(0));
    assert_eq!(
        decode_message(FLEET + 1, &bytes),
        Err(DecodeError::OtherFleet)
    );
    let mut envelope = pb::Envelope::decode(bytes.as_slice()).expect("a message");
    envelope.format_version = FORMAT_VERSION + 1;
    assert_eq!(
        decode_message(FLEET, &envelope.encode_to_vec()),
        Err(DecodeError::UnknownFormat(FORMAT_VERSION + 1))
    );
    envelope.format_version = FORMAT_VERSION;
    let mut nobody = envelope.clone();
    nobody.from = None;
    assert_eq!(
        decode_message(FLEET, &nobody.encode_to_vec()),
        Err(DecodeError::MissingPart("sender"))
    );
    // A body that only a later program knows decodes as absent.
    envelope.body = None;
    assert_eq!(
        decode_message(FLEET, &envelope.encode_to_vec()),
        Err(DecodeError::MissingPart("body"))
    );
    let mut deep = Value::Int(1);
    (0..40).for_each(|_| deep = Value::List(vec![deep.clone()]));
    let mut state = state();
    state.in_force.fields.insert("deep".into(), deep);
    let grant = LeaseGrant {
        to: Member::default(),
        seq: 1,
        span: 1,
        revision: state.revision,
        state: Some(state),
        delta: None,
    };
    let bytes = encode(MessageBody::Lease(LeaseMessage::Grant(grant)));
    assert!(matches!(
        decode_message(FLEET, &bytes),
        Err(DecodeError::MissingPart(_) | DecodeError::Malformed(_))
    ));
}

type InvalidMessage = (MessageBody, &'static str);

/// Invalid subscription messages, each with the part that is invalid.
fn invalid_subscriptions() -> Vec<InvalidMessage> {
    vec![
        (
            MessageBody::Subscribe(SubscribeRequest {
                scopes: vec!["f".into(); MAX_SCOPES_PER_REQUEST + 1],
                ..subscribe_request()
            }),
            "number of functions",
        ),
        (
            MessageBody::Subscribe(SubscribeRequest {
                unsubscribed: vec![0; 4097],
                ..subscribe_request()
            }),
            "number of functions",
        ),
        (
            MessageBody::Subscribe(SubscribeRequest {
                full_list: Some(vec![0; 4097]),
                ..subscribe_request()
            }),
            "number of functions",
        ),
        (
            MessageBody::Subscribe(SubscribeRequest {
                seq: 0,
                ..subscribe_request()
            }),
            "sequence number",
        ),
        (
            MessageBody::Subscribe(SubscribeRequest {
                scopes: vec![String::new()],
                ..subscribe_request()
            }),
            "function's name",
        ),
        (
            MessageBody::Subscribe(SubscribeRequest {
                scopes: vec!["x".repeat(257)],
                ..subscribe_request()
            }),
            "function's name",
        ),
        (
            MessageBody::SubscribeReply(SubscribeReply {
                scopes: vec![("f".into(), None); MAX_SCOPES_PER_REQUEST + 1],
                ..subscribe_reply()
            }),
            "number of functions",
        ),
    ]
}

fn grant(state: Option<FleetState>, delta: Option<StateDelta>) -> MessageBody {
    MessageBody::Lease(LeaseMessage::Grant(LeaseGrant {
        to: subscribe_request().from,
        seq: 9,
        span: 1,
        revision: Revision(19),
        state,
        delta,
    }))
}

/// Grants whose changes or versions are out of order, each with the part that is invalid.
fn invalid_grants() -> Vec<InvalidMessage> {
    let grant_delta = |delta| grant(None, Some(delta));
    let mut reversed = delta();
    reversed.changes.reverse();
    let later_versions = FleetState {
        versions_revision: Revision(20),
        ..state_with_scopes()
    };
    vec![
        (
            grant_delta(StateDelta {
                to: Revision(18),
                ..delta()
            }),
            "order of changes",
        ),
        (
            grant_delta(StateDelta {
                from: Revision(18),
                ..delta()
            }),
            "order of changes",
        ),
        (
            grant_delta(StateDelta {
                from: Revision(20),
                changes: vec![],
                ..delta()
            }),
            "order of changes",
        ),
        (grant_delta(reversed), "order of changes"),
        (
            grant(Some(later_versions), None),
            "revision of the versions",
        ),
    ]
}

#[test]
fn invalid_subscriptions_and_grants_are_rejected_with_the_reason() {
    for (body, part) in [invalid_subscriptions(), invalid_grants()].concat() {
        assert_eq!(
            decode_message(FLEET, &encode(body.clone())),
            Err(DecodeError::MissingPart(part)),
            "{body:?}"
        );
    }
}

/// Truncates the bytes, inserts a byte or changes one.
fn corrupt(bytes: &mut Vec<u8>, rng: &mut fastrand::Rng) {
    match rng.u32(0..4) {
        0 => bytes.truncate(rng.usize(0..=bytes.len())),
        1 => bytes.insert(rng.usize(0..=bytes.len()), rng.u8(..)),
        _ if bytes.is_empty() => {}
        _ => {
            let at = rng.usize(0..bytes.len());
            bytes[at] = rng.u8(..);
        }
    }
}

#[test]
fn corrupted_messages_never_panic() {
    let mut rng = fastrand::Rng::with_seed(4);
    let whole: Vec<Vec<u8>> = bodies().into_iter().map(encode).collect();
    let (mut decoded, mut rejected) = (0, 0);
    for round in 0..40_000 {
        let mut bytes = whole[round % whole.len()].clone();
        for _ in 0..rng.usize(1..4) {
            corrupt(&mut bytes, &mut rng);
        }
        match decode_message(FLEET, &bytes) {
            Ok(_) => decoded += 1,
            Err(error) => {
                assert!(!error.to_string().is_empty());
                rejected += 1;
            }
        }
    }
    assert!(decoded > 1000 && rejected > 1000, "{decoded} {rejected}");
}
