//! One connection's bytes to streams with headers, messages and ends.

use fluke_hpack::decoder::DecoderError;
use fluke_hpack::Decoder;
use std::collections::BTreeMap;

/// An event on a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEvent {
    /// A header block: the request's or the response's headers, or trailers.
    Headers(Vec<(String, String)>),
    /// A whole gRPC message.
    Message(Vec<u8>),
    /// The side that this came from sends no more on the stream.
    End,
    /// RST_STREAM with its code.
    Reset(u32),
    /// GOAWAY: streams above this one were not taken.
    Goaway(u32),
}

/// Why a direction can't be read any further.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A frame is shorter than its fixed fields.
    #[error("{0} cut short")]
    CutShort(&'static str),
    /// A frame has the PADDED flag and no length of the padding.
    #[error("a padded frame without a length")]
    NoPadLength,
    /// The padding is longer than the frame.
    #[error("more padding than frame")]
    PaddingTooLong,
    /// HPACK can't decode the block.
    #[error("a header block that can't be read: {0:?}")]
    HeaderBlock(DecoderError),
}

/// Length of the preface that the side which connects sends first.
const PREFACE: usize = 24;
/// Length of a frame's header.
const FRAME_HEADER: usize = 9;

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const GOAWAY: u8 = 7;
const CONTINUATION: u8 = 9;

const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;
const PADDED: u8 = 8;
const PRIORITY: u8 = 0x20;

/// A frame with its payload.
struct Frame<'a> {
    kind: u8,
    flags: u8,
    stream: u32,
    payload: &'a [u8],
}

/// A header block whose CONTINUATION frames may still come.
struct HeaderBlock {
    stream: u32,
    /// Of its HEADERS frame.
    flags: u8,
    bytes: Vec<u8>,
}

/// One direction of a connection.
pub struct Direction {
    /// Bytes of the preface that are still to come.
    preface: usize,
    buffer: Vec<u8>,
    decoder: Decoder<'static>,
    block: Option<HeaderBlock>,
    /// By stream: bytes of a message that isn't whole yet.
    partial: BTreeMap<u32, Vec<u8>>,
    /// Set once it can't be read any more.
    pub error: Option<WireError>,
}

impl Direction {
    /// From the side that connected (which sends the preface first), or to it.
    pub fn new(from_client: bool) -> Direction {
        Direction {
            preface: if from_client { PREFACE } else { 0 },
            buffer: Vec::new(),
            decoder: Decoder::new(),
            block: None,
            partial: BTreeMap::new(),
            error: None,
        }
    }

    /// Takes bytes; gives the events that they complete, with their streams (0: the connection).
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
        while let Some(header) = buffer.get(at..at + FRAME_HEADER) {
            let length = u32::from_be_bytes([0, header[0], header[1], header[2]]) as usize;
            let stream = u32::from_be_bytes([header[5], header[6], header[7], header[8]]);
            let start = at + FRAME_HEADER;
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
                    data = data.get(5..).ok_or(WireError::CutShort("HEADERS"))?;
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
                let code = word(frame.payload).ok_or(WireError::CutShort("RST_STREAM"))?;
                events.push((frame.stream, StreamEvent::Reset(code)));
            }
            GOAWAY => {
                let last = word(frame.payload).ok_or(WireError::CutShort("GOAWAY"))?;
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
        while let Some(length) = partial.get(1..5).and_then(word) {
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

    /// Decodes the header block, if the frame with these flags is its last.
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

/// The first four bytes as a number.
fn word(bytes: &[u8]) -> Option<u32> {
    bytes.first_chunk().map(|word| u32::from_be_bytes(*word))
}

/// A frame's payload without its padding.
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
