//! Is the new side worse than the old one beside it?
//!
//! Front ends are looked at again and again; what came between two looks is a **slice**. In each slice calls of the same class
//! in the same zone are compared: those that ended at front ends of the new side with those that ended at old ones. So what
//! both sides share (a zone lost, a storm, traffic that doubles) is no difference. What the same front ends differed by before
//! the change is taken off.
//!
//! A [`CanaryAnalysis`] sees looks and says [`Verdict`]s. It knows no clock and no names of metrics beyond those here. The new side is
//! *worse* when the evidence passes its bound (see [`evidence`]) and the loss is as large as matters, or when something shows
//! that needs no statistics; *fine* when the loss that may be hidden is small enough; else it is *open*, and it is said what
//! would settle it.

pub mod evidence;
mod judge;
mod tally;

pub use judge::{AnalysisParameters, CanaryAnalysis, Measurement, UnplannedExit, Verdict};
pub use tally::{FrontEndReport, RequestCounters};
