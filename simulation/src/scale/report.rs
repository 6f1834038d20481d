//! What a run at scale measured. Recorded runs carry the fields under the names of the `serde` attributes.

use hdrhistogram::Histogram;
use serde::Serialize;

/// A median and a 99th percentile, and of how many.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// The largest.
    pub max: f64,
    /// How many were measured.
    pub count: u64,
}

impl Quantiles {
    /// Those of measured milliseconds; none: nothing was measured.
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

/// One side of a partition, while it lasts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PartitionSide {
    /// Its front ends.
    pub front_ends: usize,
    /// Share of their time without a live lease.
    pub lease_lost: f64,
    /// Share of it without a live session.
    #[serde(rename = "stay_lost")]
    pub session_lost: f64,
}

/// What was counted while regions were partitioned.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PartitionReport {
    /// Those that reach the voters.
    pub main: PartitionSide,
    /// Those that do not.
    pub cut: PartitionSide,
    /// Changes of plain fields requested meanwhile.
    #[serde(rename = "plain_asked")]
    pub plain_requested: u64,
    /// Of these in force before the partition was over.
    pub plain_in_force: u64,
    /// Changes of strict fields requested meanwhile.
    #[serde(rename = "strict_asked")]
    pub strict_requested: u64,
    /// Of these in force before the partition was over.
    pub strict_in_force: u64,
    /// From the end of the partition until all act again with lease and session, milliseconds.
    pub healed_ms: Option<u64>,
}

/// What was counted from the moment on at which a rack or a zone ended, or a rolling restart began.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LossReport {
    /// Front ends that ended, each counted once.
    pub front_ends: usize,
    /// Voters among them.
    #[serde(rename = "seats")]
    pub voters: usize,
    /// From that moment until all that run act with lease and session, and nobody is still to come back, milliseconds. Where
    /// nobody comes back a lease's length at least: so long those live that were granted before.
    #[serde(rename = "again_ms")]
    pub recovered_ms: Option<u64>,
    /// Until then, share of front ends' time up without a live lease.
    pub lease_lost: f64,
    /// Share of it without a live session.
    #[serde(rename = "stay_lost")]
    pub session_lost: f64,
    /// Changes requested until then.
    #[serde(rename = "changes_asked")]
    pub changes_requested: u64,
    /// Changes in force by then, of those requested until then.
    pub changes_in_force: u64,
}

/// Strict changes by scope of functions that a front end which ended for good got requests for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DeadHolderReport {
    /// Asked for.
    #[serde(rename = "asked")]
    pub requested: u64,
    /// In force at the end.
    pub in_force: u64,
    /// Abandoned by the leader.
    #[serde(rename = "given_up")]
    pub abandoned: u64,
    /// From the first request to force at all that can be reached.
    pub in_force_ms: Option<Quantiles>,
}

/// What a run measured. Rates are means over the time counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ScaleReport {
    /// Its seed.
    pub seed: u64,
    /// Simulated time, seconds, the start included.
    pub virtual_seconds: f64,
    /// Until all acted, seconds.
    pub start_seconds: f64,
    /// Members in a front end's view, at the end.
    pub view_members: f64,
    /// Bytes of messages, in and out, a front end that is no voter a second, membership's included.
    pub control_bytes_s: f64,
    /// Messages likewise.
    pub control_messages_s: f64,
    /// The front end that is no voter with the most bytes.
    pub relay_bytes_s: f64,
    /// Messages of the one with the most.
    pub relay_messages_s: f64,
    /// Of control, membership's; in the hollow tier `IDLE_MEMBERSHIP_TRAFFIC`.
    pub membership_bytes_s: f64,
    /// Messages likewise.
    pub membership_messages_s: f64,
    /// The busiest voter.
    #[serde(rename = "seat_bytes_s")]
    pub voter_bytes_s: f64,
    /// Messages likewise.
    #[serde(rename = "seat_messages_s")]
    pub voter_messages_s: f64,
    /// From the first request to force at all that can be reached, all changes.
    pub in_force_ms: Option<Quantiles>,
    /// Of fields that may be two things at once.
    pub plain_in_force_ms: Option<Quantiles>,
    /// Of strict fields.
    pub strict_in_force_ms: Option<Quantiles>,
    /// The same of changes of single functions.
    pub scope_in_force_ms: Option<Quantiles>,
    /// Functions that a front end is subscribed to, at the end; mean.
    #[serde(rename = "holds")]
    pub subscriptions: f64,
    /// Changes requested.
    #[serde(rename = "changes_asked")]
    pub changes_requested: u64,
    /// In force at the end.
    pub changes_in_force: u64,
    /// By scope, of functions that a front end got requests for.
    #[serde(rename = "changes_of_held")]
    pub changes_of_requested: u64,
    /// Abandoned by the leader.
    #[serde(rename = "changes_given_up")]
    pub changes_abandoned: u64,
    /// Refused since another went on or too many waited, each repeated request counted.
    #[serde(rename = "changes_refused")]
    pub changes_rejected: u64,
    /// Neither at the end.
    pub changes_open: u64,
    /// From a process's start to its first lease and session, in the start of all.
    pub start_join_ms: Option<Quantiles>,
    /// The same of those that come back.
    pub join_ms: Option<Quantiles>,
    /// From the end of a process for good to its end on the roster, when strict changes wait for it no more.
    pub freed_ms: Option<Quantiles>,
    /// From a process's start to another's event of it; whole tier.
    #[serde(rename = "view_up_ms")]
    pub detected_up_ms: Option<Quantiles>,
    /// From its end to another's event of that; whole tier.
    #[serde(rename = "view_down_ms")]
    pub detected_down_ms: Option<Quantiles>,
    /// Share of front ends' time up without a live lease.
    pub lease_lost: f64,
    /// Share of it without a live session.
    #[serde(rename = "stay_lost")]
    pub session_lost: f64,
    /// While regions were partitioned.
    #[serde(rename = "cut")]
    pub partition: Option<PartitionReport>,
    /// From the end of a rack or a zone, or the beginning of a rolling restart.
    pub loss: Option<LossReport>,
    /// Strict changes that may wait for a dead subscriber.
    #[serde(rename = "dead_held")]
    pub dead_holders: Option<DeadHolderReport>,
    /// Events simulated.
    pub events: u64,
    /// Violations that the audit found, and what was not reached.
    pub notes: Vec<String>,
    /// There was no violation, and all was reached.
    pub ok: bool,
}
