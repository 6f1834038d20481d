//! Strict HTTP/1.1 without I/O, for one request at a time on a connection. [`Reader`] buffers a bounded number of bytes and
//! returns complete messages, or the reason to reject the connection. Messages with an ambiguous length are rejected, so
//! that no other party can read them differently (request smuggling).
//!
//! ```
//! use tansy_http1::{Limits, Reader};
//!
//! let mut reader = Reader::for_requests(Limits { head: 512, body: 64 });
//! reader.push_bytes(b"GET /alive HTTP/1.1\r\n\r\n");
//! let target = reader.message(|message| message.target.to_string());
//! assert_eq!(target, Ok(Some("/alive".to_string())));
//! ```
//!
//! - [`Reader`]: parses the messages of one direction. [`write_response`], [`write_get`]: write messages.

mod reader;
mod writer;

pub use reader::{parse_decimal, Reader};
pub use writer::{write_get, write_response};

/// Limits of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most bytes of the start line and headers.
    pub head: usize,
    /// The most bytes of the body.
    pub body: usize,
}

/// Why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The bytes are not an HTTP/1.1 message.
    #[error("not an HTTP/1.1 message")]
    Malformed,
    /// The head is over the limit, or has too many headers.
    #[error("a head over the limit")]
    HeadTooLong,
    /// The body is over the limit.
    #[error("a body over the limit")]
    BodyTooLong,
    /// The message has a Transfer-Encoding, which makes its length ambiguous.
    #[error("Transfer-Encoding; want Content-Length alone")]
    TransferEncoding,
    /// The Content-Length is not a decimal number, or occurs more than once.
    #[error("Content-Length; want one plain decimal number")]
    ContentLength,
    /// The message requires a Content-Length and has none.
    #[error("no Content-Length")]
    MissingLength,
}

impl ParseError {
    /// The HTTP status of the response to such a request.
    pub fn status(self) -> u16 {
        match self {
            ParseError::Malformed | ParseError::ContentLength => 400,
            ParseError::HeadTooLong => 431,
            ParseError::BodyTooLong => 413,
            ParseError::TransferEncoding => 501,
            ParseError::MissingLength => 411,
        }
    }
}

/// A header's name and value.
pub type Header<'a> = (&'a str, &'a [u8]);

/// A complete message.
#[derive(Debug)]
pub struct Message<'a> {
    /// The method of a request; empty for a response.
    pub method: &'a str,
    /// The target of a request; empty for a response.
    pub target: &'a str,
    /// The status of a response; 0 for a request.
    pub status: u16,
    /// The headers, in the order received.
    pub headers: &'a [Header<'a>],
    /// The body.
    pub body: &'a [u8],
    /// Whether the sender keeps the connection open.
    pub keep_alive: bool,
}

impl<'a> Message<'a> {
    /// The value of a header that occurs once; `None` if it is absent, repeated or not UTF-8.
    pub fn single_header(&self, name: &str) -> Option<&'a str> {
        let mut values = self
            .headers
            .iter()
            .filter(|header| header.0.eq_ignore_ascii_case(name));
        let value = values.next()?.1;
        if values.next().is_some() {
            return None;
        }
        std::str::from_utf8(value).ok()
    }
}
