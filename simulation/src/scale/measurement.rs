//! The state of the measurement in a run at scale.

use super::{FailureReport, PartitionReport, ScaleScenario};
use crate::fault::Time;
use std::collections::BTreeMap;
use tansy_agreement::lease::Member;
use tansy_agreement::log::Version;
use tansy_fleet_node::MessageBody;

/// An event of a run at scale.
#[derive(Clone, Debug)]
pub(crate) enum ScaleEvent {
    /// Check the whole fleet.
    Check,
    /// The measurement begins.
    Begin,
    /// An operator requests a change.
    RequestChange {
        change: usize,
        attempt: u64,
    },
    PartitionBegins,
    PartitionEnds,
    /// A rack or zone crashes, or a rolling restart begins.
    FailureBegins,
    /// Set up the next batch of functions that are changed by scope.
    SetUpScopes,
    /// A front end receives its requests for a few functions.
    Requests {
        process: usize,
        scopes: usize,
    },
}

/// A change requested by an operator.
pub(super) struct RequestedChange {
    pub(super) is_strict: bool,
    /// The time of the first request.
    pub(super) requested: Time,
    /// The version that the accepted change became; 0 for scope changes, which have no version.
    pub(super) version: Option<Version>,
    /// Whether the change is in force or abandoned.
    pub(super) is_over: bool,
    pub(super) attempts: u64,
    /// The function that the change affects, once drawn.
    pub(super) scope: Option<usize>,
    /// Whether the change is strict and a permanently crashed front end received requests for its function.
    pub(super) waits_for_dead: bool,
}

/// Messages sent and received by a front end.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    pub(super) messages: u64,
    pub(super) bytes: u64,
    pub(super) gossip_messages: u64,
    pub(super) gossip_bytes: u64,
}

/// Uptime, and the parts of it without a lease and without a session.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AccountedTime {
    pub(super) uptime: Time,
    pub(super) without_lease: Time,
    pub(super) without_session: Time,
}

impl AccountedTime {
    pub(super) fn plus(self, other: AccountedTime) -> AccountedTime {
        AccountedTime {
            uptime: self.uptime + other.uptime,
            without_lease: self.without_lease + other.without_lease,
            without_session: self.without_session + other.without_session,
        }
    }

    pub(super) fn minus(self, other: AccountedTime) -> AccountedTime {
        AccountedTime {
            uptime: self.uptime - other.uptime,
            without_lease: self.without_lease - other.without_lease,
            without_session: self.without_session - other.without_session,
        }
    }

    /// Share of the uptime without a lease.
    pub(super) fn lease_lost(self) -> f64 {
        self.without_lease as f64 / self.uptime.max(1) as f64
    }

    /// Share of the uptime without a session.
    pub(super) fn session_lost(self) -> f64 {
        self.without_session as f64 / self.uptime.max(1) as f64
    }
}

/// A permanently crashed front end that is still on the roster.
pub(super) struct DeadMember {
    pub(super) member: Member,
    pub(super) ended: Time,
}

/// A failure from which the fleet has not recovered yet.
pub(super) struct OngoingFailure {
    pub(super) since: Time,
    /// The fleet does not count as recovered before this time.
    pub(super) earliest_recovery: Time,
    pub(super) accounted_before: AccountedTime,
    /// The batches of a rolling restart still to come, in reverse order.
    pub(super) remaining_batches: Vec<Vec<usize>>,
    /// The batch being restarted.
    pub(super) current_batch: Vec<usize>,
}

/// Measured durations in milliseconds.
#[derive(Default)]
pub(super) struct Durations {
    pub(super) plain: Vec<u64>,
    pub(super) strict: Vec<u64>,
    /// Strict changes that may have waited for crashed subscribers.
    pub(super) waited_for_dead: Vec<u64>,
    pub(super) start_join: Vec<u64>,
    pub(super) join: Vec<u64>,
    pub(super) freed: Vec<u64>,
    pub(super) detected_up: Vec<u64>,
    pub(super) detected_down: Vec<u64>,
}

/// The measurement of a run.
#[derive(Default)]
pub(crate) struct ScaleMeasurement {
    pub(super) scenario: ScaleScenario,
    /// When all front ends had joined, or the time limit for joining passed.
    pub(super) all_joined_at: Option<Time>,
    /// When the measurement began.
    pub(super) measurement_start: Option<Time>,
    /// The end of the run.
    pub(crate) end: Time,
    pub(super) traffic: Vec<Traffic>,
    pub(super) changes: Vec<RequestedChange>,
    /// The index of the change behind each version.
    pub(super) versions: BTreeMap<Version, usize>,
    pub(super) durations: Durations,
    /// Number of setup transactions so far.
    pub(super) setup_transactions: u64,
    pub(super) dead_on_roster: Vec<DeadMember>,
    /// The time at which each node last stopped.
    pub(super) ended: BTreeMap<u64, Time>,
    pub(super) abandoned: u64,
    pub(super) rejected: u64,
    /// The uptime totals of each front end at the start of the partition.
    pub(super) before_partition: Vec<AccountedTime>,
    pub(super) partition: Option<PartitionReport>,
    /// The end of the partition, until all front ends have recovered from it.
    pub(super) healing_since: Option<Time>,
    /// The front ends that crashed permanently.
    pub(super) dead_front_ends: Vec<usize>,
    pub(super) failure: Option<FailureReport>,
    pub(super) ongoing_failure: Option<OngoingFailure>,
    /// Number of changes of functions for which some front end had received requests.
    pub(super) changes_of_requested: u64,
    pub(crate) events: u64,
    pub(super) notes: Vec<String>,
}

/// Converts a duration to milliseconds.
pub(super) fn milliseconds(span: Time) -> u64 {
    (span / 1000) as u64
}

impl ScaleMeasurement {
    pub(crate) fn new(scenario: ScaleScenario, front_ends: usize) -> ScaleMeasurement {
        ScaleMeasurement {
            scenario,
            end: Time::MAX,
            traffic: vec![Traffic::default(); front_ends],
            ..ScaleMeasurement::default()
        }
    }

    /// Counts a message sent or received by a front end.
    pub(crate) fn count_message(&mut self, process: usize, body: &MessageBody, bytes: u64) {
        let traffic = &mut self.traffic[process];
        traffic.messages += 1;
        traffic.bytes += bytes;
        if matches!(body, MessageBody::Gossip(_)) {
            traffic.gossip_messages += 1;
            traffic.gossip_bytes += bytes;
        }
    }

    /// Records the time from the start of a process to its first lease and session.
    pub(super) fn record_join(&mut self, after: Time) {
        let durations = if self.measurement_start.is_some() {
            &mut self.durations.join
        } else {
            &mut self.durations.start_join
        };
        durations.push(milliseconds(after));
    }

    /// Records that a version is in force at every reachable front end.
    pub(crate) fn on_version_in_force(&mut self, now: Time, version: Version) {
        if let Some(change) = self.versions.get(&version) {
            self.on_in_force(now, *change);
        }
    }

    /// Records that a change was abandoned.
    pub(crate) fn on_abandoned(&mut self, change: usize) {
        if let Some(change) = self.changes.get_mut(change) {
            let was_over = std::mem::replace(&mut change.is_over, true);
            self.abandoned += u64::from(!was_over);
        }
    }

    /// Records that a change is in force at every reachable front end.
    pub(crate) fn on_in_force(&mut self, now: Time, change: usize) {
        let Some(change) = self.changes.get_mut(change) else {
            return;
        };
        change.is_over = true;
        let (requested, is_strict) = (change.requested, change.is_strict);
        let duration = milliseconds(now - requested);
        if is_strict {
            self.durations.strict.push(duration);
        } else {
            self.durations.plain.push(duration);
        }
        if change.waits_for_dead {
            self.durations.waited_for_dead.push(duration);
        }
        if let (Some(failure), Some(ongoing)) = (&mut self.failure, &self.ongoing_failure) {
            failure.changes_in_force += u64::from(requested >= ongoing.since);
        }
        let begins = self.measurement_start.unwrap_or(0) + self.scenario.measured_span / 5;
        let within = requested >= begins && now < begins + self.scenario.partition_span;
        if let (Some(partition), true) = (&mut self.partition, within) {
            if is_strict {
                partition.strict_in_force += 1;
            } else {
                partition.plain_in_force += 1;
            }
        }
    }
}
