//! Decodes the bytes of an HTTP/2 connection into stream events.

use fluke_hpack::decoder::DecoderError;
use fluke_hpack::Decoder;
use std::collections::BTreeMap;

/// An event on a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEvent {
    /// The fields of a header block: request headers, response headers or trailers.
    Headers(Vec<(String, String)>),
    /// A complete gRPC message.
    Message(Vec<u8>),
    /// END_STREAM: the sender has finished the stream.
    End,
    /// RST_STREAM with its error code.
    Reset(u32),
    /// GOAWAY with its last stream; streams above it were not processed.
    Goaway(u32),
}

/// Why the bytes of a direction can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A frame is shorter than its fixed fields.
    #[error("{0} frame is too short")]
    FrameTooShort(&'static str),
    /// A frame with the PADDED flag has no pad length.
    #[error("padded frame without a pad length")]
    NoPadLength,
    /// The padding is longer than the payload.
    #[error("padding is longer than the frame's payload")]
    PaddingTooLong,
    /// A header block is not valid HPACK.
    #[error("header block can't be decoded: {0:?}")]
    HeaderBlock(DecoderError),
}

/// Length of the client's connection preface, bytes.
const PREFACE_LENGTH: usize = 24;
/// Length of a frame header, bytes.
const FRAME_HEADER_LENGTH: usize = 9;

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const GOAWAY: u8 = 7;
const CONTINUATION: u8 = 9;

const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;
const PADDED: u8 = 8;
const PRIORITY: u8 = 0x20;

/// An HTTP/2 frame.
struct Frame<'a> {
    kind: u8,
    flags: u8,
    stream: u32,
    payload: &'a [u8],
}

/// A header block that may be continued by CONTINUATION frames.
struct HeaderBlock {
    stream: u32,
    /// The flags of its HEADERS frame.
    flags: u8,
    bytes: Vec<u8>,
}

/// Decoder for one direction of a connection.
pub struct Direction {
    /// Bytes of the connection preface not yet received.
    preface: usize,
    buffer: Vec<u8>,
    decoder: Decoder<'static>,
    block: Option<HeaderBlock>,
    /// Bytes of an incomplete gRPC message, by stream.
    partial: BTreeMap<u32, Vec<u8>>,
    /// The error that ended the decoding, if any.
    pub error: Option<WireError>,
}

impl Direction {
    /// Creates a decoder. `from_client`: for the direction from the side that connected, which begins with the preface.
    pub fn new(from_client: bool) -> Direction {
        Direction {
            preface: if from_client { PREFACE_LENGTH } else { 0 },
            buffer: Vec::new(),
            decoder: Decoder::new(),
            block: None,
            partial: BTreeMap::new(),
            error: None,
        }
    }

    /// Decodes more bytes, and returns the events that they complete with their streams; stream 0 is the connection.
    pub fn read(&mut self, bytes: &[u8]) -> Vec<(u32, StreamEvent)> {
        let mut events = Vec::new();
        if self.error.is_some() {
            return events;
        }
        self.buffer.extend_from_slice(bytes);
        let skip = self.preface.min(self.buffer.len());
        self.preface -= skip;
        self.buffer.drain(..skip);
        let buffer = std::mem::take(&mut self.buffer);
        let mut at = 0;
        while let Some(header) = buffer.get(at..at + FRAME_HEADER_LENGTH) {
            let length = u32::from_be_bytes([0, header[0], header[1], header[2]]) as usize;
            let stream = u32::from_be_bytes([header[5], header[6], header[7], header[8]]);
            let start = at + FRAME_HEADER_LENGTH;
            let Some(payload) = buffer.get(start..start + length) else {
                break;
            };
            at = start + length;
            let frame = Frame {
                kind: header[3],
                flags: header[4],
                stream: stream & 0x7fff_ffff,
                payload,
            };
            if let Err(error) = self.on_frame(&frame, &mut events) {
                self.error = Some(error);
                break;
            }
        }
        self.buffer = buffer[at..].to_vec();
        events
    }

    fn on_frame(
        &mut self,
        frame: &Frame<'_>,
        events: &mut Vec<(u32, StreamEvent)>,
    ) -> Result<(), WireError> {
        match frame.kind {
            DATA => self.on_data(frame, events)?,
            HEADERS => {
                let mut data = unpad(frame)?;
                if frame.flags & PRIORITY != 0 {
                    data = data.get(5..).ok_or(WireError::FrameTooShort("HEADERS"))?;
                }
                self.block = Some(HeaderBlock {
                    stream: frame.stream,
                    flags: frame.flags,
                    bytes: data.to_vec(),
                });
                self.end_headers(frame.flags, events)?;
            }
            CONTINUATION => {
                if let Some(block) = &mut self.block {
                    block.bytes.extend_from_slice(frame.payload);
                }
                self.end_headers(frame.flags, events)?;
            }
            RST_STREAM => {
                let code = read_u32(frame.payload).ok_or(WireError::FrameTooShort("RST_STREAM"))?;
                events.push((frame.stream, StreamEvent::Reset(code)));
            }
            GOAWAY => {
                let last = read_u32(frame.payload).ok_or(WireError::FrameTooShort("GOAWAY"))?;
                events.push((0, StreamEvent::Goaway(last & 0x7fff_ffff)));
            }
            _ => {}
        }
        Ok(())
    }

    fn on_data(
        &mut self,
        frame: &Frame<'_>,
        events: &mut Vec<(u32, StreamEvent)>,
    ) -> Result<(), WireError> {
        let data = unpad(frame)?;
        let partial = self.partial.entry(frame.stream).or_default();
        partial.extend_from_slice(data);
        while let Some(length) = partial.get(1..5).and_then(read_u32) {
            let end = 5 + length as usize;
            let Some(message) = partial.get(5..end) else {
                break;
            };
            events.push((frame.stream, StreamEvent::Message(message.to_vec())));
            partial.drain(..end);
        }
        if frame.flags & END_STREAM != 0 {
            self.partial.remove(&frame.stream);
            events.push((frame.stream, StreamEvent::End));
        }
        Ok(())
    }

    /// Decodes the header block if `flags` contains END_HEADERS.
    fn end_headers(
        &mut self,
        flags: u8,
        events: &mut Vec<(u32, StreamEvent)>,
    ) -> Result<(), WireError> {
        if flags & END_HEADERS == 0 {
            return Ok(());
        }
        let Some(block) = self.block.take() else {
            return Ok(());
        };
        let fields = self.decoder.decode(&block.bytes);
        let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
        let fields = fields
            .map_err(WireError::HeaderBlock)?
            .into_iter()
            .map(|(name, value)| (text(name), text(value)))
            .collect();
        events.push((block.stream, StreamEvent::Headers(fields)));
        if block.flags & END_STREAM != 0 {
            events.push((block.stream, StreamEvent::End));
        }
        Ok(())
    }
}

/// The first four bytes as a big-endian integer.
fn read_u32(bytes: &[u8]) -> Option<u32> {
    bytes.first_chunk().map(|bytes| u32::from_be_bytes(*bytes))
}

/// The payload of a frame without padding.
fn unpad<'a>(frame: &Frame<'a>) -> Result<&'a [u8], WireError> {
    if frame.flags & PADDED == 0 {
        return Ok(frame.payload);
    }
    let (pad, rest) = frame.payload.split_first().ok_or(WireError::NoPadLength)?;
    let end = rest
        .len()
        .checked_sub(usize::from(*pad))
        .ok_or(WireError::PaddingTooLong)?;
    Ok(&rest[..end])
}
