//! One request on a link and its response, from the start to exactly one [`Ending`].

use crate::link::Connection;
use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, Request, Response, StatusCode};
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tansy_frames::grpc::{Assembler, Code, FrameError};
use thiserror::Error;

/// How much of the response has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No part of it.
    Nothing,
    /// The headers.
    Headers,
    /// At least one message.
    Messages,
}

/// Why a response is invalid.
#[derive(Clone, Debug, Error)]
pub enum ResponseError {
    /// The HTTP status is not 200, and there is no `grpc-status`.
    #[error("HTTP status {0} without a grpc-status")]
    HttpStatus(StatusCode),
    /// The content type is not that of gRPC.
    #[error("the content-type is not application/grpc")]
    ContentType,
    /// A unary call received a second message.
    #[error("a unary call received a second message")]
    SecondMessage,
    /// A message is malformed, compressed or too long.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The stream ended in the middle of a message.
    #[error("the stream ended in the middle of a message")]
    Truncated,
    /// The HTTP/2 library detected a protocol error.
    #[error("HTTP/2 protocol error: {0}")]
    Protocol(String),
    /// The user of the exchange rejected the response.
    #[error("{0}")]
    Rejected(String),
}

/// How an exchange ended.
#[derive(Clone, Debug)]
pub enum Ending {
    /// A gRPC status, with the trailers that carried it (or the headers, for Trailers-Only).
    Status(Code, HeaderMap),
    /// The server sent RST_STREAM with this error code.
    Reset(u32),
    /// The connection was lost.
    ConnectionLost,
    /// The server sent a GOAWAY with a lower last stream id: it has not processed the request.
    RefusedByGoaway,
    /// HEADERS were never sent.
    NotSent,
    /// The stream ended without a gRPC status.
    NoTrailers,
    /// The response is invalid.
    InvalidResponse(ResponseError),
    /// Cancelled by the client; RST_STREAM has been sent or the connection has ended.
    Cancelled,
}

/// An event of an exchange.
#[derive(Debug)]
pub enum ExchangeEvent {
    /// A message arrived.
    Message(Bytes),
    /// The exchange has ended; no further event follows.
    Ended(Ending, Progress),
}

/// The next event of the response. An error is an invalid response, whose stream is to be closed.
type ResponseEvent = Result<ExchangeEvent, ResponseError>;

/// One request and its response.
pub struct Exchange {
    connection: Connection,
    stream: u32,
    send: SendStream<Bytes>,
    response: Option<ResponseFuture>,
    body: Option<RecvStream>,
    assembler: Assembler,
    unary: bool,
    progress: Progress,
    /// Bytes read for which flow control capacity has not been released.
    unreleased: usize,
    data_done: bool,
    closing: Option<Ending>,
    reset_sent: bool,
    ended: bool,
}

impl Exchange {
    /// Opens a stream on a ready connection, and sends the whole request.
    pub fn start(
        mut connection: Connection,
        request: Request<()>,
        body: Bytes,
        unary: bool,
        limit: usize,
    ) -> Result<Exchange, h2::Error> {
        let (response, mut send) = connection.send.send_request(request, false)?;
        let stream = send.stream_id().as_u32();
        connection.traffic.borrow_mut().track(stream);
        // Queued without regard to flow control: the message's size is already limited, and `Bytes` shares its
        // memory.
        let queued = send.send_data(body, true);
        let closing = queued.err().map(|_| Ending::ConnectionLost);
        Ok(Exchange {
            connection,
            stream,
            send,
            response: Some(response),
            body: None,
            assembler: Assembler::new(limit),
            unary,
            progress: Progress::Nothing,
            unreleased: 0,
            data_done: false,
            closing,
            reset_sent: false,
            ended: false,
        })
    }

    /// Whether HEADERS have been sent.
    pub fn headers_sent(&self) -> bool {
        self.connection
            .traffic
            .borrow()
            .stream(self.stream)
            .is_some_and(|stream| stream.headers_sent)
    }

    /// Cancels the exchange. RST_STREAM(CANCEL) is sent once HEADERS have been sent.
    pub fn cancel(&mut self) {
        self.close(Ending::Cancelled);
    }

    /// Closes the exchange because its response is invalid.
    pub fn reject(&mut self, reason: String) {
        self.close(Ending::InvalidResponse(ResponseError::Rejected(reason)));
    }

    fn close(&mut self, ending: Ending) {
        self.closing.get_or_insert(ending);
        self.response = None;
        self.body = None;
    }

    /// Releases flow control capacity for the bytes read, so that the server can send more.
    pub fn release_capacity(&mut self) {
        if let Some(body) = &mut self.body {
            // Fails only if more is released than was received.
            let _ = body
                .flow_control()
                .release_capacity(std::mem::take(&mut self.unreleased));
        }
    }

    /// Resolves to the next event; stays pending after `Ended`.
    pub fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<ExchangeEvent> {
        if self.ended {
            return Poll::Pending;
        }
        if self.closing.is_some() {
            return self.poll_closing(cx);
        }
        match ready!(self.poll_response(cx)) {
            Ok(ExchangeEvent::Ended(ending, _)) => Poll::Ready(self.end(ending)),
            Ok(event) => Poll::Ready(event),
            Err(error) => {
                self.close(Ending::InvalidResponse(error));
                self.poll_event(cx)
            }
        }
    }

    /// Ready once nothing more can be sent on the stream: RST_STREAM has been sent, both sides have ended, or the
    /// connection has.
    fn poll_closing(&mut self, cx: &mut Context<'_>) -> Poll<ExchangeEvent> {
        let mut traffic = self.connection.traffic.borrow_mut();
        let connection_ended = traffic.ended;
        let (headers_sent, closed) = match traffic.watch_stream(self.stream, cx) {
            Some(stream) => (stream.headers_sent, stream.is_closed()),
            None => (true, true),
        };
        drop(traffic);
        if headers_sent && !self.reset_sent {
            self.reset_sent = true;
            self.send.send_reset(Reason::CANCEL);
        }
        if !(connection_ended || headers_sent && closed) {
            return Poll::Pending;
        }
        let ending = self.closing.take().filter(|_| headers_sent);
        Poll::Ready(self.end(ending.unwrap_or(Ending::NotSent)))
    }

    fn end(&mut self, ending: Ending) -> ExchangeEvent {
        self.ended = true;
        ExchangeEvent::Ended(ending, self.progress)
    }

    fn poll_response(&mut self, cx: &mut Context<'_>) -> Poll<ResponseEvent> {
        if let Some(response) = &mut self.response {
            let response = ready!(Pin::new(response).poll(cx));
            let event = match response {
                Ok(response) => self.on_response_head(response),
                Err(error) => Some(self.on_error(&error)),
            };
            if let Some(event) = event {
                return Poll::Ready(event);
            }
        }
        self.poll_body(cx)
    }

    /// Processes the response head. Returns an event if the response ends with it or is invalid.
    fn on_response_head(&mut self, response: Response<RecvStream>) -> Option<ResponseEvent> {
        self.response = None;
        let (head, body) = response.into_parts();
        let ends = body.is_end_stream();
        self.body = Some(body);
        if ends && head.headers.contains_key("grpc-status") {
            return Some(Ok(self.ended_event(status_ending(head.headers))));
        }
        if head.status != StatusCode::OK {
            return Some(Err(ResponseError::HttpStatus(head.status)));
        }
        let content_type = head.headers.get(http::header::CONTENT_TYPE);
        if !content_type.is_some_and(|v| v.as_bytes().starts_with(b"application/grpc")) {
            return Some(Err(ResponseError::ContentType));
        }
        self.progress = Progress::Headers;
        None
    }

    fn poll_body(&mut self, cx: &mut Context<'_>) -> Poll<ResponseEvent> {
        loop {
            match self.assembler.next_message() {
                Ok(Some(_)) if self.unary && self.progress == Progress::Messages => {
                    return Poll::Ready(Err(ResponseError::SecondMessage));
                }
                Ok(Some(message)) => {
                    self.progress = Progress::Messages;
                    return Poll::Ready(Ok(ExchangeEvent::Message(message)));
                }
                Ok(None) => {}
                Err(error) => return Poll::Ready(Err(error.into())),
            }
            let Some(body) = &mut self.body else {
                return Poll::Pending;
            };
            if self.data_done {
                let trailers = ready!(body.poll_trailers(cx));
                return Poll::Ready(self.on_trailers(trailers));
            }
            match ready!(body.poll_data(cx)) {
                None => self.data_done = true,
                Some(Err(error)) => return Poll::Ready(self.on_error(&error)),
                Some(Ok(bytes)) => self.on_data(&bytes),
            }
        }
    }

    fn on_data(&mut self, bytes: &[u8]) {
        self.unreleased += bytes.len();
        self.assembler.push(bytes);
        // A message may be larger than the window; release capacity until it is complete.
        if self.unary || self.unreleased > 0 && !self.assembler.has_message() {
            self.release_capacity();
        }
    }

    fn on_trailers(&self, trailers: Result<Option<HeaderMap>, h2::Error>) -> ResponseEvent {
        match trailers {
            Err(error) => self.on_error(&error),
            Ok(_) if !self.assembler.is_empty() => Err(ResponseError::Truncated),
            Ok(Some(trailers)) if trailers.contains_key("grpc-status") => {
                Ok(self.ended_event(status_ending(trailers)))
            }
            Ok(_) => Ok(self.ended_event(Ending::NoTrailers)),
        }
    }

    /// Maps an error of the HTTP/2 library to an ending, using the frames transferred on the connection.
    fn on_error(&self, error: &h2::Error) -> ResponseEvent {
        let traffic = self.connection.traffic.borrow();
        let stream = traffic.stream(self.stream);
        let headers_sent = stream.is_some_and(|stream| stream.headers_sent);
        let ending = if traffic.goaway.is_some_and(|last| self.stream > last) {
            Ending::RefusedByGoaway
        } else if !headers_sent {
            Ending::NotSent
        } else if error.is_reset() && error.is_remote() {
            Ending::Reset(error.reason().map_or(2, u32::from))
        } else if error.is_reset() {
            return Err(ResponseError::Protocol(error.to_string()));
        } else {
            Ending::ConnectionLost
        };
        Ok(self.ended_event(ending))
    }

    fn ended_event(&self, ending: Ending) -> ExchangeEvent {
        ExchangeEvent::Ended(ending, self.progress)
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.connection.traffic.borrow_mut().untrack(self.stream);
    }
}

fn status_ending(headers: HeaderMap) -> Ending {
    let code = headers
        .get("grpc-status")
        .map_or(Code::Unknown, |v| Code::parse(v.as_bytes()));
    Ending::Status(code, headers)
}
