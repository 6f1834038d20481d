//! Kills front ends without a restart, and times how long they block changes of strict fields.

use super::changes::{update_outcome, UpdateOutcome};
use super::field_change::FieldKind;
use super::{Measurement, CHANGE_TIMEOUT, MAX_SESSION_WAIT_SECONDS};
use crate::fleet::scope_updates::WatchedUpdates;
use crate::scopes::{called_functions, function_name};
use crate::Error;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use tansy_net_sockets::clock;

/// Time between two checks of the blocked change.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Changes that were timed while a killed front end blocked another one.
#[derive(Default)]
pub(super) struct UnaffectedChanges {
    /// Milliseconds until changes of functions to which no killed front end subscribed were in force.
    pub(super) times: Vec<f64>,
    /// Number of these changes that were in force before the blocked one.
    pub(super) in_force_before: usize,
    /// Number of times the leader abandoned the blocked change, which was then requested again.
    pub(super) abandoned: usize,
}

/// Functions to change after front ends were killed.
struct AffectedFunctions {
    /// A function to which a killed front end subscribed.
    blocked: usize,
    /// Functions to which only other front ends subscribe, in a random order.
    unaffected: std::vec::IntoIter<usize>,
}

impl Measurement {
    /// Kills front ends that are not voters. Returns the milliseconds until a change of a strict field is in force, if that was timed.
    pub(super) fn time_change_after_kill(&mut self, count: usize) -> Result<Option<f64>, Error> {
        let shape = self.fleet.shape;
        let mut candidates = self.fleet.joined_non_voters();
        self.rng.shuffle(&mut candidates);
        // Hollow front ends first, since few real ones are measured.
        candidates.sort_by_key(|front_end| shape.is_real(*front_end));
        if candidates.len() < count {
            return Ok(None);
        }
        let killed_at = clock::now();
        candidates.truncate(count);
        if self.arguments.scopes > 0 {
            return self.time_function_change_after_kill(&candidates);
        }
        self.kill_all(&candidates)?;
        if self.arguments.session_seconds > MAX_SESSION_WAIT_SECONDS {
            return Ok(None);
        }
        let before = self.in_force_times.len();
        self.propose(FieldKind::Strict)?;
        let requested_at = self.pending.as_ref().map(|change| change.requested_at);
        self.finish_change()?;
        // Excluded from the times of the other changes, which no killed front end blocks.
        let time = self.in_force_times.drain(before..).next();
        Ok(time
            .zip(requested_at)
            .map(|((_, ms), requested_at)| ms + (requested_at - killed_at) as f64 / 1e3))
    }

    fn kill_all(&mut self, front_ends: &[u32]) -> Result<(), Error> {
        let mut front_ends = front_ends.iter();
        front_ends.try_for_each(|front_end| self.fleet.kill(*front_end))
    }

    /// Kills front ends. Returns the milliseconds until a change of the class of a function to which one of them subscribed is in force.
    /// Meanwhile other functions, to which none of them subscribed, are changed one after another.
    fn time_function_change_after_kill(&mut self, killed: &[u32]) -> Result<Option<f64>, Error> {
        let shape = self.fleet.shape;
        let mut hollow = killed.iter().filter(|index| !shape.is_real(**index));
        let Some(first) = hollow.next() else {
            let issue = "no hollow front end was killed and real ones subscribe to no function: no blocked change is timed";
            self.issues.push(issue.into());
            self.kill_all(killed)?;
            return Ok(None);
        };
        let Some(functions) = self.affected_functions(*first, killed) else {
            return Ok(None);
        };
        let killed_at = clock::now();
        self.kill_all(killed)?;
        if self.arguments.session_seconds > MAX_SESSION_WAIT_SECONDS {
            return Ok(None);
        }
        let counted = self.in_force_times.len();
        let (updates, ms) = self.time_blocked_change(functions)?;
        self.fleet.unwatch(&updates)?;
        self.finish_change()?;
        let unaffected = self.in_force_times.drain(counted..);
        let times = unaffected.map(|(_, ms)| ms);
        self.unaffected.times.extend(times);
        let since_kill = (updates.requested_at - killed_at) as f64 / 1e3;
        Ok(ms.map(|ms| ms + since_kill))
    }

    /// Returns a function that `first` blocks and those that no killed front end blocks, or `None` if `first` calls no function.
    fn affected_functions(&mut self, first: u32, killed: &[u32]) -> Option<AffectedFunctions> {
        let (seed, functions) = (self.arguments.seed, self.arguments.scopes);
        let called = |front_end: &u32| called_functions(seed, *front_end, functions);
        let subscribed: BTreeSet<usize> = killed.iter().flat_map(called).collect();
        let blocked = called(&first).into_iter().next()?;
        let candidates = self.fleet.joined_non_voters();
        let others: BTreeSet<usize> = candidates
            .iter()
            .filter(|front_end| !killed.contains(front_end))
            .flat_map(called)
            .collect();
        let mut unaffected: Vec<usize> = others.difference(&subscribed).copied().collect();
        self.rng.shuffle(&mut unaffected);
        Some(AffectedFunctions {
            blocked,
            unaffected: unaffected.into_iter(),
        })
    }

    /// Changes the blocked function, and others meanwhile. Returns the milliseconds from its last request if it came in force in time.
    fn time_blocked_change(
        &mut self,
        mut functions: AffectedFunctions,
    ) -> Result<(WatchedUpdates, Option<f64>), Error> {
        let end = Instant::now() + 2 * CHANGE_TIMEOUT + self.arguments.session_timeout();
        let kinds = FieldKind::shuffled(&mut self.rng);
        let counted = self.in_force_times.len();
        self.unaffected.in_force_before = 0;
        let mut updates = self.request_blocked_change(functions.blocked)?;
        loop {
            self.fleet.poll_events(CHECK_INTERVAL)?;
            match update_outcome(&mut self.fleet, &mut updates) {
                Some(UpdateOutcome::InForce(ms)) => return Ok((updates, Some(ms))),
                Some(UpdateOutcome::Abandoned) => {
                    self.unaffected.abandoned += 1;
                    self.fleet.unwatch(&updates)?;
                    updates = self.request_blocked_change(functions.blocked)?;
                }
                None => {}
            }
            if Instant::now() >= end {
                let name = function_name(functions.blocked);
                self.record_failure(format!(
                    "a change of {name}, to which a dead front end subscribed, timed out before it was in force"
                ));
                return Ok((updates, None));
            }
            self.check_change();
            if self.pending.is_some() {
                continue;
            }
            let done = self.in_force_times.len() - counted;
            if !self.is_in_force_at_leader(&updates, functions.blocked)? {
                self.unaffected.in_force_before = done;
            }
            if let Some(next) = functions.unaffected.next() {
                self.propose_function(kinds[done % kinds.len()], next)?;
            }
        }
    }

    fn request_blocked_change(&mut self, function: usize) -> Result<WatchedUpdates, Error> {
        let update = self.function_update(FieldKind::Strict, function)?;
        self.fleet.update_functions(vec![update])
    }

    /// Whether the leader has the update of a function in force.
    fn is_in_force_at_leader(
        &mut self,
        updates: &WatchedUpdates,
        function: usize,
    ) -> Result<bool, Error> {
        let names = [function_name(function)];
        let status = self.fleet.function_statuses(&names)?.pop();
        let fields = status.and_then(|status| status.fields);
        let mut targets = updates.targets.iter();
        Ok(targets.all(|(_, target)| fields.as_ref() == Some(target)))
    }
}
