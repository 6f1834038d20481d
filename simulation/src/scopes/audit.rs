//! The audit of scopes in a run, and the measurement of their changes.

use super::agreed::AuditKey;
use super::Scopes;
use crate::fleet::{Event, InjectedDefect, Simulation};
use tansy_agreement::log::{ApplyOutcome, Log, Revision};
use tansy_agreement::scope::{ScopeChange, ScopePhase};
use tansy_fleet_node::{Command, FleetEvent, FleetNode};

/// Violations reported of changes that never ended.
const REPORTED_AT_END: usize = 2;

impl Scopes {
    /// All voters have one catalog after as many entries; the violation, if they have not.
    fn compare_catalog(&mut self, applied: u64, log: &Log) -> Option<String> {
        let known = self.catalogs.entry(applied);
        let known = known.or_insert_with(|| log.catalog().clone());
        (known != log.catalog()).then(|| format!("has another catalog after {applied} entries"))
    }

    /// The changes that never ended, and the requests that were lost.
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
                "has request {id} in revision {}, was {}",
                result.revision.0, revision.0
            )),
            Some(result) if result.joint > 0 => Some(format!("still has request {id} open")),
            Some(_) => None,
        };
        open.chain(self.accepted.iter().filter_map(lost)).collect()
    }
}

impl Simulation<'_> {
    /// Audits what a front end answers to operators, and plants a defect where one begins to lead.
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
                        "has request {request} in revision {} and {}",
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

    /// Measures changes of single scopes: those in force at every front end that runs, and those that were abandoned.
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
            // The one that was behind is looked at first: while it is, no other needs to be.
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

    /// Compares a voter's catalog with the others'.
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

    /// Follows a voter that applied more than any before. True: all are to be audited anew.
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
                // By then no lease is for an earlier revision.
                let at = self.now + 3 * self.options.lease.span;
                self.schedule(at, Event::AdvanceScope { scope, since });
            }
        }
        for violation in violations {
            self.report_violation(index, violation);
        }
        changed
    }

    /// Audits what a process would act on of each scope that it ever got a request for.
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

    /// At the end, once all faults are over, every change has to be over.
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
