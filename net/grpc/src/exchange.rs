//! One request on a link and its answer: from "asked for" to exactly one [`Ending`].

use crate::link::Connection;
use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, Request};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use tansy_frames::grpc::{Assembler, Code};

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

/// How an exchange ended.
#[derive(Clone, Debug)]
pub enum Ending {
    /// A status came; with the trailers (the headers, if it came in those).
    Status(Code, HeaderMap),
    /// RST_STREAM from the server, with its code.
    Reset(u32),
    /// The connection ended.
    ConnectionCut,
    /// A GOAWAY named a last stream below this one.
    GoawayBelow,
    /// Its HEADERS never left.
    NeverLeft,
    /// It ended without trailers.
    NoTrailers,
    /// What came is not gRPC, too long, compressed, or a second answer to a unary call.
    InvalidResponse(String),
    /// Withdrawn by us, and the RST_STREAM has left or the connection has ended.
    Cancelled,
}

/// What an exchange has to tell.
#[derive(Debug)]
pub enum ExchangeEvent {
    /// A message came.
    Message(Bytes),
    /// It has ended; nothing follows.
    Ended(Ending, Progress),
}

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
    unread: usize,
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
        connection.wire.borrow_mut().follow(stream);
        // Queued whole: a message is bounded where it came in, and it is shared, not copied.
        let queued = send.send_data(body, true);
        let closing = queued.err().map(|_| Ending::ConnectionCut);
        Ok(Exchange {
            connection,
            stream,
            send,
            response: Some(response),
            body: None,
            assembler: Assembler::new(limit),
            unary,
            progress: Progress::Nothing,
            unread: 0,
            data_done: false,
            closing,
            reset_sent: false,
            ended: false,
        })
    }

    /// Whether its HEADERS have left.
    pub fn headers_sent(&self) -> bool {
        self.connection
            .wire
            .borrow()
            .peek(self.stream)
            .is_some_and(|m| m.headers_out)
    }

    /// Withdraws it: RST_STREAM with CANCEL once its HEADERS have left.
    pub fn cancel(&mut self) {
        self.close(Ending::Cancelled);
    }

    /// Closes it because what came is no answer.
    pub fn reject(&mut self, why: String) {
        self.close(Ending::InvalidResponse(why));
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
                .release_capacity(std::mem::take(&mut self.unread));
        }
    }

    /// The next news. After `Ended` there is none.
    pub fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<ExchangeEvent> {
        if self.ended {
            return Poll::Pending;
        }
        if self.closing.is_some() {
            let (headers_out, closed, cut) = {
                let mut wire = self.connection.wire.borrow_mut();
                let cut = wire.cut;
                match wire.marks(self.stream, cx) {
                    Some(m) => (m.headers_out, m.reset_out || m.end_in && m.end_out, cut),
                    None => (true, true, cut),
                }
            };
            if headers_out && !self.reset_sent {
                self.reset_sent = true;
                self.send.send_reset(Reason::CANCEL);
            }
            if !(cut || headers_out && closed) {
                return Poll::Pending;
            }
            let ending = self
                .closing
                .take()
                .filter(|_| headers_out)
                .unwrap_or(Ending::NeverLeft);
            return self.end(ending);
        }
        match self.poll_answer(cx) {
            Poll::Ready(Ok(ExchangeEvent::Ended(ending, _))) => self.end(ending),
            Poll::Ready(Ok(news)) => Poll::Ready(news),
            Poll::Ready(Err(bad)) => {
                self.close(Ending::InvalidResponse(bad));
                self.poll_event(cx)
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn end(&mut self, ending: Ending) -> Poll<ExchangeEvent> {
        self.ended = true;
        Poll::Ready(ExchangeEvent::Ended(ending, self.progress))
    }

    /// The answer's news; an error is an answer that is none, to be closed by us.
    fn poll_answer(&mut self, cx: &mut Context<'_>) -> Poll<Result<ExchangeEvent, String>> {
        if let Some(response) = &mut self.response {
            let response = match Pin::new(response).poll(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(e)) => return Poll::Ready(self.broken(&e)),
                Poll::Ready(Ok(r)) => r,
            };
            self.response = None;
            let (head, body) = response.into_parts();
            let ends = body.is_end_stream();
            self.body = Some(body);
            if ends && head.headers.contains_key("grpc-status") {
                return Poll::Ready(Ok(ExchangeEvent::Ended(
                    status(head.headers),
                    self.progress,
                )));
            }
            if head.status != http::StatusCode::OK {
                return Poll::Ready(Err(format!(
                    "HTTP status {} without a grpc-status",
                    head.status
                )));
            }
            let kind = head
                .headers
                .get(http::header::CONTENT_TYPE)
                .map(|v| v.as_bytes());
            if !kind.is_some_and(|k| k.starts_with(b"application/grpc")) {
                return Poll::Ready(Err("a content-type other than application/grpc".into()));
            }
            self.progress = Progress::Headers;
        }
        loop {
            match self.assembler.next_message() {
                Ok(Some(_)) if self.unary && self.progress == Progress::Messages => {
                    return Poll::Ready(Err("a second answer to a unary call".into()));
                }
                Ok(Some(message)) => {
                    self.progress = Progress::Messages;
                    return Poll::Ready(Ok(ExchangeEvent::Message(message)));
                }
                Ok(None) => {}
                Err(bad) => return Poll::Ready(Err(bad.to_string())),
            }
            let Some(body) = &mut self.body else {
                return Poll::Pending;
            };
            if self.data_done {
                return match body.poll_trailers(cx) {
                    Poll::Pending => Poll::Pending,
                    Poll::Ready(Err(e)) => Poll::Ready(self.broken(&e)),
                    Poll::Ready(Ok(_)) if !self.assembler.is_empty() => {
                        Poll::Ready(Err("a message cut short by the end of its stream".into()))
                    }
                    Poll::Ready(Ok(Some(trailers))) if trailers.contains_key("grpc-status") => {
                        Poll::Ready(Ok(ExchangeEvent::Ended(status(trailers), self.progress)))
                    }
                    Poll::Ready(Ok(_)) => {
                        Poll::Ready(Ok(ExchangeEvent::Ended(Ending::NoTrailers, self.progress)))
                    }
                };
            }
            match body.poll_data(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => self.data_done = true,
                Poll::Ready(Some(Err(e))) => return Poll::Ready(self.broken(&e)),
                Poll::Ready(Some(Ok(bytes))) => {
                    self.unread += bytes.len();
                    self.assembler.push(&bytes);
                    // A message longer than the window must be able to grow to its limit.
                    if self.unary || self.unread > 0 && !self.whole() {
                        self.release_capacity();
                    }
                }
            }
        }
    }

    /// Whether a whole message is at hand.
    fn whole(&self) -> bool {
        self.assembler.has_message()
    }

    fn broken(&self, e: &h2::Error) -> Result<ExchangeEvent, String> {
        let wire = self.connection.wire.borrow();
        let left = wire.peek(self.stream).is_some_and(|m| m.headers_out);
        let ending = if wire.goaway.is_some_and(|last| self.stream > last) {
            Ending::GoawayBelow
        } else if !left {
            Ending::NeverLeft
        } else if e.is_reset() && e.is_remote() {
            Ending::Reset(e.reason().map_or(2, u32::from))
        } else if e.is_reset() {
            return Err(format!("an answer that breaks HTTP/2: {e}"));
        } else {
            Ending::ConnectionCut
        };
        Ok(ExchangeEvent::Ended(ending, self.progress))
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.connection.wire.borrow_mut().leave(self.stream);
    }
}

fn status(headers: HeaderMap) -> Ending {
    let code = headers
        .get("grpc-status")
        .map_or(Code::Unknown, |v| Code::parse(v.as_bytes()));
    Ending::Status(code, headers)
}
