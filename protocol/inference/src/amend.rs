//! Changes fields of an encoded message by appending to it.
//!
//! A protobuf parser takes the last value of a scalar field, merges the occurrences of a message field, and takes the last
//! map entry of each key (Protocol Buffers, "Last One Wins"). The id and the final flag of a message can therefore be
//! replaced without decoding its tensors.

use crate::inference as pb;
use crate::names;
use prost::Message;
use std::collections::BTreeMap;

/// Appends to a `ModelStreamInferResponse`: the id of the request, and the final flag.
pub fn stream_response(encoded: &[u8], id: &str, last: bool) -> Vec<u8> {
    let more = pb::ModelStreamInferResponse {
        error_message: String::new(),
        infer_response: Some(pb::ModelInferResponse {
            id: id.to_string(),
            parameters: BTreeMap::from([(names::FINAL_RESPONSE.to_string(), flag(last))]),
            ..Default::default()
        }),
    };
    let mut amended = Vec::with_capacity(encoded.len() + more.encoded_len());
    amended.extend_from_slice(encoded);
    amended.extend_from_slice(&more.encode_to_vec());
    amended
}

/// Appends to a `ModelInferResponse`: the id of the request.
pub fn infer_response(encoded: &[u8], id: &str) -> Vec<u8> {
    let more = pb::ModelInferResponse {
        id: id.to_string(),
        ..Default::default()
    };
    let mut amended = encoded.to_vec();
    amended.extend_from_slice(&more.encode_to_vec());
    amended
}

fn flag(value: bool) -> pb::InferParameter {
    use pb::infer_parameter::ParameterChoice;
    pb::InferParameter {
        parameter_choice: Some(ParameterChoice::BoolParam(value)),
    }
}

/// Encodes a refusal or failure as a message of a stream: the error text, the id, the final flag and the retry delay, if any.
pub fn stream_error(model: &str, id: &str, text: String, retry_after_ms: Option<i64>) -> Vec<u8> {
    use pb::infer_parameter::ParameterChoice;
    let mut parameters = BTreeMap::from([(names::FINAL_RESPONSE.to_string(), flag(true))]);
    if let Some(ms) = retry_after_ms {
        let value = pb::InferParameter {
            parameter_choice: Some(ParameterChoice::Int64Param(ms)),
        };
        parameters.insert(names::RETRY_AFTER.to_string(), value);
    }
    let infer_response = Some(pb::ModelInferResponse {
        model_name: model.to_string(),
        id: id.to_string(),
        parameters,
        ..Default::default()
    });
    pb::ModelStreamInferResponse {
        error_message: text,
        infer_response,
    }
    .encode_to_vec()
}

/// Encodes an empty message with the final flag.
pub fn empty_final_response(model: &str, id: &str) -> Vec<u8> {
    stream_error(model, id, String::new(), None)
}
