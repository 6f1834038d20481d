//! Amends an encoded message by appending to it.
//!
//! A parser takes the last of several values of a scalar field, merges several occurrences of a message field, and
//! takes the last of several map entries with one key (Protocol Buffers, "Last One Wins"). So a piece can be given
//! an id or a final flag without decoding the tensors in it.

use crate::inference as pb;
use crate::names;
use prost::Message;
use std::collections::BTreeMap;

/// Appends to a `ModelStreamInferResponse`: the request's id, and the final flag as told.
pub fn piece(encoded: &[u8], id: &str, last: bool) -> Vec<u8> {
    let more = pb::ModelStreamInferResponse {
        error_message: String::new(),
        infer_response: Some(pb::ModelInferResponse {
            id: id.to_string(),
            parameters: BTreeMap::from([(names::FINAL.to_string(), flag(last))]),
            ..Default::default()
        }),
    };
    let mut out = Vec::with_capacity(encoded.len() + more.encoded_len());
    out.extend_from_slice(encoded);
    // Encoding to a vector cannot run out of room.
    out.extend_from_slice(&more.encode_to_vec());
    out
}

/// Appends to a `ModelInferResponse`: the request's id.
pub fn response(encoded: &[u8], id: &str) -> Vec<u8> {
    let more = pb::ModelInferResponse {
        id: id.to_string(),
        ..Default::default()
    };
    let mut out = encoded.to_vec();
    out.extend_from_slice(&more.encode_to_vec());
    out
}

fn flag(value: bool) -> pb::InferParameter {
    use pb::infer_parameter::ParameterChoice;
    pb::InferParameter {
        parameter_choice: Some(ParameterChoice::BoolParam(value)),
    }
}

/// A refusal or failure within a stream: the text, the id, the final flag and the advice, if any.
pub fn stream_error(model: &str, id: &str, text: String, retry_after_ms: Option<i64>) -> Vec<u8> {
    use pb::infer_parameter::ParameterChoice;
    let mut parameters = BTreeMap::from([(names::FINAL.to_string(), flag(true))]);
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

/// An empty last piece.
pub fn empty_final(model: &str, id: &str) -> Vec<u8> {
    stream_error(model, id, String::new(), None)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scan::Piece;

    #[test]
    fn an_amended_piece_keeps_its_tensors_and_takes_the_new_id_and_flag() {
        let tensor = pb::model_infer_response::InferOutputTensor {
            name: "y".into(),
            ..Default::default()
        };
        let first = pb::ModelStreamInferResponse {
            error_message: String::new(),
            infer_response: Some(pb::ModelInferResponse {
                id: "theirs".into(),
                parameters: BTreeMap::from([(names::FINAL.into(), flag(true))]),
                outputs: vec![tensor],
                ..Default::default()
            }),
        };
        let bytes = piece(&first.encode_to_vec(), "ours", false);
        let read = pb::ModelStreamInferResponse::decode(&bytes[..])
            .unwrap()
            .infer_response
            .unwrap();
        assert_eq!((read.id.as_str(), read.outputs.len()), ("ours", 1));
        assert_eq!(read.parameters[names::FINAL], flag(false));
        let scanned = Piece::read(&bytes).unwrap();
        assert_eq!((scanned.id, scanned.last), ("ours", false));
    }
}
