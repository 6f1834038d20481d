//! The request and response messages, and one call on a connection.

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Uri};
use prost::Message;
use std::future::poll_fn;
use std::rc::Rc;
use tansy_frames::grpc::{frame, Code};
use tansy_inference::inference as pb;
use tansy_net_grpc::exchange::{Ending, Exchange, ExchangeEvent};
use tansy_net_grpc::link::Link;

const MAX_RESPONSE_BYTES: usize = 1 << 22;
/// Elements of the tensor in each request and response.
const TENSOR_ELEMENTS: u32 = 64;

/// The response to each call: one tensor of [`TENSOR_ELEMENTS`] numbers.
pub fn response() -> pb::ModelInferResponse {
    pb::ModelInferResponse {
        model_name: "echo".into(),
        model_version: "1".into(),
        id: "1".into(),
        outputs: vec![pb::model_infer_response::InferOutputTensor {
            name: "y".into(),
            datatype: "FP32".into(),
            shape: vec![1, i64::from(TENSOR_ELEMENTS)],
            ..Default::default()
        }],
        raw_output_contents: vec![tensor_bytes()],
        ..Default::default()
    }
}

/// The gRPC-framed request that calls `function`.
pub fn framed_request(function: String) -> Bytes {
    let input = pb::model_infer_request::InferInputTensor {
        name: "x".into(),
        datatype: "FP32".into(),
        shape: vec![1, i64::from(TENSOR_ELEMENTS)],
        ..Default::default()
    };
    let message = pb::ModelInferRequest {
        model_name: function,
        id: "1".into(),
        inputs: vec![input],
        raw_input_contents: vec![tensor_bytes()],
        ..Default::default()
    };
    frame(&message.encode_to_vec())
}

fn tensor_bytes<T: From<Vec<u8>>>() -> T {
    let numbers = (0..TENSOR_ELEMENTS).map(|number| number as f32);
    let bytes: Vec<u8> = numbers.flat_map(f32::to_le_bytes).collect();
    bytes.into()
}

/// Sends a call, waits for its end and returns whether it was served.
pub async fn call(link: &Rc<Link>, body: Bytes) -> bool {
    let Ok(mut connection) = link.connection().await else {
        return false;
    };
    let ready = poll_fn(|context| connection.send.poll_ready(context)).await;
    if ready.is_err() {
        return false;
    }
    let started = Exchange::start(connection, request_head(), body, true, MAX_RESPONSE_BYTES);
    let Ok(mut exchange) = started else {
        return false;
    };
    loop {
        let event = poll_fn(|context| exchange.poll_event(context)).await;
        if let ExchangeEvent::Ended(ending, _) = event {
            return matches!(ending, Ending::Status(Code::Ok, _));
        }
    }
}

fn request_head() -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static("http://bench/inference.GRPCInferenceService/ModelInfer");
    let headers = request.headers_mut();
    headers.insert("te", HeaderValue::from_static("trailers"));
    headers.insert("content-type", HeaderValue::from_static("application/grpc"));
    request
}
