//! Parses the messages of one direction of a connection.

use crate::{Header, Limits, Message, ParseError};
use std::ops::Range;

/// The most headers of one message.
const MAX_HEADERS: usize = 32;

/// Parses the messages of one direction of a connection.
#[derive(Debug)]
pub struct Reader {
    limits: Limits,
    reads_responses: bool,
    buffer: Vec<u8>,
    /// The end of the first message in the buffer, once its head has been parsed.
    end: Option<usize>,
    /// Bytes already searched for the end of the head.
    scanned: usize,
}

impl Reader {
    /// Creates a reader of requests.
    pub fn for_requests(limits: Limits) -> Reader {
        Reader {
            limits,
            reads_responses: false,
            buffer: Vec::new(),
            end: None,
            scanned: 0,
        }
    }
    /// Creates a reader of responses.
    pub fn for_responses(limits: Limits) -> Reader {
        Reader {
            reads_responses: true,
            ..Reader::for_requests(limits)
        }
    }
    /// Appends received bytes. Call [`Reader::message`] after each append, since it enforces the limits on the buffer.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }
    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
    /// The number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }
    /// The number of buffered bytes after the first message; 0 until its head has been parsed.
    pub fn trailing_bytes(&self) -> usize {
        self.end
            .map_or(0, |end| self.buffer.len().saturating_sub(end))
    }
    /// Drops the first message from the buffer.
    pub fn discard_message(&mut self) {
        if let Some(end) = self.end.take() {
            self.buffer.drain(..end.min(self.buffer.len()));
            self.buffer.shrink_to(1024);
        }
        self.scanned = 0;
    }

    /// Passes the first message in the buffer to `read`; `None` if the message is incomplete.
    pub fn message<T>(
        &mut self,
        read: impl FnOnce(Message<'_>) -> T,
    ) -> Result<Option<T>, ParseError> {
        let is_complete = match self.end {
            Some(end) => self.buffer.len() >= end,
            None => self.has_head()?,
        };
        if !is_complete {
            return Ok(None);
        }
        let mut raw = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let Some(head) = parse_head(&self.buffer, self.reads_responses, &mut raw)? else {
            return Ok(None);
        };
        let mut headers: [Header<'_>; MAX_HEADERS] = [("", &[]); MAX_HEADERS];
        for (slot, header) in headers.iter_mut().zip(head.headers) {
            *slot = (header.name, header.value);
        }
        let headers = &headers[..head.headers.len()];
        let needs_length = self.reads_responses || head.method == "POST";
        let body = body_range(headers, head.length, needs_length, &self.limits)?;
        self.end = Some(body.end);
        if self.buffer.len() < body.end {
            return Ok(None);
        }
        let closes = |header: &Header<'_>| {
            header.0.eq_ignore_ascii_case("connection")
                && header
                    .1
                    .to_ascii_lowercase()
                    .windows(5)
                    .any(|part| part == b"close")
        };
        let keep_alive = !headers.iter().any(closes);
        Ok(Some(read(Message {
            method: head.method,
            target: head.target,
            status: head.status,
            headers,
            body: &self.buffer[body],
            keep_alive,
        })))
    }

    /// Whether the buffer holds a complete head. Each byte is searched only once.
    fn has_head(&mut self) -> Result<bool, ParseError> {
        let from = self.scanned.saturating_sub(3);
        let end = self.buffer[from..]
            .windows(4)
            .position(|part| part == b"\r\n\r\n")
            .map(|position| from + position + 4);
        let first = self.buffer.first().copied().unwrap_or(b'A');
        // A message starts with an upper-case letter: anything else is rejected without waiting for more bytes.
        if !first.is_ascii_uppercase() {
            return Err(ParseError::Malformed);
        }
        if end.unwrap_or(self.buffer.len()) > self.limits.head {
            return Err(ParseError::HeadTooLong);
        }
        if end.is_none() && self.buffer[from..].windows(2).any(|part| part == b"\n\n") {
            return Err(ParseError::Malformed);
        }
        self.scanned = self.buffer.len();
        Ok(end.is_some())
    }
}

/// The parsed start line and headers of a message, and their length in bytes.
struct Head<'h, 'b> {
    method: &'b str,
    target: &'b str,
    status: u16,
    length: usize,
    headers: &'h [httparse::Header<'b>],
}

fn parse_head<'h, 'b>(
    buffer: &'b [u8],
    is_response: bool,
    raw: &'h mut [httparse::Header<'b>],
) -> Result<Option<Head<'h, 'b>>, ParseError> {
    if is_response {
        let mut parsed = httparse::Response::new(raw);
        let httparse::Status::Complete(length) = parsed.parse(buffer).map_err(head_error)? else {
            return Ok(None);
        };
        check_version(parsed.version)?;
        return Ok(Some(Head {
            method: "",
            target: "",
            status: parsed.code.unwrap_or(0),
            length,
            headers: parsed.headers,
        }));
    }
    let mut parsed = httparse::Request::new(raw);
    let httparse::Status::Complete(length) = parsed.parse(buffer).map_err(head_error)? else {
        return Ok(None);
    };
    check_version(parsed.version)?;
    Ok(Some(Head {
        method: parsed.method.unwrap_or(""),
        target: parsed.path.unwrap_or(""),
        status: 0,
        length,
        headers: parsed.headers,
    }))
}

/// Rejects versions other than HTTP/1.1.
fn check_version(minor: Option<u8>) -> Result<(), ParseError> {
    if minor == Some(1) {
        Ok(())
    } else {
        Err(ParseError::Malformed)
    }
}

fn head_error(error: httparse::Error) -> ParseError {
    match error {
        httparse::Error::TooManyHeaders => ParseError::HeadTooLong,
        _ => ParseError::Malformed,
    }
}

/// The range of the body in the buffer, determined by a single Content-Length.
fn body_range(
    headers: &[Header<'_>],
    from: usize,
    needs_length: bool,
    limits: &Limits,
) -> Result<Range<usize>, ParseError> {
    if headers
        .iter()
        .any(|header| header.0.eq_ignore_ascii_case("transfer-encoding"))
    {
        return Err(ParseError::TransferEncoding);
    }
    let mut lengths = headers
        .iter()
        .filter(|header| header.0.eq_ignore_ascii_case("content-length"));
    let length = match (lengths.next(), lengths.next()) {
        (None, _) if needs_length => return Err(ParseError::MissingLength),
        (None, _) => 0,
        (Some(_), Some(_)) => return Err(ParseError::ContentLength),
        (Some(header), None) => parse_decimal(header.1).ok_or(ParseError::ContentLength)?,
    };
    if length > limits.body as u64 {
        return Err(ParseError::BodyTooLong);
    }
    Ok(from..from + length as usize)
}

/// Parses a decimal number of up to 19 digits without sign or spaces.
pub fn parse_decimal(text: &[u8]) -> Option<u64> {
    if text.is_empty() || text.len() > 19 || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}
