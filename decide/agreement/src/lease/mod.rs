//! Leases: which process may act on which revision, and until when.
//!
//! A holder counts a lease **from before it sent the request**, a granter from when it granted it. Each uses its own
//! monotonic clock and allows for the stated bound on the error of its rate. A lease therefore expires at its holder
//! before its granter considers it expired, whatever delays messages and however long either process was paused.
//!
//! Leases nest: a member grants leases that are no longer than the rest of its own lease, so that a granter that waits
//! for the lease of a member also waits for all leases below that member.

mod granter;
mod holder;

use crate::revision::Revision;

pub use crate::member::{Member, Time};
pub use granter::LeaseGranter;
pub use holder::LeaseHolder;

const PARTS_IN_WHOLE: i64 = 1_000_000;

/// The parameters that the safety of leases depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// The length of a lease in microseconds.
    pub span: i64,
    /// The bound on the error of any clock's rate, in parts per million.
    pub drift_ppm: i64,
}

impl LeaseTiming {
    /// For how long a holder may rely on a lease of this length, measured with any clock within the bound.
    pub fn holder_span(&self, span: i64) -> i64 {
        span.max(0) - parts_per_million(span, self.drift_ppm)
    }

    /// After how long a granter considers a lease of this length expired.
    pub fn granter_span(&self, span: i64) -> i64 {
        span.max(0)
            .saturating_add(parts_per_million(span, self.drift_ppm))
    }

    /// The longest lease that may be granted while the granter's own lease lasts for `remaining` by its own clock.
    pub fn sublease_span(&self, remaining: i64) -> i64 {
        (remaining - parts_per_million(remaining, 2 * self.drift_ppm)).clamp(0, self.span)
    }
}

/// `ppm` parts per million of a span, rounded up.
fn parts_per_million(span: i64, ppm: i64) -> i64 {
    let parts = i128::from(span.max(0)) * i128::from(ppm.clamp(0, PARTS_IN_WHOLE));
    i64::try_from((parts + i128::from(PARTS_IN_WHOLE) - 1) / i128::from(PARTS_IN_WHOLE))
        .unwrap_or(i64::MAX)
}

/// A state that leases are granted for. If a state retains its recent changes, a member that has a recent revision can
/// be sent a delta instead of the whole state.
pub trait Versioned: Clone {
    /// The difference between a state and a later one.
    type Delta: Clone + std::fmt::Debug + PartialEq + Eq;

    /// The revision of the state.
    fn revision(&self) -> Revision;

    /// The last revision that can't be reached with a delta.
    fn snapshot_revision(&self) -> Revision {
        self.revision()
    }

    /// Returns a copy without the history that deltas are made from.
    fn without_history(&self) -> Self {
        self.clone()
    }

    /// The changes since a revision that a member knows, except for those up to [`Versioned::snapshot_revision`].
    /// `None` if the history does not go back that far.
    fn delta_since(&self, _known: Revision) -> Option<Self::Delta> {
        None
    }

    /// Applies a delta. Returns false, without applying it, if there is a gap between this state and the delta.
    fn apply_delta(&mut self, _delta: &Self::Delta) -> bool {
        false
    }

    /// Replaces the state with a snapshot. The history is kept if `delta` leads from this state to the snapshot's
    /// revision.
    fn replace_with_snapshot(&mut self, snapshot: Self, _delta: Option<&Self::Delta>) {
        *self = snapshot;
    }
}

impl Versioned for Revision {
    type Delta = ();

    fn revision(&self) -> Revision {
        *self
    }
}

/// A request for a lease, which also reports the revisions of the requester and of the holders below it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseRequest {
    /// The requester.
    pub from: Member,
    /// The number of the request; the numbers of a requester's requests increase.
    pub seq: u64,
    /// No live lease of the requester or of the holders below it is for an earlier revision.
    pub acknowledged: Revision,
    /// The revision of the requester's latest known state.
    pub known: Revision,
    /// Whether the requester accepts deltas; programs that predate deltas do not.
    pub accepts_deltas: bool,
}

/// The answer to a request for a lease. `D` is the delta between states, [`Versioned::Delta`] of `S`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseGrant<S, D = ()> {
    /// The requester.
    pub to: Member,
    /// The number of the request.
    pub seq: u64,
    /// The length of the lease, which the holder counts from before it sent the request.
    pub span: i64,
    /// The revision that the lease is for.
    pub revision: Revision,
    /// The state of that revision, unless the requester knows it already or the delta suffices.
    pub state: Option<S>,
    /// The changes from the requester's revision to that one.
    pub delta: Option<D>,
}
