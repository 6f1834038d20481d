//! One request on a link and its answer: from its start to exactly one [`Ending`].

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

/// How far an answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// Nothing.
    Nothing,
    /// Its headers.
    Headers,
    /// At least one message.
    Messages,
}

/// Why what came is no answer.
#[derive(Clone, Debug, Error)]
pub enum ResponseError {
    /// The status of HTTP says so.
    #[error("HTTP status {0} without a grpc-status")]
    HttpStatus(StatusCode),
    /// It is not gRPC.
    #[error("a content-type other than application/grpc")]
    ContentType,
    /// A unary call has one answer.
    #[error("a second answer to a unary call")]
    SecondMessage,
    /// Its bytes are not messages, or one is too long or compressed.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The stream ended within a message.
    #[error("a message cut short by the end of its stream")]
    Truncated,
    /// The HTTP/2 library rejected it.
    #[error("an answer that breaks HTTP/2: {0}")]
    Protocol(String),
    /// The reader of the exchange rejected it.
    #[error("{0}")]
    Rejected(String),
}

/// How an exchange ended.
#[derive(Clone, Debug)]
pub enum Ending {
    /// A status came; with the trailers (the headers, if it came in those).
    Status(Code, HeaderMap),
    /// RST_STREAM from the server, with its code.
    Reset(u32),
    /// The connection ended.
    ConnectionLost,
    /// A GOAWAY named a last stream below this one.
    RefusedByGoaway,
    /// Its HEADERS never left.
    NotSent,
    /// It ended without trailers.
    NoTrailers,
    /// What came is no answer.
    InvalidResponse(ResponseError),
    /// Cancelled by us, and the RST_STREAM has left or the connection has ended.
    Cancelled,
}

/// What happens to an exchange.
#[derive(Debug)]
pub enum ExchangeEvent {
    /// A message came.
    Message(Bytes),
    /// It has ended; nothing follows.
    Ended(Ending, Progress),
}

/// The answer's next event; an error is an answer that is none, to be closed by us.
type AnswerEvent = Result<ExchangeEvent, ResponseError>;

/// One request and its answer.
pub struct Exchange {
    connection: Connection,
    stream: u32,
    send: SendStream<Bytes>,
    response: Option<ResponseFuture>,
    body: Option<RecvStream>,
    assembler: Assembler,
    unary: bool,
    progress: Progress,
    /// Bytes that were read and whose room the server has not got back.
    unreleased: usize,
    data_done: bool,
    closing: Option<Ending>,
    reset_sent: bool,
    ended: bool,
}

impl Exchange {
    /// Opens a stream on a connection that is ready for one, sends the request and ends its own side.
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
        // Queued whole: a message is bounded where it came in, and it is shared, not copied.
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

    /// Whether its HEADERS have left.
    pub fn headers_sent(&self) -> bool {
        self.connection
            .traffic
            .borrow()
            .stream(self.stream)
            .is_some_and(|stream| stream.headers_sent)
    }

    /// Cancels it: RST_STREAM with CANCEL once its HEADERS have left.
    pub fn cancel(&mut self) {
        self.close(Ending::Cancelled);
    }

    /// Closes it because what came is no answer.
    pub fn reject(&mut self, reason: String) {
        self.close(Ending::InvalidResponse(ResponseError::Rejected(reason)));
    }

    fn close(&mut self, ending: Ending) {
        self.closing.get_or_insert(ending);
        self.response = None;
        self.body = None;
    }

    /// Lets the server send as much again as was read: the reader has room.
    pub fn release_capacity(&mut self) {
        if let Some(body) = &mut self.body {
            // Fails only on more than was read.
            let _ = body
                .flow_control()
                .release_capacity(std::mem::take(&mut self.unreleased));
        }
    }

    /// The next event. After `Ended` there is none.
    pub fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<ExchangeEvent> {
        if self.ended {
            return Poll::Pending;
        }
        if self.closing.is_some() {
            return self.poll_closing(cx);
        }
        match ready!(self.poll_answer(cx)) {
            Ok(ExchangeEvent::Ended(ending, _)) => Poll::Ready(self.end(ending)),
            Ok(event) => Poll::Ready(event),
            Err(error) => {
                self.close(Ending::InvalidResponse(error));
                self.poll_event(cx)
            }
        }
    }

    /// Ready once nothing of it can still leave: its reset has left, both sides have ended, or the connection has.
    fn poll_closing(&mut self, cx: &mut Context<'_>) -> Poll<ExchangeEvent> {
        let mut traffic = self.connection.traffic.borrow_mut();
        let cut = traffic.ended;
        let (headers_sent, closed) = match traffic.watch_stream(self.stream, cx) {
            Some(stream) => (stream.headers_sent, stream.is_closed()),
            None => (true, true),
        };
        drop(traffic);
        if headers_sent && !self.reset_sent {
            self.reset_sent = true;
            self.send.send_reset(Reason::CANCEL);
        }
        if !(cut || headers_sent && closed) {
            return Poll::Pending;
        }
        let ending = self.closing.take().filter(|_| headers_sent);
        Poll::Ready(self.end(ending.unwrap_or(Ending::NotSent)))
    }

    fn end(&mut self, ending: Ending) -> ExchangeEvent {
        self.ended = true;
        ExchangeEvent::Ended(ending, self.progress)
    }

    fn poll_answer(&mut self, cx: &mut Context<'_>) -> Poll<AnswerEvent> {
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

    /// Takes the head of the response; an event if it is all of the answer, or none.
    fn on_response_head(&mut self, response: Response<RecvStream>) -> Option<AnswerEvent> {
        self.response = None;
        let (head, body) = response.into_parts();
        let ends = body.is_end_stream();
        self.body = Some(body);
        if ends && head.headers.contains_key("grpc-status") {
            return Some(Ok(self.ended_by(status(head.headers))));
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

    fn poll_body(&mut self, cx: &mut Context<'_>) -> Poll<AnswerEvent> {
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
        // A message longer than the window must be able to grow to its limit.
        if self.unary || self.unreleased > 0 && !self.assembler.has_message() {
            self.release_capacity();
        }
    }

    fn on_trailers(&self, trailers: Result<Option<HeaderMap>, h2::Error>) -> AnswerEvent {
        match trailers {
            Err(error) => self.on_error(&error),
            Ok(_) if !self.assembler.is_empty() => Err(ResponseError::Truncated),
            Ok(Some(trailers)) if trailers.contains_key("grpc-status") => {
                Ok(self.ended_by(status(trailers)))
            }
            Ok(_) => Ok(self.ended_by(Ending::NoTrailers)),
        }
    }

    /// The end of the answer by an error of the HTTP/2 library, distinguished by what has passed on the connection.
    fn on_error(&self, error: &h2::Error) -> AnswerEvent {
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
        Ok(self.ended_by(ending))
    }

    fn ended_by(&self, ending: Ending) -> ExchangeEvent {
        ExchangeEvent::Ended(ending, self.progress)
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.connection.traffic.borrow_mut().untrack(self.stream);
    }
}

fn status(headers: HeaderMap) -> Ending {
    let code = headers
        .get("grpc-status")
        .map_or(Code::Unknown, |v| Code::parse(v.as_bytes()));
    Ending::Status(code, headers)
}
