//! Follows one direction of an HTTP/2 connection by its frame headers alone.
//!
//! What a socket took or gave is the only proof of what a peer can have seen: a request whose HEADERS never left
//! did not run, a stream above a GOAWAY's last id did not either, and an attempt is closed for the worker only
//! once its RST_STREAM has gone out. An HTTP/2 library answers none of these exactly, so its bytes are watched.

/// The preface that a client sends first (RFC 9113, section 3.4).
pub const PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Frame types (RFC 9113, section 6).
pub mod kind {
    #![allow(missing_docs)]
    pub const DATA: u8 = 0;
    pub const HEADERS: u8 = 1;
    pub const RST_STREAM: u8 = 3;
    pub const SETTINGS: u8 = 4;
    pub const PING: u8 = 6;
    pub const GOAWAY: u8 = 7;
    pub const WINDOW_UPDATE: u8 = 8;
    pub const CONTINUATION: u8 = 9;
}

/// Flag END_STREAM of DATA and HEADERS.
pub const END_STREAM: u8 = 1;

/// A frame that has passed whole, with the first bytes of its payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Its type; see [`kind`].
    pub kind: u8,
    /// Its flags.
    pub flags: u8,
    /// Its stream; 0: the connection.
    pub stream: u32,
    /// Length of its payload in bytes.
    pub length: u32,
    /// The payload's first 8 bytes, zero past its end.
    pub first: [u8; 8],
}

impl Frame {
    /// The last stream id of a GOAWAY (RFC 9113, section 6.8).
    pub fn last_stream(&self) -> Option<u32> {
        (self.kind == kind::GOAWAY && self.length >= 8)
            .then(|| word(&self.first[..4]) & 0x7fff_ffff)
    }
    /// The error code of a RST_STREAM or GOAWAY (RFC 9113, section 7).
    pub fn code(&self) -> Option<u32> {
        match self.kind {
            kind::RST_STREAM if self.length >= 4 => Some(word(&self.first[..4])),
            kind::GOAWAY if self.length >= 8 => Some(word(&self.first[4..])),
            _ => None,
        }
    }
}

fn word(bytes: &[u8]) -> u32 {
    bytes.iter().take(4).fold(0, |w, b| w << 8 | u32::from(*b))
}

/// Follows the frames of one direction; holds a few bytes, whatever passes.
#[derive(Clone, Debug)]
pub struct Tap {
    /// Bytes of the preface still to come.
    preface: usize,
    head: [u8; 9],
    got: usize,
    first: [u8; 8],
    seen: usize,
}

impl Tap {
    /// The direction from client to server, which begins with the preface.
    pub fn from_client() -> Tap {
        Tap {
            preface: PREFACE.len(),
            head: [0; 9],
            got: 0,
            first: [0; 8],
            seen: 0,
        }
    }
    /// The direction from server to client.
    pub fn from_server() -> Tap {
        Tap {
            preface: 0,
            ..Tap::from_client()
        }
    }

    /// Takes the next bytes that passed; `frame` gets each frame that they complete.
    pub fn feed(&mut self, mut bytes: &[u8], mut frame: impl FnMut(Frame)) {
        while !bytes.is_empty() {
            if self.preface > 0 {
                let n = self.preface.min(bytes.len());
                self.preface -= n;
                bytes = &bytes[n..];
                continue;
            }
            if self.got < 9 {
                let n = (9 - self.got).min(bytes.len());
                self.head[self.got..self.got + n].copy_from_slice(&bytes[..n]);
                self.got += n;
                bytes = &bytes[n..];
                if self.got < 9 {
                    return;
                }
            }
            let length = (word(&self.head[..4]) >> 8) as usize;
            let n = (length - self.seen).min(bytes.len());
            if self.seen < 8 {
                let m = n.min(8 - self.seen);
                self.first[self.seen..self.seen + m].copy_from_slice(&bytes[..m]);
            }
            self.seen += n;
            bytes = &bytes[n..];
            if self.seen == length {
                frame(Frame {
                    kind: self.head[3],
                    flags: self.head[4],
                    stream: word(&self.head[5..]) & 0x7fff_ffff,
                    length: length as u32,
                    first: self.first,
                });
                (self.got, self.seen, self.first) = (0, 0, [0; 8]);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn bytes(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
        let length = (payload.len() as u32).to_be_bytes();
        [&length[1..], &[kind, 0], &stream.to_be_bytes(), payload].concat()
    }

    #[test]
    fn frames_are_found_however_the_bytes_are_cut() {
        let mut all = PREFACE.to_vec();
        all.extend(bytes(kind::SETTINGS, 0, &[]));
        all.extend(bytes(kind::HEADERS, 5, &[7; 300]));
        all.extend(bytes(kind::RST_STREAM, 5, &8u32.to_be_bytes()));
        all.extend(bytes(kind::GOAWAY, 0, &[0, 0, 0, 3, 0, 0, 0, 11, b'x']));
        for step in 1..all.len() {
            let (mut tap, mut seen) = (Tap::from_client(), Vec::new());
            for part in all.chunks(step) {
                tap.feed(part, |f| seen.push(f));
            }
            let kinds: Vec<_> = seen.iter().map(|f| (f.kind, f.stream, f.length)).collect();
            assert_eq!(
                kinds,
                [(4, 0, 0), (1, 5, 300), (3, 5, 4), (7, 0, 9)],
                "in steps of {step}"
            );
            assert_eq!(
                (seen[2].code(), seen[3].last_stream(), seen[3].code()),
                (Some(8), Some(3), Some(11))
            );
            assert_eq!(seen[1].last_stream(), None);
        }
    }
}
