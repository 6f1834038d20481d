//! Reasons for rejecting a client's input.

use tansy_platform::RequestError;

/// Why a client's input is rejected. The error text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// Not an HTTP/1.1 message within the limits.
    #[error("not a message of the protocol")]
    Http(tansy_http1::ParseError),
    /// Not a valid request of the platform protocol.
    #[error("{0}")]
    Request(#[from] RequestError),
    /// A `GET /alive` request has a body.
    #[error("a body; want none")]
    UnexpectedBody,
    /// A request with the same id is open.
    #[error("X-Request-Id of a request that is open")]
    DuplicateId,
    /// Further bytes arrived together with the request.
    #[error("a request before the answer to the last")]
    Pipelined,
    /// Another request arrived before the open one was answered.
    #[error("a further request before the answer to the last")]
    PipelinedWhileOpen,
    /// The request was not complete within its time limit.
    #[error("a request not whole in time")]
    TooSlow,
    /// The request was incomplete when its connection was evicted.
    #[error("a request not whole when its place was needed")]
    Evicted,
}

impl Rejection {
    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            Rejection::Http(error) => error.status(),
            Rejection::Request(error) => error.status(),
            Rejection::UnexpectedBody | Rejection::Pipelined | Rejection::PipelinedWhileOpen => 400,
            Rejection::TooSlow | Rejection::Evicted => 408,
            Rejection::DuplicateId => 409,
        }
    }
}
