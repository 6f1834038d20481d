//! An estimate beside its budget.

use super::estimate::Estimate;
use std::fmt;

/// A figure over this share of its budget is tight.
const TIGHT_SHARE: f64 = 2.0 / 3.0;

/// Whether a value is within its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// At most two thirds of the budget, with its whole interval under it.
    Holds,
    /// Over two thirds of the budget, or its interval crosses it, or a fit that it depends on missed its hold-out.
    Tight,
    /// Over the budget.
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

/// The verdict on an estimate beside a budget.
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
