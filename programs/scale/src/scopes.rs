//! Functions that are agreed on one by one: their names, and which hollow front end calls which.

use std::collections::BTreeSet;

/// Functions that a hollow front end calls at most; of few functions a fourth.
const MAX_CALLED_FUNCTIONS: usize = 30;
/// Keeps these random choices apart from others by the same seed.
const CHOICE_SALT: u64 = 0xca11;

/// The name of a function that is agreed on by itself.
pub fn function_name(index: usize) -> String {
    format!("s{index:06}")
}

/// The functions that a hollow front end calls: a few of all, the first ones by far the more often.
pub fn called_functions(seed: u64, front_end: u32, functions: usize) -> BTreeSet<usize> {
    let mut rng = fastrand::Rng::with_seed(seed ^ (u64::from(front_end) << 32) ^ CHOICE_SALT);
    let count = MAX_CALLED_FUNCTIONS.min(functions.div_ceil(4));
    let mut chosen = BTreeSet::new();
    while chosen.len() < count {
        chosen.insert(skewed_choice(&mut rng, functions));
    }
    chosen
}

/// An index below `count`, low ones by far the more often.
pub fn skewed_choice(rng: &mut fastrand::Rng, count: usize) -> usize {
    let index = (count as f64 * rng.f64().powi(3)) as usize;
    index.min(count.saturating_sub(1))
}
