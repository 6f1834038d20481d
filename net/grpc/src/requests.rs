//! The request messages of one stream.

use bytes::Bytes;
use h2::RecvStream;
use std::task::{ready, Context, Poll};
use tansy_frames::grpc::{Assembler, FrameError};
use thiserror::Error;

/// Why the messages of a request ended early.
#[derive(Debug, Error)]
pub enum StreamError {
    /// The client cancelled the request, or its connection was lost.
    #[error("the client has left")]
    ClientLeft,
    /// A message is malformed, compressed or too long.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The stream ended in the middle of a message.
    #[error("the stream ended in the middle of a message")]
    Truncated,
    /// A unary request has more than one message.
    #[error("a unary request has more than one message")]
    SecondMessage,
}

/// Reads the messages that a client sends on one stream.
pub struct RequestMessages {
    body: RecvStream,
    assembler: Assembler,
}

impl RequestMessages {
    /// Reads messages of at most `limit` bytes from a request's body.
    pub fn new(body: RecvStream, limit: usize) -> RequestMessages {
        RequestMessages {
            body,
            assembler: Assembler::new(limit),
        }
    }

    /// Reads the message of a unary request up to the end of its stream, since a client may send END_STREAM in a
    /// frame of its own. Resolves to `None` if there is no message, and to an error if there are several.
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

    /// Resolves to the next message, or to `None` at the end of the stream.
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
                    // Fails only if more is released than was received.
                    let _ = self.body.flow_control().release_capacity(bytes.len());
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Err(StreamError::ClientLeft)),
                Poll::Ready(None) if self.assembler.is_empty() => return Poll::Ready(Ok(None)),
                Poll::Ready(None) => return Poll::Ready(Err(StreamError::Truncated)),
            }
        }
    }
}
