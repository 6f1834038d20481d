//! The messages that a client sends on one stream.

use bytes::Bytes;
use h2::RecvStream;
use std::task::{ready, Context, Poll};
use tansy_frames::grpc::{Assembler, FrameError};
use thiserror::Error;

/// Why the messages of a request ended early.
#[derive(Debug, Error)]
pub enum StreamError {
    /// The client cancelled, or its connection ended.
    #[error("the client left")]
    ClientLeft,
    /// What came is no message.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The stream ended within a message.
    #[error("the stream ended within a message")]
    Truncated,
    /// A unary request of two messages.
    #[error("two messages in a unary request")]
    SecondMessage,
}

/// The messages that a client sends on one stream.
pub struct RequestMessages {
    body: RecvStream,
    assembler: Assembler,
}

impl RequestMessages {
    /// Of a request's body, with a limit on one message.
    pub fn new(body: RecvStream, limit: usize) -> RequestMessages {
        RequestMessages {
            body,
            assembler: Assembler::new(limit),
        }
    }

    /// The one message of a unary request, read to the end of its stream: a client that ends it with a frame of its own
    /// must not find the stream closed. `None` if none came; a second one is an error.
    pub fn poll_unary(
        &mut self,
        first: &mut Option<Bytes>,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamError>> {
        loop {
            match ready!(self.poll_next(cx)) {
                Ok(Some(message)) if first.is_none() => *first = Some(message),
                Ok(Some(_)) => return Poll::Ready(Err(StreamError::SecondMessage)),
                Ok(None) => return Poll::Ready(Ok(first.take())),
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// The next message; `None` when the client has sent its last.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, StreamError>> {
        loop {
            match self.assembler.next_message() {
                Ok(Some(message)) => return Poll::Ready(Ok(Some(message))),
                Ok(None) => {}
                Err(error) => return Poll::Ready(Err(error.into())),
            }
            match self.body.poll_data(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(bytes))) => {
                    self.assembler.push(&bytes);
                    // Fails only on more than was read.
                    let _ = self.body.flow_control().release_capacity(bytes.len());
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Err(StreamError::ClientLeft)),
                Poll::Ready(None) if self.assembler.is_empty() => return Poll::Ready(Ok(None)),
                Poll::Ready(None) => return Poll::Ready(Err(StreamError::Truncated)),
            }
        }
    }
}
