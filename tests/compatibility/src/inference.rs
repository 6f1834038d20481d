//! Messages of every kind of the inference protocol, with parameters and tensors of every type, and a load report.

use prost::Message;
use std::collections::BTreeMap;
use tansy_inference::inference::model_infer_request::{
    InferInputTensor, InferRequestedOutputTensor,
};
use tansy_inference::inference::model_infer_response::InferOutputTensor;
use tansy_inference::inference::{self as pb, infer_parameter::ParameterChoice};
use tansy_inference::{amend, orca};

fn parameters() -> BTreeMap<String, pb::InferParameter> {
    let all = [
        ("flag", ParameterChoice::BoolParam(true)),
        ("int", ParameterChoice::Int64Param(-7)),
        ("text", ParameterChoice::StringParam("250".into())),
        ("number", ParameterChoice::DoubleParam(0.25)),
        ("uint", ParameterChoice::Uint64Param(u64::MAX)),
    ];
    let parameter = |(name, choice): (&str, _)| {
        let parameter_choice = Some(choice);
        (name.to_string(), pb::InferParameter { parameter_choice })
    };
    all.map(parameter).into()
}

fn contents() -> Option<pb::InferTensorContents> {
    Some(pb::InferTensorContents {
        bool_contents: vec![true, false],
        int_contents: vec![-1],
        int64_contents: vec![-2],
        uint_contents: vec![1],
        uint64_contents: vec![2],
        fp32_contents: vec![0.5],
        fp64_contents: vec![0.25],
        bytes_contents: vec![vec![0, 255].into()],
    })
}

/// A client's request.
pub fn request() -> pb::ModelInferRequest {
    pb::ModelInferRequest {
        model_name: "chat".into(),
        model_version: "2".into(),
        id: "request-1".into(),
        parameters: parameters(),
        inputs: vec![InferInputTensor {
            name: "x".into(),
            datatype: "FP32".into(),
            shape: vec![1, -1],
            parameters: parameters(),
            contents: contents(),
        }],
        outputs: vec![InferRequestedOutputTensor {
            name: "y".into(),
            parameters: parameters(),
        }],
        raw_input_contents: vec![vec![1, 2, 3].into()],
    }
}

/// A worker's answer.
pub fn response() -> pb::ModelInferResponse {
    pb::ModelInferResponse {
        model_name: "chat".into(),
        model_version: "2".into(),
        id: "theirs".into(),
        parameters: parameters(),
        outputs: vec![InferOutputTensor {
            name: "y".into(),
            datatype: "FP32".into(),
            shape: vec![1],
            parameters: parameters(),
            contents: contents(),
        }],
        raw_output_contents: vec![vec![4, 5].into()],
    }
}

/// A message of a worker's streamed answer.
pub fn stream_response() -> pb::ModelStreamInferResponse {
    pb::ModelStreamInferResponse {
        error_message: "an error".into(),
        infer_response: Some(response()),
    }
}

/// A worker's load report.
pub fn report() -> orca::OrcaLoadReport {
    let costs = || [("a".to_string(), 0.5), ("b".to_string(), 2.0)].into();
    orca::OrcaLoadReport {
        cpu_utilization: 0.5,
        mem_utilization: 0.25,
        rps: 3,
        request_cost: costs(),
        utilization: costs(),
        rps_fractional: 3.5,
        eps: 0.125,
        named_metrics: costs(),
        application_utilization: 0.75,
    }
}

/// All messages, and those that the gateway makes of them, encoded and with their names.
pub fn messages() -> Vec<(&'static str, Vec<u8>)> {
    let (stream_response, response) = (
        stream_response().encode_to_vec(),
        response().encode_to_vec(),
    );
    vec![
        ("request", request().encode_to_vec()),
        (
            "amended-piece",
            amend::stream_response(&stream_response, "ours", false),
        ),
        ("amended-response", amend::infer_response(&response, "ours")),
        ("piece", stream_response),
        ("response", response),
        (
            "stream-error",
            amend::stream_error("chat", "ours", "refused".into(), Some(250)),
        ),
        (
            "stream-error-for-good",
            amend::stream_error("chat", "ours", "refused".into(), None),
        ),
        ("empty-final", amend::empty_final_response("chat", "ours")),
        ("load-report", report().encode_to_vec()),
    ]
}
