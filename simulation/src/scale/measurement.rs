//! What is counted in a run at scale.

use super::{LossReport, PartitionReport, ScaleScenario};
use crate::fault::Time;
use std::collections::BTreeMap;
use tansy_agreement::lease::Member;
use tansy_agreement::log::Version;
use tansy_fleet_node::MessageBody;

/// What happens in a run at scale.
#[derive(Clone, Debug)]
pub(crate) enum ScaleEvent {
    /// The whole fleet is looked at.
    Check,
    /// Measurement begins.
    Begin,
    /// An operator asks for a change.
    RequestChange {
        change: usize,
        attempt: u64,
    },
    PartitionBegins,
    PartitionEnds,
    /// A rack, a zone or a rolling restart.
    Loss,
    /// The functions that are changed by scope are set up.
    SetUpScopes,
    /// A front end gets requests for its few functions.
    Requests {
        process: usize,
        scopes: usize,
    },
}

/// A change that an operator asks for.
pub(super) struct RequestedChange {
    pub(super) is_strict: bool,
    /// When it is first asked for.
    pub(super) requested: Time,
    /// The version that it became; 0 where it has none of its own.
    pub(super) version: Option<Version>,
    /// In force, or abandoned.
    pub(super) is_over: bool,
    pub(super) attempts: u64,
    /// The function that it is of, once that is drawn.
    pub(super) scope: Option<usize>,
    /// It is strict, and a front end that ended for good got requests for its function.
    pub(super) waits_for_dead: bool,
}

/// Messages from and to a front end.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    pub(super) messages: u64,
    pub(super) bytes: u64,
    pub(super) gossip_messages: u64,
    pub(super) gossip_bytes: u64,
}

/// Time up, and of that without a lease and without a session.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AccountedTime {
    pub(super) up: Time,
    pub(super) without_lease: Time,
    pub(super) without_session: Time,
}

impl AccountedTime {
    pub(super) fn plus(self, other: AccountedTime) -> AccountedTime {
        AccountedTime {
            up: self.up + other.up,
            without_lease: self.without_lease + other.without_lease,
            without_session: self.without_session + other.without_session,
        }
    }

    pub(super) fn minus(self, other: AccountedTime) -> AccountedTime {
        AccountedTime {
            up: self.up - other.up,
            without_lease: self.without_lease - other.without_lease,
            without_session: self.without_session - other.without_session,
        }
    }

    /// Share of the time up without a lease.
    pub(super) fn lease_lost(self) -> f64 {
        self.without_lease as f64 / self.up.max(1) as f64
    }

    /// Share of the time up without a session.
    pub(super) fn session_lost(self) -> f64 {
        self.without_session as f64 / self.up.max(1) as f64
    }
}

/// A front end that ended for good and is on the roster still.
pub(super) struct DeadMember {
    pub(super) member: Member,
    pub(super) ended: Time,
}

/// A loss from which the fleet has not recovered yet.
pub(super) struct OngoingLoss {
    pub(super) since: Time,
    /// Not before this are all taken to act again.
    pub(super) earliest_recovery: Time,
    pub(super) accounted_before: AccountedTime,
    /// Parts that are still to be restarted, the next one last.
    pub(super) parts: Vec<Vec<usize>>,
    /// The part that is being restarted.
    pub(super) part: Vec<usize>,
}

/// Milliseconds that were measured.
#[derive(Default)]
pub(super) struct Durations {
    pub(super) plain: Vec<u64>,
    pub(super) strict: Vec<u64>,
    /// Of the strict ones, those that waited for dead subscribers.
    pub(super) waited_for_dead: Vec<u64>,
    pub(super) start_join: Vec<u64>,
    pub(super) join: Vec<u64>,
    pub(super) freed: Vec<u64>,
    pub(super) detected_up: Vec<u64>,
    pub(super) detected_down: Vec<u64>,
}

/// What is counted in a run.
#[derive(Default)]
pub(crate) struct ScaleMeasurement {
    pub(super) scenario: ScaleScenario,
    /// When all acted.
    pub(super) all_joined_at: Option<Time>,
    /// When measurement began.
    pub(super) measurement_start: Option<Time>,
    /// When the run ends.
    pub(crate) end: Time,
    pub(super) traffic: Vec<Traffic>,
    pub(super) changes: Vec<RequestedChange>,
    /// The changes that versions are of.
    pub(super) versions: BTreeMap<Version, usize>,
    pub(super) durations: Durations,
    /// Requests by which the functions were set up.
    pub(super) set_up_requests: u64,
    pub(super) dead_on_roster: Vec<DeadMember>,
    /// When each node last ended.
    pub(super) ended: BTreeMap<u64, Time>,
    pub(super) abandoned: u64,
    pub(super) rejected: u64,
    /// By front end, when the partition began.
    pub(super) before_partition: Vec<AccountedTime>,
    pub(super) partition: Option<PartitionReport>,
    /// When the partition ended, while not all act again.
    pub(super) healing_since: Option<Time>,
    /// Those that ended for good.
    pub(super) dead_front_ends: Vec<usize>,
    pub(super) loss: Option<LossReport>,
    pub(super) ongoing_loss: Option<OngoingLoss>,
    /// Changes of functions that a front end got requests for.
    pub(super) changes_of_requested: u64,
    pub(crate) events: u64,
    pub(super) notes: Vec<String>,
}

/// The milliseconds of a span.
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

    /// A message was sent by, or came to, this front end.
    pub(crate) fn count_message(&mut self, process: usize, body: &MessageBody, bytes: u64) {
        let traffic = &mut self.traffic[process];
        traffic.messages += 1;
        traffic.bytes += bytes;
        if matches!(body, MessageBody::Gossip(_)) {
            traffic.gossip_messages += 1;
            traffic.gossip_bytes += bytes;
        }
    }

    /// A process has a lease and a session for the first time, so long after its start.
    pub(super) fn record_join(&mut self, after: Time) {
        let durations = if self.measurement_start.is_some() {
            &mut self.durations.join
        } else {
            &mut self.durations.start_join
        };
        durations.push(milliseconds(after));
    }

    /// A version is in force at all that can be reached.
    pub(crate) fn on_version_in_force(&mut self, now: Time, version: Version) {
        if let Some(change) = self.versions.get(&version) {
            self.on_in_force(now, *change);
        }
    }

    /// A change was abandoned.
    pub(crate) fn on_abandoned(&mut self, change: usize) {
        if let Some(change) = self.changes.get_mut(change) {
            let was_over = std::mem::replace(&mut change.is_over, true);
            self.abandoned += u64::from(!was_over);
        }
    }

    /// A change is in force at all that can be reached.
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
        if let (Some(loss), Some(ongoing)) = (&mut self.loss, &self.ongoing_loss) {
            loss.changes_in_force += u64::from(requested >= ongoing.since);
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
