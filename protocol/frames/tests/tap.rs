//! Tests that HTTP/2 frames are recognized by their headers.

use tansy_frames::tap::{kind, Tap, PREFACE};

fn encode_frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    [&length[1..], &[kind, 0], &stream.to_be_bytes(), payload].concat()
}

#[test]
fn frames_are_recognized_in_chunks_of_any_size() {
    let mut all = PREFACE.to_vec();
    all.extend(encode_frame(kind::SETTINGS, 0, &[]));
    all.extend(encode_frame(kind::HEADERS, 5, &[7; 300]));
    all.extend(encode_frame(kind::RST_STREAM, 5, &8u32.to_be_bytes()));
    all.extend(encode_frame(
        kind::GOAWAY,
        0,
        &[0, 0, 0, 3, 0, 0, 0, 11, b'x'],
    ));
    for step in 1..all.len() {
        let mut tap = Tap::from_client();
        let mut frames = Vec::new();
        for part in all.chunks(step) {
            tap.feed(part, |frame| frames.push(frame));
        }
        let kinds: Vec<_> = frames
            .iter()
            .map(|f| (f.kind, f.stream, f.length))
            .collect();
        assert_eq!(
            kinds,
            [(4, 0, 0), (1, 5, 300), (3, 5, 4), (7, 0, 9)],
            "in chunks of {step}"
        );
        assert_eq!(
            (frames[2].code(), frames[3].last_stream(), frames[3].code()),
            (Some(8), Some(3), Some(11))
        );
        assert_eq!(frames[1].last_stream(), None);
    }
}
