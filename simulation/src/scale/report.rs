//! The report of a run at scale. The `serde` attributes keep the field names of recorded runs.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Quantiles of measured durations in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
    /// Number of measurements.
    pub count: u64,
}

impl Quantiles {
    /// The quantiles of durations in milliseconds; `None` without measurements.
    pub(crate) fn of(milliseconds: &[u64]) -> Option<Quantiles> {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, 36_000_000, 3).ok()?;
        for milliseconds in milliseconds {
            histogram.saturating_record(*milliseconds);
        }
        let at = |q| histogram.value_at_quantile(q) as f64;
        (!milliseconds.is_empty()).then(|| Quantiles {
            p50: at(0.5),
            p99: at(0.99),
            max: at(1.0),
            count: milliseconds.len() as u64,
        })
    }
}

/// One side of a partition, measured for its duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PartitionSide {
    /// Number of front ends on this side.
    pub front_ends: usize,
    /// Share of their uptime without a valid lease.
    pub lease_lost: f64,
    /// Share of their uptime without a valid session.
    #[serde(rename = "stay_lost")]
    pub session_lost: f64,
}

/// Measurements of a partition between regions.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PartitionReport {
    /// The side of the regions that stay connected to each other.
    pub main: PartitionSide,
    /// The isolated regions.
    pub cut: PartitionSide,
    /// Changes of plain fields requested during the partition.
    #[serde(rename = "plain_asked")]
    pub plain_requested: u64,
    /// Number of those in force before the partition ended.
    pub plain_in_force: u64,
    /// Changes of strict fields requested during the partition.
    #[serde(rename = "strict_asked")]
    pub strict_requested: u64,
    /// Number of those in force before the partition ended.
    pub strict_in_force: u64,
    /// Time from the end of the partition until all front ends have a lease and a session again, in milliseconds.
    pub healed_ms: Option<u64>,
}

/// Measurements from the crash of a rack or zone, or from the start of a rolling restart.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FailureReport {
    /// Number of front ends that stopped, each counted once.
    pub front_ends: usize,
    /// Number of voters among them.
    #[serde(rename = "seats")]
    pub voters: usize,
    /// Time until all running front ends have a lease and a session and no restart is pending, in milliseconds. For a rack,
    /// which does not restart, at least the duration of a lease, since leases granted before the crash last that long.
    #[serde(rename = "again_ms")]
    pub recovered_ms: Option<u64>,
    /// Share of the front ends' uptime without a valid lease, until the recovery.
    pub lease_lost: f64,
    /// Share of the front ends' uptime without a valid session, until the recovery.
    #[serde(rename = "stay_lost")]
    pub session_lost: f64,
    /// Changes requested until the recovery.
    #[serde(rename = "changes_asked")]
    pub changes_requested: u64,
    /// Number of those in force by the recovery.
    pub changes_in_force: u64,
}

/// Strict scope changes of functions for which a permanently crashed front end received requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DeadSubscriberReport {
    /// Number of requested changes.
    #[serde(rename = "asked")]
    pub requested: u64,
    /// Number of changes in force at the end.
    pub in_force: u64,
    /// Number of changes abandoned by the leader.
    #[serde(rename = "given_up")]
    pub abandoned: u64,
    /// Time from the first request until the change is in force at every reachable front end.
    pub in_force_ms: Option<Quantiles>,
}

/// The results of a run at scale. Rates are means over the measurement.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ScaleReport {
    /// The seed of the run.
    pub seed: u64,
    /// Simulated time in seconds, including the start.
    pub virtual_seconds: f64,
    /// Time until all front ends had joined, in seconds.
    pub start_seconds: f64,
    /// Mean number of members that a front end knows at the end, itself included.
    pub view_members: f64,
    /// Mean bytes of messages per non-voter and second, sent and received, membership included.
    pub control_bytes_s: f64,
    /// The same in messages.
    pub control_messages_s: f64,
    /// Bytes per second at the non-voter with the most bytes.
    pub relay_bytes_s: f64,
    /// Messages per second at the non-voter with the most messages.
    pub relay_messages_s: f64,
    /// The part of `control_bytes_s` caused by membership; in the hollow tier calculated from `IDLE_MEMBERSHIP_TRAFFIC`.
    pub membership_bytes_s: f64,
    /// The same in messages.
    pub membership_messages_s: f64,
    /// Bytes per second at the voter with the most bytes.
    #[serde(rename = "seat_bytes_s")]
    pub voter_bytes_s: f64,
    /// Messages per second at the voter with the most messages.
    #[serde(rename = "seat_messages_s")]
    pub voter_messages_s: f64,
    /// Time from the first request until a change is in force at every reachable front end, for all changes.
    pub in_force_ms: Option<Quantiles>,
    /// The same for changes of plain fields, whose old and new value may be in effect at the same time.
    pub plain_in_force_ms: Option<Quantiles>,
    /// The same for changes of strict fields.
    pub strict_in_force_ms: Option<Quantiles>,
    /// The same for scope changes.
    pub scope_in_force_ms: Option<Quantiles>,
    /// Mean number of functions that a front end is subscribed to at the end.
    #[serde(rename = "holds")]
    pub subscriptions: f64,
    /// Number of requested changes.
    #[serde(rename = "changes_asked")]
    pub changes_requested: u64,
    /// Number of changes in force at the end.
    pub changes_in_force: u64,
    /// Number of scope changes of functions for which some front end had received requests.
    #[serde(rename = "changes_of_held")]
    pub changes_of_requested: u64,
    /// Number of changes abandoned by the leader.
    #[serde(rename = "changes_given_up")]
    pub changes_abandoned: u64,
    /// Number of requests rejected because of another pending change or too many waiting requests, repetitions included.
    #[serde(rename = "changes_refused")]
    pub changes_rejected: u64,
    /// Number of changes neither in force nor abandoned at the end.
    pub changes_open: u64,
    /// Time from the start of a process to its first lease and session, for the initial start.
    pub start_join_ms: Option<Quantiles>,
    /// The same for processes that restart during the measurement.
    pub join_ms: Option<Quantiles>,
    /// Time from the permanent crash of a process until it is removed from the roster, after which strict changes no longer
    /// wait for it.
    pub freed_ms: Option<Quantiles>,
    /// Time from the start of a process until another process detects it; only in the whole tier.
    #[serde(rename = "view_up_ms")]
    pub detected_up_ms: Option<Quantiles>,
    /// Time from the end of a process until another process detects it; only in the whole tier.
    #[serde(rename = "view_down_ms")]
    pub detected_down_ms: Option<Quantiles>,
    /// Share of the front ends' uptime without a valid lease.
    pub lease_lost: f64,
    /// Share of the front ends' uptime without a valid session.
    #[serde(rename = "stay_lost")]
    pub session_lost: f64,
    /// Measurements of the partition, if there was one.
    #[serde(rename = "cut")]
    pub partition: Option<PartitionReport>,
    /// Measurements of the crash of a rack or zone or of the rolling restart, if there was one.
    #[serde(rename = "loss")]
    pub failure: Option<FailureReport>,
    /// Strict changes that may have waited for a crashed subscriber.
    #[serde(rename = "dead_held")]
    pub dead_subscribers: Option<DeadSubscriberReport>,
    /// Number of simulated events.
    pub events: u64,
    /// Violations found by the audit, and anything not completed.
    pub notes: Vec<String>,
    /// Whether there were no violations and every phase of the scenario was completed.
    pub ok: bool,
}
