//! Requests, and accessors for responses.

use crate::pb;

/// A request parameter.
pub fn parameter(choice: pb::infer_parameter::ParameterChoice) -> pb::InferParameter {
    pb::InferParameter {
        parameter_choice: Some(choice),
    }
}

/// A request with a tensor of three numbers and integer parameters.
pub fn request(function: &str, id: &str, parameters: &[(&str, i64)]) -> pb::ModelInferRequest {
    use pb::infer_parameter::ParameterChoice::Int64Param;
    let input = pb::model_infer_request::InferInputTensor {
        name: "x".into(),
        datatype: "FP32".into(),
        shape: vec![1, 3],
        contents: Some(pb::InferTensorContents {
            fp32_contents: vec![1.0, 2.0, 3.0],
            ..Default::default()
        }),
        ..Default::default()
    };
    pb::ModelInferRequest {
        model_name: function.into(),
        id: id.into(),
        parameters: parameters
            .iter()
            .map(|(name, value)| (name.to_string(), parameter(Int64Param(*value))))
            .collect(),
        inputs: vec![input],
        ..Default::default()
    }
}

/// Whether a streamed message is the last of its call.
pub fn is_last(message: &pb::ModelStreamInferResponse) -> bool {
    use pb::infer_parameter::ParameterChoice::BoolParam;
    let flag = message
        .infer_response
        .as_ref()
        .and_then(|response| response.parameters.get("triton_final_response"));
    matches!(
        flag.and_then(|parameter| parameter.parameter_choice.clone()),
        Some(BoolParam(true))
    )
}

/// The request id in a streamed message.
pub fn id(message: &pb::ModelStreamInferResponse) -> &str {
    message
        .infer_response
        .as_ref()
        .map_or("", |response| response.id.as_str())
}

/// The retry pushback in the metadata of a status.
pub fn retry_pushback(status: &tonic::Status) -> Option<&str> {
    let pushback = status.metadata().get("grpc-retry-pushback-ms")?;
    pushback.to_str().ok()
}
