//! Messages of the inference protocol are read and written as before, by the scanner and by the generated types.
//!
//! `fixtures/inference.txt` has the messages of `src/inference.rs`, written by `examples/record.rs`.

use prost::Message;
use std::collections::BTreeMap;
use tansy_compatibility_tests::{fixture, inference as expected};
use tansy_inference::scan::{response_id, InferRequest, ParameterValue, StreamResponse};
use tansy_inference::{inference as pb, orca};

fn recorded() -> BTreeMap<String, Vec<u8>> {
    fixture::messages("inference.txt").into_iter().collect()
}

#[test]
fn messages_are_written_as_before() {
    let recorded = recorded();
    let present = expected::messages();
    assert_eq!(recorded.len(), present.len());
    for (name, bytes) in present {
        assert_eq!(
            fixture::hex(&bytes),
            fixture::hex(&recorded[name]),
            "{name}"
        );
    }
}

#[test]
fn messages_are_read_by_the_generated_types_as_before() {
    let recorded = recorded();
    let bytes = |name: &str| recorded[name].as_slice();
    let request = pb::ModelInferRequest::decode(bytes("request"));
    assert_eq!(request, Ok(expected::request()));
    let response = pb::ModelInferResponse::decode(bytes("response"));
    assert_eq!(response, Ok(expected::response()));
    let stream_response = pb::ModelStreamInferResponse::decode(bytes("piece"));
    assert_eq!(stream_response, Ok(expected::stream_response()));
    let report = orca::OrcaLoadReport::decode(bytes("load-report"));
    assert_eq!(report, Ok(expected::report()));
}

#[test]
fn messages_are_scanned_as_before() {
    let recorded = recorded();
    let request = InferRequest::parse(&recorded["request"]).expect("a request");
    // Sorted by name, as they were encoded.
    let parameters = vec![
        ("flag", ParameterValue::Bool(true)),
        ("int", ParameterValue::Int(-7)),
        ("number", ParameterValue::Double(0.25)),
        ("text", ParameterValue::Str("250")),
        ("uint", ParameterValue::Uint(u64::MAX)),
    ];
    let expected = InferRequest {
        model: "chat",
        version: "2",
        id: "request-1",
        parameters,
        inputs: 1,
    };
    assert_eq!(request, expected);
    let check = |name: &str, error, id, last| {
        let expected = StreamResponse {
            error,
            id,
            response: true,
            last,
        };
        assert_eq!(
            StreamResponse::parse(&recorded[name]),
            Ok(expected),
            "{name}"
        );
    };
    check("piece", "an error", "theirs", false);
    check("amended-piece", "an error", "ours", false);
    check("stream-error", "refused", "ours", true);
    check("stream-error-for-good", "refused", "ours", true);
    check("empty-final", "", "ours", true);
    assert_eq!(response_id(&recorded["response"]), Ok("theirs"));
    assert_eq!(response_id(&recorded["amended-response"]), Ok("ours"));
}
