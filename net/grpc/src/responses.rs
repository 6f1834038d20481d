//! Responses of a server: headers, messages and trailers.

use bytes::Bytes;
use h2::server::SendResponse;
use h2::SendStream;
use http::{HeaderMap, HeaderValue, Response};
use std::task::{ready, Context, Poll};
use tansy_frames::grpc::{encode_message, frame, Code};

/// Sends bytes as far as flow control permits and removes them from `bytes`; ready once all are sent. Fails if the
/// client has left.
pub fn poll_write(
    send: &mut SendStream<Bytes>,
    bytes: &mut Bytes,
    cx: &mut Context<'_>,
) -> Poll<Result<(), h2::Error>> {
    while !bytes.is_empty() {
        send.reserve_capacity(bytes.len());
        if send.capacity() == 0 {
            match ready!(send.poll_capacity(cx)) {
                Some(Ok(_)) if send.capacity() > 0 => {}
                Some(Ok(_)) => continue,
                Some(Err(error)) => return Poll::Ready(Err(error)),
                None => return Poll::Ready(Err(h2::Reason::CANCEL.into())),
            }
        }
        let part = bytes.split_to(send.capacity().min(bytes.len()));
        send.send_data(part, false)?;
    }
    Poll::Ready(Ok(()))
}

/// The response headers of gRPC.
pub fn response_headers() -> Response<()> {
    let mut response = Response::new(());
    let kind = HeaderValue::from_static("application/grpc");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

/// Trailers with a status, and with a message unless it is empty.
pub fn status_trailers(code: Code, message: &str) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(4);
    map.insert("grpc-status", HeaderValue::from(u16::from(code.number())));
    if !message.is_empty() {
        if let Ok(value) = HeaderValue::from_str(&encode_message(message)) {
            map.insert("grpc-message", value);
        }
    }
    map
}

/// Responds to a unary request with headers, one message and trailers.
pub fn respond_unary(mut respond: SendResponse<Bytes>, message: &[u8], trailers: HeaderMap) {
    // Fails only if the client has left.
    if let Ok(mut send) = respond.send_response(response_headers(), false) {
        let _ = send
            .send_data(frame(message), false)
            .and_then(|()| send.send_trailers(trailers));
    }
}

/// Responds with the status in the headers ("Trailers-Only").
pub fn respond_trailers_only(respond: &mut SendResponse<Bytes>, trailers: HeaderMap) {
    let mut response = response_headers();
    response.headers_mut().extend(trailers);
    // Fails only if the client has left.
    let _ = respond.send_response(response, true);
}
