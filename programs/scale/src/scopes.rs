//! Functions that are scopes of their own: their names, and which hollow front end calls which of them.

use std::collections::BTreeSet;

/// Maximum number of functions that a hollow front end calls; it calls a fourth of all functions if that is less.
const MAX_CALLED_FUNCTIONS: usize = 30;
/// Separates this random sequence from others with the same seed.
const CALL_SEED_SALT: u64 = 0xca11;

/// Returns the name of a function that is a scope of its own.
pub fn function_name(index: usize) -> String {
    format!("s{index:06}")
}

/// Chooses the functions that a hollow front end calls, with a strong preference for low indices.
pub fn called_functions(seed: u64, front_end: u32, functions: usize) -> BTreeSet<usize> {
    let mut rng = fastrand::Rng::with_seed(seed ^ (u64::from(front_end) << 32) ^ CALL_SEED_SALT);
    let count = MAX_CALLED_FUNCTIONS.min(functions.div_ceil(4));
    let mut chosen = BTreeSet::new();
    while chosen.len() < count {
        chosen.insert(skewed_choice(&mut rng, functions));
    }
    chosen
}

/// Draws a random index below `count`, strongly skewed toward low ones.
pub fn skewed_choice(rng: &mut fastrand::Rng, count: usize) -> usize {
    let index = (count as f64 * rng.f64().powi(3)) as usize;
    index.min(count.saturating_sub(1))
}
