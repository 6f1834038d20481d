//! Sends a call on one connection and determines its outcome.

use super::call::PlannedCall;
use bytes::Bytes;
use http::{HeaderValue, Method, Request};
use prost::Message;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Instant;
use tansy_frames::grpc::{format_timeout, Code};
use tansy_inference::inference::ModelStreamInferResponse;
use tansy_net_grpc::exchange::{Ending, Exchange, ExchangeEvent};
use tansy_net_grpc::link::Link;
use tansy_net_sockets::Spawner;

/// HTTP/2 error code REFUSED_STREAM: the server did not process the stream.
const REFUSED_STREAM: u32 = 7;
/// Maximum size of a message that a client reads.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The authority is part of the recorded traffic.
const UNARY_URI: &str = "http://day/inference.GRPCInferenceService/ModelInfer";
const STREAM_URI: &str = "http://day/inference.GRPCInferenceService/ModelStreamInfer";

/// The outcome of a call for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOutcome {
    Served,
    Refused,
    Failed,
    Cancelled,
    Lost,
    /// No connection was available, or the server reported that it did not process the call.
    NotSent,
}

/// Sends a call on one connection and reads its answer. Stores the microseconds until the first message in `first_message`.
pub(super) async fn send(
    spawner: &Spawner,
    link: &Rc<Link>,
    call: &PlannedCall,
    body: Bytes,
    first_message: &mut Option<u64>,
) -> CallOutcome {
    let started = Instant::now();
    let Ok(mut connection) = link.connection().await else {
        return CallOutcome::NotSent;
    };
    if poll_fn(|cx| connection.send.poll_ready(cx)).await.is_err() {
        return CallOutcome::NotSent;
    }
    let request = request_head(call);
    let unary = !call.streamed;
    let Ok(mut exchange) = Exchange::start(connection, request, body, unary, MAX_MESSAGE_BYTES)
    else {
        return CallOutcome::NotSent;
    };
    let mut last_message = None;
    loop {
        match poll_fn(|cx| exchange.poll_event(cx)).await {
            ExchangeEvent::Message(bytes) => {
                first_message.get_or_insert(started.elapsed().as_micros() as u64);
                if call.streamed {
                    last_message = Some(streamed_outcome(bytes));
                }
                if let Some(delay) = call.read_delay {
                    spawner.sleep(delay).await;
                }
                exchange.release_capacity();
            }
            ExchangeEvent::Ended(ending, _) => return outcome(&ending, call, last_message),
        }
    }
}

fn request_head(call: &PlannedCall) -> Request<()> {
    let uri = if call.streamed { STREAM_URI } else { UNARY_URI };
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(uri);
    let headers = request.headers_mut();
    headers.insert("te", HeaderValue::from_static("trailers"));
    headers.insert("content-type", HeaderValue::from_static("application/grpc"));
    if !call.streamed && call.timeout_us > 0 {
        if let Ok(value) = HeaderValue::from_str(&format_timeout(call.timeout_us)) {
            headers.insert("grpc-timeout", value);
        }
    }
    request
}

/// The outcome that a message of a stream reports; the last one is the call's outcome.
fn streamed_outcome(message: Bytes) -> CallOutcome {
    let response = ModelStreamInferResponse::decode(message).unwrap_or_default();
    match response.error_message.as_str() {
        "" => CallOutcome::Served,
        error if error.starts_with("refused:") => CallOutcome::Refused,
        _ => CallOutcome::Failed,
    }
}

fn outcome(ending: &Ending, call: &PlannedCall, last_message: Option<CallOutcome>) -> CallOutcome {
    match ending {
        Ending::Status(Code::Ok, _) if call.streamed => last_message.unwrap_or(CallOutcome::Failed),
        Ending::Status(Code::Ok, _) => CallOutcome::Served,
        Ending::Status(Code::Unavailable, _) => CallOutcome::Refused,
        Ending::Status(..) => CallOutcome::Failed,
        // The server did not process the call.
        Ending::RefusedByGoaway | Ending::NotSent | Ending::Reset(REFUSED_STREAM) => {
            CallOutcome::NotSent
        }
        _ => CallOutcome::Lost,
    }
}
