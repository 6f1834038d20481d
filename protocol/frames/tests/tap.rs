//! Frames of HTTP/2, followed by their headers.

use tansy_frames::tap::{kind, Tap, PREFACE};

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
            "in steps of {step}"
        );
        assert_eq!(
            (frames[2].code(), frames[3].last_stream(), frames[3].code()),
            (Some(8), Some(3), Some(11))
        );
        assert_eq!(frames[1].last_stream(), None);
    }
}
