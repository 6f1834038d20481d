//! A queued message can be cancelled until its first byte has been sent.

use std::io;
use std::task::Poll;
use tansy_net_platform::outbox::{Outbox, OutgoingMessage};
use tansy_platform::request::RequestId;

const FIRST: RequestId = *b"0000000000000001";
const SECOND: RequestId = *b"0000000000000002";

fn encode(message: &OutgoingMessage) -> Vec<u8> {
    match message {
        OutgoingMessage::Attempt(id) => id.to_vec(),
        OutgoingMessage::Control(_, bytes) | OutgoingMessage::Unacknowledged(bytes) => {
            bytes.clone()
        }
    }
}

/// Flushes into a sink that accepts `capacity` bytes in total. Returns the bytes written and the messages started.
fn flush(outbox: &mut Outbox, mut capacity: usize) -> (Vec<u8>, Vec<OutgoingMessage>) {
    let (mut written, mut started) = (Vec::new(), Vec::new());
    let write = |bytes: &[u8]| {
        let count = bytes.len().min(capacity);
        if count == 0 {
            return Poll::Pending;
        }
        written.extend_from_slice(&bytes[..count]);
        capacity -= count;
        Poll::Ready(Ok(count))
    };
    outbox
        .flush(encode, |m| started.push(m.clone()), write)
        .expect("the sink does not fail");
    (written, started)
}

#[test]
fn message_can_be_cancelled_until_its_first_byte_is_sent() {
    for capacity in 0..=40 {
        let mut outbox = Outbox::default();
        outbox.push(OutgoingMessage::Attempt(FIRST), 16);
        outbox.push(OutgoingMessage::Unacknowledged(b"12345678".to_vec()), 8);
        outbox.push(OutgoingMessage::Attempt(SECOND), 16);
        let expected: Vec<u8> = [&FIRST[..], b"12345678", &SECOND[..]].concat();
        let (written, started) = flush(&mut outbox, capacity);
        assert_eq!(written, expected[..capacity], "capacity {capacity}");
        assert_eq!(
            started.len(),
            [0, 16, 24]
                .iter()
                .filter(|start| **start < capacity)
                .count(),
            "capacity {capacity}"
        );
        assert_eq!(
            outbox.cancel_attempt(&FIRST),
            capacity == 0,
            "capacity {capacity}"
        );
        assert_eq!(
            outbox.cancel_attempt(&SECOND),
            capacity <= 24,
            "capacity {capacity}"
        );
        // Started messages are completed; cancelled messages are never sent.
        let rest = flush(&mut outbox, 100).0;
        let expected_rest: &[u8] = match capacity {
            0 => b"12345678",
            1..=24 => &expected[capacity..24],
            _ => &expected[capacity..],
        };
        assert_eq!(rest, expected_rest, "capacity {capacity}");
        assert!(outbox.is_empty());
        assert_eq!(outbox.bytes(), 0);
    }
}

#[test]
fn write_error_keeps_unstarted_messages_queued() {
    let mut outbox = Outbox::default();
    outbox.push(OutgoingMessage::Attempt(FIRST), 16);
    let failed = outbox.flush(
        encode,
        |_| panic!("a message was started"),
        |_| Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
    );
    assert!(failed.is_err());
    assert!(outbox.cancel_attempt(&FIRST));
}

#[test]
fn messages_with_empty_encodings_are_dropped() {
    let mut outbox = Outbox::default();
    outbox.push(OutgoingMessage::Attempt(FIRST), 16);
    outbox.push(OutgoingMessage::Attempt(SECOND), 16);
    let (mut written, mut started) = (Vec::new(), 0);
    let encode_empty = |_: &OutgoingMessage| Vec::new();
    let write = |bytes: &[u8]| {
        written.extend_from_slice(bytes);
        Poll::Ready(Ok(bytes.len()))
    };
    outbox
        .flush(encode_empty, |_| started += 1, write)
        .expect("flushing empty messages succeeds");
    assert!(outbox.is_empty() && written.is_empty());
    assert_eq!((started, outbox.bytes()), (0, 0));
}
