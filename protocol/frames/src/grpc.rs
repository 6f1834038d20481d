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
    /// Its number as a header value.
    pub fn number(self) -> u8 {
        self as u8
    }
}

/// Why bytes are not messages.
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

/// Takes the bytes of a stream apart into messages, holding no more than one message at a time.
#[derive(Debug)]
pub struct Assembler {
    buffer: BytesMut,
    limit: usize,
}

impl Assembler {
    /// With a limit on one message, bytes.
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
        if self.buffer.len() < 5 {
            return Ok(None);
        }
        match self.buffer[0] {
            0 => {}
            1 => return Err(FrameError::Compressed),
            other => return Err(FrameError::UnknownFlag(other)),
        }
        let length = self.buffer[1..5]
            .iter()
            .fold(0usize, |n, b| n << 8 | usize::from(*b));
        if length > self.limit {
            return Err(FrameError::TooLong {
                length,
                limit: self.limit,
            });
        }
        if self.buffer.len() < 5 + length {
            return Ok(None);
        }
        self.buffer.advance(5);
        Ok(Some(self.buffer.split_to(length).freeze()))
    }
    /// Whether a whole message, or one that can be told to be bad, is at hand.
    pub fn has_message(&self) -> bool {
        let Some(head) = self.buffer.get(..5) else {
            return false;
        };
        let length = head[1..]
            .iter()
            .fold(0usize, |n, b| n << 8 | usize::from(*b));
        head[0] != 0 || length > self.limit || self.buffer.len() >= 5 + length
    }
    /// Whether no part of a message is left over.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// A message with its prefix.
pub fn frame(message: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(5 + message.len());
    out.extend_from_slice(&[0]);
    out.extend_from_slice(&(message.len() as u32).to_be_bytes());
    out.extend_from_slice(message);
    out.freeze()
}

/// Reads `grpc-timeout`: up to 8 digits and a unit; microseconds, rounded down.
pub fn timeout(value: &[u8]) -> Option<i64> {
    let (unit, digits) = value.split_last()?;
    if digits.is_empty() || digits.len() > 8 || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let n = digits
        .iter()
        .fold(0i64, |n, d| n * 10 + i64::from(d - b'0'));
    Some(match unit {
        b'H' => n * 3_600_000_000,
        b'M' => n * 60_000_000,
        b'S' => n * 1_000_000,
        b'm' => n * 1_000,
        b'u' => n,
        b'n' => n / 1_000,
        _ => return None,
    })
}

/// Spells a time-out of so many microseconds in at most 8 digits, rounded down; never negative.
pub fn spell_timeout(micros: i64) -> String {
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
    let mut out = String::with_capacity(text.len());
    for b in text.bytes() {
        match b {
            b' '..=b'~' if b != b'%' => out.push(b as char),
            _ => out.push_str(&format!("%{b:02X}")),
        }
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_come_out_whole_however_they_are_cut() {
        let all = [frame(b"one"), frame(b""), frame(&[9; 1000])].concat();
        for step in 1..all.len() {
            let mut a = Assembler::new(1000);
            let mut out = Vec::new();
            for part in all.chunks(step) {
                a.push(part);
                while let Some(m) = a.next_message().unwrap() {
                    out.push(m.len());
                }
            }
            assert_eq!((out, a.is_empty()), (vec![3, 0, 1000], true));
        }
    }

    #[test]
    fn what_is_no_message_is_refused_before_it_is_held() {
        let mut a = Assembler::new(10);
        a.push(&[0, 0, 0, 0, 11]);
        assert_eq!(
            a.next_message(),
            Err(FrameError::TooLong {
                length: 11,
                limit: 10
            })
        );
        let mut a = Assembler::new(10);
        a.push(&[1, 0, 0, 0, 1, 0]);
        assert_eq!(a.next_message(), Err(FrameError::Compressed));
        let mut a = Assembler::new(10);
        a.push(b"GET / HTTP/1.1");
        assert_eq!(a.next_message(), Err(FrameError::UnknownFlag(b'G')));
    }

    #[test]
    fn timeouts_at_the_ends_of_the_range() {
        assert_eq!(timeout(b"1n"), Some(0));
        assert_eq!(timeout(b"99999999H"), Some(359_999_996_400_000_000));
        assert_eq!(timeout(b"250m"), Some(250_000));
        for bad in ["", "n", "123456789u", "-1S", "1s", "1 S", "1.5S"] {
            assert_eq!(timeout(bad.as_bytes()), None, "{bad:?}");
        }
        for micros in [
            0,
            1,
            999,
            99_999_999,
            100_000_000,
            359_999_996_400_000_000,
            i64::MAX,
        ] {
            let back = timeout(spell_timeout(micros).as_bytes()).unwrap();
            assert!(
                back <= micros && back >= micros.min(359_999_996_400_000_000) / 2,
                "{micros}: {back}"
            );
        }
    }

    #[test]
    fn messages_are_percent_encoded() {
        assert_eq!(encode_message("100% no\n\u{e9}"), "100%25 no%0A%C3%A9");
    }
}
