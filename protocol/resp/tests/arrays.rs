//! Tests that arrays are parsed from chunks of any size, and that invalid ones are rejected as early as possible.

use tansy_resp::{write_array, Limits, ParseError, Reader};

const LIMITS: Limits = Limits {
    string: 64,
    strings: 4,
};

fn all(reader: &mut Reader) -> Result<Vec<Vec<Vec<u8>>>, ParseError> {
    let mut out = Vec::new();
    while let Some(array) = reader.next_array()? {
        out.push(array.into_iter().map(<[u8]>::to_vec).collect());
    }
    Ok(out)
}

#[test]
fn arrays_are_read_from_chunks_of_any_size() {
    let sent: Vec<Vec<Vec<u8>>> = vec![
        vec![
            b"9b".to_vec(),
            b"200".to_vec(),
            b"-".to_vec(),
            b"a\r\n$3\r\n".to_vec(),
        ],
        vec![
            b"9c".to_vec(),
            b"404".to_vec(),
            b"n=ready".to_vec(),
            Vec::new(),
        ],
        vec![b"T1".to_vec(), b"alive".to_vec()],
    ];
    let mut bytes = Vec::new();
    for array in &sent {
        write_array(
            &mut bytes,
            &array.iter().map(Vec::as_slice).collect::<Vec<_>>(),
        );
    }
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..300 {
        let (mut reader, mut got, mut at) = (Reader::new(LIMITS), Vec::new(), 0);
        while at < bytes.len() {
            let count = (1 + rng.usize(..20)).min(bytes.len() - at);
            reader.push_bytes(&bytes[at..at + count]);
            at += count;
            got.extend(all(&mut reader).unwrap());
        }
        assert_eq!(got, sent);
        assert!(!reader.has_partial());
    }
}

#[test]
fn invalid_arrays_are_rejected_before_they_are_complete() {
    let unexpected = |actual, expected| ParseError::UnexpectedType { actual, expected };
    let array = |length| ParseError::ArrayLength { length, limit: 4 };
    let long = ParseError::StringTooLong {
        length: 3_000_000_000,
        limit: 64,
    };
    let cases: [(&[u8], ParseError); 12] = [
        (b"*4\r\n$3000000000\r\nab", long),
        (b"*4\r\n$-1\r\n", ParseError::MalformedLength),
        (b"*5\r\n", array(5)),
        (b"*0\r\n", array(0)),
        (b"$2\r\nab\r\n", unexpected(b'$', b'*')),
        (b"*1\r\n$2\r\nabc", ParseError::MissingStringEnd),
        (b"*1\r\n$2\r\nab\n", ParseError::MissingStringEnd),
        (b"*1\r\n+OK\r\n", unexpected(b'+', b'$')),
        (b"*\r\n", ParseError::MalformedLength),
        (b"noise", unexpected(b'n', b'*')),
        (b"*11111111111111111111111111", ParseError::MalformedLength),
        (b"*1\n", ParseError::MalformedLength),
    ];
    for (text, error) in cases {
        let mut reader = Reader::new(LIMITS);
        reader.push_bytes(text);
        assert_eq!(
            all(&mut reader),
            Err(error),
            "{:?}",
            String::from_utf8_lossy(text)
        );
    }
}

#[test]
fn incomplete_arrays_are_reported_and_the_buffer_stays_bounded() {
    let mut reader = Reader::new(LIMITS);
    reader.push_bytes(b"*4\r\n$3\r\nab");
    assert_eq!(all(&mut reader), Ok(vec![]));
    assert!(reader.has_partial());
    let mut reader = Reader::new(LIMITS);
    for _ in 0..10_000 {
        let mut one = Vec::new();
        write_array(&mut one, &[b"9b", b"200", b"-", &[7; 60]]);
        reader.push_bytes(&one);
        assert_eq!(all(&mut reader).unwrap().len(), 1);
    }
    assert!(reader.buffer_capacity() < 16 * 1024);
}

#[test]
fn corrupted_bytes_never_panic() {
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..20_000 {
        let mut text = Vec::new();
        write_array(&mut text, &[b"9b", b"200", b"l=x0:1", b"body"]);
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(..text.len());
            text[at] = rng.u8(..);
        }
        let mut reader = Reader::new(LIMITS);
        reader.push_bytes(&text);
        let _ = all(&mut reader);
    }
}
