//! Strict HTTP/1.1 for one request at a time on a connection: a bounded buffer in, whole messages out, or the reason to
//! reject the connection. It holds no socket and no clock. What could be read in two ways is not read at all.
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
//! - [`Reader`]: the messages of one side of a connection. [`write_response`], [`write_get`]: what this project sends.

mod reader;
mod writer;

pub use reader::{parse_decimal, Reader};
pub use writer::{write_get, write_response};

/// Limits of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of its start line and headers.
    pub head: usize,
    /// Bytes of its body.
    pub body: usize,
}

/// Why a message is not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// It is no HTTP/1.1 message.
    #[error("not an HTTP/1.1 message")]
    Malformed,
    /// Its head is over the limit, or has too many headers.
    #[error("a head over the limit")]
    HeadTooLong,
    /// Its body is over the limit.
    #[error("a body over the limit")]
    BodyTooLong,
    /// It has a Transfer-Encoding: its length could be read in two ways.
    #[error("Transfer-Encoding; want Content-Length alone")]
    TransferEncoding,
    /// Its Content-Length is no plain number, or one of several.
    #[error("Content-Length; want one plain decimal number")]
    ContentLength,
    /// It has to state its length and does not.
    #[error("no Content-Length")]
    MissingLength,
}

impl ParseError {
    /// The status of the response to it.
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

/// A header: name and value.
pub type Header<'a> = (&'a str, &'a [u8]);

/// A whole message.
#[derive(Debug)]
pub struct Message<'a> {
    /// A request's method; empty for a response.
    pub method: &'a str,
    /// A request's target; empty for a response.
    pub target: &'a str,
    /// A response's status; 0 for a request.
    pub status: u16,
    /// Its headers, in order.
    pub headers: &'a [Header<'a>],
    /// Its body.
    pub body: &'a [u8],
    /// Whether the sender keeps the connection open.
    pub keep_alive: bool,
}

impl<'a> Message<'a> {
    /// The value of a header that occurs once; none if it is absent, repeated or not UTF-8.
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
