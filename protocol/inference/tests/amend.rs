//! Tests that the protobuf library and the scanner read an amended message alike.

use prost::Message;
use std::collections::BTreeMap;
use tansy_inference::amend::stream_response;
use tansy_inference::scan::StreamResponse;
use tansy_inference::{inference as pb, names};

fn flag(value: bool) -> pb::InferParameter {
    use pb::infer_parameter::ParameterChoice;
    pb::InferParameter {
        parameter_choice: Some(ParameterChoice::BoolParam(value)),
    }
}

#[test]
fn an_amended_message_keeps_its_tensors_and_takes_the_new_id_and_flag() {
    let tensor = pb::model_infer_response::InferOutputTensor {
        name: "y".into(),
        ..Default::default()
    };
    let first = pb::ModelStreamInferResponse {
        error_message: String::new(),
        infer_response: Some(pb::ModelInferResponse {
            id: "theirs".into(),
            parameters: BTreeMap::from([(names::FINAL_RESPONSE.into(), flag(true))]),
            outputs: vec![tensor],
            ..Default::default()
        }),
    };
    let bytes = stream_response(&first.encode_to_vec(), "ours", false);
    let read = pb::ModelStreamInferResponse::decode(&bytes[..])
        .unwrap()
        .infer_response
        .unwrap();
    assert_eq!((read.id.as_str(), read.outputs.len()), ("ours", 1));
    assert_eq!(read.parameters[names::FINAL_RESPONSE], flag(false));
    let scanned = StreamResponse::parse(&bytes).unwrap();
    assert_eq!((scanned.id, scanned.last), ("ours", false));
}
