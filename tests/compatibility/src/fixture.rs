//! Access to the files under `fixtures/`.
//!
//! Binary messages are stored as text, one per line: the name, a space, and the bytes in hexadecimal. Lines that start with `#` are
//! comments.

use std::fmt::Write as _;
use std::path::PathBuf;

/// The path of a fixture.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/fixtures")).join(name)
}

/// The text of a fixture.
pub fn text(name: &str) -> String {
    let path = path(name);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// The messages in a fixture with their names, in file order.
pub fn messages(name: &str) -> Vec<(String, Vec<u8>)> {
    let line = |line: &str| {
        let (key, hex) = line.split_once(' ').unwrap_or((line, ""));
        (key.to_string(), bytes(hex))
    };
    let text = text(name);
    let lines = text.lines().filter(|l| !l.starts_with('#'));
    lines.map(line).collect()
}

/// Decodes hexadecimal digits.
pub fn bytes(hex: &str) -> Vec<u8> {
    assert!(
        hex.len().is_multiple_of(2),
        "odd number of hexadecimal digits: {hex}"
    );
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// Encodes bytes as hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
