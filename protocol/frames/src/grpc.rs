//! gRPC over HTTP/2: length-prefixed messages, status codes, the timeout header and percent-encoded status messages
//! (gRPC, "PROTOCOL-HTTP2").

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// A status code (gRPC, "Status codes and their use").
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[allow(missing_docs)]
pub enum Code {
    Ok = 0,
    Cancelled = 1,
    Unknown = 2,
    InvalidArgument = 3,
    DeadlineExceeded = 4,
    NotFound = 5,
    AlreadyExists = 6,
    PermissionDenied = 7,
    ResourceExhausted = 8,
    FailedPrecondition = 9,
    Aborted = 10,
    OutOfRange = 11,
    Unimplemented = 12,
    Internal = 13,
    Unavailable = 14,
    DataLoss = 15,
    Unauthenticated = 16,
}

impl Code {
    /// Parses a `grpc-status` value. An unknown or unreadable value gives `Unknown`, as the protocol requires.
    pub fn parse(value: &[u8]) -> Code {
        use Code::*;
        const ALL: [Code; 17] = [
            Ok,
            Cancelled,
            Unknown,
            InvalidArgument,
            DeadlineExceeded,
            NotFound,
            AlreadyExists,
            PermissionDenied,
            ResourceExhausted,
            FailedPrecondition,
            Aborted,
            OutOfRange,
            Unimplemented,
            Internal,
            Unavailable,
            DataLoss,
            Unauthenticated,
        ];
        let number = std::str::from_utf8(value)
            .ok()
            .and_then(|s| s.parse::<usize>().ok());
        number.and_then(|n| ALL.get(n)).copied().unwrap_or(Unknown)
    }
    /// The code's number, as sent in `grpc-status`.
    pub fn number(self) -> u8 {
        self as u8
    }
}

/// Why bytes are not a valid gRPC message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FrameError {
    /// A message over the limit.
    #[error("a message of {length} bytes, over the limit of {limit}")]
    TooLong {
        /// The length in the message's prefix.
        length: usize,
        /// The most bytes allowed.
        limit: usize,
    },
    /// The compressed flag is set, but no compression is supported.
    #[error("a compressed message, and no grpc-encoding is supported here")]
    Compressed,
    /// The flag byte is neither 0 nor 1.
    #[error("a message flag of {0}, which the protocol does not know")]
    UnknownFlag(u8),
}

/// Bytes before each message: a flag byte and a 4-byte length.
const PREFIX_BYTES: usize = 5;

struct Prefix {
    flag: u8,
    length: usize,
}

/// Splits the bytes of a stream into messages.
#[derive(Debug)]
pub struct Assembler {
    buffer: BytesMut,
    limit: usize,
}

impl Assembler {
    /// Creates an assembler that rejects messages of more than `limit` bytes.
    pub fn new(limit: usize) -> Assembler {
        Assembler {
            buffer: BytesMut::new(),
            limit,
        }
    }
    /// Appends the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }
    /// Takes the next message; `None` if it is incomplete.
    pub fn next_message(&mut self) -> Result<Option<Bytes>, FrameError> {
        let Some(prefix) = self.prefix() else {
            return Ok(None);
        };
        match prefix.flag {
            0 => {}
            1 => return Err(FrameError::Compressed),
            other => return Err(FrameError::UnknownFlag(other)),
        }
        let length = prefix.length;
        if length > self.limit {
            return Err(FrameError::TooLong {
                length,
                limit: self.limit,
            });
        }
        if self.buffer.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_BYTES);
        Ok(Some(self.buffer.split_to(length).freeze()))
    }
    /// Whether [`Assembler::next_message`] would return a message or an error.
    pub fn has_message(&self) -> bool {
        let Some(prefix) = self.prefix() else {
            return false;
        };
        let is_complete = self.buffer.len() >= PREFIX_BYTES + prefix.length;
        prefix.flag != 0 || prefix.length > self.limit || is_complete
    }

    fn prefix(&self) -> Option<Prefix> {
        let (flag, length) = self.buffer.get(..PREFIX_BYTES)?.split_first()?;
        let length = length
            .iter()
            .fold(0, |length, byte| length << 8 | usize::from(*byte));
        Some(Prefix {
            flag: *flag,
            length,
        })
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Encodes a message with its prefix, uncompressed.
pub fn frame(message: &[u8]) -> Bytes {
    let mut framed = BytesMut::with_capacity(PREFIX_BYTES + message.len());
    framed.extend_from_slice(&[0]);
    framed.extend_from_slice(&(message.len() as u32).to_be_bytes());
    framed.extend_from_slice(message);
    framed.freeze()
}

/// Parses `grpc-timeout`, up to 8 digits and a unit, to microseconds, rounded down.
pub fn parse_timeout(value: &[u8]) -> Option<i64> {
    let (unit, digits) = value.split_last()?;
    if digits.is_empty() || digits.len() > 8 || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let amount = digits
        .iter()
        .fold(0i64, |amount, digit| amount * 10 + i64::from(digit - b'0'));
    Some(match unit {
        b'H' => amount * 3_600_000_000,
        b'M' => amount * 60_000_000,
        b'S' => amount * 1_000_000,
        b'm' => amount * 1_000,
        b'u' => amount,
        b'n' => amount / 1_000,
        _ => return None,
    })
}

/// Formats microseconds as a `grpc-timeout` of at most 8 digits, rounded down. Negative values give 0.
pub fn format_timeout(micros: i64) -> String {
    let micros = micros.max(0);
    for (unit, size) in [('u', 1), ('m', 1_000), ('S', 1_000_000), ('M', 60_000_000)] {
        if micros / size < 100_000_000 {
            return format!("{}{unit}", micros / size);
        }
    }
    format!("{}H", (micros / 3_600_000_000).min(99_999_999))
}

/// Percent-encodes a text for `grpc-message`.
pub fn encode_message(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b' '..=b'~' if byte != b'%' => encoded.push(byte as char),
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
