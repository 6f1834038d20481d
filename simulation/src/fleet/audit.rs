//! The audit: all voters apply the same log, no front end acts on settings that contradict it, and all processes agree
//! again at the end.

use super::process::{Authority, Process};
use super::{InjectedDefect, Simulation};
use crate::fault::{Time, SECOND};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tansy_agreement::compatibility::{
    contradictions, rules_after_expiry, rules_without_lease, EffectiveRules,
};
use tansy_agreement::log::{ChangePhase, FleetState, LogEntry, Version};
use tansy_fleet_node::FleetNode;

/// A lease lost within this time before the end of the run is not a violation.
const LEASE_LOSS_TOLERANCE: Time = 2 * SECOND;

/// The state of the audit of a run.
#[derive(Default)]
pub(super) struct Audit {
    /// The agreed state, taken from the voter that has applied the most entries.
    agreed: Option<AgreedState>,
    /// The log content of the voters, by number of applied entries.
    logs: BTreeMap<u64, AppliedLog>,
    /// The agreed set of voters.
    pub(super) voters: Vec<u64>,
    /// Comparisons already made: revision acted on, agreed version in force, and authority.
    compared: BTreeSet<(u64, u64, Authority)>,
    /// The time at which each version first appeared in the agreed log.
    proposed: BTreeMap<Version, Time>,
    /// The latest version in force that some front ends do not act on yet, and the time of its proposal.
    awaited: Option<(Version, Time)>,
    /// A process that was behind the awaited version at the last check.
    lagging: usize,
}

/// The agreed state.
struct AgreedState {
    /// Number of applied entries.
    entries: u64,
    state: Rc<FleetState>,
    has_open_changes: bool,
}

/// The log content of a voter after a number of entries.
#[derive(Clone, PartialEq)]
struct AppliedLog {
    state: Rc<FleetState>,
    voters: Vec<u64>,
}

impl Simulation<'_> {
    /// Checks that the log of a process equals that of all others after the same number of entries.
    pub(super) fn audit_log(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let Some((applied, log)) = process.node.as_ref().and_then(FleetNode::applied_log) else {
            return;
        };
        // The log can only have changed if further entries were applied.
        let audited = Some((process.incarnation, applied));
        if std::mem::replace(&mut process.audited, audited) == audited {
            return;
        }
        // `logs` holds one state for each number of entries; unchanged states are shared to save memory.
        let agreed = self.audit.agreed.as_ref().map(|agreed| &agreed.state);
        let state = agreed
            .filter(|state| ***state == *log.state())
            .cloned()
            .unwrap_or_else(|| Rc::new(log.state().clone()));
        let has_open_changes = log.has_version_change();
        let here = AppliedLog {
            state,
            voters: log.voters().keys().copied().collect(),
        };
        let known = self.audit.logs.entry(applied);
        let known = known.or_insert_with(|| here.clone());
        if *known != here {
            let violation = format!(
                "has revision {} and voters {:?} after {applied} entries, another has revision {} and voters {:?}",
                here.state.revision.0, here.voters, known.state.revision.0, known.voters
            );
            return self.report_violation(index, violation);
        }
        self.compare_catalogs(index, applied);
        let agreed = self.audit.agreed.as_ref();
        if agreed.is_none_or(|agreed| agreed.entries < applied) {
            self.advance_agreed(index, applied, here, has_open_changes);
        }
    }

    /// Advances the agreed state and audits all processes against it.
    fn advance_agreed(
        &mut self,
        index: usize,
        entries: u64,
        log: AppliedLog,
        has_open_changes: bool,
    ) {
        let AppliedLog { state, voters } = log;
        self.track_voters(voters);
        self.track_versions(&state);
        let from = state.revision;
        let joint = matches!(state.next, Some((_, ChangePhase::Joint)));
        let agreed = self.audit.agreed.as_ref();
        let state_changed = agreed.is_none_or(|agreed| agreed.state != state);
        self.audit.agreed = Some(AgreedState {
            entries,
            state,
            has_open_changes,
        });
        let scopes_changed = self.follow_scopes(index);
        // Entries that only concern members do not change the settings.
        if scopes_changed || state_changed {
            for process in 0..self.processes.len() {
                self.audit_process(process);
            }
        }
        if joint && self.options.has_defect(InjectedDefect::SkippedJointPhase) {
            if let Some((leader, _)) = self.leader() {
                self.request(leader, 0, LogEntry::Advance { from });
            }
        }
    }

    fn track_voters(&mut self, voters: Vec<u64>) {
        if self.audit.voters == voters {
            return;
        }
        let replaced = voters.len() == self.options.voters && !self.audit.voters.is_empty();
        self.result.replaced += u64::from(replaced);
        self.audit.voters = voters;
    }

    /// Records when versions are proposed and come into force.
    fn track_versions(&mut self, state: &FleetState) {
        let audit = &mut self.audit;
        if let Some((next, _)) = &state.next {
            audit.proposed.entry(next.version).or_insert(self.now);
        }
        let agreed = audit.agreed.as_ref();
        let before = agreed.map_or(Version(1), |agreed| agreed.state.in_force.version);
        let version = state.in_force.version;
        if version > before {
            self.result.in_force += 1;
            let proposed = audit.proposed.get(&version).copied().unwrap_or(self.now);
            audit.awaited = Some((version, proposed));
        }
    }

    /// Measures the time until a version is in force at every running front end.
    pub(super) fn measure_in_force(&mut self) {
        self.measure_scopes_in_force();
        let Some((version, since)) = self.audit.awaited else {
            return;
        };
        let is_behind = |process: &Process| match process.acting_state(self.now) {
            Some((state, Authority::Leased)) if process.is_running() => {
                state.in_force.version < version
            }
            _ => false,
        };
        // Check the process that was last behind first: while it still is, the others need no check.
        let count = self.processes.len();
        let behind = (0..count)
            .map(|offset| (self.audit.lagging + offset) % count)
            .find(|index| is_behind(&self.processes[*index]));
        self.audit.lagging = behind.unwrap_or(0);
        if behind.is_some() {
            return;
        }
        let milliseconds = ((self.now - since) / 1000) as u64;
        self.result.in_force_ms.push(milliseconds);
        if let Some(scale) = &mut self.scale {
            scale.on_version_in_force(self.now, version);
        }
        self.audit.awaited = None;
    }

    /// Compares the settings that a process would act on now with those in force according to the agreed log.
    pub(super) fn audit_process(&mut self, index: usize) {
        self.audit_scopes(index);
        let process = &self.processes[index];
        let (true, Some(agreed)) = (process.is_running(), &self.audit.agreed) else {
            return;
        };
        let Some((known, authority)) = process.acting_state(self.now) else {
            return;
        };
        let in_force = &agreed.state.in_force;
        let (revision, agreed_revision) = (known.revision, agreed.state.revision);
        if authority == Authority::Leased && revision > agreed_revision {
            let violation = format!(
                "acts on revision {}, agreed is {}",
                revision.0, agreed_revision.0
            );
            return self.report_violation(index, violation);
        }
        // Each combination needs only one comparison.
        let comparison = (revision.0, in_force.version.0, authority);
        if !self.audit.compared.insert(comparison) {
            return;
        }
        let rules: EffectiveRules = match authority {
            Authority::Leased => known.rules(&self.schema),
            Authority::SessionOnly => rules_without_lease(&self.schema, known.rules(&self.schema)),
            Authority::Expired => rules_after_expiry(&self.schema, &known.in_force.fields),
        };
        let contradictions = contradictions(&self.schema, &in_force.fields, &rules);
        if let Some((path, _)) = contradictions.first() {
            let violation = format!(
                "{} of revision {}: {path} contradicts version {}",
                authority.label(),
                revision.0,
                in_force.version.0
            );
            self.report_violation(index, violation);
        }
    }

    /// Checks at the end of the run, after all faults, that every process acts on the agreed state and that no change is
    /// pending.
    pub(super) fn audit_end(&mut self) {
        for index in 0..self.processes.len() {
            self.account(index);
            let process = &self.processes[index];
            let applies = process.is_running() && self.result.violations.is_empty();
            if let (Some(missing), true) = (self.missing_at_end(process), applies) {
                self.report_violation(index, format!("{missing} after all faults are over"));
            }
        }
        let agreed = self.audit.agreed.as_ref();
        let open = agreed.is_none_or(|agreed| agreed.has_open_changes);
        if open && self.result.violations.is_empty() {
            self.report_violation(0, "has a change that never ended".into());
        }
    }

    /// Why a process does not act on the agreed state; `None` if it does.
    fn missing_at_end(&self, process: &Process) -> Option<String> {
        let agreed = self.audit.agreed.as_ref();
        let agreed_revision = agreed.map(|agreed| agreed.state.revision);
        match process.acting_state(self.now) {
            Some((state, Authority::Leased)) if agreed_revision == Some(state.revision) => None,
            Some((state, Authority::Leased)) => {
                Some(format!("still acts on revision {}", state.revision.0))
            }
            _ if self.now - process.last_leased < LEASE_LOSS_TOLERANCE => None,
            Some((_, Authority::Expired)) | None => Some("has no session".into()),
            Some((_, Authority::SessionOnly)) => Some("has no lease".into()),
        }
    }
}
