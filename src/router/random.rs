//! Deterministic pseudo-random numbers: jitter of delays and rendezvous hashing.

use crate::{FunctionId, Micros, Time, WorkerId};

/// Returns `delay` plus a jitter of up to half of it.
pub(super) fn with_jitter(seed: u64, now: Time, delay: Micros) -> Micros {
    let draw = mix_bits(seed ^ mix_bits(now.0 as u64));
    delay + (draw % (delay.max(0) as u64 / 2 + 1)) as Micros
}

/// Mixes the bits of a number with the finalizer of SplitMix64.
pub(super) fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Returns the score of a worker for a function by weighted rendezvous hashing. The workers with the highest scores
/// are preferred for the function. Front ends compute the same scores from the same weights, without communication.
pub(super) fn rendezvous_score(function: FunctionId, worker: WorkerId, weight: f64) -> f64 {
    let hash = mix_bits(function.0 ^ mix_bits(worker.0.wrapping_add(0x9e37_79b9_7f4a_7c15)));
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / unit.ln()
}
