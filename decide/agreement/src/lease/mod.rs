//! Leases: which process may act on which revision, and until when by its own clock.
//!
//! A holder counts from **before it sent the request**, a granter from when it granted, each on its own monotonic clock,
//! each with the stated bound on how far clock rates differ on its own side. So a lease expires at its holder before its
//! granter takes it to have expired, whatever the network does to the messages, and however long either was paused.
//!
//! Leases nest: a member that grants leases out of its own grants no longer than what remains of it, so that its
//! granter's waiting covers all below.

mod granter;
mod holder;

use crate::revision::Revision;

pub use crate::member::{Member, Time};
pub use granter::LeaseGranter;
pub use holder::LeaseHolder;

const MILLION: i64 = 1_000_000;

/// The timing that leases rest on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// The length of a lease, microseconds.
    pub span: i64,
    /// The bound on the error of any clock's rate, parts in a million.
    pub drift_ppm: i64,
}

impl LeaseTiming {
    /// For how long a holder counts on a lease of this length: less than it by any clock within the bound.
    pub fn holder_span(&self, span: i64) -> i64 {
        span.max(0) - parts_per_million(span, self.drift_ppm)
    }

    /// After how long a granter takes a lease of this length to have expired.
    pub fn granter_span(&self, span: i64) -> i64 {
        span.max(0)
            .saturating_add(parts_per_million(span, self.drift_ppm))
    }

    /// The length of a lease that may be granted out of one that expires after `remaining` by one's own clock.
    pub fn sublease_span(&self, remaining: i64) -> i64 {
        (remaining - parts_per_million(remaining, 2 * self.drift_ppm)).clamp(0, self.span)
    }
}

/// So many parts in a million of a span, rounded up.
fn parts_per_million(span: i64, ppm: i64) -> i64 {
    let parts = i128::from(span.max(0)) * i128::from(ppm.clamp(0, MILLION));
    i64::try_from((parts + i128::from(MILLION) - 1) / i128::from(MILLION)).unwrap_or(i64::MAX)
}

/// The state that a lease is granted for. A state that retains how it came about from a recent revision can be sent as a
/// delta to a member with that revision.
pub trait Versioned: Clone {
    /// The difference between a state and a later one.
    type Delta: Clone + std::fmt::Debug + PartialEq + Eq;

    /// The revision of the state.
    fn revision(&self) -> Revision;

    /// The last revision that can't be sent as a delta.
    fn snapshot_revision(&self) -> Revision {
        self.revision()
    }

    /// A copy without what deltas are made of.
    fn without_history(&self) -> Self {
        self.clone()
    }

    /// What a member with this revision is sent, beside what changed up to [`Versioned::snapshot_revision`]; none: too
    /// little is retained.
    fn delta_since(&self, _known: Revision) -> Option<Self::Delta> {
        None
    }

    /// Applies a delta. False: it does not follow on this state, and nothing is done.
    fn apply_delta(&mut self, _delta: &Self::Delta) -> bool {
        false
    }

    /// Replaces the state by a snapshot; the history is kept where `delta` follows on it.
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

/// A holder's request for a lease, which also reports how far it and all below it are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseRequest {
    /// The holder.
    pub from: Member,
    /// The number of the request; a holder's requests count up.
    pub seq: u64,
    /// No live lease below the holder, nor its own, is for a revision before this one.
    pub acknowledged: Revision,
    /// The revision that the holder itself has.
    pub known: Revision,
    /// Whether it accepts deltas. Programs from before there were any do not.
    pub accepts_deltas: bool,
}

/// A granter's answer to one request. `D`: the delta between states, [`Versioned::Delta`] of `S`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseGrant<S, D = ()> {
    /// The holder.
    pub to: Member,
    /// The number of the request.
    pub seq: u64,
    /// The length of the lease, which the holder counts from before it sent that request.
    pub span: i64,
    /// The revision that the lease is for.
    pub revision: Revision,
    /// The state of that revision, unless the request said that the holder has it, or the delta covers all of it.
    pub state: Option<S>,
    /// What leads there from the revision of the request.
    pub delta: Option<D>,
}
