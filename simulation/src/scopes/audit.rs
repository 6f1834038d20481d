//! The audit of scopes, and the measurement of scope changes.

use super::agreed::AuditKey;
use super::Scopes;
use crate::fleet::{Event, InjectedDefect, Simulation};
use tansy_agreement::log::{ApplyOutcome, Log, Revision};
use tansy_agreement::scope::{ScopeChange, ScopePhase};
use tansy_fleet_node::{Command, FleetEvent, FleetNode};

/// Maximum number of reported violations for unfinished changes and lost requests.
const REPORTED_AT_END: usize = 2;

impl Scopes {
    /// Compares the catalog of a voter with that of others after the same number of entries, and returns the violation if they
    /// differ.
    fn compare_catalog(&mut self, applied: u64, log: &Log) -> Option<String> {
        let known = self.catalogs.entry(applied);
        let known = known.or_insert_with(|| log.catalog().clone());
        (known != log.catalog()).then(|| format!("has another catalog after {applied} entries"))
    }

    /// Violations for changes that never ended and for accepted requests that were lost.
    fn unfinished(&self, log: &Log) -> Vec<String> {
        let open = log.catalog().unsettled().map(|(name, record)| {
            format!(
                "has a change of {name} that never ended: {:?}",
                record.phase
            )
        });
        let lost = |(id, revision): (&u64, &Revision)| match log.catalog().transaction_result(*id) {
            None => Some(format!("lost request {id} of revision {}", revision.0)),
            Some(result) if result.revision != *revision => Some(format!(
                "has request {id} in revision {}, but accepted it in {}",
                result.revision.0, revision.0
            )),
            Some(result) if result.joint > 0 => Some(format!("still has request {id} open")),
            Some(_) => None,
        };
        open.chain(self.accepted.iter().filter_map(lost)).collect()
    }
}

impl Simulation<'_> {
    /// Audits the responses of front ends to operators, and applies the defect that concerns new leaders.
    pub(crate) fn on_scope_command(&mut self, index: usize, command: &Command) {
        let Some(scopes) = &mut self.scopes else {
            return;
        };
        match command {
            Command::Respond {
                request,
                outcome: Ok(ApplyOutcome::ScopesChanged { revision, rejected }),
            } if rejected.is_empty() && scopes.transactions.contains_key(request) => {
                let first = *scopes.accepted.entry(*request).or_insert(*revision);
                if first != *revision {
                    let violation = format!(
                        "accepted request {request} in revision {} and again in {}",
                        first.0, revision.0
                    );
                    self.report_violation(index, violation);
                }
            }
            Command::Notify(FleetEvent::Leadership { is_live: true })
                if self
                    .options
                    .has_defect(InjectedDefect::ForgottenSubscriptions) =>
            {
                self.forget_subscriptions(index);
            }
            _ => {}
        }
    }

    /// Measures scope changes: when they are in force at every running front end, and which were abandoned.
    pub(crate) fn measure_scopes_in_force(&mut self) {
        let (Some(scopes), Some(scale)) = (&mut self.scopes, &mut self.scale) else {
            return;
        };
        for change in scopes.agreed.ended.drain(..) {
            let index = change.number.and_then(|n| usize::try_from(n - 1).ok());
            match index {
                Some(index) if change.in_force => {
                    scopes.awaited.push_back((change.revision, index))
                }
                Some(index) => scale.on_abandoned(index),
                None => {}
            }
        }
        while let Some((revision, change)) = scopes.awaited.front().copied() {
            let count = self.processes.len();
            // Check the process that was last behind first: while it still is, the others need no check.
            let behind = (0..count)
                .map(|offset| (scopes.lagging + offset) % count)
                .find(|index| self.processes[*index].is_behind(self.now, revision));
            if let Some(index) = behind {
                scopes.lagging = index;
                return;
            }
            scopes.awaited.pop_front();
            scale.on_in_force(self.now, change);
        }
    }

    /// Compares the catalog of a voter with those of the others.
    pub(crate) fn compare_catalogs(&mut self, index: usize, applied: u64) {
        let Some(scopes) = self.scopes.as_mut().filter(|s| s.compares_catalogs) else {
            return;
        };
        let node = self.processes[index].node.as_ref();
        let Some((_, log)) = node.and_then(FleetNode::applied_log) else {
            return;
        };
        if let Some(violation) = scopes.compare_catalog(applied, log) {
            self.report_violation(index, violation);
        }
    }

    /// Processes the changes of a voter that has applied more entries than any before. Returns whether all processes must be
    /// audited again.
    pub(crate) fn follow_scopes(&mut self, index: usize) -> bool {
        let Some(scopes) = self.scopes.as_mut() else {
            return false;
        };
        let node = self.processes[index].node.as_ref();
        let Some((_, log)) = node.and_then(FleetNode::applied_log) else {
            return false;
        };
        let before = scopes.agreed.revision;
        let (changed, violations) = scopes.agreed.follow(log, &self.schema);
        if self.options.has_defect(InjectedDefect::IgnoredSubscribers) {
            let is_joint =
                |change: &ScopeChange| matches!(change.record.phase, ScopePhase::Joint { .. });
            let new = log.state().history.since(before).into_iter().flatten();
            let joint: Vec<(String, Revision)> = new
                .filter(|change| is_joint(change))
                .map(|change| (change.scope.clone(), change.revision))
                .collect();
            for (scope, since) in joint {
                // By that time no lease for an earlier revision remains.
                let at = self.now + 3 * self.options.lease.span;
                self.schedule(at, Event::AdvanceScope { scope, since });
            }
        }
        for violation in violations {
            self.report_violation(index, violation);
        }
        changed
    }

    /// Audits the settings that a process would act on, for each scope for which it has received a request.
    pub(crate) fn audit_scopes(&mut self, index: usize) {
        let process = &self.processes[index];
        let (Some(scopes), Some(node), true) = (
            &mut self.scopes,
            process.node.as_ref(),
            process.is_running(),
        ) else {
            return;
        };
        let now = process.local_time(self.now);
        let acting = node.active_state(now);
        let key = AuditKey {
            round: scopes.agreed.round,
            incarnation: process.incarnation,
            scopes_changed: node.admission_changes(),
            has_lease: acting.lease_remaining > 0,
            has_session: acting.session_remaining > 0,
        };
        if scopes.audited[index].replace(key) == Some(key) {
            return;
        }
        let violation = scopes.requested[index].iter().find_map(|scope| {
            let name = &scopes.names[*scope];
            let settings = node.effective_settings(now, name)?;
            let agreed = &scopes.agreed;
            agreed.violation(&self.schema, name, &settings, key.has_lease)
        });
        if let Some(violation) = violation {
            self.report_violation(index, violation);
        }
    }

    /// Checks at the end of the run, after all faults, that every change has ended.
    pub(crate) fn audit_scopes_end(&mut self) {
        let Some(scopes) = self.scopes.as_ref().filter(|s| s.compares_catalogs) else {
            return;
        };
        self.result.scopes_in_force = scopes.agreed.in_force;
        self.result.scopes_reverted = scopes.agreed.reverted;
        let logs = self
            .processes
            .iter()
            .enumerate()
            .filter_map(|(index, process)| Some((index, process.node.as_ref()?.applied_log()?)));
        let Some((index, (_, log))) = logs.max_by_key(|(_, (applied, _))| *applied) else {
            return;
        };
        let unfinished = scopes.unfinished(log);
        if self.result.violations.is_empty() {
            for violation in unfinished.into_iter().take(REPORTED_AT_END) {
                self.report_violation(index, violation);
            }
        }
    }
}
