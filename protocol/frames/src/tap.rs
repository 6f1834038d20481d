//! Observes the frames in one direction of an HTTP/2 connection by parsing only frame headers.
//!
//! Only the bytes written to and read from the socket prove what a peer can have seen: a request did not run if its HEADERS
//! were not sent or its stream id is above the last id of a GOAWAY, and a worker can see that an attempt was cancelled only
//! after its RST_STREAM was sent. HTTP/2 libraries do not report this exactly.

/// The client connection preface (RFC 9113, section 3.4).
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

/// The bits of a stream id; the highest bit of its field is reserved.
const STREAM_ID_MASK: u32 = 0x7fff_ffff;

/// The flag END_STREAM of DATA and HEADERS.
pub const END_STREAM: u8 = 1;

/// A completely transferred frame, with the first bytes of its payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The frame type; see [`kind`].
    pub kind: u8,
    /// The flags.
    pub flags: u8,
    /// The stream id; 0 for frames of the connection.
    pub stream: u32,
    /// The length of the payload in bytes.
    pub length: u32,
    /// The first 8 bytes of the payload, padded with zeros if it is shorter.
    pub payload_start: [u8; PAYLOAD_START_BYTES],
}

impl Frame {
    /// The last stream id of a GOAWAY (RFC 9113, section 6.8).
    pub fn last_stream(&self) -> Option<u32> {
        (self.kind == kind::GOAWAY && self.length >= 8)
            .then(|| read_u32(&self.payload_start[..4]) & STREAM_ID_MASK)
    }
    /// The error code of a RST_STREAM or GOAWAY (RFC 9113, section 7).
    pub fn code(&self) -> Option<u32> {
        match self.kind {
            kind::RST_STREAM if self.length >= 4 => Some(read_u32(&self.payload_start[..4])),
            kind::GOAWAY if self.length >= 8 => Some(read_u32(&self.payload_start[4..])),
            _ => None,
        }
    }
}

/// Reads the first 4 bytes as a big-endian number.
fn read_u32(bytes: &[u8]) -> u32 {
    bytes
        .iter()
        .take(4)
        .fold(0, |value, byte| value << 8 | u32::from(*byte))
}

/// The length of a frame header.
const HEADER_BYTES: usize = 9;
/// Bytes of a payload that are kept: enough for the fields of RST_STREAM and GOAWAY.
const PAYLOAD_START_BYTES: usize = 8;

/// Parses the frames of one direction in constant memory.
#[derive(Clone, Debug)]
pub struct Tap {
    /// Bytes of the preface that have not arrived yet.
    preface_left: usize,
    header: [u8; HEADER_BYTES],
    header_read: usize,
    payload_start: [u8; PAYLOAD_START_BYTES],
    payload_read: usize,
}

impl Tap {
    /// Observes the direction from client to server, which begins with the preface.
    pub fn from_client() -> Tap {
        Tap {
            preface_left: PREFACE.len(),
            header: [0; HEADER_BYTES],
            header_read: 0,
            payload_start: [0; PAYLOAD_START_BYTES],
            payload_read: 0,
        }
    }
    /// Observes the direction from server to client.
    pub fn from_server() -> Tap {
        Tap {
            preface_left: 0,
            ..Tap::from_client()
        }
    }

    /// Parses the next transferred bytes and calls `on_frame` for each frame that they complete.
    pub fn feed(&mut self, mut bytes: &[u8], mut on_frame: impl FnMut(Frame)) {
        while !bytes.is_empty() {
            if self.preface_left > 0 {
                let skipped = self.preface_left.min(bytes.len());
                self.preface_left -= skipped;
                bytes = &bytes[skipped..];
                continue;
            }
            bytes = self.read_header(bytes);
            if self.header_read < HEADER_BYTES {
                return;
            }
            bytes = self.read_payload(bytes);
            if self.payload_read == self.length() {
                on_frame(self.frame());
                self.header_read = 0;
                self.payload_read = 0;
                self.payload_start = [0; PAYLOAD_START_BYTES];
            }
        }
    }

    /// Reads the missing part of the frame header and returns the bytes after it.
    fn read_header<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let read = (HEADER_BYTES - self.header_read).min(bytes.len());
        let (header, rest) = bytes.split_at(read);
        self.header[self.header_read..self.header_read + read].copy_from_slice(header);
        self.header_read += read;
        rest
    }

    /// Reads the missing part of the payload and returns the bytes after it.
    fn read_payload<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let read = (self.length() - self.payload_read).min(bytes.len());
        if self.payload_read < PAYLOAD_START_BYTES {
            let kept = read.min(PAYLOAD_START_BYTES - self.payload_read);
            self.payload_start[self.payload_read..self.payload_read + kept]
                .copy_from_slice(&bytes[..kept]);
        }
        self.payload_read += read;
        &bytes[read..]
    }

    fn length(&self) -> usize {
        (read_u32(&self.header[..4]) >> 8) as usize
    }

    fn frame(&self) -> Frame {
        Frame {
            kind: self.header[3],
            flags: self.header[4],
            stream: read_u32(&self.header[5..]) & STREAM_ID_MASK,
            length: self.length() as u32,
            payload_start: self.payload_start,
        }
    }
}
