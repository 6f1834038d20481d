//! Times changes that are requested one after another, until each is in force.

use super::field_change::FieldKind;
use super::report::{quantiles, Report};
use super::{Measurement, CHANGE_TIMEOUT, MAX_SESSION_WAIT_SECONDS};
use crate::fleet::scope_updates::WatchedUpdates;
use crate::fleet::TestFleet;
use crate::scopes::{function_name, skewed_choice};
use crate::Error;
use std::time::{Duration, Instant};
use tansy_agreement::scope::ScopeUpdate;

/// Number of changes after which no further one is timed. Those of the measured window count, and all failed ones.
const TIMED_CHANGES: usize = 9;
/// Number of failed changes after which no further one is requested.
const MAX_FAILED_CHANGES: usize = 3;
/// Maximum number of recently changed functions that are not chosen again; at most half of all functions are.
const MAX_RECENT_CHANGES: usize = 12;
/// Time between two timed changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two checks of a change.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after the leader refused a version.
const REFUSAL_DELAY: Duration = Duration::from_secs(1);

/// A change in progress.
pub(super) struct PendingChange {
    kind: FieldKind,
    request: ChangeRequest,
    /// When it was requested, in microseconds of the machine's clock.
    pub(super) requested_at: i64,
    deadline: Instant,
}

/// A requested change.
enum ChangeRequest {
    /// A version of the settings.
    Version(u64),
    /// An update of a function that is a scope of its own.
    Function(WatchedUpdates),
}

/// The outcome of a function's update.
pub(super) enum UpdateOutcome {
    /// In force, this many milliseconds after the request.
    InForce(f64),
    /// Taken to be abandoned by the leader, whose record of the function is not changing and does not have the new fields.
    Abandoned,
}

/// Returns the outcome of the first of the updates; callers watch one. Returns `None` while it is in progress, and also if the leader
/// can't be queried, whatever the error.
pub(super) fn update_outcome(
    fleet: &mut TestFleet,
    updates: &mut WatchedUpdates,
) -> Option<UpdateOutcome> {
    let in_force = fleet.functions_in_force(updates).ok()?;
    match in_force.into_iter().next()? {
        Some(at) => Some(UpdateOutcome::InForce(updates.ms_until(at))),
        None if updates.abandoned() > 0 => Some(UpdateOutcome::Abandoned),
        None => None,
    }
}

impl Measurement {
    /// Times changes one by one until there are [`TIMED_CHANGES`] with those so far, or [`MAX_FAILED_CHANGES`] have failed.
    pub(super) fn time_changes(&mut self) -> Result<(), Error> {
        let kinds = FieldKind::shuffled(&mut self.rng);
        let mut done = self.in_force_times.len() + self.failed_changes;
        while done < TIMED_CHANGES && self.failed_changes < MAX_FAILED_CHANGES {
            self.propose(kinds[done % kinds.len()])?;
            self.finish_change()?;
            self.fleet.run_for(CHANGE_INTERVAL)?;
            done += 1;
        }
        Ok(())
    }

    /// Requests a change of one field of this kind.
    pub(super) fn propose(&mut self, kind: FieldKind) -> Result<(), Error> {
        self.changes += 1;
        if self.arguments.scopes > 0 {
            let function = self.choose_function();
            return self.propose_function(kind, function);
        }
        let fields = kind.change_version(self.fleet.fields().clone(), self.changes);
        match self.fleet.propose(fields, "measured") {
            Ok(proposal) => {
                let request = ChangeRequest::Version(proposal.version);
                self.set_pending(kind, request, proposal.requested_at);
            }
            Err(error) => {
                self.record_refusal(&error)?;
                self.fleet.run_for(REFUSAL_DELAY)?;
                let _ = self.fleet.refresh_leader();
            }
        }
        Ok(())
    }

    /// Requests a change of one field of this kind, in one function.
    pub(super) fn propose_function(
        &mut self,
        kind: FieldKind,
        function: usize,
    ) -> Result<(), Error> {
        let update = self.function_update(kind, function)?;
        match self.fleet.update_functions(vec![update]) {
            Ok(updates) => {
                let requested_at = updates.requested_at;
                self.set_pending(kind, ChangeRequest::Function(updates), requested_at);
            }
            Err(error) => {
                self.record_refusal(&error)?;
                let _ = self.fleet.refresh_leader();
            }
        }
        Ok(())
    }

    fn set_pending(&mut self, kind: FieldKind, request: ChangeRequest, requested_at: i64) {
        let max_session = Duration::from_secs(MAX_SESSION_WAIT_SECONDS);
        let timeout = CHANGE_TIMEOUT + self.arguments.session_timeout().min(max_session);
        self.pending = Some(PendingChange {
            kind,
            request,
            requested_at,
            deadline: Instant::now() + timeout,
        });
    }

    /// Records a refused request as a failed change, unless the run can't go on.
    fn record_refusal(&mut self, error: &Error) -> Result<(), Error> {
        // An error that ends the run, such as an exited process, takes precedence.
        self.fleet.poll_events(Duration::ZERO)?;
        self.record_failure(error.to_string());
        Ok(())
    }

    /// Records a change that did not come into force.
    pub(super) fn record_failure(&mut self, issue: String) {
        self.failed_changes += 1;
        self.issues.push(issue);
    }

    /// Builds an update that changes one field of this kind in the leader's record of a function.
    pub(super) fn function_update(
        &mut self,
        kind: FieldKind,
        function: usize,
    ) -> Result<ScopeUpdate, Error> {
        let scope = function_name(function);
        let status = self
            .fleet
            .function_statuses(std::slice::from_ref(&scope))?
            .pop();
        let known = status.and_then(|status| Some((status.revision, status.fields?)));
        let Some((base, fields)) = known else {
            return Err(Error::UnknownFunction(scope));
        };
        self.changes += 1;
        Ok(ScopeUpdate {
            scope,
            base,
            fields: Some(kind.change_function(fields, self.changes)),
        })
    }

    /// Chooses a function, with a preference for widely called ones. Recently changed ones are excluded: the leader rejects a further
    /// change of a function until the last one is settled.
    fn choose_function(&mut self) -> usize {
        let functions = self.arguments.scopes;
        let max_recent = MAX_RECENT_CHANGES.min(functions / 2);
        let chosen = loop {
            let function = skewed_choice(&mut self.rng, functions);
            if !self.recently_changed.contains(&function) {
                break function;
            }
        };
        self.recently_changed.push_back(chosen);
        while self.recently_changed.len() > max_recent {
            self.recently_changed.pop_front();
        }
        chosen
    }

    /// Waits until no change is in progress.
    pub(super) fn finish_change(&mut self) -> Result<(), Error> {
        while self.pending.is_some() {
            self.fleet.poll_events(CHECK_INTERVAL)?;
            self.check_change();
        }
        Ok(())
    }

    /// Records the outcome of the change in progress, if it has one.
    pub(super) fn check_change(&mut self) {
        let Some(mut change) = self.pending.take() else {
            return;
        };
        let has_ended = match &mut change.request {
            ChangeRequest::Version(version) => {
                let version = *version;
                self.check_version(&change, version)
            }
            ChangeRequest::Function(updates) => {
                self.check_function(change.kind, change.deadline, updates)
            }
        };
        if !has_ended {
            self.pending = Some(change);
        }
    }

    /// Returns whether a version has come into force or has timed out, and records which.
    fn check_version(&mut self, change: &PendingChange, version: u64) -> bool {
        if let Some(at) = self.fleet.in_force_since(version) {
            let ms = (at - change.requested_at) as f64 / 1e3;
            self.in_force_times.push((change.kind, ms));
            return true;
        }
        if Instant::now() < change.deadline {
            return false;
        }
        let waits = self.fleet.describe_wait(version);
        self.record_failure(format!(
            "version {version} ({:?} field) timed out before it was in force: {waits}",
            change.kind
        ));
        self.fleet.abandon(version);
        let _ = self.fleet.refresh_leader();
        true
    }

    /// Returns whether a function's update has come into force, was abandoned or has timed out, and records which.
    fn check_function(
        &mut self,
        kind: FieldKind,
        deadline: Instant,
        updates: &mut WatchedUpdates,
    ) -> bool {
        let failure = match update_outcome(&mut self.fleet, updates) {
            Some(UpdateOutcome::InForce(ms)) => {
                self.in_force_times.push((kind, ms));
                None
            }
            Some(UpdateOutcome::Abandoned) => Some("was abandoned"),
            None if Instant::now() < deadline => return false,
            None => Some("timed out before it was in force"),
        };
        if let Some(failure) = failure {
            let names: String = updates.targets.iter().map(|(name, _)| &**name).collect();
            self.record_failure(format!("a change of {names} ({kind:?} field) {failure}"));
        }
        let _ = self.fleet.unwatch(updates);
        true
    }

    /// Reports how long changes took to be in force, in all and by kind of field.
    pub(super) fn report_changes(&self, report: &mut Report) {
        let times = |kind: FieldKind| {
            let times = self.in_force_times.iter();
            quantiles(times.filter(|time| time.0 == kind).map(|time| time.1))
        };
        let all = self.in_force_times.iter().map(|time| time.1);
        report.put("in_force_ms", quantiles(all));
        report.put("free_in_force_ms", times(FieldKind::Free));
        report.put("joint_in_force_ms", times(FieldKind::Joint));
        report.put("strict_in_force_ms", times(FieldKind::Strict));
    }
}
