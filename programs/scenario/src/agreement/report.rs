//! The result of the scenario.

use super::operator::ProposalResult;
use super::CONTRADICTION_LIMIT;
use crate::audit::violation_text;
use crate::load::LoadResult;
use tansy_audit::contradictions::Contradictions;
use tansy_audit::Audit;

/// The result of the scenario.
#[derive(Clone, Debug)]
pub struct ScenarioReport {
    /// Number of versions that came into force.
    pub in_force: usize,
    /// Number of proposals that did not come into force in time.
    pub not_in_force: usize,
    /// Milliseconds from each proposal until it was in force, sorted.
    pub in_force_ms: Vec<u64>,
    /// Number of processes killed.
    pub killed: usize,
    /// Share of the clients' calls that were served.
    pub served_share: f64,
    /// Number of calls of the observed functions that showed which settings the front end acted on.
    pub conclusive_calls: usize,
    /// Longest contradiction of a strict field, milliseconds.
    pub strict_ms: f64,
    /// Longest contradiction of a joint field, milliseconds.
    pub joint_ms: f64,
    /// Texts of the rule violations, and of the contradictions if one was too long.
    pub violations: Vec<String>,
}

impl ScenarioReport {
    /// The longest contradiction of any field, milliseconds.
    pub fn contradiction_ms(&self) -> f64 {
        self.strict_ms.max(self.joint_ms)
    }

    pub(super) fn new(
        proposals: &[ProposalResult],
        load: &LoadResult,
        audit: &Audit,
        contradictions: &Contradictions,
        killed: usize,
    ) -> ScenarioReport {
        let mut in_force_ms: Vec<u64> = proposals
            .iter()
            .filter_map(|proposal| proposal.in_force_ms)
            .collect();
        in_force_ms.sort_unstable();
        let longest = contradictions
            .longest_strict
            .max(contradictions.longest_joint);
        let too_long = longest > CONTRADICTION_LIMIT.as_micros() as i64;
        let mut violations: Vec<String> = audit.violations.iter().map(violation_text).collect();
        if too_long {
            violations.extend(contradictions.descriptions.iter().cloned());
        }
        ScenarioReport {
            in_force: in_force_ms.len(),
            not_in_force: proposals.len() - in_force_ms.len(),
            killed,
            served_share: load.served_share(),
            conclusive_calls: contradictions.observed_calls,
            strict_ms: contradictions.longest_strict as f64 / 1000.0,
            joint_ms: contradictions.longest_joint as f64 / 1000.0,
            violations,
            in_force_ms,
        }
    }
}
