//! Canary analysis: does the new side of a change do worse than the old side that runs beside it?
//!
//! Front ends are sampled again and again; what happened between two samples is a **slice**. In each slice, calls of one class in one
//! zone are compared: those that ended at front ends of the new side with those that ended at old ones. What affects both sides (the
//! loss of a zone, a storm of retries, twice the traffic) therefore makes no difference, and what the same front ends differed by
//! before the change is subtracted.
//!
//! A [`CanaryAnalysis`] takes samples and answers [`Verdict`]s. The verdict is [`Verdict::Fail`] when a [`sequential_test`]
//! passes its bound and the loss is as large as matters, or when something happened that needs no statistics; it is
//! [`Verdict::Pass`] when the loss that may still be hidden is small enough; otherwise it is [`Verdict::Inconclusive`] and says
//! what would settle it.
//!
//! The crate has no clock and no I/O, knows no metrics but its own, and decides nothing: what follows from a verdict is the matter of
//! `tansy_rollout`.
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
