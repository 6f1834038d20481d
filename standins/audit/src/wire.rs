//! One connection's bytes to streams with headers, messages and ends.

use fluke_hpack::Decoder;
use std::collections::BTreeMap;

/// Something on a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
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

/// One direction of a connection.
pub struct Direction {
    preface: usize,
    buffer: Vec<u8>,
    decoder: Decoder<'static>,
    block: Option<(u32, u8, Vec<u8>)>,
    messages: BTreeMap<u32, Vec<u8>>,
    /// Set once it can't be read any more.
    pub broken: Option<String>,
}

const PREFACE: usize = 24;

impl Direction {
    /// From the side that connected (which sends the preface first), or to it.
    pub fn new(from_client: bool) -> Direction {
        Direction {
            preface: if from_client { PREFACE } else { 0 },
            buffer: Vec::new(),
            decoder: Decoder::new(),
            block: None,
            messages: BTreeMap::new(),
            broken: None,
        }
    }

    /// Takes bytes; gives what they complete, with its stream (0: the connection).
    pub fn take(&mut self, bytes: &[u8]) -> Vec<(u32, Seen)> {
        let mut out = Vec::new();
        if self.broken.is_some() {
            return out;
        }
        self.buffer.extend_from_slice(bytes);
        let skip = self.preface.min(self.buffer.len());
        self.preface -= skip;
        self.buffer.drain(..skip);
        let mut at = 0;
        while let Some(head) = self.buffer.get(at..at + 9) {
            let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
            let (kind, flags) = (head[3], head[4]);
            let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
            let Some(payload) = self.buffer.get(at + 9..at + 9 + length) else {
                break;
            };
            let payload = payload.to_vec();
            at += 9 + length;
            if let Err(why) = self.frame(kind, flags, stream, &payload, &mut out) {
                self.broken = Some(why);
                break;
            }
        }
        self.buffer.drain(..at);
        out
    }

    fn frame(
        &mut self,
        kind: u8,
        flags: u8,
        stream: u32,
        payload: &[u8],
        out: &mut Vec<(u32, Seen)>,
    ) -> Result<(), String> {
        let word = |b: &[u8]| {
            b.get(..4)
                .map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
        };
        match kind {
            0 => {
                let data = unpad(flags, payload)?;
                let held = self.messages.entry(stream).or_default();
                held.extend_from_slice(data);
                while let Some(length) = held.get(1..5).and_then(word).map(|n| n as usize) {
                    let Some(message) = held.get(5..5 + length) else {
                        break;
                    };
                    out.push((stream, Seen::Message(message.to_vec())));
                    held.drain(..5 + length);
                }
                if flags & 1 != 0 {
                    self.messages.remove(&stream);
                    out.push((stream, Seen::End));
                }
            }
            1 => {
                let mut data = unpad(flags, payload)?;
                if flags & 0x20 != 0 {
                    data = data.get(5..).ok_or("HEADERS cut short")?;
                }
                self.block = Some((stream, flags, data.to_vec()));
                if flags & 4 != 0 {
                    self.headers(out)?;
                }
            }
            9 => {
                if let Some((_, _, block)) = &mut self.block {
                    block.extend_from_slice(payload);
                }
                if flags & 4 != 0 {
                    self.headers(out)?;
                }
            }
            3 => out.push((
                stream,
                Seen::Reset(word(payload).ok_or("RST_STREAM cut short")?),
            )),
            7 => out.push((
                0,
                Seen::Goaway(word(payload).ok_or("GOAWAY cut short")? & 0x7fff_ffff),
            )),
            _ => {}
        }
        Ok(())
    }

    fn headers(&mut self, out: &mut Vec<(u32, Seen)>) -> Result<(), String> {
        let Some((stream, flags, block)) = self.block.take() else {
            return Ok(());
        };
        let fields = self
            .decoder
            .decode(&block)
            .map_err(|e| format!("a header block that can't be read: {e:?}"))?;
        let text = |b: Vec<u8>| String::from_utf8_lossy(&b).into_owned();
        out.push((
            stream,
            Seen::Headers(
                fields
                    .into_iter()
                    .map(|(k, v)| (text(k), text(v)))
                    .collect(),
            ),
        ));
        if flags & 1 != 0 {
            out.push((stream, Seen::End));
        }
        Ok(())
    }
}

fn unpad(flags: u8, payload: &[u8]) -> Result<&[u8], String> {
    if flags & 8 == 0 {
        return Ok(payload);
    }
    let (pad, rest) = payload
        .split_first()
        .ok_or("a padded frame without a length")?;
    let end = rest
        .len()
        .checked_sub(usize::from(*pad))
        .ok_or("more padding than frame")?;
    Ok(&rest[..end])
}
