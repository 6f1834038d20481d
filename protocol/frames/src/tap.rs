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

/// The largest stream id: its first bit is reserved.
const MAX_STREAM: u32 = 0x7fff_ffff;

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
    pub first: [u8; FIRST],
}

impl Frame {
    /// The last stream id of a GOAWAY (RFC 9113, section 6.8).
    pub fn last_stream(&self) -> Option<u32> {
        (self.kind == kind::GOAWAY && self.length >= 8).then(|| word(&self.first[..4]) & MAX_STREAM)
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
    bytes
        .iter()
        .take(4)
        .fold(0, |word, byte| word << 8 | u32::from(*byte))
}

/// Bytes of the head of a frame.
const HEAD: usize = 9;
/// Bytes of a payload that are kept.
const FIRST: usize = 8;

/// Follows the frames of one direction; keeps a few bytes, whatever passes.
#[derive(Clone, Debug)]
pub struct Tap {
    /// Bytes of the preface still to come.
    preface_left: usize,
    head: [u8; HEAD],
    head_read: usize,
    first: [u8; FIRST],
    payload_read: usize,
}

impl Tap {
    /// The direction from client to server, which begins with the preface.
    pub fn from_client() -> Tap {
        Tap {
            preface_left: PREFACE.len(),
            head: [0; HEAD],
            head_read: 0,
            first: [0; FIRST],
            payload_read: 0,
        }
    }
    /// The direction from server to client.
    pub fn from_server() -> Tap {
        Tap {
            preface_left: 0,
            ..Tap::from_client()
        }
    }

    /// Takes the next bytes that passed; `on_frame` gets each frame that they complete.
    pub fn feed(&mut self, mut bytes: &[u8], mut on_frame: impl FnMut(Frame)) {
        while !bytes.is_empty() {
            if self.preface_left > 0 {
                let skipped = self.preface_left.min(bytes.len());
                self.preface_left -= skipped;
                bytes = &bytes[skipped..];
                continue;
            }
            bytes = self.read_head(bytes);
            if self.head_read < HEAD {
                return;
            }
            bytes = self.read_payload(bytes);
            if self.payload_read == self.length() {
                on_frame(self.frame());
                self.head_read = 0;
                self.payload_read = 0;
                self.first = [0; FIRST];
            }
        }
    }

    /// Reads what is missing of the head; the bytes that follow it.
    fn read_head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let read = (HEAD - self.head_read).min(bytes.len());
        let (head, rest) = bytes.split_at(read);
        self.head[self.head_read..self.head_read + read].copy_from_slice(head);
        self.head_read += read;
        rest
    }

    /// Reads what is missing of the payload; the bytes that follow it.
    fn read_payload<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let read = (self.length() - self.payload_read).min(bytes.len());
        if self.payload_read < FIRST {
            let kept = read.min(FIRST - self.payload_read);
            self.first[self.payload_read..self.payload_read + kept].copy_from_slice(&bytes[..kept]);
        }
        self.payload_read += read;
        &bytes[read..]
    }

    fn length(&self) -> usize {
        (word(&self.head[..4]) >> 8) as usize
    }

    fn frame(&self) -> Frame {
        Frame {
            kind: self.head[3],
            flags: self.head[4],
            stream: word(&self.head[5..]) & MAX_STREAM,
            length: self.length() as u32,
            first: self.first,
        }
    }
}
