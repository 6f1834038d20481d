//! Comparison of an estimate with its budget.

use super::estimate::Estimate;
use std::fmt;

/// The fraction of the budget above which an estimate is tight.
const TIGHT_SHARE: f64 = 2.0 / 3.0;

/// Whether a value is within its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// At most two thirds of the budget, and the interval within the budget.
    Holds,
    /// Above two thirds of the budget, or the interval exceeds the budget, or a fit missed its hold-out.
    Tight,
    /// Above the budget.
    Fails,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Verdict::Holds => "holds",
            Verdict::Tight => "**tight**",
            Verdict::Fails => "**fails**",
        })
    }
}

/// Compares an estimate with a budget.
pub fn verdict(estimate: Estimate, budget: f64) -> Verdict {
    let interval = estimate.interval;
    if interval.mid > budget {
        Verdict::Fails
    } else if interval.mid > budget * TIGHT_SHARE
        || interval.high > budget
        || estimate.missed_hold_out
    {
        Verdict::Tight
    } else {
        Verdict::Holds
    }
}
