//! Helpers for the tests of several modules.

/// The FNV-1a hash of a text, which tests compare instead of a long recorded text.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
