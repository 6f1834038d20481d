//! Tests gRPC message framing, the timeout header and the encoding of status messages.

use tansy_frames::grpc::{
    encode_message, format_timeout, frame, parse_timeout, Assembler, FrameError,
};

#[test]
fn messages_are_reassembled_from_chunks_of_any_size() {
    let all = [frame(b"one"), frame(b""), frame(&[9; 1000])].concat();
    for step in 1..all.len() {
        let mut assembler = Assembler::new(1000);
        let mut lengths = Vec::new();
        for part in all.chunks(step) {
            assembler.push(part);
            while let Some(message) = assembler.next_message().unwrap() {
                lengths.push(message.len());
            }
        }
        assert_eq!((lengths, assembler.is_empty()), (vec![3, 0, 1000], true));
    }
}

#[test]
fn invalid_prefixes_are_rejected_before_the_message_is_buffered() {
    let mut assembler = Assembler::new(10);
    assembler.push(&[0, 0, 0, 0, 11]);
    assert_eq!(
        assembler.next_message(),
        Err(FrameError::TooLong {
            length: 11,
            limit: 10
        })
    );
    let mut assembler = Assembler::new(10);
    assembler.push(&[1, 0, 0, 0, 1, 0]);
    assert_eq!(assembler.next_message(), Err(FrameError::Compressed));
    let mut assembler = Assembler::new(10);
    assembler.push(b"GET / HTTP/1.1");
    assert_eq!(assembler.next_message(), Err(FrameError::UnknownFlag(b'G')));
}

#[test]
fn timeouts_are_parsed_and_formatted_within_their_range() {
    assert_eq!(parse_timeout(b"1n"), Some(0));
    assert_eq!(parse_timeout(b"99999999H"), Some(359_999_996_400_000_000));
    assert_eq!(parse_timeout(b"250m"), Some(250_000));
    for invalid in ["", "n", "123456789u", "-1S", "1s", "1 S", "1.5S"] {
        assert_eq!(parse_timeout(invalid.as_bytes()), None, "{invalid:?}");
    }
    for micros in [
        0,
        1,
        999,
        99_999_999,
        100_000_000,
        359_999_996_400_000_000,
        i64::MAX,
    ] {
        let back = parse_timeout(format_timeout(micros).as_bytes()).unwrap();
        assert!(
            back <= micros && back >= micros.min(359_999_996_400_000_000) / 2,
            "{micros}: {back}"
        );
    }
}

#[test]
fn messages_are_percent_encoded() {
    assert_eq!(encode_message("100% no\n\u{e9}"), "100%25 no%0A%C3%A9");
}
