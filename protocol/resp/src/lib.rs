//! RESP arrays of bulk strings, as workers read and answer them: bounded, without sockets.

use std::ops::Range;

/// Bounds of one array.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of one string.
    pub string: usize,
    /// Strings of one array.
    pub strings: usize,
}

/// Digits of a length, its sign byte and line end: no longer line is one.
const LINE: usize = 16;

/// What came is no array of bulk strings within the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spoilt;

/// Writes one array.
pub fn write(out: &mut Vec<u8>, strings: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", strings.len()).as_bytes());
    for s in strings {
        out.extend_from_slice(format!("${}\r\n", s.len()).as_bytes());
        out.extend_from_slice(s);
        out.extend_from_slice(b"\r\n");
    }
}

/// Reads the arrays of one side of one connection.
#[derive(Debug)]
pub struct Reader {
    limits: Limits,
    buffer: Vec<u8>,
    /// Up to here it has been read; what lies before is let go when more comes.
    at: usize,
    /// Of the array that is being read: strings still to come (none: its first line is), and those that came.
    wanted: Option<usize>,
    strings: Vec<Range<usize>>,
    /// Where in the buffer the array being read has come to.
    cursor: usize,
}

impl Reader {
    /// A reader at the start of a connection.
    pub fn new(limits: Limits) -> Reader {
        Reader {
            limits,
            buffer: Vec::new(),
            at: 0,
            wanted: None,
            strings: Vec::new(),
            cursor: 0,
        }
    }

    /// Adds what came; ask for [`Reader::array`] until it has none before more is added.
    pub fn take(&mut self, bytes: &[u8]) {
        if self.at > 0 {
            self.buffer.drain(..self.at);
            self.strings
                .iter_mut()
                .for_each(|r| *r = r.start - self.at..r.end - self.at);
            (self.cursor, self.at) = (self.cursor - self.at, 0);
            self.buffer.shrink_to(4096);
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether an array has begun and not ended.
    pub fn partial(&self) -> bool {
        self.buffer.len() > self.at
    }

    /// The next array, whole; none: more has to come. After an error nothing more can be read.
    pub fn array(&mut self) -> Result<Option<Vec<&[u8]>>, Spoilt> {
        if self.wanted.is_none() {
            let Some(n) = self.line(b'*')? else {
                return Ok(None);
            };
            if n == 0 || n > self.limits.strings {
                return Err(Spoilt);
            }
            self.wanted = Some(n);
        }
        let wanted = self.wanted.unwrap_or(0);
        while self.strings.len() < wanted {
            let start = self.cursor;
            let Some(n) = self.line(b'$')? else {
                return Ok(None);
            };
            if n > self.limits.string {
                return Err(Spoilt);
            }
            let (from, to) = (self.cursor, self.cursor + n);
            let Some(end) = self.buffer.get(to..to + 2) else {
                // What is wrong already need not come in whole.
                if self.buffer.get(to).is_some_and(|b| *b != b'\r') {
                    return Err(Spoilt);
                }
                self.cursor = start;
                return Ok(None);
            };
            if end != b"\r\n" {
                return Err(Spoilt);
            }
            self.strings.push(from..to);
            self.cursor = to + 2;
        }
        (self.at, self.wanted) = (self.cursor, None);
        let strings = std::mem::take(&mut self.strings);
        Ok(Some(strings.into_iter().map(|r| &self.buffer[r]).collect()))
    }

    /// A line of a type and a length.
    fn line(&mut self, kind: u8) -> Result<Option<usize>, Spoilt> {
        let rest = &self.buffer[self.cursor..];
        if rest.first().is_some_and(|b| *b != kind) {
            return Err(Spoilt);
        }
        let digits = rest
            .iter()
            .skip(1)
            .take_while(|b| b.is_ascii_digit())
            .count();
        let Some(end) = rest.get(1 + digits..3 + digits) else {
            let odd = rest.get(1 + digits).is_some_and(|b| *b != b'\r');
            return if odd || digits > LINE {
                Err(Spoilt)
            } else {
                Ok(None)
            };
        };
        if end != b"\r\n" || digits == 0 || digits > LINE {
            return Err(Spoilt);
        }
        let text = std::str::from_utf8(&rest[1..1 + digits]).map_err(|_| Spoilt)?;
        let n = text.parse().map_err(|_| Spoilt)?;
        self.cursor += 3 + digits;
        Ok(Some(n))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITS: Limits = Limits {
        string: 64,
        strings: 4,
    };

    fn all(r: &mut Reader) -> Result<Vec<Vec<Vec<u8>>>, Spoilt> {
        let mut out = Vec::new();
        while let Some(a) = r.array()? {
            out.push(a.into_iter().map(<[u8]>::to_vec).collect());
        }
        Ok(out)
    }

    #[test]
    fn arrays_are_read_however_they_are_cut_into_pieces() {
        let sent: Vec<Vec<Vec<u8>>> = vec![
            vec![
                b"9b".to_vec(),
                b"200".to_vec(),
                b"-".to_vec(),
                b"a\r\n$3\r\n".to_vec(),
            ],
            vec![
                b"9c".to_vec(),
                b"404".to_vec(),
                b"n=ready".to_vec(),
                Vec::new(),
            ],
            vec![b"T1".to_vec(), b"alive".to_vec()],
        ];
        let mut bytes = Vec::new();
        for a in &sent {
            write(&mut bytes, &a.iter().map(Vec::as_slice).collect::<Vec<_>>());
        }
        let mut rng = fastrand::Rng::with_seed(3);
        for _ in 0..300 {
            let (mut r, mut got, mut at) = (Reader::new(LIMITS), Vec::new(), 0);
            while at < bytes.len() {
                let n = (1 + rng.usize(..20)).min(bytes.len() - at);
                r.take(&bytes[at..at + n]);
                at += n;
                got.extend(all(&mut r).unwrap());
            }
            assert_eq!(got, sent);
            assert!(!r.partial());
        }
    }

    #[test]
    fn lengths_that_do_not_fit_are_spoilt_at_once() {
        for text in [
            &b"*4\r\n$3000000000\r\nab"[..],
            b"*4\r\n$-1\r\n",
            b"*5\r\n",
            b"*0\r\n",
            b"$2\r\nab\r\n",
            b"*1\r\n$2\r\nabc",
            b"*1\r\n$2\r\nab\n",
            b"*1\r\n+OK\r\n",
            b"*\r\n",
            b"noise",
            b"*11111111111111111111111111",
            b"*1\n",
        ] {
            let mut r = Reader::new(LIMITS);
            r.take(text);
            assert_eq!(
                all(&mut r),
                Err(Spoilt),
                "{:?}",
                String::from_utf8_lossy(text)
            );
        }
    }

    #[test]
    fn an_array_that_stops_short_is_partial_and_its_memory_is_bounded() {
        let mut r = Reader::new(LIMITS);
        r.take(b"*4\r\n$3\r\nab");
        assert_eq!(all(&mut r), Ok(vec![]));
        assert!(r.partial());
        let mut r = Reader::new(LIMITS);
        for _ in 0..10_000 {
            let mut one = Vec::new();
            write(&mut one, &[b"9b", b"200", b"-", &[7; 60]]);
            r.take(&one);
            assert_eq!(all(&mut r).unwrap().len(), 1);
        }
        assert!(r.buffer.capacity() < 16 * 1024);
    }

    #[test]
    fn noise_never_panics() {
        let mut rng = fastrand::Rng::with_seed(5);
        for _ in 0..20_000 {
            let mut text = Vec::new();
            write(&mut text, &[b"9b", b"200", b"l=x0:1", b"body"]);
            for _ in 0..rng.usize(1..4) {
                let at = rng.usize(..text.len());
                text[at] = rng.u8(..);
            }
            let mut r = Reader::new(LIMITS);
            r.take(&text);
            let _ = all(&mut r);
        }
    }
}
