//! Checks the response messages of workers and restores the client's request id in them.

use crate::call::CallContext;
use bytes::Bytes;
use tansy_frames::grpc::frame;
use tansy_inference::{amend, scan};
use thiserror::Error;

/// Why a message from a worker is not a valid response.
#[derive(Debug, Error)]
pub enum MessageError {
    /// A message of a streamed response is malformed.
    #[error("malformed stream response: {0}")]
    MalformedStreamResponse(scan::Malformed),
    /// The response of a unary call is malformed.
    #[error("malformed response: {0}")]
    MalformedResponse(scan::Malformed),
    /// The worker reports an error in a message of the stream.
    #[error("the worker reports an error: {0}")]
    WorkerError(String),
}

/// A message of a streamed response, framed for the client, and whether it is the last one.
pub fn stream_response(call: &CallContext, message: &Bytes) -> Result<(Bytes, bool), MessageError> {
    let read =
        scan::StreamResponse::parse(message).map_err(MessageError::MalformedStreamResponse)?;
    if !read.error.is_empty() {
        return Err(MessageError::WorkerError(read.error.to_string()));
    }
    if read.id == call.request_id {
        return Ok((frame(message), read.last));
    }
    let amended = amend::stream_response(message, &call.request_id, read.last);
    Ok((frame(&amended), read.last))
}

/// The response of a unary call, framed for the client.
pub fn unary_response(call: &CallContext, message: &Bytes) -> Result<Bytes, MessageError> {
    let id = scan::response_id(message).map_err(MessageError::MalformedResponse)?;
    Ok(if id == call.request_id {
        frame(message)
    } else {
        frame(&amend::infer_response(message, &call.request_id))
    })
}
