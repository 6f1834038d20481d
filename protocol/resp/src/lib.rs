//! RESP arrays of bulk strings, the format of requests to workers and of their replies: a bounded parser and a writer
//! without I/O.
//!
//! ```
//! use tansy_resp::{Limits, Reader};
//!
//! let mut bytes = Vec::new();
//! tansy_resp::write_array(&mut bytes, &[b"there", b"o1"]);
//! let mut reader = Reader::new(Limits { string: 64, strings: 4 });
//! reader.push_bytes(&bytes);
//! assert_eq!(reader.next_array(), Ok(Some(vec![&b"there"[..], b"o1"])));
//! ```

use std::ops::Range;

/// Limits of one array.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most bytes of one string.
    pub string: usize,
    /// The most strings of one array.
    pub strings: usize,
}

/// The most digits of a length.
const MAX_DIGITS: usize = 16;

/// Why received bytes are not an array of bulk strings within the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// A value of an unexpected type.
    #[error("type {:?}; want {:?}", char::from(*.actual), char::from(*.expected))]
    UnexpectedType {
        /// The received type byte.
        actual: u8,
        /// The expected type byte: `*` or `$`.
        expected: u8,
    },
    /// A length that is not decimal digits followed by CRLF.
    #[error("invalid length; want up to 16 decimal digits and CRLF")]
    MalformedLength,
    /// An array without strings, or with too many.
    #[error("an array of {length} strings; want 1 to {limit}")]
    ArrayLength {
        /// The stated number of strings.
        length: usize,
        /// The most strings allowed.
        limit: usize,
    },
    /// A string over the limit.
    #[error("a string of {length} bytes; want {limit} at most")]
    StringTooLong {
        /// The stated number of bytes.
        length: usize,
        /// The most bytes allowed.
        limit: usize,
    },
    /// A string without CRLF after its stated length.
    #[error("a string without CRLF after its stated length")]
    MissingStringEnd,
}

/// Writes one array.
pub fn write_array(buffer: &mut Vec<u8>, strings: &[&[u8]]) {
    buffer.extend_from_slice(format!("*{}\r\n", strings.len()).as_bytes());
    for string in strings {
        buffer.extend_from_slice(format!("${}\r\n", string.len()).as_bytes());
        buffer.extend_from_slice(string);
        buffer.extend_from_slice(b"\r\n");
    }
}

/// Parses the arrays of one direction of a connection.
#[derive(Debug)]
pub struct Reader {
    limits: Limits,
    buffer: Vec<u8>,
    /// The start of the current array. Earlier bytes are dropped when more are appended.
    array_start: usize,
    /// The number of strings in the current array, once its first line is parsed.
    wanted: Option<usize>,
    /// The strings of the current array parsed so far, as ranges of `buffer`.
    strings: Vec<Range<usize>>,
    /// The end of the parsed part of `buffer`.
    cursor: usize,
}

impl Reader {
    /// Creates a reader for a new connection.
    pub fn new(limits: Limits) -> Reader {
        Reader {
            limits,
            buffer: Vec::new(),
            array_start: 0,
            wanted: None,
            strings: Vec::new(),
            cursor: 0,
        }
    }

    /// Appends received bytes. Call [`Reader::next_array`] until it returns `None` before the next append, so that the buffer
    /// stays within its limits.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        let consumed = self.array_start;
        if consumed > 0 {
            self.buffer.drain(..consumed);
            self.strings
                .iter_mut()
                .for_each(|range| *range = range.start - consumed..range.end - consumed);
            (self.cursor, self.array_start) = (self.cursor - consumed, 0);
            self.buffer.shrink_to(4096);
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether the buffer holds a part of an incomplete array.
    pub fn has_partial(&self) -> bool {
        self.buffer.len() > self.array_start
    }

    /// The allocated size of the buffer in bytes.
    pub fn buffer_capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Takes the next array; `None` if it is incomplete. After an error the reader must not be used any more.
    pub fn next_array(&mut self) -> Result<Option<Vec<&[u8]>>, ParseError> {
        let wanted = match self.wanted {
            Some(wanted) => wanted,
            None => {
                let Some(length) = self.length_line(b'*')? else {
                    return Ok(None);
                };
                let limit = self.limits.strings;
                if length == 0 || length > limit {
                    return Err(ParseError::ArrayLength { length, limit });
                }
                *self.wanted.insert(length)
            }
        };
        while self.strings.len() < wanted {
            let Some(string) = self.next_string()? else {
                return Ok(None);
            };
            self.strings.push(string);
        }
        (self.array_start, self.wanted) = (self.cursor, None);
        let strings = std::mem::take(&mut self.strings);
        Ok(Some(
            strings
                .into_iter()
                .map(|range| &self.buffer[range])
                .collect(),
        ))
    }

    /// The range of the next string; `None` if it is incomplete.
    fn next_string(&mut self) -> Result<Option<Range<usize>>, ParseError> {
        let start = self.cursor;
        let Some(length) = self.length_line(b'$')? else {
            return Ok(None);
        };
        let limit = self.limits.string;
        if length > limit {
            return Err(ParseError::StringTooLong { length, limit });
        }
        let (from, to) = (self.cursor, self.cursor + length);
        let Some(end) = self.buffer.get(to..to + 2) else {
            // A wrong first byte of the end is an error before the second byte arrives.
            if self.buffer.get(to).is_some_and(|byte| *byte != b'\r') {
                return Err(ParseError::MissingStringEnd);
            }
            self.cursor = start;
            return Ok(None);
        };
        if end != b"\r\n" {
            return Err(ParseError::MissingStringEnd);
        }
        self.cursor = to + 2;
        Ok(Some(from..to))
    }

    /// Parses a line of a type byte and a length; `None` if it is incomplete.
    fn length_line(&mut self, expected: u8) -> Result<Option<usize>, ParseError> {
        let rest = &self.buffer[self.cursor..];
        if let Some(&actual) = rest.first().filter(|byte| **byte != expected) {
            return Err(ParseError::UnexpectedType { actual, expected });
        }
        let digits = rest
            .iter()
            .skip(1)
            .take_while(|byte| byte.is_ascii_digit())
            .count();
        let Some(end) = rest.get(1 + digits..3 + digits) else {
            let is_wrong = rest.get(1 + digits).is_some_and(|byte| *byte != b'\r');
            return if is_wrong || digits > MAX_DIGITS {
                Err(ParseError::MalformedLength)
            } else {
                Ok(None)
            };
        };
        if end != b"\r\n" || digits == 0 || digits > MAX_DIGITS {
            return Err(ParseError::MalformedLength);
        }
        let text = std::str::from_utf8(&rest[1..1 + digits]);
        let text = text.map_err(|_| ParseError::MalformedLength)?;
        let length = text.parse().map_err(|_| ParseError::MalformedLength)?;
        self.cursor += 3 + digits;
        Ok(Some(length))
    }
}
