//! RESP arrays of bulk strings, as workers read and answer them: bounded, without sockets.
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
    /// Bytes of one string.
    pub string: usize,
    /// Strings of one array.
    pub strings: usize,
}

/// Digits of a length at most.
const MAX_DIGITS: usize = 16;

/// Why what came is no array of bulk strings within the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// Another type of value than the one that has to come.
    #[error("type {:?}; want {:?}", char::from(*.actual), char::from(*.expected))]
    UnexpectedType {
        /// Its type byte.
        actual: u8,
        /// The type byte that has to come: `*` or `$`.
        expected: u8,
    },
    /// A length that is not decimal digits and a line end.
    #[error("a length; want up to 16 decimal digits and CRLF")]
    MalformedLength,
    /// An array without strings, or with too many.
    #[error("an array of {length} strings; want 1 to {limit}")]
    ArrayLength {
        /// Its strings.
        length: usize,
        /// The most that is read.
        limit: usize,
    },
    /// A string over the limit.
    #[error("a string of {length} bytes; want {limit} at most")]
    StringTooLong {
        /// Its bytes.
        length: usize,
        /// The most that is read.
        limit: usize,
    },
    /// A string that does not end after its stated length.
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

/// Reads the arrays of one side of one connection.
#[derive(Debug)]
pub struct Reader {
    limits: Limits,
    buffer: Vec<u8>,
    /// Where the array being read starts; what lies before is dropped when more comes.
    array_start: usize,
    /// Strings of the array being read, once its first line is.
    wanted: Option<usize>,
    /// Those that have come.
    strings: Vec<Range<usize>>,
    /// Up to here the array has been read.
    cursor: usize,
}

impl Reader {
    /// A reader at the start of a connection.
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

    /// Adds bytes that came; ask for [`Reader::next_array`] until it has none before more are added.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        let read = self.array_start;
        if read > 0 {
            self.buffer.drain(..read);
            self.strings
                .iter_mut()
                .for_each(|range| *range = range.start - read..range.end - read);
            (self.cursor, self.array_start) = (self.cursor - read, 0);
            self.buffer.shrink_to(4096);
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether an array has begun and not ended.
    pub fn has_partial(&self) -> bool {
        self.buffer.len() > self.array_start
    }

    /// Bytes of memory that the buffer takes up.
    pub fn buffer_capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// The next array, whole; none: more has to come. After an error nothing more can be read.
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

    /// Where the next string lies; none: more has to come.
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
            // What is wrong already need not come in whole.
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

    /// A line of a type and a length; none: more has to come.
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
