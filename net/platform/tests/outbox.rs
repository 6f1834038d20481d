//! What waits to leave on a connection can be taken back until its first byte has left.

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

/// Flushes into a sink that takes so many bytes in all; what it took, and what began to leave.
fn flush(outbox: &mut Outbox, mut room: usize) -> (Vec<u8>, Vec<OutgoingMessage>) {
    let (mut taken, mut began) = (Vec::new(), Vec::new());
    let write = |bytes: &[u8]| {
        let count = bytes.len().min(room);
        if count == 0 {
            return Poll::Pending;
        }
        taken.extend_from_slice(&bytes[..count]);
        room -= count;
        Poll::Ready(Ok(count))
    };
    outbox
        .flush(encode, |m| began.push(m.clone()), write)
        .expect("no error");
    (taken, began)
}

#[test]
fn a_message_can_be_taken_back_until_its_first_byte_has_left() {
    for room in 0..=40 {
        let mut outbox = Outbox::default();
        outbox.push(OutgoingMessage::Attempt(FIRST), 16);
        outbox.push(OutgoingMessage::Unacknowledged(b"12345678".to_vec()), 8);
        outbox.push(OutgoingMessage::Attempt(SECOND), 16);
        let whole: Vec<u8> = [&FIRST[..], b"12345678", &SECOND[..]].concat();
        let (taken, began) = flush(&mut outbox, room);
        assert_eq!(taken, whole[..room], "room {room}");
        assert_eq!(
            began.len(),
            [0, 16, 24].iter().filter(|start| **start < room).count(),
            "room {room}"
        );
        assert_eq!(outbox.cancel_attempt(&FIRST), room == 0, "room {room}");
        assert_eq!(outbox.cancel_attempt(&SECOND), room <= 24, "room {room}");
        // What had begun is finished, and nothing that was taken back leaves.
        let rest = flush(&mut outbox, 100).0;
        let wanted: &[u8] = match room {
            0 => b"12345678",
            1..=24 => &whole[room..24],
            _ => &whole[room..],
        };
        assert_eq!(rest, wanted, "room {room}");
        assert!(outbox.is_empty());
        assert_eq!(outbox.bytes(), 0);
    }
}

#[test]
fn an_error_leaves_what_has_not_begun_as_it_was() {
    let mut outbox = Outbox::default();
    outbox.push(OutgoingMessage::Attempt(FIRST), 16);
    let failed = outbox.flush(
        encode,
        |_| panic!("nothing left"),
        |_| Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
    );
    assert!(failed.is_err());
    assert!(outbox.cancel_attempt(&FIRST));
}

#[test]
fn what_has_no_bytes_any_more_is_let_go() {
    let mut outbox = Outbox::default();
    outbox.push(OutgoingMessage::Attempt(FIRST), 16);
    outbox.push(OutgoingMessage::Attempt(SECOND), 16);
    let (mut taken, mut began) = (Vec::new(), 0);
    let none = |_: &OutgoingMessage| Vec::new();
    let write = |bytes: &[u8]| {
        taken.extend_from_slice(bytes);
        Poll::Ready(Ok(bytes.len()))
    };
    outbox
        .flush(none, |_| began += 1, write)
        .expect("nothing to write is no error");
    assert!(outbox.is_empty() && taken.is_empty());
    assert_eq!((began, outbox.bytes()), (0, 0));
}
