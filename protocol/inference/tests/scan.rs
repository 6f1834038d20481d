//! Compares the scanner with the protobuf library.

use prost::Message;
use std::collections::BTreeMap;
use tansy_inference::inference as pb;
use tansy_inference::scan::{InferRequest, ParameterValue};

fn parameter(choice: pb::infer_parameter::ParameterChoice) -> pb::InferParameter {
    pb::InferParameter {
        parameter_choice: Some(choice),
    }
}

fn request() -> pb::ModelInferRequest {
    use pb::infer_parameter::ParameterChoice as Choice;
    pb::ModelInferRequest {
        model_name: "overlay".into(),
        model_version: "3".into(),
        id: "a-1".into(),
        parameters: BTreeMap::from([
            ("timeout".into(), parameter(Choice::Int64Param(750_000))),
            ("pieces".into(), parameter(Choice::StringParam("4".into()))),
            ("half".into(), parameter(Choice::DoubleParam(0.5))),
            ("many".into(), parameter(Choice::Uint64Param(u64::MAX))),
            ("yes".into(), parameter(Choice::BoolParam(true))),
        ]),
        inputs: vec![pb::model_infer_request::InferInputTensor {
            name: "x".into(),
            datatype: "FP32".into(),
            shape: vec![1, 2],
            parameters: BTreeMap::new(),
            contents: Some(pb::InferTensorContents {
                fp32_contents: vec![1.0, 2.0],
                bytes_contents: vec![bytes::Bytes::from_static(b"\xff")],
                ..Default::default()
            }),
        }],
        outputs: vec![],
        raw_input_contents: vec![bytes::Bytes::from_static(b"\xff\xfe")],
    }
}

#[test]
fn fields_of_an_encoded_request_are_read() {
    let bytes = request().encode_to_vec();
    let read = InferRequest::parse(&bytes).unwrap();
    assert_eq!(
        (read.model, read.version, read.id, read.inputs),
        ("overlay", "3", "a-1", 1)
    );
    assert_eq!(read.parameter("timeout").unwrap().as_int(), Some(750_000));
    assert_eq!(read.parameter("pieces").unwrap().as_int(), Some(4));
    assert_eq!(read.parameter("half"), Some(&ParameterValue::Double(0.5)));
    assert_eq!(
        read.parameter("many"),
        Some(&ParameterValue::Uint(u64::MAX))
    );
    assert_eq!(read.parameter("yes").unwrap().as_bool(), Some(true));
    assert_eq!(read.parameter("no"), None);
}

#[test]
fn scanner_and_library_agree_on_truncated_requests() {
    let bytes = request().encode_to_vec();
    for end in 0..bytes.len() {
        let scanner = InferRequest::parse(&bytes[..end]).is_ok();
        let library = pb::ModelInferRequest::decode(&bytes[..end]).is_ok();
        assert_eq!(scanner, library, "truncated at {end}");
    }
}

#[test]
fn corrupted_requests_are_rejected_where_the_library_rejects_them() {
    let whole = request().encode_to_vec();
    for at in 0..whole.len() {
        for bit in 0..8 {
            let mut bytes = whole.clone();
            bytes[at] ^= 1 << bit;
            if let Err(error) = pb::ModelInferRequest::decode(&bytes[..]) {
                assert!(
                    InferRequest::parse(&bytes).is_err(),
                    "byte {at} bit {bit}: {error}"
                );
            }
        }
    }
}

#[test]
fn groups_are_skipped_to_a_limited_depth() {
    let nested = |n: usize| [vec![0x7b; n], vec![0x7c; n]].concat();
    assert!(InferRequest::parse(&nested(3)).is_ok());
    assert!(InferRequest::parse(&nested(1000)).is_err());
    assert!(
        InferRequest::parse(&[0x7c]).is_err(),
        "an end tag without a start tag"
    );
}
