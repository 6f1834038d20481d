//! The messages of a response to an inference call.

use bytes::Bytes;
use prost::Message;
use std::collections::BTreeMap;
use tansy_frames::grpc::frame;
use tansy_inference::inference as pb;
use tansy_inference::names;

/// The response to a request: each input as an output with the same name, datatype, shape and contents.
pub(crate) fn echo(message: &Bytes) -> pb::ModelInferResponse {
    let request = pb::ModelInferRequest::decode(message.clone()).unwrap_or_default();
    let output = |input: pb::model_infer_request::InferInputTensor| {
        pb::model_infer_response::InferOutputTensor {
            name: input.name,
            datatype: input.datatype,
            shape: input.shape,
            parameters: BTreeMap::new(),
            contents: input.contents,
        }
    };
    let model_version = match request.model_version.as_str() {
        "" => "1".into(),
        version => version.into(),
    };
    pb::ModelInferResponse {
        model_name: request.model_name,
        model_version,
        id: request.id,
        parameters: BTreeMap::new(),
        outputs: request.inputs.into_iter().map(output).collect(),
        raw_output_contents: request.raw_input_contents,
    }
}

/// The response without its outputs.
pub(crate) fn without_outputs(response: &pb::ModelInferResponse) -> pb::ModelInferResponse {
    pb::ModelInferResponse {
        outputs: Vec::new(),
        raw_output_contents: Vec::new(),
        ..response.clone()
    }
}

/// The response as a framed message of a stream. `last`: no further message follows.
pub(crate) fn stream_message(response: &pb::ModelInferResponse, last: bool) -> Bytes {
    use pb::infer_parameter::ParameterChoice;
    let mut response = response.clone();
    let flag = pb::InferParameter {
        parameter_choice: Some(ParameterChoice::BoolParam(last)),
    };
    response
        .parameters
        .insert(names::FINAL_RESPONSE.into(), flag);
    let message = pb::ModelStreamInferResponse {
        error_message: String::new(),
        infer_response: Some(response),
    };
    frame(&message.encode_to_vec())
}
