//! Why a client's connection is rejected: what it sent was no valid request, or came too late or too early.

use tansy_platform::RequestError;

/// Why a client's connection is rejected. The text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// It is no HTTP/1.1 message within the limits.
    #[error("not a message of the protocol")]
    Http(tansy_http1::ParseError),
    /// It is not a request of the protocol's form.
    #[error("{0}")]
    Request(#[from] RequestError),
    /// `GET /alive` with a body.
    #[error("a body; want none")]
    UnexpectedBody,
    /// A request of its id is open.
    #[error("X-Request-Id of a request that is open")]
    DuplicateId,
    /// Another request came with it.
    #[error("a request before the answer to the last")]
    Pipelined,
    /// Another request came before it was answered.
    #[error("a further request before the answer to the last")]
    PipelinedWhileOpen,
    /// It was not whole in time.
    #[error("a request not whole in time")]
    TooSlow,
    /// It was not whole when its connection was shed.
    #[error("a request not whole when its place was needed")]
    Shed,
}

impl Rejection {
    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            Rejection::Http(error) => error.status(),
            Rejection::Request(error) => error.status(),
            Rejection::UnexpectedBody | Rejection::Pipelined | Rejection::PipelinedWhileOpen => 400,
            Rejection::TooSlow | Rejection::Shed => 408,
            Rejection::DuplicateId => 409,
        }
    }
}
