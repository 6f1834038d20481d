//! One call: its request, and the exchange on a connection.

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Uri};
use prost::Message;
use std::future::poll_fn;
use std::rc::Rc;
use tansy_frames::grpc::{frame, Code};
use tansy_inference::inference as pb;
use tansy_net_grpc::exchange::{Ending, Exchange, ExchangeEvent};
use tansy_net_grpc::link::Link;

/// Bytes of an answer, at most.
const MAX_RESPONSE_BYTES: usize = 1 << 22;
/// Numbers of the tensor that a request and its answer carry.
const TENSOR_NUMBERS: u32 = 64;

/// The answer to each call: one tensor of 64 numbers.
pub fn response() -> pb::ModelInferResponse {
    pb::ModelInferResponse {
        model_name: "echo".into(),
        model_version: "1".into(),
        id: "1".into(),
        outputs: vec![pb::model_infer_response::InferOutputTensor {
            name: "y".into(),
            datatype: "FP32".into(),
            shape: vec![1, i64::from(TENSOR_NUMBERS)],
            ..Default::default()
        }],
        raw_output_contents: vec![tensor_bytes()],
        ..Default::default()
    }
}

/// The framed request of a call of this function.
pub fn framed_request(function: String) -> Bytes {
    let input = pb::model_infer_request::InferInputTensor {
        name: "x".into(),
        datatype: "FP32".into(),
        shape: vec![1, i64::from(TENSOR_NUMBERS)],
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
    let numbers = (0..TENSOR_NUMBERS).map(|number| number as f32);
    let bytes: Vec<u8> = numbers.flat_map(f32::to_le_bytes).collect();
    bytes.into()
}

/// Sends a call, and waits for its end: whether it was served.
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
