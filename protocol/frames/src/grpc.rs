//! gRPC over HTTP/2: length-prefixed messages, status codes, the time-out header, percent-encoded messages.
//! Source: gRPC, "PROTOCOL-HTTP2".

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// Status codes (gRPC, "Status codes and their use").
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
    /// The code of a `grpc-status` value; an unknown or unreadable one is `Unknown`, as the protocol asks.
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
    /// Its number, as in a header.
    pub fn number(self) -> u8 {
        self as u8
    }
}

/// Bytes that are not messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FrameError {
    /// A message over the limit.
    #[error("a message of {length} bytes, over the limit of {limit}")]
    TooLong {
        /// Bytes announced.
        length: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// The compressed flag is set though no encoding was agreed.
    #[error("a compressed message, and no grpc-encoding is supported here")]
    Compressed,
    /// A flag byte that the protocol does not know.
    #[error("a message flag of {0}, which the protocol does not know")]
    UnknownFlag(u8),
}

/// Bytes before each message: a flag, and its length.
const PREFIX: usize = 5;

struct Prefix {
    flag: u8,
    length: usize,
}

/// Reads messages from the bytes of a stream, keeping no more than one message at a time.
#[derive(Debug)]
pub struct Assembler {
    buffer: BytesMut,
    limit: usize,
}

impl Assembler {
    /// An assembler with a limit on one message, bytes.
    pub fn new(limit: usize) -> Assembler {
        Assembler {
            buffer: BytesMut::new(),
            limit,
        }
    }
    /// Takes the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }
    /// The next whole message, if it is there.
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
        if self.buffer.len() < PREFIX + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX);
        Ok(Some(self.buffer.split_to(length).freeze()))
    }
    /// Whether [`Assembler::next_message`] would give a message or an error.
    pub fn has_message(&self) -> bool {
        let Some(prefix) = self.prefix() else {
            return false;
        };
        let whole = self.buffer.len() >= PREFIX + prefix.length;
        prefix.flag != 0 || prefix.length > self.limit || whole
    }

    fn prefix(&self) -> Option<Prefix> {
        let (flag, length) = self.buffer.get(..PREFIX)?.split_first()?;
        let length = length
            .iter()
            .fold(0, |length, byte| length << 8 | usize::from(*byte));
        Some(Prefix {
            flag: *flag,
            length,
        })
    }

    /// Whether no part of a message is left over.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// A message with its prefix.
pub fn frame(message: &[u8]) -> Bytes {
    let mut framed = BytesMut::with_capacity(PREFIX + message.len());
    framed.extend_from_slice(&[0]);
    framed.extend_from_slice(&(message.len() as u32).to_be_bytes());
    framed.extend_from_slice(message);
    framed.freeze()
}

/// Reads `grpc-timeout`: up to 8 digits and a unit; microseconds, rounded down.
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

/// Writes a time-out of so many microseconds in at most 8 digits, rounded down; never negative.
pub fn format_timeout(micros: i64) -> String {
    let micros = micros.max(0);
    for (unit, size) in [('u', 1), ('m', 1_000), ('S', 1_000_000), ('M', 60_000_000)] {
        if micros / size < 100_000_000 {
            return format!("{}{unit}", micros / size);
        }
    }
    format!("{}H", (micros / 3_600_000_000).min(99_999_999))
}

/// Percent-encodes a `grpc-message`.
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
