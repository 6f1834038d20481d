//! The leader lease: until when a replica may act as the leader of the fleet, as confirmed by rounds of read requests that
//! a quorum answers.

use std::collections::VecDeque;
use tansy_agreement::lease::{LeaseTiming, Time};

/// Rounds started per lease span.
const ROUNDS_PER_SPAN: i64 = 4;
/// Maximum number of unanswered rounds.
const MAX_PENDING_ROUNDS: usize = 32;

/// The rounds that a leader started, and its lease.
pub(crate) struct LeaderLease {
    timing: LeaseTiming,
    next_round: Time,
    /// Number and start time of each round that no quorum has answered yet.
    pending: VecDeque<(u64, Time)>,
    last_round: u64,
    expiry: Option<Time>,
}

impl LeaderLease {
    pub(crate) fn new(timing: LeaseTiming, now: Time) -> LeaderLease {
        LeaderLease {
            timing,
            next_round: now,
            pending: VecDeque::new(),
            last_round: 0,
            expiry: None,
        }
    }

    /// When the lease expires or expired.
    pub(crate) fn expiry(&self) -> Option<Time> {
        self.expiry
    }

    /// Drops the lease when leadership ends. Round numbers are not reused.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
        self.expiry = None;
    }

    /// Starts a round if one is due, and returns the context of its read request. Raft answers read requests only once the
    /// leader has committed an entry of its term (`can_read`).
    pub(crate) fn start_round(&mut self, now: Time, can_read: bool) -> Option<Vec<u8>> {
        if now < self.next_round {
            return None;
        }
        self.next_round = now + self.timing.span / ROUNDS_PER_SPAN;
        if self.pending.len() >= MAX_PENDING_ROUNDS {
            self.pending.pop_front();
            return None;
        }
        if !can_read {
            return None;
        }
        self.last_round += 1;
        self.pending.push_back((self.last_round, now));
        Some(self.last_round.to_be_bytes().to_vec())
    }

    /// Handles a round that a quorum answered. The lease is extended from the start of the round, unless entries that were
    /// committed by then are still to be applied here.
    pub(crate) fn on_quorum(&mut self, context: &[u8], is_applied: bool) {
        let round = context.try_into().map(u64::from_be_bytes).unwrap_or(0);
        let started = self
            .pending
            .iter()
            .find(|(number, _)| *number == round)
            .map(|(_, started)| *started);
        self.pending.retain(|(number, _)| *number > round);
        let Some(started) = started.filter(|_| is_applied) else {
            return;
        };
        let expiry = started.saturating_add(self.timing.holder_span(self.timing.span));
        self.expiry = self.expiry.max(Some(expiry));
    }
}
