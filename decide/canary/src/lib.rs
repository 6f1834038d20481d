//! Canary analysis: do front ends with a change (the **canary group**) do worse than those without it (the **baseline group**)?
//!
//! Front ends are sampled at regular intervals. The counts between two samples are a **slice**. In each slice, calls of the same class
//! and zone are compared between the two groups. Effects on both groups, such as the loss of a zone, a retry storm or doubled traffic,
//! therefore cancel out. What the same front ends differed by before the change is subtracted.
//!
//! A [`CanaryAnalysis`] takes samples and gives a [`Verdict`]:
//!
//! - [`Verdict::Fail`]: a [`sequential_test`] has found a loss that is significant and large enough to matter, or an event has
//!   occurred that needs no statistics, such as a crash loop.
//! - [`Verdict::Pass`]: the largest loss that is still compatible with the data is tolerated.
//! - [`Verdict::SharedFault`]: both groups are currently in trouble.
//! - [`Verdict::Inconclusive`]: more data is needed.
//!
//! The crate performs no I/O and reads no clock. What follows from a verdict is decided by `tansy_rollout`.
//!
//! ```
//! use tansy_canary::{AnalysisParameters, CanaryAnalysis, Verdict};
//!
//! let mut analysis = CanaryAnalysis::new(AnalysisParameters::default(), ["f0".to_string()]);
//! assert!(matches!(analysis.verdict(), Verdict::Inconclusive { .. }));
//! analysis.on_crash_loop("f0", "signal 6");
//! assert!(matches!(analysis.verdict(), Verdict::Fail { .. }));
//! ```

mod analysis;
mod comparison;
mod memory;
mod metric;
mod request_counters;
pub mod sequential_test;
mod verdict;

pub use analysis::{AnalysisParameters, CanaryAnalysis, UnplannedExit};
pub use request_counters::{FrontEndReport, RequestCounters};
pub use verdict::{Measurement, Verdict};
