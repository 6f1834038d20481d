//! Deterministic hashing: random delays and rendezvous hashing.

use super::*;

/// A gap, or up to half as much more, by chance.
pub(super) fn spread(seed: u64, now: Time, gap: Span) -> Span {
    gap + (mix(seed ^ mix(now.0 as u64)) % (gap.max(0) as u64 / 2 + 1)) as Span
}

pub(super) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Highest for the worker where this function belongs: every front end finds the same order without asking.
pub(super) fn rendezvous(f: FunctionId, w: WorkerId, share: f64) -> f64 {
    let h = mix(f.0 ^ mix(w.0.wrapping_add(0x9e37_79b9_7f4a_7c15)));
    let unit = ((h >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -share / unit.ln()
}
